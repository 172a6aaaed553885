// Who is served when not all can be, with controllers that end at any moment.

#include <gtest/gtest.h>

#include <algorithm>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

JobSpec ranked(Simulator& w, int number, PriorityClass rank, JobKind kind, int tasks, double cores) {
    JobSpec s = w.make_job(number, kind, tasks, cores);
    s.rank = rank;
    s.job_class = s.ref;  // by which the world tells waits
    s.estimate = 6 * kSecond;
    return s;
}

/// How long a job waited for its first start; more than the run if none came.
Micros began(const Simulator& w, const std::string& ref) {
    for (const auto& [of, wait] : w.task_start_delays())
        if (of == ref) return wait;
    return 3600 * kSecond;
}

/// One of the controllers ends now and then, and is back soon.
void end_some(Simulator& w, Micros from, Micros until, Micros every) {
    for (Micros t = from; t < until; t += every)
        w.schedule_at(t,
                      [&w] { w.crash(static_cast<int>(w.random() % 3), 300 * kMillisecond + 2 * kSecond); });
}

/// A team at its limit: 16 of 24 cores are its live work's, and more high work arrives than the rest can run.
/// Large normal work needs 6 of the 8 cores at once.
TEST(Starvation, EndlessHighWorkOfATeamAtItsLimitLeavesHalfToNormalWorkAndItsLargestBegin) {
    auto w = settled_simulator(5, 8);
    w->submit(ranked(*w, 1, PriorityClass::Production, JobKind::Service, 4, 4), 0);
    w->run(4 * kSecond);
    ASSERT_EQ(w->running_tasks("req-000001"), 4) << w->format_history();
    const Micros start = w->now();
    std::vector<std::string> high, normal, large;
    int number = 100;
    auto later = [&](Micros at, std::vector<std::string>& list, PriorityClass rank, int tasks, double cores,
                     Micros run) {
        auto spec = ranked(*w, number++, rank, JobKind::Array, tasks, cores);
        list.push_back(spec.ref);
        w->schedule_at(start + at, [&w, spec, run] { w->submit(spec, run); });
    };
    for (int i = 0; i < 100; ++i)
        later(i * 2500 * kMillisecond, high, PriorityClass::High, 4, 1, 6 * kSecond);
    for (int i = 0; i < 20; ++i)
        later((i * 12 + 1) * kSecond, normal, PriorityClass::Normal, 1, 1, 5 * kSecond);
    for (int i = 0; i < 2; ++i)
        later((5 + 30 * i) * kSecond, large, PriorityClass::Normal, 1, 6, 10 * kSecond);
    end_some(*w, start + 10 * kSecond, start + 230 * kSecond, 45 * kSecond);
    w->run(260 * kSecond);
    auto done = [&](const std::vector<std::string>& refs) {
        return std::count_if(refs.begin(), refs.end(),
                             [&](const auto& ref) { return w->reported_stage(ref) == "done"; });
    };
    for (const auto& ref : large)
        EXPECT_LT(began(*w, ref), 240 * kSecond) << ref << "\n" << w->format_history();
    EXPECT_EQ(done(large), 2);
    EXPECT_GE(done(normal), 10);
    EXPECT_GE(done(high), 50);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Starvation, LiveWorkGoesBeforeBatchInsideTheLimitOfItsTeam) {
    auto w = settled_simulator(6, 8);
    w->submit(ranked(*w, 1, PriorityClass::Normal, JobKind::Array, 24, 1), 120 * kSecond);
    w->run(4 * kSecond);
    ASSERT_EQ(w->running_tasks("req-000001"), 24) << w->format_history();
    w->submit(ranked(*w, 2, PriorityClass::Production, JobKind::Service, 4, 2), 0);
    w->run(15 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000002"), 4) << w->format_history();
    EXPECT_EQ(w->running_tasks("req-000001"), 16) << "no more than it needs";
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Starvation, BatchLeavesHalfOfEachZoneToLiveWorkWhoeverHoldsTheDomain) {
    Settings s = small_cluster_settings();
    s.teams.front().guarantee.cores = s.teams.front().limit.cores = 100'000;
    s.ops.policy.emplace();
    s.ops.policy->revision = 1;
    s.ops.policy->priority.reserve = 0.5;
    Simulator w(7, s);
    for (int i = 0; i < 4; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes();
    w.run(8 * kSecond);
    w.submit(ranked(w, 1, PriorityClass::Normal, JobKind::Array, 40, 1), 300 * kSecond);
    w.run(8 * kSecond);
    EXPECT_EQ(w.running_tasks("req-000001"), 16) << w.format_history();
    ASSERT_GE(w.owner_node(), 0);
    w.crash(w.owner_node(), 3 * kSecond);
    w.submit(ranked(w, 2, PriorityClass::Production, JobKind::Service, 8, 1), 0);
    w.submit(ranked(w, 3, PriorityClass::Normal, JobKind::Array, 1, 2), 20 * kSecond);
    w.run(12 * kSecond);
    EXPECT_EQ(w.running_tasks("req-000002"), 8) << w.format_history();
    EXPECT_EQ(w.task_starts("req-000001"), 16) << "nothing had to make way";
    EXPECT_EQ(w.task_starts("req-000003"), 0) << w.format_history();
    w.run(130 * kSecond);
    EXPECT_EQ(w.task_starts("req-000003"), 1) << "what has waited for too long may take of it\n"
                                              << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

/// The room of what has begun since it was overdue is not taken back for another team's guarantee: it would
/// be overdue again, come back to the same room first, and neither would run.
TEST(Starvation, WhatBeganForBeingOverdueIsNotStoppedForAGuarantee) {
    auto w = settled_simulator(9, 2);
    w->cloud().capacity = 0;
    int number = 100;
    auto later = [&](Micros at, const std::string& team, PriorityClass rank, JobKind kind, int tasks,
                     double cores, Micros run) {
        JobSpec s = ranked(*w, number++, rank, kind, tasks, cores);
        s.team = team;
        if (kind == JobKind::Service) s.zone = "a";  // one of the two machines
        w->schedule_at(w->now() + at, [&w, s, run] { w->submit(s, run); });
    };
    later(0, "red", PriorityClass::Production, JobKind::Service, 8, 1, 0);  // red's guarantee
    for (int i = 0; i < 100; ++i)
        later((1 + 2 * i) * kSecond, "red", PriorityClass::Normal, JobKind::Array, 1, 4, 7 * kSecond);
    for (int i = 0; i < 40; ++i)
        later((40 + 6 * i) * kSecond, "blue", PriorityClass::Normal, JobKind::Array, 1, 4, 5 * kSecond);
    // What is overdue longest; by the work that is left it stands last until then.
    JobSpec large = ranked(*w, 1, PriorityClass::Normal, JobKind::Array, 1, 4);
    large.estimate = 900 * kSecond;
    w->schedule_at(w->now() + 20 * kSecond, [&] { w->submit(large, 40 * kSecond); });
    w->run(280 * kSecond);
    EXPECT_EQ(w->reported_stage(large.ref), "done") << w->format_history();
    EXPECT_EQ(w->task_starts(large.ref), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

}  // namespace
}  // namespace cottonway::test
