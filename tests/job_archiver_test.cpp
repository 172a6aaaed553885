// History out of the way: what a start reads, and that no job is lost, run twice or called something else
// while its record is on its way from one key to the other.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

std::unique_ptr<Simulator> settled_simulator(std::uint64_t seed = 1, int machines = 4,
                                             std::set<int> old = {}) {
    auto w = std::make_unique<Simulator>(seed);
    for (int i = 0; i < machines; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes(3, std::move(old));
    w->run(6 * kSecond);
    return w;
}

int other_than_holder(Simulator& w) {
    return (w.owner_node() + 1) % 3;
}

Json stored(Simulator& w, const std::string& key) {
    auto r = w.state().handle("GET", "/store/" + key, Json(), w.now());
    return r.status == 200 ? r.body : Json();
}

std::size_t count_below(Simulator& w, const std::string& prefix) {
    auto r = w.state().handle("GET", "/store?starts=" + prefix + "&page=1000", Json(), w.now());
    return r.body["pairs"].size();
}

/// Writes straight to the store, as a transaction of a process that has ended and is applied late.
int late(Simulator& w, const Json& when, const Json& then) {
    return w.state().handle("POST", "/commit", Json{{"when", when}, {"then", then}}, w.now()).status;
}

void fill_history(Simulator& w, int jobs) {
    for (int i = 0; i < jobs; ++i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", 500'000 + i);
        late(w, Json::array(),
             Json::array({Json{{"write", std::string("c/job/") + ref},
                               {"data", {{"s", "done"}, {"dom", "loom-0"}, {"k", 3}, {"fd", 3}}}}}));
    }
}

TEST(History, IsApartOnceAllReadItAndNoRecordOfOldFormIsLeft) {
    auto w = settled_simulator();
    EXPECT_TRUE(w->node(0)->cache().history_apart()) << w->format_history();
    w->submit(w->make_job(1, JobKind::Array, 3), 2 * kSecond);
    w->run(kSecond);
    EXPECT_FALSE(stored(*w, "c/active/req-000001").is_null());
    EXPECT_TRUE(stored(*w, "c/job/req-000001").is_null());
    w->run(10 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done");
    EXPECT_TRUE(stored(*w, "c/active/req-000001").is_null()) << "dropped in a quiet moment";
    EXPECT_EQ(stored(*w, "c/job/req-000001")["data"]["s"], "done");
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(History, AStartReadsWhatIsLiveOnly) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->run(3 * kSecond);
    fill_history(*w, 5'000);
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(6 * kSecond);
    for (int i = 0; i < 3; ++i) {
        EXPECT_LT(w->node(i)->cache().jobs.views(), 20u) << "what is over is not kept in memory";
        EXPECT_EQ(w->node(i)->cache().jobs.live().size(), 1u);
    }
    // Any of them is answered all the same, by any node, and stays what it is.
    auto r = w->request(1, "GET", "/v1/jobs/req-504321", {});
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(wire::text(r.body, "stage"), "done");
    r = w->request(2, "POST", "/v1/jobs/req-500007/abort", Json::object());
    EXPECT_EQ(wire::text(r.body, "stage"), "done");
    r = w->request(0, "POST", "/v1/jobs", wire::job_value(w->make_job(501'234, JobKind::Array, 3)));
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(wire::text(r.body, "stage"), "done") << "a late retry of its submission";
    EXPECT_EQ(w->request(0, "GET", "/v1/jobs/req-999999", {}).status, 404);
    JobSpec next = w->make_job(2, JobKind::Array, 1);
    next.needs = {"req-502222"};
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", wire::job_value(next)).status, 201);
    w->run(2 * kSecond);
    EXPECT_TRUE(w->node(2)->cache().jobs.live().at("req-000002").open) << "what it needs was done long ago";
    EXPECT_EQ(w->task_starts("req-000001"), 3);
    EXPECT_NO_VIOLATIONS(*w);
}

/// A finished job whose record under c/active/ is still there, as a process leaves it that ends before a
/// quiet moment has come.
void leave_over(Simulator& w, const std::string& ref, const char* stage) {
    const Json active = stored(w, "c/active/" + ref);
    ASSERT_FALSE(active.is_null());
    ASSERT_EQ(late(w, Json::array({Json{{"k", "c/active/" + ref}, {"mark", active["mark"]}}}),
                   Json::array({Json{{"write", "c/job/" + ref},
                                     {"data", {{"s", stage}, {"dom", "loom-0"}, {"k", 2}, {"fd", 2}}}}})),
              200);
}

TEST(History, WhatIsLeftOverOfAFinishedJobDoesNotRunAgain) {
    auto w = settled_simulator(2);
    JobSpec job = w->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};  // there is none: it waits
    w->submit(job, 2 * kSecond);
    w->submit(w->make_job(2, JobKind::Service, 2), 0);
    w->run(3 * kSecond);
    // Over, while every controller is down.
    for (int i = 0; i < 3; ++i) w->crash(i, 2 * kSecond);
    leave_over(*w, "req-000001", "done");
    const std::string machine = w->add_machine("large", "a");  // it could start now
    std::vector<int> answers;
    for (int i = 0; i < 40; ++i) {
        w->run(200 * kMillisecond);
        if (!w->node(1)) continue;
        const auto r = w->request(1, "GET", "/v1/jobs/req-000001", {});
        if (r.status == 200) {
            EXPECT_EQ(wire::text(r.body, "stage"), "done") << "as other nodes may have told";
        }
        answers.push_back(r.status);
    }
    EXPECT_EQ(answers.back(), 200);
    EXPECT_EQ(w->task_starts("req-000001"), 0) << w->format_history();
    EXPECT_TRUE(stored(*w, "c/active/req-000001").is_null()) << "dropped by the holder";
    EXPECT_EQ(w->task_starts("req-000002"), 2);
}

TEST(History, ACancellationLosesAgainstAFinalRecordThatStandsElsewhere) {
    auto w = settled_simulator(3);
    JobSpec job = w->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};
    w->submit(job, 2 * kSecond);
    w->run(3 * kSecond);
    const int node = w->owner_node();
    w->hold_next_message("state", "loom-" + std::to_string(node));  // the news of it
    leave_over(*w, "req-000001", "done");
    const auto r = w->request(node, "POST", "/v1/jobs/req-000001/abort", Json::object());
    EXPECT_EQ(wire::text(r.body, "stage"), "done") << "it was over already";
    EXPECT_EQ(stored(*w, "c/job/req-000001")["data"]["s"], "done");
}

TEST(History, AGateDoesNotOpenByWhatIsLeftOverOfACancelledJob) {
    auto w = settled_simulator(4);
    JobSpec first = w->make_job(1, JobKind::Array, 2, 8);
    first.types = {"large"};
    w->submit(first, 2 * kSecond);
    JobSpec second = w->make_job(2, JobKind::Array, 1);
    second.needs = {"req-000001"};
    w->run(kSecond);
    w->submit(second, kSecond);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, 2 * kSecond);
    leave_over(*w, "req-000001", "cancelled");
    w->cancel("req-000001");
    w->run(10 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "cancelled") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000002"), 0);
}

TEST(History, WhatIsLiveMovesWhileTheVersionsChange) {
    auto w = settled_simulator(5, 6, {0, 1, 2});
    for (int i = 1; i <= 4; ++i) w->submit(w->make_job(i, JobKind::Service, 2), 0);
    w->submit(w->make_job(5, JobKind::Array, 3), 50 * kSecond);
    w->run(3 * kSecond);
    EXPECT_EQ(count_below(*w, "c/job/"), 5u);
    EXPECT_EQ(count_below(*w, "c/active/"), 0u);
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(w->node(i)->cache().history_closed());
        w->upgrade(i, kSecond);
        w->run(5 * kSecond);
    }
    // Ends again in the middle of it.
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(15 * kSecond);
    EXPECT_TRUE(w->node(0)->cache().history_apart()) << w->format_history();
    EXPECT_EQ(count_below(*w, "c/active/"), 5u);
    EXPECT_EQ(count_below(*w, "c/job/"), 0u);
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(40 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000005"), "done") << w->format_history();
    for (int i = 1; i <= 4; ++i) EXPECT_EQ(w->task_starts("req-00000" + std::to_string(i)), 2);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(History, ALateAdmissionOfOldFormMakesNoSecondJob) {
    // Held in a cut for minutes, while its user came back and was accepted by others.
    auto w = settled_simulator(6);
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->run(3 * kSecond);
    EXPECT_EQ(late(*w, Json::array({Json{{"k", "c/job/req-000001"}, {"mark", 0}}}),
                   Json::array({Json{{"write", "c/job/req-000001"},
                                     {"data", stored(*w, "c/active/req-000001")["data"]}}})),
              200);
    w->run(2 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(8 * kSecond);
    w->cancel("req-000001");
    w->run(8 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "cancelled") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 2);
    EXPECT_EQ(stored(*w, "c/job/req-000001")["data"]["s"], "cancelled");
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(History, ALateAdmissionIsAcceptedOnlyOnceItHasBeenMoved) {
    auto w = settled_simulator(7);
    const JobSpec job = w->make_job(1, JobKind::Array, 1);
    Json record{{"s", "queued"}, {"dom", "loom-9"}, {"k", 1}, {"d", wire::job_value(job)}, {"at", 0}};
    ASSERT_EQ(late(*w, Json::array({Json{{"k", "c/job/req-000001"}, {"mark", 0}}}),
                   Json::array({Json{{"write", "c/job/req-000001"}, {"data", record}}})),
              200);
    w->run(kSecond);
    // Nobody holds its shard, so nobody moves it; were it called accepted, the next start would forget it.
    EXPECT_EQ(w->request(0, "POST", "/v1/jobs", wire::job_value(job)).status, 503);
    EXPECT_EQ(w->request(1, "GET", "/v1/jobs/req-000001", {}).status, 503);
    record["dom"] = w->owner_at(w->owner_node())->shard();
    ASSERT_EQ(late(*w, Json::array(), Json::array({Json{{"write", "c/job/req-000001"}, {"data", record}}})),
              200);
    w->submit(job, 20 * kSecond);
    w->run(4 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "accepted") << w->format_history();
    EXPECT_TRUE(stored(*w, "c/job/req-000001").is_null());
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(History, NothingOfOldFormIsAdmittedOnceItIsClosed) {
    auto w = settled_simulator(8, 4, {0, 1, 2});
    // As if the others had proven the format and closed history, before this node hears of it.
    for (int i = 0; i < 3; ++i) w->hold_next_message("state", "loom-" + std::to_string(i));
    ASSERT_EQ(
        late(*w, Json::array(), Json::array({Json{{"write", "c/history"}, {"data", {{"apart", false}}}}})),
        200);
    w->submit(w->make_job(1, JobKind::Array, 1), kSecond);
    w->run(8 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(History, AJobThatEndsWhileTheNewsIsLostIsFoundToBeOver) {
    auto w = settled_simulator(9);
    JobSpec job = w->make_job(1, JobKind::Array, 2, 8);
    job.types = {"large"};
    w->submit(job, 2 * kSecond);
    w->run(3 * kSecond);
    const int node = other_than_holder(*w);
    w->cut_link("loom-" + std::to_string(node), "state");
    w->run(kSecond);
    leave_over(*w, "req-000001", "done");
    late(*w, Json::array(), Json::array({Json{{"drop", "c/active/req-000001"}}}));
    for (int i = 0; i < 10'500; ++i)  // more than the service keeps
        late(*w, Json::array(), Json::array({Json{{"write", "x/1"}, {"data", i}}}));
    w->heal_all_links();
    w->run(10 * kSecond);
    EXPECT_EQ(w->node(node)->cache().jobs.live().size(), 0u) << w->format_history();
    EXPECT_EQ(wire::text(w->request(node, "GET", "/v1/jobs/req-000001", {}).body, "stage"), "done");
}

}  // namespace
}  // namespace cottonway::test
