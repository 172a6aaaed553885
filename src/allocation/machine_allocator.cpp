#include "allocation/machine_allocator.hpp"

#include <algorithm>
#include <utility>

#include "allocation/autoscaler.hpp"
#include "cluster/peer_directory.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kAllocateInterval = 300 * kMillisecond;
// How long a new leader collects unallocated machines before it leases the first blocks.
constexpr Micros kNewLeaderDelay = 800 * kMillisecond;
constexpr std::size_t kMachineRecordBytes = 56;  // of one machine in a block record, with room to grow
// A shard with waiting tasks is preferred only while it has fewer cores than this multiple of the average.
constexpr double kMaxOfAverageCores = 1.5;
// A shard gets this many times as many spot machines of its holder's own zone as other shards do.
constexpr double kOwnZoneWeight = 3;
// Reports a second, per core that a controller may use, beyond which no single controller should hold all
// machines: a report costs a few tenths of a millisecond including everything that it triggers, and most of
// the processor time must be left for bursts, users and taking over after failures.
constexpr double kMaxReportsPerCore = 400;
constexpr Micros kRetireMaxDelay = 1'500 * kMillisecond;  // so that one change retires many machines
// Shorter than for retiring, since the tasks of deleted machines count as possibly running until their
// entries are removed.
constexpr Micros kRemoveMaxDelay = 500 * kMillisecond;
constexpr Micros kMaxDeferral = 20 * kSecond;  // then an edit is committed with normal priority
constexpr Micros kRetryDelay = 300 * kMillisecond;
constexpr Micros kSplitInterval = kSecond;
constexpr std::size_t kMaxReturnedNames = 10'000;

std::function<bool(Block&)> retire_in(const std::string& machine) {
    return [machine](Block& record) {
        Block::Machine* entry = record.find(machine);
        return entry && !std::exchange(entry->retired, true);
    };
}

}  // namespace

// ---------------------------------------------------------------- editing blocks

/// Queues an edit. The edits of one record are batched, so that edits of many machines cost one write. An
/// edit is applied to the current record again and again until it is committed or has nothing left to change:
/// if the store executes an earlier attempt late, that attempt fails its condition on the revision, or has
/// already made the change.
void MachineAllocator::edit_block(const std::string& id, Edit edit, Micros max_delay) {
    BlockEdits& edits = edits_[id];
    const Micros deadline = runtime_.now() + max_delay;
    if (edits.queued.empty()) edits.first_queued_at = runtime_.now();
    if (edits.queued.empty() || deadline < edits.due) edits.due = deadline;
    edits.urgent = max_delay < kRetireMaxDelay || (edits.urgent && !edits.queued.empty());
    edits.queued.push_back(std::move(edit));
}

void MachineAllocator::flush_edits() {
    for (auto it = edits_.begin(); it != edits_.end();) {
        if (!it->second.in_flight && it->second.queued.empty()) {
            it = edits_.erase(it);
            continue;
        }
        if (!it->second.in_flight && runtime_.now() >= std::max(it->second.retry_at, it->second.due))
            flush(it->first, it->second);
        ++it;
    }
}

void MachineAllocator::flush(const std::string& id, BlockEdits& edits) {
    auto finish = [](std::vector<Edit> finished, bool ok) {
        for (auto& edit : finished)
            if (edit.done) edit.done(ok);
    };
    const Block* block = cache_.blocks.find(id);
    if (!block) return finish(std::exchange(edits.queued, {}), true);
    Block next = *block;
    bool changed = false;
    for (const auto& edit : edits.queued) changed = edit.change(next) || changed;
    if (!changed) return finish(std::exchange(edits.queued, {}), true);
    Change change;
    const ShardOwner* owner = assignment_.find(next.shard);
    if (owner)
        change.conditions.push_back({keys::shard + next.shard, owner->mod_revision()});
    else if (election_.is_leader())
        change.conditions.push_back({keys::leader, election_.term()});
    else
        return finish(std::exchange(edits.queued, {}), false);
    // Retiring a machine may wait until the store has capacity to spare, but not for ever.
    const bool deferrable = !edits.urgent && runtime_.now() - edits.first_queued_at < kMaxDeferral;
    change.priority = deferrable ? Priority::Deferrable : Priority::Normal;
    if (!store_.has_write_budget(change.priority)) return;
    change.conditions.push_back({keys::block + id, next.mod_revision});
    const Json value = next.machines.empty() ? Json() : next.to_json();
    change.writes.push_back({keys::block + id, value});
    change.purpose = "block";
    edits.in_flight = true;
    store_.commit(std::move(change), [this, id, value, finish, committed = std::exchange(edits.queued, {})](
                                         const CommitResult& result) mutable {
        if (result.status == CommitStatus::Ok) {
            edits_[id].in_flight = false;
            cache_.apply(keys::block + id, value.is_null() ? nullptr : &value, result.revision);
            return finish(std::move(committed), true);
        }
        const Micros delay = result.status == CommitStatus::Rejected ? kRejectedRetryDelay : kRetryDelay;
        auto requeue = [this, id, delay, committed = std::move(committed)](bool) mutable {
            BlockEdits& pending = edits_[id];
            pending.in_flight = false;
            pending.retry_at = runtime_.now() + delay;
            pending.queued.insert(pending.queued.begin(), std::make_move_iterator(committed.begin()),
                                  std::make_move_iterator(committed.end()));
        };
        feed_.after_next_refresh(std::move(requeue));
    });
}

void MachineAllocator::edit_machine(const std::string& shard, const std::string& machine,
                                    ShardContext::MachineEdit edit, std::function<void(bool)> done) {
    const Block* block = cache_.blocks.find_by_machine(machine);
    const ShardOwner* owner = assignment_.find(shard);
    if (!block || block->shard != shard || !owner) return runtime_.after(0, [done] { done(false); });
    if (edit == ShardContext::MachineEdit::RetireNow)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, 0);
    if (edit == ShardContext::MachineEdit::Retire)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, kRetireMaxDelay);
    // The revision of the next commit becomes the token. It is higher than any token in use now.
    Revision highest_token = owner->mod_revision();
    for (const auto& entry : block->machines)
        if (entry.name == machine) highest_token = std::max(highest_token, entry.token);
    edit_block(block->id,
               {[machine, highest_token](Block& record) {
                    Block::Machine* entry = record.find(machine);
                    if (!entry || entry->token > highest_token) return false;
                    entry->raise_token = true;
                    return true;
                },
                std::move(done)},
               0);
}

void MachineAllocator::retire(const std::string& machine) {
    if (const Block* block = cache_.blocks.find_by_machine(machine))
        edit_block(block->id, {retire_in(machine), nullptr}, kRetireMaxDelay);
}

void MachineAllocator::remove_from_blocks(const std::vector<std::string>& machines) {
    std::map<std::string, std::vector<std::string>> by_block;
    for (const auto& name : machines)
        if (const Block* block = cache_.blocks.find_by_machine(name)) by_block[block->id].push_back(name);
    for (auto& [id, names] : by_block)
        edit_block(id,
                   {[names](Block& record) {
                        return std::erase_if(record.machines, [&](const Block::Machine& entry) {
                                   return std::find(names.begin(), names.end(), entry.name) != names.end();
                               }) > 0;
                    },
                    nullptr},
                   kRemoveMaxDelay);
}

/// Returns how many machines fit into a block record.
std::size_t MachineAllocator::max_block_machines() const {
    return std::max<std::size_t>(settings_.max_value_bytes * 17 / 20 / kMachineRecordBytes, 1);
}

/// Splits a block into several records in one transaction. Each machine keeps its token, so its tasks are not
/// affected. If not all parts fit into one transaction, the block is split again later.
void MachineAllocator::split(const Block& block, const ShardOwner& owner) {
    Block rest = block;
    std::vector<Block> parts;
    while (rest.machines.size() > max_block_machines() && parts.size() + 1 < settings_.max_txn_ops) {
        Block part = block;
        part.id = next_block_id(owner.mod_revision());
        const auto from = rest.machines.end() - static_cast<std::ptrdiff_t>(max_block_machines());
        part.machines.assign(from, rest.machines.end());
        rest.machines.erase(from, rest.machines.end());
        parts.push_back(std::move(part));
    }
    Change change;
    change.priority = Priority::Deferrable;
    change.conditions = {{keys::shard + block.shard, owner.mod_revision()},
                         {keys::block + block.id, block.mod_revision}};
    // The new records come first: a machine that another block lists already does not count as gone when its
    // old block no longer lists it.
    std::vector<std::pair<std::string, Json>> writes;
    for (const auto& part : parts) {
        change.conditions.push_back({keys::block + part.id, 0});
        writes.emplace_back(part.id, part.to_json());
    }
    writes.emplace_back(block.id, rest.to_json());
    for (const auto& [id, value] : writes) change.writes.push_back({keys::block + id, value});
    change.purpose = "split";
    edits_[block.id].in_flight = true;  // keeps edits of the record waiting until the split is known
    spdlog::info("block {}: {} machines, split into {}", block.id, block.machines.size(), writes.size());
    for (const auto& part : parts)
        for (const auto& entry : part.machines) cache_.blocks.begin_split(entry.name, part.id);
    commit_until_outcome_known(runtime_, store_, feed_, std::move(change),
                               [this, id = block.id, writes, parts](const CommitResult& result) {
                                   if (auto edits = edits_.find(id); edits != edits_.end())
                                       edits->second.in_flight = false;
                                   if (result.status == CommitStatus::Ok)
                                       for (const auto& [block_id, value] : writes)
                                           cache_.apply(keys::block + block_id, &value, result.revision);
                                   for (const auto& part : parts)
                                       for (const auto& entry : part.machines)
                                           cache_.blocks.end_split(entry.name, part.id);
                               });
}

void MachineAllocator::split_blocks() {
    const Micros now = runtime_.now();
    if (!cache_.formats.is_read_by_all(format::kChunksAndDependencies) || now - split_at_ < kSplitInterval ||
        !store_.has_write_budget(Priority::Deferrable))
        return;
    split_at_ = now;
    for (const auto& [id, block] : cache_.blocks.all()) {
        const ShardOwner* owner = assignment_.find(block.shard);
        if (owner && !edits_.count(id) && block.machines.size() > max_block_machines())
            return split(block, *owner);
    }
}

// ---------------------------------------------------------------- leasing

void MachineAllocator::allocate(const Block::Machine& machine, const std::string& type,
                                const std::string& zone, bool spot, std::function<void()> done) {
    auto [it, added] = unallocated_.try_emplace(machine.name);
    UnallocatedMachine& unallocated = it->second;
    if (added) unallocated = {machine, type, zone, spot, false, {}};
    if (unallocated.machine.address.empty()) unallocated.machine.address = machine.address;
    if (done) unallocated.callbacks.push_back(std::move(done));
}

void MachineAllocator::drop_unallocated(const std::string& machine) {
    auto unallocated = unallocated_.extract(machine);
    if (!unallocated) return;
    // The callbacks run after all changes that the feed has just delivered are applied.
    for (auto& done : unallocated.mapped().callbacks) runtime_.after(0, std::move(done));
}

void MachineAllocator::on_machine_removed(const std::string& machine) {
    drop_unallocated(machine);
    returned_.put(machine, {});
    if (returned_.size() > kMaxReturnedNames) returned_.erase(std::string(returned_.oldest().first));
}

bool MachineAllocator::spreads_machines() const {
    const std::size_t machines =
        std::max(cache_.blocks.machine_count() + unallocated_.size(), autoscaler_.listed_machine_count());
    const double reports_per_second =
        static_cast<double>(machines) * 1e6 / static_cast<double>(settings_.report_interval);
    return peers_.count() > 0 && reports_per_second > kMaxReportsPerCore * settings_.cpu_cores;
}

std::vector<std::string> MachineAllocator::target_shards() const {
    std::vector<std::string> targets;
    std::string largest, own;
    Milli largest_cores = 0;
    for (const auto& [name, record] : cache_.membership.shards()) {
        if (!cache_.membership.is_alive(record.holder)) continue;
        targets.push_back(name);
        if (record.holder == settings_.node && (own.empty() || name == settings_.node)) own = name;
        if (const Milli cores = cache_.capacity_of(name); cores > largest_cores) {
            largest_cores = cores;
            largest = name;
        }
    }
    if (spreads_machines()) return targets;
    if (!largest.empty()) return {largest};
    return own.empty() ? std::vector<std::string>{} : std::vector{own};
}

void MachineAllocator::allocate_blocks() {
    const Micros now = runtime_.now();
    if (!election_.is_leader()) {
        while (!unallocated_.empty()) drop_unallocated(std::string(unallocated_.begin()->first));
        return;
    }
    if (unallocated_.empty() || now - allocated_at_ < kAllocateInterval) return;
    if (now - autoscaler_.leading_since() < kNewLeaderDelay || !store_.has_write_budget(Priority::Normal))
        return;
    allocated_at_ = now;
    struct Shape {
        std::string type, zone;
        bool spot;
        auto operator<=>(const Shape&) const = default;
    };
    std::map<Shape, std::vector<std::string>> machines_by_shape;
    for (const auto& [name, unallocated] : unallocated_)
        if (!unallocated.in_flight)
            machines_by_shape[{unallocated.type, unallocated.zone, unallocated.spot}].push_back(name);
    const auto shards = target_shards();
    if (machines_by_shape.empty() || shards.empty()) return;
    // Each shard's cores by zone and kind (spot or not), and its machines by shape.
    std::map<std::tuple<std::string, std::string, bool>, Milli> shard_cores;
    std::map<std::pair<std::string, Shape>, std::size_t> shard_machines;
    auto cores_of_type = [&](const std::string& type) {
        const MachineType* machine_type = cache_.machine_types.find(type);
        return machine_type ? machine_type->size.cores : Milli{1000};
    };
    for (const auto& [id, block] : cache_.blocks.all()) {
        shard_machines[{block.shard, {block.type, block.zone, block.spot}}] += block.machines.size();
        shard_cores[{block.shard, block.zone, block.spot}] +=
            cores_of_type(block.type) * static_cast<Milli>(block.machines.size());
    }
    // Machines go to owners with waiting tasks, as long as no shard becomes much larger than the average:
    // machines that first go elsewhere are transferred one by one later, at two or more changes each.
    std::map<std::string, Milli> waiting;
    std::map<std::string, Milli> capacity;
    Milli average = 0;
    for (const auto& shard : shards) {
        capacity[shard] = cache_.capacity_of(shard);
        average += capacity[shard] / static_cast<Milli>(shards.size());
        if (const ShardOwner* owner = assignment_.find(shard); owner && owner->active())
            waiting[shard] = owner->load().waiting;
        else if (const auto* peer_load = peers_.shard_load(shard))
            waiting[shard] = peer_load->waiting;
    }
    const std::size_t max_machines = max_block_machines();
    for (const auto& [shape, names] : machines_by_shape) {
        // Machines are distributed evenly over the shards, but a shard gets more of the spot machines in its
        // holder's own zone: if the zones are cut off from each other, those machines keep working
        // undisturbed. Ordinary machines run the services, which are spread over zones, so every shard needs
        // them in all zones.
        auto allocation_order = [&, machine_shape = shape](const std::string& shard) {
            const bool own_zone =
                machine_shape.spot &&
                settings_.zone_of(cache_.membership.shards().at(shard).holder) == machine_shape.zone;
            const double weight = own_zone ? kOwnZoneWeight : 1.0;
            const bool wanted = waiting[shard] > 0 && static_cast<double>(capacity[shard]) <
                                                          static_cast<double>(average) * kMaxOfAverageCores;
            return std::tuple(
                !wanted,
                static_cast<double>(shard_cores[{shard, machine_shape.zone, machine_shape.spot}]) / weight,
                static_cast<double>(shard_machines[{shard, machine_shape}]) / weight, shard);
        };
        std::map<std::string, std::vector<std::string>> names_by_shard;
        for (const auto& name : names) {
            const std::string target = *std::min_element(
                shards.begin(), shards.end(),
                [&](const auto& a, const auto& b) { return allocation_order(a) < allocation_order(b); });
            ++shard_machines[{target, shape}];
            waiting[target] -= cores_of_type(shape.type);
            capacity[target] += cores_of_type(shape.type);
            shard_cores[{target, shape.zone, shape.spot}] += cores_of_type(shape.type);
            names_by_shard[target].push_back(name);
        }
        for (auto& [shard, shard_names] : names_by_shard) {
            for (std::size_t i = 0; i < shard_names.size(); i += max_machines) {
                const std::vector<std::string> block_names(
                    shard_names.begin() + static_cast<std::ptrdiff_t>(i),
                    shard_names.begin() +
                        static_cast<std::ptrdiff_t>(std::min(shard_names.size(), i + max_machines)));
                Block block;
                block.id = next_block_id(election_.term());
                block.shard = shard;
                block.type = shape.type;
                block.zone = shape.zone;
                block.spot = shape.spot;
                for (const auto& name : block_names) {
                    auto& unallocated = unallocated_.at(name);
                    unallocated.in_flight = true;
                    block.machines.push_back(unallocated.machine);
                }
                lease_block(std::move(block), block_names);
            }
        }
    }
}

/// Creates a block. A write without an answer may still be executed later, after its machines were leased
/// again and transferred to another shard: it would then take them away from their holder. The condition that
/// the block's key does not exist does not prevent this, since empty blocks are deleted. So no machine is
/// leased twice in one term: the leader first starts a new term, and the earlier write then fails its
/// condition on the leader record.
void MachineAllocator::lease_block(Block block, std::vector<std::string> machines) {
    const Revision term = election_.term();
    Change change;
    change.conditions.push_back({keys::leader, term});
    change.conditions.push_back({keys::block + block.id, 0});
    const Json value = block.to_json();
    change.writes.push_back({keys::block + block.id, value});
    change.purpose = "lease";
    store_.commit(std::move(change), [this, block, value, machines, term](const CommitResult& result) {
        if (result.status == CommitStatus::Ok) {
            spdlog::info("block {}: {} {} machines in {}{} leased to {}", block.id, machines.size(),
                         block.type, block.zone, block.spot ? ", spot," : "", block.shard);
            return cache_.apply(keys::block + block.id, &value, result.revision);
        }
        const bool not_executed = result.status == CommitStatus::Unavailable;
        if (!not_executed && result.status != CommitStatus::Unknown) {
            // A later report or list queues them again.
            for (const auto& name : machines) drop_unallocated(name);
            return;
        }
        feed_.after_next_refresh([this, block, machines, term, not_executed](bool) {
            const bool same_term = election_.is_leader() && election_.term() == term;
            if (not_executed && same_term) return lease_block(block, machines);
            for (const auto& name : machines) drop_unallocated(name);
            if (!same_term || cache_.blocks.find(block.id)) return;  // the write was executed after all
            spdlog::info("block {}: it is unknown whether the lease was committed; starting a new term",
                         block.id);
            election_.abandon_term(term);
        });
    });
}

// ---------------------------------------------------------------- transferring machines

/// Transfers idle machines to a shard with waiting tasks: in one transaction they leave their blocks and form
/// a new one. Only the holder does this, and only with machines without tasks, so no task's state becomes
/// uncertain.
void MachineAllocator::transfer_idle_machines(ShardOwner& from, const peer::CapacityRequest& request,
                                              std::function<void(peer::Grant)> done) {
    const OwnershipRecord* receiver = cache_.membership.shard(request.shard);
    if (!from.active() || !receiver || receiver->mod_revision != request.mod_revision ||
        request.shard == from.shard() || !store_.has_write_budget(Priority::Normal))
        return done({});
    std::vector<std::string> offered = from.offer_idle_machines(request);
    // All machines go into one new record, so they must have the same shape. They are taken from as many
    // records as fit into a transaction.
    Block next;
    std::map<std::string, Block> sources;
    std::vector<std::string> kept, transferred;
    for (const auto& name : offered) {
        const Block* block = cache_.blocks.find_by_machine(name);
        const bool first = next.type.empty();
        const bool fits =
            block && block->shard == from.shard() && !edits_.count(block->id) &&
            (first || (block->type == next.type && block->zone == next.zone && block->spot == next.spot)) &&
            (sources.count(block->id) || sources.size() + 2 <= settings_.max_txn_ops) &&
            transferred.size() < max_block_machines();
        if (!fits) {
            kept.push_back(name);
            continue;
        }
        if (first) {
            next.type = block->type;
            next.zone = block->zone;
            next.spot = block->spot;
        }
        Block& source = sources.try_emplace(block->id, *block).first->second;
        Block::Machine entry = *source.find(name);
        entry.token = 0;  // becomes the revision of this change, which is higher than any token sent so far
        entry.retired = false;
        next.machines.push_back(entry);
        std::erase_if(source.machines, [&](const Block::Machine& listed) { return listed.name == name; });
        transferred.push_back(name);
    }
    from.withdraw_offer(kept);
    if (transferred.empty()) return done({});
    next.id = next_block_id(from.mod_revision());
    next.shard = request.shard;
    Change change;
    change.conditions.push_back({keys::shard + from.shard(), from.mod_revision()});
    change.conditions.push_back({keys::block + next.id, 0});
    std::vector<std::pair<std::string, Json>> writes{{next.id, next.to_json()}};
    for (auto& [id, source] : sources) {
        change.conditions.push_back({keys::block + id, source.mod_revision});
        writes.emplace_back(id, source.machines.empty() ? Json() : source.to_json());
        edits_[id].in_flight = true;  // keeps edits of the record waiting until the transfer is known
    }
    for (const auto& [id, value] : writes) change.writes.push_back({keys::block + id, value});
    change.purpose = "move";
    spdlog::info("block {}: {} idle {} machines in {} move from {} to {}", next.id, transferred.size(),
                 next.type, next.zone, from.shard(), request.shard);
    commit_until_outcome_known(
        runtime_, store_, feed_, std::move(change),
        [this, shard = from.shard(), writes, transferred,
         done = std::move(done)](const CommitResult& result) {
            for (const auto& [id, value] : writes)
                if (auto edits = edits_.find(id); edits != edits_.end()) edits->second.in_flight = false;
            if (result.status == CommitStatus::Ok)
                for (const auto& [id, value] : writes)
                    cache_.apply(keys::block + id, value.is_null() ? nullptr : &value, result.revision);
            // Machines that were not transferred may be bound to again.
            if (ShardOwner* owner = assignment_.find(shard)) owner->withdraw_offer(transferred);
            done(
                {{}, result.status == CommitStatus::Ok ? static_cast<std::uint32_t>(transferred.size()) : 0});
        });
}

}  // namespace cottonway
