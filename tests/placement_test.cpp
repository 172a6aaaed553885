// The five steps, one by one.

#include "scheduling/placement.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cottonway::test {
namespace {

Candidate machine(std::size_t index, Milli cores, Milli reserved, int tasks = 0) {
    Candidate c;
    c.index = index;
    c.size = {cores, 0, cores * 4};
    c.reserved = {reserved, 0, reserved * 4};
    c.tasks = tasks;
    return c;
}

/// The weights and thresholds of the summary; the defaults have been tuned since.
PlacementSettings summary() {
    PlacementSettings s;
    s.cores_weight = 40;
    s.ram_weight = 20;
    s.free_ram_weight = 20;
    s.size_weight = 5;
    s.tasks_weight = 15;
    s.cores_threshold = 0.95;
    s.ram_threshold = 0.90;
    return s;
}

std::set<std::ptrdiff_t> choices(const std::vector<Candidate>& list, const Resources& need,
                                 PlacementSettings settings = summary()) {
    std::mt19937_64 random(7);
    std::set<std::ptrdiff_t> out;
    for (int i = 0; i < 300; ++i) out.insert(place(list, need, settings, random));
    return out;
}

TEST(Placement, Step1KeepsMachinesThatCanHoldTheTask) {
    EXPECT_EQ(choices({machine(0, 8000, 7000), machine(1, 8000, 2000)}, {4000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    EXPECT_EQ(choices({machine(0, 8000, 7000)}, {4000, 0, 0}), std::set<std::ptrdiff_t>{-1});
    EXPECT_EQ(choices({}, {1, 0, 0}), std::set<std::ptrdiff_t>{-1});
}

TEST(Placement, Step2SetsAsideWhatIsBookedBeyondTheThresholds) {
    EXPECT_EQ(choices({machine(0, 100'000, 96'000), machine(1, 100'000, 50'000)}, {1000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    // If none remain, any fitting machine.
    EXPECT_EQ(choices({machine(0, 100'000, 96'000), machine(1, 100'000, 97'000)}, {1000, 0, 0}),
              (std::set<std::ptrdiff_t>{0, 1}));
}

TEST(Placement, Step3SamplesSoThatNotEveryTaskMeetsTheSameMachine) {
    std::vector<Candidate> list;
    for (std::size_t i = 0; i < 16; ++i) list.push_back(machine(i, 8000, static_cast<Milli>(i) * 100));
    // Four of sixteen are sampled: the worst three can never win, many others do.
    const auto seen = choices(list, {100, 0, 0});
    EXPECT_GT(seen.size(), 5u);
    EXPECT_FALSE(seen.count(13) || seen.count(14) || seen.count(15));
}

TEST(Placement, Step4TakesTheLowestScore) {
    EXPECT_EQ(choices({machine(0, 8000, 4000, 4), machine(1, 8000, 0, 0)}, {1000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    PlacementSettings pack = summary();
    pack.cores_weight = -40;
    pack.ram_weight = -20;
    pack.free_ram_weight = -20;
    pack.tasks_weight = -15;
    EXPECT_EQ(choices({machine(0, 8000, 4000, 4), machine(1, 8000, 0, 0)}, {1000, 0, 0}, pack),
              std::set<std::ptrdiff_t>{0});
    Candidate warm = machine(1, 8000, 0);
    warm.has_image = true;
    EXPECT_EQ(choices({machine(0, 8000, 0), warm}, {1000, 0, 0}), std::set<std::ptrdiff_t>{1});
}

TEST(Placement, Step5JitterSpreadsEquals) {
    EXPECT_EQ(choices({machine(0, 8000, 0), machine(1, 8000, 0)}, {1000, 0, 0}),
              (std::set<std::ptrdiff_t>{0, 1}));
}

}  // namespace
}  // namespace cottonway::test
