#pragma once
// Jobs that are left waiting though they could start, judged from the outside: by what workers say is on
// machines and by the teams' limits, not by any controller's books.
//
// A job is left waiting while a task of it is on no machine and not done, none of its tasks starts, and for
// the last ten seconds one machine has had the cores, GPUs and RAM that a task needs (a gang: machines
// enough for all of it) where its types, zone, kind, one_zone and spread allow it, and its team that much of
// its limit. Neither what waits beside it nor what room or limit is kept for excuses that.

#include <deque>
#include <map>
#include <string>

#include "protocol/protocol.hpp"

namespace cottonway::simulation {

/// Room and what is left of a limit count once they have lasted for so long: between an end and the next
/// start lie a report, a pass and a change.
constexpr Micros kRequiredDuration = 10 * kSecond;

/// What is free on a machine.
struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    Resources free;
};
using FreeCapacities = std::map<std::string, FreeCapacity>;  // by name

/// A job some of whose tasks are on no machine and not done.
struct WaitingJob {
    JobSpec spec;
    int waiting_tasks = 0;                       // that wait
    std::map<std::string, int> running_by_zone;  // its tasks on machines
    int starts = 0;                              // so far
};

/// A machine on which a task of the job, or one of a gang all of which has room, could start; "": none.
std::string find_startable_machine(const WaitingJob& job, const FreeCapacities& rooms,
                                   const Resources& left_of_limit);

/// What there is at one moment.
struct ClusterSnapshot {
    FreeCapacities machines;                            // of machines that are up, report and execute
    std::map<std::string, Resources> remaining_limits;  // of teams' limits
    std::map<std::string, WaitingJob> waiting_jobs;
};

/// Is told about once a second what there is.
class StarvationChecker {
  public:
    void observe(Micros now, ClusterSnapshot sight);
    /// The longest that the job could have started and was left waiting, and where at last.
    struct Wait {
        Micros longest = 0;
        std::string machine;
    };
    Wait wait_of(const std::string& ref) const;

  private:
    struct Kept {
        Micros waits_since = 0;  // with no start
        int starts = 0;
        Micros could_since = -1;
        Wait wait;
    };
    std::deque<std::pair<Micros, ClusterSnapshot>> sights_;  // of the last `kSettled`; without their jobs
    std::map<std::string, Kept> jobs_;
};

}  // namespace cottonway::simulation
