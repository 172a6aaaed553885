// Simulates a shard of machines with GPUs over an hour and compares placement without packing, with packing,
// and with packing and moves. The test prints a table; docs/policy.md has the one for 200 machines
// (COTTONWAY_CARDS_ALL=1 COTTONWAY_CARDS_SEEDS=10).

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

#include "scheduling/gpu_packing.hpp"
#include "scheduling/placement.hpp"

namespace cottonway::test {
namespace {

using namespace scheduling;

struct Measurement {
    // Tasks of 8 and of 4 GPUs, and those of them that started within 60 s in which enough GPUs were free.
    double large = 0, large_prompt = 0;
    double medium = 0, medium_prompt = 0;
    double used = 0, unusable = 0, total = 0;  // GPU seconds
    double moves = 0, plans = 0, most_moves = 0;
    double started = 0, waiting_time = 0;  // all tasks, seconds
    void add(const Measurement& other) {
        large += other.large, large_prompt += other.large_prompt, medium += other.medium,
            medium_prompt += other.medium_prompt;
        used += other.used, unusable += other.unusable, total += other.total, moves += other.moves,
            plans += other.plans;
        most_moves = std::max(most_moves, other.most_moves), started += other.started,
        waiting_time += other.waiting_time;
    }
};

/// One simulation run in steps of a second. Tasks of 1, 2, 4 and 8 GPUs arrive at rates at which each size
/// asks for the same number of GPUs. Half of them are batch that saves every minute, the others are movable
/// replicas with images of 20 to 140 GB.
class GpuSimulation {
  public:
    GpuSimulation(int machines, double load, std::uint64_t seed, bool pack, bool moves)
        : load_(load), arrivals_(seed), random_(seed), pack_(pack) {
        policy_.gpus = {pack, moves, 5 * kSecond};
        policy_.moves.push_back({{"", "model"}, true});
        for (int i = 0; i < machines; ++i) {
            MachineView machine;
            machine.name = "n-" + std::to_string(i);
            machine.type = "g8";
            machine.zone = "a";
            machine.usable = true;
            machine.size = {96'000, 8'000, 768'000};
            machine.fetch_gb_per_s = 1;
            machines_.push_back({machine, 0, {}});
        }
    }

    Measurement run(int seconds, int warmup) {
        for (now_ = 0; now_ < seconds; ++now_) {
            is_measuring_ = now_ >= warmup;
            add_arrivals();
            end_tasks();
            start_moved_tasks();
            start_waiting_tasks();
            if (policy_.gpus.make_room) plan_moves();
            measure();
        }
        return measurement_;
    }

  private:
    struct Task {
        JobView job;
        int seconds_left = 0;  // of its run time
        int arrived_at = 0, seconds_with_enough_gpus = 0;
        std::ptrdiff_t machine = -1;
        int started_at = 0;  // while stopping: when it is proven terminated
        bool stopping = false;
        std::string destination;  // of a move
        int restart_at = -1;      // at the destination
        bool over = false, promptness_recorded = false;
    };
    struct Machine {
        MachineView view;
        int tasks = 0;
        std::vector<std::pair<std::string, Resources>> reservations;  // by job
        Resources available_to(const std::string& job) const {
            Resources available = view.size - view.reserved;
            for (const auto& [ref, request] : reservations)
                if (ref != job) available -= request;
            return available;
        }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(arrivals_); }

    void add_arrivals() {
        constexpr int kMeanRunSeconds = 600;
        const double gpus_per_size =
            0.25 * load_ * 8 * static_cast<double>(machines_.size()) / kMeanRunSeconds;
        for (const int gpus : {1, 2, 4, 8}) {
            const int arrivals = std::poisson_distribution<int>(gpus_per_size / gpus)(arrivals_);
            for (int i = 0; i < arrivals; ++i) {
                Task task;
                JobSpec& spec = task.job.spec;
                spec.ref = "j-" + std::to_string(tasks_.size());
                spec.tasks = 1;
                const bool is_batch = uniform() < 0.5;
                spec.kind = is_batch ? JobKind::Array : JobKind::Service;
                spec.job_class = is_batch ? "train" : "model";
                spec.checkpoint_interval = is_batch ? 60 * kSecond : 0;
                spec.save_duration = is_batch ? 2 * kSecond : 0;
                spec.request = {gpus * (4'000 + static_cast<Milli>(uniform() * 8'000)), gpus * 1'000,
                                gpus * 64'000};
                spec.image = "w-" + std::to_string(static_cast<int>(uniform() * 40));
                spec.image_gb = 20'000 * (1 + std::hash<std::string>{}(spec.image) % 7);
                task.job.time_since_move = 3600 * kSecond;
                task.seconds_left =
                    1 +
                    static_cast<int>(std::exponential_distribution<double>(1.0 / kMeanRunSeconds)(arrivals_));
                task.arrived_at = now_;
                waiting_.push_back(tasks_.size());
                tasks_.push_back(std::move(task));
            }
        }
    }

    void change_reserved(Task& task, Machine& machine, int sign) {
        if (sign > 0) machine.view.reserved += task.job.spec.request;
        if (sign < 0) machine.view.reserved -= task.job.spec.request;
        machine.tasks += sign;
    }

    void start(std::size_t task_index, std::size_t machine_index) {
        Task& task = tasks_[task_index];
        task.machine = static_cast<std::ptrdiff_t>(machine_index);
        task.started_at = now_;
        change_reserved(task, machines_[machine_index], 1);
        cache_image(machines_[machine_index].view, task.job.spec);
        for (auto& machine : machines_)
            std::erase_if(machine.reservations,
                          [&](const auto& entry) { return entry.first == task.job.spec.ref; });
        running_.push_back(task_index);
    }
    static void cache_image(MachineView& machine, const JobSpec& spec) {
        for (const auto& image : machine.images)
            if (image.name == spec.image) return;
        machine.images.push_back({spec.image, true});
        if (machine.images.size() > 5) machine.images.erase(machine.images.begin());
    }

    void end_tasks() {
        std::erase_if(running_, [&](std::size_t i) {
            Task& task = tasks_[i];
            if (task.stopping && now_ >= task.started_at) {  // proven terminated; restarts at its destination
                change_reserved(task, machines_[static_cast<std::size_t>(task.machine)], -1);
                task.stopping = false;
                task.restart_at = now_ + 2;
                moving_.push_back(i);
                return true;
            }
            if (task.stopping || --task.seconds_left > 0) return false;
            change_reserved(task, machines_[static_cast<std::size_t>(task.machine)], -1);
            task.over = true;
            return true;
        });
    }

    void start_moved_tasks() {
        std::erase_if(moving_, [&](std::size_t i) {
            if (now_ < tasks_[i].restart_at) return false;
            for (std::size_t m = 0; m < machines_.size(); ++m)
                if (machines_[m].view.name == tasks_[i].destination) start(i, m);
            tasks_[i].seconds_left += 60;  // to fetch the image and repeat lost work
            tasks_[i].job.time_since_move = 0;
            return true;
        });
    }

    GpuDemand gpu_demand() const {
        ShardView view;
        for (const auto* tasks : {&waiting_, &running_})
            for (const std::size_t i : *tasks) {
                view.jobs.push_back(tasks_[i].job);
                (tasks == &waiting_ ? view.jobs.back().waiting_tasks : view.jobs.back().bound_tasks) = 1;
            }
        return gpu_demand_of(view);
    }

    void start_waiting_tasks() {
        const GpuDemand demand = gpu_demand();
        std::vector<std::size_t> still_waiting;
        Milli free_gpus = 0;
        for (const auto& machine : machines_)
            free_gpus += machine.view.size.gpus - machine.view.reserved.gpus;
        for (const std::size_t i : moving_) free_gpus -= tasks_[i].job.spec.request.gpus;
        for (const std::size_t i : waiting_) {
            Task& task = tasks_[i];
            const Resources& request = task.job.spec.request;
            std::vector<Candidate> candidates;
            for (std::size_t m = 0; m < machines_.size(); ++m) {
                const Resources available = machines_[m].available_to(task.job.spec.ref);
                if (!request.fits(available)) continue;
                Candidate candidate;
                candidate.index = m;
                candidate.size = machines_[m].view.size;
                candidate.reserved = candidate.size - available;
                candidate.tasks = machines_[m].tasks;
                for (const auto& image : machines_[m].view.images)
                    candidate.has_image = candidate.has_image || image.name == task.job.spec.image;
                if (pack_)
                    candidate.penalty = gpu_penalty(candidate.size, candidate.reserved, request, demand);
                candidates.push_back(candidate);
            }
            const auto chosen = place(candidates, request, PlacementSettings{}, random_);
            // Free GPUs are counted for each waiting task in turn, the longest waiting first.
            if (free_gpus >= request.gpus) {
                ++task.seconds_with_enough_gpus;
                free_gpus -= request.gpus;
            }
            record_promptness(task, chosen >= 0);
            if (chosen < 0) {
                still_waiting.push_back(i);
                continue;
            }
            if (is_measuring_) ++measurement_.started, measurement_.waiting_time += now_ - task.arrived_at;
            start(i, static_cast<std::size_t>(chosen));
        }
        waiting_ = std::move(still_waiting);
    }

    /// Decides once for each task whether it started promptly, that is before enough GPUs were free in total
    /// for more than 60 s.
    void record_promptness(Task& task, bool starts_now) {
        if (task.promptness_recorded || (!starts_now && task.seconds_with_enough_gpus <= 60)) return;
        task.promptness_recorded = true;
        if (!is_measuring_) return;
        const bool is_prompt = starts_now && task.seconds_with_enough_gpus <= 60;
        if (task.job.spec.request.gpus == 8'000) ++measurement_.large, measurement_.large_prompt += is_prompt;
        if (task.job.spec.request.gpus == 4'000)
            ++measurement_.medium, measurement_.medium_prompt += is_prompt;
    }

    void plan_moves() {
        ShardView view;
        view.now = now_ * kSecond;
        for (const auto& machine : machines_) {
            view.machines.push_back(machine.view);
            for (const auto& [ref, request] : machine.reservations) view.machines.back().withheld += request;
        }
        std::vector<std::size_t> running_tasks;
        for (const std::size_t i : waiting_) {
            const Task& task = tasks_[i];
            view.jobs.push_back(task.job);
            view.jobs.back().waiting_tasks = 1;
            view.jobs.back().waiting_time = (now_ - task.arrived_at) * kSecond;
            for (const auto& machine : machines_)
                for (const auto& [ref, request] : machine.reservations)
                    view.jobs.back().reserved_tasks += ref == task.job.spec.ref;
        }
        for (const std::size_t i : running_) {
            const Task& task = tasks_[i];
            view.jobs.push_back(task.job);
            view.jobs.back().bound_tasks = 1;
            if (task.job.time_since_move == 0)
                view.jobs.back().time_since_move = (now_ - task.started_at) * kSecond;
            TaskView task_view;
            task_view.job = view.jobs.size() - 1;
            task_view.machine = static_cast<std::size_t>(task.machine);
            task_view.running = true;
            task_view.stopping = task_view.has_planned_move = task.stopping;
            task_view.run_time = (now_ - task.started_at) * kSecond;
            view.machines[task_view.machine].tasks.push_back(view.tasks.size());
            if (task.stopping) view.machines[task_view.machine].stopping += task.job.spec.request;
            view.tasks.push_back(task_view);
            running_tasks.push_back(i);
        }
        if (current_minute_ != now_ / 60) current_minute_ = now_ / 60, moves_in_minute_ = 0;
        policy::Policy policy = policy_;
        policy.budgets.moves_per_minute -= moves_in_minute_;
        for (const auto& plan : plan_capacity_for_waiting_jobs(view, policy)) {
            for (auto& machine : machines_)
                if (machine.view.name == plan.reservation.machine)
                    machine.reservations.emplace_back(
                        plan.reservation.job,
                        tasks_[std::stoul(plan.reservation.job.substr(2))].job.spec.request);
            for (const auto& move : plan.moves) {
                Task& task = tasks_[std::stoul(move.job.substr(2))];
                task.stopping = true;
                task.started_at = now_ + 3;
                task.destination = move.to;
                for (auto& machine : machines_)
                    if (machine.view.name == move.to)
                        machine.reservations.emplace_back(move.job, task.job.spec.request);
            }
            moves_in_minute_ += static_cast<int>(plan.moves.size());
            if (!is_measuring_ || plan.moves.empty()) continue;
            ++measurement_.plans;
            measurement_.moves += static_cast<double>(plan.moves.size());
            measurement_.most_moves =
                std::max(measurement_.most_moves, static_cast<double>(plan.moves.size()));
        }
    }

    /// Counts GPUs in use, and free GPUs that are too few on their machine for any waiting task.
    void measure() {
        if (!is_measuring_) return;
        Milli smallest_request = 0;
        for (const std::size_t i : waiting_) {
            const Milli gpus = tasks_[i].job.spec.request.gpus;
            smallest_request = smallest_request == 0 ? gpus : std::min(smallest_request, gpus);
        }
        for (const auto& machine : machines_) {
            const Milli free = machine.view.size.gpus - machine.view.reserved.gpus;
            measurement_.total += 8;
            measurement_.used += static_cast<double>(machine.view.reserved.gpus) / 1000;
            if (smallest_request > 0 && free < smallest_request)
                measurement_.unusable += static_cast<double>(free) / 1000;
        }
    }

    const double load_;
    std::mt19937_64 arrivals_, random_;
    bool pack_;
    policy::Policy policy_;
    std::vector<Machine> machines_;
    std::vector<Task> tasks_;
    std::vector<std::size_t> waiting_, running_, moving_;
    int now_ = 0;
    int current_minute_ = 0, moves_in_minute_ = 0;
    bool is_measuring_ = false;
    Measurement measurement_;
};

int environment_int(const char* name, int default_value) {
    const char* value = std::getenv(name);
    return value ? std::atoi(value) : default_value;
}

/// Simulates `shards` shards of `machines` machines, each with its own arrivals and its own owner, prints a
/// row of the table and returns the sums.
Measurement measure_and_print(int shards, int machines, double load, bool pack, bool moves) {
    Measurement sum;
    const int seeds = environment_int("COTTONWAY_CARDS_SEEDS", 2);
    for (int seed = 1; seed <= seeds * shards; ++seed)
        sum.add(GpuSimulation(machines, load, static_cast<std::uint64_t>(seed), pack, moves).run(3600, 1800));
    std::printf(
        "| %d x %d, %.0f%% | %s | %.1f%% of %.0f | %.1f%% of %.0f | %.2f%% | %.1f%% | %.1f s | %.0f, %.2f, "
        "%.0f |\n",
        shards, machines, 100 * load,
        moves  ? "packing and moves"
        : pack ? "packing"
               : "before",
        100 * sum.large_prompt / sum.large, sum.large, 100 * sum.medium_prompt / sum.medium, sum.medium,
        100 * sum.unusable / sum.total, 100 * sum.used / sum.total, sum.waiting_time / sum.started, sum.moves,
        sum.plans > 0 ? sum.moves / sum.plans : 0, sum.most_moves);
    return sum;
}

TEST(GpuSimulations, PackingAndMovesLetMoreLargeTasksStartPromptly) {
    const bool all = environment_int("COTTONWAY_CARDS_ALL", 0) != 0;
    for (const auto& [shards, machines] : all ? std::vector<std::pair<int, int>>{{1, 200}, {5, 40}}
                                              : std::vector<std::pair<int, int>>{{1, 24}})
        for (const double load : all ? std::vector<double>{0.9, 0.95, 1.0} : std::vector<double>{0.95}) {
            const Measurement before = measure_and_print(shards, machines, load, false, false);
            const Measurement packing = measure_and_print(shards, machines, load, true, false);
            const Measurement both = measure_and_print(shards, machines, load, true, true);
            EXPECT_GE(packing.large_prompt / packing.large, before.large_prompt / before.large);
            EXPECT_GE(both.large_prompt / both.large, packing.large_prompt / packing.large);
            EXPECT_LE(both.most_moves, 3);
            if (!all) {
                EXPECT_GT(both.large_prompt / both.large, before.large_prompt / before.large);
            }
        }
}

}  // namespace
}  // namespace cottonway::test
