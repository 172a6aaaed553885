// Autoscaling for a team without a guarantee or a limit whose jobs need mainly GPUs, also while a controller
// fails and while the state service is slow.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kMachines = 6;

Settings gpu_settings() {
    Settings settings = small_cluster_settings();
    settings.teams = {{"captions", {}, {kNoLimit, kNoLimit, 0}}};
    settings.cpu_cores = 0.005;  // spreads the machines over several shards
    return settings;
}

MachineType gpu_type() {
    return {"gpu", {16'000, 2'000, 128'000}, 80'000, 1.0, 6.0, 3.0, 15 * kSecond, {"a", "b"}};
}

/// Returns a simulator with six machines of two GPUs each and three controllers, after startup. The cloud can
/// rent out up to `capacity` machines.
std::unique_ptr<Simulator> gpu_simulator(std::uint64_t seed, int capacity) {
    auto simulator = std::make_unique<Simulator>(seed, gpu_settings(), std::vector<MachineType>{gpu_type()});
    for (int i = 0; i < kMachines; ++i) simulator->add_machine("gpu", i % 2 ? "b" : "a");
    simulator->cloud().capacity = capacity;
    simulator->start_nodes();
    simulator->run(8 * kSecond);
    return simulator;
}

JobSpec gpu_job(Simulator& simulator, int number, JobKind kind, int tasks, PriorityClass rank) {
    JobSpec job = simulator.make_job(number, kind, tasks, 5);
    job.team = "captions";
    job.request = {5'000, 1'000, 38'000};
    job.priority_class = rank;
    job.spot = kind == JobKind::Array;
    return job;
}

std::size_t machine_count(Simulator& simulator) {
    return simulator.machine_names().size();
}

/// Submits two services that need 16 GPUs together, and a gang that needs two whole machines; there are 12
/// GPUs.
void submit_more_than_fits(Simulator& simulator) {
    simulator.submit(gpu_job(simulator, 1, JobKind::Service, 8, PriorityClass::Production), 0);
    simulator.submit(gpu_job(simulator, 2, JobKind::Service, 8, PriorityClass::Production), 0);
    JobSpec gang = gpu_job(simulator, 3, JobKind::Gang, 2, PriorityClass::High);
    gang.request = {14'000, 2'000, 100'000};
    simulator.submit(gang, 20 * kSecond);
}

void expect_all_jobs_run(Simulator& simulator) {
    EXPECT_EQ(simulator.running_tasks("req-000001"), 8) << simulator.format_history();
    EXPECT_EQ(simulator.running_tasks("req-000002"), 8) << simulator.format_history();
    EXPECT_EQ(simulator.reported_stage("req-000003"), "done") << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

TEST(Autoscaling, RentsForATeamWithoutGuaranteeAndLimitWhenGpusRunOut) {
    auto simulator = gpu_simulator(71, 40);
    submit_more_than_fits(*simulator);
    simulator->run(90 * kSecond);
    EXPECT_GT(machine_count(*simulator), static_cast<std::size_t>(kMachines)) << simulator->format_history();
    EXPECT_LT(machine_count(*simulator), 20U) << "rents more than the waiting tasks need\n"
                                              << simulator->format_history();
    expect_all_jobs_run(*simulator);
}

TEST(Autoscaling, RentsNothingForBestEffortWorkOfATeamWithoutAGuarantee) {
    auto simulator = gpu_simulator(72, 40);
    simulator->submit(gpu_job(*simulator, 1, JobKind::Array, 60, PriorityClass::Low), 20 * kSecond);
    simulator->run(60 * kSecond);
    EXPECT_EQ(simulator->cloud().rentals().size(), 0U) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(Autoscaling, RentsNoMachineTwiceWhenTheLeaderFailsWhileMachinesBoot) {
    auto simulator = gpu_simulator(73, 40);
    submit_more_than_fits(*simulator);
    for (int i = 0; i < 100 && simulator->cloud().rentals().empty(); ++i) simulator->run(200 * kMillisecond);
    ASSERT_FALSE(simulator->cloud().rentals().empty()) << simulator->format_history();
    simulator->crash(simulator->leader_node(), 3 * kSecond);
    simulator->run(100 * kSecond);
    EXPECT_LT(machine_count(*simulator), 24U) << "the new leader rented machines that were rented already\n"
                                              << simulator->format_history();
    expect_all_jobs_run(*simulator);
}

TEST(Autoscaling, RunsAllJobsWhileTheStateServiceIsSlow) {
    auto simulator = gpu_simulator(74, 40);
    simulator->max_state_answer_delay = 800 * kMillisecond;
    submit_more_than_fits(*simulator);
    simulator->run(120 * kSecond);
    expect_all_jobs_run(*simulator);
}

TEST(Autoscaling, ReturnsNoMachineThatWaitingTasksFitOn) {
    auto simulator = gpu_simulator(75, 0);
    simulator->settings.operators.idle_return_delay = 5 * kSecond;
    for (int i = 1; i <= 8; ++i)
        simulator->submit(gpu_job(*simulator, i, JobKind::Array, 12, PriorityClass::Normal), 15 * kSecond);
    simulator->run(60 * kSecond);
    EXPECT_EQ(machine_count(*simulator), static_cast<std::size_t>(kMachines)) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Machines whose GPUs are all taken have free cores left, which must not count as free capacity for jobs
/// that need GPUs.
TEST(Autoscaling, TransfersNoJobsToShardsWithoutFreeGpus) {
    auto simulator = gpu_simulator(76, 0);
    for (int i = 1; i <= 12; ++i)
        simulator->submit(gpu_job(*simulator, i, JobKind::Service, 2, PriorityClass::Production), 0);
    simulator->run(40 * kSecond);
    int job_transfers = 0;
    for (int i = 0; i < simulator->node_count(); ++i) {
        const auto& sent = simulator->node(i)->store().sent_writes();
        if (auto it = sent.find("rehome"); it != sent.end()) job_transfers += static_cast<int>(it->second);
    }
    EXPECT_LE(job_transfers, 24) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
