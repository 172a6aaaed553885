// The controller's dealings with the records of blocks and shares: leasing machines to domains, rewriting
// blocks, and moving idle machines and unused shares to where they are waited for.

#include <algorithm>
#include <utility>

#include "core/controller.hpp"
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

/// What of a limit is stored in shares; what has no limit needs none.
Milli to_share(Milli limit) {
    return limit == kNoLimit ? 0 : limit;
}

std::function<bool(Block&)> retire_in(const std::string& machine) {
    return [machine](Block& b) {
        Block::Machine* m = b.find(machine);
        return m && !std::exchange(m->retired, true);
    };
}

}  // namespace

const Block* Controller::block_of(const std::string& machine) const {
    auto id = block_of_.find(machine);
    if (id == block_of_.end()) return nullptr;
    auto block = blocks_.find(id->second);
    return block == blocks_.end() ? nullptr : &block->second;
}

std::string Controller::zone_of(const std::string& node) const {
    if (node == settings_.node) return settings_.zone;
    for (const auto& p : settings_.peers)
        if (p.name == node) return p.zone;
    return "";
}

Milli Controller::capacity_of(const std::string& domain) const {
    Milli cores = 0;
    for (const auto& [id, block] : blocks_) {
        if (block.domain != domain) continue;
        for (const auto& t : types_)
            if (t.name == block.type)
                cores += t.size.cores * std::count_if(block.machines.begin(), block.machines.end(),
                                                      [](const Block::Machine& m) { return !m.retired; });
    }
    return cores;
}

/// No block lists it any more.
void Controller::machine_left(const std::string& name) {
    block_of_.erase(name);
    visits_.erase(name);
    for (auto& [domain, owner] : owners_)
        if (owner) owner->on_machine_gone(name, "it is deleted, or given away empty");
}

void Controller::apply_block(const std::string& id, const Value* value, Revision mark) {
    auto it = blocks_.find(id);
    if (it != blocks_.end() && it->second.mark >= mark) return;
    std::optional<Block> next;
    if (value) {
        next = Block::parse(id, *value, mark);
        if (!next) {
            // It must not cost the block its machines.
            spdlog::error("block {}: its record is broken and is ignored", id);
            return;
        }
    }
    std::vector<std::string> left;
    if (it != blocks_.end())
        for (const auto& m : it->second.machines)
            if (!next || !next->find(m.name)) left.push_back(m.name);
    if (next)
        blocks_[id] = std::move(*next);
    else
        blocks_.erase(id);
    for (const auto& name : left) {
        auto at = block_of_.find(name);
        if (at == block_of_.end() || at->second != id) continue;  // it has moved to another block
        // Its new record follows; were it taken for gone until then, its tasks would run twice.
        if (auto split = splitting_.find(name); split != splitting_.end()) {
            at->second = split->second;
            continue;
        }
        machine_left(name);
    }
    auto block = blocks_.find(id);
    if (block != blocks_.end()) {
        for (const auto& m : block->second.machines) {
            unleased_.erase(m.name);
            auto& at = block_of_[m.name];
            if (!at.empty() && at != id) {
                auto other = blocks_.find(at);
                if (other != blocks_.end() && other->second.mark > mark && other->second.find(m.name))
                    continue;
            }
            at = id;
            for (auto& [domain, owner] : owners_) {
                if (!owner) continue;
                if (domain == block->second.domain)
                    owner->on_machine(block->second, m);
                else
                    owner->on_machine_gone(m.name, "it is in another domain");
            }
        }
    }
    wake();
}

// ---------------------------------------------------------------- rewriting

/// Changes to one record are gathered, so that many machines cost one put. A change is repeated on the record
/// as it is until it has been made or has nothing left to do: a late execution of an earlier try fails on the
/// mark, or has made the change.
void Controller::edit_block(const std::string& id, BlockEdit edit, Micros patience) {
    BlockEdits& edits = edits_[id];
    const Micros by = host_.now() + patience;
    if (edits.waiting.empty()) edits.since = host_.now();
    if (edits.waiting.empty() || by < edits.due) edits.due = by;
    edits.urgent = patience < kReturnPatience || (edits.urgent && !edits.waiting.empty());
    edits.waiting.push_back(std::move(edit));
}

void Controller::flush_edits() {
    for (auto it = edits_.begin(); it != edits_.end();) {
        if (!it->second.in_flight && it->second.waiting.empty()) {
            it = edits_.erase(it);
            continue;
        }
        if (!it->second.in_flight && host_.now() >= std::max(it->second.not_before, it->second.due))
            flush_edits(it->first, it->second);
        ++it;
    }
}

void Controller::flush_edits(const std::string& id, BlockEdits& edits) {
    auto finish = [](std::vector<BlockEdit> list, bool ok) {
        for (auto& e : list)
            if (e.done) e.done(ok);
    };
    auto it = blocks_.find(id);
    if (it == blocks_.end()) return finish(std::exchange(edits.waiting, {}), true);
    Block next = it->second;
    bool changed = false;
    for (const auto& e : edits.waiting) changed = e.change(next) || changed;
    if (!changed) return finish(std::exchange(edits.waiting, {}), true);
    Change change;
    const Owner* o = owner(next.domain);
    if (o)
        change.when.push_back({keys::domain + next.domain, o->mark()});
    else if (leading())
        change.when.push_back({keys::leader, leader_.mark});
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
            apply_block(id, value.is_null() ? nullptr : &value, r.revision);
            return finish(std::move(list), true);
        }
        const Micros pause = r.status == CommitStatus::Rejected ? kRefused : kRetry;
        auto again = [this, id, pause, list = std::move(list)](bool) mutable {
            BlockEdits& e = edits_[id];
            e.in_flight = false;
            e.not_before = host_.now() + pause;
            e.waiting.insert(e.waiting.begin(), std::make_move_iterator(list.begin()),
                             std::make_move_iterator(list.end()));
        };
        after_sync(std::move(again));
    });
}

void Controller::edit_machine(const std::string& domain, const std::string& machine, MachineEdit edit,
                              std::function<void(bool)> done) {
    const Block* block = block_of(machine);
    const Owner* o = owner(domain);
    if (!block || block->domain != domain || !o) return host_.after(0, [done] { done(false); });
    if (edit == MachineEdit::RetireNow)
        return edit_block(block->id, {retire_in(machine), std::move(done)}, 0);
    if (edit == MachineEdit::Retire)
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

void Controller::retire_machine(const std::string& machine) {
    if (const Block* block = block_of(machine))
        edit_block(block->id, {retire_in(machine), nullptr}, kReturnPatience);
}

void Controller::forget_machines(const std::vector<std::string>& machines) {
    std::map<std::string, std::vector<std::string>> by_block;
    for (const auto& name : machines)
        if (const Block* block = block_of(name)) by_block[block->id].push_back(name);
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
std::size_t Controller::block_size() const {
    return std::max<std::size_t>(settings_.value_bytes * 17 / 20 / kMachineBytes, 1);
}

/// Into several records, in one change; each machine keeps its token, so nothing is disturbed. What does not
/// fit into one change is split once more later.
void Controller::split_block(const Block& block, const Owner& o) {
    Block rest = block;
    std::vector<Block> parts;
    while (rest.machines.size() > block_size() && parts.size() + 1 < settings_.txn_ops) {
        Block part = block;
        part.id = std::to_string(o.mark()) + "-" + std::to_string(++block_counter_);
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
        for (const auto& m : part.machines) splitting_[m.name] = part.id;
    commit_surely(std::move(change), [this, id = block.id, writes, parts](const CommitResult& r) {
        if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
        if (r.status == CommitStatus::Ok)
            for (const auto& [at, value] : writes) apply_block(at, &value, r.revision);
        for (const auto& part : parts)
            for (const auto& m : part.machines) {
                splitting_.erase(m.name);
                // Not split after all, and somebody else has taken it out of the block.
                auto at = block_of_.find(m.name);
                if (at == block_of_.end() || at->second != part.id || blocks_.count(part.id)) continue;
                machine_left(m.name);
            }
    });
}

// ---------------------------------------------------------------- leasing

void Controller::lease_machine(const Block::Machine& machine, const std::string& type,
                               const std::string& zone, bool spot, std::function<void()> done) {
    auto [it, added] = unleased_.try_emplace(machine.name);
    Unleased& u = it->second;
    if (added) u = {machine, type, zone, spot, false, host_.now(), {}};
    if (u.machine.addr.empty()) u.machine.addr = machine.addr;
    if (done) u.done.push_back(std::move(done));
}

/// Whether the machines are to be spread over the domains of all controllers. One owner of everything places
/// best, as long as it can keep up with the workers' reports.
bool Controller::spread_out() const {
    const std::size_t machines = std::max(block_of_.size() + unleased_.size(), fleet_.known());
    const double reports = static_cast<double>(machines) * 1e6 / static_cast<double>(settings_.report_every);
    return peers_.size() > 0 && reports > kReportsPerCore * settings_.cpu_share;
}

std::vector<std::string> Controller::target_domains() const {
    std::vector<std::string> targets;
    std::string largest, ours;
    Milli most = 0;
    for (const auto& [name, d] : domains_) {
        if (!live_.count(d.holder)) continue;
        targets.push_back(name);
        if (d.holder == settings_.node && (ours.empty() || name == settings_.node)) ours = name;
        if (const Milli cores = capacity_of(name); cores > most) {
            most = cores;
            largest = name;
        }
    }
    if (spread_out()) return targets;
    if (!largest.empty()) return {largest};
    return ours.empty() ? std::vector<std::string>{} : std::vector{ours};
}

void Controller::lease_blocks() {
    const Micros now = host_.now();
    if (!leading()) {
        if (!unleased_.empty()) unleased_.clear();
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
    const auto targets = target_domains();
    if (fresh.empty() || targets.empty()) return;
    // Cores that each domain has by zone and kind, and machines by shape.
    std::map<std::tuple<std::string, std::string, bool>, Milli> cores;
    std::map<std::pair<std::string, Shape>, std::size_t> have;
    auto size_of = [&](const std::string& type) {
        const MachineType* t = machine_type(type);
        return t ? t->size.cores : Milli{1000};
    };
    for (const auto& [id, b] : blocks_) {
        have[{b.domain, {b.type, b.zone, b.spot}}] += b.machines.size();
        cores[{b.domain, b.zone, b.spot}] += size_of(b.type) * static_cast<Milli>(b.machines.size());
    }
    // Toward owners with waiting tasks, as long as that does not gather everything at one: machines that go
    // elsewhere first are moved one by one later, at two changes and more each.
    std::map<std::string, Milli> waiting;
    std::map<std::string, Milli> capacity;
    Milli average = 0;
    for (const auto& domain : targets) {
        capacity[domain] = capacity_of(domain);
        average += capacity[domain] / static_cast<Milli>(targets.size());
        if (const Owner* o = owner(domain); o && o->active())
            waiting[domain] = o->load().waiting;
        else if (const auto* told = load_of(domain))
            waiting[domain] = told->waiting;
    }
    const std::size_t most = block_size();
    for (const auto& [shape, names] : fresh) {
        // Evenly over the domains; of spot machines more to those whose holder is in their zone: where zones
        // can't reach each other, these go on as if nothing had happened. Ordinary ones hold the services,
        // which are spread over zones, so every domain needs them in all zones.
        auto load = [&, s = shape](const std::string& domain) {
            const bool own = s.spot && zone_of(domains_.at(domain).holder) == s.zone;
            const double part = own ? kOwnZone : 1.0;
            const bool wanted = waiting[domain] > 0 && static_cast<double>(capacity[domain]) <
                                                           static_cast<double>(average) * kMostOfAverage;
            return std::tuple(!wanted, static_cast<double>(cores[{domain, s.zone, s.spot}]) / part,
                              static_cast<double>(have[{domain, s}]) / part, domain);
        };
        std::map<std::string, std::vector<std::string>> shares;
        for (const auto& name : names) {
            const std::string to =
                *std::min_element(targets.begin(), targets.end(),
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
                block.id = std::to_string(leader_.mark) + "-" + std::to_string(++block_counter_);
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

/// Creates a block. Without an answer the same is sent again: it is carried out once, since its key must not
/// exist, and never after the term, since the leader's record must be ours.
void Controller::lease_block(Block block, std::vector<std::string> machines) {
    const Revision term = leader_.mark;
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
            std::vector<std::function<void()>> done;
            for (const auto& name : machines)
                if (auto u = unleased_.find(name); u != unleased_.end())
                    done.insert(done.end(), u->second.done.begin(), u->second.done.end());
            apply_block(block.id, &value, r.revision);
            for (const auto& d : done) d();
            return;
        }
        if (r.status == CommitStatus::Rejected) {
            for (const auto& name : machines) unleased_.erase(name);  // they come up again
            return;
        }
        after_sync([this, block, machines, term](bool) {
            if (blocks_.count(block.id)) {  // carried out after all
                for (const auto& name : machines) unleased_.erase(name);
                return;
            }
            if (leading() && leader_.mark == term) lease_block(block, machines);
        });
    });
}

// ---------------------------------------------------------------- shares

Resources Controller::share(const std::string& domain, const std::string& team) const {
    const auto limited = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                      [&](const Team& t) { return t.name == team; });
    if (limited == settings_.teams.end()) return {};
    Resources ours;
    if (auto stored = shares_.find(domain); stored != shares_.end()) {
        if (auto part = stored->second.first.find(team); part != stored->second.first.end())
            ours = part->second;
        if (auto giving = giving_.find(domain); giving != giving_.end())
            if (auto g = giving->second.find(team); g != giving->second.end()) ours -= g->second;
    }
    // Where operators have lowered a limit since, every part shrinks with it.
    const Resources sum = shared_out(team);
    auto scale = [](Milli part_of, Milli limit, Milli total) {
        if (limit == kNoLimit) return kNoLimit;
        return total > limit ? static_cast<Milli>(static_cast<double>(part_of) * static_cast<double>(limit) /
                                                  static_cast<double>(total))
                             : part_of;
    };
    return {scale(ours.cores, limited->limit.cores, sum.cores),
            scale(ours.cards, limited->limit.cards, sum.cards), 0};
}

/// What all domains' parts of a team's limit add up to.
Resources Controller::shared_out(const std::string& team) const {
    Resources sum;
    for (const auto& [name, s] : shares_)
        if (auto part = s.first.find(team); part != s.first.end()) sum += part->second;
    return sum;
}

/// The leader creates the first shares, all in one change, and adds to its own domain's what operators have
/// raised a limit by. Everything else is a transfer, which leaves the sum as it is.
void Controller::first_shares() {
    if (!leading() || sharing_first_ || blocks_.empty() || host_.now() - confirmed_ > kSecond) return;
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::leader, leader_.mark});
    std::vector<std::pair<std::string, Shares>> next;
    if (shares_.empty()) {
        auto targets = target_domains();
        if (targets.size() > settings_.txn_ops) targets.resize(settings_.txn_ops);
        if (targets.empty()) return;
        const auto n = static_cast<Milli>(targets.size());
        for (const auto& domain : targets) {
            Shares shares;
            for (const auto& t : settings_.teams)
                shares[t.name] = {to_share(t.limit.cores) / n, to_share(t.limit.cards) / n, 0};
            next.emplace_back(domain, shares);
            change.when.push_back({keys::share + domain, 0});
        }
        for (const auto& t : settings_.teams) {
            next.front().second[t.name].cores += to_share(t.limit.cores) % n;
            next.front().second[t.name].cards += to_share(t.limit.cards) % n;
        }
    } else {
        for (auto& [domain, held] : shares_) {
            const Owner* o = owner(domain);
            if (!o || share_busy_.count(domain)) continue;
            Shares shares = held.first;
            bool more = false;
            for (const auto& t : settings_.teams) {
                const Resources sum = shared_out(t.name);
                const Milli cores = to_share(t.limit.cores), cards = to_share(t.limit.cards);
                if (cores <= sum.cores && cards <= sum.cards) continue;
                more = true;
                shares[t.name].cores += std::max<Milli>(cores - sum.cores, 0);
                shares[t.name].cards += std::max<Milli>(cards - sum.cards, 0);
            }
            if (!more) return;
            // Every other share must be as it was when the sum was taken.
            for (const auto& [name, s] : shares_) change.when.push_back({keys::share + name, s.second});
            next.emplace_back(domain, shares);
            break;
        }
        if (next.empty()) return;
    }
    for (const auto& [domain, shares] : next)
        change.then.push_back({keys::share + domain, shares_value(shares)});
    sharing_first_ = true;
    store_.commit(std::move(change), [this, next](const CommitResult& r) {
        if (r.status == CommitStatus::Ok)
            for (const auto& [domain, shares] : next) {
                const Value v = shares_value(shares);
                apply(keys::share + domain, &v, r.revision);
            }
        after_sync([this](bool) { sharing_first_ = false; });
    });
}

/// Gives another domain a part of a team's limit that is neither used nor waited for here. Without an answer
/// the same change is tried until it is clear whether it was made: meanwhile neither side counts on it.
void Controller::give_share(Owner& from, const peer::ShareWant& want,
                            std::function<void(peer::Granted)> done) {
    const std::string domain = from.domain();
    const auto ours = shares_.find(domain);
    const auto to = domains_.find(want.domain);
    if (!from.active() || ours == shares_.end() || to == domains_.end() || to->second.mark != want.mark ||
        want.domain == domain || share_busy_.count(domain) || share_busy_.count(want.domain))
        return done({});
    const Resources spare = from.spare_share(want.team);
    auto part = [](Milli left, Milli asked) { return std::min(left, std::max(asked, left / 2)); };
    const Resources grant{part(spare.cores, std::max<Milli>(want.amount.cores, 0)),
                          part(spare.cards, std::max<Milli>(want.amount.cards, 0)), 0};
    if (grant.cores <= 0 && grant.cards <= 0) return done({});
    Shares less = ours->second.first, more;
    Revision their_mark = 0;
    if (auto theirs = shares_.find(want.domain); theirs != shares_.end()) {
        more = theirs->second.first;
        their_mark = theirs->second.second;
    }
    less[want.team] -= grant;
    more[want.team] += grant;
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::domain + domain, from.mark()});
    change.when.push_back({keys::share + domain, ours->second.second});
    change.when.push_back({keys::share + want.domain, their_mark});
    change.then.push_back({keys::share + domain, shares_value(less)});
    change.then.push_back({keys::share + want.domain, shares_value(more)});
    change.purpose = "share";
    share_busy_.insert(domain);
    share_busy_.insert(want.domain);
    giving_[domain][want.team] = grant;
    spdlog::info("share: {} cores of {} from {} to {}", grant.cores / 1000, want.team, domain, want.domain);
    auto settle = [this, domain, want, grant, less, more, done = std::move(done)](const CommitResult& r) {
        const bool ok = r.status == CommitStatus::Ok;
        if (ok) {
            const Value l = shares_value(less), m = shares_value(more);
            apply(keys::share + domain, &l, r.revision);
            apply(keys::share + want.domain, &m, r.revision);
        }
        giving_.erase(domain);
        share_busy_.erase(domain);
        share_busy_.erase(want.domain);
        done(ok ? peer::Granted{grant, 0} : peer::Granted{});
    };
    commit_surely(std::move(change), std::move(settle));
}

/// Commits until the outcome is certain. A change that may have been carried out is sent again as it is: a
/// conflict then tells that it was, or that it never will be.
void Controller::commit_surely(Change change, std::function<void(const CommitResult&)> done, bool uncertain) {
    store_.commit(change, [this, change, done = std::move(done), uncertain](const CommitResult& r) {
        const bool unknown = r.status == CommitStatus::Unknown;
        if (unknown || (uncertain && r.status == CommitStatus::Unavailable)) {
            host_.after(kRetry, [this, change, done] { commit_surely(change, done, true); });
            return;
        }
        // What a conflict means is in the news.
        if (r.status == CommitStatus::Conflict) return once_known([done, r] { done(r); });
        done(r);
    });
}

/// After a look at the store that was begun after now, however long that takes: taken for refused before its
/// news is in, a split that was made would cost its machines their tasks, and a share that was given away
/// would count here as well.
void Controller::once_known(std::function<void()> done) {
    after_sync([this, done = std::move(done)](bool ok) mutable {
        if (ok) return done();
        host_.after(kRetry, [this, done = std::move(done)]() mutable { once_known(std::move(done)); });
    });
}

// ---------------------------------------------------------------- moving machines

/// Gives idle machines to a domain with waiting tasks: they leave their block and make up a new one, in one
/// change. Only the holder does this, and only with machines that nothing is on, so nothing is in doubt.
void Controller::give_machines(Owner& from, const peer::Want& want, std::function<void(peer::Granted)> done) {
    const auto to = domains_.find(want.domain);
    if (!from.active() || to == domains_.end() || to->second.mark != want.mark ||
        want.domain == from.domain() || !store_.room(Priority::Normal))
        return done({});
    std::vector<std::string> offered = from.offer(want);
    // One new record, so of one shape; and as many old ones as a transaction takes.
    Block next;
    std::map<std::string, Block> sources;
    std::vector<std::string> kept, moved;
    for (const auto& name : offered) {
        const Block* b = block_of(name);
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
    next.id = std::to_string(from.mark()) + "-" + std::to_string(++block_counter_);
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
    commit_surely(std::move(change), [this, domain = from.domain(), writes, moved,
                                      done = std::move(done)](const CommitResult& r) {
        for (const auto& [id, value] : writes)
            if (auto e = edits_.find(id); e != edits_.end()) e->second.in_flight = false;
        if (r.status == CommitStatus::Ok)
            for (const auto& [id, value] : writes)
                apply_block(id, value.is_null() ? nullptr : &value, r.revision);
        // Whatever is still here stays.
        if (Owner* o = owner(domain)) o->keep(moved);
        done({{}, r.status == CommitStatus::Ok ? static_cast<std::uint32_t>(moved.size()) : 0});
    });
}

}  // namespace cottonway
