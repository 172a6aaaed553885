#pragma once
// The protocol's rules, judged from outside: what workers run, and what users are told. No I/O; its owner
// says what time it is. What users are told is judged by the simulator's ConsistencyChecker.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "fakes/fakes.hpp"
#include "simulation/consistency_checker.hpp"

namespace cottonway::soak {

class RuleChecker : public fakes::TaskObserver {
  public:
    /// The deployment that is played, which says who may use how much and how long a cancellation may take.
    explicit RuleChecker(const Settings& deployment) : deployment_(deployment) {}

    void set_time(Micros now) { now_ = now; }
    /// A user begins to submit a job; a task of it runs for `run`.
    void submit(const JobSpec& spec, Micros run);
    void want_cancel(const std::string& job) { jobs_.at(job).cancel_wanted = true; }
    /// To be called before a request is sent; what it returns goes into `told`.
    std::uint64_t begin() { return answers_.begin_request(); }
    void told(simulation::RequestKind asked, const std::string& job, std::uint64_t begun, int status,
              const std::string& stage);
    /// Rules that break by time alone.
    void tick();
    /// All faults are over: from now on users are due answers, and jobs that fit are due a start.
    void quiesce() { quiesced_at_ = now_; }
    /// The rules that are judged at the end: nothing is forgotten, and nothing is left waiting.
    void finish(Micros answer_within);
    /// Whether all accepted jobs are over that are to end by themselves or were cancelled.
    bool settled() const;

    const std::vector<std::string>& breaches() const { return breaches_; }
    void breach(const std::string& rule, const std::string& what);
    /// Accepted jobs that their users may still cancel, with tasks on machines.
    std::vector<std::string> running() const;
    std::size_t accepted() const;
    std::size_t cancelled() const;
    std::size_t starts() const { return starts_; }
    std::size_t answers() const { return answers_.answers(); }
    /// The longest time from when a user was told of a cancellation until the last task was gone.
    Micros longest_to_stop() const { return longest_to_stop_; }
    const JobSpec& spec(const std::string& job) const { return jobs_.at(job).info.spec; }
    bool over(const std::string& job) const;

    // TaskObserver.
    const fakes::JobInfo* job(const std::string& ref) override;
    void on_machine(const std::string& machine, const std::string& ref, int task,
                    std::int64_t attempt) override;
    void off_machine(const std::string& machine, const std::string& ref, int task,
                     std::int64_t attempt) override;
    void completed(const std::string& ref, int task, std::int64_t attempt) override;
    bool gang_complete(const std::string& ref, std::int64_t attempt) override;
    bool gang_whole(const std::string& ref, std::int64_t attempt) override;

  private:
    struct SubmittedJob {
        fakes::JobInfo info;
        bool cancel_wanted = false;
        bool reported = false;  // as one that ran on
        std::string told;       // "", "accepted", "done" or "cancelled"
        Micros cancelled_at = 0;
        Micros answered_at = 0;
        std::set<int> done;
        int on_machines = 0;
        int starts = 0;
    };

    const Settings& deployment_;
    Micros now_ = 0;
    Micros quiesced_at_ = -1;
    Micros longest_to_stop_ = 0;
    std::size_t starts_ = 0;
    std::map<std::string, SubmittedJob> jobs_;
    std::map<std::pair<std::string, int>, std::map<std::string, std::int64_t>> on_;
    std::set<std::pair<std::string, std::int64_t>> finished_gangs_;
    std::map<std::string, Resources> used_;  // by team
    simulation::ConsistencyChecker answers_;
    std::vector<std::string> breaches_;
};

}  // namespace cottonway::soak
