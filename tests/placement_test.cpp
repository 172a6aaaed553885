// Each of the five steps of placement.

#include "scheduling/placement.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cottonway::test {
namespace {

Candidate machine(std::size_t index, Milli cores, Milli reserved, int tasks = 0) {
    Candidate candidate;
    candidate.index = index;
    candidate.size = {cores, 0, cores * 4};
    candidate.reserved = {reserved, 0, reserved * 4};
    candidate.tasks = tasks;
    return candidate;
}

/// The weights and thresholds of the paper's summary, which differ from the defaults.
PlacementSettings summary_settings() {
    PlacementSettings settings;
    settings.cores_weight = 40;
    settings.ram_weight = 20;
    settings.free_ram_weight = 20;
    settings.size_weight = 5;
    settings.tasks_weight = 15;
    settings.cores_threshold = 0.95;
    settings.ram_threshold = 0.90;
    return settings;
}

/// Returns all choices that occur in 300 placements.
std::set<std::ptrdiff_t> choices(const std::vector<Candidate>& candidates, const Resources& request,
                                 PlacementSettings settings = summary_settings()) {
    std::mt19937_64 random(7);
    std::set<std::ptrdiff_t> chosen;
    for (int i = 0; i < 300; ++i) chosen.insert(place(candidates, request, settings, random));
    return chosen;
}

TEST(Placement, Step1KeepsMachinesThatCanHoldTheTask) {
    EXPECT_EQ(choices({machine(0, 8000, 7000), machine(1, 8000, 2000)}, {4000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    EXPECT_EQ(choices({machine(0, 8000, 7000)}, {4000, 0, 0}), std::set<std::ptrdiff_t>{-1});
    EXPECT_EQ(choices({}, {1, 0, 0}), std::set<std::ptrdiff_t>{-1});
}

TEST(Placement, Step2DropsMachinesReservedBeyondTheThresholds) {
    EXPECT_EQ(choices({machine(0, 100'000, 96'000), machine(1, 100'000, 50'000)}, {1000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    // If none remains, any fitting machine is chosen.
    EXPECT_EQ(choices({machine(0, 100'000, 96'000), machine(1, 100'000, 97'000)}, {1000, 0, 0}),
              (std::set<std::ptrdiff_t>{0, 1}));
}

TEST(Placement, Step3SamplesSoThatChoicesDiffer) {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < 16; ++i) candidates.push_back(machine(i, 8000, static_cast<Milli>(i) * 100));
    // Four of sixteen are sampled: the worst three can never win, many others do.
    const auto seen = choices(candidates, {100, 0, 0});
    EXPECT_GT(seen.size(), 5u);
    EXPECT_FALSE(seen.count(13) || seen.count(14) || seen.count(15));
}

TEST(Placement, Step4TakesTheLowestScore) {
    EXPECT_EQ(choices({machine(0, 8000, 4000, 4), machine(1, 8000, 0, 0)}, {1000, 0, 0}),
              std::set<std::ptrdiff_t>{1});
    PlacementSettings packing = summary_settings();
    packing.cores_weight = -40;
    packing.ram_weight = -20;
    packing.free_ram_weight = -20;
    packing.tasks_weight = -15;
    EXPECT_EQ(choices({machine(0, 8000, 4000, 4), machine(1, 8000, 0, 0)}, {1000, 0, 0}, packing),
              std::set<std::ptrdiff_t>{0});
    Candidate with_image = machine(1, 8000, 0);
    with_image.has_image = true;
    EXPECT_EQ(choices({machine(0, 8000, 0), with_image}, {1000, 0, 0}), std::set<std::ptrdiff_t>{1});
}

TEST(Placement, Step5JitterVariesTheChoiceAmongEqualMachines) {
    EXPECT_EQ(choices({machine(0, 8000, 0), machine(1, 8000, 0)}, {1000, 0, 0}),
              (std::set<std::ptrdiff_t>{0, 1}));
}

}  // namespace
}  // namespace cottonway::test
