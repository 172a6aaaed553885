#include "core/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "core/owner.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kPreemptEvery = 150 * kMillisecond;
constexpr Micros kLasting = 30 * kSecond;  // a start that is stopped sooner does not count for its user
constexpr Micros kIdleLong = 8 * kSecond;
constexpr Micros kSetBack = 20 * kSecond;  // what being stopped costs a task: saving, waiting, a fetch
constexpr double kSpoilt = 30;
constexpr double kShortStart = 10;
constexpr Micros kForgetUse = 60 * kSecond;  // a peak of use halves in this time
constexpr double kFetchPenalty = 10;         // a second
constexpr Micros kIdleEvery = 500 * kMillisecond;
// Starts a second of idle work, per core that the process may use: with all that follows from one (a bind, a
// launch, reports, a result) that is a fifth of its time.
constexpr double kIdleStarts = 600;
constexpr Micros kPreemptAfter = 100 * kMillisecond;
constexpr int kPreemptions = 20;          // in one pass
constexpr std::size_t kBindingRoom = 20;  // bytes a task that a part has room for
}  // namespace

std::map<std::string, int> Job::zones() const {
    std::map<std::string, int> count;
    for (const auto& slot : slots)
        if (slot.machine) ++count[slot.machine->zone];
    return count;
}

Planner::Planner(OwnerContext& context, std::string domain, Ledger& ledger, Domain& of)
    : context_(context),
      domain_(std::move(domain)),
      ledger_(ledger),
      of_(of),
      idle_starts_(kIdleStarts * context.settings().cpu_share, kIdleStarts * context.settings().cpu_share) {}

void Planner::bind(Job& job, int task, Machine& m, std::int64_t attempt) {
    ledger_.bind(job, task, m, attempt);
    of_.bound(job, task);
}

/// It waits for the team's limit, not for room.
void Planner::miss_share(const Job& job) {
    auto& missing = short_of_share_[job.spec.team];
    missing.cores += job.spec.need.cores * job.idle;
    missing.cards += job.spec.need.cards * job.idle;
}

bool Planner::allowed(const Job& job, const Machine& m) {
    const JobSpec& s = job.spec;
    if (m.spot && !s.spot) return false;
    if (s.zone && *s.zone != m.zone) return false;
    return !s.types || std::find(s.types->begin(), s.types->end(), m.type_name) != s.types->end();
}

bool Planner::quota_allows(const Job& job, int tasks) const {
    const Resources share = context_.share(domain_, job.spec.team);
    Resources sum = ledger_.used(job.spec.team);
    sum.cores += job.spec.need.cores * tasks;
    sum.cards += job.spec.need.cards * tasks;
    return sum.cores <= share.cores && sum.cards <= share.cards;
}

/// What a pass has found to need more room than any machine has, nothing that needs as much will find either.
bool Planner::hopeless(const Job& job) const {
    if (of_.keeps_for(job)) return false;  // others may have failed for that very room
    const JobSpec& s = job.spec;
    return std::any_of(no_room_.begin(), no_room_.end(), [&](const NoRoom& n) {
        return n.spot == s.spot && n.zone == s.zone && n.types == s.types && n.need.fits(s.need);
    });
}

void Planner::remember_no_room(const Job& job) {
    const JobSpec& s = job.spec;
    // Only where the rest of its constraints have not played a part.
    if (s.spread || s.one_zone || hopeless(job)) return;
    no_room_.push_back({s.spot, s.zone, s.types, s.need});
}

/// How long a task would wait for its image. Several fetches at a time share a machine's rate.
Micros Planner::fetch_time(const Job& job, const Machine& m) {
    int others = 0;
    for (const auto& image : m.images) {
        if (image.name == job.spec.image && image.ready) return 0;
        others += !image.ready && image.name != job.spec.image;
    }
    const double rate = m.type && m.type->fetch_gb_per_s > 0 ? m.type->fetch_gb_per_s : 1.0;
    return static_cast<Micros>(static_cast<double>(job.spec.image_gb) * 1000.0 / rate * (1 + others));
}

/// Where fetching the image would take longer than the operators' aim allows a service to wait, room is made
/// on a machine that has it, rather than a fetch begun elsewhere; but for no longer than that can help.
bool Planner::holds_out(const Job& job) const {
    if (job.rank != Rank::Production || job.no_holding_out) return false;
    const auto goals = context_.settings().goals("wait", job.spec.job_class);
    if (goals.empty()) return false;
    const Micros waited = context_.host().now() - job.waiting_since;
    if (waited > goals.front() * 3 / 5) return false;
    return std::none_of(ledger_.machines.begin(), ledger_.machines.end(), [&](const auto& entry) {
        const Machine& m = *entry.second;
        const Micros fetch = fetch_time(job, m);
        return fetch > 0 && waited + fetch < goals.front() && of_.usable(m) && allowed(job, m) &&
               job.spec.need.fits(m.type->size - m.booked);
    });
}

/// Idle work takes what other work has not used lately, so that a burst of that finds room at once. On spot
/// machines only, where there are any: others may wait for the ordinary ones that can use no other.
void Planner::weigh_idle_room() {
    const Micros now = context_.host().now();
    spot_machines_ = std::count_if(ledger_.machines.begin(), ledger_.machines.end(),
                                   [this](const auto& m) { return m.second->spot && of_.usable(*m.second); });
    Milli size = 0, used = 0, idle = 0;
    for (const auto& [name, m] : ledger_.machines) {
        if (!of_.usable(*m) || (spot_machines_ > 0 && !m->spot)) continue;
        size += m->type->size.cores;
        used += m->booked.cores - m->idle_work;
        idle += m->idle_work;
    }
    for (const auto& [ref, job] : ledger_.jobs)
        if (job->spec.spot || spot_machines_ == 0) used += job->spec.need.cores * job->waiting();
    const auto passed = static_cast<double>(peak_use_at_ > 0 ? now - peak_use_at_ : 0);
    peak_use_at_ = now;
    peak_use_ = std::max(static_cast<double>(std::min(used, size)),
                         peak_use_ * std::exp2(-passed / static_cast<double>(kForgetUse)));
    idle_room_ = size - static_cast<Milli>(peak_use_) - idle;
}

/// Whether it misses its first aim whatever is done now, and need not hurry for a later one either: then
/// others of its rank that can still make it go first.
bool Planner::can_be_late(const Job& job) const {
    const auto goals = context_.settings().goals("finished", job.spec.job_class);
    if (goals.empty()) return false;
    const Micros age = (context_.host().wall_ms() - job.since_ms) * kMillisecond;
    const Micros needs = job.spec.estimate + job.spec.estimate / 3;  // the slowest of several tasks
    if (age + needs <= goals.front()) return false;
    return goals.size() == 1 || age + needs < goals.back() * 3 / 4;
}

/// Machines that it may use but had better not: those it failed on, until something of it has run elsewhere,
/// and for idle work the ordinary ones, which others may wait for that can use no other.
bool Planner::keeps_off(const Job& job, const Machine& m) const {
    if (job.failed_on.count(m.name)) return true;
    return job.leftover() && job.spec.spot && !m.spot && spot_machines_ > 0;
}

/// The machines that a job may use and that have room for a task of it; those that only other controllers
/// reach are asked separately.
std::vector<Candidate> Planner::candidates_for(const Job& job, bool relayed,
                                               std::vector<Machine*>& machines) {
    std::vector<Candidate> list;
    for (auto& [name, m] : ledger_.machines) {
        if (m->out_of_reach() != relayed || !of_.usable(*m) || !allowed(job, *m)) continue;
        if (keeps_off(job, *m)) continue;
        Candidate c;
        c.index = machines.size();
        c.size = m->type->size;
        c.booked = m->booked + of_.kept_from(job, *m);
        c.tasks = static_cast<int>(m->tasks.size());
        for (const auto& image : m->images)
            if (image.name == job.spec.image) {
                c.has_image = true;
                c.image_ready = image.ready;
            }
        // Urgent work without its image starts where that comes soonest.
        if (job.rank <= Rank::High)
            c.penalty += kFetchPenalty * static_cast<double>(fetch_time(job, *m)) / 1e6;
        list.push_back(c);
        machines.push_back(m.get());
    }
    return list;
}

/// The five steps over a part of the machines first, where a part is clearly better: those that have the
/// image, or at least fetch it already, for urgent work, since a fetch takes longer than anything else in a
/// start; spot machines, for what may use them, since that leaves the ordinary ones to what may not.
std::ptrdiff_t Planner::place_for(const Job& job, const std::vector<Candidate>& open,
                                  const std::vector<Machine*>& machines, bool ready_only) {
    enum class Image { Any, Fetching, Ready };
    auto pass = [&](Image image, bool spot) {
        std::vector<Candidate> part;
        for (const auto& c : open) {
            if (spot && !machines[c.index]->spot) continue;
            if (image == Image::Any || c.image_ready || (image == Image::Fetching && c.has_image))
                part.push_back(c);
        }
        return place(part, job.spec.need, context_.settings().ops.placement, context_.host().random());
    };
    std::vector<Image> order{Image::Any};
    // Idle work stays together where its image is, so that one report and one change settle many tasks.
    if (job.rank <= Rank::High || job.rank == Rank::Low) order = {Image::Ready, Image::Fetching, Image::Any};
    if (ready_only) order = {Image::Ready};
    for (const Image image : order) {
        std::ptrdiff_t chosen = job.spec.spot ? pass(image, true) : -1;
        if (chosen < 0) chosen = pass(image, false);
        if (chosen >= 0) return chosen;
    }
    return -1;
}

/// Highest rank first, then what is guaranteed, then the nearest deadline. Among equals the least work left
/// goes first, so that one wide array does not hold up many small jobs; waiting makes up for size, so that
/// none waits for ever.
std::vector<Job*> Planner::queue(bool idle_turn) {
    const Micros now = context_.host().now();
    const std::int64_t now_ms = context_.host().wall_ms();
    auto weight = [&](const Job* j) {
        const auto left = static_cast<double>(j->idle + j->bound) *
                          static_cast<double>(std::max<Milli>(j->spec.need.cores, 1)) *
                          static_cast<double>(std::max<Micros>(j->spec.estimate, kSecond)) / 1e6;
        return left / static_cast<double>(std::max<std::int64_t>(now_ms - j->since_ms, 0) + 10'000);
    };
    struct Weighed {
        Job* job;
        bool late;
        double weight;
    };
    std::vector<Weighed> weighed;
    for (auto& [ref, job] : ledger_.jobs) {
        if (job->stage != Stage::Queued || job->leaving || job->idle == 0) continue;
        // The gate: every bind comes from here, and nothing of a job starts before all that it needs are
        // done.
        if (!job->open) continue;
        if (job->held && (now < job->try_after || job->bound > 0)) continue;
        job->within_guarantee = context_.within_guarantee(ref);
        if (job->leftover() && (!idle_turn || now < job->idle_turn)) continue;
        weighed.push_back({job.get(), can_be_late(*job), weight(job.get())});
    }
    std::stable_sort(weighed.begin(), weighed.end(), [&](const auto& a, const auto& b) {
        auto key = [&](const Weighed& w) {
            return std::tuple(w.job->rank, !w.job->within_guarantee, w.job->due_ms, w.late, w.weight);
        };
        return key(a) < key(b);
    });
    std::vector<Job*> order;
    for (const auto& w : weighed) order.push_back(w.job);
    return order;
}

void Planner::plan() {
    const Micros now = context_.host().now();
    // Idle work is bound in batches: that takes fewer changes and less time.
    const bool idle_turn = now - idle_planned_at_ >= kIdleEvery;
    if (idle_turn) idle_planned_at_ = now;
    const std::vector<Job*> order = queue(idle_turn);
    no_room_.clear();
    const auto& named = context_.settings().zones;
    std::set<std::string> zones(named.begin(), named.end());
    for (const auto& [name, m] : ledger_.machines) zones.insert(m->zone);
    zones_.assign(zones.begin(), zones.end());
    if (idle_turn) weigh_idle_room();
    idle_bound_ = std::any_of(ledger_.jobs.begin(), ledger_.jobs.end(), [](const auto& j) {
        return j.second->rank == Rank::Low && j.second->bound > 0;
    });
    short_of_share_.clear();
    claimed_.clear();
    preemptions_left_ = kPreemptions;
    const bool preempts = now - preempted_at_ >= kPreemptEvery;
    if (preempts) preempted_at_ = now;
    for (Job* job : order)
        if (!plan_job(*job) && preempts && !job->held &&
            (now - job->waiting_since > kPreemptAfter || job->rank == Rank::Production))
            preempt(*job);
}

/// Whether stopping a task would make its job miss an aim that it can still make.
bool Planner::spoils(const Job& job, Micros ran) const {
    const auto goals = context_.settings().goals("finished", job.spec.job_class);
    const Micros age = (context_.host().wall_ms() - job.since_ms) * kMillisecond;
    const Micros left = std::max<Micros>(job.spec.estimate * 6 / 5 - ran, 2 * kSecond);
    return std::any_of(goals.begin(), goals.end(),
                       [&](Micros goal) { return age + left <= goal && age + left + kSetBack > goal; });
}

/// Idle work of long tasks is bound the more seldom: each bind costs a change, and what was just stopped to
/// make room is likely to be stopped again.
Micros Planner::idle_pause(const Job& job) {
    return std::clamp(job.spec.estimate / 20, kIdleEvery, kIdleLong);
}

Planner::Zoning Planner::zoning_of(const Job& job) const {
    Zoning z;
    z.rule = context_.policy().zone_rule(job.spec);
    if (!z.rule) return z;
    std::set<std::string> standing;
    for (const auto& [name, m] : ledger_.machines)
        if (of_.usable(*m) && allowed(job, *m)) standing.insert(m->zone);
    z.standing.assign(standing.begin(), standing.end());
    return z;
}

planning::ZoneChoice Planner::choose_zones(const Job& job, const Zoning& zoning,
                                           const std::map<std::string, int>& per_zone,
                                           const std::vector<std::string>* room) const {
    return planning::choose_zones(job.spec, zoning.rule, per_zone, zoning.standing, zones_, room);
}

/// The candidates in zones that take another task of it; `apart`: on machines that do, too.
std::vector<Candidate> Planner::open_in(const planning::ZoneChoice& choice, const Job& job,
                                        const std::map<std::string, int>& per_zone,
                                        const std::vector<Candidate>& candidates,
                                        const std::vector<Machine*>& machines, bool apart) {
    std::map<std::string, double> zones;  // those open, with their penalty
    for (const auto& [zone, most] : choice.most) {
        auto used = per_zone.find(zone);
        if ((used == per_zone.end() ? 0 : used->second) < most) zones[zone] = choice.penalty_in(zone);
    }
    std::vector<Candidate> open;
    for (const auto& c : candidates) {
        const Machine& m = *machines[c.index];
        auto zone = zones.find(m.zone);
        if (zone == zones.end() || (apart && tasks_on(m, job) >= choice.machine_most)) continue;
        open.push_back(c);
        open.back().penalty += zone->second;
    }
    return open;
}

int Planner::tasks_on(const Machine& m, const Job& job) {
    return static_cast<int>(
        std::count_if(m.tasks.begin(), m.tasks.end(), [&](const auto& t) { return t.job == &job; }));
}

/// Zones with a machine that a task of it fits on.
std::vector<std::string> Planner::zones_with_room(const Job& job, const std::vector<Candidate>& candidates,
                                                  const std::vector<Machine*>& machines, int machine_most) {
    std::set<std::string> zones;
    for (const auto& c : candidates) {
        const Machine& m = *machines[c.index];
        if (job.spec.need.fits(c.size - c.booked) &&
            (machine_most == std::numeric_limits<int>::max() || tasks_on(m, job) < machine_most))
            zones.insert(m.zone);
    }
    return {zones.begin(), zones.end()};
}

/// In the zones where its rule wants the next task, on the `better` machine if there is one with room;
/// `give_way`: else where there is room for it, as far as the rule admits that.
std::ptrdiff_t Planner::place_by_zone(const Job& job, const Zoning& zoning,
                                      const std::map<std::string, int>& per_zone,
                                      const std::vector<Candidate>& candidates,
                                      const std::vector<Machine*>& machines, bool ready_only, bool give_way,
                                      const Machine* better) {
    const auto asked = choose_zones(job, zoning, per_zone);
    const bool sharing_matters = asked.machine_most < std::numeric_limits<int>::max();
    const auto open = open_in(asked, job, per_zone, candidates, machines, sharing_matters);
    for (const auto& c : open)
        if (machines[c.index] == better && job.spec.need.fits(c.size - c.booked))
            return static_cast<std::ptrdiff_t>(c.index);
    const auto chosen = place_for(job, open, machines, ready_only);
    if (chosen >= 0 || !zoning.rule || !give_way) return chosen;
    for (const bool apart : {true, false}) {
        if (!apart && (asked.strict || !sharing_matters)) break;
        const auto room = zones_with_room(job, candidates, machines,
                                          apart ? asked.machine_most : std::numeric_limits<int>::max());
        const auto choice = choose_zones(job, zoning, per_zone, &room);
        const auto found =
            place_for(job, open_in(choice, job, per_zone, candidates, machines, apart && sharing_matters),
                      machines, ready_only);
        if (found >= 0) return found;
    }
    return -1;
}

/// True if nothing is left to place.
bool Planner::plan_job(Job& job) {
    const Micros now = context_.host().now();
    if (job.spec.kind != JobKind::Gang && hopeless(job)) return false;
    std::vector<Machine*> machines;
    std::vector<Candidate> candidates = candidates_for(job, false, machines);
    if (candidates.empty() && !job.failed_on.empty()) {  // better where it failed than nowhere
        job.failed_on.clear();
        candidates = candidates_for(job, false, machines);
    }
    if (job.spec.kind == JobKind::Gang) return plan_gang(job, candidates, machines);
    if (job.leftover()) job.idle_turn = now + idle_pause(job);

    std::map<std::string, int> per_zone = job.zones();
    const Zoning zoning = zoning_of(job);
    // All tasks bound in one pass share an attempt number; it only tells one start from another.
    const std::int64_t attempt = job.next_attempt;
    bool all = true;
    bool tried_relayed = false;
    const bool ready_only = holds_out(job);
    while (job.first_idle < job.slots.size() && job.slots[job.first_idle].state != SlotState::Idle)
        ++job.first_idle;
    for (std::size_t i = job.first_idle; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state != SlotState::Idle) continue;
        if (slot.retry_at > now || ledger_.strays(job.spec.ref, static_cast<int>(i))) {
            all = all && slot.retry_at > now;
            continue;
        }
        // In the first moments of a holder, what is moving waits until its destination has been heard.
        const Machine* better = of_.destination(job, static_cast<int>(i));
        if (better && better->seq == 0 && now - better->known_since < 2 * context_.settings().report_every)
            continue;
        // A part must not outgrow its value; the next ones have room.
        if (job.part_of(static_cast<int>(i)).bytes > job.part_tasks * kBindingRoom) {
            i = (i / job.part_tasks + 1) * job.part_tasks - 1;
            continue;
        }
        if (!quota_allows(job, 1)) {  // not for want of room
            miss_share(job);
            return true;
        }
        if (job.leftover()) {
            if (idle_room_ < job.spec.need.cores || idle_starts_.take(now, 1) > 0) return true;
            idle_room_ -= job.spec.need.cores;
        }
        std::ptrdiff_t chosen = -1;
        for (;;) {
            chosen =
                place_by_zone(job, zoning, per_zone, candidates, machines, ready_only, tried_relayed, better);
            if (chosen >= 0 || std::exchange(tried_relayed, true)) break;
            // Better a machine that only others reach than none.
            auto more = candidates_for(job, true, machines);
            if (more.empty() && !zoning.rule) break;
            candidates.insert(candidates.end(), more.begin(), more.end());
        }
        if (chosen < 0) {
            if (!ready_only && !zoning.rule) remember_no_room(job);
            return false;
        }
        Machine& m = *machines[static_cast<std::size_t>(chosen)];
        bind(job, static_cast<int>(i), m, attempt);
        job.next_attempt = attempt + 1;
        ++per_zone[m.zone];
        auto& c = candidates[static_cast<std::size_t>(chosen)];
        c.booked += job.spec.need;
        ++c.tasks;
        c.has_image = true;
        spdlog::info("task {}/{}: attempt {} bound to {}", job.spec.ref, i, slot.attempt, m.name);
        if (job.held) return true;  // one try at a time
    }
    return all;
}

/// A gang binds all its tasks in one pass or none.
bool Planner::plan_gang(Job& job, const std::vector<Candidate>& candidates,
                        const std::vector<Machine*>& machines) {
    const Micros now = context_.host().now();
    if (job.bound > 0 || job.idle < job.spec.tasks - job.done)
        return true;  // the old attempt is not gone yet
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Idle &&
            (job.slots[i].retry_at > now || ledger_.strays(job.spec.ref, static_cast<int>(i))))
            return true;
    if (!quota_allows(job, job.idle)) {
        miss_share(job);
        return true;
    }
    std::vector<std::string> zones{""};
    if (job.spec.one_zone) {
        zones.clear();
        for (const auto* m : machines)
            if (std::find(zones.begin(), zones.end(), m->zone) == zones.end()) zones.push_back(m->zone);
        std::shuffle(zones.begin(), zones.end(), context_.host().random());
    }
    const Zoning zoning = zoning_of(job);
    for (const auto& zone : zones) {
        std::vector<Candidate> trial = candidates;
        std::map<std::string, int> per_zone;
        std::vector<std::pair<int, Machine*>> chosen;
        for (std::size_t i = 0; i < job.slots.size(); ++i) {
            if (job.slots[i].state != SlotState::Idle) continue;
            std::vector<std::string> room;
            if (zoning.rule) room = zones_with_room(job, trial, machines, std::numeric_limits<int>::max());
            const auto choice = choose_zones(job, zoning, per_zone, zoning.rule ? &room : nullptr);
            std::vector<Candidate> open;
            for (const auto& c : trial) {
                const std::string& at = machines[c.index]->zone;
                if ((zone.empty() || at == zone) && per_zone[at] < choice.most_in(at)) open.push_back(c);
            }
            const auto pick =
                place(open, job.spec.need, context_.settings().ops.placement, context_.host().random());
            if (pick < 0) break;
            auto& c = trial[static_cast<std::size_t>(pick)];
            c.booked += job.spec.need;
            ++c.tasks;
            Machine* m = machines[static_cast<std::size_t>(pick)];
            ++per_zone[m->zone];
            chosen.emplace_back(static_cast<int>(i), m);
        }
        if (static_cast<int>(chosen.size()) < job.idle) continue;
        const std::int64_t attempt = job.next_attempt++;
        for (const auto& [task, m] : chosen) {
            bind(job, task, *m, attempt);
        }
        spdlog::info("gang {}: attempt {} bound, {} tasks", job.spec.ref, attempt, chosen.size());
        return true;
    }
    return false;
}

/// Makes room for a job's waiting tasks: stops what is worth least on the machine where the least is lost.
/// Room that is being made already is claimed first, in the order of the jobs.
void Planner::preempt(Job& job) {
    const Micros now = context_.host().now();
    // Stopping work that cannot save itself throws it away. Services may always do that; others only when
    // their deadline is near, or when a guarantee has been waited for.
    const std::int64_t now_ms = context_.host().wall_ms();
    const bool late = now_ms + (job.spec.estimate * 5 / 4 + 3 * kSecond) / kMillisecond > job.due_ms;
    const bool may_waste = job.rank == Rank::Production || (job.rank == Rank::High && late);
    const bool reclaims = job.within_guarantee && now - job.waiting_since > 2 * kSecond;
    // Work of normal rank makes room only where idle work is.
    if (job.rank > Rank::High && !reclaims && (job.rank == Rank::Low || !idle_bound_)) return;
    std::map<std::string, int> per_zone = job.zones();
    const Zoning zoning = zoning_of(job);
    // Zones in which room may be made; where nothing can be, a rule gives way.
    std::vector<std::string> zones = zoning.standing;
    // Where the operators want the tasks started soon, room is made for all of them.
    const auto goals = context_.settings().goals("wait", job.spec.job_class);
    // Stopping idle work costs next to nothing.
    const bool idle_only = job.rank > Rank::High && !reclaims;
    const int most = job.rank == Rank::Production || !goals.empty() || idle_only ? job.idle : 1;
    const bool hurries = !goals.empty() && now - job.waiting_since < goals.front();
    const bool ready_only = holds_out(job);
    for (int waiting = 1; waiting <= most && preemptions_left_ > 0; ++waiting) {
        if (!quota_allows(job, waiting)) return;
        Machine* best = nullptr;
        std::vector<Victim> victims;
        double loss = 0;
        const auto choice = choose_zones(job, zoning, per_zone, zoning.rule ? &zones : nullptr);
        for (auto& [name, owned] : ledger_.machines) {
            Machine& m = *owned;
            if (!of_.usable(m) || !allowed(job, m)) continue;
            if (ready_only && fetch_time(job, m) > 0) continue;
            auto used = per_zone.find(m.zone);
            const int there = used == per_zone.end() ? 0 : used->second;
            if (there >= choice.most_in(m.zone)) continue;
            if (choice.strict && tasks_on(m, job) >= choice.machine_most) continue;
            std::vector<Victim> taken;
            const auto lost = room_for(job, m, may_waste, reclaims, hurries, taken);
            if (!lost || (best && *lost >= loss)) continue;
            best = &m;
            loss = *lost;
            victims = std::move(taken);
            if (victims.empty() || idle_only) break;  // room is being made there already, or costs nothing
        }
        if (!best) {
            const auto tried = std::erase_if(zones, [&](const std::string& zone) {
                auto used = per_zone.find(zone);
                return (used == per_zone.end() ? 0 : used->second) < choice.most_in(zone);
            });
            if (tried > 0) {
                --waiting;
                continue;
            }
            job.no_holding_out = true;
            return;
        }
        claimed_[best] += job.spec.need;
        ++per_zone[best->zone];
        if (!victims.empty()) --preemptions_left_;
        for (const auto& v : victims) {
            spdlog::info("task {}/{}: stopped to make room for {}", v.job->spec.ref,
                         v.slot - v.job->slots.data(), job.spec.ref);
            of_.stop(*v.slot, v.grace);
        }
    }
}

/// What would be lost by making room for one more task on the machine, if that can be done; `taken` tells
/// what would have to be stopped, nothing if enough is stopping already.
std::optional<double> Planner::room_for(const Job& job, const Machine& m, bool may_waste, bool reclaims,
                                        bool hurries, std::vector<Victim>& taken) const {
    const Micros now = context_.host().now();
    Resources room = m.type->size - m.booked - of_.kept_from(job, m);
    if (auto claimed = claimed_.find(&m); claimed != claimed_.end()) room -= claimed->second;
    std::vector<Victim> victims;
    for (const auto& [other, task] : m.tasks) {
        Slot& slot = other->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound) continue;
        if (slot.stop) {
            room += other->spec.need;  // on its way out already
            continue;
        }
        if (other->spec.kind == JobKind::Gang) continue;
        const bool lower = other->rank == Rank::Low ? job.rank < Rank::Low
                                                    : job.rank <= Rank::High && other->rank > job.rank &&
                                                          (may_waste || other->spec.checkpoint > 0);
        // What ranks higher would only come back to the same room, and be stopped again.
        const bool reclaim = reclaims && other->rank >= job.rank && !other->within_guarantee &&
                             other->spec.team != job.spec.team;
        if (!lower && !reclaim) continue;
        if (other->spec.kind == JobKind::Service && !reclaim) continue;
        // Saving takes its time, in which nothing is done: where less has been done since the last
        // checkpoint, or somebody can't wait for it, the task exits at once.
        const Micros ran = slot.run_since ? now - slot.run_since : 0;
        const Micros saving = other->spec.save + kSecond;
        const Micros unsaved = other->spec.checkpoint > 0 ? ran % other->spec.checkpoint : ran;
        const bool saves = other->spec.checkpoint > 0 && !hurries && unsaved > saving;
        // A start that does not last is none for its user.
        const double lost = static_cast<double>(saves ? saving : unsaved) / 1e6 + 1.0 +
                            (ran < kLasting ? kShortStart : 0.0) + (spoils(*other, ran) ? kSpoilt : 0.0);
        victims.push_back({&slot, other, lost * (1.0 + static_cast<double>(other->spec.need.cores) / 1000.0),
                           saves ? saving : 0});
    }
    if (job.spec.need.fits(room)) return 0.0;
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    double loss = 0;
    for (const auto& v : victims) {
        if (job.spec.need.fits(room)) break;
        room += v.job->spec.need;
        loss += v.loss;
        taken.push_back(v);
    }
    if (!job.spec.need.fits(room)) return std::nullopt;
    return loss;
}

}  // namespace cottonway
