#pragma once
// Maintains the block records: leases machines to shards, edits and splits blocks, and transfers idle
// machines to shards whose tasks wait for them.

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/recency_map.hpp"
#include "cluster/leader_election.hpp"
#include "cluster/shard_assignment.hpp"

namespace cottonway {

class Autoscaler;
class PeerDirectory;

class MachineAllocator {
  public:
    MachineAllocator(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
                     StateCache& cache, const ShardAssignment& assignment, LeaderElection& election,
                     const Autoscaler& autoscaler, const PeerDirectory& peers)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          assignment_(assignment),
          election_(election),
          autoscaler_(autoscaler),
          peers_(peers) {}

    /// Queues a machine that is in no block yet to be leased to a shard. Calls back once the machine is
    /// leased, or is no longer queued for another reason.
    void allocate(const Block::Machine& machine, const std::string& type, const std::string& zone, bool spot,
                  std::function<void()> done);
    bool is_allocating(const std::string& machine) const { return unallocated_.count(machine) > 0; }
    /// Called when a block lists the machine. Runs the callbacks of `allocate`, also if the lease was
    /// committed without an answer.
    void on_machine_leased(const std::string& machine) {
        drop_unallocated(machine);
        returned_.erase(machine);
    }
    /// Called when no block lists the machine any more, and when the cloud has confirmed that it is deleted,
    /// which also covers machines that have never been in a block.
    void on_machine_removed(const std::string& machine);
    /// Returns true if the machine is known to be gone for good. A report or a list that still names it is
    /// old: leased again, the machine would count as capacity until its silence is noticed.
    bool is_returned(const std::string& machine) const { return returned_.find(machine) != nullptr; }
    /// Returns true if the machines are to be spread over the shards of all controllers. A single owner of
    /// all machines makes the best placements, as long as it can process all workers' reports.
    bool spreads_machines() const;
    /// Returns the shards that machines are leased to.
    std::vector<std::string> target_shards() const;

    /// Edits the block record that lists the machine. The change feed delivers the changed record.
    void edit_machine(const std::string& shard, const std::string& machine, ShardContext::MachineEdit edit,
                      std::function<void(bool)> done);
    /// Marks a machine as to be returned, whichever node holds its shard.
    void retire(const std::string& machine);
    /// Removes deleted machines from their block records.
    void remove_from_blocks(const std::vector<std::string>& machines);
    /// Transfers idle machines to a shard with waiting tasks.
    void transfer_idle_machines(ShardOwner& from, const peer::CapacityRequest& request,
                                std::function<void(peer::Grant)> done);

    // Called ten times a second.
    void allocate_blocks();
    /// Splits blocks that were written when values could be larger, while the store has capacity to spare:
    /// stored in chunks, such a block would cost several changes at each rewrite.
    void split_blocks();
    void flush_edits();

  private:
    struct Edit {
        std::function<bool(Block&)> change;  // returns false if there is nothing (more) to change
        std::function<void(bool)> done;
    };
    /// The edits of one block record that are not committed yet.
    struct BlockEdits {
        std::vector<Edit> queued;
        bool in_flight = false;
        Micros retry_at = 0;
        Micros due = 0;
        Micros first_queued_at = 0;
        bool urgent = false;
    };
    struct UnallocatedMachine {
        Block::Machine machine;
        std::string type;
        std::string zone;
        bool spot = false;
        bool in_flight = false;
        std::vector<std::function<void()>> callbacks;
    };
    /// `max_delay`: how long the edit may wait to be committed together with others of the same record.
    void edit_block(const std::string& id, Edit edit, Micros max_delay);
    void flush(const std::string& id, BlockEdits& edits);
    std::size_t max_block_machines() const;
    void split(const Block& block, const ShardOwner& owner);
    void lease_block(Block block, std::vector<std::string> machines);
    /// Removes the machine from the queue, for good or for now, and runs its callbacks, which look up whether
    /// it is leased.
    void drop_unallocated(const std::string& machine);
    std::string next_block_id(Revision mod_revision) {
        return std::to_string(mod_revision) + "-" + std::to_string(++block_counter_);
    }

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    LeaderElection& election_;
    const Autoscaler& autoscaler_;
    const PeerDirectory& peers_;
    std::map<std::string, BlockEdits> edits_;  // by block
    std::map<std::string, UnallocatedMachine> unallocated_;
    RecencyMap<std::monostate> returned_;  // the names of the last machines that were returned
    Micros allocated_at_ = 0;
    Micros split_at_ = 0;
    std::uint64_t block_counter_ = 0;
};

}  // namespace cottonway
