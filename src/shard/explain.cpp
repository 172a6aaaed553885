// Explains why a job waits, from the current state of its shard. Nothing here takes a decision.

#include <algorithm>
#include <tuple>

#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

Json resources_value(const Resources& resources) {
    auto in_units = [](Milli thousandths) { return static_cast<double>(thousandths) / 1000; };
    return {{"cores", in_units(resources.cores)},
            {"cards", in_units(resources.gpus)},
            {"ram_gb", in_units(resources.ram)}};
}

const char* name_of(PriorityClass rank) {
    static constexpr const char* names[] = {"production", "high", "normal", "low"};
    return names[static_cast<std::size_t>(rank)];
}

}  // namespace

/// Returns the job's position in the queue by the first criteria of the placement order: rank, guarantee,
/// deadline. Among equals, placement compares the work left to the time waited; here the older job goes
/// first.
Json ShardOwner::queue_position(const Job& job) const {
    auto order = [&](const Job& queued) {
        return std::tuple(queued.rank, !queued.within_guarantee, queued.deadline_ms, queued.eligible_since_ms,
                          queued.serial);
    };
    std::size_t all = 0, before = 0, before_of_team = 0;
    for (const auto& [ref, other] : shard_state_.jobs) {
        if (other->stage != Stage::Queued || !other->dependencies_done || other->unbound_tasks == 0) continue;
        ++all;
        if (!(order(*other) < order(job))) continue;
        ++before;
        before_of_team += other->spec.team == job.spec.team;
    }
    return {{"waiting_jobs", all}, {"before", before}, {"before_of_its_team", before_of_team}};
}

/// Returns, by zone, how many machines of the shard the job is allowed on, how many of these are usable, and
/// how many have free capacity for one of its tasks now.
Json ShardOwner::capacity_by_zone(const Job& job) const {
    const auto tasks_by_zone = job.tasks_by_zone();
    Json zones = Json::object();
    auto zone_entry = [&](const std::string& name) -> Json& {
        if (!zones.contains(name)) {
            auto tasks = tasks_by_zone.find(name);
            zones[name] = {{"tasks", tasks == tasks_by_zone.end() ? 0 : tasks->second},
                           {"machines", 0},
                           {"usable", 0},
                           {"with_room", 0}};
        }
        return zones[name];
    };
    auto increment = [](Json& count) { count = count.get<int>() + 1; };
    for (const auto& [name, machine] : shard_state_.machines) {
        if (!Scheduler::is_allowed(job, *machine)) continue;
        Json& entry = zone_entry(machine->zone);
        increment(entry["machines"]);
        if (!is_usable(*machine)) continue;
        increment(entry["usable"]);
        if (job.spec.request.fits(machine->type->size - machine->reserved)) increment(entry["with_room"]);
    }
    for (const auto& [name, tasks] : tasks_by_zone) zone_entry(name);
    return zones;
}

/// Returns how many GPUs are free on the machines that the job may use: in total, and on the machine with the
/// most.
Json ShardOwner::gpu_capacity_for(const Job& job) const {
    Milli total_free = 0, most_on_one_machine = 0;
    for (const auto& [name, machine] : shard_state_.machines) {
        if (!is_usable(*machine) || !Scheduler::is_allowed(job, *machine)) continue;
        const Milli machine_free = std::max<Milli>(machine->type->size.gpus - machine->reserved.gpus, 0);
        total_free += machine_free;
        most_on_one_machine = std::max(most_on_one_machine, machine_free);
    }
    return {{"a_task_needs", job.spec.request.gpus / 1000},
            {"free", static_cast<double>(total_free) / 1000},
            {"most_on_one_machine", static_cast<double>(most_on_one_machine) / 1000}};
}

std::vector<std::string> ShardOwner::waiting_reasons(const Job& job, const Json& zones) const {
    std::vector<std::string> reasons;
    const Micros now = context_.runtime().now();
    if (job.stage == Stage::Cancelled) return {"it is cancelled"};
    if (job.unbound_tasks == 0) return {"nothing of it waits"};
    if (!job.dependencies_done) return {"jobs that it needs are not done"};
    if (job.transferring) reasons.push_back("it is being given to another domain");
    if (job.on_admitted) reasons.push_back("its record is not stored yet");
    if (job.backing_off)
        reasons.push_back("it fails everywhere: one task is tried at a time, the next in " +
                          std::to_string(std::max<Micros>(job.next_try_at - now, 0) / kMillisecond) + " ms");
    const int tasks_at_once = job.spec.kind == JobKind::Gang ? job.spec.tasks : 1;
    if (!scheduler_.is_within_quota(job, tasks_at_once))
        reasons.push_back("its team has used up its limit here");
    int machines = 0, usable_machines = 0, machines_with_capacity = 0, open_zones = 0;
    for (const auto& [name, entry] : zones.items()) {
        machines += entry["machines"].get<int>();
        usable_machines += entry["usable"].get<int>();
        machines_with_capacity += entry["with_room"].get<int>();
        open_zones +=
            entry["with_room"].get<int>() > 0 && entry["tasks"].get<int>() < job.max_tasks_per_zone();
    }
    if (machines == 0)
        reasons.push_back("no machine of this domain is of a type, zone and kind that it may use");
    else if (usable_machines == 0)
        reasons.push_back("no machine that it may use can take new tasks now");
    else if (machines_with_capacity == 0)
        reasons.push_back("no machine that it may use has room for a task");
    else if (open_zones == 0)
        reasons.push_back("zones with room hold as many of its tasks as they may");
    else if (job.spec.kind == JobKind::Gang && machines_with_capacity < job.spec.tasks)
        reasons.push_back("a gang starts as a whole, and there may not be room for all of it");
    if (job.is_best_effort()) reasons.push_back("it takes what other work leaves over, in turns");
    if (job.waiting_for_image) reasons.push_back("it waits for a machine that has its image");
    const auto waiting_to_retry = std::count_if(job.slots.begin(), job.slots.end(), [&](const Slot& slot) {
        return slot.state == SlotState::Unbound && slot.retry_at > now;
    });
    if (waiting_to_retry > 0)
        reasons.push_back(std::to_string(waiting_to_retry) + " of its tasks have failed and are tried later");
    if (reasons.empty()) reasons.push_back("its turn comes with the next pass of planning");
    return reasons;
}

Json ShardOwner::explain(const std::string& ref) const {
    const Job* found = shard_state_.job(ref);
    if (!found) return {};
    const Job& job = *found;
    const Micros now = context_.runtime().now();
    Json explanation{
        {"domain", shard_},
        {"team", job.spec.team},
        {"class", job.spec.job_class},
        {"tier", policy::name_of(tier(job))},
        {"rank", name_of(job.rank)},
        {"within_guarantee", job.within_guarantee},
        {"tasks", {{"waiting", job.unbound_tasks}, {"bound", job.bound_tasks}, {"done", job.done_tasks}}},
        {"a_task_needs", resources_value(job.spec.request)},
        {"counts_since_ms_ago",
         std::max<std::int64_t>(context_.runtime().wall_clock_ms() - job.eligible_since_ms, 0)}};
    if (job.unbound_tasks > 0 && job.waiting_since > 0)
        explanation["waiting_ms"] = std::max<Micros>(now - job.waiting_since, 0) / kMillisecond;
    explanation["queue"] = queue_position(job);
    explanation["limit"] = {{"here", resources_value(context_.available_quota(shard_, job.spec.team))},
                            {"used", resources_value(shard_state_.team_usage(job.spec.team))}};
    explanation["zones"] = capacity_by_zone(job);
    if (job.spec.request.gpus > 0) explanation["cards"] = gpu_capacity_for(job);
    explanation["why"] = waiting_reasons(job, explanation["zones"]);
    return explanation;
}

/// Returns the numbers of jobs and tasks that wait, by tier.
Json ShardOwner::waiting_by_tier() const {
    std::map<policy::Tier, std::pair<int, int>> counts_by_tier;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->stage != Stage::Queued || !job->dependencies_done || job->unbound_tasks == 0) continue;
        auto& counts = counts_by_tier[tier(*job)];
        ++counts.first;
        counts.second += job->unbound_tasks;
    }
    Json value = Json::object();
    for (const auto& [tier, counts] : counts_by_tier)
        value[policy::name_of(tier)] = {{"jobs", counts.first}, {"tasks", counts.second}};
    return value;
}

}  // namespace cottonway
