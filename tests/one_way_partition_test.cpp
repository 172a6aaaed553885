// One-way partitions: machines that cannot send reports to any controller while commands reach them, and
// machines that permanently cannot receive anything. Tasks must neither be lost there again and again, nor
// run twice, and such a machine is returned only once no task can run on it.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

int starts_on(const Simulator& simulator, const std::string& machine) {
    return count_trace_lines(simulator, " starts on " + machine);
}

enum class Crash { None, Holder, All };

/// A machine with a service cannot send reports for less or for more than a lease. A little later no
/// controller, the holder or every controller crashes. Short jobs are submitted meanwhile, and there is free
/// capacity for them elsewhere.
TEST(OneWayPartition, TasksOfAMuteMachineRunOnOrMoveElsewhereSoon) {
    for (const Crash crash : {Crash::None, Crash::Holder, Crash::All})
        for (const Micros seconds_blocked : {3, 45}) {
            auto simulator = settled_simulator(51 + static_cast<std::uint64_t>(seconds_blocked), 4,
                                               settings_without_idle_return());
            const auto describe_run = [&] {
                return fmt::format("crash {} seconds mute {}\n", static_cast<int>(crash), seconds_blocked) +
                       simulator->format_history(200);
            };
            simulator->submit(simulator->make_job(1, JobKind::Service, 1, 2), 0);
            simulator->run(3 * kSecond);
            const std::string machine = *simulator->machines_running("req-000001").begin();
            const auto starts_before = starts_on(*simulator, machine);
            simulator->block_reports_from(machine, true);
            const Micros blocked_at = simulator->now();
            simulator->schedule_at(blocked_at + 2 * kSecond, [&] {
                const int holder = simulator->owner_node();
                for (int i = 0; i < 3; ++i)
                    if (crash == Crash::All || (crash == Crash::Holder && i == holder))
                        simulator->crash(i, crash == Crash::All ? 400 * kMillisecond : 90 * kSecond);
            });
            for (int i = 0; i < 20; ++i)
                simulator->schedule_at(blocked_at + i * 2 * kSecond, [&, i] {
                    simulator->submit(simulator->make_job(10 + i, JobKind::Array, 1, 1),
                                      i % 4 ? kSecond : 25 * kSecond);
                });
            simulator->run(seconds_blocked * kSecond);
            if (seconds_blocked > 12) {
                EXPECT_EQ(simulator->machines_running("req-000001").count(machine), 0u) << describe_run();
                EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << describe_run();
                // Each holder may have bound some tasks there before it noticed the silence.
                EXPECT_LE(starts_on(*simulator, machine) - starts_before, 6) << describe_run();
            }
            simulator->block_reports_from(machine, false);
            simulator->run(std::max<Micros>(75 - seconds_blocked, 40) * kSecond);
            for (int i = 0; i < 20; ++i)
                EXPECT_EQ(simulator->reported_stage(simulator->make_job(10 + i, JobKind::Array, 1).ref),
                          "done")
                    << describe_run();
            EXPECT_EQ(simulator->task_starts("req-000001"), seconds_blocked > 12 ? 2 : 1) << describe_run();
            simulator->submit(simulator->make_job(2, JobKind::Array, 4, 5), 2 * kSecond);
            simulator->run(6 * kSecond);
            EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << "the machine must be used again\n"
                                                                       << describe_run();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

/// Guards against a holder that considers a machine usable because it answers every call, although it cannot
/// send reports. Its lease expires nevertheless, so tasks bound to it would be lost again and again.
TEST(OneWayPartition, AnswersToCallsDoNotMakeAMuteMachineUsable) {
    auto simulator = settled_simulator(52, 3, settings_without_idle_return());
    const std::string machine = simulator->machine_names().front();
    simulator->block_reports_from(machine, true);
    simulator->run(7 * kSecond);
    simulator->crash(simulator->owner_node(), 200 * kSecond);  // the next holder calls the machine
    const auto starts_before = starts_on(*simulator, machine);
    simulator->run(6 * kSecond);
    for (int i = 0; i < 30; ++i) {
        simulator->submit(simulator->make_job(1 + i, JobKind::Array, 1, 1), 8 * kSecond);
        simulator->run(kSecond);
    }
    // Only as many as the new holder may bind while it waits for the machine's first report.
    EXPECT_LE(starts_on(*simulator, machine) - starts_before, 3) << simulator->format_history(200);
    simulator->run(30 * kSecond);
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(simulator->reported_stage(simulator->make_job(1 + i, JobKind::Array, 1).ref), "done");
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// The cloud lists a machine that answers calls but has never reported.
TEST(OneWayPartition, NewMachineThatNeverReportsIsAvoidedAndReturned) {
    auto simulator = settled_simulator(53, 2, settings_without_idle_return());
    const std::string machine = simulator->add_machine("small", "a");
    simulator->block_reports_from(machine, true);
    for (int i = 0; i < 30; ++i) {
        simulator->submit(simulator->make_job(1 + i, JobKind::Service, 1, 0.5), 0);
        simulator->run(kSecond);
    }
    EXPECT_LE(starts_on(*simulator, machine), 7) << simulator->format_history(200);
    simulator->run(25 * kSecond);
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(simulator->running_tasks(simulator->make_job(1 + i, JobKind::Service, 1).ref), 1);
    EXPECT_EQ(simulator->machines_running("req-000001").count(machine), 0u);
    simulator->run(110 * kSecond);
    EXPECT_EQ(simulator->worker(machine), nullptr) << "the machine must be returned";
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A machine that has not reported, or has not shown that it receives messages, for a lease and 90 s is
/// returned once no task can run on it.
TEST(OneWayPartition, DeafOrMuteMachineIsReturnedOnceNoTaskCanRunThere) {
    for (const bool cannot_receive : {false, true})
        for (const bool busy : {false, true}) {
            auto simulator = settled_simulator(54, 3, settings_without_idle_return());
            const auto describe_run = [&] {
                return fmt::format("deaf {} busy {}\n", cannot_receive, busy) + simulator->format_history();
            };
            if (busy) simulator->submit(simulator->make_job(1, JobKind::Service, 1, 2), 0);
            simulator->run(3 * kSecond);
            const std::string machine = busy ? *simulator->machines_running("req-000001").begin()
                                             : simulator->machine_names().front();
            if (cannot_receive)
                simulator->block_messages_to(machine, true);
            else
                simulator->block_reports_from(machine, true);
            // Submits a task that is bound to the machine, so that a controller calls it.
            simulator->submit(simulator->make_job(2, JobKind::Array, 3, 5), 2 * kSecond);
            simulator->run(60 * kSecond);
            EXPECT_NE(simulator->worker(machine), nullptr) << "a short fault must not return the machine\n"
                                                           << describe_run();
            simulator->run(simulator->settings.worker_lease + 60 * kSecond);
            EXPECT_EQ(simulator->worker(machine), nullptr) << describe_run();
            if (busy) {
                EXPECT_EQ(simulator->running_tasks("req-000001"), 1) << describe_run();
            }
            EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << describe_run();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

/// A machine whose tasks can't be proven terminated, because a controller that may renew its lease does not
/// answer, isn't returned however long that takes: its deletion would end tasks that may still be running.
TEST(OneWayPartition, MachineIsKeptWhileItsTasksMayStillRun) {
    auto simulator = settled_simulator(55, 2, settings_without_idle_return());
    simulator->submit(simulator->make_job(1, JobKind::Service, 1, 2), 0);
    simulator->run(30 * kSecond);
    const std::string machine = *simulator->machines_running("req-000001").begin();
    const int holder = simulator->owner_node(), other = (holder + 1) % 3;
    for (int i = 0; i < 3; ++i)
        if (i != other) simulator->cut_link(host(i), machine);
    // The other controller keeps renewing the machine's lease and can't promise to stop doing so.
    simulator->cut_link(host(holder), host(other));
    simulator->run(150 * kSecond);
    EXPECT_EQ(simulator->machines_running("req-000001"), std::set{machine}) << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000001"), 1) << simulator->format_history();
    simulator->heal_all_links();
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000001"), 1) << simulator->format_history();
    EXPECT_NE(simulator->worker(machine), nullptr);
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
