// Two faults at once: shards that are transferred back and forth within a second, controllers that restart at
// the same time or again and again, and machines that do not receive messages.

#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

TEST(ShardTransfer, FormerHolderIsWaitedForEvenIfTheRecordNamesTheNewHolder) {
    // Guards against a node that acquires a shard whose record already names it, and therefore takes the
    // former holder for its own former process. In fact another node transferred the shard to it, does not
    // know this yet and goes on answering workers.
    for (const bool new_holder_crashes : {false, true}) {
        Settings settings = small_cluster_settings();
        settings.operators.idle_return_delay = 600 * kSecond;
        auto simulator = settled_simulator(21, 2, settings);
        const int old_holder = simulator->owner_node(), new_holder = (old_holder + 1) % 3;
        simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
        simulator->run(3 * kSecond);
        ASSERT_EQ(simulator->running_tasks("req-000001"), 1);
        const std::string machine = *simulator->machines_running("req-000001").begin();
        simulator->run(10 * kSecond);
        // The old holder keeps its key but receives nothing from the state service.
        simulator->cut_link_one_way("state", host(old_holder));
        // It is also cut off from the other machine, and `machine` from the other controllers.
        for (const auto& m : simulator->machine_names())
            for (int i = 0; i < 3; ++i)
                if ((i == old_holder) != (m == machine)) simulator->cut_link(host(i), m);
        commit_shard_transfer(*simulator, old_holder, new_holder);
        simulator->run(400 * kMillisecond);
        if (new_holder_crashes) simulator->crash(new_holder, 100 * kMillisecond);
        simulator->run(45 * kSecond);
        EXPECT_EQ(simulator->running_tasks("req-000001"), 1)
            << "the task must be restarted as soon as its lease is over\n"
            << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000001"), 2) << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(MembershipLease, KeySurvivesALateWriteOfAFormerProcess) {
    // The former process's write of its key is executed late, while the lease that it names has not expired
    // yet.
    for (Micros held_at = kMillisecond; held_at < 12 * kMillisecond; held_at += 2 * kMillisecond) {
        auto simulator = settled_simulator(23, 2);
        const int node = (simulator->owner_node() + 1) % 3;
        simulator->crash(node, 3 * kSecond);
        simulator->run(3 * kSecond + held_at);
        simulator->hold_next_message(host(node), "state");
        simulator->run(50 * kMillisecond);
        simulator->crash(node, 50 * kMillisecond);
        simulator->run(2 * kSecond);
        simulator->release_held_messages();
        simulator->run(8 * kSecond);
        const Json alive = simulator->node(simulator->owner_node())->status()["alive"];
        EXPECT_EQ(alive.size(), 3u) << "message held back " << held_at / kMillisecond
                                    << " ms after the start\n"
                                    << simulator->format_history();
    }
}

TEST(OneWayPartition, TasksThatTheMachineDoesNotReceiveRunElsewhere) {
    auto simulator = settled_simulator(24, 2);
    simulator->submit(simulator->make_job(1, JobKind::Service, 1, 1), 0);
    simulator->run(3 * kSecond);
    const std::string machine = *simulator->machines_running("req-000001").begin();
    simulator->block_messages_to(machine, true);
    for (int i = 2; i <= 3; ++i) simulator->submit(simulator->make_job(i, JobKind::Array, 1, 5), 2 * kSecond);
    // Its lease, an unanswered report to each controller in turn, and the duration of the tasks.
    simulator->run(simulator->settings.worker_lease + 4 * 5 * kSecond + 5 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->reported_stage("req-000003"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << simulator->format_history();
    EXPECT_NE(*simulator->machines_running("req-000001").begin(), machine);
    simulator->block_messages_to(machine, false);
    simulator->run(8 * kSecond);
    simulator->submit(simulator->make_job(4, JobKind::Array, 2, 6), 2 * kSecond);
    simulator->run(6 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000004"), "done") << "the machine must be used again\n"
                                                               << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(OneWayPartition, TaskBoundByAFormerHolderRunsElsewhereAfterItsLastLease) {
    // The machine reports, but its reports never show the new holder's token.
    auto simulator = settled_simulator(25, 2);
    const int former_holder = simulator->owner_node();
    const std::string machine = simulator->machine_names().front();
    simulator->block_messages_to(machine, true);
    for (int i = 1; i <= 2; ++i) simulator->submit(simulator->make_job(i, JobKind::Array, 1, 5), 2 * kSecond);
    simulator->run(kSecond);
    ASSERT_EQ(simulator->task_starts("req-000001") + simulator->task_starts("req-000002"), 1)
        << "one task must be bound to the machine that receives nothing";
    simulator->crash(former_holder, 300 * kSecond);
    // The time to notice the dead holder, its controller lease, a worker lease, a report and the duration of
    // the task.
    simulator->run(3 * kSecond + controller_lease_duration(simulator->settings) +
                   with_drift(simulator->settings.worker_lease) + 5 * kSecond + 5 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerRestart, JobsFinishAlthoughAllControllersRestartRepeatedly) {
    for (std::uint64_t seed = 31; seed < 35; ++seed) {
        Settings settings = small_cluster_settings();
        if (seed % 2) settings.cpu_cores = 0.001;  // several shards, so that some are transferred back
        auto simulator = settled_simulator(seed, 8, settings);
        simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
        for (int i = 2; i <= 6; ++i)
            simulator->submit(simulator->make_job(i, JobKind::Array, 3), 15 * kSecond);
        simulator->run(2 * kSecond);
        simulator->duplicate_rate = 0.1;
        simulator->delayed_write_rate = 0.1;
        simulator->late_report_copy_rate = 0.1;
        for (int round = 0; round < 5; ++round) {
            for (int i = 0; i < 3; ++i)
                simulator->crash(i, static_cast<Micros>(50 + simulator->random() % 950) * kMillisecond);
            simulator->run(static_cast<Micros>(800 + simulator->random() % 3000) * kMillisecond);
        }
        simulator->duplicate_rate = simulator->delayed_write_rate = simulator->late_report_copy_rate = 0;
        simulator->run(90 * kSecond);
        for (int i = 2; i <= 6; ++i)
            EXPECT_EQ(simulator->reported_stage("req-00000" + std::to_string(i)), "done")
                << "seed " << seed << simulator->format_history();
        EXPECT_EQ(simulator->running_tasks("req-000001"), 3)
            << "seed " << seed << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(ShardTransfer, CommandDelayedOverATransferAndBackStartsNoTaskTwice) {
    auto simulator = settled_simulator(41, 1);
    const int old_holder = simulator->owner_node(), new_holder = (old_holder + 1) % 3;
    const std::string machine = simulator->machine_names().front();
    simulator->hold_next_message(host(old_holder), machine);  // the /do with the launch
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), kSecond, 0);
    simulator->run(600 * kMillisecond);
    commit_shard_transfer(*simulator, old_holder, new_holder);
    simulator->run(400 * kMillisecond);
    ASSERT_EQ(simulator->owner_node(), new_holder) << simulator->format_history();
    commit_shard_transfer(*simulator, new_holder, old_holder);
    simulator->run(400 * kMillisecond);
    ASSERT_EQ(simulator->owner_node(), old_holder) << simulator->format_history();
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
    simulator->release_held_messages();
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000001"), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerRestart, FirstRestartedNodeAcquiresAShardThatWasTransferredBackAndForth) {
    for (const Micros restart_delay : {100 * kMillisecond, kSecond})
        for (const Micros time_until_transfer_back : {20 * kMillisecond, 400 * kMillisecond})
            for (int first = 0; first < 3; ++first) {
                auto simulator = settled_simulator(42, 4);
                const int old_holder = simulator->owner_node(), new_holder = (old_holder + 1) % 3;
                simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
                simulator->submit(simulator->make_job(2, JobKind::Array, 3), 15 * kSecond);
                simulator->submit(simulator->make_job(3, JobKind::Gang, 2), 15 * kSecond);
                simulator->run(3 * kSecond);
                commit_shard_transfer(*simulator, old_holder, new_holder);
                simulator->run(time_until_transfer_back);
                if (simulator->owner_at(new_holder))
                    commit_shard_transfer(*simulator, new_holder, old_holder);
                simulator->run(time_until_transfer_back / 10);
                for (int i = 0; i < 3; ++i) simulator->crash(i, i == first ? restart_delay : 40 * kSecond);
                simulator->run(30 * kSecond);
                EXPECT_EQ(simulator->owner_node(), first) << simulator->format_history();
                for (int i = 1; i <= 3; ++i)
                    EXPECT_EQ(simulator->task_starts("req-00000" + std::to_string(i)), i == 3 ? 2 : 3)
                        << simulator->format_history();
                EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
                EXPECT_EQ(simulator->reported_stage("req-000003"), "done") << simulator->format_history();
                simulator->run(20 * kSecond);
                EXPECT_NO_VIOLATIONS(*simulator);
            }
}

TEST(ControllerRestart, TasksRestartAfterAllControllersWereDownForLongerThanALease) {
    // Every task ends when its lease expires, and starts again. Accepted jobs are still known, and cancelled
    // jobs stay cancelled. One controller may be back long before the others.
    for (const Micros downtime : {20 * kSecond, 60 * kSecond})
        for (const bool staggered : {false, true}) {
            Settings settings = small_cluster_settings();
            if (downtime > 30 * kSecond) settings.cpu_cores = 0.001;
            auto simulator = settled_simulator(43, 6, settings);
            simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
            // More tasks than the team's limit allows at once.
            simulator->submit(simulator->make_job(2, JobKind::Array, 30), 18 * kSecond);
            simulator->submit(simulator->make_job(3, JobKind::Gang, 3), 18 * kSecond);
            simulator->submit(simulator->make_job(4, JobKind::Array, 2), 100 * kSecond);
            simulator->run(3 * kSecond);
            simulator->cancel("req-000004");
            simulator->run(downtime % 7);
            for (int i = 0; i < 3; ++i) simulator->crash(i, downtime + (staggered ? i * 20 * kSecond : 0));
            simulator->run(downtime);
            EXPECT_EQ(simulator->running_tasks("req-000001"), 0)
                << "the tasks must have ended with their leases";
            simulator->run(8 * kSecond);
            EXPECT_EQ(simulator->running_tasks("req-000001"), 3) << simulator->format_history();
            simulator->mark_faults_over();
            simulator->run(75 * kSecond);
            for (const char* ref : {"req-000002", "req-000003"})
                EXPECT_EQ(simulator->reported_stage(ref), "done") << simulator->format_history();
            EXPECT_EQ(simulator->reported_stage("req-000004"), "cancelled") << simulator->format_history();
            // Each task starts once more. A launch may arrive as a session ends that no controller has
            // renewed yet.
            EXPECT_GE(simulator->task_starts("req-000001"), 6) << simulator->format_history();
            EXPECT_LE(simulator->task_starts("req-000001"), 9) << simulator->format_history();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

TEST(ControllerRestart, JobsFinishAlthoughTheLeaderChangesTenTimesInTwoMinutes) {
    for (const bool same_node : {true, false})
        for (const bool outage : {false, true}) {
            Settings settings = small_cluster_settings();
            settings.cpu_cores = 0.001;  // spreads the machines over several shards
            auto simulator = settled_simulator(44, 9, settings);
            simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
            std::set<std::uint64_t> terms;
            for (int round = 0; round < 10; ++round) {
                if (outage && round == 4) {
                    simulator->state().set_down(true, simulator->now());
                    simulator->schedule_at(simulator->now() + 15 * kSecond, [&simulator] {
                        simulator->state().set_down(false, simulator->now());
                    });
                }
                const int node = same_node                       ? 1
                                 : simulator->leader_node() >= 0 ? simulator->leader_node()
                                                                 : round % 3;
                simulator->crash(node, (same_node ? 500 : 4'000) * kMillisecond);
                simulator->submit(simulator->make_job(10 + round, JobKind::Array, 2), 8 * kSecond);
                simulator->run(round < 9 ? 12 * kSecond : 0);
                const Reply leader_record =
                    simulator->state().handle("GET", "/store/c/leader", Json(), simulator->now());
                if (leader_record.status == 200) terms.insert(*wire::count(leader_record.body, "mark"));
            }
            if (!same_node && !outage) {
                EXPECT_GE(terms.size(), 9u) << "the last change of leader is still to come";
            }
            Micros waited = 0;
            while (simulator->running_tasks("req-000019") < 2 && waited < 20 * kSecond) {
                simulator->run(100 * kMillisecond);
                waited += 100 * kMillisecond;
            }
            EXPECT_LE(waited, 5 * kSecond) << "tasks must be placed soon after the last change of leader\n"
                                           << simulator->format_history();
            simulator->run(25 * kSecond);
            for (int i = 0; i < 3; ++i)
                EXPECT_TRUE(simulator->owner_at(i)) << host(i) << " holds no machines\n"
                                                    << simulator->format_history();
            for (int i = 10; i < 20; ++i)
                EXPECT_EQ(simulator->reported_stage("req-0000" + std::to_string(i)), "done")
                    << simulator->format_history();
            EXPECT_EQ(simulator->running_tasks("req-000001"), 3);
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

TEST(DelayedCommand, StopDoesNotEndALaterAttemptOfItsTask) {
    auto simulator = settled_simulator(47, 1);
    const std::string machine = simulator->machine_names().front();
    JobSpec low = simulator->make_job(1, JobKind::Array, 1, 8),
            high = simulator->make_job(2, JobKind::Service, 1, 4);
    low.priority_class = PriorityClass::Low;
    high.priority_class = PriorityClass::Production;
    simulator->submit(low, 60 * kSecond);
    simulator->run(4 * kSecond);
    simulator->hold_next_message(host(simulator->owner_node()), machine);  // the /do with the stop
    simulator->submit(high, 0);
    simulator->run(8 * kSecond);
    ASSERT_EQ(simulator->running_tasks(low.ref), 0) << "the stop must be sent again\n"
                                                    << simulator->format_history();
    simulator->cancel(high.ref);
    for (int n = 0; n < 300 && simulator->running_tasks(low.ref) == 0; ++n)
        simulator->run(100 * kMillisecond);
    ASSERT_EQ(simulator->task_starts(low.ref), 2) << simulator->format_history();
    simulator->run(kSecond);
    simulator->release_held_messages();
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->running_tasks(low.ref), 1) << simulator->format_history();
    EXPECT_EQ(simulator->task_starts(low.ref), 2) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ShardTransfer, ResultIsKeptUntilItIsDurable) {
    // One of the two tasks started later, so no task is bound when the first one ends, and its result is
    // written later. The holder crashes before that.
    auto simulator = settled_simulator(48, 1);
    simulator->submit(simulator->make_job(1, JobKind::Array, 2, 8), 20 * kSecond, 0);
    simulator->run(5 * kSecond);
    simulator->add_machine("small", "b");
    while (simulator->completed_tasks("req-000001") == 0 && simulator->now() < 60 * kSecond)
        simulator->run(50 * kMillisecond);
    simulator->run(1500 * kMillisecond);
    simulator->crash(simulator->owner_node(), 60 * kSecond);
    simulator->run(40 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000001"), 2) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A holder that is cut off from its machine and from `helper`, the controller that renews the machine's
/// lease on its behalf. `next` is the controller that the machine reports to after that.
struct CutOffHolder {
    explicit CutOffHolder(std::uint64_t seed, const Settings& settings)
        : simulator(settled_simulator(seed, 2, settings)) {
        simulator->run(30 * kSecond);  // other controllers may renew leases only after this time
        holder = simulator->owner_node(), helper = (holder + 1) % 3, next = (holder + 2) % 3;
        simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
        simulator->run(3 * kSecond);
        machine = *simulator->machines_running("req-000001").begin();
        simulator->cut_link(host(holder), machine);
        simulator->cut_link(host(holder), host(helper));
    }
    /// Cuts the helper off from the machine, and lets it promise the holder to renew no lease.
    void lose_helper() {
        simulator->cut_link(host(helper), machine);
        simulator->run(kSecond);
        simulator->heal_link(host(holder), host(helper));
    }
    std::unique_ptr<Simulator> simulator;
    int holder, helper, next;
    std::string machine;
};

/// Returns settings under which no machine is returned for being idle and a failed node is noticed after 6 s.
Settings slow_timeout_settings() {
    Settings settings = small_cluster_settings();
    settings.operators.idle_return_delay = 600 * kSecond;
    settings.operators.liveness_ttl = 6 * kSecond;
    return settings;
}

TEST(LeaseRelinquishment, PromiseOfACrashedProcessCountsNoLongerThanItsSuccessorWaits) {
    CutOffHolder cut_off_holder(45, slow_timeout_settings());
    Simulator& simulator = *cut_off_holder.simulator;
    simulator.run(8 * kSecond);  // `next` has promised not to renew by now
    simulator.cut_link(host(cut_off_holder.holder), host(cut_off_holder.next));
    simulator.crash(cut_off_holder.next, 200 * kMillisecond);
    simulator.run(22 * kSecond);
    cut_off_holder.lose_helper();
    simulator.run(40 * kSecond);
    EXPECT_EQ(simulator.task_starts("req-000001"), 1)
        << "its machine's lease is renewed, so the task must go on\n"
        << simulator.format_history();
    simulator.heal_all_links();
    simulator.run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(simulator);
}

TEST(LeaseRelinquishment, NodeThatMayHaveRestartedIsNotTakenForDead) {
    CutOffHolder cut_off_holder(46, slow_timeout_settings());
    Simulator& simulator = *cut_off_holder.simulator;
    simulator.cut_link(host(cut_off_holder.holder), host(cut_off_holder.next));
    simulator.run(8 * kSecond);
    // The new process of `next` can't write its key until the key of the former one has expired.
    simulator.refuse_state_requests(cut_off_holder.next, true);
    simulator.crash(cut_off_holder.next, 300 * kMillisecond);
    const auto alive_count = [&] { return simulator.node(cut_off_holder.holder)->status()["alive"].size(); };
    for (int n = 0; n < 200 && alive_count() == 3; ++n) simulator.run(50 * kMillisecond);
    ASSERT_EQ(alive_count(), 2u);
    simulator.cut_link_one_way("state",
                               host(cut_off_holder.holder));  // it keeps its key but receives nothing
    simulator.refuse_state_requests(cut_off_holder.next, false);
    simulator.run(17 * kSecond);
    cut_off_holder.lose_helper();
    simulator.run(14 * kSecond);
    simulator.heal_link("state", host(cut_off_holder.holder));
    simulator.run(15 * kSecond);
    EXPECT_EQ(simulator.task_starts("req-000001"), 1)
        << "its machine's lease is renewed, so the task must go on\n"
        << simulator.format_history();
    simulator.heal_all_links();
    simulator.run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(simulator);
}

}  // namespace
}  // namespace cottonway::test
