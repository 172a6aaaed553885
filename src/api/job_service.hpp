#pragma once
// User API: submissions, polls and cancellations of jobs. Answers reflect the state of the store.

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "api/responses.hpp"
#include "cluster/job_archiver.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/shard_assignment.hpp"

namespace cottonway {

class JobService {
  public:
    JobService(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
               StateCache& cache, const ShardAssignment& assignment, PeerDirectory& peers,
               JobArchiver& job_archiver)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          assignment_(assignment),
          peers_(peers),
          job_archiver_(job_archiver) {}

    void submit(const Json& body, ApiResponder respond);
    void poll(const std::string& ref, ApiResponder respond);
    void abort(const std::string& ref, ApiResponder respond) { abort(ref, 0, std::move(respond)); }
    /// Returns whether the load balancer should send users to this node.
    bool is_healthy() const;
    /// Returns whether a poll must be rejected because of load. `timer_lag`: how late the process's last
    /// timer ran.
    bool too_busy_for_polls(Micros timer_lag);
    /// Reads the records of dependencies that are not cached: they may have finished long ago.
    void read_unknown_dependencies();

  private:
    enum class Feasibility { Feasible, Infeasible, TooLarge, MachineTypesUnknown };
    using CheckHandler = std::function<void(bool ok, std::optional<JobView>)>;

    void create_with_dependencies(JobSpec spec, ApiResponder respond);
    void create(JobSpec spec, ApiResponder respond);
    std::string select_shard(const JobSpec& spec);
    void abort(const std::string& ref, int attempt, ApiResponder respond);
    struct StoredJob {
        RecordLocation record_location = RecordLocation::Job;
        Json record;
        Revision mod_revision = 0;
        Revision legacy_revision = 0;
    };
    void cancel(const std::string& ref, StoredJob job, int attempt, ApiResponder respond);
    /// Reads a job's record under c/job/ and c/active/. If none is found the job may still exist: its record
    /// may be moved from one key to the other between the two reads.
    void read_record(const std::string& ref, std::function<void(bool ok, std::optional<StoredJob>)> done);
    /// Calls back with the job's current state in the store. No view: the job was never accepted. `ok` false:
    /// its state could not be determined.
    void check_in_store(const std::string& ref, CheckHandler done);
    void read_after_conflict(const std::string& ref, int attempt, CheckHandler done);
    const JobView* find_view(const std::string& ref) const { return cache_.jobs.find_view(ref); }
    /// Checks whether the job could be accepted. A job that can't is rejected only once the store proves that
    /// it was not accepted before.
    Feasibility assess_feasibility(const JobSpec& spec) const;
    static std::size_t stored_spec_size(const JobSpec& spec);
    bool store_unreachable() const;

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    PeerDirectory& peers_;
    JobArchiver& job_archiver_;
    std::set<std::string> dependency_reads_;  // dependencies whose records are being read
    std::uint64_t rejected_polls_ = 0;
    Micros shedding_logged_at_ = 0;
};

}  // namespace cottonway
