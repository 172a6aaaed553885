// DependencyGraph: jobs that need others, as traces that people read. too_early and orphaned are checked by
// the world.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

/// Two shards that are used: the controllers may use too little processor time for one to hold all machines.
std::unique_ptr<Simulator> settled_simulator(std::uint64_t seed = 1, std::set<int> old = {}) {
    Settings site = small_cluster_settings();
    site.cpu_share = 0.001;
    auto w = std::make_unique<Simulator>(seed, site);
    for (int i = 0; i < 8; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes(3, std::move(old));
    w->run(8 * kSecond);
    return w;
}

JobSpec needing(Simulator& w, int number, std::vector<std::string> needs, int tasks = 2) {
    JobSpec s = w.make_job(number, JobKind::Array, tasks);
    s.needs = std::move(needs);
    return s;
}

/// The node that holds the job's shard.
int holder_of(Simulator& w, const std::string& ref) {
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i))
            for (const auto& [name, o] : w.node(i)->owners())
                if (o && o->active() && o->jobs().count(ref)) return i;
    return -1;
}

TEST(DependencyGraph, EachStepWaitsForTheOneBefore) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Array, 3), 3 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 2, {"req-000001"}), 2 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 3, {"req-000002", "req-000001"}), 2 * kSecond);
    w->run(kSecond);
    EXPECT_EQ(w->task_starts("req-000002"), 0);
    EXPECT_EQ(wire::text(w->request(0, "GET", "/v1/jobs/req-000003", {}).body, "stage"), "pending");
    w->run(15 * kSecond);
    for (const char* ref : {"req-000001", "req-000002", "req-000003"})
        EXPECT_EQ(w->reported_stage(ref), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, WhatWaitsHoldsNothing) {
    auto w = settled_simulator(2);
    JobSpec first = w->make_job(1, JobKind::Service, 1);
    w->submit(first, 0);
    w->run(kSecond);
    JobSpec wide = needing(*w, 2, {"req-000001"}, 16);  // all of its team's limit
    wide.team = "blue";
    w->submit(wide, kSecond);
    w->run(3 * kSecond);
    JobSpec other = w->make_job(3, JobKind::Array, 16);
    other.team = "blue";
    w->submit(other, 3 * kSecond);
    w->run(4 * kSecond);
    EXPECT_EQ(w->task_starts("req-000003"), 16) << w->format_history();
    const ShardOwner* owner = w->node(holder_of(*w, "req-000002"))->owners().begin()->second.get();
    EXPECT_TRUE(owner->jobs().at("req-000002")->slots.empty()) << "nor memory";
    EXPECT_EQ(owner->jobs().at("req-000002")->waiting(), 0);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, AGateOpensWhereverItsHolderEnds) {
    // At each moment around the end of what is needed: before it, while it is recorded, as the gate opens, as
    // the first bind is committed.
    for (const Micros at : {3'000, 4'400, 4'500, 4'550, 4'600, 4'700, 4'900, 5'300}) {
        auto w = settled_simulator(3);
        w->submit(w->make_job(1, JobKind::Array, 2), 4 * kSecond, 0);
        w->run(300 * kMillisecond);
        w->submit(needing(*w, 2, {"req-000001"}), 2 * kSecond, 0);
        w->run(at * kMillisecond - 300 * kMillisecond);
        if (const int i = holder_of(*w, "req-000002"); i >= 0) w->crash(i, 20 * kSecond);
        w->run(kSecond);
        if (const int i = holder_of(*w, "req-000001"); i >= 0) w->crash(i, 20 * kSecond);
        w->run(25 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000002"), "done") << "ended at " << at << "\n"
                                                           << w->format_history();
        EXPECT_EQ(w->task_starts("req-000002"), 2);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(DependencyGraph, CancelledIsInheritedByAll) {
    auto w = settled_simulator(4);
    w->submit(w->make_job(1, JobKind::Array, 2), 20 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 2, {"req-000001"}), kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 3, {"req-000002"}), kSecond);
    w->submit(needing(*w, 4, {"req-000002"}), kSecond);
    w->run(2 * kSecond);
    w->cancel("req-000001");
    w->run(kSecond);
    // Every node says so at once, whether or not the records do yet; also to a cancellation and a submission.
    for (int i = 0; i < 3; ++i)
        for (const char* ref : {"req-000002", "req-000003", "req-000004"})
            EXPECT_EQ(wire::text(w->request(i, "GET", "/v1/jobs/" + std::string(ref), {}).body, "stage"),
                      "cancelled");
    EXPECT_EQ(wire::text(w->request(1, "POST", "/v1/jobs/req-000003/abort", {}).body, "stage"), "cancelled");
    auto again = w->request(2, "POST", "/v1/jobs", wire::job_value(needing(*w, 4, {"req-000002"})));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(wire::text(again.body, "stage"), "cancelled");
    // One that names a cancelled job is accepted, and cancelled.
    auto late = w->request(0, "POST", "/v1/jobs", wire::job_value(needing(*w, 5, {"req-000003"})));
    EXPECT_EQ(late.status, 201);
    EXPECT_EQ(wire::text(w->request(1, "GET", "/v1/jobs/req-000005", {}).body, "stage"), "cancelled");
    w->run(10 * kSecond);
    // The records follow, and it stays so after a restart of all.
    for (const char* ref : {"req-000002", "req-000003", "req-000004"})
        EXPECT_FALSE(w->node(0)->cache().jobs.live().count(ref)) << ref;
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(6 * kSecond);
    for (const char* ref : {"req-000002", "req-000003", "req-000004", "req-000005"})
        EXPECT_EQ(wire::text(w->request(2, "GET", "/v1/jobs/" + std::string(ref), {}).body, "stage"),
                  "cancelled");
    EXPECT_EQ(w->task_starts("req-000002") + w->task_starts("req-000003") + w->task_starts("req-000004"), 0);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, CancelledIsInheritedBeforeAndWhateverTheRecordSays) {
    auto w = settled_simulator(13);
    w->submit(w->make_job(1, JobKind::Array, 2), 30 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 2, {"req-000001"}), kSecond);
    w->run(2 * kSecond);
    // The holder of its shard can't write, so the record stays as it is.
    const int holder = holder_of(*w, "req-000002");
    w->refuse_state_requests(holder, true);
    auto stage = [&](int node) {
        return wire::text(w->request(node, "GET", "/v1/jobs/req-000002", {}).body, "stage").value_or("");
    };
    const int one = (holder + 1) % 3, other = (holder + 2) % 3;
    EXPECT_EQ(w->request(one, "POST", "/v1/jobs/req-000001/abort", {}).status, 200);
    EXPECT_EQ(stage(other), "cancelled");
    EXPECT_EQ(stage(one), "cancelled");
    // A change of the record that was on its way, by a holder that has not heard of it.
    auto stored = w->state().handle("GET", "/store/c/active/req-000002", Json(), w->now()).body;
    ASSERT_EQ(stored["data"]["s"], "queued");
    w->state().handle(
        "POST", "/commit",
        Json{{"when", Json::array()},
             {"then", Json::array({Json{{"write", "c/active/req-000002"}, {"data", stored["data"]}}})}},
        w->now());
    w->run(300 * kMillisecond);
    EXPECT_EQ(stage(other), "cancelled");
    w->run(12 * kSecond);
    EXPECT_FALSE(w->node(other)->cache().jobs.live().count("req-000002")) << "its record has followed";
}

TEST(DependencyGraph, CancelledIsInheritedThroughDeathsBeforeAnyRecordFollows) {
    auto w = settled_simulator(5);
    w->submit(w->make_job(1, JobKind::Array, 2), 20 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 2, {"req-000001"}), kSecond);
    w->run(2 * kSecond);
    w->cancel("req-000001");
    w->run(60 * kMillisecond);
    for (int i = 0; i < 3; ++i) w->crash(i, 2 * kSecond);
    w->run(12 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "cancelled");
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(wire::text(w->request(i, "GET", "/v1/jobs/req-000002", {}).body, "stage"), "cancelled");
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, ACancellationAndTheLastTasksEndAgreeWithWhatFollows) {
    // One order wins in the store, and every answer agrees with it.
    for (const Micros at : {2'900, 3'000, 3'050, 3'100, 3'200, 3'300, 3'400, 3'500}) {
        auto w = settled_simulator(6);
        w->submit(w->make_job(1, JobKind::Array, 2), 3 * kSecond, 0);
        w->run(300 * kMillisecond);
        w->submit(needing(*w, 2, {"req-000001"}), 2 * kSecond, 0);
        w->run(at * kMillisecond - 300 * kMillisecond);
        w->cancel("req-000001");
        w->run(12 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000002"), w->reported_stage("req-000001"))
            << "cancelled at " << at << "\n"
            << w->format_history();
        EXPECT_EQ(w->task_starts("req-000002"), w->reported_stage("req-000001") == "done" ? 2 : 0);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(DependencyGraph, AnOutageHidesNoCancellation) {
    auto w = settled_simulator(7);
    w->submit(w->make_job(1, JobKind::Array, 2), 30 * kSecond);
    w->run(kSecond);
    w->submit(needing(*w, 2, {"req-000001"}), kSecond);
    w->run(2 * kSecond);
    w->hold_next_message("state", "loom-1");  // the news of it
    w->cancel("req-000001");
    w->run(500 * kMillisecond);
    w->state().set_down(true, w->now());
    w->run(3 * kSecond);
    // A node that has not heard of it says nothing rather than something old.
    for (int i = 0; i < 3; ++i) {
        auto r = w->request(i, "GET", "/v1/jobs/req-000002", {});
        EXPECT_TRUE(r.status == 503 || wire::text(r.body, "stage") == "cancelled") << i << " " << r.status;
    }
    w->state().set_down(false, w->now());
    w->run(5 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "cancelled") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, OnlyWhatWasAcceptedCanBeNeeded) {
    auto w = settled_simulator(8);
    auto submit = [&](int node, const JobSpec& s) {
        return w->request(node, "POST", "/v1/jobs", wire::job_value(s)).status;
    };
    EXPECT_EQ(submit(0, needing(*w, 2, {"req-000077"})), 422);
    EXPECT_EQ(submit(0, needing(*w, 2, {"req-000002"})), 422) << "its own name";
    // Accepted by another node, whose news has not come here yet.
    const JobSpec first = w->make_job(1, JobKind::Array, 1);
    w->submit(first, 60 * kSecond);
    w->hold_next_message("state", "loom-2");
    EXPECT_EQ(submit(1, first) / 100, 2);
    EXPECT_EQ(submit(2, needing(*w, 2, {"req-000001", "req-000001"})), 201);
    w->release_held_messages();
    w->run(kSecond);
    EXPECT_EQ(submit(2, needing(*w, 2, {"req-000001"})), 200);
    EXPECT_EQ(submit(2, needing(*w, 2, {"req-000099"})), 200) << "a known id comes before its needs";
    w->state().set_down(true, w->now());
    EXPECT_EQ(submit(0, needing(*w, 3, {"req-000055"})), 503) << "nobody can tell";
}

TEST(DependencyGraph, WhatIsLongForgottenIsReadFromTheStore) {
    auto w = settled_simulator(9);
    for (int i = 1; i <= 2; ++i) w->submit(w->make_job(i, JobKind::Array, 1), kSecond);
    w->run(6 * kSecond);
    w->cancel("req-000003");
    w->submit(w->make_job(3, JobKind::Array, 1), 60 * kSecond);
    w->run(3 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done");
    // A pure function of final facts: what the caches have lost is Unknown until it is read.
    DependencyGraph p;
    const auto sure = [](const std::string&) { return false; };
    JobSpec s = needing(*w, 10, {"req-000001", "req-000003"});
    p.put(s, 5, [](const std::string&) { return DependencyGraph::Known{}; });
    EXPECT_TRUE(p.unclear("req-000010", sure));
    EXPECT_FALSE(p.dependency_status("req-000010").open);
    p.over("req-000001", true, 77);
    EXPECT_FALSE(p.dependency_status("req-000010").open);
    EXPECT_TRUE(p.unclear("req-000010", sure));
    p.over("req-000003", true, 99);
    EXPECT_FALSE(p.unclear("req-000010", sure));
    EXPECT_TRUE(p.dependency_status("req-000010").open);
    EXPECT_EQ(p.dependency_status("req-000010").since_ms, 99);
}

TEST(DependencyGraph, RankAndDeadlineFlowBackwards) {
    DependencyGraph p;
    auto open = [](const std::string&) { return DependencyGraph::Known{DependencyGraph::Fate::Open, 0}; };
    Simulator w(1);
    JobSpec first = w.make_job(1, JobKind::Array, 1), second = needing(w, 2, {"req-000001"}),
            last = needing(w, 3, {"req-000002"});
    first.rank = second.rank = PriorityClass::Low;
    second.estimate = 30 * kSecond;
    p.put(first, 1000, open);
    p.put(second, 1000, open);
    p.weigh();
    EXPECT_EQ(p.dependency_status("req-000001").rank, PriorityClass::Low);
    last.rank = PriorityClass::High;
    last.deadline = 100 * kSecond;
    last.estimate = 9 * kSecond;
    p.put(last, 2000, open);
    p.weigh();
    EXPECT_EQ(p.dependency_status("req-000001").rank, PriorityClass::High);
    EXPECT_EQ(p.dependency_status("req-000002").rank, PriorityClass::High);
    EXPECT_LT(p.dependency_status("req-000002").due_ms, 102'000 - 9'000);
    EXPECT_LT(p.dependency_status("req-000001").due_ms, p.dependency_status("req-000002").due_ms - 30'000);
    // Cancelled: nothing is owed to it any more.
    p.over("req-000003", false, 0);
    p.weigh();
    EXPECT_EQ(p.dependency_status("req-000001").rank, PriorityClass::Low);
    EXPECT_EQ(p.dependency_status("req-000001").due_ms, INT64_MAX);
}

TEST(DependencyGraph, AGatesMomentSurvivesAnAdoption) {
    auto w = settled_simulator(10);
    w->submit(w->make_job(1, JobKind::Array, 1), 5 * kSecond, 0);
    w->run(300 * kMillisecond);
    JobSpec wide = needing(*w, 2, {"req-000001"}, 40);  // more than there is room for
    w->submit(wide, 30 * kSecond, 0);
    w->run(12 * kSecond);
    auto since = [&]() -> std::int64_t {
        for (int i = 0; i < 3; ++i)
            if (w->node(i) && w->node(i)->cache().jobs.live().count("req-000002"))
                return w->node(i)->cache().jobs.live().at("req-000002").since_ms;
        return 0;
    };
    const auto before = since();
    EXPECT_GT(before, 0);
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(8 * kSecond);
    EXPECT_EQ(since(), before);
    const int holder = holder_of(*w, "req-000002");
    ASSERT_GE(holder, 0);
    for (const auto& [name, o] : w->node(holder)->owners())
        if (o && o->jobs().count("req-000002")) {
            EXPECT_EQ(o->jobs().at("req-000002")->since_ms, before);
        }
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(DependencyGraph, AWideListOfNeedsIsStoredInPieces) {
    auto w = settled_simulator(11);
    std::vector<std::string> needs;
    for (int i = 1; i <= 300; ++i) {
        JobSpec s = w->make_job(i, JobKind::Array, 1, 0.1);
        s.request.ram = 100;
        w->submit(s, kSecond);
        needs.push_back(s.ref);
        w->run(20 * kMillisecond);
    }
    w->run(3 * kSecond);
    w->submit(needing(*w, 900, needs, 1), kSecond);
    w->run(10 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(30 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000900"), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

// ---------------------------------------------------------------- the upgrade

TEST(Upgrade, NothingNewIsWrittenWhileANodeMayBeOld) {
    auto w = settled_simulator(12, {2});
    w->submit(w->make_job(1, JobKind::Array, 1), 2 * kSecond);
    w->run(2 * kSecond);
    const Json job = wire::job_value(needing(*w, 2, {"req-000001"}));
    auto r = w->request(0, "POST", "/v1/jobs", job);
    EXPECT_EQ(r.status, 503);
    EXPECT_GT(r.retry_after, 0);
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", wire::job_value(needing(*w, 1, {"req-000044"}))).status, 200)
        << "a known id comes first";
    // Down is not the same as brought up to date: it may come back as it was.
    w->crash(2, 3 * kSecond);
    w->run(2 * kSecond);
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", job).status, 503);
    w->run(6 * kSecond);
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", job).status, 503);
    w->upgrade(2, kSecond);
    w->run(6 * kSecond);
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", job).status, 201);
    // Proven once, for good: also while a node is down, and for one that starts now.
    w->crash(1, 30 * kSecond);
    w->crash(0, kSecond);
    w->run(6 * kSecond);
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", wire::job_value(needing(*w, 3, {"req-000002"}))).status, 201);
    EXPECT_NO_VIOLATIONS(*w);
}

}  // namespace
}  // namespace cottonway::test
