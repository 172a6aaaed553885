// Moves and reservations in the simulator, with controllers that crash at every step of a plan: no task runs
// twice, a task is moved once, a service never lacks more than the replica that moves, and no reservation is
// left behind.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kFineStep = 5 * kMillisecond;
constexpr auto kServiceJob = "req-000001";

Json stored_plans(Simulator& simulator) {
    const auto reply =
        simulator.state().handle("GET", "/store?starts=c/plan/&page=10", Json(), simulator.now());
    return reply.body["pairs"];
}

bool is_plan_stored(Simulator& simulator) {
    return !stored_plans(simulator).empty();
}

const scheduling::MigrationPlan* plan_of(Simulator& simulator, int node) {
    ShardOwner* owner = node >= 0 ? simulator.owner_at(node) : nullptr;
    return owner ? &owner->rebalancer().plan() : nullptr;
}

policy::Policy policy_with_short_waits() {
    policy::Policy policy;
    policy.revision = 1;
    policy.budgets.settle_time = 3 * kSecond;
    policy.budgets.service_pause = 5 * kSecond;
    return policy;
}

// ---------------------------------------------------------------- balance

Settings rebalancing_settings() {
    Settings settings = small_cluster_settings();
    policy::Policy policy = policy_with_short_waits();
    policy::ZoneRule rule;
    rule.scope.team = "red";
    rule.max_zone_share = 0.5;
    rule.rebalance = true;
    policy.zones = {rule};
    settings.operators.policy = policy;
    return settings;
}

/// A service with four replicas, all in zone a because zone b has no machines. Then zone b gets some, so that
/// two replicas have to move.
struct RebalancedService {
    Simulator simulator;
    int min_running = 4;  // the fewest replicas that ran at a time

    explicit RebalancedService(std::uint64_t seed) : simulator(seed, rebalancing_settings()) {
        for (int i = 0; i < 2; ++i) simulator.add_machine("small", "a");
        simulator.start_nodes();
        simulator.run(6 * kSecond);
        JobSpec service = simulator.make_job(1, JobKind::Service, 4);
        service.priority_class = PriorityClass::Production;
        simulator.submit(service, 0);
        simulator.run(4 * kSecond);
        for (int i = 0; i < 2; ++i) simulator.add_machine("small", "b");
    }
    void run(Micros duration, Micros step = 50 * kMillisecond) {
        for (const Micros end = simulator.now() + duration; simulator.now() < end;) {
            simulator.run(step);
            min_running = std::min(min_running, simulator.running_tasks(kServiceJob));
        }
    }
    /// Runs until the condition holds, for `max_duration` at most. Returns whether it holds.
    bool run_until(const std::function<bool()>& condition, Micros max_duration = 40 * kSecond) {
        for (const Micros end = simulator.now() + max_duration; simulator.now() < end && !condition();)
            run(kFineStep, kFineStep);
        return condition();
    }
    int replicas_in_zone_b() {
        int replicas = 0;
        const auto& machines = simulator.owner_at(simulator.owner_node())->machines();
        for (const auto& machine : simulator.machines_running(kServiceJob))
            replicas += machines.at(machine)->zone == "b";
        return replicas;
    }
    void expect_balanced(const std::string& description) {
        const std::string details = description + "\n" + simulator.format_history();
        EXPECT_TRUE(simulator.violations.empty()) << simulator.violations.front() << "\n" << details;
        EXPECT_EQ(simulator.running_tasks(kServiceJob), 4) << details;
        EXPECT_GE(min_running, 3) << details;
        EXPECT_EQ(simulator.task_starts(kServiceJob), 6) << "two replicas have to move once each\n"
                                                         << details;
        EXPECT_FALSE(is_plan_stored(simulator)) << stored_plans(simulator).dump() << details;
        const auto* plan = plan_of(simulator, simulator.owner_node());
        ASSERT_TRUE(plan) << details;
        EXPECT_TRUE(plan->empty()) << details;
        EXPECT_GE(replicas_in_zone_b(), 1) << details;
    }
};

/// A step of a move, at which a test makes something fail.
struct MoveStep {
    const char* name;
    std::function<bool(RebalancedService&)> is_reached;
};

const std::vector<MoveStep>& move_steps() {
    static const std::vector<MoveStep> steps{
        {"before the plan is stored",
         [](RebalancedService& service) {
             const auto* plan = plan_of(service.simulator, service.simulator.owner_node());
             return plan && !plan->moves().empty() && !is_plan_stored(service.simulator);
         }},
        {"after the plan is stored, before the answer",
         [](RebalancedService& service) { return is_plan_stored(service.simulator); }},
        {"after the task is told to stop",
         [](RebalancedService& service) {
             const auto* plan = plan_of(service.simulator, service.simulator.owner_node());
             if (!plan || plan->moves().empty()) return false;
             const auto& move = plan->moves().front().move;
             return service.simulator.owner_at(service.simulator.owner_node())
                 ->jobs()
                 .at(move.job)
                 ->slots[static_cast<std::size_t>(move.task)]
                 .stop_requested;
         }},
        {"after the task is gone, before it starts",
         [](RebalancedService& service) {
             const auto* plan = plan_of(service.simulator, service.simulator.owner_node());
             return plan && !plan->moves().empty() && service.simulator.running_tasks(kServiceJob) == 3;
         }},
        {"after the task is bound again",
         [](RebalancedService& service) {
             const auto* plan = plan_of(service.simulator, service.simulator.owner_node());
             if (!plan || plan->moves().empty()) return false;
             const auto& move = plan->moves().front().move;
             const auto& slot = service.simulator.owner_at(service.simulator.owner_node())
                                    ->jobs()
                                    .at(move.job)
                                    ->slots[static_cast<std::size_t>(move.task)];
             return slot.machine && slot.machine->name != move.from;
         }},
        {"after the task started",
         [](RebalancedService& service) { return service.simulator.task_starts(kServiceJob) == 5; }},
    };
    return steps;
}

TEST(SimulatedMoves, ServiceIsRebalancedAfterMachinesAppear) {
    RebalancedService service(1);
    service.run(40 * kSecond);
    service.expect_balanced("undisturbed");
}

TEST(SimulatedMoves, PlanIsCarriedOutOnceWhenItsAnswersAreLost) {
    RebalancedService service(2);
    for (int i = 0; i < 3; ++i) service.simulator.delay_next_write("c/plan/", 0);
    service.run(60 * kSecond);
    EXPECT_EQ(service.simulator.pending_write_delays(), 0U) << service.simulator.format_history();
    service.expect_balanced("answers are lost");
}

TEST(SimulatedMoves, OwnerCrashAtEveryStepMovesNothingTwice) {
    for (const MoveStep& step : move_steps())
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            RebalancedService service(seed);
            const std::string description = std::string(step.name) + ", seed " + std::to_string(seed);
            ASSERT_TRUE(service.run_until([&] { return step.is_reached(service); }))
                << description << "\n"
                << service.simulator.format_history();
            service.simulator.crash(service.simulator.owner_node(), 20 * kSecond);
            service.run(70 * kSecond);
            service.expect_balanced(description);
        }
}

TEST(SimulatedMoves, CrashOfAllControllersAtEveryStepMovesNothingTwice) {
    for (const MoveStep& step : move_steps()) {
        RebalancedService service(4);
        ASSERT_TRUE(service.run_until([&] { return step.is_reached(service); })) << step.name;
        for (int i = 0; i < 3; ++i) service.simulator.crash(i, 2 * kSecond + i * 300 * kMillisecond);
        service.run(70 * kSecond);
        service.expect_balanced(std::string("all controllers crash ") + step.name);
    }
}

TEST(SimulatedMoves, StoreOutageAtEveryStepMovesNothingTwice) {
    for (const MoveStep& step : move_steps()) {
        RebalancedService service(5);
        ASSERT_TRUE(service.run_until([&] { return step.is_reached(service); })) << step.name;
        service.simulator.state().set_down(true, service.simulator.now());
        service.run(6 * kSecond);
        service.simulator.state().set_down(false, service.simulator.now());
        service.run(60 * kSecond);
        service.expect_balanced(std::string("the store is down ") + step.name);
    }
}

TEST(SimulatedMoves, LateOrLostPlanWriteMovesNothingTwice) {
    for (const bool delays_request : {true, false})
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            RebalancedService service(seed);
            ASSERT_TRUE(service.run_until([&] { return move_steps()[0].is_reached(service); }));
            const std::string node = "loom-" + std::to_string(service.simulator.owner_node());
            service.simulator.hold_next_message(delays_request ? node : "state",
                                                delays_request ? "state" : node);
            service.simulator.state_answer_loss_rate = 0.3;
            service.run(8 * kSecond);
            service.simulator.state_answer_loss_rate = 0;
            service.simulator.release_held_messages();
            service.run(60 * kSecond);
            service.expect_balanced(delays_request ? "the request arrives late" : "the answer arrives late");
        }
}

TEST(SimulatedMoves, TaskStartsElsewhereWhenItsDestinationDies) {
    RebalancedService service(6);
    ASSERT_TRUE(service.run_until([&] { return move_steps()[2].is_reached(service); }));
    service.simulator.kill_machine(
        plan_of(service.simulator, service.simulator.owner_node())->moves().front().move.to);
    service.run(70 * kSecond);
    EXPECT_TRUE(service.simulator.violations.empty())
        << service.simulator.violations.front() << service.simulator.format_history();
    EXPECT_EQ(service.simulator.running_tasks(kServiceJob), 4) << service.simulator.format_history();
    EXPECT_GE(service.min_running, 3);
    EXPECT_FALSE(is_plan_stored(service.simulator));
}

TEST(SimulatedMoves, JobCancelledAtEveryStepEnds) {
    for (const MoveStep& step : move_steps()) {
        RebalancedService service(7);
        ASSERT_TRUE(service.run_until([&] { return step.is_reached(service); })) << step.name;
        service.simulator.cancel(kServiceJob);
        service.simulator.run(20 * kSecond);
        EXPECT_TRUE(service.simulator.violations.empty())
            << service.simulator.violations.front() << service.simulator.format_history();
        EXPECT_EQ(service.simulator.running_tasks(kServiceJob), 0) << step.name;
        EXPECT_FALSE(is_plan_stored(service.simulator)) << step.name;
    }
}

// ---------------------------------------------------------------- reservations for a large task

constexpr auto kLargeJob = "req-000009";

/// Two machines of eight GPUs, half of each used by batch work that saves checkpoints. Then a task arrives
/// that needs all GPUs of a machine.
struct LargeTaskCluster {
    Simulator simulator;

    static Settings settings() {
        Settings result = small_cluster_settings();
        result.teams[0].limit = {128'000, 64'000, 0};
        policy::Policy policy = policy_with_short_waits();
        policy.gpus.make_room = true;
        policy.gpus.min_wait = 2 * kSecond;
        result.operators.policy = policy;
        return result;
    }
    static std::vector<MachineType> types() {
        return {{"g8", {32'000, 8'000, 128'000}, 200'000, 1.0, 4.0, 1.5, 10 * kSecond, {"a", "b"}}};
    }
    JobSpec gpu_job(int number, Milli gpus) {
        JobSpec spec = simulator.make_job(number, JobKind::Array, 1);
        spec.request = {gpus * 2, gpus, gpus * 8};
        spec.estimated_duration = 300 * kSecond;
        spec.checkpoint_interval = 10 * kSecond;
        spec.save_duration = kSecond;
        spec.spot = false;  // else its machine could be drained and returned
        return spec;
    }
    explicit LargeTaskCluster(std::uint64_t seed) : simulator(seed, settings(), types()) {
        simulator.add_machine("g8", "a");
        simulator.start_nodes();
        simulator.run(6 * kSecond);
        simulator.cloud().capacity = 0;
        simulator.submit(gpu_job(1, 4'000), 300 * kSecond);
        simulator.submit(gpu_job(2, 4'000), 12 * kSecond);  // fills the first machine for now
        simulator.run(4 * kSecond);
        simulator.add_machine("g8", "a");
        simulator.run(3 * kSecond);
        simulator.submit(gpu_job(3, 4'000), 300 * kSecond);
        simulator.run(10 * kSecond);  // now each machine has four free GPUs
        simulator.submit(gpu_job(9, 8'000), 20 * kSecond);
    }
    bool run_until(const std::function<bool()>& condition) {
        for (const Micros end = simulator.now() + 30 * kSecond; simulator.now() < end && !condition();)
            simulator.run(kFineStep);
        return condition();
    }
    /// Checks that both batch jobs run, that they had three starts at most (one of them was moved once), and
    /// that no plan is left.
    void expect_final_state(const std::string& description, int large_starts) {
        const std::string details = description + "\n" + simulator.format_history();
        EXPECT_TRUE(simulator.violations.empty()) << simulator.violations.front() << "\n" << details;
        EXPECT_EQ(simulator.task_starts(kLargeJob), large_starts) << details;
        EXPECT_EQ(simulator.running_tasks("req-000001") + simulator.running_tasks("req-000003"), 2)
            << details;
        EXPECT_LE(simulator.task_starts("req-000001") + simulator.task_starts("req-000003"), 3) << details;
        EXPECT_FALSE(is_plan_stored(simulator)) << stored_plans(simulator).dump() << details;
    }
};

/// The steps of a reservation, at which a test makes something fail, by name.
const std::vector<std::pair<const char*, std::function<bool(LargeTaskCluster&)>>>& reservation_steps() {
    static const auto running = [](LargeTaskCluster& cluster) {
        return cluster.simulator.running_tasks("req-000001") + cluster.simulator.running_tasks("req-000003");
    };
    static const std::vector<std::pair<const char*, std::function<bool(LargeTaskCluster&)>>> steps{
        {"before the plan is stored",
         [](LargeTaskCluster& cluster) {
             const auto* plan = plan_of(cluster.simulator, cluster.simulator.owner_node());
             return plan && !plan->reservations().empty() && !is_plan_stored(cluster.simulator);
         }},
        {"after the plan is stored",
         [](LargeTaskCluster& cluster) { return is_plan_stored(cluster.simulator); }},
        {"after a task is stopped", [](LargeTaskCluster& cluster) { return running(cluster) < 2; }},
        {"after the moved task started",
         [](LargeTaskCluster& cluster) {
             return cluster.simulator.task_starts("req-000001") +
                        cluster.simulator.task_starts("req-000003") ==
                    3;
         }},
        {"after the large task started",
         [](LargeTaskCluster& cluster) { return cluster.simulator.task_starts(kLargeJob) == 1; }},
    };
    return steps;
}

TEST(SimulatedReservations, OwnerCrashAtEveryStepStartsTheLargeTaskOnce) {
    for (const auto& [name, is_reached] : reservation_steps())
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            LargeTaskCluster cluster(seed);
            const std::string description = std::string(name) + ", seed " + std::to_string(seed);
            ASSERT_TRUE(cluster.run_until([&, &condition = is_reached] { return condition(cluster); }))
                << description << "\n"
                << cluster.simulator.format_history();
            cluster.simulator.crash(cluster.simulator.owner_node(), 20 * kSecond);
            cluster.simulator.run(60 * kSecond);
            cluster.expect_final_state(description, 1);
        }
}

TEST(SimulatedReservations, CrashOfAllControllersAtEveryStepStartsTheLargeTaskOnce) {
    for (const auto& [name, is_reached] : reservation_steps()) {
        LargeTaskCluster cluster(4);
        ASSERT_TRUE(cluster.run_until([&, &condition = is_reached] { return condition(cluster); }))
            << name << "\n"
            << cluster.simulator.format_history();
        for (int i = 0; i < 3; ++i) cluster.simulator.crash(i, 2 * kSecond + i * 300 * kMillisecond);
        cluster.simulator.run(60 * kSecond);
        cluster.expect_final_state(std::string("all controllers crash ") + name, 1);
    }
}

TEST(SimulatedReservations, ReservedGpusAreNotTakenByALaterJob) {
    LargeTaskCluster cluster(6);
    ASSERT_TRUE(cluster.run_until([&] {
        const auto* plan = plan_of(cluster.simulator, cluster.simulator.owner_node());
        return plan && !plan->reserved_by_machine().empty();
    }));
    cluster.simulator.submit(cluster.gpu_job(4, 4'000), 300 * kSecond);
    cluster.simulator.run(10 * kSecond);
    EXPECT_EQ(cluster.simulator.task_starts(kLargeJob), 1) << cluster.simulator.format_history();
    EXPECT_EQ(cluster.simulator.task_starts("req-000004"), 0) << "the later job has to wait\n"
                                                              << cluster.simulator.format_history();
    cluster.simulator.run(30 * kSecond);
    EXPECT_EQ(cluster.simulator.task_starts("req-000004"), 1) << cluster.simulator.format_history();
    cluster.expect_final_state("with a later job", 1);
}

TEST(SimulatedReservations, CancellationAtEveryStepLeavesNoReservation) {
    for (const auto& [name, is_reached] : reservation_steps()) {
        LargeTaskCluster cluster(5);
        ASSERT_TRUE(cluster.run_until([&, &condition = is_reached] { return condition(cluster); }))
            << name << "\n"
            << cluster.simulator.format_history();
        cluster.simulator.cancel(kLargeJob);
        cluster.simulator.run(30 * kSecond);
        cluster.expect_final_state(std::string("cancelled ") + name,
                                   cluster.simulator.task_starts(kLargeJob));
        EXPECT_LE(cluster.simulator.task_starts(kLargeJob), 1) << name;
    }
}

TEST(SimulatedMoves, NothingIsWrittenWithoutAPolicyOrAnythingToMove) {
    for (const bool has_policy : {true, false}) {
        Settings settings = rebalancing_settings();
        if (!has_policy) settings.operators.policy.reset();
        Simulator simulator(8, settings);
        for (int i = 0; i < 4; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
        simulator.start_nodes();
        simulator.run(6 * kSecond);
        simulator.submit(simulator.make_job(1, JobKind::Service, 4), 0);
        simulator.submit(simulator.make_job(2, JobKind::Array, 3), 4 * kSecond);
        simulator.run(30 * kSecond);
        EXPECT_EQ(simulator.running_tasks(kServiceJob), 4);
        for (int i = 0; i < 3; ++i)
            EXPECT_FALSE(simulator.node(i)->status()["changes_sent"].contains("plan"));
    }
}

}  // namespace
}  // namespace cottonway::test
