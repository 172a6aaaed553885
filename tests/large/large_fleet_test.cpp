// 4,000 machines: all are registered, more than a thousand of one controller's are lost at once, controllers
// fail over, and every machine is usable again.

#include <gtest/gtest.h>

#include "peer/messages.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kMachines = 4000;
constexpr std::size_t kLost = 1100;

Settings large_site() {
    Settings s = small_cluster_settings();
    s.report_every = 10 * kSecond;
    s.lease = 40 * kSecond;
    s.cancel = 90 * kSecond;
    s.teams = {{"red", {kMachines * 8'000, 0, 0}, {kMachines * 8'000, 0, 0}}};
    s.ops.idle_return = 3600 * kSecond;
    s.cpu_share = 0.2;  // several shards
    return s;
}

std::size_t machines_at(Simulator& w, int node) {
    std::size_t n = 0;
    if (w.node(node))
        for (const auto& [shard, owner] : w.node(node)->owners()) n += owner ? owner->machines().size() : 0;
    return n;
}

std::size_t machines_known(Simulator& w) {
    std::size_t n = 0;
    for (int i = 0; i < w.node_count(); ++i) n += machines_at(w, i);
    return n;
}

TEST(LargeFleet, RegistersLosesAndRecoversMoreMachinesThanOneMessageHolds) {
    static_assert(kLost > peer::kMaxMachines);
    Simulator w(81, large_site());
    for (int i = 0; i < kMachines; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes(3);
    w.run(45 * kSecond);
    EXPECT_EQ(machines_known(w), static_cast<std::size_t>(kMachines)) << w.format_history();
    const int busiest = w.busiest_node();
    ASSERT_GT(machines_at(w, busiest), kLost) << w.format_history();
    w.submit(w.make_job(1, JobKind::Array, kMachines, 8), 60 * kSecond);
    w.run(15 * kSecond);

    std::vector<std::string> cut;
    for (const auto& [name, machine] : w.owner_at(busiest)->machines())
        if (cut.size() < kLost) cut.push_back(name);
    for (const auto& name : cut)
        for (int i = 0; i < w.node_count(); ++i) w.cut_link(name, host(i));
    w.run(45 * kSecond);
    EXPECT_EQ(machines_known(w), static_cast<std::size_t>(kMachines)) << "none is given up\n"
                                                                      << w.format_history();

    w.crash(busiest, 5 * kSecond);
    w.run(10 * kSecond);
    w.heal_all_links();
    w.run(110 * kSecond);
    EXPECT_EQ(machines_known(w), static_cast<std::size_t>(kMachines)) << w.format_history();
    EXPECT_EQ(w.reported_stage("req-000001"), "done") << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

}  // namespace
}  // namespace cottonway::test
