#include "simulation/acceptance_checker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cottonway::simulation {

namespace {

double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}

/// Tasks that a limit allows at once.
int at_once(const JobSpec& job, const Resources& limit) {
    Milli most = job.tasks;
    if (job.request.cores > 0) most = std::min(most, limit.cores / job.request.cores);
    if (job.request.gpus > 0) most = std::min(most, limit.gpus / job.request.gpus);
    return static_cast<int>(std::max<Milli>(most, 1));
}

void half_served(const std::string& what, const std::map<std::string, Share>& shares, Acceptance& a) {
    for (const auto& [name, s] : shares)
        if (s.part() < 0.5)
            a.broken.push_back(fmt::format("half served: {} {}: {} of {}", what, name, s.served, s.due));
}

}  // namespace

Micros Fate::bound(const std::vector<Team>& teams) const {
    if (spec.kind == JobKind::Service) return kBegunWithin;
    int waves = 1;
    for (const auto& t : teams)
        if (spec.kind == JobKind::Array && t.name == spec.team) {
            const int n = at_once(spec, t.limit);
            waves = (spec.tasks + n - 1) / n;
        }
    return kBegunWithin + waves * run;
}

bool Fate::served(const std::vector<Team>& teams) const {
    const Micros when = spec.kind == JobKind::Service ? all_begun : done;
    return when >= 0 && when - accepted <= bound(teams);
}

Acceptance judge(const std::vector<Fate>& fates, const std::vector<Team>& teams, Micros end) {
    Acceptance a;
    std::map<std::string, double> largest_size;
    for (const auto& f : fates)
        if (!f.left_out) largest_size[f.spec.job_class] = std::max(largest_size[f.spec.job_class], f.size());
    const Fate* silent = nullptr;
    std::map<std::string, std::string> slowest;
    for (const auto& f : fates) {
        if (f.left_out) continue;
        const std::string& name = f.spec.job_class;
        if (f.unanswered > a.unanswered) silent = &f;
        a.unanswered = std::max(a.unanswered, f.unanswered);
        a.left_waiting = std::max(a.left_waiting, f.left_waiting.longest);
        if (f.left_waiting.longest > kLeftWaiting)
            a.broken.push_back(fmt::format("left waiting: {} of {} for {:.1f} s with room at last on {}",
                                           f.spec.ref, name, seconds(f.left_waiting.longest),
                                           f.left_waiting.machine));
        const bool large = f.size() >= kLargest * largest_size[name];
        // What waits for other jobs is due from when these are done, which is not known here.
        if (!f.spec.dependencies.empty()) continue;
        if (end - f.accepted >= f.bound(teams)) {
            auto count = [served = f.served(teams)](Share& s) { ++s.due, s.served += served; };
            count(a.classes[name]);
            count(a.teams[f.spec.team]);
            if (large) count(a.largest[name]);
        }
        if (const Micros wait = (f.begun < 0 ? end : f.begun) - f.accepted;
            large && wait > a.largest_wait[name]) {
            a.largest_wait[name] = wait;
            slowest[name] = f.spec.ref;
        }
    }
    if (silent && a.unanswered > kAnsweredWithin)
        a.broken.push_back(fmt::format("forgotten: no answered poll for {} in {:.1f} s after all troubles",
                                       silent->spec.ref, seconds(a.unanswered)));
    half_served("class", a.classes, a);
    half_served("team", a.teams, a);
    half_served("largest of", a.largest, a);
    for (const auto& [name, wait] : a.largest_wait)
        if (wait > kBegunWithin)
            a.broken.push_back(
                fmt::format("largest begin: {} of {} waited {:.1f} s", slowest[name], name, seconds(wait)));
    return a;
}

void Acceptance::add(const Acceptance& other, const std::string& run) {
    unanswered = std::max(unanswered, other.unanswered);
    left_waiting = std::max(left_waiting, other.left_waiting);
    auto sum = [](auto& into, const auto& from) {
        for (const auto& [name, s] : from) into[name].due += s.due, into[name].served += s.served;
    };
    sum(classes, other.classes);
    sum(teams, other.teams);
    sum(largest, other.largest);
    for (const auto& [name, wait] : other.largest_wait)
        largest_wait[name] = std::max(largest_wait[name], wait);
    for (const auto& line : other.broken) broken.push_back(run + line);
}

}  // namespace cottonway::simulation
