// The start after all controllers went down: who takes what, what a start reads, and squaring what workers
// report with what is stored.

#include <gtest/gtest.h>

#include "lab/world.hpp"
#include "recovery/dividing.hpp"

namespace cottonway::test {

using namespace lab;
namespace {

#define EXPECT_RULES(w) EXPECT_TRUE((w).broken.empty()) << (w).broken.front() << "\n" << (w).story()

using recovery::Holding;
using recovery::Orphan;
using recovery::Receiver;
using recovery::Situation;
using Moves = std::vector<std::pair<std::string, std::string>>;

TEST(Dividing, OneOrphanGoesToWhoeverHasTheFewestMachines) {
    Situation s{"a", {{"a", 10}, {"b", 20}, {"c", 30}}, {{"d", 5, 0, false}}, 0, 0};
    EXPECT_EQ(recovery::to_take(s), std::vector<std::string>{"d"});
    s.self = "b";
    EXPECT_TRUE(recovery::to_take(s).empty());
    s.now = 400 * kMillisecond;  // it is still there, so "a" does not come to it
    EXPECT_EQ(recovery::to_take(s).size(), 1u);
}

TEST(Dividing, SeveralOrphansAreDividedEvenly) {
    Situation s{"", {{"a", 100}, {"b", 100}}, {}, 0, 0};
    for (const char* d : {"v", "w", "x", "y"}) s.orphans.push_back({d, 100, 0, false});
    std::set<std::string> all;
    for (const char* self : {"a", "b"}) {
        s.self = self;
        const auto mine = recovery::to_take(s);
        EXPECT_EQ(mine.size(), 2u) << self;
        all.insert(mine.begin(), mine.end());
    }
    EXPECT_EQ(all.size(), 4u) << "everyone comes to the same result";
}

TEST(Dividing, WhatWasThereBeforeUsIsLeftToItsHolderForAWhile) {
    Situation s{"a", {{"a", 0}}, {{"b", 100, kSecond, true}}, kSecond, 2 * kSecond};
    EXPECT_TRUE(recovery::to_take(s).empty());
    s.now = 3 * kSecond;
    EXPECT_EQ(recovery::to_take(s).size(), 1u);
}

TEST(Dividing, OwnDomainsGoBackAllInOneStep) {
    const std::vector<Holding> held{
        {"a", 10, true, false}, {"b", 30, true, true}, {"c", 20, true, true}, {"d", 5, true, true}};
    const std::vector<Receiver> back{{"c", kSecond}, {"b", kSecond}};
    EXPECT_EQ(recovery::to_hand_over("a", held, back), (Moves{{"c", "c"}, {"b", "b"}}));
    // One of another name, and one that has not been there for long enough.
    EXPECT_EQ(recovery::to_hand_over("a", held, {{"x", kSecond}, {"y", kSecond / 2}}), (Moves{{"d", "x"}}));
    auto later = held;
    for (auto& h : later) h.at_start = false;
    EXPECT_TRUE(recovery::to_hand_over("a", later, back).empty()) << "those have to settle";
    EXPECT_EQ(recovery::to_hand_over("a", {{"a", 10, true, false}}, back), Moves{}) << "the last one stays";
}

/// Nine machines over the domains of three controllers, settled.
std::unique_ptr<World> spread(std::uint64_t seed) {
    Settings site = small_site();
    site.cpu_share = 0.001;
    auto w = std::make_unique<World>(seed, site);
    for (int i = 0; i < 9; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes();
    w->run(8 * kSecond);
    return w;
}

std::size_t held_at(World& w, int node) {
    std::size_t n = 0;
    if (w.node(node))
        for (const auto& [name, o] : w.node(node)->owners()) n += o && !o->machines().empty();
    return n;
}

TEST(AllWentDown, NobodyTakesWhatItsHolderComesBackFor) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto w = spread(seed);
        w->submit(w->job(1, JobKind::Service, 6), 0);
        w->run(3 * kSecond);
        for (int i = 0; i < 3; ++i) w->crash(i, 3 * kSecond + i * 400 * kMillisecond);
        std::size_t most = 0;
        for (int i = 0; i < 80; ++i) {
            w->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) most = std::max(most, held_at(*w, n));
        }
        EXPECT_EQ(most, 1u) << "seed " << seed << "\n" << w->story();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(w->owner_at(n)) << n;
        EXPECT_EQ(w->starts("req-000001"), 6) << w->story();
        EXPECT_RULES(*w);
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
        for (int i = 0; i < 3; ++i) w->crash(i, 6 * kSecond + i * 600 * kMillisecond);
        w->run(5 * kSecond);
        w->state().set_down(false, w->now());  // the others come up just as their old keys go
        std::size_t most = 0;
        for (int i = 0; i < 80; ++i) {
            w->run(100 * kMillisecond);
            for (int n = 0; n < 3; ++n) most = std::max(most, held_at(*w, n));
        }
        EXPECT_EQ(most, 1u) << "seed " << seed << "\n" << w->story();
        for (int n = 0; n < 3; ++n) EXPECT_TRUE(w->owner_at(n)) << n;
        EXPECT_RULES(*w);
    }
}

TEST(AllWentDown, OneThatStaysDownIsReplacedAndGetsItsDomainBackSoon) {
    auto w = spread(5);
    w->submit(w->job(1, JobKind::Service, 6), 0);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, i == 2 ? 8 * kSecond : 3 * kSecond);
    w->run(6'500 * kMillisecond);  // 3.5 s after the first two are back
    EXPECT_EQ(held_at(*w, 0) + held_at(*w, 1), 3u) << w->story();
    w->run(3'500 * kMillisecond);  // 2 s after the third is
    for (int n = 0; n < 3; ++n) EXPECT_EQ(held_at(*w, n), 1u) << n << "\n" << w->story();
    EXPECT_EQ(w->starts("req-000001"), 6) << w->story();
    EXPECT_RULES(*w);
}

}  // namespace
}  // namespace cottonway::test
