// The owner's judgement of failed tasks: the job's fault or the machine's.

#include <algorithm>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {
constexpr int kFailures = 4;  // on several machines, before a job is taken to be broken
constexpr int kRounds = 3;    // of one task, wherever it was
constexpr std::size_t kMaxFailedOn = 64;
constexpr Micros kFirstTry = 4 * kSecond;  // after that, doubled with each try
constexpr Micros kLongestTry = 60 * kSecond;
constexpr Micros kAvoid = 10 * kSecond;
constexpr Micros kAvoidLong = 60 * kSecond;
}  // namespace

/// A task has failed. A machine is at fault when jobs fail on it that run elsewhere; so as long as nothing of
/// a job has ever run, neither is known to be at fault, and the job itself keeps off the machine. One that
/// fails on several machines and runs on none is taken to be broken: it is tried with one task at a time and
/// ever more seldom, so that it takes hardly any room, starts and changes. Only its user ends it.
Micros ShardOwner::handle_task_failure(Machine& machine, Job& job, Slot& slot) {
    const Micros now = context_.runtime().now();
    slot.errors = std::min(slot.errors + 1, 6);
    if (job.done > 0) job.proven_runnable = true;
    if (job.proven_runnable) {
        record_failure(machine, job, now);
        spdlog::info("task {}/{}: failed on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
        return kSecond << std::min(slot.errors - 1, 5);
    }
    ++job.failures;
    if (job.failed_machines.size() < kMaxFailedOn) job.failed_machines.insert(machine.name);
    if (job.backing_off) {
        if (slot.attempt < job.backoff_first_attempt) return kSecond;  // began with the others
        job.next_try_at = now + std::min(kFirstTry << std::min(job.backoff_tries, 10), kLongestTry);
        ++job.backoff_tries;
    } else if (job.failed_machines.size() >= 3 ||
               (job.failed_machines.size() == 2 && job.failures >= kFailures) || slot.errors >= kRounds) {
        job.backing_off = true;
        job.backoff_first_attempt = job.next_attempt;
        job.next_try_at = now + kFirstTry;
        spdlog::info("job {}: taken to be broken, {} tasks failed on {} machines and none has run",
                     job.spec.ref, job.failures, job.failed_machines.size());
        mark_part_dirty(job, 0);  // so that another holder does not begin with all of it again
    }
    spdlog::debug("task {}/{}: failed on {}", job.spec.ref, &slot - job.slots.data(), machine.name);
    return kSecond;
}

/// A task of it has run, so it is not the job that is broken but the machines it failed on.
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
    spdlog::info("job {}: runs after all", job.spec.ref);
    mark_part_dirty(job, 0);
    plan_due_ = true;
}

void ShardOwner::record_failure(Machine& machine, const Job& job, Micros now) {
    machine.failing_jobs.insert(job.spec.ref);
    machine.avoid_until = now + (machine.failing_jobs.size() >= 2 ? kAvoidLong : kAvoid);
    spdlog::info("machine {}: avoided, {} jobs that run elsewhere fail on it", machine.name,
                 machine.failing_jobs.size());
}

}  // namespace cottonway
