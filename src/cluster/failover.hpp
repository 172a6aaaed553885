#pragma once
// Decides which node acquires which shard of a failed holder, and which shards are transferred to other nodes
// afterwards. Pure functions of what a node knows, so nodes with the same knowledge come to the same result;
// where their knowledge differs, the compare-and-set on the shard's record lets one of them win.

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/units.hpp"

namespace cottonway::recovery {

/// A shard whose holder is not alive.
struct OrphanedShard {
    std::string shard;
    std::size_t machines = 0;
    Micros since = 0;  // when this process noticed it, by its steady clock
    /// True if the holder was not alive when this process first read the store. All nodes may have gone down
    /// together then, and the holder may be restarting as well.
    bool predates_process = false;
};

struct FailoverState {
    std::string self;
    std::map<std::string, std::size_t> alive;  // live nodes, self included: machines in their shards
    std::vector<OrphanedShard> orphans;
    Micros now = 0;
    Micros holder_grace = 0;  // how long an orphan that predates the process is left to its holder
};

/// Returns the shards that this node acquires now. Each orphan goes to the node with the fewest machines,
/// counting the machines of the orphans before it; the next node in order acquires it 0.4 s later if it is
/// still orphaned. An orphan that predates this process is first left to its holder, which may be restarting
/// as well, and to the nodes that have been running for longer.
std::vector<std::string> shards_to_acquire(const FailoverState& state);

/// A shard that this node holds.
struct HeldShard {
    std::string shard;
    std::size_t machines = 0;
    bool active = false;
    bool acquired_at_start = false;  // acquired recently, and orphaned before this process started
};

/// A live node without machines.
struct Receiver {
    std::string node;
    Micros alive_for = 0;
};

/// Returns the shards to transfer, each with the node that receives it, for one transaction: first the
/// receivers' own shards, then the smallest ones, as long as one shard with machines stays here. A receiver
/// must have been alive for 4 s, or for 1 s to get back a shard that was acquired at this node's start.
std::vector<std::pair<std::string, std::string>> shards_to_transfer(const std::string& self,
                                                                    std::vector<HeldShard> held,
                                                                    std::vector<Receiver> receivers);

}  // namespace cottonway::recovery
