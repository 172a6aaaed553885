#include "shard/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/constraints.hpp"
#include "shard/shard_owner.hpp"

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
constexpr Micros kLacksRoom = 10 * kSecond;  // how long nothing is kept for what has found no room
constexpr Micros kLimitAfter = 2 * kSecond;  // until then others may give of their share of the limit
// Starts a second of idle work, per core that the process may use: with all that follows from one (a bind, a
// launch, reports, a result) that is a fifth of its time.
constexpr double kIdleStarts = 600;
constexpr Micros kSurplusAfter = 5 * kSecond;  // machines that are being emptied are left alone until then
constexpr Micros kPreemptAfter = 100 * kMillisecond;
constexpr int kPreemptions = 20;  // in one pass
}  // namespace

std::map<std::string, int> Job::zones() const {
    std::map<std::string, int> count;
    for (const auto& slot : slots)
        if (slot.machine) ++count[slot.machine->zone];
    return count;
}

Scheduler::Scheduler(ShardContext& context, std::string shard, ShardState& shard_state, Shard& of)
    : context_(context),
      shard_(std::move(shard)),
      shard_state_(shard_state),
      of_(of),
      idle_starts_(kIdleStarts * context.settings().cpu_cores, kIdleStarts * context.settings().cpu_cores) {}

void Scheduler::bind(Job& job, int task, Machine& m, std::int64_t attempt) {
    shard_state_.bind(job, task, m, attempt);
    if (auto zone = zone_cores_.find(m.zone); zone != zone_cores_.end())
        zone->second.free -= job.spec.request.cores;
    of_.bound(job, task);
}

policy::Tier Scheduler::tier(const Job& job) const {
    return context_.policy().tier(job.spec, job.rank);
}

/// Cores of each zone, if the policy keeps some of them for live work.
void Scheduler::weigh_zones() {
    zone_cores_.clear();
    if (context_.policy().priority.reserve <= 0) return;
    for (const Machine* m : usable_) {
        auto& zone = zone_cores_[m->zone];
        zone.size += m->type->size.cores;
        zone.free += m->type->size.cores - m->reserved.cores;
    }
}

/// Whether it has to leave room for live work.
bool Scheduler::spares(const Job& job) const {
    return !zone_cores_.empty() && !job.overdue && tier(job) != policy::Tier::Live;
}

/// Whether a task of it may start in the zone beside `chosen` others of it that are not bound yet.
bool Scheduler::leaves_reserve(const Job& job, const std::string& zone, int chosen) const {
    if (!spares(job)) return true;
    auto cores = zone_cores_.find(zone);
    if (cores == zone_cores_.end()) return true;
    const auto kept =
        static_cast<Milli>(context_.policy().priority.reserve * static_cast<double>(cores->second.size));
    return cores->second.free - job.spec.request.cores * (chosen + 1) >= kept;
}

/// It waits for the team's limit, not for room; what merely gives way to others of its team does not.
void Scheduler::miss_quota(const Job& job, int tasks) {
    if (limit_allows(job, tasks)) return;
    auto& missing = short_of_quota_[job.spec.team];
    missing.cores += job.spec.request.cores * job.idle;
    missing.gpus += job.spec.request.gpus * job.idle;
}

bool Scheduler::allowed(const Job& job, const Machine& m) {
    return scheduling::may_use(job.spec, m.type_name, m.zone, m.spot);
}

/// What the team would use with so many more tasks of the job.
Resources Scheduler::used_with(const Job& job, int tasks) const {
    Resources sum = shard_state_.used(job.spec.team);
    sum.cores += job.spec.request.cores * tasks;
    sum.gpus += job.spec.request.gpus * tasks;
    return sum;
}

bool Scheduler::limit_allows(const Job& job, int tasks) const {
    const Resources share = context_.share(shard_, job.spec.team);
    const Resources sum = used_with(job, tasks);
    return sum.cores <= share.cores && sum.gpus <= share.gpus;
}

bool Scheduler::quota_allows(const Job& job, int tasks) const {
    const Resources sum = used_with(job, tasks);
    return sum.cores <= job.most.cores && sum.gpus <= job.most.gpus && limit_allows(job, tasks);
}

/// What a pass has found to need more room than any machine has, nothing that needs as much will find either.
bool Scheduler::is_unschedulable(const Job& job) const {
    if (of_.keeps_for(job)) return false;  // others may have failed for that very room
    const bool further = takes_surplus(job);
    return std::any_of(no_room_.begin(), no_room_.end(),
                       [&](const Room& r) { return (r.surplus || !further) && r.within(job.spec); });
}

void Scheduler::remember_no_room(const Job& job, bool surplus) {
    const JobSpec& s = job.spec;
    // Only where the rest of its constraints have not played a part.
    if (s.spread || s.one_zone || is_unschedulable(job)) return;
    no_room_.push_back(room_of(job));
    no_room_.back().surplus = surplus;
}

Scheduler::Room Scheduler::room_of(const Job& job) {
    return {job.spec.spot, job.spec.zone, job.spec.types, job.spec.request};
}

/// The same constraints, and at least as much needed.
bool Scheduler::Room::within(const JobSpec& s) const {
    return spot == s.spot && zone == s.zone && types == s.types && request.fits(s.request);
}

/// Whether the pass has found already that nothing may be stopped to make as much room.
bool Scheduler::is_futile(const Job& job, bool may_waste, bool reclaims) const {
    return std::any_of(futile_preemptions_.begin(), futile_preemptions_.end(),
                       [&](const FutilePreemption& v) {
                           return v.rank == job.rank && v.may_waste == may_waste && v.reclaims == reclaims &&
                                  (!reclaims || v.team == job.spec.team) && v.room.within(job.spec);
                       });
}

/// The operators' aims for a class, looked up once in a pass.
const Scheduler::Goals& Scheduler::goals(const Job& job) const {
    auto [it, added] = goals_.try_emplace(job.spec.job_class);
    if (added)
        it->second = {context_.settings().objective_time_limits("wait", job.spec.job_class),
                      context_.settings().objective_time_limits("finished", job.spec.job_class)};
    return it->second;
}

/// How long a task would wait for its image. Several fetches at a time share a machine's rate.
Micros Scheduler::fetch_time(const Job& job, const Machine& m) {
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
bool Scheduler::waits_for_image(const Job& job) const {
    if (job.rank != PriorityClass::Production || job.image_wait_over) return false;
    const auto& aims = goals(job).wait;
    if (aims.empty()) return false;
    const Micros waited = context_.runtime().now() - job.waiting_since;
    if (waited > aims.front() * 3 / 5) return false;
    return std::none_of(usable_.begin(), usable_.end(), [&](const Machine* m) {
        if (!job.spec.request.fits(m->type->size - m->reserved) || !allowed(job, *m)) return false;
        const Micros fetch = fetch_time(job, *m);
        return fetch > 0 && waited + fetch < aims.front();
    });
}

/// Idle work takes what other work has not used lately, so that a burst of that finds room at once. On spot
/// machines only, where there are any: others may wait for the ordinary ones that can use no other.
void Scheduler::weigh_idle_room() {
    const Micros now = context_.runtime().now();
    spot_machines_ = std::count_if(usable_.begin(), usable_.end(), [](const Machine* m) { return m->spot; });
    Milli size = 0, used = 0, idle = 0;
    for (const Machine* m : usable_) {
        if (spot_machines_ > 0 && !m->spot) continue;
        size += m->type->size.cores;
        used += m->reserved.cores - m->idle_work;
        idle += m->idle_work;
    }
    // What waits counts as far as its team's limit lets it start: the rest takes no room.
    std::map<std::string, Milli> wanted;
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.spot || spot_machines_ == 0)
            wanted[job->spec.team] += job->spec.request.cores * job->waiting();
    for (const auto& [team, cores] : wanted)
        used +=
            std::clamp<Milli>(context_.share(shard_, team).cores - shard_state_.used(team).cores, 0, cores);
    const auto passed = static_cast<double>(peak_use_at_ > 0 ? now - peak_use_at_ : 0);
    peak_use_at_ = now;
    peak_use_ = std::max(static_cast<double>(std::min(used, size)),
                         peak_use_ * std::exp2(-passed / static_cast<double>(kForgetUse)));
    idle_room_ = size - static_cast<Milli>(peak_use_) - idle;
}

/// Whether it misses its first aim whatever is done now, and need not hurry for a later one either: then
/// others of its rank that can still make it go first.
bool Scheduler::can_wait(const Job& job) const {
    const auto& aims = goals(job).finished;
    if (aims.empty()) return false;
    const Micros age = (context_.runtime().wall_clock_ms() - job.since_ms) * kMillisecond;
    const Micros needs =
        job.spec.estimated_duration + job.spec.estimated_duration / 3;  // the slowest of several tasks
    if (age + needs <= aims.front()) return false;
    return aims.size() == 1 || age + needs < aims.back() * 3 / 4;
}

/// Machines that it may use but had better not: those it failed on, until something of it has run elsewhere,
/// and for idle work the ordinary ones, which others may wait for that can use no other.
bool Scheduler::keeps_off(const Job& job, const Machine& m) const {
    if (job.failed_on.count(m.name)) return true;
    return job.is_best_effort() && job.spec.spot && !m.spot && spot_machines_ > 0;
}

void Scheduler::evaluate_gpu_demand() {
    shapes_.reset();
    if (!context_.policy().gpus.pack) return;
    if (std::none_of(shard_state_.machines.begin(), shard_state_.machines.end(),
                     [](const auto& m) { return m.second->type && m.second->type->size.gpus > 0; }))
        return;
    shapes_.emplace();
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->open) shapes_->add(job->spec.request.gpus, job->idle, job->bound);
}

/// Whether it takes room on machines that are being emptied once it finds none elsewhere: urgent work at
/// once, other work when it has waited for longer than it takes to find room by others' ends. What is left
/// over never needs them.
bool Scheduler::takes_surplus(const Job& job) const {
    if (surplus_.empty() || (job.is_best_effort() && !job.overdue)) return false;
    return job.rank <= PriorityClass::High || context_.runtime().now() - job.waiting_since > kSurplusAfter;
}

/// The machines that a job may use and that have room for a task of it, of one part.
std::vector<Candidate> Scheduler::candidates_for(const Job& job, Reach reach,
                                                 std::vector<Machine*>& machines) {
    std::vector<Candidate> list;
    list.reserve(usable_.size());
    machines.reserve(usable_.size());
    for (Machine* m : reach == Reach::Surplus ? surplus_ : usable_) {
        if (reach != Reach::Surplus && m->out_of_reach() != (reach == Reach::Relayed)) continue;
        if (!allowed(job, *m) || keeps_off(job, *m)) continue;
        Candidate c;
        c.index = machines.size();
        c.size = m->type->size;
        c.reserved = m->reserved + of_.kept_from(job, *m);
        c.tasks = static_cast<int>(m->tasks.size());
        for (const auto& image : m->images)
            if (image.name == job.spec.image) {
                c.has_image = true;
                c.image_ready = image.ready;
            }
        // Urgent work without its image starts where that comes soonest.
        if (job.rank <= PriorityClass::High)
            c.penalty += kFetchPenalty * static_cast<double>(fetch_time(job, *m)) / 1e6;
        if (shapes_) c.penalty += scheduling::gpu_penalty(c.size, c.reserved, job.spec.request, *shapes_);
        c.own_penalty = c.penalty;
        list.push_back(c);
        machines.push_back(m);
    }
    return list;
}

/// The parts of the machines that the five steps are tried over, one after another, where a part is clearly
/// better: those that have the image, or at least fetch it already, for urgent work, since a fetch takes
/// longer than anything else in a start; spot machines, for what may use them, since that leaves the ordinary
/// ones to what may not; machines without GPUs, for what needs none.
std::vector<Scheduler::Part> Scheduler::parts_of(const Job& job, const std::vector<const Candidate*>& open,
                                                 const std::vector<Machine*>& machines,
                                                 bool ready_only) const {
    std::vector<Image> order{Image::Any};
    // Idle work stays together where its image is, so that one report and one change settle many tasks.
    if (job.rank <= PriorityClass::High || job.rank == PriorityClass::Low)
        order = {Image::Ready, Image::Fetching, Image::Any};
    if (ready_only) order = {Image::Ready};
    // Work without GPUs takes machines without them first; urgent work only where its image comes as soon.
    const bool bare_first = shapes_ && job.spec.request.gpus <= 0;
    std::vector<std::pair<Image, bool>> steps;
    if (bare_first && job.rank > PriorityClass::High)
        for (const Image image : order) steps.emplace_back(image, true);
    for (const Image image : order) {
        if (bare_first && job.rank <= PriorityClass::High) steps.emplace_back(image, true);
        steps.emplace_back(image, false);
    }
    std::vector<Part> parts;
    for (const auto& [image, bare] : steps)
        for (const bool spot : {true, false}) {
            if (spot && !job.spec.spot) continue;
            Part& part = parts.emplace_back(Part{image, spot, bare, {}});
            for (const auto* c : open)
                if (part.takes(*c, *machines[c->index])) part.candidates.push_back(c);
        }
    return parts;
}

bool Scheduler::Part::takes(const Candidate& c, const Machine& m) const {
    if ((spot && !m.spot) || (bare && c.size.gpus > 0)) return false;
    return image == Image::Any || c.image_ready || (image == Image::Fetching && c.has_image);
}

std::ptrdiff_t Scheduler::place_for(const Job& job, const std::vector<Part>& parts) {
    for (const auto& part : parts) {
        const auto chosen = place(part.candidates, job.spec.request, context_.settings().operators.placement,
                                  context_.runtime().random());
        if (chosen >= 0) return chosen;
    }
    return -1;
}

/// A task of the job is to start on the candidate.
void Scheduler::book(Candidate& c, const Job& job) const {
    const Resources& need = job.spec.request;
    auto gpus = [&] { return shapes_ ? scheduling::gpu_penalty(c.size, c.reserved, need, *shapes_) : 0.0; };
    const double before = gpus();
    c.reserved += need;
    const double more = gpus() - before;
    c.own_penalty += more;
    c.penalty += more;
    ++c.tasks;
}

scheduling::Queued Scheduler::queued(const Job& job, std::size_t index) const {
    const Micros now = context_.runtime().now();
    const std::int64_t age_ms = std::max<std::int64_t>(context_.runtime().wall_clock_ms() - job.since_ms, 0);
    const JobSpec& s = job.spec;
    scheduling::Queued q;
    q.index = index;
    q.team = s.team;
    q.tier = tier(job);
    q.rank = job.rank;
    q.within_guarantee = job.within_guarantee;
    q.late = can_wait(job);
    q.due_ms = job.due_ms;
    // The least work left goes first, so that one wide array does not hold up many small jobs; waiting makes
    // up for size, so that none waits for ever.
    const auto left = static_cast<double>(job.idle + job.bound) *
                      static_cast<double>(std::max<Milli>(s.request.cores, 1)) *
                      static_cast<double>(std::max<Micros>(s.estimated_duration, kSecond)) / 1e6;
    q.weight = left / static_cast<double>(age_ms + 10'000);
    q.age = age_ms * kMillisecond;
    // Of work that takes what is left over one task at least runs, once it has waited for so long.
    q.begun = job.bound > 0 || job.backing_off || (job.done > 0 && !job.is_best_effort());
    q.lacks_room = job.no_room_at > 0 && now - job.no_room_at < kLacksRoom;
    auto of = [&s](int tasks) { return Resources{s.request.cores * tasks, s.request.gpus * tasks, 0}; };
    q.waits = of(job.idle);
    q.task = of(s.kind == JobKind::Gang ? job.idle : 1);
    return q;
}

std::map<std::string, scheduling::TeamUse> Scheduler::team_uses() const {
    std::map<std::string, scheduling::TeamUse> teams;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->bound == 0) continue;
        auto& used = teams[job->spec.team].used[tier(*job)];
        used.cores += job->spec.request.cores * job->bound;
        used.gpus += job->spec.request.gpus * job->bound;
    }
    for (const auto& team : context_.settings().teams)
        teams[team.name].limit = context_.share(shard_, team.name);
    return teams;
}

/// What may be placed now, by reference, so that its order is the same whoever decides.
std::vector<Job*> Scheduler::queue(bool idle_turn) {
    const Micros now = context_.runtime().now();
    std::vector<Job*> waiting;
    for (auto& [ref, job] : shard_state_.jobs) {
        if (job->stage != Stage::Queued || job->leaving || job->idle == 0) continue;
        // The gate: every bind comes from here, and nothing of a job starts before all that it needs are
        // done.
        if (!job->open) continue;
        if (job->backing_off && (now < job->try_after || job->bound > 0)) continue;
        job->within_guarantee = context_.within_guarantee(ref);
        if (job->is_best_effort() && (!idle_turn || now < job->idle_turn)) continue;
        waiting.push_back(job.get());
    }
    return waiting;
}

void Scheduler::plan() {
    const Micros now = context_.runtime().now();
    // Idle work is bound in batches: that takes fewer changes and less time.
    const bool idle_turn = now - idle_planned_at_ >= kIdleEvery;
    if (idle_turn) idle_planned_at_ = now;
    goals_.clear();
    // Nothing that a pass does makes a machine usable, or no longer so.
    usable_.clear();
    surplus_.clear();
    for (const auto& [name, m] : shard_state_.machines)
        if (of_.usable(*m))
            usable_.push_back(m.get());
        else if (of_.surplus(*m))
            surplus_.push_back(m.get());
    const std::vector<Job*> waiting = queue(idle_turn);
    std::vector<scheduling::Queued> asked;
    asked.reserve(waiting.size());
    for (const Job* job : waiting) asked.push_back(queued(*job, asked.size()));
    no_room_.clear();
    const auto& named = context_.settings().zones;
    std::set<std::string> zones(named.begin(), named.end());
    for (const auto& [name, m] : shard_state_.machines) zones.insert(m->zone);
    zones_.assign(zones.begin(), zones.end());
    futile_preemptions_.clear();
    if (idle_turn) weigh_idle_room();
    evaluate_gpu_demand();
    weigh_zones();
    idle_bound_ = std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(), [](const auto& j) {
        return j.second->rank == PriorityClass::Low && j.second->bound > 0;
    });
    short_of_quota_.clear();
    claimed_.clear();
    preemptions_left_ = kPreemptions;
    const bool preempts = now - preempted_at_ >= kPreemptEvery;
    if (preempts) preempted_at_ = now;
    for (const auto& turn : scheduling::turns(asked, team_uses(), context_.policy().priority)) {
        Job& job = *waiting[turn.index];
        if (job.idle == 0) continue;  // all of it began in its turn for being overdue
        job.most = {turn.most_cores, turn.most_gpus, 0};
        job.overdue = turn.overdue;
        const bool placed = plan_job(job);
        if (!placed && !job.overdue && preempts && !job.backing_off &&
            (now - job.waiting_since > kPreemptAfter || job.rank == PriorityClass::Production))
            preempt(job);
        if (preempts && tier(job) == policy::Tier::Live && job.idle > 0 && !limit_allows(job, 1) &&
            now - job.waiting_since > kLimitAfter)
            free_limit(job);
    }
    usable_.clear();
}

/// Live work goes before the batch of its own team inside their limit as well: as much of that is stopped as
/// it needs for one task more, the least loss first.
void Scheduler::free_limit(const Job& job) {
    const Resources share = context_.share(shard_, job.spec.team);
    Resources over = used_with(job, 1) - share;
    std::vector<Victim> victims;
    for (auto& [ref, other] : shard_state_.jobs) {
        if (other->spec.team != job.spec.team || other->bound == 0) continue;
        const bool batch = other->rank > job.rank && other->spec.kind == JobKind::Array;
        for (auto& slot : other->slots) {
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop)
                over -= other->spec.request;  // on its way out already
            else if (batch)
                victims.push_back(victim(slot, *other, false));
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    for (const auto& v : victims) {
        if ((over.cores <= 0 && over.gpus <= 0) || preemptions_left_ <= 0) return;
        // Of no use where the GPUs are short.
        if (over.cores <= 0 && v.job->spec.request.gpus == 0) continue;
        over -= v.job->spec.request;
        --preemptions_left_;
        spdlog::info("task {}/{}: stopped, {} needs its part of the limit", v.job->spec.ref,
                     v.slot - v.job->slots.data(), job.spec.ref);
        of_.stop(*v.slot, v.grace);
        futile_preemptions_.clear();  // what stops makes room for others as well
    }
}

/// Whether stopping a task would make its job miss an aim that it can still make.
bool Scheduler::wastes_work(const Job& job, Micros ran) const {
    const auto& aims = goals(job).finished;
    const Micros age = (context_.runtime().wall_clock_ms() - job.since_ms) * kMillisecond;
    const Micros left = std::max<Micros>(job.spec.estimated_duration * 6 / 5 - ran, 2 * kSecond);
    return std::any_of(aims.begin(), aims.end(),
                       [&](Micros goal) { return age + left <= goal && age + left + kSetBack > goal; });
}

/// Idle work of long tasks is bound the more seldom: each bind costs a change, and what was just stopped to
/// make room is likely to be stopped again.
Micros Scheduler::idle_pause(const Job& job) {
    return std::clamp(job.spec.estimated_duration / 20, kIdleEvery, kIdleLong);
}

Scheduler::Zoning Scheduler::zoning_of(const Job& job) const {
    Zoning z;
    z.rule = context_.policy().zone_rule(job.spec);
    if (!z.rule) return z;
    std::set<std::string> standing;
    for (const Machine* m : usable_)
        if (allowed(job, *m)) standing.insert(m->zone);
    z.standing.assign(standing.begin(), standing.end());
    return z;
}

scheduling::ZoneChoice Scheduler::choose_zones(const Job& job, const Zoning& zoning,
                                               const std::map<std::string, int>& per_zone,
                                               const std::vector<std::string>* room) const {
    return scheduling::choose_zones(job.spec, zoning.rule, per_zone, zoning.standing, zones_, room);
}

/// The candidates in zones that take another task of it; `apart`: on machines that do, too.
std::vector<const Candidate*> Scheduler::open_in(const scheduling::ZoneChoice& choice, const Job& job,
                                                 const std::map<std::string, int>& per_zone,
                                                 std::vector<Candidate>& candidates,
                                                 const std::vector<Machine*>& machines, bool apart) const {
    std::map<std::string, double> zones;  // those open, with their penalty
    for (const auto& [zone, most] : choice.most) {
        auto used = per_zone.find(zone);
        if ((used == per_zone.end() ? 0 : used->second) < most) zones[zone] = choice.penalty_in(zone);
    }
    std::vector<const Candidate*> open;
    for (auto& c : candidates) {
        const Machine& m = *machines[c.index];
        auto zone = zones.find(m.zone);
        if (zone == zones.end() || (apart && tasks_on(m, job) >= choice.machine_most)) continue;
        if (!leaves_reserve(job, m.zone)) continue;
        c.penalty = c.own_penalty + zone->second;
        open.push_back(&c);
    }
    return open;
}

int Scheduler::tasks_on(const Machine& m, const Job& job) {
    return static_cast<int>(
        std::count_if(m.tasks.begin(), m.tasks.end(), [&](const auto& t) { return t.job == &job; }));
}

/// Zones with a machine that a task of it fits on.
std::vector<std::string> Scheduler::zones_with_room(const Job& job, const std::vector<Candidate>& candidates,
                                                    const std::vector<Machine*>& machines, int machine_most) {
    std::set<std::string> zones;
    for (const auto& c : candidates) {
        const Machine& m = *machines[c.index];
        if (job.spec.request.fits(c.size - c.reserved) &&
            (machine_most == std::numeric_limits<int>::max() || tasks_on(m, job) < machine_most))
            zones.insert(m.zone);
    }
    return {zones.begin(), zones.end()};
}

std::ptrdiff_t Scheduler::at(const Machine* better, const Job& job, const std::vector<const Candidate*>& open,
                             const std::vector<Machine*>& machines) {
    if (!better) return -1;
    for (const auto* c : open)
        if (machines[c->index] == better && job.spec.request.fits(c->size - c->reserved))
            return static_cast<std::ptrdiff_t>(c->index);
    return -1;
}

/// In the zones where its rule wants the next task, on the `better` machine if there is one with room;
/// `give_way`: else where there is room for it, as far as the rule admits that.
std::ptrdiff_t Scheduler::place_by_zone(const Job& job, const Zoning& zoning,
                                        const std::map<std::string, int>& per_zone,
                                        std::vector<Candidate>& candidates,
                                        const std::vector<Machine*>& machines, bool ready_only, bool give_way,
                                        const Machine* better) {
    const auto asked = choose_zones(job, zoning, per_zone);
    const bool sharing_matters = asked.machine_most < std::numeric_limits<int>::max();
    auto place_in = [&](const scheduling::ZoneChoice& choice, bool apart) {
        const auto open = open_in(choice, job, per_zone, candidates, machines, apart);
        const auto wished = at(better, job, open, machines);
        return wished >= 0 ? wished : place_for(job, parts_of(job, open, machines, ready_only));
    };
    const auto chosen = place_in(asked, sharing_matters);
    if (chosen >= 0 || !give_way) return chosen;
    for (const bool apart : {true, false}) {
        if (!apart && (asked.strict || !sharing_matters)) break;
        const auto room = zones_with_room(job, candidates, machines,
                                          apart ? asked.machine_most : std::numeric_limits<int>::max());
        const auto choice = choose_zones(job, zoning, per_zone, &room);
        const auto found = place_in(choice, apart && sharing_matters);
        if (found >= 0) return found;
    }
    return -1;
}

/// True if nothing is left to place.
bool Scheduler::plan_job(Job& job) {
    const Micros now = context_.runtime().now();
    if (job.spec.kind != JobKind::Gang && is_unschedulable(job)) {
        job.no_room_at = now;
        return false;
    }
    std::vector<Machine*> machines;
    std::vector<Candidate> candidates = candidates_for(job, Reach::Direct, machines);
    if (candidates.empty() && !job.failed_on.empty()) {  // better where it failed than nowhere
        job.failed_on.clear();
        candidates = candidates_for(job, Reach::Direct, machines);
    }
    auto ask_more = [&](Reach reach) {
        const auto more = candidates_for(job, reach, machines);
        candidates.insert(candidates.end(), more.begin(), more.end());
        return !more.empty();
    };
    if (job.spec.kind == JobKind::Gang)
        return plan_gang(job, candidates, machines) ||
               (takes_surplus(job) && ask_more(Reach::Surplus) && plan_gang(job, candidates, machines));
    if (job.is_best_effort() && !job.overdue) job.idle_turn = now + idle_pause(job);

    std::map<std::string, int> per_zone = job.zones();
    const Zoning zoning = zoning_of(job);
    const int zone_cap = job.zone_cap();
    const bool zoned =
        job.spec.spread || job.spec.one_zone || job.spec.kind == JobKind::Service || spares(job);
    std::vector<const Candidate*> open;
    open.reserve(candidates.size());
    std::vector<Part> parts;
    // All tasks bound in one pass share an attempt number; it only tells one start from another.
    const std::int64_t attempt = job.next_attempt;
    bool all = true;
    bool tried_relayed = false, tried_surplus = !takes_surplus(job);
    const bool asks_surplus = !tried_surplus;
    const bool ready_only = job.holding_out = waits_for_image(job);
    const bool pieces = context_.store().is_chunking_enabled();
    while (job.first_idle < job.slots.size() && job.slots[job.first_idle].state != SlotState::Idle)
        ++job.first_idle;
    for (std::size_t i = job.first_idle; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state != SlotState::Idle) continue;
        if (slot.retry_at > now || shard_state_.orphaned_tasks(job.spec.ref, static_cast<int>(i))) {
            all = all && slot.retry_at > now;
            continue;
        }
        // In the first moments of a holder, what is moving waits until its destination has been heard.
        const Machine* better = of_.destination(job, static_cast<int>(i));
        if (better && better->seq == 0 && now - better->known_since < 2 * context_.settings().report_interval)
            continue;
        // A part must not outgrow its value, unless that may be stored in pieces; the next ones have room.
        if (!pieces && job.part_of(static_cast<int>(i)).is_full(job.part_tasks)) {
            i = (i / job.part_tasks + 1) * job.part_tasks - 1;
            continue;
        }
        if (!quota_allows(job, 1)) {  // not for want of room
            miss_quota(job, 1);
            return true;
        }
        if (job.is_best_effort() && !job.overdue) {
            if (idle_room_ < job.spec.request.cores || idle_starts_.take(now, 1) > 0) return true;
            idle_room_ -= job.spec.request.cores;
        }
        std::ptrdiff_t chosen = -1;
        for (;;) {
            if (zoning.rule) {
                chosen = place_by_zone(job, zoning, per_zone, candidates, machines, ready_only, tried_relayed,
                                       better);
            } else {
                // Where zones play no part, only what is bound changes the choice (see below).
                if (zoned || parts.empty()) {
                    open.clear();
                    for (auto& c : candidates) {
                        auto used = per_zone.find(machines[c.index]->zone);
                        const int there = used == per_zone.end() ? 0 : used->second;
                        if (there >= zone_cap) continue;
                        if (job.spec.one_zone && !per_zone.empty() && there == 0) continue;
                        if (!leaves_reserve(job, machines[c.index]->zone)) continue;
                        // Replicas are kept apart beyond what the job asks for.
                        if (job.spec.kind == JobKind::Service) c.penalty = c.own_penalty + 25.0 * there;
                        open.push_back(&c);
                    }
                    parts = parts_of(job, open, machines, ready_only);
                }
                chosen = at(better, job, open, machines);
                if (chosen < 0) chosen = place_for(job, parts);
            }
            if (chosen >= 0 || (tried_relayed && tried_surplus)) break;
            // Better a machine that only others reach than none, and one that is being emptied than none.
            const bool relayed = !std::exchange(tried_relayed, true);
            if (!relayed) tried_surplus = true;
            const bool more = ask_more(relayed ? Reach::Relayed : Reach::Surplus);
            if (!more && !zoning.rule && tried_surplus) break;
            parts.clear();
        }
        if (chosen < 0) {
            if (!ready_only && !zoning.rule && !spares(job)) remember_no_room(job, asks_surplus);
            if (!ready_only) job.no_room_at = now;
            return false;
        }
        job.no_room_at = 0;
        Machine& m = *machines[static_cast<std::size_t>(chosen)];
        bind(job, static_cast<int>(i), m, attempt);
        job.next_attempt = attempt + 1;
        ++per_zone[m.zone];
        auto& c = candidates[static_cast<std::size_t>(chosen)];
        book(c, job);
        if (!std::exchange(c.has_image, true))
            for (auto& part : parts)
                if (auto& list = part.candidates; part.image == Image::Fetching && part.takes(c, m))
                    list.insert(std::lower_bound(list.begin(), list.end(), &c), &c);
        spdlog::info("task {}/{}: attempt {} bound to {}", job.spec.ref, i, slot.attempt, m.name);
        if (job.backing_off || job.overdue) return true;  // one start at a time
    }
    return all;
}

/// A gang binds all its tasks in one pass or none.
bool Scheduler::plan_gang(Job& job, const std::vector<Candidate>& candidates,
                          const std::vector<Machine*>& machines) {
    const Micros now = context_.runtime().now();
    if (job.bound > 0 || job.idle < job.spec.tasks - job.done)
        return true;  // the old attempt is not gone yet
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Idle &&
            (job.slots[i].retry_at > now || shard_state_.orphaned_tasks(job.spec.ref, static_cast<int>(i))))
            return true;
    if (!quota_allows(job, job.idle)) {
        miss_quota(job, job.idle);
        return true;
    }
    std::vector<std::string> zones{""};
    if (job.spec.one_zone) {
        zones.clear();
        for (const auto* m : machines)
            if (std::find(zones.begin(), zones.end(), m->zone) == zones.end()) zones.push_back(m->zone);
        std::shuffle(zones.begin(), zones.end(), context_.runtime().random());
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
                if ((zone.empty() || at == zone) && per_zone[at] < choice.most_in(at) &&
                    leaves_reserve(job, at, per_zone[at]))
                    open.push_back(c);
            }
            const auto pick = place(open, job.spec.request, context_.settings().operators.placement,
                                    context_.runtime().random());
            if (pick < 0) break;
            auto& c = trial[static_cast<std::size_t>(pick)];
            book(c, job);
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
        job.no_room_at = 0;
        return true;
    }
    job.no_room_at = now;
    return false;
}

/// Makes room for a job's waiting tasks: stops what is worth least on the machine where the least is lost.
/// Room that is being made already is claimed first, in the order of the jobs.
void Scheduler::preempt(Job& job) {
    const Micros now = context_.runtime().now();
    // Stopping work that cannot save itself throws it away. Services may always do that; others only when
    // their deadline is near, or when a guarantee has been waited for.
    const std::int64_t now_ms = context_.runtime().wall_clock_ms();
    const bool late =
        now_ms + (job.spec.estimated_duration * 5 / 4 + 3 * kSecond) / kMillisecond > job.due_ms;
    const bool may_waste = job.rank == PriorityClass::Production || (job.rank == PriorityClass::High && late);
    const bool reclaims = job.within_guarantee && now - job.waiting_since > 2 * kSecond;
    // Work of normal rank makes room only where idle work is.
    if (job.rank > PriorityClass::High && !reclaims && (job.rank == PriorityClass::Low || !idle_bound_))
        return;
    // Where the operators want the tasks started soon, room is made for all of them.
    const auto& aims = goals(job).wait;
    // Stopping idle work costs next to nothing.
    const bool idle_only = job.rank > PriorityClass::High && !reclaims;
    const int most = job.rank == PriorityClass::Production || !aims.empty() || idle_only ? job.idle : 1;
    const bool hurries = !aims.empty() && now - job.waiting_since < aims.front();
    if (preemptions_left_ <= 0 || !quota_allows(job, 1)) return;
    const bool ready_only = waits_for_image(job);
    if (!ready_only && !of_.keeps_for(job) && is_futile(job, may_waste, reclaims)) {
        job.image_wait_over = true;
        return;
    }
    std::map<std::string, int> per_zone = job.zones();
    const Zoning zoning = zoning_of(job);
    // Zones in which room may be made; where nothing can be, a rule gives way.
    std::vector<std::string> zones = zoning.standing;
    std::vector<Machine*> within = usable_;
    if (takes_surplus(job)) within.insert(within.end(), surplus_.begin(), surplus_.end());
    for (int waiting = 1; waiting <= most && preemptions_left_ > 0; ++waiting) {
        if (!quota_allows(job, waiting)) return;
        Machine* best = nullptr;
        std::vector<Victim> victims;
        double loss = 0;
        const auto choice = choose_zones(job, zoning, per_zone, zoning.rule ? &zones : nullptr);
        for (Machine* machine : within) {
            Machine& m = *machine;
            if (!allowed(job, m)) continue;
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
            job.image_wait_over = true;
            // Only where the rest of its constraints have not played a part.
            if (!ready_only && !zoning.rule && !job.spec.spread && !job.spec.one_zone)
                futile_preemptions_.push_back({room_of(job), job.rank, may_waste, reclaims, job.spec.team});
            return;
        }
        claimed_[best] += job.spec.request;
        ++per_zone[best->zone];
        if (!victims.empty()) {
            --preemptions_left_;
            futile_preemptions_.clear();  // what stops makes room for others as well
        }
        for (const auto& v : victims) {
            spdlog::info("task {}/{}: stopped to make room for {}", v.job->spec.ref,
                         v.slot - v.job->slots.data(), job.spec.ref);
            of_.stop(*v.slot, v.grace);
        }
    }
}

/// What stopping a task costs. Saving takes its time, in which nothing is done: where less has been done
/// since the last checkpoint, or somebody can't wait for it, the task exits at once.
Scheduler::Victim Scheduler::victim(Slot& slot, Job& job, bool hurries) const {
    const Micros now = context_.runtime().now();
    const Micros ran = slot.run_since ? now - slot.run_since : 0;
    const Micros saving = job.spec.save_duration + kSecond;
    const Micros unsaved = job.spec.checkpoint_interval > 0 ? ran % job.spec.checkpoint_interval : ran;
    const bool saves = job.spec.checkpoint_interval > 0 && !hurries && unsaved > saving;
    // A start that does not last is none for its user.
    const double lost = static_cast<double>(saves ? saving : unsaved) / 1e6 + 1.0 +
                        (ran < kLasting ? kShortStart : 0.0) + (wastes_work(job, ran) ? kSpoilt : 0.0);
    return {&slot, &job, lost * (1.0 + static_cast<double>(job.spec.request.cores) / 1000.0),
            saves ? saving : 0};
}

/// Whether, with its only task stopped, it would be overdue again: then it goes before all but live work,
/// comes back to the same room first, and neither runs.
bool Scheduler::comes_back_first(const Job& job) const {
    if (job.bound > 1 || job.done > 0 || job.backing_off) return false;
    const Micros age = (context_.runtime().wall_clock_ms() - job.since_ms) * kMillisecond;
    return tier(job) != policy::Tier::Live && age >= context_.policy().priority.begin_within;
}

/// What would be lost by making room for one more task on the machine, if that can be done; `taken` tells
/// what would have to be stopped, nothing if enough is stopping already.
std::optional<double> Scheduler::room_for(const Job& job, const Machine& m, bool may_waste, bool reclaims,
                                          bool hurries, std::vector<Victim>& taken) const {
    Resources room = m.type->size - m.reserved - of_.kept_from(job, m);
    if (auto claimed = claimed_.find(&m); claimed != claimed_.end()) room -= claimed->second;
    std::vector<std::pair<Job*, Slot*>> may_stop;
    Resources most;
    const bool live = tier(job) == policy::Tier::Live;
    for (const auto& [other, task] : m.tasks) {
        Slot& slot = other->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound) continue;
        if (slot.stop) {
            room += other->spec.request;  // on its way out already
            continue;
        }
        if (other->spec.kind == JobKind::Gang) continue;
        const bool lower = other->rank == PriorityClass::Low
                               ? job.rank < PriorityClass::Low
                               : job.rank <= PriorityClass::High && other->rank > job.rank &&
                                     (may_waste || other->spec.checkpoint_interval > 0);
        // What ranks higher would only come back to the same room, and be stopped again; so would what is
        // within its own guarantee by now, whatever it was when it last waited.
        const bool reclaim = reclaims && other->rank >= job.rank && other->spec.team != job.spec.team &&
                             !context_.within_guarantee(other->spec.ref);
        if (!lower && !reclaim) continue;
        if (!live && comes_back_first(*other)) continue;
        if (other->spec.kind == JobKind::Service && !reclaim) continue;
        may_stop.emplace_back(other, &slot);
        most += other->spec.request;
    }
    if (job.spec.request.fits(room)) return 0.0;
    if (!job.spec.request.fits(room + most)) return std::nullopt;
    std::vector<Victim> victims;
    victims.reserve(may_stop.size());
    for (const auto& [other, slot] : may_stop) victims.push_back(victim(*slot, *other, hurries));
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    double loss = 0;
    for (const auto& v : victims) {
        if (job.spec.request.fits(room)) break;
        room += v.job->spec.request;
        loss += v.loss;
        taken.push_back(v);
    }
    return loss;
}

}  // namespace cottonway
