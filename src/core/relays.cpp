#include "core/relays.hpp"

#include <algorithm>
#include <utility>

#include "core/authority.hpp"
#include "log/log.hpp"
#include "recovery/squaring.hpp"

namespace cottonway {

namespace {
constexpr Micros kBack = 12 * kSecond;  // a worker that is back this soon could not reach its holder
// What a try at a node that can't be reached costs a worker: no response for 4 s, and another second.
constexpr Micros kWorkerTry = 5 * kSecond;
constexpr Micros kRenounceEvery = 500 * kMillisecond;
constexpr Micros kPeerTimeout = 800 * kMillisecond;
constexpr Micros kRelayTimeout = 2 * kSecond;
constexpr Micros kMeetTimeout = kSecond;
constexpr std::size_t kMostMet = 64;  // machines in no block that are called at a time
constexpr Micros kForgotten = 2;      // leases, until what a former process promised counts no more
}  // namespace

Relays::Relays(Host& host, const Settings& settings, const Feed& feed, const Replica& replica,
               const Presence& presence, const Holdings& holdings, const Leadership& leadership,
               Leases& leases, Peers& peers)
    : host_(host),
      settings_(settings),
      feed_(feed),
      replica_(replica),
      presence_(presence),
      holdings_(holdings),
      leadership_(leadership),
      leases_(leases),
      peers_(peers),
      in_flight_(settings.peers.size()),
      started_(host.now()) {}

bool Relays::authorised() const {
    return entitled(feed_.confirmed_ago(), settings_);
}

std::optional<ApiResponse> Relays::answer(Owner& owner, const Report& r) const {
    auto answer = owner.on_report(r);
    if (!answer) return std::nullopt;
    return ApiResponse{200, wire::report_answer(answer->token, answer->orders)};
}

void Relays::report(const std::string& bytes, ApiResponder respond) {
    auto body = wire::decode(bytes);
    auto parsed = body ? wire::parse_report(*body) : std::nullopt;
    if (!parsed) return respond({400, Value::object()});
    const Report& r = *parsed;
    const Block* block = replica_.blocks.of(r.machine);
    if (!block) return unknown_machine(r, std::move(respond));
    if (Owner* o = holdings_.find(block->domain)) return respond(answer(*o, r).value_or(unavailable()));
    help(r, *block, bytes, std::move(respond));
}

/// A machine in no block: the leader leases it once it has answered a call. Its report may be all that is
/// left of it, and a process that has started since does not know that it was returned.
void Relays::unknown_machine(const Report& r, ApiResponder respond) {
    if (!leadership_.leading()) {
        const std::string& leader = leadership_.leader();
        if (leader != settings_.node && replica_.members.alive(leader))
            return respond({421, wire::redirect(leader)});
        return respond(unavailable());
    }
    const bool asks = !leases_.leasing(r.machine) && !r.addr.empty() && meeting_.size() < kMostMet;
    if (!authorised() || leases_.returned(r.machine) || !asks || !meeting_.insert(r.machine).second)
        return respond(unavailable());
    Call call;
    call.target = Target::Worker;
    call.addr = r.addr;
    call.timeout = kMeetTimeout;
    call.method = "GET";
    call.path = "/show";
    host_.call(std::move(call), [this, r, respond = std::move(respond)](const Reply& reply) {
        meeting_.erase(r.machine);
        const auto shown = reply.status == 200 ? wire::parse_report(reply.body) : std::nullopt;
        const bool there = shown && shown->machine == r.machine;
        if (!there || !leadership_.leading() || !authorised() || replica_.blocks.of(r.machine))
            return respond(unavailable());
        lease(r, respond);
    });
}

/// Leases a machine, answers its report if its block is ours, or sends it to the holder.
void Relays::lease(const Report& r, const ApiResponder& respond) {
    if (leases_.leasing(r.machine)) return respond(unavailable());
    leases_.lease({r.machine, r.addr, 0, false, false}, r.type, r.zone, r.spot, [this, r, respond] {
        const Block* block = replica_.blocks.of(r.machine);
        if (!block) return respond(unavailable());
        Owner* o = holdings_.find(block->domain);
        if (auto a = o ? answer(*o, r) : std::nullopt) return respond(std::move(*a));
        const Held* d = replica_.members.domain(block->domain);
        if (o || !d) return respond(unavailable());
        respond({421, wire::redirect(d->holder)});
    });
}

/// A worker whose holder is another node. It is sent there; if it comes back, it can't reach it: then its
/// report is passed on, and where that fails as well its lease is renewed on the holder's behalf.
void Relays::help(const Report& r, const Block& block, const std::string& bytes, ApiResponder respond) {
    const Micros now = host_.now();
    const Held* d = replica_.members.domain(block.domain);
    if (!d || d->holder == settings_.node) return respond(unavailable());
    Visit& visit = visits_[r.machine];
    // A worker has one report in flight, so one that is older than another, or its copy, was given up:
    // nothing that it is answered arrives, and taken for a renewal it would only keep tasks in doubt.
    if (!recovery::is_news({r.session, r.seq}, {visit.session, visit.seq}, 0)) return respond(unavailable());
    visit.session = r.session;
    visit.seq = r.seq;
    const auto peer = peers_.named(d->holder);
    if (!peer) return respond(unavailable());
    if (!replica_.members.alive(d->holder)) return stand_in(r, block, respond);
    // Where we can't reach the holder either, another try would only cost the worker its lease.
    if (!peers_.reachable(*peer)) return stand_in(r, block, respond);
    // Where the lease leaves no time to find that out, the report is passed on first; the holder tells
    // whether it reaches the worker itself.
    const bool back = visit.sent_on > 0 && now - visit.sent_on < kBack;
    const bool no_time = settings_.lease < settings_.report_every * 5 / 4 + 2 * kWorkerTry + kSecond;
    if (!back && (!no_time || std::exchange(visit.direct, false))) {
        visit.sent_on = now;
        return respond({421, wire::redirect(d->holder)});
    }
    relay(r, *peer, bytes, std::move(respond));
}

void Relays::relay(const Report& r, std::size_t peer, const std::string& bytes, ApiResponder respond) {
    peers_.call(peer, peer::pack(peer::Relay{bytes}), kRelayTimeout,
                [this, r, respond = std::move(respond)](const Reply& reply) {
                    auto relayed = peer::unpack<peer::Relayed>(reply.bytes);
                    if (!relayed) {
                        // The holder may have answered all the same; renewing a lease does no harm then.
                        const Block* block = replica_.blocks.of(r.machine);
                        if (!block || holdings_.find(block->domain)) return respond(unavailable());
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

std::optional<peer::Relayed> Relays::relayed(const peer::Relay& message) {
    auto body = wire::decode(message.report);
    auto r = body ? wire::parse_report(*body) : std::nullopt;
    if (!r) return std::nullopt;
    const Block* block = replica_.blocks.of(r->machine);
    Owner* o = block ? holdings_.find(block->domain) : nullptr;
    auto answer = o ? o->on_report(*r, true) : std::nullopt;
    if (!answer) return peer::Relayed{503, false, ""};
    return peer::Relayed{200, answer->direct,
                         wire::encode(wire::report_answer(answer->token, answer->orders))};
}

/// Renews a worker's lease on behalf of a holder that neither it nor we can reach, with the holder's own
/// token and no orders but to stop what is over. Safe as long as the holder does not presume the lease to be
/// over: for that it needs our promise not to do this (see `promise`), or our end. Limited by our own
/// authority, so that a cancellation ends every task in time.
void Relays::stand_in(const Report& r, const Block& block, const ApiResponder& respond) {
    const Micros now = host_.now();
    const Held* d = replica_.members.domain(block.domain);
    Visit& visit = visits_[r.machine];
    // Promises that a former process of this node made are forgotten, so a new one waits until they are over.
    const bool may = presence_.announced() && replica_.members.alive(settings_.node) && authorised() && d &&
                     now - started_ > kForgotten * with_drift(settings_.lease) && now >= visit.refused_until;
    const Block::Machine* m = block.find(r.machine);
    const Revision token = std::max(d ? d->mark : 0, m ? m->token : 0);
    if (!may || !m || m->retired || r.token > token) return respond(unavailable());
    if (visit.renewed == 0 || now - visit.renewed > 30 * kSecond)
        spdlog::info("machine {}: kept alive on behalf of {}", r.machine, d->holder);
    visit.renewed = now;
    respond({200, wire::report_answer(token, replica_.jobs.stops_of_what_is_over(r))});
}

peer::Renounced Relays::promise(const peer::Renounce& ask) {
    const Micros now = host_.now();
    peer::Renounced answer;
    for (const auto& name : ask.machines) {
        Visit& visit = visits_[name];
        visit.refused_until = now + 3 * with_drift(settings_.lease);
        answer.ages.push_back(now - std::max(visit.renewed, started_));
    }
    return answer;
}

void Relays::renounce() {
    const Micros now = host_.now();
    if (now - renounced_ < kRenounceEvery) return;
    renounced_ = now;
    for (const auto& [name, o] : holdings_.all()) {
        if (!o || !o->active()) continue;
        for (std::size_t i = 0; i < peers_.count(); ++i) {
            if (in_flight_[i] > 0 || !replica_.members.alive(settings_.peers[i].name)) continue;
            const auto machines = o->to_renounce(i);
            // Several messages, none longer than the version before reads.
            for (std::size_t from = 0; from < machines.size(); from += peer::kMaxMachines) {
                const auto end = std::min(machines.size(), from + peer::kMaxMachines);
                const auto first = machines.begin();
                ask_to_renounce(
                    i, *o,
                    {first + static_cast<std::ptrdiff_t>(from), first + static_cast<std::ptrdiff_t>(end)});
            }
        }
    }
}

void Relays::ask_to_renounce(std::size_t peer, const Owner& owner, std::vector<std::string> machines) {
    const peer::Renounce message{settings_.node, owner.domain(), owner.mark(), machines};
    ++in_flight_[peer];
    peers_.call(peer, peer::pack(message), kPeerTimeout,
                [this, peer, domain = owner.domain(), mark = owner.mark(), machines = std::move(machines),
                 sent = host_.now()](const Reply& r) {
                    --in_flight_[peer];
                    const auto answer = peer::unpack<peer::Renounced>(r.bytes);
                    Owner* o = holdings_.find(domain);
                    if (!answer || answer->ages.size() != machines.size() || !o || o->mark() != mark) return;
                    // Given for longer, but a process that follows the giver's knows nothing of it, and
                    // waits for this long.
                    const Micros promised = kForgotten * with_drift(settings_.lease);
                    for (std::size_t m = 0; m < machines.size(); ++m)
                        o->renounced(peer, machines[m],
                                     {sent + promised - promised / 100,
                                      host_.now() - std::max<Micros>(answer->ages[m], 0)});
                });
}

}  // namespace cottonway
