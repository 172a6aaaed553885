// Moves and gathered room with controllers that end at every step, in the simulated world: nothing runs
// twice, what moves is moved once, a service never lacks more than the one that moves, and nothing is kept
// for ever.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kFine = 5 * kMillisecond;
constexpr auto kWeb = "req-000001";

Json stored_plan(Simulator& w) {
    const auto r = w.state().handle("GET", "/store?starts=c/plan/&page=10", Json(), w.now());
    return r.body["pairs"];
}

bool record_stands(Simulator& w) {
    return !stored_plan(w).empty();
}

const scheduling::Plan* plan_at(Simulator& w, int node) {
    ShardOwner* owner = node >= 0 ? w.owner_at(node) : nullptr;
    return owner ? &owner->rebalancer().plan() : nullptr;
}

policy::Policy asked() {
    policy::Policy p;
    p.revision = 1;
    p.budgets.settle = 3 * kSecond;
    p.budgets.service_pause = 5 * kSecond;
    return p;
}

// ---------------------------------------------------------------- balance

Settings balanced_site() {
    Settings s = small_cluster_settings();
    policy::Policy p = asked();
    policy::ZoneRule rule;
    rule.scope.team = "red";
    rule.most_share = 0.5;
    rule.rebalance = true;
    p.zones = {rule};
    s.ops.policy = p;
    return s;
}

/// A service of four, all in zone a as b has no machines; then b gets some, so that two have to move.
struct Balance {
    Simulator w;
    int least = 4;  // replicas that ran at a time

    explicit Balance(std::uint64_t seed) : w(seed, balanced_site()) {
        for (int i = 0; i < 2; ++i) w.add_machine("small", "a");
        w.start_nodes();
        w.run(6 * kSecond);
        JobSpec web = w.make_job(1, JobKind::Service, 4);
        web.rank = PriorityClass::Production;
        w.submit(web, 0);
        w.run(4 * kSecond);
        for (int i = 0; i < 2; ++i) w.add_machine("small", "b");
    }
    void run(Micros span, Micros step = 50 * kMillisecond) {
        for (const Micros end = w.now() + span; w.now() < end;) {
            w.run(step);
            least = std::min(least, w.running_tasks(kWeb));
        }
    }
    /// Runs until `there`, at most for that long.
    bool until(const std::function<bool()>& there, Micros most = 40 * kSecond) {
        for (const Micros end = w.now() + most; w.now() < end && !there();) run(kFine, kFine);
        return there();
    }
    int in_zone_b() {
        int n = 0;
        const auto& machines = w.owner_at(w.owner_node())->machines();
        for (const auto& m : w.machines_running(kWeb)) n += machines.at(m)->zone == "b";
        return n;
    }
    void expect_balanced(const std::string& what) {
        const std::string story = what + "\n" + w.format_history();
        EXPECT_TRUE(w.violations.empty()) << w.violations.front() << "\n" << story;
        EXPECT_EQ(w.running_tasks(kWeb), 4) << story;
        EXPECT_GE(least, 3) << story;
        EXPECT_EQ(w.task_starts(kWeb), 6) << "each of two moves once\n" << story;
        EXPECT_FALSE(record_stands(w)) << stored_plan(w).dump() << story;
        const auto* plan = plan_at(w, w.owner_node());
        ASSERT_TRUE(plan) << story;
        EXPECT_TRUE(plan->empty()) << story;
        EXPECT_GE(in_zone_b(), 1) << story;
    }
};

struct Step {
    const char* name;
    std::function<bool(Balance&)> there;
};

const std::vector<Step>& steps() {
    static const std::vector<Step> all{
        {"before the record",
         [](Balance& b) {
             const auto* p = plan_at(b.w, b.w.owner_node());
             return p && !p->moves().empty() && !record_stands(b.w);
         }},
        {"after the record, before its answer", [](Balance& b) { return record_stands(b.w); }},
        {"after the stop",
         [](Balance& b) {
             const auto* p = plan_at(b.w, b.w.owner_node());
             if (!p || p->moves().empty()) return false;
             const auto& m = p->moves().front().move;
             return b.w.owner_at(b.w.owner_node())
                 ->jobs()
                 .at(m.job)
                 ->slots[static_cast<std::size_t>(m.task)]
                 .stop;
         }},
        {"after it is gone, before it starts",
         [](Balance& b) {
             const auto* p = plan_at(b.w, b.w.owner_node());
             return p && !p->moves().empty() && b.w.running_tasks(kWeb) == 3;
         }},
        {"after it is bound again",
         [](Balance& b) {
             const auto* p = plan_at(b.w, b.w.owner_node());
             if (!p || p->moves().empty()) return false;
             const auto& m = p->moves().front().move;
             const auto& slot =
                 b.w.owner_at(b.w.owner_node())->jobs().at(m.job)->slots[static_cast<std::size_t>(m.task)];
             return slot.machine && slot.machine->name != m.from;
         }},
        {"after it started", [](Balance& b) { return b.w.task_starts(kWeb) == 5; }},
    };
    return all;
}

TEST(MovesInTheWorld, AServiceComesIntoBalanceByItself) {
    Balance b(1);
    b.run(40 * kSecond);
    b.expect_balanced("undisturbed");
}

TEST(MovesInTheWorld, APlanWhoseAnswersAreLostIsCarriedOutOnce) {
    Balance b(2);
    for (int i = 0; i < 3; ++i) b.w.delay_next_write("c/plan/", 0);
    b.run(60 * kSecond);
    EXPECT_EQ(b.w.pending_write_delays(), 0U) << b.w.format_history();
    b.expect_balanced("answers lost");
}

TEST(MovesInTheWorld, AnEndOfTheHolderAtEveryStepMovesNothingTwice) {
    for (const Step& step : steps())
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            Balance b(seed);
            const std::string what = std::string(step.name) + ", seed " + std::to_string(seed);
            ASSERT_TRUE(b.until([&] { return step.there(b); })) << what << "\n" << b.w.format_history();
            b.w.crash(b.w.owner_node(), 20 * kSecond);
            b.run(70 * kSecond);
            b.expect_balanced(what);
        }
}

TEST(MovesInTheWorld, AllControllersEndAtEveryStep) {
    for (const Step& step : steps()) {
        Balance b(4);
        ASSERT_TRUE(b.until([&] { return step.there(b); })) << step.name;
        for (int i = 0; i < 3; ++i) b.w.crash(i, 2 * kSecond + i * 300 * kMillisecond);
        b.run(70 * kSecond);
        b.expect_balanced(std::string("all end ") + step.name);
    }
}

TEST(MovesInTheWorld, TheStoreIsDownAtEveryStep) {
    for (const Step& step : steps()) {
        Balance b(5);
        ASSERT_TRUE(b.until([&] { return step.there(b); })) << step.name;
        b.w.state().set_down(true, b.w.now());
        b.run(6 * kSecond);
        b.w.state().set_down(false, b.w.now());
        b.run(60 * kSecond);
        b.expect_balanced(std::string("the store is down ") + step.name);
    }
}

TEST(MovesInTheWorld, TheRecordsWriteIsAnsweredLateOrNever) {
    for (const bool request : {true, false})
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            Balance b(seed);
            ASSERT_TRUE(b.until([&] { return steps()[0].there(b); }));
            const std::string node = "loom-" + std::to_string(b.w.owner_node());
            b.w.hold_next_message(request ? node : "state", request ? "state" : node);
            b.w.state_answer_loss_rate = 0.3;
            b.run(8 * kSecond);
            b.w.state_answer_loss_rate = 0;
            b.w.release_held_messages();
            b.run(60 * kSecond);
            b.expect_balanced(request ? "a request comes late" : "an answer comes late");
        }
}

TEST(MovesInTheWorld, ADestinationDiesAndTheTaskStartsElsewhere) {
    Balance b(6);
    ASSERT_TRUE(b.until([&] { return steps()[2].there(b); }));
    b.w.kill_machine(plan_at(b.w, b.w.owner_node())->moves().front().move.to);
    b.run(70 * kSecond);
    EXPECT_TRUE(b.w.violations.empty()) << b.w.violations.front() << b.w.format_history();
    EXPECT_EQ(b.w.running_tasks(kWeb), 4) << b.w.format_history();
    EXPECT_GE(b.least, 3);
    EXPECT_FALSE(record_stands(b.w));
}

TEST(MovesInTheWorld, AJobThatIsCancelledMeanwhileEnds) {
    for (const Step& step : steps()) {
        Balance b(7);
        ASSERT_TRUE(b.until([&] { return step.there(b); })) << step.name;
        b.w.cancel(kWeb);
        b.w.run(20 * kSecond);
        EXPECT_TRUE(b.w.violations.empty()) << b.w.violations.front() << b.w.format_history();
        EXPECT_EQ(b.w.running_tasks(kWeb), 0) << step.name;
        EXPECT_FALSE(record_stands(b.w)) << step.name;
    }
}

// ---------------------------------------------------------------- room for a large task

constexpr auto kLarge = "req-000009";

/// Two machines of eight GPUs, half of each in use by batch that saves its progress; a task that needs a
/// whole one comes.
struct Room {
    Simulator w;

    static Settings site() {
        Settings s = small_cluster_settings();
        s.teams[0].limit = {128'000, 64'000, 0};
        policy::Policy p = asked();
        p.gpus.make_room = true;
        p.gpus.after = 2 * kSecond;
        s.ops.policy = p;
        return s;
    }
    static std::vector<MachineType> types() {
        return {{"g8", {32'000, 8'000, 128'000}, 200'000, 1.0, 4.0, 1.5, 10 * kSecond, {"a", "b"}}};
    }
    JobSpec with_gpus(int number, Milli gpus) {
        JobSpec s = w.make_job(number, JobKind::Array, 1);
        s.request = {gpus * 2, gpus, gpus * 8};
        s.estimate = 300 * kSecond;
        s.checkpoint = 10 * kSecond;
        s.save = kSecond;
        s.spot = false;  // what may use spot machines would be drained to return one
        return s;
    }
    explicit Room(std::uint64_t seed) : w(seed, site(), types()) {
        w.add_machine("g8", "a");
        w.start_nodes();
        w.run(6 * kSecond);
        w.cloud().capacity = 0;
        w.submit(with_gpus(1, 4'000), 300 * kSecond);
        w.submit(with_gpus(2, 4'000), 12 * kSecond);  // only to fill the first machine
        w.run(4 * kSecond);
        w.add_machine("g8", "a");
        w.run(3 * kSecond);
        w.submit(with_gpus(3, 4'000), 300 * kSecond);
        w.run(10 * kSecond);  // now each has four GPUs free
        w.submit(with_gpus(9, 8'000), 20 * kSecond);
    }
    bool until(const std::function<bool()>& there) {
        for (const Micros end = w.now() + 30 * kSecond; w.now() < end && !there();) w.run(kFine);
        return there();
    }
    /// Exactly one of both was moved; a start more where the machine's end took it.
    void expect_at_rest(const std::string& what, int large_starts) {
        const std::string story = what + "\n" + w.format_history();
        EXPECT_TRUE(w.violations.empty()) << w.violations.front() << "\n" << story;
        EXPECT_EQ(w.task_starts(kLarge), large_starts) << story;
        EXPECT_EQ(w.running_tasks("req-000001") + w.running_tasks("req-000003"), 2) << story;
        EXPECT_LE(w.task_starts("req-000001") + w.task_starts("req-000003"), 3) << story;
        EXPECT_FALSE(record_stands(w)) << stored_plan(w).dump() << story;
    }
};

const std::vector<std::pair<const char*, std::function<bool(Room&)>>>& room_steps() {
    static const auto running = [](Room& r) {
        return r.w.running_tasks("req-000001") + r.w.running_tasks("req-000003");
    };
    static const std::vector<std::pair<const char*, std::function<bool(Room&)>>> all{
        {"before the record",
         [](Room& r) {
             const auto* p = plan_at(r.w, r.w.owner_node());
             return p && !p->gathers().empty() && !record_stands(r.w);
         }},
        {"after the record", [](Room& r) { return record_stands(r.w); }},
        {"after the stop", [](Room& r) { return running(r) < 2; }},
        {"after the moved one started",
         [](Room& r) { return r.w.task_starts("req-000001") + r.w.task_starts("req-000003") == 3; }},
        {"after the large one started", [](Room& r) { return r.w.task_starts(kLarge) == 1; }},
    };
    return all;
}

TEST(RoomInTheWorld, AnEndOfTheHolderAtEveryStepOfAGathering) {
    for (const auto& [name, there] : room_steps())
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            Room r(seed);
            const std::string what = std::string(name) + ", seed " + std::to_string(seed);
            ASSERT_TRUE(r.until([&, &at = there] { return at(r); })) << what << "\n" << r.w.format_history();
            r.w.crash(r.w.owner_node(), 20 * kSecond);
            r.w.run(60 * kSecond);
            r.expect_at_rest(what, 1);
        }
}

TEST(RoomInTheWorld, AllControllersEndAtEveryStepOfAGathering) {
    for (const auto& [name, there] : room_steps()) {
        Room r(4);
        ASSERT_TRUE(r.until([&, &at = there] { return at(r); })) << name << "\n" << r.w.format_history();
        for (int i = 0; i < 3; ++i) r.w.crash(i, 2 * kSecond + i * 300 * kMillisecond);
        r.w.run(60 * kSecond);
        r.expect_at_rest(std::string("all end ") + name, 1);
    }
}

TEST(RoomInTheWorld, RoomThatIsKeptIsNotTakenByWhatComesMeanwhile) {
    Room r(6);
    ASSERT_TRUE(r.until([&] {
        const auto* p = plan_at(r.w, r.w.owner_node());
        return p && !p->kept().empty();
    }));
    r.w.submit(r.with_gpus(4, 4'000), 300 * kSecond);
    r.w.run(10 * kSecond);
    EXPECT_EQ(r.w.task_starts(kLarge), 1) << r.w.format_history();
    EXPECT_EQ(r.w.task_starts("req-000004"), 0) << "it waits its turn\n" << r.w.format_history();
    r.w.run(30 * kSecond);
    EXPECT_EQ(r.w.task_starts("req-000004"), 1) << r.w.format_history();
    r.expect_at_rest("with another one", 1);
}

TEST(RoomInTheWorld, TheLargeJobIsCancelledAtEveryStepAndNothingIsKept) {
    for (const auto& [name, there] : room_steps()) {
        Room r(5);
        ASSERT_TRUE(r.until([&, &at = there] { return at(r); })) << name << "\n" << r.w.format_history();
        r.w.cancel(kLarge);
        r.w.run(30 * kSecond);
        r.expect_at_rest(std::string("cancelled ") + name, r.w.task_starts(kLarge));
        EXPECT_LE(r.w.task_starts(kLarge), 1) << name;
    }
}

TEST(MovesInTheWorld, WithoutAPolicyOrWithNothingToMoveNothingIsWritten) {
    for (const bool with : {true, false}) {
        Settings s = balanced_site();
        if (!with) s.ops.policy.reset();
        Simulator w(8, s);
        for (int i = 0; i < 4; ++i) w.add_machine("small", i % 2 ? "b" : "a");
        w.start_nodes();
        w.run(6 * kSecond);
        w.submit(w.make_job(1, JobKind::Service, 4), 0);
        w.submit(w.make_job(2, JobKind::Array, 3), 4 * kSecond);
        w.run(30 * kSecond);
        EXPECT_EQ(w.running_tasks(kWeb), 4);
        for (int i = 0; i < 3; ++i) EXPECT_FALSE(w.node(i)->status()["changes_sent"].contains("plan"));
    }
}

}  // namespace
}  // namespace cottonway::test
