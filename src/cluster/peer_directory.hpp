#pragma once
// The other controllers: what they have told, and calls to them. All of it are hints.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/leader_election.hpp"
#include "cluster/shard_assignment.hpp"
#include "peer/messages.hpp"

namespace cottonway {

class Autoscaler;

class PeerDirectory {
  public:
    struct PeerStatus {
        peer::State state;
        Micros at = 0;  // by the steady clock
    };
    PeerDirectory(Runtime& runtime, const Settings& settings, const ChangeFeed& feed, StateCache& cache,
                  const ShardAssignment& assignment, const LeaderElection& election, const Autoscaler& fleet);

    /// Tells the others how things are here, and hears the same of them.
    void gossip();
    peer::State own_state() const;
    void on_state(const peer::State& state);
    void call(std::size_t peer, std::string bytes, Micros timeout, std::function<void(const Reply&)> done);

    std::size_t count() const { return peers_.size(); }
    std::optional<std::size_t> index_of(const std::string& node) const;
    /// Whether it has been heard a short while ago.
    bool is_reachable(std::size_t peer) const;
    /// What it told last; nothing if that is older than `within`.
    const PeerStatus* recent_status(std::size_t peer, Micros within) const;
    /// The same, while it is of use.
    const peer::State* fresh_state(std::size_t peer) const;
    const peer::ShardLoad* shard_load(const std::string& shard) const;
    /// The balance that the leader last told, or our own.
    peer::FleetBalance fleet_balance() const;
    /// Cores of jobs given to a shard since its holder last told of it.
    void add_cores_sent(const std::string& shard, Milli cores) { sent_to_[shard] += cores; }
    Milli cores_sent_to(const std::string& shard) const;

  private:
    struct Peer {
        Micros heard = 0;  // in time spent listening
        bool asking = false;
        std::optional<PeerStatus> told;
    };
    Runtime& runtime_;
    const Settings& settings_;
    const ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    const Autoscaler& autoscaler_;
    std::vector<Peer> peers_;
    std::map<std::string, Milli> sent_to_;
    Micros gossiped_ = 0;
};

}  // namespace cottonway
