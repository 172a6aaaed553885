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
    ConsistencyChecker(Simulator& w, JobSpec spec, Micros span) : w_(w), spec_(std::move(spec)) {
        for (Micros t = 0; t < span; t += 100 * kMillisecond)
            w.schedule_at(w.now() + t, [this] {
                for (int i = 0; i < w_.node_count(); ++i) ask(i);
            });
    }

  private:
    void ask(int node) {
        if (!w_.node(node)) return;
        const auto judge = [this, node, told = told_](const ApiResponse& r) {
            if (r.status == 400 || r.status == 422)
                w_.violations.push_back("forgotten: a repeat was refused");
            if (r.status != 200 && r.status != 201 && r.status != 404) return;
            const std::string stage = wire::text(r.body, "stage").value_or("");
            const int now = r.status == 404 ? 0 : stage == "done" || stage == "cancelled" ? 2 : 1;
            if (now < told)
                w_.violations.push_back("went_back: " + spec_.ref + " is " + (now ? stage : "unknown") +
                                        " at " + host(node));
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
    Settings s = small_cluster_settings();
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

JobSpec watched(Simulator& w, int tasks = 2, double cores = 1) {
    return w.make_job(9, JobKind::Array, tasks, cores);
}
void submit(Simulator& w) {
    w.submit(watched(w), 3 * kSecond);
}
void nothing(Simulator&) {}
/// All that runs for some seconds, and what is watched waits for room.
void crowded(Simulator& w) {
    for (int i = 2; i <= 3; ++i) w.submit(w.make_job(i, JobKind::Array, 24), 6 * kSecond);
    w.run(kSecond);
    w.submit(watched(w, 20), 3 * kSecond);
    w.run(1500 * kMillisecond);
}
void running(Simulator& w) {
    w.submit(watched(w), 8 * kSecond);
    w.run(2 * kSecond);
}
void publish(Simulator& w) {
    policy::Policy p;
    p.revision = 3;
    for (int i = 0; i < 60; ++i) {  // more than a small value holds
        policy::TierRule rule;
        rule.scope.team = "red";
        rule.scope.job_class = "class-" + std::to_string(i);
        p.tiers.push_back(rule);
    }
    w.node(1)->set_policy_file(p);
}

const std::string kRecord = std::string("c/active/") + kRef;

const std::vector<Row> kRows = {
    {"admission", {kRecord}, false, [](Simulator& w) { w.cut_link("users", host(w.owner_node())); }, submit},
    {"admission with its binds",
     {kRecord},
     false,
     [](Simulator& w) {
         for (int i = 0; i < 3; ++i)
             if (i != w.owner_node()) w.cut_link("users", host(i));
     },
     submit},
    {"admission, cancelled beside it",
     {kRecord},
     false,
     nothing,
     [](Simulator& w) {
         submit(w);
         w.run(300 * kMillisecond);
         w.cancel(kRef);
     }},
    {"binds and done tasks", {kRecord, kRecord, kRecord}, false, crowded, nothing},
    {"the same in parts",
     {kRecord, kRecord, std::string("c/part/") + kRef, std::string("c/part/") + kRef},
     true,
     [](Simulator& w) {
         for (int i = 2; i <= 3; ++i) w.submit(w.make_job(i, JobKind::Array, 24), 6 * kSecond);
         w.run(kSecond);
         w.submit(watched(w, 60, 0.2), 2 * kSecond);
         w.run(kSecond);
     },
     nothing},
    {"final record", {std::string("c/job/") + kRef}, false, running, nothing},
    {"cancellation", {kRecord}, false, running, [](Simulator& w) { w.cancel(kRef); }},
    {"cancellation at the end",
     {kRecord},
     false,
     [](Simulator& w) {
         w.cancel_on_completion_rate = 1;
         running(w);
         for (int i = 0; i < 900 && w.completed_tasks(kRef) < 2; ++i) w.run(20 * kMillisecond);
     },
     nothing},
    {"lease", {"c/block/"}, false, nothing, [](Simulator& w) { w.add_machine("small", "a"); }},
    {"raised token",
     {"c/block/"},
     false,
     [](Simulator& w) {
         for (const auto& m : w.machine_names()) w.hold_next_message(host(w.owner_node()), m);
         submit(w);
         w.run(2 * kSecond);
     },
     nothing},
    {"returned machine",
     {"c/block/", "c/block/"},
     false,
     nothing,
     [](Simulator& w) { w.owner_at(w.owner_node())->retire(w.machine_names().back(), "a test"); }},
    {"leader and domain after an end",
     {"c/leader", "c/domain/"},
     false,
     running,
     [](Simulator& w) { w.crash(w.owner_node(), 20 * kSecond); }},
    {"live key",
     {"c/live/"},
     false,
     running,
     [](Simulator& w) { w.crash(w.owner_node(), 200 * kMillisecond); }},
    {"policy", {"c/policy"}, false, nothing, publish},
    {"pieces and what names them", {"c/0/", "c/policy"}, true, nothing, publish},
    {"machines that move",
     {"c/block/"},
     true,
     [](Simulator& w) {
         w.submit(watched(w, 16), 10 * kSecond);
         w.run(2 * kSecond);
         w.add_machine("small", "a");
         for (int i = 0; i < 500 && block_listings(w).size() < 2; ++i) w.run(10 * kMillisecond);
     },
     nothing,
     1},
    {"job that is given away",
     {kRecord},
     true,
     [](Simulator& w) {
         w.submit(w.make_job(2, JobKind::Service, 6), 0);  // the rest of the machine
         w.run(3 * kSecond);
         JobSpec s = watched(w, 60, 0.08);
         s.team = "blue";
         w.submit(s, 3 * kSecond);
         w.run(2 * kSecond);
         w.schedule_at(w.now() + 25 * kSecond, [&w] { w.cancel("req-000002"); });
     },
     [](Simulator& w) { w.add_machine("large", "a"); },
     1},
    {"share that is given",
     {"c/share/"},
     true,
     [](Simulator& w) {
         JobSpec s = watched(w, 20);
         s.team = "blue";
         w.submit(s, 3 * kSecond);
     },
     nothing},
    {"handing over",
     {"c/domain/"},
     true,
     [](Simulator& w) {
         w.crash(w.busiest_node(), 8 * kSecond);
         w.run(9 * kSecond);
     },
     nothing,
     8},
};

class LostAnswers : public testing::TestWithParam<Row> {};

TEST_P(LostAnswers, LeaveTheWriterNoWiserThanTheOthers) {
    const Row& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto w = settled_simulator(seed, row.machines, row.several ? narrow() : small_cluster_settings());
        w->submit(w->make_job(1, JobKind::Service, 2), 0);
        w->run(2 * kSecond);
        row.before(*w);
        for (const auto& key : row.lost) w->delay_next_write(key, 0);
        ConsistencyChecker looks(*w, watched(*w), 6 * kSecond);
        row.act(*w);
        w->run(12 * kSecond);
        w->heal_all_links();
        w->release_held_messages();
        w->run(20 * kSecond);
        EXPECT_EQ(w->pending_write_delays(), 0U) << "seed " << seed << "\n" << w->format_history();
        w->run(30 * kSecond);
        EXPECT_NO_VIOLATIONS(*w);
        EXPECT_EQ(w->running_tasks("req-000001"), 2);
        for (const auto& ref : w->job_refs()) {
            if (ref == "req-000001") continue;
            EXPECT_TRUE(w->reported_stage(ref) == "done" || w->reported_stage(ref) == "cancelled")
                << ref << " is " << w->reported_stage(ref) << "\n"
                << w->format_history();
            EXPECT_EQ(w->running_tasks(ref), 0) << ref;
        }
        expect_each_machine_leased_once(*w);
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, LostAnswers, testing::ValuesIn(kRows), [](const auto& row) {
    std::string name = row.param.change;
    std::erase_if(name, [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); });
    return name;
});

/// What a new machine's first report waits for is in the news as well.
TEST(LostAnswer, AFirstReportIsAnsweredOnceItsMachineIsLeased) {
    auto w = settled_simulator(8);
    const std::string machine = w->add_machine("small", "a");
    w->block_reports_from(
        machine,
        true);  // its first report is made below; it answers the call that proves that it is there
    w->delay_next_write("c/block/", 0);
    const Micros asked = w->now();
    const auto report = w->worker(machine)->report(asked);
    EXPECT_EQ(w->request(w->leader_node(), "POST", "/v1/report", report).status, 200) << w->format_history();
    EXPECT_EQ(w->pending_write_delays(), 0U);
    EXPECT_LT(w->now() - asked, kSecond) << "long before the leader knows by itself";
}

/// All that is written by processes which start: each alone, and all together.
TEST(LostAnswer, AStartComesToItsEnd) {
    const std::vector<std::string> keys{"c/live/",   "c/leader", "c/domain/", "c/share/",
                                        "c/format/", "c/types",  "c/history", "c/block/"};
    for (std::size_t i = 0; i <= keys.size(); ++i) {
        Simulator w(7, i % 2 ? narrow() : small_cluster_settings());
        for (int m = 0; m < 4; ++m) w.add_machine("small", m % 2 ? "b" : "a");
        for (std::size_t k = 0; k < keys.size(); ++k)
            if (i == k || i == keys.size()) w.delay_next_write(keys[k], 0);
        w.start_nodes();
        w.submit(w.make_job(1, JobKind::Array, 4), 2 * kSecond);
        w.run(60 * kSecond);
        EXPECT_EQ(w.pending_write_delays(), 0U) << i;
        EXPECT_EQ(w.reported_stage("req-000001"), "done") << w.format_history();
        EXPECT_EQ(w.task_starts("req-000001"), 4) << w.format_history();
        EXPECT_NO_VIOLATIONS(w);
        expect_each_machine_leased_once(w);
    }
}

}  // namespace
}  // namespace cottonway::test
