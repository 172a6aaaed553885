// Messages that arrive late or repeatedly: old reports after newer ones, delayed commands and answers, and
// jobs whose tasks end far apart while the holder of their shard changes.

#include "late_messages.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cottonway::test {

using namespace simulation;
namespace {

/// Delivers a copy of a direct launch command that was executed before.
void deliver_launch_again(Simulator& simulator, const std::string& machine, std::uint64_t token,
                          std::uint64_t session, const ReportedTask& task) {
    const Json body =
        wire::direct_orders(token, session, {{OrderKind::Launch, task.job, task.task, task.attempt, 0}});
    simulator.record_event("a launch of " + task.job + " arrives at " + machine + " once more");
    simulator.worker(machine)->handle("POST", "/do", body, simulator.now());
}

std::vector<ReportedTask> tasks_on(Simulator& simulator, const std::string& machine) {
    return wire::parse_report(simulator.worker(machine)->report(simulator.now()))->tasks;
}

// ---------------------------------------------------------------- old reports

TEST(LateMessages, OldReportOfAReturnedMachineDoesNotAllocateIt) {
    auto simulator = settled_simulator(21, 4);
    const std::string machine = simulator->machine_names().back();
    const Json old_report = current_report(*simulator, machine);
    simulator->owner_at(simulator->owner_node())->retire(machine, "retired by the test");
    simulator->run(6 * kSecond);
    ASSERT_EQ(simulator->worker(machine), nullptr) << simulator->format_history();
    for (int i = 0; i < 3; ++i) deliver_report(*simulator, i, old_report);
    simulator->run(2 * kSecond);
    EXPECT_FALSE(is_leased(*simulator, machine)) << simulator->format_history();
    // A new leader that did not return the machine itself doesn't allocate it either.
    simulator->crash(simulator->leader_node(), 60 * kSecond);
    simulator->run(8 * kSecond);
    ASSERT_GE(simulator->leader_node(), 0);
    deliver_report(*simulator, simulator->leader_node(), old_report);
    simulator->run(2 * kSecond);
    EXPECT_FALSE(is_leased(*simulator, machine)) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A machine in no block reports while the cloud API is down: it exists, so it is added to a block and used.
TEST(LateMessages, UnknownMachineIsAllocatedByItsReport) {
    auto simulator = settled_simulator(22, 2);
    simulator->cloud().down = true;
    const std::string machine = simulator->add_machine("small", "a");
    simulator->run(8 * kSecond);
    EXPECT_TRUE(is_leased(*simulator, machine)) << simulator->format_history();
}

TEST(LateMessages, OldReportsDoNotRenewALease) {
    auto simulator = settled_simulator(23, 4);
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(3 * kSecond);
    const std::string machine = *simulator->machines_running("req-000001").begin();
    const Json old_report = current_report(*simulator, machine);
    simulator->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->cut_link(host(i), machine);
    for (int second = 0; second < 22; ++second) {
        for (int i = 0; i < 3; ++i) deliver_report(*simulator, i, old_report);
        simulator->run(kSecond);
        if (second == 7) {
            EXPECT_EQ(simulator->machines_running("req-000001"), std::set{machine})
                << "its lease may still be valid";
        }
    }
    EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << simulator->format_history();
    EXPECT_EQ(simulator->machines_running("req-000001").count(machine), 0u) << "its lease is over\n"
                                                                            << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A copy of a report that its worker gave up on arrives at a node that can't reach the holder. If that node
/// renewed the lease on the holder's behalf, the tasks could not be restarted elsewhere for another lease.
TEST(LateMessages, OldReportAtAnotherNodeDoesNotRenewALease) {
    auto simulator = settled_simulator(24, 4);
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(30 * kSecond);  // long enough that other nodes may renew leases
    const std::string machine = *simulator->machines_running("req-000001").begin();
    const int holder = simulator->owner_node(), other = (holder + 1) % 3;
    const Json old_report = current_report(*simulator, machine);
    deliver_report(*simulator, other, old_report);
    simulator->run(kSecond);
    for (int i = 0; i < 3; ++i) simulator->cut_link(host(i), machine);
    simulator->cut_link(host(holder), host(other));
    simulator->run(8 * kSecond);
    deliver_report(*simulator, other, old_report);
    simulator->run(kSecond);
    simulator->heal_link(host(holder), host(other));
    simulator->run(10 * kSecond);
    ASSERT_TRUE(simulator->owner_at(holder));
    EXPECT_TRUE(simulator->owner_at(holder)->machines().at(machine)->tasks.empty())
        << "its lease is over\n"
        << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// The first reports that a new holder receives are old ones that show a task which has since been restarted
/// on another machine.
TEST(LateMessages, NewHolderReceivesOldReportsFirst) {
    for (Micros first_delay = 0; first_delay < 4 * kSecond; first_delay += 1500 * kMillisecond) {
        auto simulator = settled_simulator(25, 3);
        const auto [machine, old_report] = restart_elsewhere(*simulator);
        ASSERT_FALSE(testing::Test::HasFailure());
        for (int i = 0; i < 3; ++i) simulator->cut_link(host(i), machine);  // no newer report arrives
        simulator->crash(simulator->owner_node(), 60 * kSecond);
        simulator->run(first_delay);
        for (int n = 0; n < 50; ++n) {
            for (int i = 0; i < 3; ++i) deliver_report(*simulator, i, old_report);
            simulator->run(100 * kMillisecond);
        }
        simulator->submit(simulator->make_job(2, JobKind::Array, 6, 4), 2 * kSecond);
        simulator->run(4 * kSecond);
        EXPECT_EQ(simulator->machines_running("req-000002").count(machine), 0u)
            << "the machine is not usable\n"
            << simulator->format_history();
        simulator->run(16 * kSecond);
        EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
        simulator->heal_all_links();
        simulator->run(20 * kSecond);
        EXPECT_EQ(simulator->running_tasks("req-000001"), 1);
        EXPECT_EQ(simulator->task_starts("req-000001"), 2) << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

// ---------------------------------------------------------------- delayed commands

TEST(LateMessages, CommandDelayedByAHungMachineIsExecutedOnce) {
    for (const Micros hang_s : {1, 6, 10, 14}) {
        auto simulator = settled_simulator(26, 2);
        simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
        simulator->run(3 * kSecond);
        const std::string machine = *simulator->machines_running("req-000001").begin();
        simulator->submit(simulator->make_job(2, JobKind::Array, 10, 2), 2 * kSecond);  // launch commands
        simulator->cancel("req-000001");                                                // and stop commands
        simulator->run(20 * kMillisecond);
        simulator->set_hung(machine, true);
        simulator->run(hang_s * kSecond);
        simulator->set_hung(machine, false);
        simulator->run(45 * kSecond);
        EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
        EXPECT_EQ(simulator->running_tasks("req-000001"), 0);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(LateMessages, DelayedStopEndsNoOtherTask) {
    auto simulator = settled_simulator(27, 1);
    const std::string machine = simulator->machine_names().front();
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(3 * kSecond);
    simulator->hold_next_message(host(simulator->owner_node()), machine);
    simulator->cancel("req-000001");
    simulator->run(8 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 0) << "the stop was sent again\n"
                                                         << simulator->format_history();
    simulator->submit(simulator->make_job(2, JobKind::Service, 1), 0);
    simulator->run(3 * kSecond);
    simulator->release_held_messages();
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000002"), 1);
    EXPECT_EQ(simulator->task_starts("req-000002"), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A copy of a launch arrives minutes after its job was cancelled, while token and session still match: no
/// task of the cancelled job may start.
TEST(LateMessages, LaunchMinutesAfterItsCancellationStartsNothing) {
    auto simulator = settled_simulator(28, 1);
    const std::string machine = simulator->machine_names().front();
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(3 * kSecond);
    const auto tasks = tasks_on(*simulator, machine);
    ASSERT_EQ(tasks.size(), 1u);
    const auto token = simulator->worker(machine)->token(), session = simulator->worker(machine)->session();
    simulator->cancel("req-000001");
    simulator->run(120 * kSecond);
    deliver_launch_again(*simulator, machine, token, session, tasks.front());
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000001"), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Exited tasks stay in a worker's reports until they are cleared. When too many accumulate, a higher token
/// clears all of them at once.
TEST(LateMessages, UnclearedTasksInReportsAreBounded) {
    auto simulator = settled_simulator(29, 1);
    const std::string machine = simulator->machine_names().front();
    const auto token = simulator->worker(machine)->token(), session = simulator->worker(machine)->session();
    std::vector<ReportedTask> all_tasks;
    for (int n = 0; n < 10; ++n) {
        JobSpec job = simulator->make_job(1 + n, JobKind::Service, 8, 0.5);
        simulator->submit(job, 0);
        simulator->run(3 * kSecond);
        for (const auto& task : tasks_on(*simulator, machine))
            if (task.job == job.ref) all_tasks.push_back(task);
        simulator->cancel(job.ref);
        simulator->run(5 * kSecond);
        EXPECT_LE(tasks_on(*simulator, machine).size(), 48u) << simulator->format_history();
    }
    ASSERT_GE(all_tasks.size(), 70u);
    EXPECT_GT(simulator->worker(machine)->token(), token);
    for (const auto& task : all_tasks) deliver_launch_again(*simulator, machine, token, session, task);
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000001"), 8) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Delays the next message to or from a machine at various times during a series of launches, stops and
/// clears: by a second, until its sender gave up, or by more than a lease. Meanwhile the machine hangs or the
/// holder crashes.
TEST(LateMessages, AnyDelayedMessageIsExecutedOnce) {
    for (const bool to_machine : {true, false})
        for (const bool holder_crashes : {false, true})
            for (const Micros late_s : {1, 5, 16})
                for (const Micros delay_at_ms : {0, 900, 1800}) {
                    auto simulator = settled_simulator(31, 2);
                    const std::string machine = simulator->machine_names().front();
                    const int holder = simulator->owner_node();
                    simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
                    simulator->run(3 * kSecond);
                    simulator->submit(simulator->make_job(2, JobKind::Array, 16, 2), 2 * kSecond);
                    simulator->run(delay_at_ms * kMillisecond);
                    if (to_machine)
                        simulator->hold_next_message(host(holder), machine);
                    else
                        simulator->hold_next_message(machine, host(holder));
                    if (delay_at_ms % 1800 == 0) simulator->cancel("req-000001");
                    simulator->run(300 * kMillisecond);
                    if (holder_crashes)
                        simulator->crash(holder, 40 * kSecond);
                    else
                        simulator->set_hung(machine, true);
                    simulator->run(late_s * kSecond * 3 / 4);
                    simulator->set_hung(machine, false);
                    simulator->run(late_s * kSecond / 4);
                    simulator->release_held_messages();
                    simulator->run(28 * kSecond);
                    const auto failure_details = [&] {
                        return fmt::format("to machine {}, holder crashes {}, {} s late, at {} ms\n",
                                           to_machine, holder_crashes, late_s, delay_at_ms) +
                               simulator->format_history(120);
                    };
                    EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << failure_details();
                    if (late_s < 12) {
                        EXPECT_EQ(simulator->task_starts("req-000002"), 16) << failure_details();
                    }
                    EXPECT_EQ(simulator->running_tasks("req-000001"), delay_at_ms % 1800 == 0 ? 0 : 2)
                        << failure_details();
                    EXPECT_NO_VIOLATIONS(*simulator);
                }
}

/// A share of all commands is executed 2 to 16 s late and not answered, while jobs start and end. In some
/// runs the holder crashes.
TEST(LateMessages, LateCommandsStartNoTaskTwiceAndEndNoOtherTask) {
    for (const double late_share : {0.5, 1.0})
        for (const bool holder_crashes : {false, true}) {
            auto simulator = settled_simulator(32, 4);
            simulator->delayed_command_rate = late_share;
            for (int i = 0; i < 10; ++i) {
                simulator->submit(simulator->make_job(1 + i, i % 3 ? JobKind::Array : JobKind::Service, 3),
                                  4 * kSecond);
                if (i >= 3 && i % 3 == 0)
                    simulator->cancel(simulator->make_job(1 + i - 3, JobKind::Service, 3).ref);
                simulator->run(3 * kSecond);
                if (holder_crashes && i == 5) simulator->crash(simulator->owner_node(), 10 * kSecond);
            }
            simulator->delayed_command_rate = 0;
            simulator->run(60 * kSecond);
            for (int i = 0; i < 10; ++i) {
                const std::string ref = simulator->make_job(1 + i, JobKind::Array, 3).ref;
                EXPECT_EQ(simulator->reported_stage(ref), i % 3   ? "done"
                                                          : i < 9 ? "cancelled"
                                                                  : "accepted")
                    << simulator->format_history(200);
                EXPECT_EQ(simulator->running_tasks(ref), i == 9 ? 3 : 0)
                    << ref << simulator->format_history(200);
            }
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

/// A launch or a stop of a former holder, which has crashed or was cut off, arrives after its successor's
/// first command.
TEST(LateMessages, CommandOfAFormerHolderIsRejectedAfterOneOfItsSuccessor) {
    for (const bool holder_cut_off : {false, true})
        for (const bool is_stop : {false, true}) {
            auto simulator = settled_simulator(33, 2);
            const auto failure_details = [&] {
                return fmt::format("holder cut off {}, stop {}\n", holder_cut_off, is_stop) +
                       simulator->format_history();
            };
            const std::string machine = simulator->machine_names().front();
            const int former = simulator->owner_node();
            simulator->kill_machine(simulator->machine_names().back());
            if (is_stop) {
                simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
                simulator->run(3 * kSecond);
            }
            simulator->run(10 * kMillisecond);
            simulator->hold_next_message(host(former), machine);
            if (is_stop)
                simulator->cancel("req-000001");
            else
                simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
            simulator->run(300 * kMillisecond);
            if (holder_cut_off)
                simulator->isolate_controller(former, true);
            else
                simulator->crash(former, 60 * kSecond);
            simulator->run(20 * kSecond);
            ASSERT_NE(simulator->owner_node(), former) << failure_details();
            simulator->release_held_messages();
            simulator->run(5 * kSecond);
            EXPECT_EQ(simulator->running_tasks("req-000001"), is_stop ? 0 : 2) << failure_details();
            EXPECT_EQ(simulator->task_starts("req-000001"), 2) << failure_details();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

// ---------------------------------------------------------------- tasks that end far apart

/// The tasks of one job end 20 s apart, since only one fits at a time. Around the end of the first task the
/// holder or all nodes crash, and in some runs the first task's machine is lost.
TEST(LateMessages, JobIsDoneWhenTheLastOfItsTasksIs) {
    for (const bool all_nodes_crash : {false, true})
        for (const bool machine_lost : {false, true})
            for (const Micros crash_after_ms : {50, 1500}) {
                auto simulator = settled_simulator(30, 1);
                const std::string machine = simulator->machine_names().front();
                simulator->submit(simulator->make_job(1, JobKind::Array, 3, 8), 20 * kSecond, 0);
                for (int n = 0; n < 1000 && simulator->completed_tasks("req-000001") == 0; ++n)
                    simulator->run(50 * kMillisecond);
                ASSERT_EQ(simulator->completed_tasks("req-000001"), 1) << simulator->format_history();
                simulator->run(crash_after_ms * kMillisecond);
                for (int i = 0; i < 3; ++i)
                    if (all_nodes_crash || i == simulator->owner_node())
                        simulator->crash(i, all_nodes_crash ? 2 * kSecond : 60 * kSecond);
                if (machine_lost) {
                    simulator->kill_machine(machine);
                    simulator->add_machine("small", "b");
                }
                simulator->run(90 * kSecond);
                EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
                // A result that no holder has received is lost with its machine, and so are the tasks running
                // on it.
                if (!machine_lost) {
                    EXPECT_EQ(simulator->task_starts("req-000001"), 3) << simulator->format_history();
                }
                EXPECT_LE(simulator->task_starts("req-000001"), 5) << simulator->format_history();
                EXPECT_NO_VIOLATIONS(*simulator);
            }
}

}  // namespace
}  // namespace cottonway::test
