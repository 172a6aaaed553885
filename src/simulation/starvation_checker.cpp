#include "simulation/starvation_checker.hpp"

#include <algorithm>
#include <set>

#include "scheduling/constraints.hpp"

namespace cottonway::simulation {

namespace {

Resources component_minimum(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ram, b.ram)};
}

/// Returns the number of tasks that fit, at most `most`.
int count_fitting_tasks(const Resources& request, Resources free, int most) {
    int count = 0;
    for (; count < most && request.fits(free); ++count) free -= request;
    return count;
}

}  // namespace

std::string find_startable_machine(const WaitingJob& job, const FreeCapacities& machines,
                                   const Resources& remaining_limit) {
    const JobSpec& spec = job.spec;
    const bool gang = spec.kind == JobKind::Gang;
    const int wanted = gang ? job.waiting_tasks : 1;
    if (spec.request.cores * wanted > remaining_limit.cores ||
        spec.request.gpus * wanted > remaining_limit.gpus)
        return "";
    struct Zone {
        int fitting = 0;
        std::string machine;
    };
    std::map<std::string, Zone> zones;
    for (const auto& [name, capacity] : machines) {
        if (!scheduling::can_use_machine(spec, capacity.type, capacity.zone, capacity.spot)) continue;
        if (spec.one_zone && !job.running_by_zone.empty() && !job.running_by_zone.count(capacity.zone))
            continue;
        int max_tasks = wanted;
        if (auto running = job.running_by_zone.find(capacity.zone); spec.spread)
            max_tasks = std::min(max_tasks, (spec.tasks + 1) / 2 -
                                                (running == job.running_by_zone.end() ? 0 : running->second));
        Zone& zone = zones[capacity.zone];
        const int fitting = count_fitting_tasks(spec.request, capacity.free, max_tasks - zone.fitting);
        if (fitting > 0 && zone.machine.empty()) zone.machine = name;
        zone.fitting += std::max(fitting, 0);
    }
    int total = 0;
    for (const auto& [name, zone] : zones) {
        total = spec.one_zone ? std::max(total, zone.fitting) : total + zone.fitting;
        if (total >= wanted) return zone.machine;
    }
    return "";
}

void StarvationChecker::observe(Micros now, ClusterSnapshot snapshot) {
    const auto jobs = std::exchange(snapshot.waiting_jobs, {});
    snapshots_.emplace_back(now, std::move(snapshot));
    while (snapshots_.size() > 1 && snapshots_[1].first <= now - kMinAvailableDuration)
        snapshots_.pop_front();
    const bool has_enough_history = snapshots_.front().first <= now - kMinAvailableDuration;
    ClusterSnapshot always_available = snapshots_.front().second;
    for (const auto& [time, past] : snapshots_) {
        std::erase_if(always_available.machines,
                      [&past = past](const auto& machine) { return !past.machines.count(machine.first); });
        for (auto& [name, capacity] : always_available.machines)
            capacity.free = component_minimum(capacity.free, past.machines.at(name).free);
        for (auto& [team, limit] : always_available.remaining_limits)
            limit = component_minimum(limit, past.remaining_limits.at(team));
    }
    for (const auto& [ref, job] : jobs) {
        auto [it, added] = jobs_.try_emplace(ref);
        JobHistory& history = it->second;
        if (added || history.waiting_since < 0 || history.starts != job.starts)
            history.waiting_since = now, history.startable_since = -1, history.starts = job.starts;
        const std::string machine_name =
            has_enough_history ? find_startable_machine(job, always_available.machines,
                                                        always_available.remaining_limits[job.spec.team])
                               : "";
        if (machine_name.empty()) {
            history.startable_since = -1;
            continue;
        }
        if (history.startable_since < 0)
            history.startable_since = std::max(now - kMinAvailableDuration, history.waiting_since);
        if (now - history.startable_since > history.wait.longest)
            history.wait = {now - history.startable_since, machine_name};
    }
    for (auto& [ref, history] : jobs_)
        if (!jobs.count(ref)) history.waiting_since = history.startable_since = -1;
}

StarvationChecker::Wait StarvationChecker::wait_of(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? Wait{} : it->second.wait;
}

}  // namespace cottonway::simulation
