#pragma once
// One run of the soak test: real controller processes over loopback, fakes for everything around them, faults
// drawn from a seed, users that never stop, and the rules judged from outside.

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace cottonway::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    int workers = 12;
    Micros fault_duration = 30 * kSecond;  // of the faults; settling comes on top
    std::string controller_binary;         // its binary
    std::string folder;                    // for settings and logs; made if need be
    std::uint16_t first_port = 21'000;
};

/// Ports that a run takes, from its first one on.
int port_count(int workers);

enum class SoakResult : std::uint8_t {
    Passed,
    Failed,
    NotJudged  // the test itself was late, or interrupted
};

struct SoakVerdict {
    SoakResult result = SoakResult::Passed;
    std::vector<std::string> violations;
    Micros max_lateness = 0;  // how late the test itself was at most
    std::size_t accepted_jobs = 0;
    std::size_t cancelled_jobs = 0;
    std::size_t task_starts = 0;
    std::size_t answers = 0;
    Micros longest_stop_time = 0;
};

/// Plays one run. Throws std::system_error for what makes it impossible: a port in use, no such binary.
SoakVerdict run_soak(const SoakOptions& options, const std::atomic<bool>& interrupted);

}  // namespace cottonway::soak
