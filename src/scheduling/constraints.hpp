#pragma once
// Checks a machine against the constraints that a job itself states, regardless of the machine's load.

#include <algorithm>
#include <string>

#include "protocol/protocol.hpp"

namespace cottonway::scheduling {

/// Returns true if the job's constraints on type, zone and spot machines (`looms`, `mill` and `remnant` in
/// the protocol) admit a machine with these properties.
inline bool can_use_machine(const JobSpec& job, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !job.spot) return false;
    if (job.zone && *job.zone != zone) return false;
    return !job.types || std::find(job.types->begin(), job.types->end(), type) != job.types->end();
}

}  // namespace cottonway::scheduling
