#include "core/fleet.hpp"

#include <algorithm>
#include <cmath>

#include "core/controller.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kListEvery = 4 * kSecond;
constexpr Micros kTypesEvery = 60 * kSecond;
constexpr std::size_t kMaxDelete = 100;
constexpr std::size_t kMaxDeleted = 10'000;
constexpr int kMaxAtOnce = 10;
// A dead machine is listed as failed before this; one that is only cut off comes back, with its images.
constexpr Micros kSilent = 90 * kSecond;
constexpr Micros kForget = 120 * kSecond;  // a peak of demand halves in this time
constexpr double kOrdinaryMargin = 1.1;
constexpr double kMargin = 1.3;
}  // namespace

Fleet::Fleet(Controller& controller)
    : controller_(controller),
      budget_(controller.settings().cloud_rps * 0.8, std::max(1.0, controller.settings().cloud_rps)) {}

bool Fleet::call(Call c, ReplyHandler done) {
    Host& host = controller_.host();
    if (host.now() < pause_until_ || budget_.take(host.now(), 1) > 0) return false;
    c.target = Target::Cloud;
    c.timeout = 4 * kSecond;
    host.call(std::move(c), [this, done = std::move(done)](const Reply& r) {
        if (r.status == 429 || (r.status == 503 && wire::text(r.body, "error") != "no capacity"))
            pause_until_ = controller_.host().now() + kSecond +
                           static_cast<Micros>(controller_.host().random()() % 1000) * kMillisecond;
        done(r);
    });
    return true;
}

void Fleet::tick() {
    const Micros now = controller_.host().now();
    if (!controller_.leading()) {
        was_leading_ = false;
        return;
    }
    if (!was_leading_) {
        was_leading_ = true;
        leading_since_ = now;
        // Rental names hold the token, which no other term shares, so none is ever used twice.
        term_ = controller_.owner("d0")->mark();
        rentals_.clear();
        booting_.clear();
        doomed_.clear();
    }
    if (!listing_ && now - listed_at_ > kListEvery) {
        listed_at_ = now;
        list("");
    }
    if (now - types_at_ > kTypesEvery) {
        types_at_ = now;
        Call c;
        c.method = "GET";
        c.path = "/machine_types";
        call(std::move(c), [this](const Reply& r) {
            auto types = r.status == 200 ? wire::parse_types(r.body) : std::nullopt;
            // Only prices change; machines hold pointers to the types, so they are changed in place.
            if (types)
                for (const auto& t : *types)
                    if (auto* known = const_cast<MachineType*>(controller_.machine_type(t.name))) {
                        known->price = t.price;
                        known->spot_price = t.spot_price;
                    }
        });
    }
    for (auto& [name, rental] : rentals_)
        if (!rental.in_flight && now >= rental.not_before) send(rental);
    weigh();
    log_balance();
    drain();
    reclaim();
    remove();
    rent();
}

// ---------------------------------------------------------------- what is there

void Fleet::list(const std::string& since) {
    listing_ = true;
    Call c;
    c.method = "GET";
    c.path = "/machines?" + (since.empty() ? std::string() : "since=" + since + "&") + "page=500";
    const bool sent = call(std::move(c), [this](const Reply& r) {
        listing_ = false;
        auto page = r.status == 200 ? wire::parse_machines(r.body) : std::nullopt;
        if (!page || !controller_.leading()) return;
        for (const auto& m : page->machines) on_listed(m);
        if (page->more && !page->machines.empty()) list(page->machines.back().name);
    });
    if (!sent) listing_ = false;
}

void Fleet::on_listed(const CloudMachine& m) {
    const Micros now = controller_.host().now();
    if (deleted_.count(m.name)) return;  // the list is late
    Owner* owner = controller_.owner("d0");
    const bool leased = controller_.blocks().count(m.name) > 0;
    if (m.state == CloudState::Failed) {
        if (leased)
            owner->retire(m.name, "it has failed");
        else
            doomed_.emplace(m.name, now);
        return;
    }
    if (leased) return;
    if (!booting_.count(m.name)) {
        // Rented by another term, or by a request that was carried out late.
        booting_.emplace(m.name, Booting{m.type, m.zone, m.spot});
        spdlog::info("machine {}: in the cloud's list, not reporting yet", m.name);
    }
    const MachineType* type = controller_.machine_type(m.type);
    const Micros boot = type ? type->boot : 60 * kSecond;
    // Far beyond its type's time: it will hardly come up, and it is charged all the while.
    if (m.age > 3 * boot + 30 * kSecond && now - leading_since_ > 20 * kSecond) {
        spdlog::info("machine {}: has not come up, to be returned", m.name);
        doomed_.emplace(m.name, now);
    }
}

void Fleet::weigh() {
    const Micros now = controller_.host().now();
    const Settings& s = controller_.settings();
    Owner* owner = controller_.owner("d0");
    std::erase_if(booting_, [&](const auto& b) { return controller_.blocks().count(b.first) > 0; });
    balance_ = Balance{};
    auto add = [&](Milli cores, bool spot) {
        balance_.total += cores;
        if (!spot) balance_.ordinary += cores;
    };
    for (const auto& [name, m] : owner->machines())
        if (m->type && !m->block.retired && !m->retiring && !m->notice)
            add(m->type->size.cores, m->block.spot);
    for (const auto& [name, b] : booting_)
        if (const auto* type = controller_.machine_type(b.type)) add(type->size.cores, b.spot);
    Milli limit = 0;
    for (const auto& t : s.teams) limit += t.limit.cores;
    Milli ordinary = 0, total = 0;
    for (const auto& [ref, job] : owner->jobs()) {
        if (job->stage != Stage::Queued) continue;
        const Milli cores = job->spec.need.cores * (job->idle + job->bound);
        total += cores;
        if (!job->spec.spot) ordinary += cores;
    }
    // What was needed lately is needed again soon: the peak is forgotten slowly, since booting takes long.
    const double kept = std::exp2(-static_cast<double>(now - weighed_at_) / static_cast<double>(kForget));
    weighed_at_ = now;
    peak_ordinary_ = std::max(static_cast<double>(ordinary), peak_ordinary_ * kept);
    peak_total_ = std::max(static_cast<double>(total), peak_total_ * kept);
    // Spot machines are cheap: all that the teams may use. Ordinary ones: what work needs that may not use
    // spot, and what spot machines don't cover of the rest.
    const auto spot = static_cast<double>(balance_.total - balance_.ordinary);
    balance_.wanted_ordinary = std::min(
        limit, static_cast<Milli>(std::max(peak_ordinary_ * kOrdinaryMargin, peak_total_ * kMargin - spot)));
    balance_.wanted_total = limit;
}

/// At most every ten seconds, so that the log shows why machines come and go.
void Fleet::log_balance() {
    const Micros now = controller_.host().now();
    if (now - logged_at_ < 10 * kSecond) return;
    logged_at_ = now;
    int idle = 0;
    for (const auto& [name, m] : controller_.owner("d0")->machines()) idle += m->tasks.empty();
    spdlog::info("fleet: {} of {} cores wanted are there or coming, ordinary {} of {}; {} machines idle",
                 balance_.total / 1000, balance_.wanted_total / 1000, balance_.ordinary / 1000,
                 balance_.wanted_ordinary / 1000, idle);
}

// ---------------------------------------------------------------- returning

/// Surplus ordinary machines that batch work keeps busy are emptied, the least used one first, one at a time.
void Fleet::drain() {
    Owner* owner = controller_.owner("d0");
    const Machine* draining = nullptr;
    const Machine* best = nullptr;
    for (const auto& [name, m] : owner->machines()) {
        if (m->block.spot || m->block.retired || !m->type) continue;
        if (m->draining) draining = m.get();
        if (balance_.ordinary - m->type->size.cores < balance_.wanted_ordinary || !owner->passing(*m))
            continue;
        if (!best || m->booked.cores < best->booked.cores) best = m.get();
    }
    if (draining) {
        if (balance_.ordinary - draining->type->size.cores < balance_.wanted_ordinary)
            owner->drain(draining->block.machine, false);
    } else if (best && controller_.host().now() - leading_since_ > controller_.settings().ops.idle_return) {
        owner->drain(best->block.machine, true);
    }
}

void Fleet::reclaim() {
    const Micros now = controller_.host().now();
    const Settings& s = controller_.settings();
    Owner* owner = controller_.owner("d0");
    for (const auto& [name, m] : owner->machines()) {
        if (m->block.retired || m->retiring) continue;
        const Micros silent = owner->silent_for(*m);
        if (m->tasks.empty() && now - leading_since_ > s.lease && silent > s.lease + kSilent)
            owner->retire(name, "it is silent");
        else if (m->notice && now > m->notice_end + 10 * kSecond && m->tasks.empty() && silent > 5 * kSecond)
            owner->retire(name, "it was taken");
        else if (m->error_jobs.size() >= 3 && m->tasks.empty())
            owner->retire(name, "tasks of several jobs fail on it");
        else if (m->tasks.empty() && m->type && now - leading_since_ > s.ops.idle_return &&
                 now - m->idle_since > s.ops.idle_return) {
            const Milli cores = m->type->size.cores;
            if (m->block.spot ? balance_.total - cores < balance_.wanted_total
                              : balance_.ordinary - cores < balance_.wanted_ordinary)
                continue;
            balance_.total -= cores;
            if (!m->block.spot) balance_.ordinary -= cores;
            owner->retire(name, "it is idle");
        }
    }
}

void Fleet::remove() {
    if (deleting_) return;
    const Micros now = controller_.host().now();
    std::vector<std::string> names;
    for (const auto& [name, block] : controller_.blocks())
        if (block.retired && names.size() < kMaxDelete) names.push_back(name);
    for (const auto& [name, since] : doomed_)
        if (names.size() < kMaxDelete && !controller_.blocks().count(name)) names.push_back(name);
    if (names.empty() || now < pause_until_) return;
    Call c;
    c.method = "POST";
    c.path = "/machines/delete";
    c.body = wire::delete_request(names);
    deleting_ = call(std::move(c), [this, names](const Reply& r) {
        deleting_ = false;
        if (r.status != 200) return;
        Owner* owner = controller_.owner("d0");
        for (const auto& name : names) {
            deleted_.insert(name);
            if (deleted_.size() > kMaxDeleted) deleted_.erase(deleted_.begin());  // names come in order
            doomed_.erase(name);
            booting_.erase(name);
            auto block = controller_.blocks().find(name);
            if (block == controller_.blocks().end() || !owner) continue;
            // Gone with everything on it, so the record that kept its tasks in doubt may go.
            Change change;
            change.when.push_back({keys::domain + "d0", owner->mark()});
            change.when.push_back({keys::block + name, block->second.mark});
            change.then.push_back({keys::block + name, Value()});
            controller_.store().commit(std::move(change), [](const CommitResult&) {});
        }
        spdlog::info("returned {} machines, {} first", names.size(), names.front());
    });
}

// ---------------------------------------------------------------- renting

void Fleet::rent() {
    const Micros now = controller_.host().now();
    Owner* owner = controller_.owner("d0");
    if (now - leading_since_ < 3 * kSecond || now < pause_until_ || !rentals_.empty()) return;
    // Spot machines are tried first; what they can't cover is what ordinary ones are wanted for.
    const bool need_ordinary =
        balance_.ordinary < balance_.wanted_ordinary && now - leading_since_ > 6 * kSecond;
    if (!need_ordinary && balance_.total >= balance_.wanted_total) return;
    std::map<std::string, int> per_zone;
    for (const auto& [name, m] : owner->machines()) ++per_zone[m->block.zone];
    for (const auto& [name, b] : booting_) ++per_zone[b.zone];

    // The cheapest core first; among equals the zone with the fewest machines.
    struct Offer {
        double price;
        int crowd;
        Shape shape;
        Milli cores;
    };
    std::vector<Offer> offers;
    for (const auto& t : controller_.types())
        for (const auto& zone : t.zones)
            for (const bool spot : {false, true}) {
                if (spot == need_ordinary) continue;
                const Shape shape{t.name, zone, spot};
                if (auto r = refused_until_.find(shape); r != refused_until_.end() && now < r->second)
                    continue;
                const double cores = static_cast<double>(t.size.cores) / 1000.0;
                if (cores <= 0) continue;
                offers.push_back(
                    {(spot ? t.spot_price : t.price) / cores, per_zone[zone], shape, t.size.cores});
            }
    if (offers.empty()) return;
    const auto best = std::min_element(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
        return std::tuple(a.price, a.crowd) < std::tuple(b.price, b.crowd);
    });
    const Milli short_of =
        need_ordinary ? balance_.wanted_ordinary - balance_.ordinary : balance_.wanted_total - balance_.total;
    const auto missing = static_cast<int>((short_of + best->cores - 1) / best->cores);
    order(best->shape, std::clamp(missing, 1, kMaxAtOnce));
}

void Fleet::order(const Shape& shape, int count) {
    Rental r;
    r.name = "r-" + std::to_string(term_) + "-" + std::to_string(++counter_);
    r.type = shape.type;
    r.zone = shape.zone;
    r.spot = shape.spot;
    r.count = count;
    auto& held = rentals_[r.name] = r;
    send(held);
}

void Fleet::send(Rental& rental) {
    Call c;
    c.method = "POST";
    c.path = "/machines";
    c.body = wire::rent_request(rental.name, rental.type, rental.zone, rental.spot, rental.count);
    rental.in_flight = true;
    const bool sent = call(std::move(c), [this, name = rental.name](const Reply& r) {
        auto it = rentals_.find(name);
        if (it == rentals_.end()) return;
        Rental& x = it->second;
        const Micros now = controller_.host().now();
        const Shape shape{x.type, x.zone, x.spot};
        x.in_flight = false;
        auto names = r.status == 200 ? wire::parse_rented(r.body) : std::nullopt;
        if (names) {
            spdlog::info("rented {} of {} {} in {}{}", names->size(), x.count, x.type, x.zone,
                         x.spot ? ", spot" : "");
            for (const auto& n : *names)
                if (!controller_.blocks().count(n)) booting_.emplace(n, Booting{x.type, x.zone, x.spot});
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
        rental.not_before = controller_.host().now() + 500 * kMillisecond;
    }
}

Value Fleet::status() const {
    return {{"leading", was_leading_}, {"rentals", rentals_.size()}, {"booting", booting_.size()}};
}

}  // namespace cottonway
