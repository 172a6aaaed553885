#pragma once
// The order in which waiting jobs are placed, the part of a team's limit that is withheld for other jobs, and
// reservations for a large job that is overdue. All functions are pure and depend on stored facts only (tier,
// rank, admission, deadline, running tasks), so that each owner of a shard decides alike and a job's waiting
// time survives a change of owner.

#include <map>
#include <string>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// A waiting job with the facts that decide its place in the queue.
struct QueuedJob {
    std::size_t index = 0;  // set by the caller; breaks ties, so it must follow from stored facts
    std::string team;
    policy::Tier tier = policy::Tier::Batch;
    PriorityClass rank = PriorityClass::Normal;
    bool within_guarantee = false;
    bool can_wait = false;  // misses its first objective in any case, and a later one is not at risk yet
    std::int64_t deadline_ms = INT64_MAX;
    double remaining_work_by_age = 0;  // remaining work divided by age; the smallest value goes first
    Micros age = 0;                    // since submission or, if later, since its last dependency was done
    bool has_started = false;          // some task is on a machine or has succeeded
    bool lacks_capacity = false;       // recently fitted on no machine: no part of a limit is withheld for it
    Resources waiting_request;         // request of all its waiting tasks together
    Resources next_start_request;      // request of its next start: one task, or the whole gang
};

/// A team's limit in the shard and its current usage.
struct TeamUsage {
    Resources limit;                                 // the shard's part of the team's limit
    std::map<policy::Tier, Resources> used_by_tier;  // unconfirmed and stopping tasks included
};

/// A place in the queue.
struct QueueEntry {
    std::size_t index = 0;
    /// The entry lets one start of a job that has waited too long go ahead of its tier. Another entry of the
    /// same job, further back, is for its remaining tasks.
    bool overdue = false;
    /// The most that the team may use in total once the job's next start is included. The rest of the team's
    /// limit is withheld for other jobs.
    Milli max_team_cores = 0;
    Milli max_team_gpus = 0;
    bool operator==(const QueueEntry&) const = default;
};

/// Returns the queue, first job first. Live jobs are always at its head and are capped by the limit alone.
/// Other jobs of a team leave part of the limit to live jobs that wait, then to the job that is overdue the
/// longest, then to the floor of a lower tier that waits. If every waiting job of a tier needs more than half
/// of what live work leaves, nothing is withheld for that tier until one of its jobs is overdue. BestEffort
/// jobs have no floor, because they start only on capacity that no other job wants, until they are overdue.
std::vector<QueueEntry> queue_order(const std::vector<QueuedJob>& queue,
                                    const std::map<std::string, TeamUsage>& teams,
                                    const policy::PrioritySettings& priority);

/// Returns reservations for the largest waiting batch job that has not started within `overdue_after`, on the
/// machines that have capacity for it soonest if the running tasks there end by themselves. A gang gets all
/// of its reservations or none. Returns none if the job has capacity now, or would never have it.
std::vector<Reservation> reservations_for_overdue_job(const ShardView& view, const policy::Policy& policy);

}  // namespace cottonway::scheduling
