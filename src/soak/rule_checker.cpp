#include "soak/rule_checker.hpp"

#include <algorithm>

namespace cottonway::soak {

using simulation::RequestKind;

void RuleChecker::report_violation(const std::string& rule, const std::string& details) {
    violations_.push_back(rule + ": " + details);
}

void RuleChecker::submit(const JobSpec& spec, Micros run_time) {
    SubmittedJob submitted;
    submitted.info = {spec, run_time, 200 * kMillisecond};
    jobs_.emplace(spec.ref, std::move(submitted));
}

void RuleChecker::on_answer(RequestKind request_kind, const std::string& ref, std::uint64_t request_number,
                            int status, const std::string& stage) {
    SubmittedJob& job = jobs_.at(ref);
    const bool all_tasks_completed = static_cast<int>(job.completed_tasks.size()) >= job.info.spec.tasks;
    for (const auto& line :
         consistency_checker_.check_answer(ref, {request_kind, request_number, status, stage, true},
                                           {true, job.cancellation_requested, all_tasks_completed}))
        violations_.push_back(line);
    if (status != 200 && status != 201) return;
    job.last_answered_at = now_;
    if (job.reported_state == "done" || job.reported_state == "cancelled") return;
    const bool is_final = stage == "done" || stage == "cancelled";
    job.reported_state = is_final ? stage : "accepted";
    if (stage == "cancelled") job.cancellation_confirmed_at = now_;
}

void RuleChecker::check_deadlines() {
    for (auto& [ref, job] : jobs_) {
        if (job.reported_state != "cancelled" || job.violation_reported ||
            now_ <= job.cancellation_confirmed_at + deployment_.cancel_deadline)
            continue;
        if (job.tasks_on_machines == 0) continue;
        job.violation_reported = true;
        report_violation("ran_cancelled", ref + " is still on a machine");
    }
}

void RuleChecker::check_final_state(Micros answer_within) {
    for (const auto& [ref, job] : jobs_) {
        if (job.reported_state.empty()) continue;
        if (now_ - std::max(job.last_answered_at, faults_over_at_) > answer_within)
            report_violation("forgotten", ref + ": users get no answers about it");
        const bool ends_by_itself = job.info.spec.kind != JobKind::Service;
        if (job.reported_state == "accepted" && !job.cancellation_requested && ends_by_itself)
            report_violation("left_waiting", ref + " is not done, " + std::to_string(job.task_starts) +
                                                 " starts, " + std::to_string(job.completed_tasks.size()) +
                                                 " tasks done");
        if (job.reported_state == "accepted" && !ends_by_itself &&
            job.tasks_on_machines < job.info.spec.tasks && !job.cancellation_requested)
            report_violation("left_waiting", ref + " is missing replicas");
    }
}

bool RuleChecker::is_settled() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        const SubmittedJob& job = entry.second;
        const bool is_service = job.info.spec.kind == JobKind::Service;
        if (job.reported_state == "cancelled") return job.tasks_on_machines == 0;
        if (job.reported_state != "accepted") return true;
        return is_service && !job.cancellation_requested && job.tasks_on_machines == job.info.spec.tasks;
    });
}

std::vector<std::string> RuleChecker::running_jobs() const {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : jobs_)
        if (job.reported_state == "accepted" && !job.cancellation_requested && job.tasks_on_machines > 0)
            refs.push_back(ref);
    return refs;
}

std::size_t RuleChecker::accepted_jobs() const {
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(), [](const auto& entry) { return !entry.second.reported_state.empty(); }));
}

std::size_t RuleChecker::cancelled_jobs() const {
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        return entry.second.reported_state == "cancelled";
    }));
}

bool RuleChecker::is_finished(const std::string& ref) const {
    const std::string& reported_state = jobs_.at(ref).reported_state;
    return reported_state == "done" || reported_state == "cancelled";
}

const fakes::JobInfo* RuleChecker::job(const std::string& ref) {
    auto found = jobs_.find(ref);
    return found == jobs_.end() ? nullptr : &found->second.info;
}

void RuleChecker::on_task_started(const std::string& machine, const std::string& ref, int task,
                                  std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    auto& attempt_by_machine = machines_of_task_[{ref, task}];
    if (!attempt_by_machine.empty())
        report_violation("ran_twice", ref + "/" + std::to_string(task) + " starts on " + machine +
                                          " while it still runs on " + attempt_by_machine.begin()->first);
    attempt_by_machine[machine] = attempt;
    ++job.tasks_on_machines;
    ++job.task_starts;
    ++task_starts_;
    if (job.reported_state == "cancelled" &&
        now_ > job.cancellation_confirmed_at + deployment_.cancel_deadline)
        report_violation("ran_cancelled", ref + " starts on " + machine);
    const Resources team_usage = used_by_team_[job.info.spec.team] += job.info.spec.request;
    for (const auto& team : deployment_.teams)
        if (team.name == job.info.spec.team && team_usage.cores > team.limit.cores)
            report_violation("quota", team.name + " uses " + std::to_string(team_usage.cores) + " of " +
                                          std::to_string(team.limit.cores) + " thousandths of a core");
}

void RuleChecker::on_task_stopped(const std::string& machine, const std::string& ref, int task,
                                  std::int64_t) {
    auto found = machines_of_task_.find({ref, task});
    if (found == machines_of_task_.end() || found->second.erase(machine) == 0) return;
    if (found->second.empty()) machines_of_task_.erase(found);
    SubmittedJob& job = jobs_.at(ref);
    --job.tasks_on_machines;
    used_by_team_[job.info.spec.team] -= job.info.spec.request;
    if (job.reported_state == "cancelled" && job.tasks_on_machines == 0)
        longest_stop_time_ = std::max(longest_stop_time_, now_ - job.cancellation_confirmed_at);
}

void RuleChecker::on_task_completed(const std::string& ref, int task, std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    job.completed_tasks.insert(task);
    if (job.info.spec.kind != JobKind::Gang) return;
    finished_gangs_.insert({ref, attempt});
    for (int i = 0; i < job.info.spec.tasks; ++i) job.completed_tasks.insert(i);
}

bool RuleChecker::is_gang_complete(const std::string& ref, std::int64_t attempt) {
    for (int i = 0; i < jobs_.at(ref).info.spec.tasks; ++i) {
        auto found = machines_of_task_.find({ref, i});
        if (found == machines_of_task_.end() || found->second.begin()->second != attempt) return false;
    }
    return true;
}

bool RuleChecker::is_gang_intact(const std::string& ref, std::int64_t attempt) {
    return finished_gangs_.count({ref, attempt}) || is_gang_complete(ref, attempt);
}

}  // namespace cottonway::soak
