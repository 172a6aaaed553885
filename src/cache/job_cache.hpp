#pragma once
// Cache of jobs: the records of unfinished jobs and of jobs whose tasks may still run, and the views of the
// jobs that finished most recently, for polls. Makes no decisions except for the status that follows from
// dependencies.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cache/dependency_graph.hpp"
#include "cache/finished_jobs.hpp"
#include "cache/job_view.hpp"
#include "config/settings.hpp"
#include "kvstore/records.hpp"

namespace cottonway {

/// What this process knows of whether a job is finished. `Unknown` must never permit anything.
enum class JobFinality : std::uint8_t { Unknown, Unfinished, Finished };

/// An unfinished job, or a cancelled one whose tasks may still run, as stored.
struct LiveJob {
    Json record;
    JobView view;  // at least as new as the record
    Revision mod_revision = 0;
    RecordLocation record_location = RecordLocation::Job;
    /// For a record under c/active/: the revision of another record of the job under c/job/, 0: there is
    /// none. Such a legacy record was written late and is ignored, but it occupies the key of the final
    /// record, so the commit of the final record must be conditional on its revision.
    Revision legacy_revision = 0;
    Revision moved_revision = 0;  // of the commit that moved it to c/active/, if this process saw it
    /// For a record under c/active/: whether the job is proven to be unfinished at the time of the last
    /// resync. Its final record is stored under c/job/, which a resync skips, and the record under c/active/
    /// may be deleted some time after the final one was written.
    bool verified_unfinished = true;
    std::string shard;
    std::string team;
    std::int64_t eligible_since_ms = 0;  // when it became eligible to run (see Job)
    bool dependencies_met = true;        // it waits for no other job
    Resources request;                   // of one task
    PriorityClass priority = PriorityClass::Normal;
    std::optional<std::vector<std::string>> allowed_types;  // nullopt: all
    std::optional<std::string> required_zone;               // nullopt: any
    JobKind kind = JobKind::Array;
    int tasks = 0;
    int done = 0;
    int running = 0;
    std::string image;
    bool spot = false;
    bool cancelled = false;
    bool backing_off = false;       // considered broken by its owner, retried one task at a time
    bool within_guarantee = false;  // see JobCache::within_guarantee
    std::map<std::size_t, std::pair<Json, Revision>> parts;
};

class JobCache {
  public:
    explicit JobCache(const Settings& settings,
                      std::size_t finished_capacity = FinishedJobs::kDefaultCapacity)
        : settings_(settings), finished_(finished_capacity) {}

    /// Applies an update of a job's record. Returns false if it is older than the known state or must be
    /// ignored.
    bool apply(const std::string& ref, RecordLocation record_location, const Json& value,
               Revision mod_revision, Micros now);
    /// Notes that a record under c/active/ was deleted: the job has finished, or an update of it follows.
    void on_record_removed(const std::string& ref);
    /// Starts a resync, which may not include final records.
    void on_resync_begin();
    /// Ends a resync. `seen` returns whether a key was read. `with_history`: final records were read as
    /// well, so that every job without one is proven to be unfinished.
    void on_resync_end(const std::function<bool(const std::string& key)>& seen, bool with_history);

    /// Returns live jobs whose record was deleted: they may be finished, and their final records must be
    /// read.
    const std::set<std::string>& jobs_missing_record() const { return jobs_missing_record_; }
    /// Notes that the job was unfinished at some time after its record was last read: c/job/ held no record
    /// of it, or only the legacy record of revision `legacy_revision`.
    void mark_verified_unfinished(const std::string& ref, Revision legacy_revision);
    /// Returns whether the job may be finished without this process knowing.
    bool is_unverified(const std::string& ref) const;
    /// Returns the jobs that others depend on and that are not proven to be unfinished.
    std::vector<std::string> unverified_dependencies() const;
    /// Returns the conditions for a change of the job's record: the record is unchanged and the job is
    /// unfinished.
    static std::vector<Condition> unchanged_conditions(const std::string& ref, RecordLocation record_location,
                                                       Revision mod_revision, Revision legacy_revision);
    /// Returns a change that deletes the leftover record of a finished job under c/active/.
    static Change deletion_change(const Condition& leftover);
    /// Returns the number of live jobs whose record is still under c/job/.
    std::size_t legacy_record_count() const;
    /// Applies an update of a further part of a job's record; null: it was deleted. Returns whether the job
    /// is live and the update is new.
    bool apply_part(const std::string& ref, std::size_t part, const Json* value, Revision mod_revision);

    const std::map<std::string, LiveJob>& live_jobs() const { return live_; }
    const LiveJob* find(const std::string& ref) const;
    /// Applies the result of a read of a job's record. A result that is older than the known view changes
    /// nothing. Unfinished jobs are added by updates of the change feed only, since a read shows the state of
    /// one moment.
    void remember(const std::string& ref, const JobView& view);
    /// Returns the newest view of a job; null: the job is unknown, or its view was evicted.
    const JobView* find_view(const std::string& ref) const;
    std::size_t view_count() const { return live_.size() + finished_.size(); }
    /// Declares that no record older than this revision will be received any more.
    void set_watermark(Revision watermark);
    /// Returns whether the job is finished, by its own record or because a dependency is cancelled.
    JobFinality finality(const std::string& ref) const;
    /// Returns whether the job is live and its stored record says that it is cancelled. `finality` must agree
    /// with it.
    bool recorded_as_cancelled(const std::string& ref) const;
    /// Returns orders to stop, without grace, every task of a finished job in a worker's report.
    std::vector<Order> stops_for_finished_jobs(const Report& report) const;
    /// Returns the jobs of tasks in a worker's report that may run while it is unknown whether the job is
    /// finished.
    std::vector<std::string> unknown_jobs(const Report& report) const;

    DependencyGraph& dependency_graph() { return dependency_graph_; }
    const DependencyGraph& dependency_graph() const { return dependency_graph_; }
    /// Returns the outcome of a job for the dependency graph.
    DependencyGraph::KnownOutcome outcome(const std::string& ref) const;
    /// Applies the job's current dependency status to its cached state.
    void apply_dependency_status(const std::string& ref);

    /// Returns whether the job fits into its team's guarantee together with the team's earlier unfinished
    /// jobs.
    bool within_guarantee(const std::string& ref, Micros now);
    /// Makes the next `within_guarantee` recompute the guarantees.
    void invalidate_guarantees() { guarantees_due_ = true; }

    /// Returns when a shard last ran tasks with the image, 0: not recently.
    Micros image_last_used(const std::string& image, const std::string& shard) const;
    void forget_images_before(Micros before);

  private:
    void recompute_guarantees();
    bool is_outdated(const std::string& ref, RecordLocation record_location, const JobView& view) const;
    void init_live_job(const std::string& ref, LiveJob& job, const Json& value, const Json& spec,
                       const JobView& view);
    void update_live_job(LiveJob& job, RecordLocation record_location, const Json& value, const JobView& view,
                         Micros now);

    const Settings& settings_;
    std::map<std::string, LiveJob> live_;
    FinishedJobs finished_;  // none of them is in `live_`
    Revision watermark_ = 0;
    std::set<std::string> jobs_missing_record_;
    bool resync_in_progress_ = false;
    DependencyGraph dependency_graph_;
    std::map<std::pair<std::string, std::string>, Micros> image_last_used_;  // image and shard
    bool guarantees_due_ = true;
    Micros guarantees_computed_at_ = 0;
};

}  // namespace cottonway
