// Many small jobs, and more work than the machines can hold: at a tenth of the size of
// examples/lab/one-task-jobs.toml and more-than-room.toml, with the same budget of store writes per job,
// which the simulated state service enforces.

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr double kWriteRps = 25;

std::uint64_t writes_sent(Simulator& simulator) {
    std::uint64_t writes = 0;
    for (int i = 0; i < simulator.node_count(); ++i)
        if (simulator.node(i))
            for (const auto& [purpose, sent] : simulator.node(i)->store().sent_writes()) writes += sent;
    return writes;
}

/// Submits one-task jobs of 8 s for a minute and cancels a quarter of them. Parameters: jobs submitted a
/// second, and whether the busiest controller crashes meanwhile.
class OneTaskJobs : public testing::TestWithParam<std::tuple<double, bool>> {};

TEST_P(OneTaskJobs, AreAnsweredRunAndLeaveNoBacklog) {
    const auto [jobs_per_second, has_crash] = GetParam();
    Settings settings = small_cluster_settings();
    settings.teams = {{"red", {288'000, 0, 0}, {kNoLimit, kNoLimit, 0}}};
    settings.cpu_cores = 0.02;  // so little that there are several shards
    settings.state_write_rps = settings.next_write_rps = kWriteRps;
    Simulator simulator(7, settings,
                        {{"wren", {4'000, 0, 32'000}, 50'000, 1, 1, 1, 10 * kSecond, {"a", "b"}}});
    for (int i = 0; i < 72; ++i) simulator.add_machine("wren", i % 2 ? "a" : "b");
    simulator.cloud().capacity = 200;
    simulator.start_nodes(5);
    simulator.state().limits.write_rps = kWriteRps;
    simulator.run(10 * kSecond);
    const Micros start = simulator.now();
    const auto writes_before = writes_sent(simulator);
    std::map<std::string, Micros> submitted_at;
    std::vector<int> waiting_jobs;  // sampled every ten seconds
    const int job_count = static_cast<int>(jobs_per_second * 60);
    for (int i = 0; i < job_count; ++i)
        simulator.schedule_at(start + static_cast<Micros>(i / jobs_per_second * 1e6), [&, i] {
            JobSpec job = simulator.make_job(i + 1, JobKind::Array, 1, 4);
            job.estimated_duration = 8 * kSecond;
            submitted_at[job.ref] = simulator.now();
            simulator.submit(job, 8 * kSecond);
            if (i % 4 == 0)
                simulator.schedule_at(
                    simulator.now() + static_cast<Micros>(simulator.random() % 8'000) * kMillisecond,
                    [&simulator, ref = job.ref] { simulator.cancel(ref); });
        });
    if (has_crash)
        simulator.schedule_at(start + 25 * kSecond,
                              [&simulator] { simulator.crash(simulator.busiest_node(), 3 * kSecond); });
    for (int i = 1; i <= 6; ++i)
        simulator.schedule_at(start + i * 10 * kSecond, [&] {
            const auto outcomes = simulator.job_outcomes();
            waiting_jobs.push_back(static_cast<int>(
                std::count_if(outcomes.begin(), outcomes.end(), [](const JobOutcome& outcome) {
                    return outcome.first_started_at < 0 && !outcome.excluded;
                })));
        });
    simulator.run(61 * kSecond);
    const double writes_per_job = static_cast<double>(writes_sent(simulator) - writes_before) / job_count;
    simulator.mark_faults_over();
    simulator.run(40 * kSecond);
    EXPECT_TRUE(simulator.violations.empty()) << simulator.violations.front() << simulator.format_history();
    Micros max_accept_delay = 0, max_start_delay = 0;
    for (const JobOutcome& outcome : simulator.job_outcomes()) {
        max_accept_delay =
            std::max(max_accept_delay, outcome.accepted_at - submitted_at.at(outcome.spec.ref));
        if (outcome.excluded) continue;
        EXPECT_GE(outcome.completed_at, 0) << outcome.spec.ref;
        max_start_delay = std::max(max_start_delay, outcome.first_started_at - outcome.accepted_at);
    }
    EXPECT_EQ(simulator.job_outcomes().size(), static_cast<std::size_t>(job_count));
    EXPECT_LT(max_accept_delay, 5 * kSecond);
    EXPECT_LT(max_start_delay, 9 * kSecond);
    EXPECT_LT(writes_per_job * jobs_per_second, kWriteRps);
    EXPECT_LE(waiting_jobs.back(), waiting_jobs[2]);  // the backlog does not grow
    std::string backlog;
    for (const int count : waiting_jobs) backlog += " " + std::to_string(count);
    std::printf(
        "%.1f jobs a second%s: %.2f writes a job, accepted within %.1f s, started within %.1f s, waiting%s\n",
        jobs_per_second, has_crash ? ", a crash" : "", writes_per_job,
        static_cast<double>(max_accept_delay) / 1e6, static_cast<double>(max_start_delay) / 1e6,
        backlog.c_str());
    for (int i = 0; i < simulator.node_count(); ++i)
        if (simulator.node(i) && std::getenv("WORLD_CHANGES"))
            for (const auto& [purpose, writes] : simulator.node(i)->store().sent_writes())
                std::printf("  loom-%d %s %d\n", i, purpose.c_str(), static_cast<int>(writes));
}

INSTANTIATE_TEST_SUITE_P(Rates, OneTaskJobs, testing::Combine(testing::Values(4.0, 6.0), testing::Bool()));

/// Two teams submit one and a half times the work that the machines can hold, urgent and not, for 200 s.
/// Messages take up to 0.15 s, and the leader crashes halfway.
TEST(Overload, NoJobStarvesAndHalfOfEachClassIsServed) {
    Settings settings = small_cluster_settings();
    settings.teams = {{"red", {32'000, 0, 0}, {kNoLimit, kNoLimit, 0}},
                      {"blue", {32'000, 0, 0}, {48'000, 0, 0}}};
    settings.cpu_cores = 0.02;
    settings.state_write_rps = settings.next_write_rps = kWriteRps;
    Simulator simulator(3, settings);
    simulator.max_extra_link_delay = 150 * kMillisecond;
    for (int i = 0; i < 8; ++i) simulator.add_machine("small", i % 2 ? "a" : "b");
    simulator.start_nodes(3);
    simulator.state().limits.write_rps = kWriteRps;
    simulator.run(10 * kSecond);
    struct JobClass {
        const char* name;
        PriorityClass rank;
        int tasks;
        double cores;
        Micros run_time, interval;
    };
    const Micros start = simulator.now(), duration = 200 * kSecond;
    int number = 0;
    for (const JobClass& job_class :
         {JobClass{"urgent", PriorityClass::High, 2, 2, 8 * kSecond, kSecond},
          JobClass{"batch", PriorityClass::Normal, 4, 2, 10 * kSecond, 2 * kSecond},
          JobClass{"large", PriorityClass::Normal, 12, 2, 10 * kSecond, 15 * kSecond},
          JobClass{"idle", PriorityClass::Low, 6, 1, 6 * kSecond, 6 * kSecond}})
        for (Micros offset = 0; offset < duration; offset += job_class.interval)
            simulator.schedule_at(start + offset, [&simulator, job_class, job_number = ++number] {
                JobSpec job =
                    simulator.make_job(job_number, JobKind::Array, job_class.tasks, job_class.cores);
                job.job_class = job_class.name;
                job.team = job_number % 2 ? "red" : "blue";
                job.priority_class = job_class.rank;
                job.estimated_duration = job_class.run_time;
                simulator.submit(job, job_class.run_time);
            });
    simulator.schedule_at(start + 100 * kSecond,
                          [&simulator] { simulator.crash(simulator.leader_node(), 2 * kSecond); });
    simulator.run(duration);
    simulator.mark_faults_over();
    simulator.run(270 * kSecond);
    EXPECT_TRUE(simulator.violations.empty()) << simulator.violations.front() << simulator.format_history();
    const AcceptanceResult acceptance =
        evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams, simulator.now());
    for (const auto& line : acceptance.violations) ADD_FAILURE() << line;
    for (const char* name : {"urgent", "batch", "large", "idle"})
        std::printf("%s: %d of %d served, the largest jobs waited up to %.1f s\n", name,
                    acceptance.served_by_class.at(name).served, acceptance.served_by_class.at(name).due,
                    static_cast<double>(acceptance.longest_wait_of_largest.at(name)) / 1e6);
}

}  // namespace
}  // namespace cottonway::test
