#include "cache/block_cache.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

const Block* BlockCache::find(const std::string& id) const {
    auto it = blocks_.find(id);
    return it == blocks_.end() ? nullptr : &it->second;
}

const Block* BlockCache::find_by_machine(const std::string& machine) const {
    auto it = block_by_machine_.find(machine);
    return it == block_by_machine_.end() ? nullptr : find(it->second);
}

Milli BlockCache::capacity_of(const std::string& shard, const MachineTypeCatalog& types) const {
    Milli cores = 0;
    for (const auto& [id, block] : blocks_) {
        if (block.shard != shard) continue;
        const MachineType* type = types.find(block.type);
        if (!type) continue;
        cores +=
            type->size.cores * std::count_if(block.machines.begin(), block.machines.end(),
                                             [](const Block::Machine& machine) { return !machine.retired; });
    }
    return cores;
}

void BlockCache::remove_machine(const std::string& machine) {
    block_by_machine_.erase(machine);
    listener_.on_machine_left(machine);
}

void BlockCache::end_split(const std::string& machine, const std::string& new_block) {
    split_targets_.erase(machine);
    // If the split was not committed and another commit has removed the machine from its old block, no block
    // lists it any more.
    auto current_block = block_by_machine_.find(machine);
    if (current_block != block_by_machine_.end() && current_block->second == new_block &&
        !blocks_.count(new_block))
        remove_machine(machine);
}

void BlockCache::apply(const std::string& id, const Json* value, Revision mod_revision) {
    auto it = blocks_.find(id);
    if (it != blocks_.end() && it->second.mod_revision >= mod_revision) return;
    std::optional<Block> updated;
    if (value) {
        updated = Block::parse(id, *value, mod_revision);
        if (!updated) {
            // Applying it would remove all machines of the block.
            spdlog::error("block {}: ignored a malformed record", id);
            return;
        }
    }
    std::vector<std::string> removed;
    if (it != blocks_.end())
        for (const auto& machine : it->second.machines)
            if (!updated || !updated->find(machine.name)) removed.push_back(machine.name);
    if (updated)
        blocks_[id] = std::move(*updated);
    else
        blocks_.erase(id);
    for (const auto& name : removed) {
        auto current_block = block_by_machine_.find(name);
        if (current_block == block_by_machine_.end() || current_block->second != id)
            continue;  // the machine has moved to another block
        if (auto split = split_targets_.find(name); split != split_targets_.end()) {
            current_block->second = split->second;  // the update of its new block record follows
            continue;
        }
        remove_machine(name);
    }
    auto block = blocks_.find(id);
    if (block == blocks_.end()) return;
    for (const auto& machine : block->second.machines) {
        auto& current_block = block_by_machine_[machine.name];
        if (!current_block.empty() && current_block != id) {
            const Block* other = find(current_block);
            if (other && other->mod_revision > mod_revision && other->find(machine.name)) continue;
        }
        current_block = id;
        listener_.on_machine(block->second, machine);
    }
}

}  // namespace cottonway
