#pragma once
// Zones by policy: how many replicas of a service a zone may hold, and which replica moves where to mend the
// balance after a zone or machine was lost and is back. Pure.
//
// Placement and mending go by one cost of a distribution over zones, compared part by part: replicas where
// the rule allows none; the squares of what zones hold beyond its cap; zones that are missing; replicas
// outside the preferred zones. So what is given up first is the last, and nothing that was placed where there
// was room is moved afterwards.

#include <compare>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// Where a job's next task may go and how much each zone is liked.
struct ZoneChoice {
    /// Tasks that each zone may hold at most, those on it (in doubt included) counted; a zone that is not
    /// named takes none. It is about the next task: ask again once that is bound. What the protocol's
    /// `spread`, `one_zone` and `mill` forbid is never allowed here.
    std::map<std::string, int> max_tasks;
    /// Added to a candidate's score in the zone (lower is better).
    std::map<std::string, double> penalty;
    /// Nothing of the policy was given up for it.
    bool meets_rule = true;
    /// Tasks of the job that one machine may hold, where the rule says that a machine's loss must be
    /// survived. Unless `strict`, one that holds as many is taken when no other fits.
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

/// `standing`: zones with machines that can be bound to; `all`: zones that the settings name; `room`: those
/// standing that have room for the task, nullptr: not known. For want of room everything but `allowed` is
/// given up as far as need be, unless the rule is strict. A rule speaks of all jobs in its scope by `allowed`
/// and `preferred`, and by the rest of services only.
ZoneChoice choose_zones(const JobSpec& job, const policy::ZoneRule* rule,
                        const std::map<std::string, int>& there, const std::vector<std::string>& standing,
                        const std::vector<std::string>& all, const std::vector<std::string>* room = nullptr);

/// How far a service is from what its policy asks for; 0: nothing to mend. Comparable between services.
double imbalance(const JobSpec& job, const policy::ZoneRule* rule, const std::map<std::string, int>& there,
                 const std::vector<std::string>& standing, const std::vector<std::string>& all);

/// Moves that mend services, the most hurt first: one replica of a service at a time, only while all its
/// others run and nothing is troubled, to a machine with room (its image where there is one), never one that
/// undoes another's.
std::vector<Move> rebalance(const ShardView& view, const policy::Policy& policy,
                            const std::vector<std::string>& all_zones);

/// Between two moves of a service: the budget's pause, doubled for each move of the last ten minutes beyond
/// one of each replica, up to 32 times.
Micros pause_between_moves(const JobView& job, const policy::Budgets& budgets);

/// Which zones stand, and which have not stood for long enough to move anything back. A zone that was lost
/// and came back several times within ten minutes has to stand twice as long each time, up to 32 times.
class ZoneMonitor {
  public:
    /// To be told whenever it is looked at; the first time a zone stands counts as no loss.
    void observe(const std::string& zone, bool stands, Micros now);
    /// Of the zones seen, those that do not stand or have stood for less than `settle` (doubled as above).
    std::vector<std::string> unstable_zones(Micros now, Micros settle) const;

  private:
    struct Seen {
        bool stands = false;
        Micros since = 0;          // it has stood
        std::vector<Micros> lost;  // when, within the last ten minutes
    };
    std::map<std::string, Seen> zones_;
};

}  // namespace cottonway::scheduling
