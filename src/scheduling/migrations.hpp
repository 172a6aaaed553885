#pragma once
// What a shard has begun and not ended: moves under way and room that is gathered. It is stored as one value
// of the shard (c/plan/DOMAIN) before anything of it is carried out, so that whoever holds the shard next
// ends it or takes it back, and begins no second move of the same task. Pure: the holder reads and writes.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

struct PlannedMove {
    Move move;
    std::int64_t attempt = 0;        // the one that ends by it: any other has started since
    std::int64_t planned_at_ms = 0;  // time of day when it was planned
    bool operator==(const PlannedMove&) const = default;
};

struct PlannedReservation {
    Reservation reservation;
    std::int64_t planned_at_ms = 0;
    int tasks_when_planned = 0;  // tasks of the job on the machine when it was planned
    bool operator==(const PlannedReservation&) const = default;
};

/// What the holder knows of a task that is in a move, or of a job that room is gathered for.
struct TaskState {
    bool known = false;      // the job is not over and has this task
    bool cancelled = false;  // its job
    std::string machine;     // where it is bound, stopping and in doubt included; empty: nowhere
    std::int64_t attempt = 0;
    bool stopping = false;
};
struct JobState {
    bool known = false;
    bool cancelled = false;
    bool is_service = false;
    int waiting_tasks = 0;  // tasks that still wait
};

/// The plan of a shard. To forget it is always safe: a task that was stopped for a move starts by the five
/// steps then, and room that was kept is anybody's.
class MigrationPlan {
  public:
    struct ShardQuery {
        virtual ~ShardQuery() = default;
        virtual TaskState task(const std::string& job, int task) const = 0;
        virtual JobState job(const std::string& ref) const = 0;
        /// Tasks of the job on the machine, in doubt and stopping ones included.
        virtual int tasks_on(const std::string& job, const std::string& machine) const = 0;
        virtual bool machine_usable(const std::string& machine) const = 0;
    };
    /// What the holder has to do now. Each may be asked for again; carrying it out twice does no harm.
    struct Actions {
        std::vector<Move> tasks_to_stop;  // tasks to be stopped; only those that are stored
        bool needs_write = false;         // the value has changed and no write of it is under way
    };
    /// Of a value, counted as JSON text. Nothing is taken in that would make it larger.
    static constexpr std::size_t kMaxValueBytes = 1800;

    /// Takes in a stored value; nothing of what has not been stored survives that. False if it is damaged, or
    /// of another version: the plan is empty then, and shall be stored so.
    bool restore(const Json& value);
    Json to_value() const;
    /// What has been proposed, as far as budgets and the size of a value allow and it is not in the plan yet;
    /// returns how many are new. Room for a job comes with all of its moves or not at all. A service has no
    /// two moves and none while it lacks a task, and a move is of a task that is at its place and not told to
    /// stop.
    std::size_t add(const std::vector<Move>& moves, const std::vector<Reservation>& reservations,
                    std::int64_t now_ms, const policy::Budgets& budgets, const ShardQuery& knows);
    /// What follows from what is known now: ends what is done or has lost its purpose, and tells what to do.
    /// `give_up_ms`: a gathering or move that has not come to its end after that long is dropped.
    Actions advance(const ShardQuery& knows, std::int64_t now_ms, std::int64_t give_up_ms);
    /// Drops a move that need not be made any more. To be called only while its task has not been stopped.
    void cancel_move(const Move& move);
    /// A write of `value()` as it was when `writing()` was called has gone through; or has not, or may have.
    void begin_write();
    void finish_write(bool ok);

    bool empty() const { return moves_.empty() && reservations_.empty(); }
    /// The move of a task that is in the plan and stored, nullptr: none.
    const PlannedMove* stored_move(const std::string& job, int task) const;
    /// Where a task in a move had better start; empty: anywhere.
    std::string destination(const std::string& job, int task) const;
    /// Room of a machine that is kept: what is gathered, and a place at its destination for what moves. The
    /// job itself may use it. Only what is stored, and what has not been used as of the last step.
    const std::map<std::string, std::vector<Reservation>>& reserved_by_machine() const {
        return reserved_by_machine_;
    }  // by machine
    const std::vector<PlannedMove>& moves() const { return moves_; }
    const std::vector<PlannedReservation>& reservations() const { return reservations_; }

  private:
    using Task = std::pair<std::string, int>;
    using Room = std::pair<std::string, std::string>;  // job, machine
    /// What of a value is durable, or on its way to be.
    struct Durable {
        std::set<Task> moves;
        std::set<Room> reservations;
    };
    Durable all() const;
    bool take_in(const Json& value);
    bool may_begin(const Move& move, const ShardQuery& knows) const;
    bool has(const Reservation& reservation) const;
    bool gathers_for(const std::string& job) const;
    /// Whether a move has come to its end or lost its purpose.
    bool ended(const PlannedMove& planned, const ShardQuery& knows) const;
    static bool ended(const PlannedReservation& planned, const ShardQuery& knows);
    void forget(const PlannedMove& planned);
    void forget(const PlannedReservation& planned);
    void keep(const ShardQuery* knows = nullptr);

    std::vector<PlannedMove> moves_;
    std::vector<PlannedReservation> reservations_;
    Durable stored_;
    std::optional<Durable> writing_;
    std::map<std::string, std::vector<Reservation>> reserved_by_machine_;
    std::vector<std::int64_t> begun_ms_;  // of moves in the last minute
    bool changed_ = false;
};

}  // namespace cottonway::scheduling
