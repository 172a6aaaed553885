// Zone rules in the simulator: where controllers place services that have a rule, and where replicas are
// started again after a zone was lost.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {
namespace {

using namespace simulation;
using policy::FailureDomain;
using policy::ZoneRule;
using Counts = std::map<std::string, int>;

#define EXPECT_NO_VIOLATIONS(sim) \
    EXPECT_TRUE((sim).violations.empty()) << (sim).violations.front() << "\n" << (sim).format_history()

const std::string kServiceRef = "req-000001";

/// Three zones of three machines and one rule for all services.
struct ThreeZoneCluster {
    ThreeZoneCluster(std::uint64_t seed, const ZoneRule& rule) : simulator(seed, settings(rule), types()) {
        for (int i = 0; i < 9; ++i) {
            const std::string zone(1, static_cast<char>('a' + i % 3));
            zone_by_machine[simulator.add_machine("small", zone)] = zone;
        }
        simulator.start_nodes(1);
        simulator.run(8 * kSecond);
    }
    static Settings settings(const ZoneRule& rule) {
        Settings settings = small_cluster_settings();
        settings.zones = {"a", "b", "c"};
        settings.operators.idle_return_delay = 600 * kSecond;  // so that idle machines are not returned
        settings.operators.policy.emplace();
        settings.operators.policy->revision = 1;
        settings.operators.policy->zones = {rule};
        return settings;
    }
    static std::vector<MachineType> types() {
        auto types = small_cluster_machine_types();
        for (auto& type : types) type.zones = {"a", "b", "c"};
        return types;
    }
    JobSpec service(int replicas) {
        JobSpec spec = simulator.make_job(1, JobKind::Service, replicas);
        spec.priority_class = PriorityClass::Production;
        return spec;
    }
    /// Returns the service's replicas by zone, as the shard's owner counts them.
    Counts replicas_by_zone() {
        for (int node = 0; node < simulator.node_count(); ++node) {
            if (!simulator.owner_at(node)) continue;
            auto job = simulator.owner_at(node)->jobs().find(kServiceRef);
            if (job != simulator.owner_at(node)->jobs().end()) return job->second->tasks_by_zone();
        }
        return {};
    }
    void set_zone_cut(const std::string& zone, bool is_cut) {
        for (const auto& [machine, machine_zone] : zone_by_machine) {
            if (machine_zone != zone) continue;
            for (int i = 0; i < simulator.node_count(); ++i) {
                const std::string node = "loom-" + std::to_string(i);
                is_cut ? simulator.cut_link(machine, node) : simulator.heal_link(machine, node);
            }
        }
    }
    std::map<std::string, std::string> zone_by_machine;
    Simulator simulator;
};

TEST(ZonePlacement, AServiceIsSpreadAsItsRuleAsks) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.max_zone_share = 1.0 / 3;
        rule.survive = FailureDomain::Machine;
        ThreeZoneCluster cluster(seed, rule);
        cluster.simulator.submit(cluster.service(9), 0);
        cluster.simulator.run(5 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 3}, {"b", 3}, {"c", 3}}))
            << cluster.simulator.format_history();
        EXPECT_EQ(cluster.simulator.machines_running(kServiceRef).size(), 9u)
            << "no two replicas on one machine";
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

TEST(ZonePlacement, OnlyAllowedZonesAreUsedEvenIfOthersAreEmpty) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.allowed = {"b", "c"};
        rule.min_zones = 2;
        ThreeZoneCluster cluster(seed, rule);
        cluster.simulator.submit(cluster.service(2), 0);
        cluster.simulator.run(5 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"b", 1}, {"c", 1}}))
            << cluster.simulator.format_history();
        JobSpec gang = cluster.simulator.make_job(2, JobKind::Gang, 3);
        cluster.simulator.submit(gang, 20 * kSecond);
        cluster.simulator.run(5 * kSecond);
        EXPECT_EQ(cluster.simulator.running_tasks(gang.ref), 3) << cluster.simulator.format_history();
        for (const auto& machine : cluster.simulator.machines_running(gang.ref))
            EXPECT_NE(cluster.zone_by_machine.at(machine), "a");
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

TEST(ZonePlacement, ReplicasOfALostZoneAreSpreadOverTheOthersAfterTheLease) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.max_zone_share = 1.0 / 3;
        ThreeZoneCluster cluster(seed, rule);
        cluster.simulator.submit(cluster.service(6), 0);
        cluster.simulator.run(5 * kSecond);
        ASSERT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 2}, {"b", 2}, {"c", 2}}))
            << cluster.simulator.format_history();
        cluster.set_zone_cut("c", true);
        cluster.simulator.run(8 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone()["c"], 2) << "in doubt as long as the lease may last";
        EXPECT_EQ(cluster.simulator.task_starts(kServiceRef), 6);
        cluster.simulator.run(12 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 3}, {"b", 3}}))
            << cluster.simulator.format_history();
        EXPECT_EQ(cluster.simulator.running_tasks(kServiceRef), 6) << cluster.simulator.format_history();
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

TEST(ZonePlacement, AStrictRuleWaitsForTheLostZone) {
    ZoneRule rule;
    rule.max_zone_share = 1.0 / 3;
    rule.strict = true;
    ThreeZoneCluster cluster(3, rule);
    cluster.simulator.submit(cluster.service(6), 0);
    cluster.simulator.run(5 * kSecond);
    cluster.set_zone_cut("c", true);
    cluster.simulator.run(20 * kSecond);
    EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 2}, {"b", 2}})) << cluster.simulator.format_history();
    cluster.set_zone_cut("c", false);
    cluster.simulator.run(10 * kSecond);
    EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 2}, {"b", 2}, {"c", 2}}))
        << cluster.simulator.format_history();
    EXPECT_NO_VIOLATIONS(cluster.simulator);
}

TEST(ZonePlacement, SpreadHoldsEvenIfTheRuleIsRelaxed) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ZoneRule rule;
        rule.preferred = {"a"};
        rule.max_zone_share = 0.4;
        ThreeZoneCluster cluster(seed, rule);
        JobSpec job = cluster.service(5);
        job.spread = true;
        cluster.simulator.submit(job, 0);
        cluster.simulator.run(5 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone()["a"], 2) << cluster.simulator.format_history();
        for (const char* zone : {"b", "c"}) cluster.set_zone_cut(zone, true);
        cluster.simulator.run(20 * kSecond);
        EXPECT_EQ(cluster.replicas_by_zone(), (Counts{{"a", 3}}))
            << "half of five replicas, rounded up; the others wait";
        for (const char* zone : {"b", "c"}) cluster.set_zone_cut(zone, false);
        cluster.simulator.run(10 * kSecond);
        EXPECT_EQ(cluster.simulator.running_tasks(kServiceRef), 5) << cluster.simulator.format_history();
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
