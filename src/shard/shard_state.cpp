#include "shard/shard_state.hpp"

#include <algorithm>

namespace cottonway {

namespace {

constexpr std::size_t kMaxImages = 64;
constexpr std::size_t kBindingBytes = 14;  // of a binding besides the machine's name

std::size_t binding_bytes(const Machine& m) {
    return m.name.size() + kBindingBytes;
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

void ShardState::bind(Job& job, int task, Machine& m, std::int64_t attempt) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const int errors = slot.errors;
    slot = Slot{};
    slot.errors = errors;
    slot.state = SlotState::Binding;
    slot.attempt = attempt;
    slot.machine = &m;
    --job.unbound;
    ++job.bound;
    auto& part = job.part_of(task);
    ++part.binding;
    part.bytes += binding_bytes(m);
    m.reserved += job.spec.request;
    if (job.rank == PriorityClass::Low) m.low_priority_cores += job.spec.request.cores;
    m.tasks.insert({&job, task});
    usage_[job.spec.team] += job.spec.request;
    remember_image(m, job, false);
}

void ShardState::release(Job& job, Slot& slot, Micros listened) {
    Machine& m = *slot.machine;
    const auto task = static_cast<int>(&slot - job.slots.data());
    auto& part = job.part_of(task);
    if (slot.state == SlotState::Binding) --part.binding;
    part.bytes -= binding_bytes(m);
    m.reserved -= job.spec.request;
    if (job.rank == PriorityClass::Low) m.low_priority_cores -= job.spec.request.cores;
    m.tasks.erase({&job, task});
    forget_unused_fetch(m, job);
    if (m.tasks.empty()) m.idle_since = listened;
    usage_[job.spec.team] -= job.spec.request;
    slot.machine = nullptr;
    slot.state = SlotState::Unbound;
    job.first_unbound = std::min(job.first_unbound, static_cast<std::size_t>(task));
    slot.seen = slot.inherited = slot.launch_sent = slot.stop_requested = false;
    --job.bound;
    ++job.unbound;
}

void ShardState::add_orphaned_task(Machine& m, const ReportedTask& t) {
    m.orphaned_tasks.push_back(t);
    ++orphaned_task_counts_[{t.job, t.task}];
}

void ShardState::forget_orphaned_tasks(Machine& m) {
    for (const auto& s : m.orphaned_tasks)
        if (--orphaned_task_counts_[{s.job, s.task}] <= 0) orphaned_task_counts_.erase({s.job, s.task});
    m.orphaned_tasks.clear();
}

void ShardState::remember_image(Machine& m, const Job& job, bool ready) {
    auto known = std::find_if(m.images.begin(), m.images.end(),
                              [&](const Machine::Image& i) { return i.name == job.spec.image; });
    if (known != m.images.end()) {
        known->ready = known->ready || ready;
        std::rotate(known, known + 1, m.images.end());
    } else {
        m.images.push_back({job.spec.image, job.spec.image_gb, ready});
    }
    Milli total = 0;
    for (const auto& i : m.images) total += i.gb;
    while (m.images.size() > 1 && (m.images.size() > kMaxImages || (m.type && total > m.type->cache_gb))) {
        total -= m.images.front().gb;
        m.images.erase(m.images.begin());
    }
}

/// A fetch is given up once no task waits for it any more.
void ShardState::forget_unused_fetch(Machine& m, const Job& job) {
    const bool waited_for = std::any_of(m.tasks.begin(), m.tasks.end(), [&](const TaskRef& t) {
        return t.job->spec.image == job.spec.image;
    });
    if (!waited_for)
        std::erase_if(m.images,
                      [&](const Machine::Image& i) { return !i.ready && i.name == job.spec.image; });
}

}  // namespace cottonway
