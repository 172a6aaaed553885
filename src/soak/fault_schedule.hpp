#pragma once
// The faults of one run of the soak test, drawn from its seed. Pure.

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
    LoseCommands,   // direct commands to workers get no answer and are not carried out
    DelayCommands,  // they get no answer and are carried out late
    LoseAnswers,    // answers to workers' heartbeats
    LoseCommits,    // transactions are carried out, their answers are lost
    DelayCommits,   // transactions get no answer and are carried out late
    CancelJobs      // users cancel several running jobs at once
};
constexpr int kFaultKindCount = 13;
const char* name_of(FaultKind kind);

struct Fault {
    Micros starts_at = 0;
    Micros duration = 0;
    FaultKind kind = FaultKind::KillController;
    int controller = 0;  // what it happens to, where it happens to one
};

/// Ordered by time; all are over by `until`. Two or three overlap, and controllers end in series.
std::vector<Fault> generate_faults(std::uint64_t seed, int controllers, Micros from, Micros until);
std::string describe(const Fault& fault);

}  // namespace cottonway::soak
