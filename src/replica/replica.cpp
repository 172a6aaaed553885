#include "replica/replica.hpp"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <vector>

#include "log/log.hpp"

namespace cottonway {

namespace {
bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

Replica::Replica(Host& host, Store& store, const Settings& settings, Listener& listener)
    : formats(settings),
      blocks(listener),
      shares(settings.teams),
      jobs(settings),
      host_(host),
      store_(store),
      settings_(settings),
      listener_(listener) {}

void Replica::take(const std::string& key, const Value* value, Revision mark) {
    auto rest = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::piece)) return store_.shelf().take(key, value, host_.now());
    std::optional<Value> whole;
    if (!value || !pieces::named_by(*value)) {
        store_.shelf().gone(key);
    } else if (whole = store_.shelf().whole(key, *value); whole) {
        value = &*whole;
    } else {
        // Replaced since, so that its pieces are gone: news of that follows.
        return spdlog::info("{}: not all pieces of it are there", key);
    }
    if (starts_with(key, keys::job)) {
        const std::string ref = rest(keys::job);
        if (!value || !jobs.take(ref, *value, mark, host_.now())) return;
        listener_.on_job(ref, *value, mark);
        if (jobs.pipelines().changed()) settle();
    } else if (starts_with(key, keys::part)) {
        const std::string name = rest(keys::part);
        const auto slash = name.rfind('/');
        if (slash == std::string::npos) return;
        const std::string ref = name.substr(0, slash);
        const auto part = static_cast<std::size_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10));
        if (jobs.take_part(ref, part, value, mark)) listener_.on_part(ref, part, *value, mark);
    } else if (starts_with(key, keys::block)) {
        blocks.take(rest(keys::block), value, mark);
        listener_.on_news();
    } else if (starts_with(key, keys::live)) {
        members.take_live(rest(keys::live), value != nullptr, host_.now());
    } else if (starts_with(key, keys::domain)) {
        const std::string name = rest(keys::domain);
        if (value && members.take_domain(name, *value, mark)) listener_.on_domain(name);
    } else if (starts_with(key, keys::share)) {
        shares.take(rest(keys::share), value, mark);
        listener_.on_news();
    } else if (starts_with(key, keys::format)) {
        if (value && formats.take(rest(keys::format), *value)) listener_.on_format();
    } else if (key == keys::types) {
        if (!value || !types.take(*value, mark)) return;
        jobs.weigh_again();
        listener_.on_news();
    } else if (key == keys::leader) {
        if (value) members.take_leader(*value, mark);
    }
}

void Replica::reread(const std::set<std::string>& seen, Revision ledger) {
    std::vector<std::string> missing;
    for (const auto& name : members.alive())
        if (!seen.count(keys::live + name) && name != settings_.node) missing.push_back(keys::live + name);
    for (const auto& [id, block] : blocks.all())
        if (!seen.count(keys::block + id)) missing.push_back(keys::block + id);
    for (const auto& [ref, job] : jobs.live())
        for (const auto& [part, rest] : job.parts)
            if (const auto key = keys::part + ref + "/" + std::to_string(part); !seen.count(key))
                missing.push_back(key);
    for (const auto& key : missing) take(key, nullptr, ledger);
    for (const auto& p : settings_.peers) members.missed(p.name, host_.now());
}

void Replica::settle() {
    for (const auto& ref : jobs.pipelines().take_changed()) {
        jobs.settle(ref);
        listener_.on_standing(ref);
    }
}

void Replica::learn(const Value& answer) {
    if (!types.learn(answer)) return;
    jobs.weigh_again();
    listener_.on_news();
}

std::size_t Replica::machines_in(const std::string& domain) const {
    std::size_t n = 0;
    for (const auto& [id, block] : blocks.all())
        if (block.domain == domain) n += block.machines.size();
    return n;
}

std::size_t Replica::machines_at(const std::string& node) const {
    std::size_t n = 0;
    for (const auto& [id, block] : blocks.all())
        if (const Held* d = members.domain(block.domain); d && d->holder == node) n += block.machines.size();
    return n;
}

std::size_t Replica::rank_among_alive(const std::string& what) const {
    auto weight = [&](const std::string& node) {
        return std::tuple(machines_at(node), std::hash<std::string>{}(what + "@" + node), node);
    };
    const auto ours = weight(settings_.node);
    const auto& alive = members.alive();
    return static_cast<std::size_t>(std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
        return node != settings_.node && weight(node) < ours;
    }));
}

}  // namespace cottonway
