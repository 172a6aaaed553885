// Jobs whose tasks are stored in parts: records that hold the bindings of a limited number of tasks.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Returns the number of tasks per part for jobs like those of the tests below.
std::size_t tasks_per_part() {
    auto simulator = settled_simulator(3, 6);
    simulator->submit(simulator->make_job(1, JobKind::Service, 2, 0.1), 0);
    simulator->run(2 * kSecond);
    return simulator->owner_at(simulator->owner_node())->jobs().at("req-000001")->tasks_per_part;
}

// A part counted as full before all of its tasks were bound, so its last replicas never started.
TEST(StoredParts, HoldTheBindingsOfAllTheirTasksAtOnce) {
    const auto tasks_in_part = static_cast<int>(tasks_per_part());
    for (const int tasks : {tasks_in_part - 1, tasks_in_part, tasks_in_part + 1}) {
        auto simulator = settled_simulator(3, 6);
        simulator->submit(simulator->make_job(1, JobKind::Service, tasks, 0.1), 0);
        simulator->run(20 * kSecond);
        EXPECT_EQ(simulator->running_tasks("req-000001"), tasks) << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

// The same with longer machine names, which make each binding larger.
TEST(StoredParts, HoldTheBindingsOfAllTheirTasksOnMachinesWithLongNames) {
    const auto tasks_in_part = static_cast<int>(tasks_per_part());
    Simulator simulator(3);
    simulator.cloud().machine_name_prefix = "machine-with-a-long-name-";
    for (int i = 0; i < 6; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes();
    simulator.run(6 * kSecond);
    simulator.submit(simulator.make_job(1, JobKind::Service, tasks_in_part + 1, 0.1), 0);
    simulator.run(20 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000001"), tasks_in_part + 1) << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

}  // namespace
}  // namespace cottonway::test
