#include "soak/rule_checker.hpp"

#include <algorithm>

namespace cottonway::soak {

using simulation::Asked;

void RuleChecker::report_violation(const std::string& rule, const std::string& what) {
    violations_.push_back(rule + ": " + what);
}

void RuleChecker::submit(const JobSpec& spec, Micros run) {
    SubmittedJob submitted;
    submitted.info = {spec, run, 200 * kMillisecond};
    jobs_.emplace(spec.ref, std::move(submitted));
}

void RuleChecker::on_answer(Asked asked, const std::string& ref, std::uint64_t begun, int status,
                            const std::string& stage) {
    SubmittedJob& job = jobs_.at(ref);
    const bool complete = static_cast<int>(job.done.size()) >= job.info.spec.tasks;
    for (const auto& line : answers_.hear(ref, {asked, begun, status, stage, true},
                                          {true, job.cancellation_requested, complete}))
        violations_.push_back(line);
    if (status != 200 && status != 201) return;
    job.answered_at = now_;
    if (job.told == "done" || job.told == "cancelled") return;
    const bool final = stage == "done" || stage == "cancelled";
    job.told = final ? stage : "accepted";
    if (stage == "cancelled") job.cancelled_at = now_;
}

void RuleChecker::check_deadlines() {
    for (auto& [ref, job] : jobs_) {
        if (job.told != "cancelled" || job.reported || now_ <= job.cancelled_at + deployment_.cancel)
            continue;
        if (job.on_machines == 0) continue;
        job.reported = true;
        report_violation("ran_cancelled", ref + " is still on a machine");
    }
}

void RuleChecker::check_final_state(Micros answer_within) {
    for (const auto& [ref, job] : jobs_) {
        if (job.told.empty()) continue;
        if (now_ - std::max(job.answered_at, faults_over_at_) > answer_within)
            report_violation("forgotten", ref + ": no question about it is answered");
        const bool ends = job.info.spec.kind != JobKind::Service;
        if (job.told == "accepted" && !job.cancellation_requested && ends)
            report_violation("left_waiting", ref + " is not done, " + std::to_string(job.starts) +
                                                 " starts, " + std::to_string(job.done.size()) +
                                                 " tasks done");
        if (job.told == "accepted" && !ends && job.on_machines < job.info.spec.tasks &&
            !job.cancellation_requested)
            report_violation("left_waiting", ref + " lacks replicas");
    }
}

bool RuleChecker::is_settled() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& j) {
        const SubmittedJob& job = j.second;
        const bool service = job.info.spec.kind == JobKind::Service;
        if (job.told == "cancelled") return job.on_machines == 0;
        if (job.told != "accepted") return true;
        return service && !job.cancellation_requested && job.on_machines == job.info.spec.tasks;
    });
}

std::vector<std::string> RuleChecker::running_jobs() const {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : jobs_)
        if (job.told == "accepted" && !job.cancellation_requested && job.on_machines > 0) refs.push_back(ref);
    return refs;
}

std::size_t RuleChecker::accepted_jobs() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) { return !j.second.told.empty(); }));
}

std::size_t RuleChecker::cancelled_jobs() const {
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second.told == "cancelled"; }));
}

bool RuleChecker::is_finished(const std::string& ref) const {
    const std::string& told = jobs_.at(ref).told;
    return told == "done" || told == "cancelled";
}

const fakes::JobInfo* RuleChecker::job(const std::string& ref) {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? nullptr : &it->second.info;
}

void RuleChecker::on_task_started(const std::string& machine, const std::string& ref, int task,
                                  std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    auto& where = on_[{ref, task}];
    if (!where.empty())
        report_violation("ran_twice", ref + "/" + std::to_string(task) + " starts on " + machine +
                                          " while it is on " + where.begin()->first);
    where[machine] = attempt;
    ++job.on_machines;
    ++job.starts;
    ++task_starts_;
    if (job.told == "cancelled" && now_ > job.cancelled_at + deployment_.cancel)
        report_violation("ran_cancelled", ref + " starts on " + machine);
    const Resources used = used_[job.info.spec.team] += job.info.spec.request;
    for (const auto& team : deployment_.teams)
        if (team.name == job.info.spec.team && used.cores > team.limit.cores)
            report_violation("quota", team.name + " uses " + std::to_string(used.cores) + " of " +
                                          std::to_string(team.limit.cores) + " thousandths of a core");
}

void RuleChecker::on_task_stopped(const std::string& machine, const std::string& ref, int task,
                                  std::int64_t) {
    auto it = on_.find({ref, task});
    if (it == on_.end() || it->second.erase(machine) == 0) return;
    if (it->second.empty()) on_.erase(it);
    SubmittedJob& job = jobs_.at(ref);
    --job.on_machines;
    used_[job.info.spec.team] -= job.info.spec.request;
    if (job.told == "cancelled" && job.on_machines == 0)
        longest_stop_time_ = std::max(longest_stop_time_, now_ - job.cancelled_at);
}

void RuleChecker::on_task_completed(const std::string& ref, int task, std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    job.done.insert(task);
    if (job.info.spec.kind != JobKind::Gang) return;
    finished_gangs_.insert({ref, attempt});
    for (int i = 0; i < job.info.spec.tasks; ++i) job.done.insert(i);
}

bool RuleChecker::is_gang_complete(const std::string& ref, std::int64_t attempt) {
    for (int i = 0; i < jobs_.at(ref).info.spec.tasks; ++i) {
        auto it = on_.find({ref, i});
        if (it == on_.end() || it->second.begin()->second != attempt) return false;
    }
    return true;
}

bool RuleChecker::is_gang_intact(const std::string& ref, std::int64_t attempt) {
    return finished_gangs_.count({ref, attempt}) || is_gang_complete(ref, attempt);
}

}  // namespace cottonway::soak
