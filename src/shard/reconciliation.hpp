#pragma once
// Reconciles a worker's message with the stored record: decides for one task on one machine what follows from
// the record, the message, and what is proven about orders in flight. A pure function; the table in
// docs/recovery.md describes it in words. A task that it can't decide about stays unconfirmed. An unconfirmed
// task still counts: it can't start elsewhere, and it uses quota and a place in its zone.

#include "protocol/protocol.hpp"

namespace cottonway::recovery {

/// The stored state of a task as the shard's owner knows it.
struct StoredTask {
    enum class State {
        None,       // there is no such job, or it is over
        Elsewhere,  // bound to another machine, or here under another attempt
        Waiting,    // not bound: the task waits, or its job is cancelled
        Binding,    // bound to this machine but not durable yet: no launch has been sent
        Bound,      // bound to this machine under this attempt
        Done,
    };
    State state = State::None;
    bool result_wanted = true;  // the job is neither over nor cancelled, and its tasks end by themselves
    bool seen = false;          // a message of this session listed this attempt
    bool launched = false;      // a launch may have been executed, sent by this or a former owner
    bool inherited = false;     // bound by a former owner, and only that one may have launched it
    bool stopping = false;
};

/// What the message says about the task. Messages older than the last one are not reconciled at all.
struct ObservedTask {
    bool is_present = false;
    bool exited = false;
    ExitCause cause = ExitCause::Stopped;
};

/// What is proven about the launch of a task that the message does not list.
struct LaunchProof {
    bool session_ended = false;        // the worker has ended the session that the launch was sent to
    bool higher_token_seen = false;    // the worker has seen a higher token than that of the launch
    bool response_superseded = false;  // it was sent only in the answer to an earlier report
    bool may_still_arrive = false;     // another copy of the launch was sent and its outcome is not known
};

enum class ReconcileAction {
    Runs,           // the task runs as it should
    Ended,          // the task has exited: done, failed, refused or stopped
    UnboundResult,  // the task is not bound any more, but its result counts all the same
    Clear,          // the task has exited and its result is not needed
    Orphaned,       // the task must not run there and is to be stopped
    Terminated,     // proven not to run there and not to start there any more
    Relaunch,       // proven not to have started: to be launched again
    Unconfirmed,    // the task may run there, or may still start
    NotSent,        // no launch has been sent yet
};

ReconcileAction reconcile(const StoredTask& stored, const ObservedTask& observed, const LaunchProof& proof);
const char* name_of(ReconcileAction action);

/// The position of a message among all messages of its worker.
struct MessagePosition {
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
};
/// Returns true if a message is newer than the last one that was applied and its session is not proven to
/// have ended.
bool is_newer_message(const MessagePosition& message, const MessagePosition& last, std::uint64_t min_session);

}  // namespace cottonway::recovery
