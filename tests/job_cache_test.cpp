// What a controller still knows of jobs after many others.

#include "cache/job_cache.hpp"

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {
namespace {

TEST(JobCache, StillStopsACancelledTaskAfterReadingManyFinishedJobs) {
    constexpr int kFinished = 20'001;
    const Settings site = simulation::small_cluster_settings();
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

constexpr std::size_t kFewFinished = 50;

JobSpec one_task(const std::string& ref, std::vector<std::string> needs = {}) {
    JobSpec spec;
    spec.ref = ref;
    spec.job_class = "class";
    spec.team = "red";
    spec.tasks = 1;
    spec.request = {1'000, 0, 1'000};
    spec.image = "img-0";
    spec.needs = std::move(needs);
    return spec;
}

Json record(const JobSpec& spec, const char* stage) {
    return {{"s", stage}, {"k", spec.tasks}, {"dom", "loom-0"}, {"d", wire::job_value(spec)}};
}

const Json kDone{{"s", "done"}, {"k", 1}, {"fd", 1}};

/// More than the cache keeps, at the given revision.
void hear_of_finished_jobs(JobCache& cache, Revision mod_revision) {
    for (std::size_t i = 0; i <= kFewFinished; ++i)
        cache.take("req-2" + std::to_string(100'000 + i), RecordLocation::Job, kDone, mod_revision, 0);
}

// A job that nothing is known of counted as one that goes on.
TEST(JobCache, TellsWhatIsUnknownFromWhatIsUnfinished) {
    const Settings site = simulation::small_cluster_settings();
    JobCache cache(site, kFewFinished);
    const JobSpec spec = one_task("req-000001");
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
    cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 1, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unfinished);
    hear_of_finished_jobs(cache, 2);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unfinished);
    cache.take(spec.ref, RecordLocation::Job, kDone, 3, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Finished);
    cache.set_watermark(4);
    for (std::size_t i = 0; i <= kFewFinished; ++i)
        cache.take("req-3" + std::to_string(i), RecordLocation::Job, kDone, 4, 0);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
}

// A job whose record had gone counted as one that goes on until its outcome was read.
TEST(JobCache, DoesNotKnowWhatBecameOfAJobWhoseRecordIsGone) {
    const Settings site = simulation::small_cluster_settings();
    JobCache cache(site);
    const JobSpec spec = one_task("req-000001");
    cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 1, 0);
    cache.on_record_removed(spec.ref);
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Unknown);
    Report report;
    report.tasks.push_back({spec.ref, 0, 1, Phase::Running, ExitCause::Stopped, false});
    report.tasks.push_back({"req-000002", 0, 1, Phase::Exited, ExitCause::Stopped, false});
    EXPECT_EQ(cache.unknown_jobs(report), std::vector<std::string>{spec.ref});
    EXPECT_TRUE(cache.stops_for_finished_jobs(report).empty());
}

// A user who had heard that the job was cancelled with another one heard that it ran.
TEST(JobCache, KeepsACancellationWithAnotherJobAfterManyFinishedJobs) {
    const Settings site = simulation::small_cluster_settings();
    JobCache cache(site, kFewFinished);
    const JobSpec first = one_task("req-000001"), second = one_task("req-000002", {first.ref});
    cache.take(first.ref, RecordLocation::Active, record(first, "queued"), 1, 0);
    cache.take(second.ref, RecordLocation::Active, record(second, "queued"), 2, 0);
    cache.set_watermark(3);
    hear_of_finished_jobs(cache, 3);
    cache.take(first.ref, RecordLocation::Job, {{"s", "cancelled"}, {"k", 1}}, 4, 0);
    for (const auto& ref : cache.dependency_graph().take_changed()) cache.settle(ref);
    cache.set_watermark(5);
    hear_of_finished_jobs(cache, 5);
    ASSERT_TRUE(cache.known(second.ref));
    EXPECT_EQ(cache.known(second.ref)->stage, Stage::Cancelled);
    // What was read of it meanwhile tells nothing of the other one.
    cache.remember(second.ref, JobView::of(record(second, "queued"), 6));
    EXPECT_EQ(cache.known(second.ref)->stage, Stage::Cancelled);
    EXPECT_EQ(cache.finality(second.ref), JobFinality::Finished);
}

// Older news of a live job were taken in once its view had been dropped.
TEST(JobCache, TakesNoOlderNewsOfALiveJobAfterManyFinishedJobs) {
    const Settings site = simulation::small_cluster_settings();
    JobCache cache(site, kFewFinished);
    const JobSpec spec = one_task("req-000001");
    cache.take(spec.ref, RecordLocation::Active, record(spec, "cancelled"), 5, 0);
    cache.set_watermark(6);
    hear_of_finished_jobs(cache, 6);
    EXPECT_FALSE(cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 4, 0));
    EXPECT_TRUE(cache.find(spec.ref)->cancelled);
}

// A finished job came back to life with a record from before its end.
TEST(JobCache, TakesNoRecordFromBeforeTheEndOfAForgottenJob) {
    const Settings site = simulation::small_cluster_settings();
    for (const std::size_t others : {kFewFinished - 1, kFewFinished, kFewFinished + 1}) {
        JobCache cache(site, kFewFinished);
        const JobSpec spec = one_task("req-000001");
        cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0);
        cache.take(spec.ref, RecordLocation::Job, kDone, 9, 0);  // by our own write; the news are at 4
        cache.set_watermark(4);
        for (std::size_t i = 0; i < others; ++i)
            cache.take("req-2" + std::to_string(100'000 + i), RecordLocation::Job, kDone, 3, 0);
        EXPECT_FALSE(cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0)) << "news";
        cache.set_watermark(10);
        for (std::size_t i = 0; i < others; ++i)
            cache.take("req-3" + std::to_string(100'000 + i), RecordLocation::Job, kDone, 10, 0);
        EXPECT_FALSE(cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 5, 0))
            << "an answer that was under way for long";
        EXPECT_FALSE(cache.find(spec.ref));
    }
}

// What was read of a job before its record came in the news was lost with the record.
TEST(JobCache, KeepsWhatWasReadOfAJobBeforeItsRecordIsHeardOf) {
    const Settings site = simulation::small_cluster_settings();
    JobCache cache(site);
    const JobSpec spec = one_task("req-000001");
    cache.remember(spec.ref, JobView::of(record(spec, "cancelled"), 5));
    EXPECT_FALSE(cache.take(spec.ref, RecordLocation::Active, record(spec, "queued"), 4, 0));
    EXPECT_TRUE(cache.take(spec.ref, RecordLocation::Active, record(spec, "cancelled"), 5, 0));
    EXPECT_EQ(cache.finality(spec.ref), JobFinality::Finished);
    EXPECT_EQ(cache.views(), 1u);
}

}  // namespace
}  // namespace cottonway::test
