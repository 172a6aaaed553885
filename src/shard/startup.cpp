#include "shard/startup.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cottonway::recovery {

namespace {
constexpr Micros kSumUpAfter = 10 * kSecond;

std::string after(Micros t) {
    return t < 0 ? "not yet" : fmt::format("after {} ms", t / kMillisecond);
}
}  // namespace

void StartupSummary::start(Micros now, Micros taken, std::size_t jobs, std::size_t machines,
                           std::size_t bound) {
    began_ = now;
    taken_ = taken;
    jobs_ = jobs;
    machines_ = machines;
    inherited_ = bound;
}

void StartupSummary::record_heartbeat(const std::string& machine, Micros now) {
    if (!is_open() || all_heard_after_ >= 0) return;
    heard_.insert(machine);
    if (heard_.size() >= machines_) all_heard_after_ = now - began_;
}

void StartupSummary::record_reconciled(ReconcileAction v, bool inherited) {
    if (!is_open()) return;
    runs_ += v == ReconcileAction::Runs && inherited;
    ended_ += v == ReconcileAction::Ended && inherited;
    gone_ += v == ReconcileAction::Gone && inherited;
    results_ += v == ReconcileAction::UnboundResult;
    orphaned_tasks_ += v == ReconcileAction::Orphaned;
}

void StartupSummary::record_order(OrderKind kind, bool again) {
    if (!is_open()) return;
    ++orders_[static_cast<std::size_t>(kind)];
    again_ += again;
}

void StartupSummary::record_waiting(bool any, Micros now) {
    if (!any)
        waits_since_ = 0;
    else if (waits_since_ == 0)
        waits_since_ = now;
}

void StartupSummary::record_bind(Micros now) {
    if (began_ > 0 && first_bind_after_ < 0) first_bind_after_ = now - std::max(began_, waits_since_);
}

std::string StartupSummary::take_log_line(Micros now) {
    if (!is_open() || (now - began_ < kSumUpAfter && all_heard_after_ < 0)) return "";
    // Orders for what has just been reconciled are still to come.
    if (all_heard_after_ >= 0 && now - began_ < all_heard_after_ + kSecond) return "";
    told_ = true;
    return fmt::format(
        "started: active {} ms after it was taken with {} jobs and {} tasks on machines; heard {} of {} "
        "machines, "
        "all {}; {} tasks run on, {} ended meanwhile, {} are gone, {} results and {} strays found; orders: "
        "{} "
        "launches, {} stops, {} clears, {} of them once more; first bind {} of waiting",
        taken_ / kMillisecond, jobs_, inherited_, heard_.size(), machines_, after(all_heard_after_), runs_,
        ended_, gone_, results_, orphaned_tasks_, orders_[0], orders_[1], orders_[2], again_,
        after(first_bind_after_));
}

Json StartupSummary::to_json() const {
    return {{"active_ms", taken_ / kMillisecond},
            {"jobs", jobs_},
            {"tasks", inherited_},
            {"machines", machines_},
            {"machines_heard", heard_.size()},
            {"all_heard_ms", all_heard_after_ < 0 ? Json() : Json(all_heard_after_ / kMillisecond)},
            {"first_bind_ms", first_bind_after_ < 0 ? Json() : Json(first_bind_after_ / kMillisecond)},
            {"run_on", runs_},
            {"ended", ended_},
            {"gone", gone_},
            {"results", results_},
            {"strays", orphaned_tasks_},
            {"launches", orders_[0]},
            {"stops", orders_[1]},
            {"clears", orders_[2]},
            {"orders_again", again_}};
}

}  // namespace cottonway::recovery
