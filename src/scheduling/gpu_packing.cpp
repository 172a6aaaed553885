#include "scheduling/gpu_packing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

#include "scheduling/constraints.hpp"

namespace cottonway::scheduling {

namespace {
constexpr double kWaitingTaskWeight = 3;

// Penalty for making all GPUs of a machine unusable. The default weights of cores, memory, size and tasks
// in PlacementSettings add up to 100, disregarding their signs.
constexpr double kWholeMachinePenalty = 400;
// More than all other terms of the score together, so that tasks without GPUs go elsewhere if they can.
constexpr double kNoGpuTaskPenalty = 200;

// Time of any move: the task is stopped, confirmed terminated and started.
constexpr double kMoveSeconds = 5;
// A second without a service's replica costs as much as this many seconds of lost batch work, because users
// wait for it.
constexpr double kServiceWeight = 3;

// Bounds of the search. If each of up to m leaving tasks has at least m destinations, no choice for one task
// can take the last destination of another, so a few destinations for each task are enough.
constexpr std::size_t kMaxMovableTasks = 12;        // tasks of a machine that are considered for moves
constexpr std::size_t kExtraDestinations = 8;       // for each task, in addition to one for each move
constexpr int kMaxAssignmentTries = 400;            // destinations tried for one set of tasks
constexpr std::size_t kMaxPlannedMachines = 8;      // machines with a plan, of which the cheapest is taken
constexpr std::size_t kMaxScoredDestinations = 64;  // machines with capacity that are scored for a job
constexpr std::size_t kMaxSearchedMachines = 256;   // for one task, machines with the most free GPUs first
constexpr std::size_t kMaxJobsWithoutPlan = 16;     // a call gives up after this many

double seconds(Micros time) {
    return static_cast<double>(time) / 1e6;
}
double gpu_count(Milli gpus) {
    return static_cast<double>(gpus) / 1000.0;
}
}  // namespace

// ---------------------------------------------------------------- packing

void GpuDemand::add(Milli gpus, double weight) {
    if (gpus <= 0 || weight <= 0) return;
    weights_[gpus] += weight;
    total_weight_ += weight;
}

void GpuDemand::add(Milli gpus, int waiting, int running) {
    add(gpus, gpu_count(gpus) * (kWaitingTaskWeight * waiting + running));
}

double GpuDemand::unusable_share(Milli free) const {
    if (free <= 0 || weights_.empty()) return 0;
    double unusable = 0;
    for (const auto& [gpus, weight] : weights_) unusable += weight * static_cast<double>(free % gpus);
    return unusable / total_weight_ / static_cast<double>(free);
}

double GpuDemand::unusable_gpus(const Resources& size, const Resources& available) const {
    if (available.gpus <= 0 || size.gpus <= 0) return 0;
    const double free_gpus = gpu_count(available.gpus);
    // The number of GPUs whose proportional part of another resource is still free.
    auto gpus_covered_by = [&](Milli free, Milli total) {
        return total > 0 ? gpu_count(size.gpus) * static_cast<double>(std::max<Milli>(free, 0)) /
                               static_cast<double>(total)
                         : free_gpus;
    };
    const double uncovered_gpus =
        free_gpus - std::min({free_gpus, gpus_covered_by(available.cores, size.cores),
                              gpus_covered_by(available.ram, size.ram)});
    return std::min(free_gpus, free_gpus * unusable_share(available.gpus) + uncovered_gpus);
}

GpuDemand gpu_demand_of(const ShardView& view) {
    GpuDemand demand;
    for (const auto& job : view.jobs)
        if (!job.cancelled) demand.add(job.spec.request.gpus, job.waiting_tasks, job.bound_tasks);
    return demand;
}

double gpu_penalty(const Resources& size, const Resources& reserved, const Resources& request,
                   const GpuDemand& demand) {
    if (size.gpus <= 0) return 0;
    const Resources available = size - reserved;
    const double added_unusable_gpus =
        demand.unusable_gpus(size, available - request) - demand.unusable_gpus(size, available);
    return kWholeMachinePenalty * added_unusable_gpus / gpu_count(size.gpus) +
           (request.gpus <= 0 ? kNoGpuTaskPenalty : 0.0);
}

// ---------------------------------------------------------------- moves

namespace {

Resources component_min(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ram, b.ram)};
}

/// A machine that a task could move to, and the cost of that in seconds.
struct Destination {
    std::size_t machine = 0;
    double cost = 0;
};

/// A task that could leave its machine, with destinations from the cheapest to the dearest.
struct MovableTask {
    std::size_t task = 0;
    Resources request;
    std::vector<Destination> destinations;
};

/// The start of one waiting task on a machine, with the moves that it requires.
struct TaskPlan {
    std::size_t machine = 0;
    std::vector<std::pair<std::size_t, Destination>> moves;  // task, destination
    double cost = 0;
};

/// Searches for plans in a view and keeps account of the capacity that the plans of one call use.
class MoveSearch {
  public:
    MoveSearch(const ShardView& view, const policy::Policy& policy)
        : view_(view), policy_(policy), demand_(gpu_demand_of(view)), moved_(view.tasks.size(), false) {
        for (const auto& machine : view.machines) {
            all_machines_.push_back(all_machines_.size());
            if (machine.available().gpus > 0) machines_with_free_gpus_.push_back(all_machines_.back());
            for (const auto& image : machine.images)
                machines_by_image_[image.name].push_back(all_machines_.back());
            available_now_.push_back(machine.available());
            available_later_.push_back(machine.available() + machine.stopping);
            fetches_.push_back(
                static_cast<int>(std::count_if(machine.images.begin(), machine.images.end(),
                                               [](const auto& image) { return !image.ready; })));
        }
        std::stable_sort(machines_with_free_gpus_.begin(), machines_with_free_gpus_.end(),
                         [this](auto a, auto b) { return available_now_[a].gpus < available_now_[b].gpus; });
        planned_starts_.resize(view.jobs.size());
        job_is_movable_.resize(view.jobs.size());
        for (std::size_t j = 0; j < view.jobs.size(); ++j) job_is_movable_[j] = is_movable(view.jobs[j]);
    }

    /// Returns true if the job has tasks that have waited for GPUs long enough and have no reservation.
    bool needs_capacity(std::size_t job_index) const {
        const JobView& job = view_.jobs[job_index];
        if (job.cancelled || job.spec.request.gpus <= 0 || job.waiting_time < policy_.gpus.min_wait)
            return false;
        return job.spec.kind == JobKind::Gang ? job.waiting_tasks > 0 && job.reserved_tasks == 0
                                              : job.waiting_tasks > job.reserved_tasks;
    }

    /// Plans capacity for `tasks` tasks of a job with at most `max_moves_per_task` moves for each and
    /// `max_moves` in all, and accounts for the capacity used. Returns nothing if not all of the tasks get
    /// capacity, or if they fit without moves.
    std::vector<CapacityPlan> plan_capacity(std::size_t job, int tasks, int max_moves_per_task,
                                            int max_moves) {
        if (!has_enough_gpus_in_total(job, tasks)) return {};
        std::vector<TaskPlan> best;
        double lowest_cost = 0;
        for (const auto& zone : zones_to_try(job, tasks)) {
            std::vector<TaskPlan> plans;
            if (tasks == 1) {
                if (auto plan = plan_task(job, max_moves_per_task, zone)) plans.push_back(std::move(*plan));
            } else {
                plans = MoveSearch(*this).plan_tasks(job, tasks, max_moves_per_task, zone);
            }
            if (plans.empty()) continue;
            if (fits_without_moves(job, plans)) return {};  // ordinary placement will start the tasks
            double cost = 0;
            int moves = 0;
            for (const auto& plan : plans) {
                cost += plan.cost;
                moves += static_cast<int>(plan.moves.size());
            }
            if (moves > max_moves) continue;
            if (best.empty() || cost < lowest_cost) {
                lowest_cost = cost;
                best = std::move(plans);
            }
        }
        for (const auto& plan : best) apply(job, plan);
        return capacity_plans(job, best);
    }

    /// Returns true if some machine has capacity for a task of the job without any move.
    bool fits_somewhere(std::size_t job) const {
        for (std::size_t m = 0; m < view_.machines.size(); ++m)
            if (can_run_on(job, m) && zone_admits_task(job, m, nullptr) && fits_now(job, m)) return true;
        return false;
    }

  private:
    bool is_movable(const JobView& job) const {
        if (job.cancelled || job.spec.kind == JobKind::Gang || job.tier == policy::Tier::Live) return false;
        if (!policy_.is_movable(job.spec)) return false;
        return job.spec.kind != JobKind::Service || job.time_since_move >= policy_.budgets.service_pause;
    }

    /// Returns true if the job's constraints and the zones of its policy rule admit the machine. Capacity is
    /// not checked.
    bool can_run_on(std::size_t job, std::size_t machine_index) const {
        const JobSpec& spec = view_.jobs[job].spec;
        const MachineView& machine = view_.machines[machine_index];
        if (!machine.usable || !can_use_machine(spec, machine.type, machine.zone, machine.spot)) return false;
        const policy::ZoneRule* rule = policy_.zone_rule(spec);
        return !rule || rule->allowed.empty() ||
               std::find(rule->allowed.begin(), rule->allowed.end(), machine.zone) != rule->allowed.end();
    }

    /// Returns true if the machine's zone may hold one more task of the job. The tasks in the zone are
    /// counted, including one that is about to leave, and so are the starts planned in this call and
    /// `extra_by_zone`.
    bool zone_admits_task(std::size_t job_index, std::size_t machine,
                          const std::map<std::string, int>* extra_by_zone) const {
        const JobView& job = view_.jobs[job_index];
        const std::string& zone = view_.machines[machine].zone;
        const policy::ZoneRule* rule = policy_.zone_rule(job.spec);
        const double max_share = rule ? rule->max_zone_share : 1.0;
        if (!job.spec.spread && !job.spec.one_zone && max_share >= 1) return true;
        std::map<std::string, int> tasks_by_zone = job.tasks_by_zone;
        for (const auto& [name, count] : planned_starts_[job_index]) tasks_by_zone[name] += count;
        if (extra_by_zone)
            for (const auto& [name, count] : *extra_by_zone) tasks_by_zone[name] += count;
        const int with_one_more = tasks_by_zone[zone] + 1;
        if (job.spec.spread && with_one_more > (job.spec.tasks + 1) / 2) return false;
        if (max_share < 1 && with_one_more > static_cast<int>(std::ceil(max_share * job.spec.tasks - 1e-9)))
            return false;
        if (job.spec.one_zone)
            for (const auto& [name, count] : tasks_by_zone)
                if (count > 0 && name != zone) return false;
        return true;
    }

    bool fits_now(std::size_t job, std::size_t machine) const {
        return view_.jobs[job].spec.request.fits(
            component_min(available_now_[machine], available_later_[machine]));
    }

    bool fits_without_moves(std::size_t job, const std::vector<TaskPlan>& plans) const {
        std::map<std::size_t, Resources> used;
        for (const auto& plan : plans) {
            if (!plan.moves.empty()) return false;
            used[plan.machine] += view_.jobs[job].spec.request;
        }
        return std::all_of(used.begin(), used.end(), [&](const auto& entry) {
            return entry.second.fits(
                component_min(available_now_[entry.first], available_later_[entry.first]));
        });
    }

    /// Returns the zones to search one by one, for a gang that has to be in one zone; "" stands for a search
    /// over all zones at once.
    std::vector<std::string> zones_to_try(std::size_t job, int tasks) const {
        if (!view_.jobs[job].spec.one_zone || tasks == 1) return {""};
        std::set<std::string> zones;
        for (const auto& machine : view_.machines) zones.insert(machine.zone);
        return {zones.begin(), zones.end()};
    }

    bool has_enough_gpus_in_total(std::size_t job, int tasks) const {
        Milli free = 0;
        for (std::size_t m = 0; m < view_.machines.size(); ++m)
            if (view_.machines[m].usable) free += std::max<Milli>(available_later_[m].gpus, 0);
        return free >= view_.jobs[job].spec.request.gpus * tasks;
    }

    /// Returns the seconds until the machine has the image: none if it is cached, half of a fetch if one is
    /// under way. Fetches on one machine share its bandwidth.
    double fetch_seconds(const JobSpec& spec, std::size_t machine_index) const {
        const MachineView& machine = view_.machines[machine_index];
        if (spec.image.empty() || spec.image_gb <= 0) return 0;
        int other_fetches = fetches_[machine_index];
        double remaining_part = 1;
        for (const auto& image : machine.images)
            if (image.name == spec.image) {
                if (image.ready) return 0;
                remaining_part = 0.5;
                --other_fetches;
            }
        const double gb = static_cast<double>(spec.image_gb) / 1000.0;
        return remaining_part * gb / std::max(machine.fetch_gb_per_s, 1e-3) *
               (1 + std::max(other_fetches, 0));
    }

    /// Returns the cost of moving the task, in seconds, without the fetch of its image.
    double interruption_seconds(std::size_t task_index) const {
        const TaskView& task = view_.tasks[task_index];
        const JobSpec& spec = view_.jobs[task.job].spec;
        if (spec.kind == JobKind::Service) return kServiceWeight * kMoveSeconds;
        if (!task.running) return kMoveSeconds;
        const Micros lost_work =
            spec.checkpoint_interval > 0 ? task.run_time % spec.checkpoint_interval : task.run_time;
        return kMoveSeconds + seconds(spec.save_duration) + seconds(lost_work);
    }

    /// Returns up to `max_count` best destinations for tasks of a job, with the cost of the image fetch. They
    /// are ranked by that cost plus the GPU penalty of a start there, and cached until the next plan uses
    /// capacity.
    const std::vector<Destination>& job_destinations(std::size_t job, std::size_t max_count) {
        auto [cached, is_new] = destinations_by_job_.try_emplace(job);
        if (!is_new) return cached->second;
        const JobSpec& spec = view_.jobs[job].spec;
        std::vector<std::pair<double, Destination>> ranked;
        std::vector<bool> seen(view_.machines.size(), false);
        auto consider = [&](std::size_t m) {
            if (seen[m] || !fits_now(job, m) || !can_run_on(job, m) || !zone_admits_task(job, m, nullptr))
                return;
            seen[m] = true;
            const MachineView& machine = view_.machines[m];
            const double fetch_cost =
                (spec.kind == JobKind::Service ? kServiceWeight : 1) * fetch_seconds(spec, m);
            const double penalty = gpu_penalty(
                machine.size, machine.size - component_min(available_now_[m], available_later_[m]),
                spec.request, demand_);
            ranked.push_back({fetch_cost + penalty, {m, fetch_cost}});
        };
        // Machines with the image come first, then those with the fewest free GPUs. At least as many machines
        // are considered as there may be moves, which is enough to find a plan.
        if (auto holders = machines_by_image_.find(spec.image); holders != machines_by_image_.end())
            for (const std::size_t m : holders->second) consider(m);
        const std::size_t enough = ranked.size() + std::max(kMaxScoredDestinations, max_count);
        for (const std::size_t m : spec.request.gpus > 0 ? machines_with_free_gpus_ : all_machines_) {
            if (ranked.size() >= enough) break;
            consider(m);
        }
        const std::size_t count = std::min(max_count, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                          [](const auto& a, const auto& b) {
                              return std::tie(a.first, a.second.machine) <
                                     std::tie(b.first, b.second.machine);
                          });
        for (std::size_t i = 0; i < count; ++i) cached->second.push_back(ranked[i].second);
        return cached->second;
    }

    /// Returns up to `max_count` destinations for one task, with the full cost of the move.
    std::vector<Destination> task_destinations(std::size_t task_index, std::size_t max_count) {
        const TaskView& task = view_.tasks[task_index];
        const double interruption_cost = interruption_seconds(task_index);
        std::vector<Destination> destinations;
        for (const auto& to : job_destinations(task.job, max_count + 1))
            if (to.machine != task.machine && destinations.size() < max_count)
                destinations.push_back({to.machine, interruption_cost + to.cost});
        return destinations;
    }

    bool can_move(std::size_t task_index, std::size_t for_job) const {
        const TaskView& task = view_.tasks[task_index];
        if (task.job == for_job || moved_[task_index] || task.has_planned_move || task.stopping ||
            !job_is_movable_[task.job])
            return false;
        // A lower tier never delays a higher one.
        if (view_.jobs[task.job].tier < view_.jobs[for_job].tier) return false;
        return view_.jobs[task.job].spec.kind != JobKind::Service || planned_starts_[task.job].empty();
    }

    /// Returns tasks that could leave the machine and would free some of what is lacking. Tasks that free the
    /// largest part of it come first, then the cheapest.
    std::vector<MovableTask> movable_tasks(std::size_t job, std::size_t machine, const Resources& lacking,
                                           int max_moves) {
        struct RankedTask {
            double freed_share;
            MovableTask movable;
        };
        std::vector<RankedTask> ranked;
        std::map<std::size_t, int> ranked_by_job;
        auto share = [](Milli freed, Milli wanted) {
            return wanted > 0 ? static_cast<double>(std::min(freed, wanted)) / static_cast<double>(wanted)
                              : 0.0;
        };
        for (const std::size_t task : view_.machines[machine].tasks) {
            if (!can_move(task, job)) continue;
            const std::size_t owner = view_.tasks[task].job;
            const Resources& request = view_.jobs[owner].spec.request;
            const double freed_share = share(request.gpus, lacking.gpus) +
                                       share(request.cores, lacking.cores) + share(request.ram, lacking.ram);
            if (freed_share <= 0 ||
                (view_.jobs[owner].spec.kind == JobKind::Service && ranked_by_job[owner] > 0))
                continue;
            auto destinations =
                task_destinations(task, kExtraDestinations + static_cast<std::size_t>(max_moves));
            if (destinations.empty()) continue;
            ++ranked_by_job[owner];
            ranked.push_back({freed_share, {task, request, std::move(destinations)}});
        }
        std::stable_sort(ranked.begin(), ranked.end(), [](const RankedTask& a, const RankedTask& b) {
            return std::tie(b.freed_share, a.movable.destinations.front().cost) <
                   std::tie(a.freed_share, b.movable.destinations.front().cost);
        });
        std::vector<MovableTask> movable;
        for (std::size_t i = 0; i < std::min(ranked.size(), kMaxMovableTasks); ++i)
            movable.push_back(std::move(ranked[i].movable));
        return movable;
    }

    /// The state of a depth-first search for destinations that hold all leaving tasks at once. It stops at
    /// the first assignment found.
    struct Assignment {
        const std::vector<const MovableTask*>& leaving;                    // the largest request first
        std::map<std::size_t, Resources> used;                             // by machine
        std::map<std::size_t, std::map<std::string, int>> starts_by_zone;  // by job
        std::vector<std::pair<std::size_t, Destination>> moves;
        int tries = 0;
    };
    bool assign(Assignment& assignment) const {
        if (assignment.moves.size() == assignment.leaving.size()) return true;
        const MovableTask& leaving = *assignment.leaving[assignment.moves.size()];
        const std::size_t job = view_.tasks[leaving.task].job;
        for (const auto& to : leaving.destinations) {
            if (++assignment.tries > kMaxAssignmentTries) return false;
            if (!(assignment.used[to.machine] + leaving.request)
                     .fits(component_min(available_now_[to.machine], available_later_[to.machine])) ||
                !zone_admits_task(job, to.machine, &assignment.starts_by_zone[job]))
                continue;
            const std::string& zone = view_.machines[to.machine].zone;
            assignment.used[to.machine] += leaving.request;
            ++assignment.starts_by_zone[job][zone];
            assignment.moves.emplace_back(leaving.task, to);
            if (assign(assignment)) return true;
            assignment.moves.pop_back();
            --assignment.starts_by_zone[job][zone];
            assignment.used[to.machine] -= leaving.request;
        }
        return false;
    }

    /// Returns the cheapest plan to start one task of the job on the machine. It tries every set of up to
    /// `max_moves` leaving tasks that frees enough and contains no superfluous task.
    std::optional<TaskPlan> plan_on_machine(std::size_t job, std::size_t machine, int max_moves) {
        const Resources lacking = view_.jobs[job].spec.request - available_later_[machine];
        if (lacking.cores <= 0 && lacking.gpus <= 0 && lacking.ram <= 0) return TaskPlan{machine, {}, 0};
        if (max_moves <= 0 || !can_free(job, machine, lacking, max_moves)) return std::nullopt;
        const std::vector<MovableTask> movable = movable_tasks(job, machine, lacking, max_moves);
        std::optional<TaskPlan> best;
        std::vector<const MovableTask*> leaving;
        auto extend = [&](auto&& self, std::size_t first, Resources still_lacking,
                          double minimum_cost) -> void {
            if (best && minimum_cost >= best->cost) return;
            if (still_lacking.cores <= 0 && still_lacking.gpus <= 0 && still_lacking.ram <= 0) {
                std::vector<const MovableTask*> largest_first = leaving;
                std::stable_sort(largest_first.begin(), largest_first.end(),
                                 [](const MovableTask* a, const MovableTask* b) {
                                     return std::tie(a->request.gpus, a->request.cores) >
                                            std::tie(b->request.gpus, b->request.cores);
                                 });
                Assignment assignment{largest_first, {}, {}, {}, 0};
                if (!assign(assignment)) return;
                TaskPlan plan{machine, std::move(assignment.moves), 0};
                for (const auto& [task, to] : plan.moves) plan.cost += to.cost;
                if (!best || plan.cost < best->cost) best = std::move(plan);
                return;
            }
            if (static_cast<int>(leaving.size()) >= max_moves) return;
            for (std::size_t i = first; i < movable.size(); ++i) {
                leaving.push_back(&movable[i]);
                self(self, i + 1, still_lacking - movable[i].request,
                     minimum_cost + movable[i].destinations.front().cost);
                leaving.pop_back();
            }
        };
        extend(extend, 0, lacking, 0);
        return best;
    }

    /// Returns true if for each resource the largest requests of tasks that may leave add up to what is
    /// lacking. It is a necessary condition that is cheap to check.
    bool can_free(std::size_t job, std::size_t machine, const Resources& lacking, int max_moves) const {
        std::vector<Milli> gpus, cores, ram;
        for (const std::size_t task : view_.machines[machine].tasks) {
            if (!can_move(task, job)) continue;
            const Resources& request = view_.jobs[view_.tasks[task].job].spec.request;
            gpus.push_back(request.gpus);
            cores.push_back(request.cores);
            ram.push_back(request.ram);
        }
        auto is_enough = [&](std::vector<Milli>& amounts, Milli wanted) {
            std::sort(amounts.rbegin(), amounts.rend());
            for (std::size_t i = 0; i < std::min(amounts.size(), static_cast<std::size_t>(max_moves)); ++i)
                wanted -= amounts[i];
            return wanted <= 0;
        };
        return is_enough(gpus, lacking.gpus) && is_enough(cores, lacking.cores) &&
               is_enough(ram, lacking.ram);
    }

    /// Returns the cheapest of the first kMaxPlannedMachines plans for one task. Machines with the most free
    /// GPUs are tried first.
    std::optional<TaskPlan> plan_task(std::size_t job, int max_moves, const std::string& zone) {
        std::vector<std::pair<Milli, std::size_t>> order;
        const Resources& request = view_.jobs[job].spec.request;
        for (std::size_t m = 0; m < view_.machines.size(); ++m) {
            if (!zone.empty() && view_.machines[m].zone != zone) continue;
            if (!request.fits(view_.machines[m].size) || !can_run_on(job, m) ||
                !zone_admits_task(job, m, nullptr))
                continue;
            order.emplace_back(-available_later_[m].gpus, m);
        }
        std::sort(order.begin(), order.end());
        std::optional<TaskPlan> best;
        double lowest_cost = 0;
        std::size_t plans_found = 0;
        if (order.size() > kMaxSearchedMachines) order.resize(kMaxSearchedMachines);
        for (const auto& [negative_gpus, m] : order) {
            auto plan = plan_on_machine(job, m, max_moves);
            if (!plan) continue;
            // The cost includes the image of the waiting task, which has to be fetched where the task starts.
            const double cost = plan->cost + fetch_seconds(view_.jobs[job].spec, m);
            if (!best || cost < lowest_cost) {
                best = std::move(plan);
                lowest_cost = cost;
            }
            if (++plans_found >= kMaxPlannedMachines) break;
        }
        return best;
    }

    std::vector<TaskPlan> plan_tasks(std::size_t job, int tasks, int max_moves, const std::string& zone) {
        std::vector<TaskPlan> plans;
        for (int i = 0; i < tasks; ++i) {
            auto plan = plan_task(job, max_moves, zone);
            if (!plan) return {};
            apply(job, *plan);
            plans.push_back(std::move(*plan));
        }
        return plans;
    }

    /// Accounts for the capacity that a plan uses and frees.
    void apply(std::size_t job, const TaskPlan& plan) {
        for (const auto& [task, to] : plan.moves) {
            const std::size_t owner = view_.tasks[task].job;
            const Resources& request = view_.jobs[owner].spec.request;
            moved_[task] = true;
            available_later_[plan.machine] += request;
            available_now_[to.machine] -= request;
            available_later_[to.machine] -= request;
            if (fetch_seconds(view_.jobs[owner].spec, to.machine) > 0) ++fetches_[to.machine];
            ++planned_starts_[owner][view_.machines[to.machine].zone];
        }
        available_later_[plan.machine] -= view_.jobs[job].spec.request;
        destinations_by_job_.clear();
        ++planned_starts_[job][view_.machines[plan.machine].zone];
    }

    /// Merges the plans for a job's tasks into one CapacityPlan for each machine.
    std::vector<CapacityPlan> capacity_plans(std::size_t job, const std::vector<TaskPlan>& task_plans) const {
        const std::string& ref = view_.jobs[job].spec.ref;
        std::map<std::size_t, CapacityPlan> by_machine;
        for (const auto& task_plan : task_plans) {
            auto [entry, is_new] = by_machine.try_emplace(task_plan.machine);
            CapacityPlan& plan = entry->second;
            if (is_new) plan.reservation = {ref, view_.machines[task_plan.machine].name, 0};
            ++plan.reservation.tasks;
            plan.cost += task_plan.cost;
            for (const auto& [moved_task, to] : task_plan.moves) {
                const TaskView& task = view_.tasks[moved_task];
                plan.moves.push_back({view_.jobs[task.job].spec.ref, task.task,
                                      view_.machines[task.machine].name, view_.machines[to.machine].name,
                                      MoveReason::MakeRoom, ref});
            }
        }
        std::vector<CapacityPlan> plans;
        for (auto& [machine, plan] : by_machine) plans.push_back(std::move(plan));
        return plans;
    }

    const ShardView& view_;
    const policy::Policy& policy_;
    GpuDemand demand_;
    std::vector<Resources> available_now_;    // by machine: what a task can move into at once
    std::vector<Resources> available_later_;  // by machine: after stopping and leaving tasks have terminated
    std::vector<int> fetches_;                // by machine: image fetches, those of planned moves included
    std::vector<bool> moved_;                 // by task: part of a plan of this call
    std::vector<bool> job_is_movable_;        // by job
    std::vector<std::map<std::string, int>> planned_starts_;  // by job: starts planned in this call, by zone
    std::map<std::size_t, std::vector<Destination>> destinations_by_job_;
    std::vector<std::size_t> all_machines_, machines_with_free_gpus_;  // the latter: fewest free GPUs first
    std::map<std::string, std::vector<std::size_t>> machines_by_image_;
};

}  // namespace

std::optional<CapacityPlan> plan_capacity_for_job(const ShardView& view, std::size_t job_index,
                                                  const policy::Policy& policy) {
    MoveSearch search(view, policy);
    if (!search.needs_capacity(job_index)) return std::nullopt;
    const JobView& job = view.jobs[job_index];
    if (job.spec.kind == JobKind::Gang ? job.waiting_tasks > 1 : search.fits_somewhere(job_index))
        return std::nullopt;
    auto plans = search.plan_capacity(job_index, 1, policy.budgets.moves_per_placement,
                                      policy.budgets.moves_per_placement);
    if (plans.empty()) return std::nullopt;
    return std::move(plans.front());
}

std::vector<CapacityPlan> plan_capacity_for_waiting_jobs(const ShardView& view,
                                                         const policy::Policy& policy) {
    MoveSearch search(view, policy);
    std::vector<std::size_t> order;
    for (std::size_t j = 0; j < view.jobs.size(); ++j)
        if (search.needs_capacity(j)) order.push_back(j);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const JobView &first = view.jobs[a], &second = view.jobs[b];
        return std::tie(first.tier, second.waiting_time) < std::tie(second.tier, first.waiting_time);
    });
    std::vector<CapacityPlan> capacity_plans;
    int moves_left = policy.budgets.moves_per_minute;
    std::size_t jobs_without_plan = 0;
    for (const std::size_t j : order) {
        const JobView& job = view.jobs[j];
        const bool is_gang = job.spec.kind == JobKind::Gang;
        if (!is_gang && search.fits_somewhere(j)) continue;
        for (int left = is_gang ? 1 : job.waiting_tasks - job.reserved_tasks; left > 0; --left) {
            if (moves_left <= 0) return capacity_plans;
            auto plans =
                search.plan_capacity(j, is_gang ? job.waiting_tasks : 1,
                                     std::min(policy.budgets.moves_per_placement, moves_left), moves_left);
            if (plans.empty()) {
                if (++jobs_without_plan >= kMaxJobsWithoutPlan) return capacity_plans;
                break;
            }
            for (auto& plan : plans) {
                moves_left -= static_cast<int>(plan.moves.size());
                capacity_plans.push_back(std::move(plan));
            }
        }
    }
    return capacity_plans;
}

}  // namespace cottonway::scheduling
