// Zone rules: where a service's next replica may be placed, and which moves restore its balance.

#include "scheduling/topology_spread.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace cottonway::test {
namespace {

using namespace scheduling;
using policy::FailureDomain;
using policy::ZoneRule;
using Counts = std::map<std::string, int>;
using Zones = std::vector<std::string>;

const Zones kAllZones{"a", "b", "c"};

JobSpec service(int replicas, const std::string& ref = "req-000001") {
    JobSpec spec;
    spec.ref = ref;
    spec.team = "red";
    spec.kind = JobKind::Service;
    spec.priority_class = PriorityClass::Production;
    spec.tasks = replicas;
    spec.request = {1'000, 0, 1'000};
    spec.image = "img";
    return spec;
}

/// Returns the zones that may take the next replica.
Zones open_zones(const ZoneChoice& choice, const Counts& counts) {
    Zones zones;
    for (const auto& [zone, limit] : choice.max_tasks) {
        auto it = counts.find(zone);
        if (limit > (it == counts.end() ? 0 : it->second)) zones.push_back(zone);
    }
    return zones;
}

/// Places the missing replicas one by one in the first open zone. Returns true if all were placed and every
/// choice met the rule.
bool place_missing(const JobSpec& job, const ZoneRule& rule, Counts& counts, const Zones& usable_zones) {
    int missing = job.tasks;
    for (const auto& entry : counts) missing -= entry.second;
    bool meets_rule = true;
    for (; missing > 0; --missing) {
        const auto choice = choose_zones(job, &rule, counts, usable_zones, kAllZones);
        const Zones zones = open_zones(choice, counts);
        if (zones.empty()) return false;
        meets_rule = meets_rule && choice.meets_rule;
        ++counts[zones.front()];
    }
    return meets_rule;
}

/// A shard in which moves can be applied to the view, so that `rebalance` can be called again on the result.
struct Shard {
    ShardView view;
    policy::Policy policy;

    Shard() { policy.zones.emplace_back().rebalance = true; }
    ZoneRule& rule() { return policy.zones.front(); }
    void add_machine(const std::string& name, const std::string& zone, Milli cores = 8'000) {
        MachineView machine;
        machine.name = name;
        machine.type = "small";
        machine.zone = zone;
        machine.usable = true;
        machine.size = {cores, 0, 64'000};
        view.machines.push_back(machine);
    }
    std::size_t machine_index(const std::string& name) const {
        for (std::size_t i = 0; i < view.machines.size(); ++i)
            if (view.machines[i].name == name) return i;
        return SIZE_MAX;
    }
    void add_service(const JobSpec& spec, const std::vector<std::string>& machines) {
        JobView job;
        job.spec = spec;
        job.tier = policy::Tier::Live;
        job.bound_tasks = static_cast<int>(machines.size());
        job.waiting_tasks = spec.tasks - job.bound_tasks;
        job.time_since_move = 3600 * kSecond;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            const std::size_t m = machine_index(machines[i]);
            view.machines[m].reserved += spec.request;
            ++job.tasks_by_zone[view.machines[m].zone];
            view.machines[m].tasks.push_back(view.tasks.size());
            view.tasks.push_back({view.jobs.size(), static_cast<int>(i), m, true, false, false, 0});
        }
        view.jobs.push_back(job);
    }
    std::vector<Move> moves() const { return rebalance(view, policy, kAllZones); }
    TaskView& task(const Move& move) {
        for (auto& candidate : view.tasks)
            if (view.jobs[candidate.job].spec.ref == move.job && candidate.task == move.task)
                return candidate;
        throw std::logic_error("move of an unknown task");
    }
    void apply(const Move& move) {
        TaskView& moved = task(move);
        JobView& job = view.jobs[moved.job];
        MachineView &from = view.machines[moved.machine], &to = view.machines[machine_index(move.to)];
        from.reserved -= job.spec.request;
        to.reserved += job.spec.request;
        if (--job.tasks_by_zone[from.zone] == 0) job.tasks_by_zone.erase(from.zone);
        ++job.tasks_by_zone[to.zone];
        moved.machine = machine_index(move.to);
    }
    void set_zone_down(const std::string& zone, bool down = true) {
        for (auto& machine : view.machines)
            if (machine.zone == zone) machine.usable = !down;
        view.unstable_zones.clear();
        if (down) view.unstable_zones.push_back(zone);
    }
    double imbalance_of(std::size_t job) const {
        std::set<std::string> usable_zones;
        for (const auto& machine : view.machines)
            if (machine.usable) usable_zones.insert(machine.zone);
        return imbalance(view.jobs[job].spec, policy.zone_rule(view.jobs[job].spec),
                         view.jobs[job].tasks_by_zone, {usable_zones.begin(), usable_zones.end()}, kAllZones);
    }
};

// ---------------------------------------------------------------- choosing zones

TEST(ChooseZones, WithoutARuleOnlyTheJobsConstraintsApply) {
    JobSpec job = service(9);
    auto choice = choose_zones(job, nullptr, {{"a", 3}}, {"a", "b"}, kAllZones);
    EXPECT_EQ(choice.max_tasks, (Counts{{"a", 9}, {"b", 9}, {"c", 9}}));
    EXPECT_EQ(choice.penalty_in("a"), 75);
    EXPECT_EQ(choice.penalty_in("b"), 0);
    job.spread = true;
    EXPECT_EQ(choose_zones(job, nullptr, {}, kAllZones, kAllZones).max_tasks,
              (Counts{{"a", 5}, {"b", 5}, {"c", 5}}));
    EXPECT_EQ(choose_zones(service(1), nullptr, {}, kAllZones, kAllZones).max_tasks_in("a"), 1);
    job = service(4);
    job.zone = "b";
    EXPECT_EQ(choose_zones(job, nullptr, {}, kAllZones, kAllZones).max_tasks,
              (Counts{{"a", 0}, {"b", 4}, {"c", 0}}));
    job = service(4);
    job.one_zone = true;
    EXPECT_EQ(choose_zones(job, nullptr, {{"c", 1}}, kAllZones, kAllZones).max_tasks,
              (Counts{{"a", 0}, {"b", 0}, {"c", 4}}));
}

TEST(ChooseZones, TheShareIsRoundedUpAndTheMinimumOfZonesIsReached) {
    ZoneRule rule;
    rule.max_zone_share = 1.0 / 3;
    Counts counts;
    EXPECT_TRUE(place_missing(service(9), rule, counts, kAllZones));
    EXPECT_EQ(counts, (Counts{{"a", 3}, {"b", 3}, {"c", 3}}));
    rule.max_zone_share = 0.07;
    EXPECT_EQ(choose_zones(service(100), &rule, {}, kAllZones, kAllZones).max_tasks_in("a"), 7)
        << "the rounding error of 0.07 in binary must not add a replica";
    rule.max_zone_share = 1;
    rule.min_zones = 3;
    counts.clear();
    EXPECT_TRUE(place_missing(service(4), rule, counts, kAllZones));
    EXPECT_EQ(counts.size(), 3u);
    rule.min_zones = 1;
    rule.survive = FailureDomain::Zone;
    EXPECT_EQ(choose_zones(service(5), &rule, {}, kAllZones, kAllZones).max_tasks_in("a"), 3);
}

TEST(ChooseZones, ReplicasOfALostZoneAreSpreadEvenlyOverTheOthers) {
    ZoneRule rule;
    rule.max_zone_share = 0.34;
    Counts counts{{"a", 2}, {"b", 2}};  // the two replicas in "c" are proven terminated
    EXPECT_TRUE(place_missing(service(6), rule, counts, {"a", "b"})) << "0.34 of 6 is rounded up to 3";
    EXPECT_EQ(counts, (Counts{{"a", 3}, {"b", 3}}));
    rule.max_zone_share = 1.0 / 3;
    counts = {{"a", 2}, {"b", 2}};
    EXPECT_FALSE(place_missing(service(6), rule, counts, {"a", "b"}))
        << "both zones exceed the share, which has to be reported";
    EXPECT_EQ(counts, (Counts{{"a", 3}, {"b", 3}}));
}

TEST(ChooseZones, AStrictRuleIsNotRelaxed) {
    ZoneRule rule;
    rule.max_zone_share = 0.5;
    rule.strict = true;
    const Counts counts{{"a", 2}};
    const auto choice = choose_zones(service(4), &rule, counts, {"a"}, kAllZones);
    EXPECT_TRUE(open_zones(choice, counts).empty());
    rule.strict = false;
    const auto relaxed = choose_zones(service(4), &rule, counts, {"a"}, kAllZones);
    EXPECT_EQ(open_zones(relaxed, counts), Zones{"a"});
    EXPECT_EQ(relaxed.max_tasks_in("a"), 3) << "relaxed by one replica only";
    EXPECT_FALSE(relaxed.meets_rule);
    rule = {};
    rule.min_zones = 2;
    rule.strict = true;
    const Counts one{{"a", 1}};
    EXPECT_EQ(open_zones(choose_zones(service(3), &rule, one, {"a"}, kAllZones), one), Zones{"a"})
        << "the last replica can still go to another zone";
    EXPECT_TRUE(open_zones(choose_zones(service(2), &rule, one, {"a"}, kAllZones), one).empty());
}

TEST(ChooseZones, TheJobsConstraintsAreNeverRelaxed) {
    ZoneRule rule;
    JobSpec job = service(4);
    job.spread = true;
    Counts counts{{"a", 2}};
    EXPECT_TRUE(open_zones(choose_zones(job, &rule, counts, {"a"}, kAllZones), counts).empty());
    rule.allowed = {"a"};
    EXPECT_EQ(open_zones(choose_zones(job, &rule, counts, {"a", "b"}, kAllZones), counts), Zones{"b"})
        << "the rule is relaxed instead";
    job.spread = false;
    job.zone = "c";
    EXPECT_TRUE(open_zones(choose_zones(job, &rule, {}, {"a", "b"}, kAllZones), {}).empty());
    job.zone.reset();
    job.one_zone = true;
    rule = {};
    rule.min_zones = 2;
    EXPECT_EQ(open_zones(choose_zones(job, &rule, counts, kAllZones, kAllZones), counts), Zones{"a"});
}

TEST(ChooseZones, PreferredZonesFillFirstWithinTheRestOfTheRule) {
    ZoneRule rule;
    rule.preferred = {"b"};
    rule.max_zone_share = 0.5;
    Counts counts;
    EXPECT_TRUE(place_missing(service(4), rule, counts, kAllZones));
    EXPECT_EQ(counts, (Counts{{"a", 2}, {"b", 2}}));
    // A preference does not rule out other zones when the preferred ones are full.
    const Zones zones_with_capacity{"c"};
    const auto choice = choose_zones(service(4), &rule, {}, kAllZones, kAllZones, &zones_with_capacity);
    EXPECT_EQ(open_zones(choice, {}), zones_with_capacity);
    EXPECT_TRUE(choice.meets_rule);
    EXPECT_GT(choice.penalty_in("c"), choice.penalty_in("b"));
}

TEST(ChooseZones, LackOfCapacityOpensNoZoneThatIsNotAllowed) {
    ZoneRule rule;
    rule.allowed = {"a"};
    const Zones zones_with_capacity{"b"};
    EXPECT_TRUE(
        open_zones(choose_zones(service(2), &rule, {}, {"a", "b"}, kAllZones, &zones_with_capacity), {})
            .empty());
    const auto choice = choose_zones(service(2), &rule, {}, {"b"}, kAllZones, &zones_with_capacity);
    EXPECT_EQ(open_zones(choice, {}), Zones{"b"}) << "no allowed zone is usable";
    EXPECT_FALSE(choice.meets_rule);
}

TEST(ChooseZones, BatchIsKeptToAllowedZonesButNotSpread) {
    ZoneRule rule;
    rule.allowed = {"a", "b"};
    rule.max_zone_share = 0.5;
    rule.min_zones = 2;
    rule.survive = FailureDomain::Machine;
    JobSpec job = service(6);
    job.kind = JobKind::Gang;
    const auto choice = choose_zones(job, &rule, {{"a", 5}}, kAllZones, kAllZones);
    EXPECT_EQ(choice.max_tasks, (Counts{{"a", 6}, {"b", 6}, {"c", 0}}));
    EXPECT_GT(choice.max_tasks_per_machine, 1);
    job.kind = JobKind::Service;
    EXPECT_EQ(choose_zones(job, &rule, {}, kAllZones, kAllZones).max_tasks_per_machine, 1);
}

// ---------------------------------------------------------------- rebalancing

/// Three zones of two machines, and a service of six replicas with at most a third in one zone. All replicas
/// run in two of the zones, as after the loss of the third one.
Shard shard_after_zone_loss() {
    Shard shard;
    for (const auto& zone : kAllZones)
        for (int i = 0; i < 2; ++i) shard.add_machine(zone + std::to_string(i), zone);
    shard.rule().max_zone_share = 1.0 / 3;
    shard.add_service(service(6), {"a0", "a1", "b0", "b1", "a0", "b0"});
    return shard;
}

TEST(Rebalance, AZoneThatIsBackGetsItsShareOneReplicaAtATime) {
    Shard shard = shard_after_zone_loss();
    shard.set_zone_down("c");
    EXPECT_EQ(shard.imbalance_of(0), 0) << "this is the best distribution without zone c";
    EXPECT_TRUE(shard.moves().empty());
    shard.set_zone_down("c", false);
    EXPECT_GT(shard.imbalance_of(0), 0);
    for (int round = 0; round < 2; ++round) {
        const auto moves = shard.moves();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_EQ(moves[0].to[0], 'c');
        EXPECT_EQ(moves[0].reason, MoveReason::Balance);
        shard.apply(moves[0]);
    }
    EXPECT_EQ(shard.view.jobs[0].tasks_by_zone, (Counts{{"a", 2}, {"b", 2}, {"c", 2}}));
    EXPECT_TRUE(shard.moves().empty());
    EXPECT_EQ(shard.imbalance_of(0), 0);
}

TEST(Rebalance, MovesOnlyWhileAllReplicasRunAndAllZonesAreStable) {
    const Shard shard = shard_after_zone_loss();
    ASSERT_EQ(shard.moves().size(), 1u);
    const std::vector<std::pair<const char*, std::function<void(Shard&)>>> obstacles{
        {"a replica waits", [](Shard& changed) { changed.view.jobs[0].waiting_tasks = 1; }},
        {"a replica is stopping", [](Shard& changed) { changed.view.tasks[3].stopping = true; }},
        {"a replica is being moved", [](Shard& changed) { changed.view.tasks[3].has_planned_move = true; }},
        {"a replica fetches its image", [](Shard& changed) { changed.view.tasks[3].running = false; }},
        {"a replica is missing", [](Shard& changed) { changed.view.tasks.pop_back(); }},
        {"the service is cancelled", [](Shard& changed) { changed.view.jobs[0].cancelled = true; }},
        {"a zone is unstable", [](Shard& changed) { changed.view.unstable_zones = {"b"}; }},
        {"the pause since the last move is not over",
         [](Shard& changed) { changed.view.jobs[0].time_since_move = kSecond; }},
        {"the rule does not ask for rebalancing", [](Shard& changed) { changed.rule().rebalance = false; }},
        {"the job is not a service",
         [](Shard& changed) {
             changed.view.jobs[0].spec.kind = JobKind::Array;
             changed.rule().allowed = {"c"};
         }},
        {"the budget is zero", [](Shard& changed) { changed.policy.budgets.moves_per_minute = 0; }},
        {"no machine in zone c is usable",
         [](Shard& changed) { changed.view.machines[4].usable = changed.view.machines[5].usable = false; }},
        {"no machine in zone c has capacity",
         [](Shard& changed) {
             changed.view.machines[4].withheld = changed.view.machines[5].reserved = {8'000, 0, 0};
         }},
        {"the machines in zone c are of another type",
         [](Shard& changed) {
             changed.view.machines[4].type = changed.view.machines[5].type = "other";
             changed.view.jobs[0].spec.types = {{"small"}};
         }},
        {"spot",
         [](Shard& changed) { changed.view.machines[4].spot = changed.view.machines[5].spot = true; }},
    };
    for (const auto& [description, apply_obstacle] : obstacles) {
        Shard changed = shard;
        apply_obstacle(changed);
        EXPECT_TRUE(changed.moves().empty()) << description;
    }
}

TEST(Rebalance, PrefersAMachineThatHasTheImage) {
    Shard shard = shard_after_zone_loss();
    shard.view.machines[5].images = {{"img", true}};
    EXPECT_EQ(shard.moves().at(0).to, "c1");
    shard.view.machines[4].images = {{"img", true}};
    shard.view.machines[5].images = {{"img", false}};
    EXPECT_EQ(shard.moves().at(0).to, "c0");
}

TEST(Rebalance, MovesOfOneCallDoNotUseTheSameCapacity) {
    Shard shard = shard_after_zone_loss();
    shard.add_service(service(6, "req-000002"), {"a0", "a1", "b0", "b1", "a0", "b0"});
    shard.view.machines[4].size.cores = 1'000;
    shard.view.machines[5].size.cores = 0;
    EXPECT_EQ(shard.moves().size(), 1u);
}

TEST(Rebalance, TheLeastBalancedServiceGoesFirst) {
    Shard shard = shard_after_zone_loss();
    shard.add_service(service(6, "req-000002"), {"a0", "a1", "a0", "a1", "a0", "a1"});
    shard.policy.budgets.moves_per_minute = 1;
    EXPECT_EQ(shard.moves().at(0).job, "req-000002");
}

TEST(Rebalance, SpreadHoldsWhileTheOldReplicaStillCounts) {
    Shard shard;
    for (const auto& zone : kAllZones) shard.add_machine(zone + "0", zone);
    JobSpec job = service(5);
    job.spread = true;
    shard.rule().allowed = {"a", "b"};
    shard.add_service(job, {"a0", "a0", "a0", "b0", "c0"});
    const auto moves = shard.moves();
    ASSERT_EQ(moves.size(), 1u);
    EXPECT_EQ(moves[0].from, "c0");
    EXPECT_EQ(moves[0].to, "b0") << "three of five replicas are in \"a\" already";
}

TEST(Rebalance, SeparatesReplicasThatShareAMachine) {
    Shard shard;
    for (int i = 0; i < 3; ++i) shard.add_machine("a" + std::to_string(i), "a");
    shard.add_service(service(3), {"a0", "a0", "a0"});
    EXPECT_TRUE(shard.moves().empty());
    shard.rule().survive = FailureDomain::Machine;
    std::set<std::string> destinations;
    for (int round = 0; round < 2; ++round) {
        const auto moves = shard.moves();
        ASSERT_EQ(moves.size(), 1u);
        EXPECT_TRUE(destinations.insert(moves[0].to).second);
        shard.apply(moves[0]);
    }
    EXPECT_TRUE(shard.moves().empty());
}

TEST(Rebalance, AReplicaThatSharesItsMachineLeavesTheZoneFirst) {
    Shard shard;
    for (const char* name : {"a0", "a1", "b0"}) shard.add_machine(name, std::string(1, name[0]));
    shard.rule().min_zones = 2;
    shard.rule().survive = FailureDomain::Machine;
    shard.add_service(service(3), {"a1", "a0", "a0"});
    EXPECT_EQ(shard.moves().at(0).from, "a0");
}

TEST(Rebalance, ReplicasInALostZoneDoNotCountAsImbalance) {
    ZoneRule rule;
    rule.max_zone_share = 0.5;
    EXPECT_EQ(imbalance(service(6), &rule, {{"c", 6}}, {"a", "b"}, kAllZones), 0);
    EXPECT_GT(imbalance(service(6), &rule, {{"c", 6}}, kAllZones, kAllZones), 0);
}

TEST(Rebalance, ThePauseDoublesWithEachFurtherMoveOfAService) {
    policy::Budgets budgets;
    JobView job;
    job.spec = service(4);
    job.recent_balance_moves = 4;
    EXPECT_EQ(pause_between_moves(job, budgets), budgets.service_pause);
    job.recent_balance_moves = 6;
    EXPECT_EQ(pause_between_moves(job, budgets), 4 * budgets.service_pause);
    job.recent_balance_moves = 1000;
    EXPECT_EQ(pause_between_moves(job, budgets), 32 * budgets.service_pause);
}

TEST(ZoneMonitoring, AZoneThatIsLostRepeatedlyIsUnstableForLongerEachTime) {
    ZoneMonitor monitor;
    const Micros settle_time = 10 * kSecond;
    Micros now = 100 * kSecond;
    auto time_until_stable = [&] {
        Micros passed = 0;
        while (!monitor.unstable_zones(now + passed, settle_time).empty()) passed += kSecond;
        return passed;
    };
    monitor.observe("a", true, now);
    EXPECT_EQ(time_until_stable(), settle_time);
    now += settle_time;
    for (const Micros expected : {settle_time, 2 * settle_time, 4 * settle_time}) {
        monitor.observe("a", false, now);
        EXPECT_EQ(monitor.unstable_zones(now, settle_time), Zones{"a"});
        monitor.observe("a", true, now += kSecond);
        EXPECT_EQ(time_until_stable(), expected);
    }
    now += 700 * kSecond;
    monitor.observe("a", false, now);
    monitor.observe("a", true, now += kSecond);
    EXPECT_EQ(time_until_stable(), settle_time) << "losses of more than ten minutes ago are forgotten";
}

// ---------------------------------------------------------------- properties

rc::Gen<ZoneRule> any_rule() {
    return rc::gen::exec([] {
        ZoneRule rule;
        for (const auto& zone : kAllZones) {
            if (*rc::gen::inRange(0, 3)) rule.allowed.push_back(zone);
            if (!*rc::gen::inRange(0, 3)) rule.preferred.push_back(zone);
        }
        rule.min_zones = *rc::gen::inRange(1, 4);
        rule.max_zone_share = *rc::gen::element(0.2, 1.0 / 3, 0.5, 0.75, 1.0);
        rule.survive = *rc::gen::element(FailureDomain::None, FailureDomain::Machine, FailureDomain::Zone);
        rule.strict = *rc::gen::arbitrary<bool>();
        rule.rebalance = true;
        return rule;
    });
}

JobSpec any_service(const std::string& ref) {
    JobSpec job = service(*rc::gen::inRange(1, 10), ref);
    const int constraint = *rc::gen::inRange(0, 6);
    job.spread = constraint == 0 || constraint == 1;
    job.one_zone = constraint == 2;
    if (constraint == 3) job.zone = *rc::gen::elementOf(kAllZones);
    return job;
}

Zones any_zones() {
    Zones zones;
    for (const auto& zone : kAllZones)
        if (*rc::gen::inRange(0, 3)) zones.push_back(zone);
    return zones;
}

RC_GTEST_PROP(TopologySpreadProperties, ARuleNeverOpensAZoneThatTheJobForbids, ()) {
    const JobSpec job = any_service("req-000001");
    const ZoneRule rule = *any_rule();
    Counts counts;
    for (int i = 0; i < job.tasks; ++i) {
        const Zones usable_zones = any_zones(), zones_with_capacity = any_zones();
        const auto without_rule = choose_zones(job, nullptr, counts, usable_zones, kAllZones);
        const bool capacity_is_known = *rc::gen::arbitrary<bool>();
        const auto choice = choose_zones(job, &rule, counts, usable_zones, kAllZones,
                                         capacity_is_known ? &zones_with_capacity : nullptr);
        for (const auto& [zone, limit] : choice.max_tasks)
            RC_ASSERT(limit <= without_rule.max_tasks_in(zone));
        const Zones zones = open_zones(choice, counts);
        if (zones.empty()) {
            if (rule.strict || capacity_is_known) continue;
            // A replica waits only if the job's own constraints leave no usable zone.
            for (const auto& zone : usable_zones) RC_ASSERT(without_rule.max_tasks_in(zone) <= counts[zone]);
            continue;
        }
        ++counts[*rc::gen::elementOf(zones)];
    }
}

RC_GTEST_PROP(TopologySpreadProperties, PlacementWithEnoughCapacityLeavesNoImbalance, ()) {
    const JobSpec job = any_service("req-000001");
    const ZoneRule rule = *any_rule();
    Counts counts;
    for (int i = 0; i < job.tasks; ++i) {
        const Zones zones = open_zones(choose_zones(job, &rule, counts, kAllZones, kAllZones), counts);
        if (zones.empty()) break;
        ++counts[*rc::gen::elementOf(zones)];
    }
    RC_ASSERT(imbalance(job, &rule, counts, kAllZones, kAllZones) == 0);
}

Shard any_shard(bool small_machines) {
    Shard shard;
    const int machines = *rc::gen::inRange(1, 9);
    for (int i = 0; i < machines; ++i)
        shard.add_machine("m" + std::to_string(i), *rc::gen::elementOf(kAllZones),
                          small_machines ? *rc::gen::inRange(0, 8) * 1'000 : 100'000);
    shard.policy.zones = {*any_rule()};
    shard.view.seed = *rc::gen::arbitrary<std::uint64_t>();
    const int services = *rc::gen::inRange(1, 4);
    for (int j = 0; j < services; ++j) {
        const JobSpec job = any_service("req-00000" + std::to_string(j));
        std::vector<std::string> placed_on;
        Counts counts;
        while (static_cast<int>(placed_on.size()) < job.tasks) {
            const auto choice = choose_zones(job, nullptr, counts, kAllZones, kAllZones);
            std::vector<std::string> names;
            for (const auto& machine : shard.view.machines)
                if (choice.max_tasks_in(machine.zone) > counts[machine.zone]) names.push_back(machine.name);
            if (names.empty()) break;
            placed_on.push_back(*rc::gen::elementOf(names));
            ++counts[shard.view.machines[shard.machine_index(placed_on.back())].zone];
        }
        if (static_cast<int>(placed_on.size()) == job.tasks) shard.add_service(job, placed_on);
    }
    return shard;
}

RC_GTEST_PROP(TopologySpreadProperties, RebalancingEndsAndNoReplicaReturnsToAMachineThatItLeft, ()) {
    const bool small_machines = *rc::gen::arbitrary<bool>();
    Shard shard = any_shard(small_machines);
    std::map<std::pair<std::string, int>, std::set<std::string>> left_machines;
    for (int round = 0;; ++round) {
        RC_ASSERT(round < 200);
        const auto moves = shard.moves();
        if (moves.empty()) break;
        std::set<std::string> moved_jobs;
        for (const auto& move : moves) {
            RC_ASSERT(moved_jobs.insert(move.job).second);  // all other replicas of the service keep running
            const TaskView& task = shard.task(move);
            const JobView& job = shard.view.jobs[task.job];
            RC_ASSERT(shard.view.machines[task.machine].name == move.from);
            const MachineView& to = shard.view.machines[shard.machine_index(move.to)];
            RC_ASSERT(job.spec.request.fits(to.available()));
            if (to.zone != shard.view.machines[task.machine].zone) {
                const auto without_rule =
                    choose_zones(job.spec, nullptr, job.tasks_by_zone, kAllZones, kAllZones);
                auto in_zone = job.tasks_by_zone.find(to.zone);
                RC_ASSERT((in_zone == job.tasks_by_zone.end() ? 0 : in_zone->second) <
                          without_rule.max_tasks_in(to.zone));
            }
            auto& left = left_machines[{move.job, move.task}];
            left.insert(move.from);
            RC_ASSERT(!left.count(move.to));
            const std::size_t job_index = task.job;
            const double imbalance_before = shard.imbalance_of(job_index);
            auto count_sharing = [&] {
                std::set<std::size_t> machines;
                for (const auto& replica : shard.view.tasks)
                    if (replica.job == job_index) machines.insert(replica.machine);
                return shard.view.jobs[job_index].spec.tasks - static_cast<int>(machines.size());
            };
            const int sharing_before = count_sharing();
            shard.apply(move);
            const double imbalance_after = shard.imbalance_of(job_index);
            RC_ASSERT(imbalance_after < imbalance_before ||
                      (imbalance_after == imbalance_before && count_sharing() < sharing_before));
        }
    }
    if (!small_machines && shard.rule().survive != FailureDomain::Machine)
        for (std::size_t j = 0; j < shard.view.jobs.size(); ++j) RC_ASSERT(shard.imbalance_of(j) == 0);
}

RC_GTEST_PROP(TopologySpreadProperties, TheOrderOfMachinesDoesNotMatter, ()) {
    const Shard shard = any_shard(true);
    Shard reversed = shard;
    const std::size_t machine_count = shard.view.machines.size();
    std::reverse(reversed.view.machines.begin(), reversed.view.machines.end());
    for (auto& task : reversed.view.tasks) task.machine = machine_count - 1 - task.machine;
    RC_ASSERT(reversed.moves() == shard.moves());
}

}  // namespace
}  // namespace cottonway::test
