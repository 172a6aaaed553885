#pragma once
// Separates finished jobs from unfinished ones (docs/history.md). A starting controller does not read the
// final records of jobs, so a job that it has read under c/active/ must be verified to be unfinished, and the
// records under c/active/ that finished jobs leave behind are deleted. Once no record of the old format is
// left, the leader records this permanently.

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

    /// Finds out which of these live jobs are finished: reads the final records of those into the cache and
    /// marks the others as verified. With `delete_stale`, which only the holder of their shard passes, the
    /// records under c/active/ of finished jobs are deleted when the store has capacity to spare. Calls back
    /// with true if the outcome of every job is known now.
    void verify_unfinished(const std::vector<std::string>& refs, bool delete_stale,
                           std::function<void(bool known)> done);
    /// Returns true if, for each task in the report that may be running, it is known whether its job is
    /// finished. Starts to read the records of the other jobs, so that a later report can be answered.
    bool knows_outcomes_of(const Report& report);
    /// Called ten times a second.
    void tick();

  private:
    void read_lost_jobs();
    /// Starts to read the outcome of a job. Returns false if a read of it, or too many other reads, are under
    /// way.
    bool read_outcome(const std::string& ref, std::set<std::string>& reading);
    void verify_dependencies();
    void delete_stale_records();
    void separate_history();
    void read_final_record(const std::string& ref, bool delete_stale, std::function<void(bool known)> done);

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const LeaderElection& election_;
    std::set<std::string> reading_lost_;
    std::set<std::string> reading_unknown_;  // jobs of reported tasks
    std::vector<Condition> stale_records_;
    bool verifying_ = false;
    bool writing_history_ = false;
    // The revision of the history record that closed it, once a refresh begun after that has been applied.
    Revision refreshed_since_closing_ = 0;
};

}  // namespace cottonway
