#pragma once
// The books of a shard: its machines and jobs, what is bound where, and what each team uses. Every bind and
// its end goes through here, so that the sums agree. It decides nothing and knows no clock.

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
    /// What a team's tasks have, in doubt and stopping ones included.
    Resources team_usage(const std::string& team) const;

    /// An attempt at a task that waited; it counts from here on.
    void bind(Job& job, int task, Machine& m, std::int64_t attempt);
    /// The attempt is proven gone, or was never durable: the task waits again. `listened`: now, in time spent
    /// listening.
    void release(Job& job, Slot& slot, Micros listened);

    /// A task that runs on a machine although it should not; it must not start elsewhere until it is gone.
    void add_orphaned_task(Machine& m, const ReportedTask& t);
    void forget_orphaned_tasks(Machine& m);
    bool has_orphaned_task(const std::string& job, int task) const {
        return orphaned_task_counts_.count({job, task}) > 0;
    }

    /// The machine has the image from now on, or fetches it: then others that need the same had better wait
    /// for that one fetch than start another elsewhere.
    static void remember_image(Machine& m, const Job& job, bool ready);

  private:
    static void forget_unused_fetch(Machine& m, const Job& job);

    std::map<std::string, Resources> usage_;  // by team
    std::map<std::pair<std::string, int>, int> orphaned_task_counts_;
};

}  // namespace cottonway
