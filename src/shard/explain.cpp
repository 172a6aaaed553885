// Why a job waits, as its holder sees it now: nothing here decides anything.

#include <algorithm>
#include <tuple>

#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

Json resources_value(const Resources& r) {
    auto plain = [](Milli m) { return static_cast<double>(m) / 1000; };
    return {{"cores", plain(r.cores)}, {"cards", plain(r.gpus)}, {"ram_gb", plain(r.ram)}};
}

const char* name_of(PriorityClass rank) {
    static constexpr const char* names[] = {"production", "high", "normal", "low"};
    return names[static_cast<std::size_t>(rank)];
}

}  // namespace

/// By what the order of placement rests on first: rank, guarantee, deadline. Among equals the plan weighs the
/// work left by the time waited, here the older goes first.
Json ShardOwner::place_in_queue(const Job& job) const {
    auto key = [&](const Job& j) {
        return std::tuple(j.rank, !j.within_guarantee, j.due_ms, j.since_ms, j.serial);
    };
    std::size_t all = 0, before = 0, before_of_team = 0;
    for (const auto& [ref, other] : shard_state_.jobs) {
        if (other->stage != Stage::Queued || !other->open || other->idle == 0) continue;
        ++all;
        if (!(key(*other) < key(job))) continue;
        ++before;
        before_of_team += other->spec.team == job.spec.team;
    }
    return {{"waiting_jobs", all}, {"before", before}, {"before_of_its_team", before_of_team}};
}

/// Machines of the shard by zone: those that it may use, and those that have room for a task of it now.
Json ShardOwner::room_by_zone(const Job& job) const {
    const auto there = job.zones();
    Json zones = Json::object();
    auto zone = [&](const std::string& name) -> Json& {
        if (!zones.contains(name)) {
            auto tasks = there.find(name);
            zones[name] = {{"tasks", tasks == there.end() ? 0 : tasks->second},
                           {"machines", 0},
                           {"usable", 0},
                           {"with_room", 0}};
        }
        return zones[name];
    };
    auto more = [](Json& n) { n = n.get<int>() + 1; };
    for (const auto& [name, m] : shard_state_.machines) {
        if (!Scheduler::allowed(job, *m)) continue;
        Json& z = zone(m->zone);
        more(z["machines"]);
        if (!usable(*m)) continue;
        more(z["usable"]);
        if (job.spec.request.fits(m->type->size - m->reserved)) more(z["with_room"]);
    }
    for (const auto& [name, tasks] : there) zone(name);
    return zones;
}

/// GpuSettings that are free on machines that it may use, in all and most on one.
Json ShardOwner::gpus_for(const Job& job) const {
    Milli free = 0, most = 0;
    for (const auto& [name, m] : shard_state_.machines) {
        if (!usable(*m) || !Scheduler::allowed(job, *m)) continue;
        const Milli here = std::max<Milli>(m->type->size.gpus - m->reserved.gpus, 0);
        free += here;
        most = std::max(most, here);
    }
    return {{"a_task_needs", job.spec.request.gpus / 1000},
            {"free", static_cast<double>(free) / 1000},
            {"most_on_one_machine", static_cast<double>(most) / 1000}};
}

std::vector<std::string> ShardOwner::reasons(const Job& job, const Json& zones) const {
    std::vector<std::string> why;
    const Micros now = context_.runtime().now();
    if (job.stage == Stage::Cancelled) return {"it is cancelled"};
    if (job.idle == 0) return {"nothing of it waits"};
    if (!job.open) return {"jobs that it needs are not done"};
    if (job.leaving) why.push_back("it is being given to another domain");
    if (job.admitting) why.push_back("its record is not stored yet");
    if (job.backing_off)
        why.push_back("it fails everywhere: one task is tried at a time, the next in " +
                      std::to_string(std::max<Micros>(job.try_after - now, 0) / kMillisecond) + " ms");
    const int at_once = job.spec.kind == JobKind::Gang ? job.spec.tasks : 1;
    if (!scheduler_.quota_allows(job, at_once)) why.push_back("its team has used up its limit here");
    int machines = 0, usable_ones = 0, with_room = 0, zones_open = 0;
    for (const auto& [name, z] : zones.items()) {
        machines += z["machines"].get<int>();
        usable_ones += z["usable"].get<int>();
        with_room += z["with_room"].get<int>();
        zones_open += z["with_room"].get<int>() > 0 && z["tasks"].get<int>() < job.zone_cap();
    }
    if (machines == 0)
        why.push_back("no machine of this domain is of a type, zone and kind that it may use");
    else if (usable_ones == 0)
        why.push_back("no machine that it may use can take new tasks now");
    else if (with_room == 0)
        why.push_back("no machine that it may use has room for a task");
    else if (zones_open == 0)
        why.push_back("zones with room hold as many of its tasks as they may");
    else if (job.spec.kind == JobKind::Gang && with_room < job.spec.tasks)
        why.push_back("a gang starts as a whole, and there may not be room for all of it");
    if (job.is_best_effort()) why.push_back("it takes what other work leaves over, in turns");
    if (job.holding_out) why.push_back("it waits for a machine that has its image");
    const auto failing = std::count_if(job.slots.begin(), job.slots.end(), [&](const Slot& s) {
        return s.state == SlotState::Idle && s.retry_at > now;
    });
    if (failing > 0) why.push_back(std::to_string(failing) + " of its tasks have failed and are tried later");
    if (why.empty()) why.push_back("its turn comes with the next pass of planning");
    return why;
}

Json ShardOwner::explain(const std::string& ref) const {
    const Job* found = shard_state_.job(ref);
    if (!found) return {};
    const Job& job = *found;
    const Micros now = context_.runtime().now();
    Json v{{"domain", shard_},
           {"team", job.spec.team},
           {"class", job.spec.job_class},
           {"tier", policy::name_of(tier(job))},
           {"rank", name_of(job.rank)},
           {"within_guarantee", job.within_guarantee},
           {"tasks", {{"waiting", job.idle}, {"bound", job.bound}, {"done", job.done}}},
           {"a_task_needs", resources_value(job.spec.request)},
           {"counts_since_ms_ago",
            std::max<std::int64_t>(context_.runtime().wall_clock_ms() - job.since_ms, 0)}};
    if (job.idle > 0 && job.waiting_since > 0)
        v["waiting_ms"] = std::max<Micros>(now - job.waiting_since, 0) / kMillisecond;
    v["queue"] = place_in_queue(job);
    v["limit"] = {{"here", resources_value(context_.share(shard_, job.spec.team))},
                  {"used", resources_value(shard_state_.used(job.spec.team))}};
    v["zones"] = room_by_zone(job);
    if (job.spec.request.gpus > 0) v["cards"] = gpus_for(job);
    v["why"] = reasons(job, v["zones"]);
    return v;
}

/// Jobs and tasks that wait, by tier.
Json ShardOwner::waiting_by_tier() const {
    std::map<policy::Tier, std::pair<int, int>> sums;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->stage != Stage::Queued || !job->open || job->idle == 0) continue;
        auto& sum = sums[tier(*job)];
        ++sum.first;
        sum.second += job->idle;
    }
    Json v = Json::object();
    for (const auto& [tier, sum] : sums)
        v[policy::name_of(tier)] = {{"jobs", sum.first}, {"tasks", sum.second}};
    return v;
}

}  // namespace cottonway
