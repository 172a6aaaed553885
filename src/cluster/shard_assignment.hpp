#pragma once
// The shards that this node holds: acquires, releases and transfers them.

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
                    JobArchiver& job_archiver)
        : context_(context),
          feed_(feed),
          cache_(cache),
          membership_lease_(membership_lease),
          machine_allocator_(machine_allocator),
          job_archiver_(job_archiver) {}

    /// Acquires this node's own shard, and the shards of failed holders when it is this node's turn.
    void acquire_shards();
    /// Transfers shards from a node that holds several with machines to nodes that hold none, once those
    /// nodes have been alive for a while.
    void transfer_shards();
    /// Stops deciding anything in the shard, because another node holds it or may hold it.
    void release_shard(const std::string& shard);
    /// Called when the record of the shard's holder has changed.
    void on_shard_record(const std::string& name);

    /// Lets every owner handle the passing of time. Called ten times a second.
    void tick();
    /// Lets every owner place tasks, commit and send what follows from the events received so far.
    void run_pending_work();
    /// Destroys all owners when the process ends, so that callers that wait for an owner are answered while
    /// everything else still exists.
    void shut_down();
    /// Returns the owner of a shard that this node holds, nullptr for other shards.
    ShardOwner* find(const std::string& shard) const;
    const std::map<std::string, std::unique_ptr<ShardOwner>>& owners() const { return owners_; }

  private:
    void acquire(const std::string& name, bool create);
    void refresh_and_load(const std::string& name, Revision mod_revision);
    void verify_jobs(const std::string& name, Revision mod_revision);
    void load_and_activate(const std::string& name, Revision mod_revision);

    ShardContext& context_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const MembershipLease& membership_lease_;
    const MachineAllocator& machine_allocator_;
    JobArchiver& job_archiver_;
    std::map<std::string, std::unique_ptr<ShardOwner>> owners_;
    // Destroyed by the next tick() or run_pending_work(), since an owner may be released in the middle of
    // its own call.
    std::vector<std::unique_ptr<ShardOwner>> released_owners_;
    std::set<std::string> acquiring_;
    struct OrphanState {
        Micros since = 0;
        bool predates_process = false;  // see recovery::OrphanedShard
    };
    std::map<std::string, OrphanState> orphaned_shards_;
    // When shards were acquired whose holder had failed before this process started.
    std::map<std::string, Micros> acquired_at_start_;
    Micros transferred_at_ = 0;
};

}  // namespace cottonway
