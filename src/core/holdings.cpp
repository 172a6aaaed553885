#include "core/holdings.hpp"

#include <utility>

#include "core/authority.hpp"
#include "core/leases.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kAdoptStep = 400 * kMillisecond;  // between the turns of those who could adopt a domain
constexpr Micros kSettled = 4 * kSecond;           // alive for this long before a domain is handed over
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
    for (const auto& [name, d] : replica_.members.domains()) {
        if (acquiring_.count(name) || find(name)) continue;
        // A new process knows that its own former one is dead and takes its domains back at once.
        if (d.holder == self) return acquire(name, false);
        if (replica_.members.alive(d.holder)) {
            orphaned_since_.erase(name);
            continue;
        }
        const Micros since = orphaned_since_.try_emplace(name, now).first->second;
        if (now - since >= static_cast<Micros>(replica_.rank_among_alive(name)) * kAdoptStep)
            return acquire(name, false);
    }
}

void Holdings::acquire(const std::string& name, bool create) {
    acquiring_.insert(name);
    const std::string& self = context_.settings().node;
    const Held before = create ? Held{} : replica_.members.domains().at(name);
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::domain + name, before.mark});
    change.then.push_back({keys::domain + name, Value{{"holder", self}}});
    context_.store().commit(std::move(change), [this, name, before, self](const CommitResult& r) {
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
        // The former holder may still answer workers that we can't reach, unless it was this node's own
        // former process or nobody.
        const bool own = before.holder.empty() || before.holder == self;
        const Micros former_end = context_.host().now() + (own ? 0 : authority(context_.settings()));
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
        Owner* o = find(name);
        if (!o || o->mark() != mark) return;
        if (!ok) return activate(name, mark);
        for (const auto& [ref, job] : replica_.jobs.live()) {
            if (job.domain != name) continue;
            o->on_job(ref, job.record, job.mark);
            for (const auto& [part, value] : job.parts) o->on_part(ref, part, value.first, value.second);
        }
        o->activate();
        context_.wake();
    });
}

void Holdings::on_domain(const std::string& name) {
    orphaned_since_.erase(name);
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
    if (now - handed_over_at_ < kSettled || feed_.confirmed_ago() > kSecond || !leases_.spread_out()) return;
    const Owner* least = nullptr;
    int held = 0;
    for (const auto& [name, o] : owners_) {
        if (!o || o->machines().empty()) continue;
        if (!o->active()) return;
        ++held;
        if (!least || o->machines().size() < least->machines().size()) least = o.get();
    }
    if (held < 2) return;
    for (const auto& node : replica_.members.alive()) {
        if (node == context_.settings().node || replica_.machines_at(node) > 0 ||
            now - replica_.members.alive_since(node) < kSettled)
            continue;
        handed_over_at_ = now;
        const std::string name = least->domain();
        spdlog::info("domain {}: handed over to {}", name, node);
        const Value record{{"holder", node}};
        Change change;
        change.priority = Priority::Urgent;
        change.when.push_back({keys::domain + name, least->mark()});
        change.then.push_back({keys::domain + name, record});
        context_.store().commit(std::move(change), [this, name, record](const CommitResult& r) {
            if (r.status == CommitStatus::Ok) replica_.take(keys::domain + name, &record, r.revision);
        });
        return;
    }
}

}  // namespace cottonway
