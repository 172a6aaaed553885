#include "scheduling/machine_occupancy.hpp"

#include <algorithm>
#include <optional>

namespace cottonway::scheduling {

namespace {

/// Returns the cores that a request of one resource occupies, rounded up so that the result covers the whole
/// request.
Milli cores_for(Milli request, Milli capacity, Milli cores) {
    return capacity > 0 ? (request * cores + capacity - 1) / capacity : 0;
}

}  // namespace

Milli occupied_cores(const Resources& requests, const Resources& capacity) {
    return std::max({requests.cores, cores_for(requests.gpus, capacity.gpus, capacity.cores),
                     cores_for(requests.ram, capacity.ram, capacity.cores)});
}

Milli gpu_bound_cores(const Resources& requests, const Resources& capacity) {
    return std::max(requests.cores, cores_for(requests.gpus, capacity.gpus, capacity.cores));
}

Milli gpu_bound_cores(const Resources& request, const std::deque<MachineType>& types) {
    std::optional<Milli> least;
    for (const MachineType& type : types) {
        if (!request.fits(type.size)) continue;
        const Milli cores = gpu_bound_cores(request, type.size);
        least = std::min(least.value_or(cores), cores);
    }
    return least.value_or(request.cores);
}

Milli available_cores(const Resources& available, const Resources& capacity) {
    if (capacity.gpus <= 0) return available.cores;
    return std::min(available.cores, capacity.cores * available.gpus / capacity.gpus);
}

}  // namespace cottonway::scheduling
