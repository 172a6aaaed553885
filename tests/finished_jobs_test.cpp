// What is kept of jobs that are over, at the capacity and around it.

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

/// Jobs that ended one after the other, at revisions 1, 2, ...
FinishedJobs finished(std::size_t jobs, Revision watermark) {
    FinishedJobs finished(kCapacity);
    finished.set_watermark(watermark);
    for (std::size_t i = 1; i <= jobs; ++i) finished.remember(ref_of(i), done_at(i));
    return finished;
}

// A forgotten job counted as one that goes on.
TEST(FinishedJobs, AreForgottenBeyondTheCapacityOnlyTheOldestFirst) {
    for (const std::size_t jobs : {kCapacity - 1, kCapacity, kCapacity + 1}) {
        const FinishedJobs kept = finished(jobs, jobs);
        EXPECT_EQ(kept.size(), std::min(jobs, kCapacity));
        EXPECT_EQ(kept.find(ref_of(1)) != nullptr, jobs <= kCapacity) << jobs;
        EXPECT_TRUE(kept.find(ref_of(2))) << jobs;
        EXPECT_TRUE(kept.find(ref_of(jobs))) << jobs;
    }
}

// News from before the end of a forgotten job brought it back.
TEST(FinishedJobs, AreKeptBeyondTheCapacityWhileOlderNewsMayCome) {
    constexpr Revision kWatermark = 10;
    FinishedJobs kept = finished(3 * kCapacity, kWatermark);
    EXPECT_FALSE(kept.find(ref_of(kWatermark)));
    for (std::size_t i = kWatermark + 1; i <= 3 * kCapacity; ++i) EXPECT_TRUE(kept.find(ref_of(i))) << i;
    kept.set_watermark(3 * kCapacity);
    EXPECT_EQ(kept.size(), kCapacity);
}

// One view that may not be dropped kept all others from being dropped.
TEST(FinishedJobs, ThatMustBeKeptDoNotKeepTheOthers) {
    FinishedJobs kept(kCapacity);
    kept.set_watermark(1'000);
    kept.remember(ref_of(0), done_at(2'000));
    for (std::size_t i = 1; i <= 10 * kCapacity; ++i) kept.remember(ref_of(i), done_at(i));
    EXPECT_EQ(kept.size(), kCapacity);
    EXPECT_TRUE(kept.find(ref_of(0)));
}

TEST(FinishedJobs, KeepTheNewestView) {
    FinishedJobs kept(kCapacity);
    kept.remember(ref_of(1), done_at(5));
    kept.remember(ref_of(1), done_at(4));
    EXPECT_EQ(kept.find(ref_of(1))->mod_revision, 5u);
    kept.forget(ref_of(1));
    EXPECT_FALSE(kept.find(ref_of(1)));
    EXPECT_EQ(kept.size(), 0u);
}

}  // namespace
}  // namespace cottonway::test
