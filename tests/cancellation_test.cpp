// Every task of a cancelled job has terminated within the time limit, whichever path its stop takes.

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

TEST_P(StopsWithoutDirectCalls, ArriveInAnswersToHeartbeats) {
    constexpr int kMachines = 16;
    constexpr int kReplicas = 4;
    Settings settings = small_cluster_settings();
    settings.report_interval = GetParam().report_every;
    settings.worker_lease = GetParam().lease;
    settings.cancel_deadline = GetParam().cancel;
    Simulator simulator(7, settings);
    for (int i = 0; i < kMachines; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes();
    simulator.run(2 * settings.report_interval + 6 * kSecond);
    for (int job = 1; job <= 3; ++job)
        simulator.submit(simulator.make_job(job, JobKind::Service, kReplicas, 2), 0);
    simulator.run(2 * settings.report_interval);
    ASSERT_EQ(simulator.running_tasks("req-000001") + simulator.running_tasks("req-000002") +
                  simulator.running_tasks("req-000003"),
              3 * kReplicas)
        << simulator.format_history();
    for (int node = 0; node < simulator.node_count(); ++node) simulator.exhaust_sockets(node, true);
    simulator.cancel("req-000001");
    simulator.run(kSecond);
    ASSERT_EQ(simulator.reported_stage("req-000001"), "cancelled") << simulator.format_history();
    // The answer to each worker's next heartbeat must be enough.
    simulator.run(settings.report_interval * 5 / 4 + kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000001"), 0) << simulator.format_history();
    simulator.cancel("req-000002");
    simulator.run(settings.cancel_deadline + 5 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000003"), kReplicas) << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

INSTANTIATE_TEST_SUITE_P(Timings, StopsWithoutDirectCalls,
                         testing::Values(Timing{8 * kSecond, 36 * kSecond, 56 * kSecond},
                                         Timing{5 * kSecond, 26'500 * kMillisecond, 56'500 * kMillisecond},
                                         Timing{1'500 * kMillisecond, 10 * kSecond, 40 * kSecond}),
                         testing::PrintToStringParamName());

/// When the job is cancelled relative to the crash of its shard's holder. The job has several stored parts.
struct Takeover {
    const char* name;
    Micros cancelled_after_crash;
};

void PrintTo(const Takeover& takeover, std::ostream* out) {
    *out << takeover.name;
}

class CancelledJobWithSeveralParts : public testing::TestWithParam<Takeover> {};

TEST_P(CancelledJobWithSeveralParts, IsStoppedCompletelyByTheNextHolder) {
    constexpr int kTasks = 200;
    auto simulator = settled_simulator(3, 6);
    simulator->submit(simulator->make_job(1, JobKind::Service, kTasks, 0.1), 0);
    simulator->run(8 * kSecond);
    const int holder = simulator->owner_node();
    const std::size_t tasks_per_part = simulator->owner_at(holder)->jobs().at("req-000001")->tasks_per_part;
    ASSERT_GT(static_cast<std::size_t>(simulator->running_tasks("req-000001")), tasks_per_part)
        << simulator->format_history();
    // Messages that the former holder sends to workers after the cancellation do not arrive.
    for (const auto& machine : simulator->machine_names()) simulator->cut_link(host(holder), machine);
    simulator->schedule_at(simulator->now() + kSecond,
                           [&simulator, holder] { simulator->crash(holder, 20 * kSecond); });
    simulator->schedule_at(simulator->now() + kSecond + GetParam().cancelled_after_crash,
                           [&simulator] { simulator->cancel("req-000001"); });
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "cancelled") << simulator->format_history();
    simulator->run(simulator->settings.cancel_deadline + 5 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 0) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

INSTANTIATE_TEST_SUITE_P(Takeovers, CancelledJobWithSeveralParts,
                         testing::Values(Takeover{"CancelledBeforeTheCrash", -500 * kMillisecond},
                                         Takeover{"CancelledBeforeTheTakeover", 100 * kMillisecond},
                                         Takeover{"CancelledDuringTheTakeover", 1'500 * kMillisecond},
                                         Takeover{"CancelledAfterTheTakeover", 6 * kSecond}),
                         testing::PrintToStringParamName());

/// More finished jobs than a controller keeps in its cache.
constexpr int kOtherJobs = 20'001;
constexpr Micros kFeedTime = 500 * kMillisecond;  // for their records to arrive one after the other
constexpr Micros kFullReadTime = 2 * kSecond;

/// Writes final records of other jobs, as their holders would. The controllers receive them through the
/// change feed, or by a full read of the store.
void finish_other_jobs(Simulator& simulator, bool through_feed) {
    const auto records_per_change = static_cast<int>(simulator.state().limits.txn_ops);
    for (int first = 0; first < kOtherJobs; first += records_per_change) {
        Json writes = Json::array();
        for (int i = first; i < std::min(first + records_per_change, kOtherJobs); ++i)
            writes.push_back(Json{{"write", keys::job + "req-9" + std::to_string(100'000 + i)},
                                  {"data", {{"s", "done"}, {"dom", "loom-0"}, {"k", 1}, {"fd", 1}}}});
        const Json change{{"when", Json::array()}, {"then", writes}};
        ASSERT_EQ(simulator.state().handle("POST", "/commit", change, simulator.now()).status, 200);
        if (through_feed) simulator.run(records_per_change * kFeedTime / kOtherJobs);
    }
    simulator.run(through_feed ? kFeedTime : kFullReadTime);
}

/// Cancels a job through a controller other than `node` and waits until that controller has confirmed it.
void cancel_through_other_node(Simulator& simulator, int node, const std::string& ref) {
    simulator.preferred_node = (node + 1) % simulator.node_count();
    simulator.cancel(ref);
    for (int i = 0; i < 600 && simulator.reported_stage(ref) != "cancelled"; ++i)
        simulator.run(10 * kMillisecond);
    ASSERT_EQ(simulator.reported_stage(ref), "cancelled") << simulator.format_history();
}

/// How the controllers receive the records of many finished jobs.
struct OtherJobs {
    const char* name;
    bool through_feed;  // otherwise by a full read of the store
    /// Nodes of the previous version. While there are any, final records are read as well.
    std::set<int> old_nodes;
};
const std::vector<OtherJobs> kWaysToReceive{{"by change feed", true, {}},
                                            {"by full read", false, {}},
                                            {"by full read with the history", false, {0, 1, 2}}};

/// A simulation with two services of two tasks each. The first one is cancelled, the other one runs on.
struct CancelledService {
    CancelledService(std::uint64_t seed, const std::set<int>& old_nodes) : simulator(seed) {
        for (int i = 0; i < 2; ++i) simulator.add_machine("small", "a");
        simulator.start_nodes(3, old_nodes);
        simulator.run(6 * kSecond);
        simulator.submit(simulator.make_job(1, JobKind::Service, 2), 0);
        simulator.submit(simulator.make_job(2, JobKind::Service, 2), 0);
        simulator.run(30 * kSecond);  // a controller renews no lease on behalf of others before that
        holder = simulator.owner_node();
    }
    /// Cuts the holder off from everything but the store, so that other controllers renew its workers'
    /// leases.
    void isolate_holder() {
        for (const auto& machine : simulator.machine_names()) simulator.cut_link(host(holder), machine);
        for (int i = 0; i < simulator.node_count(); ++i)
            if (i != holder) simulator.cut_link(host(holder), host(i));
        simulator.run(10 * kSecond);
    }
    void block_reports(bool on) {
        for (const auto& machine : simulator.machine_names()) simulator.block_reports_from(machine, on);
    }
    void cancel_before(const OtherJobs& other_jobs) {
        cancel_through_other_node(simulator, holder, "req-000001");
        finish_other_jobs(simulator, other_jobs.through_feed);
        EXPECT_EQ(simulator.running_tasks("req-000001"), 2) << simulator.format_history();
    }

    Simulator simulator;
    int holder = -1;
};

// Guards against controllers that renew leases on the holder's behalf without a stop for the cancelled job,
// because the records of many other finished jobs have displaced its record from their caches.
TEST(CancelledBeforeManyFinishedJobs, IsStoppedByControllersThatRenewOnBehalfOfItsHolder) {
    for (const OtherJobs& other_jobs : kWaysToReceive)
        for (const std::uint64_t seed : {1, 2, 3}) {
            SCOPED_TRACE(other_jobs.name);
            CancelledService service(seed, other_jobs.old_nodes);
            Simulator& simulator = service.simulator;
            service.isolate_holder();
            service.block_reports(true);  // no report arrives until the other jobs are known
            service.cancel_before(other_jobs);
            service.block_reports(false);
            simulator.run(simulator.settings.cancel_deadline);
            EXPECT_EQ(simulator.running_tasks("req-000001"), 0) << simulator.format_history();
            EXPECT_EQ(simulator.running_tasks("req-000002"), 2) << simulator.format_history();
            simulator.heal_all_links();
            simulator.run(20 * kSecond);
            EXPECT_NO_VIOLATIONS(simulator);
        }
}

// Guards against an attempt that runs on after its job's final record has been dropped from the cache, for
// example one that a late launch has started.
TEST(CancelledBeforeManyFinishedJobs, IsReadAgainBeforeALeaseOfItsTasksIsRenewed) {
    for (const OtherJobs& other_jobs : kWaysToReceive)
        for (const std::uint64_t seed : {7, 8}) {
            SCOPED_TRACE(other_jobs.name);
            CancelledService service(seed, other_jobs.old_nodes);
            Simulator& simulator = service.simulator;
            service.isolate_holder();
            service.block_reports(true);  // no report arrives until the other jobs are known
            cancel_through_other_node(simulator, service.holder, "req-000001");
            const Json final_record{{"s", "cancelled"}, {"dom", "loom-0"}, {"k", 2}, {"fd", 0}};
            Json writes = Json::array({Json{{"write", keys::job + "req-000001"}, {"data", final_record}}});
            writes.push_back(Json{{"drop", keys::active + "req-000001"}});
            const Json change{{"when", Json::array()}, {"then", writes}};
            ASSERT_EQ(simulator.state().handle("POST", "/commit", change, simulator.now()).status, 200);
            finish_other_jobs(simulator, other_jobs.through_feed);
            service.block_reports(false);
            simulator.run(simulator.settings.cancel_deadline);
            EXPECT_EQ(simulator.running_tasks("req-000001"), 0) << simulator.format_history();
            EXPECT_EQ(simulator.task_starts("req-000002"), 2)
                << "the tasks of the other service keep their leases\n"
                << simulator.format_history();
            simulator.heal_all_links();
            simulator.run(20 * kSecond);
            EXPECT_NO_VIOLATIONS(simulator);
        }
}

// Guards against a next holder that still reads the shard's jobs and answers heartbeats without the stop.
TEST(CancelledBeforeManyFinishedJobs, IsStoppedByANextHolderThatIsStillLoading) {
    // With the other ways the next holder has finished loading too soon.
    const OtherJobs& other_jobs = kWaysToReceive.front();
    for (const std::uint64_t seed : {4, 5, 6}) {
        CancelledService service(seed, other_jobs.old_nodes);
        Simulator& simulator = service.simulator;
        const std::string shard = simulator.owner_at(service.holder)->shard();
        simulator.refuse_state_requests(service.holder, true);
        service.cancel_before(other_jobs);
        const auto next_holder_is_loading = [&] {
            for (int i = 0; i < simulator.node_count(); ++i)
                if (const ShardOwner* owner = simulator.node(i)->owner(shard);
                    i != service.holder && owner && !owner->active())
                    return true;
            return false;
        };
        for (int i = 0; i < 10'000 && !next_holder_is_loading(); ++i) simulator.run(kMillisecond);
        ASSERT_TRUE(next_holder_is_loading()) << simulator.format_history();
        ASSERT_EQ(simulator.running_tasks("req-000001"), 2) << simulator.format_history();
        simulator.state().set_down(true, simulator.now());
        simulator.run(9 * kSecond);
        EXPECT_EQ(simulator.running_tasks("req-000001"), 0) << simulator.format_history();
        simulator.state().set_down(false, simulator.now());
        simulator.refuse_state_requests(service.holder, false);
        simulator.heal_all_links();
        simulator.run(10 * kSecond);
        EXPECT_NO_VIOLATIONS(simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
