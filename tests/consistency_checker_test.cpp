// Answers to users who query all nodes within milliseconds: no answer may be older than one that had been
// received before the request began (simulation::ConsistencyChecker). All other rules of the protocol are
// checked as well.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kMs = kMillisecond;

Settings cluster_settings(bool separate_history, double write_rps = 200) {
    Settings settings = small_cluster_settings();
    settings.operators.separate_history = separate_history;
    settings.state_write_rps = write_rps;  // if low, a job's old records outlast its end
    return settings;
}

// ---------------------------------------------------------------- the checker

struct CheckedAnswer {
    RequestKind request;
    int status;
    const char* stage;
};
constexpr ActualState kRunnable{true, false, true}, kCancelRequested{true, true, false};

TEST(ConsistencyChecker, AnswerThatContradictsAnEarlierOneIsReported) {
    struct Case {
        CheckedAnswer first, then;
        ActualState actual;
        const char* violated_rule;  // "": none
    };
    const auto state = RequestKind::State, submission = RequestKind::Submission,
               cancel = RequestKind::Cancellation;
    const CheckedAnswer accepted{submission, 201, "pending"}, done{state, 200, "done"},
        cancelled{cancel, 200, "cancelled"};
    const std::vector<Case> cases{
        {accepted, {state, 200, "pending"}, kRunnable, ""},
        {accepted, {submission, 200, "running"}, kRunnable, ""},
        {accepted, {state, 503, ""}, kRunnable, ""},
        {accepted, {cancel, 503, ""}, kRunnable, ""},
        {accepted, {state, 404, ""}, kRunnable, "forgotten"},
        {accepted, {cancel, 404, ""}, kRunnable, "forgotten"},
        {accepted, {submission, 400, ""}, kRunnable, "forgotten"},
        {accepted, {submission, 422, ""}, kRunnable, "forgotten"},
        {accepted, {submission, 201, "pending"}, kRunnable, "repeated"},
        {accepted, {state, 200, "cancelled"}, kRunnable, "went_back"},
        {accepted, {state, 200, "done"}, kCancelRequested, "not_done"},
        {accepted, {cancel, 200, "running"}, kCancelRequested, "no_answer"},
        {accepted, {state, 200, "over"}, kRunnable, "no_answer"},
        {done, {state, 200, "running"}, kRunnable, "went_back"},
        {done, {submission, 200, "pending"}, kRunnable, "went_back"},
        {done, {cancel, 200, "done"}, kRunnable, ""},
        {done, {state, 404, ""}, kRunnable, "forgotten"},
        {cancelled, {state, 200, "pending"}, kCancelRequested, "went_back"},
        {cancelled, {cancel, 200, "done"}, ActualState{true, true, true}, "went_back"},
        {cancelled, {submission, 200, "cancelled"}, kCancelRequested, ""},
        {{state, 404, ""}, {submission, 201, "pending"}, kRunnable, ""},
        {{state, 404, ""}, {state, 200, "pending"}, ActualState{}, "invented"},
        {{submission, 422, ""}, {submission, 201, "pending"}, ActualState{}, "accepted_wrong"},
    };
    for (const auto& test_case : cases)
        for (const bool began_before_first_answer : {false, true}) {
            ConsistencyChecker checker;
            const auto early_request = checker.begin_request();
            const bool acceptable = test_case.actual.submitted;
            checker.check_answer("req-000001",
                                 {test_case.first.request, checker.begin_request(), test_case.first.status,
                                  test_case.first.stage, acceptable},
                                 test_case.actual);
            const auto request_moment = began_before_first_answer ? early_request : checker.begin_request();
            const auto violations =
                checker.check_answer("req-000001",
                                     {test_case.then.request, request_moment, test_case.then.status,
                                      test_case.then.stage, acceptable},
                                     test_case.actual);
            const std::string violated_rule =
                violations.empty() ? "" : violations[0].substr(0, violations[0].find(':'));
            // An answer that contradicts only an earlier answer is correct if its request began before that
            // one arrived.
            const std::string expected_rule = test_case.violated_rule;
            const bool wrong_by_itself =
                expected_rule == "not_done" || expected_rule == "no_answer" || expected_rule == "invented" ||
                expected_rule == "accepted_wrong" || test_case.then.status == 422 ||
                test_case.then.status == 400 ||
                (expected_rule == "went_back" && std::string(test_case.then.stage) == "cancelled");
            EXPECT_EQ(violated_rule, began_before_first_answer && !wrong_by_itself ? "" : expected_rule)
                << test_case.first.stage << ", then " << test_case.then.status << " " << test_case.then.stage
                << (began_before_first_answer ? "*" : "");
        }
}

// ---------------------------------------------------------------- queries right after changes

struct NodeFault {
    const char* name;
    std::function<void(Simulator&, int node)> begin, end;
};
void do_nothing(Simulator&, int) {}
const std::vector<NodeFault> kNodeFaults{
    {"none", do_nothing, do_nothing},
    {"just started", [](Simulator& simulator, int i) { simulator.crash(i, 60 * kMs); }, do_nothing},
    {"cut from the store", [](Simulator& simulator, int i) { simulator.cut_link(host(i), "state"); },
     [](Simulator& simulator, int i) { simulator.heal_link(host(i), "state"); }},
    {"stands still", [](Simulator& simulator, int i) { simulator.freeze_process(i, 700 * kMs); }, do_nothing},
    {"refused", [](Simulator& simulator, int i) { simulator.refuse_state_requests(i, true); },
     [](Simulator& simulator, int i) { simulator.refuse_state_requests(i, false); }},
    {"answers lost", [](Simulator& simulator, int) { simulator.unanswered_write_rate = 0.4; },
     [](Simulator& simulator, int) { simulator.unanswered_write_rate = 0; }},
    {"late writes", [](Simulator& simulator, int) { simulator.delayed_write_rate = 0.3; },
     [](Simulator& simulator, int) { simulator.delayed_write_rate = 0; }},
    {"slow store", [](Simulator& simulator, int) { simulator.max_state_answer_delay = 400 * kMs; },
     [](Simulator& simulator, int) { simulator.max_state_answer_delay = 0; }},
};

/// Submits a job once the first job that it needs is accepted.
void submit_once_accepted(Simulator& simulator, const JobSpec& spec) {
    if (simulator.reported_stage(spec.dependencies[0]).empty())
        return simulator.schedule_at(simulator.now() + 100 * kMs,
                                     [&simulator, spec] { submit_once_accepted(simulator, spec); });
    simulator.submit(spec, 300 * kMs, 100 * kMs);
}

class QueriesAfterChanges : public testing::TestWithParam<std::tuple<std::size_t, bool>> {};

/// The admitting node and the node with the fault are any two nodes, or the same; one of the nodes owns the
/// machines.
TEST_P(QueriesAfterChanges, NeverGetAnOlderAnswer) {
    const auto [index, separate_history] = GetParam();
    const bool slow_writes = index % 2 == separate_history;
    const NodeFault& node_fault = kNodeFaults[index];
    auto simulator =
        settled_simulator(100 + index, 6, cluster_settings(separate_history, slow_writes ? 25 : 200));
    simulator->query_after_changes = true;
    int number = 0, cancelled = 0;
    for (int admitting_node = 0; admitting_node < 3; ++admitting_node)
        for (int faulty_node = 0; faulty_node < 3; ++faulty_node) {
            if ((admitting_node + faulty_node) % 2 == separate_history)
                continue;  // the other value of separate_history covers the rest
            simulator->preferred_node = admitting_node;
            const int first = number + 1;
            // An array and a gang that complete, two jobs that are cancelled, and jobs that need the first
            // and the third.
            for (const auto kind : {JobKind::Array, JobKind::Gang, JobKind::Array, JobKind::Service})
                ++number, simulator->submit(simulator->make_job(number, kind, 1 + number % 2), 600 * kMs,
                                            100 * kMs);
            node_fault.begin(*simulator, faulty_node);
            for (const int needed_job : {first, first + 2}) {
                JobSpec spec = simulator->make_job(++number, JobKind::Array, 1);
                spec.dependencies = {simulator->make_job(needed_job, JobKind::Array, 1).ref};
                submit_once_accepted(*simulator, spec);
            }
            simulator->run(500 * kMs);
            for (const int cancelled_job : {first + 2, first + 3})
                simulator->cancel(simulator->make_job(cancelled_job, JobKind::Array, 1).ref);
            simulator->run(2500 * kMs);
            node_fault.end(*simulator, faulty_node);
            simulator->run(500 * kMs);
        }
    simulator->preferred_node = -1;
    simulator->run(25 * kSecond);
    for (const auto& ref : simulator->job_refs()) {
        EXPECT_TRUE(simulator->reported_stage(ref) == "done" || simulator->reported_stage(ref) == "cancelled")
            << ref << " is " << simulator->reported_stage(ref);
        cancelled += simulator->reported_stage(ref) == "cancelled";
    }
    EXPECT_GE(cancelled, 4);
    // 24 or 30 jobs, with 5 queries and 3 repeated requests at each node after an acceptance and after an
    // end.
    EXPECT_GE(simulator->consistency_checker().answers_after_acceptance(), 1000u);
    EXPECT_GE(simulator->consistency_checker().answers_after_end(), 700u);
    EXPECT_NO_VIOLATIONS(*simulator);
}

INSTANTIATE_TEST_SUITE_P(Faults, QueriesAfterChanges,
                         testing::Combine(testing::Range<std::size_t>(0, kNodeFaults.size()),
                                          testing::Bool()));

/// A repeated submission at a node that doesn't know the job yet reads the job's record, and the node
/// receives the job's cancellation before the answer to that read arrives.
TEST(ConsistencyChecker, RecordReadBeforeACancellationDoesNotReviveTheJob) {
    auto simulator = settled_simulator(7, 4, cluster_settings(true));
    simulator->preferred_node = 0;
    std::vector<std::string> refs;
    for (int n = 1; n < 120; n += 2) {
        const JobSpec first = simulator->make_job(n, JobKind::Array, 1);
        simulator->max_state_answer_delay = 0;
        simulator->submit(first, 100 * kSecond);
        simulator->run(300 * kMs);
        simulator->max_state_answer_delay = 300 * kMs;
        JobSpec next = simulator->make_job(n + 1, JobKind::Array, 1);
        next.dependencies = {first.ref};
        refs.push_back(next.ref);
        simulator->submit(next, kSecond);
        for (int ms = 0; ms < 500; ++ms) {
            simulator->run(kMs);
            if (ms == 15) simulator->query_and_resubmit(next, 1), simulator->query_and_resubmit(next, 2);
            if (!simulator->reported_stage(next.ref).empty()) break;
        }
        // Cancels the job itself or the one that it needs. Their final records, which say the same, come
        // late.
        for (int i = 0; i < 2; ++i) simulator->delay_next_write("c/job/", 2 * kSecond);
        simulator->cancel(n % 4 == 1 ? next.ref : first.ref);
        simulator->run(900 * kMs);
        for (int i = 0; i < 3; ++i) simulator->query_and_resubmit(next, i);
        simulator->run(900 * kMs);
        simulator->cancel(first.ref);
    }
    simulator->max_state_answer_delay = 0;
    simulator->run(5 * kSecond);
    for (const auto& ref : refs)
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(
                wire::text(simulator->request(i, "GET", "/v1/jobs/" + ref, Json::object()).body, "stage"),
                "cancelled")
                << ref << " at " << i;
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// Freezes a node while the state service carries out more changes than it keeps, so that the node must read
/// everything again.
void make_node_fall_behind(Simulator& simulator, int node) {
    simulator.freeze_process(node, 1300 * kMs);
    for (int n = 0; n < 12'000; ++n)
        simulator.schedule_at(simulator.now() + n * 100, [&simulator, n] {
            const Json then = Json::array({{{"write", "other"}, {"data", n}}});
            simulator.state().handle("POST", "/commit", Json{{"then", then}}, simulator.now());
        });
    simulator.run(1300 * kMs);
}

/// While a node reads everything again it is queried for a job and reads the job's record. It must not take
/// that for a recent state: the job's end was not among what the node read.
TEST(ConsistencyChecker, JobQueriedDuringAFullReloadIsNotTakenForCurrent) {
    int reloads_seen = 0;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
        auto simulator = settled_simulator(seed, 4, cluster_settings(true));
        const int other = (simulator->leader_node() + 1) % 3, node = (simulator->leader_node() + 2) % 3;
        simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
        simulator->run(3 * kSecond);
        make_node_fall_behind(*simulator, node);
        simulator->message_loss_rate = 0.5;  // the first list that the node asks for may be lost
        simulator->run(60 * kMs);
        simulator->message_loss_rate = 0;
        simulator->preferred_node = other;
        simulator->submit(simulator->make_job(2, JobKind::Array, 1), 300 * kMs, 100 * kMs);
        for (int ms = 0; ms < 900 && simulator->reported_stage("req-000002").empty(); ++ms)
            simulator->run(kMs);
        if (simulator->reported_stage("req-000002").empty()) continue;
        simulator->query_and_resubmit(simulator->make_job(2, JobKind::Array, 1), node);
        simulator->run(kSecond);
        reloads_seen += simulator->request(node, "GET", "/v1/jobs/req-000001", {}).status == 503;
        simulator->run(6 * kSecond);
        simulator->query_and_resubmit(simulator->make_job(2, JobKind::Array, 1), node);
        simulator->run(kSecond);
        EXPECT_NO_VIOLATIONS(*simulator);
    }
    EXPECT_GE(reloads_seen, 1);
}

/// A node knows some jobs and doesn't receive the changes that end them. Where writes are scarce their old
/// records outlast their end, so that the node reads that they still run.
TEST(ConsistencyChecker, JobsThatEndedWhileANodeFellBehindAreLookedUp) {
    auto simulator = settled_simulator(12, 6, cluster_settings(true, 25));
    const int node = (simulator->owner_node() + 1) % 3;
    simulator->preferred_node = simulator->owner_node();
    for (int n = 1; n <= 16; ++n) simulator->submit(simulator->make_job(n, JobKind::Array, 1), 800 * kMs, 0);
    simulator->run(400 * kMs);
    make_node_fall_behind(*simulator, node);
    simulator->run(600 * kMs);
    for (int round = 0; round < 3; ++round) {
        for (int n = 1; n <= 16; ++n) {
            for (int i = 0; i < 3; ++i)
                simulator->query_and_resubmit(simulator->make_job(n, JobKind::Array, 1), i);
            simulator->run(20 * kMs);
        }
        simulator->run(500 * kMs);
    }
    simulator->run(10 * kSecond);
    for (const auto& ref : simulator->job_refs()) EXPECT_EQ(simulator->reported_stage(ref), "done") << ref;
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A job needs another one whose records are already deleted. A node that starts reads only the job's own
/// record, which still says that it waits for the other.
TEST(ConsistencyChecker, JobIsNotAnsweredBeforeItsDependenciesAreKnown) {
    auto simulator = settled_simulator(13, 4, cluster_settings(true));
    const int owner_node = simulator->owner_node(), node = (owner_node + 1) % 3;
    simulator->preferred_node = owner_node;
    const JobSpec first = simulator->make_job(1, JobKind::Service, 1);
    JobSpec next = simulator->make_job(2, JobKind::Array, 1);
    next.dependencies = {first.ref};
    simulator->submit(first, 0);
    simulator->run(2 * kSecond);
    simulator->submit(next, kSecond);
    simulator->run(kSecond);
    for (int tries = 0; tries < 2; ++tries) simulator->delay_next_write("c/job/" + next.ref, 8 * kSecond);
    simulator->cancel(first.ref);
    simulator->run(2700 * kMs);
    simulator->query_and_resubmit(next, owner_node);
    simulator->run(100 * kMs);
    ASSERT_EQ(simulator->reported_stage(next.ref), "cancelled") << simulator->format_history();
    ASSERT_EQ(simulator->pending_write_delays(), 0u);
    simulator->crash(node, 20 * kMs);
    for (int n = 0; n < 60; ++n) {
        simulator->run(10 * kMs);
        simulator->query_and_resubmit(next, node);
    }
    simulator->run(8 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A submission is repeated with another body at the owner, which doesn't know the job yet. The owner's
/// own admission waits for a write, or gets no answer, while the job is admitted already.
TEST(ConsistencyChecker, ResubmissionWithAnotherBodyNeverReplacesTheJob) {
    for (const bool admission_waits : {false, true}) {
        auto simulator = settled_simulator(11, 6, cluster_settings(true, admission_waits ? 25 : 200));
        const int owner_node = simulator->owner_node(), other = (owner_node + 1) % 3;
        for (int n = 1; n <= 6; ++n) {
            simulator->preferred_node = owner_node;
            for (int i = 1; admission_waits && i <= 30; ++i)
                simulator->submit(simulator->make_job(100 * n + i, JobKind::Array, 1, 0.2), 100 * kMs, 0);
            const JobSpec spec = simulator->make_job(n, JobKind::Array, 1);
            JobSpec changed_job = spec;
            changed_job.tasks = 3;
            simulator->preferred_node = other;
            simulator->submit(spec, 500 * kMs, 100 * kMs);
            for (int ms = 0; ms < 300 && simulator->reported_stage(spec.ref).empty(); ++ms)
                simulator->run(kMs);
            if (!admission_waits) simulator->delay_next_write("c/active/" + spec.ref, 0);
            simulator->query_and_resubmit(changed_job, owner_node);
            simulator->run(5 * kSecond);
        }
        simulator->run(30 * kSecond);
        for (const auto& ref : simulator->job_refs()) {
            EXPECT_EQ(simulator->reported_stage(ref), "done") << ref;
            EXPECT_EQ(simulator->task_starts(ref), 1) << ref;
        }
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

// ---------------------------------------------------------------- cancellation near completion

struct LastTaskCase {
    const char* name;
    JobKind kind;
    int tasks;
    bool has_dependent;
};
const std::vector<LastTaskCase> kLastTaskCases{{"array", JobKind::Array, 1, false},
                                               {"array of three", JobKind::Array, 3, false},
                                               {"array of several parts", JobKind::Array, 16, false},
                                               {"gang", JobKind::Gang, 2, false},
                                               {"needed", JobKind::Array, 1, true}};
constexpr Micros kRunTime = 1500 * kMs;

/// Cancels a job `after` the completion of its last task, or before it if `after` is negative.
void cancel_near_completion(Simulator& simulator, const std::string& ref, Micros after) {
    const bool is_due = after < 0 ? simulator.task_starts(ref) > 0
                                  : simulator.completed_tasks(ref) == simulator.job(ref)->spec.tasks;
    if (is_due)
        return simulator.schedule_at(simulator.now() + (after < 0 ? kRunTime + after : after),
                                     [&simulator, ref] { simulator.cancel(ref); });
    simulator.schedule_at(simulator.now() + 5 * kMs,
                          [&simulator, ref, after] { cancel_near_completion(simulator, ref, after); });
}

class CancellationNearCompletion : public testing::TestWithParam<std::tuple<bool, bool>> {};

/// The cancellation comes between any two of the changes that end the job: its tasks' results, its final
/// record and the deletion of its active records.
TEST_P(CancellationNearCompletion, HasOneOutcomeInAnyOrder) {
    const auto [separate_history, slow_writes] = GetParam();
    Settings settings = cluster_settings(separate_history, slow_writes ? 40 : 200);
    settings.max_value_bytes = settings.current_max_value_bytes = 1024;
    settings.teams = {{"red", {48'000, 0, 0}, {96'000, 0, 0}}};
    auto simulator = settled_simulator(5, 12, settings);
    simulator->query_after_changes = true;
    if (slow_writes)
        simulator->preferred_node =
            simulator->owner_node();  // both changes may wait for the same transaction there
    int number = 0;
    std::vector<std::pair<std::string, std::string>> dependent_jobs;
    std::vector<std::vector<std::string>> refs(kLastTaskCases.size());
    // Most of these changes come within 300 ms.
    for (Micros after = -100 * kMs; after < kSecond; after += after < 300 * kMs ? 30 * kMs : 300 * kMs)
        for (std::size_t case_index = 0; case_index < kLastTaskCases.size(); ++case_index) {
            JobSpec spec = simulator->make_job(++number, kLastTaskCases[case_index].kind,
                                               kLastTaskCases[case_index].tasks,
                                               kLastTaskCases[case_index].tasks > 10 ? 0.05 : 1);
            simulator->submit(spec, kRunTime, 0);
            cancel_near_completion(*simulator, spec.ref, after);
            refs[case_index].push_back(spec.ref);
            if (kLastTaskCases[case_index].has_dependent) {
                JobSpec dependent = simulator->make_job(++number, JobKind::Array, 1);
                dependent.dependencies = {spec.ref};
                submit_once_accepted(*simulator, dependent);
                dependent_jobs.emplace_back(spec.ref, dependent.ref);
            }
            simulator->run(150 * kMs);
        }
    simulator->run(15 * kSecond);
    for (std::size_t case_index = 0; case_index < kLastTaskCases.size(); ++case_index) {
        std::map<std::string, int> stages;
        for (const auto& ref : refs[case_index]) ++stages[simulator->reported_stage(ref)];
        EXPECT_EQ(stages["done"] + stages["cancelled"], static_cast<int>(refs[case_index].size()))
            << kLastTaskCases[case_index].name;
        EXPECT_GE(stages["done"], 3) << kLastTaskCases[case_index].name;
        EXPECT_GE(stages["cancelled"], 3) << kLastTaskCases[case_index].name;
    }
    for (const auto& [ref, dependent] : dependent_jobs)
        EXPECT_TRUE(
            simulator->reported_stage(dependent) == "cancelled" ||
            (simulator->reported_stage(dependent) == "done" && simulator->reported_stage(ref) == "done"))
            << ref << " " << simulator->reported_stage(ref) << ", " << dependent << " "
            << simulator->reported_stage(dependent);
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A runtime with a state service that answers at once.
class ImmediateRuntime : public Runtime {
  public:
    Micros now() override { return now_; }
    Micros listening_time() override { return now_; }
    std::int64_t wall_clock_ms() override { return now_ / kMs; }
    std::mt19937_64& random() override { return random_; }
    void after(Micros delay, std::function<void()> run) override {
        timers_.emplace(now_ + std::max<Micros>(delay, 1), std::move(run));
    }
    void call(Call call, ReplyHandler done) override {
        ++requests;
        done(state.handle(call.method, call.path, call.body, now_));
    }
    void run(Micros span) {
        for (const Micros end = now_ + span; !timers_.empty() && timers_.begin()->first <= end;) {
            auto next = timers_.extract(timers_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }
    fakes::StateService state;
    int requests = 0;

  private:
    Micros now_ = kSecond;
    std::multimap<Micros, std::function<void()>> timers_;
    std::mt19937_64 random_{1};
};

/// A job's final record and its cancellation are written under different keys, each on the condition that the
/// other doesn't exist. In one transaction both would be carried out.
TEST(ConsistencyChecker, ConflictingChangesAreNotCombinedInOneTransaction) {
    for (const bool swapped : {false, true}) {
        ImmediateRuntime runtime;
        const Settings settings = small_cluster_settings();
        StoreClient store(runtime, settings);
        const Json first{{"then", Json::array({{{"write", "c/active/x"}, {"data", 1}}})}};
        const auto mod_revision =
            wire::count(runtime.state.handle("POST", "/commit", first, 0).body, "ledger");
        ASSERT_TRUE(mod_revision);
        const std::vector<Condition> unchanged_since{{"c/active/x", *mod_revision}, {"c/job/x", 0}};
        std::vector<Change> changes(3);
        changes[0].conditions = changes[1].conditions = unchanged_since;
        changes[swapped].writes.push_back({"c/active/x", {{"s", "cancelled"}}});
        changes[!swapped].writes.push_back({"c/job/x", {{"s", "done"}}});
        changes[2].writes.push_back({"c/other", 1});
        std::vector<CommitStatus> status;
        for (auto& change : changes)
            store.commit(change, [&status](const CommitResult& result) { status.push_back(result.status); });
        runtime.run(kSecond);
        const std::vector<CommitStatus> expected{CommitStatus::Ok, CommitStatus::Conflict, CommitStatus::Ok};
        EXPECT_EQ(status, expected) << swapped;
        EXPECT_LE(runtime.requests, 3);
    }
}

TEST(ConsistencyChecker, JobsCancelledAtTheirCompletionGetOneFinalState) {
    auto simulator = settled_simulator(6, 12);
    simulator->query_after_changes = true;
    simulator->cancel_on_completion_rate = 0.7;
    for (int n = 1; n <= 40; ++n) {
        simulator->submit(simulator->make_job(n, n % 3 ? JobKind::Array : JobKind::Gang, 1 + n % 2),
                          700 * kMs, 100 * kMs);
        simulator->run(300 * kMs);
    }
    simulator->run(10 * kSecond);
    int cancelled = 0;
    for (const auto& ref : simulator->job_refs()) {
        EXPECT_TRUE(simulator->reported_stage(ref) == "done" || simulator->reported_stage(ref) == "cancelled")
            << ref;
        cancelled += simulator->reported_stage(ref) == "cancelled";
    }
    EXPECT_GE(cancelled, 10);
    EXPECT_NO_VIOLATIONS(*simulator);
}

INSTANTIATE_TEST_SUITE_P(Stores, CancellationNearCompletion,
                         testing::Combine(testing::Bool(), testing::Bool()));

// ---------------------------------------------------------------- invalid requests

struct InvalidField {
    const char* key;
    Json value;  // null: the field is missing
    int status;
};
/// Every node answers an invalid job with the status that the protocol defines, and a repeated submission of
/// a known job with the job's state even if the repeated body is invalid.
TEST(ConsistencyChecker, InvalidRequestsAreRefusedAtEveryNode) {
    auto simulator = settled_simulator(8, 4);
    simulator->submit(simulator->make_job(1, JobKind::Service, 1), 0);
    simulator->run(2 * kSecond);
    const Json valid_body = wire::job_value(simulator->make_job(1, JobKind::Array, 1));
    std::vector<InvalidField> cases{{"threads", 0, 400},
                                    {"threads", 1.5, 400},
                                    {"threads", 100'001, 400},
                                    {"threads", -1, 400},
                                    {"cores", -1.0, 400},
                                    {"cores", "1", 400},
                                    {"weave", "heap", 400},
                                    {"rank", "urgent", 400},
                                    {"ref", "req-1", 400},
                                    {"ref", 7, 400},
                                    {"crew", "", 400},
                                    {"looms", "small", 400},
                                    {"looms", Json::array({1}), 400},
                                    {"mill", 1, 400},
                                    {"due_s", -1, 400},
                                    {"due_s", "soon", 400},
                                    {"one_zone", 1, 400},
                                    {"crew", "nobody", 422},
                                    {"cores", 17.0, 422},
                                    {"cards", 1.0, 422},
                                    {"ram_gb", 65.0, 422},
                                    {"looms", Json::array({"none"}), 422},
                                    {"looms", Json::array(), 422},
                                    {"mill", "z", 422}};
    for (const auto& [key, value] : valid_body.items()) cases.push_back({key.c_str(), {}, 400});
    int number = 100;
    for (const auto& invalid_field : cases)
        for (int i = 0; i < 3; ++i) {
            Json body = valid_body;
            const std::string new_ref = simulator->make_job(++number, JobKind::Array, 1).ref;
            body["ref"] = new_ref;
            const auto apply_field = [&invalid_field](Json& target) {
                if (invalid_field.value.is_null())
                    target.erase(invalid_field.key);
                else
                    target[invalid_field.key] = invalid_field.value;
            };
            apply_field(body);
            const std::string description =
                std::string(invalid_field.key) + " " + invalid_field.value.dump() + " at " + host(i);
            EXPECT_EQ(simulator->request(i, "POST", "/v1/jobs", body).status, invalid_field.status)
                << description;
            EXPECT_EQ(simulator->request(i, "GET", "/v1/jobs/" + new_ref, {}).status, 404) << description;
            EXPECT_EQ(simulator->request(i, "POST", "/v1/jobs/" + new_ref + "/abort", {}).status, 404)
                << description;
            if (std::string(invalid_field.key) == "ref") continue;
            body["ref"] = "req-000001";
            apply_field(body);
            const ApiResponse again = simulator->request(i, "POST", "/v1/jobs", body);
            EXPECT_EQ(again.status, 200) << description;
            EXPECT_EQ(wire::text(again.body, "stage"), "running") << description;
        }
    Json gang = wire::job_value(simulator->make_job(99, JobKind::Gang, 25));
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(simulator->request(i, "POST", "/v1/jobs", gang).status, 422) << "over its team's limit";
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A node that doesn't know the machine types yet makes no decision that depends on them.
TEST(ConsistencyChecker, NodeWithoutMachineTypesNeitherAcceptsNorRefuses) {
    Simulator simulator(9);
    simulator.cloud().down = true;
    simulator.start_nodes();
    const Json valid = wire::job_value(simulator.make_job(1, JobKind::Array, 1));
    Json fits_no_type = wire::job_value(simulator.make_job(2, JobKind::Array, 1, 17));
    Json incomplete = wire::job_value(simulator.make_job(3, JobKind::Array, 1));
    incomplete.erase("rank");
    for (int attempt = 0; attempt < 4; ++attempt)
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(simulator.request(i, "POST", "/v1/jobs", valid).status, 503);
            EXPECT_EQ(simulator.request(i, "POST", "/v1/jobs", fits_no_type).status, 503);
            const int status = simulator.request(i, "POST", "/v1/jobs", incomplete).status;
            EXPECT_TRUE(status == 400 || status == 503) << status;
            simulator.run(300 * kMs);
        }
    simulator.cloud().down = false;
    simulator.run(5 * kSecond);
    EXPECT_EQ(simulator.request(0, "POST", "/v1/jobs", valid).status, 201);
    EXPECT_EQ(simulator.request(1, "POST", "/v1/jobs", fits_no_type).status, 422);
}

/// Users send invalid requests and query all nodes after each change, while nodes restart all the time.
TEST(ConsistencyChecker, InvalidRequestsDuringRestartsBreakNoRule) {
    for (const bool separate_history : {false, true}) {
        auto simulator = settled_simulator(10, 6, cluster_settings(separate_history));
        simulator->query_after_changes = simulator->send_unusual_requests = true;
        for (int n = 1; n <= 30; ++n) {
            simulator->submit(simulator->make_job(n, n % 4 ? JobKind::Array : JobKind::Service, 1 + n % 3),
                              800 * kMs, 100 * kMs);
            simulator->crash(n % 3, (20 + 37 * n % 400) * kMs);
            if (n % 10 == 0) simulator->crash((n + 1) % 3, 100 * kMs);
            Json invalid_body = wire::job_value(simulator->make_job(1000 + n, JobKind::Array, 1));
            invalid_body["cores"] = 100.0;
            if (n % 2) invalid_body.erase("cards");
            simulator->submit_invalid_job(invalid_body);
            simulator->run(700 * kMs);
            if (n % 4 == 0) simulator->cancel(simulator->make_job(n, JobKind::Array, 1).ref);
        }
        simulator->run(20 * kSecond);
        for (const auto& ref : simulator->job_refs())
            EXPECT_TRUE(simulator->reported_stage(ref) == "done" ||
                        simulator->reported_stage(ref) == "cancelled");
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
