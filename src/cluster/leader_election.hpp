#pragma once
// Leader election. The leader leases blocks of machines to shards and rents and returns machines at the
// cloud. One record in the store names the leader; the modification revision of that record is the term.

#include "cache/state_cache.hpp"
#include "cluster/membership_lease.hpp"
#include "config/lease_validity.hpp"

namespace cottonway {

class LeaderElection {
  public:
    LeaderElection(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
                   StateCache& cache, const MembershipLease& membership_lease)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          membership_lease_(membership_lease) {}

    /// Claims leadership if no live node holds it and it is this node's turn. Called ten times a second.
    void campaign();
    /// Returns true if this process is the leader and has read every write of the former leader.
    bool is_leader() const {
        return caught_up_ && claimed_term_ != 0 && claimed_term_ == cache_.membership.leader().mod_revision;
    }
    /// Returns true if the leader may also rent and delete machines. A leader that is cut off from the store
    /// does not learn that another node has taken over, so it calls the cloud only while its controller lease
    /// is valid, that is while its last confirmation by the store is recent enough (see lease_validity.hpp).
    bool term_is_valid() const { return is_leader() && has_valid_lease(feed_.confirmed_age(), settings_); }
    Revision term() const { return cache_.membership.leader().mod_revision; }
    const std::string& leader_node() const { return cache_.membership.leader().holder; }
    /// Makes this node claim leadership again under a new term: every write of the old term that is still in
    /// flight then fails its condition on the leader record.
    void abandon_term(Revision term) {
        if (claimed_term_ == term) claimed_term_ = 0;
    }
    /// Copies the machine types from the cloud into the store, so that controllers that start while the cloud
    /// is unreachable can acquire their shards without it.
    void store_machine_types();

  private:
    void claim_leadership();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const MembershipLease& membership_lease_;
    Revision claimed_term_ = 0;  // the last term that this process has claimed, 0: none
    bool caught_up_ = false;     // every write of the former leader has been read
    bool claiming_ = false;      // a claim is in flight
    Micros leaderless_since_ = 0;
    bool storing_machine_types_ = false;
    Micros machine_types_stored_at_ = -kSecond * 60;
};

}  // namespace cottonway
