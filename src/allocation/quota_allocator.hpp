#pragma once
// The records of shares: the first ones, and parts of a team's limit given to shards that wait for them.

#include <functional>

#include "allocation/machine_allocator.hpp"
#include "cluster/leader_election.hpp"
#include "cluster/shard_assignment.hpp"

namespace cottonway {

class QuotaAllocator {
  public:
    QuotaAllocator(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
                   StateCache& cache, const ShardAssignment& assignment, LeaderElection& election,
                   const MachineAllocator& machine_allocator)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          assignment_(assignment),
          election_(election),
          machine_allocator_(machine_allocator) {}

    /// The leader creates the first shares, all in one change, and adds to its own shard's what operators
    /// have raised a limit by. Everything else is a transfer, which leaves the sum as it is.
    void allocate_initial_quota();
    /// Gives another shard a part of what this one can spare of a team's limit.
    void transfer_quota(ShardOwner& from, const peer::QuotaRequest& want, const Resources& spare,
                        std::function<void(peer::Grant)> done);

  private:
    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    LeaderElection& election_;
    const MachineAllocator& machine_allocator_;
    bool sharing_first_ = false;
};

}  // namespace cottonway
