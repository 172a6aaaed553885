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
constexpr Micros kAnsweredWithin = 75 * kSecond;
/// The largest begin within this of their acceptance; what is served has its run time beside it.
constexpr Micros kBegunWithin = 240 * kSecond;
/// Once all troubles are over, no job is left waiting for so long (lab/waiting.hpp).
constexpr Micros kLeftWaiting = 90 * kSecond;
/// Part of the largest size of its class, cores by tasks, from which a job is one of the largest.
constexpr double kLargest = 0.75;

/// What became of a job that was accepted. Times are the world's, -1: not yet.
struct Fate {
    JobSpec spec;
    Micros run = 0;  // of a task, with its fetch
    Micros accepted = 0;
    Micros begun = -1;      // the first task is on a machine
    Micros all_begun = -1;  // every task has been on one
    Micros done = -1;       // the last task has completed
    bool left_out = false;  // its user cancelled it, or submitted it with a mistake
    Micros unanswered = 0;  // longest time without an answered poll since all troubles were over
    StarvationChecker::Wait left_waiting{};  // the same, that it could have started

    /// How long after its acceptance it has to be served: its run time for each time that the team's limit
    /// allows another part of an array, and kBegunWithin.
    Micros bound(const std::vector<Team>& teams) const;
    bool served(const std::vector<Team>& teams) const;
    double size() const { return static_cast<double>(spec.request.cores) * spec.tasks; }
};

struct Share {
    int due = 0;  // accepted at least their bound before the end
    int served = 0;
    double part() const { return due > 0 ? static_cast<double>(served) / due : 1; }
};

struct Acceptance {
    Micros unanswered = 0;
    Micros left_waiting = 0;
    std::map<std::string, Share> classes, teams, largest;  // the largest by class
    std::map<std::string, Micros> largest_wait;            // the longest, by class
    std::vector<std::string> broken;                       // a line for each rule

    /// Another run's figures; the broken rules with `run` before them.
    void add(const Acceptance& other, const std::string& run);
};

Acceptance judge(const std::vector<Fate>& fates, const std::vector<Team>& teams, Micros end);

}  // namespace cottonway::simulation
