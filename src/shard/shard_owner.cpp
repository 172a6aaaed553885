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
      former_authority_end_(former_authority_end),
      acquired_at_(context.runtime().now()),
      scheduler_(context, shard_, shard_state_, *this),
      rebalancer_(context, shard_, mod_revision, shard_state_, *this) {}

ShardOwner::~ShardOwner() {
    *alive_ = false;
    // What of these is durable is in the store; whoever asked looks there.
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
            context_.runtime().listened();
        owned->relinquishments.resize(context_.settings().peers.size());
    }
    Machine& machine = *owned;
    machine.block = block.id;
    machine.type_name = block.type;
    machine.zone = block.zone;
    machine.spot = block.spot;
    if (!entry.addr.empty()) machine.addr = entry.addr;
    machine.retired = entry.retired;
    machine.token = std::max<std::uint64_t>(machine.token, entry.token);
    machine.type = context_.machine_type(block.type);
    if (machine.token_seen < token(machine)) request_dispatch(machine);
}

void ShardOwner::on_machine_gone(const std::string& name, const char* why) {
    // A record stops listing a machine once the cloud has confirmed its deletion, or when it has been given
    // to another shard while it was empty: whatever a job's record still lists there is gone.
    auto it = shard_state_.machines.find(name);
    if (it == shard_state_.machines.end()) return;
    terminate_all_attempts(*it->second, why);
    shard_state_.machines.erase(it);
}

void ShardOwner::terminate_all_attempts(Machine& machine, const char* why) {
    if (!machine.tasks.empty())
        spdlog::info("machine {}: {} tasks are gone: {}", machine.name, machine.tasks.size(), why);
    const auto tasks = machine.tasks;
    for (const auto& t : tasks) on_attempt_terminated(*t.job, t.task, 0);
    shard_state_.forget_orphaned_tasks(machine);
    machine.exited_tasks.clear();
    machine.unacknowledged_launches.clear();
    machine.launches_in_responses.clear();
    machine.acknowledged_launches.clear();
}

Micros ShardOwner::silent_for(const Machine& machine) const {
    return context_.runtime().listened() - machine.last_heartbeat_listening;
}

/// A worker is of use while it reports, which renews its lease, and hears what it is told. What it answers to
/// calls shows only the latter.
Micros ShardOwner::unreachable_for(const Machine& machine) const {
    const Micros listened = context_.runtime().listened();
    return std::max(listened - machine.last_report_listening,
                    machine.suspect ? listened - machine.suspect_since : 0);
}

Micros ShardOwner::unreachable_limit() const {
    return context_.settings().report_every * 5 / 2 + kSecond;
}

void ShardOwner::drain(const std::string& machine, bool on) {
    auto it = shard_state_.machines.find(machine);
    if (it == shard_state_.machines.end() || it->second->draining == on) return;
    it->second->draining = on;
    plan_due_ = true;
    spdlog::info("machine {}: {}", machine, on ? "surplus, nothing new is bound to it" : "needed again");
}

bool ShardOwner::runs_only_spot_arrays(const Machine& machine) const {
    return std::all_of(machine.tasks.begin(), machine.tasks.end(), [](const TaskRef& t) {
        return t.job->spec.kind == JobKind::Array && t.job->spec.spot;
    });
}

bool ShardOwner::is_bindable(const Machine& machine) const {
    const Micros now = context_.runtime().now();
    return machine.type && machine.seq > 0 && machine.token_seen >= token(machine) && !machine.retired &&
           !machine.retiring && !machine.transferring && !machine.interruption_notice && !machine.suspect &&
           now >= machine.avoid_until && machine.orphaned_tasks.empty() &&
           unreachable_for(machine) < unreachable_limit();
}

/// Whether every lease that the worker may hold has run out: what we granted, what a former holder may have
/// granted as long as the worker has not shown our token, and what other controllers may have renewed on our
/// behalf. Of the last only their promise tells, or that they can't have been entitled any more.
bool ShardOwner::is_lease_expired(const Machine& machine) const {
    // A report that we answered renews the lease from when it was sent, which was before it was heard.
    Micros last = std::max(machine.last_heartbeat, machine.known_since);
    if (machine.token_seen < mod_revision_) last = std::max(last, former_authority_end_);
    return are_leases_expired_since(machine, last);
}

/// The same, where the shard's holders can have granted none since `last`.
bool ShardOwner::are_leases_expired_since(const Machine& machine, Micros last) const {
    const Micros now = context_.runtime().now();
    if (now <= last + with_drift(context_.settings().lease)) return false;
    for (std::size_t peer = 0; peer < machine.relinquishments.size(); ++peer) {
        if (machine.relinquishments[peer].until > now)
            last = std::max(last, machine.relinquishments[peer].last_renewal_at);
        else if (auto ended = context_.peer_authority_end(peer))
            last = std::max(last, *ended);
        else
            return false;
    }
    return now > last + with_drift(context_.settings().lease);
}

std::vector<std::string> ShardOwner::machines_to_relinquish(std::size_t peer) const {
    std::vector<std::string> names;
    const Micros now = context_.runtime().now();
    const Micros half = context_.settings().lease / 2;
    for (const auto& [name, machine] : shard_state_.machines) {
        const bool unheard =
            silent_for(*machine) > half || (machine->token_seen < mod_revision_ && now - acquired_at_ > half);
        if (unheard && !machine->is_idle() &&
            machine->relinquishments[peer].until < now + context_.settings().lease)
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
        if (job->spec.kind == JobKind::Gang && job->unbound > 0 && job->bound > 0) stop_incomplete_gang(*job);
    std::size_t bound = 0;
    for (const auto& [name, machine] : shard_state_.machines) bound += machine->tasks.size();
    const Micros now = context_.runtime().now();
    rebalancer_.adopt();
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
        // Where the worker is not heard its session ends by itself, unless another controller keeps it alive
        // on our behalf: then a launch of a job that has been cancelled since could arrive at any time.
        const bool heard = silent_for(machine) < 2 * context_.settings().report_every;
        const bool raises = std::any_of(machine.unacknowledged_launches.begin(),
                                        machine.unacknowledged_launches.end(), [&](const auto& t) {
                                            return now - t.second.since > kUnanswered &&
                                                   t.second.token >= token(machine) &&
                                                   (heard || !is_job_queued(t.first.job));
                                        });
        if (raises) raise_token(machine);
        if (machine.is_idle()) continue;
        if (is_lease_expired(machine)) {
            terminate_all_attempts(machine, "its lease is over");
            machine.min_session = machine.session + 1;
            continue;
        }
        // Tasks to be stopped whose launch was never sent, or can no longer arrive; and what is to be sent.
        std::vector<TaskRef> dead;
        for (const auto& t : machine.tasks) {
            const Slot& slot = t.job->slots[static_cast<std::size_t>(t.task)];
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop_requested || !slot.seen) request_dispatch(machine);
            // What is left of a gang that is done is never launched, since its others are not bound any more.
            if ((slot.stop_requested || t.job->gang_done) && !slot.seen && !slot.inherited &&
                !can_still_start(machine, slot, {t.job->spec.ref, t.task, slot.attempt}))
                dead.push_back(t);
        }
        for (const auto& t : dead) on_attempt_terminated(*t.job, t.task, 0);
        if (machine.interruption_notice && now <= machine.interruption_at) stop_before_interruption(machine);
    }
    flush_due_ = true;
    for (const auto& job : cancellations_.take_overdue(now, context_.settings().cancel / 2))
        spdlog::warn("event=cancellation_unfinished job={} domain={} token={} for_ms={}", job, shard_,
                     mod_revision_, context_.settings().cancel / 2 / kMillisecond);
    if (const std::string line = startup_.take_log_line(now); !line.empty())
        spdlog::info("domain {}: {}", shard_, line);
    if (active_) {
        drop_stale_records();
        migrate_legacy_record();
        rebalancer_.tick();
    }
    if (std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(), [now](const auto& j) {
            const Job& job = *j.second;
            return job.stage == Stage::Queued && job.dependencies_met && job.unbound > 0 &&
                   (!job.backing_off || now >= job.next_try_at);
        }))
        plan_due_ = true;
    run_pending_work();
}

void ShardOwner::plan() {
    const Micros now = context_.runtime().now();
    startup_.record_waiting(std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(),
                                        [](const auto& j) { return j.second->waiting_tasks() > 0; }),
                            now);
    scheduler_.plan();
}

void ShardOwner::bound(Job& job, int task) {
    startup_.record_bind(context_.runtime().now());
    mark_part_dirty(job, static_cast<std::size_t>(task) / job.tasks_per_part);
}

void ShardOwner::run_pending_work() {
    const Micros now = context_.runtime().now();
    if (active_ && plan_due_) {
        if (now - last_planned_at_ >= kPlanEvery) {
            plan_due_ = false;
            last_planned_at_ = now;
            plan();
        } else {
            context_.runtime().after(last_planned_at_ + kPlanEvery - now, [this, alive = alive_] {
                if (*alive) context_.wake();
            });
        }
    }
    if (active_ && std::exchange(flush_due_, false)) flush_jobs();
    send_orders();
}

/// On a machine that will be taken, work that can save itself is stopped in time, and so is what will hardly
/// be done before: it starts elsewhere now, instead of being in doubt once the machine is silent.
void ShardOwner::stop_before_interruption(Machine& machine) {
    const Micros now = context_.runtime().now();
    const Micros left = std::max<Micros>(machine.interruption_at - now, 0);
    const auto tasks = machine.tasks;
    for (const auto& [job, task] : tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || slot.stop_requested) continue;
        const Micros ran = slot.running_since > 0 ? now - slot.running_since : 0;
        if (job->spec.kind == JobKind::Gang) {
            for (auto& s : job->slots)
                if (s.state == SlotState::Bound) stop(s, job->spec.save + kSecond);
        } else if (job->spec.kind == JobKind::Service || job->spec.checkpoint > 0) {
            stop(slot, job->spec.save + kSecond);
        } else if (job->spec.estimate * 4 / 5 - ran > left) {
            stop(slot, 0);
        }
    }
}

}  // namespace cottonway
