// Machines with GPUs over an hour, simulated in small: what packing and moves change. The table is printed;
// docs/policy.md has it for 200 machines (COTTONWAY_CARDS_MACHINES=200 COTTONWAY_CARDS_SEEDS=10).

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

struct Measured {
    double large = 0, large_soon = 0;         // of 8 GPUs; begun within 60 s while as many GPUs were free
    double mid = 0, mid_soon = 0;             // of 4
    double used = 0, useless = 0, total = 0;  // GPU seconds
    double moves = 0, made = 0, most_moves = 0;
    double begun = 0, waited = 0;  // all tasks, seconds
    void add(const Measured& o) {
        large += o.large, large_soon += o.large_soon, mid += o.mid, mid_soon += o.mid_soon;
        used += o.used, useless += o.useless, total += o.total, moves += o.moves, made += o.made;
        most_moves = std::max(most_moves, o.most_moves), begun += o.begun, waited += o.waited;
    }
};

/// One run by whole seconds. Shapes of 1, 2, 4 and 8 GPUs arrive so that each asks for as many GPUs; half
/// are batch that saves every minute, the others replicas that may move, with weights of 20 to 140 GB.
class Simulated {
  public:
    Simulated(int machines, double load, std::uint64_t seed, bool pack, bool moves)
        : load_(load), arrivals_(seed), random_(seed), pack_(pack) {
        policy_.gpus = {pack, moves, 5 * kSecond};
        policy_.moves.push_back({{"", "model"}, true});
        for (int i = 0; i < machines; ++i) {
            MachineView m;
            m.name = "n-" + std::to_string(i);
            m.type = "g8";
            m.zone = "a";
            m.usable = true;
            m.size = {96'000, 8'000, 768'000};
            m.fetch_gb_per_s = 1;
            machines_.push_back({m, 0, {}});
        }
    }

    Measured run(int seconds, int warm) {
        for (now_ = 0; now_ < seconds; ++now_) {
            counts_ = now_ >= warm;
            arrive();
            leave();
            moved_arrive();
            start_waiting();
            if (policy_.gpus.make_room) make();
            measure();
        }
        return out_;
    }

  private:
    struct Task {
        JobView job;
        int left = 0;  // seconds of run, once started
        int since = 0, free_for = 0;
        std::ptrdiff_t machine = -1;
        int begun = 0;
        bool stopping = false;
        std::string to;  // where a move goes to
        int there = -1;  // when it starts there
        bool over = false, judged = false;
    };
    struct Machine {
        MachineView view;
        int tasks = 0;
        std::vector<std::pair<std::string, Resources>> kept;  // for whom
        Resources room(const std::string& by) const {
            Resources r = view.size - view.reserved;
            for (const auto& [ref, need] : kept)
                if (ref != by) r -= need;
            return r;
        }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(arrivals_); }

    void arrive() {
        constexpr int kMean = 600;
        const double per_shape = 0.25 * load_ * 8 * static_cast<double>(machines_.size()) / kMean;
        for (const int gpus : {1, 2, 4, 8}) {
            const int n = std::poisson_distribution<int>(per_shape / gpus)(arrivals_);
            for (int i = 0; i < n; ++i) {
                Task t;
                JobSpec& s = t.job.spec;
                s.ref = "j-" + std::to_string(tasks_.size());
                s.tasks = 1;
                const bool batch = uniform() < 0.5;
                s.kind = batch ? JobKind::Array : JobKind::Service;
                s.job_class = batch ? "train" : "model";
                s.checkpoint_interval = batch ? 60 * kSecond : 0;
                s.save_duration = batch ? 2 * kSecond : 0;
                s.request = {gpus * (4'000 + static_cast<Milli>(uniform() * 8'000)), gpus * 1'000,
                             gpus * 64'000};
                s.image = "w-" + std::to_string(static_cast<int>(uniform() * 40));
                s.image_gb = 20'000 * (1 + std::hash<std::string>{}(s.image) % 7);
                t.job.since_moved = 3600 * kSecond;
                t.left = 1 + static_cast<int>(std::exponential_distribution<double>(1.0 / kMean)(arrivals_));
                t.since = now_;
                waiting_.push_back(tasks_.size());
                tasks_.push_back(std::move(t));
            }
        }
    }

    void take(Task& t, Machine& m, int sign) {
        if (sign > 0) m.view.reserved += t.job.spec.request;
        if (sign < 0) m.view.reserved -= t.job.spec.request;
        m.tasks += sign;
    }

    void begin(std::size_t i, std::size_t m) {
        Task& t = tasks_[i];
        t.machine = static_cast<std::ptrdiff_t>(m);
        t.begun = now_;
        take(t, machines_[m], 1);
        cache(machines_[m].view, t.job.spec);
        for (auto& other : machines_)
            std::erase_if(other.kept, [&](const auto& k) { return k.first == t.job.spec.ref; });
        running_.push_back(i);
    }
    static void cache(MachineView& m, const JobSpec& s) {
        for (const auto& image : m.images)
            if (image.name == s.image) return;
        m.images.push_back({s.image, true});
        if (m.images.size() > 5) m.images.erase(m.images.begin());
    }

    void leave() {
        std::erase_if(running_, [&](std::size_t i) {
            Task& t = tasks_[i];
            if (t.stopping && now_ >= t.begun) {  // stopped and proven gone: on its way
                take(t, machines_[static_cast<std::size_t>(t.machine)], -1);
                t.stopping = false;
                t.there = now_ + 2;
                on_way_.push_back(i);
                return true;
            }
            if (t.stopping || --t.left > 0) return false;
            take(t, machines_[static_cast<std::size_t>(t.machine)], -1);
            t.over = true;
            return true;
        });
    }

    void moved_arrive() {
        std::erase_if(on_way_, [&](std::size_t i) {
            if (now_ < tasks_[i].there) return false;
            for (std::size_t m = 0; m < machines_.size(); ++m)
                if (machines_[m].view.name == tasks_[i].to) begin(i, m);
            tasks_[i].left += 60;  // fetched and done again
            tasks_[i].job.since_moved = 0;
            return true;
        });
    }

    Shapes shapes() const {
        View v;
        for (const auto* list : {&waiting_, &running_})
            for (const std::size_t i : *list) {
                v.jobs.push_back(tasks_[i].job);
                (list == &waiting_ ? v.jobs.back().idle : v.jobs.back().bound) = 1;
            }
        return shapes_of(v);
    }

    void start_waiting() {
        const Shapes asked = shapes();
        std::vector<std::size_t> still;
        Milli free = 0;
        for (const auto& m : machines_) free += m.view.size.gpus - m.view.reserved.gpus;
        for (const std::size_t i : on_way_) free -= tasks_[i].job.spec.request.gpus;
        for (const std::size_t i : waiting_) {
            Task& t = tasks_[i];
            const Resources& need = t.job.spec.request;
            std::vector<Candidate> list;
            for (std::size_t m = 0; m < machines_.size(); ++m) {
                const Resources room = machines_[m].room(t.job.spec.ref);
                if (!need.fits(room)) continue;
                Candidate c;
                c.index = m;
                c.size = machines_[m].view.size;
                c.reserved = c.size - room;
                c.tasks = machines_[m].tasks;
                for (const auto& image : machines_[m].view.images)
                    c.has_image = c.has_image || image.name == t.job.spec.image;
                if (pack_) c.penalty = gpu_penalty(c.size, c.reserved, need, asked);
                list.push_back(c);
            }
            const auto chosen = place(list, need, PlacementSettings{}, random_);
            // Each waiting task has a claim on what is free, the longest waiting first.
            if (free >= need.gpus) {
                ++t.free_for;
                free -= need.gpus;
            }
            judge(t, chosen >= 0);
            if (chosen < 0) {
                still.push_back(i);
                continue;
            }
            if (counts_) ++out_.begun, out_.waited += now_ - t.since;
            begin(i, static_cast<std::size_t>(chosen));
        }
        waiting_ = std::move(still);
    }

    /// Once: begun, or not within 60 s in which as many GPUs were free.
    void judge(Task& t, bool begins) {
        if (t.judged || (!begins && t.free_for <= 60)) return;
        t.judged = true;
        if (!counts_) return;
        const bool soon = begins && t.free_for <= 60;
        if (t.job.spec.request.gpus == 8'000) ++out_.large, out_.large_soon += soon;
        if (t.job.spec.request.gpus == 4'000) ++out_.mid, out_.mid_soon += soon;
    }

    void make() {
        View v;
        v.now = now_ * kSecond;
        for (const auto& m : machines_) {
            v.machines.push_back(m.view);
            for (const auto& [ref, need] : m.kept) v.machines.back().kept += need;
        }
        std::vector<std::size_t> task_of;
        for (const std::size_t i : waiting_) {
            const Task& t = tasks_[i];
            v.jobs.push_back(t.job);
            v.jobs.back().idle = 1;
            v.jobs.back().waiting = (now_ - t.since) * kSecond;
            for (const auto& m : machines_)
                for (const auto& [ref, need] : m.kept) v.jobs.back().gathered += ref == t.job.spec.ref;
        }
        for (const std::size_t i : running_) {
            const Task& t = tasks_[i];
            v.jobs.push_back(t.job);
            v.jobs.back().bound = 1;
            if (t.job.since_moved == 0) v.jobs.back().since_moved = (now_ - t.begun) * kSecond;
            TaskView tv;
            tv.job = v.jobs.size() - 1;
            tv.machine = static_cast<std::size_t>(t.machine);
            tv.running = true;
            tv.stopping = tv.moving = t.stopping;
            tv.ran = (now_ - t.begun) * kSecond;
            v.machines[tv.machine].tasks.push_back(v.tasks.size());
            if (t.stopping) v.machines[tv.machine].stopping += t.job.spec.request;
            v.tasks.push_back(tv);
            task_of.push_back(i);
        }
        if (minute_ != now_ / 60) minute_ = now_ / 60, moves_in_minute_ = 0;
        policy::Policy p = policy_;
        p.budgets.moves_per_minute -= moves_in_minute_;
        for (const auto& plan : make_rooms(v, p)) {
            for (auto& m : machines_)
                if (m.view.name == plan.gather.machine)
                    m.kept.emplace_back(plan.gather.job,
                                        tasks_[std::stoul(plan.gather.job.substr(2))].job.spec.request);
            for (const auto& move : plan.moves) {
                Task& t = tasks_[std::stoul(move.job.substr(2))];
                t.stopping = true;
                t.begun = now_ + 3;
                t.to = move.to;
                for (auto& m : machines_)
                    if (m.view.name == move.to) m.kept.emplace_back(move.job, t.job.spec.request);
            }
            moves_in_minute_ += static_cast<int>(plan.moves.size());
            if (!counts_ || plan.moves.empty()) continue;
            ++out_.made;
            out_.moves += static_cast<double>(plan.moves.size());
            out_.most_moves = std::max(out_.most_moves, static_cast<double>(plan.moves.size()));
        }
    }

    /// Free GPUs that nothing waiting can use while something waits for GPUs.
    void measure() {
        if (!counts_) return;
        Milli smallest = 0;
        for (const std::size_t i : waiting_) {
            const Milli c = tasks_[i].job.spec.request.gpus;
            smallest = smallest == 0 ? c : std::min(smallest, c);
        }
        for (const auto& m : machines_) {
            const Milli free = m.view.size.gpus - m.view.reserved.gpus;
            out_.total += 8;
            out_.used += static_cast<double>(m.view.reserved.gpus) / 1000;
            if (smallest > 0 && free < smallest) out_.useless += static_cast<double>(free) / 1000;
        }
    }

    const double load_;
    std::mt19937_64 arrivals_, random_;
    bool pack_;
    policy::Policy policy_;
    std::vector<Machine> machines_;
    std::vector<Task> tasks_;
    std::vector<std::size_t> waiting_, running_, on_way_;
    int now_ = 0;
    int minute_ = 0, moves_in_minute_ = 0;
    bool counts_ = false;
    Measured out_;
};

int setting(const char* name, int otherwise) {
    const char* value = std::getenv(name);
    return value ? std::atoi(value) : otherwise;
}

/// `shards` times as many machines, each shard with its own arrivals and its own holder.
Measured measured(int shards, int machines, double load, bool pack, bool moves) {
    Measured sum;
    const int seeds = setting("COTTONWAY_CARDS_SEEDS", 2);
    for (int s = 1; s <= seeds * shards; ++s)
        sum.add(Simulated(machines, load, static_cast<std::uint64_t>(s), pack, moves).run(3600, 1800));
    std::printf(
        "| %d x %d, %.0f%% | %s | %.1f%% of %.0f | %.1f%% of %.0f | %.2f%% | %.1f%% | %.1f s | %.0f, %.2f, "
        "%.0f |\n",
        shards, machines, 100 * load,
        moves  ? "packing and moves"
        : pack ? "packing"
               : "before",
        100 * sum.large_soon / sum.large, sum.large, 100 * sum.mid_soon / sum.mid, sum.mid,
        100 * sum.useless / sum.total, 100 * sum.used / sum.total, sum.waited / sum.begun, sum.moves,
        sum.made > 0 ? sum.moves / sum.made : 0, sum.most_moves);
    return sum;
}

TEST(CardsSimulated, PackingAndMovesLetLargeOnesBegin) {
    const bool all = setting("COTTONWAY_CARDS_ALL", 0) != 0;
    for (const auto& [shards, machines] : all ? std::vector<std::pair<int, int>>{{1, 200}, {5, 40}}
                                              : std::vector<std::pair<int, int>>{{1, 24}})
        for (const double load : all ? std::vector<double>{0.9, 0.95, 1.0} : std::vector<double>{0.95}) {
            const Measured before = measured(shards, machines, load, false, false);
            const Measured packing = measured(shards, machines, load, true, false);
            const Measured both = measured(shards, machines, load, true, true);
            EXPECT_GE(packing.large_soon / packing.large, before.large_soon / before.large);
            EXPECT_GE(both.large_soon / both.large, packing.large_soon / packing.large);
            EXPECT_LE(both.most_moves, 3);
            if (!all) {
                EXPECT_GT(both.large_soon / both.large, before.large_soon / before.large);
            }
        }
}

}  // namespace
}  // namespace cottonway::test
