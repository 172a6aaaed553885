// FinishedJobs: which views are kept at the capacity and around it.

#include "cache/finished_jobs.hpp"

#include <gtest/gtest.h>

namespace cottonway::test {
namespace {

constexpr std::size_t kCapacity = 100;

std::string ref_of(std::size_t number) {
    return "req-" + std::to_string(number);
}

JobView done_at(Revision mod_revision) {
    JobView view;
    view.stage = Stage::Done;
    view.mod_revision = mod_revision;
    return view;
}

/// Returns a cache after jobs have finished one after the other, at revisions 1, 2, ...
FinishedJobs finished_jobs(std::size_t jobs, Revision watermark) {
    FinishedJobs cache(kCapacity);
    cache.set_watermark(watermark);
    for (std::size_t i = 1; i <= jobs; ++i) cache.remember(ref_of(i), done_at(i));
    return cache;
}

// Guards against an evicted job being taken for an unfinished one.
TEST(FinishedJobs, EvictsOnlyBeyondTheCapacityAndTheOldestFirst) {
    for (const std::size_t jobs : {kCapacity - 1, kCapacity, kCapacity + 1}) {
        const FinishedJobs cache = finished_jobs(jobs, jobs);
        EXPECT_EQ(cache.size(), std::min(jobs, kCapacity));
        EXPECT_EQ(cache.find(ref_of(1)) != nullptr, jobs <= kCapacity) << jobs;
        EXPECT_TRUE(cache.find(ref_of(2))) << jobs;
        EXPECT_TRUE(cache.find(ref_of(jobs))) << jobs;
    }
}

// Guards against an update from before the end of an evicted job making it live again.
TEST(FinishedJobs, KeepsViewsAboveTheWatermarkBeyondTheCapacity) {
    constexpr Revision kWatermark = 10;
    FinishedJobs cache = finished_jobs(3 * kCapacity, kWatermark);
    EXPECT_FALSE(cache.find(ref_of(kWatermark)));
    for (std::size_t i = kWatermark + 1; i <= 3 * kCapacity; ++i) EXPECT_TRUE(cache.find(ref_of(i))) << i;
    cache.set_watermark(3 * kCapacity);
    EXPECT_EQ(cache.size(), kCapacity);
}

// Guards against one view that may not be evicted blocking the eviction of all others.
TEST(FinishedJobs, AViewAboveTheWatermarkDoesNotBlockTheEvictionOfOthers) {
    FinishedJobs cache(kCapacity);
    cache.set_watermark(1'000);
    cache.remember(ref_of(0), done_at(2'000));
    for (std::size_t i = 1; i <= 10 * kCapacity; ++i) cache.remember(ref_of(i), done_at(i));
    EXPECT_EQ(cache.size(), kCapacity);
    EXPECT_TRUE(cache.find(ref_of(0)));
}

TEST(FinishedJobs, KeepsTheNewestView) {
    FinishedJobs cache(kCapacity);
    cache.remember(ref_of(1), done_at(5));
    cache.remember(ref_of(1), done_at(4));
    EXPECT_EQ(cache.find(ref_of(1))->mod_revision, 5u);
    cache.forget(ref_of(1));
    EXPECT_FALSE(cache.find(ref_of(1)));
    EXPECT_EQ(cache.size(), 0u);
}

}  // namespace
}  // namespace cottonway::test
