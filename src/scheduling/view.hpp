#pragma once
// Snapshot of one shard that the planning functions read. It is taken by the shard's owner at one moment and
// passed by value; planning is pure, and the owner carries out the decisions.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

struct ImageView {
    std::string name;
    bool ready = false;  // false while the machine is still fetching the image
};

struct MachineView {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    /// New tasks may be bound to the machine: it reported recently, is not leaving and is not suspect.
    bool usable = false;
    Resources size;
    Resources reserved;  // requests of all tasks on the machine, unconfirmed and stopping ones included
    Resources stopping;  // the part of `reserved` that belongs to stopping tasks
    Resources withheld;  // free capacity held by reservations and for planned moves to the machine
    double fetch_gb_per_s = 1;
    std::vector<ImageView> images;
    std::vector<std::size_t> tasks;  // indices into ShardView::tasks
    Resources available() const { return size - reserved - withheld; }
};

struct TaskView {
    std::size_t job = 0;  // index into ShardView::jobs
    int task = 0;
    std::size_t machine = 0;        // index into ShardView::machines
    bool running = false;           // has its image and runs
    bool stopping = false;          // was ordered to stop, or is about to be
    bool has_planned_move = false;  // the migration plan contains a move of the task
    Micros run_time = 0;            // so far
};

struct JobView {
    JobSpec spec;
    policy::Tier tier = policy::Tier::Batch;
    PriorityClass rank = PriorityClass::Normal;
    bool cancelled = false;
    int waiting_tasks = 0;    // tasks that wait for capacity
    int reserved_tasks = 0;   // waiting tasks for which capacity is already reserved
    int bound_tasks = 0;      // tasks on machines, unconfirmed and stopping ones included
    Micros waiting_time = 0;  // how long some task of the job has waited for capacity; 0 if none waits
    Micros age = 0;           // since the job was submitted or, if later, its last dependency was done
    std::map<std::string, int> tasks_by_zone;  // bound tasks, unconfirmed and stopping ones included
    Micros time_since_move = 0;                // since the last move of one of its tasks; large if none moved
    int recent_balance_moves = 0;              // moves of its tasks for balance in the last ten minutes
};

struct ShardView {
    Micros now = 0;
    std::uint64_t seed = 0;
    std::vector<MachineView> machines;  // sorted by name
    std::vector<JobView> jobs;          // in order of admission
    std::vector<TaskView> tasks;
    /// Zones that are down, or that have been up again for less than the policy's `settle_time`.
    std::vector<std::string> unstable_zones;
};

/// Why a task is moved.
enum class MoveReason : std::uint8_t { Balance, MakeRoom };

/// Moves a replica or task to another machine: the task is stopped, confirmed terminated and started again.
struct Move {
    std::string job;
    int task = 0;
    std::string from;  // machine
    std::string to;    // preferred machine for the new start; empty: ordinary placement chooses
    MoveReason reason = MoveReason::Balance;
    std::string for_job;  // MoveReason::MakeRoom: the job that gets the freed capacity
    bool operator==(const Move&) const = default;
};

/// Capacity of a machine that is reserved for a job's tasks until they are bound.
struct Reservation {
    std::string job;
    std::string machine;
    int tasks = 1;  // number of the job's tasks that the reservation holds capacity for
    bool operator==(const Reservation&) const = default;
};

}  // namespace cottonway::scheduling
