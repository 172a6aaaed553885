#pragma once
// A job in its holder's memory: its tasks, what is known of each attempt, and how its record stands.

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

/// One task. At most one attempt of it exists that is not proven gone.
struct Slot {
    SlotState state = SlotState::Unbound;
    bool seen = false;       // a report has shown this attempt
    bool inherited = false;  // bound by an earlier holder, or under an earlier term
    bool launch_sent = false;
    bool launched_by_response = false;
    bool stop_requested = false;
    Phase phase = Phase::Fetching;
    std::int64_t attempt = 0;
    Machine* machine = nullptr;
    std::uint64_t launch_token = 0;
    std::uint64_t launch_session = 0;
    std::uint64_t launch_seq = 0;
    std::uint64_t last_message_listing = 0;  // the last of its machine's messages that showed it
    Micros grace = 0;
    Micros stop_sent_at = 0;
    Micros running_since = 0;
    Micros retry_at = 0;
    int errors = 0;
};

/// What the binding of one task to a machine of its own takes in a stored part, with a name of 8 bytes.
constexpr std::size_t kTypicalBindingBytes = 22;

/// How the admission of a job went: with the record if it is durable now.
struct Admission {
    CommitStatus status = CommitStatus::Unavailable;
    Revision revision = 0;
    Json record;
    RecordLocation record_location = RecordLocation::Job;  // where it stands
};

struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;
    Stage stage = Stage::Queued;
    std::int64_t submitted_ms = 0;
    /// Its gate: while it waits for others it has no slots and counts for nothing.
    bool dependencies_met = true;
    bool has_dependencies = false;         // it needed others
    bool has_dependents = false;           // others wait for it
    bool cancelled_by_dependency = false;  // cancelled with another
    std::int64_t eligible_since_ms =
        0;  // when it began to count: its submission, or the end of the last job needed
    PriorityClass rank = PriorityClass::Normal;  // its own, or that of a job that needs it
    std::int64_t due_ms = INT64_MAX;
    std::vector<Slot> slots;
    std::int64_t next_attempt = 1;
    int unbound = 0, bound = 0, done = 0;  // by state; Binding counts as bound, DonePending as done
    std::size_t first_unbound = 0;         // no task before it waits
    Micros waiting_since = 0;
    bool within_guarantee = false;
    Resources usage_limit{kNoLimit, kNoLimit,
                          0};          // that its team may use with its next start (scheduling::Turn)
    bool overdue = false;              // this is its turn for having waited for so long
    Micros no_room_at = 0;             // when it last found no room; 0: it has found some since
    Micros next_best_effort_turn = 0;  // when idle work is bound again
    bool waiting_for_image = false;    // as of the last pass: waits for a machine that has its image
    bool image_wait_over = false;      // there is nothing to wait for (see Scheduler::waits_for_image)
    bool transferring = false;         // being given to another shard: nothing of it is bound
    /// Whether it can run at all: a task of it has ended well, or has run for a while.
    bool proven_runnable = false;
    std::set<std::string> failed_machines;  // machines, while nothing is proven
    int failures = 0;
    bool backing_off = false;                // taken to be broken: tried with one task at a time
    std::int64_t backoff_first_attempt = 0;  // the first attempt made since
    int backoff_tries = 0;                   // since then
    Micros next_try_at = 0;
    bool gang_stopping = false;
    bool gang_done = false;  // one task is done, so all are; each counts until it is proven gone

    /// Tasks are stored in parts, since a value is limited; part 0 is the job record itself.
    struct Part {
        /// Whether the bindings of so many tasks leave no room for another one.
        bool is_full(std::size_t tasks_per_part) const {
            return bytes >= tasks_per_part * kTypicalBindingBytes;
        }

        Revision mod_revision = 0;
        bool dirty = false;
        bool in_flight = false;
        bool reloading = false;
        int binding = 0;        // tasks whose bind waits for this part to be written
        std::size_t bytes = 0;  // of bindings, when written, at most
        Micros dirty_since = 0;
        Micros not_before = 0;
    };
    std::size_t tasks_per_part = 64;
    std::vector<Part> parts;
    RecordLocation record_location = RecordLocation::Job;  // where its record stands, and is written next
    Revision legacy_revision = 0;                          // see LiveJob

    /// Set while the record that admits the job is not durable yet: told how that went.
    std::function<void(const Admission&)> on_admitted;

    /// Tasks that wait for room. Those of a job that is taken to be broken don't, and idle work takes what is
    /// left over: neither moves machines or shares, or keeps other jobs away.
    int waiting_tasks() const {
        return stage == Stage::Queued && dependencies_met && !backing_off && !is_best_effort() ? unbound : 0;
    }
    /// Takes what is left over. Idle work within its team's guarantee need not wait for other teams.
    bool is_best_effort() const { return rank == PriorityClass::Low && !within_guarantee; }

    Part& part_of(int task) { return parts[static_cast<std::size_t>(task) / tasks_per_part]; }
    /// Nothing of it is left to run, to stop or to wait for.
    bool is_over() const {
        return stage == Stage::Cancelled ? bound == 0 : spec.kind != JobKind::Service && done == spec.tasks;
    }
    /// How many of its tasks may be in one zone.
    int max_tasks_per_zone() const { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }
    /// Its tasks by zone, with old attempts that are still on machines, in doubt or stopping.
    std::map<std::string, int> tasks_by_zone() const;
};

inline bool TaskRef::operator<(const TaskRef& o) const {
    return job->serial != o.job->serial ? job->serial < o.job->serial : task < o.task;
}

}  // namespace cottonway
