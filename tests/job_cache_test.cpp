// JobCache: what it keeps of live and finished jobs while many other jobs finish.

#include "cache/job_cache.hpp"

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {
namespace {

TEST(JobCache, StillStopsACancelledTaskAfterReadingManyFinishedJobs) {
    constexpr int kFinishedJobs = 20'001;
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings);
    JobSpec spec;
    spec.ref = "req-000001";
    spec.job_class = "class";
    spec.team = "red";
    spec.tasks = 1;
    spec.request = {1'000, 0, 1'000};
    spec.image = "img-0";
    const Json cancelled{{"s", "cancelled"}, {"k", 1}, {"dom", "loom-0"}, {"d", wire::job_value(spec)}};
    cache.apply(spec.ref, RecordLocation::Active, cancelled, 1, 0);
    Report report;
    report.tasks.push_back({spec.ref, 0, 1, Phase::Running, ExitCause::Stopped, false});
    ASSERT_EQ(cache.stops_for_finished_jobs(report).size(), 1u);

    for (int i = 0; i < kFinishedJobs; ++i)
        cache.apply("req-1" + std::to_string(100'000 + i), RecordLocation::Job, {{"s", "done"}, {"k", 1}},
                    static_cast<Revision>(2 + i), 0);
    EXPECT_TRUE(cache.find(spec.ref)) << "the record still exists, and its tasks may run";
    EXPECT_EQ(cache.stops_for_finished_jobs(report).size(), 1u);
}

constexpr std::size_t kSmallCapacity = 50;

JobSpec one_task_job(const std::string& ref, std::vector<std::string> dependencies = {}) {
    JobSpec spec;
    spec.ref = ref;
    spec.job_class = "class";
    spec.team = "red";
    spec.tasks = 1;
    spec.request = {1'000, 0, 1'000};
    spec.image = "img-0";
    spec.dependencies = std::move(dependencies);
    return spec;
}

Json record(const JobSpec& spec, const char* stage) {
    return {{"s", stage}, {"k", spec.tasks}, {"dom", "loom-0"}, {"d", wire::job_value(spec)}};
}

const Json kDone{{"s", "done"}, {"k", 1}, {"fd", 1}};

/// Applies final records of more jobs than the cache keeps, all at the given revision.
void apply_finished_jobs(JobCache& cache, Revision mod_revision) {
    for (std::size_t i = 0; i <= kSmallCapacity; ++i)
        cache.apply("req-2" + std::to_string(100'000 + i), RecordLocation::Job, kDone, mod_revision, 0);
}

// Guards against a job that is unknown being taken for an unfinished one.
TEST(JobCache, DistinguishesUnknownFromUnfinishedJobs) {
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings, kSmallCapacity);
    const JobSpec spec = one_task_job("req-000001");
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
    cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 1, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unfinished);
    apply_finished_jobs(cache, 2);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unfinished);
    cache.apply(spec.ref, RecordLocation::Job, kDone, 3, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Finished);
    cache.set_watermark(4);
    for (std::size_t i = 0; i <= kSmallCapacity; ++i)
        cache.apply("req-3" + std::to_string(i), RecordLocation::Job, kDone, 4, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
}

// Guards against a job whose record was deleted being taken for unfinished until its outcome is read.
TEST(JobCache, FinalityIsUnknownAfterTheRecordIsRemoved) {
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings);
    const JobSpec spec = one_task_job("req-000001");
    cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 1, 0);
    cache.on_record_removed(spec.ref);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
    Report report;
    report.tasks.push_back({spec.ref, 0, 1, Phase::Running, ExitCause::Stopped, false});
    report.tasks.push_back({"req-000002", 0, 1, Phase::Exited, ExitCause::Stopped, false});
    EXPECT_EQ(cache.unknown_jobs(report), std::vector<std::string>{spec.ref});
    EXPECT_TRUE(cache.stops_for_finished_jobs(report).empty());
}

// Guards against a job being reported as running after it was reported as cancelled by its dependency.
TEST(JobCache, KeepsACancellationByADependencyAfterManyFinishedJobs) {
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings, kSmallCapacity);
    const JobSpec first = one_task_job("req-000001"), second = one_task_job("req-000002", {first.ref});
    cache.apply(first.ref, RecordLocation::Active, record(first, "queued"), 1, 0);
    cache.apply(second.ref, RecordLocation::Active, record(second, "queued"), 2, 0);
    cache.set_watermark(3);
    apply_finished_jobs(cache, 3);
    cache.apply(first.ref, RecordLocation::Job, {{"s", "cancelled"}, {"k", 1}}, 4, 0);
    for (const auto& ref : cache.dependency_graph().take_changed()) cache.apply_dependency_status(ref);
    cache.set_watermark(5);
    apply_finished_jobs(cache, 5);
    ASSERT_TRUE(cache.find_view(second.ref));
    EXPECT_EQ(cache.find_view(second.ref)->stage, Stage::Cancelled);
    // A record of the job that was read meanwhile says nothing about its dependency.
    cache.remember(second.ref, JobView::from_record(record(second, "queued"), 6));
    EXPECT_EQ(cache.find_view(second.ref)->stage, Stage::Cancelled);
    EXPECT_EQ(cache.finality(second.ref), JobFinality::Finished);
}

// Guards against an older update of a live job being applied after its view was evicted.
TEST(JobCache, RejectsOlderUpdatesOfALiveJobAfterManyFinishedJobs) {
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings, kSmallCapacity);
    const JobSpec spec = one_task_job("req-000001");
    cache.apply(spec.ref, RecordLocation::Active, record(spec, "cancelled"), 5, 0);
    cache.set_watermark(6);
    apply_finished_jobs(cache, 6);
    EXPECT_FALSE(cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 4, 0));
    EXPECT_TRUE(cache.find(spec.ref)->cancelled);
}

// Guards against a finished job becoming live again by a record from before its end.
TEST(JobCache, RejectsRecordsFromBeforeTheEndOfAnEvictedJob) {
    const Settings settings = simulation::small_cluster_settings();
    for (const std::size_t other_jobs : {kSmallCapacity - 1, kSmallCapacity, kSmallCapacity + 1}) {
        JobCache cache(settings, kSmallCapacity);
        const JobSpec spec = one_task_job("req-000001");
        cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0);
        cache.apply(spec.ref, RecordLocation::Job, kDone, 9, 0);  // by our own write; the change feed is at 4
        cache.set_watermark(4);
        for (std::size_t i = 0; i < other_jobs; ++i)
            cache.apply("req-2" + std::to_string(100'000 + i), RecordLocation::Job, kDone, 3, 0);
        EXPECT_FALSE(cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0)) << "news";
        cache.set_watermark(10);
        for (std::size_t i = 0; i < other_jobs; ++i)
            cache.apply("req-3" + std::to_string(100'000 + i), RecordLocation::Job, kDone, 10, 0);
        EXPECT_FALSE(cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0))
            << "the result of a slow read";
        EXPECT_FALSE(cache.find(spec.ref));
    }
}

// Guards against losing the result of a read when the first update of the job's record arrives.
TEST(JobCache, KeepsAViewThatWasReadBeforeTheFirstUpdate) {
    const Settings settings = simulation::small_cluster_settings();
    JobCache cache(settings);
    const JobSpec spec = one_task_job("req-000001");
    cache.remember(spec.ref, JobView::from_record(record(spec, "cancelled"), 5));
    EXPECT_FALSE(cache.apply(spec.ref, RecordLocation::Active, record(spec, "queued"), 4, 0));
    EXPECT_TRUE(cache.apply(spec.ref, RecordLocation::Active, record(spec, "cancelled"), 5, 0));
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Finished);
    EXPECT_EQ(cache.view_count(), 1u);
}

}  // namespace
}  // namespace cottonway::test
