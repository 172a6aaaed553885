#include "allocation/demand.hpp"

#include <algorithm>
#include <cmath>

#include "scheduling/machine_occupancy.hpp"

namespace cottonway::allocation {

namespace {

Resources total_request(const Resources& request, Milli tasks) {
    return {request.cores * tasks, request.gpus * tasks, request.ram * tasks};
}

/// Returns the fraction of the requests that a limit admits at once, from 0 to 1. Memory has no limit.
double admitted_fraction(const Resources& requests, const Resources& limit) {
    double fraction = 1;
    if (requests.cores > limit.cores)
        fraction = std::min(fraction, static_cast<double>(limit.cores) / static_cast<double>(requests.cores));
    if (requests.gpus > limit.gpus)
        fraction = std::min(fraction, static_cast<double>(limit.gpus) / static_cast<double>(requests.gpus));
    return fraction;
}

Milli scaled(Milli amount, double fraction) {
    return static_cast<Milli>(static_cast<double>(amount) * fraction);
}

bool may_use_type(const LiveJob& job, const std::string& type) {
    return !job.allowed_types ||
           std::find(job.allowed_types->begin(), job.allowed_types->end(), type) != job.allowed_types->end();
}

}  // namespace

bool should_rent_for(const Team& team, PriorityClass rank) {
    return team.guarantee.cores > 0 || rank != PriorityClass::Low;
}

void DecayingPeak::update(Milli value, double elapsed_us, Micros half_life) {
    const double decayed = value_ * std::exp2(-elapsed_us / static_cast<double>(half_life));
    value_ = std::max(static_cast<double>(value), decayed);
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
    double lowest_price = 0;
    for (const MachineType& type : types_) {
        if (type.size.cores <= 0 || !job.request.fits(type.size) || !may_use_type(job, type.name)) continue;
        const double machine_share = static_cast<double>(scheduling::occupied_cores(job.request, type.size)) /
                                     static_cast<double>(type.size.cores);
        const double price = machine_share * type.price;
        if (cheapest && price >= lowest_price) continue;
        cheapest = &type;
        lowest_price = price;
    }
    return cheapest;
}

void DemandEstimator::add(const LiveJob& job) {
    auto team = teams_.find(job.team);
    if (job.cancelled || !job.dependencies_met || team == teams_.end()) return;
    if (!should_rent_for(*team->second.team, job.priority)) return;
    const MachineType* type = cheapest_type(job);
    if (!type) return;
    // A job in crash-loop backoff runs only one task at a time, as a probe.
    const int tasks = job.backing_off ? 1 : std::max(job.tasks - job.done, 0);
    Requests& requests = team->second.by_type[type];
    if (!job.spot) {
        requests.ordinary += total_request(job.request, tasks);
        return;
    }
    // Waiting tasks share machines with other tasks over time, so they count half.
    const int running = std::min(job.running, tasks);
    const Resources waiting = total_request(job.request, tasks - running);
    requests.spot_eligible += total_request(job.request, running);
    requests.spot_eligible += {waiting.cores / 2, waiting.gpus / 2, waiting.ram / 2};
    requests.spot_eligible_in_full += total_request(job.request, tasks);
}

void DemandEstimator::add_team(const TeamRequests& requests, Demand& demand) {
    const Resources& limit = requests.team->limit;
    Resources ordinary_sum, spot_eligible_sum;
    Milli ordinary = 0, spot_eligible = 0, spot_eligible_in_full = 0;
    for (const auto& [type, sums] : requests.by_type) {
        ordinary_sum += sums.ordinary;
        spot_eligible_sum += sums.spot_eligible;
        ordinary += scheduling::occupied_cores(sums.ordinary, type->size);
        spot_eligible += scheduling::occupied_cores(sums.spot_eligible, type->size);
        spot_eligible_in_full += scheduling::occupied_cores(sums.spot_eligible_in_full, type->size);
    }
    // Requests beyond what the team may run at once need no machines yet.
    const Resources remaining_limit{std::max<Milli>(limit.cores - ordinary_sum.cores, 0),
                                    std::max<Milli>(limit.gpus - ordinary_sum.gpus, 0), 0};
    const Milli admitted_ordinary = scaled(ordinary, admitted_fraction(ordinary_sum, limit));
    demand.ordinary += admitted_ordinary;
    demand.spot_eligible += scaled(spot_eligible, admitted_fraction(spot_eligible_sum, remaining_limit));
    if (limit.cores < kNoLimit) return;
    demand.unlimited_ordinary += admitted_ordinary;
    demand.unlimited_spot_eligible += spot_eligible_in_full;
}

Demand DemandEstimator::total() const {
    Demand demand;
    demand.limit = limit_;
    for (const auto& [name, requests] : teams_) add_team(requests, demand);
    return demand;
}

}  // namespace cottonway::allocation
