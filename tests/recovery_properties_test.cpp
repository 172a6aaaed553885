// Properties of shard failover, reconciliation and the job cache, checked by RapidCheck over generated states
// and histories.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "cache/job_cache.hpp"
#include "cluster/failover.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway::test {
namespace {

using namespace recovery;

// ---------------------------------------------------------------- shard failover

std::map<std::string, std::size_t> arbitrary_nodes() {
    std::map<std::string, std::size_t> nodes;
    const int node_count = *rc::gen::inRange(1, 7);
    for (int i = 0; i < node_count; ++i)
        nodes["n" + std::to_string(i)] = *rc::gen::inRange<std::size_t>(0, 400);
    return nodes;
}

RC_GTEST_PROP(ShardFailoverDecisionProperties, EveryOrphanIsTakenByExactlyOneNode, ()) {
    FailoverState state;
    state.alive = arbitrary_nodes();
    const int orphan_count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < orphan_count; ++i)
        state.orphans.push_back({"d" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 400), 0, false});
    std::map<std::string, int> taken;
    std::map<std::string, std::size_t> load = state.alive;
    for (const auto& [node, machines] : state.alive) {
        state.self = node;
        for (const auto& shard : shards_to_acquire(state)) {
            ++taken[shard];
            for (const auto& orphan : state.orphans)
                if (orphan.shard == shard) load[node] += orphan.machines;
        }
    }
    for (const auto& orphan : state.orphans) RC_ASSERT(taken[orphan.shard] == 1);
    // A node that takes orphans never has more machines than another one by more than the largest orphan.
    std::size_t largest = 0, least = SIZE_MAX;
    for (const auto& orphan : state.orphans) largest = std::max(largest, orphan.machines);
    for (const auto& [node, node_load] : load) least = std::min(least, node_load);
    for (const auto& [node, node_load] : load)
        if (node_load > state.alive.at(node)) RC_ASSERT(node_load <= least + largest);
}

RC_GTEST_PROP(ShardFailoverDecisionProperties, OrphanFromBeforeTheStartIsTakenOnlyAfterTheWait, ()) {
    FailoverState state;
    state.alive = arbitrary_nodes();
    state.self = state.alive.begin()->first;
    state.holder_grace = *rc::gen::inRange<Micros>(0, 5 * kSecond);
    state.now = *rc::gen::inRange<Micros>(0, 10 * kSecond);
    const Micros since = *rc::gen::inRange<Micros>(0, 10 * kSecond);
    state.orphans.push_back({"d", 10, since, true});
    if (state.now - since < state.holder_grace) RC_ASSERT(shards_to_acquire(state).empty());
    // The orphan is taken in the end.
    state.now = since + state.holder_grace + static_cast<Micros>(state.alive.size()) * kSecond;
    RC_ASSERT(shards_to_acquire(state).size() == 1u);
}

RC_GTEST_PROP(ShardFailoverDecisionProperties, TransferLeavesOneShardAndGivesEachNodeAtMostOne, ()) {
    std::vector<HeldShard> held;
    const int held_count = *rc::gen::inRange(0, 8), receiver_count = *rc::gen::inRange(0, 8);
    for (int i = 0; i < held_count; ++i)
        held.push_back({"n" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 3), true,
                        *rc::gen::arbitrary<bool>()});
    std::vector<Receiver> receivers;
    for (int i = 1; i <= receiver_count; ++i)
        receivers.push_back({"n" + std::to_string(i), *rc::gen::inRange<Micros>(0, 6 * kSecond)});
    const auto moves = shards_to_transfer("n0", held, receivers);
    std::set<std::string> shards, nodes;
    for (const auto& [shard, node] : moves) {
        RC_ASSERT(shards.insert(shard).second);
        RC_ASSERT(nodes.insert(node).second);
    }
    const auto with_machines =
        std::count_if(held.begin(), held.end(), [](const HeldShard& h) { return h.machines > 0; });
    RC_ASSERT(static_cast<std::ptrdiff_t>(moves.size()) < std::max<std::ptrdiff_t>(with_machines, 1));
}

// ---------------------------------------------------------------- reconciliation

/// A model of one task, one worker and a network with delays. The holder launches the task, receives messages
/// and reconciles them. Messages arrive in any order; a `/do` may be executed at any later time as long as
/// token and session match.
struct Model {
    struct Launch {
        std::uint64_t token, session;
    };
    struct Message {
        std::uint64_t session, seq, token;
        bool lists_task;
        bool is_report;
    };
    // State of the worker.
    std::uint64_t session = 1, seq = 0, token = 1;
    bool task_running = false;
    std::deque<Launch> launches_in_flight;
    std::vector<Message> messages;  // in flight to the holder
    // State of the holder.
    std::uint64_t holder_token = 1;
    bool launched = false, seen = false, stopping = false, proven_terminated = false;
    std::uint64_t launch_token = 0, launch_session = 0;
    std::vector<Launch> unacknowledged_launches;  // sent, and the outcome is not known
    std::uint64_t last_session = 1, last_seq = 0;

    void send_launch() {
        launches_in_flight.push_back({holder_token, last_session});
        unacknowledged_launches.push_back({holder_token, last_session});
        launched = true;
        launch_token = holder_token;
        launch_session = last_session;
    }
    void execute_launch(std::size_t i) {
        const Launch launch = launches_in_flight[i];
        launches_in_flight.erase(launches_in_flight.begin() + static_cast<std::ptrdiff_t>(i));
        if (launch.token < token || launch.session != session) return;
        token = launch.token;
        task_running = true;
    }
    void send_message(bool is_report) {
        messages.push_back({session, ++seq, token, task_running, is_report});
    }
    /// Applies a message and returns what was concluded, if it is newer than the last one.
    std::optional<ReconcileAction> receive(std::size_t i) {
        const Message message = messages[i];
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
        if (!is_newer_message({message.session, message.seq}, {last_session, last_seq}, 0))
            return std::nullopt;
        last_session = message.session;
        last_seq = message.seq;
        std::erase_if(unacknowledged_launches, [&](const Launch& launch) {
            return launch.token < message.token || launch.session < message.session;
        });
        StoredTask stored;
        stored.state = proven_terminated ? StoredTask::State::Waiting : StoredTask::State::Bound;
        stored.seen = seen;
        stored.launched = launched;
        stored.stopping = stopping;
        LaunchProof proof;
        proof.session_ended = message.session > launch_session;
        proof.higher_token_seen = message.token > launch_token;
        proof.may_still_arrive = !unacknowledged_launches.empty();
        const ReconcileAction action =
            reconcile(stored, {message.lists_task, false, ExitCause::Stopped}, proof);
        if (action == ReconcileAction::Runs) seen = true;
        if (action == ReconcileAction::Relaunch) launched = false;
        if (action == ReconcileAction::Terminated) proven_terminated = true;
        return action;
    }
    bool may_run() const {
        return task_running ||
               std::any_of(launches_in_flight.begin(), launches_in_flight.end(), [&](const Launch& launch) {
                   return launch.token >= token && launch.session == session;
               });
    }
};

RC_GTEST_PROP(ReconciliationProperties, TaskThatRunsOrMayStillStartIsNeverTakenAsGone, ()) {
    Model model;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps && !model.proven_terminated; ++i) {
        auto any = [](std::size_t n) { return *rc::gen::inRange<std::size_t>(0, n); };
        switch (*rc::gen::inRange(0, 8)) {
            case 0:
                if (!model.stopping && !model.launched) model.send_launch();
                break;
            case 1:
                if (!model.launches_in_flight.empty())
                    model.execute_launch(any(model.launches_in_flight.size()));
                break;
            case 2:
                model.send_message(true);
                break;
            case 3:
                if (!model.messages.empty()) model.receive(any(model.messages.size()));
                break;
            case 4:  // the worker's lease expires: it kills and forgets all tasks
                ++model.session;
                model.task_running = false;
                break;
            case 5:  // the shard's token is raised and announced to the worker
                ++model.holder_token;
                model.token = std::max(model.token, model.holder_token);
                break;
            case 6:
                model.stopping = true;
                break;
            case 7:  // the network loses a message
                if (!model.messages.empty()) model.messages.erase(model.messages.begin());
                break;
        }
        if (model.proven_terminated) RC_ASSERT(!model.may_run());
    }
}

RC_GTEST_PROP(ReconciliationProperties, OvertakenMessagesAreIgnored, ()) {
    // A message counts only if it is newer than all that arrived before it. So in the end the newest message
    // determines what is known, in whatever order they arrive.
    std::vector<MessagePosition> messages;
    const int message_count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < message_count; ++i)
        messages.push_back({*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint64_t>(1, 50)});
    MessagePosition last{};
    for (const auto& message : messages)
        if (is_newer_message(message, last, 0)) last = message;
    for (const auto& message : messages) RC_ASSERT(!is_newer_message(message, last, 0));
    RC_ASSERT(!is_newer_message(last, {}, last.session + 1));
}

RC_GTEST_PROP(ReconciliationProperties, ReportedTaskThatIsBoundThereIsNeverStopped, ()) {
    StoredTask stored;
    stored.state = *rc::gen::element(StoredTask::State::Bound, StoredTask::State::Binding);
    stored.result_wanted = *rc::gen::arbitrary<bool>();
    stored.seen = *rc::gen::arbitrary<bool>();
    stored.launched = *rc::gen::arbitrary<bool>();
    stored.inherited = *rc::gen::arbitrary<bool>();
    LaunchProof proof;
    proof.session_ended = *rc::gen::arbitrary<bool>();
    proof.higher_token_seen = *rc::gen::arbitrary<bool>();
    RC_ASSERT(reconcile(stored, {true, false, ExitCause::Stopped}, proof) == ReconcileAction::Runs);
}

// ---------------------------------------------------------------- records in any order

RC_GTEST_PROP(JobCacheProperties, RecordsInAnyOrderLeadToTheSameView, ()) {
    // The successive records of one job are delivered in any order, and some of them more than once.
    JobSpec spec;
    spec.ref = "req-000001";
    spec.team = "red";
    spec.tasks = 3;
    spec.request = {1000, 0, 1000};
    spec.image = "i";
    spec.job_class = "c";
    struct StoredRecord {
        RecordLocation location;
        Json value;
        Revision mod_revision;
    };
    std::vector<StoredRecord> records;
    Revision mod_revision = 10;
    auto live_record = [&](int running) {
        return Json{{"s", "queued"}, {"dom", "d"},   {"k", 3}, {"d", wire::job_value(spec)},
                    {"at", 5},       {"fr", running}};
    };
    const bool had_old_format = *rc::gen::arbitrary<bool>();
    if (had_old_format) records.push_back({RecordLocation::Job, live_record(0), ++mod_revision});
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i)
        records.push_back({RecordLocation::Active, live_record(i + 1), ++mod_revision});
    const bool is_over = *rc::gen::arbitrary<bool>();
    if (is_over)
        records.push_back(
            {RecordLocation::Job, Json{{"s", "done"}, {"dom", "d"}, {"k", 3}, {"fd", 3}}, ++mod_revision});
    Settings settings;
    JobCache cache(settings);
    std::vector<std::size_t> order;
    const int extra_deliveries = *rc::gen::inRange(0, 12);
    for (int i = 0; i < extra_deliveries; ++i)
        order.push_back(*rc::gen::inRange<std::size_t>(0, records.size()));
    for (std::size_t i = 0; i < records.size(); ++i) order.push_back(i);  // each record at least once
    for (const std::size_t i : order)
        cache.apply(spec.ref, records[i].location, records[i].value, records[i].mod_revision, kSecond);
    const JobView* view = cache.find_view(spec.ref);
    RC_ASSERT(view != nullptr);
    RC_ASSERT(view->mod_revision == mod_revision);
    RC_ASSERT(view->is_final() == is_over);
    RC_ASSERT((cache.find(spec.ref) == nullptr) == is_over);
    if (!is_over) {
        RC_ASSERT(cache.find(spec.ref)->record_location == RecordLocation::Active);
        RC_ASSERT(cache.find(spec.ref)->running == changes);
    }
}

}  // namespace
}  // namespace cottonway::test
