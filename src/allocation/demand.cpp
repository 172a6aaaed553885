#include "allocation/demand.hpp"

#include <algorithm>
#include <cmath>

#include "scheduling/machine_occupancy.hpp"

namespace cottonway::allocation {

namespace {

Resources times(const Resources& request, Milli tasks) {
    return {request.cores * tasks, request.gpus * tasks, request.ram * tasks};
}

/// The part of the requests that a limit admits at once, from 0 to 1. Memory has no limit.
double admitted_part(const Resources& requests, const Resources& limit) {
    double part = 1;
    if (requests.cores > limit.cores)
        part = std::min(part, static_cast<double>(limit.cores) / static_cast<double>(requests.cores));
    if (requests.gpus > limit.gpus)
        part = std::min(part, static_cast<double>(limit.gpus) / static_cast<double>(requests.gpus));
    return part;
}

Milli scaled(Milli amount, double part) {
    return static_cast<Milli>(static_cast<double>(amount) * part);
}

bool may_use_type(const LiveJob& job, const std::string& type) {
    return !job.allowed_types ||
           std::find(job.allowed_types->begin(), job.allowed_types->end(), type) != job.allowed_types->end();
}

}  // namespace

bool rents_machines(const Team& team, PriorityClass rank) {
    return team.guarantee.cores > 0 || rank != PriorityClass::Low;
}

void DecayingPeak::update(Milli value, double passed, Micros half_life) {
    const double kept = value_ * std::exp2(-passed / static_cast<double>(half_life));
    value_ = std::max(static_cast<double>(value), kept);
}

DemandEstimator::DemandEstimator(const std::vector<Team>& teams, const std::deque<MachineType>& types)
    : types_(types) {
    for (const Team& team : teams) {
        teams_[team.name].team = &team;
        if (team.limit.cores < kNoLimit) limit_ += team.limit.cores;
    }
}

const MachineType* DemandEstimator::cheapest_type(const LiveJob& job) const {
    const MachineType* cheapest = nullptr;
    double lowest = 0;
    for (const MachineType& type : types_) {
        if (type.size.cores <= 0 || !job.request.fits(type.size) || !may_use_type(job, type.name)) continue;
        const double share = static_cast<double>(scheduling::occupied_cores(job.request, type.size)) /
                             static_cast<double>(type.size.cores);
        const double price = share * type.price;
        if (cheapest && price >= lowest) continue;
        cheapest = &type;
        lowest = price;
    }
    return cheapest;
}

void DemandEstimator::add(const LiveJob& job) {
    auto team = teams_.find(job.team);
    if (job.cancelled || !job.dependencies_met || team == teams_.end()) return;
    if (!rents_machines(*team->second.team, job.priority)) return;
    const MachineType* type = cheapest_type(job);
    if (!type) return;
    // A job in crash-loop backoff is probed with one task at a time.
    const int tasks = job.backing_off ? 1 : std::max(job.tasks - job.done, 0);
    Requests& requests = team->second.by_type[type];
    if (!job.spot) {
        requests.ordinary += times(job.request, tasks);
        return;
    }
    // What waits behind other work needs less than a machine for each of its own: it takes turns.
    const int running = std::min(job.running, tasks);
    const Resources waiting = times(job.request, tasks - running);
    requests.flexible += times(job.request, running);
    requests.flexible += {waiting.cores / 2, waiting.gpus / 2, waiting.ram / 2};
    requests.flexible_in_full += times(job.request, tasks);
}

void DemandEstimator::add_team(const TeamRequests& requests, Demand& demand) {
    const Resources& limit = requests.team->limit;
    Resources ordinary_sum, flexible_sum;
    Milli ordinary = 0, flexible = 0, flexible_in_full = 0;
    for (const auto& [type, sums] : requests.by_type) {
        ordinary_sum += sums.ordinary;
        flexible_sum += sums.flexible;
        ordinary += scheduling::occupied_cores(sums.ordinary, type->size);
        flexible += scheduling::occupied_cores(sums.flexible, type->size);
        flexible_in_full += scheduling::occupied_cores(sums.flexible_in_full, type->size);
    }
    // What a team may not run at once needs no machines at once.
    const Resources left{std::max<Milli>(limit.cores - ordinary_sum.cores, 0),
                         std::max<Milli>(limit.gpus - ordinary_sum.gpus, 0), 0};
    const Milli first = scaled(ordinary, admitted_part(ordinary_sum, limit));
    demand.ordinary += first;
    demand.flexible += scaled(flexible, admitted_part(flexible_sum, left));
    if (limit.cores < kNoLimit) return;
    demand.unlimited_ordinary += first;
    demand.unlimited_flexible += flexible_in_full;
}

Demand DemandEstimator::total() const {
    Demand demand;
    demand.limit = limit_;
    for (const auto& [name, requests] : teams_) add_team(requests, demand);
    return demand;
}

}  // namespace cottonway::allocation
