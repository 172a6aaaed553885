#include "shard/reconciliation.hpp"

#include <tuple>

namespace cottonway::recovery {

namespace {

ReconcileAction reconcile_reported(const Stored& stored, const Shown& shown) {
    const bool ours = stored.state == Stored::State::Bound || stored.state == Stored::State::Binding;
    if (ours) return shown.exited ? ReconcileAction::Ended : ReconcileAction::Runs;
    if (!shown.exited) return ReconcileAction::Stray;
    // A result that a former holder had not committed yet.
    const bool counts = stored.state == Stored::State::Waiting && stored.wanted;
    return counts && shown.cause == ExitCause::Done ? ReconcileAction::Result : ReconcileAction::Clear;
}

ReconcileAction reconcile_absent(const Stored& stored, const Proof& proof) {
    if (stored.state != Stored::State::Bound) return ReconcileAction::Unsent;
    if (stored.seen) return ReconcileAction::Gone;  // the worker has forgotten it: its session was over
    if (stored.launched) {
        const bool arrived_never = proof.later_session || proof.higher_token || proof.answer_over;
        if (!arrived_never) return ReconcileAction::InDoubt;
        if (stored.foreign) return ReconcileAction::Gone;
    }
    if (stored.stopping && !proof.may_still_come) return ReconcileAction::Gone;
    return stored.launched ? ReconcileAction::LaunchAgain : ReconcileAction::Unsent;
}

}  // namespace

ReconcileAction reconcile(const Stored& stored, const Shown& shown, const Proof& proof) {
    return shown.shown ? reconcile_reported(stored, shown) : reconcile_absent(stored, proof);
}

bool is_news(const MessageAge& message, const MessageAge& last, std::uint64_t least_session) {
    if (message.session < least_session) return false;
    return std::tuple(message.session, message.seq) > std::tuple(last.session, last.seq);
}

const char* name_of(ReconcileAction v) {
    switch (v) {
        case ReconcileAction::Runs:
            return "runs";
        case ReconcileAction::Ended:
            return "ended";
        case ReconcileAction::Result:
            return "result";
        case ReconcileAction::Clear:
            return "clear";
        case ReconcileAction::Stray:
            return "stray";
        case ReconcileAction::Gone:
            return "gone";
        case ReconcileAction::LaunchAgain:
            return "launch again";
        case ReconcileAction::InDoubt:
            return "in doubt";
        case ReconcileAction::Unsent:
            return "unsent";
    }
    return "?";
}

}  // namespace cottonway::recovery
