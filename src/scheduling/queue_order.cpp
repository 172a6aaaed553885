#include "scheduling/queue_order.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "scheduling/constraints.hpp"

namespace cottonway::scheduling {

namespace {

using policy::Tier;

/// The parts of a team's limit, in cores and GPUs, that are withheld for some of its jobs.
struct TeamReserves {
    Resources limit;
    Resources floor;            // the policy's floor, as a part of what live work leaves of the limit
    Resources half;             // half of what live work leaves; a job whose start needs more is large
    Resources waiting_live;     // request of live jobs that wait
    Resources owed_to_batch;    // what tier Batch may still claim of its floor
    Resources owed_to_overdue;  // request of the next start of `first_overdue`
    const QueuedJob* first_overdue = nullptr;
};

Resources component_max(const Resources& a, const Resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.gpus, b.gpus), 0};
}

Resources clamp_to_zero(const Resources& resources) {
    return component_max(resources, {});
}

bool fits_within(const Resources& request, const Resources& available) {
    return request.cores <= available.cores && request.gpus <= available.gpus;
}

Resources used_by(const TeamUsage& usage, Tier tier) {
    auto it = usage.used_by_tier.find(tier);
    return it == usage.used_by_tier.end() ? Resources{} : it->second;
}

/// Returns the sort key of overdue jobs: large jobs first, because smaller ones also get capacity through the
/// floors, then the longest waiting.
auto overdue_key(const QueuedJob& job, const TeamReserves& reserves) {
    return std::tuple(fits_within(job.next_start_request, reserves.half), -job.age, job.index);
}

bool is_overdue(const QueuedJob& job, const policy::PrioritySettings& priority) {
    return job.tier != Tier::Live && !job.has_started && job.age >= priority.overdue_after;
}

/// Returns what tier Batch may claim and does not use yet, while a higher tier could take it: its floor of
/// what live work leaves, or one start where that is more and fits into half of it.
Resources unused_batch_floor(const TeamUsage& usage, const TeamReserves& reserves,
                             const std::vector<const QueuedJob*>& waiting) {
    Resources waiting_request;
    const QueuedJob* smallest = nullptr;
    auto size_key = [](const QueuedJob& job) {
        return std::tuple(job.next_start_request.cores, job.next_start_request.gpus, job.index);
    };
    for (const QueuedJob* job : waiting) {
        if (job->lacks_capacity || !fits_within(job->next_start_request, reserves.half)) continue;
        waiting_request += job->waiting_request;
        if (!smallest || size_key(*job) < size_key(*smallest)) smallest = job;
    }
    if (!smallest) return {};
    const Resources claim = component_max(reserves.floor, smallest->next_start_request);
    const Resources used = used_by(usage, Tier::Batch);
    const Resources usable = used + waiting_request;
    return clamp_to_zero(
        Resources{std::min(claim.cores, usable.cores), std::min(claim.gpus, usable.gpus), 0} - used);
}

std::map<std::string, TeamReserves> reserves_by_team(const std::vector<QueuedJob>& queue,
                                                     const std::map<std::string, TeamUsage>& teams,
                                                     const policy::PrioritySettings& priority) {
    std::map<std::string, TeamReserves> reserves_of;
    auto floor_of = [&](Milli amount) {
        return static_cast<Milli>(static_cast<double>(amount) * priority.floor);
    };
    for (const auto& [team, usage] : teams) {
        TeamReserves& reserves = reserves_of[team];
        const Resources left_by_live = clamp_to_zero(usage.limit - used_by(usage, Tier::Live));
        reserves.limit = usage.limit;
        reserves.floor = {floor_of(left_by_live.cores), floor_of(left_by_live.gpus), 0};
        reserves.half = {left_by_live.cores / 2, left_by_live.gpus / 2, 0};
    }
    std::map<std::string, std::vector<const QueuedJob*>> batch_jobs;
    for (const QueuedJob& job : queue) {
        TeamReserves& reserves = reserves_of[job.team];
        if (job.tier == Tier::Live && !job.lacks_capacity) reserves.waiting_live += job.waiting_request;
        if (job.tier == Tier::Batch) batch_jobs[job.team].push_back(&job);
        if (is_overdue(job, priority) && !job.lacks_capacity &&
            (!reserves.first_overdue ||
             overdue_key(job, reserves) < overdue_key(*reserves.first_overdue, reserves)))
            reserves.first_overdue = &job;
    }
    for (auto& [team, reserves] : reserves_of) {
        auto usage = teams.find(team);
        if (usage == teams.end()) continue;
        reserves.owed_to_batch = unused_batch_floor(usage->second, reserves, batch_jobs[team]);
        // Nothing is withheld for a job that does not fit beside live work: it would never start.
        const Resources left_by_live =
            reserves.limit - used_by(usage->second, Tier::Live) - reserves.waiting_live;
        if (reserves.first_overdue && fits_within(reserves.first_overdue->next_start_request, left_by_live))
            reserves.owed_to_overdue = reserves.first_overdue->next_start_request;
    }
    return reserves_of;
}

QueueEntry entry_for(const QueuedJob& job, const TeamReserves& reserves, bool as_overdue) {
    Resources cap = reserves.limit;
    if (job.tier != Tier::Live) cap -= reserves.waiting_live;
    const bool is_first_overdue = reserves.first_overdue == &job && as_overdue;
    if (job.tier != Tier::Live && !is_first_overdue) {
        Resources withheld = reserves.owed_to_overdue;
        // An overdue job of tier Batch also claims the floor of that tier and must not be counted twice.
        if (job.tier < Tier::Batch && !as_overdue) {
            const bool overdue_is_batch =
                reserves.first_overdue && reserves.first_overdue->tier == Tier::Batch;
            withheld = overdue_is_batch ? component_max(withheld, reserves.owed_to_batch)
                                        : withheld + reserves.owed_to_batch;
        }
        cap -= withheld;
    }
    return {job.index, as_overdue, cap.cores, cap.gpus};
}

bool can_use(const JobSpec& job, const MachineView& machine) {
    return machine.usable && can_use_machine(job, machine.type, machine.zone, machine.spot);
}

/// Returns the time until the machine has capacity for one more such task in addition to `taken`, if the
/// tasks there run to their ends, or nothing if it never has.
std::optional<Micros> time_until_fit(const ShardView& view, const MachineView& machine,
                                     const Resources& request, const Resources& taken) {
    Resources available = machine.available() - taken;
    if (request.fits(available)) return 0;
    std::vector<std::pair<Micros, Resources>> task_ends;
    for (const std::size_t i : machine.tasks) {
        const TaskView& task = view.tasks[i];
        const JobSpec& spec = view.jobs[task.job].spec;
        if (spec.kind == JobKind::Service && !task.stopping) continue;
        task_ends.emplace_back(
            task.stopping ? 0 : std::max<Micros>(spec.estimated_duration - task.run_time, kSecond),
            spec.request);
    }
    std::sort(task_ends.begin(), task_ends.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [time_left, freed] : task_ends) {
        available += freed;
        if (request.fits(available)) return time_left;
    }
    return std::nullopt;
}

}  // namespace

std::vector<QueueEntry> queue_order(const std::vector<QueuedJob>& queue,
                                    const std::map<std::string, TeamUsage>& teams,
                                    const policy::PrioritySettings& priority) {
    const auto reserves_of = reserves_by_team(queue, teams, priority);
    std::vector<const QueuedJob*> live_jobs, overdue_jobs, other_jobs;
    for (const QueuedJob& job : queue) {
        (job.tier == Tier::Live ? live_jobs : other_jobs).push_back(&job);
        if (is_overdue(job, priority)) overdue_jobs.push_back(&job);
    }
    // The highest tier goes first, then the highest rank, then jobs within their guarantee, then the nearest
    // deadline, then jobs that cannot wait. Ties go to the smallest remaining work divided by age.
    auto precedes = [](const QueuedJob* a, const QueuedJob* b) {
        auto key = [](const QueuedJob& job) {
            return std::tuple(job.tier, job.rank, !job.within_guarantee, job.deadline_ms, job.can_wait,
                              job.remaining_work_by_age, job.index);
        };
        return key(*a) < key(*b);
    };
    std::sort(live_jobs.begin(), live_jobs.end(), precedes);
    std::sort(overdue_jobs.begin(), overdue_jobs.end(), [&](const QueuedJob* a, const QueuedJob* b) {
        return overdue_key(*a, reserves_of.at(a->team)) < overdue_key(*b, reserves_of.at(b->team));
    });
    std::sort(other_jobs.begin(), other_jobs.end(), precedes);
    std::vector<QueueEntry> order;
    order.reserve(live_jobs.size() + overdue_jobs.size() + other_jobs.size());
    for (const QueuedJob* job : live_jobs) order.push_back(entry_for(*job, reserves_of.at(job->team), false));
    for (const QueuedJob* job : overdue_jobs)
        order.push_back(entry_for(*job, reserves_of.at(job->team), true));
    for (const QueuedJob* job : other_jobs)
        order.push_back(entry_for(*job, reserves_of.at(job->team), false));
    return order;
}

std::vector<Reservation> reservations_for_overdue_job(const ShardView& view, const policy::Policy& policy) {
    const JobView* largest = nullptr;
    for (const JobView& job : view.jobs) {
        if (job.tier == Tier::Live || job.cancelled || job.waiting_tasks == 0 || job.bound_tasks > 0)
            continue;
        if (job.waiting_time < policy.priority.overdue_after) continue;
        auto largest_first = [](const JobView& candidate) {
            const Milli tasks = candidate.spec.kind == JobKind::Gang ? candidate.waiting_tasks : 1;
            return std::tuple(-candidate.spec.request.gpus * tasks, -candidate.spec.request.cores * tasks,
                              -candidate.waiting_time, candidate.spec.ref);
        };
        if (!largest || largest_first(job) < largest_first(*largest)) largest = &job;
    }
    if (!largest) return {};
    const JobSpec& spec = largest->spec;
    const int tasks = spec.kind == JobKind::Gang ? largest->waiting_tasks : 1;
    std::vector<int> tasks_on(view.machines.size(), 0);  // by machine: tasks of the job placed there so far
    std::map<std::string, int> tasks_by_zone = largest->tasks_by_zone;
    Micros longest_wait = 0;
    for (int placed = 0; placed < tasks; ++placed) {
        std::optional<std::tuple<Micros, std::size_t>> best;
        for (std::size_t i = 0; i < view.machines.size(); ++i) {
            const MachineView& machine = view.machines[i];
            if (!can_use(spec, machine)) continue;
            if (spec.one_zone && !tasks_by_zone.empty() && tasks_by_zone.count(machine.zone) == 0) continue;
            if (spec.spread && tasks_by_zone[machine.zone] >= (spec.tasks + 1) / 2) continue;
            const Resources taken{spec.request.cores * tasks_on[i], spec.request.gpus * tasks_on[i],
                                  spec.request.ram * tasks_on[i]};
            if (auto wait = time_until_fit(view, machine, spec.request, taken))
                if (const auto found = std::tuple(*wait, i); !best || found < *best) best = found;
        }
        if (!best) return {};  // not all of the tasks can ever be placed, however long the job waits
        longest_wait = std::max(longest_wait, std::get<0>(*best));
        ++tasks_on[std::get<1>(*best)];
        ++tasks_by_zone[view.machines[std::get<1>(*best)].zone];
    }
    if (longest_wait == 0) return {};  // the job can start now
    std::vector<Reservation> reservations;
    for (std::size_t i = 0; i < tasks_on.size(); ++i)
        if (tasks_on[i] > 0) reservations.push_back({spec.ref, view.machines[i].name, tasks_on[i]});
    return reservations;
}

}  // namespace cottonway::scheduling
