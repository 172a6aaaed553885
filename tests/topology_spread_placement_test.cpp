// Zones by policy in a simulated world: where controllers place services that have a rule, and where replicas
// come back when a zone is lost.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {
namespace {

using namespace simulation;
using policy::Survive;
using policy::ZoneRule;
using Counts = std::map<std::string, int>;

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

const std::string kRef = "req-000001";

/// Three zones of three machines and one rule for all services.
struct Site {
    Site(std::uint64_t seed, const ZoneRule& rule) : w(seed, settings(rule), types()) {
        for (int i = 0; i < 9; ++i) {
            const std::string zone(1, static_cast<char>('a' + i % 3));
            zone_of[w.add_machine("small", zone)] = zone;
        }
        w.start_nodes(1);
        w.run(8 * kSecond);
    }
    static Settings settings(const ZoneRule& rule) {
        Settings s = small_cluster_settings();
        s.zones = {"a", "b", "c"};
        s.ops.idle_return = 600 * kSecond;  // what stands empty stays
        s.ops.policy.emplace();
        s.ops.policy->revision = 1;
        s.ops.policy->zones = {rule};
        return s;
    }
    static std::vector<MachineType> types() {
        auto types = small_cluster_machine_types();
        for (auto& t : types) t.zones = {"a", "b", "c"};
        return types;
    }
    JobSpec service(int replicas) {
        JobSpec s = w.make_job(1, JobKind::Service, replicas);
        s.rank = PriorityClass::Production;
        return s;
    }
    /// Its replicas by zone, as the holder counts them.
    Counts zones() {
        for (int n = 0; n < w.node_count(); ++n) {
            if (!w.owner_at(n)) continue;
            auto job = w.owner_at(n)->jobs().find(kRef);
            if (job != w.owner_at(n)->jobs().end()) return job->second->zones();
        }
        return {};
    }
    void cut_zone(const std::string& zone, bool on) {
        for (const auto& [machine, at] : zone_of) {
            if (at != zone) continue;
            for (int n = 0; n < w.node_count(); ++n) {
                const std::string node = "loom-" + std::to_string(n);
                on ? w.cut_link(machine, node) : w.heal_link(machine, node);
            }
        }
    }
    std::map<std::string, std::string> zone_of;  // by machine
    Simulator w;
};

TEST(ZonePlacement, AServiceIsSpreadAsItsRuleAsks) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.most_share = 1.0 / 3;
        rule.survive = Survive::Machine;
        Site s(seed, rule);
        s.w.submit(s.service(9), 0);
        s.w.run(5 * kSecond);
        EXPECT_EQ(s.zones(), (Counts{{"a", 3}, {"b", 3}, {"c", 3}})) << s.w.format_history();
        EXPECT_EQ(s.w.machines_running(kRef).size(), 9u) << "no two on one machine";
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

TEST(ZonePlacement, AllowedZonesAreKeptToWhateverElseIsEmpty) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.allowed = {"b", "c"};
        rule.least_zones = 2;
        Site s(seed, rule);
        s.w.submit(s.service(2), 0);
        s.w.run(5 * kSecond);
        EXPECT_EQ(s.zones(), (Counts{{"b", 1}, {"c", 1}})) << s.w.format_history();
        JobSpec gang = s.w.make_job(2, JobKind::Gang, 3);
        s.w.submit(gang, 20 * kSecond);
        s.w.run(5 * kSecond);
        EXPECT_EQ(s.w.running_tasks(gang.ref), 3) << s.w.format_history();
        for (const auto& m : s.w.machines_running(gang.ref)) EXPECT_NE(s.zone_of.at(m), "a");
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

TEST(ZonePlacement, WhatALostZoneHeldComesBackLevelInTheOthersAfterTheLease) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.most_share = 1.0 / 3;
        Site s(seed, rule);
        s.w.submit(s.service(6), 0);
        s.w.run(5 * kSecond);
        ASSERT_EQ(s.zones(), (Counts{{"a", 2}, {"b", 2}, {"c", 2}})) << s.w.format_history();
        s.cut_zone("c", true);
        s.w.run(8 * kSecond);
        EXPECT_EQ(s.zones()["c"], 2) << "in doubt as long as the lease may last";
        EXPECT_EQ(s.w.task_starts(kRef), 6);
        s.w.run(12 * kSecond);
        EXPECT_EQ(s.zones(), (Counts{{"a", 3}, {"b", 3}})) << s.w.format_history();
        EXPECT_EQ(s.w.running_tasks(kRef), 6) << s.w.format_history();
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

TEST(ZonePlacement, StrictWaitsForTheZone) {
    ZoneRule rule;
    rule.most_share = 1.0 / 3;
    rule.strict = true;
    Site s(3, rule);
    s.w.submit(s.service(6), 0);
    s.w.run(5 * kSecond);
    s.cut_zone("c", true);
    s.w.run(20 * kSecond);
    EXPECT_EQ(s.zones(), (Counts{{"a", 2}, {"b", 2}})) << s.w.format_history();
    s.cut_zone("c", false);
    s.w.run(10 * kSecond);
    EXPECT_EQ(s.zones(), (Counts{{"a", 2}, {"b", 2}, {"c", 2}})) << s.w.format_history();
    EXPECT_NO_VIOLATIONS(s.w);
}

TEST(ZonePlacement, SpreadHoldsThoughARuleGivesWay) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.preferred = {"a"};
        rule.most_share = 0.4;
        Site s(seed, rule);
        JobSpec job = s.service(5);
        job.spread = true;
        s.w.submit(job, 0);
        s.w.run(5 * kSecond);
        EXPECT_EQ(s.zones()["a"], 2) << s.w.format_history();
        for (const char* zone : {"b", "c"}) s.cut_zone(zone, true);
        s.w.run(20 * kSecond);
        EXPECT_EQ(s.zones(), (Counts{{"a", 3}})) << "half of five, rounded up; the rest waits";
        for (const char* zone : {"b", "c"}) s.cut_zone(zone, false);
        s.w.run(10 * kSecond);
        EXPECT_EQ(s.w.running_tasks(kRef), 5) << s.w.format_history();
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

}  // namespace
}  // namespace cottonway::test
