#pragma once
// Estimates the machines that unfinished jobs need: demand for all resources, by team and machine type,
// expressed as the cores of whole machines so that it can be compared with the rented machines. Pure
// functions of their inputs.

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cache/job_cache.hpp"
#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::allocation {

/// Returns true if machines are rented for a team's jobs of a priority class: always for a team with a
/// guarantee; for any other team unless the class is best-effort, which only uses capacity that is left over.
bool should_rent_for(const Team& team, PriorityClass rank);

/// The demand of the unfinished jobs of all teams, in thousandths of a core of whole machines.
struct Demand {
    /// Demand of jobs that may not run on spot machines, within the teams' limits.
    Milli ordinary = 0;
    /// Demand of jobs that may run on spot machines, within the teams' limits. Waiting tasks count half,
    /// since they share machines with other tasks over time.
    Milli spot_eligible = 0;
    /// The parts of the two that belong to teams without a limit. Here waiting tasks count in full.
    Milli unlimited_ordinary = 0;
    Milli unlimited_spot_eligible = 0;
    /// The sum of the limits of the teams that have one.
    Milli limit = 0;
};

/// The largest of the values seen, where each value halves with every half-life that has passed since.
class DecayingPeak {
  public:
    /// `elapsed_us`: microseconds since the last update, 0 for the first one.
    void update(Milli value, double elapsed_us, Micros half_life);
    double value() const { return value_; }

  private:
    double value_ = 0;
};

/// Adds up the demand of jobs. The teams and types must outlive the estimator.
class DemandEstimator {
  public:
    DemandEstimator(const std::vector<Team>& teams, const std::deque<MachineType>& types);

    /// Ignores jobs that are cancelled, wait for other jobs, fit no machine type, or for which nothing is
    /// rented.
    void add(const LiveJob& job);
    Demand total() const;

  private:
    struct Requests {
        Resources ordinary;
        Resources spot_eligible;
        Resources spot_eligible_in_full;  // waiting tasks not halved
    };
    struct TeamRequests {
        const Team* team = nullptr;
        std::map<const MachineType*, Requests> by_type;
    };

    /// Returns the type on which a task of the job costs least, nullptr if none fits.
    const MachineType* cheapest_type(const LiveJob& job) const;
    static void add_team(const TeamRequests& requests, Demand& demand);

    const std::deque<MachineType>& types_;
    std::map<std::string, TeamRequests> teams_;
    Milli limit_ = 0;
};

}  // namespace cottonway::allocation
