#include "scheduling/topology_spread.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>

#include "scheduling/constraints.hpp"

namespace cottonway::scheduling {

namespace {

constexpr double kSameZonePenalty = 25;  // added to a score for each replica of the service in the zone
constexpr double kNotPreferredPenalty = 50;
constexpr Micros kLossHistory = 600 * kSecond;  // losses of a zone older than this are forgotten
constexpr int kMaxDoublings = 5;  // of the pause between moves and of the settle time: a factor of 32

using Counts = std::map<std::string, int>;
using Zones = std::vector<std::string>;

bool contains(const Zones& zones, const std::string& zone) {
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

int count_in(const Counts& counts, const std::string& zone) {
    auto it = counts.find(zone);
    return it == counts.end() ? 0 : it->second;
}

/// The ways in which a distribution misses its rule, compared from the gravest to the least.
struct Cost {
    std::int64_t forbidden = 0;      // replicas in zones that are not allowed
    std::int64_t over_cap = 0;       // sum over zones of the square of the replicas beyond the cap
    std::int64_t missing_zones = 0;  // zones short of the minimum number
    std::int64_t unpreferred = 0;    // replicas in allowed zones that are not preferred
    auto operator<=>(const Cost&) const = default;
};

Cost operator-(const Cost& a, const Cost& b) {
    return {a.forbidden - b.forbidden, a.over_cap - b.over_cap, a.missing_zones - b.missing_zones,
            a.unpreferred - b.unpreferred};
}

/// The spread constraints of a job and of its policy rule, as plain numbers.
class SpreadConstraints {
  public:
    SpreadConstraints(const JobSpec& job, const policy::ZoneRule* rule)
        : job_(job), rule_(rule), cap_(job.tasks) {
        if (!rule || job.kind != JobKind::Service) return;
        // The margin absorbs the rounding error of a share such as a third in binary.
        cap_ = static_cast<int>(std::ceil(rule->max_zone_share * job.tasks - 1e-9));
        if (rule->survive == policy::FailureDomain::Zone) cap_ = std::min(cap_, (job.tasks + 1) / 2);
        cap_ = std::clamp(cap_, 1, std::max(1, job.tasks));
        min_zones_ = std::clamp(rule->min_zones, 0, job.tasks);
    }

    int cap() const { return cap_; }
    bool requires_separate_machines() const {
        return rule_ && job_.kind == JobKind::Service && rule_->survive == policy::FailureDomain::Machine;
    }
    bool allows(const std::string& zone) const {
        return !rule_ || rule_->allowed.empty() || contains(rule_->allowed, zone);
    }
    bool prefers(const std::string& zone) const {
        return !rule_ || rule_->preferred.empty() || contains(rule_->preferred, zone);
    }
    /// Returns the most tasks that the zone may hold under the job's own constraints, given the job's tasks
    /// in all zones.
    int job_limit(const std::string& zone, const Counts& counts) const {
        if (job_.zone && *job_.zone != zone) return 0;
        if (job_.one_zone && used_zones(counts) > 0 && count_in(counts, zone) <= 0) return 0;
        return job_.spread ? (job_.tasks + 1) / 2 : job_.tasks;
    }
    static int used_zones(const Counts& counts) {
        return static_cast<int>(
            std::count_if(counts.begin(), counts.end(), [](const auto& entry) { return entry.second > 0; }));
    }
    Cost cost(const Counts& counts) const {
        Cost cost;
        for (const auto& [zone, count] : counts) {
            if (!allows(zone)) cost.forbidden += count;
            if (const std::int64_t excess = count - cap_; excess > 0) cost.over_cap += excess * excess;
            if (allows(zone) && !prefers(zone)) cost.unpreferred += count;
        }
        cost.missing_zones = std::max(0, min_zones_ - used_zones(counts));
        return cost;
    }
    /// Returns the change in cost from one more replica in the zone.
    Cost added_cost(const Counts& counts, const std::string& zone) const {
        const int count = count_in(counts, zone);
        Cost cost;
        cost.forbidden = !allows(zone);
        if (count >= cap_) cost.over_cap = 2 * std::int64_t{count - cap_} + 1;
        if (count == 0 && used_zones(counts) < min_zones_) cost.missing_zones = -1;
        cost.unpreferred = allows(zone) && !prefers(zone);
        return cost;
    }
    /// Returns true if the zone can take one more replica within the rule, and the replicas that are still to
    /// be placed can reach the minimum number of zones.
    bool can_add_within_rule(const Counts& counts, const std::string& zone) const {
        const int count = count_in(counts, zone);
        if (!allows(zone) || count >= cap_) return false;
        int unplaced = job_.tasks;
        for (const auto& [other_zone, other_count] : counts) unplaced -= other_count;
        return count == 0 || min_zones_ - used_zones(counts) < std::max(unplaced, 1);
    }

  private:
    const JobSpec& job_;
    const policy::ZoneRule* rule_;
    int cap_;  // most replicas in one zone by the rule, 1 or more
    int min_zones_ = 0;
};

Zones union_of_zones(const Counts& counts, const Zones& usable_zones, const Zones& all_zones) {
    std::set<std::string> zones(all_zones.begin(), all_zones.end());
    zones.insert(usable_zones.begin(), usable_zones.end());
    for (const auto& [zone, count] : counts) zones.insert(zone);
    return {zones.begin(), zones.end()};
}

/// Returns the lowest cost that moves between usable zones can reach. Replicas in other zones stay there.
Cost best_cost(const SpreadConstraints& constraints, const Counts& counts, const Zones& usable_zones) {
    Counts ideal;
    int movable = 0;
    for (const auto& [zone, count] : counts) {
        if (contains(usable_zones, zone))
            movable += count;
        else
            ideal[zone] = count;
    }
    for (; movable > 0; --movable) {
        const std::string* best = nullptr;
        Cost lowest;
        for (const auto& zone : usable_zones) {
            if (count_in(ideal, zone) >= constraints.job_limit(zone, counts)) continue;
            const Cost cost = constraints.added_cost(ideal, zone);
            if (best && !(cost < lowest)) continue;
            best = &zone;
            lowest = cost;
        }
        // The distribution already violates the job's own constraints, so there is no ideal to compare with.
        if (!best) return constraints.cost(counts);
        ++ideal[*best];
    }
    return constraints.cost(ideal);
}

/// Maps a cost to one number that preserves the order of costs. Forbidden replicas count as a share of all
/// replicas; the other components together stay below the share of one replica.
double to_number(const Cost& cost, int tasks, std::size_t zones) {
    const double replicas = std::max(1, tasks), zone_scale = static_cast<double>(zones) + 1;
    return (static_cast<double>(cost.forbidden) +
            (static_cast<double>(cost.over_cap) + (static_cast<double>(cost.missing_zones) +
                                                   static_cast<double>(cost.unpreferred) / (replicas + 1)) /
                                                      zone_scale) /
                (replicas * replicas + 1)) /
           replicas;
}

/// Returns a hash (FNV-1a) of the seed and the name that is the same on all machines and with all compilers.
std::uint64_t stable_hash(std::uint64_t seed, const std::string& name) {
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

/// Plans moves for the services of a view, and keeps account of the capacity that the moves chosen so far
/// leave.
class RebalancePlanner {
  public:
    RebalancePlanner(const ShardView& view, const policy::Policy& policy, const Zones& all_zones)
        : view_(view), policy_(policy), all_zones_(all_zones), tasks_of_(view.jobs.size()) {
        for (std::size_t i = 0; i < view.tasks.size(); ++i) tasks_of_[view.tasks[i].job].push_back(i);
        for (std::size_t i = 0; i < view.machines.size(); ++i) {
            const MachineView& machine = view.machines[i];
            available_.push_back(machine.available());
            if (machine.usable && !contains(view.unstable_zones, machine.zone))
                usable_machines_[{machine.zone, machine.type, machine.spot}].push_back(i);
        }
    }

    std::vector<Move> moves() {
        std::vector<Move> moves;
        if (has_unstable_zone()) return moves;
        std::vector<ServiceImbalance> unbalanced;
        for (std::size_t job = 0; job < view_.jobs.size(); ++job)
            if (const auto found = measure(job); found.zones > 0 || found.sharing > 0)
                unbalanced.push_back(found);
        std::sort(unbalanced.begin(), unbalanced.end(),
                  [this](const ServiceImbalance& a, const ServiceImbalance& b) {
                      return std::tie(b.zones, b.sharing, view_.jobs[a.job].spec.ref) <
                             std::tie(a.zones, a.sharing, view_.jobs[b.job].spec.ref);
                  });
        for (const auto& service : unbalanced) {
            if (static_cast<int>(moves.size()) >= policy_.budgets.moves_per_minute) break;
            if (auto move = find_move(service)) moves.push_back(std::move(*move));
        }
        return moves;
    }

  private:
    struct ServiceImbalance {
        std::size_t job = 0;
        double zones = 0;    // imbalance over zones
        double sharing = 0;  // share of its replicas that are on a machine with another one but must not be
    };
    struct ZoneShift {
        Cost cost;  // after the shift
        int replicas_in_target = 0;
        std::string from, to;  // zones
        auto operator<=>(const ZoneShift&) const = default;
    };

    /// Returns true if a zone in which the shard has machines is down or has not been up for long enough.
    bool has_unstable_zone() const {
        return std::any_of(view_.machines.begin(), view_.machines.end(), [this](const MachineView& machine) {
            return contains(view_.unstable_zones, machine.zone);
        });
    }

    /// Returns true if all replicas of the service run undisturbed and the pause since its last move is over.
    bool can_move_replica(std::size_t job_index) const {
        const JobView& job = view_.jobs[job_index];
        if (job.cancelled || job.waiting_tasks > 0 ||
            job.time_since_move < pause_between_moves(job, policy_.budgets))
            return false;
        const auto& tasks = tasks_of_[job_index];
        if (static_cast<int>(tasks.size()) != job.spec.tasks) return false;
        return std::all_of(tasks.begin(), tasks.end(), [this](std::size_t i) {
            const TaskView& task = view_.tasks[i];
            return task.running && !task.stopping && !task.has_planned_move;
        });
    }

    Zones usable_zones(const JobSpec& job) const {
        std::set<std::string> zones;
        for (const auto& [kind, machines] : usable_machines_) {
            const auto& [zone, type, spot] = kind;
            if (can_use_machine(job, type, zone, spot)) zones.insert(zone);
        }
        return {zones.begin(), zones.end()};
    }

    std::map<std::size_t, int> replicas_by_machine(std::size_t job) const {
        std::map<std::size_t, int> replicas;
        for (const std::size_t i : tasks_of_[job]) ++replicas[view_.tasks[i].machine];
        return replicas;
    }

    ServiceImbalance measure(std::size_t job_index) const {
        const JobView& job = view_.jobs[job_index];
        if (job.spec.kind != JobKind::Service) return {};
        const policy::ZoneRule* rule = policy_.zone_rule(job.spec);
        if (!rule || !rule->rebalance || !can_move_replica(job_index)) return {};
        ServiceImbalance found{
            job_index, imbalance(job.spec, rule, job.tasks_by_zone, usable_zones(job.spec), all_zones_), 0};
        if (SpreadConstraints(job.spec, rule).requires_separate_machines()) {
            for (const auto& [machine, count] : replicas_by_machine(job_index)) found.sharing += count - 1;
            found.sharing /= job.spec.tasks;
        }
        return found;
    }

    std::optional<Move> find_move(const ServiceImbalance& service) {
        const JobView& job = view_.jobs[service.job];
        const SpreadConstraints constraints(job.spec, policy_.zone_rule(job.spec));
        const Cost current_cost = constraints.cost(job.tasks_by_zone);
        const Zones target_zones = usable_zones(job.spec);
        std::vector<ZoneShift> shifts;
        for (const auto& [from, count] : job.tasks_by_zone) {
            for (const auto& to : target_zones) {
                // The old replica counts in its zone until it is confirmed terminated.
                const int replicas_in_target = count_in(job.tasks_by_zone, to);
                if (count <= 0 || from == to ||
                    replicas_in_target >= constraints.job_limit(to, job.tasks_by_zone))
                    continue;
                Counts shifted = job.tasks_by_zone;
                if (--shifted[from] == 0) shifted.erase(from);
                ++shifted[to];
                if (const Cost cost = constraints.cost(shifted); cost < current_cost)
                    shifts.push_back({cost, replicas_in_target, from, to});
            }
        }
        std::sort(shifts.begin(), shifts.end());
        const auto replicas = replicas_by_machine(service.job);
        for (const auto& shift : shifts)
            if (auto move = move_replica(service.job, constraints, replicas, shift.from, shift.to, false))
                return move;
        if (service.sharing <= 0) return std::nullopt;
        // Separates replicas on one machine within their zone, which leaves the counts of zones unchanged.
        for (const auto& [zone, count] : job.tasks_by_zone)
            if (auto move = move_replica(service.job, constraints, replicas, zone, zone, true)) return move;
        return std::nullopt;
    }

    std::optional<Move> move_replica(std::size_t job, const SpreadConstraints& constraints,
                                     const std::map<std::size_t, int>& replicas, const std::string& from,
                                     const std::string& to, bool only_sharing) {
        const TaskView* chosen = nullptr;
        auto key = [&](const TaskView& task) {
            // A replica that shares its machine goes first, then the one that was started last.
            return std::make_tuple(replicas.at(task.machine) > 1 ? 0 : 1, task.run_time, task.task);
        };
        for (const std::size_t i : tasks_of_[job]) {
            const TaskView& task = view_.tasks[i];
            if (view_.machines[task.machine].zone != from) continue;
            if (only_sharing && replicas.at(task.machine) < 2) continue;
            if (!chosen || key(task) < key(*chosen)) chosen = &task;
        }
        if (!chosen) return std::nullopt;
        const JobSpec& spec = view_.jobs[job].spec;
        const auto to_machine =
            destination(spec, to, constraints.requires_separate_machines() ? &replicas : nullptr);
        if (!to_machine) return std::nullopt;
        available_[*to_machine] -= spec.request;
        return Move{spec.ref,
                    chosen->task,
                    view_.machines[chosen->machine].name,
                    view_.machines[*to_machine].name,
                    MoveReason::Balance,
                    ""};
    }

    /// Returns the machine that a replica should move to. A machine with the image goes first, then one that
    /// is fetching it, then the one with the fewest fetches, which share its bandwidth. Among equals the
    /// machine with the fewest available cores is chosen, because placement packs as well.
    std::optional<std::size_t> destination(const JobSpec& job, const std::string& zone,
                                           const std::map<std::size_t, int>* avoided_machines) const {
        using Key = std::tuple<int, int, Milli, std::uint64_t, std::string_view>;
        std::optional<std::pair<Key, std::size_t>> best;
        for (const auto& [kind, machines] : usable_machines_) {
            if (std::get<0>(kind) != zone ||
                !can_use_machine(job, std::get<1>(kind), zone, std::get<2>(kind)))
                continue;
            for (const std::size_t i : machines) {
                if (!job.request.fits(available_[i]) || (avoided_machines && avoided_machines->count(i)))
                    continue;
                const MachineView& machine = view_.machines[i];
                int fetches = 0, image_rank = 2;
                for (const auto& image : machine.images) {
                    if (image.name == job.image) image_rank = image.ready ? 0 : 1;
                    fetches += !image.ready;
                }
                if (best && image_rank > std::get<0>(best->first)) continue;
                const Key key{image_rank, image_rank == 0 ? 0 : fetches, available_[i].cores,
                              stable_hash(view_.seed, machine.name), machine.name};
                if (!best || key < best->first) best = {key, i};
            }
        }
        if (!best) return std::nullopt;
        return best->second;
    }

    const ShardView& view_;
    const policy::Policy& policy_;
    const Zones& all_zones_;
    std::vector<std::vector<std::size_t>> tasks_of_;  // by job
    std::vector<Resources> available_;                // by machine
    /// Machines that tasks can be bound to, by zone, type and whether they are spot machines.
    std::map<std::tuple<std::string, std::string, bool>, std::vector<std::size_t>> usable_machines_;
};

}  // namespace

ZoneChoice choose_zones(const JobSpec& job, const policy::ZoneRule* rule, const Counts& tasks_by_zone,
                        const Zones& usable_zones, const Zones& all_zones, const Zones* zones_with_capacity) {
    const SpreadConstraints constraints(job, rule);
    ZoneChoice choice;
    choice.strict = rule && rule->strict;
    if (constraints.requires_separate_machines()) choice.max_tasks_per_machine = 1;
    const Zones zones = union_of_zones(tasks_by_zone, usable_zones, all_zones);
    auto is_full = [&](const std::string& zone) {
        return count_in(tasks_by_zone, zone) >= constraints.job_limit(zone, tasks_by_zone);
    };
    const bool has_usable_allowed_zone =
        std::any_of(usable_zones.begin(), usable_zones.end(),
                    [&](const std::string& zone) { return constraints.allows(zone) && !is_full(zone); });
    auto is_eligible = [&](const std::string& zone) {
        if (is_full(zone) || !contains(usable_zones, zone) ||
            (zones_with_capacity && !contains(*zones_with_capacity, zone)))
            return false;
        return constraints.can_add_within_rule(tasks_by_zone, zone) ||
               (!choice.strict && (constraints.allows(zone) || !has_usable_allowed_zone));
    };
    std::optional<Cost> lowest;
    for (const auto& zone : zones)
        if (is_eligible(zone))
            lowest = lowest ? std::min(*lowest, constraints.added_cost(tasks_by_zone, zone))
                            : constraints.added_cost(tasks_by_zone, zone);
    bool meets_rule = !lowest;
    for (const auto& zone : zones) {
        const int count = count_in(tasks_by_zone, zone), limit = constraints.job_limit(zone, tasks_by_zone);
        if (job.kind == JobKind::Service) choice.penalty[zone] = kSameZonePenalty * count;
        if (!constraints.prefers(zone)) choice.penalty[zone] += kNotPreferredPenalty;
        if (lowest && is_eligible(zone) && constraints.added_cost(tasks_by_zone, zone) == *lowest) {
            choice.max_tasks[zone] = std::min(limit, std::max(constraints.cap(), count + 1));
            meets_rule = meets_rule || constraints.can_add_within_rule(tasks_by_zone, zone);
        } else if (rule) {
            choice.max_tasks[zone] = std::min(limit, count);
        } else {
            choice.max_tasks[zone] = limit;
        }
    }
    choice.meets_rule = meets_rule;
    return choice;
}

double imbalance(const JobSpec& job, const policy::ZoneRule* rule, const Counts& tasks_by_zone,
                 const Zones& usable_zones, const Zones& all_zones) {
    if (!rule) return 0;
    const SpreadConstraints constraints(job, rule);
    const Cost current = constraints.cost(tasks_by_zone),
               best = best_cost(constraints, tasks_by_zone, usable_zones);
    return current <= best ? 0
                           : to_number(current - best, job.tasks,
                                       union_of_zones(tasks_by_zone, usable_zones, all_zones).size());
}

std::vector<Move> rebalance(const ShardView& view, const policy::Policy& policy, const Zones& all_zones) {
    return RebalancePlanner(view, policy, all_zones).moves();
}

Micros pause_between_moves(const JobView& job, const policy::Budgets& budgets) {
    const int doublings = std::clamp(job.recent_balance_moves - job.spec.tasks, 0, kMaxDoublings);
    return budgets.service_pause * (Micros{1} << doublings);
}

void ZoneMonitor::observe(const std::string& zone, bool is_up, Micros now) {
    ZoneHistory& history = zones_[zone];
    if (is_up == history.is_up) return;
    history.is_up = is_up;
    std::erase_if(history.lost_at, [now](Micros at) { return now - at > kLossHistory; });
    if (is_up)
        history.up_since = now;
    else
        history.lost_at.push_back(now);
}

Zones ZoneMonitor::unstable_zones(Micros now, Micros settle_time) const {
    Zones unstable;
    for (const auto& [zone, history] : zones_) {
        const int doublings = std::clamp(static_cast<int>(history.lost_at.size()) - 1, 0, kMaxDoublings);
        if (!history.is_up || now - history.up_since < settle_time * (Micros{1} << doublings))
            unstable.push_back(zone);
    }
    return unstable;
}

}  // namespace cottonway::scheduling
