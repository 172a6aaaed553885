// The start after all controllers went down: who takes what, what a start reads, and reconciliation what
// workers report with what is stored.

#include <gtest/gtest.h>

#include "cluster/failover.hpp"
#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

using recovery::FailoverState;
using recovery::Holding;
using recovery::Orphan;
using recovery::Receiver;
using Moves = std::vector<std::pair<std::string, std::string>>;

TEST(Dividing, OneOrphanGoesToWhoeverHasTheFewestMachines) {
    FailoverState s{"a", {{"a", 10}, {"b", 20}, {"c", 30}}, {{"d", 5, 0, false}}, 0, 0};
    EXPECT_EQ(recovery::shards_to_take(s), std::vector<std::string>{"d"});
    s.self = "b";
    EXPECT_TRUE(recovery::shards_to_take(s).empty());
    s.now = 400 * kMillisecond;  // it is still there, so "a" does not come to it
    EXPECT_EQ(recovery::shards_to_take(s).size(), 1u);
}

TEST(Dividing, SeveralOrphansAreDividedEvenly) {
    FailoverState s{"", {{"a", 100}, {"b", 100}}, {}, 0, 0};
    for (const char* d : {"v", "w", "x", "y"}) s.orphans.push_back({d, 100, 0, false});
    std::set<std::string> all;
    for (const char* self : {"a", "b"}) {
        s.self = self;
        const auto mine = recovery::shards_to_take(s);
        EXPECT_EQ(mine.size(), 2u) << self;
        all.insert(mine.begin(), mine.end());
    }
    EXPECT_EQ(all.size(), 4u) << "everyone comes to the same result";
}

TEST(Dividing, WhatWasThereBeforeUsIsLeftToItsHolderForAWhile) {
    FailoverState s{"a", {{"a", 0}}, {{"b", 100, kSecond, true}}, kSecond, 2 * kSecond};
    EXPECT_TRUE(recovery::shards_to_take(s).empty());
    s.now = 3 * kSecond;
    EXPECT_EQ(recovery::shards_to_take(s).size(), 1u);
}

TEST(Dividing, OwnDomainsGoBackAllInOneStep) {
    const std::vector<Holding> held{
        {"a", 10, true, false}, {"b", 30, true, true}, {"c", 20, true, true}, {"d", 5, true, true}};
    const std::vector<Receiver> back{{"c", kSecond}, {"b", kSecond}};
    EXPECT_EQ(recovery::shards_to_transfer("a", held, back), (Moves{{"c", "c"}, {"b", "b"}}));
    // One of another name, and one that has not been there for long enough.
    EXPECT_EQ(recovery::shards_to_transfer("a", held, {{"x", kSecond}, {"y", kSecond / 2}}),
              (Moves{{"d", "x"}}));
    auto later = held;
    for (auto& h : later) h.at_start = false;
    EXPECT_TRUE(recovery::shards_to_transfer("a", later, back).empty()) << "those have to settle";
    EXPECT_EQ(recovery::shards_to_transfer("a", {{"a", 10, true, false}}, back), Moves{})
        << "the last one stays";
}

/// Nine machines over the shards of three controllers, settled.
std::unique_ptr<Simulator> spread(std::uint64_t seed) {
    Settings site = small_cluster_settings();
    site.cpu_share = 0.001;
    auto w = std::make_unique<Simulator>(seed, site);
    for (int i = 0; i < 9; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes();
    w->run(8 * kSecond);
    return w;
}

std::size_t held_at(Simulator& w, int node) {
    std::size_t n = 0;
    if (w.node(node))
        for (const auto& [name, o] : w.node(node)->owners()) n += o && !o->machines().empty();
    return n;
}

TEST(AllWentDown, NobodyTakesWhatItsHolderComesBackFor) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto w = spread(seed);
        w->submit(w->make_job(1, JobKind::Service, 6), 0);
        w->run(3 * kSecond);
        for (int i = 0; i < 3; ++i) w->crash(i, 3 * kSecond + i * 400 * kMillisecond);
        std::size_t most = 0;
        for (int i = 0; i < 80; ++i) {
            w->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) most = std::max(most, held_at(*w, n));
        }
        EXPECT_EQ(most, 1u) << "seed " << seed << "\n" << w->format_history();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(w->owner_at(n)) << n;
        EXPECT_EQ(w->task_starts("req-000001"), 6) << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(AllWentDown, KeysThatAnOutageHasKeptProveNobodyAlive) {
    // Found on a day of the fleet: all ended during an outage of the state service, after which every lease
    // has its full time again. To the first one up the others looked alive, then dead, and it took
    // everything.
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto w = spread(seed);
        w->state().set_down(true, w->now());
        w->run(2 * kSecond);
        for (int i = 0; i < 3; ++i) w->crash(i, 6 * kSecond + i * kSecond);
        w->run(5 * kSecond);
        w->state().set_down(false, w->now());  // the last one comes up just after its old key is gone
        std::size_t most = 0;
        for (int i = 0; i < 80; ++i) {
            w->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) most = std::max(most, held_at(*w, n));
        }
        EXPECT_EQ(most, 1u) << "seed " << seed << "\n" << w->format_history();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(w->owner_at(n)) << n;
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(AllWentDown, OneThatStaysDownIsReplacedAndGetsItsDomainBackSoon) {
    auto w = spread(5);
    w->submit(w->make_job(1, JobKind::Service, 6), 0);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, i == 2 ? 8 * kSecond : 3 * kSecond);
    w->run(6'500 * kMillisecond);  // 3.5 s after the first two are back
    EXPECT_EQ(held_at(*w, 0) + held_at(*w, 1), 3u) << w->format_history();
    w->run(3'500 * kMillisecond);  // 2 s after the third is
    for (int n = 0; n < 3; ++n) EXPECT_EQ(held_at(*w, n), 1u) << n << "\n" << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 6) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

// ---------------------------------------------------------------- hard cases

/// Services and batch work on machines, a gang, a pipeline half done and a queue.
void fill(Simulator& w) {
    w.submit(w.make_job(1, JobKind::Service, 4), 0);
    w.submit(w.make_job(2, JobKind::Array, 6), 12 * kSecond);
    JobSpec gang = w.make_job(3, JobKind::Gang, 3, 2);
    gang.checkpoint = 3 * kSecond;
    gang.save = kSecond;
    w.submit(gang, 20 * kSecond);
    w.submit(w.make_job(4, JobKind::Array, 2), 15 * kSecond);
    w.run(4 * kSecond);
    JobSpec second = w.make_job(5, JobKind::Array, 2);
    second.needs = {"req-000004"};
    w.submit(second, 2 * kSecond);
    JobSpec mistaken = w.make_job(6, JobKind::Array, 8, 0.5);
    w.submit(mistaken, kSecond, 0, true);
    w.run(kSecond);
}

void expect_unharmed(Simulator& w, const std::string& what) {
    EXPECT_EQ(w.task_starts("req-000001"), 4) << what << "\n" << w.format_history();
    EXPECT_EQ(w.task_starts("req-000002"), 6) << what;
    EXPECT_EQ(w.task_starts("req-000003"), 3) << what;
    EXPECT_EQ(w.task_starts("req-000004"), 2) << what;
    EXPECT_EQ(w.running_tasks("req-000001"), 4) << what;
    for (const char* ref : {"req-000002", "req-000003", "req-000004", "req-000005"})
        EXPECT_EQ(w.reported_stage(ref), "done") << what << " " << ref << "\n" << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

TEST(HardStarts, EndsAgainInTheMiddleOfEachStep) {
    for (int step = 1; step <= 12; ++step) {
        auto w = spread(static_cast<std::uint64_t>(step));
        fill(*w);
        for (int again = 0; again < 3; ++again) {
            for (int i = 0; i < 3; ++i) w->crash(i, kSecond + i * 50 * kMillisecond);
            w->run(kSecond + step * 40 * kMillisecond);
        }
        w->run(35 * kSecond);
        expect_unharmed(*w, "ended again " + std::to_string(step * 40) + " ms after the first was back");
    }
}

TEST(HardStarts, TheStoreIsDownSlowOrRefusesOneNode) {
    for (int kind = 0; kind < 3; ++kind) {
        auto w = spread(20 + static_cast<std::uint64_t>(kind));
        fill(*w);
        for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
        if (kind == 0) w->state().set_down(true, w->now());
        if (kind == 1) w->state_answer_loss_rate = 0.5;
        if (kind == 2) w->refuse_state_requests(1, true);
        w->run(4 * kSecond);
        w->state().set_down(false, w->now());
        w->state_answer_loss_rate = 0;
        w->run(3 * kSecond);
        w->refuse_state_requests(1, false);
        w->run(35 * kSecond);
        expect_unharmed(*w, std::to_string(kind));
    }
}

TEST(HardStarts, JustShorterThanTheLeaseNothingIsLostAndLongerAllStartsOnceMore) {
    auto w = spread(30);
    fill(*w);
    for (int i = 0; i < 3; ++i) w->crash(i, 7 * kSecond);  // the workers' lease is 12 s
    w->run(45 * kSecond);
    expect_unharmed(*w, "shorter");
    auto v = spread(31);
    v->submit(v->make_job(1, JobKind::Service, 4), 0);
    v->submit(v->make_job(2, JobKind::Array, 6), 25 * kSecond);
    v->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) v->crash(i, 16 * kSecond);
    v->run(15 * kSecond);
    EXPECT_EQ(v->running_tasks("req-000001"), 0) << "their leases are over";
    v->run(45 * kSecond);
    EXPECT_EQ(v->task_starts("req-000001"), 8) << v->format_history();
    EXPECT_EQ(v->task_starts("req-000002"), 12);
    EXPECT_EQ(v->reported_stage("req-000002"), "done");
    EXPECT_NO_VIOLATIONS(*v);
}

TEST(HardStarts, SomeMachinesDieAndSomeHangMeanwhile) {
    auto w = spread(40);
    w->submit(w->make_job(1, JobKind::Service, 6), 0);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, 2 * kSecond);
    const auto names = w->machine_names();
    w->kill_machine(names[0]);
    w->kill_machine(names[1]);
    w->set_hung(names[2], true);
    w->set_hung(names[3], true);
    w->run(4 * kSecond);
    JobSpec next = w->make_job(2, JobKind::Array, 4);
    w->submit(next, 2 * kSecond);
    w->run(5 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "done") << "those that are heard are used at once\n"
                                                       << w->format_history();
    w->set_hung(names[2], false);
    w->set_hung(names[3], false);
    w->run(40 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 6) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(HardStarts, OneThatStoodStillComesBackLateAndWhatWasHeldBackArrives) {
    auto w = spread(50);
    fill(*w);
    w->hold_next_message("loom-0", "state");  // a transaction, or a look
    const std::string machine = w->machine_names().front();
    w->hold_next_message("loom-1", machine);  // a launch, or showing a token
    w->submit(w->make_job(7, JobKind::Array, 4), 3 * kSecond, 0);
    w->run(100 * kMillisecond);
    w->freeze_process(2, 12 * kSecond);  // while the others end and are back
    w->crash(0, 2 * kSecond);
    w->crash(1, 2 * kSecond);
    w->run(10 * kSecond);
    w->release_held_messages();
    w->run(35 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000007"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000007"), 4);
    expect_unharmed(*w, "held back");
}

TEST(HardStarts, ACancellationThatWasAnsweredJustBeforeHolds) {
    for (int ms : {0, 10, 30, 60, 120}) {
        auto w = spread(60);
        fill(*w);
        w->cancel("req-000001");
        for (int i = 0; i < 200 && w->reported_stage("req-000001") != "cancelled"; ++i)
            w->run(5 * kMillisecond);
        w->run(ms * kMillisecond);
        for (int i = 0; i < 3; ++i) w->crash(i, 3 * kSecond);
        w->run(15 * kSecond);
        EXPECT_EQ(w->running_tasks("req-000001"), 0) << ms << " ms after\n" << w->format_history();
        EXPECT_EQ(w->task_starts("req-000001"), 4);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

}  // namespace
}  // namespace cottonway::test
