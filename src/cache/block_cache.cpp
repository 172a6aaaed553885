#include "cache/block_cache.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

const Block* BlockCache::find(const std::string& id) const {
    auto it = blocks_.find(id);
    return it == blocks_.end() ? nullptr : &it->second;
}

const Block* BlockCache::find_by_machine(const std::string& machine) const {
    auto id = block_of_.find(machine);
    return id == block_of_.end() ? nullptr : find(id->second);
}

Milli BlockCache::capacity_of(const std::string& shard, const MachineTypeCatalog& types) const {
    Milli cores = 0;
    for (const auto& [id, block] : blocks_) {
        if (block.shard != shard) continue;
        const MachineType* type = types.find(block.type);
        if (!type) continue;
        cores += type->size.cores * std::count_if(block.machines.begin(), block.machines.end(),
                                                  [](const Block::Machine& m) { return !m.retired; });
    }
    return cores;
}

void BlockCache::left(const std::string& machine) {
    block_of_.erase(machine);
    listener_.on_machine_left(machine);
}

void BlockCache::end_split(const std::string& machine, const std::string& into) {
    splitting_.erase(machine);
    // Not split after all, and somebody else has taken it out of the block.
    auto at = block_of_.find(machine);
    if (at != block_of_.end() && at->second == into && !blocks_.count(into)) left(machine);
}

void BlockCache::apply(const std::string& id, const Json* value, Revision mod_revision) {
    auto it = blocks_.find(id);
    if (it != blocks_.end() && it->second.mod_revision >= mod_revision) return;
    std::optional<Block> next;
    if (value) {
        next = Block::parse(id, *value, mod_revision);
        if (!next) {
            // It must not cost the block its machines.
            spdlog::error("block {}: its record is broken and is ignored", id);
            return;
        }
    }
    std::vector<std::string> lost;
    if (it != blocks_.end())
        for (const auto& m : it->second.machines)
            if (!next || !next->find(m.name)) lost.push_back(m.name);
    if (next)
        blocks_[id] = std::move(*next);
    else
        blocks_.erase(id);
    for (const auto& name : lost) {
        auto at = block_of_.find(name);
        if (at == block_of_.end() || at->second != id) continue;  // it has moved to another block
        if (auto split = splitting_.find(name); split != splitting_.end()) {
            at->second = split->second;  // its new record follows
            continue;
        }
        left(name);
    }
    auto block = blocks_.find(id);
    if (block == blocks_.end()) return;
    for (const auto& m : block->second.machines) {
        auto& at = block_of_[m.name];
        if (!at.empty() && at != id) {
            const Block* other = find(at);
            if (other && other->mod_revision > mod_revision && other->find(m.name)) continue;
        }
        at = id;
        listener_.on_machine(block->second, m);
    }
}

}  // namespace cottonway
