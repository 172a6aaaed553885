// Every task of a cancelled job is gone in time, whichever way its stop has to go.

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

struct Timing {
    Micros report_every;
    Micros lease;
    Micros cancel;
};

void PrintTo(const Timing& timing, std::ostream* out) {
    *out << "ReportEvery" << timing.report_every / kMillisecond << "ms";
}

class StopsWithoutDirectCalls : public testing::TestWithParam<Timing> {};

TEST_P(StopsWithoutDirectCalls, ReachWorkersInTheAnswersToTheirHeartbeats) {
    constexpr int kMachines = 16;
    constexpr int kReplicas = 4;
    Settings site = small_cluster_settings();
    site.report_every = GetParam().report_every;
    site.lease = GetParam().lease;
    site.cancel = GetParam().cancel;
    Simulator w(7, site);
    for (int i = 0; i < kMachines; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes();
    w.run(2 * site.report_every + 6 * kSecond);
    for (int job = 1; job <= 3; ++job) w.submit(w.make_job(job, JobKind::Service, kReplicas, 2), 0);
    w.run(2 * site.report_every);
    ASSERT_EQ(w.running_tasks("req-000001") + w.running_tasks("req-000002") + w.running_tasks("req-000003"),
              3 * kReplicas)
        << w.format_history();
    for (int node = 0; node < w.node_count(); ++node) w.exhaust_sockets(node, true);
    w.cancel("req-000001");
    w.run(kSecond);
    ASSERT_EQ(w.reported_stage("req-000001"), "cancelled") << w.format_history();
    // An answer to each worker's next heartbeat is enough.
    w.run(site.report_every * 5 / 4 + kSecond);
    EXPECT_EQ(w.running_tasks("req-000001"), 0) << w.format_history();
    w.cancel("req-000002");
    w.run(site.cancel + 5 * kSecond);
    EXPECT_EQ(w.running_tasks("req-000003"), kReplicas) << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

INSTANTIATE_TEST_SUITE_P(Timings, StopsWithoutDirectCalls,
                         testing::Values(Timing{8 * kSecond, 36 * kSecond, 56 * kSecond},
                                         Timing{5 * kSecond, 26'500 * kMillisecond, 56'500 * kMillisecond},
                                         Timing{1'500 * kMillisecond, 10 * kSecond, 40 * kSecond}),
                         testing::PrintToStringParamName());

/// How the holder of a job with several stored parts ends around the job's cancellation.
struct Takeover {
    const char* name;
    Micros cancelled_after_end;
};

void PrintTo(const Takeover& takeover, std::ostream* out) {
    *out << takeover.name;
}

class CancelledJobWithSeveralParts : public testing::TestWithParam<Takeover> {};

TEST_P(CancelledJobWithSeveralParts, IsStoppedWholeByTheNextHolder) {
    constexpr int kTasks = 200;
    auto w = settled_simulator(3, 6);
    w->submit(w->make_job(1, JobKind::Service, kTasks, 0.1), 0);
    w->run(8 * kSecond);
    const int holder = w->owner_node();
    const std::size_t part_tasks = w->owner_at(holder)->jobs().at("req-000001")->part_tasks;
    ASSERT_GT(static_cast<std::size_t>(w->running_tasks("req-000001")), part_tasks) << w->format_history();
    // What the former holder sends after the cancellation does not arrive.
    for (const auto& machine : w->machine_names()) w->cut_link(host(holder), machine);
    w->schedule_at(w->now() + kSecond, [&w, holder] { w->crash(holder, 20 * kSecond); });
    w->schedule_at(w->now() + kSecond + GetParam().cancelled_after_end, [&w] { w->cancel("req-000001"); });
    w->run(10 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "cancelled") << w->format_history();
    w->run(w->settings.cancel + 5 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 0) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

INSTANTIATE_TEST_SUITE_P(Takeovers, CancelledJobWithSeveralParts,
                         testing::Values(Takeover{"CancelledBeforeTheEnd", -500 * kMillisecond},
                                         Takeover{"CancelledBeforeTheTakeover", 100 * kMillisecond},
                                         Takeover{"CancelledDuringTheTakeover", 1'500 * kMillisecond},
                                         Takeover{"CancelledAfterTheTakeover", 6 * kSecond}),
                         testing::PrintToStringParamName());

/// More than a controller keeps views of.
constexpr int kOtherJobs = 20'001;
constexpr Micros kLearning = 500 * kMillisecond;  // of them, one after the other
constexpr Micros kReadingAgain = 2 * kSecond;

/// Writes final records of other jobs, as their holders would; the controllers learn of them in steps, or by
/// reading everything again.
void finish_other_jobs(Simulator& w, bool as_news) {
    const auto per_change = static_cast<int>(w.state().limits.txn_ops);
    for (int first = 0; first < kOtherJobs; first += per_change) {
        Json writes = Json::array();
        for (int i = first; i < std::min(first + per_change, kOtherJobs); ++i)
            writes.push_back(Json{{"write", keys::job + "req-9" + std::to_string(100'000 + i)},
                                  {"data", {{"s", "done"}, {"dom", "loom-0"}, {"k", 1}, {"fd", 1}}}});
        const Json change{{"when", Json::array()}, {"then", writes}};
        ASSERT_EQ(w.state().handle("POST", "/commit", change, w.now()).status, 200);
        if (as_news) w.run(per_change * kLearning / kOtherJobs);
    }
    w.run(as_news ? kLearning : kReadingAgain);
}

/// Its user cancels through another controller until that has confirmed it.
void cancel_beside(Simulator& w, int node, const std::string& ref) {
    w.preferred_node = (node + 1) % w.node_count();
    w.cancel(ref);
    for (int i = 0; i < 600 && w.reported_stage(ref) != "cancelled"; ++i) w.run(10 * kMillisecond);
    ASSERT_EQ(w.reported_stage(ref), "cancelled") << w.format_history();
}

/// How the controllers learn of many finished jobs.
struct OtherJobs {
    const char* name;
    bool as_news;             // or by reading everything again
    std::set<int> old_nodes;  // of the version before: while there are some, final records are read as well
};
const std::vector<OtherJobs> kWaysToLearn{{"as news", true, {}},
                                          {"reading again", false, {}},
                                          {"reading again with the history", false, {0, 1, 2}}};

/// A service of two tasks that its user cancels, beside one that goes on.
struct CancelledService {
    CancelledService(std::uint64_t seed, const std::set<int>& old_nodes) : w(seed) {
        for (int i = 0; i < 2; ++i) w.add_machine("small", "a");
        w.start_nodes(3, old_nodes);
        w.run(6 * kSecond);
        w.submit(w.make_job(1, JobKind::Service, 2), 0);
        w.submit(w.make_job(2, JobKind::Service, 2), 0);
        w.run(30 * kSecond);  // a controller renews no lease for others before
        holder = w.owner_node();
    }
    /// The holder reaches the store only, and other controllers renew its workers' leases.
    void isolate_holder() {
        for (const auto& machine : w.machine_names()) w.cut_link(host(holder), machine);
        for (int i = 0; i < w.node_count(); ++i)
            if (i != holder) w.cut_link(host(holder), host(i));
        w.run(10 * kSecond);
    }
    void mute(bool on) {
        for (const auto& machine : w.machine_names()) w.block_reports_from(machine, on);
    }
    void cancel_before(const OtherJobs& other_jobs) {
        cancel_beside(w, holder, "req-000001");
        finish_other_jobs(w, other_jobs.as_news);
        EXPECT_EQ(w.running_tasks("req-000001"), 2) << w.format_history();
    }

    Simulator w;
    int holder = -1;
};

// ran_cancelled: leases were renewed on the holder's behalf without a stop.
TEST(CancelledBeforeManyFinishedJobs, IsStoppedByControllersThatRenewOnItsHoldersBehalf) {
    for (const OtherJobs& other_jobs : kWaysToLearn)
        for (const std::uint64_t seed : {1, 2, 3}) {
            SCOPED_TRACE(other_jobs.name);
            CancelledService service(seed, other_jobs.old_nodes);
            Simulator& w = service.w;
            service.isolate_holder();
            service.mute(true);  // not heard until the other jobs are
            service.cancel_before(other_jobs);
            service.mute(false);
            w.run(w.settings.cancel);
            EXPECT_EQ(w.running_tasks("req-000001"), 0) << w.format_history();
            EXPECT_EQ(w.running_tasks("req-000002"), 2) << w.format_history();
            w.heal_all_links();
            w.run(20 * kSecond);
            EXPECT_NO_VIOLATIONS(w);
        }
}

// An attempt that a late launch had started ran on once the final record of its job had been forgotten.
TEST(CancelledBeforeManyFinishedJobs, IsReadAgainBeforeALeaseIsRenewedForWhatIsLeftOfIt) {
    for (const OtherJobs& other_jobs : kWaysToLearn)
        for (const std::uint64_t seed : {7, 8}) {
            SCOPED_TRACE(other_jobs.name);
            CancelledService service(seed, other_jobs.old_nodes);
            Simulator& w = service.w;
            service.isolate_holder();
            service.mute(true);  // not heard until the other jobs are
            cancel_beside(w, service.holder, "req-000001");
            const Json final_record{{"s", "cancelled"}, {"dom", "loom-0"}, {"k", 2}, {"fd", 0}};
            Json writes = Json::array({Json{{"write", keys::job + "req-000001"}, {"data", final_record}}});
            writes.push_back(Json{{"drop", keys::active + "req-000001"}});
            const Json change{{"when", Json::array()}, {"then", writes}};
            ASSERT_EQ(w.state().handle("POST", "/commit", change, w.now()).status, 200);
            finish_other_jobs(w, other_jobs.as_news);
            service.mute(false);
            w.run(w.settings.cancel);
            EXPECT_EQ(w.running_tasks("req-000001"), 0) << w.format_history();
            EXPECT_EQ(w.task_starts("req-000002"), 2) << "its tasks keep their leases\n"
                                                      << w.format_history();
            w.heal_all_links();
            w.run(20 * kSecond);
            EXPECT_NO_VIOLATIONS(w);
        }
}

// A next holder that was still reading answered heartbeats without the stop.
TEST(CancelledBeforeManyFinishedJobs, IsStoppedByANextHolderThatIsStillReading) {
    const OtherJobs& other_jobs = kWaysToLearn.front();  // with the others the next holder is there too soon
    for (const std::uint64_t seed : {4, 5, 6}) {
        CancelledService service(seed, other_jobs.old_nodes);
        Simulator& w = service.w;
        const std::string shard = w.owner_at(service.holder)->shard();
        w.refuse_state_requests(service.holder, true);
        service.cancel_before(other_jobs);
        const auto taken = [&] {
            for (int i = 0; i < w.node_count(); ++i)
                if (const ShardOwner* o = w.node(i)->owner(shard); i != service.holder && o && !o->active())
                    return true;
            return false;
        };
        for (int i = 0; i < 10'000 && !taken(); ++i) w.run(kMillisecond);
        ASSERT_TRUE(taken()) << w.format_history();
        ASSERT_EQ(w.running_tasks("req-000001"), 2) << w.format_history();
        w.state().set_down(true, w.now());
        w.run(9 * kSecond);
        EXPECT_EQ(w.running_tasks("req-000001"), 0) << w.format_history();
        w.state().set_down(false, w.now());
        w.refuse_state_requests(service.holder, false);
        w.heal_all_links();
        w.run(10 * kSecond);
        EXPECT_NO_VIOLATIONS(w);
    }
}

}  // namespace
}  // namespace cottonway::test
