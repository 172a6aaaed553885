#pragma once
// Scheduler: the order in which waiting jobs are placed, the five placement steps for each waiting task, and
// preemption. It reads the shard's state, binds tasks in it, and notifies the shard's owner of each bind and
// of each task to stop.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "kvstore/store_client.hpp"
#include "scheduling/gpu_packing.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/queue_order.hpp"
#include "scheduling/topology_spread.hpp"
#include "shard/shard_state.hpp"

namespace cottonway {

class ShardContext;

class Scheduler {
  public:
    /// The interface through which the scheduler uses the shard's owner.
    class Owner {
      public:
        virtual ~Owner() = default;
        /// Returns whether new tasks may be bound to the machine.
        virtual bool is_usable(const Machine& machine) const = 0;
        /// Returns whether the machine could be bound to if it were not being drained, which happens while
        /// the fleet has on average more machines of its kind than it needs.
        virtual bool is_usable_but_draining(const Machine& machine) const = 0;
        /// Called when a task has been bound in the shard's state: its record has to be written.
        virtual void on_task_bound(Job& job, int task) = 0;
        /// Stops a task and gives it the time `grace` to save.
        virtual void stop(Slot& slot, Micros grace) = 0;
        /// Returns the machine's resources that are reserved for jobs other than this one.
        virtual Resources resources_reserved_for_others(const Job& job, const Machine& machine) const = 0;
        /// Returns whether resources are reserved for the job on any machine.
        virtual bool has_reservation(const Job& job) const = 0;
        /// Returns the machine where a task that is being moved should start; nullptr: any machine will do.
        virtual const Machine* move_destination(const Job& job, int task) const = 0;
    };
    Scheduler(ShardContext& context, std::string shard, ShardState& shard_state, Owner& owner);

    /// Runs one scheduling pass over all waiting jobs.
    void run_pass();

    /// Returns whether the job's own constraints allow the machine.
    static bool is_allowed(const Job& job, const Machine& machine);
    /// Returns whether `tasks` more tasks of the job fit into the shard's share of the team's limit.
    bool is_within_limit(const Job& job, int tasks) const;
    /// Returns whether `tasks` more tasks of the job fit into that share, less the part that the last pass
    /// found to be due to other jobs of the team.
    bool is_within_quota(const Job& job, int tasks) const;
    /// Returns whether the job waits for a machine that has its image instead of fetching it on another one.
    bool waits_for_image(const Job& job) const;
    /// Returns, by team, the resources of the tasks that waited in the last pass for a larger share of the
    /// team's limit.
    const std::map<std::string, Resources>& quota_shortfalls() const { return quota_shortfalls_; }

  private:
    std::vector<Job*> eligible_jobs(bool is_best_effort_due);
    bool place_job(Job& job);
    bool place_gang(Job& job, const std::vector<Candidate>& candidates,
                    const std::vector<Machine*>& machines);
    void bind(Job& job, int task, Machine& machine, std::int64_t attempt);
    scheduling::QueuedJob queued_job(const Job& job, std::size_t index) const;
    std::map<std::string, scheduling::TeamUsage> usage_by_team() const;
    Resources usage_with(const Job& job, int tasks) const;
    void record_quota_shortfall(const Job& job, int tasks);
    void preempt_within_team_limit(const Job& job);

    bool avoids(const Job& job, const Machine& machine) const;
    void update_best_effort_cores();
    static Micros best_effort_interval(const Job& job);
    bool stop_misses_objective(const Job& job, Micros ran) const;
    static Micros image_fetch_time(const Job& job, const Machine& machine);
    bool can_wait(const Job& job) const;

    void preempt(Job& job);
    struct Victim {
        Slot* slot;
        Job* job;
        double loss;
        Micros grace;
    };
    Victim evaluate_victim(Slot& slot, Job& job, bool stop_at_once) const;
    bool would_be_overdue_again(const Job& job) const;
    std::optional<double> preemption_loss(const Job& job, const Machine& machine, bool may_discard_work,
                                          bool reclaims_guarantee, bool stop_at_once,
                                          std::vector<Victim>& chosen) const;
    void update_gpu_demand();
    void update_zone_cores();
    policy::Tier tier(const Job& job) const;
    bool must_leave_reserve(const Job& job) const;
    bool leaves_reserve(const Job& job, const std::string& zone, int unbound_in_zone = 0) const;
    /// Machines in the order in which they are tried: those that this controller reaches, those that only
    /// other controllers reach, and those that are being drained.
    enum class MachineGroup { Direct, Relayed, Draining };
    std::vector<Candidate> candidates_for(const Job& job, MachineGroup group,
                                          std::vector<Machine*>& machines);
    bool may_use_draining_machines(const Job& job) const;
    /// The state that a job's image must have on a machine: any, at least being fetched, or ready.
    enum class ImageRequirement { Any, Fetching, Ready };
    struct CandidateGroup {
        ImageRequirement image;
        bool spot_only;
        bool without_gpus_only;
        std::vector<const Candidate*> candidates{};
        bool accepts(const Candidate& candidate, const Machine& machine) const;
    };
    std::vector<CandidateGroup> group_candidates(const Job& job,
                                                 const std::vector<const Candidate*>& eligible,
                                                 const std::vector<Machine*>& machines,
                                                 bool image_ready_only) const;
    std::ptrdiff_t place_in_groups(const Job& job, const std::vector<CandidateGroup>& groups);
    /// A job's zone rule, nullptr if it has none, and with a rule the zones that the job could be placed in.
    struct ZoneConstraints {
        const policy::ZoneRule* rule = nullptr;
        std::vector<std::string> usable_zones;
    };
    ZoneConstraints zone_constraints(const Job& job) const;
    scheduling::ZoneChoice choose_zones(const Job& job, const ZoneConstraints& constraints,
                                        const std::map<std::string, int>& tasks_by_zone,
                                        const std::vector<std::string>* zones_with_capacity = nullptr) const;
    std::vector<const Candidate*> eligible_candidates(const scheduling::ZoneChoice& choice, const Job& job,
                                                      const std::map<std::string, int>& tasks_by_zone,
                                                      std::vector<Candidate>& candidates,
                                                      const std::vector<Machine*>& machines,
                                                      bool limit_per_machine) const;
    static int tasks_on(const Machine& machine, const Job& job);
    static std::vector<std::string> find_zones_with_capacity(const Job& job,
                                                             const std::vector<Candidate>& candidates,
                                                             const std::vector<Machine*>& machines,
                                                             int max_tasks_per_machine);
    std::ptrdiff_t place_by_zone(const Job& job, const ZoneConstraints& constraints,
                                 const std::map<std::string, int>& tasks_by_zone,
                                 std::vector<Candidate>& candidates, const std::vector<Machine*>& machines,
                                 bool image_ready_only, bool may_relax_rule, const Machine* preferred);
    /// Returns the index of the candidate that is the preferred machine if a task of the job fits there, else
    /// -1.
    static std::ptrdiff_t index_of_preferred(const Machine* preferred, const Job& job,
                                             const std::vector<const Candidate*>& eligible,
                                             const std::vector<Machine*>& machines);
    void add_task(Candidate& candidate, const Job& job) const;
    bool is_unschedulable(const Job& job) const;
    void remember_unschedulable(const Job& job, bool includes_draining);
    bool is_preemption_futile(const Job& job, bool may_discard_work, bool reclaims_guarantee) const;
    /// The operators' objectives for a job class, the shortest first.
    struct Objectives {
        std::vector<Micros> wait, finished;
    };
    const Objectives& objectives(const Job& job) const;
    /// The resources that a task needs and the machines that it may use.
    struct Requirement {
        bool spot;
        std::optional<std::string> zone;
        std::optional<std::vector<std::string>> types;
        Resources request;
        bool includes_draining = false;  // draining machines were searched as well
        bool is_at_most(const JobSpec& spec) const;
    };
    static Requirement requirement_of(const Job& job);

    ShardContext& context_;
    std::string shard_;
    ShardState& shard_state_;
    Owner& owner_;
    std::map<std::string, Resources> quota_shortfalls_;
    std::vector<std::string> all_zones_;  // of the settings and of the shard's machines, in the current pass
    Micros last_preemption_pass_at_ = 0;
    int preemptions_left_ = 0;
    RateBudget best_effort_start_budget_;  // leaves enough of the process's CPU time for other work
    Micros best_effort_scheduled_at_ = 0;
    Milli best_effort_cores_ = 0;  // that best-effort work may still take in the current pass
    double peak_used_cores_ = 0;   // by other work, on machines that best-effort work may use
    Micros peak_updated_at_ = 0;
    std::ptrdiff_t spot_machine_count_ = 0;
    /// The GPU counts that tasks ask for, in the current pass; nothing unless the policy packs GPUs and some
    /// machine has any.
    std::optional<scheduling::GpuDemand> gpu_demand_;
    bool has_bound_low_rank_ = false;              // a task of low rank is bound
    std::map<const Machine*, Resources> claimed_;  // by waiting tasks, in the current pass
    struct ZoneCores {
        Milli total = 0, free = 0;
    };
    std::map<std::string, ZoneCores> zone_cores_;  // in the current pass; empty: there is no live reserve
    std::vector<Machine*> usable_machines_;        // in the current pass, by name
    std::vector<Machine*> draining_machines_;      // usable but for being drained, in the current pass
    mutable std::map<std::string, Objectives> objectives_by_class_;  // in the current pass
    /// Requirements for which the current pass found no machine: a task with the same constraints that needs
    /// as much won't find one either.
    std::vector<Requirement> unschedulable_;
    /// A requirement for which the current pass found nothing to preempt. All are dropped once something has
    /// been stopped.
    struct FutilePreemption {
        Requirement requirement;
        PriorityClass rank;
        bool may_discard_work;
        bool reclaims_guarantee;
        std::string team;
    };
    std::vector<FutilePreemption> futile_preemptions_;
};

}  // namespace cottonway
