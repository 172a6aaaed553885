// Zones by policy: where a service's next replica may go, and how it comes back into balance.

#include "scheduling/topology_spread.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace cottonway::test {
namespace {

using namespace scheduling;
using policy::Survive;
using policy::ZoneRule;
using Counts = std::map<std::string, int>;
using Zones = std::vector<std::string>;

const Zones kAll{"a", "b", "c"};

JobSpec service(int replicas, const std::string& ref = "req-000001") {
    JobSpec s;
    s.ref = ref;
    s.team = "red";
    s.kind = JobKind::Service;
    s.priority_class = PriorityClass::Production;
    s.tasks = replicas;
    s.request = {1'000, 0, 1'000};
    s.image = "img";
    return s;
}

/// Zones that take the next one.
Zones open(const ZoneChoice& choice, const Counts& there) {
    Zones zones;
    for (const auto& [zone, most] : choice.most) {
        auto it = there.find(zone);
        if (most > (it == there.end() ? 0 : it->second)) zones.push_back(zone);
    }
    return zones;
}

/// Binds what is missing one by one, to the first zone that takes it; whether all was as asked.
bool fill(const JobSpec& job, const ZoneRule& rule, Counts& there, const Zones& standing) {
    int left = job.tasks;
    for (const auto& z : there) left -= z.second;
    bool as_asked = true;
    for (; left > 0; --left) {
        const auto choice = choose_zones(job, &rule, there, standing, kAll);
        const Zones zones = open(choice, there);
        if (zones.empty()) return false;
        as_asked = as_asked && choice.as_asked;
        ++there[zones.front()];
    }
    return as_asked;
}

/// A shard in which every move that is asked for is carried out before the next look.
struct Shard {
    View view;
    policy::Policy policy;

    Shard() { policy.zones.emplace_back().rebalance = true; }
    ZoneRule& rule() { return policy.zones.front(); }
    void machine(const std::string& name, const std::string& zone, Milli cores = 8'000) {
        MachineView m;
        m.name = name;
        m.type = "small";
        m.zone = zone;
        m.usable = true;
        m.size = {cores, 0, 64'000};
        view.machines.push_back(m);
    }
    std::size_t index(const std::string& name) const {
        for (std::size_t i = 0; i < view.machines.size(); ++i)
            if (view.machines[i].name == name) return i;
        return SIZE_MAX;
    }
    void add(const JobSpec& spec, const std::vector<std::string>& on) {
        JobView job;
        job.spec = spec;
        job.tier = policy::Tier::Live;
        job.bound = static_cast<int>(on.size());
        job.idle = spec.tasks - job.bound;
        job.since_moved = 3600 * kSecond;
        for (std::size_t i = 0; i < on.size(); ++i) {
            const std::size_t m = index(on[i]);
            view.machines[m].reserved += spec.request;
            ++job.zones[view.machines[m].zone];
            view.machines[m].tasks.push_back(view.tasks.size());
            view.tasks.push_back({view.jobs.size(), static_cast<int>(i), m, true, false, false, 0});
        }
        view.jobs.push_back(job);
    }
    std::vector<Move> look() const { return rebalance(view, policy, kAll); }
    TaskView& task(const Move& m) {
        for (auto& t : view.tasks)
            if (view.jobs[t.job].spec.ref == m.job && t.task == m.task) return t;
        throw std::logic_error("no such task");
    }
    void carry_out(const Move& m) {
        TaskView& t = task(m);
        JobView& job = view.jobs[t.job];
        MachineView &from = view.machines[t.machine], &to = view.machines[index(m.to)];
        from.reserved -= job.spec.request;
        to.reserved += job.spec.request;
        if (--job.zones[from.zone] == 0) job.zones.erase(from.zone);
        ++job.zones[to.zone];
        t.machine = index(m.to);
    }
    void zone_down(const std::string& zone, bool down = true) {
        for (auto& m : view.machines)
            if (m.zone == zone) m.usable = !down;
        view.troubled.clear();
        if (down) view.troubled.push_back(zone);
    }
    double imbalance_of(std::size_t job) const {
        std::set<std::string> standing;
        for (const auto& m : view.machines)
            if (m.usable) standing.insert(m.zone);
        return imbalance(view.jobs[job].spec, policy.zone_rule(view.jobs[job].spec), view.jobs[job].zones,
                         {standing.begin(), standing.end()}, kAll);
    }
};

// ---------------------------------------------------------------- where the next one goes

TEST(ZoneChoices, WithoutARuleTheProtocolAloneCounts) {
    JobSpec job = service(9);
    auto c = choose_zones(job, nullptr, {{"a", 3}}, {"a", "b"}, kAll);
    EXPECT_EQ(c.most, (Counts{{"a", 9}, {"b", 9}, {"c", 9}}));
    EXPECT_EQ(c.penalty_in("a"), 75);
    EXPECT_EQ(c.penalty_in("b"), 0);
    job.spread = true;
    EXPECT_EQ(choose_zones(job, nullptr, {}, kAll, kAll).most, (Counts{{"a", 5}, {"b", 5}, {"c", 5}}));
    EXPECT_EQ(choose_zones(service(1), nullptr, {}, kAll, kAll).most_in("a"), 1);
    job = service(4);
    job.zone = "b";
    EXPECT_EQ(choose_zones(job, nullptr, {}, kAll, kAll).most, (Counts{{"a", 0}, {"b", 4}, {"c", 0}}));
    job = service(4);
    job.one_zone = true;
    EXPECT_EQ(choose_zones(job, nullptr, {{"c", 1}}, kAll, kAll).most,
              (Counts{{"a", 0}, {"b", 0}, {"c", 4}}));
}

TEST(ZoneChoices, AShareIsRoundedUpAndALeastNumberOfZonesIsReached) {
    ZoneRule rule;
    rule.most_share = 1.0 / 3;
    Counts there;
    EXPECT_TRUE(fill(service(9), rule, there, kAll));
    EXPECT_EQ(there, (Counts{{"a", 3}, {"b", 3}, {"c", 3}}));
    rule.most_share = 0.07;
    EXPECT_EQ(choose_zones(service(100), &rule, {}, kAll, kAll).most_in("a"), 7)
        << "whatever 0.07 is in binary";
    rule.most_share = 1;
    rule.least_zones = 3;
    there.clear();
    EXPECT_TRUE(fill(service(4), rule, there, kAll));
    EXPECT_EQ(there.size(), 3u);
    rule.least_zones = 1;
    rule.survive = Survive::Zone;
    EXPECT_EQ(choose_zones(service(5), &rule, {}, kAll, kAll).most_in("a"), 3);
}

TEST(ZoneChoices, WhatIsLostComesBackLevelInWhatStands) {
    ZoneRule rule;
    rule.most_share = 0.34;
    Counts there{{"a", 2}, {"b", 2}};  // two of "c" are proven gone
    EXPECT_TRUE(fill(service(6), rule, there, {"a", "b"})) << "a third rounded up";
    EXPECT_EQ(there, (Counts{{"a", 3}, {"b", 3}}));
    rule.most_share = 1.0 / 3;
    there = {{"a", 2}, {"b", 2}};
    EXPECT_FALSE(fill(service(6), rule, there, {"a", "b"})) << "more than asked for in both, and it says so";
    EXPECT_EQ(there, (Counts{{"a", 3}, {"b", 3}}));
}

TEST(ZoneChoices, StrictWaits) {
    ZoneRule rule;
    rule.most_share = 0.5;
    rule.strict = true;
    const Counts there{{"a", 2}};
    const auto c = choose_zones(service(4), &rule, there, {"a"}, kAll);
    EXPECT_TRUE(open(c, there).empty());
    rule.strict = false;
    const auto relaxed = choose_zones(service(4), &rule, there, {"a"}, kAll);
    EXPECT_EQ(open(relaxed, there), Zones{"a"});
    EXPECT_EQ(relaxed.most_in("a"), 3) << "no further than need be";
    EXPECT_FALSE(relaxed.as_asked);
    rule = {};
    rule.least_zones = 2;
    rule.strict = true;
    const Counts one{{"a", 1}};
    EXPECT_EQ(open(choose_zones(service(3), &rule, one, {"a"}, kAll), one), Zones{"a"})
        << "the last may go elsewhere";
    EXPECT_TRUE(open(choose_zones(service(2), &rule, one, {"a"}, kAll), one).empty());
}

TEST(ZoneChoices, TheProtocolIsNeverGivenUp) {
    ZoneRule rule;
    JobSpec job = service(4);
    job.spread = true;
    Counts there{{"a", 2}};
    EXPECT_TRUE(open(choose_zones(job, &rule, there, {"a"}, kAll), there).empty());
    rule.allowed = {"a"};
    EXPECT_EQ(open(choose_zones(job, &rule, there, {"a", "b"}, kAll), there), Zones{"b"})
        << "the rule gives way to it";
    job.spread = false;
    job.zone = "c";
    EXPECT_TRUE(open(choose_zones(job, &rule, {}, {"a", "b"}, kAll), {}).empty());
    job.zone.reset();
    job.one_zone = true;
    rule = {};
    rule.least_zones = 2;
    EXPECT_EQ(open(choose_zones(job, &rule, there, kAll, kAll), there), Zones{"a"});
}

TEST(ZoneChoices, PreferredZonesFillFirstAsFarAsTheRestOfTheRuleAllows) {
    ZoneRule rule;
    rule.preferred = {"b"};
    rule.most_share = 0.5;
    Counts there;
    EXPECT_TRUE(fill(service(4), rule, there, kAll));
    EXPECT_EQ(there, (Counts{{"a", 2}, {"b", 2}}));
    // Where there is no room, others serve: a preference is no demand.
    const Zones room{"c"};
    const auto c = choose_zones(service(4), &rule, {}, kAll, kAll, &room);
    EXPECT_EQ(open(c, {}), room);
    EXPECT_TRUE(c.as_asked);
    EXPECT_GT(c.penalty_in("c"), c.penalty_in("b"));
}

TEST(ZoneChoices, WantOfRoomOpensNoZoneThatIsNotAllowed) {
    ZoneRule rule;
    rule.allowed = {"a"};
    const Zones room{"b"};
    EXPECT_TRUE(open(choose_zones(service(2), &rule, {}, {"a", "b"}, kAll, &room), {}).empty());
    const auto c = choose_zones(service(2), &rule, {}, {"b"}, kAll, &room);
    EXPECT_EQ(open(c, {}), Zones{"b"}) << "none that is allowed stands";
    EXPECT_FALSE(c.as_asked);
}

TEST(ZoneChoices, BatchIsKeptToZonesButNotSpread) {
    ZoneRule rule;
    rule.allowed = {"a", "b"};
    rule.most_share = 0.5;
    rule.least_zones = 2;
    rule.survive = Survive::Machine;
    JobSpec job = service(6);
    job.kind = JobKind::Gang;
    const auto c = choose_zones(job, &rule, {{"a", 5}}, kAll, kAll);
    EXPECT_EQ(c.most, (Counts{{"a", 6}, {"b", 6}, {"c", 0}}));
    EXPECT_GT(c.machine_most, 1);
    job.kind = JobKind::Service;
    EXPECT_EQ(choose_zones(job, &rule, {}, kAll, kAll).machine_most, 1);
}

// ---------------------------------------------------------------- mending

/// Three zones of two machines, a service of six that is to survive a zone, all of whose replicas came back
/// in two of them.
Shard after_a_loss() {
    Shard d;
    for (const auto& zone : kAll)
        for (int i = 0; i < 2; ++i) d.machine(zone + std::to_string(i), zone);
    d.rule().most_share = 1.0 / 3;
    d.add(service(6), {"a0", "a1", "b0", "b1", "a0", "b0"});
    return d;
}

TEST(Rebalancing, AZoneThatIsBackGetsItsPartOneReplicaAtATime) {
    Shard d = after_a_loss();
    d.zone_down("c");
    EXPECT_EQ(d.imbalance_of(0), 0) << "as good as it can be";
    EXPECT_TRUE(d.look().empty());
    d.zone_down("c", false);
    EXPECT_GT(d.imbalance_of(0), 0);
    for (int round = 0; round < 2; ++round) {
        const auto moves = d.look();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].to[0], 'c');
        EXPECT_EQ(moves[0].reason, Reason::Balance);
        d.carry_out(moves[0]);
    }
    EXPECT_EQ(d.view.jobs[0].zones, (Counts{{"a", 2}, {"b", 2}, {"c", 2}}));
    EXPECT_TRUE(d.look().empty());
    EXPECT_EQ(d.imbalance_of(0), 0);
}

TEST(Rebalancing, OnlyWhileAllRunAndNothingIsTroubled) {
    const Shard d = after_a_loss();
    ASSERT_EQ(d.look().size(), 1u);
    const std::vector<std::pair<const char*, std::function<void(Shard&)>>> hinders{
        {"one waits", [](Shard& x) { x.view.jobs[0].idle = 1; }},
        {"one is on its way out", [](Shard& x) { x.view.tasks[3].stopping = true; }},
        {"one moves", [](Shard& x) { x.view.tasks[3].moving = true; }},
        {"one fetches", [](Shard& x) { x.view.tasks[3].running = false; }},
        {"one is missing", [](Shard& x) { x.view.tasks.pop_back(); }},
        {"it is cancelled", [](Shard& x) { x.view.jobs[0].cancelled = true; }},
        {"a zone is troubled", [](Shard& x) { x.view.troubled = {"b"}; }},
        {"it was moved just now", [](Shard& x) { x.view.jobs[0].since_moved = kSecond; }},
        {"its rule does not ask for it", [](Shard& x) { x.rule().rebalance = false; }},
        {"it is no service",
         [](Shard& x) {
             x.view.jobs[0].spec.kind = JobKind::Array;
             x.rule().allowed = {"c"};
         }},
        {"no budget", [](Shard& x) { x.policy.budgets.moves_per_minute = 0; }},
        {"no machine to bind to",
         [](Shard& x) { x.view.machines[4].usable = x.view.machines[5].usable = false; }},
        {"no room",
         [](Shard& x) {
             x.view.machines[4].kept = x.view.machines[5].reserved = {8'000, 0, 0};
         }},
        {"another type",
         [](Shard& x) {
             x.view.machines[4].type = x.view.machines[5].type = "other";
             x.view.jobs[0].spec.types = {{"small"}};
         }},
        {"spot", [](Shard& x) { x.view.machines[4].spot = x.view.machines[5].spot = true; }},
    };
    for (const auto& [what, hinder] : hinders) {
        Shard x = d;
        hinder(x);
        EXPECT_TRUE(x.look().empty()) << what;
    }
}

TEST(Rebalancing, ToTheMachineWithTheImage) {
    Shard d = after_a_loss();
    d.view.machines[5].images = {{"img", true}};
    EXPECT_EQ(d.look().at(0).to, "c1");
    d.view.machines[4].images = {{"img", true}};
    d.view.machines[5].images = {{"img", false}};
    EXPECT_EQ(d.look().at(0).to, "c0");
}

TEST(Rebalancing, ServicesOfOneCallDoNotCountOnTheSameRoom) {
    Shard d = after_a_loss();
    d.add(service(6, "req-000002"), {"a0", "a1", "b0", "b1", "a0", "b0"});
    d.view.machines[4].size.cores = 1'000;
    d.view.machines[5].size.cores = 0;
    EXPECT_EQ(d.look().size(), 1u);
}

TEST(Rebalancing, TheMostHurtGoesFirst) {
    Shard d = after_a_loss();
    d.add(service(6, "req-000002"), {"a0", "a1", "a0", "a1", "a0", "a1"});
    d.policy.budgets.moves_per_minute = 1;
    EXPECT_EQ(d.look().at(0).job, "req-000002");
}

TEST(Rebalancing, SpreadHoldsWhileTheOldOneIsThere) {
    Shard d;
    for (const auto& zone : kAll) d.machine(zone + "0", zone);
    JobSpec job = service(5);
    job.spread = true;
    d.rule().allowed = {"a", "b"};
    d.add(job, {"a0", "a0", "a0", "b0", "c0"});
    const auto moves = d.look();
    ASSERT_EQ(moves.size(), 1u);
    EXPECT_EQ(moves[0].from, "c0");
    EXPECT_EQ(moves[0].to, "b0") << "three of five are in \"a\" already";
}

TEST(Rebalancing, ReplicasOnOneMachineMoveApart) {
    Shard d;
    for (int i = 0; i < 3; ++i) d.machine("a" + std::to_string(i), "a");
    d.add(service(3), {"a0", "a0", "a0"});
    EXPECT_TRUE(d.look().empty());
    d.rule().survive = Survive::Machine;
    std::set<std::string> to;
    for (int round = 0; round < 2; ++round) {
        const auto moves = d.look();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_TRUE(to.insert(moves[0].to).second);
        d.carry_out(moves[0]);
    }
    EXPECT_TRUE(d.look().empty());
}

TEST(Rebalancing, OfReplicasThatShareAMachineOneLeavesTheZoneFirst) {
    Shard d;
    for (const char* name : {"a0", "a1", "b0"}) d.machine(name, std::string(1, name[0]));
    d.rule().least_zones = 2;
    d.rule().survive = Survive::Machine;
    d.add(service(3), {"a1", "a0", "a0"});
    EXPECT_EQ(d.look().at(0).from, "a0");
}

TEST(Rebalancing, WhatIsInALostZoneIsNotAskedToLeaveIt) {
    ZoneRule rule;
    rule.most_share = 0.5;
    EXPECT_EQ(imbalance(service(6), &rule, {{"c", 6}}, {"a", "b"}, kAll), 0);
    EXPECT_GT(imbalance(service(6), &rule, {{"c", 6}}, kAll, kAll), 0);
}

TEST(Rebalancing, AServiceThatIsMovedAgainAndAgainPausesForLonger) {
    policy::Budgets budgets;
    JobView job;
    job.spec = service(4);
    job.moved_lately = 4;
    EXPECT_EQ(pause_of(job, budgets), budgets.service_pause);
    job.moved_lately = 6;
    EXPECT_EQ(pause_of(job, budgets), 4 * budgets.service_pause);
    job.moved_lately = 1000;
    EXPECT_EQ(pause_of(job, budgets), 32 * budgets.service_pause);
}

TEST(ZoneWatching, AZoneThatFlapsHasToStandForLongerEachTime) {
    ZoneWatch watch;
    const Micros settle = 10 * kSecond;
    Micros now = 100 * kSecond;
    auto settles_in = [&] {
        Micros passed = 0;
        while (!watch.troubled(now + passed, settle).empty()) passed += kSecond;
        return passed;
    };
    watch.see("a", true, now);
    EXPECT_EQ(settles_in(), settle);
    now += settle;
    for (const Micros wanted : {settle, 2 * settle, 4 * settle}) {
        watch.see("a", false, now);
        EXPECT_EQ(watch.troubled(now, settle), Zones{"a"});
        watch.see("a", true, now += kSecond);
        EXPECT_EQ(settles_in(), wanted);
    }
    now += 700 * kSecond;
    watch.see("a", false, now);
    watch.see("a", true, now += kSecond);
    EXPECT_EQ(settles_in(), settle) << "what was long ago is forgotten";
}

// ---------------------------------------------------------------- always

rc::Gen<ZoneRule> any_rule() {
    return rc::gen::exec([] {
        ZoneRule r;
        for (const auto& z : kAll) {
            if (*rc::gen::inRange(0, 3)) r.allowed.push_back(z);
            if (!*rc::gen::inRange(0, 3)) r.preferred.push_back(z);
        }
        r.least_zones = *rc::gen::inRange(1, 4);
        r.most_share = *rc::gen::element(0.2, 1.0 / 3, 0.5, 0.75, 1.0);
        r.survive = *rc::gen::element(Survive::Nothing, Survive::Machine, Survive::Zone);
        r.strict = *rc::gen::arbitrary<bool>();
        r.rebalance = true;
        return r;
    });
}

JobSpec any_service(const std::string& ref) {
    JobSpec job = service(*rc::gen::inRange(1, 10), ref);
    const int kind = *rc::gen::inRange(0, 6);
    job.spread = kind == 0 || kind == 1;
    job.one_zone = kind == 2;
    if (kind == 3) job.zone = *rc::gen::elementOf(kAll);
    return job;
}

Zones some_zones() {
    Zones zones;
    for (const auto& z : kAll)
        if (*rc::gen::inRange(0, 3)) zones.push_back(z);
    return zones;
}

RC_GTEST_PROP(ZonesAlways, WhatTheProtocolForbidsIsNeverOpened, ()) {
    const JobSpec job = any_service("req-000001");
    const ZoneRule rule = *any_rule();
    Counts there;
    for (int i = 0; i < job.tasks; ++i) {
        const Zones standing = some_zones(), with_room = some_zones();
        const auto plain = choose_zones(job, nullptr, there, standing, kAll);
        const bool known = *rc::gen::arbitrary<bool>();
        const auto choice = choose_zones(job, &rule, there, standing, kAll, known ? &with_room : nullptr);
        for (const auto& [zone, most] : choice.most) RC_ASSERT(most <= plain.most_in(zone));
        const Zones zones = open(choice, there);
        if (zones.empty()) {
            if (rule.strict || known) continue;
            // Nothing waits that need not.
            for (const auto& z : standing) RC_ASSERT(plain.most_in(z) <= there[z]);
            continue;
        }
        ++there[*rc::gen::elementOf(zones)];
    }
}

RC_GTEST_PROP(ZonesAlways, WhatWasPlacedWhereThereWasRoomIsNotMoved, ()) {
    const JobSpec job = any_service("req-000001");
    const ZoneRule rule = *any_rule();
    Counts there;
    for (int i = 0; i < job.tasks; ++i) {
        const Zones zones = open(choose_zones(job, &rule, there, kAll, kAll), there);
        if (zones.empty()) break;
        ++there[*rc::gen::elementOf(zones)];
    }
    RC_ASSERT(imbalance(job, &rule, there, kAll, kAll) == 0);
}

Shard any_shard(bool tight) {
    Shard d;
    const int machines = *rc::gen::inRange(1, 9);
    for (int i = 0; i < machines; ++i)
        d.machine("m" + std::to_string(i), *rc::gen::elementOf(kAll),
                  tight ? *rc::gen::inRange(0, 8) * 1'000 : 100'000);
    d.policy.zones = {*any_rule()};
    d.view.seed = *rc::gen::arbitrary<std::uint64_t>();
    const int services = *rc::gen::inRange(1, 4);
    for (int j = 0; j < services; ++j) {
        const JobSpec job = any_service("req-00000" + std::to_string(j));
        std::vector<std::string> on;
        Counts there;
        while (static_cast<int>(on.size()) < job.tasks) {
            const auto choice = choose_zones(job, nullptr, there, kAll, kAll);
            std::vector<std::string> names;
            for (const auto& m : d.view.machines)
                if (choice.most_in(m.zone) > there[m.zone]) names.push_back(m.name);
            if (names.empty()) break;
            on.push_back(*rc::gen::elementOf(names));
            ++there[d.view.machines[d.index(on.back())].zone];
        }
        if (static_cast<int>(on.size()) == job.tasks) d.add(job, on);
    }
    return d;
}

RC_GTEST_PROP(ZonesAlways, MendingEndsAndNothingComesBackToWhereItWas, ()) {
    const bool tight = *rc::gen::arbitrary<bool>();
    Shard d = any_shard(tight);
    std::map<std::pair<std::string, int>, std::set<std::string>> been;
    for (int round = 0;; ++round) {
        RC_ASSERT(round < 200);
        const auto moves = d.look();
        if (moves.empty()) break;
        std::set<std::string> moved;
        for (const auto& m : moves) {
            RC_ASSERT(moved.insert(m.job).second);  // so that all its others run
            const TaskView& t = d.task(m);
            const JobView& job = d.view.jobs[t.job];
            RC_ASSERT(d.view.machines[t.machine].name == m.from);
            const MachineView& to = d.view.machines[d.index(m.to)];
            RC_ASSERT(job.spec.request.fits(to.room()));
            if (to.zone != d.view.machines[t.machine].zone) {
                const auto plain = choose_zones(job.spec, nullptr, job.zones, kAll, kAll);
                auto there = job.zones.find(to.zone);
                RC_ASSERT((there == job.zones.end() ? 0 : there->second) < plain.most_in(to.zone));
            }
            auto& left = been[{m.job, m.task}];
            left.insert(m.from);
            RC_ASSERT(!left.count(m.to));
            const std::size_t j = t.job;
            const double before = d.imbalance_of(j);
            auto sharing = [&] {
                std::set<std::size_t> on;
                for (const auto& task : d.view.tasks)
                    if (task.job == j) on.insert(task.machine);
                return d.view.jobs[j].spec.tasks - static_cast<int>(on.size());
            };
            const int shared = sharing();
            d.carry_out(m);
            const double after = d.imbalance_of(j);
            RC_ASSERT(after < before || (after == before && sharing() < shared));
        }
    }
    if (!tight && d.rule().survive != Survive::Machine)
        for (std::size_t j = 0; j < d.view.jobs.size(); ++j) RC_ASSERT(d.imbalance_of(j) == 0);
}

RC_GTEST_PROP(ZonesAlways, TheOrderOfMachinesDoesNotMatter, ()) {
    const Shard d = any_shard(true);
    Shard turned = d;
    const std::size_t n = d.view.machines.size();
    std::reverse(turned.view.machines.begin(), turned.view.machines.end());
    for (auto& t : turned.view.tasks) t.machine = n - 1 - t.machine;
    RC_ASSERT(turned.look() == d.look());
}

}  // namespace
}  // namespace cottonway::test
