// What a controller may do to a worker, by what it knows; and that nothing that is over goes on by a renewed
// lease.

#include "shard/permission.hpp"

#include <gtest/gtest.h>

#include "shard/cancellation_tracker.hpp"

namespace cottonway::test {

using namespace permission;
namespace {

HolderEvidence entitled_holder() {
    return {.store_read_valid = true, .token = 7, .token_seen = 7};
}

ProxyEvidence entitled_proxy() {
    return {.store_read_valid = true,
            .is_member = true,
            .holder_known = true,
            .former_promises_expired = true,
            .machine_listed = true,
            .token = 7,
            .token_seen = 6};
}

LaunchEvidence launchable() {
    return {.store_read_valid = true, .job_queued = true, .token = 7, .token_seen = 7};
}

ReportedTask reported(const std::string& job, int task, Phase phase) {
    ReportedTask t;
    t.job = job;
    t.task = task;
    t.attempt = 1;
    t.phase = phase;
    return t;
}

TEST(Permission, AHolderRenewsOnlyWhileItMayHaveMissedNoCancellation) {
    EXPECT_EQ(decide_renewal_by_holder(entitled_holder()), std::nullopt);
    auto e = entitled_holder();
    e.store_read_valid = false;
    EXPECT_EQ(decide_renewal_by_holder(e), Refusal::StoreReadTooOld);
    e = entitled_holder();
    e.session_over = true;
    EXPECT_EQ(decide_renewal_by_holder(e), Refusal::SessionOver);
    e = entitled_holder();
    e.token_seen = 8;
    EXPECT_EQ(decide_renewal_by_holder(e), Refusal::HigherTokenSeen);
    e.machine_transferring = true;
    EXPECT_EQ(decide_renewal_by_holder(e), Refusal::MachineLeaving);
    e = entitled_holder();
    e.jobs_known = false;
    EXPECT_EQ(decide_renewal_by_holder(e), Refusal::JobUnknown);
}

TEST(Permission, NobodyRenewsOnBehalfOfAHolderAgainstAPromiseOrAHigherToken) {
    EXPECT_EQ(decide_renewal_on_behalf(entitled_proxy()), std::nullopt);
    auto refused = [](auto change) {
        auto e = entitled_proxy();
        change(e);
        return decide_renewal_on_behalf(e);
    };
    EXPECT_EQ(refused([](auto& e) { e.store_read_valid = false; }), Refusal::StoreReadTooOld);
    EXPECT_EQ(refused([](auto& e) { e.is_member = false; }), Refusal::NotAMember);
    EXPECT_EQ(refused([](auto& e) { e.holder_known = false; }), Refusal::HolderUnknown);
    EXPECT_EQ(refused([](auto& e) { e.former_promises_expired = false; }), Refusal::PromisesUnknown);
    EXPECT_EQ(refused([](auto& e) { e.lease_relinquished = true; }), Refusal::LeaseRelinquished);
    EXPECT_EQ(refused([](auto& e) { e.machine_listed = false; }), Refusal::MachineUnknown);
    EXPECT_EQ(refused([](auto& e) { e.jobs_known = false; }), Refusal::JobUnknown);
    EXPECT_EQ(refused([](auto& e) { e.token_seen = 8; }), Refusal::HigherTokenSeen);
}

TEST(Permission, NothingIsLaunchedOnStaleKnowledgeOrForAJobThatIsOver) {
    EXPECT_EQ(decide_launch(launchable()), std::nullopt);
    auto refused = [](auto change) {
        auto e = launchable();
        change(e);
        return decide_launch(e);
    };
    EXPECT_EQ(refused([](auto& e) { e.store_read_valid = false; }), Refusal::StoreReadTooOld);
    EXPECT_EQ(refused([](auto& e) { e.job_queued = false; }), Refusal::JobOver);
    EXPECT_EQ(refused([](auto& e) { e.token_seen = 6; }), Refusal::TokenNotShown);
    EXPECT_EQ(refused([](auto& e) { e.bound_by_other_holder = true; }), Refusal::BoundByOtherHolder);
    EXPECT_EQ(refused([](auto& e) { e.call_in_flight = true; }), Refusal::CallInFlight);
    EXPECT_EQ(refused([](auto& e) { e.gang_complete = false; }), Refusal::GangIncomplete);
    EXPECT_EQ(refused([](auto& e) { e.direct_call_preferred = true; }), Refusal::DirectCallPreferred);
}

TEST(Permission, AStopIsInEveryAnswerThatRenewsALeaseWhateverWasSentBefore) {
    EXPECT_TRUE(is_stop_due({.may_run = true, .renews_lease = true, .sent_recently = true}));
    EXPECT_FALSE(is_stop_due({.may_run = true, .renews_lease = false, .sent_recently = true}));
    EXPECT_TRUE(is_stop_due({.may_run = true}));
    EXPECT_FALSE(is_stop_due({.may_run = false, .renews_lease = true}));
    EXPECT_FALSE(is_stop_due({.may_run = true, .saving_with_grace = true, .renews_lease = true}));
}

TEST(Permission, AnAnswerWithoutTheStopOfWhatIsOverIsNoticed) {
    Report report;
    report.tasks = {reported("req-000001", 0, Phase::Running), reported("req-000001", 1, Phase::Exited),
                    reported("req-000001", 2, Phase::Fetching), reported("req-000002", 0, Phase::Running)};
    const auto over = [](const std::string& job) { return job == "req-000001"; };
    const std::vector<Order> orders{{OrderKind::Stop, "req-000001", 2, 1, 0},
                                    {OrderKind::Clear, "req-000001", 1, 1, 0}};
    const auto missing = missing_stops(report, orders, over);
    ASSERT_EQ(missing.size(), 1u);
    EXPECT_EQ(missing[0].kind, OrderKind::Stop);
    EXPECT_EQ(missing[0].task, 0);
    // A stop of an earlier attempt is none.
    report.tasks[0].attempt = 2;
    EXPECT_EQ(missing_stops(report, {{OrderKind::Stop, "req-000001", 0, 1, 0}}, over).size(), 2u);
}

TEST(Permission, CountersTellWhyNothingWasRenewed) {
    Counters counters;
    counters.count_renewal({});
    counters.count_renewal(Refusal::StoreReadTooOld);
    counters.count_launch(Refusal::JobOver);
    counters.count_violation();
    const Json v = counters.to_json();
    EXPECT_EQ(v["lease_renewals"]["permitted"], 1);
    EXPECT_EQ(v["lease_renewals"]["refused"]["store_read_too_old"], 1);
    EXPECT_EQ(v["launches"]["refused"]["job_over"], 1);
    EXPECT_EQ(v["renewals_without_stop"], 1);
    EXPECT_EQ(counters.log_line(),
              "renewals=1 renewals_refused.store_read_too_old=1 launches=0 launches_refused.job_over=1 "
              "renewals_without_stop=1");
}

TEST(CancellationTracker, TellsTheOldestUnfinishedAndHowLongOthersTook) {
    CancellationTracker tracker;
    tracker.start("req-000001", 0);
    tracker.start("req-000002", 2 * kSecond);
    tracker.record_stop_sent("req-000001", kSecond / 2);
    tracker.record_stop_sent("req-000001", 9 * kSecond);
    tracker.finish("req-000001", 4 * kSecond);
    tracker.finish("req-000003", 4 * kSecond);
    EXPECT_TRUE(tracker.take_overdue(20 * kSecond, 30 * kSecond).empty());
    EXPECT_EQ(tracker.take_overdue(40 * kSecond, 30 * kSecond), std::vector<std::string>{"req-000002"});
    EXPECT_TRUE(tracker.take_overdue(41 * kSecond, 30 * kSecond).empty()) << "each is told once";
    const Json v = tracker.to_json(42 * kSecond);
    EXPECT_EQ(v["unfinished"], 1);
    EXPECT_EQ(v["oldest_unfinished_ms"], 40'000);
    EXPECT_EQ(v["gone"], 1);
    EXPECT_EQ(v["gone_within_s"]["8"], 1);
    EXPECT_EQ(v["longest_ms"], 4'000);
    EXPECT_EQ(v["longest_to_first_stop_ms"], 500);
}

}  // namespace
}  // namespace cottonway::test
