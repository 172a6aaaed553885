#pragma once
// Scheduler: who goes first, the five steps for each waiting task, and room made by preemption. It reads the
// shard's books, binds in them as it goes, and tells its holder what follows from that.

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
    /// What planning needs of the shard's holder.
    class Owner {
      public:
        virtual ~Owner() = default;
        /// Whether new tasks may be bound to it.
        virtual bool is_usable(const Machine& m) const = 0;
        /// Whether it could be, but is being emptied, since machines of its kind are too many on average.
        virtual bool is_usable_but_draining(const Machine& m) const = 0;
        /// A task has been bound in the books: its record is to be written.
        virtual void on_task_bound(Job& job, int task) = 0;
        /// Tells a task to stop, with that much time to save.
        virtual void stop(Slot& slot, Micros grace) = 0;
        /// Room of a machine that is kept for others than the job.
        virtual Resources resources_reserved_for_others(const Job& job, const Machine& m) const = 0;
        /// Whether room is kept for the job anywhere.
        virtual bool has_reservation(const Job& job) const = 0;
        /// Where a task that is being moved had better start, nullptr: anywhere.
        virtual const Machine* move_destination(const Job& job, int task) const = 0;
    };
    Scheduler(ShardContext& context, std::string shard, ShardState& shard_state, Owner& of);

    /// One pass over everything that waits.
    void run_pass();

    static bool is_allowed(const Job& job, const Machine& m);
    /// Within the shard's part of its team's limit.
    bool is_within_limit(const Job& job, int tasks) const;
    /// The same, less what is due to others of its team as of the last pass.
    bool is_within_quota(const Job& job, int tasks) const;
    /// Whether it waits for a machine that has its image rather than fetch it elsewhere.
    bool waits_for_image(const Job& job) const;
    /// What waits for a larger part of a team's limit, as of the last pass.
    const std::map<std::string, Resources>& quota_shortfalls() const { return quota_shortfalls_; }

  private:
    std::vector<Job*> queue(bool idle_turn);
    bool plan_job(Job& job);
    bool plan_gang(Job& job, const std::vector<Candidate>& candidates, const std::vector<Machine*>& machines);
    void bind(Job& job, int task, Machine& m, std::int64_t attempt);
    scheduling::Queued queued(const Job& job, std::size_t index) const;
    std::map<std::string, scheduling::TeamUse> team_uses() const;
    Resources used_with(const Job& job, int tasks) const;
    void miss_quota(const Job& job, int tasks);
    void free_limit(const Job& job);

    bool keeps_off(const Job& job, const Machine& m) const;
    void weigh_idle_room();
    static Micros idle_pause(const Job& job);
    bool wastes_work(const Job& job, Micros ran) const;
    static Micros fetch_time(const Job& job, const Machine& m);
    bool can_wait(const Job& job) const;

    void preempt(Job& job);
    struct Victim {
        Slot* slot;
        Job* job;
        double loss;
        Micros grace;
    };
    Victim victim(Slot& slot, Job& job, bool hurries) const;
    bool comes_back_first(const Job& job) const;
    std::optional<double> room_for(const Job& job, const Machine& m, bool may_waste, bool reclaims,
                                   bool hurries, std::vector<Victim>& taken) const;
    void evaluate_gpu_demand();
    void weigh_zones();
    policy::Tier tier(const Job& job) const;
    bool spares(const Job& job) const;
    bool leaves_reserve(const Job& job, const std::string& zone, int chosen = 0) const;
    /// Machines that are asked one part after another: those that are reached, those that only other
    /// controllers reach, and those that are being emptied.
    enum class Reach { Direct, Relayed, Surplus };
    std::vector<Candidate> candidates_for(const Job& job, Reach reach, std::vector<Machine*>& machines);
    bool takes_surplus(const Job& job) const;
    /// Whether a machine has a job's image, or at least fetches it.
    enum class Image { Any, Fetching, Ready };
    struct Part {
        Image image;
        bool spot;  // none but spot machines
        bool bare;  // none with GPUs
        std::vector<const Candidate*> candidates{};
        bool takes(const Candidate& c, const Machine& m) const;
    };
    std::vector<Part> parts_of(const Job& job, const std::vector<const Candidate*>& open,
                               const std::vector<Machine*>& machines, bool ready_only) const;
    std::ptrdiff_t place_for(const Job& job, const std::vector<Part>& parts);
    /// A job's rule for zones, nullptr if it has none, and then the zones that it could be placed in.
    struct Zoning {
        const policy::ZoneRule* rule = nullptr;
        std::vector<std::string> standing;
    };
    Zoning zoning_of(const Job& job) const;
    scheduling::ZoneChoice choose_zones(const Job& job, const Zoning& zoning,
                                        const std::map<std::string, int>& per_zone,
                                        const std::vector<std::string>* room = nullptr) const;
    std::vector<const Candidate*> open_in(const scheduling::ZoneChoice& choice, const Job& job,
                                          const std::map<std::string, int>& per_zone,
                                          std::vector<Candidate>& candidates,
                                          const std::vector<Machine*>& machines, bool apart) const;
    static int tasks_on(const Machine& m, const Job& job);
    static std::vector<std::string> zones_with_room(const Job& job, const std::vector<Candidate>& candidates,
                                                    const std::vector<Machine*>& machines, int machine_most);
    std::ptrdiff_t place_by_zone(const Job& job, const Zoning& zoning,
                                 const std::map<std::string, int>& per_zone,
                                 std::vector<Candidate>& candidates, const std::vector<Machine*>& machines,
                                 bool ready_only, bool give_way, const Machine* better);
    /// Index of the candidate that is the machine, if a task of the job fits there; -1: not.
    static std::ptrdiff_t at(const Machine* better, const Job& job, const std::vector<const Candidate*>& open,
                             const std::vector<Machine*>& machines);
    void book(Candidate& c, const Job& job) const;
    bool is_unschedulable(const Job& job) const;
    void remember_no_room(const Job& job, bool surplus);
    bool is_futile(const Job& job, bool may_waste, bool reclaims) const;
    /// The operators' aims for a class, the shortest first.
    struct Goals {
        std::vector<Micros> wait, finished;
    };
    const Goals& goals(const Job& job) const;
    /// Room that a task needs, and where.
    struct Room {
        bool spot;
        std::optional<std::string> zone;
        std::optional<std::vector<std::string>> types;
        Resources request;
        bool surplus = false;  // it was looked for on machines that are being emptied as well
        bool within(const JobSpec& s) const;
    };
    static Room room_of(const Job& job);

    ShardContext& context_;
    std::string shard_;
    ShardState& shard_state_;
    Owner& of_;
    std::map<std::string, Resources> quota_shortfalls_;
    std::vector<std::string> zones_;  // of the settings and of the shard's machines, in the current pass
    Micros preempted_at_ = 0;
    int preemptions_left_ = 0;
    RateBudget idle_starts_;  // starts of idle work, which must not take the time that others need
    Micros idle_planned_at_ = 0;
    Milli idle_room_ = 0;  // cores that idle work may still take in the current pass
    double peak_use_ = 0;  // of cores by other work, where idle work may run
    Micros peak_use_at_ = 0;
    std::ptrdiff_t spot_machines_ = 0;
    /// What GPUs are asked for, in the current pass; nothing unless the policy packs them and some machine
    /// has any.
    std::optional<scheduling::Shapes> shapes_;
    bool idle_bound_ = false;                      // something of idle rank is bound
    std::map<const Machine*, Resources> claimed_;  // room that waiting tasks will take, in the current pass
    struct Cores {
        Milli size = 0, free = 0;
    };
    std::map<std::string, Cores> zone_cores_;     // in the current pass, empty: nothing is kept for live work
    std::vector<Machine*> usable_;                // in the current pass, by name
    std::vector<Machine*> surplus_;               // the same, of those that are being emptied
    mutable std::map<std::string, Goals> goals_;  // by class, in the current pass
    /// What found no room in the current pass: whatever needs as much under the same constraints won't
    /// either.
    std::vector<Room> no_room_;
    /// What nothing could be stopped for in the current pass, and nothing has been stopped since.
    struct FutilePreemption {
        Room room;
        PriorityClass rank;
        bool may_waste;
        bool reclaims;
        std::string team;
    };
    std::vector<FutilePreemption> futile_preemptions_;
};

}  // namespace cottonway
