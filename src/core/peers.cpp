// Workers and other controllers: reports, sending workers to their holder, helping them where they can't
// reach it, and what controllers tell each other.

#include <algorithm>
#include <utility>

#include "core/controller.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kGossipEvery = 500 * kMillisecond;
constexpr Micros kFresh = 2 * kSecond;  // what a peer has told is of use for this long
constexpr Micros kReachable = 1'500 * kMillisecond;
constexpr Micros kBack = 12 * kSecond;  // a worker that is back this soon could not reach its holder
// What a try at a node that can't be reached costs a worker: no response for 4 s, and another second.
constexpr Micros kWorkerTry = 5 * kSecond;
constexpr Micros kRenounceEvery = 500 * kMillisecond;
constexpr Micros kAskEvery = 250 * kMillisecond;
constexpr Micros kPeerTimeout = 800 * kMillisecond;
constexpr Micros kRelayTimeout = 2 * kSecond;

Micros lease_with_drift(const Settings& s) {
    return s.lease + s.lease / 1000 + kSecond;
}

}  // namespace

// ---------------------------------------------------------------- reports

void Controller::report(const std::string& bytes, ApiResponder respond) {
    auto body = wire::decode(bytes);
    auto parsed = body ? wire::parse_report(*body) : std::nullopt;
    if (!parsed) return respond({400, Value::object()});
    const Report& r = *parsed;
    const Block* block = block_of(r.machine);
    if (!block) return unknown_machine(r, std::move(respond));
    if (Owner* o = owner(block->domain)) {
        auto answer = o->on_report(r, authorised());
        if (!answer) return respond(unavailable());
        return respond({200, wire::report_answer(answer->token, answer->orders)});
    }
    help(r, *block, bytes, std::move(respond));
}

/// A machine in no block: the leader leases it, and sends it to the holder of its new block.
void Controller::unknown_machine(const Report& r, ApiResponder respond) {
    if (!leading()) {
        if (leader_.holder != settings_.node && live_.count(leader_.holder))
            return respond({421, wire::redirect(leader_.holder)});
        return respond(unavailable());
    }
    if (!authorised()) return respond(unavailable());
    const bool asked = leasing(r.machine);
    lease_machine(
        {r.machine, r.addr, 0, false, false}, r.type, r.zone, r.spot,
        asked ? std::function<void()>() : [this, r, respond] {
            const Block* block = block_of(r.machine);
            if (!block) return respond(unavailable());
            Owner* o = owner(block->domain);
            if (auto answer = o ? o->on_report(r, authorised()) : std::nullopt)
                return respond({200, wire::report_answer(answer->token, answer->orders)});
            auto d = domains_.find(block->domain);
            if (o || d == domains_.end()) return respond(unavailable());
            respond({421, wire::redirect(d->second.holder)});
        });
    if (asked) respond(unavailable());
}

/// A worker whose holder is another node. It is sent there; if it comes back, it can't reach it: then its
/// report is passed on, and where that fails as well its lease is renewed on the holder's behalf.
void Controller::help(const Report& r, const Block& block, const std::string& bytes, ApiResponder respond) {
    const Micros now = host_.now();
    auto d = domains_.find(block.domain);
    if (d == domains_.end() || d->second.holder == settings_.node) return respond(unavailable());
    const std::string& holder = d->second.holder;
    Visit& visit = visits_[r.machine];
    const auto peer = peer_named(holder);
    if (!peer) return respond(unavailable());
    if (!live_.count(holder)) return stand_in(r, block, respond);
    // Where we can't reach the holder either, another try would only cost the worker its lease.
    if (!peer_reachable(*peer)) return stand_in(r, block, respond);
    // Where the lease leaves no time to find that out, the report is passed on first; the holder tells
    // whether it reaches the worker itself.
    const bool back = visit.sent_on > 0 && now - visit.sent_on < kBack;
    const bool no_time = settings_.lease < settings_.report_every * 5 / 4 + 2 * kWorkerTry + kSecond;
    if (!back && (!no_time || std::exchange(visit.direct, false))) {
        visit.sent_on = now;
        return respond({421, wire::redirect(holder)});
    }
    relay(r, *peer, bytes, std::move(respond));
}

void Controller::relay(const Report& r, std::size_t peer, const std::string& bytes, ApiResponder respond) {
    call_peer(peer, peer::pack(peer::Relay{bytes}), kRelayTimeout,
              [this, r, respond = std::move(respond)](const Reply& reply) {
                  auto relayed = peer::unpack<peer::Relayed>(reply.bytes);
                  if (!relayed) {
                      // The holder may have answered all the same; renewing a lease does no harm then.
                      const Block* block = block_of(r.machine);
                      if (!block || owner(block->domain)) return respond(unavailable());
                      return stand_in(r, *block, respond);
                  }
                  if (relayed->direct) {  // sent there next time
                      visits_[r.machine].sent_on = 0;
                      visits_[r.machine].direct = true;
                  }
                  auto body = wire::decode(relayed->body);
                  if (relayed->status != 200 || !body) return respond(unavailable());
                  respond({200, std::move(*body)});
              });
}

/// Renews a worker's lease on behalf of a holder that neither it nor we can reach, with the holder's own
/// token and no orders but to stop what is over. Safe as long as the holder does not presume the lease to be
/// over: for that it needs our promise not to do this (see `promise`), or our end. Limited by our own
/// authority, so that a cancellation ends every task in time.
void Controller::stand_in(const Report& r, const Block& block, const ApiResponder& respond) {
    const Micros now = host_.now();
    auto d = domains_.find(block.domain);
    Visit& visit = visits_[r.machine];
    // Promises that a former process of this node made are forgotten, so a new one waits until they are over.
    const bool may = announced_ && live_.count(settings_.node) && authorised() && d != domains_.end() &&
                     now - started_ > 2 * lease_with_drift(settings_) && now >= visit.refused_until;
    Revision token = d == domains_.end() ? 0 : d->second.mark;
    bool retired = true;
    for (const auto& m : block.machines)
        if (m.name == r.machine) {
            token = std::max(token, m.token);
            retired = m.retired;
        }
    if (!may || retired || r.token > token) return respond(unavailable());
    std::vector<Order> orders;
    for (const auto& t : r.tasks) {
        const JobView* view = known(t.job);
        if (t.phase != Phase::Exited && view && view->final())
            orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
    }
    if (visit.renewed == 0 || now - visit.renewed > 30 * kSecond)
        spdlog::info("machine {}: kept alive on behalf of {}", r.machine, d->second.holder);
    visit.renewed = now;
    respond({200, wire::report_answer(token, orders)});
}

// ---------------------------------------------------------------- peers

std::optional<std::size_t> Controller::peer_named(const std::string& node) const {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
        if (settings_.peers[i].name == node) return i;
    return std::nullopt;
}

bool Controller::peer_reachable(std::size_t peer) const {
    const auto& p = peers_[peer];
    return p.heard > 0 && host_.listened() - p.heard < kReachable;
}

void Controller::call_peer(std::size_t peer, std::string bytes, Micros timeout,
                           std::function<void(const Reply&)> done) {
    const Endpoint& at = settings_.peers[peer].addr;
    Call call;
    call.target = Target::Peer;
    call.addr = at.host + ":" + std::to_string(at.port);
    call.method = "POST";
    call.path = "/peer";
    call.bytes = std::move(bytes);
    call.timeout = timeout;
    host_.call(std::move(call), [this, peer, done = std::move(done)](const Reply& r) {
        if (r.status == 200) peers_[peer].heard = host_.listened();
        done(r);
    });
}

void Controller::handle_peer(const std::string& bytes, std::function<void(std::string)> respond) {
    const auto kind = peer::kind_of(bytes);
    auto nothing = [&] {
        spdlog::error("a message of a peer is not in the protocol, {} bytes", bytes.size());
        respond("");
    };
    if (!kind) return nothing();
    switch (*kind) {
        case peer::Kind::State: {
            auto m = peer::unpack<peer::State>(bytes);
            if (!m) return nothing();
            heard_state(*m);
            return respond(peer::pack(own_state()));
        }
        case peer::Kind::Renounce: {
            auto m = peer::unpack<peer::Renounce>(bytes);
            if (!m) return nothing();
            return respond(peer::pack(promise(*m)));
        }
        case peer::Kind::Want: {
            auto m = peer::unpack<peer::Want>(bytes);
            if (!m) return nothing();
            // Of ours, the domain with the most idle machines gives.
            Owner* from = nullptr;
            Milli most = 0;
            for (auto& [name, o] : owners_) {
                if (!o || name == m->domain || !o->active()) continue;
                const auto load = o->load();
                if (load.waiting > 0) continue;
                if (const Milli idle = load.idle_ordinary + load.idle_spot; idle > most) {
                    most = idle;
                    from = o.get();
                }
            }
            if (!from) return respond(peer::pack(peer::Granted{}));
            return give_machines(*from, *m, [respond](const peer::Granted& g) { respond(peer::pack(g)); });
        }
        case peer::Kind::Share: {
            auto m = peer::unpack<peer::ShareWant>(bytes);
            if (!m) return nothing();
            Owner* from = nullptr;
            Milli most = 0;
            for (auto& [name, o] : owners_) {
                if (!o || name == m->domain || !o->active()) continue;
                const Resources spare = o->spare_share(m->team);
                if (spare.cores + spare.cards > most) {
                    most = spare.cores + spare.cards;
                    from = o.get();
                }
            }
            if (!from) return respond(peer::pack(peer::Granted{}));
            return give_share(*from, *m, [respond](const peer::Granted& g) { respond(peer::pack(g)); });
        }
        case peer::Kind::Relay: {
            auto m = peer::unpack<peer::Relay>(bytes);
            auto body = m ? wire::decode(m->report) : std::nullopt;
            auto r = body ? wire::parse_report(*body) : std::nullopt;
            if (!r) return nothing();
            const Block* block = block_of(r->machine);
            Owner* o = block ? owner(block->domain) : nullptr;
            auto answer = o ? o->on_report(*r, authorised(), true) : std::nullopt;
            if (!answer) return respond(peer::pack(peer::Relayed{503, false, ""}));
            return respond(peer::pack(peer::Relayed{
                200, answer->direct, wire::encode(wire::report_answer(answer->token, answer->orders))}));
        }
        case peer::Kind::Renounced:
        case peer::Kind::Granted:
        case peer::Kind::Relayed:
            return nothing();  // only ever answers
    }
}

peer::State Controller::own_state() const {
    peer::State s;
    s.node = settings_.node;
    s.confirmed_age = host_.now() - confirmed_;
    if (leading()) s.balance = fleet_.balance();
    for (const auto& [name, o] : owners_)
        if (o && o->active()) s.domains.push_back(o->load());
    return s;
}

void Controller::heard_state(const peer::State& state) {
    if (auto peer = peer_named(state.node)) {
        peers_[*peer].state = state;
        for (const auto& d : state.domains) sent_to_.erase(d.domain);
        peers_[*peer].told = host_.now();
        peers_[*peer].heard = host_.listened();
    }
}

const peer::DomainLoad* Controller::load_of(const std::string& domain) const {
    for (const auto& p : peers_) {
        if (!p.state || host_.now() - p.told > kFresh) continue;
        for (const auto& d : p.state->domains)
            if (d.domain == domain) return &d;
    }
    return nullptr;
}

peer::FleetBalance Controller::balance() const {
    if (leading()) return fleet_.balance();
    for (const auto& p : peers_)
        if (p.state && host_.now() - p.told < kFresh && p.state->balance.term == leader_.mark)
            return p.state->balance;
    return {};
}

/// Tells the others how things are here, and hears the same of them.
void Controller::gossip() {
    const Micros now = host_.now();
    if (!loaded_ || now - gossiped_ < kGossipEvery) return;
    gossiped_ = now;
    std::string packed;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        auto& p = peers_[i];
        // One of the two asks; the other one does where that is not heard of.
        const bool theirs = settings_.peers[i].name < settings_.node;
        if (p.asking || (theirs && now - p.told < 2 * kGossipEvery)) continue;
        p.asking = true;
        if (packed.empty()) packed = peer::pack(own_state());
        call_peer(i, packed, kPeerTimeout, [this, i](const Reply& r) {
            peers_[i].asking = false;
            if (auto state = peer::unpack<peer::State>(r.bytes)) heard_state(*state);
        });
    }
}

/// What we promise: not to renew these machines' leases on their holder's behalf for a while. Told with it is
/// when that may have happened last; of a former process of this node it is not known, but it has ended.
peer::Renounced Controller::promise(const peer::Renounce& ask) {
    const Micros now = host_.now();
    peer::Renounced answer;
    for (const auto& name : ask.machines) {
        Visit& visit = visits_[name];
        visit.refused_until = now + 3 * lease_with_drift(settings_);
        answer.ages.push_back(now - std::max(visit.renewed, started_));
    }
    return answer;
}

/// Asks the others for the promise that a silent machine's lease is not renewed through them.
void Controller::renounce() {
    const Micros now = host_.now();
    if (now - renounced_ < kRenounceEvery) return;
    renounced_ = now;
    for (auto& [name, o] : owners_) {
        if (!o || !o->active()) continue;
        for (std::size_t i = 0; i < peers_.size(); ++i) {
            if (peers_[i].renouncing || !live_.count(settings_.peers[i].name)) continue;
            auto machines = o->to_renounce(i);
            if (machines.size() > peer::kMaxMachines) machines.resize(peer::kMaxMachines);
            if (machines.empty()) continue;
            peers_[i].renouncing = true;
            const std::string packed = peer::pack(peer::Renounce{settings_.node, name, o->mark(), machines});
            call_peer(i, packed, kPeerTimeout,
                      [this, i, name = name, mark = o->mark(), machines, sent = now](const Reply& r) {
                          peers_[i].renouncing = false;
                          auto answer = peer::unpack<peer::Renounced>(r.bytes);
                          Owner* o2 = owner(name);
                          if (!answer || answer->ages.size() != machines.size() || !o2 || o2->mark() != mark)
                              return;
                          const Micros promised = 3 * lease_with_drift(settings_);
                          for (std::size_t m = 0; m < machines.size(); ++m)
                              o2->renounced(i, machines[m],
                                            {sent + promised - promised / 100,
                                             host_.now() - std::max<Micros>(answer->ages[m], 0)});
                      });
        }
    }
}

/// Machines and shares that our waiting tasks need are asked of whoever has the most to spare.
void Controller::ask_for_more() {
    const Micros now = host_.now();
    if (now - asked_for_more_ < kAskEvery || domains_.size() < 2) return;
    asked_for_more_ = now;
    for (auto& [name, o] : owners_) {
        if (!o || !o->active()) continue;
        if (o->machines().empty() && !o->jobs().empty()) {
            // A domain without machines passes its jobs on.
            const auto targets = target_domains();
            std::string to;
            for (const auto& t : targets)
                if (t != name && capacity_of(t) > 0 && (to.empty() || capacity_of(t) > capacity_of(to)))
                    to = t;
            if (!to.empty()) o->rehome(to, INT64_MAX / 2, INT64_MAX / 2);
            continue;
        }
        if (auto want = o->want()) {
            // Room elsewhere: the job goes there. Otherwise idle machines come here.
            const peer::DomainLoad* roomy = nullptr;
            auto room = [&](const peer::DomainLoad& d) {
                return d.free_ordinary + (want->spot ? d.free_spot : 0) - d.waiting;
            };
            for (const auto& p : peers_) {
                if (!p.state || now - p.told > kFresh) continue;
                for (const auto& d : p.state->domains) {
                    auto held = domains_.find(d.domain);
                    if (held == domains_.end() || held->second.mark != d.mark) continue;
                    if (!roomy || room(d) > room(*roomy)) roomy = &d;
                }
            }
            // Half of it, since others look at the same.
            if (roomy && room(*roomy) > 0)
                o->rehome(roomy->domain, std::max<Milli>(roomy->free_ordinary - roomy->waiting, 0) / 2,
                          roomy->free_spot / 2);
            std::optional<std::size_t> best;
            Milli most = 0;
            for (std::size_t i = 0; i < peers_.size(); ++i) {
                const auto& p = peers_[i];
                if (!p.state || now - p.told > kFresh || p.wanting) continue;
                for (const auto& d : p.state->domains) {
                    const Milli idle = d.idle_ordinary + (want->spot ? d.idle_spot : 0);
                    if (d.waiting == 0 && idle > most) {
                        most = idle;
                        best = i;
                    }
                }
            }
            if (best) {
                peers_[*best].wanting = true;
                call_peer(*best, peer::pack(*want), kPeerTimeout,
                          [this, i = *best](const Reply&) { peers_[i].wanting = false; });
            } else {
                // Another domain that is held here.
                for (auto& [other, from] : owners_)
                    if (from && other != name && from->active() && !from->want()) {
                        give_machines(*from, *want, [](const peer::Granted&) {});
                        break;
                    }
            }
        }
        for (const auto& [team, missing] : o->short_of_share()) {
            std::optional<std::size_t> best;
            Owner* local = nullptr;
            Milli most = 0;
            auto spare = [](const peer::TeamLoad& t) {
                auto left = [](Milli share, Milli used, Milli waiting) {
                    return share == kNoLimit ? 0 : std::max<Milli>(share - used - waiting, 0);
                };
                return left(t.share.cores, t.used.cores, t.waiting.cores) +
                       left(t.share.cards, t.used.cards, t.waiting.cards);
            };
            for (std::size_t i = 0; i < peers_.size(); ++i) {
                const auto& p = peers_[i];
                if (!p.state || now - p.told > kFresh || p.sharing) continue;
                for (const auto& d : p.state->domains)
                    for (const auto& t : d.teams)
                        if (t.team == team && spare(t) > most) {
                            most = spare(t);
                            best = i;
                        }
            }
            for (auto& [other, from] : owners_)
                if (from && other != name && from->active())
                    if (const Resources s = from->spare_share(team); s.cores + s.cards > most) {
                        most = s.cores + s.cards;
                        local = from.get();
                    }
            const peer::ShareWant want{name, o->mark(), team, missing};
            if (local) {
                give_share(*local, want, [](const peer::Granted&) {});
            } else if (best) {
                peers_[*best].sharing = true;
                call_peer(*best, peer::pack(want), kPeerTimeout,
                          [this, i = *best](const Reply&) { peers_[i].sharing = false; });
            }
        }
    }
}

}  // namespace cottonway
