#pragma once
// ShardOwner: the part of a controller that manages a shard which the controller holds. It tracks the shard's
// machines (from block records) and jobs, binds tasks to machines, and follows each attempt until it is
// confirmed terminated. See docs/design.md.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "cache/dependency_graph.hpp"
#include "cache/job_cache.hpp"
#include "cache/plan_cache.hpp"
#include "config/settings.hpp"
#include "kvstore/records.hpp"
#include "kvstore/store_client.hpp"
#include "peer/messages.hpp"
#include "protocol/protocol.hpp"
#include "shard/cancellation_tracker.hpp"
#include "shard/permission.hpp"
#include "shard/rebalancer.hpp"
#include "shard/reconciliation.hpp"
#include "shard/scheduler.hpp"
#include "shard/shard_state.hpp"
#include "shard/startup.hpp"

namespace cottonway {

/// What a ShardOwner needs from the controller that it is part of.
class ShardContext {
  public:
    virtual ~ShardContext() = default;
    virtual Runtime& runtime() = 0;
    virtual StoreClient& store() = 0;
    virtual const Settings& settings() = 0;
    /// Returns the policy in force, which may change at any time.
    virtual const policy::Policy& policy() const = 0;
    virtual const MachineType* machine_type(const std::string& name) = 0;
    virtual void on_ownership_lost(const std::string& shard) = 0;
    /// Schedules run_pending_work() of all owners to run as soon as the current event has been handled.
    virtual void wake() = 0;
    /// Returns the shard's stored share of a team's limit, less the part that is being transferred to other
    /// shards.
    virtual Resources available_quota(const std::string& shard, const std::string& team) const = 0;
    /// Returns true if the job fits into its team's guarantee together with the team's earlier unfinished
    /// jobs.
    virtual bool within_guarantee(const std::string& ref) = 0;
    /// Returns the state of the job's dependencies and of the jobs that depend on it.
    virtual DependencyStatus dependency_status(const std::string& ref) const = 0;
    /// Returns true if all controllers can read a format, so that it may be written.
    virtual bool is_read_by_all(std::uint64_t format) const = 0;
    /// Reports a final record that this owner committed, before the change feed delivers it.
    virtual void on_job_finalized(const std::string& ref, const Json& value, Revision mod_revision) = 0;
    /// Returns the time from which a peer that is not alive can't renew any lease; empty while it still may.
    virtual std::optional<Micros> peer_lease_end(std::size_t peer) const = 0;
    /// Returns a job that is not over as the change feed has delivered it; nullptr if there is none.
    virtual const LiveJob* stored_job(const std::string& ref) const = 0;
    /// Returns the migration plan that a shard has started and not finished, as last read; nullptr if there
    /// never was one.
    virtual const PlanCache::Stored* stored_plan(const std::string& shard) const = 0;
    /// Returns for how long no node has joined or ended and each shard has had a live owner, according to
    /// the store; 0 if that is not the case now.
    virtual Micros stable_for() const = 0;
    /// Returns true if the last read of the store is recent enough to renew leases and to start tasks (see
    /// lease_validity.hpp). Stopping a task does not require it.
    virtual bool has_valid_lease() const = 0;
    /// Returns stop orders for the reported tasks whose jobs are known to be over.
    virtual std::vector<Order> stops_for_finished_jobs(const Report& report) const = 0;
    /// Returns true if it is known for each reported task that may run whether its job is over. Otherwise
    /// starts to read the missing records.
    virtual bool knows_outcomes_of(const Report& report) = 0;
    virtual permission::Counters& permission_counters() = 0;

    enum class MachineEdit { RaiseToken, Retire, RetireNow };
    /// Rewrites the block record that lists the machine. The new record arrives through the change feed.
    virtual void edit_machine(const std::string& shard, const std::string& machine, MachineEdit edit,
                              std::function<void(bool)> done) = 0;
};

class ShardOwner : private Scheduler::Owner {
  public:
    ShardOwner(ShardContext& context, std::string shard, Revision mod_revision, Micros former_lease_end);
    ~ShardOwner() override;

    const std::string& shard() const { return shard_; }
    Revision mod_revision() const { return mod_revision_; }
    bool active() const { return active_; }

    // Loading order: machines, then jobs, then the parts of the jobs, then activate().
    void on_machine(const Block& block, const Block::Machine& entry);
    void on_machine_removed(const std::string& name, const char* reason);
    void on_job(const std::string& ref, RecordLocation location, const Json& value, Revision mod_revision);
    /// Sets the revision of a record that exists under c/job/ in addition to the job's record under
    /// c/active/.
    void on_legacy_revision(const std::string& ref, Revision legacy_revision);
    void on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision);
    void activate();

    /// Admits a new job. If there is free capacity, the change that admits it also binds its first tasks.
    void admit(JobSpec spec, std::int64_t submitted_ms, const DependencyStatus& dependency_status,
               std::function<void(const Admission&)> done);
    /// Applies a change of the job's dependencies, or of the jobs that depend on it.
    void on_dependencies_changed(const std::string& ref);
    /// Requests a planning pass because another policy is in force.
    void on_policy_changed() { plan_due_ = true; }

    /// The answer to a worker's report.
    struct ReportResponse {
        std::uint64_t token = 0;
        std::vector<Order> orders;
        bool directly_reachable = true;
    };
    /// Applies a worker's report and returns the answer, or nothing if the report must not be answered.
    std::optional<ReportResponse> on_report(const Report& report, bool relayed = false);

    /// Does the work that incoming messages have made necessary: plans, commits records, sends orders.
    void run_pending_work();
    /// Does the periodic work. Called about ten times a second.
    void tick();

    // For the autoscaler and for other shards.
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return shard_state_.machines; }
    const std::map<std::string, std::unique_ptr<Job>>& jobs() const { return shard_state_.jobs; }
    void retire(const std::string& machine, const char* reason);
    /// Returns for how long no message of the machine has arrived.
    Micros silent_for(const Machine& machine) const;
    /// Returns for how long the machine has not reported, or has not shown that it receives messages.
    Micros unreachable_for(const Machine& machine) const;
    /// Returns the limit of `unreachable_for` above which no task is bound to a machine.
    Micros unreachable_limit() const;
    void set_draining(const std::string& machine, bool on);
    /// Returns true if all tasks on the machine belong to array jobs that may use spot machines. Those tasks
    /// end before long, and could have run elsewhere.
    bool runs_only_spot_arrays(const Machine& machine) const;
    peer::ShardLoad load() const;
    /// Returns the capacity that waiting jobs need, if some have waited for a while.
    std::optional<peer::CapacityRequest> capacity_request() const;
    /// Returns, by team, the resources of tasks that wait for a larger share of the team's limit.
    const std::map<std::string, Resources>& missing_quota_by_team() const {
        return scheduler_.quota_shortfalls();
    }
    /// Picks idle machines on which such tasks fit, for another shard. Nothing is bound to them any more
    /// unless withdraw_offer() is called.
    std::vector<std::string> offer_idle_machines(const peer::CapacityRequest& request);
    void withdraw_offer(const std::vector<std::string>& machines);
    /// Free capacity in another shard, in thousandths of a core. `idle_*` is the part on machines without any
    /// task.
    struct RemoteCapacity {
        Milli ordinary = 0;
        Milli spot = 0;
        Milli idle_ordinary = 0;
        Milli idle_spot = 0;
    };
    /// Transfers to another shard waiting jobs of which no task was ever bound, as many as fit into
    /// `capacity`.
    void transfer_jobs(const std::string& to, RemoteCapacity capacity);
    /// Returns the part of the team's quota share that is neither used nor needed by waiting jobs.
    Resources transferable_quota(const std::string& team) const;
    /// Returns the part of the team's quota share that is not used.
    Resources unused_quota(const std::string& team) const;
    /// Returns the smallest amount by which the team's share is too small to start one more waiting task, or
    /// a whole gang. Returns zero if one fits already, and nothing if no task waits.
    std::optional<Resources> smallest_quota_shortfall(const std::string& team) const;
    /// Returns the machines whose leases `peer` is to promise not to renew: machines with tasks that for half
    /// a lease have been silent or have not seen the shard's token. Leaves out machines for which a promise
    /// of the peer lasts for at least another lease.
    std::vector<std::string> machines_to_relinquish(std::size_t peer) const;
    void on_relinquished(std::size_t peer, const std::string& machine, LeaseRelinquishment promise);
    Json status() const;
    const Rebalancer& rebalancer() const { return rebalancer_; }
    /// Returns why a job of the shard waits; null if the shard has no such job.
    Json explain(const std::string& ref) const;

  private:
    Json queue_position(const Job& job) const;
    Json capacity_by_zone(const Job& job) const;
    Json gpu_capacity_for(const Job& job) const;
    std::vector<std::string> waiting_reasons(const Job& job, const Json& zones) const;
    Json waiting_by_tier() const;
    policy::Tier tier(const Job& job) const { return context_.policy().tier(job.spec, job.rank); }

    std::uint64_t token(const Machine& machine) const {
        return std::max<std::uint64_t>(mod_revision_, machine.token);
    }
    // Scheduler::Owner.
    bool is_usable(const Machine& machine) const override {
        return !machine.draining && is_bindable(machine);
    }
    bool is_usable_but_draining(const Machine& machine) const override {
        return machine.draining && is_bindable(machine);
    }
    bool is_bindable(const Machine& machine) const;
    void on_task_bound(Job& job, int task) override;
    void stop(Slot& slot, Micros grace) override;
    Resources resources_reserved_for_others(const Job& job, const Machine& machine) const override {
        return rebalancer_.resources_reserved_for_others(job, machine);
    }
    bool has_reservation(const Job& job) const override { return rebalancer_.has_reservation(job); }
    const Machine* move_destination(const Job& job, int task) const override {
        return rebalancer_.move_destination(job, task);
    }

    bool is_lease_expired(const Machine& machine) const;
    bool is_job_queued(const std::string& ref) const {
        const Job* job = shard_state_.job(ref);
        return job && job->stage == Stage::Queued;
    }
    bool are_leases_expired_since(const Machine& machine, Micros last) const;
    bool has_received_answer(const Machine& machine, const Report& report) const;

    void record_session_and_token(Machine& machine, const Report& report, bool is_report);
    void mark_suspect(Machine& machine);
    void apply_heartbeat(Machine& machine, const Report& report, bool is_report);
    void handle_absent_task(Machine& machine, Job& job, int task, const Report& report, bool is_report);
    void handle_exited_task(Machine& machine, Job& job, int task, ExitCause cause);
    void handle_task_result(Job& job, int task);
    void on_attempt_terminated(Job& job, int task, Micros retry_in);
    Micros handle_task_failure(Machine& machine, Job& job, Slot& slot);
    void on_first_success(Job& job);
    static void record_failure(Machine& machine, const Job& job, Micros now);
    void terminate_all_attempts(Machine& machine, const char* reason);
    static bool can_still_start(const Machine& machine, const Slot& slot, const AttemptKey& key);
    static bool has_unsettled_launch(const Machine& machine, const AttemptKey& key);
    recovery::StoredTask stored_task(const Job* job, const Slot* slot, const Machine& machine,
                                     std::int64_t attempt) const;
    void handle_listed_task(Machine& machine, Job& job, Slot& slot, Phase phase);
    int dispatch_urgency(const Machine& machine) const;

    /// Creates the in-memory state of a job. `dependencies_done_ms` is when its dependencies were met, if the
    /// record has it.
    std::unique_ptr<Job> create_job(JobSpec spec, std::int64_t submitted_ms,
                                    std::optional<std::int64_t> dependencies_done_ms,
                                    const DependencyStatus& dependency_status);
    static void divide_into_parts(Job& job, std::size_t tasks_per_part);
    void apply_dependency_status(Job& job, const DependencyStatus& dependency_status);
    void on_dependencies_done(Job& job);
    void set_rank(Job& job, PriorityClass rank);
    void mark_done(Job& job, int task);
    void set_unbound(Job& job, Slot& slot);
    void cancel(Job& job);
    void stop_incomplete_gang(Job& job);
    void drop_job(const std::string& ref);
    void on_admission_failed(Job& job, CommitStatus status);
    void apply_cached_record(const std::string& ref);
    Micros batching_delay(const Job& job, bool has_binds) const;
    void drop_transferred_job(Job& job);

    void plan();
    void stop_before_interruption(Machine& machine);

    void mark_part_dirty(Job& job, std::size_t part);
    std::vector<Condition> record_conditions(const Job& job) const;
    std::string part_key(const Job& job, std::size_t part) const;
    void delete_stale_records();
    void migrate_legacy_record();
    void flush_jobs();
    void write_part(Job& job, std::size_t part, Priority priority);
    void on_part_written(const std::string& ref, std::size_t part, const Json& value, bool final_record,
                         const std::vector<AttemptKey>& bound_attempts, const std::vector<int>& done_tasks,
                         RecordLocation location, const CommitResult& result);
    void reload_part(const std::string& ref, std::size_t part);
    void reload_part_later(const std::string& ref, std::size_t part);
    void read_record(const std::string& ref, std::size_t part,
                     std::function<void(const ReadResult&, RecordLocation, Revision legacy_revision)> done);
    void on_part_reloaded(const std::string& ref, std::size_t part, const ReadResult& result,
                          RecordLocation location, Revision legacy_revision);
    Json part_value(const Job& job, std::size_t part, bool final_record) const;
    void adopt_part(Job& job, std::size_t part, const Json& value, Revision mod_revision);

    std::vector<Order> orders_for(Machine& machine, bool direct);
    void add_clears(Machine& machine, std::vector<Order>& orders);
    bool can_clear(const Machine& machine, const ReportedTask& task, std::size_t& uncleared) const;
    void add_stop(Slot& slot, const AttemptKey& key, bool direct, std::vector<Order>& orders);
    void add_launch(Machine& machine, const Job& job, Slot& slot, const AttemptKey& key, bool direct,
                    std::vector<Order>& orders);
    bool is_probe_due(const Machine& machine) const;
    void request_dispatch(Machine& machine);
    void send_orders();
    void send_orders_to(Machine& machine);
    void on_orders_not_sent(Machine& machine, const std::set<AttemptKey>& launched);
    void on_orders_unanswered(Machine& machine, const std::set<AttemptKey>& launched, std::uint64_t token,
                              std::uint64_t session);
    void raise_token(Machine& machine);

    ShardContext& context_;
    std::string shard_;
    Revision mod_revision_;
    Micros former_lease_end_;
    Micros acquired_at_;
    bool active_ = false;
    recovery::StartupSummary startup_;
    ShardState shard_state_;
    Scheduler scheduler_;
    Rebalancer rebalancer_;
    CancellationTracker cancellations_;
    std::uint64_t next_serial_ = 1;
    std::set<std::string> dirty_jobs_;
    std::vector<Condition>
        stale_records_;  // records under c/active/ of jobs that are over; still to be deleted
    Micros last_record_deletion_at_ = 0;
    Micros last_record_migration_at_ = 0;
    std::vector<std::string> dispatch_due_;  // machines to send orders to
    int direct_calls_in_flight_ = 0;
    bool plan_due_ = true;
    bool flush_due_ = false;
    Micros last_planned_at_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns how many tasks fit into one stored part next to a job specification of `spec_bytes`.
std::size_t compute_tasks_per_part(std::size_t value_bytes, std::size_t spec_bytes);

}  // namespace cottonway
