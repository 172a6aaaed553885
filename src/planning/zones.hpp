#pragma once
// Zones by policy: how many replicas of a service a zone may hold, and which replica moves where to mend the
// balance after a zone or machine was lost and is back. Pure.

#include <map>
#include <string>
#include <vector>

#include "planning/view.hpp"

namespace cottonway::planning {

/// Where a job's next task may go and how much each zone is liked.
struct ZoneChoice {
    /// Tasks that each zone may hold at most, those on it (in doubt included) counted. What the protocol's
    /// `spread`, `one_zone` and `mill` forbid is never allowed here.
    std::map<std::string, int> most;
    /// Added to a candidate's score in the zone (lower is better).
    std::map<std::string, double> penalty;
    /// Nothing of the policy was given up for it.
    bool as_asked = true;
};

/// `standing`: zones with machines that can be bound to; `all`: zones that the settings name.
ZoneChoice choose_zones(const JobSpec& job, const policy::ZoneRule* rule,
                        const std::map<std::string, int>& there, const std::vector<std::string>& standing,
                        const std::vector<std::string>& all);

/// How far a service is from what its policy asks for; 0: nothing to mend. Comparable between services.
double imbalance(const JobSpec& job, const policy::ZoneRule* rule, const std::map<std::string, int>& there,
                 const std::vector<std::string>& standing, const std::vector<std::string>& all);

/// Moves that mend services, the most hurt first: one replica of a service at a time, only while all its
/// others run and nothing is troubled, to a machine with room (its image where there is one), never one that
/// undoes another's.
std::vector<Move> rebalance(const View& view, const policy::Policy& policy,
                            const std::vector<std::string>& all_zones);

}  // namespace cottonway::planning
