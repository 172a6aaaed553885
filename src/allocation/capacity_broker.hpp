#pragma once
// Machines and shares that waiting tasks need are asked of whoever has the most to spare; and the answers to
// such questions.

#include <functional>
#include <vector>

#include "allocation/machine_allocator.hpp"
#include "allocation/quota_allocator.hpp"
#include "cluster/peer_directory.hpp"

namespace cottonway {

class CapacityBroker {
  public:
    CapacityBroker(Runtime& runtime, const StateCache& cache, const ShardAssignment& assignment,
                   MachineAllocator& machine_allocator, QuotaAllocator& sharing, PeerDirectory& peers);
    /// Called ten times a second.
    void tick();
    void grant_machines(const peer::CapacityRequest& want, std::function<void(peer::Grant)> done);
    void grant_quota(const peer::QuotaRequest& want, std::function<void(peer::Grant)> done);

  private:
    void transfer_all_jobs(ShardOwner& o);
    void request_machines(ShardOwner& o, const peer::CapacityRequest& want);
    void request_quota(const ShardOwner& o, const std::string& team, const Resources& missing);
    bool request_quota(const ShardOwner& o, const std::string& team, const Resources& missing,
                       Resources (*has)(const peer::TeamLoad&),
                       Resources (ShardOwner::*ours_has)(const std::string&) const);
    Resources unused_elsewhere(const std::string& shard, const std::string& team) const;
    bool yields(const ShardOwner& from, const peer::QuotaRequest& want) const;
    void give(ShardOwner& from, const peer::QuotaRequest& want, std::function<void(peer::Grant)> done);

    Runtime& runtime_;
    const StateCache& cache_;
    const ShardAssignment& assignment_;
    MachineAllocator& machine_allocator_;
    QuotaAllocator& quota_allocator_;
    PeerDirectory& peers_;
    std::vector<bool> wanting_;  // by peer: asked for machines
    std::vector<bool> sharing_with_;
    Micros asked_ = 0;
};

}  // namespace cottonway
