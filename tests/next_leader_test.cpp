// Old reports that reach every controller as a new leader begins, or that are held back until one has acted:
// of earlier sessions and attempts, of machines that are gone, of work that has ended since.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// The leader ends, which holds the machines, or part of them; or all do.
void end(Simulator& w, bool all) {
    const int leader = w.leader_node();
    for (int i = 0; i < w.node_count(); ++i)
        if (all || i == leader) w.crash(i, all ? 300 * kMillisecond : 20 * kSecond);
}

/// A machine is returned, then everybody ends who knows of it; its last report comes again and again.
TEST(NextLeader, NoGhostIsLeasedWhoeverHasStartedSince) {
    for (const double share : {1.0, 0.001}) {
        auto w = settled_simulator(41, 6, patient(share));
        const std::string machine = w->machine_names().back();
        const Json old = on_its_way(*w, machine);
        for (int i = 0; i < 3; ++i)
            if (w->owner_at(i)) w->owner_at(i)->retire(machine, "the test wants it");
        w->run(6 * kSecond);
        ASSERT_EQ(w->worker(machine), nullptr) << w->format_history();
        end(*w, true);
        for (int n = 0; n < 100; ++n) {
            arrives_everywhere(*w, old);
            w->run(100 * kMillisecond);
            ASSERT_FALSE(leased(*w, machine)) << w->format_history();
        }
        ASSERT_GE(w->leader_node(), 0);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

/// The copy shows a task that was proven gone there and has been started elsewhere since. Its machine is not
/// heard any more; when the task is to start again, that copy must not stand in its way for ever.
TEST(NextLeader, WhatAnOldReportShowsHoldsATaskUpForALeaseAtMost) {
    auto w = settled_simulator(42, 3, patient());
    const auto [machine, running] = supersede(*w);
    ASSERT_FALSE(testing::Test::HasFailure());
    cut_from_all(*w, machine);
    end(*w, false);
    w->run(w->settings.ops.live_ttl + authority(w->settings));  // what the former holder granted is over soon
    arrives_everywhere(*w, running);
    w->kill_machine(*w->machines_running("req-000001").begin());
    const Micros took = until(*w, 60 * kSecond, [&] { return w->running_tasks("req-000001") == 1; });
    EXPECT_LE(took, with_drift(w->settings.lease) + 3 * kSecond) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// A gang is done while its machines are cut off, and nobody hears of it before their leases are over: it
/// waits to run again. The next holder then hears one of the reports of that time.
TEST(NextLeader, OneOldResultOfAGangIsTheWholeGangs) {
    auto w = settled_simulator(43, 2, patient());
    w->submit(w->make_job(1, JobKind::Gang, 2, 6), 6 * kSecond);
    w->run(3 * kSecond);
    ASSERT_EQ(w->running_tasks("req-000001"), 2) << w->format_history();
    const auto machines = w->machine_names();
    for (const auto& m : machines) cut_from_all(*w, m);
    until(*w, 20 * kSecond, [&] { return w->completed_tasks("req-000001") == 2; });
    const Json result = on_its_way(*w, machines[0]);
    w->run(30 * kSecond);
    end(*w, false);
    w->run(w->settings.ops.live_ttl + 2 * kSecond);
    arrives_everywhere(*w, result);
    for (const auto& m : machines) w->kill_machine(m);  // with all other results
    for (int i = 0; i < 2; ++i) w->add_machine("small", "a");
    w->run(30 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_LE(w->task_starts("req-000001"), 4) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// Every report of before is kept for the next leader, and part of the later ones arrives late as well, while
/// jobs end, are cancelled and start, and a machine is returned. The next holder begins 2 s to two leases and
/// more afterwards; as nothing that it holds is lost, nothing starts again.
TEST(NextLeader, KeptReportsChangeNothing) {
    for (const bool all : {false, true})
        for (const double share : {1.0, 0.001})
            for (const Micros late : {2, 13, 30}) {
                auto w = settled_simulator(44 + static_cast<std::uint64_t>(late), 6, patient(share));
                const auto story = [&] {
                    return fmt::format("all {} share {} late {}\n", all, share, late) + w->format_history();
                };
                w->submit(w->make_job(1, JobKind::Service, 2), 0);
                w->submit(w->make_job(2, JobKind::Service, 2), 0);
                w->submit(w->make_job(3, JobKind::Array, 4), 8 * kSecond);
                w->submit(w->make_job(4, JobKind::Gang, 2, 4), 60 * kSecond);
                w->replayed_report_rate = 1;
                w->late_report_copy_rate = 0.3;
                w->run(4 * kSecond);
                w->cancel("req-000002");
                w->run(late * kSecond);
                w->replayed_report_rate = 0;
                w->record_running_tasks();
                const auto kept = w->pending_report_replays();
                end(*w, all);
                until(*w, 10 * kSecond, [&] { return w->pending_report_replays() == 0; });
                ASSERT_GT(kept, 0u);
                w->submit(w->make_job(5, JobKind::Array, 4), 3 * kSecond);
                w->run(8 * kSecond);
                EXPECT_EQ(w->pending_report_replays(), 0u) << story();
                EXPECT_EQ(w->unnecessary_starts(), 0u) << story();
                EXPECT_EQ(w->running_tasks("req-000001"), 2) << story();
                w->run(60 * kSecond);
                for (const char* ref : {"req-000003", "req-000004", "req-000005"})
                    EXPECT_EQ(w->reported_stage(ref), "done") << ref << story();
                EXPECT_EQ(w->reported_stage("req-000002"), "cancelled");
                EXPECT_EQ(w->running_tasks("req-000002"), 0);
                EXPECT_EQ(w->task_starts("req-000003"), 4) << story();
                EXPECT_NO_VIOLATIONS(*w);
            }
}

/// Copies of different age, each newer than the one before, go on arriving at a new holder after their
/// machine was cut off. None can be told from a report of now, so the doubt lasts until a lease after the
/// last of them.
TEST(NextLeader, DoubtEndsALeaseAfterTheLastCopy) {
    for (const Micros last : {2, 12, 24}) {
        auto w = settled_simulator(45, 4, patient());
        w->submit(w->make_job(1, JobKind::Service, 1), 0);
        w->run(10 * kSecond);
        const std::string machine = *w->machines_running("req-000001").begin();
        std::vector<Json> copies;
        for (int i = 0; i < 6; ++i) copies.push_back(on_its_way(*w, machine));
        cut_from_all(*w, machine);
        const Micros from = w->now();
        end(*w, false);
        for (std::size_t i = 0; i < copies.size(); ++i)
            w->schedule_at(from + last * kSecond * static_cast<Micros>(i + 1) / 6,
                           [&w, report = copies[i]] { arrives_everywhere(*w, report); });
        until(*w, 90 * kSecond, [&] { return w->machines_running("req-000001").count(machine) == 0; });
        const Micros took =
            w->now() - from + until(*w, 90 * kSecond, [&] { return w->running_tasks("req-000001") == 1; });
        const Micros former = w->settings.ops.live_ttl + kSecond + authority(w->settings);
        EXPECT_LE(took, std::max(former, last * kSecond) + with_drift(w->settings.lease) + 2 * kSecond)
            << w->format_history();
        EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

/// A machine with a long task can't be reached, or does not hear what it is answered, while the leader ends:
/// for less than a lease the task goes on; for longer it begins once more elsewhere, and only there.
TEST(NextLeader, LongTasksOnMachinesThatCantBeReachedOrDontHear) {
    for (const bool deaf : {false, true})
        for (const Micros span : {4, 50}) {
            auto w = settled_simulator(47, 4, patient());
            const auto story = [&] {
                return fmt::format("deaf {} span {}\n", deaf, span) + w->format_history();
            };
            w->submit(w->make_job(1, JobKind::Array, 1, 4), 90 * kSecond);
            w->submit(w->make_job(2, JobKind::Gang, 2, 4), 90 * kSecond);
            w->run(3 * kSecond);
            const std::string machine = *w->machines_running("req-000001").begin();
            if (deaf)
                w->block_messages_to(machine, true);
            else
                cut_from_all(*w, machine);
            w->run(kSecond);
            end(*w, false);
            w->run(span * kSecond);
            EXPECT_EQ(w->running_tasks("req-000001"), 1) << story();
            EXPECT_EQ(w->machines_running("req-000001").count(machine), span < 12 ? 1u : 0u) << story();
            w->block_messages_to(machine, false);
            w->heal_all_links();
            w->run(120 * kSecond);
            EXPECT_EQ(w->reported_stage("req-000001"), "done") << story();
            EXPECT_EQ(w->reported_stage("req-000002"), "done") << story();
            EXPECT_EQ(w->task_starts("req-000001"), span < 12 ? 1 : 2) << story();
            w->submit(w->make_job(3, JobKind::Array, 4, 5), 2 * kSecond);  // one for each machine
            w->run(8 * kSecond);
            EXPECT_EQ(w->reported_stage("req-000003"), "done") << story();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

/// What a holder has proven by time alone its successor need not prove again, though nothing could take its
/// place.
TEST(NextLeader, WhatIsProvenGoneStaysProven) {
    auto w = settled_simulator(48, 1, patient());
    const std::string machine = w->machine_names().front();
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    cut_from_all(*w, machine);
    w->run(40 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 0);
    end(*w, false);
    w->run(w->settings.ops.live_ttl + kSecond);
    w->add_machine("small", "b");
    w->run(8 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// Machines that nobody hears are no reason to return idle ones, which are where their work has to go.
TEST(NextLeader, RoomIsKeptForWhatIsInDoubt) {
    auto w = settled_simulator(45, 4);
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(10 * kSecond);
    cut_from_all(*w, *w->machines_running("req-000001").begin());
    end(*w, false);
    w->run(w->settings.ops.live_ttl + authority(w->settings) + with_drift(w->settings.lease) + 5 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// A lease that is renewed on a holder's behalf for a report that its worker gave up counts once, whatever
/// copies follow: the end of the leader has every controller stand in.
TEST(NextLeader, CopiesAtOthersRenewADoubtOnce) {
    for (const Micros last : {6, 24}) {
        auto w = settled_simulator(46, 4, patient());
        w->submit(w->make_job(1, JobKind::Service, 1), 0);
        w->run(30 * kSecond);
        const std::string machine = *w->machines_running("req-000001").begin();
        const int holder = w->owner_node();
        const Json old = on_its_way(*w, machine);
        cut_from_all(*w, machine);
        const Micros from = w->now();
        for (int i = 0; i < 3; ++i)
            if (i != holder) w->cut_link(host(holder), host(i));
        for (Micros at = 0; at < last; ++at) {
            for (int i = 0; i < 3; ++i) arrives(*w, i, old);
            w->run(kSecond);
        }
        for (int i = 0; i < 3; ++i)
            if (i != holder) w->heal_link(host(holder), host(i));
        until(*w, 90 * kSecond, [&] {
            return w->running_tasks("req-000001") == 1 && !w->machines_running("req-000001").count(machine);
        });
        EXPECT_LE(w->now() - from, std::max(last * kSecond, with_drift(w->settings.lease)) + 4 * kSecond)
            << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

}  // namespace
}  // namespace cottonway::test
