#pragma once
// Controller: one node of the cluster. It wires its components together: the cache of the store, membership
// and leadership, the shards held here, the allocation of machines and quota, the APIs for users and workers,
// and the communication with the other controllers and the cloud. It forwards changes of the cached state to
// them.

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
    /// Handles a request of a user, a worker or the load balancer.
    void handle_request(ApiRequest request, ApiResponder respond);
    /// Handles a packed message of another controller. Answers "" if the message is invalid.
    void handle_peer_message(const std::string& bytes, std::function<void(std::string)> respond);
    Json status();
    /// Explains why a job waits, or names the node that can; null: the job is unknown here.
    Json explain(const std::string& ref) const;
    /// Sets the policy from this node's policy file after the file has changed.
    void set_policy_file(policy::Policy file) { policy_publisher_.set_file(std::move(file)); }

    const StateCache& cache() const { return cache_; }
    /// Returns whether this process is the leader, as far as it knows.
    bool is_leader() const { return election_.is_leader(); }
    const std::map<std::string, std::unique_ptr<ShardOwner>>& owners() const { return assignment_.owners(); }
    ShardOwner* owner(const std::string& shard) const { return assignment_.find(shard); }

    // ShardContext.
    Runtime& runtime() override { return runtime_; }
    StoreClient& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const policy::Policy& policy() const override { return cache_.policies.in_force(); }
    const MachineType* machine_type(const std::string& name) override {
        return cache_.machine_types.find(name);
    }
    void on_ownership_lost(const std::string& shard) override { assignment_.release_shard(shard); }
    void wake() override;
    Resources available_quota(const std::string& shard, const std::string& team) const override {
        return cache_.quotas.available_quota(shard, team);
    }
    bool within_guarantee(const std::string& ref) override {
        return cache_.jobs.within_guarantee(ref, runtime_.now());
    }
    DependencyStatus dependency_status(const std::string& ref) const override {
        return cache_.jobs.dependency_graph().dependency_status(ref);
    }
    bool is_read_by_all(std::uint64_t format) const override { return cache_.formats.is_read_by_all(format); }
    void on_job_finalized(const std::string& ref, const Json& value, Revision mod_revision) override {
        cache_.apply(keys::job + ref, &value, mod_revision);
    }
    std::optional<Micros> peer_lease_end(std::size_t peer) const override;
    const LiveJob* stored_job(const std::string& ref) const override { return cache_.jobs.find(ref); }
    const PlanCache::Stored* stored_plan(const std::string& shard) const override {
        return cache_.plans.find(shard);
    }
    Micros stable_for() const override;
    bool has_valid_lease() const override;
    permission::Counters& permission_counters() override { return decisions_; }
    const permission::Counters& permission_counters() const { return decisions_; }
    std::vector<Order> stops_for_finished_jobs(const Report& report) const override {
        return cache_.jobs.stops_for_finished_jobs(report);
    }
    bool knows_outcomes_of(const Report& report) override { return job_archiver_.knows_outcomes_of(report); }
    void edit_machine(const std::string& shard, const std::string& machine, MachineEdit edit,
                      std::function<void(bool)> done) override {
        machine_allocator_.edit_machine(shard, machine, edit, std::move(done));
    }

    // StateCache::Listener.
    void on_job(const std::string& ref, RecordLocation record_location, const Json& value,
                Revision mod_revision) override;
    void on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) override;
    void on_dependency_status(const std::string& ref) override;
    void on_machine(const Block& block, const Block::Machine& machine) override;
    void on_machine_left(const std::string& machine) override;
    void on_shard(const std::string& name) override { assignment_.on_shard_record(name); }
    void on_format() override;
    void on_policy() override;
    void on_scheduling_input_changed() override { wake(); }

  private:
    void tick();
    void fetch_machine_types();
    void announce_format();
    void delete_orphaned_chunks();
    void delete_chunk(const chunks::ChunkStore::OrphanedChunk& orphan, Revision mod_revision);
    void log_summary();

    Runtime& runtime_;
    Settings settings_;
    StoreClient store_;
    StateCache cache_;
    permission::Counters decisions_;
    ChangeFeed feed_;
    MembershipLease membership_lease_;
    LeaderElection election_;
    JobArchiver job_archiver_;
    PolicyPublisher policy_publisher_;
    ShardAssignment assignment_;
    MachineAllocator machine_allocator_;
    PeerDirectory peers_;
    Autoscaler autoscaler_;
    QuotaAllocator quota_allocator_;
    CapacityBroker capacity_broker_;
    HeartbeatRouter heartbeat_router_;
    JobService job_service_;
    bool wake_scheduled_ = false;
    bool announcing_format_ = false;
    Micros chunks_checked_at_ = 0;
    Micros next_tick_due_ = 0;
    Micros timer_lag_ = 0;  // how late the last tick ran: a sign of too little CPU time
    Micros summary_logged_at_ = 0;
};

}  // namespace cottonway
