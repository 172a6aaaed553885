// DependencyGraph: jobs with dependencies, alone and in the simulator. The simulator checks the rules
// "too_early" (a task starts before its job's dependencies are done) and "orphaned" (a dependent of a
// cancelled job is still not reported as cancelled).

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

/// Returns a settled simulator with two shards in use: cpu_share is too small for one shard to hold all
/// machines.
std::unique_ptr<Simulator> settled_simulator(std::uint64_t seed = 1, std::set<int> old_nodes = {}) {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;
    auto simulator = std::make_unique<Simulator>(seed, settings);
    for (int i = 0; i < 8; ++i) simulator->add_machine("small", i % 2 ? "b" : "a");
    simulator->start_nodes(3, std::move(old_nodes));
    simulator->run(8 * kSecond);
    return simulator;
}

JobSpec job_with_dependencies(Simulator& simulator, int number, std::vector<std::string> dependencies,
                              int tasks = 2) {
    JobSpec spec = simulator.make_job(number, JobKind::Array, tasks);
    spec.dependencies = std::move(dependencies);
    return spec;
}

/// Returns the node that holds the job's shard, -1: none.
int holder_of(Simulator& simulator, const std::string& ref) {
    for (int i = 0; i < simulator.node_count(); ++i)
        if (simulator.node(i))
            for (const auto& [name, owner] : simulator.node(i)->owners())
                if (owner && owner->active() && owner->jobs().count(ref)) return i;
    return -1;
}

TEST(DependencyGraph, EachJobWaitsForItsDependencies) {
    auto simulator = settled_simulator();
    simulator->submit(simulator->make_job(1, JobKind::Array, 3), 3 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), 2 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 3, {"req-000002", "req-000001"}), 2 * kSecond);
    simulator->run(kSecond);
    EXPECT_EQ(simulator->task_starts("req-000002"), 0);
    EXPECT_EQ(wire::text(simulator->request(0, "GET", "/v1/jobs/req-000003", {}).body, "stage"), "pending");
    simulator->run(15 * kSecond);
    for (const char* ref : {"req-000001", "req-000002", "req-000003"})
        EXPECT_EQ(simulator->reported_stage(ref), "done") << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, WaitingJobHoldsNoResources) {
    auto simulator = settled_simulator(2);
    JobSpec first = simulator->make_job(1, JobKind::Service, 1);
    simulator->submit(first, 0);
    simulator->run(kSecond);
    JobSpec wide = job_with_dependencies(*simulator, 2, {"req-000001"}, 16);  // its team's whole limit
    wide.team = "blue";
    simulator->submit(wide, kSecond);
    simulator->run(3 * kSecond);
    JobSpec other = simulator->make_job(3, JobKind::Array, 16);
    other.team = "blue";
    simulator->submit(other, 3 * kSecond);
    simulator->run(4 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000003"), 16) << simulator->format_history();
    const ShardOwner* owner =
        simulator->node(holder_of(*simulator, "req-000002"))->owners().begin()->second.get();
    EXPECT_TRUE(owner->jobs().at("req-000002")->slots.empty()) << "no memory either";
    EXPECT_EQ(owner->jobs().at("req-000002")->waiting_tasks(), 0);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, DependentStartsThoughHoldersCrashAroundTheEndOfItsDependency) {
    // The holders crash at various times around the end of the dependency: before it, while it is recorded,
    // when the dependent becomes eligible, and when its first bind is committed.
    for (const Micros crash_ms : {3'000, 4'400, 4'500, 4'550, 4'600, 4'700, 4'900, 5'300}) {
        auto simulator = settled_simulator(3);
        simulator->submit(simulator->make_job(1, JobKind::Array, 2), 4 * kSecond, 0);
        simulator->run(300 * kMillisecond);
        simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), 2 * kSecond, 0);
        simulator->run(crash_ms * kMillisecond - 300 * kMillisecond);
        if (const int i = holder_of(*simulator, "req-000002"); i >= 0) simulator->crash(i, 20 * kSecond);
        simulator->run(kSecond);
        if (const int i = holder_of(*simulator, "req-000001"); i >= 0) simulator->crash(i, 20 * kSecond);
        simulator->run(25 * kSecond);
        EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << "crash at " << crash_ms << "\n"
                                                                   << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000002"), 2);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(DependencyGraph, CancellationPropagatesToAllDependents) {
    auto simulator = settled_simulator(4);
    simulator->submit(simulator->make_job(1, JobKind::Array, 2), 20 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 3, {"req-000002"}), kSecond);
    simulator->submit(job_with_dependencies(*simulator, 4, {"req-000002"}), kSecond);
    simulator->run(2 * kSecond);
    simulator->cancel("req-000001");
    simulator->run(kSecond);
    // Every node answers "cancelled" at once, whether or not the records are updated yet, also to a
    // cancellation and a repeated submission.
    for (int i = 0; i < 3; ++i)
        for (const char* ref : {"req-000002", "req-000003", "req-000004"})
            EXPECT_EQ(
                wire::text(simulator->request(i, "GET", "/v1/jobs/" + std::string(ref), {}).body, "stage"),
                "cancelled");
    EXPECT_EQ(wire::text(simulator->request(1, "POST", "/v1/jobs/req-000003/abort", {}).body, "stage"),
              "cancelled");
    auto again = simulator->request(2, "POST", "/v1/jobs",
                                    wire::job_value(job_with_dependencies(*simulator, 4, {"req-000002"})));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(wire::text(again.body, "stage"), "cancelled");
    // A new job that depends on a cancelled job is accepted and is cancelled.
    auto late = simulator->request(0, "POST", "/v1/jobs",
                                   wire::job_value(job_with_dependencies(*simulator, 5, {"req-000003"})));
    EXPECT_EQ(late.status, 201);
    EXPECT_EQ(wire::text(simulator->request(1, "GET", "/v1/jobs/req-000005", {}).body, "stage"), "cancelled");
    simulator->run(10 * kSecond);
    // The records are updated, and the answers stay the same after a restart of all nodes.
    for (const char* ref : {"req-000002", "req-000003", "req-000004"})
        EXPECT_FALSE(simulator->node(0)->cache().jobs.live_jobs().count(ref)) << ref;
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(6 * kSecond);
    for (const char* ref : {"req-000002", "req-000003", "req-000004", "req-000005"})
        EXPECT_EQ(wire::text(simulator->request(2, "GET", "/v1/jobs/" + std::string(ref), {}).body, "stage"),
                  "cancelled");
    EXPECT_EQ(simulator->task_starts("req-000002") + simulator->task_starts("req-000003") +
                  simulator->task_starts("req-000004"),
              0);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, DependentIsShownAsCancelledWhateverItsRecordSays) {
    auto simulator = settled_simulator(13);
    simulator->submit(simulator->make_job(1, JobKind::Array, 2), 30 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), kSecond);
    simulator->run(2 * kSecond);
    // The holder of its shard can't write, so the record is not updated.
    const int holder = holder_of(*simulator, "req-000002");
    simulator->refuse_state_requests(holder, true);
    auto stage = [&](int node) {
        return wire::text(simulator->request(node, "GET", "/v1/jobs/req-000002", {}).body, "stage")
            .value_or("");
    };
    const int one = (holder + 1) % 3, other = (holder + 2) % 3;
    EXPECT_EQ(simulator->request(one, "POST", "/v1/jobs/req-000001/abort", {}).status, 200);
    EXPECT_EQ(stage(other), "cancelled");
    EXPECT_EQ(stage(one), "cancelled");
    // A late write of the record by a holder that does not know of the cancellation.
    auto stored =
        simulator->state().handle("GET", "/store/c/active/req-000002", Json(), simulator->now()).body;
    ASSERT_EQ(stored["data"]["s"], "queued");
    simulator->state().handle(
        "POST", "/commit",
        Json{{"when", Json::array()},
             {"then", Json::array({Json{{"write", "c/active/req-000002"}, {"data", stored["data"]}}})}},
        simulator->now());
    simulator->run(300 * kMillisecond);
    EXPECT_EQ(stage(other), "cancelled");
    simulator->run(12 * kSecond);
    EXPECT_FALSE(simulator->node(other)->cache().jobs.live_jobs().count("req-000002"))
        << "its record is updated";
}

TEST(DependencyGraph, CancellationPropagatesThoughAllNodesCrashBeforeTheRecordsAreUpdated) {
    auto simulator = settled_simulator(5);
    simulator->submit(simulator->make_job(1, JobKind::Array, 2), 20 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), kSecond);
    simulator->run(2 * kSecond);
    simulator->cancel("req-000001");
    simulator->run(60 * kMillisecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, 2 * kSecond);
    simulator->run(12 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "cancelled");
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(wire::text(simulator->request(i, "GET", "/v1/jobs/req-000002", {}).body, "stage"),
                  "cancelled");
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, DependentsAgreeWithTheOutcomeOfACancellationNearTheLastTasksEnd) {
    // The store orders the cancellation and the end of the job, and every answer agrees with that order.
    for (const Micros cancel_ms : {2'900, 3'000, 3'050, 3'100, 3'200, 3'300, 3'400, 3'500}) {
        auto simulator = settled_simulator(6);
        simulator->submit(simulator->make_job(1, JobKind::Array, 2), 3 * kSecond, 0);
        simulator->run(300 * kMillisecond);
        simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), 2 * kSecond, 0);
        simulator->run(cancel_ms * kMillisecond - 300 * kMillisecond);
        simulator->cancel("req-000001");
        simulator->run(12 * kSecond);
        EXPECT_EQ(simulator->reported_stage("req-000002"), simulator->reported_stage("req-000001"))
            << "cancelled at " << cancel_ms << "\n"
            << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000002"),
                  simulator->reported_stage("req-000001") == "done" ? 2 : 0);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(DependencyGraph, StoreOutageHidesNoCancellation) {
    auto simulator = settled_simulator(7);
    simulator->submit(simulator->make_job(1, JobKind::Array, 2), 30 * kSecond);
    simulator->run(kSecond);
    simulator->submit(job_with_dependencies(*simulator, 2, {"req-000001"}), kSecond);
    simulator->run(2 * kSecond);
    simulator->hold_next_message("state", "loom-1");  // the update of the cancellation
    simulator->cancel("req-000001");
    simulator->run(500 * kMillisecond);
    simulator->state().set_down(true, simulator->now());
    simulator->run(3 * kSecond);
    // A node that has not received the cancellation answers 503 instead of an outdated state.
    for (int i = 0; i < 3; ++i) {
        auto response = simulator->request(i, "GET", "/v1/jobs/req-000002", {});
        EXPECT_TRUE(response.status == 503 || wire::text(response.body, "stage") == "cancelled")
            << i << " " << response.status;
    }
    simulator->state().set_down(false, simulator->now());
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000002"), "cancelled") << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, DependencyMustHaveBeenAccepted) {
    auto simulator = settled_simulator(8);
    auto submit = [&](int node, const JobSpec& spec) {
        return simulator->request(node, "POST", "/v1/jobs", wire::job_value(spec)).status;
    };
    EXPECT_EQ(submit(0, job_with_dependencies(*simulator, 2, {"req-000077"})), 422);
    EXPECT_EQ(submit(0, job_with_dependencies(*simulator, 2, {"req-000002"})), 422) << "depends on itself";
    // Accepted by another node; the update has not arrived here yet.
    const JobSpec first = simulator->make_job(1, JobKind::Array, 1);
    simulator->submit(first, 60 * kSecond);
    simulator->hold_next_message("state", "loom-2");
    EXPECT_EQ(submit(1, first) / 100, 2);
    EXPECT_EQ(submit(2, job_with_dependencies(*simulator, 2, {"req-000001", "req-000001"})), 201);
    simulator->release_held_messages();
    simulator->run(kSecond);
    EXPECT_EQ(submit(2, job_with_dependencies(*simulator, 2, {"req-000001"})), 200);
    EXPECT_EQ(submit(2, job_with_dependencies(*simulator, 2, {"req-000099"})), 200)
        << "an accepted job is answered without checking its dependencies";
    simulator->state().set_down(true, simulator->now());
    EXPECT_EQ(submit(0, job_with_dependencies(*simulator, 3, {"req-000055"})), 503)
        << "it is unknown whether the dependency was accepted";
}

TEST(DependencyGraph, UnknownDependenciesKeepTheJobWaiting) {
    auto simulator = settled_simulator(9);
    for (int i = 1; i <= 2; ++i) simulator->submit(simulator->make_job(i, JobKind::Array, 1), kSecond);
    simulator->run(6 * kSecond);
    simulator->cancel("req-000003");
    simulator->submit(simulator->make_job(3, JobKind::Array, 1), 60 * kSecond);
    simulator->run(3 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000001"), "done");
    // The outcome of a dependency that is in no cache is Unknown until its record is read.
    DependencyGraph graph;
    const auto none_uncertain = [](const std::string&) { return false; };
    JobSpec spec = job_with_dependencies(*simulator, 10, {"req-000001", "req-000003"});
    graph.add_job(spec, 5, [](const std::string&) { return DependencyGraph::KnownOutcome{}; });
    EXPECT_TRUE(graph.is_cancellation_uncertain("req-000010", none_uncertain));
    EXPECT_FALSE(graph.dependency_status("req-000010").dependencies_met);
    graph.mark_finished("req-000001", true, 77);
    EXPECT_FALSE(graph.dependency_status("req-000010").dependencies_met);
    EXPECT_TRUE(graph.is_cancellation_uncertain("req-000010", none_uncertain));
    graph.mark_finished("req-000003", true, 99);
    EXPECT_FALSE(graph.is_cancellation_uncertain("req-000010", none_uncertain));
    EXPECT_TRUE(graph.dependency_status("req-000010").dependencies_met);
    EXPECT_EQ(graph.dependency_status("req-000010").dependencies_met_ms, 99);
}

TEST(DependencyGraph, PriorityAndDeadlinePropagateToDependencies) {
    DependencyGraph graph;
    auto unfinished = [](const std::string&) {
        return DependencyGraph::KnownOutcome{DependencyGraph::Outcome::Unfinished, 0};
    };
    Simulator simulator(1);
    JobSpec first = simulator.make_job(1, JobKind::Array, 1),
            second = job_with_dependencies(simulator, 2, {"req-000001"}),
            last = job_with_dependencies(simulator, 3, {"req-000002"});
    first.priority_class = second.priority_class = PriorityClass::Low;
    second.estimated_duration = 30 * kSecond;
    graph.add_job(first, 1000, unfinished);
    graph.add_job(second, 1000, unfinished);
    graph.propagate_priorities();
    EXPECT_EQ(graph.dependency_status("req-000001").inherited_priority, PriorityClass::Low);
    last.priority_class = PriorityClass::High;
    last.deadline = 100 * kSecond;
    last.estimated_duration = 9 * kSecond;
    graph.add_job(last, 2000, unfinished);
    graph.propagate_priorities();
    EXPECT_EQ(graph.dependency_status("req-000001").inherited_priority, PriorityClass::High);
    EXPECT_EQ(graph.dependency_status("req-000002").inherited_priority, PriorityClass::High);
    EXPECT_LT(graph.dependency_status("req-000002").inherited_deadline_ms, 102'000 - 9'000);
    EXPECT_LT(graph.dependency_status("req-000001").inherited_deadline_ms,
              graph.dependency_status("req-000002").inherited_deadline_ms - 30'000);
    // A cancelled dependent no longer passes on its priority and deadline.
    graph.mark_finished("req-000003", false, 0);
    graph.propagate_priorities();
    EXPECT_EQ(graph.dependency_status("req-000001").inherited_priority, PriorityClass::Low);
    EXPECT_EQ(graph.dependency_status("req-000001").inherited_deadline_ms, INT64_MAX);
}

TEST(DependencyGraph, EligibleTimeSurvivesAShardTakeover) {
    auto simulator = settled_simulator(10);
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), 5 * kSecond, 0);
    simulator->run(300 * kMillisecond);
    JobSpec wide = job_with_dependencies(*simulator, 2, {"req-000001"}, 40);  // more tasks than fit
    simulator->submit(wide, 30 * kSecond, 0);
    simulator->run(12 * kSecond);
    auto eligible_since = [&]() -> std::int64_t {
        for (int i = 0; i < 3; ++i)
            if (simulator->node(i) && simulator->node(i)->cache().jobs.live_jobs().count("req-000002"))
                return simulator->node(i)->cache().jobs.live_jobs().at("req-000002").eligible_since_ms;
        return 0;
    };
    const auto before = eligible_since();
    EXPECT_GT(before, 0);
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(8 * kSecond);
    EXPECT_EQ(eligible_since(), before);
    const int holder = holder_of(*simulator, "req-000002");
    ASSERT_GE(holder, 0);
    for (const auto& [name, owner] : simulator->node(holder)->owners())
        if (owner && owner->jobs().count("req-000002")) {
            EXPECT_EQ(owner->jobs().at("req-000002")->eligible_since_ms, before);
        }
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(DependencyGraph, ManyDependenciesAreStoredInChunks) {
    auto simulator = settled_simulator(11);
    std::vector<std::string> dependencies;
    for (int i = 1; i <= 300; ++i) {
        JobSpec spec = simulator->make_job(i, JobKind::Array, 1, 0.1);
        spec.request.ram = 100;
        simulator->submit(spec, kSecond);
        dependencies.push_back(spec.ref);
        simulator->run(20 * kMillisecond);
    }
    simulator->run(3 * kSecond);
    simulator->submit(job_with_dependencies(*simulator, 900, dependencies, 1), kSecond);
    simulator->run(10 * kSecond);
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(30 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000900"), "done") << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

// ---------------------------------------------------------------- rolling upgrade

TEST(Upgrade, NewFormatIsNotWrittenWhileANodeMayBeOld) {
    auto simulator = settled_simulator(12, {2});
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), 2 * kSecond);
    simulator->run(2 * kSecond);
    const Json job = wire::job_value(job_with_dependencies(*simulator, 2, {"req-000001"}));
    auto response = simulator->request(0, "POST", "/v1/jobs", job);
    EXPECT_EQ(response.status, 503);
    EXPECT_GT(response.retry_after_s, 0);
    EXPECT_EQ(simulator
                  ->request(0, "POST", "/v1/jobs",
                            wire::job_value(job_with_dependencies(*simulator, 1, {"req-000044"})))
                  .status,
              200)
        << "an accepted job is answered first";
    // A node that is down is not upgraded: it may come back with the old version.
    simulator->crash(2, 3 * kSecond);
    simulator->run(2 * kSecond);
    EXPECT_EQ(simulator->request(0, "POST", "/v1/jobs", job).status, 503);
    simulator->run(6 * kSecond);
    EXPECT_EQ(simulator->request(0, "POST", "/v1/jobs", job).status, 503);
    simulator->upgrade(2, kSecond);
    simulator->run(6 * kSecond);
    EXPECT_EQ(simulator->request(0, "POST", "/v1/jobs", job).status, 201);
    // Once proven it holds for good: also while a node is down, and for a node that starts now.
    simulator->crash(1, 30 * kSecond);
    simulator->crash(0, kSecond);
    simulator->run(6 * kSecond);
    EXPECT_EQ(simulator
                  ->request(0, "POST", "/v1/jobs",
                            wire::job_value(job_with_dependencies(*simulator, 3, {"req-000002"})))
                  .status,
              201);
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
