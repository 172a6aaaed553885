#pragma once
// The migration plan of a shard: moves in progress and reserved capacity. It is stored as one value of the
// shard (c/plan/DOMAIN) before any of it is carried out. The shard's next owner can therefore finish or
// cancel what is in the plan, and never starts a second move of the same task. Pure: the owner reads and
// writes the stored value.

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
    std::int64_t attempt = 0;        // the attempt to stop; a later one shows that the task was started again
    std::int64_t planned_at_ms = 0;  // wall clock
    bool operator==(const PlannedMove&) const = default;
};

struct PlannedReservation {
    Reservation reservation;
    std::int64_t planned_at_ms = 0;  // wall clock
    int tasks_when_planned = 0;      // tasks of the job that were already on the machine
    bool operator==(const PlannedReservation&) const = default;
};

/// What the owner knows of a task that has a planned move.
struct TaskState {
    bool known = false;      // the job is not over and has this task
    bool cancelled = false;  // the job was cancelled
    std::string machine;     // where the task is bound, also while stopping or unconfirmed; empty: nowhere
    std::int64_t attempt = 0;
    bool stopping = false;
};
/// What the owner knows of a job that has a planned move or a reservation.
struct JobState {
    bool known = false;
    bool cancelled = false;
    bool is_service = false;
    int waiting_tasks = 0;
};

/// The migration plan. Losing it is always safe: a task that was stopped for a move is then started by
/// ordinary placement, and reserved capacity becomes free for any task.
class MigrationPlan {
  public:
    /// Interface through which the plan queries the current state of the shard.
    struct ShardQuery {
        virtual ~ShardQuery() = default;
        virtual TaskState task(const std::string& job, int task) const = 0;
        virtual JobState job(const std::string& ref) const = 0;
        /// Returns the number of the job's tasks on the machine, unconfirmed and stopping ones included.
        virtual int tasks_on(const std::string& job, const std::string& machine) const = 0;
        virtual bool is_machine_usable(const std::string& machine) const = 0;
    };
    /// What the owner has to do now. The same action may be returned again; it is idempotent.
    struct Actions {
        std::vector<Move> tasks_to_stop;  // only moves that are stored
        bool needs_write = false;         // the value has changed and no write is in progress
    };
    /// Limit on the size of the stored value as JSON text. Entries that would exceed it are not added.
    static constexpr std::size_t kMaxValueBytes = 1800;

    /// Replaces the plan by a stored value; entries that were not stored are lost. Returns false if the value
    /// is damaged or of another version. The plan is empty then and has to be stored.
    bool restore(const Json& value);
    Json to_value() const;
    /// Adds proposed moves and reservations that are not in the plan yet, as far as the budgets and the size
    /// of the value admit, and returns how many were added. Reservations of a job are added with all of its
    /// moves or not at all. A service has at most one move, and none while some replica is missing. A task
    /// can be moved only if it is on the move's source machine and not stopping.
    std::size_t add(const std::vector<Move>& moves, const std::vector<Reservation>& reservations,
                    std::int64_t now_ms, const policy::Budgets& budgets, const ShardQuery& shard);
    /// Removes entries that are complete or no longer needed, and returns what the owner has to do. An entry
    /// that is still there `timeout_ms` after it was planned is dropped.
    Actions advance(const ShardQuery& shard, std::int64_t now_ms, std::int64_t timeout_ms);
    /// Removes a move that is no longer needed. Must be called only while its task has not been stopped.
    void cancel_move(const Move& move);
    /// Marks the start of a write of `to_value()`.
    void begin_write();
    /// Marks the end of that write. `ok` is false if it has failed or its outcome is unknown.
    void finish_write(bool ok);

    bool empty() const { return moves_.empty() && reservations_.empty(); }
    /// Returns the task's move if it is in the plan and stored, otherwise nullptr.
    const PlannedMove* stored_move(const std::string& job, int task) const;
    /// Returns the preferred machine for the new start of a task that is being moved; empty: any machine.
    std::string destination(const std::string& job, int task) const;
    /// Returns the reserved capacity by machine: the stored reservations, and one for each stored move at its
    /// destination. Only the job of a reservation may use its capacity. Tasks that were already bound at
    /// the last call of `advance` are subtracted.
    const std::map<std::string, std::vector<Reservation>>& reserved_by_machine() const {
        return reserved_by_machine_;
    }
    const std::vector<PlannedMove>& moves() const { return moves_; }
    const std::vector<PlannedReservation>& reservations() const { return reservations_; }

  private:
    using TaskKey = std::pair<std::string, int>;                 // job, task
    using ReservationKey = std::pair<std::string, std::string>;  // job, machine
    /// Keys of the entries that a value holds.
    struct Entries {
        std::set<TaskKey> moves;
        std::set<ReservationKey> reservations;
    };
    Entries all_entries() const;
    bool parse(const Json& value);
    bool can_begin(const Move& move, const ShardQuery& shard) const;
    bool contains(const Reservation& reservation) const;
    bool has_reservation_for(const std::string& job) const;
    /// Returns true if the move is complete or no longer needed.
    bool is_over(const PlannedMove& planned, const ShardQuery& shard) const;
    static bool is_over(const PlannedReservation& planned, const ShardQuery& shard);
    void drop_stored(const PlannedMove& planned);
    void drop_stored(const PlannedReservation& planned);
    void update_reserved_by_machine(const ShardQuery* shard = nullptr);

    std::vector<PlannedMove> moves_;
    std::vector<PlannedReservation> reservations_;
    Entries stored_;                        // entries that are certainly stored
    std::optional<Entries> being_written_;  // entries of the write in progress
    std::map<std::string, std::vector<Reservation>> reserved_by_machine_;
    std::vector<std::int64_t> recent_moves_ms_;  // planning times of the moves of the last minute
    bool changed_ = false;
};

}  // namespace cottonway::scheduling
