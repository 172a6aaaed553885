// What users are told when they ask at all nodes within milliseconds: no answer may be older than one that
// had been received before. Judged by lab::ConsistencyChecker, beside every other rule.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kMs = kMillisecond;

Settings site(bool apart, double write_rps = 200) {
    Settings s = small_cluster_settings();
    s.ops.history_apart = apart;
    s.state_write_rps = write_rps;  // few: what a job's record was outlasts its end
    return s;
}

// ---------------------------------------------------------------- the judge

struct Said {
    RequestKind asked;
    int status;
    const char* stage;
};
constexpr ActualState kWanted{true, false, true}, kCancelled{true, true, false};

TEST(ConsistencyChecker, WhatMayNotFollowWhat) {
    struct Case {
        Said first, then;
        ActualState truth;
        const char* rule;  // "": none
    };
    const auto state = RequestKind::State, again = RequestKind::Submission,
               cancel = RequestKind::Cancellation;
    const Said accepted{again, 201, "pending"}, done{state, 200, "done"}, gone{cancel, 200, "cancelled"};
    const std::vector<Case> cases{
        {accepted, {state, 200, "pending"}, kWanted, ""},
        {accepted, {again, 200, "running"}, kWanted, ""},
        {accepted, {state, 503, ""}, kWanted, ""},
        {accepted, {cancel, 503, ""}, kWanted, ""},
        {accepted, {state, 404, ""}, kWanted, "forgotten"},
        {accepted, {cancel, 404, ""}, kWanted, "forgotten"},
        {accepted, {again, 400, ""}, kWanted, "forgotten"},
        {accepted, {again, 422, ""}, kWanted, "forgotten"},
        {accepted, {again, 201, "pending"}, kWanted, "repeated"},
        {accepted, {state, 200, "cancelled"}, kWanted, "went_back"},
        {accepted, {state, 200, "done"}, kCancelled, "not_done"},
        {accepted, {cancel, 200, "running"}, kCancelled, "no_answer"},
        {accepted, {state, 200, "over"}, kWanted, "no_answer"},
        {done, {state, 200, "running"}, kWanted, "went_back"},
        {done, {again, 200, "pending"}, kWanted, "went_back"},
        {done, {cancel, 200, "done"}, kWanted, ""},
        {done, {state, 404, ""}, kWanted, "forgotten"},
        {gone, {state, 200, "pending"}, kCancelled, "went_back"},
        {gone, {cancel, 200, "done"}, ActualState{true, true, true}, "went_back"},
        {gone, {again, 200, "cancelled"}, kCancelled, ""},
        {{state, 404, ""}, {again, 201, "pending"}, kWanted, ""},
        {{state, 404, ""}, {state, 200, "pending"}, ActualState{}, "invented"},
        {{again, 422, ""}, {again, 201, "pending"}, ActualState{}, "accepted_wrong"},
    };
    for (const auto& c : cases)
        for (const bool overtaken : {false, true}) {
            ConsistencyChecker looks;
            const auto early = looks.begin_request();
            const bool right = c.truth.submitted;
            looks.check_answer("req-000001",
                               {c.first.asked, looks.begin_request(), c.first.status, c.first.stage, right},
                               c.truth);
            const auto begun = overtaken ? early : looks.begin_request();
            const auto broken = looks.check_answer(
                "req-000001", {c.then.asked, begun, c.then.status, c.then.stage, right}, c.truth);
            const std::string rule = broken.empty() ? "" : broken[0].substr(0, broken[0].find(':'));
            // What only the order makes wrong is right for a question that was on its way already.
            const std::string name = c.rule;
            const bool in_itself = name == "not_done" || name == "no_answer" || name == "invented" ||
                                   name == "accepted_wrong" || c.then.status == 422 || c.then.status == 400 ||
                                   (name == "went_back" && std::string(c.then.stage) == "cancelled");
            EXPECT_EQ(rule, overtaken && !in_itself ? "" : name)
                << c.first.stage << ", then " << c.then.status << " " << c.then.stage
                << (overtaken ? "*" : "");
        }
}

// ---------------------------------------------------------------- right after

struct Trouble {
    const char* name;
    std::function<void(Simulator&, int node)> begin, end;
};
void nothing(Simulator&, int) {}
const std::vector<Trouble> kTroubles{
    {"none", nothing, nothing},
    {"just started", [](Simulator& w, int i) { w.crash(i, 60 * kMs); }, nothing},
    {"cut from the store", [](Simulator& w, int i) { w.cut_link(host(i), "state"); },
     [](Simulator& w, int i) { w.heal_link(host(i), "state"); }},
    {"stands still", [](Simulator& w, int i) { w.freeze_process(i, 700 * kMs); }, nothing},
    {"refused", [](Simulator& w, int i) { w.refuse_state_requests(i, true); },
     [](Simulator& w, int i) { w.refuse_state_requests(i, false); }},
    {"answers lost", [](Simulator& w, int) { w.unanswered_write_rate = 0.4; },
     [](Simulator& w, int) { w.unanswered_write_rate = 0; }},
    {"late writes", [](Simulator& w, int) { w.delayed_write_rate = 0.3; },
     [](Simulator& w, int) { w.delayed_write_rate = 0; }},
    {"slow store", [](Simulator& w, int) { w.max_state_answer_delay = 400 * kMs; },
     [](Simulator& w, int) { w.max_state_answer_delay = 0; }},
};

/// Once what it needs is accepted.
void submit_once_accepted(Simulator& w, const JobSpec& s) {
    if (w.reported_stage(s.needs[0]).empty())
        return w.schedule_at(w.now() + 100 * kMs, [&w, s] { submit_once_accepted(w, s); });
    w.submit(s, 300 * kMs, 100 * kMs);
}

class CloseLooks : public testing::TestWithParam<std::tuple<std::size_t, bool>> {};

/// The node that admits, and the one in trouble, are any two, the same too; one of them holds the machines.
TEST_P(CloseLooks, AreNeverAnsweredWithSomethingOlder) {
    const auto [index, apart] = GetParam();
    const bool scarce = index % 2 == apart;
    const Trouble& trouble = kTroubles[index];
    auto w = settled_simulator(100 + index, 6, site(apart, scarce ? 25 : 200));
    w->query_after_changes = true;
    int number = 0, cancelled = 0;
    for (int admitter = 0; admitter < 3; ++admitter)
        for (int asked = 0; asked < 3; ++asked) {
            if ((admitter + asked) % 2 == apart) continue;  // the other half with the other form of history
            w->preferred_node = admitter;
            const int first = number + 1;
            // An array and a gang that end, two that are cancelled, and what needs the first and the third.
            for (const auto kind : {JobKind::Array, JobKind::Gang, JobKind::Array, JobKind::Service})
                ++number, w->submit(w->make_job(number, kind, 1 + number % 2), 600 * kMs, 100 * kMs);
            trouble.begin(*w, asked);
            for (const int need : {first, first + 2}) {
                JobSpec s = w->make_job(++number, JobKind::Array, 1);
                s.needs = {w->make_job(need, JobKind::Array, 1).ref};
                submit_once_accepted(*w, s);
            }
            w->run(500 * kMs);
            for (const int n : {first + 2, first + 3}) w->cancel(w->make_job(n, JobKind::Array, 1).ref);
            w->run(2500 * kMs);
            trouble.end(*w, asked);
            w->run(500 * kMs);
        }
    w->preferred_node = -1;
    w->run(25 * kSecond);
    for (const auto& ref : w->job_refs()) {
        EXPECT_TRUE(w->reported_stage(ref) == "done" || w->reported_stage(ref) == "cancelled")
            << ref << " is " << w->reported_stage(ref);
        cancelled += w->reported_stage(ref) == "cancelled";
    }
    EXPECT_GE(cancelled, 4);
    // 24 or 30 jobs, 5 questions and 3 repeats at each node after an acceptance and after an end.
    EXPECT_GE(w->consistency_checker().answers_after_acceptance(), 1000u);
    EXPECT_GE(w->consistency_checker().answers_after_end(), 700u);
    EXPECT_NO_VIOLATIONS(*w);
}

INSTANTIATE_TEST_SUITE_P(Troubles, CloseLooks,
                         testing::Combine(testing::Range<std::size_t>(0, kTroubles.size()), testing::Bool()));

/// A repeat at a node that hasn't heard of the job reads its record, and hears of its cancellation before the
/// answer to that is there.
TEST(ConsistencyChecker, WhatWasReadBeforeACancellationBringsNothingBack) {
    auto w = settled_simulator(7, 4, site(true));
    w->preferred_node = 0;
    std::vector<std::string> refs;
    for (int n = 1; n < 120; n += 2) {
        const JobSpec first = w->make_job(n, JobKind::Array, 1);
        w->max_state_answer_delay = 0;
        w->submit(first, 100 * kSecond);
        w->run(300 * kMs);
        w->max_state_answer_delay = 300 * kMs;
        JobSpec next = w->make_job(n + 1, JobKind::Array, 1);
        next.needs = {first.ref};
        refs.push_back(next.ref);
        w->submit(next, kSecond);
        for (int ms = 0; ms < 500; ++ms) {
            w->run(kMs);
            if (ms == 15) w->query_and_resubmit(next, 1), w->query_and_resubmit(next, 2);
            if (!w->reported_stage(next.ref).empty()) break;
        }
        // By itself, or with the job before it. Their final records, which tell the same, come late.
        for (int i = 0; i < 2; ++i) w->delay_next_write("c/job/", 2 * kSecond);
        w->cancel(n % 4 == 1 ? next.ref : first.ref);
        w->run(900 * kMs);
        for (int i = 0; i < 3; ++i) w->query_and_resubmit(next, i);
        w->run(900 * kMs);
        w->cancel(first.ref);
    }
    w->max_state_answer_delay = 0;
    w->run(5 * kSecond);
    for (const auto& ref : refs)
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(wire::text(w->request(i, "GET", "/v1/jobs/" + ref, Json::object()).body, "stage"),
                      "cancelled")
                << ref << " at " << i;
    EXPECT_NO_VIOLATIONS(*w);
}

/// It stands still while the state service carries out more changes than it keeps.
void fall_behind(Simulator& w, int node) {
    w.freeze_process(node, 1300 * kMs);
    for (int n = 0; n < 12'000; ++n)
        w.schedule_at(w.now() + n * 100, [&w, n] {
            const Json then = Json::array({{{"write", "other"}, {"data", n}}});
            w.state().handle("POST", "/commit", Json{{"then", then}}, w.now());
        });
    w.run(1300 * kMs);
}

/// What a node was told of a job when it was asked for it, while it read everything again, is not taken for
/// news of it: the job's end was not among what it read.
TEST(ConsistencyChecker, WhatWasAskedForWhileEverythingIsReadAgainIsNoNews) {
    int met = 0;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
        auto w = settled_simulator(seed, 4, site(true));
        const int other = (w->leader_node() + 1) % 3, node = (w->leader_node() + 2) % 3;
        w->submit(w->make_job(1, JobKind::Service, 1), 0);
        w->run(3 * kSecond);
        fall_behind(*w, node);
        w->message_loss_rate = 0.5;  // the first list that it asks for may be lost
        w->run(60 * kMs);
        w->message_loss_rate = 0;
        w->preferred_node = other;
        w->submit(w->make_job(2, JobKind::Array, 1), 300 * kMs, 100 * kMs);
        for (int ms = 0; ms < 900 && w->reported_stage("req-000002").empty(); ++ms) w->run(kMs);
        if (w->reported_stage("req-000002").empty()) continue;
        w->query_and_resubmit(w->make_job(2, JobKind::Array, 1), node);
        w->run(kSecond);
        met += w->request(node, "GET", "/v1/jobs/req-000001", {}).status == 503;
        w->run(6 * kSecond);
        w->query_and_resubmit(w->make_job(2, JobKind::Array, 1), node);
        w->run(kSecond);
        EXPECT_NO_VIOLATIONS(*w);
    }
    EXPECT_GE(met, 1);
}

/// Jobs that a node knew of end unheard, and what they were outlasts their end where writes are scarce: it
/// reads that they run.
TEST(ConsistencyChecker, WhatEndedUnheardIsLookedFor) {
    auto w = settled_simulator(12, 6, site(true, 25));
    const int node = (w->owner_node() + 1) % 3;
    w->preferred_node = w->owner_node();
    for (int n = 1; n <= 16; ++n) w->submit(w->make_job(n, JobKind::Array, 1), 800 * kMs, 0);
    w->run(400 * kMs);
    fall_behind(*w, node);
    w->run(600 * kMs);
    for (int again = 0; again < 3; ++again) {
        for (int n = 1; n <= 16; ++n) {
            for (int i = 0; i < 3; ++i) w->query_and_resubmit(w->make_job(n, JobKind::Array, 1), i);
            w->run(20 * kMs);
        }
        w->run(500 * kMs);
    }
    w->run(10 * kSecond);
    for (const auto& ref : w->job_refs()) EXPECT_EQ(w->reported_stage(ref), "done") << ref;
    EXPECT_NO_VIOLATIONS(*w);
}

/// The job before it is over and out of the way, and only its own record, which waits for that one, is read
/// by a node that starts.
TEST(ConsistencyChecker, AJobIsNotAnsweredForBeforeItIsKnownWhatItNeeds) {
    auto w = settled_simulator(13, 4, site(true));
    const int holder = w->owner_node(), node = (holder + 1) % 3;
    w->preferred_node = holder;
    const JobSpec first = w->make_job(1, JobKind::Service, 1);
    JobSpec next = w->make_job(2, JobKind::Array, 1);
    next.needs = {first.ref};
    w->submit(first, 0);
    w->run(2 * kSecond);
    w->submit(next, kSecond);
    w->run(kSecond);
    for (int tries = 0; tries < 2; ++tries) w->delay_next_write("c/job/" + next.ref, 8 * kSecond);
    w->cancel(first.ref);
    w->run(2700 * kMs);
    w->query_and_resubmit(next, holder);
    w->run(100 * kMs);
    ASSERT_EQ(w->reported_stage(next.ref), "cancelled") << w->format_history();
    ASSERT_EQ(w->pending_write_delays(), 0u);
    w->crash(node, 20 * kMs);
    for (int n = 0; n < 60; ++n) {
        w->run(10 * kMs);
        w->query_and_resubmit(next, node);
    }
    w->run(8 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

/// A repeat with another body, at the holder that hasn't heard of the job yet: its own admission waits for
/// room, or gets no answer, while the job is there already.
TEST(ConsistencyChecker, ARepeatWithAnotherBodyNeverTakesTheJobsPlace) {
    for (const bool waits : {false, true}) {
        auto w = settled_simulator(11, 6, site(true, waits ? 25 : 200));
        const int holder = w->owner_node(), other = (holder + 1) % 3;
        for (int n = 1; n <= 6; ++n) {
            w->preferred_node = holder;
            for (int i = 1; waits && i <= 30; ++i)
                w->submit(w->make_job(100 * n + i, JobKind::Array, 1, 0.2), 100 * kMs, 0);
            const JobSpec spec = w->make_job(n, JobKind::Array, 1);
            JobSpec wider = spec;
            wider.tasks = 3;
            w->preferred_node = other;
            w->submit(spec, 500 * kMs, 100 * kMs);
            for (int ms = 0; ms < 300 && w->reported_stage(spec.ref).empty(); ++ms) w->run(kMs);
            if (!waits) w->delay_next_write("c/active/" + spec.ref, 0);
            w->query_and_resubmit(wider, holder);
            w->run(5 * kSecond);
        }
        w->run(30 * kSecond);
        for (const auto& ref : w->job_refs()) {
            EXPECT_EQ(w->reported_stage(ref), "done") << ref;
            EXPECT_EQ(w->task_starts(ref), 1) << ref;
        }
        EXPECT_NO_VIOLATIONS(*w);
    }
}

// ---------------------------------------------------------------- the end of the last task

struct Ending {
    const char* name;
    JobKind kind;
    int tasks;
    bool needed;
};
const std::vector<Ending> kEndings{{"array", JobKind::Array, 1, false},
                                   {"array of three", JobKind::Array, 3, false},
                                   {"array of several parts", JobKind::Array, 16, false},
                                   {"gang", JobKind::Gang, 2, false},
                                   {"needed", JobKind::Array, 1, true}};
constexpr Micros kRun = 1500 * kMs;

/// Cancels it so long after its last task has completed; before, if `after` is negative.
void cancel_about_the_end(Simulator& w, const std::string& ref, Micros after) {
    const bool now = after < 0 ? w.task_starts(ref) > 0 : w.completed_tasks(ref) == w.job(ref)->spec.tasks;
    if (now) return w.schedule_at(w.now() + (after < 0 ? kRun + after : after), [&w, ref] { w.cancel(ref); });
    w.schedule_at(w.now() + 5 * kMs, [&w, ref, after] { cancel_about_the_end(w, ref, after); });
}

class LastTasks : public testing::TestWithParam<std::tuple<bool, bool>> {};

/// The cancellation comes between any two of the changes that end the job: its tasks' results, its final
/// record, and the dropping of what it was.
TEST_P(LastTasks, AreCancelledInAnyOrder) {
    const auto [apart, scarce] = GetParam();
    Settings s = site(apart, scarce ? 40 : 200);
    s.value_bytes = s.value_bytes_now = 1024;
    s.teams = {{"red", {48'000, 0, 0}, {96'000, 0, 0}}};
    auto w = settled_simulator(5, 12, s);
    w->query_after_changes = true;
    if (scarce) w->preferred_node = w->owner_node();  // where both changes may wait for the same transaction
    int number = 0;
    std::vector<std::pair<std::string, std::string>> needed;
    std::vector<std::vector<std::string>> refs(kEndings.size());
    // Most of these changes come within 300 ms.
    for (Micros after = -100 * kMs; after < kSecond; after += after < 300 * kMs ? 30 * kMs : 300 * kMs)
        for (std::size_t e = 0; e < kEndings.size(); ++e) {
            JobSpec spec =
                w->make_job(++number, kEndings[e].kind, kEndings[e].tasks, kEndings[e].tasks > 10 ? 0.05 : 1);
            w->submit(spec, kRun, 0);
            cancel_about_the_end(*w, spec.ref, after);
            refs[e].push_back(spec.ref);
            if (kEndings[e].needed) {
                JobSpec next = w->make_job(++number, JobKind::Array, 1);
                next.needs = {spec.ref};
                submit_once_accepted(*w, next);
                needed.emplace_back(spec.ref, next.ref);
            }
            w->run(150 * kMs);
        }
    w->run(15 * kSecond);
    for (std::size_t e = 0; e < kEndings.size(); ++e) {
        std::map<std::string, int> told;
        for (const auto& ref : refs[e]) ++told[w->reported_stage(ref)];
        EXPECT_EQ(told["done"] + told["cancelled"], static_cast<int>(refs[e].size())) << kEndings[e].name;
        EXPECT_GE(told["done"], 3) << kEndings[e].name;
        EXPECT_GE(told["cancelled"], 3) << kEndings[e].name;
    }
    for (const auto& [ref, next] : needed)
        EXPECT_TRUE(w->reported_stage(next) == "cancelled" ||
                    (w->reported_stage(next) == "done" && w->reported_stage(ref) == "done"))
            << ref << " " << w->reported_stage(ref) << ", " << next << " " << w->reported_stage(next);
    EXPECT_NO_VIOLATIONS(*w);
}

/// A state service that answers at once.
class AtOnce : public Runtime {
  public:
    Micros now() override { return now_; }
    Micros listened() override { return now_; }
    std::int64_t wall_ms() override { return now_ / kMs; }
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

/// A job's final record and its cancellation are written under different keys, and each rests on the other's
/// not being there: in one transaction both would be carried out.
TEST(ConsistencyChecker, WhatTwoChangesUndoOfEachOtherIsNotOneTransaction) {
    for (const bool swapped : {false, true}) {
        AtOnce host;
        const Settings s = small_cluster_settings();
        StoreClient store(host, s);
        const Json first{{"then", Json::array({{{"write", "c/active/x"}, {"data", 1}}})}};
        const auto mod_revision = wire::count(host.state.handle("POST", "/commit", first, 0).body, "ledger");
        ASSERT_TRUE(mod_revision);
        const std::vector<Condition> as_known{{"c/active/x", *mod_revision}, {"c/job/x", 0}};
        std::vector<Change> changes(3);
        changes[0].when = changes[1].when = as_known;
        changes[swapped].then.push_back({"c/active/x", {{"s", "cancelled"}}});
        changes[!swapped].then.push_back({"c/job/x", {{"s", "done"}}});
        changes[2].then.push_back({"c/other", 1});
        std::vector<CommitStatus> status;
        for (auto& c : changes)
            store.commit(c, [&status](const CommitResult& r) { status.push_back(r.status); });
        host.run(kSecond);
        const std::vector<CommitStatus> one{CommitStatus::Ok, CommitStatus::Conflict, CommitStatus::Ok};
        EXPECT_EQ(status, one) << swapped;
        EXPECT_LE(host.requests, 3);
    }
}

TEST(ConsistencyChecker, JobsAreCalledOffAtTheMomentOfTheirEnd) {
    auto w = settled_simulator(6, 12);
    w->query_after_changes = true;
    w->cancel_on_completion_rate = 0.7;
    for (int n = 1; n <= 40; ++n) {
        w->submit(w->make_job(n, n % 3 ? JobKind::Array : JobKind::Gang, 1 + n % 2), 700 * kMs, 100 * kMs);
        w->run(300 * kMs);
    }
    w->run(10 * kSecond);
    int cancelled = 0;
    for (const auto& ref : w->job_refs()) {
        EXPECT_TRUE(w->reported_stage(ref) == "done" || w->reported_stage(ref) == "cancelled") << ref;
        cancelled += w->reported_stage(ref) == "cancelled";
    }
    EXPECT_GE(cancelled, 10);
    EXPECT_NO_VIOLATIONS(*w);
}

INSTANTIATE_TEST_SUITE_P(Stores, LastTasks, testing::Combine(testing::Bool(), testing::Bool()));

// ---------------------------------------------------------------- odd requests

struct Odd {
    const char* key;
    Json value;  // null: the field is missing
    int status;
};
/// Whatever is wrong with a job is told with the status that the protocol names, at every node, and a job
/// that is known already is answered with its state all the same.
TEST(ConsistencyChecker, OddRequestsAreRefusedAtEveryNode) {
    auto w = settled_simulator(8, 4);
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(2 * kSecond);
    const Json good = wire::job_value(w->make_job(1, JobKind::Array, 1));
    std::vector<Odd> cases{{"threads", 0, 400},
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
    for (const auto& [key, value] : good.items()) cases.push_back({key.c_str(), {}, 400});
    int number = 100;
    for (const auto& odd : cases)
        for (int i = 0; i < 3; ++i) {
            Json body = good;
            const std::string fresh = w->make_job(++number, JobKind::Array, 1).ref;
            body["ref"] = fresh;
            const auto put = [&odd](Json& b) {
                if (odd.value.is_null())
                    b.erase(odd.key);
                else
                    b[odd.key] = odd.value;
            };
            put(body);
            const std::string what = std::string(odd.key) + " " + odd.value.dump() + " at " + host(i);
            EXPECT_EQ(w->request(i, "POST", "/v1/jobs", body).status, odd.status) << what;
            EXPECT_EQ(w->request(i, "GET", "/v1/jobs/" + fresh, {}).status, 404) << what;
            EXPECT_EQ(w->request(i, "POST", "/v1/jobs/" + fresh + "/abort", {}).status, 404) << what;
            if (std::string(odd.key) == "ref") continue;
            body["ref"] = "req-000001";
            put(body);
            const ApiResponse again = w->request(i, "POST", "/v1/jobs", body);
            EXPECT_EQ(again.status, 200) << what;
            EXPECT_EQ(wire::text(again.body, "stage"), "running") << what;
        }
    Json gang = wire::job_value(w->make_job(99, JobKind::Gang, 25));
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(w->request(i, "POST", "/v1/jobs", gang).status, 422) << "over its limit";
    EXPECT_NO_VIOLATIONS(*w);
}

/// While a node does not know the machine types it decides nothing that rests on them.
TEST(ConsistencyChecker, ANodeThatKnowsNoMachineTypesAcceptsAndRefusesNothing) {
    Simulator w(9);
    w.cloud().down = true;
    w.start_nodes();
    const Json fits = wire::job_value(w.make_job(1, JobKind::Array, 1));
    Json never = wire::job_value(w.make_job(2, JobKind::Array, 1, 17));
    Json wrong = wire::job_value(w.make_job(3, JobKind::Array, 1));
    wrong.erase("rank");
    for (int n = 0; n < 4; ++n)
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(w.request(i, "POST", "/v1/jobs", fits).status, 503);
            EXPECT_EQ(w.request(i, "POST", "/v1/jobs", never).status, 503);
            const int status = w.request(i, "POST", "/v1/jobs", wrong).status;
            EXPECT_TRUE(status == 400 || status == 503) << status;
            w.run(300 * kMs);
        }
    w.cloud().down = false;
    w.run(5 * kSecond);
    EXPECT_EQ(w.request(0, "POST", "/v1/jobs", fits).status, 201);
    EXPECT_EQ(w.request(1, "POST", "/v1/jobs", never).status, 422);
}

/// Odd requests and close looks while nodes end and start all the time, one by one and all.
TEST(ConsistencyChecker, OddRequestsMeetNodesThatHaveJustStarted) {
    for (const bool apart : {false, true}) {
        auto w = settled_simulator(10, 6, site(apart));
        w->query_after_changes = w->send_unusual_requests = true;
        for (int n = 1; n <= 30; ++n) {
            w->submit(w->make_job(n, n % 4 ? JobKind::Array : JobKind::Service, 1 + n % 3), 800 * kMs,
                      100 * kMs);
            w->crash(n % 3, (20 + 37 * n % 400) * kMs);
            if (n % 10 == 0) w->crash((n + 1) % 3, 100 * kMs);
            Json wrong = wire::job_value(w->make_job(1000 + n, JobKind::Array, 1));
            wrong["cores"] = 100.0;
            if (n % 2) wrong.erase("cards");
            w->submit_invalid_job(wrong);
            w->run(700 * kMs);
            if (n % 4 == 0) w->cancel(w->make_job(n, JobKind::Array, 1).ref);
        }
        w->run(20 * kSecond);
        for (const auto& ref : w->job_refs())
            EXPECT_TRUE(w->reported_stage(ref) == "done" || w->reported_stage(ref) == "cancelled");
        EXPECT_NO_VIOLATIONS(*w);
    }
}

}  // namespace
}  // namespace cottonway::test
