#pragma once
// The shards that this node holds: taking them, giving them up, and handing them on.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cache/state_cache.hpp"
#include "cluster/membership_lease.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

class JobArchiver;
class MachineAllocator;

class ShardAssignment {
  public:
    ShardAssignment(ShardContext& context, ChangeFeed& feed, StateCache& cache,
                    const MembershipLease& membership_lease, const MachineAllocator& machine_allocator,
                    JobArchiver& history)
        : context_(context),
          feed_(feed),
          cache_(cache),
          membership_lease_(membership_lease),
          machine_allocator_(machine_allocator),
          history_(history) {}

    /// Takes our own shard, and those whose holder has ended when it is our turn.
    void acquire_shards();
    /// A node that holds several shards with machines gives some to nodes that hold none, once those have
    /// been alive for a while.
    void transfer_shards();
    /// Somebody else holds the shard, or may: from here on nothing is decided in it.
    void release_shard(const std::string& shard);
    /// News of who holds a shard.
    void on_shard_record(const std::string& name);

    void tick();
    void work();
    /// The process ends: whoever waits for an owner is told, while everything else is still there.
    void shut_down();
    ShardOwner* find(const std::string& shard) const;
    const std::map<std::string, std::unique_ptr<ShardOwner>>& owners() const { return owners_; }

  private:
    void acquire(const std::string& name, bool create);
    void activate(const std::string& name, Revision mod_revision);
    void prove_jobs(const std::string& name, Revision mod_revision);
    void begin(const std::string& name, Revision mod_revision);

    ShardContext& context_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const MembershipLease& membership_lease_;
    const MachineAllocator& machine_allocator_;
    JobArchiver& history_;
    std::map<std::string, std::unique_ptr<ShardOwner>> owners_;
    std::vector<std::unique_ptr<ShardOwner>>
        retired_;  // destroyed by the next step, not in the middle of a call
    std::set<std::string> acquiring_;
    struct Orphaned {
        Micros since = 0;
        bool predates_process = false;
    };
    std::map<std::string, Orphaned> ownerless_;
    std::map<std::string, Micros> taken_at_start_;  // shards of holders that had gone before us
    Micros handed_over_at_ = 0;
};

}  // namespace cottonway
