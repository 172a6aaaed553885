#pragma once
// What users ask: submissions, polls, cancellations. Answers rest on the store.

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
               JobArchiver& history)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          assignment_(assignment),
          peers_(peers),
          history_(history) {}

    void submit(const Json& body, ApiResponder respond);
    void poll(const std::string& ref, ApiResponder respond);
    void abort(const std::string& ref, ApiResponder respond) { abort(ref, 0, std::move(respond)); }
    /// Whether users had better come here.
    bool is_healthy() const;
    /// `late`: by how much the process is behind its own timer.
    bool too_busy_for_polls(Micros late);
    /// Reads jobs that others need and that nothing is known of: they may be long over, and forgotten here.
    void read_unknown_dependencies();

  private:
    enum class ReconcileAction { Fits, Never, TooLong, NotYet };
    using Checked = std::function<void(bool ok, std::optional<JobView>)>;

    void resolve(JobSpec spec, ApiResponder respond);
    void create(JobSpec spec, ApiResponder respond);
    std::string shard_for(const JobSpec& spec);
    void abort(const std::string& ref, int tries, ApiResponder respond);
    struct Found {
        RecordLocation place = RecordLocation::Job;
        Json record;
        Revision mod_revision = 0;
        Revision legacy_revision = 0;
    };
    void cancel(const std::string& ref, Found job, int tries, ApiResponder respond);
    /// Reads a job's record under either key; none found proves nothing, since it may be on its way from one
    /// to the other.
    void read_either(const std::string& ref, std::function<void(bool ok, std::optional<Found>)> done);
    /// A job's state as the store has it now; no view: never accepted. `ok` false: nothing is known.
    void check(const std::string& ref, Checked done);
    void recheck(const std::string& ref, int tries, Checked done);
    const JobView* known(const std::string& ref) const { return cache_.jobs.find_view(ref); }
    /// Whether the job could be accepted. What can't is refused only where the store proves that it never
    /// was.
    ReconcileAction judge(const JobSpec& spec) const;
    static std::size_t stored_size(const JobSpec& spec);
    bool out_of_reach() const;

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    PeerDirectory& peers_;
    JobArchiver& history_;
    std::set<std::string> reading_;  // jobs that are needed and that nothing is known of
    std::uint64_t polls_shed_ = 0;
    Micros shed_logged_ = 0;
};

}  // namespace cottonway
