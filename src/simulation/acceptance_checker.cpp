#include "simulation/acceptance_checker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cottonway::simulation {

namespace {

double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}

/// Returns the number of tasks that the limit allows at once.
int max_concurrent_tasks(const JobSpec& job, const Resources& limit) {
    Milli count = job.tasks;
    if (job.request.cores > 0) count = std::min(count, limit.cores / job.request.cores);
    if (job.request.gpus > 0) count = std::min(count, limit.gpus / job.request.gpus);
    return static_cast<int>(std::max<Milli>(count, 1));
}

void check_half_served(const std::string& group, const std::map<std::string, ServedShare>& shares,
                       AcceptanceResult& result) {
    for (const auto& [name, share] : shares)
        if (share.fraction() < 0.5)
            result.violations.push_back(
                fmt::format("half served: {} {}: {} of {}", group, name, share.served, share.due));
}

}  // namespace

Micros JobOutcome::allowed_time(const std::vector<Team>& teams) const {
    if (spec.kind == JobKind::Service) return kMaxStartDelay;
    int waves = 1;
    for (const auto& team : teams)
        if (spec.kind == JobKind::Array && team.name == spec.team) {
            const int concurrent_tasks = max_concurrent_tasks(spec, team.limit);
            waves = (spec.tasks + concurrent_tasks - 1) / concurrent_tasks;
        }
    return kMaxStartDelay + waves * task_duration;
}

bool JobOutcome::is_served(const std::vector<Team>& teams) const {
    const Micros served_at = spec.kind == JobKind::Service ? all_started_at : completed_at;
    return served_at >= 0 && served_at - accepted_at <= allowed_time(teams);
}

AcceptanceResult evaluate_acceptance(const std::vector<JobOutcome>& outcomes, const std::vector<Team>& teams,
                                     Micros end) {
    AcceptanceResult result;
    std::map<std::string, double> largest_size;
    for (const auto& outcome : outcomes)
        if (!outcome.excluded)
            largest_size[outcome.spec.job_class] =
                std::max(largest_size[outcome.spec.job_class], outcome.total_cores());
    const JobOutcome* least_answered = nullptr;
    std::map<std::string, std::string> longest_waiting_job;
    for (const auto& outcome : outcomes) {
        if (outcome.excluded) continue;
        const std::string& job_class = outcome.spec.job_class;
        if (outcome.longest_unanswered > result.longest_unanswered) least_answered = &outcome;
        result.longest_unanswered = std::max(result.longest_unanswered, outcome.longest_unanswered);
        result.longest_startable_wait =
            std::max(result.longest_startable_wait, outcome.longest_startable_wait.longest);
        if (outcome.longest_startable_wait.longest > kMaxStartableWait)
            result.violations.push_back(
                fmt::format("left waiting: {} of {} for {:.1f} s though it could have started, last on {}",
                            outcome.spec.ref, job_class, seconds(outcome.longest_startable_wait.longest),
                            outcome.longest_startable_wait.machine));
        const bool is_large = outcome.total_cores() >= kLargestSizeRatio * largest_size[job_class];
        // A job that needs others is due only once those are done, a time that isn't known here.
        if (!outcome.spec.dependencies.empty()) continue;
        if (end - outcome.accepted_at >= outcome.allowed_time(teams)) {
            auto count = [served = outcome.is_served(teams)](ServedShare& share) {
                ++share.due, share.served += served;
            };
            count(result.served_by_class[job_class]);
            count(result.served_by_team[outcome.spec.team]);
            if (is_large) count(result.served_of_largest[job_class]);
        }
        if (const Micros wait =
                (outcome.first_started_at < 0 ? end : outcome.first_started_at) - outcome.accepted_at;
            is_large && wait > result.longest_wait_of_largest[job_class]) {
            result.longest_wait_of_largest[job_class] = wait;
            longest_waiting_job[job_class] = outcome.spec.ref;
        }
    }
    if (least_answered && result.longest_unanswered > kMaxPollGap)
        result.violations.push_back(
            fmt::format("forgotten: no answered poll for {} in {:.1f} s after all faults were over",
                        least_answered->spec.ref, seconds(result.longest_unanswered)));
    check_half_served("class", result.served_by_class, result);
    check_half_served("team", result.served_by_team, result);
    check_half_served("largest of", result.served_of_largest, result);
    for (const auto& [job_class, wait] : result.longest_wait_of_largest)
        if (wait > kMaxStartDelay)
            result.violations.push_back(fmt::format("largest begin: {} of {} waited {:.1f} s",
                                                    longest_waiting_job[job_class], job_class,
                                                    seconds(wait)));
    return result;
}

void AcceptanceResult::add(const AcceptanceResult& other, const std::string& run) {
    longest_unanswered = std::max(longest_unanswered, other.longest_unanswered);
    longest_startable_wait = std::max(longest_startable_wait, other.longest_startable_wait);
    auto sum = [](auto& into, const auto& from) {
        for (const auto& [name, share] : from) into[name].due += share.due, into[name].served += share.served;
    };
    sum(served_by_class, other.served_by_class);
    sum(served_by_team, other.served_by_team);
    sum(served_of_largest, other.served_of_largest);
    for (const auto& [name, wait] : other.longest_wait_of_largest)
        longest_wait_of_largest[name] = std::max(longest_wait_of_largest[name], wait);
    for (const auto& line : other.violations) violations.push_back(run + line);
}

}  // namespace cottonway::simulation
