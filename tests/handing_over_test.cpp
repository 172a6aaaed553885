// Two troubles at once: shards that go to and fro within a second, and machines that don't hear.

#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

TEST(HandingOver, WhoeverHeldTheDomainBeforeIsCountedWith) {
    // The record names the node that takes the shard, so it has been taken for its own former process's; but
    // it was given by another, which does not know that yet and goes on answering.
    for (const bool ends : {false, true}) {
        Settings site = small_cluster_settings();
        site.ops.idle_return = 600 * kSecond;
        auto w = settled_simulator(21, 2, site);
        const int giver = w->owner_node(), taker = (giver + 1) % 3;
        w->submit(w->make_job(1, JobKind::Service, 1), 0);
        w->run(3 * kSecond);
        ASSERT_EQ(w->running_tasks("req-000001"), 1);
        const std::string machine = *w->machines_running("req-000001").begin();
        w->run(10 * kSecond);
        w->cut_link_one_way("state", host(giver));  // its key stays, it hears nothing
        for (const auto& m : w->machine_names())    // nor does a machine tell it
            for (int i = 0; i < 3; ++i)
                if ((i == giver) != (m == machine)) w->cut_link(host(i), m);
        commit_shard_transfer(*w, giver, taker);
        w->run(400 * kMillisecond);
        if (ends) w->crash(taker, 100 * kMillisecond);
        w->run(45 * kSecond);
        EXPECT_EQ(w->running_tasks("req-000001"), 1) << "in doubt no longer than need be\n"
                                                     << w->format_history();
        EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(HandingOver, AFormerProcessTakesNoKeyWithIt) {
    // The former process's put of its key is carried out late, while the lease that it names still lives.
    for (Micros when = kMillisecond; when < 12 * kMillisecond; when += 2 * kMillisecond) {
        auto w = settled_simulator(23, 2);
        const int node = (w->owner_node() + 1) % 3;
        w->crash(node, 3 * kSecond);
        w->run(3 * kSecond + when);
        w->hold_next_message(host(node), "state");
        w->run(50 * kMillisecond);
        w->crash(node, 50 * kMillisecond);
        w->run(2 * kSecond);
        w->release_held_messages();
        w->run(8 * kSecond);
        const Json alive = w->node(w->owner_node())->status()["alive"];
        EXPECT_EQ(alive.size(), 3u) << "held " << when / kMillisecond << " ms after the start\n"
                                    << w->format_history();
    }
}

TEST(Deaf, WhatAMachineDoesNotHearRunsElsewhere) {
    auto w = settled_simulator(24, 2);
    w->submit(w->make_job(1, JobKind::Service, 1, 1), 0);
    w->run(3 * kSecond);
    const std::string machine = *w->machines_running("req-000001").begin();
    w->block_messages_to(machine, true);
    for (int i = 2; i <= 3; ++i) w->submit(w->make_job(i, JobKind::Array, 1, 5), 2 * kSecond);
    // Its lease, a vain report to each controller in turn, and what the tasks take.
    w->run(w->settings.lease + 4 * 5 * kSecond + 5 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
    EXPECT_EQ(w->reported_stage("req-000003"), "done") << w->format_history();
    EXPECT_EQ(w->running_tasks("req-000001"), 1) << w->format_history();
    EXPECT_NE(*w->machines_running("req-000001").begin(), machine);
    w->block_messages_to(machine, false);
    w->run(8 * kSecond);
    w->submit(w->make_job(4, JobKind::Array, 2, 6), 2 * kSecond);
    w->run(6 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000004"), "done") << "it is used again\n" << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Deaf, WhatAFormerHolderLaunchedThereIsGoneWithItsLastLease) {
    // A machine that reports, but never shows the new holder's token.
    auto w = settled_simulator(25, 2);
    const int former = w->owner_node();
    const std::string machine = w->machine_names().front();
    w->block_messages_to(machine, true);
    for (int i = 1; i <= 2; ++i) w->submit(w->make_job(i, JobKind::Array, 1, 5), 2 * kSecond);
    w->run(kSecond);
    ASSERT_EQ(w->task_starts("req-000001") + w->task_starts("req-000002"), 1)
        << "one is bound to the deaf machine";
    w->crash(former, 300 * kSecond);
    // Until the dead holder is noticed, its authority, a lease, a report.
    w->run(3 * kSecond + authority(w->settings) + with_drift(w->settings.lease) + 5 * kSecond + 5 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(HandingOver, AllEndAndReturnWithinASecondTimeAndAgain) {
    for (std::uint64_t seed = 31; seed < 35; ++seed) {
        Settings site = small_cluster_settings();
        if (seed % 2) site.cpu_share = 0.001;  // several shards, so that some are handed back
        auto w = settled_simulator(seed, 8, site);
        w->submit(w->make_job(1, JobKind::Service, 3), 0);
        for (int i = 2; i <= 6; ++i) w->submit(w->make_job(i, JobKind::Array, 3), 15 * kSecond);
        w->run(2 * kSecond);
        w->duplicate_rate = 0.1;
        w->delayed_write_rate = 0.1;
        w->late_report_copy_rate = 0.1;
        for (int round = 0; round < 5; ++round) {
            for (int i = 0; i < 3; ++i)
                w->crash(i, static_cast<Micros>(50 + w->random() % 950) * kMillisecond);
            w->run(static_cast<Micros>(800 + w->random() % 3000) * kMillisecond);
        }
        w->duplicate_rate = w->delayed_write_rate = w->late_report_copy_rate = 0;
        w->run(90 * kSecond);
        for (int i = 2; i <= 6; ++i)
            EXPECT_EQ(w->reported_stage("req-00000" + std::to_string(i)), "done")
                << "seed " << seed << w->format_history();
        EXPECT_EQ(w->running_tasks("req-000001"), 3) << "seed " << seed << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(HandingOver, ACommandHeldUpWhileTheDomainGoesAndReturnsStartsNothingTwice) {
    auto w = settled_simulator(41, 1);
    const int giver = w->owner_node(), taker = (giver + 1) % 3;
    const std::string machine = w->machine_names().front();
    w->hold_next_message(host(giver), machine);  // the /do with the launch
    w->submit(w->make_job(1, JobKind::Array, 1), kSecond, 0);
    w->run(600 * kMillisecond);
    commit_shard_transfer(*w, giver, taker);
    w->run(400 * kMillisecond);
    ASSERT_EQ(w->owner_node(), taker) << w->format_history();
    commit_shard_transfer(*w, taker, giver);
    w->run(400 * kMillisecond);
    ASSERT_EQ(w->owner_node(), giver) << w->format_history();
    w->run(10 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    w->release_held_messages();
    w->run(10 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(HandingOver, OneReturnsAtOnceWhileADomainGoesToAndFro) {
    for (const Micros back : {100 * kMillisecond, kSecond})
        for (const Micros gone : {20 * kMillisecond, 400 * kMillisecond})
            for (int one = 0; one < 3; ++one) {
                auto w = settled_simulator(42, 4);
                const int giver = w->owner_node(), taker = (giver + 1) % 3;
                w->submit(w->make_job(1, JobKind::Service, 3), 0);
                w->submit(w->make_job(2, JobKind::Array, 3), 15 * kSecond);
                w->submit(w->make_job(3, JobKind::Gang, 2), 15 * kSecond);
                w->run(3 * kSecond);
                commit_shard_transfer(*w, giver, taker);
                w->run(gone);
                if (w->owner_at(taker)) commit_shard_transfer(*w, taker, giver);
                w->run(gone / 10);
                for (int i = 0; i < 3; ++i) w->crash(i, i == one ? back : 40 * kSecond);
                w->run(30 * kSecond);
                EXPECT_EQ(w->owner_node(), one) << w->format_history();
                for (int i = 1; i <= 3; ++i)
                    EXPECT_EQ(w->task_starts("req-00000" + std::to_string(i)), i == 3 ? 2 : 3)
                        << w->format_history();
                EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
                EXPECT_EQ(w->reported_stage("req-000003"), "done") << w->format_history();
                w->run(20 * kSecond);
                EXPECT_NO_VIOLATIONS(*w);
            }
}

TEST(HandingOver, AllAreAwayForLongerThanALease) {
    // Every task ends with its lease, and starts again; what was accepted is known, what was called off stays
    // so. One may be back long before the others.
    for (const Micros away : {20 * kSecond, 60 * kSecond})
        for (const bool apart : {false, true}) {
            Settings site = small_cluster_settings();
            if (away > 30 * kSecond) site.cpu_share = 0.001;
            auto w = settled_simulator(43, 6, site);
            w->submit(w->make_job(1, JobKind::Service, 3), 0);
            w->submit(w->make_job(2, JobKind::Array, 30), 18 * kSecond);  // more than the limit has room for
            w->submit(w->make_job(3, JobKind::Gang, 3), 18 * kSecond);
            w->submit(w->make_job(4, JobKind::Array, 2), 100 * kSecond);
            w->run(3 * kSecond);
            w->cancel("req-000004");
            w->run(away % 7);
            for (int i = 0; i < 3; ++i) w->crash(i, away + (apart ? i * 20 * kSecond : 0));
            w->run(away);
            EXPECT_EQ(w->running_tasks("req-000001"), 0) << "their leases are over";
            w->run(8 * kSecond);
            EXPECT_EQ(w->running_tasks("req-000001"), 3) << w->format_history();
            w->mark_faults_over();
            w->run(75 * kSecond);
            for (const char* ref : {"req-000002", "req-000003"})
                EXPECT_EQ(w->reported_stage(ref), "done") << w->format_history();
            EXPECT_EQ(w->reported_stage("req-000004"), "cancelled") << w->format_history();
            // Each once more; a launch may meet the end of a session that nobody has renewed yet.
            EXPECT_GE(w->task_starts("req-000001"), 6) << w->format_history();
            EXPECT_LE(w->task_starts("req-000001"), 9) << w->format_history();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

TEST(HandingOver, LeadersChangeTenTimesInTwoMinutes) {
    for (const bool same : {true, false})
        for (const bool outage : {false, true}) {
            Settings site = small_cluster_settings();
            site.cpu_share = 0.001;  // several shards
            auto w = settled_simulator(44, 9, site);
            w->submit(w->make_job(1, JobKind::Service, 3), 0);
            std::set<std::uint64_t> terms;
            for (int round = 0; round < 10; ++round) {
                if (outage && round == 4) {
                    w->state().set_down(true, w->now());
                    w->schedule_at(w->now() + 15 * kSecond, [&w] { w->state().set_down(false, w->now()); });
                }
                const int node = same ? 1 : w->leader_node() >= 0 ? w->leader_node() : round % 3;
                w->crash(node, (same ? 500 : 4'000) * kMillisecond);
                w->submit(w->make_job(10 + round, JobKind::Array, 2), 8 * kSecond);
                w->run(round < 9 ? 12 * kSecond : 0);
                const Reply led = w->state().handle("GET", "/store/c/leader", Json(), w->now());
                if (led.status == 200) terms.insert(*wire::count(led.body, "mark"));
            }
            if (!same && !outage) {
                EXPECT_GE(terms.size(), 9u) << "and the last is still to come";
            }
            Micros waited = 0;
            while (w->running_tasks("req-000019") < 2 && waited < 20 * kSecond) {
                w->run(100 * kMillisecond);
                waited += 100 * kMillisecond;
            }
            EXPECT_LE(waited, 5 * kSecond) << "until work is placed after the last\n" << w->format_history();
            w->run(25 * kSecond);
            for (int i = 0; i < 3; ++i)
                EXPECT_TRUE(w->owner_at(i)) << host(i) << " holds no machines\n" << w->format_history();
            for (int i = 10; i < 20; ++i)
                EXPECT_EQ(w->reported_stage("req-0000" + std::to_string(i)), "done") << w->format_history();
            EXPECT_EQ(w->running_tasks("req-000001"), 3);
            EXPECT_NO_VIOLATIONS(*w);
        }
}

TEST(HeldUp, AStopEndsNoLaterAttemptOfItsTask) {
    auto w = settled_simulator(47, 1);
    const std::string machine = w->machine_names().front();
    JobSpec low = w->make_job(1, JobKind::Array, 1, 8), high = w->make_job(2, JobKind::Service, 1, 4);
    low.rank = PriorityClass::Low;
    high.rank = PriorityClass::Production;
    w->submit(low, 60 * kSecond);
    w->run(4 * kSecond);
    w->hold_next_message(host(w->owner_node()), machine);  // the /do with the stop
    w->submit(high, 0);
    w->run(8 * kSecond);
    ASSERT_EQ(w->running_tasks(low.ref), 0) << "told again\n" << w->format_history();
    w->cancel(high.ref);
    for (int n = 0; n < 300 && w->running_tasks(low.ref) == 0; ++n) w->run(100 * kMillisecond);
    ASSERT_EQ(w->task_starts(low.ref), 2) << w->format_history();
    w->run(kSecond);
    w->release_held_messages();
    w->run(5 * kSecond);
    EXPECT_EQ(w->running_tasks(low.ref), 1) << w->format_history();
    EXPECT_EQ(w->task_starts(low.ref), 2) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(HandingOver, AResultIsKeptUntilItIsDurable) {
    // Of two tasks one began later, so nothing is bound when the first ends, and its result is written later.
    auto w = settled_simulator(48, 1);
    w->submit(w->make_job(1, JobKind::Array, 2, 8), 20 * kSecond, 0);
    w->run(5 * kSecond);
    w->add_machine("small", "b");
    while (w->completed_tasks("req-000001") == 0 && w->now() < 60 * kSecond) w->run(50 * kMillisecond);
    w->run(1500 * kMillisecond);
    w->crash(w->owner_node(), 60 * kSecond);
    w->run(40 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// A holder that hears neither its machine nor the two others, one of which keeps the machine alive,
/// `helper`; `next` is the one that the machine turns to after that.
struct Apart {
    explicit Apart(std::uint64_t seed, const Settings& site) : w(settled_simulator(seed, 2, site)) {
        w->run(30 * kSecond);  // so long that others may renew leases
        holder = w->owner_node(), helper = (holder + 1) % 3, next = (holder + 2) % 3;
        w->submit(w->make_job(1, JobKind::Service, 1), 0);
        w->run(3 * kSecond);
        machine = *w->machines_running("req-000001").begin();
        w->cut_link(host(holder), machine);
        w->cut_link(host(holder), host(helper));
    }
    /// The helper loses the machine, and tells the holder that it renews nothing.
    void leave() {
        w->cut_link(host(helper), machine);
        w->run(kSecond);
        w->heal_link(host(holder), host(helper));
    }
    std::unique_ptr<Simulator> w;
    int holder, helper, next;
    std::string machine;
};

Settings patient() {
    Settings site = small_cluster_settings();
    site.ops.idle_return = 600 * kSecond;
    site.ops.live_ttl = 6 * kSecond;
    return site;
}

TEST(Promises, OfAProcessThatHasEndedCountNoLongerThanItsSuccessorWaits) {
    Apart a(45, patient());
    Simulator& w = *a.w;
    w.run(8 * kSecond);  // `next` has promised by now
    w.cut_link(host(a.holder), host(a.next));
    w.crash(a.next, 200 * kMillisecond);
    w.run(22 * kSecond);
    a.leave();
    w.run(40 * kSecond);
    EXPECT_EQ(w.task_starts("req-000001"), 1) << "its machine is kept alive\n" << w.format_history();
    w.heal_all_links();
    w.run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(w);
}

TEST(Promises, NobodyIsTakenForEndedWhoMayBeBackSince) {
    Apart a(46, patient());
    Simulator& w = *a.w;
    w.cut_link(host(a.holder), host(a.next));
    w.run(8 * kSecond);
    w.refuse_state_requests(a.next, true);  // its new process has no key until the former one's is gone
    w.crash(a.next, 300 * kMillisecond);
    const auto alive = [&] { return w.node(a.holder)->status()["alive"].size(); };
    for (int n = 0; n < 200 && alive() == 3; ++n) w.run(50 * kMillisecond);
    ASSERT_EQ(alive(), 2u);
    w.cut_link_one_way("state", host(a.holder));  // it keeps its key, and hears no more
    w.refuse_state_requests(a.next, false);
    w.run(17 * kSecond);
    a.leave();
    w.run(14 * kSecond);
    w.heal_link("state", host(a.holder));
    w.run(15 * kSecond);
    EXPECT_EQ(w.task_starts("req-000001"), 1) << "its machine is kept alive\n" << w.format_history();
    w.heal_all_links();
    w.run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(w);
}

}  // namespace
}  // namespace cottonway::test
