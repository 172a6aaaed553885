#pragma once
// How many machines the unfinished jobs need: demand in every resource, by team and machine type, expressed
// in cores of whole machines so that it compares with what is rented. Pure functions of what is passed in.

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cache/job_cache.hpp"
#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::allocation {

/// Whether machines are rented for a team's jobs of a priority class: always for a team with a guarantee; for
/// any other team unless the work is best-effort, which takes what is left over.
bool should_rent_for(const Team& team, PriorityClass rank);

/// What the unfinished jobs of all teams need, in thousandths of a core of whole machines.
struct Demand {
    Milli ordinary = 0;  // of work that may not run on spot machines, within the teams' limits
    /// Of work that may; what waits counts half, since it takes turns with other work.
    Milli spot_eligible = 0;
    /// Parts of the two that belong to teams without a limit; here all that waits counts in full.
    Milli unlimited_ordinary = 0;
    Milli unlimited_spot_eligible = 0;
    /// The sum of the limits of the teams that have one.
    Milli limit = 0;
};

/// The largest of the values seen, halved with every half-life that has passed since.
class DecayingPeak {
  public:
    /// `passed`: microseconds since the last update, 0 for the first one.
    void update(Milli value, double passed, Micros half_life);
    double value() const { return value_; }

  private:
    double value_ = 0;
};

/// Adds up the demand of jobs. The teams and types must outlive it.
class DemandEstimator {
  public:
    DemandEstimator(const std::vector<Team>& teams, const std::deque<MachineType>& types);

    /// Ignores jobs that are cancelled, wait for other jobs, or for which nothing is rented.
    void add(const LiveJob& job);
    Demand total() const;

  private:
    struct Requests {
        Resources ordinary;
        Resources spot_eligible;
        Resources flexible_in_full;
    };
    struct TeamRequests {
        const Team* team = nullptr;
        std::map<const MachineType*, Requests> by_type;
    };

    /// The type on which a task of the job costs least, nullptr if none fits.
    const MachineType* cheapest_type(const LiveJob& job) const;
    static void add_team(const TeamRequests& requests, Demand& demand);

    const std::deque<MachineType>& types_;
    std::map<std::string, TeamRequests> teams_;
    Milli limit_ = 0;
};

}  // namespace cottonway::allocation
