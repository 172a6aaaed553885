// Old reports that reach every controller when a new leader takes over, or that are delayed until it has
// acted: reports of earlier sessions and attempts, of deleted machines, and of tasks that have ended since.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Crashes the leader, which holds all or part of the machines, or with `all` every controller.
void crash_controllers(Simulator& simulator, bool all) {
    const int leader = simulator.leader_node();
    for (int i = 0; i < simulator.node_count(); ++i)
        if (all || i == leader) simulator.crash(i, all ? 300 * kMillisecond : 20 * kSecond);
}

/// A machine is returned, then all controllers, which know that it was deleted, restart. Its last report
/// arrives again and again.
TEST(LeaderFailover, DeletedMachineIsNotLeasedByAnOldReportAfterARestart) {
    for (const double cpu_share : {1.0, 0.001}) {
        auto simulator = settled_simulator(41, 6, settings_without_idle_return(cpu_share));
        const std::string machine = simulator->machine_names().back();
        const Json old_report = current_report(*simulator, machine);
        for (int i = 0; i < 3; ++i)
            if (simulator->owner_at(i)) simulator->owner_at(i)->retire(machine, "retired by the test");
        simulator->run(6 * kSecond);
        ASSERT_EQ(simulator->worker(machine), nullptr) << simulator->format_history();
        crash_controllers(*simulator, true);
        for (int n = 0; n < 100; ++n) {
            deliver_report_to_all(*simulator, old_report);
            simulator->run(100 * kMillisecond);
            ASSERT_FALSE(is_leased(*simulator, machine)) << simulator->format_history();
        }
        ASSERT_GE(simulator->leader_node(), 0);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

/// An old report shows a task that has been proven terminated on its machine and was started elsewhere since.
/// The machine no longer reports, so when the task has to be restarted, the old report must not delay it for
/// ever.
TEST(LeaderFailover, OldReportDelaysARestartOfItsTaskByAtMostOneLease) {
    auto simulator = settled_simulator(42, 3, settings_without_idle_return());
    const auto [machine, running] = restart_elsewhere(*simulator);
    ASSERT_FALSE(testing::Test::HasFailure());
    cut_from_all_nodes(*simulator, machine);
    crash_controllers(*simulator, false);
    // The leases that the former holder granted expire soon after this.
    simulator->run(simulator->settings.operators.liveness_ttl +
                   controller_lease_duration(simulator->settings));
    deliver_report_to_all(*simulator, running);
    simulator->kill_machine(*simulator->machines_running("req-000001").begin());
    const Micros elapsed =
        run_until(*simulator, 60 * kSecond, [&] { return simulator->running_tasks("req-000001") == 1; });
    EXPECT_LE(elapsed, with_drift(simulator->settings.worker_lease) + 3 * kSecond)
        << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A gang finishes while its machines are cut off, and no controller learns this before their leases expire:
/// the gang waits to run again. The next holder then receives one of the old reports that show it finished.
TEST(LeaderFailover, OneOldResultOfAGangCompletesTheGang) {
    auto simulator = settled_simulator(43, 2, settings_without_idle_return());
    simulator->submit(simulator->make_job(1, JobKind::Gang, 2, 6), 6 * kSecond);
    simulator->run(3 * kSecond);
    ASSERT_EQ(simulator->running_tasks("req-000001"), 2) << simulator->format_history();
    const auto machines = simulator->machine_names();
    for (const auto& m : machines) cut_from_all_nodes(*simulator, m);
    run_until(*simulator, 20 * kSecond, [&] { return simulator->completed_tasks("req-000001") == 2; });
    const Json result_report = current_report(*simulator, machines[0]);
    simulator->run(30 * kSecond);
    crash_controllers(*simulator, false);
    simulator->run(simulator->settings.operators.liveness_ttl + 2 * kSecond);
    deliver_report_to_all(*simulator, result_report);
    for (const auto& m : machines) simulator->kill_machine(m);  // along with all other results of the gang
    for (int i = 0; i < 2; ++i) simulator->add_machine("small", "a");
    simulator->run(30 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
    EXPECT_LE(simulator->task_starts("req-000001"), 4) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Every report sent before the failover is delayed until the next leader is active, and some later ones
/// arrive late as well, while jobs end, are cancelled and start, and a machine is returned. The next holder
/// takes over 2 s to more than two leases later. Since no task is lost, none may start again.
TEST(LeaderFailover, DelayedReportsChangeNothing) {
    for (const bool all : {false, true})
        for (const double cpu_share : {1.0, 0.001})
            for (const Micros delay_s : {2, 13, 30}) {
                auto simulator = settled_simulator(44 + static_cast<std::uint64_t>(delay_s), 6,
                                                   settings_without_idle_return(cpu_share));
                const auto describe_run = [&] {
                    return fmt::format("all {} share {} delay_s {}\n", all, cpu_share, delay_s) +
                           simulator->format_history();
                };
                simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
                simulator->submit(simulator->make_job(2, JobKind::Service, 2), 0);
                simulator->submit(simulator->make_job(3, JobKind::Array, 4), 8 * kSecond);
                simulator->submit(simulator->make_job(4, JobKind::Gang, 2, 4), 60 * kSecond);
                simulator->replayed_report_rate = 1;
                simulator->late_report_copy_rate = 0.3;
                simulator->run(4 * kSecond);
                simulator->cancel("req-000002");
                simulator->run(delay_s * kSecond);
                simulator->replayed_report_rate = 0;
                simulator->record_running_tasks();
                const auto delayed_reports = simulator->pending_report_replays();
                crash_controllers(*simulator, all);
                run_until(*simulator, 10 * kSecond, [&] { return simulator->pending_report_replays() == 0; });
                ASSERT_GT(delayed_reports, 0u);
                simulator->submit(simulator->make_job(5, JobKind::Array, 4), 3 * kSecond);
                simulator->run(8 * kSecond);
                EXPECT_EQ(simulator->pending_report_replays(), 0u) << describe_run();
                EXPECT_EQ(simulator->unnecessary_starts(), 0u) << describe_run();
                EXPECT_EQ(simulator->running_tasks("req-000001"), 2) << describe_run();
                simulator->run(60 * kSecond);
                for (const char* ref : {"req-000003", "req-000004", "req-000005"})
                    EXPECT_EQ(simulator->reported_stage(ref), "done") << ref << describe_run();
                EXPECT_EQ(simulator->reported_stage("req-000002"), "cancelled");
                EXPECT_EQ(simulator->running_tasks("req-000002"), 0);
                EXPECT_EQ(simulator->task_starts("req-000003"), 4) << describe_run();
                EXPECT_NO_VIOLATIONS(*simulator);
            }
}

/// Copies of old reports, each newer than the one before, keep arriving at a new holder after their machine
/// was cut off. They can't be distinguished from current reports, so the task counts as running until one
/// lease after the last of them.
TEST(LeaderFailover, TaskRestartsOneLeaseAfterTheLastReportCopy) {
    for (const Micros last_copy_s : {2, 12, 24}) {
        auto simulator = settled_simulator(45, 4, settings_without_idle_return());
        simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
        simulator->run(10 * kSecond);
        const std::string machine = *simulator->machines_running("req-000001").begin();
        std::vector<Json> copies;
        for (int i = 0; i < 6; ++i) copies.push_back(current_report(*simulator, machine));
        cut_from_all_nodes(*simulator, machine);
        const Micros cut_at = simulator->now();
        crash_controllers(*simulator, false);
        for (std::size_t i = 0; i < copies.size(); ++i)
            simulator->schedule_at(
                cut_at + last_copy_s * kSecond * static_cast<Micros>(i + 1) / 6,
                [&simulator, report = copies[i]] { deliver_report_to_all(*simulator, report); });
        run_until(*simulator, 90 * kSecond,
                  [&] { return simulator->machines_running("req-000001").count(machine) == 0; });
        const Micros elapsed = simulator->now() - cut_at + run_until(*simulator, 90 * kSecond, [&] {
                                   return simulator->running_tasks("req-000001") == 1;
                               });
        const Micros former_holder_bound = simulator->settings.operators.liveness_ttl + kSecond +
                                           controller_lease_duration(simulator->settings);
        EXPECT_LE(elapsed, std::max(former_holder_bound, last_copy_s * kSecond) +
                               with_drift(simulator->settings.worker_lease) + 2 * kSecond)
            << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000001"), 2) << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

/// A machine with a long task is cut off, or does not receive answers, while the leader fails. For less than
/// a lease the task continues there; for longer it is restarted elsewhere, and runs only there.
TEST(LeaderFailover, TaskRestartsElsewhereOnlyIfItsMachineIsCutOffForLongerThanALease) {
    for (const bool one_way : {false, true})
        for (const Micros outage_s : {4, 50}) {
            auto simulator = settled_simulator(47, 4, settings_without_idle_return());
            const auto describe_run = [&] {
                return fmt::format("one_way {} outage_s {}\n", one_way, outage_s) +
                       simulator->format_history();
            };
            simulator->submit(simulator->make_job(1, JobKind::Array, 1, 4), 90 * kSecond);
            simulator->submit(simulator->make_job(2, JobKind::Gang, 2, 4), 90 * kSecond);
            simulator->run(3 * kSecond);
            const std::string machine = *simulator->machines_running("req-000001").begin();
            if (one_way)
                simulator->block_messages_to(machine, true);
            else
                cut_from_all_nodes(*simulator, machine);
            simulator->run(kSecond);
            crash_controllers(*simulator, false);
            simulator->run(outage_s * kSecond);
            EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << describe_run();
            EXPECT_EQ(simulator->machines_running("req-000001").count(machine), outage_s < 12 ? 1u : 0u)
                << describe_run();
            simulator->block_messages_to(machine, false);
            simulator->heal_all_links();
            simulator->run(120 * kSecond);
            EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << describe_run();
            EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << describe_run();
            EXPECT_EQ(simulator->task_starts("req-000001"), outage_s < 12 ? 1 : 2) << describe_run();
            // One task for each machine.
            simulator->submit(simulator->make_job(3, JobKind::Array, 4, 5), 2 * kSecond);
            simulator->run(8 * kSecond);
            EXPECT_EQ(simulator->reported_stage("req-000003"), "done") << describe_run();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

/// A holder proves by elapsed time that a task has terminated, while there is no other machine to restart it
/// on. Its successor need not wait for that proof again.
TEST(LeaderFailover, TaskProvenGoneIsNotWaitedForAgain) {
    auto simulator = settled_simulator(48, 1, settings_without_idle_return());
    const std::string machine = simulator->machine_names().front();
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(3 * kSecond);
    cut_from_all_nodes(*simulator, machine);
    simulator->run(40 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 0);
    crash_controllers(*simulator, false);
    simulator->run(simulator->settings.operators.liveness_ttl + kSecond);
    simulator->add_machine("small", "b");
    simulator->run(8 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Unreachable machines must not make idle ones surplus, since their tasks have to be restarted on these.
TEST(LeaderFailover, IdleMachinesAreKeptWhileTasksAreInDoubt) {
    auto simulator = settled_simulator(45, 4);
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(10 * kSecond);
    cut_from_all_nodes(*simulator, *simulator->machines_running("req-000001").begin());
    crash_controllers(*simulator, false);
    simulator->run(simulator->settings.operators.liveness_ttl +
                   controller_lease_duration(simulator->settings) +
                   with_drift(simulator->settings.worker_lease) + 5 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// While the holder can't be reached, every other controller renews leases on its behalf. A report that its
/// worker has given up on renews the lease once, whatever copies of it follow.
TEST(LeaderFailover, ReportCopiesAtOtherControllersRenewALeaseOnce) {
    for (const Micros last_copy_s : {6, 24}) {
        auto simulator = settled_simulator(46, 4, settings_without_idle_return());
        simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
        simulator->run(30 * kSecond);
        const std::string machine = *simulator->machines_running("req-000001").begin();
        const int holder = simulator->owner_node();
        const Json old_report = current_report(*simulator, machine);
        cut_from_all_nodes(*simulator, machine);
        const Micros cut_at = simulator->now();
        for (int i = 0; i < 3; ++i)
            if (i != holder) simulator->cut_link(host(holder), host(i));
        for (Micros second = 0; second < last_copy_s; ++second) {
            for (int i = 0; i < 3; ++i) deliver_report(*simulator, i, old_report);
            simulator->run(kSecond);
        }
        for (int i = 0; i < 3; ++i)
            if (i != holder) simulator->heal_link(host(holder), host(i));
        run_until(*simulator, 90 * kSecond, [&] {
            return simulator->running_tasks("req-000001") == 1 &&
                   !simulator->machines_running("req-000001").count(machine);
        });
        EXPECT_LE(simulator->now() - cut_at,
                  std::max(last_copy_s * kSecond, with_drift(simulator->settings.worker_lease)) + 4 * kSecond)
            << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
