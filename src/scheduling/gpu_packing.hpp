#pragma once
// GpuSettings left over in pieces: a term of the score that keeps them together, and moves that make room for
// a large task that fits by total but on no machine. Pure.

#include <map>
#include <optional>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// How often each number of GPUs is asked for, by what waits and runs; sums to 1.
class GpuDemand {
  public:
    void add(Milli gpus, double weight);
    /// Tasks of one job, by what they ask for: each GPU counts, of waiting tasks threefold.
    void add(Milli gpus, int waiting, int running);
    /// Part of `free` GPUs (of one machine) that is of no use to the shapes, weighed by how often they are
    /// asked for: 0 none, 1 all of it. A shape uses as many whole multiples of itself as are free.
    double unusable_share(Milli free) const;
    /// GpuSettings of no use in `room` of a machine of `size`, 0 to the number that is free: those of no use
    /// to the shapes, and those that have less than their part of the machine's cores or memory beside them.
    double unusable_gpus(const Resources& size, const Resources& room) const;
    bool empty() const { return weights_.empty(); }

  private:
    std::map<Milli, double> weights_;
    double total_ = 0;
};
GpuDemand gpu_demand_of(const ShardView& view);

/// Added to a candidate's score (lower is better, the paper's weights add up to 100): what the task's start
/// there takes from the use of the machine's free GPUs; and what keeps work without GPUs off machines that
/// have some.
double gpu_penalty(const Resources& size, const Resources& reserved, const Resources& need,
                   const GpuDemand& shapes);

/// Moves that make room for one task of `job` (index into View::jobs): the machine it shall start on, and
/// what has to leave it, each with a destination that fits. No moves: what is stopping there is enough.
struct RoomPlan {
    Reservation reservation;
    std::vector<Move> moves;
    double cost = 0;  // seconds: time without the moved tasks, weights fetched again, work lost
};
/// Nothing if it does not wait long enough, fits already, cannot have room within the budgets, or is a gang
/// that waits with several tasks (make_rooms).
std::optional<RoomPlan> plan_room_for_job(const ShardView& view, std::size_t job,
                                          const policy::Policy& policy);

/// For all that waits long enough, the highest tier and the longest wait first, within the budgets; plans do
/// not use the same room twice. A gang has one plan for each of its machines, all of them or none.
std::vector<RoomPlan> plan_room_for_waiting_jobs(const ShardView& view, const policy::Policy& policy);

}  // namespace cottonway::scheduling
