#pragma once
// Statistics of a shard's start under a new owner: what was read, which machines reported, what was
// reconciled and ordered, and when. Logged in one line once all machines have reported or ten seconds have
// passed, and shown in `status` for as long as the shard is held.

#include <array>
#include <cstddef>
#include <set>
#include <string>

#include "protocol/protocol.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway::recovery {

class StartupSummary {
  public:
    /// Called when the shard becomes active, `activation_time` microseconds after it was acquired.
    void start(Micros now, Micros activation_time, std::size_t jobs, std::size_t machines,
               std::size_t bound_tasks);
    /// Records that a machine's message has arrived.
    void record_heartbeat(const std::string& machine, Micros now);
    void record_reconciled(ReconcileAction action, bool inherited);
    /// Records an order to a worker. `is_repeat` is true if the same order had been sent before.
    void record_order(OrderKind kind, bool is_repeat);
    /// Called at each planning pass: records whether any task waits for capacity.
    void record_waiting(bool any_waiting, Micros now);
    /// Records a bind. Only the first one counts.
    void record_bind(Micros now);
    /// Returns the line for the log once, when it is due; otherwise an empty string.
    std::string take_log_line(Micros now);
    Json to_json() const;

  private:
    bool is_open() const { return started_at_ > 0 && !line_taken_; }

    Micros started_at_ = 0;
    Micros activation_time_ = 0;
    std::size_t jobs_ = 0, machines_ = 0, inherited_tasks_ = 0;
    std::set<std::string> reported_machines_;
    Micros all_reported_after_ = -1;  // -1: not all yet
    Micros waiting_since_ = 0;        // since when tasks have been waiting without a break; 0: none waits
    Micros first_bind_after_ = -1;
    std::size_t running_ = 0, ended_ = 0, results_ = 0, terminated_ = 0, orphaned_tasks_ = 0;
    std::array<std::size_t, 3> orders_{};  // by kind of order
    std::size_t repeated_orders_ = 0;
    bool line_taken_ = false;
};

}  // namespace cottonway::recovery
