#pragma once
// The replica: everything that this controller follows of the store, a book for each kind of record. It is
// brought up to date by the feed and by what the controller's own commits have told; it holds state, passes
// on what has changed, and decides nothing.

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
    /// Told of changes, after they have been taken in.
    class Listener : public BlockCache::Listener {
      public:
        virtual void on_job(const std::string& ref, RecordLocation place, const Json& value,
                            Revision mod_revision) = 0;
        virtual void on_part(const std::string& ref, std::size_t part, const Json& value,
                             Revision mod_revision) = 0;
        /// The job stands differently among those that need one another.
        virtual void on_dependency_status(const std::string& ref) = 0;
        virtual void on_shard(const std::string& name) = 0;
        virtual void on_format() = 0;
        /// Another policy is in force.
        virtual void on_policy() = 0;
        /// Something that planning may rest on.
        virtual void on_scheduling_input_changed() = 0;
    };
    StateCache(Runtime& runtime, StoreClient& store, const Settings& settings, Listener& listener);

    void apply(const std::string& key, const Json* value, Revision mod_revision) override;
    void on_resync_begin() override;
    std::string continuation_key(const std::string& key) override;
    void on_resync_end(const std::set<std::string>& seen, Revision store_revision) override;
    void on_watermark(Revision store_revision) override { jobs.set_watermark(store_revision); }
    /// Whether jobs that are not over stand under c/active/ only, so that nobody reads those under c/job/.
    bool is_history_separated() const { return history_ == HistorySeparation::Complete; }
    /// Whether no record of old form can be added any more.
    bool legacy_writes_closed() const { return history_ != HistorySeparation::NotStarted; }
    Revision history_revision() const { return history_mark_; }
    /// A job whose only record stands under c/job/ although nobody reads there any more: it came late, from a
    /// process that has ended, and was accepted by nobody until it has been moved.
    bool has_only_legacy_record(const std::string& ref) const;
    /// Passes on what has changed for jobs that need others, or are needed.
    void propagate_dependency_changes();
    /// Machine types, as the cloud has just told them.
    void apply_machine_types(const Json& answer);

    /// Machines of a shard, and of all shards that a node holds.
    std::size_t machine_count_in_shard(const std::string& shard) const;
    std::size_t machine_count_of_node(const std::string& node) const;
    /// Our turn among the nodes that are alive: who holds the fewest machines comes first.
    std::size_t rank_among_alive(const std::string& what) const;
    Milli capacity_of(const std::string& shard) const { return blocks.capacity_of(shard, machine_types); }

    MachineTypeCatalog machine_types;
    Membership membership;
    FormatCache formats;
    BlockCache blocks;
    QuotaCache quotas;
    PlanCache plans;
    PolicyCache policies;
    JobCache jobs;

    /// How far the records of live jobs have been moved out of history: see keys::history.
    enum class HistorySeparation { NotStarted, LegacyWritesClosed, Complete };
    static Json history_value(HistorySeparation h) { return {{"apart", h == HistorySeparation::Complete}}; }

  private:
    void take_history(const Json& value, Revision mod_revision);

    HistorySeparation history_ = HistorySeparation::NotStarted;
    Revision history_mark_ = 0;
    bool reading_ = false;  // everything, from the first record to the last
    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    Listener& listener_;
};

}  // namespace cottonway
