#pragma once
// Rebalancer: carries out a shard's plan of moves and gathered room (planning/moves.hpp). It looks at the
// shard once a second where the policy asks for moves, writes the plan ahead as c/plan/DOMAIN, and only then
// has tasks stopped. What its predecessor began it ends or takes back. It writes nothing while there is
// nothing to move.

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
               const ShardState& shard_state, Scheduler::Owner& of);
    ~Rebalancer();

    /// Reads what is stored. To be called once all of the shard is loaded.
    void load_stored_plan();
    /// What follows from time passing; called about ten times a second, once the shard is active.
    void tick();

    /// Room of a machine that is kept for others, as far as the job does not go before them.
    Resources resources_reserved_for_others(const Job& job, const Machine& m) const;
    /// Whether room is kept for the job anywhere.
    bool has_reservation(const Job& job) const;
    /// Where a task in a move had better start, nullptr: anywhere.
    const Machine* move_destination(const Job& job, int task) const;
    const scheduling::Plan& plan() const { return plan_; }

    /// The shard as it is now, with the room that the plan keeps.
    scheduling::View view() const;

  private:
    class Books;
    bool wanted() const;
    bool heard_all() const;
    void look_at_zones();
    void propose();
    void carry_on();
    void stop(const std::vector<scheduling::Move>& moves);
    bool may_stop(const scheduling::Move& move, const Job& job) const;
    bool others_run(const Job& job, int task) const;
    std::vector<std::string> troubled() const;

    void write();
    void written(const CommitResult& result, bool dropped);
    void read_again();

    ShardContext& context_;
    std::string shard_;
    Revision shard_revision_;
    const ShardState& shard_state_;
    Scheduler::Owner& of_;
    Micros since_;  // this process holds the shard
    scheduling::Plan plan_;
    scheduling::ZoneWatch zones_;
    Revision record_ = 0;  // mark of the record as we know it, 0: there is none
    Revision known_ = 0;   // up to which change of it we know all
    bool in_flight_ = false;
    bool unsure_ = false;  // the outcome of a write: nothing is stopped or written until it is read again
    Micros not_before_ = 0;
    Micros looked_at_ = 0;
    struct Moved {
        Micros last = 0;
        std::vector<Micros> mended;  // when one was moved into balance, the last ten minutes
    };
    std::map<std::string, Moved> moved_;  // by job
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cottonway
