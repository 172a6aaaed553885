#pragma once
// Who leads: the leader leases blocks of machines and deals with the cloud. One stored value names it; its
// mark is the term.

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

    /// Takes the lead where nobody has it.
    void rebalance_shards();
    /// Whether this process leads, and knows all that the former leader has done.
    bool leading() const {
        return ready_ && led_mark_ != 0 && led_mark_ == cache_.membership.leader().mod_revision;
    }
    /// Whether it may also deal with the cloud by what it knows. One that is cut off from the store does not
    /// hear that another leads, so it rents and deletes only within its authority.
    bool term_is_valid() const { return leading() && has_valid_lease(feed_.confirmed_age(), settings_); }
    Revision term() const { return cache_.membership.leader().mod_revision; }
    const std::string& leader() const { return cache_.membership.leader().holder; }
    /// Takes the lead anew: whatever of this term is still on its way to the store fails on the leader's
    /// mark.
    void close_term(Revision term) {
        if (led_mark_ == term) led_mark_ = 0;
    }
    /// Keeps the machine types in the store as well, so that controllers that start while the cloud is out of
    /// reach need not wait for it to take their shards back.
    void store_types();

  private:
    void lead();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const MembershipLease& membership_lease_;
    Revision led_mark_ = 0;  // of the leadership that this process took, 0: none
    bool ready_ = false;
    bool taking_ = false;
    Micros leaderless_since_ = 0;
    bool storing_types_ = false;
    Micros types_stored_at_ = -kSecond * 60;
};

}  // namespace cottonway
