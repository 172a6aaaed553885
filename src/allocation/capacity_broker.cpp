#include "allocation/capacity_broker.hpp"

#include <algorithm>
#include <tuple>

namespace cottonway {

namespace {
constexpr Micros kAskEvery = 250 * kMillisecond;
constexpr Micros kTimeout = 800 * kMillisecond;

Resources unused(const peer::TeamLoad& t) {
    auto left = [](Milli share, Milli used) {
        return share == kNoLimit ? 0 : std::max<Milli>(share - used, 0);
    };
    return {left(t.quota.cores, t.used.cores), left(t.quota.gpus, t.used.gpus), 0};
}

Resources spare(const peer::TeamLoad& t) {
    const Resources left = unused(t) - t.waiting;
    return {std::max<Milli>(left.cores, 0), std::max<Milli>(left.gpus, 0), 0};
}
}  // namespace

CapacityBroker::CapacityBroker(Runtime& runtime, const StateCache& cache, const ShardAssignment& assignment,
                               MachineAllocator& machine_allocator, QuotaAllocator& sharing,
                               PeerDirectory& peers)
    : runtime_(runtime),
      cache_(cache),
      assignment_(assignment),
      machine_allocator_(machine_allocator),
      quota_allocator_(sharing),
      peers_(peers),
      wanting_(peers.count()),
      sharing_with_(peers.count()) {}

void CapacityBroker::tick() {
    const Micros now = runtime_.now();
    if (now - asked_ < kAskEvery || cache_.membership.shards().size() < 2) return;
    asked_ = now;
    for (const auto& [name, o] : assignment_.all()) {
        if (!o || !o->active()) continue;
        if (o->machines().empty() && !o->jobs().empty()) {
            transfer_all_jobs(*o);
            continue;
        }
        if (auto want = o->want()) request_machines(*o, *want);
        for (const auto& [team, missing] : o->short_of_quota()) request_quota(*o, team, missing);
    }
}

/// A shard without machines passes its jobs on.
void CapacityBroker::transfer_all_jobs(ShardOwner& o) {
    std::string to;
    for (const auto& t : machine_allocator_.targets())
        if (t != o.shard() && cache_.capacity_of(t) > 0 &&
            (to.empty() || cache_.capacity_of(t) > cache_.capacity_of(to)))
            to = t;
    constexpr Milli kAll = INT64_MAX / 2;
    if (!to.empty()) o.transfer_jobs(to, {kAll, kAll, kAll, kAll});
}

/// Room elsewhere: the job goes there. Otherwise idle machines come here.
void CapacityBroker::request_machines(ShardOwner& o, const peer::CapacityRequest& want) {
    const peer::ShardLoad* roomy = nullptr;
    auto room = [&](const peer::ShardLoad& d) {
        return d.free_ordinary + (want.allows_spot ? d.free_spot : 0) - d.waiting;
    };
    std::optional<std::size_t> best;
    Milli most = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh(i);
        if (!state) continue;
        for (const auto& d : state->shards) {
            const ShardRecord* held = cache_.membership.shard(d.shard);
            if (held && held->mod_revision == d.mod_revision && (!roomy || room(d) > room(*roomy)))
                roomy = &d;
            const Milli idle = d.idle_ordinary + (want.allows_spot ? d.idle_spot : 0);
            if (d.waiting == 0 && idle > most && !wanting_[i]) {
                most = idle;
                best = i;
            }
        }
    }
    // Half of it, since others look at the same.
    if (roomy && room(*roomy) > 0)
        o.transfer_jobs(roomy->shard, {std::max<Milli>(roomy->free_ordinary - roomy->waiting, 0) / 2,
                                       roomy->free_spot / 2, roomy->idle_ordinary / 2, roomy->idle_spot / 2});
    if (best) {
        wanting_[*best] = true;
        peers_.call(*best, peer::pack(want), kTimeout,
                    [this, i = *best](const Reply&) { wanting_[i] = false; });
        return;
    }
    // Another shard that is held here.
    for (const auto& [other, from] : assignment_.all())
        if (from && other != o.shard() && from->active() && !from->want())
            return machine_allocator_.give(*from, want, [](const peer::Grant&) {});
}

/// What other shards have of a team's limit and don't use.
Resources CapacityBroker::unused_elsewhere(const std::string& shard, const std::string& team) const {
    Resources sum;
    for (std::size_t i = 0; i < peers_.count(); ++i)
        if (const peer::State* state = peers_.fresh(i))
            for (const auto& d : state->shards)
                for (const auto& t : d.teams)
                    if (t.team == team && d.shard != shard) sum += unused(t);
    for (const auto& [other, o] : assignment_.all())
        if (o && other != shard && o->active()) sum += o->unused_quota(team);
    return sum;
}

/// Whether a shard in which work waits for a larger part of a team's limit gives away what it has of that.
/// What is too little for a task in each of several shards would be used by none. It gathers where least is
/// lacking, so it goes to and fro nowhere, and not where all of it would be too little.
bool CapacityBroker::yields(const ShardOwner& from, const peer::QuotaRequest& want) const {
    // Where all the pieces would be too little as well, they would only come back.
    if (!want.amount.fits(unused_elsewhere(want.shard, want.team))) return false;
    const auto lacks = from.short_by(want.team);
    if (!lacks || (lacks->cores <= 0 && lacks->gpus <= 0)) return false;  // what waits here will use it
    if (!lacks->fits(unused_elsewhere(from.shard(), want.team))) return true;
    return std::tie(want.amount.gpus, want.amount.cores, want.shard) <
           std::tie(lacks->gpus, lacks->cores, from.shard());
}

void CapacityBroker::request_quota(const ShardOwner& o, const std::string& team, const Resources& missing) {
    const auto lacks = o.short_by(team);
    if (!lacks || request_quota(o, team, missing, spare, &ShardOwner::spare_quota)) return;
    if (lacks->cores <= 0 && lacks->gpus <= 0) return;
    if (lacks->fits(unused_elsewhere(o.shard(), team)))
        request_quota(o, team, *lacks, unused, &ShardOwner::unused_quota);
}

/// Of whoever has most by that measure. False if nobody has any.
bool CapacityBroker::request_quota(const ShardOwner& o, const std::string& team, const Resources& missing,
                                   Resources (*has)(const peer::TeamLoad&),
                                   Resources (ShardOwner::*ours_has)(const std::string&) const) {
    std::optional<std::size_t> best;
    ShardOwner* local = nullptr;
    Milli most = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh(i);
        if (!state || sharing_with_[i]) continue;
        for (const auto& d : state->shards)
            for (const auto& t : d.teams)
                if (const Resources r = has(t); t.team == team && r.cores + r.gpus > most) {
                    most = r.cores + r.gpus;
                    best = i;
                }
    }
    for (const auto& [other, from] : assignment_.all())
        if (from && other != o.shard() && from->active())
            if (const Resources s = (*from.*ours_has)(team); s.cores + s.gpus > most) {
                most = s.cores + s.gpus;
                local = from.get();
            }
    const peer::QuotaRequest want{o.shard(), o.mod_revision(), team, missing};
    if (local) {
        give(*local, want, [](const peer::Grant&) {});
    } else if (best) {
        sharing_with_[*best] = true;
        peers_.call(*best, peer::pack(want), kTimeout,
                    [this, i = *best](const Reply&) { sharing_with_[i] = false; });
    }
    return local || best;
}

void CapacityBroker::give(ShardOwner& from, const peer::QuotaRequest& want,
                          std::function<void(peer::Grant)> done) {
    Resources of = from.spare_quota(want.team);
    if (of.cores + of.gpus <= 0 && yields(from, want)) of = from.unused_quota(want.team);
    quota_allocator_.give(from, want, of, std::move(done));
}

/// Of ours, the shard with the most idle machines gives.
void CapacityBroker::grant_machines(const peer::CapacityRequest& want,
                                    std::function<void(peer::Grant)> done) {
    ShardOwner* from = nullptr;
    Milli most = 0;
    for (const auto& [name, o] : assignment_.all()) {
        if (!o || name == want.shard || !o->active()) continue;
        const auto load = o->load();
        if (load.waiting > 0) continue;
        if (const Milli idle = load.idle_ordinary + load.idle_spot; idle > most) {
            most = idle;
            from = o.get();
        }
    }
    if (!from) return done({});
    machine_allocator_.give(*from, want, std::move(done));
}

void CapacityBroker::grant_quota(const peer::QuotaRequest& want, std::function<void(peer::Grant)> done) {
    ShardOwner* from = nullptr;
    std::pair<Milli, Milli> most;  // to spare, and what no task can use
    for (const auto& [name, o] : assignment_.all()) {
        if (!o || name == want.shard || !o->active()) continue;
        const Resources spare = o->spare_quota(want.team);
        const Resources unused = yields(*o, want) ? o->unused_quota(want.team) : Resources{};
        const std::pair has{spare.cores + spare.gpus, unused.cores + unused.gpus};
        if (has > most) {
            most = has;
            from = o.get();
        }
    }
    if (!from) return done({});
    give(*from, want, std::move(done));
}

}  // namespace cottonway
