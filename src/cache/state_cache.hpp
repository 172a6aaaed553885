#pragma once
// Cache of the cluster state in the store, with one cache for each kind of record. It is updated by the
// change feed and by the results of the controller's own commits. It notifies its listener of changes and
// makes no decisions.

#include <set>
#include <string>

#include "cache/block_cache.hpp"
#include "cache/change_feed.hpp"
#include "cache/format_cache.hpp"
#include "cache/job_cache.hpp"
#include "cache/machine_type_catalog.hpp"
#include "cache/membership.hpp"
#include "cache/plan_cache.hpp"
#include "cache/policy_cache.hpp"
#include "cache/quota_cache.hpp"

namespace cottonway {

class StateCache : public ChangeFeed::Subscriber {
  public:
    /// Notified of changes after they have been applied.
    class Listener : public BlockCache::Listener {
      public:
        virtual void on_job(const std::string& ref, RecordLocation record_location, const Json& value,
                            Revision mod_revision) = 0;
        virtual void on_part(const std::string& ref, std::size_t part, const Json& value,
                             Revision mod_revision) = 0;
        /// The dependency status of the job has changed.
        virtual void on_dependency_status(const std::string& ref) = 0;
        virtual void on_shard(const std::string& name) = 0;
        /// All controllers read a newer record format now.
        virtual void on_format() = 0;
        /// Another policy is in force now.
        virtual void on_policy() = 0;
        /// Something that scheduling decisions may depend on has changed.
        virtual void on_scheduling_input_changed() = 0;
    };
    StateCache(Runtime& runtime, StoreClient& store, const Settings& settings, Listener& listener);

    void apply(const std::string& key, const Json* value, Revision mod_revision) override;
    void on_resync_begin() override;
    std::string continuation_key(const std::string& key) override;
    void on_resync_end(const std::set<std::string>& seen, Revision store_revision) override;
    void on_watermark(Revision store_revision) override { jobs.set_watermark(store_revision); }
    /// Returns whether unfinished jobs are stored under c/active/ only, so that c/job/ need not be read.
    bool is_history_separated() const { return history_separation_ == HistorySeparation::Complete; }
    /// Returns whether no unfinished job can be added under c/job/ any more.
    bool legacy_writes_closed() const { return history_separation_ != HistorySeparation::NotStarted; }
    Revision history_revision() const { return history_revision_; }
    /// Returns whether an unfinished job has its only record under c/job/ although no controller reads
    /// unfinished jobs there any more. A process that has since ended wrote it late; the job counts as
    /// accepted only once its record has been moved to c/active/.
    bool has_only_legacy_record(const std::string& ref) const;
    /// Applies changes of dependency statuses to the job cache and notifies the listener.
    void propagate_dependency_changes();
    /// Applies a list of machine types that the cloud API has just returned.
    void apply_machine_types(const Json& response);

    /// Returns the number of machines in a shard.
    std::size_t machine_count_in_shard(const std::string& shard) const;
    /// Returns the number of machines in all shards that a node holds.
    std::size_t machine_count_of_node(const std::string& node) const;
    /// Returns this node's rank among the live nodes: the node with the fewest machines is first, and a hash
    /// with `topic` breaks ties.
    std::size_t rank_among_alive(const std::string& topic) const;
    Milli capacity_of(const std::string& shard) const { return blocks.capacity_of(shard, machine_types); }

    MachineTypeCatalog machine_types;
    Membership membership;
    FormatCache formats;
    BlockCache blocks;
    QuotaCache quotas;
    PlanCache plans;
    PolicyCache policies;
    JobCache jobs;

    /// Progress of the move of unfinished jobs from c/job/ to c/active/: see keys::history.
    enum class HistorySeparation { NotStarted, LegacyWritesClosed, Complete };
    static Json history_value(HistorySeparation separation) {
        return {{"apart", separation == HistorySeparation::Complete}};
    }

  private:
    void apply_history(const Json& value, Revision mod_revision);

    HistorySeparation history_separation_ = HistorySeparation::NotStarted;
    Revision history_revision_ = 0;
    bool resync_in_progress_ = false;
    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    Listener& listener_;
};

}  // namespace cottonway
