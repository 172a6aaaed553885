#pragma once
// Controller: one node. It puts the rooms together: the replica of the store, presence and leadership, the
// shards held here, the records of blocks and shares, users, workers, the other controllers and the cloud.
// Each room has a header of its own that says what it may touch; the controller passes on what has changed.

#include <memory>
#include <string>
#include <utility>

#include "allocation/autoscaler.hpp"
#include "allocation/capacity_broker.hpp"
#include "api/heartbeat_router.hpp"
#include "api/job_service.hpp"
#include "cluster/job_archiver.hpp"
#include "cluster/policy_publisher.hpp"
#include "config/lease_validity.hpp"

namespace cottonway {

class Controller : public ShardContext, public StateCache::Listener {
  public:
    Controller(Runtime& runtime, Settings settings);
    ~Controller() override;

    void start();
    /// Requests of users, workers and the load balancer.
    void handle(ApiRequest request, ApiResponder respond);
    /// A packed message of another controller; answered with "" if there is nothing to say.
    void handle_peer(const std::string& bytes, std::function<void(std::string)> respond);
    Json status();
    /// Why a job waits, or who would know; null if it is not known to be there.
    Json explain(const std::string& ref) const;
    /// The policy of this node's file, which has changed while we run.
    void set_policy_file(policy::Policy file) { policies_.set_file(std::move(file)); }

    const StateCache& cache() const { return cache_; }
    /// Whether this process leads, as far as it knows.
    bool leads() const { return election_.leading(); }
    const std::map<std::string, std::unique_ptr<ShardOwner>>& owners() const { return assignment_.all(); }
    ShardOwner* owner(const std::string& shard) const { return assignment_.find(shard); }

    // ShardContext.
    Runtime& runtime() override { return runtime_; }
    StoreClient& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const policy::Policy& policy() const override { return cache_.policies.in_force(); }
    const MachineType* machine_type(const std::string& name) override { return cache_.types.find(name); }
    void on_ownership_lost(const std::string& shard) override { assignment_.release_shard(shard); }
    void wake() override;
    Resources share(const std::string& shard, const std::string& team) const override {
        return cache_.shares.part(shard, team);
    }
    bool within_guarantee(const std::string& ref) override {
        return cache_.jobs.within_guarantee(ref, runtime_.now());
    }
    DependencyStatus dependency_status(const std::string& ref) const override {
        return cache_.jobs.dependency_graph().dependency_status(ref);
    }
    bool all_read(std::uint64_t format) const override { return cache_.formats.common(format); }
    void settled(const std::string& ref, const Json& value, Revision mod_revision) override {
        cache_.take(keys::job + ref, &value, mod_revision);
    }
    std::optional<Micros> peer_ended(std::size_t peer) const override;
    const LiveJob* stored_job(const std::string& ref) const override { return cache_.jobs.find(ref); }
    const PlanCache::Stored* stored_plan(const std::string& shard) const override {
        return cache_.plans.find(shard);
    }
    Micros steady_for() const override;
    bool has_valid_lease() const override;
    permission::Counters& decisions() override { return decisions_; }
    const permission::Counters& decisions() const { return decisions_; }
    std::vector<Order> stops_for_finished_jobs(const Report& report) const override {
        return cache_.jobs.stops_for_finished_jobs(report);
    }
    bool knows_jobs_of(const Report& report) override { return history_.knows_jobs_of(report); }
    void edit_machine(const std::string& shard, const std::string& machine, MachineEdit edit,
                      std::function<void(bool)> done) override {
        machine_allocator_.edit(shard, machine, edit, std::move(done));
    }

    // StateCache::Listener.
    void on_job(const std::string& ref, RecordLocation place, const Json& value,
                Revision mod_revision) override;
    void on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) override;
    void on_dependency_status(const std::string& ref) override;
    void on_machine(const Block& block, const Block::Machine& machine) override;
    void on_machine_left(const std::string& machine) override;
    void on_shard(const std::string& name) override { assignment_.on_shard(name); }
    void on_format() override;
    void on_policy() override;
    void on_news() override { wake(); }

  private:
    void tick();
    void fetch_types();
    void announce_format();
    void sweep_pieces();
    void drop_piece(const chunks::ChunkStore::OrphanedChunk& left, Revision mod_revision);
    void sum_up();

    Runtime& runtime_;
    Settings settings_;
    StoreClient store_;
    StateCache cache_;
    permission::Counters decisions_;
    ChangeFeed feed_;
    MembershipLease membership_lease_;
    LeaderElection election_;
    JobArchiver history_;
    PolicyPublisher policies_;
    ShardAssignment assignment_;
    MachineAllocator machine_allocator_;
    PeerDirectory peers_;
    Autoscaler autoscaler_;
    QuotaAllocator quota_allocator_;
    CapacityBroker capacity_broker_;
    HeartbeatRouter heartbeat_router_;
    JobService job_service_;
    bool waking_ = false;
    bool announcing_ = false;
    Micros swept_at_ = 0;
    Micros tick_due_ = 0;
    Micros late_ = 0;  // by how much the last tick came late: a sign of too little processor time
    Micros summed_up_ = 0;
};

}  // namespace cottonway
