#include "shard/shard_owner.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kPlanningInterval = 20 * kMillisecond;
/// A machine's token is raised when a launch sent to it has had no answer for this long.
constexpr Micros kLaunchAnswerTimeout = 3 * kSecond;

}  // namespace

ShardOwner::ShardOwner(ShardContext& context, std::string shard, Revision mod_revision,
                       Micros former_lease_end)
    : context_(context),
      shard_(std::move(shard)),
      mod_revision_(mod_revision),
      former_lease_end_(former_lease_end),
      acquired_at_(context.runtime().now()),
      scheduler_(context, shard_, shard_state_, *this),
      rebalancer_(context, shard_, mod_revision, shard_state_, *this) {}

ShardOwner::~ShardOwner() {
    *alive_ = false;
    // If a record became durable all the same, whoever submitted the job finds it in the store.
    for (auto& [ref, job] : shard_state_.jobs)
        if (job->on_admitted) job->on_admitted({CommitStatus::Unknown, 0, {}});
}

// ---------------------------------------------------------------- machines

void ShardOwner::on_machine(const Block& block, const Block::Machine& entry) {
    auto& owned = shard_state_.machines[entry.name];
    if (!owned) {
        owned = std::make_unique<Machine>();
        owned->name = entry.name;
        owned->known_since = context_.runtime().now();
        owned->last_heartbeat_listening = owned->last_report_listening = owned->idle_since =
            context_.runtime().listening_time();
        owned->relinquishments.resize(context_.settings().peers.size());
    }
    Machine& machine = *owned;
    machine.block = block.id;
    machine.type_name = block.type;
    machine.zone = block.zone;
    machine.spot = block.spot;
    if (!entry.address.empty()) machine.addr = entry.address;
    machine.retired = entry.retired;
    machine.token = std::max<std::uint64_t>(machine.token, entry.token);
    machine.type = context_.machine_type(block.type);
    if (machine.token_seen < token(machine)) request_dispatch(machine);
}

void ShardOwner::on_machine_removed(const std::string& name, const char* reason) {
    // A block record stops listing a machine once the cloud has confirmed its deletion, or when the machine
    // was transferred to another shard while it was empty. So every task that a job's record still binds to
    // the machine has terminated.
    auto it = shard_state_.machines.find(name);
    if (it == shard_state_.machines.end()) return;
    terminate_all_attempts(*it->second, reason);
    shard_state_.machines.erase(it);
}

void ShardOwner::terminate_all_attempts(Machine& machine, const char* reason) {
    if (!machine.tasks.empty())
        spdlog::info("machine {}: {} tasks are gone: {}", machine.name, machine.tasks.size(), reason);
    const auto tasks = machine.tasks;
    for (const auto& task : tasks) on_attempt_terminated(*task.job, task.task, 0);
    shard_state_.forget_orphaned_tasks(machine);
    machine.exited_tasks.clear();
    machine.unacknowledged_launches.clear();
    machine.launches_in_responses.clear();
    machine.acknowledged_launches.clear();
}

Micros ShardOwner::silent_for(const Machine& machine) const {
    return context_.runtime().listening_time() - machine.last_heartbeat_listening;
}

/// A worker is usable while it reports, which renews its lease, and receives orders. Its answers to direct
/// calls only prove the latter.
Micros ShardOwner::unreachable_for(const Machine& machine) const {
    const Micros listened = context_.runtime().listening_time();
    return std::max(listened - machine.last_report_listening,
                    machine.suspect ? listened - machine.suspect_since : 0);
}

Micros ShardOwner::unreachable_limit() const {
    return context_.settings().report_interval * 5 / 2 + kSecond;
}

void ShardOwner::set_draining(const std::string& machine, bool on) {
    auto it = shard_state_.machines.find(machine);
    if (it == shard_state_.machines.end() || it->second->draining == on) return;
    it->second->draining = on;
    plan_due_ = true;
    spdlog::info("machine {}: {}", machine,
                 on ? "surplus, no new tasks are bound to it" : "needed again, tasks may be bound to it");
}

bool ShardOwner::runs_only_spot_arrays(const Machine& machine) const {
    return std::all_of(machine.tasks.begin(), machine.tasks.end(), [](const TaskRef& task) {
        return task.job->spec.kind == JobKind::Array && task.job->spec.spot;
    });
}

bool ShardOwner::is_bindable(const Machine& machine) const {
    const Micros now = context_.runtime().now();
    return machine.type && machine.seq > 0 && machine.token_seen >= token(machine) && !machine.retired &&
           !machine.retiring && !machine.transferring && !machine.interruption_notice && !machine.suspect &&
           now >= machine.avoid_until && machine.orphaned_tasks.empty() &&
           unreachable_for(machine) < unreachable_limit();
}

/// Returns true if every lease that the worker may hold has expired: leases that this owner granted, leases
/// that a former owner may have granted while the worker has not reported this owner's token, and renewals
/// by other controllers on the owner's behalf. Renewals by another controller are ruled out only by its
/// promise not to renew, or once its controller lease must have ended.
bool ShardOwner::is_lease_expired(const Machine& machine) const {
    // An answered report renews the lease from the time when it was sent, which was before it arrived here.
    Micros last = std::max(machine.last_heartbeat, machine.known_since);
    if (machine.token_seen < mod_revision_) last = std::max(last, former_lease_end_);
    return are_leases_expired_since(machine, last);
}

/// Returns true if every lease that the worker may hold has expired, given that no owner of the shard has
/// granted one after `last`.
bool ShardOwner::are_leases_expired_since(const Machine& machine, Micros last) const {
    const Micros now = context_.runtime().now();
    if (now <= last + with_drift(context_.settings().worker_lease)) return false;
    for (std::size_t peer = 0; peer < machine.relinquishments.size(); ++peer) {
        if (machine.relinquishments[peer].until > now)
            last = std::max(last, machine.relinquishments[peer].last_renewal_at);
        else if (auto ended = context_.peer_lease_end(peer))
            last = std::max(last, *ended);
        else
            return false;
    }
    return now > last + with_drift(context_.settings().worker_lease);
}

std::vector<std::string> ShardOwner::machines_to_relinquish(std::size_t peer) const {
    std::vector<std::string> names;
    const Micros now = context_.runtime().now();
    const Micros half_lease = context_.settings().worker_lease / 2;
    for (const auto& [name, machine] : shard_state_.machines) {
        const bool is_silent = silent_for(*machine) > half_lease ||
                               (machine->token_seen < mod_revision_ && now - acquired_at_ > half_lease);
        if (is_silent && !machine->is_idle() &&
            machine->relinquishments[peer].until < now + context_.settings().worker_lease)
            names.push_back(name);
    }
    return names;
}

void ShardOwner::on_relinquished(std::size_t peer, const std::string& machine, LeaseRelinquishment promise) {
    auto it = shard_state_.machines.find(machine);
    if (it != shard_state_.machines.end()) it->second->relinquishments[peer] = promise;
}

// ---------------------------------------------------------------- periodic work

void ShardOwner::activate() {
    active_ = true;
    for (auto& [ref, job] : shard_state_.jobs)
        if (job->spec.kind == JobKind::Gang && job->unbound_tasks > 0 && job->bound_tasks > 0)
            stop_incomplete_gang(*job);
    std::size_t bound = 0;
    for (const auto& [name, machine] : shard_state_.machines) bound += machine->tasks.size();
    const Micros now = context_.runtime().now();
    rebalancer_.load_stored_plan();
    startup_.start(now, now - acquired_at_, shard_state_.jobs.size(), shard_state_.machines.size(), bound);
    spdlog::info("domain {}: active with {} jobs and {} machines, token {}", shard_, shard_state_.jobs.size(),
                 shard_state_.machines.size(), mod_revision_);
}

void ShardOwner::tick() {
    const Micros now = context_.runtime().now();
    for (auto& [name, owned] : shard_state_.machines) {
        Machine& machine = *owned;
        if (!machine.type) machine.type = context_.machine_type(machine.type_name);
        if (machine.token_seen < token(machine) || (active_ && machine.seq == 0)) request_dispatch(machine);
        if (!active_) continue;
        if (!machine.orphaned_tasks.empty()) request_dispatch(machine);
        // The session of a silent worker ends by itself, unless another controller renews its lease on this
        // owner's behalf. In that case an unanswered launch could arrive at any time, even if its job has
        // been cancelled since, so the token is raised for jobs that are no longer queued as well.
        const bool is_reporting = silent_for(machine) < 2 * context_.settings().report_interval;
        const bool needs_new_token =
            std::any_of(machine.unacknowledged_launches.begin(), machine.unacknowledged_launches.end(),
                        [&](const auto& launch) {
                            return now - launch.second.since > kLaunchAnswerTimeout &&
                                   launch.second.token >= token(machine) &&
                                   (is_reporting || !is_job_queued(launch.first.job));
                        });
        if (needs_new_token) raise_token(machine);
        if (machine.is_idle()) continue;
        if (is_lease_expired(machine)) {
            terminate_all_attempts(machine, "its lease is over");
            machine.min_session = machine.session + 1;
            continue;
        }
        // Finds the tasks to be stopped whose launch was never sent or can no longer arrive.
        std::vector<TaskRef> never_started;
        for (const auto& task : machine.tasks) {
            const Slot& slot = task.job->slots[static_cast<std::size_t>(task.task)];
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop_requested || !slot.seen) request_dispatch(machine);
            // The remaining tasks of a gang that is done are never launched, since its other tasks are no
            // longer bound.
            if ((slot.stop_requested || task.job->gang_done) && !slot.seen && !slot.inherited &&
                !can_still_start(machine, slot, {task.job->spec.ref, task.task, slot.attempt}))
                never_started.push_back(task);
        }
        for (const auto& task : never_started) on_attempt_terminated(*task.job, task.task, 0);
        if (machine.interruption_notice && now <= machine.interruption_at) stop_before_interruption(machine);
    }
    flush_due_ = true;
    for (const auto& job : cancellations_.take_overdue(now, context_.settings().cancel_deadline / 2))
        spdlog::warn("event=cancellation_unfinished job={} domain={} token={} for_ms={}", job, shard_,
                     mod_revision_, context_.settings().cancel_deadline / 2 / kMillisecond);
    if (const std::string line = startup_.take_log_line(now); !line.empty())
        spdlog::info("domain {}: {}", shard_, line);
    if (active_) {
        delete_stale_records();
        migrate_legacy_record();
        rebalancer_.tick();
    }
    if (std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(), [now](const auto& entry) {
            const Job& job = *entry.second;
            return job.stage == Stage::Queued && job.dependencies_done && job.unbound_tasks > 0 &&
                   (!job.backing_off || now >= job.next_try_at);
        }))
        plan_due_ = true;
    run_pending_work();
}

void ShardOwner::plan() {
    const Micros now = context_.runtime().now();
    startup_.record_waiting(std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(),
                                        [](const auto& entry) { return entry.second->waiting_tasks() > 0; }),
                            now);
    scheduler_.run_pass();
}

void ShardOwner::on_task_bound(Job& job, int task) {
    startup_.record_bind(context_.runtime().now());
    mark_part_dirty(job, static_cast<std::size_t>(task) / job.tasks_per_part);
}

void ShardOwner::run_pending_work() {
    const Micros now = context_.runtime().now();
    if (active_ && plan_due_) {
        if (now - last_planned_at_ >= kPlanningInterval) {
            plan_due_ = false;
            last_planned_at_ = now;
            plan();
        } else {
            context_.runtime().after(last_planned_at_ + kPlanningInterval - now, [this, alive = alive_] {
                if (*alive) context_.wake();
            });
        }
    }
    if (active_ && std::exchange(flush_due_, false)) flush_jobs();
    send_orders();
}

/// Stops tasks on a machine that the cloud is about to interrupt: tasks that can save their state, early
/// enough to do so, and tasks that will hardly finish before. They start elsewhere now, instead of being
/// unconfirmed once the machine is silent.
void ShardOwner::stop_before_interruption(Machine& machine) {
    const Micros now = context_.runtime().now();
    const Micros left = std::max<Micros>(machine.interruption_at - now, 0);
    const auto tasks = machine.tasks;
    for (const auto& [job, task] : tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || slot.stop_requested) continue;
        const Micros ran = slot.running_since > 0 ? now - slot.running_since : 0;
        if (job->spec.kind == JobKind::Gang) {
            for (auto& gang_slot : job->slots)
                if (gang_slot.state == SlotState::Bound) stop(gang_slot, job->spec.save_duration + kSecond);
        } else if (job->spec.kind == JobKind::Service || job->spec.checkpoint_interval > 0) {
            stop(slot, job->spec.save_duration + kSecond);
        } else if (job->spec.estimated_duration * 4 / 5 - ran > left) {
            stop(slot, 0);
        }
    }
}

}  // namespace cottonway
