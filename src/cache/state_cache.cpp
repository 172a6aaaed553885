#include "cache/state_cache.hpp"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <vector>

#include "logging/log.hpp"

namespace cottonway {

namespace {
bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

StateCache::StateCache(Runtime& runtime, StoreClient& store, const Settings& settings, Listener& listener)
    : formats(settings),
      blocks(listener),
      shares(settings.teams),
      policies(settings),
      jobs(settings),
      runtime_(runtime),
      store_(store),
      settings_(settings),
      listener_(listener) {}

void StateCache::take(const std::string& key, const Json* value, Revision mod_revision) {
    auto rest = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::chunk)) return store_.chunk_store().apply(key, value, runtime_.now());
    std::optional<Json> whole;
    if (!value || !chunks::chunk_reference(*value)) {
        store_.chunk_store().clear_reference(key);
    } else if (whole = store_.chunk_store().assemble(key, *value); whole) {
        value = &*whole;
    } else {
        // Replaced since, so that its pieces are gone: news of that follows.
        return spdlog::info("{}: not all pieces of it are there", key);
    }
    const bool active = starts_with(key, keys::active);
    if (active || starts_with(key, keys::job)) {
        const RecordLocation place = active ? RecordLocation::Active : RecordLocation::Job;
        const std::string ref = rest(active ? keys::active : keys::job);
        if (!value && active) return jobs.on_record_removed(ref);
        if (!value || !jobs.take(ref, place, *value, mod_revision, runtime_.now())) return;
        listener_.on_job(ref, place, *value, mod_revision);
        if (jobs.dependency_graph().changed()) settle();
    } else if (starts_with(key, keys::job_part)) {
        const std::string name = rest(keys::job_part);
        const auto slash = name.rfind('/');
        if (slash == std::string::npos) return;
        const std::string ref = name.substr(0, slash);
        const auto part = static_cast<std::size_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10));
        if (jobs.take_part(ref, part, value, mod_revision))
            listener_.on_part(ref, part, *value, mod_revision);
    } else if (starts_with(key, keys::block)) {
        blocks.take(rest(keys::block), value, mod_revision);
        listener_.on_news();
    } else if (starts_with(key, keys::live_node)) {
        const std::string node = rest(keys::live_node);
        membership.take_live(node, value != nullptr, runtime_.now());
        if (value && !reading_) membership.heard(node);
    } else if (starts_with(key, keys::shard)) {
        const std::string name = rest(keys::shard);
        if (value && membership.apply_shard(name, *value, mod_revision)) listener_.on_shard(name);
    } else if (starts_with(key, keys::quota)) {
        shares.take(rest(keys::quota), value, mod_revision);
        listener_.on_news();
    } else if (starts_with(key, keys::plan)) {
        plans.take(rest(keys::plan), value, mod_revision);
    } else if (starts_with(key, keys::format)) {
        if (value && formats.take(rest(keys::format), *value)) listener_.on_format();
    } else if (key == keys::policy) {
        if (policies.take(value, mod_revision)) listener_.on_policy();
    } else if (key == keys::history) {
        if (value) take_history(*value, mod_revision);
    } else if (key == keys::machine_types) {
        if (!value || !types.take(*value, mod_revision)) return;
        jobs.weigh_again();
        listener_.on_news();
    } else if (key == keys::leader) {
        if (value) membership.take_leader(*value, mod_revision);
    }
}

/// Closed at first: from then on no record of old form is admitted, since that rests on this one not being
/// there. Apart once a look after that has shown that none is left.
void StateCache::take_history(const Json& value, Revision mod_revision) {
    if (mod_revision <= history_mark_) return;
    history_mark_ = mod_revision;
    history_ = wire::flag(value, "apart").value_or(false) ? History::Apart : History::Closed;
    // Whoever wrote it had proven that all controllers read it.
    if (formats.proven(format::kHistory)) listener_.on_format();
}

bool StateCache::stray(const std::string& ref) const {
    const LiveJob* job = jobs.find(ref);
    return history_apart() && job && job->place == RecordLocation::Job;
}

std::string StateCache::go_on_after(const std::string& key) {
    return history_apart() && starts_with(key, keys::job) ? keys::job + "~" : key;
}

void StateCache::on_resync_begin() {
    reading_ = true;
    jobs.on_resync_begin();
}

void StateCache::on_resync_end(const std::set<std::string>& seen, Revision store_revision) {
    reading_ = false;
    std::vector<std::string> missing;
    for (const auto& name : membership.alive())
        if (!seen.count(keys::live_node + name) && name != settings_.node)
            missing.push_back(keys::live_node + name);
    for (const auto& [id, block] : blocks.all())
        if (!seen.count(keys::block + id)) missing.push_back(keys::block + id);
    for (const auto& [shard, stored] : plans.all())
        if (!seen.count(keys::plan + shard)) missing.push_back(keys::plan + shard);
    for (const auto& [ref, job] : jobs.live())
        for (const auto& [part, rest] : job.parts)
            if (const auto key = keys::job_part + ref + "/" + std::to_string(part); !seen.count(key))
                missing.push_back(key);
    if (policies.mod_revision() > 0 && !seen.count(keys::policy)) missing.push_back(keys::policy);
    for (const auto& key : missing) take(key, nullptr, store_revision);
    jobs.on_resync_end([&](const std::string& key) { return seen.count(key) > 0; }, !history_apart());
    for (const auto& p : settings_.peers) membership.missed(p.name, runtime_.now());
}

void StateCache::settle() {
    for (const auto& ref : jobs.dependency_graph().take_changed()) {
        jobs.settle(ref);
        listener_.on_dependency_status(ref);
    }
}

void StateCache::learn(const Json& answer) {
    if (!types.learn(answer)) return;
    jobs.weigh_again();
    listener_.on_news();
}

std::size_t StateCache::machines_in(const std::string& shard) const {
    std::size_t n = 0;
    for (const auto& [id, block] : blocks.all())
        if (block.shard == shard) n += block.machines.size();
    return n;
}

std::size_t StateCache::machines_at(const std::string& node) const {
    std::size_t n = 0;
    for (const auto& [id, block] : blocks.all())
        if (const ShardRecord* d = membership.shard(block.shard); d && d->holder == node)
            n += block.machines.size();
    return n;
}

std::size_t StateCache::rank_among_alive(const std::string& what) const {
    auto weight = [&](const std::string& node) {
        return std::tuple(machines_at(node), std::hash<std::string>{}(what + "@" + node), node);
    };
    const auto ours = weight(settings_.node);
    const auto& alive = membership.alive();
    return static_cast<std::size_t>(std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
        return node != settings_.node && weight(node) < ours;
    }));
}

}  // namespace cottonway
