// Transactions that get no answer and are executed late, after newer ones of the same controller, or at once,
// while the other controllers already read what they wrote.

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "kvstore/records.hpp"
#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history(300)

// ---------------------------------------------------------------- random transactions

class LateWrites : public testing::TestWithParam<int> {};

/// Returns settings with several shards, so that machines, quota and jobs are transferred. Every third seed
/// has small values and few changes per transaction, so that jobs have many parts and are stored in chunks.
Settings settings_for_seed(int seed) {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;
    if (seed % 3 == 0) {
        settings.max_value_bytes = 1024;
        settings.max_txn_ops = 4;
    }
    return settings;
}

/// Runs jobs while up to half of all transactions are late or get no answer, alone and together with crashes
/// and restarts within a second, a controller that the store refuses, a store outage, or a frozen controller.
/// Afterwards every accepted job is done, or cancelled with no task left.
void run_with_faulty_writes(int seed, double Simulator::*fault_rate) {
    Simulator simulator(static_cast<std::uint64_t>(seed), settings_for_seed(seed));
    auto random_below = [&](int n) {
        return static_cast<int>(simulator.random() % static_cast<std::uint64_t>(n));
    };
    for (int i = 0; i < 9; ++i)
        simulator.add_machine(i % 3 == 0 ? "large" : "small", i % 2 ? "a" : "b", i % 6 >= 4);
    simulator.cloud().capacity = 4;
    simulator.start_nodes();
    const Micros faults_end = 100 * kSecond;
    for (Micros fault_at = 3 * kSecond; fault_at < faults_end;
         fault_at += static_cast<Micros>(9 + random_below(8)) * kSecond) {
        const double share = 0.1 + 0.1 * random_below(5);
        simulator.schedule_at(fault_at, [&simulator, share, fault_rate] {
            simulator.record_event("transactions get no answer: " + std::to_string(share));
            simulator.*fault_rate = share;
        });
        simulator.schedule_at(fault_at + static_cast<Micros>(4 + random_below(7)) * kSecond,
                              [&simulator, fault_rate] { simulator.*fault_rate = 0; });
        const Micros second_fault_at = fault_at + static_cast<Micros>(random_below(6000)) * kMillisecond;
        const Micros fault_duration = static_cast<Micros>(1 + random_below(10)) * kSecond;
        const Micros restart_after = static_cast<Micros>(50 + random_below(950)) * kMillisecond;
        const int node = random_below(3);
        switch (random_below(fault_rate == &Simulator::delayed_write_rate ? 5 : 6)) {
            case 0:
                simulator.schedule_at(second_fault_at, [&simulator, node, restart_after] {
                    simulator.crash(node, restart_after);
                });
                break;
            case 1:
                simulator.schedule_at(second_fault_at, [&simulator, restart_after] {
                    for (int i = 0; i < 3; ++i) simulator.crash(i, restart_after);
                });
                break;
            case 2:
                simulator.schedule_at(second_fault_at,
                                      [&simulator, node] { simulator.refuse_state_requests(node, true); });
                simulator.schedule_at(second_fault_at + fault_duration,
                                      [&simulator, node] { simulator.refuse_state_requests(node, false); });
                break;
            case 3:
                simulator.schedule_at(second_fault_at,
                                      [&simulator] { simulator.state().set_down(true, simulator.now()); });
                simulator.schedule_at(second_fault_at + fault_duration,
                                      [&simulator] { simulator.state().set_down(false, simulator.now()); });
                break;
            case 5:
                simulator.schedule_at(second_fault_at, [&simulator, node, fault_duration] {
                    simulator.freeze_process(node, fault_duration);
                });
                break;
            default:
                break;  // no other fault
        }
    }
    int next_job = 1;
    std::string previous_job;
    for (Micros submit_at = 2 * kSecond; submit_at < faults_end - 10 * kSecond;
         submit_at += static_cast<Micros>(400 + random_below(2500)) * kMillisecond)
        simulator.schedule_at(submit_at, [&simulator, &next_job, &previous_job, random_below] {
            const JobKind kind = random_below(5) == 0   ? JobKind::Service
                                 : random_below(4) == 0 ? JobKind::Gang
                                                        : JobKind::Array;
            JobSpec spec =
                simulator.make_job(next_job++, kind, 1 + random_below(kind == JobKind::Array ? 24 : 4));
            spec.team = random_below(3) == 0 ? "blue" : "red";
            spec.priority_class = static_cast<PriorityClass>(random_below(4));
            spec.spot = kind != JobKind::Service;
            if (random_below(3) == 0) spec.checkpoint_interval = 3 * kSecond, spec.save_duration = kSecond;
            if (!previous_job.empty() && !simulator.reported_stage(previous_job).empty() &&
                random_below(4) == 0)
                spec.dependencies.push_back(previous_job);
            simulator.submit(spec, static_cast<Micros>(1000 + random_below(6000)) * kMillisecond,
                             200 * kMillisecond);
            if (random_below(4) == 0 || kind == JobKind::Service)
                simulator.schedule_at(
                    simulator.now() + static_cast<Micros>(random_below(20000)) * kMillisecond,
                    [&simulator, ref = spec.ref] { simulator.cancel(ref); });
            previous_job = kind == JobKind::Service ? "" : spec.ref;
        });
    simulator.run(faults_end + 15 * kSecond);
    simulator.*fault_rate = 0;
    simulator.mark_faults_over();
    simulator.run(150 * kSecond);
    EXPECT_NO_VIOLATIONS(simulator);
    int accepted = 0;
    for (int i = 1; i < next_job; ++i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", i);
        if (simulator.reported_stage(ref).empty()) continue;  // its user gave up on it
        ++accepted;
        EXPECT_TRUE(simulator.reported_stage(ref) == "done" || simulator.reported_stage(ref) == "cancelled")
            << ref << " is " << simulator.reported_stage(ref) << " at the end, seed " << seed << "\n"
            << simulator.format_history(200);
        EXPECT_EQ(simulator.running_tasks(ref), 0) << ref;
    }
    EXPECT_GT(accepted, next_job / 2);
}

TEST_P(LateWrites, LoseNothingAndRunNothingTwice) {
    run_with_faulty_writes(GetParam(), &Simulator::delayed_write_rate);
}

class UnansweredWrites : public testing::TestWithParam<int> {};

TEST_P(UnansweredWrites, LoseNothingAndRunNothingTwice) {
    run_with_faulty_writes(GetParam(), &Simulator::unanswered_write_rate);
}

/// Returns the range of seeds; WORLD_SEEDS="100 400" replaces the default one.
std::pair<int, int> seeds() {
    int first = 1, last = 9;
    if (const char* range = std::getenv("WORLD_SEEDS")) std::sscanf(range, "%d %d", &first, &last);
    return {first, last};
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateWrites, testing::Range(seeds().first, seeds().second));
INSTANTIATE_TEST_SUITE_P(Seeds, UnansweredWrites,
                         testing::Range(seeds().first,
                                        std::getenv("WORLD_SEEDS") ? seeds().second : seeds().first + 3));

// ---------------------------------------------------------------- single transactions

/// The transaction that admits a job and binds its tasks is executed while its shard owner checks whether it
/// was: the read finds no record, and the update arrives before the check is finished.
TEST(LateWrite, AdmissionExecutedWhileItsOutcomeIsCheckedIsNotLost) {
    for (Micros late_by_ms = 2002; late_by_ms < 2014; ++late_by_ms) {
        Simulator simulator(7);
        simulator.add_machine("small", "a");
        simulator.start_nodes(1);
        simulator.run(5 * kSecond);
        simulator.delay_next_write("c/active/req-000001", late_by_ms * kMillisecond);
        simulator.submit(simulator.make_job(1, JobKind::Array, 2), kSecond);
        simulator.run(14 * kSecond);
        EXPECT_EQ(simulator.pending_write_delays(), 0U);
        EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << late_by_ms << " ms late\n"
                                                                  << simulator.format_history();
        EXPECT_NO_VIOLATIONS(simulator);
    }
}

/// The transaction that creates a machine's block gets no answer and is sent again. The machine then moves to
/// a shard with waiting tasks, and the block is deleted. The first transaction, executed late, must not
/// create the block again.
TEST(LateWrite, LateBlockCreationDoesNotTakeBackAMovedMachine) {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;  // several shards
    Simulator simulator(1, settings);
    simulator.add_machine("small", "a");
    simulator.start_nodes();
    simulator.run(6 * kSecond);
    simulator.submit(simulator.make_job(1, JobKind::Array, 16), 40 * kSecond);  // half of its tasks fit
    simulator.run(2 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000001"), 8);
    simulator.delay_next_write("c/block/", 11 * kSecond);
    simulator.add_machine("small", "a");
    simulator.run(10 * kSecond);
    EXPECT_EQ(simulator.pending_write_delays(), 0U);
    EXPECT_EQ(simulator.running_tasks("req-000001"), 16) << "the machine has moved\n"
                                                         << simulator.format_history();
    simulator.run(5 * kSecond);
    simulator.add_machine("small", "b");  // free capacity for tasks that are wrongly considered lost
    simulator.run(80 * kSecond);
    EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << simulator.format_history();
    EXPECT_EQ(simulator.task_starts("req-000001"), 16) << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

/// The transaction that transfers a job to another shard gets no answer, and the job's tasks are bound here
/// afterwards. The transfer is conditional on the revision of the job's record, which is written last of its
/// parts: until it is written, no task of the job may run here.
TEST(LateWrite, JobWithRunningTasksIsNotTransferred) {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;
    settings.max_value_bytes = 1024;  // three parts
    settings.max_txn_ops = 2;         // too few to write them in one transaction
    Simulator simulator(1, settings);
    simulator.add_machine("small", "a");
    simulator.start_nodes();
    simulator.run(6 * kSecond);
    simulator.submit(simulator.make_job(1, JobKind::Service, 8), 0);  // fills the machine
    simulator.run(3 * kSecond);
    JobSpec job = simulator.make_job(2, JobKind::Array, 60, 0.08);
    job.team = "blue";
    simulator.submit(job, 25 * kSecond);
    simulator.run(2 * kSecond);
    EXPECT_EQ(simulator.reported_stage(job.ref), "accepted");
    simulator.delay_next_write("c/active/" + job.ref, 9 * kSecond);
    const std::string machine =
        simulator.add_machine("large", "a");  // in another shard: the job is transferred there
    for (int i = 0; i < 100 && simulator.pending_write_delays() > 0; ++i) simulator.run(100 * kMillisecond);
    ASSERT_EQ(simulator.pending_write_delays(), 0U) << simulator.format_history();
    for (int i = 0; i < 4; ++i) simulator.delay_next_write("c/active/" + job.ref, 30 * kSecond);
    simulator.run(8 * kSecond);
    for (int i = 0; i < 3; ++i) simulator.cut_link("loom-" + std::to_string(i), machine);
    for (int i = 0; i < 3; ++i) simulator.add_machine("large", "b");  // one for each shard
    simulator.run(25 * kSecond);
    simulator.heal_all_links();
    simulator.run(70 * kSecond);
    EXPECT_EQ(simulator.reported_stage(job.ref), "done") << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

Json read_store(Simulator& simulator, const std::string& key) {
    return simulator.state().handle("GET", key, Json(), simulator.now()).body;
}

/// A head record that is delayed for longer than unreferenced chunks are kept is written after a refresh has
/// shown the chunks unreferenced and before they are deleted: the deletion must fail because the record has
/// changed.
TEST(LateWrite, ChunksOfALateHeadAreNotDeleted) {
    Settings settings = small_cluster_settings();
    settings.max_value_bytes = 1024;
    Simulator simulator(1, settings);
    simulator.add_machine("small", "a");
    simulator.start_nodes();
    simulator.run(6 * kSecond);
    policy::Policy new_policy;
    new_policy.revision = 3;
    for (int i = 0; i < 60; ++i) new_policy.tiers.push_back({{"red", "class-" + std::to_string(i)}, {}});
    const int writer = (simulator.leader_node() + 1) % 3;
    const Micros late_by = 70 * kSecond;
    simulator.delay_next_write("c/policy", late_by);
    simulator.node(writer)->set_policy_file(new_policy);
    for (int i = 0; i < 100 && simulator.pending_write_delays() > 0; ++i) simulator.run(50 * kMillisecond);
    ASSERT_EQ(simulator.pending_write_delays(), 0U);
    const Micros head_written_at = simulator.now() + late_by;
    simulator.crash(writer, 300 * kSecond);  // so that it does not write the record again
    for (int i = 0; i < 40; ++i)
        simulator.delay_next_write("c/0/", 15 * kSecond);  // the deletion of each chunk
    simulator.run(head_written_at + 30 * kSecond - simulator.now());
    EXPECT_LT(simulator.pending_write_delays(), 40U) << "the chunks were to be deleted";
    const auto head = chunks::chunk_reference(read_store(simulator, "/store/c/policy")["data"]);
    ASSERT_TRUE(head) << "the head was written";
    for (std::size_t i = 0; i < head->second; ++i)
        EXPECT_TRUE(read_store(simulator, "/store/" + chunks::key(head->first, i)).contains("data")) << i;
    EXPECT_NO_VIOLATIONS(simulator);
}

/// The transaction that allocates the initial quota gets no answer, and another shard is to have the quota by
/// the time of the next attempt: if both were executed, the limits would be allocated twice.
TEST(LateWrite, InitialQuotaIsNotAllocatedTwice) {
    Simulator simulator(1);
    simulator.add_machine("small", "a");
    simulator.delay_next_write("c/share/", 8 * kSecond);
    simulator.start_nodes();
    for (int i = 0; i < 200 && simulator.pending_write_delays() > 0; ++i) simulator.run(50 * kMillisecond);
    ASSERT_EQ(simulator.pending_write_delays(), 0U);
    const Json block = read_store(simulator, "/store?starts=c/block/&page=10")["pairs"][0];
    Json moved = block["data"];
    moved["dom"] = moved["dom"] == "loom-0" ? "loom-1" : "loom-0";
    const Json then = Json::array({Json{{"write", block["k"]}, {"data", moved}}});
    simulator.state().handle("POST", "/commit", Json{{"then", then}}, simulator.now());
    simulator.run(20 * kSecond);
    Milli red = 0;
    const Json shares = read_store(simulator, "/store?starts=c/share/&page=10")["pairs"];
    for (const auto& pair : shares) red += parse_quota(pair["data"])["red"].cores;
    EXPECT_EQ(red, 24'000) << shares << simulator.format_history();
}

}  // namespace
}  // namespace cottonway::test
