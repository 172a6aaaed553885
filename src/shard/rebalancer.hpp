#pragma once
// Rebalancer: carries out a shard's plan of moves and capacity reservations (scheduling/migrations.hpp).
// Where the policy asks for moves, it evaluates the shard once a second, writes the plan ahead as
// c/plan/DOMAIN, and only then has tasks stopped. It completes or cancels what a former owner of the
// shard started. While there is nothing to move, it writes nothing.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/store_client.hpp"
#include "scheduling/migrations.hpp"
#include "scheduling/topology_spread.hpp"
#include "shard/scheduler.hpp"
#include "shard/shard_state.hpp"

namespace cottonway {

class ShardContext;

class Rebalancer {
  public:
    Rebalancer(ShardContext& context, std::string shard, Revision shard_revision,
               const ShardState& shard_state, Scheduler::Owner& owner);
    ~Rebalancer();

    /// Takes over the stored plan. To be called once all of the shard is loaded.
    void load_stored_plan();
    /// Performs periodic work; called about ten times a second, once the shard is active.
    void tick();

    /// Returns the machine's resources that are reserved for other jobs, except for jobs of a lower tier.
    Resources resources_reserved_for_others(const Job& job, const Machine& machine) const;
    /// Returns whether resources are reserved for the job on any machine.
    bool has_reservation(const Job& job) const;
    /// Returns the machine where a task that is being moved should start; nullptr: any machine will do.
    const Machine* move_destination(const Job& job, int task) const;
    const scheduling::MigrationPlan& plan() const { return plan_; }

    /// Returns a snapshot of the shard, with the resources that the plan reserves.
    scheduling::ShardView view() const;

  private:
    class ShardStateQuery;
    bool is_enabled_by_policy() const;
    bool have_all_machines_reported() const;
    void update_zone_stability();
    void propose_moves();
    void execute_plan();
    void stop_moving_tasks(const std::vector<scheduling::Move>& moves);
    bool may_begin(const scheduling::Move& move, const Job& job) const;
    bool are_other_tasks_running(const Job& job, int task) const;
    std::vector<std::string> unstable_zones() const;

    void write_plan();
    void on_plan_written(const CommitResult& result, bool deleted_record);
    void reread_plan();

    ShardContext& context_;
    std::string shard_;
    Revision shard_revision_;
    const ShardState& shard_state_;
    Scheduler::Owner& owner_;
    Micros owned_since_;  // when this process took the shard
    scheduling::MigrationPlan plan_;
    scheduling::ZoneMonitor zone_monitor_;
    Revision record_revision_ = 0;  // of the stored plan as last known, 0: there is none
    Revision known_revision_ = 0;   // up to which all changes of the stored plan are known
    bool write_in_flight_ = false;
    /// The outcome of a write is unknown: nothing is stopped or written until the plan has been read again.
    bool is_outcome_unknown_ = false;
    Micros write_not_before_ = 0;
    Micros evaluated_at_ = 0;
    struct MoveHistory {
        Micros last_move_at = 0;
        std::vector<Micros> balance_moves_at;  // within the last ten minutes
    };
    std::map<std::string, MoveHistory> move_history_;  // by job
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cottonway
