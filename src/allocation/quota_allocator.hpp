#pragma once
// Maintains the records of each shard's share of the teams' limits (quota): creates the first ones, and
// transfers parts of a team's limit to shards whose tasks wait for them.

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

    /// Only on the leader: creates the first shares in one transaction, and when operators raise a limit,
    /// adds the difference to the share of a shard that it holds. All other changes are transfers, which
    /// leave the sum as it is. Called ten times a second.
    void allocate_initial_quota();
    /// Transfers a part of `offered`, quota that a shard held by this node does not use, to the requesting
    /// shard.
    void transfer_quota(ShardOwner& from, const peer::QuotaRequest& request, const Resources& offered,
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
    bool allocating_ = false;
};

}  // namespace cottonway
