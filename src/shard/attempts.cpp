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

void ShardOwner::set_idle(Job& job, Slot& slot) {
    shard_state_.release(job, slot, context_.runtime().listening_time());
    plan_due_ = true;
}

void ShardOwner::on_attempt_terminated(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    // What is proven gone from a machine that can't be heard is written down, bound elsewhere or not: a next
    // holder would have to wait for the former one's authority and a lease to prove it once more.
    const bool durable = slot.state == SlotState::Bound && unreachable_for(*slot.machine) > patience();
    set_idle(job, slot);
    if (durable) touch(job, static_cast<std::size_t>(task) / job.part_tasks);
    const Micros now = context_.runtime().now();
    if (job.stage == Stage::Cancelled && job.bound == 0) cancellations_.gone(job.spec.ref, now);
    slot.retry_at = now + retry_in;
    if (job.idle == 1) job.waiting_since = now;
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
    if (job.gang_done)
        mark_done(job, task);
    else if (job.spec.kind == JobKind::Gang)
        settle_gang(job);
    context_.wake();
}

void ShardOwner::mark_done(Job& job, int task) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) return;
    if (slot.state != SlotState::Idle) set_idle(job, slot);
    --job.idle;
    ++job.done;
    slot.state = SlotState::DonePending;
    touch(job, static_cast<std::size_t>(task) / job.part_tasks);
}

void ShardOwner::stop(Slot& slot, Micros grace) {
    if (slot.stop && grace >= slot.grace) return;
    slot.stop = true;
    slot.grace = grace;
    slot.stop_sent = 0;
    if (slot.machine) request_dispatch(*slot.machine);
}

void ShardOwner::cancel(Job& job) {
    if (job.stage != Stage::Cancelled)
        spdlog::info("job {}: cancelled, {} tasks to stop", job.spec.ref, job.bound);
    job.stage = Stage::Cancelled;
    if (job.bound > 0) cancellations_.began(job.spec.ref, context_.runtime().now());
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding)
            on_attempt_terminated(job, static_cast<int>(i), 0);  // never durable, so never launched
        else if (slot.state == SlotState::Bound)
            stop(slot, 0);
    }
    dirty_.insert(job.spec.ref);
    context_.wake();
}

/// A gang that lost a task, or is being stopped, ends as a whole before it starts again.
void ShardOwner::settle_gang(Job& job) {
    if (job.stage != Stage::Queued || job.gang_stopping || job.gang_done || job.bound == 0) return;
    job.gang_stopping = true;
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) stop(slot, 0);
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Binding) on_attempt_terminated(job, static_cast<int>(i), 0);
    job.gang_stopping = false;
}

/// A worker tells of a task's result, whether the task is still bound there or not.
void ShardOwner::completed(Job& job, int task) {
    mark_done(job, task);
    if (job.spec.kind != JobKind::Gang) return;
    // A gang completes together: if one task is done, all of them are. On a machine that is silent they still
    // count until they are proven gone.
    job.gang_done = true;
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Idle) mark_done(job, static_cast<int>(i));
}

void ShardOwner::exited(Machine& m, Job& job, int task, ExitCause cause) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const Micros now = context_.runtime().now();
    if (cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        on_first_success(job);
        spdlog::debug("task {}/{}: done on {}", job.spec.ref, task, m.name);
        completed(job, task);
        return;
    }
    Micros retry = 0;
    if (cause == ExitCause::Error) {
        retry = failed(m, job, slot);
    } else if (cause == ExitCause::NoCapacity || cause == ExitCause::AlreadyPresent ||
               cause == ExitCause::UnknownJob) {
        retry = kSecond;
        if (cause == ExitCause::NoCapacity) m.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: start refused on {}", job.spec.ref, task, m.name);
    }
    on_attempt_terminated(job, task, retry);
}

/// A message that arrives while the jobs are still being read: its tasks can't be told from strays yet, and
/// must not be stopped as such. Only the session and the token count.
void ShardOwner::register_incarnation(Machine& m, const Report& r, bool is_report) {
    if (r.session < m.session) return;
    if (r.session > m.session) {
        m.seq = 0;
        m.session_since = context_.runtime().now();
    }
    m.session = r.session;
    m.token_seen = std::max(m.token_seen, r.token);
    m.last_heartbeat = m.heartbeat_before_load = context_.runtime().now();
    m.last_heartbeat_listening = context_.runtime().listening_time();
    if (is_report) m.report_listened = m.last_heartbeat_listening;
}

/// Whether a report, which is news, tells that the worker has lately had an answer from a controller. Without
/// one it would have waited for longer before it reports again, and its session ends with its lease.
bool ShardOwner::hears(const Machine& m, const Report& r) const {
    const Micros now = context_.runtime().now();
    if (m.reported == 0 || r.session != m.session) return false;
    return now - m.reported < kWorkerPatience ||
           now - m.session_since > with_drift(context_.settings().worker_lease);
}

/// Applies a worker's message; `is_report` tells a report from the answer to a /do.
void ShardOwner::apply_heartbeat(Machine& m, const Report& r, bool is_report) {
    const Micros now = context_.runtime().now();
    if (!recovery::is_news({r.session, r.seq}, {m.session, m.seq}, m.min_session)) return;
    const bool was_usable = usable(m);
    // That it reports does not tell that it hears us.
    if (is_report && hears(m, r)) m.suspect = false;
    if (r.session > m.session) {
        m.session_since = now;
        m.unacknowledged_launches
            .clear();  // /do names the session: what was sent to an earlier one is refused
        m.launches_in_responses.clear();
        m.acknowledged_launches.clear();
    }
    m.session = r.session;
    m.seq = r.seq;
    m.token_seen = std::max(m.token_seen, r.token);
    m.last_heartbeat = now;
    m.last_heartbeat_listening = context_.runtime().listening_time();
    if (is_report) m.reported = now, m.report_listened = m.last_heartbeat_listening;
    if (r.interruption_notice && !m.notice) {
        m.notice = true;
        m.notice_end = now + *r.interruption_notice;
        spdlog::info("machine {}: will be taken in {} s", m.name, *r.interruption_notice / kSecond);
        drain_noticed(m);
    }
    std::erase_if(m.unacknowledged_launches, [&](const auto& t) { return r.token > t.second.token; });
    if (is_report) std::erase_if(m.launches_in_responses, [&](const auto& l) { return r.seq > l.second; });

    ++m.messages;
    startup_.heard(m.name, now);
    shard_state_.forget_orphaned_tasks(m);
    m.exited.clear();
    for (const auto& t : r.tasks) {
        Job* job = shard_state_.job(t.job);
        Slot* slot = job && static_cast<std::size_t>(t.task) < job->slots.size()
                         ? &job->slots[static_cast<std::size_t>(t.task)]
                         : nullptr;
        const bool exited_now = t.phase == Phase::Exited;
        const auto verdict =
            recovery::reconcile(stored(job, slot, m, t.attempt), {true, exited_now, t.cause}, {});
        startup_.reconciled(verdict, slot && slot->foreign && !slot->seen);
        if (exited_now) m.exited.push_back(t);
        switch (verdict) {
            case ReconcileAction::Runs:
                show(m, *job, *slot, t.phase);
                break;
            case ReconcileAction::Ended:
                show(m, *job, *slot, t.phase);
                exited(m, *job, t.task, t.cause);
                break;
            case ReconcileAction::Result:
                completed(*job, t.task);
                break;
            case ReconcileAction::Stray:
                shard_state_.add_orphaned_task(m, t);
                break;
            default:
                break;
        }
    }
    std::vector<TaskRef> missing;
    for (const auto& t : m.tasks)
        if (t.job->slots[static_cast<std::size_t>(t.task)].shown != m.messages) missing.push_back(t);
    for (const auto& t : missing) absent(m, *t.job, t.task, r, is_report);
    if (!m.tasks.empty()) m.idle_since = m.last_heartbeat_listening;
    if (!m.orphaned_tasks.empty()) request_dispatch(m);
    if (!was_usable && usable(m)) plan_due_ = true;
}

recovery::Stored ShardOwner::stored(const Job* job, const Slot* slot, const Machine& m,
                                    std::int64_t attempt) const {
    using State = recovery::Stored::State;
    recovery::Stored out;
    if (!job || !slot) return out;
    const bool here = slot->machine == &m && slot->attempt == attempt;
    switch (slot->state) {
        case SlotState::Idle:
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
    out.wanted = job->stage == Stage::Queued && job->spec.kind != JobKind::Service;
    out.seen = slot->seen;
    out.launched = slot->launch_sent;
    out.foreign = slot->foreign;
    out.stopping = slot->stop;
    return out;
}

/// A message shows a bound task.
void ShardOwner::show(Machine& m, Job& job, Slot& slot, Phase phase) {
    const Micros now = context_.runtime().now();
    slot.shown = m.messages;
    slot.seen = true;
    slot.launch_sent = true;
    if (slot.phase != Phase::Running && phase == Phase::Running) {
        // What an earlier holder has begun has run for some time, nobody knows for how long.
        slot.run_since = slot.foreign ? now - job.spec.estimated_duration / 2 : now;
        spdlog::debug("task {}/{}: runs on {}", job.spec.ref, &slot - job.slots.data(), m.name);
        ShardState::remember_image(m, job, true);
    }
    slot.phase = phase;
    if (phase == Phase::Running && now - slot.run_since > kProven) on_first_success(job);
}

/// A bound task that a message does not show: gone, not launched yet, or in doubt.
void ShardOwner::absent(Machine& m, Job& job, int task, const Report& r, bool is_report) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const AttemptKey key{job.spec.ref, task, slot.attempt};
    recovery::Proof proof;
    proof.later_session = slot.launch_session != UINT64_MAX && r.session > slot.launch_session;
    proof.higher_token = r.token > slot.launch_token;
    proof.answer_over = slot.launch_by_answer && is_report && r.seq > slot.launch_seq &&
                        !m.unacknowledged_launches.count(key) && !m.direct_launches.count(key);
    // A worker takes an answer before its next report. One that does not show our token has taken none of
    // ours, so whatever the former holder started has ended with the last lease that one can have granted,
    // or that was granted while reports could not be reconciled yet.
    if (slot.foreign && is_report && m.token_seen < mod_revision_ &&
        over_since(m, std::max(former_end_, m.heartbeat_before_load)))
        proof.later_session = true;
    proof.may_still_come = may_come(m, key);
    const auto verdict = recovery::reconcile(stored(&job, &slot, m, slot.attempt), {}, proof);
    startup_.reconciled(verdict, slot.foreign);
    if (verdict == ReconcileAction::Gone) return on_attempt_terminated(job, task, 0);
    const bool unsent = verdict == ReconcileAction::Unsent && slot.state == SlotState::Bound && !slot.foreign;
    // Proven not to be there: on a machine that does not hear us it would be launched in vain for ever.
    if ((verdict == ReconcileAction::LaunchAgain || unsent) && m.suspect && !may_come(m, key)) {
        spdlog::info("task {}/{}: {} does not hear us, to be placed elsewhere", key.job, task, m.name);
        return on_attempt_terminated(job, task, 0);
    }
    if (verdict != ReconcileAction::LaunchAgain) return;
    slot.launch_sent = false;
    request_dispatch(m);
}

/// Whether a launch of this attempt that was sent in one way or another is not settled.
bool ShardOwner::may_come(const Machine& m, const AttemptKey& key) {
    return m.unacknowledged_launches.count(key) || m.direct_launches.count(key) ||
           m.launches_in_responses.count(key);
}

/// Whether a launch of this attempt may still be executed.
bool ShardOwner::still_live(const Machine& m, const Slot& slot, const AttemptKey& key) {
    return slot.launch_sent || may_come(m, key);
}

}  // namespace cottonway
