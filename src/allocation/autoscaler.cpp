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
constexpr Micros kListEvery = 4 * kSecond;
constexpr Micros kTypesEvery = 60 * kSecond;
constexpr Micros kReclaimEvery = 2 * kSecond;
constexpr std::size_t kMaxDelete = 100;
constexpr int kMaxAtOnce = 50;
constexpr std::size_t kMaxRentals = 4;
// A dead machine is listed as failed before this; one that is only cut off comes back, with its images.
constexpr Micros kLateBoots = 2;  // times its type's, from when on a machine may never come up
constexpr Micros kSilent = 90 * kSecond;
constexpr Micros kForget = 120 * kSecond;  // a peak of demand halves in this time
// The same for teams without a limit where operators have no objective about cost: a machine that is returned
// and rented again costs its boot and the fetch of every image.
constexpr Micros kForgetWithoutCostObjective = 1200 * kSecond;
constexpr Micros kAverage = 60 * kSecond;
constexpr double kOrdinaryMargin = 1.1;
constexpr double kMargin = 1.15;
constexpr Micros kLeftOutEvery = 2 * kSecond;
constexpr Micros kLeftOutAfter = 10 * kSecond;

/// What a wanted amount was before a margin was put on it.
Milli unmargined(Milli wanted, double margin) {
    return static_cast<Milli>(static_cast<double>(wanted) / margin);
}

bool has_cost_objective(const Settings& settings) {
    return std::any_of(settings.objectives.begin(), settings.objectives.end(),
                       [](const Objective& o) { return o.kind == "useful" || o.kind == "price"; });
}

/// Of a job's tasks, on an empty machine.
int tasks_on(const Resources& size, const Resources& need) {
    Milli n = kMaxAtOnce * 1000;
    if (need.cores > 0) n = std::min(n, size.cores / need.cores);
    if (need.gpus > 0) n = std::min(n, size.gpus / need.gpus);
    if (need.ram > 0) n = std::min(n, size.ram / need.ram);
    return static_cast<int>(n);
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

/// `reserve` requests are left over for what is more urgent.
bool Autoscaler::call(Call c, double reserve, ReplyHandler done) {
    if (runtime_.now() < pause_until_ || budget_.take(runtime_.now(), 1, reserve) > 0) return false;
    c.target = Target::Cloud;
    c.timeout = 4 * kSecond;
    runtime_.call(std::move(c), [this, done = std::move(done)](const Reply& r) {
        if (r.status == 429 || (r.status == 503 && wire::text(r.body, "error") != "no capacity"))
            pause_until_ =
                runtime_.now() + kSecond + static_cast<Micros>(runtime_.random()() % 1000) * kMillisecond;
        done(r);
    });
    return true;
}

void Autoscaler::tick() {
    const Micros now = runtime_.now();
    if (holding_since_ == 0) holding_since_ = now;
    const bool reclaims = now - reclaimed_at_ > kReclaimEvery;
    if (reclaims) reclaimed_at_ = now;
    for (const auto& [name, owner] : assignment_.all()) {
        if (!owner || !owner->active()) continue;
        if (reclaims) drain(*owner);
        reclaim(*owner, reclaims);
    }
    if (!election_.leading()) {
        was_leading_ = false;
        if (const auto told = peers_.balance(); told.term > 0) counted_ = {told.ordinary, told.total, now};
        return;
    }
    if (!was_leading_) {
        was_leading_ = true;
        inherited_ = counted_;
        leading_since_ = now;
        // Rental names hold the mark of the leader's term, which no other term shares, so none is ever used
        // twice.
        term_ = election_.term();
        rentals_.clear();
        pending_instances_.clear();
        never_registered_.clear();
        first_listed_.clear();
        peak_ordinary_ = peak_unlimited_ordinary_ = peak_unlimited_flexible_ = {};
        mean_flexible_ = 0;
        weighed_at_ = 0;
    }
    if (!listing_ && now - listed_at_ > kListEvery) {
        listed_at_ = now;
        listing_now_.clear();
        list("");
    }
    if (now - types_at_ > kTypesEvery) {
        types_at_ = now;
        Call c;
        c.method = "GET";
        c.path = "/machine_types";
        call(std::move(c), 1, [this](const Reply& r) {
            if (r.status == 200) cache_.learn(r.body);
        });
    }
    evaluate_demand();
    log_balance();
    if (!election_.term_is_valid()) return;
    for (auto& [name, rental] : rentals_)
        if (!rental.in_flight && now >= rental.not_before) send(rental);
    remove();
    rent();
}

// ---------------------------------------------------------------- what is there

void Autoscaler::list(const std::string& since) {
    listing_ = true;
    Call c;
    c.method = "GET";
    c.path = "/machines?" + (since.empty() ? std::string() : "since=" + since + "&") + "page=500";
    // Reading the list must not keep rentals and deletions waiting.
    const bool sent = call(std::move(c), std::min(1.0, settings_.cloud_rps / 4), [this](const Reply& r) {
        listing_ = false;
        auto page = r.status == 200 ? wire::parse_machines(r.body) : std::nullopt;
        if (!page || !election_.leading()) return;
        for (const auto& m : page->machines) on_listed(m);
        if (page->has_more && !page->machines.empty()) return list(page->machines.back().name);
        list_complete();
    });
    if (!sent)
        runtime_.after(200 * kMillisecond, [this, since] {
            if (!since.empty() && election_.leading()) return list(since);
            listing_ = false;
        });
}

void Autoscaler::on_listed(const CloudMachine& m) {
    const Micros now = runtime_.now();
    listing_now_.insert(m.name);
    if (machine_allocator_.returned(m.name)) return;  // the list is late
    first_listed_.try_emplace(m.name, now);
    const bool leased = cache_.blocks.of(m.name) != nullptr;
    if (m.state == CloudState::Failed) {
        if (leased)
            retire(m.name, "it has failed");
        else
            never_registered_.emplace(m.name, now);
        return;
    }
    if (leased) return;
    if (!pending_instances_.count(m.name)) {
        // Rented by another term, or by a request that was carried out late.
        pending_instances_.emplace(m.name, PendingInstance{m.type, m.zone, m.spot, now - m.age});
        spdlog::debug("machine {}: in the cloud's list, not leased yet", m.name);
    }
    // Up and with an address: leased at once, so that its first report finds its holder.
    if (m.state == CloudState::Running && !m.address.empty() && !never_registered_.count(m.name))
        machine_allocator_.allocate({m.name, m.address, 0, false, false}, m.type, m.zone, m.spot, nullptr);
    const MachineType* type = cache_.types.find(m.type);
    const Micros boot = type ? type->boot_duration : 60 * kSecond;
    // Far beyond its type's time: it will hardly come up, and it is charged all the while.
    if (m.state == CloudState::Starting && m.age > 3 * boot + 30 * kSecond &&
        now - leading_since_ > 20 * kSecond) {
        spdlog::info("machine {}: has not come up, to be returned", m.name);
        never_registered_.emplace(m.name, now);
    }
}

/// A machine that was listed stays listed until it is gone. A list may be as old as twice its lag, so what
/// was first listed long before that and is missing now is gone: its deletion, which does no harm, proves it,
/// and ends the doubt about its tasks much sooner than their lease would.
void Autoscaler::list_complete() {
    const Micros now = runtime_.now();
    for (auto it = first_listed_.begin(); it != first_listed_.end();) {
        const std::string& name = it->first;
        if (listing_now_.count(name) || now - it->second < listed_by()) {
            ++it;
            continue;
        }
        if (cache_.blocks.of(name))
            retire(name, "it is no longer listed");
        else if (pending_instances_.erase(name) > 0)
            never_registered_.emplace(name, now);
        it = first_listed_.erase(it);
    }
}

/// By the leader, whoever holds the machine.
void Autoscaler::retire(const std::string& machine, const char* why) {
    const Block* block = cache_.blocks.of(machine);
    if (!block) return;
    for (const auto& m : block->machines)
        if (m.name == machine && m.retired) return;
    if (ShardOwner* owner = assignment_.find(block->shard)) return owner->retire(machine, why);
    spdlog::info("machine {}: to be returned: {}", machine, why);
    machine_allocator_.retire(machine);
}

bool Autoscaler::late(const PendingInstance& b, const MachineType& type) const {
    return runtime_.now() - b.since > kLateBoots * type.boot_duration + settings_.cloud_list_lag;
}

void Autoscaler::evaluate_demand() {
    const Micros now = runtime_.now();
    const Settings& s = settings_;
    std::erase_if(pending_instances_, [&](const auto& b) { return cache_.blocks.of(b.first) != nullptr; });
    balance_ = peer::FleetBalance{};
    balance_.term = election_.term();
    auto add = [&](Milli cores, bool spot) {
        balance_.total += cores;
        if (!spot) balance_.ordinary += cores;
    };
    for (const auto& [id, block] : cache_.blocks.all())
        if (const auto* type = cache_.types.find(block.type))
            for (const auto& m : block.machines)
                if (!m.retired) add(type->size.cores, block.spot);
    for (const auto& [name, b] : pending_instances_)
        if (const auto* type = cache_.types.find(b.type); type && !late(b, *type))
            add(type->size.cores, b.spot);
    for (const auto& [name, r] : rentals_)
        if (const auto* type = cache_.types.find(r.type)) add(type->size.cores * r.count, r.spot);
    // What the leader before has rented may be neither up nor listed yet: it must not be rented again.
    counted_ = {balance_.ordinary, balance_.total, now};
    if (inherited_.at > 0 && now - inherited_.at < listed_by()) {
        balance_.ordinary = std::max(balance_.ordinary, inherited_.ordinary);
        balance_.total = std::max(balance_.total, inherited_.total);
    }
    allocation::DemandEstimator estimator(s.teams, cache_.types.types());
    for (const auto& [ref, job] : cache_.jobs.live()) estimator.add(job);
    const allocation::Demand demand = estimator.total();
    const Milli spot = balance_.total - balance_.ordinary;
    const auto passed = static_cast<double>(weighed_at_ > 0 ? now - weighed_at_ : 0);
    weighed_at_ = now;
    peak_ordinary_.update(demand.ordinary, passed, kForget);
    const Micros half_life = has_cost_objective(s) ? kForget : kForgetWithoutCostObjective;
    peak_unlimited_ordinary_.update(demand.unlimited_ordinary, passed, half_life);
    peak_unlimited_flexible_.update(demand.unlimited_flexible, passed, half_life);
    // A new leader does not know the peaks before its term: where nothing but demand limits the fleet, it
    // takes what is there for wanted, until the list can tell of all of it.
    if (now - leading_since_ < listed_by() && demand.limit == 0) {
        peak_unlimited_ordinary_.update(unmargined(balance_.ordinary, kOrdinaryMargin), passed, half_life);
        peak_unlimited_flexible_.update(unmargined(spot, kMargin), passed, half_life);
    }
    const double weight = passed > 0 ? std::exp(-passed / static_cast<double>(kAverage)) : 0;
    mean_flexible_ = mean_flexible_ * weight + static_cast<double>(demand.flexible) * (1 - weight);
    // Spot machines are cheap: all that the teams may use. Ordinary ones: what work needs that may not use
    // spot, whose peak is forgotten slowly since it must not wait for a machine to boot; and what spot
    // machines don't cover of the rest. That can wait a little, and a burst is over before machines are up,
    // so its average counts. A team without a limit may use all that its work needs, and a margin.
    const double rest = mean_flexible_ * kMargin - static_cast<double>(spot);
    const double unlimited_ordinary = peak_unlimited_ordinary_.value() * kOrdinaryMargin;
    const double unlimited = unlimited_ordinary + peak_unlimited_flexible_.value() * kMargin;
    const Milli most = demand.limit + static_cast<Milli>(unlimited);
    const double peak = peak_ordinary_.value();
    balance_.wanted_ordinary = std::min(
        most, static_cast<Milli>(std::max({peak * kOrdinaryMargin, peak + rest, unlimited_ordinary})));
    balance_.wanted_total = most;
}

/// At most every ten seconds, so that the log shows why machines come and go.
void Autoscaler::log_balance() {
    const Micros now = runtime_.now();
    if (now - logged_at_ < 10 * kSecond) return;
    logged_at_ = now;
    spdlog::info(
        "fleet: {} of {} cores wanted are there or coming, ordinary {} of {}; {} machines not leased yet",
        balance_.total / 1000, balance_.wanted_total / 1000, balance_.ordinary / 1000,
        balance_.wanted_ordinary / 1000, pending_instances_.size());
}

// ---------------------------------------------------------------- returning

/// What is too much in all, by the shard's part of the machines.
Autoscaler::Surplus Autoscaler::surplus_of(const ShardOwner& owner) const {
    const auto balance = peers_.balance();
    if (balance.term == 0 || balance.total <= 0) return {};
    const double part =
        static_cast<double>(cache_.capacity_of(owner.shard())) / static_cast<double>(balance.total);
    auto ours = [part](Milli surplus) {
        return static_cast<Milli>(static_cast<double>(std::max<Milli>(surplus, 0)) * std::min(part, 1.0));
    };
    Surplus surplus{ours(balance.ordinary - balance.wanted_ordinary),
                    ours(balance.total - balance.wanted_total)};
    // What is of no use now is no reason to return what is, to which its work will have to go.
    for (const auto& [name, m] : owner.machines()) {
        if (m->retired || !m->type || owner.unreachable_for(*m) <= owner.patience()) continue;
        surplus.total -= m->type->size.cores;
        if (!m->spot) surplus.ordinary -= m->type->size.cores;
    }
    return surplus;
}

/// Surplus ordinary machines that batch work keeps busy are emptied, the least used ones first.
void Autoscaler::drain(ShardOwner& owner) {
    Milli surplus = surplus_of(owner).ordinary;
    std::vector<const Machine*> busy;
    for (const auto& [name, m] : owner.machines())
        if (!m->spot && !m->retired && m->type && owner.passing(*m)) busy.push_back(m.get());
    std::stable_sort(busy.begin(), busy.end(), [](const Machine* a, const Machine* b) {
        return std::tuple(!a->draining, a->reserved.cores) < std::tuple(!b->draining, b->reserved.cores);
    });
    const bool settled = runtime_.now() - holding_since_ > settings_.operators.idle_return_delay;
    for (const Machine* m : busy) {
        const bool on = settled && surplus >= m->type->size.cores;
        if (on) surplus -= m->type->size.cores;
        owner.drain(m->name, on);
    }
}

void Autoscaler::reclaim(ShardOwner& owner, bool idle_too) {
    const Micros now = runtime_.now();
    const Settings& s = settings_;
    Surplus surplus = idle_too ? surplus_of(owner) : Surplus{};
    for (const auto& [name, m] : owner.machines()) {
        if (m->retired || m->retiring || m->leaving) continue;
        const Micros silent = owner.silent_for(*m);
        if (m->tasks.empty() && now - holding_since_ > s.worker_lease &&
            owner.unreachable_for(*m) > s.worker_lease + kSilent) {
            owner.retire(name, m->suspect ? "it does not hear us" : "it does not report");
        } else if (m->notice && now > m->notice_end + 2 * kSecond &&
                   silent > s.report_interval * 5 / 4 + kSecond) {
            owner.retire(name, "it was taken");
        } else if (m->error_jobs.size() >= 3 && m->tasks.empty()) {
            owner.retire(name, "tasks of several jobs fail on it");
        } else if (idle_too && m->tasks.empty() && m->type &&
                   now - holding_since_ > s.operators.idle_return_delay &&
                   runtime_.listening_time() - m->idle_since > s.operators.idle_return_delay) {
            const Milli cores = m->type->size.cores;
            Milli& left = m->spot ? surplus.total : surplus.ordinary;
            if (left < cores) continue;
            left -= cores;
            if (!m->spot) surplus.total -= cores;
            owner.retire(name, "it is idle");
        }
    }
}

void Autoscaler::remove() {
    if (deleting_) return;
    const Micros now = runtime_.now();
    std::vector<std::string> names;
    for (const auto& [id, block] : cache_.blocks.all())
        for (const auto& m : block.machines)
            if (m.retired && names.size() < kMaxDelete) names.push_back(m.name);
    for (const auto& [name, since] : never_registered_)
        if (names.size() < kMaxDelete && !cache_.blocks.of(name)) names.push_back(name);
    std::erase_if(names, [&](const std::string& n) { return forgetting_.count(n) > 0; });
    if (names.empty() || now < pause_until_) return;
    Call c;
    c.method = "POST";
    c.path = "/machines/delete";
    c.body = wire::delete_request(names);
    deleting_ = call(std::move(c), 0, [this, names](const Reply& r) {
        deleting_ = false;
        if (r.status != 200) return;
        for (const auto& name : names) {
            machine_allocator_.left(name);
            never_registered_.erase(name);
            pending_instances_.erase(name);
            first_listed_.erase(name);
            if (cache_.blocks.of(name)) forgetting_.insert(name);
        }
        std::erase_if(forgetting_, [&](const std::string& n) { return !cache_.blocks.of(n); });
        // Gone with everything on them, so the records that kept their tasks in doubt may forget them.
        machine_allocator_.forget(names);
        spdlog::info("returned {} machines, {} first", names.size(), names.front());
    });
}

// ---------------------------------------------------------------- renting

std::vector<Autoscaler::Offer> Autoscaler::offers(
    const std::function<bool(const MachineType&, const Shape&)>& suits) const {
    const Micros now = runtime_.now();
    std::map<std::string, int> per_zone;
    for (const auto& [id, block] : cache_.blocks.all())
        per_zone[block.zone] += static_cast<int>(block.machines.size());
    for (const auto& [name, b] : pending_instances_) ++per_zone[b.zone];
    // The cheapest core first; among equals the zone with the fewest machines.
    std::vector<Offer> offers;
    for (const auto& t : cache_.types.types())
        for (const auto& zone : t.zones)
            for (const bool spot : {false, true}) {
                const Shape shape{t.name, zone, spot};
                if (auto r = refused_until_.find(shape); r != refused_until_.end() && now < r->second)
                    continue;
                const bool asked = std::any_of(rentals_.begin(), rentals_.end(), [&](const auto& r) {
                    return Shape{r.second.type, r.second.zone, r.second.spot} == shape;
                });
                const double cores = static_cast<double>(t.size.cores) / 1000.0;
                if (cores <= 0 || asked || !suits(t, shape)) continue;
                offers.push_back({(spot ? t.spot_price : t.price) / cores, per_zone[zone], shape, t.size});
            }
    std::sort(offers.begin(), offers.end());
    return offers;
}

/// The totals say nothing of machines in other zones or of other types than a job asks for. Of the jobs that
/// could not begin if the fleet were empty, the one that has waited longest: all tasks at once, or an eighth
/// of an array.
std::optional<Autoscaler::UnschedulableJob> Autoscaler::find_unschedulable() const {
    std::map<Shape, int> there;
    for (const auto& [id, block] : cache_.blocks.all())
        for (const auto& m : block.machines) there[{block.type, block.zone, block.spot}] += !m.retired;
    for (const auto& [name, b] : pending_instances_) ++there[{b.type, b.zone, b.spot}];
    for (const auto& [name, r] : rentals_) there[{r.type, r.zone, r.spot}] += r.count;
    std::map<std::string, const Team*> teams;
    for (const auto& t : settings_.teams) teams[t.name] = &t;
    const std::int64_t by = runtime_.wall_clock_ms() - kLeftOutAfter / kMillisecond;
    const LiveJob* first = nullptr;
    UnschedulableJob out;
    for (const auto& [ref, job] : cache_.jobs.live()) {
        const bool waits =
            job.open && !job.cancelled && !job.backing_off && job.done + job.running < job.tasks;
        const auto team = teams.find(job.team);
        if (!waits || job.since_ms > by || team == teams.end() ||
            !allocation::rents_machines(*team->second, job.rank) ||
            (first && first->since_ms <= job.since_ms))
            continue;
        const Json* spec = wire::find(job.record, "d");
        if (!spec) continue;
        auto may_use = [&job = job](const Shape& shape) {
            return (!shape.spot || job.spot) && (!job.zone || *job.zone == shape.zone) &&
                   (!job.types ||
                    std::find(job.types->begin(), job.types->end(), shape.type) != job.types->end());
        };
        const bool array = job.kind == JobKind::Array;
        int missing = array ? (job.tasks - job.done + 7) / 8 : job.tasks;
        if (job.request.cores > 0)
            missing = std::min<Milli>(missing, team->second->limit.cores / job.request.cores);
        for (const auto& [shape, count] : there)
            if (const auto* t = cache_.types.find(shape.type); t && missing > 0 && may_use(shape))
                missing -= count * tasks_on(t->size, job.request);
        if (missing <= 0) continue;
        auto parsed = wire::parse_job(*spec).spec;
        if (!parsed) continue;
        first = &job;
        out = {std::move(*parsed), missing};
    }
    return first ? std::optional(std::move(out)) : std::nullopt;
}

void Autoscaler::rent() {
    const Micros now = runtime_.now();
    if (now - leading_since_ < 3 * kSecond || now < pause_until_ || rentals_.size() >= kMaxRentals) return;
    if (now - looked_for_left_out_ > kLeftOutEvery) {
        looked_for_left_out_ = now;
        if (const auto left = find_unschedulable()) {
            const auto found = offers([&](const MachineType& t, const Shape& s) {
                return scheduling::may_use(left->job, s.type, s.zone, s.spot) &&
                       left->job.request.fits(t.size);
            });
            if (!found.empty()) {
                const Offer& o = found.front();
                const int each = tasks_on(o.size, left->job.request);
                spdlog::info("job {}: machines that it may use have no room for it at all", left->job.ref);
                return order(o.shape, std::clamp((left->tasks + each - 1) / each, 1, kMaxAtOnce));
            }
        }
    }
    // Spot machines are tried first; what they can't cover is what ordinary ones are wanted for.
    const bool need_ordinary =
        balance_.ordinary < balance_.wanted_ordinary && now - leading_since_ > 6 * kSecond;
    if (!need_ordinary && balance_.total >= balance_.wanted_total) return;
    const auto found =
        offers([&](const MachineType&, const Shape& shape) { return shape.spot != need_ordinary; });
    Milli short_of =
        need_ordinary ? balance_.wanted_ordinary - balance_.ordinary : balance_.wanted_total - balance_.total;
    for (std::size_t i = 0; i < found.size() && short_of > 0 && rentals_.size() < kMaxRentals; ++i) {
        // The same price in several zones: the zones share it.
        const auto alike = std::count_if(found.begin() + static_cast<std::ptrdiff_t>(i), found.end(),
                                         [&](const Offer& o) { return o.price == found[i].price; });
        const auto missing = static_cast<int>((short_of + found[i].size.cores - 1) / found[i].size.cores);
        const int count =
            std::clamp((missing + static_cast<int>(alike) - 1) / static_cast<int>(alike), 1, kMaxAtOnce);
        order(found[i].shape, count);
        short_of -= found[i].size.cores * count;
    }
}

void Autoscaler::order(const Shape& shape, int count) {
    Rental r;
    r.name = "r-" + std::to_string(term_) + "-" + std::to_string(++counter_);
    r.type = shape.type;
    r.zone = shape.zone;
    r.spot = shape.spot;
    r.count = count;
    auto& held = rentals_[r.name] = r;
    send(held);
}

void Autoscaler::send(Rental& rental) {
    Call c;
    c.method = "POST";
    c.path = "/machines";
    c.body = wire::rent_request(rental.name, rental.type, rental.zone, rental.spot, rental.count);
    rental.in_flight = true;
    const bool sent = call(std::move(c), 0, [this, name = rental.name](const Reply& r) {
        auto it = rentals_.find(name);
        if (it == rentals_.end()) return;
        Rental& x = it->second;
        const Micros now = runtime_.now();
        const Shape shape{x.type, x.zone, x.spot};
        x.in_flight = false;
        auto names = r.status == 200 ? wire::parse_rented(r.body) : std::nullopt;
        if (names) {
            spdlog::info("rented {} of {} {} in {}{}", names->size(), x.count, x.type, x.zone,
                         x.spot ? ", spot" : "");
            for (const auto& n : *names)
                if (!cache_.blocks.of(n))
                    pending_instances_.emplace(n, PendingInstance{x.type, x.zone, x.spot, runtime_.now()});
            if (static_cast<int>(names->size()) < x.count)
                refused_until_[shape] = now + 15 * kSecond;
            else
                refusals_[shape] = 0;
            rentals_.erase(it);
        } else if (r.status == 503 && wire::text(r.body, "error") == "no capacity") {
            const int tries = std::min(++refusals_[shape], 3);
            refused_until_[shape] = now + (10 * kSecond << tries);
            rentals_.erase(it);
        } else if (r.status == 503 || r.status == 429 || r.status == 400) {
            if (r.status == 400) refused_until_[shape] = now + 600 * kSecond;
            rentals_.erase(it);  // not carried out
        } else {
            // Without an answer it may have been carried out: the same name is sent until it is answered.
            x.not_before = now + 2 * kSecond;
        }
    });
    if (!sent) {
        rental.in_flight = false;
        rental.not_before = runtime_.now() + 500 * kMillisecond;
    }
}

Json Autoscaler::status() const {
    return {{"leading", was_leading_}, {"rentals", rentals_.size()}, {"booting", pending_instances_.size()}};
}

}  // namespace cottonway
