#pragma once
// What planning reads: a shard as its holder knows it at one moment, by value. Decisions on it are pure
// functions; the holder carries out what they ask for.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

struct ImageView {
    std::string name;
    bool ready = false;  // false: a fetch of it is under way
};

struct MachineView {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    /// New tasks may be bound to it: heard lately, not leaving, not suspect.
    bool usable = false;
    Resources size;
    Resources reserved;  // by tasks on it, in doubt and stopping ones included
    Resources stopping;  // the part of it that is on its way out
    Resources kept;      // free room that is kept for somebody else (gathered)
    double fetch_gb_per_s = 1;
    std::vector<ImageView> images;
    std::vector<std::size_t> tasks;  // indices into View::tasks
    Resources room() const { return size - reserved - kept; }
};

struct TaskView {
    std::size_t job = 0;  // index into View::jobs
    int task = 0;
    std::size_t machine = 0;  // index into View::machines
    bool running = false;     // has its image and runs
    bool stopping = false;    // told to stop, or about to be
    bool moving = false;      // a move of it is in the plan
    Micros ran = 0;           // so far
};

struct JobView {
    JobSpec spec;
    policy::Tier tier = policy::Tier::Batch;
    PriorityClass rank = PriorityClass::Normal;
    bool cancelled = false;
    int idle = 0;        // tasks that wait for room
    int gathered = 0;    // those of the idle ones that room is kept for already
    int bound = 0;       // tasks on machines, in doubt and stopping ones included
    Micros waiting = 0;  // since some task of it has waited for room; 0: none does
    Micros age = 0;      // since it began to count (its submission or the end of what it needed)
    std::map<std::string, int> zones;  // its tasks by zone, in doubt and stopping ones included
    Micros since_moved = 0;            // since a task of it was moved last; a long time if never
    int moved_lately = 0;              // moves of its tasks to mend balance within the last ten minutes
};

struct View {
    Micros now = 0;
    std::uint64_t seed = 0;
    std::vector<MachineView> machines;  // by name
    std::vector<JobView> jobs;          // by admission
    std::vector<TaskView> tasks;
    /// Zones with no machine that was heard lately, or heard for less than `settle_time` since they were.
    std::vector<std::string> troubled;
};

/// Why something is moved.
enum class Reason : std::uint8_t { Balance, Room };

/// A replica or task that leaves its machine to start elsewhere: stopped, proven gone, started.
struct Move {
    std::string job;
    int task = 0;
    std::string from;  // machine
    std::string to;    // machine that it had better start on; empty: by the five steps
    Reason reason = Reason::Balance;
    std::string for_job;  // Reason::Room: whose task the room is for
    bool operator==(const Move&) const = default;
};

/// Room on a machine that is kept for a job's tasks until these are bound.
struct Gather {
    std::string job;
    std::string machine;
    int tasks = 1;  // of the job that shall start there
    bool operator==(const Gather&) const = default;
};

}  // namespace cottonway::scheduling
