#include "core/holdings.hpp"

#include <utility>

#include "core/authority.hpp"
#include "core/history.hpp"
#include "core/leases.hpp"
#include "log/log.hpp"
#include "recovery/dividing.hpp"

namespace cottonway {

namespace {
constexpr Micros kHandOverEvery = 4 * kSecond;
constexpr Micros kAtStart = 10 * kSecond;  // what was taken at our start is given back sooner for this long
}  // namespace

Owner* Holdings::find(const std::string& domain) const {
    auto it = owners_.find(domain);
    return it == owners_.end() ? nullptr : it->second.get();
}

void Holdings::tick() {
    retired_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->tick();
}

void Holdings::work() {
    retired_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->work();
}

void Holdings::end() {
    retired_.clear();
    owners_.clear();
}

void Holdings::consider() {
    const Micros now = context_.host().now();
    const std::string& self = context_.settings().node;
    if (!feed_.loaded() || !presence_.announced() || replica_.types.empty()) return;
    if (feed_.confirmed_ago() > 2 * kSecond) return;  // what is known may be old
    if (!replica_.members.domain(self) && !acquiring_.count(self)) return acquire(self, true);
    recovery::Situation s;
    s.self = self;
    s.now = now;
    // As long as any other end takes to be noticed.
    s.come_back = context_.settings().ops.live_ttl;
    for (const auto& node : replica_.members.alive()) s.alive[node] = replica_.machines_at(node);
    s.alive.try_emplace(self, 0);
    std::vector<std::string> ours;
    for (const auto& [name, d] : replica_.members.domains()) {
        if (find(name)) continue;
        if (acquiring_.count(name)) {
            s.alive[self] += replica_.machines_in(name);
        } else if (d.holder == self) {
            // A new process knows that its own former one is dead and takes its domains back at once.
            ours.push_back(name);
        } else if (replica_.members.alive(d.holder)) {
            orphaned_.erase(name);
        } else {
            const auto& o = orphaned_.try_emplace(name, Orphaned{now, !replica_.members.ever_heard(d.holder)})
                                .first->second;
            s.orphans.push_back({name, replica_.machines_in(name), o.since, o.before_us});
        }
    }
    for (const auto& name : recovery::to_take(s)) {
        if (orphaned_.at(name).before_us) taken_at_start_[name] = now;
        ours.push_back(name);
    }
    for (const auto& name : ours) acquire(name, false);
}

void Holdings::acquire(const std::string& name, bool create) {
    acquiring_.insert(name);
    const std::string& self = context_.settings().node;
    const Held before = create ? Held{} : replica_.members.domains().at(name);
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::domain + name, before.mark});
    change.then.push_back({keys::domain + name, Value{{"holder", self}}});
    context_.store().commit(std::move(change), [this, name, before, self, create](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) {
            // The news tells who holds it, and whether our change was carried out after all.
            feed_.after_look([this, name](bool) { acquiring_.erase(name); });
            return;
        }
        acquiring_.erase(name);
        spdlog::info("domain {}: acquired from {}, token {}", name,
                     before.holder.empty() ? "nobody" : before.holder, r.revision);
        if (const Held* d = replica_.members.domain(name); d && d->mark > r.revision) return;  // lost again
        replica_.members.set_domain(name, {self, r.revision});
        // Whoever held it before may still answer workers that we can't reach. That the record names this
        // node tells nothing: it may have been handed over by another, or been taken from another just now
        // by our own former process.
        const Micros former_end = context_.host().now() + (create ? 0 : authority(context_.settings()));
        auto& held = owners_[name];
        if (held) retired_.push_back(std::move(held));
        held = std::make_unique<Owner>(context_, name, r.revision, former_end);
        for (const auto& [id, block] : replica_.blocks.all())
            if (block.domain == name)
                for (const auto& m : block.machines) held->on_machine(block, m);
        // From here on nobody else binds in this domain, so what the next look tells is complete.
        activate(name, r.revision);
        context_.wake();
    });
}

void Holdings::activate(const std::string& name, Revision mark) {
    feed_.after_look([this, name, mark](bool ok) {
        const Owner* o = find(name);
        if (!o || o->mark() != mark) return;
        if (!ok) return activate(name, mark);
        prove_jobs(name, mark);
    });
}

/// What was read under c/active/ may be over: its final record stands elsewhere. Taken for a job that goes
/// on, it would run once more.
void Holdings::prove_jobs(const std::string& name, Revision mark) {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : replica_.jobs.live())
        if (job.domain == name && replica_.jobs.unproven(ref)) refs.push_back(ref);
    if (refs.empty()) return begin(name, mark);
    history_.prove(refs, true, [this, name, mark](bool known) {
        const Owner* o = find(name);
        if (!o || o->mark() != mark) return;
        if (known) return prove_jobs(name, mark);
        context_.host().after(100 * kMillisecond, [this, name, mark] { activate(name, mark); });
    });
}

void Holdings::begin(const std::string& name, Revision mark) {
    Owner* o = find(name);
    if (!o || o->mark() != mark) return;
    for (const auto& [ref, job] : replica_.jobs.live()) {
        if (job.domain != name) continue;
        o->on_job(ref, job.place, job.record, job.mark);
        o->on_shadow(ref, job.shadow);
        for (const auto& [part, value] : job.parts) o->on_part(ref, part, value.first, value.second);
    }
    o->activate();
    context_.wake();
}

void Holdings::on_domain(const std::string& name) {
    orphaned_.erase(name);
    const Owner* o = find(name);
    const Held& held = replica_.members.domains().at(name);
    if (!o || held.mark <= o->mark()) return;
    spdlog::info("domain {} is held by {} now", name, held.holder);
    give_up(name);
}

void Holdings::give_up(const std::string& domain) {
    auto it = owners_.find(domain);
    if (it == owners_.end() || !it->second) return;
    spdlog::info("domain {}: given up", domain);
    retired_.push_back(std::move(it->second));
    owners_.erase(it);
    context_.store().read(keys::domain + domain, [this, domain](const ReadResult& r) {
        if (r.ok && r.found) replica_.take(keys::domain + domain, &r.value, r.mark);
    });
    context_.wake();
}

void Holdings::hand_over() {
    const Micros now = context_.host().now();
    if (now - handed_over_at_ < kHandOverEvery || feed_.confirmed_ago() > kSecond || !leases_.spread_out())
        return;
    const std::string& self = context_.settings().node;
    std::vector<recovery::Holding> held;
    for (const auto& [name, o] : owners_) {
        auto taken = taken_at_start_.find(name);
        const bool at_start = taken != taken_at_start_.end() && now - taken->second < kAtStart;
        if (o) held.push_back({name, o->machines().size(), o->active(), at_start});
    }
    if (held.size() < 2) return;
    std::vector<recovery::Receiver> receivers;
    for (const auto& node : replica_.members.alive())
        if (node != self && replica_.machines_at(node) == 0)
            receivers.push_back({node, now - replica_.members.alive_since(node)});
    auto moves = recovery::to_hand_over(self, std::move(held), std::move(receivers));
    if (moves.empty()) return;
    if (moves.size() > context_.settings().txn_ops) moves.resize(context_.settings().txn_ops);
    handed_over_at_ = now;
    Change change;
    change.priority = Priority::Urgent;
    std::vector<std::pair<std::string, Value>> writes;
    for (const auto& [name, node] : moves) {
        spdlog::info("domain {}: handed over to {}", name, node);
        change.when.push_back({keys::domain + name, find(name)->mark()});
        writes.emplace_back(keys::domain + name, Value{{"holder", node}});
        change.then.push_back({writes.back().first, writes.back().second});
    }
    context_.store().commit(std::move(change), [this, writes](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) return;
        for (const auto& [key, record] : writes) replica_.take(key, &record, r.revision);
    });
}

}  // namespace cottonway
