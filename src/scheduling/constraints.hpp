#pragma once
// What a job's own constraints say of a machine, whatever else is on it.

#include <algorithm>
#include <string>

#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

/// Whether a machine of that type, zone and kind is one that the job allows (`looms`, `mill`, `remnant`).
inline bool can_use_machine(const JobSpec& job, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !job.spot) return false;
    if (job.zone && *job.zone != zone) return false;
    return !job.types || std::find(job.types->begin(), job.types->end(), type) != job.types->end();
}

}  // namespace cottonway::scheduling
