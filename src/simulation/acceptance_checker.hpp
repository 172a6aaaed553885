#pragma once
// What operators accept, beside the protocol's rules: nothing is forgotten, half of each is served, the
// largest begin, and nothing is left waiting. Pure: what became of the jobs in, a verdict out. docs/lab.md
// says the same in words.

#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"
#include "simulation/starvation_checker.hpp"

namespace cottonway::simulation {

/// Accepted jobs get an answered poll at least this often once all troubles are over.
constexpr Micros kMaxPollGap = 75 * kSecond;
/// The largest begin within this of their acceptance; what is served has its run time beside it.
constexpr Micros kMaxStartDelay = 240 * kSecond;
/// Once all troubles are over, no job is left waiting for so long (lab/waiting.hpp).
constexpr Micros kMaxStartableWait = 90 * kSecond;
/// Part of the largest size of its class, cores by tasks, from which a job is one of the largest.
constexpr double kLargestSizeRatio = 0.75;

/// What became of a job that was accepted. Times are the world's, -1: not yet.
struct JobOutcome {
    JobSpec spec;
    Micros task_duration = 0;  // of a task, with its fetch
    Micros accepted_at = 0;
    Micros first_started_at = -1;   // the first task is on a machine
    Micros all_started_at = -1;     // every task has been on one
    Micros completed_at = -1;       // the last task has completed
    bool excluded = false;          // its user cancelled it, or submitted it with a mistake
    Micros longest_unanswered = 0;  // longest time without an answered poll since all troubles were over
    StarvationChecker::Wait longest_startable_wait{};  // the same, that it could have started

    /// How long after its acceptance it has to be served: its run time for each time that the team's limit
    /// allows another part of an array, and kBegunWithin.
    Micros allowed_time(const std::vector<Team>& teams) const;
    bool is_served(const std::vector<Team>& teams) const;
    double total_cores() const { return static_cast<double>(spec.request.cores) * spec.tasks; }
};

struct ServedShare {
    int due = 0;  // accepted at least their bound before the end
    int served = 0;
    double fraction() const { return due > 0 ? static_cast<double>(served) / due : 1; }
};

struct AcceptanceResult {
    Micros longest_unanswered = 0;
    Micros longest_startable_wait = 0;
    std::map<std::string, ServedShare> served_by_class, served_by_team,
        served_of_largest;                                  // the largest by class
    std::map<std::string, Micros> longest_wait_of_largest;  // the longest, by class
    std::vector<std::string> violations;                    // a line for each rule

    /// Another run's figures; the broken rules with `run` before them.
    void add(const AcceptanceResult& other, const std::string& run);
};

AcceptanceResult evaluate_acceptance(const std::vector<JobOutcome>& fates, const std::vector<Team>& teams,
                                     Micros end);

}  // namespace cottonway::simulation
