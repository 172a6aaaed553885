#include "core/leases.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet.hpp"
#include "core/peers.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kLeaseEvery = 300 * kMillisecond;
constexpr Micros kLeadPause = 800 * kMillisecond;  // gather what is there before the first blocks are leased
constexpr std::size_t kMachineBytes = 56;          // of a machine in a record, with some room to grow
constexpr double kMostOfAverage = 1.5;  // of the domains' cores, that waiting tasks may gather at one
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
void Leases::edit_block(const std::string& id, Edit edit, Micros patience) {
    Edits& edits = edits_[id];
    const Micros by = host_.now() + patience;
    if (edits.waiting.empty()) edits.since = host_.now();
    if (edits.waiting.empty() || by < edits.due) edits.due = by;
    edits.urgent = patience < kReturnPatience || (edits.urgent && !edits.waiting.empty());
    edits.waiting.push_back(std::move(edit));
}

void Leases::flush_edits() {
    for (auto it = edits_.begin(); it != edits_.end();) {
        if (!it->second.in_flight && it->second.waiting.empty()) {
            it = edits_.erase(it);
            continue;
        }
        if (!it->second.in_flight && host_.now() >= std::max(it->second.not_before, it->second.due))
            flush(it->first, it->second);
        ++it;
    }
}

void Leases::flush(const std::string& id, Edits& edits) {
    auto finish = [](std::vector<Edit> list, bool ok) {
        for (auto& e : list)
            if (e.done) e.done(ok);
    };
    const Block* block = replica_.blocks.find(id);
    if (!block) return finish(std::exchange(edits.waiting, {}), true);
    Block next = *block;
    bool changed = false;
    for (const auto& e : edits.waiting) changed = e.change(next) || changed;
    if (!changed) return finish(std::exchange(edits.waiting, {}), true);
    Change change;
    const Owner* o = holdings_.find(next.domain);
    if (o)
        change.when.push_back({keys::domain + next.domain, o->mark()});
    else if (leadership_.leading())
        change.when.push_back({keys::leader, leadership_.term()});
    else
        return finish(std::exchange(edits.waiting, {}), false);
    // Returns can wait for quiet moments, though not for ever.
    const bool waits = !edits.urgent && host_.now() - edits.since < kReturnLatest;
    change.priority = waits ? Priority::Deferrable : Priority::Normal;
    if (!store_.room(change.priority)) return;
    change.when.push_back({keys::block + id, next.mark});
    const Value value = next.machines.empty() ? Value() : next.value();
    change.then.push_back({keys::block + id, value});
    change.purpose = "block";
    edits.in_flight = true;
    store_.commit(std::move(change), [this, id, value, finish, list = std::exchange(edits.waiting, {})](
                                         const CommitResult& r) mutable {
        if (r.status == CommitStatus::Ok) {
            edits_[id].in_flight = false;
            replica_.take(keys::block + id, value.is_null() ? nullptr : &value, r.revision);
            return finish(std::move(list), true);
        }
        const Micros pause = r.status == CommitStatus::Rejected ? kRefused : kRetry;
        auto again = [this, id, pause, list = std::move(list)](bool) mutable {
            Edits& e = edits_[id];
            e.in_flight = false;
            e.not_before = host_.now() + pause;
            e.waiting.insert(e.waiting.begin(), std::make_move_iterator(list.begin()),
                             std::make_move_iterator(list.end()));
        };
        feed_.after_look(std::move(again));
    });
}

void Leases::edit(const std::string& domain, const std::string& machine, OwnerContext::MachineEdit edit,
                  std::function<void(bool)> done) {
    const Block* block = replica_.blocks.of(machine);
    const Owner* o = holdings_.find(domain);
    if (!block || block->domain != domain || !o) return host_.after(0, [done] { done(false); });
    if (edit == OwnerContext::MachineEdit::RetireNow)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, 0);
    if (edit == OwnerContext::MachineEdit::Retire)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, kReturnPatience);
    // Its own next mark is higher than every token that anyone holds now.
    Revision above = o->mark();
    for (const auto& m : block->machines)
        if (m.name == machine) above = std::max(above, m.token);
    edit_block(block->id,
               {[machine, above](Block& b) {
                    Block::Machine* m = b.find(machine);
                    if (!m || m->token > above) return false;
                    m->raise = true;
                    return true;
                },
                std::move(done)},
               0);
}

void Leases::retire(const std::string& machine) {
    if (const Block* block = replica_.blocks.of(machine))
        edit_block(block->id, {retire_in(machine), nullptr}, kReturnPatience);
}

void Leases::forget(const std::vector<std::string>& machines) {
    std::map<std::string, std::vector<std::string>> by_block;
    for (const auto& name : machines)
        if (const Block* block = replica_.blocks.of(name)) by_block[block->id].push_back(name);
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
std::size_t Leases::block_size() const {
    return std::max<std::size_t>(settings_.value_bytes * 17 / 20 / kMachineBytes, 1);
}

/// Into several records, in one change; each machine keeps its token, so nothing is disturbed. What does not
/// fit into one change is split once more later.
void Leases::split(const Block& block, const Owner& o) {
    Block rest = block;
    std::vector<Block> parts;
    while (rest.machines.size() > block_size() && parts.size() + 1 < settings_.txn_ops) {
        Block part = block;
        part.id = next_id(o.mark());
        const auto from = rest.machines.end() - static_cast<std::ptrdiff_t>(block_size());
        part.machines.assign(from, rest.machines.end());
        rest.machines.erase(from, rest.machines.end());
        parts.push_back(std::move(part));
    }
    Change change;
    change.priority = Priority::Deferrable;
    change.when = {{keys::domain + block.domain, o.mark()}, {keys::block + block.id, block.mark}};
    // The new ones first: a machine that is in another block already has not left when the old one loses it.
    std::vector<std::pair<std::string, Value>> writes;
    for (const auto& part : parts) {
        change.when.push_back({keys::block + part.id, 0});
        writes.emplace_back(part.id, part.value());
    }
    writes.emplace_back(block.id, rest.value());
    for (const auto& [id, value] : writes) change.then.push_back({keys::block + id, value});
    change.purpose = "split";
    edits_[block.id].in_flight = true;  // nothing else rewrites it meanwhile
    spdlog::info("block {}: {} machines, split into {}", block.id, block.machines.size(), writes.size());
    for (const auto& part : parts)
        for (const auto& m : part.machines) replica_.blocks.split_begins(m.name, part.id);
    commit_surely(host_, store_, feed_, std::move(change),
                  [this, id = block.id, writes, parts](const CommitResult& r) {
                      if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
                      if (r.status == CommitStatus::Ok)
                          for (const auto& [at, value] : writes)
                              replica_.take(keys::block + at, &value, r.revision);
                      for (const auto& part : parts)
                          for (const auto& m : part.machines) replica_.blocks.split_ends(m.name, part.id);
                  });
}

void Leases::split_blocks() {
    const Micros now = host_.now();
    if (!replica_.formats.common(format::kPipelines) || now - split_at_ < kSplitEvery ||
        !store_.room(Priority::Deferrable))
        return;
    split_at_ = now;
    for (const auto& [id, block] : replica_.blocks.all()) {
        const Owner* o = holdings_.find(block.domain);
        if (o && !edits_.count(id) && block.machines.size() > block_size()) return split(block, *o);
    }
}

// ---------------------------------------------------------------- leasing

void Leases::lease(const Block::Machine& machine, const std::string& type, const std::string& zone, bool spot,
                   std::function<void()> done) {
    auto [it, added] = unleased_.try_emplace(machine.name);
    Unleased& u = it->second;
    if (added) u = {machine, type, zone, spot, false, {}};
    if (u.machine.addr.empty()) u.machine.addr = machine.addr;
    if (done) u.done.push_back(std::move(done));
}

void Leases::not_leased(const std::string& machine) {
    auto u = unleased_.extract(machine);
    if (!u) return;
    // Once all that the news tells has been taken in.
    for (auto& done : u.mapped().done) host_.after(0, std::move(done));
}

void Leases::left(const std::string& machine) {
    not_leased(machine);
    returned_.insert(machine);
    if (returned_.size() > kMaxReturned) returned_.erase(returned_.begin());  // names come in order
}

bool Leases::spread_out() const {
    const std::size_t machines = std::max(replica_.blocks.machines() + unleased_.size(), fleet_.known());
    const double reports = static_cast<double>(machines) * 1e6 / static_cast<double>(settings_.report_every);
    return peers_.count() > 0 && reports > kReportsPerCore * settings_.cpu_share;
}

std::vector<std::string> Leases::targets() const {
    std::vector<std::string> targets;
    std::string largest, ours;
    Milli most = 0;
    for (const auto& [name, d] : replica_.members.domains()) {
        if (!replica_.members.alive(d.holder)) continue;
        targets.push_back(name);
        if (d.holder == settings_.node && (ours.empty() || name == settings_.node)) ours = name;
        if (const Milli cores = replica_.capacity_of(name); cores > most) {
            most = cores;
            largest = name;
        }
    }
    if (spread_out()) return targets;
    if (!largest.empty()) return {largest};
    return ours.empty() ? std::vector<std::string>{} : std::vector{ours};
}

void Leases::lease_blocks() {
    const Micros now = host_.now();
    if (!leadership_.leading()) {
        while (!unleased_.empty()) not_leased(std::string(unleased_.begin()->first));
        return;
    }
    if (unleased_.empty() || now - leased_at_ < kLeaseEvery) return;
    if (now - fleet_.leading_since() < kLeadPause || !store_.room(Priority::Normal)) return;
    leased_at_ = now;
    struct Shape {
        std::string type, zone;
        bool spot;
        auto operator<=>(const Shape&) const = default;
    };
    std::map<Shape, std::vector<std::string>> fresh;
    for (const auto& [name, u] : unleased_)
        if (!u.in_flight) fresh[{u.type, u.zone, u.spot}].push_back(name);
    const auto domains = targets();
    if (fresh.empty() || domains.empty()) return;
    // Cores that each domain has by zone and kind, and machines by shape.
    std::map<std::tuple<std::string, std::string, bool>, Milli> cores;
    std::map<std::pair<std::string, Shape>, std::size_t> have;
    auto size_of = [&](const std::string& type) {
        const MachineType* t = replica_.types.find(type);
        return t ? t->size.cores : Milli{1000};
    };
    for (const auto& [id, b] : replica_.blocks.all()) {
        have[{b.domain, {b.type, b.zone, b.spot}}] += b.machines.size();
        cores[{b.domain, b.zone, b.spot}] += size_of(b.type) * static_cast<Milli>(b.machines.size());
    }
    // Toward owners with waiting tasks, as long as that does not gather everything at one: machines that go
    // elsewhere first are moved one by one later, at two changes and more each.
    std::map<std::string, Milli> waiting;
    std::map<std::string, Milli> capacity;
    Milli average = 0;
    for (const auto& domain : domains) {
        capacity[domain] = replica_.capacity_of(domain);
        average += capacity[domain] / static_cast<Milli>(domains.size());
        if (const Owner* o = holdings_.find(domain); o && o->active())
            waiting[domain] = o->load().waiting;
        else if (const auto* told = peers_.load_of(domain))
            waiting[domain] = told->waiting;
    }
    const std::size_t most = block_size();
    for (const auto& [shape, names] : fresh) {
        // Evenly over the domains; of spot machines more to those whose holder is in their zone: where zones
        // can't reach each other, these go on as if nothing had happened. Ordinary ones hold the services,
        // which are spread over zones, so every domain needs them in all zones.
        auto load = [&, s = shape](const std::string& domain) {
            const bool own =
                s.spot && settings_.zone_of(replica_.members.domains().at(domain).holder) == s.zone;
            const double part = own ? kOwnZone : 1.0;
            const bool wanted = waiting[domain] > 0 && static_cast<double>(capacity[domain]) <
                                                           static_cast<double>(average) * kMostOfAverage;
            return std::tuple(!wanted, static_cast<double>(cores[{domain, s.zone, s.spot}]) / part,
                              static_cast<double>(have[{domain, s}]) / part, domain);
        };
        std::map<std::string, std::vector<std::string>> shares;
        for (const auto& name : names) {
            const std::string to =
                *std::min_element(domains.begin(), domains.end(),
                                  [&](const auto& a, const auto& b) { return load(a) < load(b); });
            ++have[{to, shape}];
            waiting[to] -= size_of(shape.type);
            capacity[to] += size_of(shape.type);
            cores[{to, shape.zone, shape.spot}] += size_of(shape.type);
            shares[to].push_back(name);
        }
        for (auto& [domain, list] : shares) {
            for (std::size_t i = 0; i < list.size(); i += most) {
                const std::vector<std::string> chunk(
                    list.begin() + static_cast<std::ptrdiff_t>(i),
                    list.begin() + static_cast<std::ptrdiff_t>(std::min(list.size(), i + most)));
                Block block;
                block.id = next_id(leadership_.term());
                block.domain = domain;
                block.type = shape.type;
                block.zone = shape.zone;
                block.spot = shape.spot;
                for (const auto& name : chunk) {
                    auto& u = unleased_.at(name);
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
void Leases::lease_block(Block block, std::vector<std::string> machines) {
    const Revision term = leadership_.term();
    Change change;
    change.when.push_back({keys::leader, term});
    change.when.push_back({keys::block + block.id, 0});
    const Value value = block.value();
    change.then.push_back({keys::block + block.id, value});
    change.purpose = "lease";
    store_.commit(std::move(change), [this, block, value, machines, term](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            spdlog::info("block {}: {} {} machines in {}{} leased to {}", block.id, machines.size(),
                         block.type, block.zone, block.spot ? ", spot," : "", block.domain);
            return replica_.take(keys::block + block.id, &value, r.revision);
        }
        const bool unsent = r.status == CommitStatus::Unavailable;
        if (!unsent && r.status != CommitStatus::Unknown) {
            for (const auto& name : machines) not_leased(name);  // they come up again
            return;
        }
        feed_.after_look([this, block, machines, term, unsent](bool) {
            const bool still = leadership_.leading() && leadership_.term() == term;
            if (unsent && still) return lease_block(block, machines);
            for (const auto& name : machines) not_leased(name);
            if (!still || replica_.blocks.find(block.id)) return;  // carried out after all
            spdlog::info("block {}: whether it was leased is not known: a new term begins", block.id);
            leadership_.close_term(term);
        });
    });
}

// ---------------------------------------------------------------- moving machines

/// Gives idle machines to a domain with waiting tasks: they leave their block and make up a new one, in one
/// change. Only the holder does this, and only with machines that nothing is on, so nothing is in doubt.
void Leases::give(Owner& from, const peer::Want& want, std::function<void(peer::Granted)> done) {
    const Held* to = replica_.members.domain(want.domain);
    if (!from.active() || !to || to->mark != want.mark || want.domain == from.domain() ||
        !store_.room(Priority::Normal))
        return done({});
    std::vector<std::string> offered = from.offer(want);
    // One new record, so of one shape; and as many old ones as a transaction takes.
    Block next;
    std::map<std::string, Block> sources;
    std::vector<std::string> kept, moved;
    for (const auto& name : offered) {
        const Block* b = replica_.blocks.of(name);
        const bool first = next.type.empty();
        const bool fits = b && b->domain == from.domain() && !edits_.count(b->id) &&
                          (first || (b->type == next.type && b->zone == next.zone && b->spot == next.spot)) &&
                          (sources.count(b->id) || sources.size() + 2 <= settings_.txn_ops) &&
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
    from.keep(kept);
    if (moved.empty()) return done({});
    next.id = next_id(from.mark());
    next.domain = want.domain;
    Change change;
    change.when.push_back({keys::domain + from.domain(), from.mark()});
    change.when.push_back({keys::block + next.id, 0});
    std::vector<std::pair<std::string, Value>> writes{{next.id, next.value()}};
    for (auto& [id, source] : sources) {
        change.when.push_back({keys::block + id, source.mark});
        writes.emplace_back(id, source.machines.empty() ? Value() : source.value());
        edits_[id].in_flight = true;  // nothing else rewrites it meanwhile
    }
    for (const auto& [id, value] : writes) change.then.push_back({keys::block + id, value});
    change.purpose = "move";
    spdlog::info("block {}: {} idle {} machines in {} move from {} to {}", next.id, moved.size(), next.type,
                 next.zone, from.domain(), want.domain);
    commit_surely(
        host_, store_, feed_, std::move(change),
        [this, domain = from.domain(), writes, moved, done = std::move(done)](const CommitResult& r) {
            for (const auto& [id, value] : writes)
                if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
            if (r.status == CommitStatus::Ok)
                for (const auto& [id, value] : writes)
                    replica_.take(keys::block + id, value.is_null() ? nullptr : &value, r.revision);
            // Whatever is still here stays.
            if (Owner* o = holdings_.find(domain)) o->keep(moved);
            done({{}, r.status == CommitStatus::Ok ? static_cast<std::uint32_t>(moved.size()) : 0});
        });
}

}  // namespace cottonway
