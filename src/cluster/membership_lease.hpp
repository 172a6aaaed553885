#pragma once
// Registers this node in the store under a key that is attached to a lease and renewed. When the lease
// expires the store deletes the key, and the other nodes suspect that this node has failed.

#include "cache/state_cache.hpp"

namespace cottonway {

class MembershipLease {
  public:
    MembershipLease(Runtime& runtime, StoreClient& store, const Settings& settings, StateCache& cache)
        : runtime_(runtime), store_(store), settings_(settings), cache_(cache) {}
    /// Acquires a lease, writes the node's key with it, and keeps renewing the lease.
    void join();
    bool is_registered() const { return registered_; }

  private:
    void read_and_put_key();
    /// Writes the key if its current revision is `mod_revision` (0: the key does not exist).
    void put_key(Revision mod_revision);
    void renew();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    StateCache& cache_;
    std::uint64_t lease_id_ = 0;
    bool registered_ = false;
};

}  // namespace cottonway
