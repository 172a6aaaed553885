#include "verify/verify.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "cache/format_cache.hpp"
#include "kvstore/chunks.hpp"
#include "policy/policy.hpp"
#include "scheduling/migrations.hpp"

namespace cottonway::recovery {

namespace {

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::optional<std::size_t> number_at_end(const std::string& key) {
    const auto slash = key.rfind('/');
    std::size_t number = 0;
    const char* end = key.data() + key.size();
    const char* first = key.data() + slash + 1;
    if (slash == std::string::npos || first == end) return std::nullopt;
    const auto result = std::from_chars(first, end, number);
    if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
    return number;
}

}  // namespace

void Verifier::add_damage(const std::string& key, std::string message) {
    findings_.push_back({Finding::Severity::Damage, key, std::move(message)});
}

void Verifier::add_notice(const std::string& key, std::string message) {
    findings_.push_back({Finding::Severity::Notice, key, std::move(message)});
}

void Verifier::add_record(const std::string& key, const Json& stored, Revision mod_revision) {
    auto after_prefix = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::chunk)) return add_chunk(key, stored);
    const auto value = join_chunks(key, stored);
    if (!value) return;
    if (!value->is_object()) return add_damage(key, "is not a map");
    if (starts_with(key, keys::active)) {
        check_job(key, after_prefix(keys::active), RecordLocation::Active, *value);
    } else if (starts_with(key, keys::job)) {
        check_job(key, after_prefix(keys::job), RecordLocation::Job, *value);
    } else if (starts_with(key, keys::job_part)) {
        check_part(key, *value);
    } else if (starts_with(key, keys::block)) {
        check_block(key, *value, mod_revision);
    } else if (starts_with(key, keys::shard)) {
        ++record_counts_["domains"];
        const auto holder = wire::text(*value, "holder");
        if (!holder || holder->empty()) add_damage(key, "has no holder");
        shard_holders_[after_prefix(keys::shard)] = holder.value_or("");
    } else if (starts_with(key, keys::quota)) {
        ++record_counts_["shares"];
        shards_with_share_.insert(after_prefix(keys::quota));
        for (const auto& [team, resources] : value->items())
            if (!resources.is_array() || resources.size() != 2 || !resources[0].is_number_integer() ||
                !resources[1].is_number_integer() || resources[0].get<Milli>() < 0 ||
                resources[1].get<Milli>() < 0)
                add_damage(key, fmt::format("the share of team {} does not parse and counts as zero", team));
        for (const auto& [team, resources] : parse_quota(*value)) share_totals_[team] += resources;
    } else if (starts_with(key, keys::plan)) {
        ++record_counts_["plans"];
        if (!scheduling::MigrationPlan().restore(*value))
            add_damage(key, "does not parse; nothing of the plan is resumed");
    } else if (starts_with(key, keys::format)) {
        ++record_counts_["formats"];
        const auto read_format = wire::count(*value, "reads").value_or(0);
        read_formats_[after_prefix(keys::format)] = read_format;
        if (read_format > format::kNewest)
            add_notice(key, fmt::format("reads format {}, newer than this program's {}", read_format,
                                        format::kNewest));
    } else if (starts_with(key, keys::live_node)) {
        ++record_counts_["nodes alive"];
    } else if (key == keys::history) {
        history_separated_ = wire::flag(*value, "apart").value_or(false);
    } else if (key == keys::policy) {
        if (!policy::from_value(*value)) add_damage(key, "does not parse; the default policy applies");
    } else if (key == keys::machine_types) {
        if (!wire::parse_machine_types(*value))
            add_damage(key, "does not parse; controllers wait for the machine types from the cloud");
    } else if (key != keys::leader) {
        add_notice(key, "is a record of an unknown kind");
    }
}

std::optional<Json> Verifier::join_chunks(const std::string& key, const Json& value) {
    const auto chunk_reference = chunks::chunk_reference(value);
    if (!chunk_reference) return value;
    referenced_chunks_.insert(chunk_reference->first);
    auto found = chunk_texts_.find(chunk_reference->first);
    std::vector<std::string> texts;
    if (found != chunk_texts_.end())
        for (const auto& [index, text] : found->second) texts.push_back(text);
    if (texts.size() != chunk_reference->second) {
        add_damage(key, fmt::format("{} of its {} chunks are missing", chunk_reference->second - texts.size(),
                                    chunk_reference->second));
        return std::nullopt;
    }
    auto joined = chunks::join(value, texts);
    if (!joined) add_damage(key, "its chunks cannot be joined to a value");
    return joined;
}

void Verifier::add_chunk(const std::string& key, const Json& value) {
    ++record_counts_["pieces"];
    const auto index = number_at_end(key);
    auto text = wire::text(value, "t");
    if (!index || !text) return add_damage(key, "is not a chunk of a value");
    const auto slash = key.rfind('/');
    const std::string name = key.substr(keys::chunk.size(), slash - keys::chunk.size());
    chunk_texts_[name][*index] = std::move(*text);
    chunk_keys_[name] = key;
}

void Verifier::check_job(const std::string& key, const std::string& ref, RecordLocation location,
                         const Json& value) {
    if (!wire::is_valid_ref(ref)) add_damage(key, "is not the key of a valid job id");
    const auto stage = wire::text(value, "s");
    const Json* spec = wire::find(value, "d");
    const bool is_final = (stage == "done" || stage == "cancelled") && !spec;
    auto known_job = live_jobs_.find(ref);
    if (is_final) {
        ++(stage == "done" ? done_jobs_ : cancelled_jobs_);
        if (location == RecordLocation::Active)
            return add_damage(key, "is a final record, but has the key of an active one");
        if (known_job == live_jobs_.end()) return;
        add_notice(known_job->second.key,
                   "is left over: the job is " + *stage + "; deleted while the controller is idle");
        live_jobs_.erase(known_job);
        return;
    }
    ++record_counts_["jobs live"];
    if (known_job != live_jobs_.end())
        return add_notice(key,
                          "was written late; the job's active record takes precedence, and this one is "
                          "overwritten when the job ends");
    if (location == RecordLocation::Job && history_separated_)
        return add_damage(
            key,
            "is not over, although finished jobs are stored separately: no starting controller reads it");
    if (!stage || (stage != "queued" && stage != "cancelled"))
        return add_damage(key, "has no known state; the job is not scheduled");
    if (!spec) return add_damage(key, "has no description; the job is not scheduled");
    const auto parsed = wire::parse_job(*spec);
    if (!parsed.spec)
        return add_damage(key, "its description is invalid: " + parsed.error + "; the job is not scheduled");
    if (parsed.spec->ref != ref) add_damage(key, "describes another job, " + parsed.spec->ref);
    if (const auto stored_tasks = wire::count(value, "k");
        stored_tasks != static_cast<std::uint64_t>(parsed.spec->tasks))
        add_damage(key, fmt::format("states {} tasks, but describes {}", stored_tasks.value_or(0),
                                    parsed.spec->tasks));
    LiveJob job;
    job.key = key;
    job.shard = wire::text(value, "dom").value_or("");
    job.tasks = parsed.spec->tasks;
    job.tasks_per_part = std::max<std::size_t>(wire::count(value, "ps").value_or(64), 1);
    job.cancelled = stage == "cancelled";
    check_bindings(job, key, value, 0);
    live_jobs_.emplace(ref, std::move(job));
}

void Verifier::check_part(const std::string& key, const Json& value) {
    ++record_counts_["parts"];
    const auto index = number_at_end(key);
    const auto slash = key.rfind('/');
    if (!index || slash <= keys::job_part.size()) return add_damage(key, "is not the key of a part");
    const std::string ref = key.substr(keys::job_part.size(), slash - keys::job_part.size());
    auto job = live_jobs_.find(ref);
    if (job == live_jobs_.end()) return add_notice(key, "belongs to a job that is over or not scheduled");
    const std::size_t first_task = *index * job->second.tasks_per_part;
    if (*index == 0 || first_task >= static_cast<std::size_t>(job->second.tasks))
        return add_damage(key, fmt::format("is not a part of its job, which has {} tasks, {} per part",
                                           job->second.tasks, job->second.tasks_per_part));
    check_bindings(job->second, key, value, first_task);
}

void Verifier::check_bindings(LiveJob& job, const std::string& key, const Json& value,
                              std::size_t first_task) {
    job.next_attempt = std::max(job.next_attempt, wire::count(value, "n").value_or(1));
    const Json* bindings = wire::find(value, "b");
    if (!bindings) return;
    if (!bindings->is_array()) return add_damage(key, "its bindings do not parse");
    const std::size_t end_task =
        std::min(first_task + job.tasks_per_part, static_cast<std::size_t>(job.tasks));
    for (const auto& binding : *bindings) {
        if (!binding.is_array() || binding.size() < 3 || !binding[0].is_number_unsigned()) {
            add_damage(key, "a binding does not parse and is ignored: " + binding.dump());
            continue;
        }
        auto add_binding = [&](std::size_t task, std::uint64_t attempt, const std::string& machine) {
            if (task < first_task || task >= end_task)
                return add_damage(key, fmt::format("binds task {}, which belongs to another part", task));
            if (attempt >= job.next_attempt)
                add_damage(key, fmt::format("task {} is bound by attempt {}, but the next attempt is {}",
                                            task, attempt, job.next_attempt));
            if (!job.machine_of_task.emplace(task, machine).second)
                add_damage(key, fmt::format("task {} is bound twice, to {} and {}", task,
                                            job.machine_of_task[task], machine));
        };
        if (binding[1].is_string()) {  // [attempt, machine, task...]
            for (std::size_t i = 2; i < binding.size(); ++i)
                if (binding[i].is_number_unsigned())
                    add_binding(binding[i].get<std::size_t>(), binding[0].get<std::uint64_t>(),
                                binding[1].get<std::string>());
        } else if (binding[1].is_number_unsigned() && binding[2].is_string()) {
            add_binding(binding[0].get<std::size_t>(), binding[1].get<std::uint64_t>(),
                        binding[2].get<std::string>());
        }
    }
}

void Verifier::check_block(const std::string& key, const Json& value, Revision mod_revision) {
    ++record_counts_["blocks"];
    const std::string id = key.substr(keys::block.size());
    const auto block = Block::parse(id, value, mod_revision);
    if (!block) return add_damage(key, "does not parse; the block and its machines are ignored");
    shard_of_block_[key] = block->shard;
    for (const auto& machine : block->machines) {
        ++record_counts_["machines"];
        auto [found, added] = machine_locations_.try_emplace(machine.name, id, block->shard);
        if (!added)
            add_damage(key, fmt::format("machine {} is also in block {}; the newer block takes precedence",
                                        machine.name, found->second.first));
        if (machine.token > mod_revision)
            add_damage(key,
                       fmt::format("machine {} has a token above the revision of its block", machine.name));
    }
}

std::vector<Finding> Verifier::finish() {
    for (const auto& [key, shard] : shard_of_block_)
        if (!shard_holders_.count(shard))
            add_damage(key, "belongs to domain " + shard + ", which has no holder");
    for (const auto& [ref, job] : live_jobs_) {
        if (!shard_holders_.count(job.shard))
            add_damage(job.key,
                       "belongs to domain \"" + job.shard + "\", which has no holder: the job does not run");
        for (const auto& [task, machine] : job.machine_of_task) {
            auto location = machine_locations_.find(machine);
            if (location == machine_locations_.end())
                add_notice(
                    job.key,
                    fmt::format("task {} is bound to {}, which is in no block: the machine counts as lost",
                                task, machine));
            else if (location->second.second != job.shard)
                add_damage(job.key,
                           fmt::format("task {} is bound to {} of domain {}, but the job belongs to {}", task,
                                       machine, location->second.second, job.shard));
        }
    }
    for (const auto& shard : shards_with_share_)
        if (!shard_holders_.count(shard))
            add_damage(keys::quota + shard, "is the share of a domain that has no holder");
    for (const auto& team : settings_.teams) {
        auto compare = [&](Milli total, Milli limit, const char* unit) {
            if (limit == kNoLimit || shards_with_share_.empty() || total == limit) return;
            const std::string message =
                fmt::format("the shares of team {} add up to {} {}, but its limit is {}", team.name,
                            static_cast<double>(total) / 1000.0, unit, static_cast<double>(limit) / 1000.0);
            // Only a notice: the shards reduce their shares in proportion, or the leader adds what is
            // missing.
            add_notice(keys::quota + "...", message);
        };
        const Resources total = share_totals_.count(team.name) ? share_totals_.at(team.name) : Resources{};
        compare(total.cores, team.limit.cores, "cores");
        compare(total.gpus, team.limit.gpus, "cards");
    }
    for (const auto& [name, key] : chunk_keys_)
        if (!referenced_chunks_.count(name))
            add_notice(key, "no record refers to it; deleted after a minute");
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const Finding& a, const Finding& b) { return a.severity > b.severity; });
    return findings_;
}

Json Verifier::summary() const {
    Json counts = Json::object();
    for (const auto& [kind, count] : record_counts_) counts[kind] = count;
    counts["jobs done"] = done_jobs_;
    counts["jobs cancelled"] = cancelled_jobs_;
    counts["history apart"] = history_separated_;
    counts["formats"] = read_formats_;
    return counts;
}

}  // namespace cottonway::recovery
