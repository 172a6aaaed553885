#pragma once
// The leader's dealings with the cloud: which machines are there, which to rent and which to return.

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
    /// Called ten times a second by every controller. The leader deals with the cloud; every holder returns
    /// its part of what is too much.
    void tick();
    Json status() const;
    Micros leading_since() const { return leading_since_; }
    /// Machines that the cloud has listed, as far as the leader has read.
    std::size_t known() const { return first_listed_.size(); }
    const peer::FleetBalance& balance() const { return balance_; }

  private:
    struct Rental {
        std::string name;
        std::string type;
        std::string zone;
        bool spot = false;
        int count = 0;
        bool in_flight = false;
        Micros not_before = 0;
    };
    /// Rented and not reporting yet.
    struct PendingInstance {
        std::string type;
        std::string zone;
        bool spot = false;
        Micros since = 0;  // rented
    };
    struct Shape {
        std::string type;
        std::string zone;
        bool spot = false;
        auto operator<=>(const Shape&) const = default;
    };

    void evaluate_demand();
    /// How long it takes at most until the list tells of what has been rented.
    Micros listed_by() const { return 3 * settings_.cloud_list_lag + 2 * kSecond; }
    /// Whether it has taken so long that it may never come up: it is not counted as coming any more, so that
    /// work does not wait for it. Should it come, one too many is returned as usual.
    bool late(const PendingInstance& b, const MachineType& type) const;
    void log_balance();
    void list(const std::string& since);
    void on_listed(const CloudMachine& m);
    void list_complete();
    void retire(const std::string& machine, const char* why);
    void rent();
    /// Room for a job that the machines which it may use don't have, even if nothing were on them.
    struct UnschedulableJob {
        JobSpec job;
        int tasks = 0;  // that more machines are wanted for
    };
    std::optional<UnschedulableJob> find_unschedulable() const;
    /// What may be asked for, the cheapest core first.
    struct Offer {
        double price;
        int crowd;
        Shape shape;
        Resources size;
        bool operator<(const Offer& o) const {
            return std::tuple(price, crowd) < std::tuple(o.price, o.crowd);
        }
    };
    std::vector<Offer> offers(const std::function<bool(const MachineType&, const Shape&)>& suits) const;
    void order(const Shape& shape, int count);
    void send(Rental& rental);
    /// A holder's part of a surplus of cores.
    struct Surplus {
        Milli ordinary = 0;
        Milli total = 0;
    };
    Surplus surplus_of(const ShardOwner& owner) const;
    void drain(ShardOwner& owner);
    void reclaim(ShardOwner& owner, bool idle_too);
    void remove();
    bool call(Call call, double reserve, ReplyHandler done);

    Runtime& runtime_;
    const Settings& settings_;
    StateCache& cache_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    MachineAllocator& machine_allocator_;
    const PeerDirectory& peers_;
    RateBudget budget_;
    Micros pause_until_ = 0;
    Micros listed_at_ = 0;
    Micros types_at_ = 0;
    bool listing_ = false;
    bool deleting_ = false;
    bool was_leading_ = false;
    Micros leading_since_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t counter_ = 0;
    std::map<std::string, Rental> rentals_;
    std::map<std::string, PendingInstance> pending_instances_;
    std::map<Shape, Micros> refused_until_;
    std::map<Shape, int> refusals_;
    std::set<std::string> forgetting_;                // deleted, their records still list them
    std::map<std::string, Micros> never_registered_;  // never reported: to be deleted
    peer::FleetBalance balance_;
    /// Cores that the leader, whoever it is, has last counted as there or coming; and, for a new one, what
    /// the one before counted, for as long as the list may not tell of it yet.
    struct Counted {
        Milli ordinary = 0;
        Milli total = 0;
        Micros at = 0;
    };
    Counted counted_, inherited_;
    std::map<std::string, Micros> first_listed_;
    std::set<std::string> listing_now_;
    Micros reclaimed_at_ = 0;
    Micros looked_for_left_out_ = 0;
    Micros holding_since_ = 0;
    allocation::DecayingPeak peak_ordinary_;
    allocation::DecayingPeak peak_unlimited_ordinary_;  // of teams without a limit
    allocation::DecayingPeak peak_unlimited_flexible_;
    double mean_flexible_ = 0;
    Micros weighed_at_ = 0;
    Micros logged_at_ = 0;
};

}  // namespace cottonway
