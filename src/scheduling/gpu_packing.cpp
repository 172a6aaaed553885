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
constexpr double kWaitingWeight = 3;

// Score. The weights of the paper add up to 100, so this is what a whole machine of GPUs is worth.
constexpr double kScoreOfMachine = 400;
// More than all other terms of the score together: work without GPUs goes elsewhere if it can.
constexpr double kScoreWithoutGpus = 200;

// Cost of a move in seconds: to stop, to be proven gone and to start, whatever it is.
constexpr double kMoveSeconds = 5;
// A second without a replica counts as so many of batch: users wait for it.
constexpr double kServiceWeight = 3;

// Bounds of the search. With d destinations for each of up to m leaving tasks and d >= m no choice of one can
// take the last of another, so that few are enough.
constexpr std::size_t kLeaving = 12;      // tasks of a machine that are thought of
constexpr std::size_t kDestinations = 8;  // for each task, beyond one for each move
constexpr int kTries = 400;               // destinations tried for one set of tasks
constexpr std::size_t kPlans = 8;         // machines with a plan, of which the cheapest is taken
constexpr std::size_t kPlaces = 64;       // machines with room that are weighed as places for a job
constexpr std::size_t kMachines = 256;    // machines searched for one task, those with most room first
constexpr std::size_t kHopeless = 16;     // jobs without a plan, after which a call gives up

double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}
double gpus_of(Milli gpus) {
    return static_cast<double>(gpus) / 1000.0;
}
}  // namespace

// ---------------------------------------------------------------- packing

void Shapes::add(Milli gpus, double weight) {
    if (gpus <= 0 || weight <= 0) return;
    weights_[gpus] += weight;
    total_ += weight;
}

void Shapes::add(Milli gpus, int waiting, int running) {
    add(gpus, gpus_of(gpus) * (kWaitingWeight * waiting + running));
}

double Shapes::useless(Milli free) const {
    if (free <= 0 || weights_.empty()) return 0;
    double useless = 0;
    for (const auto& [gpus, weight] : weights_) useless += weight * static_cast<double>(free % gpus);
    return useless / total_ / static_cast<double>(free);
}

double Shapes::unusable_gpus(const Resources& size, const Resources& room) const {
    if (room.gpus <= 0 || size.gpus <= 0) return 0;
    const double free = gpus_of(room.gpus);
    auto served = [&](Milli left, Milli all) {
        return all > 0 ? gpus_of(size.gpus) * static_cast<double>(std::max<Milli>(left, 0)) /
                             static_cast<double>(all)
                       : free;
    };
    const double bare = free - std::min({free, served(room.cores, size.cores), served(room.ram, size.ram)});
    return std::min(free, free * useless(room.gpus) + bare);
}

Shapes shapes_of(const View& view) {
    Shapes shapes;
    for (const auto& job : view.jobs)
        if (!job.cancelled) shapes.add(job.spec.request.gpus, job.idle, job.bound);
    return shapes;
}

double gpu_penalty(const Resources& size, const Resources& reserved, const Resources& need,
                   const Shapes& shapes) {
    if (size.gpus <= 0) return 0;
    const Resources before = size - reserved;
    const double more = shapes.unusable_gpus(size, before - need) - shapes.unusable_gpus(size, before);
    return kScoreOfMachine * more / gpus_of(size.gpus) + (need.gpus <= 0 ? kScoreWithoutGpus : 0.0);
}

// ---------------------------------------------------------------- moves

namespace {

Resources least(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ram, b.ram)};
}

/// A machine that something could move to, and what that costs in seconds.
struct Destination {
    std::size_t machine = 0;
    double cost = 0;
};

struct Leaver {
    std::size_t task = 0;
    Resources request;
    std::vector<Destination> to;
};

struct Way {
    std::size_t machine = 0;                                 // where the waiting task starts
    std::vector<std::pair<std::size_t, Destination>> moves;  // task, destination
    double cost = 0;
};

/// The rooms of a view as the plans of one call use them up.
class Search {
  public:
    Search(const View& view, const policy::Policy& policy)
        : view_(view), policy_(policy), shapes_(shapes_of(view)), moved_(view.tasks.size(), false) {
        for (const auto& m : view.machines) {
            all_.push_back(all_.size());
            if (m.room().gpus > 0) with_gpus_.push_back(all_.back());
            for (const auto& image : m.images) with_image_[image.name].push_back(all_.back());
            now_.push_back(m.room());
            later_.push_back(m.room() + m.stopping);
            fetches_.push_back(static_cast<int>(
                std::count_if(m.images.begin(), m.images.end(), [](const auto& i) { return !i.ready; })));
        }
        std::stable_sort(with_gpus_.begin(), with_gpus_.end(),
                         [this](auto a, auto b) { return now_[a].gpus < now_[b].gpus; });
        added_.resize(view.jobs.size());
        may_move_.resize(view.jobs.size());
        for (std::size_t j = 0; j < view.jobs.size(); ++j) may_move_[j] = may_move(view.jobs[j]);
    }

    /// Whether planning has anything to do for it.
    bool due(std::size_t job) const {
        const JobView& j = view_.jobs[job];
        if (j.cancelled || j.spec.request.gpus <= 0 || j.waiting < policy_.gpus.after) return false;
        return j.spec.kind == JobKind::Gang ? j.idle > 0 && j.gathered == 0 : j.idle > j.gathered;
    }

    /// Rooms for `tasks` tasks of a job, all or none; nothing if they fit without. Uses the rooms up. At most
    /// `most_moves` for each task.
    std::vector<RoomPlan> rooms(std::size_t job, int tasks, int most_moves, int most_in_all) {
        if (!has_total(job, tasks)) return {};
        std::vector<Way> best;
        double lowest = 0;
        for (const auto& zone : zones_for(job, tasks)) {
            std::vector<Way> ways;
            if (tasks == 1) {
                if (auto way = way_for(job, most_moves, zone)) ways.push_back(std::move(*way));
            } else {
                ways = Search(*this).ways_for(job, tasks, most_moves, zone);
            }
            if (ways.empty()) continue;
            if (fits_as_it_is(job, ways)) return {};  // the five steps will place it
            double cost = 0;
            int moves = 0;
            for (const auto& way : ways) {
                cost += way.cost;
                moves += static_cast<int>(way.moves.size());
            }
            if (moves > most_in_all) continue;
            if (best.empty() || cost < lowest) {
                lowest = cost;
                best = std::move(ways);
            }
        }
        for (const auto& way : best) use(job, way);
        return plans_of(job, best);
    }

    /// Some machine holds a task of it as it is.
    bool fits_somewhere(std::size_t job) const {
        for (std::size_t m = 0; m < view_.machines.size(); ++m)
            if (allowed(job, m) && zone_open(job, m, nullptr) && fits_now(job, m)) return true;
        return false;
    }

  private:
    bool may_move(const JobView& job) const {
        if (job.cancelled || job.spec.kind == JobKind::Gang || job.tier == policy::Tier::Live) return false;
        if (!policy_.movable(job.spec)) return false;
        return job.spec.kind != JobKind::Service || job.since_moved >= policy_.budgets.service_pause;
    }

    /// By what the job asks for and the policy's zones; not by room.
    bool allowed(std::size_t job, std::size_t machine) const {
        const JobSpec& spec = view_.jobs[job].spec;
        const MachineView& m = view_.machines[machine];
        if (!m.usable || !may_use(spec, m.type, m.zone, m.spot)) return false;
        const policy::ZoneRule* rule = policy_.zone_rule(spec);
        return !rule || rule->allowed.empty() ||
               std::find(rule->allowed.begin(), rule->allowed.end(), m.zone) != rule->allowed.end();
    }

    /// Whether one more task of the job may be in the machine's zone, given those there (the one that leaves
    /// included) and `also`, further ones by zone.
    bool zone_open(std::size_t job, std::size_t machine, const std::map<std::string, int>* also) const {
        const JobView& j = view_.jobs[job];
        const std::string& zone = view_.machines[machine].zone;
        const policy::ZoneRule* rule = policy_.zone_rule(j.spec);
        const double share = rule ? rule->most_share : 1.0;
        if (!j.spec.spread && !j.spec.one_zone && share >= 1) return true;
        std::map<std::string, int> there = j.zones;
        for (const auto& [z, n] : added_[job]) there[z] += n;
        if (also)
            for (const auto& [z, n] : *also) there[z] += n;
        const int more = there[zone] + 1;
        if (j.spec.spread && more > (j.spec.tasks + 1) / 2) return false;
        if (share < 1 && more > static_cast<int>(std::ceil(share * j.spec.tasks - 1e-9))) return false;
        if (j.spec.one_zone)
            for (const auto& [z, n] : there)
                if (n > 0 && z != zone) return false;
        return true;
    }

    bool fits_now(std::size_t job, std::size_t machine) const {
        return view_.jobs[job].spec.request.fits(least(now_[machine], later_[machine]));
    }

    bool fits_as_it_is(std::size_t job, const std::vector<Way>& ways) const {
        std::map<std::size_t, Resources> used;
        for (const auto& way : ways) {
            if (!way.moves.empty()) return false;
            used[way.machine] += view_.jobs[job].spec.request;
        }
        return std::all_of(used.begin(), used.end(), [&](const auto& u) {
            return u.second.fits(least(now_[u.first], later_[u.first]));
        });
    }

    /// One zone after the other for a gang that has to be in one; else all at once.
    std::vector<std::string> zones_for(std::size_t job, int tasks) const {
        if (!view_.jobs[job].spec.one_zone || tasks == 1) return {""};
        std::set<std::string> all;
        for (const auto& m : view_.machines) all.insert(m.zone);
        return {all.begin(), all.end()};
    }

    bool has_total(std::size_t job, int tasks) const {
        Milli free = 0;
        for (std::size_t m = 0; m < view_.machines.size(); ++m)
            if (view_.machines[m].usable) free += std::max<Milli>(later_[m].gpus, 0);
        return free >= view_.jobs[job].spec.request.gpus * tasks;
    }

    /// Seconds until the image is there: none if it is cached, half if another copy is being fetched; fetches
    /// at one machine share its rate.
    double fetch_seconds(const JobSpec& spec, std::size_t machine) const {
        const MachineView& m = view_.machines[machine];
        if (spec.image.empty() || spec.image_gb <= 0) return 0;
        int others = fetches_[machine];
        double part = 1;
        for (const auto& i : m.images)
            if (i.name == spec.image) {
                if (i.ready) return 0;
                part = 0.5;
                --others;
            }
        const double gb = static_cast<double>(spec.image_gb) / 1000.0;
        return part * gb / std::max(m.fetch_gb_per_s, 1e-3) * (1 + std::max(others, 0));
    }

    /// What a move of the task costs beside the fetch.
    double leave_seconds(std::size_t task) const {
        const TaskView& t = view_.tasks[task];
        const JobSpec& spec = view_.jobs[t.job].spec;
        if (spec.kind == JobKind::Service) return kServiceWeight * kMoveSeconds;
        if (!t.running) return kMoveSeconds;
        const Micros lost = spec.checkpoint_interval > 0 ? t.ran % spec.checkpoint_interval : t.ran;
        return kMoveSeconds + seconds(spec.save_duration) + seconds(lost);
    }

    /// The best places for a job's tasks and what the fetch costs, by that and by what a start there takes
    /// from the use of the GPUs. Kept until rooms are used up.
    const std::vector<Destination>& places(std::size_t job, std::size_t keep) {
        auto [it, fresh] = places_.try_emplace(job);
        if (!fresh) return it->second;
        const JobSpec& spec = view_.jobs[job].spec;
        std::vector<std::pair<double, Destination>> list;
        std::vector<bool> seen(view_.machines.size(), false);
        auto weigh = [&](std::size_t m) {
            if (seen[m] || !fits_now(job, m) || !allowed(job, m) || !zone_open(job, m, nullptr)) return;
            seen[m] = true;
            const MachineView& machine = view_.machines[m];
            const double fetch =
                (spec.kind == JobKind::Service ? kServiceWeight : 1) * fetch_seconds(spec, m);
            const double worse =
                gpu_penalty(machine.size, machine.size - least(now_[m], later_[m]), spec.request, shapes_);
            list.push_back({fetch + worse, {m, fetch}});
        };
        // Those with its image, then the tightest; as many as there are moves are enough to find a plan.
        if (auto holders = with_image_.find(spec.image); holders != with_image_.end())
            for (const std::size_t m : holders->second) weigh(m);
        const std::size_t enough = list.size() + std::max(kPlaces, keep);
        for (const std::size_t m : spec.request.gpus > 0 ? with_gpus_ : all_) {
            if (list.size() >= enough) break;
            weigh(m);
        }
        const std::size_t n = std::min(keep, list.size());
        std::partial_sort(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(n), list.end(),
                          [](const auto& a, const auto& b) {
                              return std::tie(a.first, a.second.machine) <
                                     std::tie(b.first, b.second.machine);
                          });
        for (std::size_t i = 0; i < n; ++i) it->second.push_back(list[i].second);
        return it->second;
    }

    /// Places for one task, with the whole cost of the move.
    std::vector<Destination> destinations(std::size_t task, std::size_t keep) {
        const TaskView& t = view_.tasks[task];
        const double leave = leave_seconds(task);
        std::vector<Destination> out;
        for (const auto& to : places(t.job, keep + 1))
            if (to.machine != t.machine && out.size() < keep) out.push_back({to.machine, leave + to.cost});
        return out;
    }

    bool can_leave(std::size_t task, std::size_t for_job) const {
        const TaskView& t = view_.tasks[task];
        if (t.job == for_job || moved_[task] || t.moving || t.stopping || !may_move_[t.job]) return false;
        // A lower tier never delays a higher one.
        if (view_.jobs[t.job].tier < view_.jobs[for_job].tier) return false;
        return view_.jobs[t.job].spec.kind != JobKind::Service || added_[t.job].empty();
    }

    /// What could leave a machine and would help, the most helpful and the cheapest first, each with places.
    std::vector<Leaver> leavers(std::size_t job, std::size_t machine, const Resources& lack, int most_moves) {
        struct Ranked {
            double help;
            Leaver leaver;
        };
        std::vector<Ranked> list;
        std::map<std::size_t, int> of_job;
        auto part = [](Milli of, Milli want) {
            return want > 0 ? static_cast<double>(std::min(of, want)) / static_cast<double>(want) : 0.0;
        };
        for (const std::size_t task : view_.machines[machine].tasks) {
            if (!can_leave(task, job)) continue;
            const std::size_t owner = view_.tasks[task].job;
            const Resources& need = view_.jobs[owner].spec.request;
            const double help =
                part(need.gpus, lack.gpus) + part(need.cores, lack.cores) + part(need.ram, lack.ram);
            if (help <= 0 || (view_.jobs[owner].spec.kind == JobKind::Service && of_job[owner] > 0)) continue;
            auto to = destinations(task, kDestinations + static_cast<std::size_t>(most_moves));
            if (to.empty()) continue;
            ++of_job[owner];
            list.push_back({help, {task, need, std::move(to)}});
        }
        std::stable_sort(list.begin(), list.end(), [](const Ranked& a, const Ranked& b) {
            return std::tie(b.help, a.leaver.to.front().cost) < std::tie(a.help, b.leaver.to.front().cost);
        });
        std::vector<Leaver> out;
        for (std::size_t i = 0; i < std::min(list.size(), kLeaving); ++i)
            out.push_back(std::move(list[i].leaver));
        return out;
    }

    /// Destinations for a set of leaving tasks that all hold at once, the largest first; the first found.
    struct Assigning {
        const std::vector<const Leaver*>& leaving;
        std::map<std::size_t, Resources> used;
        std::map<std::size_t, std::map<std::string, int>> zones;  // by job
        std::vector<std::pair<std::size_t, Destination>> moves;
        int tries = 0;
    };
    bool assign(Assigning& a) const {
        if (a.moves.size() == a.leaving.size()) return true;
        const Leaver& leaver = *a.leaving[a.moves.size()];
        const std::size_t job = view_.tasks[leaver.task].job;
        for (const auto& to : leaver.to) {
            if (++a.tries > kTries) return false;
            if (!(a.used[to.machine] + leaver.request).fits(least(now_[to.machine], later_[to.machine])) ||
                !zone_open(job, to.machine, &a.zones[job]))
                continue;
            const std::string& zone = view_.machines[to.machine].zone;
            a.used[to.machine] += leaver.request;
            ++a.zones[job][zone];
            a.moves.emplace_back(leaver.task, to);
            if (assign(a)) return true;
            a.moves.pop_back();
            --a.zones[job][zone];
            a.used[to.machine] -= leaver.request;
        }
        return false;
    }

    /// The cheapest way to have a task start on one machine: every set of up to `most_moves` leaving tasks of
    /// which none is too many.
    std::optional<Way> way_on(std::size_t job, std::size_t machine, int most_moves) {
        const Resources lack = view_.jobs[job].spec.request - later_[machine];
        if (lack.cores <= 0 && lack.gpus <= 0 && lack.ram <= 0) return Way{machine, {}, 0};
        if (most_moves <= 0 || !can_free(job, machine, lack, most_moves)) return std::nullopt;
        const std::vector<Leaver> list = leavers(job, machine, lack, most_moves);
        std::optional<Way> best;
        std::vector<const Leaver*> set;
        auto grow = [&](auto&& self, std::size_t from, Resources left, double least_cost) -> void {
            if (best && least_cost >= best->cost) return;
            if (left.cores <= 0 && left.gpus <= 0 && left.ram <= 0) {
                std::vector<const Leaver*> sorted = set;
                std::stable_sort(sorted.begin(), sorted.end(), [](const Leaver* a, const Leaver* b) {
                    return std::tie(a->request.gpus, a->request.cores) >
                           std::tie(b->request.gpus, b->request.cores);
                });
                Assigning a{sorted, {}, {}, {}, 0};
                if (!assign(a)) return;
                Way way{machine, std::move(a.moves), 0};
                for (const auto& [task, to] : way.moves) way.cost += to.cost;
                if (!best || way.cost < best->cost) best = std::move(way);
                return;
            }
            if (static_cast<int>(set.size()) >= most_moves) return;
            for (std::size_t i = from; i < list.size(); ++i) {
                set.push_back(&list[i]);
                self(self, i + 1, left - list[i].request, least_cost + list[i].to.front().cost);
                set.pop_back();
            }
        };
        grow(grow, 0, lack, 0);
        return best;
    }

    /// Whether the largest of what may leave would free enough, each amount for itself.
    bool can_free(std::size_t job, std::size_t machine, const Resources& lack, int most_moves) const {
        std::vector<Milli> gpus, cores, ram;
        for (const std::size_t task : view_.machines[machine].tasks) {
            if (!can_leave(task, job)) continue;
            const Resources& need = view_.jobs[view_.tasks[task].job].spec.request;
            gpus.push_back(need.gpus);
            cores.push_back(need.cores);
            ram.push_back(need.ram);
        }
        auto enough = [&](std::vector<Milli>& of, Milli want) {
            std::sort(of.rbegin(), of.rend());
            for (std::size_t i = 0; i < std::min(of.size(), static_cast<std::size_t>(most_moves)); ++i)
                want -= of[i];
            return want <= 0;
        };
        return enough(gpus, lack.gpus) && enough(cores, lack.cores) && enough(ram, lack.ram);
    }

    /// The best machine for one task: those with most room first, the cheapest of the first kPlans ways.
    std::optional<Way> way_for(std::size_t job, int most_moves, const std::string& zone) {
        std::vector<std::pair<Milli, std::size_t>> order;
        const Resources& need = view_.jobs[job].spec.request;
        for (std::size_t m = 0; m < view_.machines.size(); ++m) {
            if (!zone.empty() && view_.machines[m].zone != zone) continue;
            if (!need.fits(view_.machines[m].size) || !allowed(job, m) || !zone_open(job, m, nullptr))
                continue;
            order.emplace_back(-later_[m].gpus, m);
        }
        std::sort(order.begin(), order.end());
        std::optional<Way> best;
        double lowest = 0;
        std::size_t found = 0;
        if (order.size() > kMachines) order.resize(kMachines);
        for (const auto& [room, m] : order) {
            auto way = way_on(job, m, most_moves);
            if (!way) continue;
            // Its own weights count as well, they are fetched where it starts.
            const double cost = way->cost + fetch_seconds(view_.jobs[job].spec, m);
            if (!best || cost < lowest) {
                best = std::move(way);
                lowest = cost;
            }
            if (++found >= kPlans) break;
        }
        return best;
    }

    std::vector<Way> ways_for(std::size_t job, int tasks, int most_moves, const std::string& zone) {
        std::vector<Way> ways;
        for (int i = 0; i < tasks; ++i) {
            auto way = way_for(job, most_moves, zone);
            if (!way) return {};
            use(job, *way);
            ways.push_back(std::move(*way));
        }
        return ways;
    }

    void use(std::size_t job, const Way& way) {
        for (const auto& [task, to] : way.moves) {
            const std::size_t owner = view_.tasks[task].job;
            const Resources& need = view_.jobs[owner].spec.request;
            moved_[task] = true;
            later_[way.machine] += need;
            now_[to.machine] -= need;
            later_[to.machine] -= need;
            if (fetch_seconds(view_.jobs[owner].spec, to.machine) > 0) ++fetches_[to.machine];
            ++added_[owner][view_.machines[to.machine].zone];
        }
        later_[way.machine] -= view_.jobs[job].spec.request;
        places_.clear();
        ++added_[job][view_.machines[way.machine].zone];
    }

    std::vector<RoomPlan> plans_of(std::size_t job, const std::vector<Way>& ways) const {
        const std::string& ref = view_.jobs[job].spec.ref;
        std::map<std::size_t, RoomPlan> by_machine;
        for (const auto& way : ways) {
            auto [it, fresh] = by_machine.try_emplace(way.machine);
            RoomPlan& plan = it->second;
            if (fresh) plan.gather = {ref, view_.machines[way.machine].name, 0};
            ++plan.gather.tasks;
            plan.cost += way.cost;
            for (const auto& [task, to] : way.moves) {
                const TaskView& t = view_.tasks[task];
                plan.moves.push_back({view_.jobs[t.job].spec.ref, t.task, view_.machines[t.machine].name,
                                      view_.machines[to.machine].name, Reason::Room, ref});
            }
        }
        std::vector<RoomPlan> out;
        for (auto& [machine, plan] : by_machine) out.push_back(std::move(plan));
        return out;
    }

    const View& view_;
    const policy::Policy& policy_;
    Shapes shapes_;
    std::vector<Resources> now_;                     // room that something may move to at once
    std::vector<Resources> later_;                   // room once what is stopping or leaves is gone
    std::vector<int> fetches_;                       // at the machine, by the plans of this call as well
    std::vector<bool> moved_;                        // by task
    std::vector<bool> may_move_;                     // by job
    std::vector<std::map<std::string, int>> added_;  // by job: tasks that start in a zone by these plans
    std::map<std::size_t, std::vector<Destination>> places_;  // by job
    std::vector<std::size_t> all_, with_gpus_;  // machines; those with free GPUs, the fewest first
    std::map<std::string, std::vector<std::size_t>> with_image_;
};

}  // namespace

std::optional<RoomPlan> make_room(const View& view, std::size_t job, const policy::Policy& policy) {
    Search search(view, policy);
    if (!search.due(job)) return std::nullopt;
    const JobView& j = view.jobs[job];
    if (j.spec.kind == JobKind::Gang ? j.idle > 1 : search.fits_somewhere(job)) return std::nullopt;
    auto plans = search.rooms(job, 1, policy.budgets.moves_per_placement, policy.budgets.moves_per_placement);
    if (plans.empty()) return std::nullopt;
    return std::move(plans.front());
}

std::vector<RoomPlan> make_rooms(const View& view, const policy::Policy& policy) {
    Search search(view, policy);
    std::vector<std::size_t> order;
    for (std::size_t j = 0; j < view.jobs.size(); ++j)
        if (search.due(j)) order.push_back(j);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const JobView &x = view.jobs[a], &y = view.jobs[b];
        return std::tie(x.tier, y.waiting) < std::tie(y.tier, x.waiting);
    });
    std::vector<RoomPlan> out;
    int moves_left = policy.budgets.moves_per_minute;
    std::size_t is_unschedulable = 0;
    for (const std::size_t j : order) {
        const JobView& job = view.jobs[j];
        const bool gang = job.spec.kind == JobKind::Gang;
        if (!gang && search.fits_somewhere(j)) continue;
        for (int left = gang ? 1 : job.idle - job.gathered; left > 0; --left) {
            if (moves_left <= 0) return out;
            auto plans = search.rooms(j, gang ? job.idle : 1,
                                      std::min(policy.budgets.moves_per_placement, moves_left), moves_left);
            if (plans.empty()) {
                if (++is_unschedulable >= kHopeless) return out;
                break;
            }
            for (auto& plan : plans) {
                moves_left -= static_cast<int>(plan.moves.size());
                out.push_back(std::move(plan));
            }
        }
    }
    return out;
}

}  // namespace cottonway::scheduling
