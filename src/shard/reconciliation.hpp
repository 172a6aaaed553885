#pragma once
// Squaring what a worker reports with what is stored: of one task on one machine, what follows from its
// record, the worker's message, and what is proven about orders that are under way. A pure function; the
// table of docs/recovery.md is this function in words. What it does not conclude stays in doubt, and what is
// in doubt counts: for starting the task elsewhere, for limits and for zones.

#include "protocol/protocol.hpp"

namespace cottonway::recovery {

/// What is stored of the task, as its holder knows it.
struct StoredTask {
    enum class State {
        None,       // no such job, or it is over
        Elsewhere,  // bound to another machine, or under another attempt
        Waiting,    // not bound: it waits, or its job is cancelled
        Binding,    // bound to this machine, not durable yet: no launch has been sent
        Bound,      // bound to this machine under this attempt
        Done,
    };
    State state = State::None;
    bool result_wanted = true;  // its job is neither over nor cancelled, and ends by itself
    bool seen = false;          // a message of this session has shown this attempt
    bool launched = false;      // a launch may have been executed: sent by us, or by a former holder
    bool inherited = false;     // bound by a former holder, so that only that one may have launched it
    bool stopping = false;
};

/// What the message shows of it. Messages that are older than the last one are not reconciled at all.
struct ObservedTask {
    bool is_present = false;
    bool exited = false;
    ExitCause cause = ExitCause::Stopped;
};

/// What is proven of its launch, which a message that does not show the task came after.
struct LaunchProof {
    bool session_ended = false;        // the worker has ended the session that it was sent to
    bool higher_token_seen = false;    // the worker has seen a higher token than it was sent with
    bool response_superseded = false;  // it went in the answer to an earlier report, and by no other way
    bool may_still_arrive = false;     // another sending of it is not settled
};

enum class ReconcileAction {
    Runs,           // as it should be
    Ended,          // by its cause: done, failed, refused, stopped
    UnboundResult,  // not bound any more, but its result counts all the same
    Clear,          // an exit that nobody waits for
    Orphaned,       // must not be there: to be stopped
    Gone,           // proven not to be there and not to come
    Relaunch,       // proven not to have been started: to be launched once more
    InDoubt,        // may be there, or may still come
    NotSent,        // nothing has been sent yet
};

ReconcileAction reconcile(const StoredTask& stored, const ObservedTask& shown, const LaunchProof& proof);
const char* name_of(ReconcileAction v);

/// Of a message: whether it is news, or as old as one that was taken in, or of a session proven over.
struct MessageOrder {
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
};
bool is_newer_message(const MessageOrder& message, const MessageOrder& last, std::uint64_t min_session);

}  // namespace cottonway::recovery
