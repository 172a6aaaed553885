#pragma once
// What traces begin with, and end with.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

#include "kvstore/records.hpp"
#include "simulation/simulator.hpp"

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

namespace cottonway::test {

inline std::string host(int node) {
    return "loom-" + std::to_string(node);
}

/// Some machines in two zones, three controllers, settled.
inline std::unique_ptr<simulation::Simulator> settled_simulator(
    std::uint64_t seed = 1, int machines = 4, const Settings& site = simulation::small_cluster_settings()) {
    auto w = std::make_unique<simulation::Simulator>(seed, site);
    for (int i = 0; i < machines; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes();
    w->run(6 * kSecond);
    EXPECT_GE(w->owner_node(), 0);
    return w;
}

/// How often each machine stands in the block records.
inline std::map<std::string, int> block_listings(simulation::Simulator& w) {
    std::map<std::string, int> times;
    const auto page = w.state().handle("GET", "/store?starts=c/block/&page=1000", Json(), w.now());
    for (const auto& p : page.body["pairs"]) {
        const auto block = Block::parse("", p["data"], 1);
        for (const auto& m : block->machines) ++times[m.name];
    }
    return times;
}

/// Every machine that there is stands in one block, once; and no block lists one that is gone.
inline void expect_each_machine_leased_once(simulation::Simulator& w, const char* when = "") {
    auto times = block_listings(w);
    for (const auto& name : w.machine_names())
        EXPECT_EQ(times[name], 1) << name << " " << when << "\n" << w.format_history();
    for (const auto& [name, n] : times)
        EXPECT_TRUE(w.worker(name)) << name << " is gone, " << when << "\n" << w.format_history();
}

/// What the holder's hand-over is, carried out though its answer is lost.
inline void commit_shard_transfer(simulation::Simulator& w, int from, int to) {
    const std::string key = "c/domain/" + w.owner_at(from)->shard();
    w.record_event(host(from) + " hands over to " + host(to));
    Json write{{"write", key}, {"data", {{"holder", host(to)}}}};
    Json change{{"when", Json::array({Json{{"k", key}, {"mark", w.owner_at(from)->mod_revision()}}})},
                {"then", Json::array({write})}};
    ASSERT_EQ(w.state().handle("POST", "/commit", change, w.now()).status, 200);
}

}  // namespace cottonway::test
