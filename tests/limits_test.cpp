// Jobs are cancelled while every team is at its limit, the jobs' machines are unreachable, and a controller
// fails. No team may exceed its limit, and the resources that a cancellation frees have to be used again. The
// simulator counts every task that may still run, also on a machine that hangs or is cut off. Every sixth of
// all combinations is run; with WORLD_ALL=1, all of them.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kMaxReuseDelay = 90 * kSecond;

Settings cluster_settings(bool has_several_shards) {
    Settings settings = small_cluster_settings();
    if (has_several_shards) settings.cpu_cores = 0.001;
    settings.operators.idle_return_delay = 600 * kSecond;
    return settings;
}

/// Returns the cores that the team's jobs use that are not cancelled.
Milli cores_in_use(const Simulator& simulator, const std::map<std::string, JobSpec>& jobs,
                   const std::string& team) {
    Milli cores = 0;
    for (const auto& [ref, spec] : jobs)
        if (spec.team == team && simulator.reported_stage(ref) != "cancelled")
            cores += simulator.running_tasks(ref) * spec.request.cores;
    return cores;
}

/// Submits twice the work that the limits of both teams allow: arrays, gangs and services with tasks of one
/// core.
std::map<std::string, JobSpec> submit_twice_the_limits(Simulator& simulator) {
    std::map<std::string, JobSpec> jobs;
    int number = 1;
    for (const char* team : {"red", "blue"})
        for (int i = 0; i < 10; ++i) {
            const bool is_red = team == std::string("red");
            const JobKind kind = i % 5 == 3 ? JobKind::Gang : i % 5 == 4 ? JobKind::Service : JobKind::Array;
            JobSpec spec = simulator.make_job(number++, kind, kind != JobKind::Array ? 2 : is_red ? 7 : 4);
            spec.team = team;
            if (i % 2) spec.checkpoint_interval = 5 * kSecond, spec.save_duration = kSecond;
            simulator.submit(spec, 400 * kSecond);
            jobs[spec.ref] = spec;
        }
    return jobs;
}

/// A fault that makes machines unreachable, and how long it lasts.
struct MachineFault {
    const char* kind;
    Micros duration;
};
const MachineFault kMachineFaults[] = {{"cut", 6 * kSecond},   {"cut", 25 * kSecond},
                                       {"hang", 6 * kSecond},  {"hang", 25 * kSecond},
                                       {"deaf", 25 * kSecond}, {"mute", 25 * kSecond}};
const char* const kControllerFaults[] = {"none",    "ends",    "ends for long",
                                         "cut off", "refused", "stands still"};

void set_machine_fault(Simulator& simulator, const MachineFault& fault, const std::set<std::string>& machines,
                       bool on) {
    for (const auto& machine : machines) {
        const std::string kind = fault.kind;
        if (kind == "hang") simulator.set_hung(machine, on);
        if (kind == "deaf") simulator.block_messages_to(machine, on);
        if (kind == "mute") simulator.block_reports_from(machine, on);
        for (int i = 0; kind == "cut" && i < simulator.node_count(); ++i)
            on ? simulator.cut_link(host(i), machine) : simulator.heal_link(host(i), machine);
    }
}

void start_controller_fault(Simulator& simulator, const std::string& kind, int node, Micros duration) {
    if (kind == "ends") simulator.crash(node, 300 * kMillisecond);
    if (kind == "ends for long") simulator.crash(node, duration);
    if (kind == "stands still") simulator.freeze_process(node, duration);
    if (kind == "cut off") {
        simulator.isolate_controller(node, true);
        simulator.schedule_at(simulator.now() + duration,
                              [&simulator, node] { simulator.isolate_controller(node, false); });
    }
    if (kind == "refused") {
        simulator.refuse_state_requests(node, true);
        simulator.schedule_at(simulator.now() + duration,
                              [&simulator, node] { simulator.refuse_state_requests(node, false); });
    }
}

/// Returns whether a job waits although its team's limit allows one more of its tasks, or all of a gang.
bool has_startable_job(const Simulator& simulator, const std::map<std::string, JobSpec>& jobs) {
    return std::any_of(jobs.begin(), jobs.end(), [&](const auto& entry) {
        const auto& [ref, spec] = entry;
        const int missing = spec.tasks - simulator.running_tasks(ref);
        const Milli tasks_at_once = spec.kind == JobKind::Gang ? spec.tasks : 1;
        return simulator.reported_stage(ref) != "cancelled" && missing > 0 &&
               cores_in_use(simulator, jobs, spec.team) + spec.request.cores * tasks_at_once <=
                   (spec.team == "red" ? 24'000 : 16'000);
    });
}

/// Runs until no job waits that its team's limit allows to start, for `max_duration` at most. Returns how
/// long that took.
Micros run_until_limits_are_used(Simulator& simulator, const std::map<std::string, JobSpec>& jobs,
                                 Micros max_duration) {
    const Micros start = simulator.now();
    while (simulator.now() - start < max_duration && has_startable_job(simulator, jobs))
        simulator.run(500 * kMillisecond);
    return simulator.now() - start;
}

TEST(TeamLimitShares, RemaindersOfSeveralShardsAreUsedTogether) {
    // Three shards have a share of 8 cores each. The unused parts of their shares hold a waiting job of 5
    // cores only together. A job of 10 cores, which is too large for all of them, must not hold any part
    // back.
    for (const int largest_job_cores : {5, 10}) {
        auto simulator =
            settled_simulator(static_cast<std::uint64_t>(largest_job_cores), 9, cluster_settings(true));
        for (int i = 1; i <= 9; ++i) {
            JobSpec spec = simulator->make_job(i, JobKind::Gang, i == 7 ? largest_job_cores / 5 : 1, 5);
            simulator->submit(spec, 400 * kSecond);  // all at once, so that some wait in each shard
        }
        simulator->run(20 * kSecond);
        int running = 0;
        for (const auto& ref : simulator->job_refs()) running += simulator->running_tasks(ref);
        EXPECT_EQ(running, 4) << "jobs of 5 cores, within a limit of 24\n" << simulator->format_history();
        const auto sum_of_share_revisions = [&] {
            Revision sum = 0;
            for (int i = 0; i < 3; ++i)
                sum += *wire::count(
                    simulator->state().handle("GET", "/store/c/share/" + host(i), {}, simulator->now()).body,
                    "mark");
            return sum;
        };
        const Revision before = sum_of_share_revisions();
        simulator->run(20 * kSecond);
        EXPECT_EQ(sum_of_share_revisions(), before) << "shares move back and forth\n"
                                                    << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

TEST(TeamLimitShares, JobWithoutAMachineKeepsNoShareFromJobsThatFit) {
    auto simulator = settled_simulator(3, 6, cluster_settings(true));  // two machines of 8 cores a shard
    const auto submit = [&](int number, const char* team, int tasks) {
        JobSpec spec = simulator->make_job(number, JobKind::Array, tasks);
        spec.team = team;
        simulator->submit(spec, 400 * kSecond);
        simulator->run(6 * kSecond);
        return spec.ref;
    };
    const std::string first = submit(1, "red", 14), other = submit(2, "red", 16);
    submit(3, "guests", 16);  // so that no shard has idle machines to give
    ASSERT_EQ(simulator->running_tasks(first), 14) << simulator->format_history();
    ASSERT_EQ(simulator->running_tasks(other), 10) << "the whole limit is in use\n"
                                                   << simulator->format_history();
    simulator->kill_machine(*simulator->machines_running(first).begin());
    simulator->run(30 * kSecond);  // until then its tasks are in doubt
    const int still_running = simulator->running_tasks(first);
    ASSERT_LT(still_running, 14);
    simulator->run(60 * kSecond);
    EXPECT_EQ(simulator->running_tasks(other), std::min(16, 24 - still_running))
        << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

class TeamsAtTheirLimit : public testing::TestWithParam<int> {};

TEST_P(TeamsAtTheirLimit, LimitsHoldAndFreedCoresAreUsedAgain) {
    // Each test combines one machine fault with every kind of controller fault. The controller that fails is
    // the leader or the busiest one.
    const MachineFault& machine_fault = kMachineFaults[GetParam() % 6];
    const bool has_several_shards = GetParam() < 6;
    int number = 0;
    for (const std::string controller_fault : kControllerFaults)
        for (const Micros cancellation_delay : {-400 * kMillisecond, 600 * kMillisecond, 3 * kSecond}) {
            if ((++number + GetParam()) % 6 > 0 && !std::getenv("WORLD_ALL")) continue;
            auto simulator = settled_simulator(static_cast<std::uint64_t>(100 * GetParam() + number), 12,
                                               cluster_settings(has_several_shards));
            if (number % 2) simulator->delay_next_write("c/share/", number % 4 == 1 ? 6 * kSecond : 0);
            auto jobs = submit_twice_the_limits(*simulator);
            const Micros fill_duration = number % 3 ? 60 * kSecond : kSecond;
            if (run_until_limits_are_used(*simulator, jobs, fill_duration) >= fill_duration) {
                ASSERT_EQ(number % 3, 0) << simulator->format_history();
            }
            // With one second only, the faults come while shares are still being transferred.
            simulator->run(1500 * kMillisecond);
            std::vector<std::string> cancelled;
            std::set<std::string> machines;
            int running_jobs = 0;
            for (const auto& [ref, spec] : jobs)
                if (simulator->running_tasks(ref) > 0 && ++running_jobs % 2) {  // every other job
                    cancelled.push_back(ref);
                    for (const auto& machine : simulator->machines_running(ref))
                        if (machines.size() < 5) machines.insert(machine);
                }
            const Micros fault_start = simulator->now() + 500 * kMillisecond;
            const int node = number % 2 ? simulator->leader_node() : simulator->busiest_node();
            simulator->schedule_at(fault_start - 100 * kMillisecond,
                                   [&] { set_machine_fault(*simulator, machine_fault, machines, true); });
            simulator->schedule_at(fault_start, [&] {
                start_controller_fault(*simulator, controller_fault, node, 20 * kSecond);
            });
            simulator->schedule_at(fault_start + cancellation_delay, [&] {
                for (const auto& ref : cancelled) simulator->cancel(ref);
            });
            simulator->schedule_at(fault_start + machine_fault.duration,
                                   [&] { set_machine_fault(*simulator, machine_fault, machines, false); });
            simulator->run(500 * kMillisecond + std::max(machine_fault.duration, 20 * kSecond));
            simulator->mark_faults_over();
            const std::string description =
                fmt::format("machines {} for {} s, controller {}, cancelled {} ms after, case {}",
                            machine_fault.kind, machine_fault.duration / kSecond, controller_fault,
                            cancellation_delay / kMillisecond, number);
            const Micros reuse_delay = run_until_limits_are_used(*simulator, jobs, kMaxReuseDelay);
            EXPECT_LT(reuse_delay, kMaxReuseDelay) << description << "\n" << simulator->format_history();
            for (const auto& ref : cancelled)
                EXPECT_EQ(simulator->reported_stage(ref), "cancelled") << description;
            EXPECT_TRUE(simulator->violations.empty())
                << description << ": " << simulator->violations.front() << "\n"
                << simulator->format_history(150);
        }
}

INSTANTIATE_TEST_SUITE_P(Faults, TeamsAtTheirLimit, testing::Range(0, 12));

}  // namespace
}  // namespace cottonway::test
