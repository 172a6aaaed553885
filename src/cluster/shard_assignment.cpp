#include "cluster/shard_assignment.hpp"

#include <utility>

#include "allocation/machine_allocator.hpp"
#include "cluster/failover.hpp"
#include "cluster/job_archiver.hpp"
#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kHandOverEvery = 4 * kSecond;
constexpr Micros kAtStart = 10 * kSecond;  // what was taken at our start is given back sooner for this long
}  // namespace

ShardOwner* ShardAssignment::find(const std::string& shard) const {
    auto it = owners_.find(shard);
    return it == owners_.end() ? nullptr : it->second.get();
}

void ShardAssignment::tick() {
    retired_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->tick();
}

void ShardAssignment::work() {
    retired_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->work();
}

void ShardAssignment::end() {
    retired_.clear();
    owners_.clear();
}

void ShardAssignment::rebalance_shards() {
    const Micros now = context_.runtime().now();
    const std::string& self = context_.settings().node;
    if (!feed_.loaded() || !membership_lease_.announced() || cache_.types.empty()) return;
    if (feed_.confirmed_ago() > 2 * kSecond) return;  // what is known may be old
    if (!cache_.membership.shard(self) && !acquiring_.count(self)) return acquire(self, true);
    recovery::FailoverState s;
    s.self = self;
    s.now = now;
    // As long as any other end takes to be noticed.
    s.come_back = context_.settings().operators.liveness_ttl;
    for (const auto& node : cache_.membership.alive()) s.alive[node] = cache_.machines_at(node);
    s.alive.try_emplace(self, 0);
    std::vector<std::string> ours;
    for (const auto& [name, d] : cache_.membership.shards()) {
        if (find(name)) continue;
        if (acquiring_.count(name)) {
            s.alive[self] += cache_.machines_in(name);
        } else if (d.holder == self) {
            // A new process knows that its own former one is dead and takes its shards back at once.
            ours.push_back(name);
        } else if (cache_.membership.alive(d.holder)) {
            ownerless_.erase(name);
        } else {
            const auto& o =
                ownerless_.try_emplace(name, Orphaned{now, !cache_.membership.ever_heard(d.holder)})
                    .first->second;
            s.orphans.push_back({name, cache_.machines_in(name), o.since, o.before_us});
        }
    }
    for (const auto& name : recovery::shards_to_take(s)) {
        if (ownerless_.at(name).before_us) taken_at_start_[name] = now;
        ours.push_back(name);
    }
    for (const auto& name : ours) acquire(name, false);
}

void ShardAssignment::acquire(const std::string& name, bool create) {
    acquiring_.insert(name);
    const std::string& self = context_.settings().node;
    const ShardRecord before = create ? ShardRecord{} : cache_.membership.shards().at(name);
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::shard + name, before.mod_revision});
    change.writes.push_back({keys::shard + name, Json{{"holder", self}}});
    context_.store().commit(std::move(change), [this, name, before, self, create](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) {
            // The news tells who holds it, and whether our change was carried out after all.
            feed_.after_next_refresh([this, name](bool) { acquiring_.erase(name); });
            return;
        }
        acquiring_.erase(name);
        spdlog::info("domain {}: acquired from {}, token {}", name,
                     before.holder.empty() ? "nobody" : before.holder, r.revision);
        if (const ShardRecord* d = cache_.membership.shard(name); d && d->mod_revision > r.revision)
            return;  // lost again
        cache_.membership.set_shard(name, {self, r.revision});
        // Whoever held it before may still answer workers that we can't reach. That the record names this
        // node tells nothing: it may have been handed over by another, or been taken from another just now
        // by our own former process.
        const Micros former_end =
            context_.runtime().now() + (create ? 0 : controller_lease_duration(context_.settings()));
        auto& held = owners_[name];
        if (held) retired_.push_back(std::move(held));
        held = std::make_unique<ShardOwner>(context_, name, r.revision, former_end);
        for (const auto& [id, block] : cache_.blocks.all())
            if (block.shard == name)
                for (const auto& m : block.machines) held->on_machine(block, m);
        // From here on nobody else binds in this shard, so what the next look tells is complete.
        activate(name, r.revision);
        context_.wake();
    });
}

void ShardAssignment::activate(const std::string& name, Revision mod_revision) {
    feed_.after_next_refresh([this, name, mod_revision](bool ok) {
        const ShardOwner* o = find(name);
        if (!o || o->mod_revision() != mod_revision) return;
        if (!ok) return activate(name, mod_revision);
        prove_jobs(name, mod_revision);
    });
}

/// What was read under c/active/ may be over: its final record stands elsewhere. Taken for a job that goes
/// on, it would run once more.
void ShardAssignment::prove_jobs(const std::string& name, Revision mod_revision) {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : cache_.jobs.live())
        if (job.shard == name && cache_.jobs.unproven(ref)) refs.push_back(ref);
    if (refs.empty()) return begin(name, mod_revision);
    history_.prove(refs, true, [this, name, mod_revision](bool known) {
        const ShardOwner* o = find(name);
        if (!o || o->mod_revision() != mod_revision) return;
        if (known) return prove_jobs(name, mod_revision);
        context_.runtime().after(100 * kMillisecond,
                                 [this, name, mod_revision] { activate(name, mod_revision); });
    });
}

void ShardAssignment::begin(const std::string& name, Revision mod_revision) {
    ShardOwner* o = find(name);
    if (!o || o->mod_revision() != mod_revision) return;
    for (const auto& [ref, job] : cache_.jobs.live()) {
        if (job.shard != name) continue;
        o->on_job(ref, job.place, job.record, job.mod_revision);
        o->on_legacy_revision(ref, job.legacy_revision);
        for (const auto& [part, value] : job.parts) o->on_part(ref, part, value.first, value.second);
    }
    o->activate();
    context_.wake();
}

void ShardAssignment::on_shard(const std::string& name) {
    ownerless_.erase(name);
    const ShardOwner* o = find(name);
    const ShardRecord& held = cache_.membership.shards().at(name);
    if (!o || held.mod_revision <= o->mod_revision()) return;
    spdlog::info("domain {} is held by {} now", name, held.holder);
    release_shard(name);
}

void ShardAssignment::release_shard(const std::string& shard) {
    auto it = owners_.find(shard);
    if (it == owners_.end() || !it->second) return;
    spdlog::info("domain {}: given up", shard);
    retired_.push_back(std::move(it->second));
    owners_.erase(it);
    context_.store().read(keys::shard + shard, [this, shard](const ReadResult& r) {
        if (r.ok && r.found) cache_.take(keys::shard + shard, &r.value, r.mod_revision);
    });
    context_.wake();
}

void ShardAssignment::transfer_shards() {
    const Micros now = context_.runtime().now();
    if (now - handed_over_at_ < kHandOverEvery || feed_.confirmed_ago() > kSecond ||
        !machine_allocator_.spread_out())
        return;
    const std::string& self = context_.settings().node;
    std::vector<recovery::Holding> held;
    for (const auto& [name, o] : owners_) {
        auto taken = taken_at_start_.find(name);
        const bool at_start = taken != taken_at_start_.end() && now - taken->second < kAtStart;
        if (o) held.push_back({name, o->machines().size(), o->active(), at_start});
    }
    if (held.size() < 2) return;
    std::vector<recovery::Receiver> receivers;
    for (const auto& node : cache_.membership.alive())
        if (node != self && cache_.machines_at(node) == 0)
            receivers.push_back({node, now - cache_.membership.alive_since(node)});
    auto moves = recovery::shards_to_transfer(self, std::move(held), std::move(receivers));
    if (moves.empty()) return;
    if (moves.size() > context_.settings().max_txn_ops) moves.resize(context_.settings().max_txn_ops);
    handed_over_at_ = now;
    Change change;
    change.priority = Priority::Urgent;
    std::vector<std::pair<std::string, Json>> writes;
    for (const auto& [name, node] : moves) {
        spdlog::info("domain {}: handed over to {}", name, node);
        change.conditions.push_back({keys::shard + name, find(name)->mod_revision()});
        writes.emplace_back(keys::shard + name, Json{{"holder", node}});
        change.writes.push_back({writes.back().first, writes.back().second});
    }
    context_.store().commit(std::move(change), [this, writes](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) return;
        for (const auto& [key, record] : writes) cache_.take(key, &record, r.revision);
    });
}

}  // namespace cottonway
