#include "allocation/capacity_broker.hpp"

#include <algorithm>
#include <tuple>

namespace cottonway {

namespace {
constexpr Micros kRequestInterval = 250 * kMillisecond;
constexpr Micros kRequestTimeout = 800 * kMillisecond;

/// Returns the part of a team's quota in a shard that is not in use.
Resources unused_quota(const peer::TeamLoad& team) {
    auto unused = [](Milli share, Milli used) {
        return share == kNoLimit ? 0 : std::max<Milli>(share - used, 0);
    };
    return {unused(team.quota.cores, team.used.cores), unused(team.quota.gpus, team.used.gpus), 0};
}

/// Returns the part of a team's quota in a shard that is neither in use nor needed by waiting tasks.
Resources transferable_quota(const peer::TeamLoad& team) {
    const Resources transferable = unused_quota(team) - team.waiting;
    return {std::max<Milli>(transferable.cores, 0), std::max<Milli>(transferable.gpus, 0), 0};
}
}  // namespace

CapacityBroker::CapacityBroker(Runtime& runtime, const StateCache& cache, const ShardAssignment& assignment,
                               MachineAllocator& machine_allocator, QuotaAllocator& quota_allocator,
                               PeerDirectory& peers)
    : runtime_(runtime),
      cache_(cache),
      assignment_(assignment),
      machine_allocator_(machine_allocator),
      quota_allocator_(quota_allocator),
      peers_(peers),
      machine_request_in_flight_(peers.count()),
      quota_request_in_flight_(peers.count()) {}

void CapacityBroker::tick() {
    const Micros now = runtime_.now();
    if (now - requested_at_ < kRequestInterval || cache_.membership.shards().size() < 2) return;
    requested_at_ = now;
    for (const auto& [name, owner] : assignment_.owners()) {
        if (!owner || !owner->active()) continue;
        if (owner->machines().empty() && !owner->jobs().empty()) {
            transfer_all_jobs(*owner);
            continue;
        }
        if (auto request = owner->capacity_request()) request_machines(*owner, *request);
        for (const auto& [team, missing] : owner->missing_quota_by_team())
            request_quota(*owner, team, missing);
    }
}

/// Transfers all jobs of a shard without machines to the largest target shard.
void CapacityBroker::transfer_all_jobs(ShardOwner& owner) {
    std::string largest;
    for (const auto& target : machine_allocator_.target_shards())
        if (target != owner.shard() && cache_.capacity_of(target) > 0 &&
            (largest.empty() || cache_.capacity_of(target) > cache_.capacity_of(largest)))
            largest = target;
    constexpr Milli kAll = INT64_MAX / 2;
    if (!largest.empty()) owner.transfer_jobs(largest, {kAll, kAll, kAll, kAll});
}

/// Transfers waiting jobs to the shard with the most free capacity, and requests idle machines from the peer
/// that has the most, or else from another shard held by this node.
void CapacityBroker::request_machines(ShardOwner& owner, const peer::CapacityRequest& request) {
    const peer::ShardLoad* freest = nullptr;
    auto free_cores = [&](const peer::ShardLoad& load) {
        return load.free_ordinary + (request.allows_spot ? load.free_spot : 0) - load.waiting;
    };
    std::optional<std::size_t> best_peer;
    Milli most_idle = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh_state(i);
        if (!state) continue;
        for (const auto& load : state->shards) {
            const OwnershipRecord* record = cache_.membership.shard(load.shard);
            if (record && record->mod_revision == load.mod_revision &&
                (!freest || free_cores(load) > free_cores(*freest)))
                freest = &load;
            const Milli idle = load.idle_ordinary + (request.allows_spot ? load.idle_spot : 0);
            if (load.waiting == 0 && idle > most_idle && !machine_request_in_flight_[i]) {
                most_idle = idle;
                best_peer = i;
            }
        }
    }
    // Only half of the free capacity is used, since other shards see the same capacity.
    if (freest && free_cores(*freest) > 0)
        owner.transfer_jobs(freest->shard,
                            {std::max<Milli>(freest->free_ordinary - freest->waiting, 0) / 2,
                             freest->free_spot / 2, freest->idle_ordinary / 2, freest->idle_spot / 2});
    if (best_peer) {
        machine_request_in_flight_[*best_peer] = true;
        peers_.call(*best_peer, peer::pack(request), kRequestTimeout,
                    [this, i = *best_peer](const Reply&) { machine_request_in_flight_[i] = false; });
        return;
    }
    for (const auto& [other, from] : assignment_.owners())
        if (from && other != owner.shard() && from->active() && !from->capacity_request())
            return machine_allocator_.transfer_idle_machines(*from, request, [](const peer::Grant&) {});
}

/// Returns the sum of the unused parts of a team's quota in all other shards.
Resources CapacityBroker::unused_quota_elsewhere(const std::string& shard, const std::string& team) const {
    Resources sum;
    for (std::size_t i = 0; i < peers_.count(); ++i)
        if (const peer::State* state = peers_.fresh_state(i))
            for (const auto& load : state->shards)
                for (const auto& team_load : load.teams)
                    if (team_load.team == team && load.shard != shard) sum += unused_quota(team_load);
    for (const auto& [other, owner] : assignment_.owners())
        if (owner && other != shard && owner->active()) sum += owner->unused_quota(team);
    return sum;
}

/// Returns true if a shard whose own tasks wait for more of a team's quota yields its unused part of it. If
/// several shards each have too little left for one task, none of them can use it. So the unused parts go to
/// the shard that lacks least, which keeps them from moving back and forth, and only if all of them together
/// suffice there.
bool CapacityBroker::should_yield_quota(const ShardOwner& from, const peer::QuotaRequest& request) const {
    // If all unused parts together don't suffice for the requester, they would only be requested back.
    if (!request.amount.fits(unused_quota_elsewhere(request.shard, request.team))) return false;
    const auto lacking = from.smallest_quota_shortfall(request.team);
    if (!lacking || (lacking->cores <= 0 && lacking->gpus <= 0)) return false;  // a task here will use it
    if (!lacking->fits(unused_quota_elsewhere(from.shard(), request.team))) return true;
    return std::tie(request.amount.gpus, request.amount.cores, request.shard) <
           std::tie(lacking->gpus, lacking->cores, from.shard());
}

/// Requests transferable quota. If no shard has any, requests unused quota, which a shard yields only if its
/// own waiting tasks can't use it (see should_yield_quota).
void CapacityBroker::request_quota(const ShardOwner& owner, const std::string& team,
                                   const Resources& missing) {
    const auto lacking = owner.smallest_quota_shortfall(team);
    if (!lacking || request_quota(owner, team, missing, transferable_quota, &ShardOwner::transferable_quota))
        return;
    if (lacking->cores <= 0 && lacking->gpus <= 0) return;
    if (lacking->fits(unused_quota_elsewhere(owner.shard(), team)))
        request_quota(owner, team, *lacking, unused_quota, &ShardOwner::unused_quota);
}

/// Requests quota from the holder of the shard that has most by the given measure: `peer_quota` for shards of
/// peers, `local_quota` for shards held by this node. Returns false if no shard has any.
bool CapacityBroker::request_quota(const ShardOwner& owner, const std::string& team, const Resources& missing,
                                   Resources (*peer_quota)(const peer::TeamLoad&),
                                   Resources (ShardOwner::*local_quota)(const std::string&) const) {
    std::optional<std::size_t> best_peer;
    ShardOwner* best_local = nullptr;
    Milli most = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh_state(i);
        if (!state || quota_request_in_flight_[i]) continue;
        for (const auto& load : state->shards)
            for (const auto& team_load : load.teams)
                if (const Resources quota = peer_quota(team_load);
                    team_load.team == team && quota.cores + quota.gpus > most) {
                    most = quota.cores + quota.gpus;
                    best_peer = i;
                }
    }
    for (const auto& [other, from] : assignment_.owners())
        if (from && other != owner.shard() && from->active())
            if (const Resources quota = (*from.*local_quota)(team); quota.cores + quota.gpus > most) {
                most = quota.cores + quota.gpus;
                best_local = from.get();
            }
    const peer::QuotaRequest request{owner.shard(), owner.mod_revision(), team, missing};
    if (best_local) {
        transfer_quota(*best_local, request, [](const peer::Grant&) {});
    } else if (best_peer) {
        quota_request_in_flight_[*best_peer] = true;
        peers_.call(*best_peer, peer::pack(request), kRequestTimeout,
                    [this, i = *best_peer](const Reply&) { quota_request_in_flight_[i] = false; });
    }
    return best_local || best_peer;
}

/// Transfers the shard's transferable quota, or if it has none and should yield, unused quota.
void CapacityBroker::transfer_quota(ShardOwner& from, const peer::QuotaRequest& request,
                                    std::function<void(peer::Grant)> done) {
    Resources available = from.transferable_quota(request.team);
    if (available.cores + available.gpus <= 0 && should_yield_quota(from, request))
        available = from.unused_quota(request.team);
    quota_allocator_.transfer_quota(from, request, available, std::move(done));
}

/// Grants machines of the shard with the most idle cores, among those held by this node.
void CapacityBroker::grant_machines(const peer::CapacityRequest& request,
                                    std::function<void(peer::Grant)> done) {
    ShardOwner* from = nullptr;
    Milli most_idle = 0;
    for (const auto& [name, owner] : assignment_.owners()) {
        if (!owner || name == request.shard || !owner->active()) continue;
        const auto load = owner->load();
        if (load.waiting > 0) continue;
        if (const Milli idle = load.idle_ordinary + load.idle_spot; idle > most_idle) {
            most_idle = idle;
            from = owner.get();
        }
    }
    if (!from) return done({});
    machine_allocator_.transfer_idle_machines(*from, request, std::move(done));
}

/// Grants quota of the shard with the most transferable quota among those held by this node, or if none has
/// any, of the one that can yield the most unused quota.
void CapacityBroker::grant_quota(const peer::QuotaRequest& request, std::function<void(peer::Grant)> done) {
    ShardOwner* from = nullptr;
    std::pair<Milli, Milli> most;  // transferable quota, and unused quota that the shard should yield
    for (const auto& [name, owner] : assignment_.owners()) {
        if (!owner || name == request.shard || !owner->active()) continue;
        const Resources transferable = owner->transferable_quota(request.team);
        const Resources unused =
            should_yield_quota(*owner, request) ? owner->unused_quota(request.team) : Resources{};
        const std::pair available{transferable.cores + transferable.gpus, unused.cores + unused.gpus};
        if (available > most) {
            most = available;
            from = owner.get();
        }
    }
    if (!from) return done({});
    transfer_quota(*from, request, std::move(done));
}

}  // namespace cottonway
