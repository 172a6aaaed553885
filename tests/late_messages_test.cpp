// Messages that arrive late, or once more: old reports after newer ones, commands and their answers that are
// held up, and jobs whose tasks end far apart while those who hear of it change.

#include "late_messages.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cottonway::test {

using namespace simulation;
namespace {

/// A copy of a direct launch that was carried out.
void launch_again(Simulator& w, const std::string& machine, std::uint64_t token, std::uint64_t session,
                  const ReportedTask& task) {
    const Json body =
        wire::direct_orders(token, session, {{OrderKind::Launch, task.job, task.task, task.attempt, 0}});
    w.record_event("a launch of " + task.job + " arrives at " + machine + " once more");
    w.worker(machine)->handle("POST", "/do", body, w.now());
}

std::vector<ReportedTask> tasks_on(Simulator& w, const std::string& machine) {
    return wire::parse_report(w.worker(machine)->report(w.now()))->tasks;
}

// ---------------------------------------------------------------- old reports

TEST(LateMessages, AnOldReportOfAReturnedMachineLeasesNoGhost) {
    auto w = settled_simulator(21, 4);
    const std::string machine = w->machine_names().back();
    const Json old = on_its_way(*w, machine);
    w->owner_at(w->owner_node())->retire(machine, "the test wants it");
    w->run(6 * kSecond);
    ASSERT_EQ(w->worker(machine), nullptr) << w->format_history();
    for (int i = 0; i < 3; ++i) arrives(*w, i, old);
    w->run(2 * kSecond);
    EXPECT_FALSE(leased(*w, machine)) << w->format_history();
    // Nor by a leader that has not deleted it itself.
    w->crash(w->leader_node(), 60 * kSecond);
    w->run(8 * kSecond);
    ASSERT_GE(w->leader_node(), 0);
    arrives(*w, w->leader_node(), old);
    w->run(2 * kSecond);
    EXPECT_FALSE(leased(*w, machine)) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// A machine that nobody has leased reports: late or not, it exists, and is used.
TEST(LateMessages, AMachineThatWasNeverLeasedIsLeasedByItsReport) {
    auto w = settled_simulator(22, 2);
    w->cloud().down = true;
    const std::string machine = w->add_machine("small", "a");
    w->run(8 * kSecond);
    EXPECT_TRUE(leased(*w, machine)) << w->format_history();
}

TEST(LateMessages, OldReportsRenewNoDoubt) {
    auto w = settled_simulator(23, 4);
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    const std::string machine = *w->machines_running("req-000001").begin();
    const Json old = on_its_way(*w, machine);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->cut_link(host(i), machine);
    for (int second = 0; second < 22; ++second) {
        for (int i = 0; i < 3; ++i) arrives(*w, i, old);
        w->run(kSecond);
        if (second == 7) {
            EXPECT_EQ(w->machines_running("req-000001"), std::set{machine}) << "in doubt";
        }
    }
    EXPECT_EQ(w->running_tasks("req-000001"), 1) << w->format_history();
    EXPECT_EQ(w->machines_running("req-000001").count(machine), 0u) << "its lease is over\n"
                                                                    << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// A report that its worker gave up arrives once more at a node that can't reach the holder: taken for a
/// renewal on its behalf, it would keep the tasks in doubt for another lease.
TEST(LateMessages, AnOldReportAtAnotherNodeRenewsNoDoubt) {
    auto w = settled_simulator(24, 4);
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(30 * kSecond);  // so long that other nodes may renew leases
    const std::string machine = *w->machines_running("req-000001").begin();
    const int holder = w->owner_node(), other = (holder + 1) % 3;
    const Json old = on_its_way(*w, machine);
    arrives(*w, other, old);
    w->run(kSecond);
    for (int i = 0; i < 3; ++i) w->cut_link(host(i), machine);
    w->cut_link(host(holder), host(other));
    w->run(8 * kSecond);
    arrives(*w, other, old);
    w->run(kSecond);
    w->heal_link(host(holder), host(other));
    w->run(10 * kSecond);
    ASSERT_TRUE(w->owner_at(holder));
    EXPECT_TRUE(w->owner_at(holder)->machines().at(machine)->tasks.empty()) << "its lease is over\n"
                                                                            << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// Reports of before, with a task that has since been started elsewhere, are the first that a new holder
/// hears.
TEST(LateMessages, ANewHolderHearsOldReportsFirst) {
    for (Micros first = 0; first < 4 * kSecond; first += 1500 * kMillisecond) {
        auto w = settled_simulator(25, 3);
        const auto [machine, running] = supersede(*w);
        ASSERT_FALSE(testing::Test::HasFailure());
        for (int i = 0; i < 3; ++i) w->cut_link(host(i), machine);  // nothing newer arrives from it
        w->crash(w->owner_node(), 60 * kSecond);
        w->run(first);
        for (int n = 0; n < 50; ++n) {
            for (int i = 0; i < 3; ++i) arrives(*w, i, running);
            w->run(100 * kMillisecond);
        }
        w->submit(w->make_job(2, JobKind::Array, 6, 4), 2 * kSecond);
        w->run(4 * kSecond);
        EXPECT_EQ(w->machines_running("req-000002").count(machine), 0u) << "not usable\n"
                                                                        << w->format_history();
        w->run(16 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
        w->heal_all_links();
        w->run(20 * kSecond);
        EXPECT_EQ(w->running_tasks("req-000001"), 1);
        EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

// ---------------------------------------------------------------- commands held up

TEST(LateMessages, ACommandHeldByAMachineThatHangsIsCarriedOutOnce) {
    for (const Micros hung : {1, 6, 10, 14}) {
        auto w = settled_simulator(26, 2);
        w->submit(w->make_job(1, JobKind::Service, 2), 0);
        w->run(3 * kSecond);
        const std::string machine = *w->machines_running("req-000001").begin();
        w->submit(w->make_job(2, JobKind::Array, 10, 2), 2 * kSecond);  // launches
        w->cancel("req-000001");                                        // and stops
        w->run(20 * kMillisecond);
        w->set_hung(machine, true);
        w->run(hung * kSecond);
        w->set_hung(machine, false);
        w->run(45 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
        EXPECT_EQ(w->running_tasks("req-000001"), 0);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(LateMessages, AStopHeldUpEndsNothingElse) {
    auto w = settled_simulator(27, 1);
    const std::string machine = w->machine_names().front();
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    w->hold_next_message(host(w->owner_node()), machine);
    w->cancel("req-000001");
    w->run(8 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 0) << "told again\n" << w->format_history();
    w->submit(w->make_job(2, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    w->release_held_messages();
    w->run(5 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000002"), 1);
    EXPECT_EQ(w->task_starts("req-000002"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// However late: token and session still match, and a cancelled job must not be seen again.
TEST(LateMessages, ALaunchMinutesAfterItsCancellationStartsNothing) {
    auto w = settled_simulator(28, 1);
    const std::string machine = w->machine_names().front();
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    const auto tasks = tasks_on(*w, machine);
    ASSERT_EQ(tasks.size(), 1u);
    const auto token = w->worker(machine)->token(), session = w->worker(machine)->session();
    w->cancel("req-000001");
    w->run(120 * kSecond);
    launch_again(*w, machine, token, session, tasks.front());
    w->run(5 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// What is not cleared fills the reports: then a higher token ends the doubt about all of them at once.
TEST(LateMessages, WhatWaitsToBeClearedIsBounded) {
    auto w = settled_simulator(29, 1);
    const std::string machine = w->machine_names().front();
    const auto token = w->worker(machine)->token(), session = w->worker(machine)->session();
    std::vector<ReportedTask> all;
    for (int n = 0; n < 10; ++n) {
        JobSpec job = w->make_job(1 + n, JobKind::Service, 8, 0.5);
        w->submit(job, 0);
        w->run(3 * kSecond);
        for (const auto& t : tasks_on(*w, machine))
            if (t.job == job.ref) all.push_back(t);
        w->cancel(job.ref);
        w->run(5 * kSecond);
        EXPECT_LE(tasks_on(*w, machine).size(), 48u) << w->format_history();
    }
    ASSERT_GE(all.size(), 70u);
    EXPECT_GT(w->worker(machine)->token(), token);
    for (const auto& t : all) launch_again(*w, machine, token, session, t);
    w->run(5 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 8) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// Whatever is the next message to a machine, or from it, at one moment after another of a wave of launches,
/// stops and clears: it arrives a second late, after its sender gave up, or after a lease. Meanwhile the
/// machine hangs for a while, or the holder ends.
TEST(LateMessages, WhateverIsHeldUpIsCarriedOutOnce) {
    for (const bool to_machine : {true, false})
        for (const bool ends : {false, true})
            for (const Micros late : {1, 5, 16})
                for (const Micros when : {0, 900, 1800}) {
                    auto w = settled_simulator(31, 2);
                    const std::string machine = w->machine_names().front();
                    const int holder = w->owner_node();
                    w->submit(w->make_job(1, JobKind::Service, 2), 0);
                    w->run(3 * kSecond);
                    w->submit(w->make_job(2, JobKind::Array, 16, 2), 2 * kSecond);
                    w->run(when * kMillisecond);
                    if (to_machine)
                        w->hold_next_message(host(holder), machine);
                    else
                        w->hold_next_message(machine, host(holder));
                    if (when % 1800 == 0) w->cancel("req-000001");
                    w->run(300 * kMillisecond);
                    if (ends)
                        w->crash(holder, 40 * kSecond);
                    else
                        w->set_hung(machine, true);
                    w->run(late * kSecond * 3 / 4);
                    w->set_hung(machine, false);
                    w->run(late * kSecond / 4);
                    w->release_held_messages();
                    w->run(28 * kSecond);
                    const auto story = [&] {
                        return fmt::format("to machine {} ends {} late {} when {}\n", to_machine, ends, late,
                                           when) +
                               w->format_history(120);
                    };
                    EXPECT_EQ(w->reported_stage("req-000002"), "done") << story();
                    if (late < 12) {
                        EXPECT_EQ(w->task_starts("req-000002"), 16) << story();
                    }
                    EXPECT_EQ(w->running_tasks("req-000001"), when % 1800 == 0 ? 0 : 2) << story();
                    EXPECT_NO_VIOLATIONS(*w);
                }
}

/// A share of all commands is carried out 2 to 16 s late and not answered, while work comes and goes and, now
/// and then, the holder ends.
TEST(LateMessages, LateCommandsStartNothingTwiceAndEndNothingElse) {
    for (const double share : {0.5, 1.0})
        for (const bool ends : {false, true}) {
            auto w = settled_simulator(32, 4);
            w->delayed_command_rate = share;
            for (int i = 0; i < 10; ++i) {
                w->submit(w->make_job(1 + i, i % 3 ? JobKind::Array : JobKind::Service, 3), 4 * kSecond);
                if (i >= 3 && i % 3 == 0) w->cancel(w->make_job(1 + i - 3, JobKind::Service, 3).ref);
                w->run(3 * kSecond);
                if (ends && i == 5) w->crash(w->owner_node(), 10 * kSecond);
            }
            w->delayed_command_rate = 0;
            w->run(60 * kSecond);
            for (int i = 0; i < 10; ++i) {
                const std::string ref = w->make_job(1 + i, JobKind::Array, 3).ref;
                EXPECT_EQ(w->reported_stage(ref), i % 3   ? "done"
                                                  : i < 9 ? "cancelled"
                                                          : "accepted")
                    << w->format_history(200);
                EXPECT_EQ(w->running_tasks(ref), i == 9 ? 3 : 0) << ref << w->format_history(200);
            }
            EXPECT_NO_VIOLATIONS(*w);
        }
}

/// A launch, or a stop, of a holder that has ended or been deposed since arrives after its successor's first
/// command.
TEST(LateMessages, ACommandOfAFormerHolderAfterItsSuccessorsIsRefused) {
    for (const bool deposed : {false, true})
        for (const bool stop : {false, true}) {
            auto w = settled_simulator(33, 2);
            const auto story = [&] {
                return fmt::format("deposed {} stop {}\n", deposed, stop) + w->format_history();
            };
            const std::string machine = w->machine_names().front();
            const int former = w->owner_node();
            w->kill_machine(w->machine_names().back());
            if (stop) {
                w->submit(w->make_job(1, JobKind::Service, 2), 0);
                w->run(3 * kSecond);
            }
            w->run(10 * kMillisecond);
            w->hold_next_message(host(former), machine);
            if (stop)
                w->cancel("req-000001");
            else
                w->submit(w->make_job(1, JobKind::Service, 2), 0);
            w->run(300 * kMillisecond);
            if (deposed)
                w->isolate_controller(former, true);
            else
                w->crash(former, 60 * kSecond);
            w->run(20 * kSecond);
            ASSERT_NE(w->owner_node(), former) << story();
            w->release_held_messages();
            w->run(5 * kSecond);
            EXPECT_EQ(w->running_tasks("req-000001"), stop ? 0 : 2) << story();
            EXPECT_EQ(w->task_starts("req-000001"), 2) << story();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

// ---------------------------------------------------------------- tasks that end far apart

/// The tasks of one job end 20 s apart, since there is room for one at a time; around the first end the
/// holder ends, or all do, and the first task's machine is gone or not.
TEST(LateMessages, AJobWhoseTasksEndFarApartIsDoneWhenTheLastIs) {
    for (const bool all : {false, true})
        for (const bool lost : {false, true})
            for (const Micros after : {50, 1500}) {
                auto w = settled_simulator(30, 1);
                const std::string machine = w->machine_names().front();
                w->submit(w->make_job(1, JobKind::Array, 3, 8), 20 * kSecond, 0);
                for (int n = 0; n < 1000 && w->completed_tasks("req-000001") == 0; ++n)
                    w->run(50 * kMillisecond);
                ASSERT_EQ(w->completed_tasks("req-000001"), 1) << w->format_history();
                w->run(after * kMillisecond);
                for (int i = 0; i < 3; ++i)
                    if (all || i == w->owner_node()) w->crash(i, all ? 2 * kSecond : 60 * kSecond);
                if (lost) {
                    w->kill_machine(machine);
                    w->add_machine("small", "b");
                }
                w->run(90 * kSecond);
                EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
                // A result that no holder has heard of is lost with its machine; what was on it as well.
                if (!lost) {
                    EXPECT_EQ(w->task_starts("req-000001"), 3) << w->format_history();
                }
                EXPECT_LE(w->task_starts("req-000001"), 5) << w->format_history();
                EXPECT_NO_VIOLATIONS(*w);
            }
}

}  // namespace
}  // namespace cottonway::test
