#pragma once
// Limits the fragmentation of free GPUs: a score term that keeps free GPUs of a machine together, and plans
// of moves that free capacity for a large task when enough GPUs are free in total but not on one machine.
// Pure.

#include <map>
#include <optional>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// The mix of GPU counts that waiting and running tasks ask for, as relative weights.
class GpuDemand {
  public:
    void add(Milli gpus, double weight);
    /// Adds the tasks of one job that each ask for `gpus`. The weight is the number of GPUs, with those of
    /// waiting tasks counted threefold.
    void add(Milli gpus, int waiting, int running);
    /// Returns the share of a machine's `free` GPUs, 0 to 1, that the demanded GPU counts cannot use,
    /// averaged over the counts by weight. A count uses as many whole multiples of itself as are free.
    double unusable_share(Milli free) const;
    /// Returns the number of free GPUs, of a machine of the given size, that are unusable: those that the
    /// demanded GPU counts cannot use, and those without their proportional part of the machine's cores or
    /// memory left.
    double unusable_gpus(const Resources& size, const Resources& available) const;
    bool empty() const { return weights_.empty(); }

  private:
    std::map<Milli, double> weights_;  // by number of GPUs
    double total_weight_ = 0;
};
GpuDemand gpu_demand_of(const ShardView& view);

/// Returns a penalty to add to a candidate's score, where lower is better and the default weights of
/// cores, memory, size and tasks in PlacementSettings add up to 100, disregarding their signs. It grows with
/// the free GPUs that the task's start there makes unusable, and keeps tasks without GPUs off machines that
/// have GPUs.
double gpu_penalty(const Resources& size, const Resources& reserved, const Resources& request,
                   const GpuDemand& demand);

/// A reservation on the machine where one or more tasks of a job shall start, and the moves of tasks that
/// have to leave that machine, each to a destination with capacity. The plan has no moves if it is enough to
/// wait for tasks that are already stopping.
struct CapacityPlan {
    Reservation reservation;
    std::vector<Move> moves;
    double cost = 0;  // in seconds: downtime of the moved tasks, images fetched again, work lost
};
/// Plans capacity for one task of `job` (index into ShardView::jobs). Returns nothing if the job has not
/// waited long enough, fits already, cannot get capacity within the budgets, or is a gang with several
/// waiting tasks (see plan_capacity_for_waiting_jobs).
std::optional<CapacityPlan> plan_capacity_for_job(const ShardView& view, std::size_t job,
                                                  const policy::Policy& policy);

/// Plans capacity for all jobs that have waited long enough, the highest tier and then the longest wait
/// first, within the budgets. No two plans use the same capacity. A gang gets one plan for each machine it
/// starts on, or none at all.
std::vector<CapacityPlan> plan_capacity_for_waiting_jobs(const ShardView& view, const policy::Policy& policy);

}  // namespace cottonway::scheduling
