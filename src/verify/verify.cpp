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

bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}

std::optional<std::size_t> number_at_end(const std::string& key) {
    const auto slash = key.rfind('/');
    std::size_t n = 0;
    const char* end = key.data() + key.size();
    const char* from = key.data() + slash + 1;
    if (slash == std::string::npos || from == end) return std::nullopt;
    const auto r = std::from_chars(from, end, n);
    if (r.ec != std::errc() || r.ptr != end) return std::nullopt;
    return n;
}

}  // namespace

void Verifier::damage(const std::string& key, std::string what) {
    findings_.push_back({Finding::Severity::Damage, key, std::move(what)});
}

void Verifier::notice(const std::string& key, std::string what) {
    findings_.push_back({Finding::Severity::Notice, key, std::move(what)});
}

void Verifier::add_record(const std::string& key, const Json& stored, Revision mod_revision) {
    auto rest = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::chunk)) return take_piece(key, stored);
    const auto value = whole(key, stored);
    if (!value) return;
    if (!value->is_object()) return damage(key, "is no map");
    if (starts_with(key, keys::active)) {
        take_job(key, rest(keys::active), RecordLocation::Active, *value);
    } else if (starts_with(key, keys::job)) {
        take_job(key, rest(keys::job), RecordLocation::Job, *value);
    } else if (starts_with(key, keys::part)) {
        take_part(key, *value);
    } else if (starts_with(key, keys::block)) {
        take_block(key, *value, mod_revision);
    } else if (starts_with(key, keys::shard)) {
        ++kinds_["domains"];
        const auto holder = wire::text(*value, "holder");
        if (!holder || holder->empty()) damage(key, "names no holder");
        shards_[rest(keys::shard)] = holder.value_or("");
    } else if (starts_with(key, keys::share)) {
        ++kinds_["shares"];
        shared_.insert(rest(keys::share));
        for (const auto& [team, r] : value->items())
            if (!r.is_array() || r.size() != 2 || !r[0].is_number_integer() || !r[1].is_number_integer() ||
                r[0].get<Milli>() < 0 || r[1].get<Milli>() < 0)
                damage(key, fmt::format("the share of team {} does not parse and grants nothing", team));
        for (const auto& [team, r] : parse_shares(*value)) sums_[team] += r;
    } else if (starts_with(key, keys::plan)) {
        ++kinds_["plans"];
        if (!scheduling::Plan().take(*value)) damage(key, "does not parse: nothing of it is carried on");
    } else if (starts_with(key, keys::format)) {
        ++kinds_["formats"];
        const auto reads = wire::count(*value, "reads").value_or(0);
        reads_[rest(keys::format)] = reads;
        if (reads > format::kNewest)
            notice(key, fmt::format("reads format {}, newer than this program's {}", reads, format::kNewest));
    } else if (starts_with(key, keys::live)) {
        ++kinds_["nodes alive"];
    } else if (key == keys::history) {
        apart_ = wire::flag(*value, "apart").value_or(false);
    } else if (key == keys::policy) {
        if (!policy::from_value(*value)) damage(key, "does not parse: the default policy is in force");
    } else if (key == keys::types) {
        if (!wire::parse_types(*value)) damage(key, "does not parse: controllers wait for the cloud instead");
    } else if (key != keys::leader) {
        notice(key, "is of a kind that this program does not know");
    }
}

/// A value that is stored in pieces is put together; with some missing it counts for nothing.
std::optional<Json> Verifier::whole(const std::string& key, const Json& value) {
    const auto named = chunks::named_by(value);
    if (!named) return value;
    named_pieces_.insert(named->first);
    auto it = chunks_.find(named->first);
    std::vector<std::string> texts;
    if (it != chunks_.end())
        for (const auto& [i, t] : it->second) texts.push_back(t);
    if (texts.size() != named->second) {
        damage(key,
               fmt::format("{} of its {} pieces are missing", named->second - texts.size(), named->second));
        return std::nullopt;
    }
    auto joined = chunks::join(value, texts);
    if (!joined) damage(key, "its pieces do not make a value");
    return joined;
}

void Verifier::take_piece(const std::string& key, const Json& value) {
    ++kinds_["pieces"];
    const auto index = number_at_end(key);
    auto text = wire::text(value, "t");
    if (!index || !text) return damage(key, "is no piece of a value");
    const auto slash = key.rfind('/');
    const std::string name = key.substr(keys::chunk.size(), slash - keys::chunk.size());
    chunks_[name][*index] = std::move(*text);
    chunk_of_[name] = key;
}

void Verifier::take_job(const std::string& key, const std::string& ref, RecordLocation place,
                        const Json& value) {
    if (!wire::valid_ref(ref)) damage(key, "is not named like a job");
    const auto stage = wire::text(value, "s");
    const Json* spec = wire::find(value, "d");
    const bool final = (stage == "done" || stage == "cancelled") && !spec;
    auto live = jobs_.find(ref);
    if (final) {
        ++(stage == "done" ? done_ : cancelled_);
        if (place == RecordLocation::Active) return damage(key, "is final, which no record of a live job is");
        if (live == jobs_.end()) return;
        notice(live->second.key, "is left over: the job is " + *stage + "; dropped in a quiet moment");
        jobs_.erase(live);
        return;
    }
    ++kinds_["jobs live"];
    if (live != jobs_.end())
        return notice(key,
                      "came late, beside the record of the same job that counts; overwritten at its end");
    if (place == RecordLocation::Job && apart_)
        return damage(key, "is not over, although history is apart: no start reads it");
    if (!stage || (stage != "queued" && stage != "cancelled"))
        return damage(key, "tells no known state; the job is set aside");
    if (!spec) return damage(key, "has no description; the job is set aside");
    const auto parsed = wire::parse_job(*spec);
    if (!parsed.spec)
        return damage(key, "its description is broken: " + parsed.error + "; the job is set aside");
    if (parsed.spec->ref != ref) damage(key, "describes " + parsed.spec->ref);
    if (const auto k = wire::count(value, "k"); k != static_cast<std::uint64_t>(parsed.spec->tasks))
        damage(key, fmt::format("counts {} tasks and describes {}", k.value_or(0), parsed.spec->tasks));
    KnownJob job;
    job.key = key;
    job.shard = wire::text(value, "dom").value_or("");
    job.tasks = parsed.spec->tasks;
    job.part_tasks = std::max<std::size_t>(wire::count(value, "ps").value_or(64), 1);
    job.cancelled = stage == "cancelled";
    take_bindings(job, key, value, 0);
    jobs_.emplace(ref, std::move(job));
}

void Verifier::take_part(const std::string& key, const Json& value) {
    ++kinds_["parts"];
    const auto index = number_at_end(key);
    const auto slash = key.rfind('/');
    if (!index || slash <= keys::part.size()) return damage(key, "is not named like a part");
    const std::string ref = key.substr(keys::part.size(), slash - keys::part.size());
    auto job = jobs_.find(ref);
    if (job == jobs_.end()) return notice(key, "is left of a job that is over, or was set aside");
    const std::size_t first = *index * job->second.part_tasks;
    if (*index == 0 || first >= static_cast<std::size_t>(job->second.tasks))
        return damage(
            key, fmt::format("the job has {} tasks, {} a part", job->second.tasks, job->second.part_tasks));
    take_bindings(job->second, key, value, first);
}

void Verifier::take_bindings(KnownJob& job, const std::string& key, const Json& value, std::size_t first) {
    job.next_attempt = std::max(job.next_attempt, wire::count(value, "n").value_or(1));
    const Json* bindings = wire::find(value, "b");
    if (!bindings) return;
    if (!bindings->is_array()) return damage(key, "its bindings do not parse");
    const std::size_t last = std::min(first + job.part_tasks, static_cast<std::size_t>(job.tasks));
    for (const auto& b : *bindings) {
        if (!b.is_array() || b.size() < 3 || !b[0].is_number_unsigned()) {
            damage(key, "a binding does not parse and is ignored: " + b.dump());
            continue;
        }
        auto bind = [&](std::size_t task, std::uint64_t attempt, const std::string& machine) {
            if (task < first || task >= last)
                return damage(key, fmt::format("binds task {}, which it does not hold", task));
            if (attempt >= job.next_attempt)
                damage(key, fmt::format("task {} is bound by attempt {}, and {} is the next", task, attempt,
                                        job.next_attempt));
            if (!job.bound.emplace(task, machine).second)
                damage(key,
                       fmt::format("task {} is bound twice, to {} and {}", task, job.bound[task], machine));
        };
        if (b[1].is_string()) {  // attempt, machine, tasks
            for (std::size_t i = 2; i < b.size(); ++i)
                if (b[i].is_number_unsigned())
                    bind(b[i].get<std::size_t>(), b[0].get<std::uint64_t>(), b[1].get<std::string>());
        } else if (b[1].is_number_unsigned() && b[2].is_string()) {
            bind(b[0].get<std::size_t>(), b[1].get<std::uint64_t>(), b[2].get<std::string>());
        }
    }
}

void Verifier::take_block(const std::string& key, const Json& value, Revision mod_revision) {
    ++kinds_["blocks"];
    const std::string id = key.substr(keys::block.size());
    const auto block = Block::parse(id, value, mod_revision);
    if (!block) return damage(key, "is broken; it is ignored, and its machines with it");
    shard_of_block_[key] = block->shard;
    for (const auto& m : block->machines) {
        ++kinds_["machines"];
        auto [it, added] = machines_.try_emplace(m.name, id, block->shard);
        if (!added)
            damage(key, fmt::format("machine {} is in block {} as well; the newer one counts", m.name,
                                    it->second.first));
        if (m.token > mod_revision)
            damage(key, fmt::format("machine {} has a token from the future", m.name));
    }
}

std::vector<Finding> Verifier::finish() {
    for (const auto& [key, shard] : shard_of_block_)
        if (!shards_.count(shard)) damage(key, "is of domain " + shard + ", which nobody holds");
    for (const auto& [ref, job] : jobs_) {
        if (!shards_.count(job.shard))
            damage(job.key, "is of domain \"" + job.shard + "\", which nobody holds: the job does not run");
        for (const auto& [task, machine] : job.bound) {
            auto at = machines_.find(machine);
            if (at == machines_.end())
                notice(job.key, fmt::format("task {} is bound to {}, which is in no block: it counts as gone",
                                            task, machine));
            else if (at->second.second != job.shard)
                damage(job.key, fmt::format("task {} is bound to {} of domain {}, the job is of {}", task,
                                            machine, at->second.second, job.shard));
        }
    }
    for (const auto& shard : shared_)
        if (!shards_.count(shard)) damage(keys::share + shard, "is the share of a domain that nobody holds");
    for (const auto& t : settings_.teams) {
        auto compare = [&](Milli sum, Milli limit, const char* of) {
            if (limit == kNoLimit || shared_.empty() || sum == limit) return;
            const std::string what =
                fmt::format("the shares of team {} add up to {} {}, its limit is {}", t.name,
                            static_cast<double>(sum) / 1000.0, of, static_cast<double>(limit) / 1000.0);
            // Every part shrinks in proportion, or the leader adds what is missing.
            notice(keys::share + "...", what);
        };
        const Resources sum = sums_.count(t.name) ? sums_.at(t.name) : Resources{};
        compare(sum.cores, t.limit.cores, "cores");
        compare(sum.gpus, t.limit.gpus, "cards");
    }
    for (const auto& [name, key] : chunk_of_)
        if (!named_pieces_.count(name)) notice(key, "no record names it; dropped after a minute");
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const Finding& a, const Finding& b) { return a.severity > b.severity; });
    return findings_;
}

Json Verifier::summary() const {
    Json v = Json::object();
    for (const auto& [kind, n] : kinds_) v[kind] = n;
    v["jobs done"] = done_;
    v["jobs cancelled"] = cancelled_;
    v["history apart"] = apart_;
    v["formats"] = reads_;
    return v;
}

}  // namespace cottonway::recovery
