#pragma once
// The records of blocks, and which block a machine is in. Holds state and decides nothing.

#include <map>
#include <string>
#include <unordered_map>

#include "cache/machine_type_catalog.hpp"
#include "kvstore/records.hpp"

namespace cottonway {

class BlockCache {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        /// The block lists the machine; also told when nothing about it has changed.
        virtual void on_machine(const Block& block, const Block::Machine& machine) = 0;
        /// No block lists it any more.
        virtual void on_machine_left(const std::string& machine) = 0;
    };
    explicit BlockCache(Listener& listener) : listener_(listener) {}

    /// News of a record; null: it is gone. A broken one is ignored with a line in the log.
    void apply(const std::string& id, const Json* value, Revision mod_revision);

    const std::map<std::string, Block>& all() const { return blocks_; }
    const Block* find(const std::string& id) const;
    const Block* find_by_machine(const std::string& machine) const;
    std::size_t machine_count() const { return block_of_.size(); }
    /// Cores of a shard's machines, those to be returned left out.
    Milli capacity_of(const std::string& shard, const MachineTypeCatalog& types) const;

    /// The machine is being split off into another record: it is not gone when its old block loses it, were
    /// it taken for gone until its new record is heard of, its tasks would run twice.
    void begin_split(const std::string& machine, const std::string& into) { splitting_[machine] = into; }
    void end_split(const std::string& machine, const std::string& into);

  private:
    void left(const std::string& machine);

    Listener& listener_;
    std::map<std::string, Block> blocks_;
    std::unordered_map<std::string, std::string> block_of_;  // machine -> block
    std::map<std::string, std::string> splitting_;           // machine -> the block that it is split off into
};

}  // namespace cottonway
