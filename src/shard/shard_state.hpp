#pragma once
// The state of a shard in memory: its machines and jobs, which tasks are bound where, and what each team
// uses. Every bind and release goes through this class, which keeps the totals consistent. It makes no
// decisions and reads no clock.

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "shard/job.hpp"
#include "shard/machine.hpp"

namespace cottonway {

class ShardState {
  public:
    std::map<std::string, std::unique_ptr<Machine>> machines;
    std::map<std::string, std::unique_ptr<Job>> jobs;

    Machine* machine(const std::string& name) const;
    Job* job(const std::string& ref) const;
    /// Returns the resources that a team's tasks use, including tasks that are unconfirmed or stopping.
    Resources team_usage(const std::string& team) const;

    /// Binds an unbound task to a machine under a new attempt. From here on the task uses the machine's
    /// capacity and its team's quota.
    void bind(Job& job, int task, Machine& machine, std::int64_t attempt);
    /// Makes a task unbound again, once its attempt is confirmed terminated or if its binding never became
    /// durable. `listened` is the current time of the listening clock.
    void release(Job& job, Slot& slot, Micros listened);

    /// Records a task that runs on a machine without being bound to it. It must not start elsewhere until
    /// that attempt has terminated.
    void add_orphaned_task(Machine& machine, const ReportedTask& task);
    void forget_orphaned_tasks(Machine& machine);
    bool has_orphaned_task(const std::string& job, int task) const {
        return orphaned_task_counts_.count({job, task}) > 0;
    }

    /// Records that the machine has the job's image, or fetches it if `ready` is false. Other tasks that need
    /// the image then prefer to wait for that fetch over starting another one elsewhere.
    static void remember_image(Machine& machine, const Job& job, bool ready);

  private:
    static void forget_unused_fetch(Machine& machine, const Job& job);

    std::map<std::string, Resources> usage_;  // by team
    std::map<std::pair<std::string, int>, int> orphaned_task_counts_;
};

}  // namespace cottonway
