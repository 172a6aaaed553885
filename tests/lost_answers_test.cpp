// Transactions that are carried out at once and whose answer alone is lost, while the other controllers read
// what they wrote: every kind of change that the program writes, one at a time.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr auto kRef = "req-000009";

/// JobService at every controller ask after a job and submit it again, ten times a second. No answer may be
/// older than one that had been received when it was asked for, and nothing may be denied that anyone was
/// told.
class ConsistencyChecker {
  public:
    ConsistencyChecker(Simulator& simulator, JobSpec spec, Micros span) : w_(simulator), spec_(std::move(spec)) {
        for (Micros t = 0; t < span; t += 100 * kMillisecond)
            simulator.at(simulator.now() + t, [this] {
                for (int i = 0; i < w_.node_count(); ++i) ask(i);
            });
    }

  private:
    void ask(int node) {
        if (!w_.node(node)) return;
        const auto judge = [this, node, told = told_](const ApiResponse& r) {
            if (r.status == 400 || r.status == 422) w_.broken.push_back("forgotten: a repeat was refused");
            if (r.status != 200 && r.status != 201 && r.status != 404) return;
            const std::string stage = wire::text(r.body, "stage").value_or("");
            const int now = r.status == 404 ? 0 : stage == "done" || stage == "cancelled" ? 2 : 1;
            if (now < told)
                w_.broken.push_back("went_back: " + spec_.ref + " is " + (now ? stage : "unknown") + " at " +
                                    host(node));
            told_ = std::max(told_, now);
        };
        w_.node(node)->handle({"GET", "/v1/jobs/" + spec_.ref, "", false}, judge);
        if (told_ == 0) return;  // its own user submits it first
        w_.node(node)->handle({"POST", "/v1/jobs", wire::encode(wire::job_value(spec_)), false}, judge);
    }
    Simulator& w_;
    JobSpec spec_;
    int told_ = 0;  // 1: accepted, 2: over
};

Settings narrow() {
    Settings s = small_site();
    s.cpu_share = 0.001;  // several shards
    s.value_bytes = 1024;
    s.txn_ops = 4;
    s.ops.idle_return = 600 * kSecond;
    return s;
}

struct Row {
    const char* change;
    std::vector<std::string> lost;  // keys that the changes write whose answers are lost
    bool several = false;           // shards, and small values
    /// What leads up to the change; it is asked for right after.
    std::function<void(Simulator&)> before;
    std::function<void(Simulator&)> act;
    int machines = 4;
};

void PrintTo(const Row& row, std::ostream* out) {
    *out << row.change;
}

JobSpec watched(Simulator& simulator, int tasks = 2, double cores = 1) {
    return simulator.job(9, JobKind::Array, tasks, cores);
}
void submit(Simulator& simulator) {
    simulator.submit(watched(simulator), 3 * kSecond);
}
void nothing(Simulator&) {}
/// All that runs for some seconds, and what is watched waits for room.
void crowded(Simulator& simulator) {
    for (int i = 2; i <= 3; ++i) simulator.submit(simulator.job(i, JobKind::Array, 24), 6 * kSecond);
    simulator.run(kSecond);
    simulator.submit(watched(simulator, 20), 3 * kSecond);
    simulator.run(1500 * kMillisecond);
}
void running(Simulator& simulator) {
    simulator.submit(watched(simulator), 8 * kSecond);
    simulator.run(2 * kSecond);
}
void publish(Simulator& simulator) {
    policy::Policy p;
    p.revision = 3;
    for (int i = 0; i < 60; ++i) {  // more than a small value holds
        policy::TierRule rule;
        rule.scope.team = "red";
        rule.scope.job_class = "class-" + std::to_string(i);
        p.tiers.push_back(rule);
    }
    simulator.node(1)->set_policy_file(p);
}

const std::string kRecord = std::string("c/active/") + kRef;

const std::vector<Row> kRows = {
    {"admission", {kRecord}, false, [](Simulator& simulator) { simulator.cut("users", host(simulator.holder())); }, submit},
    {"admission with its binds",
     {kRecord},
     false,
     [](Simulator& simulator) {
         for (int i = 0; i < 3; ++i)
             if (i != simulator.holder()) simulator.cut("users", host(i));
     },
     submit},
    {"admission, cancelled beside it",
     {kRecord},
     false,
     nothing,
     [](Simulator& simulator) {
         submit(simulator);
         simulator.run(300 * kMillisecond);
         simulator.cancel(kRef);
     }},
    {"binds and done tasks", {kRecord, kRecord, kRecord}, false, crowded, nothing},
    {"the same in parts",
     {kRecord, kRecord, std::string("c/part/") + kRef, std::string("c/part/") + kRef},
     true,
     [](Simulator& simulator) {
         for (int i = 2; i <= 3; ++i) simulator.submit(simulator.job(i, JobKind::Array, 24), 6 * kSecond);
         simulator.run(kSecond);
         simulator.submit(watched(simulator, 60, 0.2), 2 * kSecond);
         simulator.run(kSecond);
     },
     nothing},
    {"final record", {std::string("c/job/") + kRef}, false, running, nothing},
    {"cancellation", {kRecord}, false, running, [](Simulator& simulator) { simulator.cancel(kRef); }},
    {"cancellation at the end",
     {kRecord},
     false,
     [](Simulator& simulator) {
         simulator.cancel_at_end = 1;
         running(simulator);
         for (int i = 0; i < 900 && simulator.completed_tasks(kRef) < 2; ++i) simulator.run(20 * kMillisecond);
     },
     nothing},
    {"lease", {"c/block/"}, false, nothing, [](Simulator& simulator) { simulator.add_machine("small", "a"); }},
    {"raised token",
     {"c/block/"},
     false,
     [](Simulator& simulator) {
         for (const auto& m : simulator.machine_names()) simulator.hold_next(host(simulator.holder()), m);
         submit(simulator);
         simulator.run(2 * kSecond);
     },
     nothing},
    {"returned machine",
     {"c/block/", "c/block/"},
     false,
     nothing,
     [](Simulator& simulator) { simulator.owner_at(simulator.holder())->retire(simulator.machine_names().back(), "a test"); }},
    {"leader and domain after an end",
     {"c/leader", "c/domain/"},
     false,
     running,
     [](Simulator& simulator) { simulator.crash(simulator.holder(), 20 * kSecond); }},
    {"live key", {"c/live/"}, false, running, [](Simulator& simulator) { simulator.crash(simulator.holder(), 200 * kMillisecond); }},
    {"policy", {"c/policy"}, false, nothing, publish},
    {"pieces and what names them", {"c/0/", "c/policy"}, true, nothing, publish},
    {"machines that move",
     {"c/block/"},
     true,
     [](Simulator& simulator) {
         simulator.submit(watched(simulator, 16), 10 * kSecond);
         simulator.run(2 * kSecond);
         simulator.add_machine("small", "a");
         for (int i = 0; i < 500 && leased(simulator).size() < 2; ++i) simulator.run(10 * kMillisecond);
     },
     nothing,
     1},
    {"job that is given away",
     {kRecord},
     true,
     [](Simulator& simulator) {
         simulator.submit(simulator.job(2, JobKind::Service, 6), 0);  // the rest of the machine
         simulator.run(3 * kSecond);
         JobSpec s = watched(simulator, 60, 0.08);
         s.team = "blue";
         simulator.submit(s, 3 * kSecond);
         simulator.run(2 * kSecond);
         simulator.at(simulator.now() + 25 * kSecond, [&simulator] { simulator.cancel("req-000002"); });
     },
     [](Simulator& simulator) { simulator.add_machine("large", "a"); },
     1},
    {"share that is given",
     {"c/share/"},
     true,
     [](Simulator& simulator) {
         JobSpec s = watched(simulator, 20);
         s.team = "blue";
         simulator.submit(s, 3 * kSecond);
     },
     nothing},
    {"handing over",
     {"c/domain/"},
     true,
     [](Simulator& simulator) {
         simulator.crash(simulator.busiest(), 8 * kSecond);
         simulator.run(9 * kSecond);
     },
     nothing,
     8},
};

class LostAnswers : public testing::TestWithParam<Row> {};

TEST_P(LostAnswers, LeaveTheWriterNoWiserThanTheOthers) {
    const Row& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto simulator = settled_simulator(seed, row.machines, row.several ? narrow() : small_site());
        simulator->submit(simulator->job(1, JobKind::Service, 2), 0);
        simulator->run(2 * kSecond);
        row.before(*simulator);
        for (const auto& key : row.lost) simulator->late_next(key, 0);
        ConsistencyChecker looks(*simulator, watched(*simulator), 6 * kSecond);
        row.act(*simulator);
        simulator->run(12 * kSecond);
        simulator->heal_all();
        simulator->release();
        simulator->run(20 * kSecond);
        EXPECT_EQ(simulator->late_to_come(), 0U) << "seed " << seed << "\n" << simulator->story();
        simulator->run(30 * kSecond);
        EXPECT_RULES(*simulator);
        EXPECT_EQ(simulator->running("req-000001"), 2);
        for (const auto& ref : simulator->refs()) {
            if (ref == "req-000001") continue;
            EXPECT_TRUE(simulator->told(ref) == "done" || simulator->told(ref) == "cancelled")
                << ref << " is " << simulator->told(ref) << "\n"
                << simulator->story();
            EXPECT_EQ(simulator->running(ref), 0) << ref;
        }
        expect_each_machine_leased_once(*simulator);
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, LostAnswers, testing::ValuesIn(kRows), [](const auto& row) {
    std::string name = row.param.change;
    std::erase_if(name, [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); });
    return name;
});

/// What a new machine's first report waits for is in the news as well.
TEST(LostAnswer, AFirstReportIsAnsweredOnceItsMachineIsLeased) {
    auto simulator = settled_simulator(8);
    const std::string machine = simulator->add_machine("small", "a");
    simulator->mute(machine,
            true);  // its first report is made below; it answers the call that proves that it is there
    simulator->late_next("c/block/", 0);
    const Micros asked = simulator->now();
    const auto report = simulator->worker(machine)->report(asked);
    EXPECT_EQ(simulator->ask(simulator->leader(), "POST", "/v1/report", report).status, 200) << simulator->story();
    EXPECT_EQ(simulator->late_to_come(), 0U);
    EXPECT_LT(simulator->now() - asked, kSecond) << "long before the leader knows by itself";
}

/// All that is written by processes which start: each alone, and all together.
TEST(LostAnswer, AStartComesToItsEnd) {
    const std::vector<std::string> keys{"c/live/",   "c/leader", "c/domain/", "c/share/",
                                        "c/format/", "c/types",  "c/history", "c/block/"};
    for (std::size_t i = 0; i <= keys.size(); ++i) {
        Simulator simulator(7, i % 2 ? narrow() : small_site());
        for (int m = 0; m < 4; ++m) simulator.add_machine("small", m % 2 ? "b" : "a");
        for (std::size_t k = 0; k < keys.size(); ++k)
            if (i == k || i == keys.size()) simulator.late_next(keys[k], 0);
        simulator.start_nodes();
        simulator.submit(simulator.job(1, JobKind::Array, 4), 2 * kSecond);
        simulator.run(60 * kSecond);
        EXPECT_EQ(simulator.late_to_come(), 0U) << i;
        EXPECT_EQ(simulator.told("req-000001"), "done") << simulator.story();
        EXPECT_EQ(simulator.starts("req-000001"), 4) << simulator.story();
        EXPECT_RULES(simulator);
        expect_each_machine_leased_once(simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
