#include "scheduling/queue_order.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "scheduling/constraints.hpp"

namespace cottonway::scheduling {

namespace {

using policy::Tier;

/// Of a team's limit, in cores and GPUs: what is kept for whom.
struct Kept {
    Resources limit;
    Resources floor;    // part of what live work leaves
    Resources half;     // of the same; what needs more than that to begin is large
    Resources live;     // live work that waits
    Resources batch;    // still due to tier Batch
    Resources overdue;  // what the job needs to begin that is overdue and comes first
    const Queued* first = nullptr;
};

Resources larger(const Resources& a, const Resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.gpus, b.gpus), 0};
}

Resources not_negative(const Resources& r) {
    return larger(r, {});
}

bool within(const Resources& need, const Resources& room) {
    return need.cores <= room.cores && need.gpus <= room.gpus;
}

Resources used_by(const TeamUse& use, Tier tier) {
    auto it = use.used.find(tier);
    return it == use.used.end() ? Resources{} : it->second;
}

/// Among the overdue the large ones go first, since the others find their part by the floors as well; then
/// the longest wait.
auto urgency(const Queued& q, const Kept& k) {
    return std::tuple(within(q.task, k.half), -q.age, q.index);
}

bool overdue(const Queued& q, const policy::Priority& priority) {
    return q.tier != Tier::Live && !q.begun && q.age >= priority.begin_within;
}

/// What tier Batch is due and does not have, while a higher tier may take it: its floor of what live work
/// leaves, or one start where that is more and fits into half.
Resources owed_to_batch(const TeamUse& use, const Kept& k, const std::vector<const Queued*>& waiting) {
    Resources waits;
    const Queued* least = nullptr;
    auto size = [](const Queued& q) { return std::tuple(q.task.cores, q.task.gpus, q.index); };
    for (const Queued* q : waiting) {
        if (q->lacks_room || !within(q->task, k.half)) continue;
        waits += q->waits;
        if (!least || size(*q) < size(*least)) least = q;
    }
    if (!least) return {};
    const Resources due = larger(k.floor, least->task);
    const Resources used = used_by(use, Tier::Batch);
    const Resources could = used + waits;
    return not_negative(Resources{std::min(due.cores, could.cores), std::min(due.gpus, could.gpus), 0} -
                        used);
}

std::map<std::string, Kept> kept_by_team(const std::vector<Queued>& queue,
                                         const std::map<std::string, TeamUse>& teams,
                                         const policy::Priority& priority) {
    std::map<std::string, Kept> kept;
    auto part = [&](Milli of) { return static_cast<Milli>(static_cast<double>(of) * priority.floor); };
    for (const auto& [team, use] : teams) {
        Kept& k = kept[team];
        const Resources rest = not_negative(use.limit - used_by(use, Tier::Live));
        k.limit = use.limit;
        k.floor = {part(rest.cores), part(rest.gpus), 0};
        k.half = {rest.cores / 2, rest.gpus / 2, 0};
    }
    std::map<std::string, std::vector<const Queued*>> batch;
    for (const Queued& q : queue) {
        Kept& k = kept[q.team];
        if (q.tier == Tier::Live && !q.lacks_room) k.live += q.waits;
        if (q.tier == Tier::Batch) batch[q.team].push_back(&q);
        if (overdue(q, priority) && !q.lacks_room && (!k.first || urgency(q, k) < urgency(*k.first, k)))
            k.first = &q;
    }
    for (auto& [team, k] : kept) {
        auto use = teams.find(team);
        if (use == teams.end()) continue;
        k.batch = owed_to_batch(use->second, k, batch[team]);
        // What does not fit beside live work has nothing kept for it: it would never begin.
        const Resources rest = k.limit - used_by(use->second, Tier::Live) - k.live;
        if (k.first && within(k.first->task, rest)) k.overdue = k.first->task;
    }
    return kept;
}

Turn turn_of(const Queued& q, const Kept& k, bool is_overdue) {
    Resources most = k.limit;
    if (q.tier != Tier::Live) most -= k.live;
    const bool own = k.first == &q && is_overdue;
    if (q.tier != Tier::Live && !own) {
        Resources others = k.overdue;
        // The job that is overdue may be one of those that the floor is for.
        if (q.tier < Tier::Batch && !is_overdue) {
            const bool same = k.first && k.first->tier == Tier::Batch;
            others = same ? larger(others, k.batch) : others + k.batch;
        }
        most -= others;
    }
    return {q.index, is_overdue, most.cores, most.gpus};
}

bool allowed(const JobSpec& s, const MachineView& m) {
    return m.usable && may_use(s, m.type, m.zone, m.spot);
}

/// In how long the machine has room for one more such task, beside `taken`, if what runs there is left alone;
/// nothing if it never has.
std::optional<Micros> room_in(const View& view, const MachineView& m, const Resources& need,
                              const Resources& taken) {
    Resources room = m.room() - taken;
    if (need.fits(room)) return 0;
    std::vector<std::pair<Micros, Resources>> ends;
    for (const std::size_t i : m.tasks) {
        const TaskView& t = view.tasks[i];
        const JobSpec& s = view.jobs[t.job].spec;
        if (s.kind == JobKind::Service && !t.stopping) continue;
        ends.emplace_back(t.stopping ? 0 : std::max<Micros>(s.estimated_duration - t.ran, kSecond),
                          s.request);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [in, freed] : ends) {
        room += freed;
        if (need.fits(room)) return in;
    }
    return std::nullopt;
}

}  // namespace

std::vector<Turn> turns(const std::vector<Queued>& queue, const std::map<std::string, TeamUse>& teams,
                        const policy::Priority& priority) {
    const auto kept = kept_by_team(queue, teams, priority);
    std::vector<const Queued*> live, late, rest;
    for (const Queued& q : queue) {
        (q.tier == Tier::Live ? live : rest).push_back(&q);
        if (overdue(q, priority)) late.push_back(&q);
    }
    // Highest tier first, then rank, then what is guaranteed, then the nearest deadline, then what can still
    // make its aim. Among equals the least work left by age.
    auto before = [](const Queued* a, const Queued* b) {
        auto key = [](const Queued& q) {
            return std::tuple(q.tier, q.rank, !q.within_guarantee, q.due_ms, q.late, q.weight, q.index);
        };
        return key(*a) < key(*b);
    };
    std::sort(live.begin(), live.end(), before);
    std::sort(late.begin(), late.end(), [&](const Queued* a, const Queued* b) {
        return urgency(*a, kept.at(a->team)) < urgency(*b, kept.at(b->team));
    });
    std::sort(rest.begin(), rest.end(), before);
    std::vector<Turn> order;
    order.reserve(live.size() + late.size() + rest.size());
    for (const Queued* q : live) order.push_back(turn_of(*q, kept.at(q->team), false));
    for (const Queued* q : late) order.push_back(turn_of(*q, kept.at(q->team), true));
    for (const Queued* q : rest) order.push_back(turn_of(*q, kept.at(q->team), false));
    return order;
}

std::vector<Gather> gather(const View& view, const policy::Policy& policy) {
    const JobView* largest = nullptr;
    for (const JobView& j : view.jobs) {
        if (j.tier == Tier::Live || j.cancelled || j.idle == 0 || j.bound > 0) continue;
        if (j.waiting < policy.priority.begin_within) continue;
        auto size = [](const JobView& x) {
            const Milli tasks = x.spec.kind == JobKind::Gang ? x.idle : 1;
            return std::tuple(-x.spec.request.gpus * tasks, -x.spec.request.cores * tasks, -x.waiting,
                              x.spec.ref);
        };
        if (!largest || size(j) < size(*largest)) largest = &j;
    }
    if (!largest) return {};
    const JobSpec& s = largest->spec;
    const int tasks = s.kind == JobKind::Gang ? largest->idle : 1;
    std::vector<int> on(view.machines.size(), 0);
    std::map<std::string, int> zones = largest->zones;
    Micros last = 0;
    for (int k = 0; k < tasks; ++k) {
        std::optional<std::tuple<Micros, std::size_t>> best;
        for (std::size_t i = 0; i < view.machines.size(); ++i) {
            const MachineView& m = view.machines[i];
            if (!allowed(s, m)) continue;
            if (s.one_zone && !zones.empty() && zones.count(m.zone) == 0) continue;
            if (s.spread && zones[m.zone] >= (s.tasks + 1) / 2) continue;
            const Resources taken{s.request.cores * on[i], s.request.gpus * on[i], s.request.ram * on[i]};
            if (auto in = room_in(view, m, s.request, taken))
                if (const auto found = std::tuple(*in, i); !best || found < *best) best = found;
        }
        if (!best) return {};  // not all of it has room anywhere, whatever is waited for
        last = std::max(last, std::get<0>(*best));
        ++on[std::get<1>(*best)];
        ++zones[view.machines[std::get<1>(*best)].zone];
    }
    if (last == 0) return {};  // it has room now
    std::vector<Gather> list;
    for (std::size_t i = 0; i < on.size(); ++i)
        if (on[i] > 0) list.push_back({s.ref, view.machines[i].name, on[i]});
    return list;
}

}  // namespace cottonway::scheduling
