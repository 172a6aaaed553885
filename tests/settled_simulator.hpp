#pragma once
// The common setup of tests on the simulator, and checks of its state.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

#include "kvstore/records.hpp"
#include "simulation/simulator.hpp"

#define EXPECT_NO_VIOLATIONS(simulator)                                                   \
    EXPECT_TRUE((simulator).violations.empty()) << (simulator).violations.front() << "\n" \
                                                << (simulator).format_history()

namespace cottonway::test {

inline std::string host(int node) {
    return "loom-" + std::to_string(node);
}

/// Returns a simulator with some machines in two zones and three controllers, one of which owns an active
/// shard.
inline std::unique_ptr<simulation::Simulator> settled_simulator(
    std::uint64_t seed = 1, int machines = 4,
    const Settings& settings = simulation::small_cluster_settings()) {
    auto simulator = std::make_unique<simulation::Simulator>(seed, settings);
    for (int i = 0; i < machines; ++i) simulator->add_machine("small", i % 2 ? "b" : "a");
    simulator->start_nodes();
    simulator->run(6 * kSecond);
    EXPECT_GE(simulator->owner_node(), 0);
    return simulator;
}

/// Returns how often each machine is listed in block records.
inline std::map<std::string, int> block_listings(simulation::Simulator& simulator) {
    std::map<std::string, int> listings;
    const auto page =
        simulator.state().handle("GET", "/store?starts=c/block/&page=1000", Json(), simulator.now());
    for (const auto& pair : page.body["pairs"]) {
        const auto block = Block::parse("", pair["data"], 1);
        for (const auto& machine : block->machines) ++listings[machine.name];
    }
    return listings;
}

/// Expects that every machine is listed in one block, once, and that no block lists a removed machine.
inline void expect_each_machine_listed_once(simulation::Simulator& simulator, const char* occasion = "") {
    auto listings = block_listings(simulator);
    for (const auto& name : simulator.machine_names())
        EXPECT_EQ(listings[name], 1) << name << " " << occasion << "\n" << simulator.format_history();
    for (const auto& [name, count] : listings)
        EXPECT_TRUE(simulator.worker(name)) << name << " is gone, " << occasion << "\n"
                                            << simulator.format_history();
}

/// Writes the record of a shard transfer into the state service directly, as if the owner had committed it
/// and got no answer.
inline void commit_shard_transfer(simulation::Simulator& simulator, int from, int to) {
    const std::string key = "c/domain/" + simulator.owner_at(from)->shard();
    simulator.record_event(host(from) + " transfers its shard to " + host(to));
    Json write{{"write", key}, {"data", {{"holder", host(to)}}}};
    Json change{{"when", Json::array({Json{{"k", key}, {"mark", simulator.owner_at(from)->mod_revision()}}})},
                {"then", Json::array({write})}};
    ASSERT_EQ(simulator.state().handle("POST", "/commit", change, simulator.now()).status, 200);
}

}  // namespace cottonway::test
