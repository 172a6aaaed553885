#include "allocation/quota_allocator.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"

namespace cottonway {

namespace {
/// Returns the amount of a limit that is distributed over shares: none of a resource without a limit.
Milli distributed_amount(Milli limit) {
    return limit == kNoLimit ? 0 : limit;
}
}  // namespace

void QuotaAllocator::allocate_initial_quota() {
    if (!election_.is_leader() || allocating_ || cache_.blocks.all().empty() ||
        feed_.confirmed_age() > kSecond)
        return;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::leader, election_.term()});
    std::vector<std::pair<std::string, QuotaAllocation>> next;
    const auto& stored = cache_.quotas.all();
    if (stored.empty()) {
        auto targets = machine_allocator_.target_shards();
        if (targets.size() > settings_.max_txn_ops) targets.resize(settings_.max_txn_ops);
        if (targets.empty()) return;
        const auto target_count = static_cast<Milli>(targets.size());
        for (const auto& shard : targets) {
            QuotaAllocation shares;
            for (const auto& team : settings_.teams)
                shares[team.name] = {distributed_amount(team.limit.cores) / target_count,
                                     distributed_amount(team.limit.gpus) / target_count, 0};
            next.emplace_back(shard, shares);
            change.conditions.push_back({keys::quota + shard, 0});
        }
        for (const auto& team : settings_.teams) {
            next.front().second[team.name].cores += distributed_amount(team.limit.cores) % target_count;
            next.front().second[team.name].gpus += distributed_amount(team.limit.gpus) % target_count;
        }
    } else {
        for (const auto& [shard, held] : stored) {
            const ShardOwner* owner = assignment_.find(shard);
            if (!owner || cache_.quotas.is_transferring(shard)) continue;
            QuotaAllocation shares = held.allocation;
            bool raised = false;
            for (const auto& team : settings_.teams) {
                const Resources sum = cache_.quotas.total_allocated(team.name);
                const Milli cores = distributed_amount(team.limit.cores),
                            gpus = distributed_amount(team.limit.gpus);
                if (cores <= sum.cores && gpus <= sum.gpus) continue;
                raised = true;
                shares[team.name].cores += std::max<Milli>(cores - sum.cores, 0);
                shares[team.name].gpus += std::max<Milli>(gpus - sum.gpus, 0);
            }
            if (!raised) return;
            // Conditional on every share, since the sum was computed from all of them.
            for (const auto& [name, share] : stored)
                change.conditions.push_back({keys::quota + name, share.mod_revision});
            next.emplace_back(shard, shares);
            break;
        }
        if (next.empty()) return;
    }
    for (const auto& [shard, shares] : next)
        change.writes.push_back({keys::quota + shard, quota_to_json(shares)});
    allocating_ = true;
    const Revision term = election_.term();
    store_.commit(std::move(change), [this, next, term](const CommitResult& result) {
        if (result.status == CommitStatus::Ok)
            for (const auto& [shard, shares] : next) {
                const Json value = quota_to_json(shares);
                cache_.apply(keys::quota + shard, &value, result.revision);
            }
        // If this write were executed after first shares were created for other shards, the limits would be
        // allocated twice. A new term makes it fail.
        const bool unknown = result.status == CommitStatus::Unknown;
        feed_.after_next_refresh([this, term, unknown](bool) {
            allocating_ = false;
            if (unknown && cache_.quotas.all().empty()) election_.abandon_term(term);
        });
    });
}

/// A change without an answer is retried until its outcome is known. Until then neither shard counts the
/// transferred part as its own.
void QuotaAllocator::transfer_quota(ShardOwner& from, const peer::QuotaRequest& request,
                                    const Resources& offered, std::function<void(peer::Grant)> done) {
    const std::string shard = from.shard();
    QuotaCache& shares = cache_.quotas;
    const auto* stored_from = shares.find(shard);
    const OwnershipRecord* receiver = cache_.membership.shard(request.shard);
    if (!from.active() || !stored_from || !receiver || receiver->mod_revision != request.mod_revision ||
        request.shard == shard || shares.is_transferring(shard) || shares.is_transferring(request.shard))
        return done({});
    auto granted = [](Milli available, Milli requested) {
        return std::min(available, std::max(requested, available / 2));
    };
    const Resources grant{granted(offered.cores, std::max<Milli>(request.amount.cores, 0)),
                          granted(offered.gpus, std::max<Milli>(request.amount.gpus, 0)), 0};
    if (grant.cores <= 0 && grant.gpus <= 0) return done({});
    QuotaAllocation new_from = stored_from->allocation, new_receiver;
    Revision receiver_revision = 0;
    if (const auto* stored_receiver = shares.find(request.shard)) {
        new_receiver = stored_receiver->allocation;
        receiver_revision = stored_receiver->mod_revision;
    }
    new_from[request.team] -= grant;
    new_receiver[request.team] += grant;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::shard + shard, from.mod_revision()});
    change.conditions.push_back({keys::quota + shard, stored_from->mod_revision});
    change.conditions.push_back({keys::quota + request.shard, receiver_revision});
    change.writes.push_back({keys::quota + shard, quota_to_json(new_from)});
    change.writes.push_back({keys::quota + request.shard, quota_to_json(new_receiver)});
    change.purpose = "share";
    shares.begin_transfer(shard, request.shard, request.team, grant);
    spdlog::info("share: {} cores of {} from {} to {}", grant.cores / 1000, request.team, shard,
                 request.shard);
    auto finish = [this, shard, request, grant, new_from, new_receiver,
                   done = std::move(done)](const CommitResult& result) {
        const bool ok = result.status == CommitStatus::Ok;
        if (ok) {
            const Json from_value = quota_to_json(new_from), receiver_value = quota_to_json(new_receiver);
            cache_.apply(keys::quota + shard, &from_value, result.revision);
            cache_.apply(keys::quota + request.shard, &receiver_value, result.revision);
        }
        cache_.quotas.end_transfer(shard, request.shard);
        done(ok ? peer::Grant{grant, 0} : peer::Grant{});
    };
    commit_until_outcome_known(runtime_, store_, feed_, std::move(change), std::move(finish));
}

}  // namespace cottonway
