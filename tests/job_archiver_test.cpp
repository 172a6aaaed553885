// The separation of finished jobs (docs/history.md): which records a starting controller reads, and that no
// job is lost, run twice or reported with a wrong state while its record moves from one key to the other.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

std::unique_ptr<Simulator> settled_simulator(std::uint64_t seed = 1, int machines = 4,
                                             std::set<int> old_format_nodes = {}) {
    auto simulator = std::make_unique<Simulator>(seed);
    for (int i = 0; i < machines; ++i) simulator->add_machine("small", i % 2 ? "b" : "a");
    simulator->start_nodes(3, std::move(old_format_nodes));
    simulator->run(6 * kSecond);
    return simulator;
}

int node_other_than_holder(Simulator& simulator) {
    return (simulator.owner_node() + 1) % 3;
}

Json stored_record(Simulator& simulator, const std::string& key) {
    auto reply = simulator.state().handle("GET", "/store/" + key, Json(), simulator.now());
    return reply.status == 200 ? reply.body : Json();
}

std::size_t count_keys(Simulator& simulator, const std::string& prefix) {
    auto reply =
        simulator.state().handle("GET", "/store?starts=" + prefix + "&page=1000", Json(), simulator.now());
    return reply.body["pairs"].size();
}

/// Writes directly to the store, like a transaction of a crashed process that is executed late. Returns the
/// HTTP status.
int late_commit(Simulator& simulator, const Json& when, const Json& then) {
    return simulator.state()
        .handle("POST", "/commit", Json{{"when", when}, {"then", then}}, simulator.now())
        .status;
}

void fill_history(Simulator& simulator, int jobs) {
    for (int i = 0; i < jobs; ++i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", 500'000 + i);
        late_commit(simulator, Json::array(),
                    Json::array({Json{{"write", std::string("c/job/") + ref},
                                      {"data", {{"s", "done"}, {"dom", "loom-0"}, {"k", 3}, {"fd", 3}}}}}));
    }
}

TEST(JobArchiver, SeparatesHistoryOnceAllControllersReadTheFormatAndNoOldRecordIsLeft) {
    auto simulator = settled_simulator();
    EXPECT_TRUE(simulator->node(0)->cache().is_history_separated()) << simulator->format_history();
    simulator->submit(simulator->make_job(1, JobKind::Array, 3), 2 * kSecond);
    simulator->run(kSecond);
    EXPECT_FALSE(stored_record(*simulator, "c/active/req-000001").is_null());
    EXPECT_TRUE(stored_record(*simulator, "c/job/req-000001").is_null());
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done");
    EXPECT_TRUE(stored_record(*simulator, "c/active/req-000001").is_null())
        << "the stale record must be deleted";
    EXPECT_EQ(stored_record(*simulator, "c/job/req-000001")["data"]["s"], "done");
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(JobArchiver, StartingControllerReadsOnlyUnfinishedJobs) {
    auto simulator = settled_simulator();
    simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
    simulator->run(3 * kSecond);
    fill_history(*simulator, 5'000);
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(6 * kSecond);
    for (int i = 0; i < 3; ++i) {
        EXPECT_LT(simulator->node(i)->cache().jobs.view_count(), 20u)
            << "finished jobs must not be kept in memory";
        EXPECT_EQ(simulator->node(i)->cache().jobs.live_jobs().size(), 1u);
    }
    // Every node still answers requests for finished jobs, and their state does not change.
    auto reply = simulator->request(1, "GET", "/v1/jobs/req-504321", {});
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(wire::text(reply.body, "stage"), "done");
    reply = simulator->request(2, "POST", "/v1/jobs/req-500007/abort", Json::object());
    EXPECT_EQ(wire::text(reply.body, "stage"), "done");
    reply = simulator->request(0, "POST", "/v1/jobs",
                               wire::job_value(simulator->make_job(501'234, JobKind::Array, 3)));
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(wire::text(reply.body, "stage"), "done") << "for a late retry of its submission";
    EXPECT_EQ(simulator->request(0, "GET", "/v1/jobs/req-999999", {}).status, 404);
    JobSpec dependent = simulator->make_job(2, JobKind::Array, 1);
    dependent.dependencies = {"req-502222"};
    EXPECT_EQ(simulator->request(0, "POST", "/v1/jobs", wire::job_value(dependent)).status, 201);
    simulator->run(2 * kSecond);
    EXPECT_TRUE(simulator->node(2)->cache().jobs.live_jobs().at("req-000002").dependencies_met)
        << "the job that it depends on was finished long ago";
    EXPECT_EQ(simulator->task_starts("req-000001"), 3);
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Writes the final record of a job and leaves its record under c/active/ in place, like a process that
/// crashes before it has deleted that one.
void finish_with_stale_record(Simulator& simulator, const std::string& ref, const char* stage) {
    const Json active = stored_record(simulator, "c/active/" + ref);
    ASSERT_FALSE(active.is_null());
    ASSERT_EQ(
        late_commit(simulator, Json::array({Json{{"k", "c/active/" + ref}, {"mark", active["mark"]}}}),
                    Json::array({Json{{"write", "c/job/" + ref},
                                      {"data", {{"s", stage}, {"dom", "loom-0"}, {"k", 2}, {"fd", 2}}}}})),
        200);
}

TEST(JobArchiver, StaleRecordOfAFinishedJobDoesNotRunAgain) {
    auto simulator = settled_simulator(2);
    JobSpec job = simulator->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};  // no such machine exists, so the job waits
    simulator->submit(job, 2 * kSecond);
    simulator->submit(simulator->make_job(2, JobKind::Service, 2), 0);
    simulator->run(3 * kSecond);
    // The job finishes while every controller is down.
    for (int i = 0; i < 3; ++i) simulator->crash(i, 2 * kSecond);
    finish_with_stale_record(*simulator, "req-000001", "done");
    const std::string machine = simulator->add_machine("large", "a");  // the job could start now
    std::vector<int> statuses;
    for (int i = 0; i < 40; ++i) {
        simulator->run(200 * kMillisecond);
        if (!simulator->node(1)) continue;
        const auto reply = simulator->request(1, "GET", "/v1/jobs/req-000001", {});
        if (reply.status == 200) {
            EXPECT_EQ(wire::text(reply.body, "stage"), "done") << "other nodes may have answered so already";
        }
        statuses.push_back(reply.status);
    }
    EXPECT_EQ(statuses.back(), 200);
    EXPECT_EQ(simulator->task_starts("req-000001"), 0) << simulator->format_history();
    EXPECT_TRUE(stored_record(*simulator, "c/active/req-000001").is_null())
        << "the holder must delete the stale record";
    EXPECT_EQ(simulator->task_starts("req-000002"), 2);
}

TEST(JobArchiver, CancellationOfAFinishedJobAnswersThatItIsDone) {
    auto simulator = settled_simulator(3);
    JobSpec job = simulator->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};
    simulator->submit(job, 2 * kSecond);
    simulator->run(3 * kSecond);
    const int node = simulator->owner_node();
    simulator->hold_next_message("state", "loom-" + std::to_string(node));  // the change feed's next message
    finish_with_stale_record(*simulator, "req-000001", "done");
    const auto reply = simulator->request(node, "POST", "/v1/jobs/req-000001/abort", Json::object());
    EXPECT_EQ(wire::text(reply.body, "stage"), "done") << "the job was finished already";
    EXPECT_EQ(stored_record(*simulator, "c/job/req-000001")["data"]["s"], "done");
}

TEST(JobArchiver, StaleRecordOfACancelledJobOpensNoGate) {
    auto simulator = settled_simulator(4);
    JobSpec needed = simulator->make_job(1, JobKind::Array, 2, 8);
    needed.types = {"large"};
    simulator->submit(needed, 2 * kSecond);
    JobSpec dependent = simulator->make_job(2, JobKind::Array, 1);
    dependent.dependencies = {"req-000001"};
    simulator->run(kSecond);
    simulator->submit(dependent, kSecond);
    simulator->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, 2 * kSecond);
    finish_with_stale_record(*simulator, "req-000001", "cancelled");
    simulator->cancel("req-000001");
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000002"), "cancelled") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000002"), 0);
}

TEST(JobArchiver, UnfinishedJobsMoveDuringARollingUpgrade) {
    auto simulator = settled_simulator(5, 6, {0, 1, 2});
    for (int i = 1; i <= 4; ++i) simulator->submit(simulator->make_job(i, JobKind::Service, 2), 0);
    simulator->submit(simulator->make_job(5, JobKind::Array, 3), 50 * kSecond);
    simulator->run(3 * kSecond);
    EXPECT_EQ(count_keys(*simulator, "c/job/"), 5u);
    EXPECT_EQ(count_keys(*simulator, "c/active/"), 0u);
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(simulator->node(i)->cache().legacy_writes_closed());
        simulator->upgrade(i, kSecond);
        simulator->run(5 * kSecond);
    }
    // All controllers crash while the records are being moved.
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(15 * kSecond);
    EXPECT_TRUE(simulator->node(0)->cache().is_history_separated()) << simulator->format_history();
    EXPECT_EQ(count_keys(*simulator, "c/active/"), 5u);
    EXPECT_EQ(count_keys(*simulator, "c/job/"), 0u);
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(40 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000005"), "done") << simulator->format_history();
    for (int i = 1; i <= 4; ++i) EXPECT_EQ(simulator->task_starts("req-00000" + std::to_string(i)), 2);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(JobArchiver, LateAdmissionInTheOldFormatCreatesNoSecondJob) {
    // The admission was delayed by a network partition for minutes, while its user submitted the job again
    // and other controllers accepted it.
    auto simulator = settled_simulator(6);
    simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
    simulator->run(3 * kSecond);
    EXPECT_EQ(
        late_commit(*simulator, Json::array({Json{{"k", "c/job/req-000001"}, {"mark", 0}}}),
                    Json::array({Json{{"write", "c/job/req-000001"},
                                      {"data", stored_record(*simulator, "c/active/req-000001")["data"]}}})),
        200);
    simulator->run(2 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(8 * kSecond);
    simulator->cancel("req-000001");
    simulator->run(8 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "cancelled") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000001"), 2);
    EXPECT_EQ(stored_record(*simulator, "c/job/req-000001")["data"]["s"], "cancelled");
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(JobArchiver, LateAdmissionInTheOldFormatIsAcceptedOnlyOnceMoved) {
    auto simulator = settled_simulator(7);
    const JobSpec job = simulator->make_job(1, JobKind::Array, 1);
    Json record{{"s", "queued"}, {"dom", "loom-9"}, {"k", 1}, {"d", wire::job_value(job)}, {"at", 0}};
    ASSERT_EQ(late_commit(*simulator, Json::array({Json{{"k", "c/job/req-000001"}, {"mark", 0}}}),
                          Json::array({Json{{"write", "c/job/req-000001"}, {"data", record}}})),
              200);
    simulator->run(kSecond);
    // Its shard has no holder, so no node moves the record. If the job were reported as accepted, the next
    // starting controller would not know it.
    EXPECT_EQ(simulator->request(0, "POST", "/v1/jobs", wire::job_value(job)).status, 503);
    EXPECT_EQ(simulator->request(1, "GET", "/v1/jobs/req-000001", {}).status, 503);
    record["dom"] = simulator->owner_at(simulator->owner_node())->shard();
    ASSERT_EQ(late_commit(*simulator, Json::array(),
                          Json::array({Json{{"write", "c/job/req-000001"}, {"data", record}}})),
              200);
    simulator->submit(job, 20 * kSecond);
    simulator->run(4 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "accepted") << simulator->format_history();
    EXPECT_TRUE(stored_record(*simulator, "c/job/req-000001").is_null());
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(JobArchiver, ClosedHistoryAdmitsNoJobInTheOldFormat) {
    auto simulator = settled_simulator(8, 4, {0, 1, 2});
    // Closes history as other nodes would after verifying the format, before any node receives that change.
    for (int i = 0; i < 3; ++i) simulator->hold_next_message("state", "loom-" + std::to_string(i));
    ASSERT_EQ(late_commit(*simulator, Json::array(),
                          Json::array({Json{{"write", "c/history"}, {"data", {{"apart", false}}}}})),
              200);
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), kSecond);
    simulator->run(8 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(JobArchiver, JobThatEndsWhileChangesAreLostIsFoundToBeFinished) {
    auto simulator = settled_simulator(9);
    JobSpec job = simulator->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};
    simulator->submit(job, 2 * kSecond);
    simulator->run(3 * kSecond);
    const int node = node_other_than_holder(*simulator);
    simulator->cut_link("loom-" + std::to_string(node), "state");
    simulator->run(kSecond);
    finish_with_stale_record(*simulator, "req-000001", "done");
    late_commit(*simulator, Json::array(), Json::array({Json{{"drop", "c/active/req-000001"}}}));
    for (int i = 0; i < 10'500; ++i)  // more changes than the state service keeps
        late_commit(*simulator, Json::array(), Json::array({Json{{"write", "x/1"}, {"data", i}}}));
    simulator->heal_all_links();
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->node(node)->cache().jobs.live_jobs().size(), 0u) << simulator->format_history();
    EXPECT_EQ(wire::text(simulator->request(node, "GET", "/v1/jobs/req-000001", {}).body, "stage"), "done");
}

}  // namespace
}  // namespace cottonway::test
