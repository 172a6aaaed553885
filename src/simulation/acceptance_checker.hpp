#pragma once
// The acceptance criteria of operators, beside the rules of the protocol: no job is forgotten, at least half
// of each class and team is served, the largest jobs begin, and no job is left waiting although it could
// start. A pure function of the jobs' outcomes; docs/lab.md describes the criteria.

#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"
#include "simulation/starvation_checker.hpp"

namespace cottonway::simulation {

/// Longest time without an answered poll that an accepted job may see once all faults are over.
constexpr Micros kMaxPollGap = 75 * kSecond;
/// The largest jobs begin within this time of their acceptance. To count as served, a job has its run time in
/// addition.
constexpr Micros kMaxStartDelay = 240 * kSecond;
/// Longest time that a job which could start may be left waiting once all faults are over
/// (starvation_checker.hpp).
constexpr Micros kMaxStartableWait = 90 * kSecond;
/// A job is one of the largest if its size (cores times tasks) is at least this fraction of the largest of
/// its class.
constexpr double kLargestSizeRatio = 0.75;

/// The outcome of an accepted job. Times are simulated time, -1: not yet.
struct JobOutcome {
    JobSpec spec;
    Micros task_duration = 0;  // including the image fetch
    Micros accepted_at = 0;
    Micros first_started_at = -1;                      // when the first task was on a machine
    Micros all_started_at = -1;                        // when every task had been on one
    Micros completed_at = -1;                          // when the last task had completed
    bool excluded = false;                             // its user cancelled it, or its tasks always fail
    Micros longest_unanswered = 0;                     // without an answered poll, since all faults were over
    StarvationChecker::Wait longest_startable_wait{};  // without a start, though it could start; since then

    /// Returns how long after its acceptance the job must be served: its run time for each wave in which the
    /// team's limit lets the tasks of an array run, plus kMaxStartDelay.
    Micros allowed_time(const std::vector<Team>& teams) const;
    bool is_served(const std::vector<Team>& teams) const;
    double total_cores() const { return static_cast<double>(spec.request.cores) * spec.tasks; }
};

struct ServedShare {
    int due = 0;  // jobs accepted at least their allowed time before the end
    int served = 0;
    double fraction() const { return due > 0 ? static_cast<double>(served) / due : 1; }
};

struct AcceptanceResult {
    Micros longest_unanswered = 0;
    Micros longest_startable_wait = 0;
    std::map<std::string, ServedShare> served_by_class, served_by_team,
        served_of_largest;                                  // the last by class
    std::map<std::string, Micros> longest_wait_of_largest;  // by class
    std::vector<std::string> violations;                    // a line each

    /// Merges another run's figures. Its violations get the prefix `run`.
    void add(const AcceptanceResult& other, const std::string& run);
};

AcceptanceResult evaluate_acceptance(const std::vector<JobOutcome>& outcomes, const std::vector<Team>& teams,
                                     Micros end);

}  // namespace cottonway::simulation
