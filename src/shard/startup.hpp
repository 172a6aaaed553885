#pragma once
// What it took a shard to start: read, heard, reconciled, ordered, and when. One line in the log once all of
// its machines are heard or ten seconds have passed, and in `status` for as long as the shard is held.

#include <array>
#include <cstddef>
#include <set>
#include <string>

#include "protocol/protocol.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway::recovery {

class StartupSummary {
  public:
    /// The shard is active, `taken` microseconds after it was acquired.
    void start(Micros now, Micros taken, std::size_t jobs, std::size_t machines, std::size_t bound);
    void record_heartbeat(const std::string& machine, Micros now);
    void record_reconciled(ReconcileAction v, bool inherited);
    /// `again`: the same had been sent before.
    void record_order(OrderKind kind, bool again);
    /// Whether work waits, at each planning pass; and the first bind after that.
    void record_waiting(bool any, Micros now);
    void record_bind(Micros now);
    /// The line for the log, once, when it is due.
    std::string take_log_line(Micros now);
    Json to_json() const;

  private:
    bool is_open() const { return began_ > 0 && !told_; }

    Micros began_ = 0;
    Micros taken_ = 0;
    std::size_t jobs_ = 0, machines_ = 0, inherited_ = 0;
    std::set<std::string> heard_;
    Micros all_heard_after_ = -1;  // -1: not yet
    Micros waits_since_ = 0;       // without a break, 0: nothing waits
    Micros first_bind_after_ = -1;
    std::size_t runs_ = 0, ended_ = 0, results_ = 0, gone_ = 0, orphaned_tasks_ = 0;
    std::array<std::size_t, 3> orders_{};  // by kind
    std::size_t again_ = 0;
    bool told_ = false;
};

}  // namespace cottonway::recovery
