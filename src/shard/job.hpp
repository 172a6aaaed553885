#pragma once
// A job in the memory of its shard's owner: its tasks, the current attempt at each, and the state of its
// stored record.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kvstore/records.hpp"
#include "policy/policy.hpp"
#include "shard/machine.hpp"

namespace cottonway {

enum class SlotState : std::uint8_t { Unbound, Binding, Bound, DonePending, Done };

/// One task of a job with its current attempt. At most one attempt at a task may exist that is not confirmed
/// terminated.
struct Slot {
    SlotState state = SlotState::Unbound;
    bool seen = false;       // a message of the worker listed this attempt
    bool inherited = false;  // bound by a former owner, or by this controller in an earlier term
    bool launch_sent = false;
    bool launched_by_response = false;
    bool stop_requested = false;
    Phase phase = Phase::Fetching;
    std::int64_t attempt = 0;
    Machine* machine = nullptr;
    std::uint64_t launch_token = 0;
    std::uint64_t launch_session = 0;
    std::uint64_t launch_seq = 0;
    std::uint64_t last_message_listing = 0;  // number of the machine's last message that listed this attempt
    Micros grace = 0;
    Micros stop_sent_at = 0;
    Micros running_since = 0;
    Micros retry_at = 0;
    int errors = 0;
};

/// Size of one binding in a stored part when the machine holds no other task of the job and has a name of 8
/// bytes.
constexpr std::size_t kTypicalBindingBytes = 22;

/// The outcome of admitting a job. It contains the record if that is durable.
struct Admission {
    CommitStatus status = CommitStatus::Unavailable;
    Revision revision = 0;
    Json record;
    RecordLocation record_location = RecordLocation::Job;  // where the record is stored
};

struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;
    Stage stage = Stage::Queued;
    std::int64_t submitted_ms = 0;
    /// False while the job waits for jobs that it depends on. Until then it has no slots and is not
    /// scheduled.
    bool dependencies_done = true;
    bool has_dependencies = false;         // it depended on other jobs when it was submitted
    bool has_dependents = false;           // other jobs wait for this one
    bool cancelled_by_dependency = false;  // cancelled because a job it depends on was cancelled
    std::int64_t eligible_since_ms = 0;    // its submission, or the end of the last job it depends on
    /// Its own rank, or the higher one of a job that depends on it.
    PriorityClass rank = PriorityClass::Normal;
    std::int64_t deadline_ms = INT64_MAX;
    std::vector<Slot> slots;
    std::int64_t next_attempt = 1;
    int unbound_tasks = 0, bound_tasks = 0,
        done_tasks = 0;             // numbers of tasks; Binding counts as bound, DonePending as done
    std::size_t first_unbound = 0;  // no task before this index is unbound
    Micros waiting_since = 0;
    bool within_guarantee = false;
    /// What the team may use in all once the next task of this job starts (see scheduling::QueueEntry).
    Resources usage_limit{kNoLimit, kNoLimit, 0};
    bool overdue = false;                 // it is placed out of order because it has waited too long
    Micros no_capacity_at = 0;            // when it last found no capacity; 0 once it has found some
    Micros next_best_effort_bind_at = 0;  // when this best-effort job may be bound again
    bool waiting_for_image = false;       // as of the last pass: it waits for a machine that has its image
    bool image_wait_over = false;  // waiting for such a machine is pointless (see Scheduler::waits_for_image)
    bool transferring = false;     // being transferred to another shard: none of its tasks is bound
    /// Set once a task has succeeded or has run for a while, so the job is known to be able to run.
    bool proven_runnable = false;
    std::set<std::string> failed_machines;  // filled only until the job is proven runnable
    int failures = 0;
    bool backing_off = false;                // considered broken: one task is tried at a time
    std::int64_t backoff_first_attempt = 0;  // the first attempt made after the backoff began
    int backoff_tries = 0;                   // attempts that failed during the backoff
    Micros next_try_at = 0;
    bool gang_stopping = false;
    /// One task is done, so all are. Bound ones still count until they are confirmed terminated.
    bool gang_done = false;

    /// Tasks are stored in parts because the size of a stored value is limited. Part 0 is the job record
    /// itself.
    struct Part {
        /// Returns true if the bindings already take the space planned for a part of that many tasks.
        bool is_full(std::size_t tasks_per_part) const {
            return bytes >= tasks_per_part * kTypicalBindingBytes;
        }

        Revision mod_revision = 0;
        bool dirty = false;
        bool in_flight = false;
        bool reloading = false;
        int pending_binds = 0;  // tasks whose binding is not durable until this part is written
        std::size_t bytes = 0;  // upper bound of the size of its bindings when written
        Micros dirty_since = 0;
        Micros not_before = 0;
    };
    std::size_t tasks_per_part = 64;
    std::vector<Part> parts;
    RecordLocation record_location = RecordLocation::Job;  // where the record is stored, and is written next
    Revision legacy_revision = 0;                          // see LiveJob

    /// Set while the record that admits the job is not durable yet. Called with the outcome.
    std::function<void(const Admission&)> on_admitted;

    /// Returns the number of tasks that wait for capacity. Returns 0 for a job in backoff and for best-effort
    /// work, which uses capacity that no other work uses: neither may attract machines or quota, or keep
    /// other jobs away.
    int waiting_tasks() const {
        return stage == Stage::Queued && dependencies_done && !backing_off && !is_best_effort()
                   ? unbound_tasks
                   : 0;
    }
    /// Returns true if the job only uses capacity that no other work uses. A job of low priority within its
    /// team's guarantee is not best-effort, so it need not wait for other teams.
    bool is_best_effort() const { return rank == PriorityClass::Low && !within_guarantee; }

    Part& part_of(int task) { return parts[static_cast<std::size_t>(task) / tasks_per_part]; }
    /// Returns true if no task is left to run, to stop or to wait for.
    bool is_over() const {
        return stage == Stage::Cancelled ? bound_tasks == 0
                                         : spec.kind != JobKind::Service && done_tasks == spec.tasks;
    }
    /// Returns how many tasks of the job may be in one zone.
    int max_tasks_per_zone() const { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }
    /// Counts the tasks by zone, including attempts that are unconfirmed or stopping.
    std::map<std::string, int> tasks_by_zone() const;
};

inline bool TaskRef::operator<(const TaskRef& other) const {
    return job->serial != other.job->serial ? job->serial < other.job->serial : task < other.task;
}

}  // namespace cottonway
