#include "scheduling/topology_spread.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>

#include "scheduling/constraints.hpp"

namespace cottonway::scheduling {

namespace {

constexpr double kTogether = 25;  // of a score, for each replica of a service that the zone holds
constexpr double kNotPreferred = 50;
constexpr Micros kLately = 600 * kSecond;
constexpr int kMostDoubled = 5;

using Counts = std::map<std::string, int>;
using Zones = std::vector<std::string>;

bool has(const Zones& zones, const std::string& zone) {
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

int count_of(const Counts& there, const std::string& zone) {
    auto it = there.find(zone);
    return it == there.end() ? 0 : it->second;
}

/// How far a distribution is from what is asked, the worst first.
struct Cost {
    std::int64_t forbidden = 0;    // replicas in zones that are not allowed
    std::int64_t crowded = 0;      // sum of the squares of what zones hold beyond the cap
    std::int64_t missing = 0;      // zones short of the least number
    std::int64_t unpreferred = 0;  // replicas in allowed zones that are not preferred
    auto operator<=>(const Cost&) const = default;
};

Cost operator-(const Cost& a, const Cost& b) {
    return {a.forbidden - b.forbidden, a.crowded - b.crowded, a.missing - b.missing,
            a.unpreferred - b.unpreferred};
}

/// What a job and its rule ask of zones, as plain numbers.
class Asked {
  public:
    Asked(const JobSpec& job, const policy::ZoneRule* rule) : job_(job), rule_(rule), cap_(job.tasks) {
        if (!rule || job.kind != JobKind::Service) return;
        // The margin takes what a share such as a third is off in binary.
        cap_ = static_cast<int>(std::ceil(rule->max_zone_share * job.tasks - 1e-9));
        if (rule->survive == policy::FailureDomain::Zone) cap_ = std::min(cap_, (job.tasks + 1) / 2);
        cap_ = std::clamp(cap_, 1, std::max(1, job.tasks));
        least_ = std::clamp(rule->min_zones, 0, job.tasks);
    }

    int cap() const { return cap_; }
    bool apart() const {
        return rule_ && job_.kind == JobKind::Service && rule_->survive == policy::FailureDomain::Machine;
    }
    bool allows(const std::string& zone) const {
        return !rule_ || rule_->allowed.empty() || has(rule_->allowed, zone);
    }
    bool prefers(const std::string& zone) const {
        return !rule_ || rule_->preferred.empty() || has(rule_->preferred, zone);
    }
    /// The protocol's part: what the zone may hold at most beside what is `there`.
    int protocol_most(const std::string& zone, const Counts& there) const {
        if (job_.zone && *job_.zone != zone) return 0;
        if (job_.one_zone && used(there) > 0 && count_of(there, zone) <= 0) return 0;
        return job_.spread ? (job_.tasks + 1) / 2 : job_.tasks;
    }
    static int used(const Counts& there) {
        return static_cast<int>(
            std::count_if(there.begin(), there.end(), [](const auto& z) { return z.second > 0; }));
    }
    Cost cost(const Counts& there) const {
        Cost c;
        for (const auto& [zone, n] : there) {
            if (!allows(zone)) c.forbidden += n;
            if (const std::int64_t over = n - cap_; over > 0) c.crowded += over * over;
            if (allows(zone) && !prefers(zone)) c.unpreferred += n;
        }
        c.missing = std::max(0, least_ - used(there));
        return c;
    }
    /// Of one more replica in the zone.
    Cost step(const Counts& there, const std::string& zone) const {
        const int n = count_of(there, zone);
        Cost c;
        c.forbidden = !allows(zone);
        if (n >= cap_) c.crowded = 2 * std::int64_t{n - cap_} + 1;
        if (n == 0 && used(there) < least_) c.missing = -1;
        c.unpreferred = allows(zone) && !prefers(zone);
        return c;
    }
    /// The zone takes another one with nothing given up, later ones' part included.
    bool keeps(const Counts& there, const std::string& zone) const {
        const int n = count_of(there, zone);
        if (!allows(zone) || n >= cap_) return false;
        int left = job_.tasks;
        for (const auto& [name, count] : there) left -= count;
        return n == 0 || least_ - used(there) < std::max(left, 1);
    }

  private:
    const JobSpec& job_;
    const policy::ZoneRule* rule_;
    int cap_;        // the rule's, 1 or more
    int least_ = 0;  // zones
};

Zones every(const Counts& there, const Zones& standing, const Zones& all) {
    std::set<std::string> zones(all.begin(), all.end());
    zones.insert(standing.begin(), standing.end());
    for (const auto& [zone, n] : there) zones.insert(zone);
    return {zones.begin(), zones.end()};
}

/// The best that can be had of the zones that stand, with what is in others left where it is.
Cost best_cost(const Asked& asked, const Counts& there, const Zones& standing) {
    Counts ideal;
    int movable = 0;
    for (const auto& [zone, n] : there) {
        if (has(standing, zone))
            movable += n;
        else
            ideal[zone] = n;
    }
    for (; movable > 0; --movable) {
        const std::string* best = nullptr;
        Cost least;
        for (const auto& zone : standing) {
            if (count_of(ideal, zone) >= asked.protocol_most(zone, there)) continue;
            const Cost c = asked.step(ideal, zone);
            if (best && !(c < least)) continue;
            best = &zone;
            least = c;
        }
        if (!best) return asked.cost(there);  // it already breaks what the protocol says; nothing to go by
        ++ideal[*best];
    }
    return asked.cost(ideal);
}

/// One number in the order of costs: parts of the replicas first, smaller ones below the least of those.
double weigh(const Cost& c, int tasks, std::size_t zones) {
    const double n = std::max(1, tasks), z = static_cast<double>(zones) + 1;
    return (static_cast<double>(c.forbidden) +
            (static_cast<double>(c.crowded) +
             (static_cast<double>(c.missing) + static_cast<double>(c.unpreferred) / (n + 1)) / z) /
                (n * n + 1)) /
           n;
}

/// A number that follows from seed and name alone, the same on all machines and with all compilers.
std::uint64_t draw(std::uint64_t seed, const std::string& name) {
    std::uint64_t h = 14695981039346656037ULL ^ seed;
    for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return h;
}

/// The services of a view and the room that is left beside the moves chosen so far.
class Mending {
  public:
    Mending(const View& view, const policy::Policy& policy, const Zones& all)
        : view_(view), policy_(policy), all_(all), tasks_of_(view.jobs.size()) {
        for (std::size_t i = 0; i < view.tasks.size(); ++i) tasks_of_[view.tasks[i].job].push_back(i);
        for (std::size_t i = 0; i < view.machines.size(); ++i) {
            const MachineView& m = view.machines[i];
            room_.push_back(m.room());
            if (m.usable && !has(view.troubled, m.zone)) open_[{m.zone, m.type, m.spot}].push_back(i);
        }
    }

    std::vector<Move> moves() {
        std::vector<Move> moves;
        if (trouble()) return moves;
        std::vector<Hurt> hurt;
        for (std::size_t j = 0; j < view_.jobs.size(); ++j)
            if (const auto h = look(j); h.most > 0 || h.shared > 0) hurt.push_back(h);
        std::sort(hurt.begin(), hurt.end(), [this](const Hurt& a, const Hurt& b) {
            return std::tie(b.most, b.shared, view_.jobs[a.job].spec.ref) <
                   std::tie(a.most, a.shared, view_.jobs[b.job].spec.ref);
        });
        for (const auto& h : hurt) {
            if (static_cast<int>(moves.size()) >= policy_.budgets.moves_per_minute) break;
            if (auto m = move_of(h)) moves.push_back(std::move(*m));
        }
        return moves;
    }

  private:
    struct Hurt {
        std::size_t job = 0;
        double most = 0;    // imbalance
        double shared = 0;  // part of its replicas that share a machine with another and must not
    };
    struct Shift {
        Cost cost;  // with it
        int there = 0;
        std::string from, to;  // zones
        auto operator<=>(const Shift&) const = default;
    };

    /// A zone that the shard has machines in was lost, or has not been back for long.
    bool trouble() const {
        return std::any_of(view_.machines.begin(), view_.machines.end(),
                           [this](const MachineView& m) { return has(view_.troubled, m.zone); });
    }

    bool whole(std::size_t j) const {
        const JobView& job = view_.jobs[j];
        if (job.cancelled || job.idle > 0 || job.since_moved < pause_of(job, policy_.budgets)) return false;
        const auto& tasks = tasks_of_[j];
        if (static_cast<int>(tasks.size()) != job.spec.tasks) return false;
        return std::all_of(tasks.begin(), tasks.end(), [this](std::size_t t) {
            const TaskView& task = view_.tasks[t];
            return task.running && !task.stopping && !task.moving;
        });
    }

    Zones standing(const JobSpec& job) const {
        std::set<std::string> zones;
        for (const auto& [kind, machines] : open_) {
            const auto& [zone, type, spot] = kind;
            if (may_use(job, type, zone, spot)) zones.insert(zone);
        }
        return {zones.begin(), zones.end()};
    }

    std::map<std::size_t, int> by_machine(std::size_t j) const {
        std::map<std::size_t, int> on;
        for (const std::size_t t : tasks_of_[j]) ++on[view_.tasks[t].machine];
        return on;
    }

    Hurt look(std::size_t j) const {
        const JobView& job = view_.jobs[j];
        if (job.spec.kind != JobKind::Service) return {};
        const policy::ZoneRule* rule = policy_.zone_rule(job.spec);
        if (!rule || !rule->rebalance || !whole(j)) return {};
        Hurt h{j, imbalance(job.spec, rule, job.zones, standing(job.spec), all_), 0};
        if (Asked(job.spec, rule).apart()) {
            for (const auto& [machine, n] : by_machine(j)) h.shared += n - 1;
            h.shared /= job.spec.tasks;
        }
        return h;
    }

    std::optional<Move> move_of(const Hurt& h) {
        const JobView& job = view_.jobs[h.job];
        const Asked asked(job.spec, policy_.zone_rule(job.spec));
        const Cost now = asked.cost(job.zones);
        const Zones zones = standing(job.spec);
        std::vector<Shift> shifts;
        for (const auto& [from, n] : job.zones) {
            for (const auto& to : zones) {
                // Until the old one is proven gone, it counts where it is.
                const int there = count_of(job.zones, to);
                if (n <= 0 || from == to || there >= asked.protocol_most(to, job.zones)) continue;
                Counts with = job.zones;
                if (--with[from] == 0) with.erase(from);
                ++with[to];
                if (const Cost c = asked.cost(with); c < now) shifts.push_back({c, there, from, to});
            }
        }
        std::sort(shifts.begin(), shifts.end());
        const auto on = by_machine(h.job);
        for (const auto& s : shifts)
            if (auto m = shift(h.job, asked, on, s.from, s.to, false)) return m;
        if (h.shared <= 0) return std::nullopt;
        // Apart within the zone: the count there stays what it is.
        for (const auto& [zone, n] : job.zones)
            if (auto m = shift(h.job, asked, on, zone, zone, true)) return m;
        return std::nullopt;
    }

    std::optional<Move> shift(std::size_t j, const Asked& asked, const std::map<std::size_t, int>& on,
                              const std::string& from, const std::string& to, bool only_shared) {
        const TaskView* leaves = nullptr;
        auto key = [&](const TaskView& t) {
            // One that shares its machine, then the one that came last.
            return std::make_tuple(on.at(t.machine) > 1 ? 0 : 1, t.ran, t.task);
        };
        for (const std::size_t i : tasks_of_[j]) {
            const TaskView& t = view_.tasks[i];
            if (view_.machines[t.machine].zone != from) continue;
            if (only_shared && on.at(t.machine) < 2) continue;
            if (!leaves || key(t) < key(*leaves)) leaves = &t;
        }
        if (!leaves) return std::nullopt;
        const JobSpec& spec = view_.jobs[j].spec;
        const auto to_machine = destination(spec, to, asked.apart() ? &on : nullptr);
        if (!to_machine) return std::nullopt;
        room_[*to_machine] -= spec.request;
        return Move{spec.ref,
                    leaves->task,
                    view_.machines[leaves->machine].name,
                    view_.machines[*to_machine].name,
                    Reason::Balance,
                    ""};
    }

    /// One with the image ready, else fetched, else where the fewest other fetches share the rate; then the
    /// one with the least room, as placement packs.
    std::optional<std::size_t> destination(const JobSpec& job, const std::string& zone,
                                           const std::map<std::size_t, int>* keep_off) const {
        using Key = std::tuple<int, int, Milli, std::uint64_t, std::string_view>;
        std::optional<std::pair<Key, std::size_t>> best;
        for (const auto& [kind, machines] : open_) {
            if (std::get<0>(kind) != zone || !may_use(job, std::get<1>(kind), zone, std::get<2>(kind)))
                continue;
            for (const std::size_t i : machines) {
                if (!job.request.fits(room_[i]) || (keep_off && keep_off->count(i))) continue;
                const MachineView& m = view_.machines[i];
                int fetches = 0, image = 2;
                for (const auto& held : m.images) {
                    if (held.name == job.image) image = held.ready ? 0 : 1;
                    fetches += !held.ready;
                }
                if (best && image > std::get<0>(best->first)) continue;
                const Key key{image, image == 0 ? 0 : fetches, room_[i].cores, draw(view_.seed, m.name),
                              m.name};
                if (!best || key < best->first) best = {key, i};
            }
        }
        if (!best) return std::nullopt;
        return best->second;
    }

    const View& view_;
    const policy::Policy& policy_;
    const Zones& all_;
    std::vector<std::vector<std::size_t>> tasks_of_;  // by job
    std::vector<Resources> room_;                     // by machine
    /// Machines that can be bound to, by zone, type and kind.
    std::map<std::tuple<std::string, std::string, bool>, std::vector<std::size_t>> open_;
};

}  // namespace

ZoneChoice choose_zones(const JobSpec& job, const policy::ZoneRule* rule, const Counts& there,
                        const Zones& standing, const Zones& all, const Zones* room) {
    const Asked asked(job, rule);
    ZoneChoice choice;
    choice.strict = rule && rule->strict;
    if (asked.apart()) choice.machine_most = 1;
    const Zones zones = every(there, standing, all);
    auto full = [&](const std::string& z) { return count_of(there, z) >= asked.protocol_most(z, there); };
    const bool allowed_stands = std::any_of(
        standing.begin(), standing.end(), [&](const std::string& z) { return asked.allows(z) && !full(z); });
    auto may_open = [&](const std::string& z) {
        if (full(z) || !has(standing, z) || (room && !has(*room, z))) return false;
        return asked.keeps(there, z) || (!choice.strict && (asked.allows(z) || !allowed_stands));
    };
    std::optional<Cost> least;
    for (const auto& z : zones)
        if (may_open(z)) least = least ? std::min(*least, asked.step(there, z)) : asked.step(there, z);
    bool kept = !least;
    for (const auto& z : zones) {
        const int n = count_of(there, z), limit = asked.protocol_most(z, there);
        if (job.kind == JobKind::Service) choice.penalty[z] = kTogether * n;
        if (!asked.prefers(z)) choice.penalty[z] += kNotPreferred;
        if (least && may_open(z) && asked.step(there, z) == *least) {
            choice.most[z] = std::min(limit, std::max(asked.cap(), n + 1));
            kept = kept || asked.keeps(there, z);
        } else if (rule) {
            choice.most[z] = std::min(limit, n);
        } else {
            choice.most[z] = limit;
        }
    }
    choice.as_asked = kept;
    return choice;
}

double imbalance(const JobSpec& job, const policy::ZoneRule* rule, const Counts& there, const Zones& standing,
                 const Zones& all) {
    if (!rule) return 0;
    const Asked asked(job, rule);
    const Cost now = asked.cost(there), best = best_cost(asked, there, standing);
    return now <= best ? 0 : weigh(now - best, job.tasks, every(there, standing, all).size());
}

std::vector<Move> rebalance(const View& view, const policy::Policy& policy, const Zones& all_zones) {
    return Mending(view, policy, all_zones).moves();
}

Micros pause_of(const JobView& job, const policy::Budgets& budgets) {
    const int beyond = std::clamp(job.moved_lately - job.spec.tasks, 0, kMostDoubled);
    return budgets.service_pause * (Micros{1} << beyond);
}

void ZoneWatch::see(const std::string& zone, bool stands, Micros now) {
    Seen& z = zones_[zone];
    if (stands == z.stands) return;
    z.stands = stands;
    std::erase_if(z.lost, [now](Micros at) { return now - at > kLately; });
    if (stands)
        z.since = now;
    else
        z.lost.push_back(now);
}

Zones ZoneWatch::troubled(Micros now, Micros settle) const {
    Zones zones;
    for (const auto& [zone, z] : zones_) {
        const int doubled = std::clamp(static_cast<int>(z.lost.size()) - 1, 0, kMostDoubled);
        if (!z.stands || now - z.since < settle * (Micros{1} << doubled)) zones.push_back(zone);
    }
    return zones;
}

}  // namespace cottonway::scheduling
