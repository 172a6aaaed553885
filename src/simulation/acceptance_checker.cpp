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

void half_served(const std::string& what, const std::map<std::string, ServedShare>& shares,
                 AcceptanceResult& a) {
    for (const auto& [name, s] : shares)
        if (s.fraction() < 0.5)
            a.violations.push_back(fmt::format("half served: {} {}: {} of {}", what, name, s.served, s.due));
}

}  // namespace

Micros JobOutcome::allowed_time(const std::vector<Team>& teams) const {
    if (spec.kind == JobKind::Service) return kMaxStartDelay;
    int waves = 1;
    for (const auto& t : teams)
        if (spec.kind == JobKind::Array && t.name == spec.team) {
            const int n = at_once(spec, t.limit);
            waves = (spec.tasks + n - 1) / n;
        }
    return kMaxStartDelay + waves * task_duration;
}

bool JobOutcome::is_served(const std::vector<Team>& teams) const {
    const Micros when = spec.kind == JobKind::Service ? all_started_at : completed_at;
    return when >= 0 && when - accepted_at <= allowed_time(teams);
}

AcceptanceResult evaluate_acceptance(const std::vector<JobOutcome>& fates, const std::vector<Team>& teams,
                                     Micros end) {
    AcceptanceResult a;
    std::map<std::string, double> largest_size;
    for (const auto& f : fates)
        if (!f.excluded)
            largest_size[f.spec.job_class] = std::max(largest_size[f.spec.job_class], f.total_cores());
    const JobOutcome* silent = nullptr;
    std::map<std::string, std::string> slowest;
    for (const auto& f : fates) {
        if (f.excluded) continue;
        const std::string& name = f.spec.job_class;
        if (f.longest_unanswered > a.longest_unanswered) silent = &f;
        a.longest_unanswered = std::max(a.longest_unanswered, f.longest_unanswered);
        a.longest_startable_wait = std::max(a.longest_startable_wait, f.longest_startable_wait.longest);
        if (f.longest_startable_wait.longest > kMaxStartableWait)
            a.violations.push_back(fmt::format("left waiting: {} of {} for {:.1f} s with room at last on {}",
                                               f.spec.ref, name, seconds(f.longest_startable_wait.longest),
                                               f.longest_startable_wait.machine));
        const bool large = f.total_cores() >= kLargestSizeRatio * largest_size[name];
        // What waits for other jobs is due from when these are done, which is not known here.
        if (!f.spec.needs.empty()) continue;
        if (end - f.accepted_at >= f.allowed_time(teams)) {
            auto count = [served = f.is_served(teams)](ServedShare& s) { ++s.due, s.served += served; };
            count(a.served_by_class[name]);
            count(a.served_by_team[f.spec.team]);
            if (large) count(a.served_of_largest[name]);
        }
        if (const Micros wait = (f.first_started_at < 0 ? end : f.first_started_at) - f.accepted_at;
            large && wait > a.longest_wait_of_largest[name]) {
            a.longest_wait_of_largest[name] = wait;
            slowest[name] = f.spec.ref;
        }
    }
    if (silent && a.longest_unanswered > kMaxPollGap)
        a.violations.push_back(
            fmt::format("forgotten: no answered poll for {} in {:.1f} s after all troubles", silent->spec.ref,
                        seconds(a.longest_unanswered)));
    half_served("class", a.served_by_class, a);
    half_served("team", a.served_by_team, a);
    half_served("largest of", a.served_of_largest, a);
    for (const auto& [name, wait] : a.longest_wait_of_largest)
        if (wait > kMaxStartDelay)
            a.violations.push_back(
                fmt::format("largest begin: {} of {} waited {:.1f} s", slowest[name], name, seconds(wait)));
    return a;
}

void AcceptanceResult::add(const AcceptanceResult& other, const std::string& run) {
    longest_unanswered = std::max(longest_unanswered, other.longest_unanswered);
    longest_startable_wait = std::max(longest_startable_wait, other.longest_startable_wait);
    auto sum = [](auto& into, const auto& from) {
        for (const auto& [name, s] : from) into[name].due += s.due, into[name].served += s.served;
    };
    sum(served_by_class, other.served_by_class);
    sum(served_by_team, other.served_by_team);
    sum(served_of_largest, other.served_of_largest);
    for (const auto& [name, wait] : other.longest_wait_of_largest)
        longest_wait_of_largest[name] = std::max(longest_wait_of_largest[name], wait);
    for (const auto& line : other.violations) violations.push_back(run + line);
}

}  // namespace cottonway::simulation
