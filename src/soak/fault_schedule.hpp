#pragma once
// The faults of one run of the soak test. They depend on the run's seed only.

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace cottonway::soak {

enum class FaultKind : std::uint8_t {
    KillController,
    PauseController,
    StoreOutage,
    StoreRefusesController,
    CutFromStore,
    CutFromPeers,
    CutFromWorkers,
    LoseCommands,   // direct commands to workers are neither carried out nor answered
    DelayCommands,  // direct commands to workers are carried out late and not answered
    LoseAnswers,    // answers to workers' heartbeats are lost
    LoseCommits,    // transactions in the state service are carried out and not answered
    DelayCommits,   // transactions are carried out late and not answered
    CancelJobs      // users cancel several running jobs at once
};
constexpr int kFaultKindCount = 13;
const char* name_of(FaultKind kind);

struct Fault {
    Micros starts_at = 0;
    Micros duration = 0;
    FaultKind kind = FaultKind::KillController;
    int controller = 0;  // affected controller, for faults that affect one
};

/// Returns faults between `from` and `until`, ordered by start; all have ended by `until`. They come in
/// groups of two or three that overlap, so that several controllers may fail one after another.
std::vector<Fault> generate_faults(std::uint64_t seed, int controllers, Micros from, Micros until);
/// Returns the log line of a fault that begins.
std::string describe(const Fault& fault);

}  // namespace cottonway::soak
