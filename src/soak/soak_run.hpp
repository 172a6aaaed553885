#pragma once
// One run of the soak test: controller processes on loopback, fakes of the systems around them, faults drawn
// from a seed, users that send requests all the time, and a checker that judges the rules from outside.

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace cottonway::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    int workers = 12;
    Micros fault_duration = 30 * kSecond;  // faults occur for this long; then jobs have time to settle
    std::string controller_binary;         // path of its program
    std::string folder;                    // for settings and logs; created if missing
    std::uint16_t first_port = 21'000;
};

/// Returns the number of ports that a run uses, from its first port on.
int port_count(int workers);

enum class SoakResult : std::uint8_t {
    Passed,
    Failed,
    NotJudged  // the test itself ran too late for its timing to be valid, or was interrupted
};

struct SoakVerdict {
    SoakResult result = SoakResult::Passed;
    std::vector<std::string> violations;
    Micros max_lateness = 0;  // maximum delay of the test's own timer
    std::size_t accepted_jobs = 0;
    std::size_t cancelled_jobs = 0;
    std::size_t task_starts = 0;
    std::size_t answers = 0;
    Micros longest_stop_time = 0;
};

/// Executes one run. Throws std::system_error if the run is impossible, for example because a port is in use
/// or the controller's program is missing.
SoakVerdict run_soak(const SoakOptions& options, const std::atomic<bool>& interrupted);

}  // namespace cottonway::soak
