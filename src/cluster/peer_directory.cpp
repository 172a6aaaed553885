#include "cluster/peer_directory.hpp"

#include "allocation/autoscaler.hpp"

namespace cottonway {

namespace {
constexpr Micros kGossipEvery = 500 * kMillisecond;
constexpr Micros kFresh = 2 * kSecond;  // what a peer has told is of use for this long
constexpr Micros kReachable = 1'500 * kMillisecond;
constexpr Micros kTimeout = 800 * kMillisecond;
}  // namespace

PeerDirectory::PeerDirectory(Runtime& runtime, const Settings& settings, const ChangeFeed& feed,
                             StateCache& cache, const ShardAssignment& assignment,
                             const LeaderElection& election, const Autoscaler& fleet)
    : runtime_(runtime),
      settings_(settings),
      feed_(feed),
      cache_(cache),
      assignment_(assignment),
      election_(election),
      autoscaler_(fleet),
      peers_(settings.peers.size()) {}

std::optional<std::size_t> PeerDirectory::named(const std::string& node) const {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
        if (settings_.peers[i].name == node) return i;
    return std::nullopt;
}

bool PeerDirectory::reachable(std::size_t peer) const {
    const auto& p = peers_[peer];
    return p.heard > 0 && runtime_.listening_time() - p.heard < kReachable;
}

const PeerDirectory::PeerStatus* PeerDirectory::told(std::size_t peer, Micros within) const {
    const auto& t = peers_[peer].told;
    return t && runtime_.now() - t->at < within ? &*t : nullptr;
}

const peer::State* PeerDirectory::fresh(std::size_t peer) const {
    const PeerStatus* t = told(peer, kFresh + 1);
    return t ? &t->state : nullptr;
}

const peer::ShardLoad* PeerDirectory::load_of(const std::string& shard) const {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const peer::State* state = fresh(i);
        if (!state) continue;
        for (const auto& d : state->shards)
            if (d.shard == shard) return &d;
    }
    return nullptr;
}

peer::FleetBalance PeerDirectory::balance() const {
    if (election_.leading()) return autoscaler_.balance();
    for (std::size_t i = 0; i < peers_.size(); ++i)
        if (const peer::State* state = fresh(i); state && state->balance.term == election_.term())
            return state->balance;
    return {};
}

Milli PeerDirectory::sent_to(const std::string& shard) const {
    auto it = sent_to_.find(shard);
    return it == sent_to_.end() ? 0 : it->second;
}

void PeerDirectory::call(std::size_t peer, std::string bytes, Micros timeout,
                         std::function<void(const Reply&)> done) {
    const Endpoint& at = settings_.peers[peer].endpoint;
    Call call;
    call.target = Target::Peer;
    call.address = at.host + ":" + std::to_string(at.port);
    call.method = "POST";
    call.path = "/peer";
    call.bytes = std::move(bytes);
    call.timeout = timeout;
    runtime_.call(std::move(call), [this, peer, done = std::move(done)](const Reply& r) {
        if (r.status == 200) peers_[peer].heard = runtime_.listening_time();
        done(r);
    });
}

peer::State PeerDirectory::own_state() const {
    peer::State s;
    s.node = settings_.node;
    s.confirmed_age = feed_.confirmed_ago();
    if (election_.leading()) s.balance = autoscaler_.balance();
    for (const auto& [name, o] : assignment_.all())
        if (o && o->active()) s.shards.push_back(o->load());
    return s;
}

void PeerDirectory::heard(const peer::State& state) {
    const auto peer = named(state.node);
    if (!peer) return;
    for (const auto& d : state.shards) sent_to_.erase(d.shard);
    peers_[*peer].told = PeerStatus{state, runtime_.now()};
    peers_[*peer].heard = runtime_.listening_time();
    cache_.membership.heard(state.node);
}

void PeerDirectory::gossip() {
    const Micros now = runtime_.now();
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
