#include "cluster/peer_directory.hpp"

#include "allocation/autoscaler.hpp"

namespace cottonway {

namespace {
constexpr Micros kGossipInterval = 500 * kMillisecond;
constexpr Micros kStateMaxAge = 2 * kSecond;  // an older state of a peer is not acted on
constexpr Micros kReachableWindow = 1'500 * kMillisecond;
constexpr Micros kGossipTimeout = 800 * kMillisecond;
}  // namespace

PeerDirectory::PeerDirectory(Runtime& runtime, const Settings& settings, const ChangeFeed& feed,
                             StateCache& cache, const ShardAssignment& assignment,
                             const LeaderElection& election, const Autoscaler& autoscaler)
    : runtime_(runtime),
      settings_(settings),
      feed_(feed),
      cache_(cache),
      assignment_(assignment),
      election_(election),
      autoscaler_(autoscaler),
      peers_(settings.peers.size()) {}

std::optional<std::size_t> PeerDirectory::index_of(const std::string& node) const {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
        if (settings_.peers[i].name == node) return i;
    return std::nullopt;
}

bool PeerDirectory::is_reachable(std::size_t peer) const {
    const auto& entry = peers_[peer];
    return entry.last_contact > 0 && runtime_.listening_time() - entry.last_contact < kReachableWindow;
}

const PeerDirectory::PeerStatus* PeerDirectory::recent_status(std::size_t peer, Micros max_age) const {
    const auto& status = peers_[peer].status;
    return status && runtime_.now() - status->received_at < max_age ? &*status : nullptr;
}

const peer::State* PeerDirectory::fresh_state(std::size_t peer) const {
    const PeerStatus* status = recent_status(peer, kStateMaxAge + 1);
    return status ? &status->state : nullptr;
}

const peer::ShardLoad* PeerDirectory::shard_load(const std::string& shard) const {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const peer::State* state = fresh_state(i);
        if (!state) continue;
        for (const auto& load : state->shards)
            if (load.shard == shard) return &load;
    }
    return nullptr;
}

peer::FleetBalance PeerDirectory::fleet_balance() const {
    if (election_.is_leader()) return autoscaler_.fleet_balance();
    for (std::size_t i = 0; i < peers_.size(); ++i)
        if (const peer::State* state = fresh_state(i); state && state->balance.term == election_.term())
            return state->balance;
    return {};
}

Milli PeerDirectory::cores_sent_to(const std::string& shard) const {
    auto it = cores_sent_.find(shard);
    return it == cores_sent_.end() ? 0 : it->second;
}

void PeerDirectory::call(std::size_t peer, std::string bytes, Micros timeout,
                         std::function<void(const Reply&)> done) {
    const Endpoint& endpoint = settings_.peers[peer].endpoint;
    Call call;
    call.target = Target::Peer;
    call.address = endpoint.host + ":" + std::to_string(endpoint.port);
    call.method = "POST";
    call.path = "/peer";
    call.bytes = std::move(bytes);
    call.timeout = timeout;
    runtime_.call(std::move(call), [this, peer, done = std::move(done)](const Reply& reply) {
        if (reply.status == 200) peers_[peer].last_contact = runtime_.listening_time();
        done(reply);
    });
}

peer::State PeerDirectory::own_state() const {
    peer::State state;
    state.node = settings_.node;
    state.confirmed_age = feed_.confirmed_age();
    if (election_.is_leader()) state.balance = autoscaler_.fleet_balance();
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) state.shards.push_back(owner->load());
    return state;
}

void PeerDirectory::on_state(const peer::State& state) {
    const auto peer = index_of(state.node);
    if (!peer) return;
    for (const auto& load : state.shards) cores_sent_.erase(load.shard);
    peers_[*peer].status = PeerStatus{state, runtime_.now()};
    peers_[*peer].last_contact = runtime_.listening_time();
    cache_.membership.mark_confirmed_alive(state.node);
}

void PeerDirectory::gossip() {
    const Micros now = runtime_.now();
    if (!feed_.loaded() || now - gossiped_at_ < kGossipInterval) return;
    gossiped_at_ = now;
    std::string packed;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        auto& peer = peers_[i];
        // Of each pair of nodes the one with the smaller name sends the requests; the other one sends its own
        // only while it receives none.
        const bool peer_initiates = settings_.peers[i].name < settings_.node;
        if (peer.request_in_flight || (peer_initiates && recent_status(i, 2 * kGossipInterval))) continue;
        peer.request_in_flight = true;
        if (packed.empty()) packed = peer::pack(own_state());
        call(i, packed, kGossipTimeout, [this, i](const Reply& reply) {
            peers_[i].request_in_flight = false;
            if (auto state = peer::unpack<peer::State>(reply.bytes)) on_state(*state);
        });
    }
}

}  // namespace cottonway
