// The owner's planning: who goes first, the five steps for each task, and room made by preemption.

#include <algorithm>
#include <map>

#include "core/owner.hpp"
#include "log/log.hpp"

namespace cottonway {

std::map<std::string, int> Job::zones() const {
    std::map<std::string, int> count;
    for (const auto& slot : slots)
        if (slot.machine) ++count[slot.machine->block.zone];
    return count;
}

bool Owner::allowed(const Job& job, const Machine& m) const {
    const JobSpec& s = job.spec;
    if (m.block.spot && !s.spot) return false;
    if (s.zone && *s.zone != m.block.zone) return false;
    return !s.types || std::find(s.types->begin(), s.types->end(), m.block.type) != s.types->end();
}

bool Owner::quota_allows(const Job& job, int tasks) const {
    for (const auto& team : context_.settings().teams) {
        if (team.name != job.spec.team) continue;
        auto used = usage_.find(team.name);
        Resources sum = used == usage_.end() ? Resources{} : used->second;
        sum.cores += job.spec.need.cores * tasks;
        sum.cards += job.spec.need.cards * tasks;
        return sum.cores <= team.limit.cores && sum.cards <= team.limit.cards;
    }
    return false;
}

std::vector<Candidate> Owner::candidates_for(const Job& job, std::vector<Machine*>& machines) {
    std::vector<Candidate> list;
    for (auto& [name, m] : machines_) {
        if (!usable(*m) || !allowed(job, *m)) continue;
        Candidate c;
        c.index = machines.size();
        c.size = m->type->size;
        c.booked = m->booked;
        c.tasks = static_cast<int>(m->tasks.size());
        c.has_image = std::any_of(m->images.begin(), m->images.end(),
                                  [&](const auto& i) { return i.first == job.spec.image; });
        list.push_back(c);
        machines.push_back(m.get());
    }
    return list;
}

/// The five steps over a part of the machines first, where a part is clearly better: those that have the
/// image, for urgent work, since a fetch takes longer than anything else in a start; spot machines, for what
/// may use them, since that leaves the ordinary ones to what may not.
std::ptrdiff_t Owner::place_for(const Job& job, const std::vector<Candidate>& open,
                                const std::vector<Machine*>& machines) {
    const bool urgent = job.spec.rank <= Rank::High;
    auto pass = [&](bool image, bool spot) {
        std::vector<Candidate> part;
        for (const auto& c : open)
            if ((!image || c.has_image) && (!spot || machines[c.index]->block.spot)) part.push_back(c);
        return place(part, job.spec.need, context_.settings().ops.placement, context_.host().random());
    };
    std::ptrdiff_t chosen = -1;
    if (urgent && job.spec.spot) chosen = pass(true, true);
    if (chosen < 0 && urgent) chosen = pass(true, false);
    if (chosen < 0 && job.spec.spot) chosen = pass(false, true);
    return chosen < 0 ? pass(false, false) : chosen;
}

void Owner::plan() {
    const Micros now = context_.host().now();
    // A job lies within its team's guarantee if it fits into it together with the team's earlier jobs.
    std::vector<Job*> order;
    for (auto& [ref, job] : jobs_)
        if (job->stage == Stage::Queued) order.push_back(job.get());
    std::sort(order.begin(), order.end(), [](const Job* a, const Job* b) {
        return std::pair(a->submitted_ms, a->spec.ref) < std::pair(b->submitted_ms, b->spec.ref);
    });
    std::map<std::string, Resources> sums;
    for (Job* job : order) {
        auto& sum = sums[job->spec.team];
        const int left = job->spec.tasks - job->done;
        sum.cores += job->spec.need.cores * left;
        sum.cards += job->spec.need.cards * left;
        job->within_guarantee = false;
        for (const auto& team : context_.settings().teams)
            if (team.name == job->spec.team)
                job->within_guarantee =
                    sum.cores <= team.guarantee.cores && sum.cards <= team.guarantee.cards;
    }
    std::erase_if(order, [](const Job* j) { return j->idle == 0; });
    // Highest rank first, then what is guaranteed, then the nearest deadline.
    auto due = [](const Job* j) {
        return j->spec.deadline ? j->submitted_ms + *j->spec.deadline / kMillisecond : INT64_MAX;
    };
    // Among equals the least work left goes first, so that one wide array does not hold up many small jobs;
    // waiting makes up for size, so that none waits for ever.
    const std::int64_t now_ms = context_.host().wall_ms();
    auto weight = [&](const Job* j) {
        const auto left = static_cast<double>(j->idle + j->bound) *
                          static_cast<double>(std::max<Milli>(j->spec.need.cores, 1));
        return left / static_cast<double>(std::max<std::int64_t>(now_ms - j->submitted_ms, 0) + 10'000);
    };
    std::vector<std::pair<double, Job*>> weighed;
    for (Job* j : order) weighed.emplace_back(weight(j), j);
    std::stable_sort(weighed.begin(), weighed.end(), [&](const auto& a, const auto& b) {
        return std::tuple(a.second->spec.rank, !a.second->within_guarantee, due(a.second), a.first) <
               std::tuple(b.second->spec.rank, !b.second->within_guarantee, due(b.second), b.first);
    });
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = weighed[i].second;
    for (Job* job : order) {
        if (plan_job(*job)) continue;
        if (now - job->waiting_since > 200 * kMillisecond) preempt(*job);
    }
}

/// True if nothing is left to place.
bool Owner::plan_job(Job& job) {
    const Micros now = context_.host().now();
    std::vector<Machine*> machines;
    std::vector<Candidate> candidates = candidates_for(job, machines);
    if (job.spec.kind == JobKind::Gang) return plan_gang(job, candidates, machines);

    std::map<std::string, int> per_zone = job.zones();
    const int zone_cap = job.zone_cap();
    bool all = true;
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state != SlotState::Idle) continue;
        if (slot.retry_at > now || stray_tasks_.count({job.spec.ref, static_cast<int>(i)})) {
            all = all && slot.retry_at > now;
            continue;
        }
        if (!quota_allows(job, 1)) return true;  // not for want of room
        std::vector<Candidate> open;
        for (const auto& c : candidates) {
            const std::string& zone = machines[c.index]->block.zone;
            auto used = per_zone.find(zone);
            const int there = used == per_zone.end() ? 0 : used->second;
            if (there >= zone_cap) continue;
            if (job.spec.one_zone && !per_zone.empty() && there == 0) continue;
            open.push_back(c);
            // Replicas are kept apart beyond what the job asks for.
            if (job.spec.kind == JobKind::Service) open.back().penalty = 25.0 * there;
        }
        const auto chosen = place_for(job, open, machines);
        if (chosen < 0) return false;
        Machine& m = *machines[static_cast<std::size_t>(chosen)];
        bind(job, static_cast<int>(i), m, job.next_attempt++);
        job.parts[i / kPartTasks].dirty = true;
        dirty_.insert(job.spec.ref);
        ++per_zone[m.block.zone];
        auto& c = candidates[static_cast<std::size_t>(chosen)];
        c.booked += job.spec.need;
        ++c.tasks;
        spdlog::info("task {}/{}: attempt {} bound to {}", job.spec.ref, i, slot.attempt, m.block.machine);
    }
    return all;
}

/// A gang binds all its tasks in one pass or none.
bool Owner::plan_gang(Job& job, std::vector<Candidate>& candidates, std::vector<Machine*>& machines) {
    const Micros now = context_.host().now();
    if (job.bound > 0 || job.idle < job.spec.tasks - job.done)
        return true;  // the old attempt is not gone yet
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Idle &&
            (job.slots[i].retry_at > now || stray_tasks_.count({job.spec.ref, static_cast<int>(i)})))
            return true;
    if (!quota_allows(job, job.idle)) return true;
    std::vector<std::string> zones{""};
    if (job.spec.one_zone) {
        zones.clear();
        for (const auto* m : machines)
            if (std::find(zones.begin(), zones.end(), m->block.zone) == zones.end())
                zones.push_back(m->block.zone);
        std::shuffle(zones.begin(), zones.end(), context_.host().random());
    }
    const int zone_cap = job.zone_cap();
    for (const auto& zone : zones) {
        std::vector<Candidate> trial = candidates;
        std::map<std::string, int> per_zone;
        std::vector<std::pair<int, Machine*>> chosen;
        for (std::size_t i = 0; i < job.slots.size(); ++i) {
            if (job.slots[i].state != SlotState::Idle) continue;
            std::vector<Candidate> open;
            for (const auto& c : trial) {
                const std::string& at = machines[c.index]->block.zone;
                if ((zone.empty() || at == zone) && per_zone[at] < zone_cap) open.push_back(c);
            }
            const auto pick =
                place(open, job.spec.need, context_.settings().ops.placement, context_.host().random());
            if (pick < 0) break;
            auto& c = trial[static_cast<std::size_t>(pick)];
            c.booked += job.spec.need;
            ++c.tasks;
            Machine* m = machines[static_cast<std::size_t>(pick)];
            ++per_zone[m->block.zone];
            chosen.emplace_back(static_cast<int>(i), m);
        }
        if (static_cast<int>(chosen.size()) < job.idle) continue;
        const std::int64_t attempt = job.next_attempt++;
        for (const auto& [task, m] : chosen) {
            bind(job, task, *m, attempt);
            job.parts[static_cast<std::size_t>(task) / kPartTasks].dirty = true;
        }
        dirty_.insert(job.spec.ref);
        spdlog::info("gang {}: attempt {} bound, {} tasks", job.spec.ref, attempt, chosen.size());
        return true;
    }
    return false;
}

/// Stops what is worth least on the machine where the least is lost, for one waiting task at a time.
void Owner::preempt(Job& job) {
    if (!quota_allows(job, 1)) return;
    const Micros now = context_.host().now();
    // Stopping work that cannot save itself throws it away. Services may always do that; others only when
    // their deadline is near, or when a guarantee has been waited for.
    const std::int64_t now_ms = context_.host().wall_ms();
    const bool late = job.spec.deadline && now_ms + (job.spec.estimate * 5 / 4 + 3 * kSecond) / kMillisecond >
                                               job.submitted_ms + *job.spec.deadline / kMillisecond;
    const bool may_waste = job.spec.rank == Rank::Production || (job.spec.rank == Rank::High && late);
    const bool reclaims = job.within_guarantee && now - job.waiting_since > 2 * kSecond;
    if (job.spec.rank > Rank::High && !reclaims) return;
    const std::map<std::string, int> per_zone = job.zones();
    const int zone_cap = job.zone_cap();
    struct Victim {
        Slot* slot;
        Job* job;
        double loss;
    };
    std::vector<Victim> best;
    double best_loss = 0;
    bool found = false;
    for (auto& [name, owned] : machines_) {
        Machine& m = *owned;
        if (!usable(m) || !allowed(job, m)) continue;
        auto used = per_zone.find(m.block.zone);
        const int there = used == per_zone.end() ? 0 : used->second;
        if (there >= zone_cap || (job.spec.one_zone && !per_zone.empty() && there == 0)) continue;
        Resources room = m.type->size - m.booked;
        std::vector<Victim> victims;
        for (const auto& [ref, task] : m.tasks) {
            Job& other = *jobs_.at(ref);
            Slot& slot = other.slots[static_cast<std::size_t>(task)];
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop) {
                room += other.spec.need;  // on its way out already
                continue;
            }
            if (other.spec.kind == JobKind::Gang) continue;
            const bool lower = other.spec.rank > job.spec.rank && (may_waste || other.spec.checkpoint > 0);
            const bool reclaim = reclaims && !other.within_guarantee && other.spec.team != job.spec.team;
            if (!lower && !reclaim) continue;
            if (other.spec.kind == JobKind::Service && !reclaim) continue;
            const double ran = slot.run_since ? static_cast<double>(now - slot.run_since) / 1e6 : 0.0;
            const double lost = other.spec.checkpoint > 0 ? 2.0 : ran + 1.0;
            victims.push_back(
                {&slot, &other, lost * (1.0 + static_cast<double>(other.spec.need.cores) / 1000.0)});
        }
        if (job.spec.need.fits(room)) return;  // room is being made already
        std::sort(victims.begin(), victims.end(),
                  [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
        std::vector<Victim> taken;
        double loss = 0;
        for (const auto& v : victims) {
            if (job.spec.need.fits(room)) break;
            room += v.job->spec.need;
            loss += v.loss;
            taken.push_back(v);
        }
        if (!job.spec.need.fits(room) || taken.empty()) continue;
        if (!found || loss < best_loss) {
            found = true;
            best_loss = loss;
            best = taken;
        }
    }
    for (const auto& v : best) {
        spdlog::info("task {}/{}: stopped to make room for {}", v.job->spec.ref, v.slot - v.job->slots.data(),
                     job.spec.ref);
        stop_slot(*v.slot, v.job->spec.checkpoint > 0 ? v.job->spec.save + kSecond : 0);
    }
}

}  // namespace cottonway
