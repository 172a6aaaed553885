#include "shard/startup.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cottonway::recovery {

namespace {
constexpr Micros kLogDelay = 10 * kSecond;

std::string format_elapsed(Micros elapsed) {
    return elapsed < 0 ? "not yet" : fmt::format("after {} ms", elapsed / kMillisecond);
}
}  // namespace

void StartupSummary::start(Micros now, Micros activation_time, std::size_t jobs, std::size_t machines,
                           std::size_t bound_tasks) {
    started_at_ = now;
    activation_time_ = activation_time;
    jobs_ = jobs;
    machines_ = machines;
    inherited_tasks_ = bound_tasks;
}

void StartupSummary::record_heartbeat(const std::string& machine, Micros now) {
    if (!is_open() || all_reported_after_ >= 0) return;
    reported_machines_.insert(machine);
    if (reported_machines_.size() >= machines_) all_reported_after_ = now - started_at_;
}

void StartupSummary::record_reconciled(ReconcileAction action, bool inherited) {
    if (!is_open()) return;
    running_ += action == ReconcileAction::Runs && inherited;
    ended_ += action == ReconcileAction::Ended && inherited;
    terminated_ += action == ReconcileAction::Terminated && inherited;
    results_ += action == ReconcileAction::UnboundResult;
    orphaned_tasks_ += action == ReconcileAction::Orphaned;
}

void StartupSummary::record_order(OrderKind kind, bool is_repeat) {
    if (!is_open()) return;
    ++orders_[static_cast<std::size_t>(kind)];
    repeated_orders_ += is_repeat;
}

void StartupSummary::record_waiting(bool any_waiting, Micros now) {
    if (!any_waiting)
        waiting_since_ = 0;
    else if (waiting_since_ == 0)
        waiting_since_ = now;
}

void StartupSummary::record_bind(Micros now) {
    if (started_at_ > 0 && first_bind_after_ < 0)
        first_bind_after_ = now - std::max(started_at_, waiting_since_);
}

std::string StartupSummary::take_log_line(Micros now) {
    if (!is_open() || (now - started_at_ < kLogDelay && all_reported_after_ < 0)) return "";
    // Orders that follow from the last reconciled messages are still to be sent, so the line waits for
    // another second.
    if (all_reported_after_ >= 0 && now - started_at_ < all_reported_after_ + kSecond) return "";
    line_taken_ = true;
    return fmt::format(
        "started: active {} ms after the shard was acquired, with {} jobs and {} tasks on machines; {} of {} "
        "machines reported, all of them {}; {} inherited tasks run on, {} ended meanwhile, {} are gone; {} "
        "results of unbound tasks and {} orphaned tasks found; orders: {} launches, {} stops, {} clears, {} "
        "of "
        "them repeated; first bind of a waiting task: {}",
        activation_time_ / kMillisecond, jobs_, inherited_tasks_, reported_machines_.size(), machines_,
        format_elapsed(all_reported_after_), running_, ended_, terminated_, results_, orphaned_tasks_,
        orders_[0], orders_[1], orders_[2], repeated_orders_, format_elapsed(first_bind_after_));
}

Json StartupSummary::to_json() const {
    return {{"active_ms", activation_time_ / kMillisecond},
            {"jobs", jobs_},
            {"tasks", inherited_tasks_},
            {"machines", machines_},
            {"machines_heard", reported_machines_.size()},
            {"all_heard_ms", all_reported_after_ < 0 ? Json() : Json(all_reported_after_ / kMillisecond)},
            {"first_bind_ms", first_bind_after_ < 0 ? Json() : Json(first_bind_after_ / kMillisecond)},
            {"run_on", running_},
            {"ended", ended_},
            {"gone", terminated_},
            {"results", results_},
            {"strays", orphaned_tasks_},
            {"launches", orders_[0]},
            {"stops", orders_[1]},
            {"clears", orders_[2]},
            {"orders_again", repeated_orders_}};
}

}  // namespace cottonway::recovery
