#pragma once
// Spreads jobs over zones by policy: how many replicas of a service a zone may hold, and which replica moves
// where to restore the balance after a zone or machine was lost and is back. Pure.
//
// Placement and rebalancing compare distributions over zones by the same cost, component by component:
// replicas in zones that the rule does not allow, then the squares of what zones hold beyond the rule's cap,
// then missing zones, then replicas outside the preferred zones. Placement therefore gives up the last of
// these first, and rebalancing never moves a replica that was placed while there was capacity.

#include <compare>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// The zones that a job's next task may be placed in, with a penalty for each.
struct ZoneChoice {
    /// The most tasks that each zone may hold, including the tasks already there (also unconfirmed ones). A
    /// zone that is not listed takes none. The choice holds for the next task only and has to be made again
    /// after that is bound. It never exceeds what the job's own `spread`, `one_zone` and `zone` allow.
    std::map<std::string, int> max_tasks;
    /// Added to a candidate's score in the zone (lower is better).
    std::map<std::string, double> penalty;
    /// True if the zones comply with the policy's rule in full.
    bool meets_rule = true;
    /// The most tasks of the job on one machine, if the rule says that the service has to survive the loss of
    /// a machine. Unless `strict`, a machine that holds as many is used when no other fits.
    int max_tasks_per_machine = std::numeric_limits<int>::max();
    bool strict = false;

    int max_tasks_in(const std::string& zone) const {
        auto it = max_tasks.find(zone);
        return it == max_tasks.end() ? 0 : it->second;
    }
    double penalty_in(const std::string& zone) const {
        auto it = penalty.find(zone);
        return it == penalty.end() ? 0 : it->second;
    }
};

/// Chooses zones for a job's next task. `usable_zones` are zones with machines that tasks can be bound to,
/// `all_zones` the zones that the settings name, and `zones_with_capacity` the usable zones that have
/// capacity for the task (nullptr: not known). If capacity is short, every part of the rule but `allowed` is
/// relaxed as far as necessary, unless the rule is strict. `allowed` and `preferred` apply to all jobs in the
/// rule's scope, the other parts to services only.
ZoneChoice choose_zones(const JobSpec& job, const policy::ZoneRule* rule,
                        const std::map<std::string, int>& tasks_by_zone,
                        const std::vector<std::string>& usable_zones,
                        const std::vector<std::string>& all_zones,
                        const std::vector<std::string>* zones_with_capacity = nullptr);

/// Returns how far a service is from the best distribution that its rule asks for and the usable zones admit,
/// or 0 if no move would improve it. Values of different services can be compared.
double imbalance(const JobSpec& job, const policy::ZoneRule* rule,
                 const std::map<std::string, int>& tasks_by_zone,
                 const std::vector<std::string>& usable_zones, const std::vector<std::string>& all_zones);

/// Returns moves that restore the balance of services, the least balanced service first. A service has one
/// replica moved at a time, and only while all its other replicas run and no zone is unstable. The
/// destination is a machine with capacity, preferably one that has the image. No move undoes another one.
std::vector<Move> rebalance(const ShardView& view, const policy::Policy& policy,
                            const std::vector<std::string>& all_zones);

/// Returns the minimum time between two moves of a service: the pause in the policy's budgets, doubled for
/// each move in the last ten minutes beyond one for each replica, up to a factor of 32.
Micros pause_between_moves(const JobView& job, const policy::Budgets& budgets);

/// Tracks which zones are up, and which have not been up long enough to move replicas back. A zone that was
/// lost several times within ten minutes has to be up twice as long after each further loss, up to a factor
/// of 32.
class ZoneMonitor {
  public:
    /// Records the zone's current state. To be called at every check; the first time that a zone is up does
    /// not count as recovery from a loss.
    void observe(const std::string& zone, bool is_up, Micros now);
    /// Returns the observed zones that are down or have been up for less than `settle_time`, doubled as
    /// above.
    std::vector<std::string> unstable_zones(Micros now, Micros settle_time) const;

  private:
    struct ZoneHistory {
        bool is_up = false;
        Micros up_since = 0;
        std::vector<Micros> lost_at;  // times of losses within the last ten minutes
    };
    std::map<std::string, ZoneHistory> zones_;
};

}  // namespace cottonway::scheduling
