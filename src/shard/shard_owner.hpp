#pragma once
// ShardOwner: what one controller decides as the holder of a shard. It knows the shard's machines (blocks)
// and jobs, binds tasks to machines, and follows attempts until they are proven gone. See docs/design.md.

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

/// What the owner needs of the controller around it.
class ShardContext {
  public:
    virtual ~ShardContext() = default;
    virtual Runtime& runtime() = 0;
    virtual StoreClient& store() = 0;
    virtual const Settings& settings() = 0;
    /// The one in force; it may change at any time.
    virtual const policy::Policy& policy() const = 0;
    virtual const MachineType* machine_type(const std::string& name) = 0;
    virtual void on_ownership_lost(const std::string& shard) = 0;
    virtual void wake() = 0;
    /// The shard's stored part of a team's limit, less what is being given away.
    virtual Resources share(const std::string& shard, const std::string& team) const = 0;
    /// Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs.
    virtual bool within_guarantee(const std::string& ref) = 0;
    /// How the job stands among those that need one another.
    virtual DependencyStatus dependency_status(const std::string& ref) const = 0;
    /// Whether all controllers read a format, so that it may be written.
    virtual bool all_read(std::uint64_t format) const = 0;
    /// What our own commit has made final, ahead of the news of it.
    virtual void settled(const std::string& ref, const Json& value, Revision mod_revision) = 0;
    /// From when on a peer that is not alive can renew no lease; nothing while it may.
    virtual std::optional<Micros> peer_ended(std::size_t peer) const = 0;
    /// A job that is not over, as the news has told of it; nullptr: of none.
    virtual const LiveJob* stored_job(const std::string& ref) const = 0;
    /// What a shard has begun and not ended, as last read; nullptr: nothing ever.
    virtual const PlanCache::Stored* stored_plan(const std::string& shard) const = 0;
    /// How long no node has come or ended and each shard has had a holder that is alive, as far as the store
    /// tells just now; 0: not now.
    virtual Micros steady_for() const = 0;
    /// Whether what is known of the store is fresh enough to renew leases and to start tasks (see
    /// lease_validity.hpp). Stopping needs no such thing.
    virtual bool has_valid_lease() const = 0;
    /// Orders to stop what runs there although its job is over, as far as is known here.
    virtual std::vector<Order> stops_for_finished_jobs(const Report& report) const = 0;
    /// Whether it is known of each task that may run there if its job is over; else that is read.
    virtual bool knows_jobs_of(const Report& report) = 0;
    virtual permission::Counters& decisions() = 0;

    enum class MachineEdit { Raise, Retire, RetireNow };
    /// Rewrites the block record that lists the machine; the outcome arrives as news of the record.
    virtual void edit_machine(const std::string& shard, const std::string& machine, MachineEdit edit,
                              std::function<void(bool)> done) = 0;
};

class ShardOwner : private Scheduler::Shard {
  public:
    ShardOwner(ShardContext& context, std::string shard, Revision mod_revision, Micros former_authority_end);
    ~ShardOwner() override;

    const std::string& shard() const { return shard_; }
    Revision mod_revision() const { return mod_revision_; }
    bool active() const { return active_; }

    // Loading: machines, then jobs, then their parts, then activate.
    void on_machine(const Block& block, const Block::Machine& entry);
    void on_machine_gone(const std::string& name, const char* why);
    void on_job(const std::string& ref, RecordLocation place, const Json& value, Revision mod_revision);
    /// What stands under c/job/ besides a job's record under c/active/.
    void on_legacy_revision(const std::string& ref, Revision legacy_revision);
    void on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision);
    void activate();

    /// Admits a new job, with the first binds of its tasks in the same change where there is room for them.
    void admit(JobSpec spec, std::int64_t submitted_ms, const DependencyStatus& dependency_status,
               std::function<void(const Admission&)> done);
    /// The job stands differently among those that need one another.
    void reconsider(const std::string& ref);
    /// Another policy is in force: plans again.
    void on_policy() { plan_due_ = true; }

    /// The orders to answer a report with, or nothing if it must not be answered.
    struct Answer {
        std::uint64_t token = 0;
        std::vector<Order> orders;
        bool direct = true;
    };
    std::optional<Answer> on_report(const Report& report, bool relayed = false);

    /// What follows from what has come in: places, commits, sends.
    void work();
    /// What follows from time passing; called about ten times a second.
    void tick();

    // For the fleet and for other shards.
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return shard_state_.machines; }
    const std::map<std::string, std::unique_ptr<Job>>& jobs() const { return shard_state_.jobs; }
    void retire(const std::string& machine, const char* why);
    Micros silent_for(const Machine& m) const;
    /// For how long it has not reported, or not shown that it hears us.
    Micros unreachable_for(const Machine& m) const;
    /// For how long it may be that before nothing more is bound to it.
    Micros patience() const;
    void drain(const std::string& machine, bool on);
    /// Whether everything on it ends by itself before long and could have run elsewhere.
    bool passing(const Machine& m) const;
    peer::ShardLoad load() const;
    /// What waits for room, if anything has for a while.
    std::optional<peer::CapacityRequest> want() const;
    /// What waits for a larger part of a team's limit.
    const std::map<std::string, Resources>& short_of_quota() const { return scheduler_.short_of_quota(); }
    /// Idle machines that would hold such tasks, for another shard; from here on nothing is bound to them
    /// until `keep`.
    std::vector<std::string> offer_idle_machines(const peer::CapacityRequest& want);
    void withdraw_offer(const std::vector<std::string>& machines);
    /// Room in another shard, in thousandths of a core; the idle parts are on machines without any task.
    struct RoomElsewhere {
        Milli ordinary = 0;
        Milli spot = 0;
        Milli idle_ordinary = 0;
        Milli idle_spot = 0;
    };
    /// Gives away waiting jobs that have never been bound, as many as fit into that room.
    void transfer_jobs(const std::string& to, RoomElsewhere room);
    /// What of the team's share neither is in use nor waited for.
    Resources spare_quota(const std::string& team) const;
    Resources unused_quota(const std::string& team) const;
    /// The least that the team's share lacks for one waiting task more, or for a gang: nothing if one will
    /// start without, none if nothing waits.
    std::optional<Resources> short_by(const std::string& team) const;
    /// Machines with tasks that are silent, or don't hear us, for which `peer` has not promised to renew no
    /// leases.
    std::vector<std::string> machines_to_relinquish(std::size_t peer) const;
    void on_relinquished(std::size_t peer, const std::string& machine, LeaseRelinquishment promise);
    Json status() const;
    const Rebalancer& rebalancer() const { return rebalancer_; }
    /// Why a job of the shard waits; null if it is none.
    Json explain(const std::string& ref) const;

  private:
    Json place_in_queue(const Job& job) const;
    Json room_by_zone(const Job& job) const;
    Json gpus_for(const Job& job) const;
    std::vector<std::string> reasons(const Job& job, const Json& zones) const;
    Json waiting_by_tier() const;
    policy::Tier tier(const Job& job) const { return context_.policy().tier(job.spec, job.rank); }

    std::uint64_t token(const Machine& m) const { return std::max<std::uint64_t>(mod_revision_, m.token); }
    // Scheduler::Shard.
    bool usable(const Machine& m) const override { return !m.draining && bindable(m); }
    bool surplus(const Machine& m) const override { return m.draining && bindable(m); }
    bool bindable(const Machine& m) const;
    void bound(Job& job, int task) override;
    void stop(Slot& slot, Micros grace) override;
    Resources kept_from(const Job& job, const Machine& m) const override {
        return rebalancer_.kept_from(job, m);
    }
    bool keeps_for(const Job& job) const override { return rebalancer_.keeps_for(job); }
    const Machine* destination(const Job& job, int task) const override {
        return rebalancer_.destination(job, task);
    }

    bool lease_over(const Machine& m) const;
    /// Whether the job goes on.
    bool wanted(const std::string& ref) const {
        const Job* job = shard_state_.job(ref);
        return job && job->stage == Stage::Queued;
    }
    bool over_since(const Machine& m, Micros last) const;
    bool hears(const Machine& m, const Report& r) const;

    void register_incarnation(Machine& m, const Report& report, bool is_report);
    void suspect(Machine& m);
    void apply_heartbeat(Machine& m, const Report& report, bool is_report);
    void absent(Machine& m, Job& job, int task, const Report& report, bool is_report);
    void exited(Machine& m, Job& job, int task, ExitCause cause);
    void completed(Job& job, int task);
    void on_attempt_terminated(Job& job, int task, Micros retry_in);
    Micros failed(Machine& m, Job& job, Slot& slot);
    void on_first_success(Job& job);
    static void record_failure(Machine& m, const Job& job, Micros now);
    void void_machine(Machine& m, const char* why);
    static bool still_live(const Machine& m, const Slot& slot, const AttemptKey& key);
    static bool may_come(const Machine& m, const AttemptKey& key);
    recovery::Stored stored(const Job* job, const Slot* slot, const Machine& m, std::int64_t attempt) const;
    void show(Machine& m, Job& job, Slot& slot, Phase phase);
    int urgency(const Machine& m) const;

    /// A job as it begins here; `gate_ms`: when its gate opened, if its record tells.
    std::unique_ptr<Job> new_job(JobSpec spec, std::int64_t submitted_ms, std::optional<std::int64_t> gate_ms,
                                 const DependencyStatus& dependency_status);
    static void divide(Job& job, std::size_t part_tasks);
    void apply_dependency_status(Job& job, const DependencyStatus& dependency_status);
    void open_gate(Job& job);
    void set_rank(Job& job, PriorityClass rank);
    void mark_done(Job& job, int task);
    void set_idle(Job& job, Slot& slot);
    void cancel(Job& job);
    void settle_gang(Job& job);
    void drop_job(const std::string& ref);
    void not_admitted(Job& job, CommitStatus status);
    void take_heard(const std::string& ref);
    Micros gathers(const Job& job, bool binds) const;
    void given_away(Job& job);

    void plan();
    void drain_noticed(Machine& m);

    void touch(Job& job, std::size_t part);
    std::vector<Condition> unchanged_conditions(const Job& job) const;
    std::string key_of(const Job& job, std::size_t part) const;
    void drop_stale_records();
    void move_out_of_history();
    void flush_jobs();
    void write_part(Job& job, std::size_t part, Priority priority);
    void written(const std::string& ref, std::size_t part, const Json& value, bool final_record,
                 const std::vector<AttemptKey>& binding, const std::vector<int>& done, RecordLocation place,
                 const CommitResult& result);
    void reload(const std::string& ref, std::size_t part);
    void reload_later(const std::string& ref, std::size_t part);
    void read_record(const std::string& ref, std::size_t part,
                     std::function<void(const ReadResult&, RecordLocation, Revision legacy_revision)> done);
    void reloaded(const std::string& ref, std::size_t part, const ReadResult& r, RecordLocation place,
                  Revision legacy_revision);
    Json part_value(const Job& job, std::size_t part, bool final_record) const;
    void adopt_part(Job& job, std::size_t part, const Json& value, Revision mod_revision);

    std::vector<Order> orders_for(Machine& m, bool direct);
    void add_clears(Machine& m, std::vector<Order>& orders);
    bool may_clear(const Machine& m, const ReportedTask& t, std::size_t& uncleared) const;
    void add_stop(Slot& slot, const AttemptKey& key, bool direct, std::vector<Order>& orders);
    void add_launch(Machine& m, const Job& job, Slot& slot, const AttemptKey& key, bool direct,
                    std::vector<Order>& orders);
    bool probe_due(const Machine& m) const;
    void request_dispatch(Machine& m);
    void send_orders();
    void send_to(Machine& m);
    void not_sent(Machine& m, const std::set<AttemptKey>& launched);
    void unanswered(Machine& m, const std::set<AttemptKey>& launched, std::uint64_t token,
                    std::uint64_t session);
    void raise(Machine& m);

    ShardContext& context_;
    std::string shard_;
    Revision mod_revision_;
    Micros former_end_;
    Micros taken_at_;
    bool active_ = false;
    recovery::Startup startup_;
    ShardState shard_state_;
    Scheduler scheduler_;
    Rebalancer rebalancer_;
    CancellationTracker cancellations_;
    std::uint64_t next_serial_ = 1;
    std::set<std::string> dirty_;
    std::vector<Condition> stale_records_;  // records under c/active/ of jobs that are over, to be dropped
    Micros dropped_at_ = 0;
    Micros moved_at_ = 0;
    std::vector<std::string> dispatch_due_;  // machines to send orders to
    int direct_calls_ = 0;
    bool plan_due_ = true;
    bool flush_due_ = false;
    Micros planned_at_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// How many tasks fit into one stored part besides a description of `spec_bytes`.
std::size_t part_tasks_for(std::size_t value_bytes, std::size_t spec_bytes);

}  // namespace cottonway
