#include "core/peers.hpp"

#include "core/fleet.hpp"

namespace cottonway {

namespace {
constexpr Micros kGossipEvery = 500 * kMillisecond;
constexpr Micros kFresh = 2 * kSecond;  // what a peer has told is of use for this long
constexpr Micros kReachable = 1'500 * kMillisecond;
constexpr Micros kTimeout = 800 * kMillisecond;
}  // namespace

Peers::Peers(Host& host, const Settings& settings, const Feed& feed, Replica& replica,
             const Holdings& holdings, const Leadership& leadership, const Fleet& fleet)
    : host_(host),
      settings_(settings),
      feed_(feed),
      replica_(replica),
      holdings_(holdings),
      leadership_(leadership),
      fleet_(fleet),
      peers_(settings.peers.size()) {}

std::optional<std::size_t> Peers::named(const std::string& node) const {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
        if (settings_.peers[i].name == node) return i;
    return std::nullopt;
}

bool Peers::reachable(std::size_t peer) const {
    const auto& p = peers_[peer];
    return p.heard > 0 && host_.listened() - p.heard < kReachable;
}

const Peers::Told* Peers::told(std::size_t peer, Micros within) const {
    const auto& t = peers_[peer].told;
    return t && host_.now() - t->at < within ? &*t : nullptr;
}

const peer::State* Peers::fresh(std::size_t peer) const {
    const Told* t = told(peer, kFresh + 1);
    return t ? &t->state : nullptr;
}

const peer::DomainLoad* Peers::load_of(const std::string& domain) const {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const peer::State* state = fresh(i);
        if (!state) continue;
        for (const auto& d : state->domains)
            if (d.domain == domain) return &d;
    }
    return nullptr;
}

peer::FleetBalance Peers::balance() const {
    if (leadership_.leading()) return fleet_.balance();
    for (std::size_t i = 0; i < peers_.size(); ++i)
        if (const peer::State* state = fresh(i); state && state->balance.term == leadership_.term())
            return state->balance;
    return {};
}

Milli Peers::sent_to(const std::string& domain) const {
    auto it = sent_to_.find(domain);
    return it == sent_to_.end() ? 0 : it->second;
}

void Peers::call(std::size_t peer, std::string bytes, Micros timeout,
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

peer::State Peers::own_state() const {
    peer::State s;
    s.node = settings_.node;
    s.confirmed_age = feed_.confirmed_ago();
    if (leadership_.leading()) s.balance = fleet_.balance();
    for (const auto& [name, o] : holdings_.all())
        if (o && o->active()) s.domains.push_back(o->load());
    return s;
}

void Peers::heard(const peer::State& state) {
    const auto peer = named(state.node);
    if (!peer) return;
    for (const auto& d : state.domains) sent_to_.erase(d.domain);
    peers_[*peer].told = Told{state, host_.now()};
    peers_[*peer].heard = host_.listened();
    replica_.members.heard(state.node);
}

void Peers::gossip() {
    const Micros now = host_.now();
    if (!feed_.loaded() || now - gossiped_ < kGossipEvery) return;
    gossiped_ = now;
    std::string packed;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        auto& p = peers_[i];
        // One of the two asks; the other one does where that is not heard of.
        const bool theirs = settings_.peers[i].name < settings_.node;
        if (p.asking || (theirs && told(i, 2 * kGossipEvery))) continue;
        p.asking = true;
        if (packed.empty()) packed = peer::pack(own_state());
        call(i, packed, kTimeout, [this, i](const Reply& r) {
            peers_[i].asking = false;
            if (auto state = peer::unpack<peer::State>(r.bytes)) heard(*state);
        });
    }
}

}  // namespace cottonway
