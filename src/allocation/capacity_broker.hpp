#pragma once
// Requests machines and quota for waiting tasks from the shards that have most available, and answers such
// requests of other controllers.

#include <functional>
#include <vector>

#include "allocation/machine_allocator.hpp"
#include "allocation/quota_allocator.hpp"
#include "cluster/peer_directory.hpp"

namespace cottonway {

class CapacityBroker {
  public:
    CapacityBroker(Runtime& runtime, const StateCache& cache, const ShardAssignment& assignment,
                   MachineAllocator& machine_allocator, QuotaAllocator& quota_allocator,
                   PeerDirectory& peers);
    /// Called ten times a second.
    void tick();
    void grant_machines(const peer::CapacityRequest& request, std::function<void(peer::Grant)> done);
    void grant_quota(const peer::QuotaRequest& request, std::function<void(peer::Grant)> done);

  private:
    void transfer_all_jobs(ShardOwner& owner);
    void request_machines(ShardOwner& owner, const peer::CapacityRequest& request);
    void request_quota(const ShardOwner& owner, const std::string& team, const Resources& missing);
    bool request_quota(const ShardOwner& owner, const std::string& team, const Resources& missing,
                       Resources (*peer_quota)(const peer::TeamLoad&),
                       Resources (ShardOwner::*local_quota)(const std::string&) const);
    Resources unused_quota_elsewhere(const std::string& shard, const std::string& team) const;
    bool should_yield_quota(const ShardOwner& from, const peer::QuotaRequest& request) const;
    void transfer_quota(ShardOwner& from, const peer::QuotaRequest& request,
                        std::function<void(peer::Grant)> done);

    Runtime& runtime_;
    const StateCache& cache_;
    const ShardAssignment& assignment_;
    MachineAllocator& machine_allocator_;
    QuotaAllocator& quota_allocator_;
    PeerDirectory& peers_;
    std::vector<bool> machine_request_in_flight_;  // by peer
    std::vector<bool> quota_request_in_flight_;    // by peer
    Micros requested_at_ = 0;
};

}  // namespace cottonway
