#include "allocation/machine_allocator.hpp"

#include <algorithm>
#include <utility>

#include "allocation/autoscaler.hpp"
#include "cluster/peer_directory.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kLeaseEvery = 300 * kMillisecond;
constexpr Micros kLeadPause = 800 * kMillisecond;  // gather what is there before the first blocks are leased
constexpr std::size_t kMachineBytes = 56;          // of a machine in a record, with some room to grow
constexpr double kMostOfAverage = 1.5;  // of the shards' cores, that waiting tasks may gather at one
constexpr double kOwnZone = 3;          // times as many machines of the holder's own zone
// Reports a second, per core that a controller may use, beyond which one controller had better not hold all
// machines: a report costs a few tenths of a millisecond with all that follows from it, and most of the share
// must be left for bursts, users and the loss of others.
constexpr double kReportsPerCore = 400;
constexpr Micros kReturnPatience = 1'500 * kMillisecond;  // of returns, so that one change does for many
constexpr Micros kForgetPatience = 500 * kMillisecond;    // what was on them is in doubt until then
constexpr Micros kReturnLatest = 20 * kSecond;
constexpr Micros kRetry = 300 * kMillisecond;
constexpr Micros kSplitEvery = kSecond;
constexpr std::size_t kMaxReturned = 10'000;

std::function<bool(Block&)> retire_in(const std::string& machine) {
    return [machine](Block& b) {
        Block::Machine* m = b.find(machine);
        return m && !std::exchange(m->retired, true);
    };
}

}  // namespace

// ---------------------------------------------------------------- rewriting

/// Changes to one record are gathered, so that many machines cost one put. A change is repeated on the record
/// as it is until it has been made or has nothing left to do: a late execution of an earlier try fails on the
/// mark, or has made the change.
void MachineAllocator::edit_block(const std::string& id, Edit edit, Micros patience) {
    Edits& edits = edits_[id];
    const Micros by = runtime_.now() + patience;
    if (edits.waiting.empty()) edits.since = runtime_.now();
    if (edits.waiting.empty() || by < edits.due) edits.due = by;
    edits.urgent = patience < kReturnPatience || (edits.urgent && !edits.waiting.empty());
    edits.waiting.push_back(std::move(edit));
}

void MachineAllocator::flush_edits() {
    for (auto it = edits_.begin(); it != edits_.end();) {
        if (!it->second.in_flight && it->second.waiting.empty()) {
            it = edits_.erase(it);
            continue;
        }
        if (!it->second.in_flight && runtime_.now() >= std::max(it->second.not_before, it->second.due))
            flush(it->first, it->second);
        ++it;
    }
}

void MachineAllocator::flush(const std::string& id, Edits& edits) {
    auto finish = [](std::vector<Edit> list, bool ok) {
        for (auto& e : list)
            if (e.done) e.done(ok);
    };
    const Block* block = cache_.blocks.find(id);
    if (!block) return finish(std::exchange(edits.waiting, {}), true);
    Block next = *block;
    bool changed = false;
    for (const auto& e : edits.waiting) changed = e.change(next) || changed;
    if (!changed) return finish(std::exchange(edits.waiting, {}), true);
    Change change;
    const ShardOwner* o = assignment_.find(next.shard);
    if (o)
        change.conditions.push_back({keys::shard + next.shard, o->mod_revision()});
    else if (election_.leading())
        change.conditions.push_back({keys::leader, election_.term()});
    else
        return finish(std::exchange(edits.waiting, {}), false);
    // Returns can wait for quiet moments, though not for ever.
    const bool waits = !edits.urgent && runtime_.now() - edits.since < kReturnLatest;
    change.priority = waits ? Priority::Deferrable : Priority::Normal;
    if (!store_.has_write_budget(change.priority)) return;
    change.conditions.push_back({keys::block + id, next.mod_revision});
    const Json value = next.machines.empty() ? Json() : next.to_json();
    change.writes.push_back({keys::block + id, value});
    change.purpose = "block";
    edits.in_flight = true;
    store_.commit(std::move(change), [this, id, value, finish, list = std::exchange(edits.waiting, {})](
                                         const CommitResult& r) mutable {
        if (r.status == CommitStatus::Ok) {
            edits_[id].in_flight = false;
            cache_.take(keys::block + id, value.is_null() ? nullptr : &value, r.revision);
            return finish(std::move(list), true);
        }
        const Micros pause = r.status == CommitStatus::Rejected ? kRejectedRetryDelay : kRetry;
        auto again = [this, id, pause, list = std::move(list)](bool) mutable {
            Edits& e = edits_[id];
            e.in_flight = false;
            e.not_before = runtime_.now() + pause;
            e.waiting.insert(e.waiting.begin(), std::make_move_iterator(list.begin()),
                             std::make_move_iterator(list.end()));
        };
        feed_.after_next_refresh(std::move(again));
    });
}

void MachineAllocator::edit(const std::string& shard, const std::string& machine,
                            ShardContext::MachineEdit edit, std::function<void(bool)> done) {
    const Block* block = cache_.blocks.of(machine);
    const ShardOwner* o = assignment_.find(shard);
    if (!block || block->shard != shard || !o) return runtime_.after(0, [done] { done(false); });
    if (edit == ShardContext::MachineEdit::RetireNow)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, 0);
    if (edit == ShardContext::MachineEdit::Retire)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, kReturnPatience);
    // Its own next mark is higher than every token that anyone holds now.
    Revision above = o->mod_revision();
    for (const auto& m : block->machines)
        if (m.name == machine) above = std::max(above, m.token);
    edit_block(block->id,
               {[machine, above](Block& b) {
                    Block::Machine* m = b.find(machine);
                    if (!m || m->token > above) return false;
                    m->raise_token = true;
                    return true;
                },
                std::move(done)},
               0);
}

void MachineAllocator::retire(const std::string& machine) {
    if (const Block* block = cache_.blocks.of(machine))
        edit_block(block->id, {retire_in(machine), nullptr}, kReturnPatience);
}

void MachineAllocator::forget(const std::vector<std::string>& machines) {
    std::map<std::string, std::vector<std::string>> by_block;
    for (const auto& name : machines)
        if (const Block* block = cache_.blocks.of(name)) by_block[block->id].push_back(name);
    for (auto& [id, names] : by_block)
        edit_block(id,
                   {[names](Block& b) {
                        return std::erase_if(b.machines, [&](const Block::Machine& m) {
                                   return std::find(names.begin(), names.end(), m.name) != names.end();
                               }) > 0;
                    },
                    nullptr},
                   kForgetPatience);
}

/// How many machines a record has room for.
std::size_t MachineAllocator::block_size() const {
    return std::max<std::size_t>(settings_.max_value_bytes * 17 / 20 / kMachineBytes, 1);
}

/// Into several records, in one change; each machine keeps its token, so nothing is disturbed. What does not
/// fit into one change is split once more later.
void MachineAllocator::split(const Block& block, const ShardOwner& o) {
    Block rest = block;
    std::vector<Block> parts;
    while (rest.machines.size() > block_size() && parts.size() + 1 < settings_.max_txn_ops) {
        Block part = block;
        part.id = next_id(o.mod_revision());
        const auto from = rest.machines.end() - static_cast<std::ptrdiff_t>(block_size());
        part.machines.assign(from, rest.machines.end());
        rest.machines.erase(from, rest.machines.end());
        parts.push_back(std::move(part));
    }
    Change change;
    change.priority = Priority::Deferrable;
    change.conditions = {{keys::shard + block.shard, o.mod_revision()},
                         {keys::block + block.id, block.mod_revision}};
    // The new ones first: a machine that is in another block already has not left when the old one loses it.
    std::vector<std::pair<std::string, Json>> writes;
    for (const auto& part : parts) {
        change.conditions.push_back({keys::block + part.id, 0});
        writes.emplace_back(part.id, part.to_json());
    }
    writes.emplace_back(block.id, rest.to_json());
    for (const auto& [id, value] : writes) change.writes.push_back({keys::block + id, value});
    change.purpose = "split";
    edits_[block.id].in_flight = true;  // nothing else rewrites it meanwhile
    spdlog::info("block {}: {} machines, split into {}", block.id, block.machines.size(), writes.size());
    for (const auto& part : parts)
        for (const auto& m : part.machines) cache_.blocks.split_begins(m.name, part.id);
    commit_until_known(runtime_, store_, feed_, std::move(change),
                       [this, id = block.id, writes, parts](const CommitResult& r) {
                           if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
                           if (r.status == CommitStatus::Ok)
                               for (const auto& [at, value] : writes)
                                   cache_.take(keys::block + at, &value, r.revision);
                           for (const auto& part : parts)
                               for (const auto& m : part.machines) cache_.blocks.split_ends(m.name, part.id);
                       });
}

void MachineAllocator::split_blocks() {
    const Micros now = runtime_.now();
    if (!cache_.formats.common(format::kPipelines) || now - split_at_ < kSplitEvery ||
        !store_.has_write_budget(Priority::Deferrable))
        return;
    split_at_ = now;
    for (const auto& [id, block] : cache_.blocks.all()) {
        const ShardOwner* o = assignment_.find(block.shard);
        if (o && !edits_.count(id) && block.machines.size() > block_size()) return split(block, *o);
    }
}

// ---------------------------------------------------------------- leasing

void MachineAllocator::allocate(const Block::Machine& machine, const std::string& type,
                                const std::string& zone, bool spot, std::function<void()> done) {
    auto [it, added] = unallocated_.try_emplace(machine.name);
    UnallocatedMachine& u = it->second;
    if (added) u = {machine, type, zone, spot, false, {}};
    if (u.machine.address.empty()) u.machine.address = machine.address;
    if (done) u.done.push_back(std::move(done));
}

void MachineAllocator::forget_unallocated(const std::string& machine) {
    auto u = unallocated_.extract(machine);
    if (!u) return;
    // Once all that the news tells has been taken in.
    for (auto& done : u.mapped().done) runtime_.after(0, std::move(done));
}

void MachineAllocator::left(const std::string& machine) {
    forget_unallocated(machine);
    returned_.put(machine, {});
    if (returned_.size() > kMaxReturned) returned_.erase(std::string(returned_.oldest().first));
}

bool MachineAllocator::spread_out() const {
    const std::size_t machines =
        std::max(cache_.blocks.machines() + unallocated_.size(), autoscaler_.known());
    const double reports =
        static_cast<double>(machines) * 1e6 / static_cast<double>(settings_.report_interval);
    return peers_.count() > 0 && reports > kReportsPerCore * settings_.cpu_cores;
}

std::vector<std::string> MachineAllocator::targets() const {
    std::vector<std::string> targets;
    std::string largest, ours;
    Milli most = 0;
    for (const auto& [name, d] : cache_.membership.shards()) {
        if (!cache_.membership.alive(d.holder)) continue;
        targets.push_back(name);
        if (d.holder == settings_.node && (ours.empty() || name == settings_.node)) ours = name;
        if (const Milli cores = cache_.capacity_of(name); cores > most) {
            most = cores;
            largest = name;
        }
    }
    if (spread_out()) return targets;
    if (!largest.empty()) return {largest};
    return ours.empty() ? std::vector<std::string>{} : std::vector{ours};
}

void MachineAllocator::allocate_blocks() {
    const Micros now = runtime_.now();
    if (!election_.leading()) {
        while (!unallocated_.empty()) forget_unallocated(std::string(unallocated_.begin()->first));
        return;
    }
    if (unallocated_.empty() || now - allocated_at_ < kLeaseEvery) return;
    if (now - autoscaler_.leading_since() < kLeadPause || !store_.has_write_budget(Priority::Normal)) return;
    allocated_at_ = now;
    struct Shape {
        std::string type, zone;
        bool spot;
        auto operator<=>(const Shape&) const = default;
    };
    std::map<Shape, std::vector<std::string>> fresh;
    for (const auto& [name, u] : unallocated_)
        if (!u.in_flight) fresh[{u.type, u.zone, u.spot}].push_back(name);
    const auto shards = targets();
    if (fresh.empty() || shards.empty()) return;
    // Cores that each shard has by zone and kind, and machines by shape.
    std::map<std::tuple<std::string, std::string, bool>, Milli> cores;
    std::map<std::pair<std::string, Shape>, std::size_t> have;
    auto size_of = [&](const std::string& type) {
        const MachineType* t = cache_.types.find(type);
        return t ? t->size.cores : Milli{1000};
    };
    for (const auto& [id, b] : cache_.blocks.all()) {
        have[{b.shard, {b.type, b.zone, b.spot}}] += b.machines.size();
        cores[{b.shard, b.zone, b.spot}] += size_of(b.type) * static_cast<Milli>(b.machines.size());
    }
    // Toward owners with waiting tasks, as long as that does not gather everything at one: machines that go
    // elsewhere first are moved one by one later, at two changes and more each.
    std::map<std::string, Milli> waiting;
    std::map<std::string, Milli> capacity;
    Milli average = 0;
    for (const auto& shard : shards) {
        capacity[shard] = cache_.capacity_of(shard);
        average += capacity[shard] / static_cast<Milli>(shards.size());
        if (const ShardOwner* o = assignment_.find(shard); o && o->active())
            waiting[shard] = o->load().waiting;
        else if (const auto* told = peers_.load_of(shard))
            waiting[shard] = told->waiting;
    }
    const std::size_t most = block_size();
    for (const auto& [shape, names] : fresh) {
        // Evenly over the shards; of spot machines more to those whose holder is in their zone: where zones
        // can't reach each other, these go on as if nothing had happened. Ordinary ones hold the services,
        // which are spread over zones, so every shard needs them in all zones.
        auto load = [&, s = shape](const std::string& shard) {
            const bool own =
                s.spot && settings_.zone_of(cache_.membership.shards().at(shard).holder) == s.zone;
            const double part = own ? kOwnZone : 1.0;
            const bool wanted = waiting[shard] > 0 && static_cast<double>(capacity[shard]) <
                                                          static_cast<double>(average) * kMostOfAverage;
            return std::tuple(!wanted, static_cast<double>(cores[{shard, s.zone, s.spot}]) / part,
                              static_cast<double>(have[{shard, s}]) / part, shard);
        };
        std::map<std::string, std::vector<std::string>> shares;
        for (const auto& name : names) {
            const std::string to =
                *std::min_element(shards.begin(), shards.end(),
                                  [&](const auto& a, const auto& b) { return load(a) < load(b); });
            ++have[{to, shape}];
            waiting[to] -= size_of(shape.type);
            capacity[to] += size_of(shape.type);
            cores[{to, shape.zone, shape.spot}] += size_of(shape.type);
            shares[to].push_back(name);
        }
        for (auto& [shard, list] : shares) {
            for (std::size_t i = 0; i < list.size(); i += most) {
                const std::vector<std::string> chunk(
                    list.begin() + static_cast<std::ptrdiff_t>(i),
                    list.begin() + static_cast<std::ptrdiff_t>(std::min(list.size(), i + most)));
                Block block;
                block.id = next_id(election_.term());
                block.shard = shard;
                block.type = shape.type;
                block.zone = shape.zone;
                block.spot = shape.spot;
                for (const auto& name : chunk) {
                    auto& u = unallocated_.at(name);
                    u.in_flight = true;
                    block.machines.push_back(u.machine);
                }
                lease_block(std::move(block), chunk);
            }
        }
    }
}

/// Creates a block. One without an answer may still be carried out, also after its machines were leased once
/// more and have moved on: it would take them back from whoever has them. That its key must not exist does
/// not refuse it, since emptied blocks are dropped. So no machine is leased a second time in a term: the
/// leader takes a new one first, and what was sent before fails on its record.
void MachineAllocator::lease_block(Block block, std::vector<std::string> machines) {
    const Revision term = election_.term();
    Change change;
    change.conditions.push_back({keys::leader, term});
    change.conditions.push_back({keys::block + block.id, 0});
    const Json value = block.to_json();
    change.writes.push_back({keys::block + block.id, value});
    change.purpose = "lease";
    store_.commit(std::move(change), [this, block, value, machines, term](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            spdlog::info("block {}: {} {} machines in {}{} leased to {}", block.id, machines.size(),
                         block.type, block.zone, block.spot ? ", spot," : "", block.shard);
            return cache_.take(keys::block + block.id, &value, r.revision);
        }
        const bool unsent = r.status == CommitStatus::Unavailable;
        if (!unsent && r.status != CommitStatus::Unknown) {
            for (const auto& name : machines) forget_unallocated(name);  // they come up again
            return;
        }
        feed_.after_next_refresh([this, block, machines, term, unsent](bool) {
            const bool still = election_.leading() && election_.term() == term;
            if (unsent && still) return lease_block(block, machines);
            for (const auto& name : machines) forget_unallocated(name);
            if (!still || cache_.blocks.find(block.id)) return;  // carried out after all
            spdlog::info("block {}: whether it was leased is not known: a new term begins", block.id);
            election_.close_term(term);
        });
    });
}

// ---------------------------------------------------------------- moving machines

/// Gives idle machines to a shard with waiting tasks: they leave their block and make up a new one, in one
/// change. Only the holder does this, and only with machines that nothing is on, so nothing is in doubt.
void MachineAllocator::give(ShardOwner& from, const peer::CapacityRequest& want,
                            std::function<void(peer::Grant)> done) {
    const ShardRecord* to = cache_.membership.shard(want.shard);
    if (!from.active() || !to || to->mod_revision != want.mod_revision || want.shard == from.shard() ||
        !store_.has_write_budget(Priority::Normal))
        return done({});
    std::vector<std::string> offered = from.offer_idle_machines(want);
    // One new record, so of one shape; and as many old ones as a transaction takes.
    Block next;
    std::map<std::string, Block> sources;
    std::vector<std::string> kept, moved;
    for (const auto& name : offered) {
        const Block* b = cache_.blocks.of(name);
        const bool first = next.type.empty();
        const bool fits = b && b->shard == from.shard() && !edits_.count(b->id) &&
                          (first || (b->type == next.type && b->zone == next.zone && b->spot == next.spot)) &&
                          (sources.count(b->id) || sources.size() + 2 <= settings_.max_txn_ops) &&
                          moved.size() < block_size();
        if (!fits) {
            kept.push_back(name);
            continue;
        }
        if (first) {
            next.type = b->type;
            next.zone = b->zone;
            next.spot = b->spot;
        }
        Block& source = sources.try_emplace(b->id, *b).first->second;
        Block::Machine m = *source.find(name);
        m.token = 0;  // the mark of this very change: higher than anything we have sent
        m.retired = false;
        next.machines.push_back(m);
        std::erase_if(source.machines, [&](const Block::Machine& x) { return x.name == name; });
        moved.push_back(name);
    }
    from.withdraw_offer(kept);
    if (moved.empty()) return done({});
    next.id = next_id(from.mod_revision());
    next.shard = want.shard;
    Change change;
    change.conditions.push_back({keys::shard + from.shard(), from.mod_revision()});
    change.conditions.push_back({keys::block + next.id, 0});
    std::vector<std::pair<std::string, Json>> writes{{next.id, next.to_json()}};
    for (auto& [id, source] : sources) {
        change.conditions.push_back({keys::block + id, source.mod_revision});
        writes.emplace_back(id, source.machines.empty() ? Json() : source.to_json());
        edits_[id].in_flight = true;  // nothing else rewrites it meanwhile
    }
    for (const auto& [id, value] : writes) change.writes.push_back({keys::block + id, value});
    change.purpose = "move";
    spdlog::info("block {}: {} idle {} machines in {} move from {} to {}", next.id, moved.size(), next.type,
                 next.zone, from.shard(), want.shard);
    commit_until_known(
        runtime_, store_, feed_, std::move(change),
        [this, shard = from.shard(), writes, moved, done = std::move(done)](const CommitResult& r) {
            for (const auto& [id, value] : writes)
                if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
            if (r.status == CommitStatus::Ok)
                for (const auto& [id, value] : writes)
                    cache_.take(keys::block + id, value.is_null() ? nullptr : &value, r.revision);
            // Whatever is still here stays.
            if (ShardOwner* o = assignment_.find(shard)) o->withdraw_offer(moved);
            done({{}, r.status == CommitStatus::Ok ? static_cast<std::uint32_t>(moved.size()) : 0});
        });
}

}  // namespace cottonway
