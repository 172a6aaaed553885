// Transactions that are executed at once but whose answer is lost, so that the other controllers read what
// was written while the writer does not know the outcome. Covers every kind of change that the controllers
// write, one at a time.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr auto kRef = "req-000009";

/// Asks every controller for a job, and submits it again, ten times a second. No answer may be older than an
/// answer that had been received before the request, and no controller may contradict an earlier answer to
/// the user.
class JobAnswerChecker {
  public:
    JobAnswerChecker(Simulator& simulator, JobSpec spec, Micros span)
        : simulator_(simulator), spec_(std::move(spec)) {
        for (Micros offset = 0; offset < span; offset += 100 * kMillisecond)
            simulator.schedule_at(simulator.now() + offset, [this] {
                for (int i = 0; i < simulator_.node_count(); ++i) check_node(i);
            });
    }

  private:
    void check_node(int node) {
        if (!simulator_.node(node)) return;
        const auto check_answer = [this, node, known_stage = reported_stage_](const ApiResponse& response) {
            if (response.status == 400 || response.status == 422)
                simulator_.violations.push_back("forgotten: a repeat was refused");
            if (response.status != 200 && response.status != 201 && response.status != 404) return;
            const std::string stage = wire::text(response.body, "stage").value_or("");
            const int stage_number = response.status == 404                    ? 0
                                     : stage == "done" || stage == "cancelled" ? 2
                                                                               : 1;
            if (stage_number < known_stage)
                simulator_.violations.push_back("went_back: " + spec_.ref + " is " +
                                                (stage_number ? stage : "unknown") + " at " + host(node));
            reported_stage_ = std::max(reported_stage_, stage_number);
        };
        simulator_.node(node)->handle_request({"GET", "/v1/jobs/" + spec_.ref, "", false}, check_answer);
        if (reported_stage_ == 0) return;  // the simulator's user submits the job first
        simulator_.node(node)->handle_request(
            {"POST", "/v1/jobs", wire::encode(wire::job_value(spec_)), false}, check_answer);
    }
    Simulator& simulator_;
    JobSpec spec_;
    int reported_stage_ = 0;  // 1: accepted, 2: over
};

Settings settings_with_small_limits() {
    Settings settings = small_cluster_settings();
    settings.cpu_cores = 0.001;  // leads to several shards
    settings.max_value_bytes = 1024;
    settings.max_txn_ops = 4;
    settings.operators.idle_return_delay = 600 * kSecond;
    return settings;
}

struct ChangeCase {
    const char* change;
    std::vector<std::string> lost;  // prefixes of the keys written by the changes whose answers are lost
    bool several_shards = false;    // and small stored values
    /// Prepares the state; `act` then causes the change.
    std::function<void(Simulator&)> before;
    std::function<void(Simulator&)> act;
    int machines = 4;
};

void PrintTo(const ChangeCase& change_case, std::ostream* out) {
    *out << change_case.change;
}

JobSpec watched_job(Simulator& simulator, int tasks = 2, double cores = 1) {
    return simulator.make_job(9, JobKind::Array, tasks, cores);
}
void submit_watched_job(Simulator& simulator) {
    simulator.submit(watched_job(simulator), 3 * kSecond);
}
void do_nothing(Simulator&) {}
/// Fills all machines for some seconds, so that the watched job waits for capacity.
void submit_waiting_job(Simulator& simulator) {
    for (int i = 2; i <= 3; ++i) simulator.submit(simulator.make_job(i, JobKind::Array, 24), 6 * kSecond);
    simulator.run(kSecond);
    simulator.submit(watched_job(simulator, 20), 3 * kSecond);
    simulator.run(1500 * kMillisecond);
}
void submit_and_run(Simulator& simulator) {
    simulator.submit(watched_job(simulator), 8 * kSecond);
    simulator.run(2 * kSecond);
}
void publish_policy(Simulator& simulator) {
    policy::Policy policy_file;
    policy_file.revision = 3;
    for (int i = 0; i < 60; ++i) {  // more rules than fit into one small value
        policy::TierRule rule;
        rule.scope.team = "red";
        rule.scope.job_class = "class-" + std::to_string(i);
        policy_file.tiers.push_back(rule);
    }
    simulator.node(1)->set_policy_file(policy_file);
}

const std::string kRecord = std::string("c/active/") + kRef;

const std::vector<ChangeCase> kChangeCases = {
    {"admission",
     {kRecord},
     false,
     [](Simulator& simulator) { simulator.cut_link("users", host(simulator.owner_node())); },
     submit_watched_job},
    {"admission with its binds",
     {kRecord},
     false,
     [](Simulator& simulator) {
         for (int i = 0; i < 3; ++i)
             if (i != simulator.owner_node()) simulator.cut_link("users", host(i));
     },
     submit_watched_job},
    {"admission and cancellation",
     {kRecord},
     false,
     do_nothing,
     [](Simulator& simulator) {
         submit_watched_job(simulator);
         simulator.run(300 * kMillisecond);
         simulator.cancel(kRef);
     }},
    {"binds and done tasks", {kRecord, kRecord, kRecord}, false, submit_waiting_job, do_nothing},
    {"binds and done tasks in parts",
     {kRecord, kRecord, std::string("c/part/") + kRef, std::string("c/part/") + kRef},
     true,
     [](Simulator& simulator) {
         for (int i = 2; i <= 3; ++i)
             simulator.submit(simulator.make_job(i, JobKind::Array, 24), 6 * kSecond);
         simulator.run(kSecond);
         simulator.submit(watched_job(simulator, 60, 0.2), 2 * kSecond);
         simulator.run(kSecond);
     },
     do_nothing},
    {"final record", {std::string("c/job/") + kRef}, false, submit_and_run, do_nothing},
    {"cancellation", {kRecord}, false, submit_and_run, [](Simulator& simulator) { simulator.cancel(kRef); }},
    {"cancellation at the end",
     {kRecord},
     false,
     [](Simulator& simulator) {
         simulator.cancel_on_completion_rate = 1;
         submit_and_run(simulator);
         for (int i = 0; i < 900 && simulator.completed_tasks(kRef) < 2; ++i)
             simulator.run(20 * kMillisecond);
     },
     do_nothing},
    {"lease",
     {"c/block/"},
     false,
     do_nothing,
     [](Simulator& simulator) { simulator.add_machine("small", "a"); }},
    {"raised token",
     {"c/block/"},
     false,
     [](Simulator& simulator) {
         for (const auto& m : simulator.machine_names())
             simulator.hold_next_message(host(simulator.owner_node()), m);
         submit_watched_job(simulator);
         simulator.run(2 * kSecond);
     },
     do_nothing},
    {"returned machine",
     {"c/block/", "c/block/"},
     false,
     do_nothing,
     [](Simulator& simulator) {
         simulator.owner_at(simulator.owner_node())->retire(simulator.machine_names().back(), "a test");
     }},
    {"leader and domain after a crash",
     {"c/leader", "c/domain/"},
     false,
     submit_and_run,
     [](Simulator& simulator) { simulator.crash(simulator.owner_node(), 20 * kSecond); }},
    {"live key",
     {"c/live/"},
     false,
     submit_and_run,
     [](Simulator& simulator) { simulator.crash(simulator.owner_node(), 200 * kMillisecond); }},
    {"policy", {"c/policy"}, false, do_nothing, publish_policy},
    {"policy in chunks", {"c/0/", "c/policy"}, true, do_nothing, publish_policy},
    {"machine transfer",
     {"c/block/"},
     true,
     [](Simulator& simulator) {
         simulator.submit(watched_job(simulator, 16), 10 * kSecond);
         simulator.run(2 * kSecond);
         simulator.add_machine("small", "a");
         for (int i = 0; i < 500 && block_listings(simulator).size() < 2; ++i)
             simulator.run(10 * kMillisecond);
     },
     do_nothing,
     1},
    {"job transfer",
     {kRecord},
     true,
     [](Simulator& simulator) {
         simulator.submit(simulator.make_job(2, JobKind::Service, 6), 0);  // takes the rest of the machine
         simulator.run(3 * kSecond);
         JobSpec spec = watched_job(simulator, 60, 0.08);
         spec.team = "blue";
         simulator.submit(spec, 3 * kSecond);
         simulator.run(2 * kSecond);
         simulator.schedule_at(simulator.now() + 25 * kSecond,
                               [&simulator] { simulator.cancel("req-000002"); });
     },
     [](Simulator& simulator) { simulator.add_machine("large", "a"); },
     1},
    {"quota share transfer",
     {"c/share/"},
     true,
     [](Simulator& simulator) {
         JobSpec spec = watched_job(simulator, 20);
         spec.team = "blue";
         simulator.submit(spec, 3 * kSecond);
     },
     do_nothing},
    {"shard transfer",
     {"c/domain/"},
     true,
     [](Simulator& simulator) {
         simulator.crash(simulator.busiest_node(), 8 * kSecond);
         simulator.run(9 * kSecond);
     },
     do_nothing,
     8},
};

class LostAnswers : public testing::TestWithParam<ChangeCase> {};

TEST_P(LostAnswers, WriterAndOtherControllersStayConsistent) {
    const ChangeCase& change_case = GetParam();
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto simulator = settled_simulator(
            seed, change_case.machines,
            change_case.several_shards ? settings_with_small_limits() : small_cluster_settings());
        simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
        simulator->run(2 * kSecond);
        change_case.before(*simulator);
        for (const auto& key : change_case.lost) simulator->delay_next_write(key, 0);
        JobAnswerChecker checker(*simulator, watched_job(*simulator), 6 * kSecond);
        change_case.act(*simulator);
        simulator->run(12 * kSecond);
        simulator->heal_all_links();
        simulator->release_held_messages();
        simulator->run(20 * kSecond);
        EXPECT_EQ(simulator->pending_write_delays(), 0U) << "seed " << seed << "\n"
                                                         << simulator->format_history();
        simulator->run(30 * kSecond);
        EXPECT_NO_VIOLATIONS(*simulator);
        EXPECT_EQ(simulator->running_tasks("req-000001"), 2);
        for (const auto& ref : simulator->job_refs()) {
            if (ref == "req-000001") continue;
            EXPECT_TRUE(simulator->reported_stage(ref) == "done" ||
                        simulator->reported_stage(ref) == "cancelled")
                << ref << " is " << simulator->reported_stage(ref) << "\n"
                << simulator->format_history();
            EXPECT_EQ(simulator->running_tasks(ref), 0) << ref;
        }
        expect_each_machine_listed_once(*simulator);
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, LostAnswers, testing::ValuesIn(kChangeCases), [](const auto& test_case) {
    std::string name = test_case.param.change;
    std::erase_if(name, [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); });
    return name;
});

/// The write that adds a new machine to a block loses its answer. The leader learns of it from the change
/// feed as well, so it answers the machine's first report at once.
TEST(LostAnswer, FirstReportIsAnsweredOnceItsMachineIsInABlock) {
    auto simulator = settled_simulator(8);
    const std::string machine = simulator->add_machine("small", "a");
    // The first report is sent below. The machine answers the call that checks that it exists.
    simulator->block_reports_from(machine, true);
    simulator->delay_next_write("c/block/", 0);
    const Micros requested_at = simulator->now();
    const auto report = simulator->worker(machine)->report(requested_at);
    EXPECT_EQ(simulator->request(simulator->leader_node(), "POST", "/v1/report", report).status, 200)
        << simulator->format_history();
    EXPECT_EQ(simulator->pending_write_delays(), 0U);
    EXPECT_LT(simulator->now() - requested_at, kSecond)
        << "long before the leader reads the record by itself";
}

/// Loses the answers to the writes of starting controllers: to each kind of write alone, and to all together.
TEST(LostAnswer, StartCompletes) {
    const std::vector<std::string> keys{"c/live/",   "c/leader", "c/domain/", "c/share/",
                                        "c/format/", "c/types",  "c/history", "c/block/"};
    for (std::size_t i = 0; i <= keys.size(); ++i) {
        Simulator simulator(7, i % 2 ? settings_with_small_limits() : small_cluster_settings());
        for (int m = 0; m < 4; ++m) simulator.add_machine("small", m % 2 ? "b" : "a");
        for (std::size_t k = 0; k < keys.size(); ++k)
            if (i == k || i == keys.size()) simulator.delay_next_write(keys[k], 0);
        simulator.start_nodes();
        simulator.submit(simulator.make_job(1, JobKind::Array, 4), 2 * kSecond);
        simulator.run(60 * kSecond);
        EXPECT_EQ(simulator.pending_write_delays(), 0U) << i;
        EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << simulator.format_history();
        EXPECT_EQ(simulator.task_starts("req-000001"), 4) << simulator.format_history();
        EXPECT_NO_VIOLATIONS(simulator);
        expect_each_machine_listed_once(simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
