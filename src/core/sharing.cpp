#include "core/sharing.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace cottonway {

namespace {
/// What of a limit is stored in shares; what has no limit needs none.
Milli to_share(Milli limit) {
    return limit == kNoLimit ? 0 : limit;
}
}  // namespace

void Sharing::first_shares() {
    if (!leadership_.leading() || sharing_first_ || replica_.blocks.all().empty() ||
        feed_.confirmed_ago() > kSecond)
        return;
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::leader, leadership_.term()});
    std::vector<std::pair<std::string, Shares>> next;
    const auto& stored = replica_.shares.all();
    if (stored.empty()) {
        auto targets = leases_.targets();
        if (targets.size() > settings_.txn_ops) targets.resize(settings_.txn_ops);
        if (targets.empty()) return;
        const auto n = static_cast<Milli>(targets.size());
        for (const auto& domain : targets) {
            Shares shares;
            for (const auto& t : settings_.teams)
                shares[t.name] = {to_share(t.limit.cores) / n, to_share(t.limit.cards) / n, 0};
            next.emplace_back(domain, shares);
            change.when.push_back({keys::share + domain, 0});
        }
        for (const auto& t : settings_.teams) {
            next.front().second[t.name].cores += to_share(t.limit.cores) % n;
            next.front().second[t.name].cards += to_share(t.limit.cards) % n;
        }
    } else {
        for (const auto& [domain, held] : stored) {
            const Owner* o = holdings_.find(domain);
            if (!o || replica_.shares.busy(domain)) continue;
            Shares shares = held.shares;
            bool more = false;
            for (const auto& t : settings_.teams) {
                const Resources sum = replica_.shares.shared_out(t.name);
                const Milli cores = to_share(t.limit.cores), cards = to_share(t.limit.cards);
                if (cores <= sum.cores && cards <= sum.cards) continue;
                more = true;
                shares[t.name].cores += std::max<Milli>(cores - sum.cores, 0);
                shares[t.name].cards += std::max<Milli>(cards - sum.cards, 0);
            }
            if (!more) return;
            // Every other share must be as it was when the sum was taken.
            for (const auto& [name, s] : stored) change.when.push_back({keys::share + name, s.mark});
            next.emplace_back(domain, shares);
            break;
        }
        if (next.empty()) return;
    }
    for (const auto& [domain, shares] : next)
        change.then.push_back({keys::share + domain, shares_value(shares)});
    sharing_first_ = true;
    const Revision term = leadership_.term();
    store_.commit(std::move(change), [this, next, term](const CommitResult& r) {
        if (r.status == CommitStatus::Ok)
            for (const auto& [domain, shares] : next) {
                const Value v = shares_value(shares);
                replica_.take(keys::share + domain, &v, r.revision);
            }
        // Carried out after others were made for other domains, the limits would be shared out twice.
        const bool unknown = r.status == CommitStatus::Unknown;
        feed_.after_look([this, term, unknown](bool) {
            sharing_first_ = false;
            if (unknown && replica_.shares.all().empty()) leadership_.close_term(term);
        });
    });
}

/// Without an answer the same change is tried until it is clear whether it was made: meanwhile neither side
/// counts on it.
void Sharing::give(Owner& from, const peer::ShareWant& want, const Resources& spare,
                   std::function<void(peer::Granted)> done) {
    const std::string domain = from.domain();
    ShareBook& book = replica_.shares;
    const auto* ours = book.find(domain);
    const Held* to = replica_.members.domain(want.domain);
    if (!from.active() || !ours || !to || to->mark != want.mark || want.domain == domain ||
        book.busy(domain) || book.busy(want.domain))
        return done({});
    auto part = [](Milli left, Milli asked) { return std::min(left, std::max(asked, left / 2)); };
    const Resources grant{part(spare.cores, std::max<Milli>(want.amount.cores, 0)),
                          part(spare.cards, std::max<Milli>(want.amount.cards, 0)), 0};
    if (grant.cores <= 0 && grant.cards <= 0) return done({});
    Shares less = ours->shares, more;
    Revision their_mark = 0;
    if (const auto* theirs = book.find(want.domain)) {
        more = theirs->shares;
        their_mark = theirs->mark;
    }
    less[want.team] -= grant;
    more[want.team] += grant;
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::domain + domain, from.mark()});
    change.when.push_back({keys::share + domain, ours->mark});
    change.when.push_back({keys::share + want.domain, their_mark});
    change.then.push_back({keys::share + domain, shares_value(less)});
    change.then.push_back({keys::share + want.domain, shares_value(more)});
    change.purpose = "share";
    book.giving(domain, want.domain, want.team, grant);
    spdlog::info("share: {} cores of {} from {} to {}", grant.cores / 1000, want.team, domain, want.domain);
    auto settle = [this, domain, want, grant, less, more, done = std::move(done)](const CommitResult& r) {
        const bool ok = r.status == CommitStatus::Ok;
        if (ok) {
            const Value l = shares_value(less), m = shares_value(more);
            replica_.take(keys::share + domain, &l, r.revision);
            replica_.take(keys::share + want.domain, &m, r.revision);
        }
        replica_.shares.given(domain, want.domain);
        done(ok ? peer::Granted{grant, 0} : peer::Granted{});
    };
    commit_surely(host_, store_, feed_, std::move(change), std::move(settle));
}

}  // namespace cottonway
