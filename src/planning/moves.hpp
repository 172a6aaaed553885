#pragma once
// What a domain has begun and not ended: moves under way and room that is gathered. It is stored as one value
// of the domain (c/plan/DOMAIN) before anything of it is carried out, so that whoever holds the domain next
// ends it or takes it back, and begins no second move of the same task. Pure: the holder reads and writes.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "planning/view.hpp"

namespace cottonway::planning {

struct PlannedMove {
    Move move;
    std::int64_t since_ms = 0;  // time of day when it was planned
    bool operator==(const PlannedMove&) const = default;
};

struct PlannedGather {
    Gather gather;
    std::int64_t since_ms = 0;
    bool operator==(const PlannedGather&) const = default;
};

/// What the holder knows of a task that is in a move, or of a job that room is gathered for.
struct TaskState {
    bool known = false;      // the job is not over and has this task
    bool cancelled = false;  // its job
    std::string machine;     // where it is bound, stopping and in doubt included; empty: nowhere
    bool stopping = false;
};
struct JobState {
    bool known = false;
    bool cancelled = false;
    int idle = 0;  // tasks that still wait
};

/// The plan of a domain.
class Plan {
  public:
    struct Knows {
        virtual ~Knows() = default;
        virtual TaskState task(const std::string& job, int task) const = 0;
        virtual JobState job(const std::string& ref) const = 0;
        virtual bool machine_usable(const std::string& machine) const = 0;
    };
    /// What the holder has to do now. Each may be asked for again; carrying it out twice does no harm.
    struct Doing {
        std::vector<Move> stop;  // tasks to be stopped; only those that are stored
        bool store = false;      // the value has changed and must be written before new stops
    };

    /// Takes in a stored value; nothing of what has not been stored survives that. False if it is damaged.
    bool take(const Value& value);
    Value value() const;
    /// What has been proposed, as far as budgets allow and it is not in the plan yet; returns how many are
    /// new.
    std::size_t add(const std::vector<Move>& moves, const std::vector<Gather>& gathers, std::int64_t now_ms,
                    const policy::Budgets& budgets);
    /// What follows from what is known now: ends what is done or has lost its purpose, and tells what to do.
    /// `give_up_ms`: a gathering or move that has not come to its end after that long is dropped.
    Doing step(const Knows& knows, std::int64_t now_ms, std::int64_t give_up_ms);
    /// A write of `value()` as it was when `writing()` was called has gone through, or not.
    void writing();
    void written(bool ok);

    bool empty() const { return moves_.empty() && gathers_.empty(); }
    /// The move of a task that is in the plan and stored, nullptr: none.
    const PlannedMove* moving(const std::string& job, int task) const;
    /// Where a task in a move had better start; empty: anywhere.
    std::string destination(const std::string& job, int task) const;
    /// Room of a machine that is kept, by job; the job itself may use it.
    const std::map<std::string, std::vector<Gather>>& kept() const { return kept_; }  // by machine
    const std::vector<PlannedMove>& moves() const { return moves_; }
    const std::vector<PlannedGather>& gathers() const { return gathers_; }

  private:
    std::vector<PlannedMove> moves_;
    std::vector<PlannedGather> gathers_;
    std::set<std::pair<std::string, int>> stored_;  // moves whose record is durable
    std::map<std::string, std::vector<Gather>> kept_;
    std::vector<std::int64_t> begun_ms_;  // of moves in the last minute
    bool changed_ = false;
};

}  // namespace cottonway::planning
