#pragma once
// What traces begin with, and end with.

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "lab/world.hpp"

#define EXPECT_RULES(w) EXPECT_TRUE((w).broken.empty()) << (w).broken.front() << "\n" << (w).story()

namespace cottonway::test {

inline std::string host(int node) {
    return "loom-" + std::to_string(node);
}

/// Some machines in two zones, three controllers, settled.
inline std::unique_ptr<lab::World> calm(std::uint64_t seed = 1, int machines = 4,
                                        const Settings& site = lab::small_site()) {
    auto w = std::make_unique<lab::World>(seed, site);
    for (int i = 0; i < machines; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes();
    w->run(6 * kSecond);
    EXPECT_GE(w->holder(), 0);
    return w;
}

}  // namespace cottonway::test
