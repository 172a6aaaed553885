#include "soak/rule_checker.hpp"

#include <algorithm>

namespace cottonway::soak {

using simulation::RequestKind;

void RuleChecker::breach(const std::string& rule, const std::string& what) {
    breaches_.push_back(rule + ": " + what);
}

void RuleChecker::submit(const JobSpec& spec, Micros run) {
    SubmittedJob submitted;
    submitted.info = {spec, run, 200 * kMillisecond};
    jobs_.emplace(spec.ref, std::move(submitted));
}

void RuleChecker::told(RequestKind asked, const std::string& ref, std::uint64_t begun, int status,
                       const std::string& stage) {
    SubmittedJob& job = jobs_.at(ref);
    const bool complete = static_cast<int>(job.done.size()) >= job.info.spec.tasks;
    for (const auto& line :
         answers_.check_answer(ref, {asked, begun, status, stage, true}, {true, job.cancel_wanted, complete}))
        breaches_.push_back(line);
    if (status != 200 && status != 201) return;
    job.answered_at = now_;
    if (job.told == "done" || job.told == "cancelled") return;
    const bool final = stage == "done" || stage == "cancelled";
    job.told = final ? stage : "accepted";
    if (stage == "cancelled") job.cancelled_at = now_;
}

void RuleChecker::tick() {
    for (auto& [ref, job] : jobs_) {
        if (job.told != "cancelled" || job.reported || now_ <= job.cancelled_at + deployment_.cancel)
            continue;
        if (job.on_machines == 0) continue;
        job.reported = true;
        breach("ran_cancelled", ref + " is still on a machine");
    }
}

void RuleChecker::finish(Micros answer_within) {
    for (const auto& [ref, job] : jobs_) {
        if (job.told.empty()) continue;
        if (now_ - std::max(job.answered_at, quiesced_at_) > answer_within)
            breach("forgotten", ref + ": no question about it is answered");
        const bool ends = job.info.spec.kind != JobKind::Service;
        if (job.told == "accepted" && !job.cancel_wanted && ends)
            breach("left_waiting", ref + " is not done, " + std::to_string(job.starts) + " starts, " +
                                       std::to_string(job.done.size()) + " tasks done");
        if (job.told == "accepted" && !ends && job.on_machines < job.info.spec.tasks && !job.cancel_wanted)
            breach("left_waiting", ref + " lacks replicas");
    }
}

bool RuleChecker::settled() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& j) {
        const SubmittedJob& job = j.second;
        const bool service = job.info.spec.kind == JobKind::Service;
        if (job.told == "cancelled") return job.on_machines == 0;
        if (job.told != "accepted") return true;
        return service && !job.cancel_wanted && job.on_machines == job.info.spec.tasks;
    });
}

std::vector<std::string> RuleChecker::running() const {
    std::vector<std::string> refs;
    for (const auto& [ref, job] : jobs_)
        if (job.told == "accepted" && !job.cancel_wanted && job.on_machines > 0) refs.push_back(ref);
    return refs;
}

std::size_t RuleChecker::accepted() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) { return !j.second.told.empty(); }));
}

std::size_t RuleChecker::cancelled() const {
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second.told == "cancelled"; }));
}

bool RuleChecker::over(const std::string& ref) const {
    const std::string& told = jobs_.at(ref).told;
    return told == "done" || told == "cancelled";
}

const fakes::JobInfo* RuleChecker::job(const std::string& ref) {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? nullptr : &it->second.info;
}

void RuleChecker::on_machine(const std::string& machine, const std::string& ref, int task,
                             std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    auto& where = on_[{ref, task}];
    if (!where.empty())
        breach("ran_twice", ref + "/" + std::to_string(task) + " starts on " + machine + " while it is on " +
                                where.begin()->first);
    where[machine] = attempt;
    ++job.on_machines;
    ++job.starts;
    ++starts_;
    if (job.told == "cancelled" && now_ > job.cancelled_at + deployment_.cancel)
        breach("ran_cancelled", ref + " starts on " + machine);
    const Resources used = used_[job.info.spec.team] += job.info.spec.request;
    for (const auto& team : deployment_.teams)
        if (team.name == job.info.spec.team && used.cores > team.limit.cores)
            breach("quota", team.name + " uses " + std::to_string(used.cores) + " of " +
                                std::to_string(team.limit.cores) + " thousandths of a core");
}

void RuleChecker::off_machine(const std::string& machine, const std::string& ref, int task, std::int64_t) {
    auto it = on_.find({ref, task});
    if (it == on_.end() || it->second.erase(machine) == 0) return;
    if (it->second.empty()) on_.erase(it);
    SubmittedJob& job = jobs_.at(ref);
    --job.on_machines;
    used_[job.info.spec.team] -= job.info.spec.request;
    if (job.told == "cancelled" && job.on_machines == 0)
        longest_to_stop_ = std::max(longest_to_stop_, now_ - job.cancelled_at);
}

void RuleChecker::completed(const std::string& ref, int task, std::int64_t attempt) {
    SubmittedJob& job = jobs_.at(ref);
    job.done.insert(task);
    if (job.info.spec.kind != JobKind::Gang) return;
    finished_gangs_.insert({ref, attempt});
    for (int i = 0; i < job.info.spec.tasks; ++i) job.done.insert(i);
}

bool RuleChecker::gang_complete(const std::string& ref, std::int64_t attempt) {
    for (int i = 0; i < jobs_.at(ref).info.spec.tasks; ++i) {
        auto it = on_.find({ref, i});
        if (it == on_.end() || it->second.begin()->second != attempt) return false;
    }
    return true;
}

bool RuleChecker::gang_whole(const std::string& ref, std::int64_t attempt) {
    return finished_gangs_.count({ref, attempt}) || gang_complete(ref, attempt);
}

}  // namespace cottonway::soak
