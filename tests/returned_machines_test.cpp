// A deleted machine must not be leased again, however many other machines were returned after it.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Rents `count` machines that fail before they come up, and runs until the leader has returned them all.
void return_newer_machines(Simulator& simulator, int count) {
    for (int i = 0; i < count; ++i) {
        const std::string name =
            simulator.cloud().rent_machine("small", "a", false, simulator.now(), 3'600 * kSecond);
        simulator.cloud().machines().at(name).info.state = CloudState::Failed;
    }
    const auto machine_count = [&] { return simulator.cloud().machines().size(); };
    const std::size_t other_machines = machine_count() - static_cast<std::size_t>(count);
    for (int i = 0; i < 3'000 && machine_count() > other_machines; ++i) simulator.run(100 * kMillisecond);
    ASSERT_EQ(machine_count(), other_machines) << simulator.format_history();
}

// The controller remembers only 10,000 returned machines. A machine that was older than the 10,000 returned
// before it was not remembered, so a late list of the cloud made the leader lease it again.
TEST(ReturnedMachines, AreNotLeasedAgainAfterManyNewerMachinesAreReturned) {
    constexpr int kRememberedNames = 10'000;
    constexpr Micros kListLag = 5 * kSecond;
    for (const int newer_machines : {kRememberedNames - 1, kRememberedNames, kRememberedNames + 1}) {
        Settings settings = small_cluster_settings();
        settings.cloud_list_lag = kListLag;
        auto simulator = settled_simulator(5, 4, settings);
        // The service keeps its machines from being returned until it is cancelled.
        simulator->submit(simulator->make_job(1, JobKind::Service, 12, 2), 0);
        simulator->run(5 * kSecond);
        const std::string old_machine = *simulator->machines_running("req-000001").begin();
        return_newer_machines(*simulator, newer_machines);
        ASSERT_EQ(block_listings(*simulator)[old_machine], 1);
        simulator->cloud().list_lag = kListLag;
        simulator->run(2 * kListLag);
        simulator->cancel("req-000001");  // so that the machine is idle and returned
        for (int i = 0; i < 600 && block_listings(*simulator)[old_machine] > 0; ++i)
            simulator->run(100 * kMillisecond);
        ASSERT_EQ(block_listings(*simulator)[old_machine], 0) << simulator->format_history();
        for (Micros waited = 0; waited < 3 * kListLag; waited += 100 * kMillisecond) {
            simulator->run(100 * kMillisecond);
            ASSERT_EQ(block_listings(*simulator)[old_machine], 0)
                << newer_machines << " newer machines were returned before\n"
                << simulator->format_history();
        }
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
