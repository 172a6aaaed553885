#pragma once
// Scales the fleet: the leader lists the machines at the cloud, rents new ones and deletes those to be
// returned. Every holder of a shard picks its part of the surplus machines.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "allocation/demand.hpp"
#include "base/runtime.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

class ShardAssignment;
class LeaderElection;
class MachineAllocator;
class PeerDirectory;
class StateCache;

class Autoscaler {
  public:
    Autoscaler(Runtime& runtime, const Settings& settings, StateCache& cache,
               const ShardAssignment& assignment, const LeaderElection& election,
               MachineAllocator& machine_allocator, const PeerDirectory& peers);
    /// Called ten times a second by every controller. The leader calls the cloud; every holder retires its
    /// part of the surplus machines.
    void tick();
    Json status() const;
    Micros leading_since() const { return leading_since_; }
    /// Returns how many machines the cloud has listed, as far as the leader has read the list.
    std::size_t listed_machine_count() const { return first_listed_.size(); }
    const peer::FleetBalance& fleet_balance() const { return balance_; }

  private:
    /// A request to rent machines that the cloud has not answered yet.
    struct Rental {
        std::string name;
        std::string type;
        std::string zone;
        bool spot = false;
        int count = 0;
        bool in_flight = false;
        Micros retry_at = 0;
    };
    /// A machine that is rented and in no block yet.
    struct PendingInstance {
        std::string type;
        std::string zone;
        bool spot = false;
        Micros rented_at = 0;
    };
    struct Shape {
        std::string type;
        std::string zone;
        bool spot = false;
        auto operator<=>(const Shape&) const = default;
    };

    void evaluate_demand();
    /// Returns the longest time until the cloud's list shows a rented machine.
    Micros max_list_delay() const { return 3 * settings_.cloud_list_lag + 2 * kSecond; }
    /// Returns true if the machine has been booting for so long that it may never come up. It no longer
    /// counts as expected capacity then, so that waiting tasks get another machine. If it comes up after all,
    /// a surplus machine is returned as usual.
    bool is_overdue(const PendingInstance& instance, const MachineType& type) const;
    void log_balance();
    void list_machines(const std::string& start_after);
    void on_machine_listed(const CloudMachine& machine);
    void on_list_complete();
    void retire(const std::string& machine, const char* reason);
    void rent();
    /// A job that the machines it may use could not hold even if they were empty.
    struct UnschedulableJob {
        JobSpec job;
        int missing_tasks = 0;  // tasks that fit on no such machine
    };
    std::optional<UnschedulableJob> find_unschedulable() const;
    /// A shape that can be rented. The cheapest cores are ordered first.
    struct Offer {
        double price_per_core;
        int machines_in_zone;
        Shape shape;
        Resources size;
        bool operator<(const Offer& other) const {
            return std::tuple(price_per_core, machines_in_zone) <
                   std::tuple(other.price_per_core, other.machines_in_zone);
        }
    };
    std::vector<Offer> offers(const std::function<bool(const MachineType&, const Shape&)>& is_suitable) const;
    void start_rental(const Shape& shape, int count);
    void send_rental(Rental& rental);
    /// A holder's part of the surplus cores.
    struct Surplus {
        Milli ordinary = 0;
        Milli total = 0;
    };
    Surplus surplus_of(const ShardOwner& owner) const;
    void drain_surplus(ShardOwner& owner);
    void retire_machines(ShardOwner& owner, bool include_idle);
    void delete_retired();
    bool call(Call call, double reserve, ReplyHandler done);

    Runtime& runtime_;
    const Settings& settings_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    MachineAllocator& machine_allocator_;
    const PeerDirectory& peers_;
    RateBudget budget_;
    Micros backoff_until_ = 0;
    Micros listed_at_ = 0;
    Micros types_fetched_at_ = 0;
    bool listing_ = false;
    bool deleting_ = false;
    bool was_leading_ = false;
    Micros leading_since_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t rental_counter_ = 0;
    std::map<std::string, Rental> rentals_;
    std::map<std::string, PendingInstance> pending_instances_;
    std::map<Shape, Micros> unavailable_until_;       // when a shape that the cloud refused may be requested
    std::map<Shape, int> refusals_;                   // in a row
    std::set<std::string> deleted_in_blocks_;         // deleted machines that block records still list
    std::map<std::string, Micros> never_registered_;  // machines to delete that never reported
    peer::FleetBalance balance_;
    /// Cores that a leader has counted as rented, booting ones included.
    struct CountedCores {
        Milli ordinary = 0;
        Milli total = 0;
        Micros at = 0;
    };
    // The last count of the leader, whichever node it is; and on a new leader, the last count of the former
    // one, which is used while the cloud's list may be incomplete.
    CountedCores counted_, inherited_;
    std::map<std::string, Micros> first_listed_;
    std::set<std::string> current_list_;  // machines on the pages read so far
    Micros idle_retired_at_ = 0;
    Micros unschedulable_checked_at_ = 0;
    Micros first_tick_at_ = 0;
    allocation::DecayingPeak peak_ordinary_;
    allocation::DecayingPeak peak_unlimited_ordinary_;  // of teams without a limit
    allocation::DecayingPeak peak_unlimited_spot_eligible_;
    double mean_spot_eligible_ = 0;
    Micros evaluated_at_ = 0;
    Micros logged_at_ = 0;
};

}  // namespace cottonway
