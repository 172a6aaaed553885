// Attempts at tasks, from the bind until they are proven gone, and the doubt in between.

#include <algorithm>
#include <utility>

#include "core/owner.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxImages = 64;
constexpr std::size_t kBindingBytes = 14;  // of a binding besides the machine's name
constexpr Micros kProven = 5 * kSecond;    // a task that has run for this long can run

std::size_t binding_bytes(const Machine& m) {
    return m.name.size() + kBindingBytes;
}

}  // namespace

void Owner::bind(Job& job, int task, Machine& m, std::int64_t attempt) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const int errors = slot.errors;
    slot = Slot{};
    slot.errors = errors;
    slot.state = SlotState::Binding;
    slot.attempt = attempt;
    slot.machine = &m;
    --job.idle;
    ++job.bound;
    auto& part = job.part_of(task);
    ++part.binding;
    part.bytes += binding_bytes(m);
    m.booked += job.spec.need;
    if (job.rank == Rank::Low) m.idle_work += job.spec.need.cores;
    m.tasks.insert({&job, task});
    usage_[job.spec.team] += job.spec.need;
    remember_image(m, job, false);
}

void Owner::set_idle(Job& job, Slot& slot) {
    Machine& m = *slot.machine;
    const auto task = static_cast<int>(&slot - job.slots.data());
    auto& part = job.part_of(task);
    if (slot.state == SlotState::Binding) --part.binding;
    part.bytes -= binding_bytes(m);
    m.booked -= job.spec.need;
    if (job.rank == Rank::Low) m.idle_work -= job.spec.need.cores;
    m.tasks.erase({&job, task});
    forget_fetch(m, job);
    if (m.tasks.empty()) m.idle_since = context_.host().listened();
    usage_[job.spec.team] -= job.spec.need;
    slot.machine = nullptr;
    slot.state = SlotState::Idle;
    job.first_idle = std::min(job.first_idle, static_cast<std::size_t>(task));
    slot.seen = slot.foreign = slot.launch_sent = slot.stop = false;
    --job.bound;
    ++job.idle;
    plan_due_ = true;
}

void Owner::gone(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    set_idle(job, slot);
    const Micros now = context_.host().now();
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

void Owner::mark_done(Job& job, int task) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) return;
    if (slot.state != SlotState::Idle) set_idle(job, slot);
    --job.idle;
    ++job.done;
    slot.state = SlotState::DonePending;
    touch(job, static_cast<std::size_t>(task) / job.part_tasks);
}

void Owner::stop_slot(Slot& slot, Micros grace) {
    if (slot.stop && grace >= slot.grace) return;
    slot.stop = true;
    slot.grace = grace;
    slot.stop_sent = 0;
    if (slot.machine) poke(*slot.machine);
}

void Owner::cancel(Job& job) {
    if (job.stage != Stage::Cancelled)
        spdlog::info("job {}: cancelled, {} tasks to stop", job.spec.ref, job.bound);
    job.stage = Stage::Cancelled;
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding)
            gone(job, static_cast<int>(i), 0);  // never durable, so never launched
        else if (slot.state == SlotState::Bound)
            stop_slot(slot, 0);
    }
    dirty_.insert(job.spec.ref);
    context_.wake();
}

/// A gang that lost a task, or is being stopped, ends as a whole before it starts again.
void Owner::settle_gang(Job& job) {
    if (job.stage != Stage::Queued || job.gang_stopping || job.gang_done || job.bound == 0) return;
    job.gang_stopping = true;
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) stop_slot(slot, 0);
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Binding) gone(job, static_cast<int>(i), 0);
    job.gang_stopping = false;
}

void Owner::exited(Machine& m, Job& job, int task, ExitCause cause) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const Micros now = context_.host().now();
    if (cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        proved(job);
        spdlog::debug("task {}/{}: done on {}", job.spec.ref, task, m.name);
        mark_done(job, task);
        if (job.spec.kind == JobKind::Gang) {
            // A gang completes together: if one task is done, all of them are. On a machine that is silent
            // they still count until they are proven gone.
            job.gang_done = true;
            for (std::size_t i = 0; i < job.slots.size(); ++i)
                if (job.slots[i].state == SlotState::Idle) mark_done(job, static_cast<int>(i));
        }
        return;
    }
    Micros retry = 0;
    if (cause == ExitCause::Error) {
        retry = failed(m, job, slot);
    } else if (cause == ExitCause::NoRoom || cause == ExitCause::Busy || cause == ExitCause::Unknown) {
        retry = kSecond;
        if (cause == ExitCause::NoRoom) m.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: start refused on {}", job.spec.ref, task, m.name);
    }
    gone(job, task, retry);
}

/// A message that arrives while the jobs are still being read: its tasks can't be told from strays yet, and
/// must not be stopped as such. Only the session and the token count.
void Owner::greet(Machine& m, const Report& r) {
    if (r.session < m.session) return;
    if (r.session > m.session) m.seq = 0;
    m.session = r.session;
    m.token_seen = std::max(m.token_seen, r.token);
    m.heard = context_.host().now();
    m.listened = context_.host().listened();
    m.suspect = false;
}

/// Applies a worker's message; `is_report` tells a report from the answer to a /do.
void Owner::absorb(Machine& m, const Report& r, bool is_report) {
    const Micros now = context_.host().now();
    if (r.session < m.min_session) return;
    if (std::pair(r.session, r.seq) <= std::pair(m.session, m.seq)) return;
    const bool was_usable = usable(m);
    if (r.session > m.session) {
        m.taints.clear();  // /do names the session: what was sent to an earlier one is refused
        m.answer_launches.clear();
    }
    m.session = r.session;
    m.seq = r.seq;
    m.token_seen = std::max(m.token_seen, r.token);
    m.heard = now;
    m.listened = context_.host().listened();
    m.suspect = false;
    if (r.notice && !m.notice) {
        m.notice = true;
        m.notice_end = now + *r.notice;
        spdlog::info("machine {}: will be taken in {} s", m.name, *r.notice / kSecond);
        drain_noticed(m);
    }
    std::erase_if(m.taints, [&](const auto& t) { return r.token > t.second.token; });
    if (is_report) std::erase_if(m.answer_launches, [&](const auto& l) { return r.seq > l.second; });

    ++m.messages;
    forget_strays(m);
    m.exited.clear();
    for (const auto& t : r.tasks) {
        Job* job = find_job(t.job);
        Slot* slot =
            job && t.task < job->spec.tasks ? &job->slots[static_cast<std::size_t>(t.task)] : nullptr;
        if (slot && slot->machine == &m && slot->attempt == t.attempt &&
            (slot->state == SlotState::Bound || slot->state == SlotState::Binding)) {
            slot->shown = m.messages;
            slot->seen = true;
            slot->launch_sent = true;
            if (slot->phase != Phase::Running && t.phase == Phase::Running) {
                // What an earlier holder has begun has run for some time, nobody knows for how long.
                slot->run_since = slot->foreign ? now - job->spec.estimate / 2 : now;
                spdlog::debug("task {}/{}: runs on {}", t.job, t.task, m.name);
                remember_image(m, *job, true);
            }
            slot->phase = t.phase;
            if (t.phase == Phase::Running && now - slot->run_since > kProven) proved(*job);
            if (t.phase != Phase::Exited) continue;
            m.exited.push_back(t);
            exited(m, *job, t.task, t.cause);
            continue;
        }
        if (t.phase == Phase::Exited) {
            // A result that a former holder had not committed yet counts all the same.
            if (slot && slot->state == SlotState::Idle && t.cause == ExitCause::Done &&
                job->stage == Stage::Queued && job->spec.kind != JobKind::Service)
                mark_done(*job, t.task);
            m.exited.push_back(t);
            continue;
        }
        m.strays.push_back(t);
        ++stray_tasks_[{t.job, t.task}];
    }
    std::vector<TaskRef> missing;
    for (const auto& t : m.tasks)
        if (t.job->slots[static_cast<std::size_t>(t.task)].shown != m.messages) missing.push_back(t);
    for (const auto& t : missing) absent(m, *t.job, t.task, r, is_report);
    if (!m.tasks.empty()) m.idle_since = m.listened;
    if (!m.strays.empty()) poke(m);
    if (!was_usable && usable(m)) plan_due_ = true;
}

/// The machine has the image from now on, or fetches it: then others that need the same had better wait for
/// that one fetch than start another elsewhere.
void Owner::remember_image(Machine& m, const Job& job, bool ready) {
    auto known = std::find_if(m.images.begin(), m.images.end(),
                              [&](const Machine::Image& i) { return i.name == job.spec.image; });
    if (known != m.images.end()) {
        known->ready = known->ready || ready;
        std::rotate(known, known + 1, m.images.end());
    } else {
        m.images.push_back({job.spec.image, job.spec.image_gb, ready});
    }
    Milli total = 0;
    for (const auto& i : m.images) total += i.gb;
    while (m.images.size() > 1 && (m.images.size() > kMaxImages || (m.type && total > m.type->cache_gb))) {
        total -= m.images.front().gb;
        m.images.erase(m.images.begin());
    }
}

/// A fetch is given up once no task waits for it any more.
void Owner::forget_fetch(Machine& m, const Job& job) {
    const bool waited_for = std::any_of(m.tasks.begin(), m.tasks.end(), [&](const TaskRef& t) {
        return t.job->spec.image == job.spec.image;
    });
    if (!waited_for)
        std::erase_if(m.images,
                      [&](const Machine::Image& i) { return !i.ready && i.name == job.spec.image; });
}

/// A bound task that a message does not show: gone, not launched yet, or in doubt.
void Owner::absent(Machine& m, Job& job, int task, const Report& r, bool is_report) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Bound) return;
    if (slot.seen) return gone(job, task, 0);  // the worker has forgotten it: its session was over
    const AttemptKey key{job.spec.ref, task, slot.attempt};
    if (slot.launch_sent) {
        const bool other_session = slot.launch_session != UINT64_MAX && r.session > slot.launch_session;
        const bool outdated = r.token > slot.launch_token;
        const bool answer_over = slot.launch_by_answer && is_report && r.seq > slot.launch_seq &&
                                 !m.taints.count(key) && !m.direct_launches.count(key);
        if (!other_session && !outdated && !answer_over) return;  // in doubt
        if (slot.foreign) return gone(job, task, 0);
        slot.launch_sent = false;
        poke(m);
    }
    if (slot.stop && !still_live(m, slot, key)) gone(job, task, 0);
}

/// Whether a launch of this attempt may still be executed.
bool Owner::still_live(const Machine& m, const Slot& slot, const AttemptKey& key) const {
    return slot.launch_sent || m.taints.count(key) || m.direct_launches.count(key) ||
           m.answer_launches.count(key);
}

}  // namespace cottonway
