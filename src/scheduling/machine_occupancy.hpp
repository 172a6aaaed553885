#pragma once
// How much of a machine requests occupy and how much of it is available, over cores, GPUs and memory at once.
// Pure.

#include <deque>

#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

/// Cores of the machines that a vector of requests occupies, in thousandths: its largest share of one machine
/// in any resource (cores, GPUs, memory), times that machine's cores. A task that takes both GPUs of a
/// machine occupies all of it, however few cores it asks for. Resources that the type does not have are
/// ignored.
Milli occupied_cores(const Resources& requests, const Resources& capacity);

/// The same for cores and GPUs alone: what placement runs out of first on machines that have GPUs. Without
/// GPUs it is the cores that were requested.
Milli gpu_bound_cores(const Resources& requests, const Resources& capacity);

/// The least of these over the types that a task fits on; its cores if it fits on none.
Milli gpu_bound_cores(const Resources& request, const std::deque<MachineType>& types);

/// Cores of a machine that more tasks can use: none of them once its GPUs are taken, since on machines that
/// have GPUs the tasks that wait ask for some.
Milli available_cores(const Resources& available, const Resources& capacity);

}  // namespace cottonway::scheduling
