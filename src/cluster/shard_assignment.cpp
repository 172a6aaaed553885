#include "cluster/shard_assignment.hpp"

#include <utility>

#include "allocation/machine_allocator.hpp"
#include "cluster/failover.hpp"
#include "cluster/job_archiver.hpp"
#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kTransferInterval = 4 * kSecond;
// How long shards acquired at startup may be transferred back after a shorter wait.
constexpr Micros kStartupWindow = 10 * kSecond;
}  // namespace

ShardOwner* ShardAssignment::find(const std::string& shard) const {
    auto it = owners_.find(shard);
    return it == owners_.end() ? nullptr : it->second.get();
}

void ShardAssignment::tick() {
    released_owners_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->tick();
}

void ShardAssignment::run_pending_work() {
    released_owners_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->run_pending_work();
}

void ShardAssignment::shut_down() {
    released_owners_.clear();
    owners_.clear();
}

void ShardAssignment::acquire_shards() {
    const Micros now = context_.runtime().now();
    const std::string& self = context_.settings().node;
    if (!feed_.loaded() || !membership_lease_.is_registered() || cache_.machine_types.empty()) return;
    if (feed_.confirmed_age() > 2 * kSecond) return;  // the cached state may be stale
    if (!cache_.membership.shard(self) && !acquiring_.count(self)) return acquire(self, true);
    recovery::FailoverState state;
    state.self = self;
    state.now = now;
    // A holder that may be restarting gets as long as it takes to notice that a node has failed.
    state.holder_grace = context_.settings().operators.liveness_ttl;
    for (const auto& node : cache_.membership.alive_nodes())
        state.alive[node] = cache_.machine_count_of_node(node);
    state.alive.try_emplace(self, 0);
    std::vector<std::string> to_acquire;
    for (const auto& [name, record] : cache_.membership.shards()) {
        if (find(name)) continue;
        if (acquiring_.count(name)) {
            state.alive[self] += cache_.machine_count_in_shard(name);
        } else if (record.holder == self) {
            // This node's former process is dead, so its shards are acquired at once.
            to_acquire.push_back(name);
        } else if (cache_.membership.is_alive(record.holder)) {
            orphaned_shards_.erase(name);
        } else {
            const auto& orphan =
                orphaned_shards_
                    .try_emplace(name,
                                 OrphanState{now, !cache_.membership.was_confirmed_alive(record.holder)})
                    .first->second;
            state.orphans.push_back(
                {name, cache_.machine_count_in_shard(name), orphan.since, orphan.predates_process});
        }
    }
    for (const auto& name : recovery::shards_to_acquire(state)) {
        if (orphaned_shards_.at(name).predates_process) acquired_at_start_[name] = now;
        to_acquire.push_back(name);
    }
    for (const auto& name : to_acquire) acquire(name, false);
}

void ShardAssignment::acquire(const std::string& name, bool create) {
    acquiring_.insert(name);
    const std::string& self = context_.settings().node;
    const OwnershipRecord before = create ? OwnershipRecord{} : cache_.membership.shards().at(name);
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::shard + name, before.mod_revision});
    change.writes.push_back({keys::shard + name, Json{{"holder", self}}});
    context_.store().commit(
        std::move(change), [this, name, before, self, create](const CommitResult& result) {
            if (result.status != CommitStatus::Ok) {
                // The next refresh shows who holds the shard, and whether this write was executed after all.
                feed_.after_next_refresh([this, name](bool) { acquiring_.erase(name); });
                return;
            }
            acquiring_.erase(name);
            spdlog::info("domain {}: acquired from {}, token {}", name,
                         before.holder.empty() ? "nobody" : before.holder, result.revision);
            if (const OwnershipRecord* record = cache_.membership.shard(name);
                record && record->mod_revision > result.revision)
                return;  // lost again
            cache_.membership.set_shard(name, {self, result.revision});
            // Until its controller lease ends, the former holder may go on answering workers that this node
            // can't reach. This also holds if the former record names this node: another holder may have
            // transferred the shard to it, or this node's own former process may have taken it from another
            // holder just before.
            const Micros former_lease_end =
                context_.runtime().now() + (create ? 0 : controller_lease_duration(context_.settings()));
            auto& owner = owners_[name];
            if (owner) released_owners_.push_back(std::move(owner));
            owner = std::make_unique<ShardOwner>(context_, name, result.revision, former_lease_end);
            for (const auto& [id, block] : cache_.blocks.all())
                if (block.shard == name)
                    for (const auto& machine : block.machines) owner->on_machine(block, machine);
            // No other node can bind tasks in this shard from now on, so the next refresh is complete.
            refresh_and_load(name, result.revision);
            context_.wake();
        });
}

void ShardAssignment::refresh_and_load(const std::string& name, Revision mod_revision) {
    feed_.after_next_refresh([this, name, mod_revision](bool ok) {
        const ShardOwner* owner = find(name);
        if (!owner || owner->mod_revision() != mod_revision) return;
        if (!ok) return refresh_and_load(name, mod_revision);
        verify_jobs(name, mod_revision);
    });
}

/// Verifies that the shard's jobs are unfinished before they are loaded. A record under c/active/ may belong
/// to a job that is finished, since the final record is stored under another key. Loaded as an unfinished
/// job, it would run again.
void ShardAssignment::verify_jobs(const std::string& name, Revision mod_revision) {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : cache_.jobs.live_jobs())
        if (job.shard == name && cache_.jobs.is_unverified(ref)) refs.push_back(ref);
    if (refs.empty()) return load_and_activate(name, mod_revision);
    job_archiver_.verify_unfinished(refs, true, [this, name, mod_revision](bool known) {
        const ShardOwner* owner = find(name);
        if (!owner || owner->mod_revision() != mod_revision) return;
        if (known) return verify_jobs(name, mod_revision);
        context_.runtime().after(100 * kMillisecond,
                                 [this, name, mod_revision] { refresh_and_load(name, mod_revision); });
    });
}

void ShardAssignment::load_and_activate(const std::string& name, Revision mod_revision) {
    ShardOwner* owner = find(name);
    if (!owner || owner->mod_revision() != mod_revision) return;
    for (const auto& [ref, job] : cache_.jobs.live_jobs()) {
        if (job.shard != name) continue;
        owner->on_job(ref, job.record_location, job.record, job.mod_revision);
        owner->on_legacy_revision(ref, job.legacy_revision);
        for (const auto& [part, value] : job.parts) owner->on_part(ref, part, value.first, value.second);
    }
    owner->activate();
    context_.wake();
}

void ShardAssignment::on_shard_record(const std::string& name) {
    orphaned_shards_.erase(name);
    const ShardOwner* owner = find(name);
    const OwnershipRecord& record = cache_.membership.shards().at(name);
    if (!owner || record.mod_revision <= owner->mod_revision()) return;
    spdlog::info("domain {} is held by {} now", name, record.holder);
    release_shard(name);
}

void ShardAssignment::release_shard(const std::string& shard) {
    auto it = owners_.find(shard);
    if (it == owners_.end() || !it->second) return;
    spdlog::info("domain {}: released", shard);
    released_owners_.push_back(std::move(it->second));
    owners_.erase(it);
    context_.store().read(keys::shard + shard, [this, shard](const ReadResult& result) {
        if (result.ok && result.found) cache_.apply(keys::shard + shard, &result.value, result.mod_revision);
    });
    context_.wake();
}

void ShardAssignment::transfer_shards() {
    const Micros now = context_.runtime().now();
    if (now - transferred_at_ < kTransferInterval || feed_.confirmed_age() > kSecond ||
        !machine_allocator_.spreads_machines())
        return;
    const std::string& self = context_.settings().node;
    std::vector<recovery::HeldShard> held;
    for (const auto& [name, owner] : owners_) {
        auto acquired = acquired_at_start_.find(name);
        const bool recently = acquired != acquired_at_start_.end() && now - acquired->second < kStartupWindow;
        if (owner) held.push_back({name, owner->machines().size(), owner->active(), recently});
    }
    if (held.size() < 2) return;
    std::vector<recovery::Receiver> receivers;
    for (const auto& node : cache_.membership.alive_nodes())
        if (node != self && cache_.machine_count_of_node(node) == 0)
            receivers.push_back({node, now - cache_.membership.alive_since(node)});
    auto transfers = recovery::shards_to_transfer(self, std::move(held), std::move(receivers));
    if (transfers.empty()) return;
    if (transfers.size() > context_.settings().max_txn_ops) transfers.resize(context_.settings().max_txn_ops);
    transferred_at_ = now;
    Change change;
    change.priority = Priority::Urgent;
    std::vector<std::pair<std::string, Json>> writes;
    for (const auto& [name, node] : transfers) {
        spdlog::info("domain {}: transferred to {}", name, node);
        change.conditions.push_back({keys::shard + name, find(name)->mod_revision()});
        writes.emplace_back(keys::shard + name, Json{{"holder", node}});
        change.writes.push_back({writes.back().first, writes.back().second});
    }
    context_.store().commit(std::move(change), [this, writes](const CommitResult& result) {
        if (result.status != CommitStatus::Ok) return;
        for (const auto& [key, record] : writes) cache_.apply(key, &record, result.revision);
    });
}

}  // namespace cottonway
