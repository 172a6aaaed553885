// Recovery after all controllers were down: which controller takes which shard, what a starting controller
// reads, and how workers' reports are reconciled with the stored records.

#include <gtest/gtest.h>

#include "cluster/failover.hpp"
#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

using recovery::FailoverState;
using recovery::HeldShard;
using recovery::OrphanedShard;
using recovery::Receiver;
using Moves = std::vector<std::pair<std::string, std::string>>;

TEST(ShardFailoverDecision, OrphanGoesToTheNodeWithTheFewestMachines) {
    FailoverState state{"a", {{"a", 10}, {"b", 20}, {"c", 30}}, {{"d", 5, 0, false}}, 0, 0};
    EXPECT_EQ(recovery::shards_to_acquire(state), std::vector<std::string>{"d"});
    state.self = "b";
    EXPECT_TRUE(recovery::shards_to_acquire(state).empty());
    state.now = 400 * kMillisecond;  // the shard is still an orphan, so "a" did not take it
    EXPECT_EQ(recovery::shards_to_acquire(state).size(), 1u);
}

TEST(ShardFailoverDecision, SeveralOrphansAreDividedEvenly) {
    FailoverState state{"", {{"a", 100}, {"b", 100}}, {}, 0, 0};
    for (const char* shard : {"v", "w", "x", "y"}) state.orphans.push_back({shard, 100, 0, false});
    std::set<std::string> all;
    for (const char* self : {"a", "b"}) {
        state.self = self;
        const auto acquired_shards = recovery::shards_to_acquire(state);
        EXPECT_EQ(acquired_shards.size(), 2u) << self;
        all.insert(acquired_shards.begin(), acquired_shards.end());
    }
    EXPECT_EQ(all.size(), 4u) << "all nodes come to the same result";
}

TEST(ShardFailoverDecision, OrphanFromBeforeTheStartIsLeftToItsHolderForAWhile) {
    FailoverState state{"a", {{"a", 0}}, {{"b", 100, kSecond, true}}, kSecond, 2 * kSecond};
    EXPECT_TRUE(recovery::shards_to_acquire(state).empty());
    state.now = 3 * kSecond;
    EXPECT_EQ(recovery::shards_to_acquire(state).size(), 1u);
}

TEST(ShardFailoverDecision, ShardsGoBackToTheirOwnersInOneStep) {
    const std::vector<HeldShard> held{
        {"a", 10, true, false}, {"b", 30, true, true}, {"c", 20, true, true}, {"d", 5, true, true}};
    const std::vector<Receiver> back{{"c", kSecond}, {"b", kSecond}};
    EXPECT_EQ(recovery::shards_to_transfer("a", held, back), (Moves{{"c", "c"}, {"b", "b"}}));
    // No shard has the name of the first receiver, and the second has not been alive for long enough.
    EXPECT_EQ(recovery::shards_to_transfer("a", held, {{"x", kSecond}, {"y", kSecond / 2}}),
              (Moves{{"d", "x"}}));
    auto later = held;
    for (auto& holding : later) holding.acquired_at_start = false;
    EXPECT_TRUE(recovery::shards_to_transfer("a", later, back).empty())
        << "these receivers have to be alive for longer";
    EXPECT_EQ(recovery::shards_to_transfer("a", {{"a", 10, true, false}}, back), Moves{})
        << "the last shard stays";
}

/// Returns a settled simulator with nine machines in the shards of three controllers.
std::unique_ptr<Simulator> simulator_with_several_shards(std::uint64_t seed) {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;
    auto simulator = std::make_unique<Simulator>(seed, settings);
    for (int i = 0; i < 9; ++i) simulator->add_machine("small", i % 2 ? "b" : "a");
    simulator->start_nodes();
    simulator->run(8 * kSecond);
    return simulator;
}

std::size_t shards_held_at(Simulator& simulator, int node) {
    std::size_t count = 0;
    if (simulator.node(node))
        for (const auto& [name, owner] : simulator.node(node)->owners())
            count += owner && !owner->machines().empty();
    return count;
}

TEST(RestartOfAllControllers, NoShardIsTakenBeforeItsHolderReturns) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto simulator = simulator_with_several_shards(seed);
        simulator->submit(simulator->make_job(1, JobKind::Service, 6), 0);
        simulator->run(3 * kSecond);
        for (int i = 0; i < 3; ++i) simulator->crash(i, 3 * kSecond + i * 400 * kMillisecond);
        std::size_t max_held = 0;
        for (int i = 0; i < 80; ++i) {
            simulator->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) max_held = std::max(max_held, shards_held_at(*simulator, n));
        }
        EXPECT_EQ(max_held, 1u) << "seed " << seed << "\n" << simulator->format_history();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(simulator->owner_at(n)) << n;
        EXPECT_EQ(simulator->task_starts("req-000001"), 6) << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(RestartOfAllControllers, LiveKeysKeptByAnOutageProveNoNodeAlive) {
    // All controllers ended during an outage of the state service, after which every lease has its full time
    // again. The first controller up saw the others as alive, then as dead, and took all shards.
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto simulator = simulator_with_several_shards(seed);
        simulator->state().set_down(true, simulator->now());
        simulator->run(2 * kSecond);
        for (int i = 0; i < 3; ++i) simulator->crash(i, 6 * kSecond + i * kSecond);
        simulator->run(5 * kSecond);
        simulator->state().set_down(
            false, simulator->now());  // the last controller comes up just after its old key has expired
        std::size_t max_held = 0;
        for (int i = 0; i < 80; ++i) {
            simulator->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) max_held = std::max(max_held, shards_held_at(*simulator, n));
        }
        EXPECT_EQ(max_held, 1u) << "seed " << seed << "\n" << simulator->format_history();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(simulator->owner_at(n)) << n;
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(RestartOfAllControllers, ControllerThatStaysDownIsReplacedAndGetsItsShardBack) {
    auto simulator = simulator_with_several_shards(5);
    simulator->submit(simulator->make_job(1, JobKind::Service, 6), 0);
    simulator->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, i == 2 ? 8 * kSecond : 3 * kSecond);
    simulator->run(6'500 * kMillisecond);  // 3.5 s after the first two are back
    EXPECT_EQ(shards_held_at(*simulator, 0) + shards_held_at(*simulator, 1), 3u)
        << simulator->format_history();
    simulator->run(3'500 * kMillisecond);  // 2 s after the third is back
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(shards_held_at(*simulator, n), 1u) << n << "\n" << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000001"), 6) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

// ---------------------------------------------------------------- restarts with further faults

/// Submits a service, batch work, a gang, a job that depends on another, and a job whose tasks fail.
void submit_varied_jobs(Simulator& simulator) {
    simulator.submit(simulator.make_job(1, JobKind::Service, 4), 0);
    simulator.submit(simulator.make_job(2, JobKind::Array, 6), 12 * kSecond);
    JobSpec gang = simulator.make_job(3, JobKind::Gang, 3, 2);
    gang.checkpoint_interval = 3 * kSecond;
    gang.save_duration = kSecond;
    simulator.submit(gang, 20 * kSecond);
    simulator.submit(simulator.make_job(4, JobKind::Array, 2), 15 * kSecond);
    simulator.run(4 * kSecond);
    JobSpec dependent = simulator.make_job(5, JobKind::Array, 2);
    dependent.dependencies = {"req-000004"};
    simulator.submit(dependent, 2 * kSecond);
    JobSpec failing = simulator.make_job(6, JobKind::Array, 8, 0.5);
    simulator.submit(failing, kSecond, 0, true);
    simulator.run(kSecond);
}

void expect_nothing_lost(Simulator& simulator, const std::string& fault) {
    EXPECT_EQ(simulator.task_starts("req-000001"), 4) << fault << "\n" << simulator.format_history();
    EXPECT_EQ(simulator.task_starts("req-000002"), 6) << fault;
    EXPECT_EQ(simulator.task_starts("req-000003"), 3) << fault;
    EXPECT_EQ(simulator.task_starts("req-000004"), 2) << fault;
    EXPECT_EQ(simulator.running_tasks("req-000001"), 4) << fault;
    for (const char* ref : {"req-000002", "req-000003", "req-000004", "req-000005"})
        EXPECT_EQ(simulator.reported_stage(ref), "done") << fault << " " << ref << "\n"
                                                         << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

TEST(RestartWithFaults, RepeatedCrashesAtEachStepLoseNothing) {
    for (int step = 1; step <= 12; ++step) {
        auto simulator = simulator_with_several_shards(static_cast<std::uint64_t>(step));
        submit_varied_jobs(*simulator);
        for (int crash = 0; crash < 3; ++crash) {
            for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond + i * 50 * kMillisecond);
            simulator->run(kSecond + step * 40 * kMillisecond);
        }
        simulator->run(35 * kSecond);
        expect_nothing_lost(*simulator,
                            "crashed again " + std::to_string(step * 40) + " ms after the first was back");
    }
}

TEST(RestartWithFaults, StoreOutageLostAnswersOrRefusedNodeLoseNothing) {
    for (int kind = 0; kind < 3; ++kind) {
        auto simulator = simulator_with_several_shards(20 + static_cast<std::uint64_t>(kind));
        submit_varied_jobs(*simulator);
        for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
        if (kind == 0) simulator->state().set_down(true, simulator->now());
        if (kind == 1) simulator->state_answer_loss_rate = 0.5;
        if (kind == 2) simulator->refuse_state_requests(1, true);
        simulator->run(4 * kSecond);
        simulator->state().set_down(false, simulator->now());
        simulator->state_answer_loss_rate = 0;
        simulator->run(3 * kSecond);
        simulator->refuse_state_requests(1, false);
        simulator->run(35 * kSecond);
        expect_nothing_lost(*simulator, std::to_string(kind));
    }
}

TEST(RestartWithFaults, TasksSurviveDowntimeShorterThanTheLeaseAndRestartAfterALongerOne) {
    auto simulator = simulator_with_several_shards(30);
    submit_varied_jobs(*simulator);
    for (int i = 0; i < 3; ++i) simulator->crash(i, 7 * kSecond);  // the workers' lease is 12 s
    simulator->run(45 * kSecond);
    expect_nothing_lost(*simulator, "downtime shorter than the lease");
    auto longer = simulator_with_several_shards(31);
    longer->submit(longer->make_job(1, JobKind::Service, 4), 0);
    longer->submit(longer->make_job(2, JobKind::Array, 6), 25 * kSecond);
    longer->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) longer->crash(i, 16 * kSecond);
    longer->run(15 * kSecond);
    EXPECT_EQ(longer->running_tasks("req-000001"), 0) << "the workers' leases have expired";
    longer->run(45 * kSecond);
    EXPECT_EQ(longer->task_starts("req-000001"), 8) << longer->format_history();
    EXPECT_EQ(longer->task_starts("req-000002"), 12);
    EXPECT_EQ(longer->reported_stage("req-000002"), "done");
    EXPECT_NO_VIOLATIONS(*longer);
}

TEST(RestartWithFaults, LiveMachinesAreUsedAtOnceWhileOthersAreDeadOrHang) {
    auto simulator = simulator_with_several_shards(40);
    simulator->submit(simulator->make_job(1, JobKind::Service, 6), 0);
    simulator->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, 2 * kSecond);
    const auto names = simulator->machine_names();
    simulator->kill_machine(names[0]);
    simulator->kill_machine(names[1]);
    simulator->set_hung(names[2], true);
    simulator->set_hung(names[3], true);
    simulator->run(4 * kSecond);
    JobSpec next = simulator->make_job(2, JobKind::Array, 4);
    simulator->submit(next, 2 * kSecond);
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << "machines that report are used at once\n"
                                                               << simulator->format_history();
    simulator->set_hung(names[2], false);
    simulator->set_hung(names[3], false);
    simulator->run(40 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 6) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(RestartWithFaults, FrozenControllerAndDelayedMessagesStartNothingTwice) {
    auto simulator = simulator_with_several_shards(50);
    submit_varied_jobs(*simulator);
    simulator->hold_next_message("loom-0", "state");  // a transaction, or a read of the store
    const std::string machine = simulator->machine_names().front();
    simulator->hold_next_message("loom-1", machine);  // a launch, or the announcement of a token
    simulator->submit(simulator->make_job(7, JobKind::Array, 4), 3 * kSecond, 0);
    simulator->run(100 * kMillisecond);
    simulator->freeze_process(2, 12 * kSecond);  // while the others crash and come back
    simulator->crash(0, 2 * kSecond);
    simulator->crash(1, 2 * kSecond);
    simulator->run(10 * kSecond);
    simulator->release_held_messages();
    simulator->run(35 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000007"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000007"), 4);
    expect_nothing_lost(*simulator, "delayed messages");
}

TEST(RestartWithFaults, CancellationConfirmedJustBeforeTheCrashHolds) {
    for (int delay_ms : {0, 10, 30, 60, 120}) {
        auto simulator = simulator_with_several_shards(60);
        submit_varied_jobs(*simulator);
        simulator->cancel("req-000001");
        for (int i = 0; i < 200 && simulator->reported_stage("req-000001") != "cancelled"; ++i)
            simulator->run(5 * kMillisecond);
        simulator->run(delay_ms * kMillisecond);
        for (int i = 0; i < 3; ++i) simulator->crash(i, 3 * kSecond);
        simulator->run(15 * kSecond);
        EXPECT_EQ(simulator->running_tasks("req-000001"), 0) << delay_ms << " ms after\n"
                                                             << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000001"), 4);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
