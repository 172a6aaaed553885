// What operators accept: each rule is seen to fail where it is broken on purpose, and to hold otherwise.

#include <gtest/gtest.h>

#include <fstream>

#include "simulation/scenario.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

const std::vector<Team> kTeams{{"red", {}, {8'000, kNoLimit, 0}}, {"guests", {}, {kNoLimit, kNoLimit, 0}}};

JobOutcome fate(const std::string& ref, int tasks, Micros accepted, Micros begun, Micros done) {
    JobOutcome f;
    f.spec.ref = ref;
    f.spec.job_class = "batch";
    f.spec.team = "red";
    f.spec.tasks = tasks;
    f.spec.request = {1'000, 0, 1'000};
    f.task_duration = 10 * kSecond;
    f.accepted_at = accepted;
    f.first_started_at = begun;
    f.all_started_at = done;
    f.completed_at = done;
    return f;
}

bool has(const AcceptanceResult& a, const std::string& rule) {
    return std::any_of(a.violations.begin(), a.violations.end(),
                       [&](const auto& line) { return line.compare(0, rule.size(), rule) == 0; });
}

void start(Simulator& w) {
    for (int i = 0; i < 3; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes(1);
}

TEST(Acceptance, AJobWhosePollsAllFailIsForgottenHoweverOthersFare) {
    std::vector<JobOutcome> fates{fate("one", 1, 0, kSecond, 20 * kSecond),
                                  fate("two", 1, 0, kSecond, 20 * kSecond)};
    EXPECT_TRUE(evaluate_acceptance(fates, kTeams, 400 * kSecond).violations.empty());
    fates[1].longest_unanswered = kMaxPollGap + kSecond;
    const AcceptanceResult a = evaluate_acceptance(fates, kTeams, 400 * kSecond);
    EXPECT_EQ(a.longest_unanswered, kMaxPollGap + kSecond);
    EXPECT_TRUE(has(a, "forgotten: no answered poll for two"));
    fates[1].excluded = true;  // its user cancelled it
    EXPECT_TRUE(evaluate_acceptance(fates, kTeams, 400 * kSecond).violations.empty());
}

TEST(Acceptance, LessThanHalfOfAClassOrATeamIsSeen) {
    std::vector<JobOutcome> fates;
    for (int i = 0; i < 10; ++i) fates.push_back(fate("j" + std::to_string(i), 1, 0, kSecond, 20 * kSecond));
    for (int i = 0; i < 5; ++i) fates[static_cast<std::size_t>(i)].completed_at = -1;
    EXPECT_FALSE(has(evaluate_acceptance(fates, kTeams, 400 * kSecond), "half served"));
    fates[5].completed_at = 251 * kSecond;  // a second too late
    const AcceptanceResult a = evaluate_acceptance(fates, kTeams, 400 * kSecond);
    EXPECT_TRUE(has(a, "half served: class batch: 4 of 10"));
    EXPECT_TRUE(has(a, "half served: team red: 4 of 10"));
    // Nobody is due yet.
    EXPECT_TRUE(evaluate_acceptance(fates, kTeams, 249 * kSecond).served_by_class.empty());
}

TEST(Acceptance, ATeamsLimitAddsItsWavesAndAServiceIsServedWithAllReplicas) {
    JobOutcome wide = fate("wide", 20, 0, kSecond, 265 * kSecond);  // eight at once: three waves of 10 s
    EXPECT_EQ(wide.allowed_time(kTeams), 270 * kSecond);
    EXPECT_TRUE(wide.is_served(kTeams));
    wide.spec.team = "guests";
    EXPECT_FALSE(wide.is_served(kTeams));
    JobOutcome service = fate("service", 2, 0, kSecond, -1);
    service.spec.kind = JobKind::Service;
    EXPECT_FALSE(service.is_served(kTeams));
    service.all_started_at = 5 * kSecond;
    EXPECT_TRUE(service.is_served(kTeams));
}

TEST(Acceptance, TheLargestAreCountedApart) {
    std::vector<JobOutcome> fates;
    for (int i = 0; i < 20; ++i) fates.push_back(fate("j" + std::to_string(i), 1, 0, kSecond, 20 * kSecond));
    fates.push_back(fate("huge", 8, 0, 239 * kSecond, 249 * kSecond));
    fates.push_back(fate("large", 6, 0, 10 * kSecond, 30 * kSecond));
    fates.push_back(fate("medium", 5, 0, -1, -1));
    AcceptanceResult a = evaluate_acceptance(fates, kTeams, 300 * kSecond);
    EXPECT_EQ(a.served_of_largest.at("batch").due, 2);
    EXPECT_EQ(a.longest_wait_of_largest.at("batch"), 239 * kSecond);
    EXPECT_TRUE(a.violations.empty());
    fates[20].first_started_at = fates[20].completed_at = fates[21].completed_at = -1;
    a = evaluate_acceptance(fates, kTeams, 300 * kSecond);
    EXPECT_TRUE(has(a, "largest begin: huge of batch waited 300.0 s"));
    EXPECT_TRUE(has(a, "half served: largest of batch: 0 of 2"));
    EXPECT_FALSE(has(a, "half served: class"));
}

TEST(Acceptance, ANodeThatAnswersNobodyForgets) {
    for (const bool deaf : {false, true}) {
        Simulator w(3);
        start(w);
        w.submit(w.make_job(1, JobKind::Array, 2), 3 * kSecond);
        w.run(30 * kSecond);
        ASSERT_EQ(w.reported_stage("req-000001"), "done");
        w.mark_faults_over();
        if (deaf) w.cut_link("users", "loom-0");
        w.run(80 * kSecond);
        EXPECT_EQ(has(evaluate_acceptance(w.job_outcomes(), w.settings.teams, w.now()), "forgotten"), deaf);
    }
}

TEST(Acceptance, WhatNobodyPlacesIsNotServed) {
    Simulator w(4);
    start(w);
    w.run(5 * kSecond);
    w.cloud().down = true;
    for (const auto& m : w.machine_names()) w.kill_machine(m);
    for (int i = 1; i <= 6; ++i) w.submit(w.make_job(i, JobKind::Array, 3), 3 * kSecond);
    w.run(250 * kSecond);
    const AcceptanceResult a = evaluate_acceptance(w.job_outcomes(), w.settings.teams, w.now());
    EXPECT_TRUE(has(a, "half served: class class: 0 of 6")) << w.format_history();
    EXPECT_TRUE(has(a, "half served: team red"));
    EXPECT_TRUE(has(a, "largest begin"));
    EXPECT_LT(a.longest_unanswered, kMaxPollGap);
}

TEST(Acceptance, WhatCouldStartIsJudgedByAllThatTheJobAsksFor) {
    const FreeCapacities rooms{{"n-1", {"small", "a", false, {2'000, 0, 8'000}}},
                               {"n-2", {"small", "b", true, {4'000, 0, 8'000}}},
                               {"n-3", {"cards", "b", false, {1'000, 2'000, 8'000}}}};
    const Resources plenty{kNoLimit, kNoLimit, 0};
    struct Case {
        const char* what;
        std::function<void(WaitingJob&)> ask;
        const char* on;
        Resources left;
    };
    const std::vector<Case> cases{
        {"any", [](auto&) {}, "n-1", plenty},
        {"its limit", [](auto&) {}, "", {1'999, kNoLimit, 0}},
        {"no card left of its limit", [](auto& j) { j.spec.request.gpus = 500; }, "", {9'000, 0, 0}},
        {"wide", [](auto& j) { j.spec.request.cores = 3'000; }, "", plenty},
        {"wide, on spot", [](auto& j) { j.spec.request.cores = 3'000, j.spec.spot = true; }, "n-2", plenty},
        {"RAM", [](auto& j) { j.spec.request.ram = 8'001; }, "", plenty},
        {"cards",
         [](auto& j) {
             j.spec.request = {1'000, 1'000, 0};
         },
         "n-3", plenty},
        {"its types", [](auto& j) { j.spec.types = {{"cards"}}; }, "", plenty},
        {"its zone", [](auto& j) { j.spec.zone = "b"; }, "", plenty},
        {"one_zone", [](auto& j) { j.spec.one_zone = true, j.running_by_zone["b"] = 1; }, "", plenty},
        {"spread", [](auto& j) { j.spec.spread = true, j.running_by_zone["a"] = 2; }, "", plenty},
        {"spread, less", [](auto& j) { j.spec.spread = true, j.running_by_zone["a"] = 1; }, "n-1", plenty},
        {"gang", [](auto& j) { j.spec.kind = JobKind::Gang; }, "", plenty},
        {"gang, on spot", [](auto& j) { j.spec.kind = JobKind::Gang, j.spec.spot = true; }, "n-2", plenty},
        {"gang in one zone",
         [](auto& j) { j.spec.kind = JobKind::Gang, j.spec.spot = j.spec.one_zone = true; }, "", plenty},
        {"gang, its limit",
         [](auto& j) { j.spec.kind = JobKind::Gang, j.spec.spot = true; },
         "",
         {5'000, kNoLimit, 0}}};
    for (const auto& c : cases) {
        WaitingJob job;
        job.spec.tasks = job.waiting_tasks = 3;
        job.spec.request = {2'000, 0, 1'000};
        c.ask(job);
        EXPECT_EQ(find_startable_machine(job, rooms, c.left), c.on) << c.what;
    }
}

/// Planted: the state service takes no change any more, so nobody binds what waits, and room comes about.
TEST(Acceptance, AJobIsLeftWaitingWhereItsHolderIsKeptFromBinding) {
    for (const bool planted : {false, true}) {
        Simulator w(5);
        start(w);
        w.run(5 * kSecond);
        w.submit(w.make_job(1, JobKind::Array, 24), 20 * kSecond);  // all there is
        w.run(5 * kSecond);
        JobSpec waits = w.make_job(2, JobKind::Array, 1);
        waits.team = "blue";
        w.submit(waits, 5 * kSecond);
        w.run(2 * kSecond);
        ASSERT_EQ(w.reported_stage(waits.ref), "accepted");
        ASSERT_EQ(w.running_tasks(waits.ref), 0);
        if (planted) w.state().limits.txn_ops = 0;
        w.mark_faults_over();
        w.run(115 * kSecond);
        const AcceptanceResult a = evaluate_acceptance(w.job_outcomes(), w.settings.teams, w.now());
        EXPECT_EQ(has(a, "left waiting: " + waits.ref), planted)
            << a.longest_startable_wait << w.format_history();
        EXPECT_EQ(w.reported_stage(waits.ref), planted ? "accepted" : "done");
    }
}

/// Idle work leaves room for what waits, but not for what its team's limit keeps from starting.
TEST(Acceptance, WhatALimitKeepsWaitingTakesNoRoomFromIdleWork) {
    Simulator w(6);
    for (int i = 0; i < 8; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes(3);
    w.run(6 * kSecond);
    w.submit(w.make_job(1, JobKind::Array, 150), 90 * kSecond);  // 24 at once
    w.run(10 * kSecond);
    JobSpec guests = w.make_job(2, JobKind::Array, 4);
    guests.team = "guests";
    guests.rank = PriorityClass::Low;
    w.submit(guests, 3 * kSecond);
    w.run(40 * kSecond);
    EXPECT_EQ(w.reported_stage(guests.ref), "done") << w.format_history();
    EXPECT_TRUE(w.violations.empty());
}

/// Batch has come too lately to count on average, so most ordinary machines are being emptied: a service
/// needs them, by its spread, and gets room there by stopping batch.
TEST(Acceptance, WhatFindsNoRoomElsewhereStartsOnMachinesThatAreBeingEmptied) {
    Settings s = small_cluster_settings();
    s.ops.idle_return = 12 * kSecond;
    Simulator w(8, s);
    start(w);
    w.run(5 * kSecond);
    w.submit(w.make_job(1, JobKind::Array, 24), 60 * kSecond);
    w.run(10 * kSecond);
    int emptied = 0;
    for (const auto& [name, m] : w.owner_at(0)->machines()) emptied += m->draining;
    ASSERT_EQ(emptied, 2) << w.format_history();
    JobSpec service = w.make_job(2, JobKind::Service, 4, 2);
    service.rank = PriorityClass::Production;
    service.spread = true;
    service.team = "blue";
    w.submit(service, 0);
    w.run(3 * kSecond);
    EXPECT_EQ(w.running_tasks(service.ref), 4) << w.format_history();
    EXPECT_TRUE(w.violations.empty());
}

TEST(Acceptance, ExperimentsLeaveTimeAfterTheirLastFault) {
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

// ---------------------------------------------------------------- what the simulator's world does

TEST(LabWorld, AZoneThatEndsComesBackWithNewMachines) {
    for (const bool ends : {true, false}) {
        Simulator w(7);
        for (int i = 0; i < 4; ++i) w.add_machine("small", i % 2 ? "b" : "a");
        w.start_nodes(3);
        w.run(10 * kSecond);
        w.fail_zone("b", ends);
        EXPECT_EQ(w.machine_names().size(), ends ? 2u : 4u);
        EXPECT_EQ(w.node(1) == nullptr, ends);
        EXPECT_EQ(w.is_link_cut("loom-1", "state"), !ends);
        w.run(10 * kSecond);
        w.restore_zone("b");
        EXPECT_EQ(w.machine_names().size(), 4u);
        EXPECT_NE(w.node(1), nullptr);
        EXPECT_FALSE(w.is_link_cut("loom-1", "state"));
        w.run(20 * kSecond);
        EXPECT_TRUE(w.violations.empty());
    }
}

TEST(LabWorld, CardsAreBookedAndImagesTakeTheirSize) {
    MachineType gpus{"cards", {16'000, 4'000, 64'000}, 30'000, 2.0, 1, 1, kSecond, {"a", "b"}};
    Settings s = small_cluster_settings();
    s.teams = {{"red", {}, {kNoLimit, kNoLimit, 0}}};
    Simulator w(5, s, {gpus});
    w.add_machine("cards", "a");
    w.start_nodes(1);
    w.run(5 * kSecond);
    JobSpec job = w.make_job(1, JobKind::Array, 3);
    job.request = {1'000, 2'000, 1'000};
    job.image_gb = 20'000;  // ten seconds at 2 GB a second
    const Micros from = w.now();
    w.submit(job, 5 * kSecond, -1);
    w.run(60 * kSecond);
    EXPECT_EQ(w.reported_stage("req-000001"), "done");
    const JobOutcome f = w.job_outcomes().front();
    EXPECT_GE(f.first_started_at - from, 10 * kSecond);
    EXPECT_LE(f.first_started_at - from, 12 * kSecond);
    EXPECT_GE(f.all_started_at - f.first_started_at, 5 * kSecond);  // only two at a time have GPUs
    EXPECT_TRUE(w.violations.empty());
}

/// Two machines, one of which fails all that starts on it for a while, and every message arrives once more.
std::vector<std::string> repeated(bool commands) {
    Simulator w(11);
    for (const char* zone : {"a", "b"}) w.add_machine("small", zone);
    w.start_nodes(3);
    w.run(6 * kSecond);
    w.duplicate_rate = 1;
    w.duplicate_commands = commands;
    fakes::Worker* faulty = w.worker(w.machine_names().front());
    faulty->faulty = true;
    w.submit(w.make_job(1, JobKind::Array, 12), 12 * kSecond);
    w.run(2 * kSecond);
    faulty->faulty = false;
    w.run(40 * kSecond);
    EXPECT_EQ(w.reported_stage("req-000001"), "done") << w.format_history();
    return w.violations;
}

TEST(LabWorld, MessagesThatArriveOnceMoreChangeNothing) {
    EXPECT_EQ(repeated(false), std::vector<std::string>());
}

/// A direct launch that was carried out arrives once more after its attempt has exited: token and session
/// still match, so the worker would start it again beside the next attempt, had it been cleared
/// (ShardOwner::orders_for).
TEST(LabWorld, ALaunchOnceMoreAfterItsClearStartsNothing) {
    EXPECT_EQ(repeated(true), std::vector<std::string>());
}

TEST(LabWorld, ABurstBringsMoreAndIsOver) {
    Workload l;
    l.per_minute = 60;
    l.burst_factor = 4;
    l.burst_start = 100 * kSecond;
    l.burst_duration = 100 * kSecond;
    std::mt19937_64 random(1);
    int before = 0, within = 0, after = 0;
    for (const Micros t : l.arrivals(300 * kSecond, random))
        ++(t < 100 * kSecond ? before : t < 200 * kSecond ? within : after);
    EXPECT_NEAR(before, 97, 30);
    EXPECT_NEAR(within, 400, 60);
    EXPECT_NEAR(after, 100, 30);
}

}  // namespace
}  // namespace cottonway::test
