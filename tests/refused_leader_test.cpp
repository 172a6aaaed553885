// The state service answers slowly, or refuses requests of the leader alone and then of every controller for
// longer than `cancel_s`, while users cancel and poll jobs: jobs that others depend on, partly started gangs,
// jobs that are being admitted, and jobs that end at that moment.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kLongJob = 10, kServiceJob = 11, kGangJob = 12, kNeededJob = 13, kDependentJob = 14,
              kEndingJob = 15, kAdmittedJob = 16;

std::string ref(int number) {
    return "req-0000" + std::to_string(number);
}

/// One case. Times are relative to the moment at which the state service starts to refuse the leader.
struct Case {
    const char* name;
    Micros cancelled_at;          // when users cancel the jobs
    Micros outage_at = kSecond;   // when the service goes down for every controller
    Micros answer_delay = 0;      // the delay of its answers, from two seconds before the moment on
    Micros hang_time = 0;         // for how long half the machines of the cancelled jobs hang
    bool through_leader = false;  // users can reach the leader only
};

void PrintTo(const Case& test_case, std::ostream* out) {
    *out << test_case.name;
}

const std::vector<Case> kCases{
    {"cancel just before", -30 * kMillisecond},
    {"cancel just before, slow answers", -600 * kMillisecond, kSecond, 900 * kMillisecond},
    {"cancel at the refusal", 0},
    {"cancel at the refusal, hung machines", 0, kSecond, 0, 20 * kSecond},
    {"cancel at the refusal, through the leader", 0, kSecond, 0, 0, true},
    {"cancel between refusal and outage", 500 * kMillisecond},
    {"cancel between refusal and outage, slow answers", 500 * kMillisecond, 3 * kSecond, 900 * kMillisecond,
     8 * kSecond},
    {"cancel just before the outage", 990 * kMillisecond},
    {"cancel during the outage", 10 * kSecond},
    {"cancel with a new leader", 8 * kSecond, 9 * kSecond},
    {"cancel with a new leader that is still reading, slow answers", 6 * kSecond, 7 * kSecond,
     500 * kMillisecond},
};

class RefusedLeader : public testing::TestWithParam<Case> {};

TEST_P(RefusedLeader, CancelledJobsEndInTimeAndNoJobIsLost) {
    const Case& test_case = GetParam();
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        Settings settings = small_cluster_settings();
        if (seed == 2) settings.cpu_cores = 0.001;  // spreads the machines over several shards
        auto simulator = settled_simulator(seed, 5, settings);
        const int leader = simulator->leader_node();
        simulator->poll_frequency_factor = 4;
        simulator->submit(simulator->make_job(kLongJob, JobKind::Array, 4), 90 * kSecond);
        simulator->submit(simulator->make_job(kServiceJob, JobKind::Service, 3), 0);
        simulator->submit(simulator->make_job(kNeededJob, JobKind::Array, 2), 60 * kSecond);
        simulator->run(kSecond);
        JobSpec dependent = simulator->make_job(kDependentJob, JobKind::Array, 2);
        dependent.dependencies = {ref(kNeededJob)};
        simulator->submit(dependent, 2 * kSecond);
        simulator->run(2 * kSecond);
        const Micros refused_at = simulator->now() + 4 * kSecond;
        simulator->schedule_at(refused_at - 2 * kSecond,
                               [&] { simulator->max_state_answer_delay = test_case.answer_delay; });
        // Tasks that end, tasks that start and admissions that are in flight at that moment.
        simulator->schedule_at(refused_at - 3 * kSecond, [&] {
            simulator->submit(simulator->make_job(kEndingJob, JobKind::Array, 3), 2700 * kMillisecond, 0);
        });
        simulator->schedule_at(refused_at - 300 * kMillisecond, [&] {
            JobSpec gang = simulator->make_job(kGangJob, JobKind::Gang, 3, 2);
            simulator->submit(gang, 60 * kSecond, kSecond);
        });
        simulator->schedule_at(refused_at - 10 * kMillisecond, [&] {
            simulator->submit(simulator->make_job(kAdmittedJob, JobKind::Array, 2), 5 * kSecond);
        });
        simulator->schedule_at(refused_at, [&] { simulator->refuse_state_requests(leader, true); });
        simulator->schedule_at(refused_at + test_case.outage_at,
                               [&] { simulator->state().set_down(true, simulator->now()); });
        simulator->schedule_at(refused_at + test_case.cancelled_at, [&] {
            for (int i = 0; test_case.through_leader && i < 3; ++i)
                if (i != leader) simulator->cut_link("users", host(i));
            int machine_number = 0;
            for (const int job : {kLongJob, kServiceJob, kGangJob, kNeededJob, kEndingJob, kAdmittedJob}) {
                if (test_case.hang_time > 0)
                    for (const auto& m : simulator->machines_running(ref(job))) {
                        if (++machine_number % 2) continue;
                        simulator->set_hung(m, true);
                        simulator->schedule_at(simulator->now() + test_case.hang_time,
                                               [&, m] { simulator->set_hung(m, false); });
                    }
                simulator->cancel(ref(job));
            }
        });
        simulator->run(4 * kSecond + test_case.outage_at + simulator->settings.cancel_deadline +
                       15 * kSecond);
        simulator->state().set_down(false, simulator->now());
        simulator->refuse_state_requests(leader, false);
        simulator->heal_all_links();
        simulator->max_state_answer_delay = 0;
        simulator->run(5 * kSecond);
        simulator->submit(simulator->make_job(20, JobKind::Array, 8), 3 * kSecond);
        simulator->run(simulator->settings.cancel_deadline + 40 * kSecond);
        EXPECT_NO_VIOLATIONS(*simulator);
        for (const auto& job : simulator->job_refs()) {
            EXPECT_TRUE(simulator->reported_stage(job) == "done" ||
                        simulator->reported_stage(job) == "cancelled")
                << job << " is " << simulator->reported_stage(job) << ", seed " << seed << "\n"
                << simulator->format_history();
            EXPECT_EQ(simulator->running_tasks(job), 0) << job;
        }
        EXPECT_EQ(simulator->reported_stage(ref(kLongJob)), "cancelled");
        EXPECT_EQ(simulator->reported_stage(ref(kDependentJob)), "cancelled")
            << "it must be cancelled with the job that it depends on";
        EXPECT_EQ(simulator->reported_stage(ref(20)), "done") << "the freed capacity must be used again\n"
                                                              << simulator->format_history();
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, RefusedLeader, testing::ValuesIn(kCases), [](const auto& param_info) {
    std::string name = param_info.param.name;
    std::erase_if(name, [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); });
    return name;
});

}  // namespace
}  // namespace cottonway::test
