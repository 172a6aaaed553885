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
constexpr Micros kPreemptionInterval = 150 * kMillisecond;
constexpr Micros kMinUsefulRun = 30 * kSecond;  // to the user, a start that is stopped sooner does not count
constexpr Micros kMaxBestEffortInterval = 8 * kSecond;
constexpr Micros kRestartDelay = 20 * kSecond;  // that a stop costs a task: saving, waiting, fetching
constexpr double kMissedObjectiveLoss = 30;     // seconds of lost work
constexpr double kShortRunLoss = 10;            // seconds of lost work
constexpr Micros kPeakUseHalfLife = 60 * kSecond;
constexpr double kFetchPenaltyPerSecond = 10;
constexpr Micros kBestEffortInterval = 500 * kMillisecond;
// For this long after a job has found no machine, no part of its team's limit is withheld for it.
constexpr Micros kLacksCapacityPeriod = 10 * kSecond;
// How long other shards have to transfer some of their share of its team's limit for a waiting live task.
// After that, batch tasks of the same team are preempted for it.
constexpr Micros kLimitPreemptionDelay = 2 * kSecond;
// Best-effort starts a second for each core that the process may use: with everything that follows from a
// start (a bind, a launch, reports, a result) that is a fifth of the process's time.
constexpr double kBestEffortStartsPerSecond = 600;
constexpr Micros kDrainingMachinesDelay = 5 * kSecond;  // until then only urgent work takes draining machines
constexpr Micros kPreemptionDelay = 100 * kMillisecond;
constexpr int kMaxPreemptionsPerPass = 20;
}  // namespace

std::map<std::string, int> Job::tasks_by_zone() const {
    std::map<std::string, int> count;
    for (const auto& slot : slots)
        if (slot.machine) ++count[slot.machine->zone];
    return count;
}

Scheduler::Scheduler(ShardContext& context, std::string shard, ShardState& shard_state, Owner& owner)
    : context_(context),
      shard_(std::move(shard)),
      shard_state_(shard_state),
      owner_(owner),
      best_effort_start_budget_(kBestEffortStartsPerSecond * context.settings().cpu_cores,
                                kBestEffortStartsPerSecond * context.settings().cpu_cores) {}

void Scheduler::bind(Job& job, int task, Machine& machine, std::int64_t attempt) {
    shard_state_.bind(job, task, machine, attempt);
    if (auto zone = zone_cores_.find(machine.zone); zone != zone_cores_.end())
        zone->second.free -= job.spec.request.cores;
    owner_.on_task_bound(job, task);
}

policy::Tier Scheduler::tier(const Job& job) const {
    return context_.policy().tier(job.spec, job.rank);
}

/// Counts the cores of each zone, if the policy reserves some of them for live work.
void Scheduler::update_zone_cores() {
    zone_cores_.clear();
    if (context_.policy().priority.live_reserve <= 0) return;
    for (const Machine* machine : usable_machines_) {
        auto& zone = zone_cores_[machine->zone];
        zone.total += machine->type->size.cores;
        zone.free += machine->type->size.cores - machine->reserved.cores;
    }
}

/// Returns whether the job must leave the cores free that are reserved for live work.
bool Scheduler::must_leave_reserve(const Job& job) const {
    return !zone_cores_.empty() && !job.overdue && tier(job) != policy::Tier::Live;
}

/// Returns whether the live reserve of the zone stays free when a task of the job starts there in addition to
/// `unbound_in_zone` tasks of the job that are chosen for the zone and not bound yet.
bool Scheduler::leaves_reserve(const Job& job, const std::string& zone, int unbound_in_zone) const {
    if (!must_leave_reserve(job)) return true;
    auto cores = zone_cores_.find(zone);
    if (cores == zone_cores_.end()) return true;
    const auto reserve = static_cast<Milli>(context_.policy().priority.live_reserve *
                                            static_cast<double>(cores->second.total));
    return cores->second.free - job.spec.request.cores * (unbound_in_zone + 1) >= reserve;
}

/// Records what the job's waiting tasks need beyond the shard's share of the team's limit. A job that waits
/// only because other jobs of its team go first is not recorded.
void Scheduler::record_quota_shortfall(const Job& job, int tasks) {
    if (is_within_limit(job, tasks)) return;
    auto& shortfall = quota_shortfalls_[job.spec.team];
    shortfall.cores += job.spec.request.cores * job.unbound_tasks;
    shortfall.gpus += job.spec.request.gpus * job.unbound_tasks;
}

bool Scheduler::is_allowed(const Job& job, const Machine& machine) {
    return scheduling::can_use_machine(job.spec, machine.type_name, machine.zone, machine.spot);
}

/// Returns what the team would use with `tasks` more tasks of the job.
Resources Scheduler::usage_with(const Job& job, int tasks) const {
    Resources usage = shard_state_.team_usage(job.spec.team);
    usage.cores += job.spec.request.cores * tasks;
    usage.gpus += job.spec.request.gpus * tasks;
    return usage;
}

bool Scheduler::is_within_limit(const Job& job, int tasks) const {
    const Resources share = context_.available_quota(shard_, job.spec.team);
    const Resources usage = usage_with(job, tasks);
    return usage.cores <= share.cores && usage.gpus <= share.gpus;
}

bool Scheduler::is_within_quota(const Job& job, int tasks) const {
    const Resources usage = usage_with(job, tasks);
    return usage.cores <= job.usage_limit.cores && usage.gpus <= job.usage_limit.gpus &&
           is_within_limit(job, tasks);
}

/// Returns whether the current pass has already found no machine for a task that needs at most as much under
/// the same constraints.
bool Scheduler::is_unschedulable(const Job& job) const {
    // Other jobs may have failed only because of the resources that are reserved for this one.
    if (owner_.has_reservation(job)) return false;
    const bool may_use_draining = may_use_draining_machines(job);
    return std::any_of(unschedulable_.begin(), unschedulable_.end(), [&](const Requirement& requirement) {
        return (requirement.includes_draining || !may_use_draining) && requirement.is_at_most(job.spec);
    });
}

void Scheduler::remember_unschedulable(const Job& job, bool includes_draining) {
    const JobSpec& spec = job.spec;
    // `spread` and `one_zone` are no part of a Requirement, so that a failure under them says nothing about
    // other jobs.
    if (spec.spread || spec.one_zone || is_unschedulable(job)) return;
    unschedulable_.push_back(requirement_of(job));
    unschedulable_.back().includes_draining = includes_draining;
}

Scheduler::Requirement Scheduler::requirement_of(const Job& job) {
    return {job.spec.spot, job.spec.zone, job.spec.types, job.spec.request};
}

/// Returns whether a task of the spec has the same constraints and needs at least as much.
bool Scheduler::Requirement::is_at_most(const JobSpec& spec) const {
    return spot == spec.spot && zone == spec.zone && types == spec.types && request.fits(spec.request);
}

/// Returns whether the current pass has already found that no task may be stopped to free as much.
bool Scheduler::is_preemption_futile(const Job& job, bool may_discard_work, bool reclaims_guarantee) const {
    return std::any_of(futile_preemptions_.begin(), futile_preemptions_.end(),
                       [&](const FutilePreemption& futile) {
                           return futile.rank == job.rank && futile.may_discard_work == may_discard_work &&
                                  futile.reclaims_guarantee == reclaims_guarantee &&
                                  (!reclaims_guarantee || futile.team == job.spec.team) &&
                                  futile.requirement.is_at_most(job.spec);
                       });
}

/// Returns the operators' objectives for the job's class, which are looked up once in a pass.
const Scheduler::Objectives& Scheduler::objectives(const Job& job) const {
    auto [it, added] = objectives_by_class_.try_emplace(job.spec.job_class);
    if (added)
        it->second = {context_.settings().objective_time_limits("wait", job.spec.job_class),
                      context_.settings().objective_time_limits("finished", job.spec.job_class)};
    return it->second;
}

/// Returns how long a task would wait for its image. Concurrent fetches share a machine's bandwidth.
Micros Scheduler::image_fetch_time(const Job& job, const Machine& machine) {
    int other_fetches = 0;
    for (const auto& image : machine.images) {
        if (image.name == job.spec.image && image.ready) return 0;
        other_fetches += !image.ready && image.name != job.spec.image;
    }
    const double gb_per_s =
        machine.type && machine.type->fetch_gb_per_s > 0 ? machine.type->fetch_gb_per_s : 1.0;
    return static_cast<Micros>(static_cast<double>(job.spec.image_gb) * 1000.0 / gb_per_s *
                               (1 + other_fetches));
}

/// Where fetching the image would take longer than the operators' wait objective for a service, the scheduler
/// preempts on a machine that has the image instead of starting a fetch on another one. It does so only for
/// as long as the objective can still be met that way.
bool Scheduler::waits_for_image(const Job& job) const {
    if (job.rank != PriorityClass::Production || job.image_wait_over) return false;
    const auto& wait_objectives = objectives(job).wait;
    if (wait_objectives.empty()) return false;
    const Micros waited = context_.runtime().now() - job.waiting_since;
    if (waited > wait_objectives.front() * 3 / 5) return false;
    return std::none_of(usable_machines_.begin(), usable_machines_.end(), [&](const Machine* machine) {
        if (!job.spec.request.fits(machine->type->size - machine->reserved) || !is_allowed(job, *machine))
            return false;
        const Micros fetch = image_fetch_time(job, *machine);
        return fetch > 0 && waited + fetch < wait_objectives.front();
    });
}

/// Computes the cores that best-effort work may take: those that other work has not used lately, so that a
/// burst of other work finds free cores at once. Where there are spot machines, only those count: jobs that
/// cannot use spot machines may wait for the ordinary ones.
void Scheduler::update_best_effort_cores() {
    const Micros now = context_.runtime().now();
    spot_machine_count_ = std::count_if(usable_machines_.begin(), usable_machines_.end(),
                                        [](const Machine* machine) { return machine->spot; });
    Milli total = 0, used = 0, best_effort = 0;
    for (const Machine* machine : usable_machines_) {
        if (spot_machine_count_ > 0 && !machine->spot) continue;
        total += machine->type->size.cores;
        used += machine->reserved.cores - machine->low_priority_cores;
        best_effort += machine->low_priority_cores;
    }
    // Waiting tasks count as used as far as their team's limit lets them start; the others take no cores.
    std::map<std::string, Milli> waiting_cores;
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.spot || spot_machine_count_ == 0)
            waiting_cores[job->spec.team] += job->spec.request.cores * job->waiting_tasks();
    for (const auto& [team, cores] : waiting_cores)
        used += std::clamp<Milli>(
            context_.available_quota(shard_, team).cores - shard_state_.team_usage(team).cores, 0, cores);
    const auto elapsed = static_cast<double>(peak_updated_at_ > 0 ? now - peak_updated_at_ : 0);
    peak_updated_at_ = now;
    peak_used_cores_ =
        std::max(static_cast<double>(std::min(used, total)),
                 peak_used_cores_ * std::exp2(-elapsed / static_cast<double>(kPeakUseHalfLife)));
    best_effort_cores_ = total - static_cast<Milli>(peak_used_cores_) - best_effort;
}

/// Returns whether the job misses its first objective in any case and is in no danger yet of missing a later
/// one. Jobs of its rank that can still meet theirs go first.
bool Scheduler::can_wait(const Job& job) const {
    const auto& finish_objectives = objectives(job).finished;
    if (finish_objectives.empty()) return false;
    const Micros age = (context_.runtime().wall_clock_ms() - job.eligible_since_ms) * kMillisecond;
    const Micros needed =
        job.spec.estimated_duration + job.spec.estimated_duration / 3;  // the slowest of several tasks
    if (age + needed <= finish_objectives.front()) return false;
    return finish_objectives.size() == 1 || age + needed < finish_objectives.back() * 3 / 4;
}

/// Returns whether the job is allowed on the machine and should still not use it: a machine that it failed
/// on, until a task of it has run elsewhere; and an ordinary machine for best-effort work that may use spot
/// machines, as jobs that may not use those could wait for it.
bool Scheduler::avoids(const Job& job, const Machine& machine) const {
    if (job.failed_machines.count(machine.name)) return true;
    return job.is_best_effort() && job.spec.spot && !machine.spot && spot_machine_count_ > 0;
}

void Scheduler::update_gpu_demand() {
    gpu_demand_.reset();
    if (!context_.policy().gpus.pack) return;
    if (std::none_of(shard_state_.machines.begin(), shard_state_.machines.end(), [](const auto& entry) {
            return entry.second->type && entry.second->type->size.gpus > 0;
        }))
        return;
    gpu_demand_.emplace();
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->dependencies_done)
            gpu_demand_->add(job->spec.request.gpus, job->unbound_tasks, job->bound_tasks);
}

/// Returns whether the job takes machines that are being drained once it finds no other: urgent work at once,
/// other work after it has waited for longer than tasks usually take to end and free a machine. Best-effort
/// work never does.
bool Scheduler::may_use_draining_machines(const Job& job) const {
    if (draining_machines_.empty() || (job.is_best_effort() && !job.overdue)) return false;
    return job.rank <= PriorityClass::High ||
           context_.runtime().now() - job.waiting_since > kDrainingMachinesDelay;
}

/// Returns the machines of a group that the job may use and appends them to `machines`. Whether a task fits
/// is left to the placement steps.
std::vector<Candidate> Scheduler::candidates_for(const Job& job, MachineGroup group,
                                                 std::vector<Machine*>& machines) {
    std::vector<Candidate> candidates;
    candidates.reserve(usable_machines_.size());
    machines.reserve(usable_machines_.size());
    for (Machine* machine : group == MachineGroup::Draining ? draining_machines_ : usable_machines_) {
        if (group != MachineGroup::Draining && machine->is_relay_only() != (group == MachineGroup::Relayed))
            continue;
        if (!is_allowed(job, *machine) || avoids(job, *machine)) continue;
        Candidate candidate;
        candidate.index = machines.size();
        candidate.size = machine->type->size;
        candidate.reserved = machine->reserved + owner_.resources_reserved_for_others(job, *machine);
        candidate.tasks = static_cast<int>(machine->tasks.size());
        for (const auto& image : machine->images)
            if (image.name == job.spec.image) {
                candidate.has_image = true;
                candidate.image_ready = image.ready;
            }
        // Urgent work starts where its image is ready soonest.
        if (job.rank <= PriorityClass::High)
            candidate.penalty +=
                kFetchPenaltyPerSecond * static_cast<double>(image_fetch_time(job, *machine)) / 1e6;
        if (gpu_demand_)
            candidate.penalty +=
                scheduling::gpu_penalty(candidate.size, candidate.reserved, job.spec.request, *gpu_demand_);
        candidate.machine_penalty = candidate.penalty;
        candidates.push_back(candidate);
        machines.push_back(machine);
    }
    return candidates;
}

/// Returns groups of candidates, the best group first; the placement steps run over one group after another.
/// For urgent work, machines that have the image come first, then those that are fetching it, since a fetch
/// takes longer than anything else in a start. For work that may use spot machines, those come first, so that
/// the ordinary ones are left to work that may not. For work without GPUs, machines without GPUs come first.
std::vector<Scheduler::CandidateGroup> Scheduler::group_candidates(
    const Job& job, const std::vector<const Candidate*>& eligible, const std::vector<Machine*>& machines,
    bool image_ready_only) const {
    std::vector<ImageRequirement> image_order{ImageRequirement::Any};
    // Work of low rank is placed together where its image is, so that one report and one change cover many of
    // its tasks.
    if (job.rank <= PriorityClass::High || job.rank == PriorityClass::Low)
        image_order = {ImageRequirement::Ready, ImageRequirement::Fetching, ImageRequirement::Any};
    if (image_ready_only) image_order = {ImageRequirement::Ready};
    // Work without GPUs takes machines without GPUs first; urgent work only where its image is ready as soon.
    const bool prefers_no_gpus = gpu_demand_ && job.spec.request.gpus <= 0;
    std::vector<std::pair<ImageRequirement, bool>> steps;
    if (prefers_no_gpus && job.rank > PriorityClass::High)
        for (const ImageRequirement image : image_order) steps.emplace_back(image, true);
    for (const ImageRequirement image : image_order) {
        if (prefers_no_gpus && job.rank <= PriorityClass::High) steps.emplace_back(image, true);
        steps.emplace_back(image, false);
    }
    std::vector<CandidateGroup> groups;
    for (const auto& [image, without_gpus_only] : steps)
        for (const bool spot_only : {true, false}) {
            if (spot_only && !job.spec.spot) continue;
            CandidateGroup& group =
                groups.emplace_back(CandidateGroup{image, spot_only, without_gpus_only, {}});
            for (const auto* candidate : eligible)
                if (group.accepts(*candidate, *machines[candidate->index]))
                    group.candidates.push_back(candidate);
        }
    return groups;
}

bool Scheduler::CandidateGroup::accepts(const Candidate& candidate, const Machine& machine) const {
    if ((spot_only && !machine.spot) || (without_gpus_only && candidate.size.gpus > 0)) return false;
    return image == ImageRequirement::Any || candidate.image_ready ||
           (image == ImageRequirement::Fetching && candidate.has_image);
}

std::ptrdiff_t Scheduler::place_in_groups(const Job& job, const std::vector<CandidateGroup>& groups) {
    for (const auto& group : groups) {
        const auto chosen = place(group.candidates, job.spec.request, context_.settings().operators.placement,
                                  context_.runtime().random());
        if (chosen >= 0) return chosen;
    }
    return -1;
}

/// Counts a task of the job, which is to start on the candidate, in the candidate's resources and penalty.
void Scheduler::add_task(Candidate& candidate, const Job& job) const {
    const Resources& request = job.spec.request;
    auto gpu_penalty = [&] {
        return gpu_demand_
                   ? scheduling::gpu_penalty(candidate.size, candidate.reserved, request, *gpu_demand_)
                   : 0.0;
    };
    const double before = gpu_penalty();
    candidate.reserved += request;
    const double increase = gpu_penalty() - before;
    candidate.machine_penalty += increase;
    candidate.penalty += increase;
    ++candidate.tasks;
}

scheduling::QueuedJob Scheduler::queued_job(const Job& job, std::size_t index) const {
    const Micros now = context_.runtime().now();
    const std::int64_t age_ms =
        std::max<std::int64_t>(context_.runtime().wall_clock_ms() - job.eligible_since_ms, 0);
    const JobSpec& spec = job.spec;
    scheduling::QueuedJob queued;
    queued.index = index;
    queued.team = spec.team;
    queued.tier = tier(job);
    queued.rank = job.rank;
    queued.within_guarantee = job.within_guarantee;
    queued.can_wait = can_wait(job);
    queued.deadline_ms = job.deadline_ms;
    // The job with the least work left goes first, so that one wide array does not delay many small jobs.
    // Waiting makes up for size, so that no job starves.
    const auto remaining_work = static_cast<double>(job.unbound_tasks + job.bound_tasks) *
                                static_cast<double>(std::max<Milli>(spec.request.cores, 1)) *
                                static_cast<double>(std::max<Micros>(spec.estimated_duration, kSecond)) / 1e6;
    queued.remaining_work_by_age = remaining_work / static_cast<double>(age_ms + 10'000);
    queued.age = age_ms * kMillisecond;
    // A best-effort job counts as started only while a task of it runs, so that one runs at least once the
    // job is overdue.
    queued.has_started =
        job.bound_tasks > 0 || job.backing_off || (job.done_tasks > 0 && !job.is_best_effort());
    queued.lacks_capacity = job.no_capacity_at > 0 && now - job.no_capacity_at < kLacksCapacityPeriod;
    auto resources_of = [&spec](int tasks) {
        return Resources{spec.request.cores * tasks, spec.request.gpus * tasks, 0};
    };
    queued.waiting_request = resources_of(job.unbound_tasks);
    queued.next_start_request = resources_of(spec.kind == JobKind::Gang ? job.unbound_tasks : 1);
    return queued;
}

std::map<std::string, scheduling::TeamUsage> Scheduler::usage_by_team() const {
    std::map<std::string, scheduling::TeamUsage> teams;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->bound_tasks == 0) continue;
        auto& used = teams[job->spec.team].used_by_tier[tier(*job)];
        used.cores += job->spec.request.cores * job->bound_tasks;
        used.gpus += job->spec.request.gpus * job->bound_tasks;
    }
    for (const auto& team : context_.settings().teams)
        teams[team.name].limit = context_.available_quota(shard_, team.name);
    return teams;
}

/// Returns the jobs that may be placed now, ordered by reference, so that every owner gets the same order.
std::vector<Job*> Scheduler::eligible_jobs(bool is_best_effort_due) {
    const Micros now = context_.runtime().now();
    std::vector<Job*> waiting;
    for (auto& [ref, job] : shard_state_.jobs) {
        if (job->stage != Stage::Queued || job->transferring || job->unbound_tasks == 0) continue;
        // The dependency check: every bind comes from here, so no task of a job starts before all jobs that
        // it depends on are done.
        if (!job->dependencies_done) continue;
        if (job->backing_off && (now < job->next_try_at || job->bound_tasks > 0)) continue;
        job->within_guarantee = context_.within_guarantee(ref);
        if (job->is_best_effort() && (!is_best_effort_due || now < job->next_best_effort_bind_at)) continue;
        waiting.push_back(job.get());
    }
    return waiting;
}

void Scheduler::run_pass() {
    const Micros now = context_.runtime().now();
    // Best-effort work is bound in batches, which takes fewer changes and less time.
    const bool is_best_effort_due = now - best_effort_scheduled_at_ >= kBestEffortInterval;
    if (is_best_effort_due) best_effort_scheduled_at_ = now;
    objectives_by_class_.clear();
    // Nothing that a pass does changes which machines are usable.
    usable_machines_.clear();
    draining_machines_.clear();
    for (const auto& [name, machine] : shard_state_.machines)
        if (owner_.is_usable(*machine))
            usable_machines_.push_back(machine.get());
        else if (owner_.is_usable_but_draining(*machine))
            draining_machines_.push_back(machine.get());
    const std::vector<Job*> waiting = eligible_jobs(is_best_effort_due);
    std::vector<scheduling::QueuedJob> queue;
    queue.reserve(waiting.size());
    for (const Job* job : waiting) queue.push_back(queued_job(*job, queue.size()));
    unschedulable_.clear();
    const auto& configured_zones = context_.settings().zones;
    std::set<std::string> zones(configured_zones.begin(), configured_zones.end());
    for (const auto& [name, machine] : shard_state_.machines) zones.insert(machine->zone);
    all_zones_.assign(zones.begin(), zones.end());
    futile_preemptions_.clear();
    if (is_best_effort_due) update_best_effort_cores();
    update_gpu_demand();
    update_zone_cores();
    has_bound_low_rank_ =
        std::any_of(shard_state_.jobs.begin(), shard_state_.jobs.end(), [](const auto& entry) {
            return entry.second->rank == PriorityClass::Low && entry.second->bound_tasks > 0;
        });
    quota_shortfalls_.clear();
    claimed_.clear();
    preemptions_left_ = kMaxPreemptionsPerPass;
    const bool may_preempt = now - last_preemption_pass_at_ >= kPreemptionInterval;
    if (may_preempt) last_preemption_pass_at_ = now;
    for (const auto& entry : scheduling::queue_order(queue, usage_by_team(), context_.policy().priority)) {
        Job& job = *waiting[entry.index];
        if (job.unbound_tasks == 0)
            continue;  // its entry as an overdue job has already placed all of its tasks
        job.usage_limit = {entry.max_team_cores, entry.max_team_gpus, 0};
        job.overdue = entry.overdue;
        const bool placed = place_job(job);
        if (!placed && !job.overdue && may_preempt && !job.backing_off &&
            (now - job.waiting_since > kPreemptionDelay || job.rank == PriorityClass::Production))
            preempt(job);
        if (may_preempt && tier(job) == policy::Tier::Live && job.unbound_tasks > 0 &&
            !is_within_limit(job, 1) && now - job.waiting_since > kLimitPreemptionDelay)
            preempt_within_team_limit(job);
    }
    usable_machines_.clear();
}

/// Stops as much batch work of the live job's own team as one more task of the job needs within the team's
/// limit, the least loss first: live work goes before batch work inside that limit as well.
void Scheduler::preempt_within_team_limit(const Job& job) {
    const Resources share = context_.available_quota(shard_, job.spec.team);
    Resources excess = usage_with(job, 1) - share;
    std::vector<Victim> victims;
    for (auto& [ref, other] : shard_state_.jobs) {
        if (other->spec.team != job.spec.team || other->bound_tasks == 0) continue;
        const bool is_batch = other->rank > job.rank && other->spec.kind == JobKind::Array;
        for (auto& slot : other->slots) {
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop_requested)
                excess -= other->spec.request;  // is stopping already
            else if (is_batch)
                victims.push_back(evaluate_victim(slot, *other, false));
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    for (const auto& victim : victims) {
        if ((excess.cores <= 0 && excess.gpus <= 0) || preemptions_left_ <= 0) return;
        // Stopping a task without GPUs is of no use when only GPUs are missing.
        if (excess.cores <= 0 && victim.job->spec.request.gpus == 0) continue;
        excess -= victim.job->spec.request;
        --preemptions_left_;
        spdlog::info("task {}/{}: stopped, {} needs its share of the team's limit", victim.job->spec.ref,
                     victim.slot - victim.job->slots.data(), job.spec.ref);
        owner_.stop(*victim.slot, victim.grace);
        futile_preemptions_.clear();  // the task that stops frees resources for other jobs as well
    }
}

/// Returns whether a stop of one of the job's tasks would make the job miss an objective that it can still
/// meet.
bool Scheduler::stop_misses_objective(const Job& job, Micros ran) const {
    const auto& finish_objectives = objectives(job).finished;
    const Micros age = (context_.runtime().wall_clock_ms() - job.eligible_since_ms) * kMillisecond;
    const Micros left = std::max<Micros>(job.spec.estimated_duration * 6 / 5 - ran, 2 * kSecond);
    return std::any_of(finish_objectives.begin(), finish_objectives.end(), [&](Micros objective) {
        return age + left <= objective && age + left + kRestartDelay > objective;
    });
}

/// Returns the time between two rounds of binding for a best-effort job. The longer its tasks run, the less
/// often they are bound: each bind costs a change, and a task that was just preempted is likely to be
/// preempted again.
Micros Scheduler::best_effort_interval(const Job& job) {
    return std::clamp(job.spec.estimated_duration / 20, kBestEffortInterval, kMaxBestEffortInterval);
}

Scheduler::ZoneConstraints Scheduler::zone_constraints(const Job& job) const {
    ZoneConstraints constraints;
    constraints.rule = context_.policy().zone_rule(job.spec);
    if (!constraints.rule) return constraints;
    std::set<std::string> usable_zones;
    for (const Machine* machine : usable_machines_)
        if (is_allowed(job, *machine)) usable_zones.insert(machine->zone);
    constraints.usable_zones.assign(usable_zones.begin(), usable_zones.end());
    return constraints;
}

scheduling::ZoneChoice Scheduler::choose_zones(const Job& job, const ZoneConstraints& constraints,
                                               const std::map<std::string, int>& tasks_by_zone,
                                               const std::vector<std::string>* zones_with_capacity) const {
    return scheduling::choose_zones(job.spec, constraints.rule, tasks_by_zone, constraints.usable_zones,
                                    all_zones_, zones_with_capacity);
}

/// Returns the candidates in zones that may take another task of the job; with `limit_per_machine`, only
/// those on machines that may take another one, too.
std::vector<const Candidate*> Scheduler::eligible_candidates(
    const scheduling::ZoneChoice& choice, const Job& job, const std::map<std::string, int>& tasks_by_zone,
    std::vector<Candidate>& candidates, const std::vector<Machine*>& machines, bool limit_per_machine) const {
    std::map<std::string, double> zone_penalties;  // of the zones that may take another task
    for (const auto& [zone, max_tasks] : choice.max_tasks) {
        auto tasks = tasks_by_zone.find(zone);
        if ((tasks == tasks_by_zone.end() ? 0 : tasks->second) < max_tasks)
            zone_penalties[zone] = choice.penalty_in(zone);
    }
    std::vector<const Candidate*> eligible;
    for (auto& candidate : candidates) {
        const Machine& machine = *machines[candidate.index];
        auto zone = zone_penalties.find(machine.zone);
        if (zone == zone_penalties.end() ||
            (limit_per_machine && tasks_on(machine, job) >= choice.max_tasks_per_machine))
            continue;
        if (!leaves_reserve(job, machine.zone)) continue;
        candidate.penalty = candidate.machine_penalty + zone->second;
        eligible.push_back(&candidate);
    }
    return eligible;
}

int Scheduler::tasks_on(const Machine& machine, const Job& job) {
    return static_cast<int>(std::count_if(machine.tasks.begin(), machine.tasks.end(),
                                          [&](const auto& task) { return task.job == &job; }));
}

/// Returns the zones with a machine that a task of the job fits on and that holds fewer than
/// `max_tasks_per_machine` tasks of the job.
std::vector<std::string> Scheduler::find_zones_with_capacity(const Job& job,
                                                             const std::vector<Candidate>& candidates,
                                                             const std::vector<Machine*>& machines,
                                                             int max_tasks_per_machine) {
    std::set<std::string> zones;
    for (const auto& candidate : candidates) {
        const Machine& machine = *machines[candidate.index];
        if (job.spec.request.fits(candidate.size - candidate.reserved) &&
            (max_tasks_per_machine == std::numeric_limits<int>::max() ||
             tasks_on(machine, job) < max_tasks_per_machine))
            zones.insert(machine.zone);
    }
    return {zones.begin(), zones.end()};
}

std::ptrdiff_t Scheduler::index_of_preferred(const Machine* preferred, const Job& job,
                                             const std::vector<const Candidate*>& eligible,
                                             const std::vector<Machine*>& machines) {
    if (!preferred) return -1;
    for (const auto* candidate : eligible)
        if (machines[candidate->index] == preferred &&
            job.spec.request.fits(candidate->size - candidate->reserved))
            return static_cast<std::ptrdiff_t>(candidate->index);
    return -1;
}

/// Places the next task in the zones where the job's rule wants it, on the `preferred` machine if there is
/// one with enough free resources. With `may_relax_rule`, places it otherwise in any zone that has enough, as
/// far as the rule permits.
std::ptrdiff_t Scheduler::place_by_zone(const Job& job, const ZoneConstraints& constraints,
                                        const std::map<std::string, int>& tasks_by_zone,
                                        std::vector<Candidate>& candidates,
                                        const std::vector<Machine*>& machines, bool image_ready_only,
                                        bool may_relax_rule, const Machine* preferred) {
    const auto wanted = choose_zones(job, constraints, tasks_by_zone);
    const bool has_machine_limit = wanted.max_tasks_per_machine < std::numeric_limits<int>::max();
    auto place_in = [&](const scheduling::ZoneChoice& choice, bool limit_per_machine) {
        const auto eligible =
            eligible_candidates(choice, job, tasks_by_zone, candidates, machines, limit_per_machine);
        const auto on_preferred = index_of_preferred(preferred, job, eligible, machines);
        return on_preferred >= 0
                   ? on_preferred
                   : place_in_groups(job, group_candidates(job, eligible, machines, image_ready_only));
    };
    const auto chosen = place_in(wanted, has_machine_limit);
    if (chosen >= 0 || !may_relax_rule) return chosen;
    for (const bool limit_per_machine : {true, false}) {
        if (!limit_per_machine && (wanted.strict || !has_machine_limit)) break;
        const auto zones_with_capacity = find_zones_with_capacity(
            job, candidates, machines,
            limit_per_machine ? wanted.max_tasks_per_machine : std::numeric_limits<int>::max());
        const auto relaxed = choose_zones(job, constraints, tasks_by_zone, &zones_with_capacity);
        const auto found = place_in(relaxed, limit_per_machine && has_machine_limit);
        if (found >= 0) return found;
    }
    return -1;
}

/// Binds as many of the job's waiting tasks as possible. Returns false if a task found no machine; true if no
/// task is left to place in this pass.
bool Scheduler::place_job(Job& job) {
    const Micros now = context_.runtime().now();
    if (job.spec.kind != JobKind::Gang && is_unschedulable(job)) {
        job.no_capacity_at = now;
        return false;
    }
    std::vector<Machine*> machines;
    std::vector<Candidate> candidates = candidates_for(job, MachineGroup::Direct, machines);
    if (candidates.empty() &&
        !job.failed_machines.empty()) {  // a machine where it failed is better than none
        job.failed_machines.clear();
        candidates = candidates_for(job, MachineGroup::Direct, machines);
    }
    auto add_candidates = [&](MachineGroup group) {
        const auto more = candidates_for(job, group, machines);
        candidates.insert(candidates.end(), more.begin(), more.end());
        return !more.empty();
    };
    if (job.spec.kind == JobKind::Gang)
        return place_gang(job, candidates, machines) ||
               (may_use_draining_machines(job) && add_candidates(MachineGroup::Draining) &&
                place_gang(job, candidates, machines));
    if (job.is_best_effort() && !job.overdue) job.next_best_effort_bind_at = now + best_effort_interval(job);

    std::map<std::string, int> tasks_by_zone = job.tasks_by_zone();
    const ZoneConstraints constraints = zone_constraints(job);
    const int max_tasks_per_zone = job.max_tasks_per_zone();
    const bool depends_on_zone =
        job.spec.spread || job.spec.one_zone || job.spec.kind == JobKind::Service || must_leave_reserve(job);
    std::vector<const Candidate*> eligible;
    eligible.reserve(candidates.size());
    std::vector<CandidateGroup> groups;
    // All tasks that are bound in one pass share an attempt number, which only distinguishes one start of a
    // task from another.
    const std::int64_t attempt = job.next_attempt;
    bool all_placed = true;
    bool tried_relayed = false, tried_draining = !may_use_draining_machines(job);
    const bool includes_draining = !tried_draining;
    const bool image_ready_only = job.waiting_for_image = waits_for_image(job);
    const bool values_are_chunked = context_.store().is_chunking_enabled();
    while (job.first_unbound < job.slots.size() && job.slots[job.first_unbound].state != SlotState::Unbound)
        ++job.first_unbound;
    for (std::size_t i = job.first_unbound; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state != SlotState::Unbound) continue;
        if (slot.retry_at > now || shard_state_.has_orphaned_task(job.spec.ref, static_cast<int>(i))) {
            all_placed = all_placed && slot.retry_at > now;
            continue;
        }
        // Just after the shard has changed owners, a task that is being moved waits until its destination has
        // sent a report.
        const Machine* preferred = owner_.move_destination(job, static_cast<int>(i));
        if (preferred && preferred->seq == 0 &&
            now - preferred->known_since < 2 * context_.settings().report_interval)
            continue;
        // Unless values are stored in chunks, a stored part must not grow beyond the size of one value. The
        // following parts still have space for theirs.
        if (!values_are_chunked && job.part_of(static_cast<int>(i)).is_full(job.tasks_per_part)) {
            i = (i / job.tasks_per_part + 1) * job.tasks_per_part - 1;
            continue;
        }
        if (!is_within_quota(job, 1)) {  // no lack of machines, so preemption would not help
            record_quota_shortfall(job, 1);
            return true;
        }
        if (job.is_best_effort() && !job.overdue) {
            if (best_effort_cores_ < job.spec.request.cores || best_effort_start_budget_.take(now, 1) > 0)
                return true;
            best_effort_cores_ -= job.spec.request.cores;
        }
        std::ptrdiff_t chosen = -1;
        for (;;) {
            if (constraints.rule) {
                chosen = place_by_zone(job, constraints, tasks_by_zone, candidates, machines,
                                       image_ready_only, tried_relayed, preferred);
            } else {
                // For a job that does not depend on zones, only a bind changes the choice, which the code
                // below handles.
                if (depends_on_zone || groups.empty()) {
                    eligible.clear();
                    for (auto& candidate : candidates) {
                        auto tasks = tasks_by_zone.find(machines[candidate.index]->zone);
                        const int tasks_in_zone = tasks == tasks_by_zone.end() ? 0 : tasks->second;
                        if (tasks_in_zone >= max_tasks_per_zone) continue;
                        if (job.spec.one_zone && !tasks_by_zone.empty() && tasks_in_zone == 0) continue;
                        if (!leaves_reserve(job, machines[candidate.index]->zone)) continue;
                        // The replicas of a service are spread over zones even if the job does not ask for
                        // it.
                        if (job.spec.kind == JobKind::Service)
                            candidate.penalty = candidate.machine_penalty + 25.0 * tasks_in_zone;
                        eligible.push_back(&candidate);
                    }
                    groups = group_candidates(job, eligible, machines, image_ready_only);
                }
                chosen = index_of_preferred(preferred, job, eligible, machines);
                if (chosen < 0) chosen = place_in_groups(job, groups);
            }
            if (chosen >= 0 || (tried_relayed && tried_draining)) break;
            // A machine that only other controllers reach is better than none, and so is one that is being
            // drained.
            const bool relayed = !std::exchange(tried_relayed, true);
            if (!relayed) tried_draining = true;
            const bool found_more = add_candidates(relayed ? MachineGroup::Relayed : MachineGroup::Draining);
            if (!found_more && !constraints.rule && tried_draining) break;
            groups.clear();
        }
        if (chosen < 0) {
            if (!image_ready_only && !constraints.rule && !must_leave_reserve(job))
                remember_unschedulable(job, includes_draining);
            if (!image_ready_only) job.no_capacity_at = now;
            return false;
        }
        job.no_capacity_at = 0;
        Machine& machine = *machines[static_cast<std::size_t>(chosen)];
        bind(job, static_cast<int>(i), machine, attempt);
        job.next_attempt = attempt + 1;
        ++tasks_by_zone[machine.zone];
        auto& candidate = candidates[static_cast<std::size_t>(chosen)];
        add_task(candidate, job);
        if (!std::exchange(candidate.has_image, true))
            for (auto& group : groups)
                if (auto& members = group.candidates;
                    group.image == ImageRequirement::Fetching && group.accepts(candidate, machine))
                    members.insert(std::lower_bound(members.begin(), members.end(), &candidate), &candidate);
        spdlog::info("task {}/{}: attempt {} bound to {}", job.spec.ref, i, slot.attempt, machine.name);
        if (job.backing_off || job.overdue) return true;  // these start one task at a time
    }
    return all_placed;
}

/// Binds all tasks of a gang in one pass or none.
bool Scheduler::place_gang(Job& job, const std::vector<Candidate>& candidates,
                           const std::vector<Machine*>& machines) {
    const Micros now = context_.runtime().now();
    if (job.bound_tasks > 0 || job.unbound_tasks < job.spec.tasks - job.done_tasks)
        return true;  // the previous attempt is not confirmed terminated yet
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Unbound &&
            (job.slots[i].retry_at > now ||
             shard_state_.has_orphaned_task(job.spec.ref, static_cast<int>(i))))
            return true;
    if (!is_within_quota(job, job.unbound_tasks)) {
        record_quota_shortfall(job, job.unbound_tasks);
        return true;
    }
    std::vector<std::string> zones{""};
    if (job.spec.one_zone) {
        zones.clear();
        for (const auto* machine : machines)
            if (std::find(zones.begin(), zones.end(), machine->zone) == zones.end())
                zones.push_back(machine->zone);
        std::shuffle(zones.begin(), zones.end(), context_.runtime().random());
    }
    const ZoneConstraints constraints = zone_constraints(job);
    for (const auto& zone : zones) {
        std::vector<Candidate> trial = candidates;
        std::map<std::string, int> tasks_by_zone;
        std::vector<std::pair<int, Machine*>> chosen;
        for (std::size_t i = 0; i < job.slots.size(); ++i) {
            if (job.slots[i].state != SlotState::Unbound) continue;
            std::vector<std::string> zones_with_capacity;
            if (constraints.rule)
                zones_with_capacity =
                    find_zones_with_capacity(job, trial, machines, std::numeric_limits<int>::max());
            const auto choice = choose_zones(job, constraints, tasks_by_zone,
                                             constraints.rule ? &zones_with_capacity : nullptr);
            std::vector<Candidate> eligible;
            for (const auto& candidate : trial) {
                const std::string& candidate_zone = machines[candidate.index]->zone;
                if ((zone.empty() || candidate_zone == zone) &&
                    tasks_by_zone[candidate_zone] < choice.max_tasks_in(candidate_zone) &&
                    leaves_reserve(job, candidate_zone, tasks_by_zone[candidate_zone]))
                    eligible.push_back(candidate);
            }
            const auto index = place(eligible, job.spec.request, context_.settings().operators.placement,
                                     context_.runtime().random());
            if (index < 0) break;
            auto& candidate = trial[static_cast<std::size_t>(index)];
            add_task(candidate, job);
            Machine* machine = machines[static_cast<std::size_t>(index)];
            ++tasks_by_zone[machine->zone];
            chosen.emplace_back(static_cast<int>(i), machine);
        }
        if (static_cast<int>(chosen.size()) < job.unbound_tasks) continue;
        const std::int64_t attempt = job.next_attempt++;
        for (const auto& [task, machine] : chosen) {
            bind(job, task, *machine, attempt);
        }
        spdlog::info("gang {}: attempt {} bound, {} tasks", job.spec.ref, attempt, chosen.size());
        job.no_capacity_at = 0;
        return true;
    }
    job.no_capacity_at = now;
    return false;
}

/// Frees resources for a job's waiting tasks: stops the tasks of least value on the machine where the least
/// is lost. Resources that are being freed already are claimed first, in the order of the jobs.
void Scheduler::preempt(Job& job) {
    const Micros now = context_.runtime().now();
    // Stopping work that cannot save its progress discards that work. Jobs of production rank may always do
    // that; others only when their deadline is near, or to reclaim a guarantee that they have waited for.
    const std::int64_t now_ms = context_.runtime().wall_clock_ms();
    const bool is_late =
        now_ms + (job.spec.estimated_duration * 5 / 4 + 3 * kSecond) / kMillisecond > job.deadline_ms;
    const bool may_discard_work =
        job.rank == PriorityClass::Production || (job.rank == PriorityClass::High && is_late);
    const bool reclaims_guarantee = job.within_guarantee && now - job.waiting_since > 2 * kSecond;
    // Work of normal rank preempts only work of low rank.
    if (job.rank > PriorityClass::High && !reclaims_guarantee &&
        (job.rank == PriorityClass::Low || !has_bound_low_rank_))
        return;
    // With a wait objective of the operators, resources are freed for all waiting tasks at once.
    const auto& wait_objectives = objectives(job).wait;
    // Stopping work of low rank costs next to nothing.
    const bool low_rank_only = job.rank > PriorityClass::High && !reclaims_guarantee;
    const int max_tasks = job.rank == PriorityClass::Production || !wait_objectives.empty() || low_rank_only
                              ? job.unbound_tasks
                              : 1;
    const bool stop_at_once = !wait_objectives.empty() && now - job.waiting_since < wait_objectives.front();
    if (preemptions_left_ <= 0 || !is_within_quota(job, 1)) return;
    const bool image_ready_only = waits_for_image(job);
    if (!image_ready_only && !owner_.has_reservation(job) &&
        is_preemption_futile(job, may_discard_work, reclaims_guarantee)) {
        job.image_wait_over = true;
        return;
    }
    std::map<std::string, int> tasks_by_zone = job.tasks_by_zone();
    const ZoneConstraints constraints = zone_constraints(job);
    // Zones in which resources may be freed. A zone where nothing can be freed is dropped, and the zone rule
    // is relaxed accordingly.
    std::vector<std::string> zones = constraints.usable_zones;
    std::vector<Machine*> machines = usable_machines_;
    if (may_use_draining_machines(job))
        machines.insert(machines.end(), draining_machines_.begin(), draining_machines_.end());
    for (int waiting = 1; waiting <= max_tasks && preemptions_left_ > 0; ++waiting) {
        if (!is_within_quota(job, waiting)) return;
        Machine* best = nullptr;
        std::vector<Victim> victims;
        double least_loss = 0;
        const auto choice =
            choose_zones(job, constraints, tasks_by_zone, constraints.rule ? &zones : nullptr);
        for (Machine* candidate : machines) {
            Machine& machine = *candidate;
            if (!is_allowed(job, machine)) continue;
            if (image_ready_only && image_fetch_time(job, machine) > 0) continue;
            auto tasks = tasks_by_zone.find(machine.zone);
            const int tasks_in_zone = tasks == tasks_by_zone.end() ? 0 : tasks->second;
            if (tasks_in_zone >= choice.max_tasks_in(machine.zone)) continue;
            if (choice.strict && tasks_on(machine, job) >= choice.max_tasks_per_machine) continue;
            std::vector<Victim> chosen;
            const auto loss =
                preemption_loss(job, machine, may_discard_work, reclaims_guarantee, stop_at_once, chosen);
            if (!loss || (best && *loss >= least_loss)) continue;
            best = &machine;
            least_loss = *loss;
            victims = std::move(chosen);
            if (victims.empty() || low_rank_only)
                break;  // enough is stopping there already, or costs nothing
        }
        if (!best) {
            const auto dropped_zones = std::erase_if(zones, [&](const std::string& zone) {
                auto tasks = tasks_by_zone.find(zone);
                return (tasks == tasks_by_zone.end() ? 0 : tasks->second) < choice.max_tasks_in(zone);
            });
            if (dropped_zones > 0) {
                --waiting;
                continue;
            }
            job.image_wait_over = true;
            // A failure under constraints that are no part of a Requirement says nothing about other jobs.
            if (!image_ready_only && !constraints.rule && !job.spec.spread && !job.spec.one_zone)
                futile_preemptions_.push_back(
                    {requirement_of(job), job.rank, may_discard_work, reclaims_guarantee, job.spec.team});
            return;
        }
        claimed_[best] += job.spec.request;
        ++tasks_by_zone[best->zone];
        if (!victims.empty()) {
            --preemptions_left_;
            futile_preemptions_.clear();  // the tasks that stop free resources for other jobs as well
        }
        for (const auto& victim : victims) {
            spdlog::info("task {}/{}: preempted by {}", victim.job->spec.ref,
                         victim.slot - victim.job->slots.data(), job.spec.ref);
            owner_.stop(*victim.slot, victim.grace);
        }
    }
}

/// Returns what stopping a task costs. Saving takes time in which no work is done: the task is stopped
/// without saving where less has been done since the last checkpoint, or where the job that preempts can't
/// wait.
Scheduler::Victim Scheduler::evaluate_victim(Slot& slot, Job& job, bool stop_at_once) const {
    const Micros now = context_.runtime().now();
    const Micros ran = slot.running_since ? now - slot.running_since : 0;
    const Micros save_time = job.spec.save_duration + kSecond;
    const Micros unsaved = job.spec.checkpoint_interval > 0 ? ran % job.spec.checkpoint_interval : ran;
    const bool saves = job.spec.checkpoint_interval > 0 && !stop_at_once && unsaved > save_time;
    const double lost = static_cast<double>(saves ? save_time : unsaved) / 1e6 + 1.0 +
                        (ran < kMinUsefulRun ? kShortRunLoss : 0.0) +
                        (stop_misses_objective(job, ran) ? kMissedObjectiveLoss : 0.0);
    return {&slot, &job, lost * (1.0 + static_cast<double>(job.spec.request.cores) / 1000.0),
            saves ? save_time : 0};
}

/// Returns whether the job would be overdue again once its only task is stopped: then it would go before all
/// work but live work and return to the same machine first, so that neither job makes progress.
bool Scheduler::would_be_overdue_again(const Job& job) const {
    if (job.bound_tasks > 1 || job.done_tasks > 0 || job.backing_off) return false;
    const Micros age = (context_.runtime().wall_clock_ms() - job.eligible_since_ms) * kMillisecond;
    return tier(job) != policy::Tier::Live && age >= context_.policy().priority.overdue_after;
}

/// Returns what would be lost by freeing the resources for one more task on the machine; nothing if that
/// cannot be done. `chosen` receives the tasks to stop, none if those that are stopping already free enough.
std::optional<double> Scheduler::preemption_loss(const Job& job, const Machine& machine,
                                                 bool may_discard_work, bool reclaims_guarantee,
                                                 bool stop_at_once, std::vector<Victim>& chosen) const {
    Resources available =
        machine.type->size - machine.reserved - owner_.resources_reserved_for_others(job, machine);
    if (auto claimed = claimed_.find(&machine); claimed != claimed_.end()) available -= claimed->second;
    std::vector<std::pair<Job*, Slot*>> preemptible;
    Resources preemptible_resources;
    const bool is_live = tier(job) == policy::Tier::Live;
    for (const auto& [other, task] : machine.tasks) {
        Slot& slot = other->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound) continue;
        if (slot.stop_requested) {
            available += other->spec.request;  // is stopping already
            continue;
        }
        if (other->spec.kind == JobKind::Gang) continue;
        const bool has_lower_rank = other->rank == PriorityClass::Low
                                        ? job.rank < PriorityClass::Low
                                        : job.rank <= PriorityClass::High && other->rank > job.rank &&
                                              (may_discard_work || other->spec.checkpoint_interval > 0);
        // A job of higher rank would only return to the same machine and preempt in turn; so would a job that
        // is within its own guarantee by now, even if it was not when it last waited.
        const bool is_reclaimable = reclaims_guarantee && other->rank >= job.rank &&
                                    other->spec.team != job.spec.team &&
                                    !context_.within_guarantee(other->spec.ref);
        if (!has_lower_rank && !is_reclaimable) continue;
        if (!is_live && would_be_overdue_again(*other)) continue;
        if (other->spec.kind == JobKind::Service && !is_reclaimable) continue;
        preemptible.emplace_back(other, &slot);
        preemptible_resources += other->spec.request;
    }
    if (job.spec.request.fits(available)) return 0.0;
    if (!job.spec.request.fits(available + preemptible_resources)) return std::nullopt;
    std::vector<Victim> victims;
    victims.reserve(preemptible.size());
    for (const auto& [other, slot] : preemptible)
        victims.push_back(evaluate_victim(*slot, *other, stop_at_once));
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    double loss = 0;
    for (const auto& victim : victims) {
        if (job.spec.request.fits(available)) break;
        available += victim.job->spec.request;
        loss += victim.loss;
        chosen.push_back(victim);
    }
    return loss;
}

}  // namespace cottonway
