#pragma once
// Keeps what is over out of the way (docs/history.md). Final records are not read at a start, so of a job
// that was read under c/active/ it has to be proven that it is not over; what is left over of those that are
// is dropped; and once no record of old form is left, the leader says so for good.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cache/state_cache.hpp"
#include "cluster/leader_election.hpp"

namespace cottonway {

class JobArchiver {
  public:
    JobArchiver(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
                StateCache& cache, const LeaderElection& election)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          election_(election) {}

    /// Finds out which of these live jobs are over: their final records are taken in, the others are proven
    /// to go on. `drop`: what is left over of those that are over is dropped in a quiet moment; by the holder
    /// of their shard. Calls back with whether everything is known now.
    void verify_unfinished(const std::vector<std::string>& refs, bool drop,
                           std::function<void(bool known)> done);
    /// Whether it is known of each task that may run by a report if its job is over. What is not is read, so
    /// that it is known soon.
    bool knows_outcomes_of(const Report& report);
    /// Called ten times a second.
    void tick();

  private:
    void look_for_lost();
    /// Begins to read what became of a job; false: that is under way, or too much else is.
    bool read_outcome(const std::string& ref, std::set<std::string>& reading);
    void prove_needed();
    void drop_stale_records();
    void set_apart();
    void read_final(const std::string& ref, bool drop, std::function<void(bool known)> done);

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const LeaderElection& election_;
    std::set<std::string> reading_lost_;
    std::set<std::string> reading_unknown_;  // jobs of reported tasks
    std::vector<Condition> stale_records_;
    bool proving_ = false;
    bool writing_ = false;
    Revision closed_seen_ = 0;  // the closing that a look was begun and taken in after
};

}  // namespace cottonway
