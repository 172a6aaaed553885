#pragma once
// This node's key at the store, attached to a lease: its removal is how the others suspect that it has ended.

#include "cache/state_cache.hpp"

namespace cottonway {

class MembershipLease {
  public:
    MembershipLease(Runtime& runtime, StoreClient& store, const Settings& settings, StateCache& cache)
        : runtime_(runtime), store_(store), settings_(settings), cache_(cache) {}
    void join();
    bool is_registered() const { return announced_; }

  private:
    void announce();
    void put(Revision mod_revision);
    void renew();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    StateCache& cache_;
    std::uint64_t lease_ = 0;
    bool announced_ = false;
};

}  // namespace cottonway
