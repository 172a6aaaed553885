#pragma once
// The other controllers: the states that they have sent, and calls to them. Everything known from here is a
// hint only.

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
        Micros received_at = 0;  // by the steady clock
    };
    PeerDirectory(Runtime& runtime, const Settings& settings, const ChangeFeed& feed, StateCache& cache,
                  const ShardAssignment& assignment, const LeaderElection& election,
                  const Autoscaler& autoscaler);

    /// Exchanges states with the other controllers. Called ten times a second.
    void gossip();
    peer::State own_state() const;
    /// Records a state that another controller has sent.
    void on_state(const peer::State& state);
    void call(std::size_t peer, std::string bytes, Micros timeout, std::function<void(const Reply&)> done);

    std::size_t count() const { return peers_.size(); }
    std::optional<std::size_t> index_of(const std::string& node) const;
    /// Returns true if the peer has answered or sent its state recently.
    bool is_reachable(std::size_t peer) const;
    /// Returns the last state that the peer has sent, nullptr if it is not younger than `max_age`.
    const PeerStatus* recent_status(std::size_t peer, Micros max_age) const;
    /// Returns the last state that the peer has sent, nullptr once it is too old to act on.
    const peer::State* fresh_state(std::size_t peer) const;
    const peer::ShardLoad* shard_load(const std::string& shard) const;
    /// Returns this node's fleet balance if it is the leader, else the one that the leader last sent.
    peer::FleetBalance fleet_balance() const;
    /// Counts the cores of a job that was sent to a shard, until the shard's holder next sends its state.
    void add_cores_sent(const std::string& shard, Milli cores) { cores_sent_[shard] += cores; }
    Milli cores_sent_to(const std::string& shard) const;

  private:
    struct Peer {
        Micros last_contact = 0;  // by the listening clock
        bool request_in_flight = false;
        std::optional<PeerStatus> status;
    };
    Runtime& runtime_;
    const Settings& settings_;
    const ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    const Autoscaler& autoscaler_;
    std::vector<Peer> peers_;
    std::map<std::string, Milli> cores_sent_;
    Micros gossiped_at_ = 0;
};

}  // namespace cottonway
