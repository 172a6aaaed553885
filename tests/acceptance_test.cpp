// The acceptance criteria of operators: each is reported when it is violated on purpose, and holds otherwise.

#include <gtest/gtest.h>

#include <fstream>

#include "simulation/scenario.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

const std::vector<Team> kTeams{{"red", {}, {8'000, kNoLimit, 0}}, {"guests", {}, {kNoLimit, kNoLimit, 0}}};

JobOutcome make_outcome(const std::string& ref, int tasks, Micros accepted, Micros first_started,
                        Micros completed) {
    JobOutcome outcome;
    outcome.spec.ref = ref;
    outcome.spec.job_class = "batch";
    outcome.spec.team = "red";
    outcome.spec.tasks = tasks;
    outcome.spec.request = {1'000, 0, 1'000};
    outcome.task_duration = 10 * kSecond;
    outcome.accepted_at = accepted;
    outcome.first_started_at = first_started;
    outcome.all_started_at = completed;
    outcome.completed_at = completed;
    return outcome;
}

bool has_violation(const AcceptanceResult& result, const std::string& rule) {
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const auto& line) { return line.compare(0, rule.size(), rule) == 0; });
}

void start_small_cluster(Simulator& simulator) {
    for (int i = 0; i < 3; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes(1);
}

TEST(Acceptance, JobWithoutAnsweredPollsIsForgottenWhateverOthersGet) {
    std::vector<JobOutcome> outcomes{make_outcome("one", 1, 0, kSecond, 20 * kSecond),
                                     make_outcome("two", 1, 0, kSecond, 20 * kSecond)};
    EXPECT_TRUE(evaluate_acceptance(outcomes, kTeams, 400 * kSecond).violations.empty());
    outcomes[1].longest_unanswered = kMaxPollGap + kSecond;
    const AcceptanceResult result = evaluate_acceptance(outcomes, kTeams, 400 * kSecond);
    EXPECT_EQ(result.longest_unanswered, kMaxPollGap + kSecond);
    EXPECT_TRUE(has_violation(result, "forgotten: no answered poll for two"));
    outcomes[1].excluded = true;  // as if its user had cancelled it
    EXPECT_TRUE(evaluate_acceptance(outcomes, kTeams, 400 * kSecond).violations.empty());
}

TEST(Acceptance, LessThanHalfServedOfAClassOrTeamIsReported) {
    std::vector<JobOutcome> outcomes;
    for (int i = 0; i < 10; ++i)
        outcomes.push_back(make_outcome("j" + std::to_string(i), 1, 0, kSecond, 20 * kSecond));
    for (int i = 0; i < 5; ++i) outcomes[static_cast<std::size_t>(i)].completed_at = -1;
    EXPECT_FALSE(has_violation(evaluate_acceptance(outcomes, kTeams, 400 * kSecond), "half served"));
    outcomes[5].completed_at = 251 * kSecond;  // a second too late
    const AcceptanceResult result = evaluate_acceptance(outcomes, kTeams, 400 * kSecond);
    EXPECT_TRUE(has_violation(result, "half served: class batch: 4 of 10"));
    EXPECT_TRUE(has_violation(result, "half served: team red: 4 of 10"));
    // No job is due yet.
    EXPECT_TRUE(evaluate_acceptance(outcomes, kTeams, 249 * kSecond).served_by_class.empty());
}

TEST(Acceptance, TeamLimitExtendsAllowedTimeAndServiceNeedsAllReplicas) {
    // The limit allows eight tasks at once: three waves of 10 s.
    JobOutcome wide = make_outcome("wide", 20, 0, kSecond, 265 * kSecond);
    EXPECT_EQ(wide.allowed_time(kTeams), 270 * kSecond);
    EXPECT_TRUE(wide.is_served(kTeams));
    wide.spec.team = "guests";
    EXPECT_FALSE(wide.is_served(kTeams));
    JobOutcome service = make_outcome("service", 2, 0, kSecond, -1);
    service.spec.kind = JobKind::Service;
    EXPECT_FALSE(service.is_served(kTeams));
    service.all_started_at = 5 * kSecond;
    EXPECT_TRUE(service.is_served(kTeams));
}

TEST(Acceptance, LargestJobsAreCountedSeparately) {
    std::vector<JobOutcome> outcomes;
    for (int i = 0; i < 20; ++i)
        outcomes.push_back(make_outcome("j" + std::to_string(i), 1, 0, kSecond, 20 * kSecond));
    outcomes.push_back(make_outcome("huge", 8, 0, 239 * kSecond, 249 * kSecond));
    outcomes.push_back(make_outcome("large", 6, 0, 10 * kSecond, 30 * kSecond));
    outcomes.push_back(make_outcome("medium", 5, 0, -1, -1));
    AcceptanceResult result = evaluate_acceptance(outcomes, kTeams, 300 * kSecond);
    EXPECT_EQ(result.served_of_largest.at("batch").due, 2);
    EXPECT_EQ(result.longest_wait_of_largest.at("batch"), 239 * kSecond);
    EXPECT_TRUE(result.violations.empty());
    outcomes[20].first_started_at = outcomes[20].completed_at = outcomes[21].completed_at = -1;
    result = evaluate_acceptance(outcomes, kTeams, 300 * kSecond);
    EXPECT_TRUE(has_violation(result, "largest begin: huge of batch waited 300.0 s"));
    EXPECT_TRUE(has_violation(result, "half served: largest of batch: 0 of 2"));
    EXPECT_FALSE(has_violation(result, "half served: class"));
}

TEST(Acceptance, JobIsForgottenWhileUsersReachNoNode) {
    for (const bool users_cut_off : {false, true}) {
        Simulator simulator(3);
        start_small_cluster(simulator);
        simulator.submit(simulator.make_job(1, JobKind::Array, 2), 3 * kSecond);
        simulator.run(30 * kSecond);
        ASSERT_EQ(simulator.reported_stage("req-000001"), "done");
        simulator.mark_faults_over();
        if (users_cut_off) simulator.cut_link("users", "loom-0");
        simulator.run(80 * kSecond);
        EXPECT_EQ(has_violation(evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams,
                                                    simulator.now()),
                                "forgotten"),
                  users_cut_off);
    }
}

TEST(Acceptance, JobsWithoutMachinesAreNotServed) {
    Simulator simulator(4);
    start_small_cluster(simulator);
    simulator.run(5 * kSecond);
    simulator.cloud().down = true;
    for (const auto& machine : simulator.machine_names()) simulator.kill_machine(machine);
    for (int i = 1; i <= 6; ++i) simulator.submit(simulator.make_job(i, JobKind::Array, 3), 3 * kSecond);
    simulator.run(250 * kSecond);
    const AcceptanceResult result =
        evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams, simulator.now());
    EXPECT_TRUE(has_violation(result, "half served: class class: 0 of 6")) << simulator.format_history();
    EXPECT_TRUE(has_violation(result, "half served: team red"));
    EXPECT_TRUE(has_violation(result, "largest begin"));
    EXPECT_LT(result.longest_unanswered, kMaxPollGap);
}

TEST(Acceptance, StartableMachineMeetsAllConstraintsOfTheJob) {
    const FreeCapacities machines{{"n-1", {"small", "a", false, {2'000, 0, 8'000}}},
                                  {"n-2", {"small", "b", true, {4'000, 0, 8'000}}},
                                  {"n-3", {"cards", "b", false, {1'000, 2'000, 8'000}}}};
    const Resources unlimited{kNoLimit, kNoLimit, 0};
    struct Case {
        const char* what;
        std::function<void(WaitingJob&)> set_constraints;
        const char* machine;
        Resources remaining_limit;
    };
    const std::vector<Case> cases{
        {"any", [](auto&) {}, "n-1", unlimited},
        {"its limit", [](auto&) {}, "", {1'999, kNoLimit, 0}},
        {"no card left of its limit", [](auto& job) { job.spec.request.gpus = 500; }, "", {9'000, 0, 0}},
        {"wide", [](auto& job) { job.spec.request.cores = 3'000; }, "", unlimited},
        {"wide, on spot", [](auto& job) { job.spec.request.cores = 3'000, job.spec.spot = true; }, "n-2",
         unlimited},
        {"RAM", [](auto& job) { job.spec.request.ram = 8'001; }, "", unlimited},
        {"cards",
         [](auto& job) {
             job.spec.request = {1'000, 1'000, 0};
         },
         "n-3", unlimited},
        {"its types", [](auto& job) { job.spec.types = {{"cards"}}; }, "", unlimited},
        {"its zone", [](auto& job) { job.spec.zone = "b"; }, "", unlimited},
        {"one_zone", [](auto& job) { job.spec.one_zone = true, job.running_by_zone["b"] = 1; }, "",
         unlimited},
        {"spread", [](auto& job) { job.spec.spread = true, job.running_by_zone["a"] = 2; }, "", unlimited},
        {"spread, less", [](auto& job) { job.spec.spread = true, job.running_by_zone["a"] = 1; }, "n-1",
         unlimited},
        {"gang", [](auto& job) { job.spec.kind = JobKind::Gang; }, "", unlimited},
        {"gang, on spot", [](auto& job) { job.spec.kind = JobKind::Gang, job.spec.spot = true; }, "n-2",
         unlimited},
        {"gang in one zone",
         [](auto& job) { job.spec.kind = JobKind::Gang, job.spec.spot = job.spec.one_zone = true; }, "",
         unlimited},
        {"gang, its limit",
         [](auto& job) { job.spec.kind = JobKind::Gang, job.spec.spot = true; },
         "",
         {5'000, kNoLimit, 0}}};
    for (const auto& test_case : cases) {
        WaitingJob job;
        job.spec.tasks = job.waiting_tasks = 3;
        job.spec.request = {2'000, 0, 1'000};
        test_case.set_constraints(job);
        EXPECT_EQ(find_startable_machine(job, machines, test_case.remaining_limit), test_case.machine)
            << test_case.what;
    }
}

/// The state service refuses all transactions in one of the runs, so that nobody can bind the waiting job
/// although capacity becomes free.
TEST(Acceptance, JobIsLeftWaitingWhileItsShardOwnerCannotBind) {
    for (const bool writes_refused : {false, true}) {
        Simulator simulator(5);
        start_small_cluster(simulator);
        simulator.run(5 * kSecond);
        simulator.submit(simulator.make_job(1, JobKind::Array, 24), 20 * kSecond);  // uses all capacity
        simulator.run(5 * kSecond);
        JobSpec waiting = simulator.make_job(2, JobKind::Array, 1);
        waiting.team = "blue";
        simulator.submit(waiting, 5 * kSecond);
        simulator.run(2 * kSecond);
        ASSERT_EQ(simulator.reported_stage(waiting.ref), "accepted");
        ASSERT_EQ(simulator.running_tasks(waiting.ref), 0);
        if (writes_refused) simulator.state().limits.txn_ops = 0;
        simulator.mark_faults_over();
        simulator.run(115 * kSecond);
        const AcceptanceResult result =
            evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams, simulator.now());
        EXPECT_EQ(has_violation(result, "left waiting: " + waiting.ref), writes_refused)
            << result.longest_startable_wait << simulator.format_history();
        EXPECT_EQ(simulator.reported_stage(waiting.ref), writes_refused ? "accepted" : "done");
    }
}

/// Low-priority jobs leave capacity to waiting jobs, but not to those that their team's limit keeps from
/// starting.
TEST(Acceptance, JobAtItsTeamLimitTakesNoCapacityFromLowPriorityJobs) {
    Simulator simulator(6);
    for (int i = 0; i < 8; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes(3);
    simulator.run(6 * kSecond);
    simulator.submit(simulator.make_job(1, JobKind::Array, 150), 90 * kSecond);  // 24 at once
    simulator.run(10 * kSecond);
    JobSpec low_priority_job = simulator.make_job(2, JobKind::Array, 4);
    low_priority_job.team = "guests";
    low_priority_job.priority_class = PriorityClass::Low;
    simulator.submit(low_priority_job, 3 * kSecond);
    simulator.run(40 * kSecond);
    EXPECT_EQ(simulator.reported_stage(low_priority_job.ref), "done") << simulator.format_history();
    EXPECT_TRUE(simulator.violations.empty());
}

/// The batch job is too recent to count in the average demand, so most ordinary machines are draining. A
/// service needs those machines for its spread and gets capacity there by preempting batch tasks.
TEST(Acceptance, ServiceWithoutOtherCapacityStartsOnDrainingMachines) {
    Settings settings = small_cluster_settings();
    settings.operators.idle_return_delay = 12 * kSecond;
    Simulator simulator(8, settings);
    start_small_cluster(simulator);
    simulator.run(5 * kSecond);
    simulator.submit(simulator.make_job(1, JobKind::Array, 24), 60 * kSecond);
    simulator.run(10 * kSecond);
    int draining = 0;
    for (const auto& [name, machine] : simulator.owner_at(0)->machines()) draining += machine->draining;
    ASSERT_EQ(draining, 2) << simulator.format_history();
    JobSpec service = simulator.make_job(2, JobKind::Service, 4, 2);
    service.priority_class = PriorityClass::Production;
    service.spread = true;
    service.team = "blue";
    simulator.submit(service, 0);
    simulator.run(3 * kSecond);
    EXPECT_EQ(simulator.running_tasks(service.ref), 4) << simulator.format_history();
    EXPECT_TRUE(simulator.violations.empty());
}

TEST(Acceptance, ScenariosMustLeaveTimeAfterTheirLastFault) {
    const std::string path = testing::TempDir() + "short.toml";
    auto write = [&](const std::string& head) {
        std::ofstream(path) << head << "\n[[team]]\nname = \"red\"\n[[type]]\nname = \"small\"\n"
                            << "[[fault]]\nat_s = 30\nkind = \"end\"\nfor_s = 0.3\ntimes = 2\nevery_s = 10\n";
    };
    write("duration_s = 100");
    EXPECT_THROW(Scenario::load(path), std::runtime_error);
    write("duration_s = 100\nacceptance = false");
    EXPECT_EQ(Scenario::load(path).faults_end(), 40'300 * kMillisecond);
    write("duration_s = 130");
    EXPECT_TRUE(Scenario::load(path).checks_acceptance);
}

// ---------------------------------------------------------------- the simulated cluster

TEST(SimulatedCluster, EndedZoneReturnsWithNewMachines) {
    for (const bool ends : {true, false}) {
        Simulator simulator(7);
        for (int i = 0; i < 4; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
        simulator.start_nodes(3);
        simulator.run(10 * kSecond);
        simulator.fail_zone("b", ends);
        EXPECT_EQ(simulator.machine_names().size(), ends ? 2u : 4u);
        EXPECT_EQ(simulator.node(1) == nullptr, ends);
        EXPECT_EQ(simulator.is_link_cut("loom-1", "state"), !ends);
        simulator.run(10 * kSecond);
        simulator.restore_zone("b");
        EXPECT_EQ(simulator.machine_names().size(), 4u);
        EXPECT_NE(simulator.node(1), nullptr);
        EXPECT_FALSE(simulator.is_link_cut("loom-1", "state"));
        simulator.run(20 * kSecond);
        EXPECT_TRUE(simulator.violations.empty());
    }
}

TEST(SimulatedCluster, GpusAreAllocatedAndFetchTimeFollowsImageSize) {
    MachineType gpus{"cards", {16'000, 4'000, 64'000}, 30'000, 2.0, 1, 1, kSecond, {"a", "b"}};
    Settings settings = small_cluster_settings();
    settings.teams = {{"red", {}, {kNoLimit, kNoLimit, 0}}};
    Simulator simulator(5, settings, {gpus});
    simulator.add_machine("cards", "a");
    simulator.start_nodes(1);
    simulator.run(5 * kSecond);
    JobSpec job = simulator.make_job(1, JobKind::Array, 3);
    job.request = {1'000, 2'000, 1'000};
    job.image_gb = 20'000;  // ten seconds at 2 GB a second
    const Micros from = simulator.now();
    simulator.submit(job, 5 * kSecond, -1);
    simulator.run(60 * kSecond);
    EXPECT_EQ(simulator.reported_stage("req-000001"), "done");
    const JobOutcome outcome = simulator.job_outcomes().front();
    EXPECT_GE(outcome.first_started_at - from, 10 * kSecond);
    EXPECT_LE(outcome.first_started_at - from, 12 * kSecond);
    EXPECT_GE(outcome.all_started_at - outcome.first_started_at,
              5 * kSecond);  // only two at a time have GPUs
    EXPECT_TRUE(simulator.violations.empty());
}

/// Runs two machines, one of which fails every task for a while, with every message duplicated. Returns the
/// violations.
std::vector<std::string> violations_with_duplicates(bool commands) {
    Simulator simulator(11);
    for (const char* zone : {"a", "b"}) simulator.add_machine("small", zone);
    simulator.start_nodes(3);
    simulator.run(6 * kSecond);
    simulator.duplicate_rate = 1;
    simulator.duplicate_commands = commands;
    fakes::Worker* faulty = simulator.worker(simulator.machine_names().front());
    faulty->faulty = true;
    simulator.submit(simulator.make_job(1, JobKind::Array, 12), 12 * kSecond);
    simulator.run(2 * kSecond);
    faulty->faulty = false;
    simulator.run(40 * kSecond);
    EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << simulator.format_history();
    return simulator.violations;
}

TEST(SimulatedCluster, DuplicatedMessagesChangeNothing) {
    EXPECT_EQ(violations_with_duplicates(false), std::vector<std::string>());
}

/// A direct launch that was executed arrives a second time after its attempt has exited. Token and session
/// still match, so the worker would start the attempt again beside the next one, had the attempt been cleared
/// (ShardOwner::orders_for).
TEST(SimulatedCluster, DuplicatedLaunchAfterItsClearStartsNothing) {
    EXPECT_EQ(violations_with_duplicates(true), std::vector<std::string>());
}

TEST(SimulatedCluster, BurstRaisesTheArrivalRateForItsDuration) {
    Workload workload;
    workload.per_minute = 60;
    workload.burst_factor = 4;
    workload.burst_start = 100 * kSecond;
    workload.burst_duration = 100 * kSecond;
    std::mt19937_64 random(1);
    int before = 0, within = 0, after = 0;
    for (const Micros t : workload.arrivals(300 * kSecond, random))
        ++(t < 100 * kSecond ? before : t < 200 * kSecond ? within : after);
    EXPECT_NEAR(before, 97, 30);
    EXPECT_NEAR(within, 400, 60);
    EXPECT_NEAR(after, 100, 30);
}

}  // namespace
}  // namespace cottonway::test
