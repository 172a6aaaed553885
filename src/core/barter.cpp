#include "core/barter.hpp"

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
    return {left(t.share.cores, t.used.cores), left(t.share.cards, t.used.cards), 0};
}

Resources spare(const peer::TeamLoad& t) {
    const Resources left = unused(t) - t.waiting;
    return {std::max<Milli>(left.cores, 0), std::max<Milli>(left.cards, 0), 0};
}
}  // namespace

Barter::Barter(Host& host, const Replica& replica, const Holdings& holdings, Leases& leases, Sharing& sharing,
               Peers& peers)
    : host_(host),
      replica_(replica),
      holdings_(holdings),
      leases_(leases),
      sharing_(sharing),
      peers_(peers),
      wanting_(peers.count()),
      sharing_with_(peers.count()) {}

void Barter::tick() {
    const Micros now = host_.now();
    if (now - asked_ < kAskEvery || replica_.members.domains().size() < 2) return;
    asked_ = now;
    for (const auto& [name, o] : holdings_.all()) {
        if (!o || !o->active()) continue;
        if (o->machines().empty() && !o->jobs().empty()) {
            pass_jobs_on(*o);
            continue;
        }
        if (auto want = o->want()) ask_for_machines(*o, *want);
        for (const auto& [team, missing] : o->short_of_share()) ask_for_share(*o, team, missing);
    }
}

/// A domain without machines passes its jobs on.
void Barter::pass_jobs_on(Owner& o) {
    std::string to;
    for (const auto& t : leases_.targets())
        if (t != o.domain() && replica_.capacity_of(t) > 0 &&
            (to.empty() || replica_.capacity_of(t) > replica_.capacity_of(to)))
            to = t;
    constexpr Milli kAll = INT64_MAX / 2;
    if (!to.empty()) o.rehome(to, {kAll, kAll, kAll, kAll});
}

/// Room elsewhere: the job goes there. Otherwise idle machines come here.
void Barter::ask_for_machines(Owner& o, const peer::Want& want) {
    const peer::DomainLoad* roomy = nullptr;
    auto room = [&](const peer::DomainLoad& d) {
        return d.free_ordinary + (want.spot ? d.free_spot : 0) - d.waiting;
    };
    std::optional<std::size_t> best;
    Milli most = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh(i);
        if (!state) continue;
        for (const auto& d : state->domains) {
            const Held* held = replica_.members.domain(d.domain);
            if (held && held->mark == d.mark && (!roomy || room(d) > room(*roomy))) roomy = &d;
            const Milli idle = d.idle_ordinary + (want.spot ? d.idle_spot : 0);
            if (d.waiting == 0 && idle > most && !wanting_[i]) {
                most = idle;
                best = i;
            }
        }
    }
    // Half of it, since others look at the same.
    if (roomy && room(*roomy) > 0)
        o.rehome(roomy->domain, {std::max<Milli>(roomy->free_ordinary - roomy->waiting, 0) / 2,
                                 roomy->free_spot / 2, roomy->idle_ordinary / 2, roomy->idle_spot / 2});
    if (best) {
        wanting_[*best] = true;
        peers_.call(*best, peer::pack(want), kTimeout,
                    [this, i = *best](const Reply&) { wanting_[i] = false; });
        return;
    }
    // Another domain that is held here.
    for (const auto& [other, from] : holdings_.all())
        if (from && other != o.domain() && from->active() && !from->want())
            return leases_.give(*from, want, [](const peer::Granted&) {});
}

/// What other domains have of a team's limit and don't use.
Resources Barter::unused_elsewhere(const std::string& domain, const std::string& team) const {
    Resources sum;
    for (std::size_t i = 0; i < peers_.count(); ++i)
        if (const peer::State* state = peers_.fresh(i))
            for (const auto& d : state->domains)
                for (const auto& t : d.teams)
                    if (t.team == team && d.domain != domain) sum += unused(t);
    for (const auto& [other, o] : holdings_.all())
        if (o && other != domain && o->active()) sum += o->unused_share(team);
    return sum;
}

/// Whether a domain in which work waits for a larger part of a team's limit gives away what it has of that.
/// What is too little for a task in each of several domains would be used by none. It gathers where least is
/// lacking, so it goes to and fro nowhere, and not where all of it would be too little.
bool Barter::yields(const Owner& from, const peer::ShareWant& want) const {
    // Where all the pieces would be too little as well, they would only come back.
    if (!want.amount.fits(unused_elsewhere(want.domain, want.team))) return false;
    const auto lacks = from.short_by(want.team);
    if (!lacks || (lacks->cores <= 0 && lacks->cards <= 0)) return false;  // what waits here will use it
    if (!lacks->fits(unused_elsewhere(from.domain(), want.team))) return true;
    return std::tie(want.amount.cards, want.amount.cores, want.domain) <
           std::tie(lacks->cards, lacks->cores, from.domain());
}

void Barter::ask_for_share(const Owner& o, const std::string& team, const Resources& missing) {
    const auto lacks = o.short_by(team);
    if (!lacks || ask_for_share(o, team, missing, spare, &Owner::spare_share)) return;
    if (lacks->cores <= 0 && lacks->cards <= 0) return;
    if (lacks->fits(unused_elsewhere(o.domain(), team)))
        ask_for_share(o, team, *lacks, unused, &Owner::unused_share);
}

/// Of whoever has most by that measure. False if nobody has any.
bool Barter::ask_for_share(const Owner& o, const std::string& team, const Resources& missing,
                           Resources (*has)(const peer::TeamLoad&),
                           Resources (Owner::*ours_has)(const std::string&) const) {
    std::optional<std::size_t> best;
    Owner* local = nullptr;
    Milli most = 0;
    for (std::size_t i = 0; i < peers_.count(); ++i) {
        const peer::State* state = peers_.fresh(i);
        if (!state || sharing_with_[i]) continue;
        for (const auto& d : state->domains)
            for (const auto& t : d.teams)
                if (const Resources r = has(t); t.team == team && r.cores + r.cards > most) {
                    most = r.cores + r.cards;
                    best = i;
                }
    }
    for (const auto& [other, from] : holdings_.all())
        if (from && other != o.domain() && from->active())
            if (const Resources s = (*from.*ours_has)(team); s.cores + s.cards > most) {
                most = s.cores + s.cards;
                local = from.get();
            }
    const peer::ShareWant want{o.domain(), o.mark(), team, missing};
    if (local) {
        give(*local, want, [](const peer::Granted&) {});
    } else if (best) {
        sharing_with_[*best] = true;
        peers_.call(*best, peer::pack(want), kTimeout,
                    [this, i = *best](const Reply&) { sharing_with_[i] = false; });
    }
    return local || best;
}

void Barter::give(Owner& from, const peer::ShareWant& want, std::function<void(peer::Granted)> done) {
    Resources of = from.spare_share(want.team);
    if (of.cores + of.cards <= 0 && yields(from, want)) of = from.unused_share(want.team);
    sharing_.give(from, want, of, std::move(done));
}

/// Of ours, the domain with the most idle machines gives.
void Barter::give_machines(const peer::Want& want, std::function<void(peer::Granted)> done) {
    Owner* from = nullptr;
    Milli most = 0;
    for (const auto& [name, o] : holdings_.all()) {
        if (!o || name == want.domain || !o->active()) continue;
        const auto load = o->load();
        if (load.waiting > 0) continue;
        if (const Milli idle = load.idle_ordinary + load.idle_spot; idle > most) {
            most = idle;
            from = o.get();
        }
    }
    if (!from) return done({});
    leases_.give(*from, want, std::move(done));
}

void Barter::give_share(const peer::ShareWant& want, std::function<void(peer::Granted)> done) {
    Owner* from = nullptr;
    std::pair<Milli, Milli> most;  // to spare, and what no task can use
    for (const auto& [name, o] : holdings_.all()) {
        if (!o || name == want.domain || !o->active()) continue;
        const Resources spare = o->spare_share(want.team);
        const Resources unused = yields(*o, want) ? o->unused_share(want.team) : Resources{};
        const std::pair has{spare.cores + spare.cards, unused.cores + unused.cards};
        if (has > most) {
            most = has;
            from = o.get();
        }
    }
    if (!from) return done({});
    give(*from, want, std::move(done));
}

}  // namespace cottonway
