// Which jobs start when there isn't capacity for all, while controllers restart at any moment.

#include <gtest/gtest.h>

#include <algorithm>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

JobSpec make_job_with_priority(Simulator& simulator, int number, PriorityClass priority_class, JobKind kind,
                               int tasks, double cores) {
    JobSpec spec = simulator.make_job(number, kind, tasks, cores);
    spec.priority_class = priority_class;
    spec.job_class = spec.ref;  // task_start_delays() lists delays by class
    spec.estimated_duration = 6 * kSecond;
    return spec;
}

/// Returns how long a job waited for its first start; longer than the run if it never started.
Micros start_delay(const Simulator& simulator, const std::string& ref) {
    for (const auto& [job_class, wait] : simulator.task_start_delays())
        if (job_class == ref) return wait;
    return 3600 * kSecond;
}

/// Restarts a random controller at this interval.
void schedule_controller_restarts(Simulator& simulator, Micros from, Micros until, Micros interval) {
    for (Micros t = from; t < until; t += interval)
        simulator.schedule_at(t, [&simulator] {
            simulator.crash(static_cast<int>(simulator.random() % 3), 300 * kMillisecond + 2 * kSecond);
        });
}

/// A team is at its limit: its service takes 16 of 24 cores, and more high-priority jobs arrive than the rest
/// can run. Large jobs of normal priority need 6 of the 8 remaining cores at once.
TEST(Starvation, EndlessHighPriorityJobsLeaveHalfToNormalJobsAndLargestOnesStart) {
    auto simulator = settled_simulator(5, 8);
    simulator->submit(
        make_job_with_priority(*simulator, 1, PriorityClass::Production, JobKind::Service, 4, 4), 0);
    simulator->run(4 * kSecond);
    ASSERT_EQ(simulator->running_tasks("req-000001"), 4) << simulator->format_history();
    const Micros start = simulator->now();
    std::vector<std::string> high, normal, large;
    int number = 100;
    auto submit_later = [&](Micros at, std::vector<std::string>& list, PriorityClass priority_class,
                            int tasks, double cores, Micros run_time) {
        auto spec =
            make_job_with_priority(*simulator, number++, priority_class, JobKind::Array, tasks, cores);
        list.push_back(spec.ref);
        simulator->schedule_at(start + at,
                               [&simulator, spec, run_time] { simulator->submit(spec, run_time); });
    };
    for (int i = 0; i < 100; ++i)
        submit_later(i * 2500 * kMillisecond, high, PriorityClass::High, 4, 1, 6 * kSecond);
    for (int i = 0; i < 20; ++i)
        submit_later((i * 12 + 1) * kSecond, normal, PriorityClass::Normal, 1, 1, 5 * kSecond);
    for (int i = 0; i < 2; ++i)
        submit_later((5 + 30 * i) * kSecond, large, PriorityClass::Normal, 1, 6, 10 * kSecond);
    schedule_controller_restarts(*simulator, start + 10 * kSecond, start + 230 * kSecond, 45 * kSecond);
    simulator->run(260 * kSecond);
    auto done = [&](const std::vector<std::string>& refs) {
        return std::count_if(refs.begin(), refs.end(),
                             [&](const auto& ref) { return simulator->reported_stage(ref) == "done"; });
    };
    for (const auto& ref : large)
        EXPECT_LT(start_delay(*simulator, ref), 240 * kSecond) << ref << "\n" << simulator->format_history();
    EXPECT_EQ(done(large), 2);
    EXPECT_GE(done(normal), 10);
    EXPECT_GE(done(high), 50);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(Starvation, ServicePreemptsBatchWithinTheLimitOfItsTeam) {
    auto simulator = settled_simulator(6, 8);
    simulator->submit(make_job_with_priority(*simulator, 1, PriorityClass::Normal, JobKind::Array, 24, 1),
                      120 * kSecond);
    simulator->run(4 * kSecond);
    ASSERT_EQ(simulator->running_tasks("req-000001"), 24) << simulator->format_history();
    simulator->submit(
        make_job_with_priority(*simulator, 2, PriorityClass::Production, JobKind::Service, 4, 2), 0);
    simulator->run(15 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000002"), 4) << simulator->format_history();
    EXPECT_EQ(simulator->running_tasks("req-000001"), 16) << "no more tasks were preempted than needed";
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(Starvation, BatchLeavesTheReserveOfEachZoneToServicesAcrossFailover) {
    Settings settings = small_cluster_settings();
    settings.teams.front().guarantee.cores = settings.teams.front().limit.cores = 100'000;
    settings.operators.policy.emplace();
    settings.operators.policy->revision = 1;
    settings.operators.policy->priority.live_reserve = 0.5;
    Simulator simulator(7, settings);
    for (int i = 0; i < 4; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes();
    simulator.run(8 * kSecond);
    simulator.submit(make_job_with_priority(simulator, 1, PriorityClass::Normal, JobKind::Array, 40, 1),
                     300 * kSecond);
    simulator.run(8 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000001"), 16) << simulator.format_history();
    ASSERT_GE(simulator.owner_node(), 0);
    simulator.crash(simulator.owner_node(), 3 * kSecond);
    simulator.submit(make_job_with_priority(simulator, 2, PriorityClass::Production, JobKind::Service, 8, 1),
                     0);
    simulator.submit(make_job_with_priority(simulator, 3, PriorityClass::Normal, JobKind::Array, 1, 2),
                     20 * kSecond);
    simulator.run(12 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000002"), 8) << simulator.format_history();
    EXPECT_EQ(simulator.task_starts("req-000001"), 16) << "no task had to be preempted";
    EXPECT_EQ(simulator.task_starts("req-000003"), 0) << simulator.format_history();
    simulator.run(130 * kSecond);
    EXPECT_EQ(simulator.task_starts("req-000003"), 1)
        << "a job that has waited for too long may use the reserve\n"
        << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

/// The capacity of a job that started because it was overdue isn't taken back for another team's guarantee.
/// Otherwise the job would become overdue again and get the same capacity first, and neither job would run.
TEST(Starvation, OverdueJobThatStartedIsNotPreemptedForAGuarantee) {
    auto simulator = settled_simulator(9, 2);
    simulator->cloud().capacity = 0;
    int number = 100;
    auto submit_later = [&](Micros at, const std::string& team, PriorityClass priority_class, JobKind kind,
                            int tasks, double cores, Micros run_time) {
        JobSpec spec = make_job_with_priority(*simulator, number++, priority_class, kind, tasks, cores);
        spec.team = team;
        if (kind == JobKind::Service) spec.zone = "a";  // one of the two machines
        simulator->schedule_at(simulator->now() + at,
                               [&simulator, spec, run_time] { simulator->submit(spec, run_time); });
    };
    submit_later(0, "red", PriorityClass::Production, JobKind::Service, 8, 1, 0);  // takes red's guarantee
    for (int i = 0; i < 100; ++i)
        submit_later((1 + 2 * i) * kSecond, "red", PriorityClass::Normal, JobKind::Array, 1, 4, 7 * kSecond);
    for (int i = 0; i < 40; ++i)
        submit_later((40 + 6 * i) * kSecond, "blue", PriorityClass::Normal, JobKind::Array, 1, 4,
                     5 * kSecond);
    // The job that is overdue longest. Until then its remaining run time puts it last in the queue.
    JobSpec large = make_job_with_priority(*simulator, 1, PriorityClass::Normal, JobKind::Array, 1, 4);
    large.estimated_duration = 900 * kSecond;
    simulator->schedule_at(simulator->now() + 20 * kSecond, [&] { simulator->submit(large, 40 * kSecond); });
    simulator->run(280 * kSecond);
    EXPECT_EQ(simulator->reported_stage(large.ref), "done") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts(large.ref), 1) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
