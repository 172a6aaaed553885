// Jobs whose tasks are stored in parts, each with room for so many bindings.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Of a part of a job as the ones below.
std::size_t tasks_in_a_part() {
    auto w = settled_simulator(3, 6);
    w->submit(w->make_job(1, JobKind::Service, 2, 0.1), 0);
    w->run(2 * kSecond);
    return w->owner_at(w->owner_node())->jobs().at("req-000001")->part_tasks;
}

// The last replicas of a part never started: the others were taken to fill it.
TEST(StoredParts, HaveRoomForAllOfTheirTasksAtOnce) {
    const auto part = static_cast<int>(tasks_in_a_part());
    for (const int tasks : {part - 1, part, part + 1}) {
        auto w = settled_simulator(3, 6);
        w->submit(w->make_job(1, JobKind::Service, tasks, 0.1), 0);
        w->run(20 * kSecond);
        EXPECT_EQ(w->running_tasks("req-000001"), tasks) << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

// The same where machines have longer names.
TEST(StoredParts, HaveRoomForTheirTasksOnMachinesWithLongNames) {
    const auto part = static_cast<int>(tasks_in_a_part());
    Simulator w(3);
    w.cloud().name_prefix = "machine-with-a-long-name-";
    for (int i = 0; i < 6; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes();
    w.run(6 * kSecond);
    w.submit(w.make_job(1, JobKind::Service, part + 1, 0.1), 0);
    w.run(20 * kSecond);
    EXPECT_EQ(w.running_tasks("req-000001"), part + 1) << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

}  // namespace
}  // namespace cottonway::test
