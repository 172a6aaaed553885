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
      policies(settings),
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
    const bool active = starts_with(key, keys::active);
    if (active || starts_with(key, keys::job)) {
        const Place place = active ? Place::Active : Place::Job;
        const std::string ref = rest(active ? keys::active : keys::job);
        if (!value && active) return jobs.gone(ref);
        if (!value || !jobs.take(ref, place, *value, mark, host_.now())) return;
        listener_.on_job(ref, place, *value, mark);
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
        const std::string node = rest(keys::live);
        members.take_live(node, value != nullptr, host_.now());
        if (value && !reading_) members.heard(node);
    } else if (starts_with(key, keys::domain)) {
        const std::string name = rest(keys::domain);
        if (value && members.take_domain(name, *value, mark)) listener_.on_domain(name);
    } else if (starts_with(key, keys::share)) {
        shares.take(rest(keys::share), value, mark);
        listener_.on_news();
    } else if (starts_with(key, keys::plan)) {
        plans.take(rest(keys::plan), value, mark);
    } else if (starts_with(key, keys::format)) {
        if (value && formats.take(rest(keys::format), *value)) listener_.on_format();
    } else if (key == keys::policy) {
        if (policies.take(value, mark)) listener_.on_policy();
    } else if (key == keys::history) {
        if (value) take_history(*value, mark);
    } else if (key == keys::types) {
        if (!value || !types.take(*value, mark)) return;
        jobs.weigh_again();
        listener_.on_news();
    } else if (key == keys::leader) {
        if (value) members.take_leader(*value, mark);
    }
}

/// Closed at first: from then on no record of old form is admitted, since that rests on this one not being
/// there. Apart once a look after that has shown that none is left.
void Replica::take_history(const Value& value, Revision mark) {
    if (mark <= history_mark_) return;
    history_mark_ = mark;
    history_ = wire::flag(value, "apart").value_or(false) ? History::Apart : History::Closed;
    // Whoever wrote it had proven that all controllers read it.
    if (formats.proven(format::kHistory)) listener_.on_format();
}

bool Replica::stray(const std::string& ref) const {
    const LiveJob* job = jobs.find(ref);
    return history_apart() && job && job->place == Place::Job;
}

std::string Replica::go_on_after(const std::string& key) {
    return history_apart() && starts_with(key, keys::job) ? keys::job + "~" : key;
}

void Replica::rereading() {
    reading_ = true;
    jobs.rereading();
}

void Replica::reread(const std::set<std::string>& seen, Revision ledger) {
    reading_ = false;
    std::vector<std::string> missing;
    for (const auto& name : members.alive())
        if (!seen.count(keys::live + name) && name != settings_.node) missing.push_back(keys::live + name);
    for (const auto& [id, block] : blocks.all())
        if (!seen.count(keys::block + id)) missing.push_back(keys::block + id);
    for (const auto& [domain, stored] : plans.all())
        if (!seen.count(keys::plan + domain)) missing.push_back(keys::plan + domain);
    for (const auto& [ref, job] : jobs.live())
        for (const auto& [part, rest] : job.parts)
            if (const auto key = keys::part + ref + "/" + std::to_string(part); !seen.count(key))
                missing.push_back(key);
    if (policies.mark() > 0 && !seen.count(keys::policy)) missing.push_back(keys::policy);
    for (const auto& key : missing) take(key, nullptr, ledger);
    jobs.reread([&](const std::string& key) { return seen.count(key) > 0; }, !history_apart());
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
