// Tests of the decisions to renew leases, to launch and to stop tasks, and of the check that no answer renews
// the lease of a task whose job is over without stopping it.

#include "shard/permission.hpp"

#include <gtest/gtest.h>

#include "shard/cancellation_tracker.hpp"

namespace cottonway::test {

using namespace permission;
namespace {

OwnerEvidence permitted_owner() {
    return {.store_read_valid = true, .token = 7, .token_seen = 7};
}

ProxyEvidence permitted_proxy() {
    return {.store_read_valid = true,
            .is_member = true,
            .owner_known = true,
            .former_promises_expired = true,
            .machine_listed = true,
            .token = 7,
            .token_seen = 6};
}

LaunchEvidence permitted_launch() {
    return {.store_read_valid = true, .job_queued = true, .token = 7, .token_seen = 7};
}

ReportedTask reported_task(const std::string& job, int task, Phase phase) {
    ReportedTask listed;
    listed.job = job;
    listed.task = task;
    listed.attempt = 1;
    listed.phase = phase;
    return listed;
}

TEST(Permission, RenewalByHolderIsRefusedOnStaleOrMissingEvidence) {
    EXPECT_EQ(decide_renewal_by_owner(permitted_owner()), std::nullopt);
    auto evidence = permitted_owner();
    evidence.store_read_valid = false;
    EXPECT_EQ(decide_renewal_by_owner(evidence), Refusal::StoreReadTooOld);
    evidence = permitted_owner();
    evidence.session_over = true;
    EXPECT_EQ(decide_renewal_by_owner(evidence), Refusal::SessionOver);
    evidence = permitted_owner();
    evidence.token_seen = 8;
    EXPECT_EQ(decide_renewal_by_owner(evidence), Refusal::HigherTokenSeen);
    evidence.machine_transferring = true;
    EXPECT_EQ(decide_renewal_by_owner(evidence), Refusal::MachineLeaving);
    evidence = permitted_owner();
    evidence.jobs_known = false;
    EXPECT_EQ(decide_renewal_by_owner(evidence), Refusal::JobUnknown);
}

TEST(Permission, RenewalOnBehalfIsRefusedAfterAPromiseOrAHigherToken) {
    EXPECT_EQ(decide_renewal_on_behalf(permitted_proxy()), std::nullopt);
    auto decision_after = [](auto change) {
        auto evidence = permitted_proxy();
        change(evidence);
        return decide_renewal_on_behalf(evidence);
    };
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.store_read_valid = false; }),
              Refusal::StoreReadTooOld);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.is_member = false; }), Refusal::NotAMember);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.owner_known = false; }), Refusal::OwnerUnknown);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.former_promises_expired = false; }),
              Refusal::PromisesUnknown);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.lease_relinquished = true; }),
              Refusal::LeaseRelinquished);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.machine_listed = false; }),
              Refusal::MachineUnknown);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.jobs_known = false; }), Refusal::JobUnknown);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.token_seen = 8; }), Refusal::HigherTokenSeen);
}

TEST(Permission, LaunchIsRefusedOnAStaleReadOrForAJobThatIsOver) {
    EXPECT_EQ(decide_launch(permitted_launch()), std::nullopt);
    auto decision_after = [](auto change) {
        auto evidence = permitted_launch();
        change(evidence);
        return decide_launch(evidence);
    };
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.store_read_valid = false; }),
              Refusal::StoreReadTooOld);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.job_queued = false; }), Refusal::JobOver);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.token_seen = 6; }), Refusal::TokenNotShown);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.bound_by_other_owner = true; }),
              Refusal::BoundByOtherOwner);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.call_in_flight = true; }), Refusal::CallInFlight);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.gang_complete = false; }),
              Refusal::GangIncomplete);
    EXPECT_EQ(decision_after([](auto& evidence) { evidence.direct_call_preferred = true; }),
              Refusal::DirectCallPreferred);
}

TEST(Permission, StopIsRepeatedInEveryAnswerThatRenewsALease) {
    EXPECT_TRUE(is_stop_due({.may_run = true, .renews_lease = true, .sent_recently = true}));
    EXPECT_FALSE(is_stop_due({.may_run = true, .renews_lease = false, .sent_recently = true}));
    EXPECT_TRUE(is_stop_due({.may_run = true}));
    EXPECT_FALSE(is_stop_due({.may_run = false, .renews_lease = true}));
    EXPECT_FALSE(is_stop_due({.may_run = true, .saving_with_grace = true, .renews_lease = true}));
}

TEST(Permission, MissingStopsOfFinishedJobsAreFound) {
    Report report;
    report.tasks = {
        reported_task("req-000001", 0, Phase::Running), reported_task("req-000001", 1, Phase::Exited),
        reported_task("req-000001", 2, Phase::Fetching), reported_task("req-000002", 0, Phase::Running)};
    const auto job_over = [](const std::string& job) { return job == "req-000001"; };
    const std::vector<Order> orders{{OrderKind::Stop, "req-000001", 2, 1, 0},
                                    {OrderKind::Clear, "req-000001", 1, 1, 0}};
    const auto missing = missing_stops(report, orders, job_over);
    ASSERT_EQ(missing.size(), 1u);
    EXPECT_EQ(missing[0].kind, OrderKind::Stop);
    EXPECT_EQ(missing[0].task, 0);
    // A stop for an earlier attempt does not count.
    report.tasks[0].attempt = 2;
    EXPECT_EQ(missing_stops(report, {{OrderKind::Stop, "req-000001", 0, 1, 0}}, job_over).size(), 2u);
}

TEST(Permission, CountersReportReasonsOfRefusals) {
    Counters counters;
    counters.count_renewal({});
    counters.count_renewal(Refusal::StoreReadTooOld);
    counters.count_launch(Refusal::JobOver);
    counters.count_violation();
    const Json status = counters.to_json();
    EXPECT_EQ(status["lease_renewals"]["permitted"], 1);
    EXPECT_EQ(status["lease_renewals"]["refused"]["store_read_too_old"], 1);
    EXPECT_EQ(status["launches"]["refused"]["job_over"], 1);
    EXPECT_EQ(status["renewals_without_stop"], 1);
    EXPECT_EQ(counters.log_line(),
              "renewals=1 renewals_refused.store_read_too_old=1 launches=0 launches_refused.job_over=1 "
              "renewals_without_stop=1");
}

TEST(CancellationTracker, ReportsOldestUnfinishedJobAndDurationsOfOthers) {
    CancellationTracker tracker;
    tracker.start("req-000001", 0);
    tracker.start("req-000002", 2 * kSecond);
    tracker.record_stop_sent("req-000001", kSecond / 2);
    tracker.record_stop_sent("req-000001", 9 * kSecond);
    tracker.finish("req-000001", 4 * kSecond);
    tracker.finish("req-000003", 4 * kSecond);
    EXPECT_TRUE(tracker.take_overdue(20 * kSecond, 30 * kSecond).empty());
    EXPECT_EQ(tracker.take_overdue(40 * kSecond, 30 * kSecond), std::vector<std::string>{"req-000002"});
    EXPECT_TRUE(tracker.take_overdue(41 * kSecond, 30 * kSecond).empty()) << "each job is reported once";
    const Json status = tracker.to_json(42 * kSecond);
    EXPECT_EQ(status["unfinished"], 1);
    EXPECT_EQ(status["oldest_unfinished_ms"], 40'000);
    EXPECT_EQ(status["gone"], 1);
    EXPECT_EQ(status["gone_within_s"]["8"], 1);
    EXPECT_EQ(status["longest_ms"], 4'000);
    EXPECT_EQ(status["longest_to_first_stop_ms"], 500);
}

}  // namespace
}  // namespace cottonway::test
