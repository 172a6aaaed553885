// Failures one at a time, as traces that people read: each names what it guards against.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

int other_than(int holder) {
    return (holder + 1) % 3;
}

TEST(Traces, AnArrayRunsAndIsDone) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Array, 5), 3 * kSecond);
    w->run(9 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 5);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AHolderThatEndsIsReplacedAndItsTasksGoOn) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->run(3 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 3);
    const int before = w->owner_node();
    w->crash(before, 60 * kSecond);
    w->run(6 * kSecond);
    EXPECT_NE(w->owner_node(), before);
    ASSERT_GE(w->owner_node(), 0) << w->format_history();
    w->run(20 * kSecond);  // beyond the workers' lease
    EXPECT_EQ(w->running_tasks("req-000001"), 3);
    EXPECT_EQ(w->task_starts("req-000001"), 3) << "nothing was started again\n" << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, ARestartOfAllLosesNothing) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->submit(w->make_job(2, JobKind::Array, 4), 8 * kSecond);
    w->run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w->crash(i, 3 * kSecond);
    w->run(25 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 2);
    EXPECT_EQ(w->task_starts("req-000002"), 4);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AnOustedHolderBindsNothingAndItsTokenIsOutdated) {
    auto w = settled_simulator();
    const int old = w->owner_node();
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->run(3 * kSecond);
    w->refuse_state_requests(old, true);  // its store lease runs out; it still reaches every worker
    w->run(6 * kSecond);
    int active = 0;
    for (int i = 0; i < 3; ++i) active += i != old && w->owner_at(i);
    EXPECT_EQ(active, 1) << w->format_history();
    const auto token = w->owner_at(old) ? w->owner_at(old)->mod_revision() : 0;
    for (const auto& m : w->machine_names()) EXPECT_GT(w->worker(m)->token(), token) << "shown the new token";
    w->submit(w->make_job(2, JobKind::Array, 4), 3 * kSecond);
    w->run(15 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 2);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AStateOutageWithinTheAuthorityTimeKillsNothing) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->run(3 * kSecond);
    w->state().set_down(true, w->now());
    w->run(20 * kSecond);  // longer than the workers' lease of 12 s
    EXPECT_EQ(w->running_tasks("req-000001"), 3);
    w->state().set_down(false, w->now());
    w->run(10 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 3) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, NothingIsAnsweredFromAStoreThatIsOutOfReach) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(2 * kSecond);
    w->state().set_down(true, w->now());
    w->run(5 * kSecond);
    for (const char* path : {"/v1/jobs/req-000001", "/v1/jobs/req-000777"})
        EXPECT_EQ(w->request(0, "GET", path, Json::object()).status, 503);
    auto r = w->request(1, "POST", "/v1/jobs", wire::job_value(w->make_job(9, JobKind::Array, 1)));
    EXPECT_EQ(r.status, 503);
    EXPECT_GT(r.retry_after, 0);
}

TEST(Traces, TasksOfACutMachineStayInDoubtUntilItsLeaseIsOver) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(3 * kSecond);
    const std::string machine = *w->machines_running("req-000001").begin();
    for (int i = 0; i < 3; ++i) w->cut_link("loom-" + std::to_string(i), machine);
    w->run(8 * kSecond);
    EXPECT_EQ(w->machines_running("req-000001"), std::set{machine}) << "not started elsewhere yet";
    w->run(14 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 1);
    EXPECT_NE(*w->machines_running("req-000001").begin(), machine) << w->format_history();
    w->heal_all_links();
    w->run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, ALaunchHeldInACutIsNeverExecutedTwice) {
    auto w = settled_simulator(3, 1);
    const std::string machine = w->machine_names().front();
    for (int i = 0; i < 3; ++i) w->cut_link("loom-" + std::to_string(i), machine);
    w->submit(w->make_job(1, JobKind::Array, 2), 2 * kSecond);  // bound to the machine, its launch is held
    w->run(kSecond);
    w->add_machine("small", "b");
    w->run(25 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    w->heal_all_links();  // the launch arrives now, for a session that is over
    w->run(10 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AnUnansweredLaunchIsNotClearedBeforeTheTokenIsRaised) {
    auto w = settled_simulator(5, 1);
    const std::string machine = w->machine_names().front();
    const auto token = w->worker(machine)->token();
    w->hold_next_message("loom-" + std::to_string(w->owner_node()), machine);  // the /do with the launch
    w->submit(w->make_job(1, JobKind::Array, 1), kSecond, 0);
    w->run(20 * kSecond);  // given up, launched again, done
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_GT(w->worker(machine)->token(), token) << "the block's token was raised";
    w->release_held_messages();  // had the attempt been cleared at the old token, this would start it once
                                 // more
    w->run(10 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 1) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AHolderThatHasNotHeardOfItsSuccessorBindsNothing) {
    auto w = settled_simulator(12);
    const int holder = w->owner_node();
    const std::string node = "loom-" + std::to_string(holder);
    w->hold_next_message("state", node);  // the watch's answer that would tell
    const auto mod_revision = w->owner_at(holder)->mod_revision();
    const std::string shard = w->owner_at(holder)->shard();
    Json live{{"write", "c/live/loom-9"}, {"data", {{"node", "loom-9"}}}};
    Json write{{"write", "c/domain/" + shard}, {"data", {{"holder", "loom-9"}}}};
    Json change{{"when", Json::array({Json{{"k", "c/domain/" + shard}, {"mark", mod_revision}}})},
                {"then", Json::array({live, write})}};
    ASSERT_EQ(w->state().handle("POST", "/commit", change, w->now()).status, 200);
    w->run(50 * kMillisecond);
    ASSERT_TRUE(w->owner_at(holder)) << "it does not know yet";
    const JobSpec job = w->make_job(1, JobKind::Array, 2);
    w->submit(job, 2 * kSecond, 0);
    w->request(holder, "POST", "/v1/jobs", wire::job_value(job));
    w->run(500 * kMillisecond);
    // It may take the shard back, since it has not heard that the other is alive; under its old token it
    // binds nothing.
    const ShardOwner* owner = w->node(holder)->owner(shard);
    EXPECT_TRUE(w->task_starts("req-000001") == 0 || (owner && owner->mod_revision() > mod_revision))
        << w->format_history();
}

TEST(Traces, AnOustedHolderDoesNotTakeAnothersBindForItsOwn) {
    // Found by the random world: the bind of a holder got no answer; its successor had bound the same attempt
    // elsewhere by the time when the record could be read, and both were launched.
    for (Micros heal = 8 * kSecond; heal < 12 * kSecond; heal += 100 * kMillisecond) {
        auto w = settled_simulator(14, 2);
        const int old = w->owner_node();
        auto in_zone = [&](const char* zone) {
            for (const auto& name : w->machine_names())
                if (w->worker(name)->zone() == zone) return name;
            return std::string();
        };
        const std::string near = in_zone("a"), far = in_zone("b");
        for (int i = 1; i <= 3; ++i) {
            JobSpec job = w->make_job(i, JobKind::Array, 1, 8);
            if (i < 3) job.zone = w->settings.zones.at(i == 1 ? 0 : 1);
            w->submit(job, i < 3 ? 6 * kSecond : 30 * kSecond, 0);
            w->run(300 * kMillisecond);
        }
        ASSERT_EQ(w->running_tasks("req-000001") + w->running_tasks("req-000002"), 2);
        // The old holder keeps one machine, which the others can't reach, and loses the store.
        std::vector<std::string> nodes{"loom-0", "loom-1", "loom-2"};
        const std::string& node = nodes[static_cast<std::size_t>(old)];
        w->cut_link(node, "state");
        w->cut_link(node, far);
        for (const auto& other : nodes)
            if (other != node) w->cut_link(other, near);
        w->run(heal);
        w->heal_link(node, "state");
        w->run(6 * kSecond);
        EXPECT_EQ(w->task_starts("req-000003"), 1) << "healed after " << heal << "\n" << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(Traces, CancellationReachesTasksInEveryState) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 2), 0, 3 * kSecond);  // still fetching
    w->submit(w->make_job(2, JobKind::Service, 2), 0);               // running
    w->submit(w->make_job(3, JobKind::Service, 3, 8), 0);            // partly waiting for room
    w->run(2 * kSecond);
    for (const char* ref : {"req-000001", "req-000002", "req-000003"}) w->cancel(ref);
    w->run(4 * kSecond);
    for (const char* ref : {"req-000001", "req-000002", "req-000003"}) {
        EXPECT_EQ(w->reported_stage(ref), "cancelled");
        EXPECT_EQ(w->running_tasks(ref), 0);
    }
    // It remains cancelled, also for a late retry of the submission, also after a restart of all.
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(6 * kSecond);
    auto r = w->request(0, "POST", "/v1/jobs", wire::job_value(w->make_job(1, JobKind::Service, 2)));
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(wire::text(r.body, "stage"), "cancelled");
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, ACancellationUnheardByAHolderCutFromTheStoreStillEndsEveryTask) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->run(3 * kSecond);
    const int old = w->owner_node();
    // The old holder reaches the workers but not the store; the others reach the store but not the workers.
    w->cut_link("loom-" + std::to_string(old), "state");
    for (int i = 0; i < 3; ++i)
        if (i != old)
            for (const auto& m : w->machine_names()) w->cut_link("loom-" + std::to_string(i), m);
    w->run(2 * kSecond);
    auto r = w->request(other_than(old), "POST", "/v1/jobs/req-000001/abort", Json::object());
    ASSERT_EQ(r.status, 200);
    w->run(w->settings.cancel);
    EXPECT_EQ(w->running_tasks("req-000001"), 0) << "its authority time ended early enough\n"
                                                 << w->format_history();
}

TEST(Traces, AGangStartsWholeOrNotAtAll) {
    auto w = settled_simulator(2, 2);
    JobSpec gang = w->make_job(1, JobKind::Gang, 3, 6);  // only two fit
    w->submit(gang, 4 * kSecond);
    w->run(6 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 0);
    w->add_machine("small", "a");
    w->run(12 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 3);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AGangThatLosesATaskStartsAgainAsAWhole) {
    auto w = settled_simulator(4, 4);
    w->submit(w->make_job(1, JobKind::Gang, 3, 5), 10 * kSecond);
    w->run(4 * kSecond);
    ASSERT_EQ(w->running_tasks("req-000001"), 3);
    w->kill_machine(*w->machines_running("req-000001").begin());
    w->run(60 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 6);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, ZonesAreJudgedWithTasksInDoubt) {
    auto w = settled_simulator(6, 4);
    JobSpec spread = w->make_job(1, JobKind::Service, 2);
    spread.spread = true;
    JobSpec together = w->make_job(2, JobKind::Array, 4, 2);
    together.one_zone = true;
    w->submit(spread, 0);
    w->submit(together, 20 * kSecond);
    w->run(4 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 2);
    EXPECT_EQ(w->running_tasks("req-000002"), 4);
    w->kill_machine(*w->machines_running("req-000001").begin());
    w->run(60 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 2) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, ATeamNeverUsesMoreThanItsLimit) {
    auto w = settled_simulator(7, 6);
    JobSpec wide = w->make_job(1, JobKind::Array, 40, 1);
    wide.team = "blue";  // at most 16 cores
    w->submit(wide, 2 * kSecond);
    w->run(20 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000001"), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, AJobOfManyPartsIsStoredInPieces) {
    Simulator w(8);
    for (int i = 0; i < 6; ++i) w.add_machine("large", i % 2 ? "b" : "a");
    w.start_nodes();
    w.run(6 * kSecond);
    JobSpec many = w.make_job(1, JobKind::Array, 300, 0.1);
    w.submit(many, 4 * kSecond);
    w.run(3 * kSecond);
    for (int i = 0; i < 3; ++i) w.crash(i, 2 * kSecond);
    w.run(40 * kSecond);
    EXPECT_EQ(w.reported_stage("req-000001"), "done") << w.format_history();
    EXPECT_EQ(w.task_starts("req-000001"), 300) << "nothing was lost or run again";
    EXPECT_NO_VIOLATIONS(w);
}

TEST(Traces, HigherRankMakesRoomAndSavedWorkIsNotLost) {
    auto w = settled_simulator(9, 1);
    JobSpec low = w->make_job(1, JobKind::Array, 1, 8);
    low.rank = PriorityClass::Low;
    low.checkpoint = kSecond;
    low.save = kSecond;
    w->submit(low, 20 * kSecond);
    w->run(4 * kSecond);
    JobSpec high = w->make_job(2, JobKind::Service, 1, 4);
    high.rank = PriorityClass::Production;
    w->submit(high, 0);
    w->run(6 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000002"), 1) << w->format_history();
    EXPECT_EQ(w->running_tasks("req-000001"), 0);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, TheEchoOfAnOlderRecordDoesNotBringAFinishedJobBack) {
    // Found by the random world (seed 3): the echo re-created the job, and its final record, which holds no
    // tasks, was then taken as an ordinary one.
    auto w = settled_simulator(10);
    w->submit(w->make_job(1, JobKind::Array, 2), 2 * kSecond);
    w->run(2 * kSecond);
    ShardOwner* owner = w->owner_at(w->owner_node());
    ASSERT_EQ(owner->jobs().size(), 1u);
    const auto mod_revision = owner->jobs().begin()->second->parts[0].mod_revision;
    Json old{{"s", "queued"},
             {"dom", owner->shard()},
             {"k", 2},
             {"d", wire::job_value(w->make_job(1, JobKind::Array, 2))},
             {"at", 0}};
    w->run(6 * kSecond);
    ASSERT_EQ(w->reported_stage("req-000001"), "done");
    owner->on_job("req-000001", RecordLocation::Active, old, mod_revision);
    owner->on_job("req-000001", RecordLocation::Job, Json{{"s", "done"}, {"dom", owner->shard()}, {"k", 2}},
                  mod_revision + 1);
    w->run(8 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 2) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Traces, UnexpectedMachinesAreUsedAndSilentOnesReturned) {
    auto w = settled_simulator(11, 2);
    const std::string extra = w->add_machine("large", "a");
    w->submit(w->make_job(1, JobKind::Service, 1, 12), 0);  // fits the unexpected one only
    w->run(6 * kSecond);
    EXPECT_EQ(w->machines_running("req-000001"), std::set{extra}) << w->format_history();
    w->kill_machine(extra);
    w->run(150 * kSecond);
    EXPECT_FALSE(w->cloud().machines().count(extra)) << "deleted at the cloud\n" << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

// ---------------------------------------------------------------- users

TEST(JobService, TheAdmissionTable) {
    auto w = settled_simulator();
    auto submit = [&](const JobSpec& s) {
        return w->request(1, "POST", "/v1/jobs", wire::job_value(s)).status;
    };
    JobSpec s = w->make_job(1, JobKind::Array, 2);
    EXPECT_EQ(submit(s), 201);
    EXPECT_EQ(submit(s), 200) << "known already";
    JobSpec other = w->make_job(2, JobKind::Array, 1);
    other.team = "green";
    EXPECT_EQ(submit(other), 422) << "unknown team";
    other = w->make_job(2, JobKind::Array, 1, 17);
    EXPECT_EQ(submit(other), 422) << "fits no type";
    other = w->make_job(2, JobKind::Array, 1);
    other.types = {"huge"};
    EXPECT_EQ(submit(other), 422) << "fits no allowed type";
    other = w->make_job(2, JobKind::Gang, 5, 5);
    EXPECT_EQ(submit(other), 422) << "a gang needs its team's limit for all tasks";
    other.kind = JobKind::Array;
    EXPECT_EQ(submit(other), 201) << "an array for one";
    Json broken = wire::job_value(s);
    broken["cores"] = -1;
    EXPECT_EQ(w->request(1, "POST", "/v1/jobs", broken).status, 200) << "a known id comes before 400";
    broken["ref"] = "req-000099";
    EXPECT_EQ(w->request(1, "POST", "/v1/jobs", broken).status, 400);
    EXPECT_EQ(w->request_raw(1, "POST", "/v1/jobs", "\xc1").status, 400);
    EXPECT_EQ(w->request(1, "GET", "/v1/jobs/req-000555", {}).status, 404);
    EXPECT_EQ(w->request(1, "POST", "/v1/jobs/req-000555/abort", {}).status, 404);
    EXPECT_EQ(w->request(1, "DELETE", "/v1/jobs/req-000001", {}).status, 405);
    EXPECT_EQ(w->request(1, "GET", "/v1/jobs", {}).status, 405);
    EXPECT_EQ(w->request(1, "GET", "/v2", {}).status, 404);
    EXPECT_EQ(w->request(1, "GET", "/healthz", {}).status, 200);
}

TEST(JobService, WithoutMachineTypesNothingCanBeDecided) {
    Simulator w(1);
    w.cloud().down = true;
    w.start_nodes();
    w.run(3 * kSecond);
    EXPECT_EQ(w.request(0, "POST", "/v1/jobs", wire::job_value(w.make_job(1, JobKind::Array, 1))).status,
              503);
    EXPECT_EQ(w.request(0, "GET", "/healthz", {}).status, 503);
}

TEST(Workers, AreSentToTheHolderOfTheirBlock) {
    Settings site = small_cluster_settings();
    site.lease = 20 * kSecond;  // long enough to try the holder in vain and come back
    site.cancel = 50 * kSecond;
    auto w = settled_simulator(1, 4, site);
    w->run(15 * kSecond);  // whoever a worker asked at first is forgotten
    const int holder = w->owner_node();
    const std::string machine = w->machine_names().front();
    const Json report = w->worker(machine)->report(w->now());
    auto r = w->request(other_than(holder), "POST", "/v1/report", report);
    EXPECT_EQ(r.status, 421);
    EXPECT_EQ(wire::text(r.body, "overseer"), "loom-" + std::to_string(holder));
    // Back so soon, it can't reach its holder: the report is passed on.
    r = w->request(other_than(holder), "POST", "/v1/report", w->worker(machine)->report(w->now()));
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(wire::count(r.body, "shuttle"), w->worker(machine)->token());
    Json newer = w->worker(machine)->report(w->now());
    newer["shuttle"] = *wire::count(newer, "shuttle") + 1000;
    EXPECT_EQ(w->request(holder, "POST", "/v1/report", newer).status, 503)
        << "a higher token: the holder is ousted";
}

TEST(Workers, AreHelpedAtOnceWhereTheirLeaseLeavesNoTime) {
    // Found at a deployment with a lease of 10 s: sent back to a holder that it can't reach, a worker has
    // lost its lease before it is here again.
    auto w = settled_simulator();
    const int holder = w->owner_node();
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->run(3 * kSecond);
    for (const auto& m : w->machine_names()) w->cut_link("loom-" + std::to_string(holder), m);
    w->run(25 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 3);
    EXPECT_EQ(w->task_starts("req-000001"), 3) << "nothing was started again\n" << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

// ---------------------------------------------------------------- bad nights

TEST(BadNights, WorkersAreNotJudgedSilentByAProcessThatJustWoke) {
    // While a process stands still it does not listen: that it heard nothing tells nothing.
    auto w = settled_simulator();
    const int holder = w->owner_node();
    const std::string node = "loom-" + std::to_string(holder);
    w->run(3 * kSecond);
    w->freeze_process(holder, 1'900 * kMillisecond);  // shorter than its lease at the store
    w->run(1'500 * kMillisecond);
    w->submit(w->make_job(1, JobKind::Array, 4), 30 * kSecond);
    ShardOwner* owner = nullptr;
    Micros silent = 0;
    w->schedule_at(w->now() + 401 * kMillisecond, [&] {
        owner = w->owner_at(holder);
        for (const auto& [name, m] : owner->machines()) silent = std::max(silent, owner->silent_for(*m));
    });
    w->run(10 * kSecond);
    ASSERT_TRUE(owner) << w->format_history();
    EXPECT_LT(silent, 3 * kSecond) << "the time it stood still does not count";
    EXPECT_EQ(w->running_tasks("req-000001"), 4) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, AHolderThatStoodStillPastItsAuthorityStartsAndEndsNothing) {
    // It goes on with a commit, launches and reports' answers in hand; its shard has long been adopted.
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        auto w = settled_simulator(seed);
        const int holder = w->owner_node();
        w->submit(w->make_job(1, JobKind::Service, 3), 0);
        w->run(3 * kSecond);
        w->submit(w->make_job(2, JobKind::Array, 4, 3), 25 * kSecond, 0);
        // At any point of admitting, binding and launching.
        w->run(static_cast<Micros>(seed) * 4 * kMillisecond);
        w->freeze_process(holder, 40 * kSecond);
        w->run(20 * kSecond);
        ASSERT_GE(w->owner_node(), 0);
        w->cancel("req-000001");
        w->run(50 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000002"), "done") << w->format_history();
        EXPECT_EQ(w->running_tasks("req-000001"), 0);
        EXPECT_EQ(w->task_starts("req-000002"), 4) << "seed " << seed << "\n" << w->format_history(200);
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(BadNights, BrokenJobsCondemnNoMachineAndAreTriedSeldom) {
    auto w = settled_simulator(1, 6);
    for (int i = 1; i <= 4; ++i) w->submit(w->make_job(i, JobKind::Array, 12, 0.5), kSecond, 0, true);
    w->run(60 * kSecond);
    for (int i = 1; i <= 4; ++i) {
        const std::string ref = "req-00000" + std::to_string(i);
        EXPECT_LT(w->task_starts(ref), 12 + 14) << "each task once, a few at first, then one try at a time";
        EXPECT_GT(w->task_starts(ref), 12) << "errors never end a job";
        EXPECT_EQ(w->reported_stage(ref), "accepted");
    }
    for (const auto& [name, m] : w->owner_at(w->owner_node())->machines()) {
        EXPECT_TRUE(m->error_jobs.empty()) << name;
        EXPECT_FALSE(m->retired) << name;
    }
    w->submit(w->make_job(9, JobKind::Array, 24, 1), 2 * kSecond);
    w->run(8 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000009"), "done") << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, AFaultyMachineIsFoundAmongHealthyOnes) {
    auto w = settled_simulator(1, 4);
    const std::string bad = w->machine_names().front();
    w->worker(bad)->faulty = true;
    for (int i = 1; i <= 6; ++i) w->submit(w->make_job(i, JobKind::Array, 16, 0.5), 2 * kSecond);
    w->run(25 * kSecond);
    for (int i = 1; i <= 6; ++i)
        EXPECT_EQ(w->reported_stage("req-00000" + std::to_string(i)), "done") << w->format_history();
    const auto& machines = w->owner_at(w->owner_node())->machines();
    const auto found = machines.find(bad);
    EXPECT_TRUE(found == machines.end() || found->second->retired || !found->second->error_jobs.empty());
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, AWideIdleArrayDoesNotDelayAService) {
    auto w = settled_simulator(1, 2);
    JobSpec wide = w->make_job(1, JobKind::Array, 400, 0.25);
    wide.team = "guests";
    wide.rank = PriorityClass::Low;
    w->submit(wide, 4 * kSecond);
    w->run(8 * kSecond);
    EXPECT_GT(w->running_tasks("req-000001"), 30) << "it has all of both machines";
    JobSpec service = w->make_job(2, JobKind::Service, 2, 6);
    service.rank = PriorityClass::Production;
    service.spot = false;
    w->submit(service, 0);
    JobSpec usual = w->make_job(3, JobKind::Array, 1, 2);
    w->submit(usual, 2 * kSecond);
    w->run(3 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000002"), 2) << w->format_history();
    w->run(4 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000003"), "done") << "idle work yields to every other rank\n"
                                                       << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, TheDeadDomainsShareIsUsedAgain) {
    Settings site = small_cluster_settings();
    site.cpu_share = 0.001;  // several shards
    auto w = settled_simulator(3, 9, site);
    w->run(4 * kSecond);
    w->crash(0, 120 * kSecond);
    w->crash(1, 120 * kSecond);
    w->run(8 * kSecond);
    // All of the team's limit, of which two thirds were the dead controllers'.
    w->submit(w->make_job(1, JobKind::Array, 24, 1), 20 * kSecond);
    w->run(8 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 24) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, ControllersThatStartWhileTheCloudIsDownTakeTheirDomainsBack) {
    auto w = settled_simulator();
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->run(3 * kSecond);
    w->cloud().down = true;
    for (int i = 0; i < 3; ++i) w->crash(i, 2 * kSecond);
    w->run(25 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 3) << "no lease was lost\n" << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(BadNights, PollsAreTurnedAwayBeforeReports) {
    Settings site = small_cluster_settings();
    site.cpu_share = 0.02;
    auto w = settled_simulator(1, 4, site);
    w->submit(w->make_job(1, JobKind::Service, 1), 0);
    w->run(2 * kSecond);
    const int node = w->owner_node();
    std::map<int, int> polls;
    int with_retry = 0;
    for (int i = 0; i < 500; ++i)
        w->node(node)->handle({"GET", "/v1/jobs/req-000001", "", false}, [&](const ApiResponse& r) {
            ++polls[r.status];
            with_retry += r.retry_after > 0;
        });
    const std::string machine = w->machine_names().front();
    const auto report = w->request(node, "POST", "/v1/report", w->worker(machine)->report(w->now()));
    w->run(2 * kSecond);
    EXPECT_EQ(report.status, 200);
    EXPECT_GT(polls[200], 50);
    EXPECT_GT(polls[503], 300);
    EXPECT_EQ(polls[503], with_retry);
    EXPECT_EQ(polls[200] + polls[503], 500);
}

}  // namespace
}  // namespace cottonway::test
