// ShardOwner: decides whether the job or the machine is at fault when a task fails.

#include <algorithm>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {
constexpr int kBrokenAfterFailures = 4;  // of tasks on two machines; on a third machine one failure is enough
constexpr int kBrokenAfterTaskErrors = 3;  // of one task, on any machines
constexpr std::size_t kMaxFailedMachines = 64;
constexpr Micros kInitialBackoff = 4 * kSecond;  // doubled with each failed try
constexpr Micros kMaxBackoff = 60 * kSecond;
constexpr Micros kAvoidDuration = 10 * kSecond;      // of a machine on which tasks of one job have failed
constexpr Micros kLongAvoidDuration = 60 * kSecond;  // the same for tasks of several jobs
}  // namespace

/// Handles a failed task and returns the delay until it may be tried again. A machine is at fault if jobs
/// fail on it that run elsewhere. While no task of the job has ever run it is unknown which of the two is at
/// fault, and the job avoids the machine. A job that fails on several machines and runs on none is considered
/// broken: it is tried with one task at a time under exponential backoff, so that it uses few resources and
/// few starts and writes. Only its user ends it.
Micros ShardOwner::handle_task_failure(Machine& machine, Job& job, Slot& slot) {
    const Micros now = context_.runtime().now();
    slot.errors = std::min(slot.errors + 1, 6);
    if (job.done_tasks > 0) job.proven_runnable = true;
    if (job.proven_runnable) {
        record_failure(machine, job, now);
        spdlog::info("task {}/{}: failed on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
        return kSecond << std::min(slot.errors - 1, 5);
    }
    ++job.failures;
    if (job.failed_machines.size() < kMaxFailedMachines) job.failed_machines.insert(machine.name);
    if (job.backing_off) {
        if (slot.attempt < job.backoff_first_attempt) return kSecond;  // started before the backoff began
        job.next_try_at = now + std::min(kInitialBackoff << std::min(job.backoff_tries, 10), kMaxBackoff);
        ++job.backoff_tries;
    } else if (job.failed_machines.size() >= 3 ||
               (job.failed_machines.size() == 2 && job.failures >= kBrokenAfterFailures) ||
               slot.errors >= kBrokenAfterTaskErrors) {
        job.backing_off = true;
        job.backoff_first_attempt = job.next_attempt;
        job.next_try_at = now + kInitialBackoff;
        spdlog::info("job {}: considered broken, {} tasks failed on {} machines and none has run",
                     job.spec.ref, job.failures, job.failed_machines.size());
        mark_part_dirty(job, 0);  // so that the next owner does not start all of its tasks again
    }
    spdlog::debug("task {}/{}: failed on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
    return kSecond;
}

/// Records that a task of the job has run. So the job is not broken, and its earlier failures count against
/// the machines.
void ShardOwner::on_first_success(Job& job) {
    if (job.proven_runnable) return;
    job.proven_runnable = true;
    const Micros now = context_.runtime().now();
    for (const auto& name : job.failed_machines)
        if (auto machine = shard_state_.machines.find(name); machine != shard_state_.machines.end())
            record_failure(*machine->second, job, now);
    job.failed_machines.clear();
    if (!job.backing_off) return;
    job.backing_off = false;
    job.waiting_since = now;
    spdlog::info("job {}: a task has run, no longer considered broken", job.spec.ref);
    mark_part_dirty(job, 0);
    plan_due_ = true;
}

void ShardOwner::record_failure(Machine& machine, const Job& job, Micros now) {
    machine.failing_jobs.insert(job.spec.ref);
    machine.avoid_until = now + (machine.failing_jobs.size() >= 2 ? kLongAvoidDuration : kAvoidDuration);
    spdlog::info("machine {}: avoided, {} jobs that run elsewhere fail on it", machine.name,
                 machine.failing_jobs.size());
}

}  // namespace cottonway
