#include "allocation/quota_allocator.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"

namespace cottonway {

namespace {
/// What of a limit is stored in shares; what has no limit needs none.
Milli to_share(Milli limit) {
    return limit == kNoLimit ? 0 : limit;
}
}  // namespace

void QuotaAllocator::allocate_initial_quota() {
    if (!election_.leading() || sharing_first_ || cache_.blocks.all().empty() ||
        feed_.confirmed_ago() > kSecond)
        return;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::leader, election_.term()});
    std::vector<std::pair<std::string, QuotaAllocation>> next;
    const auto& stored = cache_.shares.all();
    if (stored.empty()) {
        auto targets = machine_allocator_.targets();
        if (targets.size() > settings_.max_txn_ops) targets.resize(settings_.max_txn_ops);
        if (targets.empty()) return;
        const auto n = static_cast<Milli>(targets.size());
        for (const auto& shard : targets) {
            QuotaAllocation shares;
            for (const auto& t : settings_.teams)
                shares[t.name] = {to_share(t.limit.cores) / n, to_share(t.limit.gpus) / n, 0};
            next.emplace_back(shard, shares);
            change.conditions.push_back({keys::quota + shard, 0});
        }
        for (const auto& t : settings_.teams) {
            next.front().second[t.name].cores += to_share(t.limit.cores) % n;
            next.front().second[t.name].gpus += to_share(t.limit.gpus) % n;
        }
    } else {
        for (const auto& [shard, held] : stored) {
            const ShardOwner* o = assignment_.find(shard);
            if (!o || cache_.shares.busy(shard)) continue;
            QuotaAllocation shares = held.shares;
            bool more = false;
            for (const auto& t : settings_.teams) {
                const Resources sum = cache_.shares.shared_out(t.name);
                const Milli cores = to_share(t.limit.cores), gpus = to_share(t.limit.gpus);
                if (cores <= sum.cores && gpus <= sum.gpus) continue;
                more = true;
                shares[t.name].cores += std::max<Milli>(cores - sum.cores, 0);
                shares[t.name].gpus += std::max<Milli>(gpus - sum.gpus, 0);
            }
            if (!more) return;
            // Every other share must be as it was when the sum was taken.
            for (const auto& [name, s] : stored)
                change.conditions.push_back({keys::quota + name, s.mod_revision});
            next.emplace_back(shard, shares);
            break;
        }
        if (next.empty()) return;
    }
    for (const auto& [shard, shares] : next)
        change.writes.push_back({keys::quota + shard, quota_to_json(shares)});
    sharing_first_ = true;
    const Revision term = election_.term();
    store_.commit(std::move(change), [this, next, term](const CommitResult& r) {
        if (r.status == CommitStatus::Ok)
            for (const auto& [shard, shares] : next) {
                const Json v = quota_to_json(shares);
                cache_.take(keys::quota + shard, &v, r.revision);
            }
        // Carried out after others were made for other shards, the limits would be shared out twice.
        const bool unknown = r.status == CommitStatus::Unknown;
        feed_.after_next_refresh([this, term, unknown](bool) {
            sharing_first_ = false;
            if (unknown && cache_.shares.all().empty()) election_.close_term(term);
        });
    });
}

/// Without an answer the same change is tried until it is clear whether it was made: meanwhile neither side
/// counts on it.
void QuotaAllocator::give(ShardOwner& from, const peer::QuotaRequest& want, const Resources& spare,
                          std::function<void(peer::Grant)> done) {
    const std::string shard = from.shard();
    QuotaCache& book = cache_.shares;
    const auto* ours = book.find(shard);
    const ShardRecord* to = cache_.membership.shard(want.shard);
    if (!from.active() || !ours || !to || to->mod_revision != want.mod_revision || want.shard == shard ||
        book.busy(shard) || book.busy(want.shard))
        return done({});
    auto part = [](Milli left, Milli asked) { return std::min(left, std::max(asked, left / 2)); };
    const Resources grant{part(spare.cores, std::max<Milli>(want.amount.cores, 0)),
                          part(spare.gpus, std::max<Milli>(want.amount.gpus, 0)), 0};
    if (grant.cores <= 0 && grant.gpus <= 0) return done({});
    QuotaAllocation less = ours->shares, more;
    Revision their_mark = 0;
    if (const auto* theirs = book.find(want.shard)) {
        more = theirs->shares;
        their_mark = theirs->mod_revision;
    }
    less[want.team] -= grant;
    more[want.team] += grant;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::shard + shard, from.mod_revision()});
    change.conditions.push_back({keys::quota + shard, ours->mod_revision});
    change.conditions.push_back({keys::quota + want.shard, their_mark});
    change.writes.push_back({keys::quota + shard, quota_to_json(less)});
    change.writes.push_back({keys::quota + want.shard, quota_to_json(more)});
    change.purpose = "share";
    book.giving(shard, want.shard, want.team, grant);
    spdlog::info("share: {} cores of {} from {} to {}", grant.cores / 1000, want.team, shard, want.shard);
    auto settle = [this, shard, want, grant, less, more, done = std::move(done)](const CommitResult& r) {
        const bool ok = r.status == CommitStatus::Ok;
        if (ok) {
            const Json l = quota_to_json(less), m = quota_to_json(more);
            cache_.take(keys::quota + shard, &l, r.revision);
            cache_.take(keys::quota + want.shard, &m, r.revision);
        }
        cache_.shares.given(shard, want.shard);
        done(ok ? peer::Grant{grant, 0} : peer::Grant{});
    };
    commit_until_known(runtime_, store_, feed_, std::move(change), std::move(settle));
}

}  // namespace cottonway
