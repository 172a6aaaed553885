#pragma once
// Converts requests and free capacity of a machine, which span cores, GPUs and memory, into cores. Pure
// functions.

#include <deque>

#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

/// Returns the cores that the requests occupy, in thousandths: the largest share of one machine that they
/// take of any resource (cores, GPUs, memory), times that machine's cores. A task that takes both GPUs of a
/// machine occupies all of it, however few cores it asks for. Resources that the machine type does not have
/// are ignored.
Milli occupied_cores(const Resources& requests, const Resources& capacity);

/// Like occupied_cores, but for cores and GPUs only, the resources that placement runs out of first on
/// machines with GPUs. For a machine type without GPUs the result is the requested cores.
Milli gpu_bound_cores(const Resources& requests, const Resources& capacity);

/// Returns the smallest gpu_bound_cores over the types that the request fits on, or the requested cores if it
/// fits on none.
Milli gpu_bound_cores(const Resources& request, const std::deque<MachineType>& types);

/// Returns the cores of a machine that further tasks can use. A machine whose GPUs are all taken has none,
/// because the tasks that wait for machines with GPUs ask for GPUs.
Milli available_cores(const Resources& available, const Resources& capacity);

}  // namespace cottonway::scheduling
