#pragma once
// Who takes which shard whose holder has ended, and what goes back to whom afterwards. Pure functions of
// what a node knows, so every node that knows the same comes to the same result; where they don't, the
// compare-and-set on the shard's record lets one win.

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
    Micros since = 0;  // when it was noticed, by this process's steady clock
    /// Its holder was gone already when this process read the store for the first time. So all may have gone
    /// down together, and the holder may be starting just like we are.
    bool predates_process = false;
};

struct FailoverState {
    std::string self;
    std::map<std::string, std::size_t> alive;  // nodes, with the machines of their shards; self among them
    std::vector<OrphanedShard> orphans;
    Micros now = 0;
    Micros holder_grace = 0;  // how long a holder that had gone before us is waited for
};

/// What this node takes now. Each orphan goes to the node that has the fewest machines, those of the orphans
/// before it counted in; the next one in line takes it 0.4 s later if it is still there. One that was there
/// before us is first left to its holder, which may be about to start as well, and to those that have been
/// here for longer.
std::vector<std::string> shards_to_acquire(const FailoverState& s);

/// A shard held here.
struct HeldShard {
    std::string shard;
    std::size_t machines = 0;
    bool active = false;
    bool acquired_at_start = false;  // taken a short while ago, of a holder that had gone before us
};

/// A node that is alive and has no machines.
struct Receiver {
    std::string node;
    Micros alive_for = 0;
};

/// Which shards go to which nodes, all in one step: their own ones first, then the smallest, as long as one
/// with machines stays here. A node must have been alive for 4 s, or for 1 s to get back what was taken at
/// our start.
std::vector<std::pair<std::string, std::string>> shards_to_transfer(const std::string& self,
                                                                    std::vector<HeldShard> held,
                                                                    std::vector<Receiver> receivers);

}  // namespace cottonway::recovery
