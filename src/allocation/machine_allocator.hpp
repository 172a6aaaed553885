#pragma once
// The records of blocks: leasing machines to shards, rewriting and splitting blocks, and moving idle
// machines to where they are waited for.

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
                     const Autoscaler& fleet, const PeerDirectory& peers)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          assignment_(assignment),
          election_(election),
          autoscaler_(fleet),
          peers_(peers) {}

    /// Machines that are in no block yet, to be leased soon.
    void allocate(const Block::Machine& machine, const std::string& type, const std::string& zone, bool spot,
                  std::function<void()> done);
    bool is_allocating(const std::string& machine) const { return unallocated_.count(machine) > 0; }
    /// A block lists it. Whoever waits for that is told, also where our own change got no answer.
    void on_machine_leased(const std::string& machine) {
        forget_unallocated(machine);
        returned_.erase(machine);
    }
    /// No block lists it any more, or none ever has: the cloud has confirmed that it is deleted.
    void on_machine_gone(const std::string& machine);
    /// Whether the machine is known to be gone for good. What still tells of it, a late report or a list, is
    /// old: leased again it would count as room until its silence is noticed.
    bool is_returned(const std::string& machine) const { return returned_.find(machine) != nullptr; }
    /// Whether the machines are to be spread over the shards of all controllers. One owner of everything
    /// places best, as long as it can keep up with the workers' reports.
    bool spreads_machines() const;
    std::vector<std::string> target_shards() const;

    /// Rewrites the block record that lists the machine; the outcome arrives as news of the record.
    void edit_machine(const std::string& shard, const std::string& machine, ShardContext::MachineEdit edit,
                      std::function<void(bool)> done);
    /// Marks a machine as to be returned, whoever holds it.
    void retire(const std::string& machine);
    /// Takes deleted machines out of their records.
    void remove_from_blocks(const std::vector<std::string>& machines);
    /// Gives idle machines to a shard with waiting tasks.
    void transfer_idle_machines(ShardOwner& from, const peer::CapacityRequest& want,
                                std::function<void(peer::Grant)> done);

    // Called ten times a second.
    void allocate_blocks();
    /// Blocks of the time when values could be larger are split, in quiet moments: rewritten in pieces they
    /// would cost several changes each time.
    void split_blocks();
    void flush_edits();

  private:
    struct Edit {
        std::function<bool(Block&)> change;  // false: nothing to change (any more)
        std::function<void(bool)> done;
    };
    struct Edits {
        std::vector<Edit> waiting;
        bool in_flight = false;
        Micros not_before = 0;
        Micros due = 0;
        Micros since = 0;
        bool urgent = false;
    };
    struct UnallocatedMachine {
        Block::Machine machine;
        std::string type;
        std::string zone;
        bool spot = false;
        bool in_flight = false;
        std::vector<std::function<void()>> done;
    };
    /// `patience`: how long the change may wait for others to the same record.
    void edit_block(const std::string& id, Edit edit, Micros patience);
    void flush(const std::string& id, Edits& edits);
    std::size_t block_size() const;
    void split(const Block& block, const ShardOwner& o);
    void lease_block(Block block, std::vector<std::string> machines);
    /// Not to be leased any more, or not now: whoever waits for it looks what stands there.
    void forget_unallocated(const std::string& machine);
    std::string next_id(Revision mod_revision) {
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
    std::map<std::string, Edits> edits_;
    std::map<std::string, UnallocatedMachine> unallocated_;
    RecencyMap<std::monostate> returned_;  // the latest names
    Micros allocated_at_ = 0;
    Micros split_at_ = 0;
    std::uint64_t block_counter_ = 0;
};

}  // namespace cottonway
