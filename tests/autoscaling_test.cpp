// Machines rented for a team without a guarantee and a limit, whose work is bound by GPUs, while controllers
// end and the state service is slow.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kMachines = 6;

Settings gpu_site() {
    Settings s = small_cluster_settings();
    s.teams = {{"captions", {}, {kNoLimit, kNoLimit, 0}}};
    s.cpu_share = 0.005;  // several shards
    return s;
}

MachineType gpu_type() {
    return {"gpu", {16'000, 2'000, 128'000}, 80'000, 1.0, 6.0, 3.0, 15 * kSecond, {"a", "b"}};
}

/// Six machines with two GPUs each, three controllers, settled.
std::unique_ptr<Simulator> gpu_world(std::uint64_t seed, int capacity) {
    auto w = std::make_unique<Simulator>(seed, gpu_site(), std::vector<MachineType>{gpu_type()});
    for (int i = 0; i < kMachines; ++i) w->add_machine("gpu", i % 2 ? "b" : "a");
    w->cloud().capacity = capacity;
    w->start_nodes();
    w->run(8 * kSecond);
    return w;
}

JobSpec gpu_job(Simulator& w, int number, JobKind kind, int tasks, PriorityClass rank) {
    JobSpec job = w.make_job(number, kind, tasks, 5);
    job.team = "captions";
    job.request = {5'000, 1'000, 38'000};
    job.rank = rank;
    job.spot = kind == JobKind::Array;
    return job;
}

std::size_t machines(Simulator& w) {
    return w.machine_names().size();
}

/// Twelve GPUs; the services ask for sixteen, a gang for two whole machines.
void submit_more_than_fits(Simulator& w) {
    w.submit(gpu_job(w, 1, JobKind::Service, 8, PriorityClass::Production), 0);
    w.submit(gpu_job(w, 2, JobKind::Service, 8, PriorityClass::Production), 0);
    JobSpec gang = gpu_job(w, 3, JobKind::Gang, 2, PriorityClass::High);
    gang.request = {14'000, 2'000, 100'000};
    w.submit(gang, 20 * kSecond);
}

void expect_all_run(Simulator& w) {
    EXPECT_EQ(w.running_tasks("req-000001"), 8) << w.format_history();
    EXPECT_EQ(w.running_tasks("req-000002"), 8) << w.format_history();
    EXPECT_EQ(w.reported_stage("req-000003"), "done") << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

TEST(Autoscaling, RentsForATeamWithoutGuaranteeAndLimitWhenGpusRunOut) {
    auto w = gpu_world(71, 40);
    submit_more_than_fits(*w);
    w->run(90 * kSecond);
    EXPECT_GT(machines(*w), static_cast<std::size_t>(kMachines)) << w->format_history();
    EXPECT_LT(machines(*w), 20U) << "bounded by what waits\n" << w->format_history();
    expect_all_run(*w);
}

TEST(Autoscaling, RentsNothingForBestEffortWorkOfATeamWithoutAGuarantee) {
    auto w = gpu_world(72, 40);
    w->submit(gpu_job(*w, 1, JobKind::Array, 60, PriorityClass::Low), 20 * kSecond);
    w->run(60 * kSecond);
    EXPECT_EQ(w->cloud().rentals().size(), 0U) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Autoscaling, GoesOnWhenTheLeaderEndsWhileMachinesBoot) {
    auto w = gpu_world(73, 40);
    submit_more_than_fits(*w);
    for (int i = 0; i < 100 && w->cloud().rentals().empty(); ++i) w->run(200 * kMillisecond);
    ASSERT_FALSE(w->cloud().rentals().empty()) << w->format_history();
    w->crash(w->leader_node(), 3 * kSecond);
    w->run(100 * kSecond);
    EXPECT_LT(machines(*w), 24U) << "not rented once more\n" << w->format_history();
    expect_all_run(*w);
}

TEST(Autoscaling, GoesOnWhileTheStateServiceIsSlow) {
    auto w = gpu_world(74, 40);
    w->max_state_answer_delay = 800 * kMillisecond;
    submit_more_than_fits(*w);
    w->run(120 * kSecond);
    expect_all_run(*w);
}

TEST(Autoscaling, ReturnsNoMachineWhileWaitingWorkFitsIt) {
    auto w = gpu_world(75, 0);
    w->settings.ops.idle_return = 5 * kSecond;
    for (int i = 1; i <= 8; ++i)
        w->submit(gpu_job(*w, i, JobKind::Array, 12, PriorityClass::Normal), 15 * kSecond);
    w->run(60 * kSecond);
    EXPECT_EQ(machines(*w), static_cast<std::size_t>(kMachines)) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

/// Cores are left on machines whose GPUs are all taken: no other controller takes them for room.
TEST(Autoscaling, JobsDoNotMoveToControllersWhoseGpusAreTaken) {
    auto w = gpu_world(76, 0);
    for (int i = 1; i <= 12; ++i)
        w->submit(gpu_job(*w, i, JobKind::Service, 2, PriorityClass::Production), 0);
    w->run(40 * kSecond);
    int moves = 0;
    for (int i = 0; i < w->node_count(); ++i) {
        const auto& sent = w->node(i)->store().sent();
        if (auto it = sent.find("rehome"); it != sent.end()) moves += static_cast<int>(it->second);
    }
    EXPECT_LE(moves, 24) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

}  // namespace
}  // namespace cottonway::test
