#include "allocation/autoscaler.hpp"

#include <algorithm>
#include <cmath>

#include "allocation/demand.hpp"
#include "allocation/machine_allocator.hpp"
#include "cluster/leader_election.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/shard_assignment.hpp"
#include "logging/log.hpp"
#include "scheduling/constraints.hpp"

namespace cottonway {

namespace {
constexpr Micros kListInterval = 4 * kSecond;
constexpr Micros kTypesFetchInterval = 60 * kSecond;
constexpr Micros kRetireIdleInterval = 2 * kSecond;
constexpr std::size_t kMaxDeletesPerRequest = 100;
constexpr int kMaxMachinesPerRental = 50;
constexpr std::size_t kMaxConcurrentRentals = 4;
constexpr Micros kOverdueBootFactor = 2;  // multiple of its type's boot time after which a machine is overdue
// How long beyond its lease a machine may be unreachable before it is retired. A dead machine is listed as
// failed before that; one that is only cut off comes back with its images.
constexpr Micros kUnreachableGrace = 90 * kSecond;
constexpr Micros kPeakHalfLife = 120 * kSecond;  // of a peak of demand
// The same for teams without a limit if operators have set no objective for cost: a machine that is returned
// and rented again has to boot and to fetch every image.
constexpr Micros kPeakHalfLifeWithoutCostObjective = 1200 * kSecond;
constexpr Micros kMeanTimeConstant = 60 * kSecond;
constexpr double kOrdinaryMargin = 1.1;
constexpr double kSpotEligibleMargin = 1.15;
constexpr Micros kUnschedulableCheckInterval = 2 * kSecond;
constexpr Micros kUnschedulableMinWait = 10 * kSecond;

/// Returns the amount from which a wanted amount was computed by adding a margin.
Milli without_margin(Milli wanted, double margin) {
    return static_cast<Milli>(static_cast<double>(wanted) / margin);
}

bool has_cost_objective(const Settings& settings) {
    return std::any_of(
        settings.objectives.begin(), settings.objectives.end(),
        [](const Objective& objective) { return objective.kind == "useful" || objective.kind == "price"; });
}

/// Returns how many tasks with this request fit on an empty machine.
int tasks_per_machine(const Resources& size, const Resources& request) {
    Milli tasks = kMaxMachinesPerRental * 1000;
    if (request.cores > 0) tasks = std::min(tasks, size.cores / request.cores);
    if (request.gpus > 0) tasks = std::min(tasks, size.gpus / request.gpus);
    if (request.ram > 0) tasks = std::min(tasks, size.ram / request.ram);
    return static_cast<int>(tasks);
}
}  // namespace

Autoscaler::Autoscaler(Runtime& runtime, const Settings& settings, StateCache& cache,
                       const ShardAssignment& assignment, const LeaderElection& election,
                       MachineAllocator& machine_allocator, const PeerDirectory& peers)
    : runtime_(runtime),
      settings_(settings),
      cache_(cache),
      assignment_(assignment),
      election_(election),
      machine_allocator_(machine_allocator),
      peers_(peers),
      budget_(settings.cloud_rps * 0.8, std::max(1.0, settings.cloud_rps)) {}

/// Sends a request to the cloud unless the rate budget, less `reserve` requests for more urgent calls, is
/// used up or the cloud has asked to back off. Returns false if it was not sent.
bool Autoscaler::call(Call call, double reserve, ReplyHandler done) {
    if (runtime_.now() < backoff_until_ || budget_.take(runtime_.now(), 1, reserve) > 0) return false;
    call.target = Target::Cloud;
    call.timeout = 4 * kSecond;
    runtime_.call(std::move(call), [this, done = std::move(done)](const Reply& reply) {
        if (reply.status == 429 || (reply.status == 503 && wire::text(reply.body, "error") != "no capacity"))
            backoff_until_ =
                runtime_.now() + kSecond + static_cast<Micros>(runtime_.random()() % 1000) * kMillisecond;
        done(reply);
    });
    return true;
}

void Autoscaler::tick() {
    const Micros now = runtime_.now();
    if (first_tick_at_ == 0) first_tick_at_ = now;
    const bool include_idle = now - idle_retired_at_ > kRetireIdleInterval;
    if (include_idle) idle_retired_at_ = now;
    for (const auto& [name, owner] : assignment_.owners()) {
        if (!owner || !owner->active()) continue;
        if (include_idle) drain_surplus(*owner);
        retire_machines(*owner, include_idle);
    }
    if (!election_.is_leader()) {
        was_leading_ = false;
        if (const auto balance = peers_.fleet_balance(); balance.term > 0)
            counted_ = {balance.ordinary, balance.total, now};
        return;
    }
    if (!was_leading_) {
        was_leading_ = true;
        inherited_ = counted_;
        leading_since_ = now;
        // Rental names contain the term, which is unique, so no name is ever used twice.
        term_ = election_.term();
        rentals_.clear();
        pending_instances_.clear();
        never_registered_.clear();
        first_listed_.clear();
        peak_ordinary_ = peak_unlimited_ordinary_ = peak_unlimited_spot_eligible_ = {};
        mean_spot_eligible_ = 0;
        evaluated_at_ = 0;
    }
    if (!listing_ && now - listed_at_ > kListInterval) {
        listed_at_ = now;
        current_list_.clear();
        list_machines("");
    }
    if (now - types_fetched_at_ > kTypesFetchInterval) {
        types_fetched_at_ = now;
        Call request;
        request.method = "GET";
        request.path = "/machine_types";
        call(std::move(request), 1, [this](const Reply& reply) {
            if (reply.status == 200) cache_.apply_machine_types(reply.body);
        });
    }
    evaluate_demand();
    log_balance();
    if (!election_.term_is_valid()) return;
    for (auto& [name, rental] : rentals_)
        if (!rental.in_flight && now >= rental.retry_at) send_rental(rental);
    delete_retired();
    rent();
}

// ---------------------------------------------------------------- listing machines

void Autoscaler::list_machines(const std::string& start_after) {
    listing_ = true;
    Call request;
    request.method = "GET";
    request.path =
        "/machines?" + (start_after.empty() ? std::string() : "since=" + start_after + "&") + "page=500";
    // The reserve keeps reading the list from delaying rentals and deletions.
    const bool sent =
        call(std::move(request), std::min(1.0, settings_.cloud_rps / 4), [this](const Reply& reply) {
            listing_ = false;
            auto page = reply.status == 200 ? wire::parse_machines(reply.body) : std::nullopt;
            if (!page || !election_.is_leader()) return;
            for (const auto& machine : page->machines) on_machine_listed(machine);
            if (page->has_more && !page->machines.empty()) return list_machines(page->machines.back().name);
            on_list_complete();
        });
    if (!sent)
        runtime_.after(200 * kMillisecond, [this, start_after] {
            if (!start_after.empty() && election_.is_leader()) return list_machines(start_after);
            listing_ = false;
        });
}

void Autoscaler::on_machine_listed(const CloudMachine& machine) {
    const Micros now = runtime_.now();
    current_list_.insert(machine.name);
    if (machine_allocator_.is_returned(machine.name)) return;  // the list is out of date
    first_listed_.try_emplace(machine.name, now);
    const bool leased = cache_.blocks.find_by_machine(machine.name) != nullptr;
    if (machine.state == CloudState::Failed) {
        if (leased)
            retire(machine.name, "the cloud lists it as failed");
        else
            never_registered_.emplace(machine.name, now);
        return;
    }
    if (leased) return;
    if (!pending_instances_.count(machine.name)) {
        // Rented in another term, or by a request that the cloud executed late.
        pending_instances_.emplace(
            machine.name, PendingInstance{machine.type, machine.zone, machine.spot, now - machine.age});
        spdlog::debug("machine {}: in the cloud's list, not leased yet", machine.name);
    }
    // A running machine with an address is leased at once, so that its first report finds its shard's holder.
    if (machine.state == CloudState::Running && !machine.address.empty() &&
        !never_registered_.count(machine.name))
        machine_allocator_.allocate({machine.name, machine.address, 0, false, false}, machine.type,
                                    machine.zone, machine.spot, nullptr);
    const MachineType* type = cache_.machine_types.find(machine.type);
    const Micros boot = type ? type->boot_duration : 60 * kSecond;
    // Far beyond its type's boot time the machine will hardly come up any more, but it is charged for.
    if (machine.state == CloudState::Starting && machine.age > 3 * boot + 30 * kSecond &&
        now - leading_since_ > 20 * kSecond) {
        spdlog::info("machine {}: has not finished booting in time, to be returned", machine.name);
        never_registered_.emplace(machine.name, now);
    }
}

/// Retires machines that are missing from the list. A listed machine stays listed until it is gone, and a
/// list is at most twice its lag old. So a machine that was first listed long before that and is missing now
/// is gone. Deleting it is harmless and confirms this, which proves that its tasks have ended, much sooner
/// than the end of their lease would.
void Autoscaler::on_list_complete() {
    const Micros now = runtime_.now();
    for (auto it = first_listed_.begin(); it != first_listed_.end();) {
        const std::string& name = it->first;
        if (current_list_.count(name) || now - it->second < max_list_delay()) {
            ++it;
            continue;
        }
        if (cache_.blocks.find_by_machine(name))
            retire(name, "it is no longer listed");
        else if (pending_instances_.erase(name) > 0)
            never_registered_.emplace(name, now);
        it = first_listed_.erase(it);
    }
}

/// Retires a machine of any shard, whichever node holds that shard. Called on the leader only.
void Autoscaler::retire(const std::string& machine, const char* reason) {
    const Block* block = cache_.blocks.find_by_machine(machine);
    if (!block) return;
    for (const auto& entry : block->machines)
        if (entry.name == machine && entry.retired) return;
    if (ShardOwner* owner = assignment_.find(block->shard)) return owner->retire(machine, reason);
    spdlog::info("machine {}: to be returned: {}", machine, reason);
    machine_allocator_.retire(machine);
}

bool Autoscaler::is_overdue(const PendingInstance& instance, const MachineType& type) const {
    return runtime_.now() - instance.rented_at >
           kOverdueBootFactor * type.boot_duration + settings_.cloud_list_lag;
}

void Autoscaler::evaluate_demand() {
    const Micros now = runtime_.now();
    const Settings& settings = settings_;
    std::erase_if(pending_instances_,
                  [&](const auto& entry) { return cache_.blocks.find_by_machine(entry.first) != nullptr; });
    balance_ = peer::FleetBalance{};
    balance_.term = election_.term();
    auto add = [&](Milli cores, bool spot) {
        balance_.total += cores;
        if (!spot) balance_.ordinary += cores;
    };
    for (const auto& [id, block] : cache_.blocks.all())
        if (const auto* type = cache_.machine_types.find(block.type))
            for (const auto& entry : block.machines)
                if (!entry.retired) add(type->size.cores, block.spot);
    for (const auto& [name, instance] : pending_instances_)
        if (const auto* type = cache_.machine_types.find(instance.type); type && !is_overdue(instance, *type))
            add(type->size.cores, instance.spot);
    for (const auto& [name, rental] : rentals_)
        if (const auto* type = cache_.machine_types.find(rental.type))
            add(type->size.cores * rental.count, rental.spot);
    // Machines that the former leader rented may be neither in a block nor listed yet. Their cores are
    // counted, so that they are not rented again.
    counted_ = {balance_.ordinary, balance_.total, now};
    if (inherited_.at > 0 && now - inherited_.at < max_list_delay()) {
        balance_.ordinary = std::max(balance_.ordinary, inherited_.ordinary);
        balance_.total = std::max(balance_.total, inherited_.total);
    }
    allocation::DemandEstimator estimator(settings.teams, cache_.machine_types.types());
    for (const auto& [ref, job] : cache_.jobs.live_jobs()) estimator.add(job);
    const allocation::Demand demand = estimator.total();
    const Milli spot = balance_.total - balance_.ordinary;
    const auto elapsed_us = static_cast<double>(evaluated_at_ > 0 ? now - evaluated_at_ : 0);
    evaluated_at_ = now;
    peak_ordinary_.update(demand.ordinary, elapsed_us, kPeakHalfLife);
    const Micros half_life = has_cost_objective(settings) ? kPeakHalfLife : kPeakHalfLifeWithoutCostObjective;
    peak_unlimited_ordinary_.update(demand.unlimited_ordinary, elapsed_us, half_life);
    peak_unlimited_spot_eligible_.update(demand.unlimited_spot_eligible, elapsed_us, half_life);
    // A new leader does not know the peaks before its term. If only demand bounds the fleet, it treats the
    // machines that exist as wanted until the list must be complete.
    if (now - leading_since_ < max_list_delay() && demand.limit == 0) {
        peak_unlimited_ordinary_.update(without_margin(balance_.ordinary, kOrdinaryMargin), elapsed_us,
                                        half_life);
        peak_unlimited_spot_eligible_.update(without_margin(spot, kSpotEligibleMargin), elapsed_us,
                                             half_life);
    }
    const double decay = elapsed_us > 0 ? std::exp(-elapsed_us / static_cast<double>(kMeanTimeConstant)) : 0;
    mean_spot_eligible_ =
        mean_spot_eligible_ * decay + static_cast<double>(demand.spot_eligible) * (1 - decay);
    // Spot machines are cheap, so the total covers everything that the teams' limits allow. Ordinary machines
    // cover the demand that may not use spot machines, whose peak decays slowly since those tasks must not
    // wait for a machine to boot, and the spot-eligible demand that spot machines don't cover. The latter can
    // wait a little, and a burst is over before machines have booted, so its mean counts. For teams without a
    // limit the total covers all of their demand plus a margin.
    const double uncovered = mean_spot_eligible_ * kSpotEligibleMargin - static_cast<double>(spot);
    const double unlimited_ordinary = peak_unlimited_ordinary_.value() * kOrdinaryMargin;
    const double unlimited = unlimited_ordinary + peak_unlimited_spot_eligible_.value() * kSpotEligibleMargin;
    const Milli max_total = demand.limit + static_cast<Milli>(unlimited);
    const double peak = peak_ordinary_.value();
    balance_.wanted_ordinary = std::min(
        max_total,
        static_cast<Milli>(std::max({peak * kOrdinaryMargin, peak + uncovered, unlimited_ordinary})));
    balance_.wanted_total = max_total;
}

/// Logs at most every ten seconds why machines are rented and returned.
void Autoscaler::log_balance() {
    const Micros now = runtime_.now();
    if (now - logged_at_ < 10 * kSecond) return;
    logged_at_ = now;
    spdlog::info("fleet: {} of {} wanted cores are rented, ordinary {} of {}; {} machines not leased yet",
                 balance_.total / 1000, balance_.wanted_total / 1000, balance_.ordinary / 1000,
                 balance_.wanted_ordinary / 1000, pending_instances_.size());
}

// ---------------------------------------------------------------- returning machines

/// Returns the shard's part of the fleet's surplus, in proportion to its part of the fleet's cores.
Autoscaler::Surplus Autoscaler::surplus_of(const ShardOwner& owner) const {
    const auto balance = peers_.fleet_balance();
    if (balance.term == 0 || balance.total <= 0) return {};
    const double fraction =
        static_cast<double>(cache_.capacity_of(owner.shard())) / static_cast<double>(balance.total);
    auto shard_part = [fraction](Milli surplus) {
        return static_cast<Milli>(static_cast<double>(std::max<Milli>(surplus, 0)) * std::min(fraction, 1.0));
    };
    Surplus surplus{shard_part(balance.ordinary - balance.wanted_ordinary),
                    shard_part(balance.total - balance.wanted_total)};
    // Unreachable machines don't count as surplus: their tasks will have to move to machines that are usable.
    for (const auto& [name, machine] : owner.machines()) {
        if (machine->retired || !machine->type ||
            owner.unreachable_for(*machine) <= owner.unreachable_limit())
            continue;
        surplus.total -= machine->type->size.cores;
        if (!machine->spot) surplus.ordinary -= machine->type->size.cores;
    }
    return surplus;
}

/// Drains surplus ordinary machines that run only batch tasks, the least used ones first.
void Autoscaler::drain_surplus(ShardOwner& owner) {
    Milli surplus = surplus_of(owner).ordinary;
    std::vector<const Machine*> candidates;
    for (const auto& [name, machine] : owner.machines())
        if (!machine->spot && !machine->retired && machine->type && owner.runs_only_spot_arrays(*machine))
            candidates.push_back(machine.get());
    std::stable_sort(candidates.begin(), candidates.end(), [](const Machine* a, const Machine* b) {
        return std::tuple(!a->draining, a->reserved.cores) < std::tuple(!b->draining, b->reserved.cores);
    });
    const bool settled = runtime_.now() - first_tick_at_ > settings_.operators.idle_return_delay;
    for (const Machine* machine : candidates) {
        const bool draining = settled && surplus >= machine->type->size.cores;
        if (draining) surplus -= machine->type->size.cores;
        owner.set_draining(machine->name, draining);
    }
}

/// Retires machines of a shard that are unreachable, reclaimed by the cloud or faulty, and with
/// `include_idle` surplus machines that have been idle for a while.
void Autoscaler::retire_machines(ShardOwner& owner, bool include_idle) {
    const Micros now = runtime_.now();
    const Settings& settings = settings_;
    Surplus surplus = include_idle ? surplus_of(owner) : Surplus{};
    for (const auto& [name, machine] : owner.machines()) {
        if (machine->retired || machine->retiring || machine->transferring) continue;
        const Micros silent = owner.silent_for(*machine);
        if (machine->tasks.empty() && now - first_tick_at_ > settings.worker_lease &&
            owner.unreachable_for(*machine) > settings.worker_lease + kUnreachableGrace) {
            owner.retire(name, machine->suspect ? "it does not receive answers" : "it does not report");
        } else if (machine->interruption_notice && now > machine->interruption_at + 2 * kSecond &&
                   silent > settings.report_interval * 5 / 4 + kSecond) {
            owner.retire(name, "the cloud has reclaimed it");
        } else if (machine->failing_jobs.size() >= 3 && machine->tasks.empty()) {
            owner.retire(name, "tasks of several jobs fail on it");
        } else if (include_idle && machine->tasks.empty() && machine->type &&
                   now - first_tick_at_ > settings.operators.idle_return_delay &&
                   runtime_.listening_time() - machine->idle_since > settings.operators.idle_return_delay) {
            const Milli cores = machine->type->size.cores;
            Milli& left = machine->spot ? surplus.total : surplus.ordinary;
            if (left < cores) continue;
            left -= cores;
            if (!machine->spot) surplus.total -= cores;
            owner.retire(name, "it is idle");
        }
    }
}

/// Deletes retired machines, and machines that never came up, at the cloud.
void Autoscaler::delete_retired() {
    if (deleting_) return;
    const Micros now = runtime_.now();
    std::vector<std::string> names;
    for (const auto& [id, block] : cache_.blocks.all())
        for (const auto& entry : block.machines)
            if (entry.retired && names.size() < kMaxDeletesPerRequest) names.push_back(entry.name);
    for (const auto& [name, since] : never_registered_)
        if (names.size() < kMaxDeletesPerRequest && !cache_.blocks.find_by_machine(name))
            names.push_back(name);
    std::erase_if(names, [&](const std::string& name) { return deleted_in_blocks_.count(name) > 0; });
    if (names.empty() || now < backoff_until_) return;
    Call request;
    request.method = "POST";
    request.path = "/machines/delete";
    request.body = wire::delete_request(names);
    deleting_ = call(std::move(request), 0, [this, names](const Reply& reply) {
        deleting_ = false;
        if (reply.status != 200) return;
        for (const auto& name : names) {
            machine_allocator_.on_machine_removed(name);
            never_registered_.erase(name);
            pending_instances_.erase(name);
            first_listed_.erase(name);
            if (cache_.blocks.find_by_machine(name)) deleted_in_blocks_.insert(name);
        }
        std::erase_if(deleted_in_blocks_,
                      [&](const std::string& name) { return !cache_.blocks.find_by_machine(name); });
        // No task can be running on them any more. As long as their block records list them, their tasks
        // count as possibly running.
        machine_allocator_.remove_from_blocks(names);
        spdlog::info("returned {} machines, starting with {}", names.size(), names.front());
    });
}

// ---------------------------------------------------------------- renting machines

/// Returns the shapes that are suitable and not refused or requested just now, the cheapest cores first, and
/// at the same price the zones with the fewest machines.
std::vector<Autoscaler::Offer> Autoscaler::offers(
    const std::function<bool(const MachineType&, const Shape&)>& is_suitable) const {
    const Micros now = runtime_.now();
    std::map<std::string, int> machines_per_zone;
    for (const auto& [id, block] : cache_.blocks.all())
        machines_per_zone[block.zone] += static_cast<int>(block.machines.size());
    for (const auto& [name, instance] : pending_instances_) ++machines_per_zone[instance.zone];
    std::vector<Offer> offers;
    for (const auto& type : cache_.machine_types.types())
        for (const auto& zone : type.zones)
            for (const bool spot : {false, true}) {
                const Shape shape{type.name, zone, spot};
                if (auto unavailable = unavailable_until_.find(shape);
                    unavailable != unavailable_until_.end() && now < unavailable->second)
                    continue;
                const bool requested = std::any_of(rentals_.begin(), rentals_.end(), [&](const auto& rental) {
                    return Shape{rental.second.type, rental.second.zone, rental.second.spot} == shape;
                });
                const double cores = static_cast<double>(type.size.cores) / 1000.0;
                if (cores <= 0 || requested || !is_suitable(type, shape)) continue;
                offers.push_back({(spot ? type.spot_price : type.price) / cores, machines_per_zone[zone],
                                  shape, type.size});
            }
    std::sort(offers.begin(), offers.end());
    return offers;
}

/// Finds a job that could not start even if the whole fleet were empty, because too few machines are of the
/// zone and types that it may use; the fleet's totals don't show this. Within its team's limit a job needs
/// room for all its tasks at once, an array for an eighth of those that remain. Of several such jobs, returns
/// the one that has waited longest.
std::optional<Autoscaler::UnschedulableJob> Autoscaler::find_unschedulable() const {
    std::map<Shape, int> machine_counts;
    for (const auto& [id, block] : cache_.blocks.all())
        for (const auto& entry : block.machines)
            machine_counts[{block.type, block.zone, block.spot}] += !entry.retired;
    for (const auto& [name, instance] : pending_instances_)
        ++machine_counts[{instance.type, instance.zone, instance.spot}];
    for (const auto& [name, rental] : rentals_)
        machine_counts[{rental.type, rental.zone, rental.spot}] += rental.count;
    std::map<std::string, const Team*> teams;
    for (const auto& team : settings_.teams) teams[team.name] = &team;
    const std::int64_t latest_ms = runtime_.wall_clock_ms() - kUnschedulableMinWait / kMillisecond;
    const LiveJob* longest_waiting = nullptr;
    UnschedulableJob unschedulable;
    for (const auto& [ref, job] : cache_.jobs.live_jobs()) {
        const bool waits =
            job.dependencies_met && !job.cancelled && !job.backing_off && job.done + job.running < job.tasks;
        const auto team = teams.find(job.team);
        if (!waits || job.eligible_since_ms > latest_ms || team == teams.end() ||
            !allocation::should_rent_for(*team->second, job.priority) ||
            (longest_waiting && longest_waiting->eligible_since_ms <= job.eligible_since_ms))
            continue;
        const Json* spec = wire::find(job.record, "d");
        if (!spec) continue;
        auto may_use = [&job = job](const Shape& shape) {
            return (!shape.spot || job.spot) && (!job.required_zone || *job.required_zone == shape.zone) &&
                   (!job.allowed_types || std::find(job.allowed_types->begin(), job.allowed_types->end(),
                                                    shape.type) != job.allowed_types->end());
        };
        const bool array = job.kind == JobKind::Array;
        int missing_tasks = array ? (job.tasks - job.done + 7) / 8 : job.tasks;
        if (job.request.cores > 0)
            missing_tasks = std::min<Milli>(missing_tasks, team->second->limit.cores / job.request.cores);
        for (const auto& [shape, count] : machine_counts)
            if (const auto* type = cache_.machine_types.find(shape.type);
                type && missing_tasks > 0 && may_use(shape))
                missing_tasks -= count * tasks_per_machine(type->size, job.request);
        if (missing_tasks <= 0) continue;
        auto parsed = wire::parse_job(*spec).spec;
        if (!parsed) continue;
        longest_waiting = &job;
        unschedulable = {std::move(*parsed), missing_tasks};
    }
    return longest_waiting ? std::optional(std::move(unschedulable)) : std::nullopt;
}

void Autoscaler::rent() {
    const Micros now = runtime_.now();
    if (now - leading_since_ < 3 * kSecond || now < backoff_until_ ||
        rentals_.size() >= kMaxConcurrentRentals)
        return;
    if (now - unschedulable_checked_at_ > kUnschedulableCheckInterval) {
        unschedulable_checked_at_ = now;
        if (const auto unschedulable = find_unschedulable()) {
            const auto suitable = offers([&](const MachineType& type, const Shape& shape) {
                return scheduling::can_use_machine(unschedulable->job, shape.type, shape.zone, shape.spot) &&
                       unschedulable->job.request.fits(type.size);
            });
            if (!suitable.empty()) {
                const Offer& offer = suitable.front();
                const int per_machine = tasks_per_machine(offer.size, unschedulable->job.request);
                spdlog::info("job {}: does not fit on the machines that it may use, even if they were empty",
                             unschedulable->job.ref);
                return start_rental(
                    offer.shape, std::clamp((unschedulable->missing_tasks + per_machine - 1) / per_machine, 1,
                                            kMaxMachinesPerRental));
            }
        }
    }
    // Spot machines are tried first; wanted_ordinary includes the demand that they can't cover.
    const bool need_ordinary =
        balance_.ordinary < balance_.wanted_ordinary && now - leading_since_ > 6 * kSecond;
    if (!need_ordinary && balance_.total >= balance_.wanted_total) return;
    const auto suitable =
        offers([&](const MachineType&, const Shape& shape) { return shape.spot != need_ordinary; });
    Milli missing_cores =
        need_ordinary ? balance_.wanted_ordinary - balance_.ordinary : balance_.wanted_total - balance_.total;
    for (std::size_t i = 0;
         i < suitable.size() && missing_cores > 0 && rentals_.size() < kMaxConcurrentRentals; ++i) {
        // The missing machines are divided evenly among the remaining offers of the same price, which are
        // in different zones.
        const auto same_price = std::count_if(
            suitable.begin() + static_cast<std::ptrdiff_t>(i), suitable.end(),
            [&](const Offer& offer) { return offer.price_per_core == suitable[i].price_per_core; });
        const auto missing_machines =
            static_cast<int>((missing_cores + suitable[i].size.cores - 1) / suitable[i].size.cores);
        const int count =
            std::clamp((missing_machines + static_cast<int>(same_price) - 1) / static_cast<int>(same_price),
                       1, kMaxMachinesPerRental);
        start_rental(suitable[i].shape, count);
        missing_cores -= suitable[i].size.cores * count;
    }
}

void Autoscaler::start_rental(const Shape& shape, int count) {
    Rental rental;
    rental.name = "r-" + std::to_string(term_) + "-" + std::to_string(++rental_counter_);
    rental.type = shape.type;
    rental.zone = shape.zone;
    rental.spot = shape.spot;
    rental.count = count;
    auto& stored = rentals_[rental.name] = rental;
    send_rental(stored);
}

void Autoscaler::send_rental(Rental& rental) {
    Call request;
    request.method = "POST";
    request.path = "/machines";
    request.body = wire::rent_request(rental.name, rental.type, rental.zone, rental.spot, rental.count);
    rental.in_flight = true;
    const bool sent = call(std::move(request), 0, [this, name = rental.name](const Reply& reply) {
        auto it = rentals_.find(name);
        if (it == rentals_.end()) return;
        Rental& answered = it->second;
        const Micros now = runtime_.now();
        const Shape shape{answered.type, answered.zone, answered.spot};
        answered.in_flight = false;
        auto machines = reply.status == 200 ? wire::parse_rented(reply.body) : std::nullopt;
        if (machines) {
            spdlog::info("rented {} of {} {} in {}{}", machines->size(), answered.count, answered.type,
                         answered.zone, answered.spot ? ", spot" : "");
            for (const auto& machine : *machines)
                if (!cache_.blocks.find_by_machine(machine))
                    pending_instances_.emplace(machine, PendingInstance{answered.type, answered.zone,
                                                                        answered.spot, runtime_.now()});
            if (static_cast<int>(machines->size()) < answered.count)
                unavailable_until_[shape] = now + 15 * kSecond;
            else
                refusals_[shape] = 0;
            rentals_.erase(it);
        } else if (reply.status == 503 && wire::text(reply.body, "error") == "no capacity") {
            const int refusals = std::min(++refusals_[shape], 3);
            unavailable_until_[shape] = now + (10 * kSecond << refusals);
            rentals_.erase(it);
        } else if (reply.status == 503 || reply.status == 429 || reply.status == 400) {
            if (reply.status == 400) unavailable_until_[shape] = now + 600 * kSecond;
            rentals_.erase(it);  // the cloud has not executed the request
        } else {
            // The cloud may have executed a request without an answer, so it is sent again under the same
            // name until it is answered.
            answered.retry_at = now + 2 * kSecond;
        }
    });
    if (!sent) {
        rental.in_flight = false;
        rental.retry_at = runtime_.now() + 500 * kMillisecond;
    }
}

Json Autoscaler::status() const {
    return {{"leading", was_leading_}, {"rentals", rentals_.size()}, {"booting", pending_instances_.size()}};
}

}  // namespace cottonway
