// ShardOwner: attempts at tasks, from the bind until they are confirmed terminated, and the reconciliation of
// workers' messages with them.

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

constexpr Micros kWorkerAnswerTimeout = 4 * kSecond;  // how long a worker waits for the answer to its report
constexpr Micros kProvenRunTime = 5 * kSecond;  // a task that has run for this long proves its job runnable

using recovery::ReconcileAction;

}  // namespace

void ShardOwner::set_unbound(Job& job, Slot& slot) {
    shard_state_.release(job, slot, context_.runtime().listening_time());
    plan_due_ = true;
}

void ShardOwner::on_attempt_terminated(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    // The end of an attempt on an unreachable machine is stored even if the task isn't bound elsewhere.
    // Otherwise the next owner would have to wait until the controller lease of this one and then a worker
    // lease have ended before it could prove the same again.
    const bool stores_end =
        slot.state == SlotState::Bound && unreachable_for(*slot.machine) > unreachable_limit();
    set_unbound(job, slot);
    if (stores_end) mark_part_dirty(job, static_cast<std::size_t>(task) / job.tasks_per_part);
    const Micros now = context_.runtime().now();
    if (job.stage == Stage::Cancelled && job.bound_tasks == 0) cancellations_.finish(job.spec.ref, now);
    slot.retry_at = now + retry_in;
    if (job.unbound_tasks == 1) job.waiting_since = now;
    dirty_jobs_.insert(job.spec.ref);
    flush_due_ = true;
    if (job.gang_done)
        mark_done(job, task);
    else if (job.spec.kind == JobKind::Gang)
        stop_incomplete_gang(job);
    context_.wake();
}

void ShardOwner::mark_done(Job& job, int task) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) return;
    if (slot.state != SlotState::Unbound) set_unbound(job, slot);
    --job.unbound_tasks;
    ++job.done_tasks;
    slot.state = SlotState::DonePending;
    mark_part_dirty(job, static_cast<std::size_t>(task) / job.tasks_per_part);
}

void ShardOwner::stop(Slot& slot, Micros grace) {
    if (slot.stop_requested && grace >= slot.grace) return;
    slot.stop_requested = true;
    slot.grace = grace;
    slot.stop_sent_at = 0;
    if (slot.machine) request_dispatch(*slot.machine);
}

void ShardOwner::cancel(Job& job) {
    if (job.stage != Stage::Cancelled)
        spdlog::info("job {}: cancelled, {} tasks to stop", job.spec.ref, job.bound_tasks);
    job.stage = Stage::Cancelled;
    if (job.bound_tasks > 0) cancellations_.start(job.spec.ref, context_.runtime().now());
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding)
            // The binding was never durable, so the task was never launched.
            on_attempt_terminated(job, static_cast<int>(i), 0);
        else if (slot.state == SlotState::Bound)
            stop(slot, 0);
    }
    dirty_jobs_.insert(job.spec.ref);
    context_.wake();
}

/// Stops the rest of a gang that lost a task or is being stopped: it ends as a whole before it starts again.
void ShardOwner::stop_incomplete_gang(Job& job) {
    if (job.stage != Stage::Queued || job.gang_stopping || job.gang_done || job.bound_tasks == 0) return;
    job.gang_stopping = true;
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) stop(slot, 0);
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Binding) on_attempt_terminated(job, static_cast<int>(i), 0);
    job.gang_stopping = false;
}

/// Handles a worker's report that a task is done, whether or not the task is still bound to that worker.
void ShardOwner::handle_task_result(Job& job, int task) {
    mark_done(job, task);
    if (job.spec.kind != JobKind::Gang) return;
    // A gang completes as a whole: if one task is done, all of them are. Those on silent machines still use
    // resources until they are confirmed terminated.
    job.gang_done = true;
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Unbound) mark_done(job, static_cast<int>(i));
}

void ShardOwner::handle_exited_task(Machine& machine, Job& job, int task, ExitCause cause) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const Micros now = context_.runtime().now();
    if (cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        on_first_success(job);
        spdlog::debug("task {}/{}: done on {}", job.spec.ref, task, machine.name);
        handle_task_result(job, task);
        return;
    }
    Micros retry_in = 0;
    if (cause == ExitCause::Error) {
        retry_in = handle_task_failure(machine, job, slot);
    } else if (cause == ExitCause::NoCapacity || cause == ExitCause::AlreadyPresent ||
               cause == ExitCause::UnknownJob) {
        retry_in = kSecond;
        if (cause == ExitCause::NoCapacity) machine.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: the worker on {} refused to start it", job.spec.ref, task, machine.name);
    }
    on_attempt_terminated(job, task, retry_in);
}

/// Takes only the session and the token from a message that arrives while the jobs are still being read. Its
/// tasks can't be distinguished from orphaned ones yet and must not be stopped as such.
void ShardOwner::record_session_and_token(Machine& machine, const Report& report, bool is_report) {
    if (report.session < machine.session) return;
    if (report.session > machine.session) {
        machine.seq = 0;
        machine.session_since = context_.runtime().now();
    }
    machine.session = report.session;
    machine.token_seen = std::max(machine.token_seen, report.token);
    machine.last_heartbeat = machine.heartbeat_before_load = context_.runtime().now();
    machine.last_heartbeat_listening = context_.runtime().listening_time();
    if (is_report) machine.last_report_listening = machine.last_heartbeat_listening;
}

/// Returns true if a new report proves that the worker has recently received an answer from a controller.
/// Without an answer it would have waited for longer before it reported again, and its session would have
/// ended with its lease.
bool ShardOwner::has_received_answer(const Machine& machine, const Report& report) const {
    const Micros now = context_.runtime().now();
    if (machine.last_report_at == 0 || report.session != machine.session) return false;
    return now - machine.last_report_at < kWorkerAnswerTimeout ||
           now - machine.session_since > with_drift(context_.settings().worker_lease);
}

/// Applies a worker's message. `is_report` is true for a report and false for the answer to a /do.
void ShardOwner::apply_heartbeat(Machine& machine, const Report& report, bool is_report) {
    const Micros now = context_.runtime().now();
    if (!recovery::is_newer_message({report.session, report.seq}, {machine.session, machine.seq},
                                    machine.min_session))
        return;
    const bool was_usable = is_usable(machine);
    // That reports arrive from the worker does not prove that it receives messages.
    if (is_report && has_received_answer(machine, report)) machine.suspect = false;
    if (report.session > machine.session) {
        machine.session_since = now;
        // Each /do names the session it is for, so a worker refuses what was sent to an earlier one.
        machine.unacknowledged_launches.clear();
        machine.launches_in_responses.clear();
        machine.acknowledged_launches.clear();
    }
    machine.session = report.session;
    machine.seq = report.seq;
    machine.token_seen = std::max(machine.token_seen, report.token);
    machine.last_heartbeat = now;
    machine.last_heartbeat_listening = context_.runtime().listening_time();
    if (is_report)
        machine.last_report_at = now, machine.last_report_listening = machine.last_heartbeat_listening;
    if (report.interruption_notice && !machine.interruption_notice) {
        machine.interruption_notice = true;
        machine.interruption_at = now + *report.interruption_notice;
        spdlog::info("machine {}: the cloud will interrupt it in {} s", machine.name,
                     *report.interruption_notice / kSecond);
        stop_before_interruption(machine);
    }
    std::erase_if(machine.unacknowledged_launches,
                  [&](const auto& launch) { return report.token > launch.second.token; });
    if (is_report)
        std::erase_if(machine.launches_in_responses,
                      [&](const auto& launch) { return report.seq > launch.second; });

    ++machine.messages_applied;
    startup_.record_heartbeat(machine.name, now);
    shard_state_.forget_orphaned_tasks(machine);
    machine.exited_tasks.clear();
    for (const auto& task : report.tasks) {
        Job* job = shard_state_.job(task.job);
        Slot* slot = job && static_cast<std::size_t>(task.task) < job->slots.size()
                         ? &job->slots[static_cast<std::size_t>(task.task)]
                         : nullptr;
        const bool has_exited = task.phase == Phase::Exited;
        const auto action = recovery::reconcile(stored_task(job, slot, machine, task.attempt),
                                                {true, has_exited, task.cause}, {});
        startup_.record_reconciled(action, slot && slot->inherited && !slot->seen);
        if (has_exited) machine.exited_tasks.push_back(task);
        switch (action) {
            case ReconcileAction::Runs:
                handle_listed_task(machine, *job, *slot, task.phase);
                break;
            case ReconcileAction::Ended:
                handle_listed_task(machine, *job, *slot, task.phase);
                handle_exited_task(machine, *job, task.task, task.cause);
                break;
            case ReconcileAction::UnboundResult:
                handle_task_result(*job, task.task);
                break;
            case ReconcileAction::Orphaned:
                shard_state_.add_orphaned_task(machine, task);
                break;
            default:
                break;
        }
    }
    std::vector<TaskRef> missing;
    for (const auto& task : machine.tasks)
        if (task.job->slots[static_cast<std::size_t>(task.task)].last_message_listing !=
            machine.messages_applied)
            missing.push_back(task);
    for (const auto& task : missing) handle_absent_task(machine, *task.job, task.task, report, is_report);
    if (!machine.tasks.empty()) machine.idle_since = machine.last_heartbeat_listening;
    if (!machine.orphaned_tasks.empty()) request_dispatch(machine);
    if (!was_usable && is_usable(machine)) plan_due_ = true;
}

recovery::StoredTask ShardOwner::stored_task(const Job* job, const Slot* slot, const Machine& machine,
                                             std::int64_t attempt) const {
    using State = recovery::StoredTask::State;
    recovery::StoredTask stored;
    if (!job || !slot) return stored;
    const bool bound_here = slot->machine == &machine && slot->attempt == attempt;
    switch (slot->state) {
        case SlotState::Unbound:
            stored.state = State::Waiting;
            break;
        case SlotState::Binding:
            stored.state = bound_here ? State::Binding : State::Elsewhere;
            break;
        case SlotState::Bound:
            stored.state = bound_here ? State::Bound : State::Elsewhere;
            break;
        case SlotState::DonePending:
        case SlotState::Done:
            stored.state = State::Done;
            break;
    }
    stored.result_wanted = job->stage == Stage::Queued && job->spec.kind != JobKind::Service;
    stored.seen = slot->seen;
    stored.launched = slot->launch_sent;
    stored.inherited = slot->inherited;
    stored.stopping = slot->stop_requested;
    return stored;
}

/// Handles a bound task that a message of its worker lists.
void ShardOwner::handle_listed_task(Machine& machine, Job& job, Slot& slot, Phase phase) {
    const Micros now = context_.runtime().now();
    slot.last_message_listing = machine.messages_applied;
    slot.seen = true;
    slot.launch_sent = true;
    if (slot.phase != Phase::Running && phase == Phase::Running) {
        // It is unknown for how long a task that a former owner launched has been running; half of the
        // estimate is assumed.
        slot.running_since = slot.inherited ? now - job.spec.estimated_duration / 2 : now;
        spdlog::debug("task {}/{}: runs on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
        ShardState::remember_image(machine, job, true);
    }
    slot.phase = phase;
    if (phase == Phase::Running && now - slot.running_since > kProvenRunTime) on_first_success(job);
}

/// Handles a bound task that a message of its worker does not list: it has terminated, is not launched
/// yet, or is unconfirmed.
void ShardOwner::handle_absent_task(Machine& machine, Job& job, int task, const Report& report,
                                    bool is_report) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const AttemptKey key{job.spec.ref, task, slot.attempt};
    recovery::LaunchProof proof;
    proof.session_ended = slot.launch_session != UINT64_MAX && report.session > slot.launch_session;
    proof.higher_token_seen = report.token > slot.launch_token;
    proof.response_superseded = slot.launched_by_response && is_report && report.seq > slot.launch_seq &&
                                !machine.unacknowledged_launches.count(key) &&
                                !machine.direct_launches.count(key);
    // A worker processes the answer to a report before it reports again. One that does not report this
    // owner's token has processed no answer of this owner. So whatever the former owner launched has ended
    // with the last lease that the former owner can have granted, or that was granted while reports could
    // not be reconciled yet.
    if (slot.inherited && is_report && machine.token_seen < mod_revision_ &&
        are_leases_expired_since(machine, std::max(former_lease_end_, machine.heartbeat_before_load)))
        proof.session_ended = true;
    proof.may_still_arrive = has_unsettled_launch(machine, key);
    const auto action = recovery::reconcile(stored_task(&job, &slot, machine, slot.attempt), {}, proof);
    startup_.record_reconciled(action, slot.inherited);
    if (action == ReconcileAction::Terminated) return on_attempt_terminated(job, task, 0);
    const bool not_sent =
        action == ReconcileAction::NotSent && slot.state == SlotState::Bound && !slot.inherited;
    // The task is proven not to run there. A machine that does not receive messages would never start it, so
    // it is released to be placed elsewhere.
    if ((action == ReconcileAction::Relaunch || not_sent) && machine.suspect &&
        !has_unsettled_launch(machine, key)) {
        spdlog::info("task {}/{}: {} does not receive messages, to be placed elsewhere", key.job, task,
                     machine.name);
        return on_attempt_terminated(job, task, 0);
    }
    if (action != ReconcileAction::Relaunch) return;
    slot.launch_sent = false;
    request_dispatch(machine);
}

/// Returns true if a launch of this attempt was sent, directly or in an answer, and its outcome is not known.
bool ShardOwner::has_unsettled_launch(const Machine& machine, const AttemptKey& key) {
    return machine.unacknowledged_launches.count(key) || machine.direct_launches.count(key) ||
           machine.launches_in_responses.count(key);
}

/// Returns true if a launch of this attempt may still be executed.
bool ShardOwner::can_still_start(const Machine& machine, const Slot& slot, const AttemptKey& key) {
    return slot.launch_sent || has_unsettled_launch(machine, key);
}

}  // namespace cottonway
