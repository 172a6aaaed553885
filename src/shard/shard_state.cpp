#include "shard/shard_state.hpp"

#include <algorithm>

namespace cottonway {

namespace {

constexpr std::size_t kMaxImagesPerMachine = 64;
constexpr std::size_t kBindingOverheadBytes = 14;  // size of a stored binding without the machine's name

std::size_t binding_bytes(const Machine& machine) {
    return machine.name.size() + kBindingOverheadBytes;
}

}  // namespace

Machine* ShardState::machine(const std::string& name) const {
    auto it = machines.find(name);
    return it == machines.end() ? nullptr : it->second.get();
}

Job* ShardState::job(const std::string& ref) const {
    auto it = jobs.find(ref);
    return it == jobs.end() ? nullptr : it->second.get();
}

Resources ShardState::team_usage(const std::string& team) const {
    auto it = usage_.find(team);
    return it == usage_.end() ? Resources{} : it->second;
}

void ShardState::bind(Job& job, int task, Machine& machine, std::int64_t attempt) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const int errors = slot.errors;
    slot = Slot{};
    slot.errors = errors;
    slot.state = SlotState::Binding;
    slot.attempt = attempt;
    slot.machine = &machine;
    --job.unbound_tasks;
    ++job.bound_tasks;
    auto& part = job.part_of(task);
    ++part.pending_binds;
    part.bytes += binding_bytes(machine);
    machine.reserved += job.spec.request;
    if (job.rank == PriorityClass::Low) machine.low_priority_cores += job.spec.request.cores;
    machine.tasks.insert({&job, task});
    usage_[job.spec.team] += job.spec.request;
    remember_image(machine, job, false);
}

void ShardState::release(Job& job, Slot& slot, Micros listened) {
    Machine& machine = *slot.machine;
    const auto task = static_cast<int>(&slot - job.slots.data());
    auto& part = job.part_of(task);
    if (slot.state == SlotState::Binding) --part.pending_binds;
    part.bytes -= binding_bytes(machine);
    machine.reserved -= job.spec.request;
    if (job.rank == PriorityClass::Low) machine.low_priority_cores -= job.spec.request.cores;
    machine.tasks.erase({&job, task});
    forget_unused_fetch(machine, job);
    if (machine.tasks.empty()) machine.idle_since = listened;
    usage_[job.spec.team] -= job.spec.request;
    slot.machine = nullptr;
    slot.state = SlotState::Unbound;
    job.first_unbound = std::min(job.first_unbound, static_cast<std::size_t>(task));
    slot.seen = slot.inherited = slot.launch_sent = slot.stop_requested = false;
    --job.bound_tasks;
    ++job.unbound_tasks;
}

void ShardState::add_orphaned_task(Machine& machine, const ReportedTask& task) {
    machine.orphaned_tasks.push_back(task);
    ++orphaned_task_counts_[{task.job, task.task}];
}

void ShardState::forget_orphaned_tasks(Machine& machine) {
    for (const auto& orphan : machine.orphaned_tasks)
        if (--orphaned_task_counts_[{orphan.job, orphan.task}] <= 0)
            orphaned_task_counts_.erase({orphan.job, orphan.task});
    machine.orphaned_tasks.clear();
}

void ShardState::remember_image(Machine& machine, const Job& job, bool ready) {
    auto known = std::find_if(machine.images.begin(), machine.images.end(),
                              [&](const Machine::Image& image) { return image.name == job.spec.image; });
    if (known != machine.images.end()) {
        known->ready = known->ready || ready;
        std::rotate(known, known + 1, machine.images.end());
    } else {
        machine.images.push_back({job.spec.image, job.spec.image_gb, ready});
    }
    Milli total = 0;
    for (const auto& image : machine.images) total += image.size_gb;
    while (machine.images.size() > 1 && (machine.images.size() > kMaxImagesPerMachine ||
                                         (machine.type && total > machine.type->cache_gb))) {
        total -= machine.images.front().size_gb;
        machine.images.erase(machine.images.begin());
    }
}

/// Forgets a fetch that no task on the machine needs any more: the worker cancels it.
void ShardState::forget_unused_fetch(Machine& machine, const Job& job) {
    const bool still_needed =
        std::any_of(machine.tasks.begin(), machine.tasks.end(),
                    [&](const TaskRef& task) { return task.job->spec.image == job.spec.image; });
    if (!still_needed)
        std::erase_if(machine.images, [&](const Machine::Image& image) {
            return !image.ready && image.name == job.spec.image;
        });
}

}  // namespace cottonway
