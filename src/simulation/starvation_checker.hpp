#pragma once
// Finds jobs that are left waiting though they could start, judged from outside: by what workers report to be
// on machines and by the teams' limits, not by any controller's records.
//
// A job is left waiting while a task of it is on no machine and not done, none of its tasks starts, and for
// the last ten seconds one machine that its types, zone, kind, one_zone and spread allow has had the cores,
// GPUs and RAM that a task needs (for a gang: machines enough for all of its tasks), and its team has had as
// much of its limit left. Other waiting jobs, and capacity or limit that is reserved for them, don't justify
// the wait.

#include <deque>
#include <map>
#include <string>

#include "protocol/protocol.hpp"

namespace cottonway::simulation {

/// Free capacity and remaining limits count once they have lasted for so long: between the end of a task and
/// the next start there are a report, a scheduling pass and a transaction.
constexpr Micros kMinAvailableDuration = 10 * kSecond;

/// The free capacity of a machine.
struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    Resources free;
};
using FreeCapacities = std::map<std::string, FreeCapacity>;  // by name

/// A job that has tasks which are on no machine and not done.
struct WaitingJob {
    JobSpec spec;
    int waiting_tasks = 0;
    std::map<std::string, int> running_by_zone;  // tasks on machines
    int starts = 0;                              // so far
};

/// Returns a machine on which a task of the job could start, for a gang only if all of its tasks could start;
/// "": none.
std::string find_startable_machine(const WaitingJob& job, const FreeCapacities& machines,
                                   const Resources& remaining_limit);

/// What the checker needs to know of the cluster at one moment.
struct ClusterSnapshot {
    FreeCapacities machines;                            // those that are up, report and execute
    std::map<std::string, Resources> remaining_limits;  // by team
    std::map<std::string, WaitingJob> waiting_jobs;
};

/// Observes a snapshot about once a second.
class StarvationChecker {
  public:
    void observe(Micros now, ClusterSnapshot snapshot);
    /// The longest time for which a job could have started but didn't, and on which machine it last could.
    struct Wait {
        Micros longest = 0;
        std::string machine;
    };
    Wait wait_of(const std::string& ref) const;

  private:
    struct JobHistory {
        Micros waiting_since = 0;  // since its last start
        int starts = 0;
        Micros startable_since = -1;
        Wait wait;
    };
    std::deque<std::pair<Micros, ClusterSnapshot>>
        snapshots_;  // of the last kMinAvailableDuration, without their jobs
    std::map<std::string, JobHistory> jobs_;
};

}  // namespace cottonway::simulation
