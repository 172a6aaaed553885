#include "shard/rebalancer.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/gpu_packing.hpp"
#include "scheduling/queue_order.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

using scheduling::Move;
using scheduling::MoveReason;
using scheduling::Reservation;

namespace {
constexpr Micros kEvaluationInterval = kSecond;
constexpr std::int64_t kPlanTimeoutMs = 300'000;        // a move or reservation is dropped after that
constexpr std::int64_t kBlockedMoveTimeoutMs = 20'000;  // a move that may not begin is dropped after that
constexpr Micros kRereadDelay = 500 * kMillisecond;
constexpr Micros kBalanceMovesPeriod = 600 * kSecond;
constexpr Micros kMoveHistoryPeriod = 3600 * kSecond;

bool is_running(const Slot& slot) {
    return slot.state == SlotState::Bound && slot.seen && slot.phase == Phase::Running &&
           !slot.stop_requested;
}

bool has_waiting_tasks(const Job& job) {
    return job.stage == Stage::Queued && job.dependencies_done && !job.backing_off && !job.transferring;
}
}  // namespace

/// Answers the plan's questions about tasks, jobs and machines from the shard's state.
class Rebalancer::ShardStateQuery : public scheduling::MigrationPlan::ShardQuery {
  public:
    explicit ShardStateQuery(const Rebalancer& rebalancer) : rebalancer_(rebalancer) {}
    scheduling::TaskState task(const std::string& ref, int task) const override {
        const Job* job = rebalancer_.shard_state_.job(ref);
        if (!job || task < 0 || static_cast<std::size_t>(task) >= job->slots.size()) return {};
        const Slot& slot = job->slots[static_cast<std::size_t>(task)];
        const bool over = slot.state == SlotState::Done || slot.state == SlotState::DonePending;
        return {!over, job->stage == Stage::Cancelled, slot.machine ? slot.machine->name : "", slot.attempt,
                slot.stop_requested};
    }
    scheduling::JobState job(const std::string& ref) const override {
        const Job* job = rebalancer_.shard_state_.job(ref);
        if (!job) return {};
        return {true, job->stage == Stage::Cancelled, job->spec.kind == JobKind::Service,
                has_waiting_tasks(*job) ? job->unbound_tasks : 0};
    }
    int tasks_on(const std::string& ref, const std::string& machine) const override {
        const Machine* found = rebalancer_.shard_state_.machine(machine);
        if (!found) return 0;
        return static_cast<int>(
            std::count_if(found->tasks.begin(), found->tasks.end(),
                          [&](const TaskRef& bound_task) { return bound_task.job->spec.ref == ref; }));
    }
    bool is_machine_usable(const std::string& machine) const override {
        const Machine* found = rebalancer_.shard_state_.machine(machine);
        return found && rebalancer_.owner_.is_usable(*found);
    }

  private:
    const Rebalancer& rebalancer_;
};

Rebalancer::Rebalancer(ShardContext& context, std::string shard, Revision shard_revision,
                       const ShardState& shard_state, Scheduler::Owner& owner)
    : context_(context),
      shard_(std::move(shard)),
      shard_revision_(shard_revision),
      shard_state_(shard_state),
      owner_(owner),
      owned_since_(context.runtime().now()) {}

Rebalancer::~Rebalancer() {
    *alive_ = false;
}

void Rebalancer::load_stored_plan() {
    // The plan was read after this process took the shard, and a plan is written only on condition of the
    // shard's revision: no write of a former owner can still arrive.
    const PlanCache::Stored* stored = context_.stored_plan(shard_);
    if (!stored) return;
    known_revision_ = stored->mod_revision;
    if (stored->value.is_null()) return;
    record_revision_ = stored->mod_revision;
    if (!plan_.restore(stored->value))
        spdlog::error("domain {}: the stored plan is damaged and is dropped", shard_);
    if (!plan_.empty())
        spdlog::info("domain {}: continuing a stored plan of {} moves and reservations on {} machines",
                     shard_, plan_.moves().size(), plan_.reservations().size());
}

/// Returns whether the policy asks for moves or capacity reservations at all.
bool Rebalancer::is_enabled_by_policy() const {
    const policy::Policy& policy = context_.policy();
    if (policy.revision == 0) return false;
    return policy.gpus.make_room || policy.priority.overdue_after > 0 ||
           std::any_of(policy.zones.begin(), policy.zones.end(),
                       [](const policy::ZoneRule& rule) { return rule.rebalance; });
}

/// Returns whether all machines that matter to the plan have reported to this owner, or have had the
/// duration of a lease to do so.
bool Rebalancer::have_all_machines_reported() const {
    if (context_.runtime().now() - owned_since_ > context_.settings().worker_lease) return true;
    auto has_reported = [this](const Machine& machine) {
        return machine.seq > 0 && machine.token_seen >= shard_revision_;
    };
    return std::all_of(shard_state_.machines.begin(), shard_state_.machines.end(), [&](const auto& entry) {
        const Machine& machine = *entry.second;
        return has_reported(machine) || (machine.tasks.empty() && plan_.empty());
    });
}

void Rebalancer::tick() {
    const Micros now = context_.runtime().now();
    const PlanCache::Stored* stored = context_.stored_plan(shard_);
    if (stored && stored->mod_revision > known_revision_ && !write_in_flight_ && !is_outcome_unknown_) {
        // A write of this process that was taken for lost has been carried out late.
        known_revision_ = stored->mod_revision;
        record_revision_ = stored->value.is_null() ? 0 : stored->mod_revision;
        plan_.begin_write();
        plan_.finish_write(false);
    }
    const bool is_evaluation_due = now - evaluated_at_ >= kEvaluationInterval && is_enabled_by_policy();
    if (is_evaluation_due) {
        evaluated_at_ = now;
        update_zone_stability();
    }
    if ((!is_evaluation_due && plan_.empty() && record_revision_ == 0) || !have_all_machines_reported())
        return;
    if (is_evaluation_due) propose_moves();
    execute_plan();
}

/// Updates which zones are available, and drops old entries of the move history. A zone is available while
/// some of its machines report and all of those that have tasks do.
void Rebalancer::update_zone_stability() {
    const Micros now = context_.runtime().now();
    const Micros max_silence = context_.settings().report_interval * 5 / 2 + kSecond;
    // By zone: whether it has a machine that reports, and whether it has a silent one with tasks.
    std::map<std::string, std::pair<bool, bool>> zones;
    for (const auto& [name, machine] : shard_state_.machines) {
        auto& [has_reporting, has_silent_with_tasks] = zones[machine->zone];
        const bool reports_lately =
            machine->seq > 0 &&
            context_.runtime().listening_time() - machine->last_report_listening < max_silence;
        has_reporting = has_reporting || reports_lately;
        has_silent_with_tasks = has_silent_with_tasks || (!reports_lately && !machine->tasks.empty());
    }
    for (const auto& [zone, state] : zones) zone_monitor_.observe(zone, state.first && !state.second, now);
    for (auto it = move_history_.begin(); it != move_history_.end();) {
        std::erase_if(it->second.balance_moves_at,
                      [&](Micros moved_at) { return moved_at <= now - kBalanceMovesPeriod; });
        it = it->second.last_move_at <= now - kMoveHistoryPeriod ? move_history_.erase(it) : std::next(it);
    }
}

std::vector<std::string> Rebalancer::unstable_zones() const {
    std::vector<std::string> zones =
        zone_monitor_.unstable_zones(context_.runtime().now(), context_.policy().budgets.settle_time);
    // Zones without a machine of this shard are ignored.
    std::erase_if(zones, [this](const std::string& zone) {
        return std::none_of(shard_state_.machines.begin(), shard_state_.machines.end(),
                            [&](const auto& entry) { return entry.second->zone == zone; });
    });
    return zones;
}

scheduling::ShardView Rebalancer::view() const {
    const Micros now = context_.runtime().now();
    const policy::Policy& policy = context_.policy();
    scheduling::ShardView view;
    view.now = now;
    view.seed = shard_revision_ ^ static_cast<std::uint64_t>(now / kSecond);
    view.unstable_zones = unstable_zones();

    std::vector<const Job*> jobs;
    for (const auto& [ref, job] : shard_state_.jobs) jobs.push_back(job.get());
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->serial < b->serial; });
    std::map<const Job*, std::size_t> job_index;
    for (const Job* job : jobs) {
        job_index[job] = view.jobs.size();
        scheduling::JobView& job_view = view.jobs.emplace_back();
        job_view.spec = job->spec;
        job_view.tier = policy.tier(job->spec, job->rank);
        job_view.rank = job->rank;
        job_view.cancelled = job->stage == Stage::Cancelled;
        job_view.waiting_tasks = has_waiting_tasks(*job) ? job->unbound_tasks : 0;
        job_view.bound_tasks = job->bound_tasks;
        job_view.waiting_time =
            job_view.waiting_tasks > 0 ? std::max<Micros>(now - job->waiting_since, 1) : 0;
        job_view.age = (context_.runtime().wall_clock_ms() - job->eligible_since_ms) * kMillisecond;
        job_view.tasks_by_zone = job->tasks_by_zone();
        auto history = move_history_.find(job->spec.ref);
        // A former owner may have moved a task of it until this process took the shard.
        job_view.time_since_move =
            std::min(kMoveHistoryPeriod,
                     now - (history == move_history_.end() ? owned_since_ : history->second.last_move_at));
        if (history != move_history_.end())
            job_view.recent_balance_moves = static_cast<int>(history->second.balance_moves_at.size());
    }

    std::map<std::string, std::size_t> machine_index;
    for (const auto& [name, machine] : shard_state_.machines) {
        machine_index[name] = view.machines.size();
        scheduling::MachineView& machine_view = view.machines.emplace_back();
        machine_view.name = name;
        machine_view.type = machine->type_name;
        machine_view.zone = machine->zone;
        machine_view.spot = machine->spot;
        machine_view.usable = owner_.is_usable(*machine);
        if (machine->type) machine_view.size = machine->type->size;
        if (machine->type && machine->type->fetch_gb_per_s > 0)
            machine_view.fetch_gb_per_s = machine->type->fetch_gb_per_s;
        machine_view.reserved = machine->reserved;
        for (const auto& image : machine->images) machine_view.images.push_back({image.name, image.ready});
        for (const TaskRef& bound_task : machine->tasks) {
            const Slot& slot = bound_task.job->slots[static_cast<std::size_t>(bound_task.task)];
            const scheduling::MigrationPlan& plan = plan_;
            const bool is_moving =
                std::any_of(plan.moves().begin(), plan.moves().end(), [&](const auto& planned) {
                    return planned.move.job == bound_task.job->spec.ref &&
                           planned.move.task == bound_task.task;
                });
            if (slot.stop_requested) machine_view.stopping += bound_task.job->spec.request;
            machine_view.tasks.push_back(view.tasks.size());
            view.tasks.push_back({job_index.at(bound_task.job), bound_task.task, view.machines.size() - 1,
                                  is_running(slot), slot.stop_requested, is_moving,
                                  slot.running_since > 0 ? now - slot.running_since : 0});
        }
    }
    auto reserve = [&](const std::string& ref, const std::string& machine, int tasks, bool is_reservation) {
        const Job* job = shard_state_.job(ref);
        auto index = machine_index.find(machine);
        if (!job || index == machine_index.end()) return;
        for (int i = 0; i < tasks; ++i) view.machines[index->second].withheld += job->spec.request;
        if (is_reservation) view.jobs[job_index.at(job)].reserved_tasks += tasks;
    };
    const ShardStateQuery shard_state_query(*this);
    for (const auto& planned : plan_.reservations())
        reserve(
            planned.reservation.job, planned.reservation.machine,
            planned.reservation.tasks -
                std::max(0, shard_state_query.tasks_on(planned.reservation.job, planned.reservation.machine) -
                                planned.tasks_when_planned),
            true);
    for (const auto& planned : plan_.moves()) reserve(planned.move.job, planned.move.to, 1, false);
    return view;
}

void Rebalancer::propose_moves() {
    // No move begins while a controller joins or leaves, or while it is not known whether the plan is stored.
    const policy::Policy& policy = context_.policy();
    if (write_in_flight_ || is_outcome_unknown_ || context_.stable_for() < policy.budgets.settle_time) return;
    const scheduling::ShardView snapshot = view();
    std::vector<Move> moves = scheduling::rebalance(snapshot, policy, context_.settings().zones);
    std::vector<Reservation> reservations;
    for (auto& capacity_plan : scheduling::plan_capacity_for_waiting_jobs(snapshot, policy)) {
        reservations.push_back(capacity_plan.reservation);
        moves.insert(moves.end(), capacity_plan.moves.begin(), capacity_plan.moves.end());
    }
    for (auto& reservation : scheduling::reservations_for_overdue_job(snapshot, policy))
        reservations.push_back(std::move(reservation));
    if (moves.empty() && reservations.empty()) return;
    const std::size_t added = plan_.add(moves, reservations, context_.runtime().wall_clock_ms(),
                                        policy.budgets, ShardStateQuery(*this));
    if (added > 0)
        spdlog::info("domain {}: {} moves and reservations planned, {} in all", shard_, added,
                     plan_.moves().size() + plan_.reservations().size());
}

void Rebalancer::execute_plan() {
    const scheduling::MigrationPlan::Actions actions =
        plan_.advance(ShardStateQuery(*this), context_.runtime().wall_clock_ms(), kPlanTimeoutMs);
    if (!is_outcome_unknown_ && context_.stable_for() > 0) stop_moving_tasks(actions.tasks_to_stop);
    const bool has_obsolete_record = plan_.empty() && record_revision_ != 0;
    if ((!actions.needs_write && !has_obsolete_record) || write_in_flight_ || is_outcome_unknown_) return;
    if (context_.runtime().now() < write_not_before_ ||
        !context_.store().has_write_budget(Priority::Deferrable))
        return;
    if (plan_.empty() && record_revision_ == 0) return;  // the plan was taken back before it was ever written
    write_plan();
}

/// Returns whether all other tasks of a service run, so that it lacks no replica besides the one that moves.
bool Rebalancer::are_other_tasks_running(const Job& job, int task) const {
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        const Slot& slot = job.slots[i];
        if (static_cast<int>(i) == task) continue;
        if (!is_running(slot) || !slot.machine || !owner_.is_usable(*slot.machine)) return false;
    }
    return true;
}

/// Returns whether a move may begin now; the shard may have changed since the move was planned.
bool Rebalancer::may_begin(const Move& move, const Job& job) const {
    const Slot& slot = job.slots[static_cast<std::size_t>(move.task)];
    if (slot.state != SlotState::Bound || slot.stop_requested) return false;
    const bool is_service = job.spec.kind == JobKind::Service;
    if (is_service && (job.unbound_tasks > 0 || !are_other_tasks_running(job, move.task))) return false;
    if (move.reason == MoveReason::Balance && !unstable_zones().empty()) return false;
    if (move.reason == MoveReason::MakeRoom && !context_.policy().is_movable(job.spec)) return false;
    if (move.to.empty()) return !is_service;
    const Machine* destination = shard_state_.machine(move.to);
    return destination && owner_.is_usable(*destination) && Scheduler::is_allowed(job, *destination) &&
           job.spec.request.fits(destination->type->size - destination->reserved -
                                 resources_reserved_for_others(job, *destination));
}

void Rebalancer::stop_moving_tasks(const std::vector<Move>& moves) {
    const std::int64_t now_ms = context_.runtime().wall_clock_ms();
    std::map<Job*, std::vector<const Move*>> moves_by_job;  // a gang stops as a whole or not at all
    for (const Move& move : moves) {
        Job* job = shard_state_.job(move.job);
        if (!job) continue;
        if (may_begin(move, *job)) {
            moves_by_job[job].push_back(&move);
        } else if (const auto* planned = plan_.stored_move(move.job, move.task);
                   planned && now_ms - planned->planned_at_ms > kBlockedMoveTimeoutMs) {
            spdlog::info("task {}/{}: move dropped, it could not begin in time", move.job, move.task);
            plan_.cancel_move(move);
        }
    }
    for (auto& [job, job_moves] : moves_by_job) {
        if (job->spec.kind == JobKind::Gang && static_cast<int>(job_moves.size()) < job->bound_tasks)
            continue;
        for (const Move* move : job_moves) {
            spdlog::info("task {}/{}: stopped on {} to move to {}{}", move->job, move->task, move->from,
                         move->to.empty() ? "any machine that fits" : move->to,
                         move->for_job.empty() ? "" : ", to make room for " + move->for_job);
            owner_.stop(job->slots[static_cast<std::size_t>(move->task)], job->spec.save_duration + kSecond);
            MoveHistory& history = move_history_[move->job];
            history.last_move_at = context_.runtime().now();
            if (move->reason == MoveReason::Balance) history.balance_moves_at.push_back(history.last_move_at);
        }
    }
}

Resources Rebalancer::resources_reserved_for_others(const Job& job, const Machine& machine) const {
    Resources reserved;
    auto it = plan_.reserved_by_machine().find(machine.name);
    if (it == plan_.reserved_by_machine().end()) return reserved;
    const policy::Policy& policy = context_.policy();
    for (const Reservation& reservation : it->second) {
        const Job* other = shard_state_.job(reservation.job);
        if (!other || other == &job ||
            policy.tier(job.spec, job.rank) < policy.tier(other->spec, other->rank))
            continue;
        for (int i = 0; i < reservation.tasks; ++i) reserved += other->spec.request;
    }
    return reserved;
}

bool Rebalancer::has_reservation(const Job& job) const {
    return std::any_of(
        plan_.reserved_by_machine().begin(), plan_.reserved_by_machine().end(), [&](const auto& entry) {
            return std::any_of(entry.second.begin(), entry.second.end(), [&](const Reservation& reservation) {
                return reservation.job == job.spec.ref;
            });
        });
}

const Machine* Rebalancer::move_destination(const Job& job, int task) const {
    if (plan_.moves().empty()) return nullptr;
    const std::string name = plan_.destination(job.spec.ref, task);
    return name.empty() ? nullptr : shard_state_.machine(name);
}

// ---------------------------------------------------------------- the stored plan

/// Writes the plan on condition of the shard's revision, so that no former owner can write it, and of the
/// stored plan's own revision.
void Rebalancer::write_plan() {
    const std::string key = keys::plan + shard_;
    const bool deletes_record = plan_.empty();
    Change change;
    change.priority = Priority::Deferrable;
    change.purpose = "plan";
    change.conditions = {{keys::shard + shard_, shard_revision_}, {key, record_revision_}};
    change.writes.push_back({key, deletes_record ? Json() : plan_.to_value()});
    write_in_flight_ = true;
    plan_.begin_write();
    context_.store().commit(std::move(change),
                            [this, alive = alive_, deletes_record](const CommitResult& result) {
                                if (*alive) on_plan_written(result, deletes_record);
                            });
}

void Rebalancer::on_plan_written(const CommitResult& result, bool deleted_record) {
    write_in_flight_ = false;
    plan_.finish_write(result.status == CommitStatus::Ok);
    switch (result.status) {
        case CommitStatus::Ok:
            record_revision_ = deleted_record ? 0 : result.revision;
            known_revision_ = std::max(known_revision_, result.revision);
            return context_.wake();
        case CommitStatus::Unavailable:
            write_not_before_ = context_.runtime().now() + kSecond;
            return;
        case CommitStatus::Rejected:
            write_not_before_ = context_.runtime().now() + kRejectedRetryDelay;
            return;
        case CommitStatus::Conflict:
            if (std::find(result.failed.begin(), result.failed.end(), keys::shard + shard_) !=
                result.failed.end())
                return context_.on_ownership_lost(shard_);
            break;
        case CommitStatus::Unknown:
            break;
    }
    is_outcome_unknown_ = true;
    reread_plan();
}

void Rebalancer::reread_plan() {
    context_.store().read(keys::plan + shard_, [this, alive = alive_](const ReadResult& result) {
        if (!*alive) return;
        if (!result.ok)
            return context_.runtime().after(kRereadDelay, [this, alive] {
                if (*alive) reread_plan();
            });
        is_outcome_unknown_ = false;
        record_revision_ = result.found ? result.mod_revision : 0;
        known_revision_ = std::max(known_revision_, record_revision_);
    });
}

}  // namespace cottonway
