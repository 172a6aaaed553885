#include "shard/shard_owner.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kPlanEvery = 20 * kMillisecond;
/// How long a launch may go without an answer until its machine's token is raised.
constexpr Micros kUnanswered = 3 * kSecond;

}  // namespace

ShardOwner::ShardOwner(ShardContext& context, std::string shard, Revision mod_revision,
                       Micros former_authority_end)
    : context_(context),
      shard_(std::move(shard)),
      mod_revision_(mod_revision),
      former_end_(former_authority_end),
      taken_at_(context.runtime().now()),
      scheduler_(context, shard_, shard_state_, *this),
      rebalancer_(context, shard_, mod_revision, shard_state_, *this) {}

ShardOwner::~ShardOwner() {
    *alive_ = false;
    // What of these is durable is in the store; whoever asked looks there.
    for (auto& [ref, job] : shard_state_.jobs)
        if (job->admitting) job->admitting({CommitStatus::Unknown, 0, {}});
}

// ---------------------------------------------------------------- machines

void ShardOwner::on_machine(const Block& block, const Block::Machine& entry) {
    auto& owned = shard_state_.machines[entry.name];
    if (!owned) {
        owned = std::make_unique<Machine>();
        owned->name = entry.name;
        owned->known_since = context_.runtime().now();
        owned->last_heartbeat_listening = owned->report_listened = owned->idle_since =
            context_.runtime().listening_time();
        owned->relinquishments.resize(context_.settings().peers.size());
    }
    Machine& m = *owned;
    m.block = block.id;
    m.type_name = block.type;
    m.zone = block.zone;
    m.spot = block.spot;
    if (!entry.address.empty()) m.addr = entry.address;
    m.retired = entry.retired;
    m.token = std::max<std::uint64_t>(m.token, entry.token);
    m.type = context_.machine_type(block.type);
    if (m.token_seen < token(m)) request_dispatch(m);
}

void ShardOwner::on_machine_gone(const std::string& name, const char* why) {
    // A record stops listing a machine once the cloud has confirmed its deletion, or when it has been given
    // to another shard while it was empty: whatever a job's record still lists there is gone.
    auto it = shard_state_.machines.find(name);
    if (it == shard_state_.machines.end()) return;
    void_machine(*it->second, why);
    shard_state_.machines.erase(it);
}

void ShardOwner::void_machine(Machine& m, const char* why) {
    if (!m.tasks.empty()) spdlog::info("machine {}: {} tasks are gone: {}", m.name, m.tasks.size(), why);
    const auto tasks = m.tasks;
    for (const auto& t : tasks) on_attempt_terminated(*t.job, t.task, 0);
    shard_state_.forget_orphaned_tasks(m);
    m.exited.clear();
    m.unacknowledged_launches.clear();
    m.launches_in_responses.clear();
    m.acknowledged_launches.clear();
}

Micros ShardOwner::silent_for(const Machine& m) const {
    return context_.runtime().listening_time() - m.last_heartbeat_listening;
}

/// A worker is of use while it reports, which renews its lease, and hears what it is told. What it answers to
/// calls shows only the latter.
Micros ShardOwner::unreachable_for(const Machine& m) const {
    const Micros listened = context_.runtime().listening_time();
    return std::max(listened - m.report_listened, m.suspect ? listened - m.suspect_since : 0);
}

Micros ShardOwner::patience() const {
    return context_.settings().report_interval * 5 / 2 + kSecond;
}

void ShardOwner::drain(const std::string& machine, bool on) {
    auto it = shard_state_.machines.find(machine);
    if (it == shard_state_.machines.end() || it->second->draining == on) return;
    it->second->draining = on;
    plan_due_ = true;
    spdlog::info("machine {}: {}", machine, on ? "surplus, nothing new is bound to it" : "needed again");
}

bool ShardOwner::passing(const Machine& m) const {
    return std::all_of(m.tasks.begin(), m.tasks.end(), [](const TaskRef& t) {
        return t.job->spec.kind == JobKind::Array && t.job->spec.spot;
    });
}

bool ShardOwner::bindable(const Machine& m) const {
    const Micros now = context_.runtime().now();
    return m.type && m.seq > 0 && m.token_seen >= token(m) && !m.retired && !m.retiring && !m.leaving &&
           !m.notice && !m.suspect && now >= m.avoid_until && m.orphaned_tasks.empty() &&
           unreachable_for(m) < patience();
}

/// Whether every lease that the worker may hold has run out: what we granted, what a former holder may have
/// granted as long as the worker has not shown our token, and what other controllers may have renewed on our
/// behalf. Of the last only their promise tells, or that they can't have been entitled any more.
bool ShardOwner::lease_over(const Machine& m) const {
    // A report that we answered renews the lease from when it was sent, which was before it was heard.
    Micros last = std::max(m.last_heartbeat, m.known_since);
    if (m.token_seen < mod_revision_) last = std::max(last, former_end_);
    return over_since(m, last);
}

/// The same, where the shard's holders can have granted none since `last`.
bool ShardOwner::over_since(const Machine& m, Micros last) const {
    const Micros now = context_.runtime().now();
    if (now <= last + with_drift(context_.settings().worker_lease)) return false;
    for (std::size_t peer = 0; peer < m.relinquishments.size(); ++peer) {
        if (m.relinquishments[peer].until > now)
            last = std::max(last, m.relinquishments[peer].renewed);
        else if (auto ended = context_.peer_ended(peer))
            last = std::max(last, *ended);
        else
            return false;
    }
    return now > last + with_drift(context_.settings().worker_lease);
}

std::vector<std::string> ShardOwner::machines_to_relinquish(std::size_t peer) const {
    std::vector<std::string> names;
    const Micros now = context_.runtime().now();
    const Micros half = context_.settings().worker_lease / 2;
    for (const auto& [name, m] : shard_state_.machines) {
        const bool unheard =
            silent_for(*m) > half || (m->token_seen < mod_revision_ && now - taken_at_ > half);
        if (unheard && !m->is_idle() &&
            m->relinquishments[peer].until < now + context_.settings().worker_lease)
            names.push_back(name);
    }
    return names;
}

void ShardOwner::on_relinquished(std::size_t peer, const std::string& machine, LeaseRelinquishment promise) {
    auto it = shard_state_.machines.find(machine);
    if (it != shard_state_.machines.end()) it->second->relinquishments[peer] = promise;
}

// ---------------------------------------------------------------- the pass over everything

void ShardOwner::activate() {
    active_ = true;
    for (auto& [ref, job] : shard_state_.jobs)
        if (job->spec.kind == JobKind::Gang && job->idle > 0 && job->bound > 0) settle_gang(*job);
    std::size_t bound = 0;
    for (const auto& [name, m] : shard_state_.machines) bound += m->tasks.size();
    const Micros now = context_.runtime().now();
    rebalancer_.adopt();
    startup_.began(now, now - taken_at_, shard_state_.jobs.size(), shard_state_.machines.size(), bound);
    spdlog::info("domain {}: active with {} jobs and {} machines, token {}", shard_, shard_state_.jobs.size(),
                 shard_state_.machines.size(), mod_revision_);
}

void ShardOwner::tick() {
    const Micros now = context_.runtime().now();
    for (auto& [name, owned] : shard_state_.machines) {
        Machine& m = *owned;
        if (!m.type) m.type = context_.machine_type(m.type_name);
        if (m.token_seen < token(m) || (active_ && m.seq == 0)) request_dispatch(m);
        if (!active_) continue;
        if (!m.orphaned_tasks.empty()) request_dispatch(m);
        // Where the worker is not heard its session ends by itself, unless another controller keeps it alive
        // on our behalf: then a launch of a job that has been cancelled since could arrive at any time.
        const bool heard = silent_for(m) < 2 * context_.settings().report_interval;
        const bool raises = std::any_of(
            m.unacknowledged_launches.begin(), m.unacknowledged_launches.end(), [&](const auto& t) {
                return now - t.second.since > kUnanswered && t.second.token >= token(m) &&
                       (heard || !wanted(t.first.job));
            });
        if (raises) raise(m);
        if (m.is_idle()) continue;
        if (lease_over(m)) {
            void_machine(m, "its lease is over");
            m.min_session = m.session + 1;
            continue;
        }
        // Tasks to be stopped whose launch was never sent, or can no longer arrive; and what is to be sent.
        std::vector<TaskRef> dead;
        for (const auto& t : m.tasks) {
            const Slot& slot = t.job->slots[static_cast<std::size_t>(t.task)];
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop || !slot.seen) request_dispatch(m);
            // What is left of a gang that is done is never launched, since its others are not bound any more.
            if ((slot.stop || t.job->gang_done) && !slot.seen && !slot.foreign &&
                !still_live(m, slot, {t.job->spec.ref, t.task, slot.attempt}))
                dead.push_back(t);
        }
        for (const auto& t : dead) on_attempt_terminated(*t.job, t.task, 0);
        if (m.notice && now <= m.notice_end) drain_noticed(m);
    }
    flush_due_ = true;
    for (const auto& job : cancellations_.overdue(now, context_.settings().cancel_deadline / 2))
        spdlog::warn("event=cancellation_unfinished job={} domain={} token={} for_ms={}", job, shard_,
                     mod_revision_, context_.settings().cancel_deadline / 2 / kMillisecond);
    if (const std::string line = startup_.line(now); !line.empty())
        spdlog::info("domain {}: {}", shard_, line);
    if (active_) {
        drop_stale_records();
        move_out_of_history();
        rebalancer_.tick();
    }
    if (std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(), [now](const auto& j) {
            const Job& job = *j.second;
            return job.stage == Stage::Queued && job.open && job.idle > 0 &&
                   (!job.backing_off || now >= job.try_after);
        }))
        plan_due_ = true;
    work();
}

void ShardOwner::plan() {
    const Micros now = context_.runtime().now();
    startup_.waiting(std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(),
                                 [](const auto& j) { return j.second->waiting() > 0; }),
                     now);
    scheduler_.plan();
}

void ShardOwner::bound(Job& job, int task) {
    startup_.bound(context_.runtime().now());
    touch(job, static_cast<std::size_t>(task) / job.part_tasks);
}

void ShardOwner::work() {
    const Micros now = context_.runtime().now();
    if (active_ && plan_due_) {
        if (now - planned_at_ >= kPlanEvery) {
            plan_due_ = false;
            planned_at_ = now;
            plan();
        } else {
            context_.runtime().after(planned_at_ + kPlanEvery - now, [this, alive = alive_] {
                if (*alive) context_.wake();
            });
        }
    }
    if (active_ && std::exchange(flush_due_, false)) flush_jobs();
    send_orders();
}

/// On a machine that will be taken, work that can save itself is stopped in time, and so is what will hardly
/// be done before: it starts elsewhere now, instead of being in doubt once the machine is silent.
void ShardOwner::drain_noticed(Machine& m) {
    const Micros now = context_.runtime().now();
    const Micros left = std::max<Micros>(m.notice_end - now, 0);
    const auto tasks = m.tasks;
    for (const auto& [job, task] : tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || slot.stop) continue;
        const Micros ran = slot.run_since > 0 ? now - slot.run_since : 0;
        if (job->spec.kind == JobKind::Gang) {
            for (auto& s : job->slots)
                if (s.state == SlotState::Bound) stop(s, job->spec.save_duration + kSecond);
        } else if (job->spec.kind == JobKind::Service || job->spec.checkpoint_interval > 0) {
            stop(slot, job->spec.save_duration + kSecond);
        } else if (job->spec.estimated_duration * 4 / 5 - ran > left) {
            stop(slot, 0);
        }
    }
}

}  // namespace cottonway
