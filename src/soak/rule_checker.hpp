#pragma once
// Checks the protocol's rules from outside, by the tasks that workers run and the answers that users get.
// Does no I/O; its owner sets the time. The answers are checked by the simulator's ConsistencyChecker.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "fakes/fakes.hpp"
#include "simulation/consistency_checker.hpp"

namespace cottonway::soak {

/// Records tasks and answers, and reports every violated rule.
class RuleChecker : public fakes::TaskObserver {
  public:
    /// `deployment`: settings of the run; they hold the teams' limits and the time that a cancellation may
    /// take.
    explicit RuleChecker(const Settings& deployment) : deployment_(deployment) {}

    void set_time(Micros now) { now_ = now; }
    /// Records that a user is about to submit a job, each of whose tasks runs for `run_time`.
    void submit(const JobSpec& spec, Micros run_time);
    /// Records that a user is about to cancel the job.
    void record_cancellation_request(const std::string& job) { jobs_.at(job).cancellation_requested = true; }
    /// To be called before a request is sent. Returns the number of the request, to be passed to on_answer().
    std::uint64_t begin_request() { return consistency_checker_.begin_request(); }
    /// Checks an answer that a user got to a request.
    void on_answer(simulation::RequestKind request_kind, const std::string& job, std::uint64_t request_number,
                   int status, const std::string& stage);
    /// Checks the rules that can be violated without any event, as time passes.
    void check_deadlines();
    /// Records that all faults have ended: from now on users must get answers, and jobs for which there is
    /// capacity must start.
    void on_faults_over() { faults_over_at_ = now_; }
    /// Checks the rules that apply at the end of a run: users got answers about every accepted job during the
    /// last `answer_within`, and no job is left waiting.
    void check_final_state(Micros answer_within);
    /// Returns true once every accepted job is done, is cancelled with no task left, or is a service with all
    /// its replicas running.
    bool is_settled() const;

    const std::vector<std::string>& violations() const { return violations_; }
    void report_violation(const std::string& rule, const std::string& details);
    /// Returns accepted, unfinished jobs that have tasks on machines and that no user has asked to cancel.
    std::vector<std::string> running_jobs() const;
    std::size_t accepted_jobs() const;
    std::size_t cancelled_jobs() const;
    std::size_t task_starts() const { return task_starts_; }
    std::size_t answers() const { return consistency_checker_.answers(); }
    /// Returns the longest time from the answer that confirmed a cancellation until the last task stopped.
    Micros longest_stop_time() const { return longest_stop_time_; }
    const JobSpec& spec(const std::string& job) const { return jobs_.at(job).info.spec; }
    /// Returns true if a user has received the answer that the job is done or cancelled.
    bool is_finished(const std::string& job) const;

    // TaskObserver.
    const fakes::JobInfo* job(const std::string& ref) override;
    void on_task_started(const std::string& machine, const std::string& ref, int task,
                         std::int64_t attempt) override;
    void on_task_stopped(const std::string& machine, const std::string& ref, int task,
                         std::int64_t attempt) override;
    void on_task_completed(const std::string& ref, int task, std::int64_t attempt) override;
    bool is_gang_complete(const std::string& ref, std::int64_t attempt) override;
    bool is_gang_intact(const std::string& ref, std::int64_t attempt) override;

  private:
    struct SubmittedJob {
        fakes::JobInfo info;
        bool cancellation_requested = false;
        bool violation_reported = false;  // as running after its cancellation
        std::string reported_state;       // "" before the first answer, "accepted", "done" or "cancelled"
        Micros cancellation_confirmed_at = 0;
        Micros last_answered_at = 0;
        std::set<int> completed_tasks;
        int tasks_on_machines = 0;
        int task_starts = 0;
    };

    const Settings& deployment_;
    Micros now_ = 0;
    Micros faults_over_at_ = -1;
    Micros longest_stop_time_ = 0;
    std::size_t task_starts_ = 0;
    std::map<std::string, SubmittedJob> jobs_;
    /// (job, task) -> machine -> attempt
    std::map<std::pair<std::string, int>, std::map<std::string, std::int64_t>> machines_of_task_;
    std::set<std::pair<std::string, std::int64_t>> finished_gangs_;
    std::map<std::string, Resources> used_by_team_;
    simulation::ConsistencyChecker consistency_checker_;
    std::vector<std::string> violations_;
};

}  // namespace cottonway::soak
