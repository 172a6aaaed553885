#pragma once
// Cache of the block records, with an index from each machine to its block. Makes no decisions.

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
        /// The block lists the machine. Also called when nothing about the machine has changed.
        virtual void on_machine(const Block& block, const Block::Machine& machine) = 0;
        /// No block lists the machine any more.
        virtual void on_machine_left(const std::string& machine) = 0;
    };
    explicit BlockCache(Listener& listener) : listener_(listener) {}

    /// Applies an update of a block record; null: the record was deleted. A malformed record is logged and
    /// ignored.
    void apply(const std::string& id, const Json* value, Revision mod_revision);

    const std::map<std::string, Block>& all() const { return blocks_; }
    const Block* find(const std::string& id) const;
    const Block* find_by_machine(const std::string& machine) const;
    std::size_t machine_count() const { return block_by_machine_.size(); }
    /// Returns the cores of the shard's machines, without machines that are retired.
    Milli capacity_of(const std::string& shard, const MachineTypeCatalog& types) const;

    /// Marks the machine as being moved to another block record by a block split. When its old block no
    /// longer lists it, it does not count as removed: until its new record arrives its tasks would otherwise
    /// be started a second time.
    void begin_split(const std::string& machine, const std::string& new_block) {
        split_targets_[machine] = new_block;
    }
    /// Ends the split, whether it was committed or not.
    void end_split(const std::string& machine, const std::string& new_block);

  private:
    void remove_machine(const std::string& machine);

    Listener& listener_;
    std::map<std::string, Block> blocks_;
    std::unordered_map<std::string, std::string> block_by_machine_;  // machine -> block
    std::map<std::string, std::string> split_targets_;               // machine -> its new block
};

}  // namespace cottonway
