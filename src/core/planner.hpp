#pragma once
// Planner: who goes first, the five steps for each waiting task, and room made by preemption. It reads the
// domain's books, binds in them as it goes, and tells its holder what follows from that.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/ledger.hpp"
#include "core/placement.hpp"
#include "planning/priority.hpp"
#include "settings/settings.hpp"
#include "state/store.hpp"

namespace cottonway {

class OwnerContext;

class Planner {
  public:
    /// What planning needs of the domain's holder.
    class Domain {
      public:
        virtual ~Domain() = default;
        /// Whether new tasks may be bound to it.
        virtual bool usable(const Machine& m) const = 0;
        /// A task has been bound in the books: its record is to be written.
        virtual void bound(Job& job, int task) = 0;
        /// Tells a task to stop, with that much time to save.
        virtual void stop(Slot& slot, Micros grace) = 0;
    };
    Planner(OwnerContext& context, std::string domain, Ledger& ledger, Domain& of);

    /// One pass over everything that waits.
    void plan();

    static bool allowed(const Job& job, const Machine& m);
    /// Within the domain's part of its team's limit.
    bool limit_allows(const Job& job, int tasks) const;
    /// The same, less what is due to others of its team as of the last pass.
    bool quota_allows(const Job& job, int tasks) const;
    /// What waits for a larger part of a team's limit, as of the last pass.
    const std::map<std::string, Resources>& short_of_share() const { return short_of_share_; }

  private:
    std::vector<Job*> queue(bool idle_turn);
    bool plan_job(Job& job);
    bool plan_gang(Job& job, const std::vector<Candidate>& candidates, const std::vector<Machine*>& machines);
    void bind(Job& job, int task, Machine& m, std::int64_t attempt);
    planning::Queued queued(const Job& job, std::size_t index) const;
    std::map<std::string, planning::TeamUse> team_uses() const;
    Resources used_with(const Job& job, int tasks) const;
    void miss_share(const Job& job, int tasks);
    void free_limit(const Job& job);

    bool keeps_off(const Job& job, const Machine& m) const;
    void weigh_idle_room();
    static Micros idle_pause(const Job& job);
    bool spoils(const Job& job, Micros ran) const;
    static Micros fetch_time(const Job& job, const Machine& m);
    bool holds_out(const Job& job) const;
    bool can_be_late(const Job& job) const;

    void preempt(Job& job);
    struct Victim {
        Slot* slot;
        Job* job;
        double loss;
        Micros grace;
    };
    Victim victim(Slot& slot, Job& job, bool hurries) const;
    std::optional<double> room_for(const Job& job, const Machine& m, bool may_waste, bool reclaims,
                                   bool hurries, std::vector<Victim>& taken) const;
    std::vector<Candidate> candidates_for(const Job& job, bool relayed, std::vector<Machine*>& machines);
    std::ptrdiff_t place_for(const Job& job, const std::vector<Candidate>& open,
                             const std::vector<Machine*>& machines, bool ready_only);
    bool hopeless(const Job& job) const;
    void remember_no_room(const Job& job);

    OwnerContext& context_;
    std::string domain_;
    Ledger& ledger_;
    Domain& of_;
    std::map<std::string, Resources> short_of_share_;
    Micros preempted_at_ = 0;
    int preemptions_left_ = 0;
    RateBudget idle_starts_;  // starts of idle work, which must not take the time that others need
    Micros idle_planned_at_ = 0;
    Milli idle_room_ = 0;  // cores that idle work may still take in the current pass
    double peak_use_ = 0;  // of cores by other work, where idle work may run
    Micros peak_use_at_ = 0;
    std::ptrdiff_t spot_machines_ = 0;
    bool idle_bound_ = false;                      // something of idle rank is bound
    std::map<const Machine*, Resources> claimed_;  // room that waiting tasks will take, in the current pass
    /// What found no room in the current pass: whatever needs as much under the same constraints won't
    /// either.
    struct NoRoom {
        bool spot;
        std::optional<std::string> zone;
        std::optional<std::vector<std::string>> types;
        Resources need;
    };
    std::vector<NoRoom> no_room_;
};

}  // namespace cottonway
