// Attempts at tasks, from the bind until they are proven gone, and the doubt in between.

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

constexpr Micros kWorkerPatience = 4 * kSecond;  // for an answer to its report
constexpr Micros kProven = 5 * kSecond;          // a task that has run for this long can run

using recovery::ReconcileAction;

}  // namespace

void ShardOwner::set_unbound(Job& job, Slot& slot) {
    shard_state_.release(job, slot, context_.runtime().listened());
    plan_due_ = true;
}

void ShardOwner::on_attempt_terminated(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    // What is proven gone from a machine that can't be heard is written down, bound elsewhere or not: a next
    // holder would have to wait for the former one's authority and a lease to prove it once more.
    const bool durable =
        slot.state == SlotState::Bound && unreachable_for(*slot.machine) > unreachable_limit();
    set_unbound(job, slot);
    if (durable) mark_part_dirty(job, static_cast<std::size_t>(task) / job.tasks_per_part);
    const Micros now = context_.runtime().now();
    if (job.stage == Stage::Cancelled && job.bound == 0) cancellations_.finish(job.spec.ref, now);
    slot.retry_at = now + retry_in;
    if (job.unbound == 1) job.waiting_since = now;
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
    --job.unbound;
    ++job.done;
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
        spdlog::info("job {}: cancelled, {} tasks to stop", job.spec.ref, job.bound);
    job.stage = Stage::Cancelled;
    if (job.bound > 0) cancellations_.start(job.spec.ref, context_.runtime().now());
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding)
            on_attempt_terminated(job, static_cast<int>(i), 0);  // never durable, so never launched
        else if (slot.state == SlotState::Bound)
            stop(slot, 0);
    }
    dirty_jobs_.insert(job.spec.ref);
    context_.wake();
}

/// A gang that lost a task, or is being stopped, ends as a whole before it starts again.
void ShardOwner::stop_incomplete_gang(Job& job) {
    if (job.stage != Stage::Queued || job.gang_stopping || job.gang_done || job.bound == 0) return;
    job.gang_stopping = true;
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) stop(slot, 0);
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Binding) on_attempt_terminated(job, static_cast<int>(i), 0);
    job.gang_stopping = false;
}

/// A worker tells of a task's result, whether the task is still bound there or not.
void ShardOwner::handle_task_result(Job& job, int task) {
    mark_done(job, task);
    if (job.spec.kind != JobKind::Gang) return;
    // A gang completes together: if one task is done, all of them are. On a machine that is silent they still
    // count until they are proven gone.
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
    Micros retry = 0;
    if (cause == ExitCause::Error) {
        retry = handle_task_failure(machine, job, slot);
    } else if (cause == ExitCause::NoRoom || cause == ExitCause::Busy || cause == ExitCause::Unknown) {
        retry = kSecond;
        if (cause == ExitCause::NoRoom) machine.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: start refused on {}", job.spec.ref, task, machine.name);
    }
    on_attempt_terminated(job, task, retry);
}

/// A message that arrives while the jobs are still being read: its tasks can't be told from strays yet, and
/// must not be stopped as such. Only the session and the token count.
void ShardOwner::register_incarnation(Machine& machine, const Report& r, bool is_report) {
    if (r.session < machine.session) return;
    if (r.session > machine.session) {
        machine.seq = 0;
        machine.session_since = context_.runtime().now();
    }
    machine.session = r.session;
    machine.token_seen = std::max(machine.token_seen, r.token);
    machine.last_heartbeat = machine.heartbeat_before_load = context_.runtime().now();
    machine.last_heartbeat_listening = context_.runtime().listened();
    if (is_report) machine.last_report_listening = machine.last_heartbeat_listening;
}

/// Whether a report, which is news, tells that the worker has lately had an answer from a controller. Without
/// one it would have waited for longer before it reports again, and its session ends with its lease.
bool ShardOwner::has_received_answer(const Machine& machine, const Report& r) const {
    const Micros now = context_.runtime().now();
    if (machine.last_report_at == 0 || r.session != machine.session) return false;
    return now - machine.last_report_at < kWorkerPatience ||
           now - machine.session_since > with_drift(context_.settings().lease);
}

/// Applies a worker's message; `is_report` tells a report from the answer to a /do.
void ShardOwner::apply_heartbeat(Machine& machine, const Report& r, bool is_report) {
    const Micros now = context_.runtime().now();
    if (!recovery::is_newer_message({r.session, r.seq}, {machine.session, machine.seq}, machine.min_session))
        return;
    const bool was_usable = usable(machine);
    // That it reports does not tell that it hears us.
    if (is_report && has_received_answer(machine, r)) machine.suspect = false;
    if (r.session > machine.session) {
        machine.session_since = now;
        machine.unacknowledged_launches
            .clear();  // /do names the session: what was sent to an earlier one is refused
        machine.launches_in_responses.clear();
        machine.acknowledged_launches.clear();
    }
    machine.session = r.session;
    machine.seq = r.seq;
    machine.token_seen = std::max(machine.token_seen, r.token);
    machine.last_heartbeat = now;
    machine.last_heartbeat_listening = context_.runtime().listened();
    if (is_report)
        machine.last_report_at = now, machine.last_report_listening = machine.last_heartbeat_listening;
    if (r.notice && !machine.interruption_notice) {
        machine.interruption_notice = true;
        machine.interruption_at = now + *r.notice;
        spdlog::info("machine {}: will be taken in {} s", machine.name, *r.notice / kSecond);
        stop_before_interruption(machine);
    }
    std::erase_if(machine.unacknowledged_launches, [&](const auto& t) { return r.token > t.second.token; });
    if (is_report)
        std::erase_if(machine.launches_in_responses, [&](const auto& l) { return r.seq > l.second; });

    ++machine.messages_applied;
    startup_.record_heartbeat(machine.name, now);
    shard_state_.forget_orphaned_tasks(machine);
    machine.exited_tasks.clear();
    for (const auto& t : r.tasks) {
        Job* job = shard_state_.job(t.job);
        Slot* slot = job && static_cast<std::size_t>(t.task) < job->slots.size()
                         ? &job->slots[static_cast<std::size_t>(t.task)]
                         : nullptr;
        const bool exited_now = t.phase == Phase::Exited;
        const auto verdict =
            recovery::reconcile(stored_task(job, slot, machine, t.attempt), {true, exited_now, t.cause}, {});
        startup_.record_reconciled(verdict, slot && slot->inherited && !slot->seen);
        if (exited_now) machine.exited_tasks.push_back(t);
        switch (verdict) {
            case ReconcileAction::Runs:
                handle_listed_task(machine, *job, *slot, t.phase);
                break;
            case ReconcileAction::Ended:
                handle_listed_task(machine, *job, *slot, t.phase);
                handle_exited_task(machine, *job, t.task, t.cause);
                break;
            case ReconcileAction::UnboundResult:
                handle_task_result(*job, t.task);
                break;
            case ReconcileAction::Orphaned:
                shard_state_.add_orphaned_task(machine, t);
                break;
            default:
                break;
        }
    }
    std::vector<TaskRef> missing;
    for (const auto& t : machine.tasks)
        if (t.job->slots[static_cast<std::size_t>(t.task)].last_message_listing != machine.messages_applied)
            missing.push_back(t);
    for (const auto& t : missing) handle_absent_task(machine, *t.job, t.task, r, is_report);
    if (!machine.tasks.empty()) machine.idle_since = machine.last_heartbeat_listening;
    if (!machine.orphaned_tasks.empty()) request_dispatch(machine);
    if (!was_usable && usable(machine)) plan_due_ = true;
}

recovery::StoredTask ShardOwner::stored_task(const Job* job, const Slot* slot, const Machine& machine,
                                             std::int64_t attempt) const {
    using State = recovery::StoredTask::State;
    recovery::StoredTask out;
    if (!job || !slot) return out;
    const bool here = slot->machine == &machine && slot->attempt == attempt;
    switch (slot->state) {
        case SlotState::Unbound:
            out.state = State::Waiting;
            break;
        case SlotState::Binding:
            out.state = here ? State::Binding : State::Elsewhere;
            break;
        case SlotState::Bound:
            out.state = here ? State::Bound : State::Elsewhere;
            break;
        case SlotState::DonePending:
        case SlotState::Done:
            out.state = State::Done;
            break;
    }
    out.result_wanted = job->stage == Stage::Queued && job->spec.kind != JobKind::Service;
    out.seen = slot->seen;
    out.launched = slot->launch_sent;
    out.inherited = slot->inherited;
    out.stopping = slot->stop_requested;
    return out;
}

/// A message shows a bound task.
void ShardOwner::handle_listed_task(Machine& machine, Job& job, Slot& slot, Phase phase) {
    const Micros now = context_.runtime().now();
    slot.last_message_listing = machine.messages_applied;
    slot.seen = true;
    slot.launch_sent = true;
    if (slot.phase != Phase::Running && phase == Phase::Running) {
        // What an earlier holder has begun has run for some time, nobody knows for how long.
        slot.running_since = slot.inherited ? now - job.spec.estimate / 2 : now;
        spdlog::debug("task {}/{}: runs on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
        ShardState::remember_image(machine, job, true);
    }
    slot.phase = phase;
    if (phase == Phase::Running && now - slot.running_since > kProven) on_first_success(job);
}

/// A bound task that a message does not show: gone, not launched yet, or in doubt.
void ShardOwner::handle_absent_task(Machine& machine, Job& job, int task, const Report& r, bool is_report) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const AttemptKey key{job.spec.ref, task, slot.attempt};
    recovery::LaunchProof proof;
    proof.session_ended = slot.launch_session != UINT64_MAX && r.session > slot.launch_session;
    proof.higher_token_seen = r.token > slot.launch_token;
    proof.response_superseded = slot.launched_by_response && is_report && r.seq > slot.launch_seq &&
                                !machine.unacknowledged_launches.count(key) &&
                                !machine.direct_launches.count(key);
    // A worker takes an answer before its next report. One that does not show our token has taken none of
    // ours, so whatever the former holder started has ended with the last lease that one can have granted,
    // or that was granted while reports could not be reconciled yet.
    if (slot.inherited && is_report && machine.token_seen < mod_revision_ &&
        are_leases_expired_since(machine, std::max(former_authority_end_, machine.heartbeat_before_load)))
        proof.session_ended = true;
    proof.may_still_arrive = has_unsettled_launch(machine, key);
    const auto verdict = recovery::reconcile(stored_task(&job, &slot, machine, slot.attempt), {}, proof);
    startup_.record_reconciled(verdict, slot.inherited);
    if (verdict == ReconcileAction::Gone) return on_attempt_terminated(job, task, 0);
    const bool unsent =
        verdict == ReconcileAction::NotSent && slot.state == SlotState::Bound && !slot.inherited;
    // Proven not to be there: on a machine that does not hear us it would be launched in vain for ever.
    if ((verdict == ReconcileAction::Relaunch || unsent) && machine.suspect &&
        !has_unsettled_launch(machine, key)) {
        spdlog::info("task {}/{}: {} does not hear us, to be placed elsewhere", key.job, task, machine.name);
        return on_attempt_terminated(job, task, 0);
    }
    if (verdict != ReconcileAction::Relaunch) return;
    slot.launch_sent = false;
    request_dispatch(machine);
}

/// Whether a launch of this attempt that was sent in one way or another is not settled.
bool ShardOwner::has_unsettled_launch(const Machine& machine, const AttemptKey& key) {
    return machine.unacknowledged_launches.count(key) || machine.direct_launches.count(key) ||
           machine.launches_in_responses.count(key);
}

/// Whether a launch of this attempt may still be executed.
bool ShardOwner::can_still_start(const Machine& machine, const Slot& slot, const AttemptKey& key) {
    return slot.launch_sent || has_unsettled_launch(machine, key);
}

}  // namespace cottonway
