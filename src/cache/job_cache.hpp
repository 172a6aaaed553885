#pragma once
// What is known of jobs: the records of those that are not over, or whose tasks may still run, and what a
// poll needs of the latest others. Holds state and decides nothing but how jobs stand that need one another.

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

/// Whether a job is over, by what this process knows. Nothing may be allowed because of `Unknown`.
enum class JobFinality : std::uint8_t { Unknown, Unfinished, Finished };

/// A job that is not over, as the store has it.
struct LiveJob {
    Json record;
    JobView view;  // at least as new as the record
    Revision mod_revision = 0;
    RecordLocation location = RecordLocation::Job;
    /// Under c/active/: the mark of what stands under c/job/ besides, 0: nothing. That is a record of old
    /// form that came late and counts for nothing; it is in the way of the final record, which must name it.
    Revision legacy_revision = 0;
    Revision moved_revision = 0;  // the change that brought it under c/active/, if this process has seen that
    /// Under c/active/: whether it is proven that the job is not over as of what was read. Its final record
    /// stands elsewhere and is not read with the others; the record under c/active/ may outlast it a while.
    bool verified_unfinished = true;
    std::string shard;
    std::string team;
    std::int64_t eligible_since_ms = 0;  // when it began to count (see Job)
    bool dependencies_done = true;       // waits for no other job
    Resources request;                   // of one task
    PriorityClass priority = PriorityClass::Normal;
    std::optional<std::vector<std::string>> allowed_types;  // that it may use, nothing: all
    std::optional<std::string> required_zone;               // the only one that it may use
    JobKind kind = JobKind::Array;
    int tasks = 0;
    int done = 0;
    int running = 0;
    std::string image;
    bool spot = false;
    bool cancelled = false;
    bool backing_off = false;       // its owner takes it to be broken
    bool within_guarantee = false;  // see JobCache::within_guarantee
    std::map<std::size_t, std::pair<Json, Revision>> parts;
};

class JobCache {
  public:
    explicit JobCache(const Settings& settings,
                      std::size_t finished_capacity = FinishedJobs::kDefaultCapacity)
        : settings_(settings), finished_(finished_capacity) {}

    /// News of a job's record. False if it is older than what is known, or counts for nothing.
    bool apply(const std::string& ref, RecordLocation place, const Json& value, Revision mod_revision,
               Micros now);
    /// A record under c/active/ is gone: the job is over, or about to be heard of.
    void on_record_removed(const std::string& ref);
    /// Everything is about to be read again: final records are not among it.
    void on_resync_begin();
    /// Everything has been read. `seen`: whether the job's record was there; `with_history`: final records
    /// were read as well, so that what has not been found to be over goes on.
    void on_resync_end(const std::function<bool(const std::string& key)>& seen, bool with_history);

    /// Live jobs that may be over by what is known; their final records must be looked for.
    const std::set<std::string>& jobs_missing_record() const { return lost_; }
    /// As of some moment after the job was last read, nothing stood under c/job/ but what `shadow` says.
    void mark_verified_unfinished(const std::string& ref, Revision legacy_revision);
    /// Whether it may be over without our knowing.
    bool is_unverified(const std::string& ref) const;
    /// Jobs that others need and that are not proven to go on.
    std::vector<std::string> unverified_dependencies() const;
    /// Conditions on which a change of the job's record rests: it is as known, and the job is not over.
    static std::vector<Condition> unchanged_conditions(const std::string& ref, RecordLocation place,
                                                       Revision mod_revision, Revision legacy_revision);
    /// Drops what is left over under c/active/ of a job that is over.
    static Change deletion_change(const Condition& left);
    /// Live jobs whose record is of old form.
    std::size_t legacy_record_count() const;
    /// News of a further part; null: it is gone. True if the job is live and this is new.
    bool apply_part(const std::string& ref, std::size_t part, const Json* value, Revision mod_revision);

    const std::map<std::string, LiveJob>& live_jobs() const { return live_; }
    const LiveJob* find(const std::string& ref) const;
    /// Takes in what was read of a job. What is known only grows: an answer that the news has overtaken
    /// brings nothing back, and what is not final is known by the news alone, since it was read as of that
    /// moment only.
    void remember(const std::string& ref, const JobView& view);
    /// The newest view of a job; null: nothing is known of it, or no more.
    const JobView* find_view(const std::string& ref) const;
    std::size_t view_count() const { return live_.size() + finished_.size(); }
    /// No record as of before this revision will be heard of any more.
    void set_watermark(Revision watermark);
    /// Whether the job is over, by its own record or with one that it needs.
    JobFinality finality(const std::string& ref) const;
    /// Whether the stored record of the job, if it is live, says that it is cancelled: what `finality` must
    /// agree with.
    bool recorded_as_cancelled(const std::string& ref) const;
    /// Orders to stop what a worker reports of jobs that are over, at once.
    std::vector<Order> stops_for_finished_jobs(const Report& report) const;
    /// Jobs of which a worker reports tasks that may run, and of which it is not known whether they are over.
    std::vector<std::string> unknown_jobs(const Report& report) const;

    DependencyGraph& dependency_graph() { return dependency_graph_; }
    const DependencyGraph& dependency_graph() const { return dependency_graph_; }
    /// What has become of a job that another one needs.
    DependencyGraph::KnownOutcome outcome(const std::string& ref) const;
    /// Takes in how the job stands among those that need one another.
    void apply_dependency_status(const std::string& ref);

    /// Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs.
    bool within_guarantee(const std::string& ref, Micros now);
    /// What the guarantees are weighed by has changed.
    void invalidate_guarantees() { guarantees_due_ = true; }

    /// When a shard last ran tasks with an image, 0: not lately.
    Micros image_last_used(const std::string& image, const std::string& shard) const;
    void forget_images_before(Micros before);

  private:
    void weigh_guarantees();
    bool outdated(const std::string& ref, RecordLocation place, const JobView& view) const;
    void describe(const std::string& ref, LiveJob& job, const Json& value, const Json& spec,
                  const JobView& view);
    void update(LiveJob& job, RecordLocation place, const Json& value, const JobView& view, Micros now);

    const Settings& settings_;
    std::map<std::string, LiveJob> live_;
    FinishedJobs finished_;  // none of them live
    Revision watermark_ = 0;
    std::set<std::string> lost_;
    bool reading_ = false;
    DependencyGraph dependency_graph_;
    std::map<std::pair<std::string, std::string>, Micros> image_seen_;  // image and shard
    bool guarantees_due_ = true;
    Micros guarantees_at_ = 0;
};

}  // namespace cottonway
