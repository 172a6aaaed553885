// What a controller still knows of jobs after many others.

#include "cache/job_cache.hpp"

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {
namespace {

TEST(JobCache, StillStopsACancelledTaskAfterReadingManyFinishedJobs) {
    constexpr int kFinished = 20'001;
    const Settings site = simulation::small_site();
    JobCache cache(site);
    JobSpec spec;
    spec.ref = "req-000001";
    spec.job_class = "class";
    spec.team = "red";
    spec.tasks = 1;
    spec.request = {1'000, 0, 1'000};
    spec.image = "img-0";
    const Json cancelled{{"s", "cancelled"}, {"k", 1}, {"dom", "loom-0"}, {"d", wire::job_value(spec)}};
    cache.take(spec.ref, RecordLocation::Active, cancelled, 1, 0);
    Report report;
    report.tasks.push_back({spec.ref, 0, 1, Phase::Running, ExitCause::Stopped, false});
    ASSERT_EQ(cache.stops_for_finished_jobs(report).size(), 1u);

    for (int i = 0; i < kFinished; ++i)
        cache.take("req-1" + std::to_string(100'000 + i), RecordLocation::Job, {{"s", "done"}, {"k", 1}},
                   static_cast<Revision>(2 + i), 0);
    EXPECT_TRUE(cache.find(spec.ref)) << "its record is still there, with its tasks";
    EXPECT_EQ(cache.stops_for_finished_jobs(report).size(), 1u);
}

}  // namespace
}  // namespace cottonway::test
