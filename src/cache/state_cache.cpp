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
      quotas(settings.teams),
      policies(settings),
      jobs(settings),
      runtime_(runtime),
      store_(store),
      settings_(settings),
      listener_(listener) {}

void StateCache::apply(const std::string& key, const Json* value, Revision mod_revision) {
    auto suffix_after = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::chunk)) return store_.chunk_store().apply(key, value, runtime_.now());
    std::optional<Json> joined;
    if (!value || !chunks::chunk_reference(*value)) {
        store_.chunk_store().clear_reference(key);
    } else if (joined = store_.chunk_store().assemble(key, *value); joined) {
        value = &*joined;
    } else {
        // The record was replaced since and its chunks were deleted: an update of it follows.
        return spdlog::info("{}: some of its chunks are missing", key);
    }
    const bool active = starts_with(key, keys::active);
    if (active || starts_with(key, keys::job)) {
        const RecordLocation record_location = active ? RecordLocation::Active : RecordLocation::Job;
        const std::string ref = suffix_after(active ? keys::active : keys::job);
        if (!value && active) return jobs.on_record_removed(ref);
        if (!value || !jobs.apply(ref, record_location, *value, mod_revision, runtime_.now())) return;
        listener_.on_job(ref, record_location, *value, mod_revision);
        if (jobs.dependency_graph().has_changes()) propagate_dependency_changes();
    } else if (starts_with(key, keys::job_part)) {
        const std::string name = suffix_after(keys::job_part);
        const auto slash = name.rfind('/');
        if (slash == std::string::npos) return;
        const std::string ref = name.substr(0, slash);
        const auto part = static_cast<std::size_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10));
        if (jobs.apply_part(ref, part, value, mod_revision))
            listener_.on_part(ref, part, *value, mod_revision);
    } else if (starts_with(key, keys::block)) {
        blocks.apply(suffix_after(keys::block), value, mod_revision);
        listener_.on_scheduling_input_changed();
    } else if (starts_with(key, keys::live_node)) {
        const std::string node = suffix_after(keys::live_node);
        membership.apply_liveness(node, value != nullptr, runtime_.now());
        if (value && !resync_in_progress_) membership.mark_confirmed_alive(node);
    } else if (starts_with(key, keys::shard)) {
        const std::string name = suffix_after(keys::shard);
        if (value && membership.apply_shard(name, *value, mod_revision)) listener_.on_shard(name);
    } else if (starts_with(key, keys::quota)) {
        quotas.apply(suffix_after(keys::quota), value, mod_revision);
        listener_.on_scheduling_input_changed();
    } else if (starts_with(key, keys::plan)) {
        plans.apply(suffix_after(keys::plan), value, mod_revision);
    } else if (starts_with(key, keys::format)) {
        if (value && formats.apply(suffix_after(keys::format), *value)) listener_.on_format();
    } else if (key == keys::policy) {
        if (policies.apply(value, mod_revision)) listener_.on_policy();
    } else if (key == keys::history) {
        if (value) apply_history(*value, mod_revision);
    } else if (key == keys::machine_types) {
        if (!value || !machine_types.apply_stored(*value, mod_revision)) return;
        jobs.invalidate_guarantees();
        listener_.on_scheduling_input_changed();
    } else if (key == keys::leader) {
        if (value) membership.apply_leader(*value, mod_revision);
    }
}

/// The first write of this record closes legacy writes: admitting an unfinished job under c/job/ is
/// conditional on this record not existing. It says "apart" once a refresh after that has shown that no such
/// job is left.
void StateCache::apply_history(const Json& value, Revision mod_revision) {
    if (mod_revision <= history_revision_) return;
    history_revision_ = mod_revision;
    history_separation_ = wire::flag(value, "apart").value_or(false) ? HistorySeparation::Complete
                                                                     : HistorySeparation::LegacyWritesClosed;
    // The writer of this record had proven that all controllers read this format.
    if (formats.raise_common_format(format::kSeparateActiveRecords)) listener_.on_format();
}

bool StateCache::has_only_legacy_record(const std::string& ref) const {
    const LiveJob* job = jobs.find(ref);
    return is_history_separated() && job && job->record_location == RecordLocation::Job;
}

std::string StateCache::continuation_key(const std::string& key) {
    return is_history_separated() && starts_with(key, keys::job) ? keys::job + "~" : key;
}

void StateCache::on_resync_begin() {
    resync_in_progress_ = true;
    jobs.on_resync_begin();
}

void StateCache::on_resync_end(const std::set<std::string>& seen, Revision store_revision) {
    resync_in_progress_ = false;
    std::vector<std::string> missing;
    for (const auto& name : membership.alive_nodes())
        if (!seen.count(keys::live_node + name) && name != settings_.node)
            missing.push_back(keys::live_node + name);
    for (const auto& [id, block] : blocks.all())
        if (!seen.count(keys::block + id)) missing.push_back(keys::block + id);
    for (const auto& [shard, stored] : plans.all())
        if (!seen.count(keys::plan + shard)) missing.push_back(keys::plan + shard);
    for (const auto& [ref, job] : jobs.live_jobs())
        for (const auto& [part, record] : job.parts)
            if (const auto key = keys::job_part + ref + "/" + std::to_string(part); !seen.count(key))
                missing.push_back(key);
    if (policies.mod_revision() > 0 && !seen.count(keys::policy)) missing.push_back(keys::policy);
    for (const auto& key : missing) apply(key, nullptr, store_revision);
    jobs.on_resync_end([&](const std::string& key) { return seen.count(key) > 0; }, !is_history_separated());
    for (const auto& peer : settings_.peers) membership.mark_absent(peer.name, runtime_.now());
}

void StateCache::propagate_dependency_changes() {
    for (const auto& ref : jobs.dependency_graph().take_changed()) {
        jobs.apply_dependency_status(ref);
        listener_.on_dependency_status(ref);
    }
}

void StateCache::apply_machine_types(const Json& response) {
    if (!machine_types.apply_cloud_response(response)) return;
    jobs.invalidate_guarantees();
    listener_.on_scheduling_input_changed();
}

std::size_t StateCache::machine_count_in_shard(const std::string& shard) const {
    std::size_t count = 0;
    for (const auto& [id, block] : blocks.all())
        if (block.shard == shard) count += block.machines.size();
    return count;
}

std::size_t StateCache::machine_count_of_node(const std::string& node) const {
    std::size_t count = 0;
    for (const auto& [id, block] : blocks.all())
        if (const OwnershipRecord* shard_owner = membership.shard(block.shard);
            shard_owner && shard_owner->holder == node)
            count += block.machines.size();
    return count;
}

std::size_t StateCache::rank_among_alive(const std::string& topic) const {
    auto weight = [&](const std::string& node) {
        return std::tuple(machine_count_of_node(node), std::hash<std::string>{}(topic + "@" + node), node);
    };
    const auto own_weight = weight(settings_.node);
    const auto& alive = membership.alive_nodes();
    return static_cast<std::size_t>(std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
        return node != settings_.node && weight(node) < own_weight;
    }));
}

}  // namespace cottonway
