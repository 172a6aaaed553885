#pragma once
// A machine of a shard as the shard's owner knows it: the tasks on it, its last messages, and the launches
// sent to it whose outcome is not known yet.

#include <boost/container/flat_set.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {

struct Job;

/// Identifies one attempt at a task.
struct AttemptKey {
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

/// A task of a job in the owner's memory. Ordered by the admission of the job and not by address, so that a
/// run can be reproduced.
struct TaskRef {
    Job* job = nullptr;
    int task = 0;
    bool operator<(const TaskRef& other) const;
};

/// The promise of another controller not to renew a machine's lease any more.
struct LeaseRelinquishment {
    Micros until = 0;
    Micros last_renewal_at = 0;  // the latest time at which that controller may have renewed the lease
};

struct Machine {
    std::string name;
    std::string block;
    std::string type_name;
    std::string zone;
    std::string addr;
    bool spot = false;
    bool retired = false;
    std::uint64_t token = 0;  // from its block record; the revision of the shard's record may be higher
    const MachineType* type = nullptr;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::uint64_t token_seen = 0;
    std::uint64_t messages_applied = 0;   // number of messages applied so far
    std::uint64_t min_session = 0;        // earlier sessions are proven to have ended
    Micros last_heartbeat = 0;            // by the steady clock; for conclusions that rest on elapsed time
    Micros last_heartbeat_listening = 0;  // the same by the listening clock (see ListeningClock), for silence
    Micros last_report_at = 0;            // when its last report was applied
    Micros last_report_listening = 0;     // the same by the listening clock, or when the machine became known
    Micros heartbeat_before_load = 0;     // when it last sent a message before the shard's jobs had been read
    Micros session_since = 0;             // when a message of its session first arrived
    Micros known_since = 0;
    bool interruption_notice = false;
    Micros interruption_at = 0;
    Resources reserved;
    Milli low_priority_cores = 0;               // cores of `reserved` that tasks of low priority use
    boost::container::flat_set<TaskRef> tasks;  // a flat set: iterated far more often than changed
    std::vector<ReportedTask> exited_tasks;
    std::vector<ReportedTask> orphaned_tasks;
    std::vector<LeaseRelinquishment> relinquishments;  // by peer
    /// A launch sent by /do that was not answered. It may still be executed until the worker's token or
    /// session is raised.
    struct UnacknowledgedLaunch {
        std::uint64_t token = 0;
        std::uint64_t session = 0;
        Micros since = 0;
    };
    std::map<AttemptKey, UnacknowledgedLaunch> unacknowledged_launches;
    /// Launches sent in answers to reports, with the sequence number of the report. Any later report settles
    /// them.
    std::map<AttemptKey, std::uint64_t> launches_in_responses;
    std::set<AttemptKey> direct_launches;  // launches in the /do that is in flight
    /// A launch by /do that was executed, with its token and time. A duplicate of it may still arrive, and
    /// would start the attempt again once the worker has cleared it.
    struct AcknowledgedLaunch {
        std::uint64_t token = 0;
        Micros at = 0;
    };
    std::map<AttemptKey, AcknowledgedLaunch> acknowledged_launches;
    bool direct_call_in_flight = false;
    Micros next_direct_call_at = 0;
    Micros direct_call_backoff = 0;
    Micros last_direct_answer_at = 0;  // when it last answered a direct call
    bool relayed = false;              // its last report was relayed by another controller
    Micros relayed_since = 0;
    Micros probed_at = 0;
    bool suspect = false;          // did not answer a direct call; reset once it is known to receive messages
    Micros suspect_since = 0;      // by the listening clock
    bool dispatch_queued = false;  // in the owner's list of machines to send orders to
    bool raising_token = false;    // a write that raises its token is in flight
    bool retiring = false;         // a write that marks it as retired is in flight
    bool transferring = false;     // being transferred to another shard
    bool draining = false;         // nothing new is bound to it
    Micros idle_since = 0;         // by the listening clock
    Micros avoid_until = 0;
    std::set<std::string> failing_jobs;  // jobs whose tasks fail here although they run elsewhere
    /// An image that the machine has or is fetching for a task.
    struct Image {
        std::string name;
        Milli size_gb = 0;
        bool ready = false;
    };
    std::vector<Image> images;  // most recently used last

    /// Returns true if no task is bound to the machine and its last message listed no orphaned task.
    bool is_idle() const { return tasks.empty() && orphaned_tasks.empty(); }
    /// Returns true if its reports arrive through another controller and no direct call has reached it since.
    bool is_relay_only() const { return relayed && last_direct_answer_at <= relayed_since; }
};

}  // namespace cottonway
