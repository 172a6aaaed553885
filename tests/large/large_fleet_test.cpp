// 4,000 machines: all of them register, more than a thousand machines of one controller are cut off at once,
// the controller fails over, and every machine is usable again.

#include <gtest/gtest.h>

#include "peer/messages.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kMachineCount = 4000;
constexpr std::size_t kCutMachines = 1100;

Settings large_cluster_settings() {
    Settings settings = small_cluster_settings();
    settings.report_interval = 10 * kSecond;
    settings.worker_lease = 40 * kSecond;
    settings.cancel_deadline = 90 * kSecond;
    settings.teams = {{"red", {kMachineCount * 8'000, 0, 0}, {kMachineCount * 8'000, 0, 0}}};
    settings.operators.idle_return_delay = 3600 * kSecond;
    settings.cpu_cores = 0.2;  // several shards
    return settings;
}

std::size_t machines_at(Simulator& simulator, int node) {
    std::size_t count = 0;
    if (simulator.node(node))
        for (const auto& [shard, owner] : simulator.node(node)->owners())
            count += owner ? owner->machines().size() : 0;
    return count;
}

std::size_t total_machines(Simulator& simulator) {
    std::size_t count = 0;
    for (int i = 0; i < simulator.node_count(); ++i) count += machines_at(simulator, i);
    return count;
}

TEST(LargeFleet, RegistersLosesAndRecoversMoreMachinesThanOneMessageHolds) {
    static_assert(kCutMachines > peer::kMaxMachines);
    Simulator simulator(81, large_cluster_settings());
    for (int i = 0; i < kMachineCount; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes(3);
    simulator.run(45 * kSecond);
    EXPECT_EQ(total_machines(simulator), static_cast<std::size_t>(kMachineCount))
        << simulator.format_history();
    const int busiest = simulator.busiest_node();
    ASSERT_GT(machines_at(simulator, busiest), kCutMachines) << simulator.format_history();
    simulator.submit(simulator.make_job(1, JobKind::Array, kMachineCount, 8), 60 * kSecond);
    simulator.run(15 * kSecond);

    std::vector<std::string> cut_machines;
    for (const auto& [name, machine] : simulator.owner_at(busiest)->machines())
        if (cut_machines.size() < kCutMachines) cut_machines.push_back(name);
    for (const auto& name : cut_machines)
        for (int i = 0; i < simulator.node_count(); ++i) simulator.cut_link(name, host(i));
    simulator.run(45 * kSecond);
    EXPECT_EQ(total_machines(simulator), static_cast<std::size_t>(kMachineCount))
        << "no machine was given up\n"
        << simulator.format_history();

    simulator.crash(busiest, 5 * kSecond);
    simulator.run(10 * kSecond);
    simulator.heal_all_links();
    simulator.run(110 * kSecond);
    EXPECT_EQ(total_machines(simulator), static_cast<std::size_t>(kMachineCount))
        << simulator.format_history();
    EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

}  // namespace
}  // namespace cottonway::test
