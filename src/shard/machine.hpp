#pragma once
// A machine of a shard as its holder knows it: what is on it, what it was last heard to say, what was sent
// to it and is not settled.

#include <boost/container/flat_set.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {

struct Job;

/// Names one attempt at a task.
struct AttemptKey {
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

/// A task of a job in the owner's memory; ordered by admission, not by address, so that runs repeat.
struct TaskRef {
    Job* job = nullptr;
    int task = 0;
    bool operator<(const TaskRef& o) const;
};

/// What another controller has promised about a machine: not to renew its lease any more.
struct LeaseRelinquishment {
    Micros until = 0;
    Micros last_renewal_at = 0;  // when it may have done so last
};

struct Machine {
    std::string name;
    std::string block;
    std::string type_name;
    std::string zone;
    std::string addr;
    bool spot = false;
    bool retired = false;
    std::uint64_t token = 0;  // of its block record; the shard's mark may be higher
    const MachineType* type = nullptr;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::uint64_t token_seen = 0;
    std::uint64_t messages_applied = 0;   // taken in so far
    std::uint64_t min_session = 0;        // earlier sessions are proven over
    Micros last_heartbeat = 0;            // by the steady clock, for what is proven by time
    Micros last_heartbeat_listening = 0;  // the same in time spent listening, for what is merely unheard
    Micros last_report_at = 0;            // when its last report was taken in
    Micros last_report_listening = 0;     // the same in time spent listening, or when it became known here
    Micros heartbeat_before_load = 0;     // when it last reported before the shard's jobs were read
    Micros session_since = 0;             // when its session was first heard of
    Micros known_since = 0;
    bool interruption_notice = false;
    Micros interruption_at = 0;
    Resources reserved;
    Milli low_priority_cores = 0;               // cores of these that work of idle rank has
    boost::container::flat_set<TaskRef> tasks;  // gone through far more often than changed
    std::vector<ReportedTask> exited_tasks;
    std::vector<ReportedTask> orphaned_tasks;
    std::vector<LeaseRelinquishment> relinquishments;  // by peer
    /// Launches sent by /do that were not answered: live until the worker's token or session is raised.
    struct UnacknowledgedLaunch {
        std::uint64_t token = 0;
        std::uint64_t session = 0;
        Micros since = 0;
    };
    std::map<AttemptKey, UnacknowledgedLaunch> unacknowledged_launches;
    /// Launches in report answers, by the sequence of the report; settled by any later report.
    std::map<AttemptKey, std::uint64_t> launches_in_responses;
    std::set<AttemptKey> direct_launches;  // in the /do that is under way
    /// Launches by /do that were carried out, with which token and when: a copy of one may still arrive, and
    /// would start the attempt anew once it has been cleared.
    struct AcknowledgedLaunch {
        std::uint64_t token = 0;
        Micros at = 0;
    };
    std::map<AttemptKey, AcknowledgedLaunch> acknowledged_launches;
    bool direct_call_in_flight = false;
    Micros next_direct_call_at = 0;
    Micros direct_call_backoff = 0;
    Micros last_direct_answer_at = 0;  // when it last answered a call of ours
    bool relayed = false;              // its last report came through another controller
    Micros relayed_since = 0;
    Micros probed_at = 0;
    bool suspect = false;          // a call of ours was not answered; until it has shown that it hears us
    Micros suspect_since = 0;      // in time spent listening
    bool dispatch_queued = false;  // in the owner's list of machines to send to
    bool raising_token = false;    // its token is being raised
    bool retiring = false;         // being marked as retired
    bool transferring = false;     // being given to another shard
    bool draining = false;         // nothing new is bound to it
    Micros idle_since = 0;         // in time spent listening
    Micros avoid_until = 0;
    std::set<std::string> failing_jobs;  // whose tasks fail here though they run elsewhere
    /// Images that it has, or is fetching for a task; most recent last.
    struct Image {
        std::string name;
        Milli gb = 0;
        bool ready = false;
    };
    std::vector<Image> images;

    /// Nothing is known to be on it, or taken to be there by what it showed last.
    bool is_idle() const { return tasks.empty() && orphaned_tasks.empty(); }
    /// Heard through another controller only, and not reached by a call of ours since.
    bool is_relay_only() const { return relayed && last_direct_answer_at <= relayed_since; }
};

}  // namespace cottonway
