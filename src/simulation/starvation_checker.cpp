#include "simulation/starvation_checker.hpp"

#include <algorithm>
#include <set>

#include "scheduling/constraints.hpp"

namespace cottonway::simulation {

namespace {

Resources least(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ram, b.ram)};
}

/// How many tasks have room.
int fitting(const Resources& need, Resources free, int most) {
    int n = 0;
    for (; n < most && need.fits(free); ++n) free -= need;
    return n;
}

}  // namespace

std::string find_startable_machine(const WaitingJob& job, const FreeCapacities& rooms,
                                   const Resources& left) {
    const JobSpec& s = job.spec;
    const bool gang = s.kind == JobKind::Gang;
    const int wanted = gang ? job.waiting_tasks : 1;
    if (s.request.cores * wanted > left.cores || s.request.gpus * wanted > left.gpus) return "";
    struct Zone {
        int fit = 0;
        std::string machine;
    };
    std::map<std::string, Zone> zones;
    for (const auto& [name, room] : rooms) {
        if (!scheduling::may_use(s, room.type, room.zone, room.spot)) continue;
        if (s.one_zone && !job.running_by_zone.empty() && !job.running_by_zone.count(room.zone)) continue;
        int most = wanted;
        if (auto there = job.running_by_zone.find(room.zone); s.spread)
            most =
                std::min(most, (s.tasks + 1) / 2 - (there == job.running_by_zone.end() ? 0 : there->second));
        Zone& zone = zones[room.zone];
        const int fit = fitting(s.request, room.free, most - zone.fit);
        if (fit > 0 && zone.machine.empty()) zone.machine = name;
        zone.fit += std::max(fit, 0);
    }
    int all = 0;
    for (const auto& [name, zone] : zones) {
        all = s.one_zone ? std::max(all, zone.fit) : all + zone.fit;
        if (all >= wanted) return zone.machine;
    }
    return "";
}

void StarvationChecker::observe(Micros now, ClusterSnapshot sight) {
    const auto jobs = std::exchange(sight.waiting_jobs, {});
    sights_.emplace_back(now, std::move(sight));
    while (sights_.size() > 1 && sights_[1].first <= now - kRequiredDuration) sights_.pop_front();
    const bool lasted = sights_.front().first <= now - kRequiredDuration;
    ClusterSnapshot settled = sights_.front().second;
    for (const auto& [at, seen] : sights_) {
        std::erase_if(settled.machines,
                      [&seen = seen](const auto& m) { return !seen.machines.count(m.first); });
        for (auto& [name, room] : settled.machines) room.free = least(room.free, seen.machines.at(name).free);
        for (auto& [team, left] : settled.remaining_limits)
            left = least(left, seen.remaining_limits.at(team));
    }
    for (const auto& [ref, job] : jobs) {
        auto [it, added] = jobs_.try_emplace(ref);
        Kept& k = it->second;
        if (added || k.waits_since < 0 || k.starts != job.starts)
            k.waits_since = now, k.could_since = -1, k.starts = job.starts;
        const std::string where =
            lasted ? find_startable_machine(job, settled.machines, settled.remaining_limits[job.spec.team])
                   : "";
        if (where.empty()) {
            k.could_since = -1;
            continue;
        }
        if (k.could_since < 0) k.could_since = std::max(now - kRequiredDuration, k.waits_since);
        if (now - k.could_since > k.wait.longest) k.wait = {now - k.could_since, where};
    }
    for (auto& [ref, k] : jobs_)
        if (!jobs.count(ref)) k.waits_since = k.could_since = -1;
}

StarvationChecker::Wait StarvationChecker::wait_of(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? Wait{} : it->second.wait;
}

}  // namespace cottonway::simulation
