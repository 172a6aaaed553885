#include "shard/reconciliation.hpp"

#include <tuple>

namespace cottonway::recovery {

namespace {

ReconcileAction reconcile_reported(const StoredTask& stored, const ObservedTask& observed) {
    const bool bound_here =
        stored.state == StoredTask::State::Bound || stored.state == StoredTask::State::Binding;
    if (bound_here) return observed.exited ? ReconcileAction::Ended : ReconcileAction::Runs;
    if (!observed.exited) return ReconcileAction::Orphaned;
    // A former owner may not have committed the task's result yet.
    const bool result_counts = stored.state == StoredTask::State::Waiting && stored.result_wanted;
    return result_counts && observed.cause == ExitCause::Done ? ReconcileAction::UnboundResult
                                                              : ReconcileAction::Clear;
}

ReconcileAction reconcile_absent(const StoredTask& stored, const LaunchProof& proof) {
    if (stored.state != StoredTask::State::Bound) return ReconcileAction::NotSent;
    if (stored.seen)
        return ReconcileAction::Terminated;  // the worker has forgotten the task because its session ended
    if (stored.launched) {
        const bool can_not_arrive =
            proof.session_ended || proof.higher_token_seen || proof.response_superseded;
        if (!can_not_arrive) return ReconcileAction::Unconfirmed;
        if (stored.inherited) return ReconcileAction::Terminated;
    }
    if (stored.stopping && !proof.may_still_arrive) return ReconcileAction::Terminated;
    return stored.launched ? ReconcileAction::Relaunch : ReconcileAction::NotSent;
}

}  // namespace

ReconcileAction reconcile(const StoredTask& stored, const ObservedTask& observed, const LaunchProof& proof) {
    return observed.is_present ? reconcile_reported(stored, observed) : reconcile_absent(stored, proof);
}

bool is_newer_message(const MessagePosition& message, const MessagePosition& last,
                      std::uint64_t min_session) {
    if (message.session < min_session) return false;
    return std::tuple(message.session, message.seq) > std::tuple(last.session, last.seq);
}

const char* name_of(ReconcileAction action) {
    switch (action) {
        case ReconcileAction::Runs:
            return "runs";
        case ReconcileAction::Ended:
            return "ended";
        case ReconcileAction::UnboundResult:
            return "result";
        case ReconcileAction::Clear:
            return "clear";
        case ReconcileAction::Orphaned:
            return "stray";
        case ReconcileAction::Terminated:
            return "gone";
        case ReconcileAction::Relaunch:
            return "launch again";
        case ReconcileAction::Unconfirmed:
            return "in doubt";
        case ReconcileAction::NotSent:
            return "unsent";
    }
    return "?";
}

}  // namespace cottonway::recovery
