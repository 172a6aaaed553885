// ShardOwner: the stored records of its jobs. Reads and adopts them, batches changes, and writes them.

#include <algorithm>
#include <utility>

#include "cache/format_cache.hpp"
#include "cache/job_cache.hpp"
#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

constexpr Micros kMigrationInterval = kSecond;
constexpr Micros kStaleRecordDeletionInterval = 500 * kMillisecond;
constexpr std::size_t kManyStaleRecords = 200;
// For how long the final record of a job that was cancelled by a dependency may be deferred.
constexpr Micros kCancelledRecordDelay = 5 * kSecond;
// Done tasks of a job that goes on are written together. Until then their workers retain the results.
constexpr Micros kDoneTasksDelay = 4 * kSecond;
constexpr Micros kShortBatchDelay = 150 * kMillisecond;
constexpr Micros kLongBatchDelay = 500 * kMillisecond;
constexpr Micros kAdmissionTimeout = 1'500 * kMillisecond;  // after this the user is asked to try again
// After this time best-effort binds are no longer deferred and compete with other writes.
constexpr Micros kBestEffortBindDelay = 60 * kSecond;

}  // namespace

std::size_t compute_tasks_per_part(std::size_t value_bytes, std::size_t spec_bytes) {
    const std::size_t usable_bytes = value_bytes * 23 / 25;
    const std::size_t bytes_for_bindings =
        usable_bytes > spec_bytes + 100 ? usable_bytes - spec_bytes - 100 : 0;
    return std::clamp<std::size_t>(bytes_for_bindings / (kTypicalBindingBytes + 1), 16, 4096);
}

std::string ShardOwner::part_key(const Job& job, std::size_t part) const {
    const std::string& ref = job.spec.ref;
    return part == 0 ? record_key(job.record_location, ref)
                     : keys::job_part + ref + "/" + std::to_string(part);
}

/// Returns the conditions that the job's record is unchanged since it was read or written here, and not
/// final.
std::vector<Condition> ShardOwner::record_conditions(const Job& job) const {
    return JobCache::unchanged_conditions(job.spec.ref, job.record_location, job.parts[0].mod_revision,
                                          job.legacy_revision);
}

void ShardOwner::on_legacy_revision(const std::string& ref, Revision legacy_revision) {
    if (Job* job = shard_state_.job(ref))
        job->legacy_revision = std::max(job->legacy_revision, legacy_revision);
}

void ShardOwner::on_job(const std::string& ref, RecordLocation location, const Json& value,
                        Revision mod_revision) {
    Job* known = shard_state_.job(ref);
    if (!known) {
        if (wire::text(value, "dom") != shard_) return;
        const auto stage = wire::text(value, "s");
        const Json* spec = wire::find(value, "d");
        if (!spec || stage == "done") return;  // the job is over, and all of its tasks have terminated
        auto parsed = wire::parse_job(*spec);
        if (!parsed.spec) {
            spdlog::error("job {}: its record can't be parsed: {}", ref, parsed.error);
            return;
        }
        auto time_ms = [&](const char* key) -> std::optional<std::int64_t> {
            auto number = wire::number(value, key);
            return number ? std::optional(static_cast<std::int64_t>(*number)) : std::nullopt;
        };
        auto job = create_job(std::move(*parsed.spec), time_ms("at").value_or(0), time_ms("go"),
                              context_.dependency_status(ref));
        // Records of the previous version lack the number of tasks per part; it was 64.
        divide_into_parts(*job, std::max<std::size_t>(wire::count(value, "ps").value_or(64), 1));
        known = job.get();
        shard_state_.jobs.emplace(ref, std::move(job));
        if (known->cancelled_by_dependency) cancel(*known);
        known->backing_off = wire::flag(value, "er").value_or(false);
        known->record_location = location;
        adopt_part(*known, 0, value, mod_revision);
        plan_due_ = true;
        context_.wake();
        return;
    }
    Job& job = *known;
    // The job exists already: admitted by another controller, or by an earlier try whose write was executed
    // late. The record that waits here to be written would replace it.
    if (job.on_admitted && !job.parts[0].in_flight) return on_admission_failed(job, CommitStatus::Conflict);
    const bool is_late_write = location == RecordLocation::Job &&
                               job.record_location == RecordLocation::Active && wire::find(value, "d");
    // A cancellation is final, so it takes effect at once, even while the record is being written or read. If
    // the store is unreachable that may take long, while leases go on being renewed on the strength of the
    // read that delivered the cancellation.
    if (!is_late_write && mod_revision > job.parts[0].mod_revision && wire::text(value, "s") == "cancelled")
        cancel(job);
    // While a write of this owner is in flight its result decides: a newer record makes it fail.
    if (mod_revision <= job.parts[0].mod_revision || job.parts[0].in_flight || job.parts[0].reloading) return;
    // The job was transferred to another shard after all (see transfer_jobs): none of its tasks was ever
    // bound here.
    if (wire::text(value, "dom") != shard_) return drop_transferred_job(job);
    // A final record holds no tasks: taken as an ordinary one, the job would start all over again.
    if (!wire::find(value, "d")) return drop_job(ref);
    if (location == RecordLocation::Job && job.record_location == RecordLocation::Active)
        return;  // a late write of the old format, without effect
    if (location != job.record_location) job.legacy_revision = 0;
    job.record_location = location;
    adopt_part(job, 0, value, mod_revision);
    context_.wake();
}

std::unique_ptr<Job> ShardOwner::create_job(JobSpec spec, std::int64_t submitted_ms,
                                            std::optional<std::int64_t> dependencies_done_ms,
                                            const DependencyStatus& dependency_status) {
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->serial = next_serial_++;
    job->submitted_ms = submitted_ms;
    job->waiting_since = context_.runtime().now();
    job->unbound_tasks = job->spec.tasks;
    job->eligible_since_ms = dependencies_done_ms.value_or(submitted_ms);
    job->has_dependencies = dependencies_done_ms || !job->spec.dependencies.empty();
    job->rank = job->spec.priority_class;
    job->dependencies_done = job->spec.dependencies.empty();
    apply_dependency_status(*job, dependency_status);
    if (job->dependencies_done) job->slots.resize(static_cast<std::size_t>(job->spec.tasks));
    return job;
}

void ShardOwner::divide_into_parts(Job& job, std::size_t tasks_per_part) {
    job.tasks_per_part = tasks_per_part;
    job.parts.resize((static_cast<std::size_t>(job.spec.tasks) + tasks_per_part - 1) / tasks_per_part);
}

void ShardOwner::admit(JobSpec spec, std::int64_t submitted_ms, const DependencyStatus& dependency_status,
                       std::function<void(const Admission&)> done) {
    const std::string ref = spec.ref;
    if (shard_state_.job(ref)) return done({CommitStatus::Unknown, 0, {}});
    auto job = create_job(std::move(spec), submitted_ms, std::nullopt, dependency_status);
    auto dependencies = std::exchange(job->spec.dependencies,
                                      {});  // the record no longer contains them when its parts fill up
    divide_into_parts(*job, compute_tasks_per_part(context_.settings().max_value_bytes,
                                                   chunks::stored_size(part_value(*job, 0, false))));
    job->spec.dependencies = std::move(dependencies);
    if (context_.is_read_by_all(format::kSeparateActiveRecords))
        job->record_location = RecordLocation::Active;
    job->on_admitted = std::move(done);
    mark_part_dirty(*job, 0);
    shard_state_.jobs.emplace(ref, std::move(job));
    plan_due_ = true;
    last_planned_at_ = 0;  // tasks that fit on a machine now are bound by the change that admits the job
    context_.wake();
}

void ShardOwner::on_dependencies_changed(const std::string& ref) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    const DependencyStatus dependency_status = context_.dependency_status(ref);
    apply_dependency_status(*job, dependency_status);
    // For a job without any bound task this only writes the final record.
    if (dependency_status.cancelled_by_dependency && job->stage == Stage::Queued) cancel(*job);
    context_.wake();
}

void ShardOwner::apply_dependency_status(Job& job, const DependencyStatus& dependency_status) {
    job.has_dependents = dependency_status.has_dependents;
    job.cancelled_by_dependency = dependency_status.cancelled_by_dependency;
    job.deadline_ms = dependency_status.inherited_deadline_ms;
    if (job.spec.deadline)
        job.deadline_ms = std::min(job.deadline_ms, job.submitted_ms + *job.spec.deadline / kMillisecond);
    set_rank(job, std::min(job.spec.priority_class, dependency_status.inherited_priority));
    if (dependency_status.dependencies_met_ms > 0)
        job.eligible_since_ms = std::max(job.submitted_ms, dependency_status.dependencies_met_ms);
    if (dependency_status.dependencies_met && !dependency_status.cancelled_by_dependency &&
        !job.dependencies_done)
        on_dependencies_done(job);
}

/// All jobs that this one depends on are done, which is final. From here on it is scheduled like any other
/// job, and its record only keeps the time when it became eligible.
void ShardOwner::on_dependencies_done(Job& job) {
    job.dependencies_done = true;
    job.spec.dependencies.clear();
    job.slots.resize(static_cast<std::size_t>(job.spec.tasks));
    job.waiting_since = context_.runtime().now();
    plan_due_ = true;
    last_planned_at_ = 0;
}

void ShardOwner::set_rank(Job& job, PriorityClass rank) {
    if (job.rank == rank) return;
    // The cores of its bound tasks now count as low-priority work, or no longer do.
    const bool was_low = job.rank == PriorityClass::Low, is_low = rank == PriorityClass::Low;
    job.rank = rank;
    plan_due_ = true;
    if (was_low == is_low) return;
    for (auto& slot : job.slots)
        if (slot.machine)
            slot.machine->low_priority_cores += is_low ? job.spec.request.cores : -job.spec.request.cores;
}

/// Handles a job whose admission failed or has an unknown outcome. None of its tasks was launched.
void ShardOwner::on_admission_failed(Job& job, CommitStatus status) {
    auto on_admitted = std::exchange(job.on_admitted, nullptr);
    const std::string ref = job.spec.ref;
    drop_transferred_job(job);
    apply_cached_record(ref);
    if (on_admitted) on_admitted({status, 0, {}});
}

/// Applies the records of a job that the change feed has delivered so far. Records that arrive while a write
/// of this owner is in flight are ignored, since the result of the write decides. If that write changed
/// nothing, they are applied here, because the feed does not deliver them again: the job may have been
/// admitted into this shard by an earlier try that was executed late or by another controller, or it may have
/// been cancelled.
void ShardOwner::apply_cached_record(const std::string& ref) {
    const LiveJob* cached = context_.stored_job(ref);
    if (!cached || cached->shard != shard_) return;
    on_job(ref, cached->record_location, cached->record, cached->mod_revision);
    on_legacy_revision(ref, cached->legacy_revision);
    for (const auto& [part, value] : cached->parts) on_part(ref, part, value.first, value.second);
}

void ShardOwner::on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) {
    Job* job = shard_state_.job(ref);
    if (!job || part == 0 || part >= job->parts.size()) return;
    auto& stored_part = job->parts[part];
    if (mod_revision <= stored_part.mod_revision || stored_part.in_flight || stored_part.reloading) return;
    adopt_part(*job, part, value, mod_revision);
}

/// Updates the job's state from a stored part, which determines what is durable.
void ShardOwner::adopt_part(Job& job, std::size_t part, const Json& value, Revision mod_revision) {
    if (part == 0 && mod_revision > job.parts[0].mod_revision)
        job.transferring = false;  // the transfer fails because the revision has changed
    job.parts[part].mod_revision = mod_revision;
    const bool was_dirty = job.parts[part].dirty;
    const std::size_t first = part * job.tasks_per_part;
    const std::size_t last = std::min(job.slots.size(), first + job.tasks_per_part);
    job.next_attempt = std::max<std::int64_t>(job.next_attempt,
                                              static_cast<std::int64_t>(wire::count(value, "n").value_or(1)));
    if (auto done_bits = wire::text(value, "f")) {
        for (std::size_t i = first; i < last && (i - first) / 4 < done_bits->size(); ++i) {
            const char digit = (*done_bits)[(i - first) / 4];
            const int nibble = digit >= 'a' ? digit - 'a' + 10 : digit - '0';
            if ((nibble >> ((i - first) % 4)) & 1) {
                if (job.slots[i].state != SlotState::Done) mark_done(job, static_cast<int>(i));
                job.slots[i].state = SlotState::Done;
            }
        }
    }
    job.parts[part].dirty = was_dirty;
    auto bound = [&](std::size_t task, std::int64_t attempt, const std::string& machine) {
        if (task < first || task >= last) return;
        Slot& slot = job.slots[task];
        job.next_attempt = std::max(job.next_attempt, attempt + 1);
        // Only the same attempt on the same machine is the binding made here. The same attempt on another
        // machine was made by another owner.
        if (slot.state == SlotState::Binding && slot.attempt == attempt && slot.machine->name == machine) {
            slot.state = SlotState::Bound;
            --job.parts[part].pending_binds;
            request_dispatch(*slot.machine);
            return;
        }
        if (slot.state != SlotState::Unbound || slot.attempt >= attempt) return;
        auto found = shard_state_.machines.find(machine);
        // The shard no longer has the machine: it was confirmed removed, or was transferred while it was
        // empty.
        if (found == shard_state_.machines.end()) return;
        shard_state_.bind(job, static_cast<int>(task), *found->second, attempt);
        --job.parts[part].pending_binds;
        slot.state = SlotState::Bound;
        slot.inherited = true;
        slot.launch_sent = true;
        slot.launch_token = mod_revision_ - 1;
        slot.launch_session = UINT64_MAX;
    };
    if (const Json* bindings = wire::find(value, "b"); bindings && bindings->is_array()) {
        for (const auto& binding : *bindings) {
            if (!binding.is_array() || binding.size() < 3 || !binding[0].is_number_integer()) continue;
            if (binding[1].is_string()) {  // attempt, machine, tasks
                for (std::size_t i = 2; i < binding.size(); ++i)
                    if (binding[i].is_number_integer())
                        bound(binding[i].get<std::size_t>(), binding[0].get<std::int64_t>(),
                              binding[1].get<std::string>());
            } else if (binding[1].is_number_integer() &&
                       binding[2].is_string()) {  // format of the previous version: task, attempt, machine
                bound(binding[0].get<std::size_t>(), binding[1].get<std::int64_t>(),
                      binding[2].get<std::string>());
            }
        }
    }
    // One done task proves that its whole gang is done, also for an owner that did not see it end. Other
    // tasks of the gang that were started again would wait for the done one forever.
    if (job.spec.kind == JobKind::Gang && job.done_tasks > 0) {
        job.gang_done = true;
        for (std::size_t i = first; i < last; ++i)
            if (job.slots[i].state == SlotState::Unbound) mark_done(job, static_cast<int>(i));
    }
    for (std::size_t i = first; i < last; ++i)
        if (job.slots[i].state == SlotState::Binding) mark_part_dirty(job, part);
    // Tasks bound by a later part are cancelled as well: only part 0 says that the job is cancelled.
    if (job.stage == Stage::Cancelled || (part == 0 && wire::text(value, "s") == "cancelled")) cancel(job);
    dirty_jobs_.insert(job.spec.ref);
    flush_due_ = true;
}

Json ShardOwner::part_value(const Job& job, std::size_t part, bool final_record) const {
    const std::size_t first = std::min(part * job.tasks_per_part, job.slots.size());
    const std::size_t last = std::min(job.slots.size(), first + job.tasks_per_part);
    Json record = Json::object();
    if (part == 0) {
        record["s"] = job.stage == Stage::Cancelled ? "cancelled" : final_record ? "done" : "queued";
        record["k"] = job.spec.tasks;
        record["dom"] = shard_;
        if (final_record) {
            record["fd"] = job.done_tasks;
            // Jobs that depend on this one are eligible from this time.
            if (job.stage != Stage::Cancelled && context_.is_read_by_all(format::kChunksAndDependencies))
                record["end"] = context_.runtime().wall_clock_ms();
            return record;
        }
        record["d"] = wire::job_value(job.spec);
        record["at"] = job.submitted_ms;
        if (job.has_dependencies && job.dependencies_done) record["go"] = job.eligible_since_ms;
        record["ps"] = job.tasks_per_part;
        record["fd"] = job.done_tasks;
        record["fr"] = job.bound_tasks;
        if (job.backing_off) record["er"] = true;
    }
    record["n"] = job.next_attempt;
    // Bindings are grouped by attempt and machine because the size of a value is limited.
    std::map<std::pair<std::int64_t, std::string>, std::vector<std::size_t>> bindings;
    std::string done_bits((last - first + 3) / 4, '0');
    bool any_done = false;
    for (std::size_t i = first; i < last; ++i) {
        const Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound)
            bindings[{slot.attempt, slot.machine->name}].push_back(i);
        if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) {
            auto& digit = done_bits[(i - first) / 4];
            int nibble = digit >= 'a' ? digit - 'a' + 10 : digit - '0';
            nibble |= 1 << ((i - first) % 4);
            digit = static_cast<char>(nibble < 10 ? '0' + nibble : 'a' + nibble - 10);
            any_done = true;
        }
    }
    if (!bindings.empty()) {
        Json list = Json::array();
        for (const auto& [key, tasks] : bindings) {
            Json entry = Json::array({key.first, key.second});
            for (auto t : tasks) entry.push_back(t);
            list.push_back(std::move(entry));
        }
        record["b"] = std::move(list);
    }
    if (any_done) record["f"] = done_bits;
    return record;
}

void ShardOwner::mark_part_dirty(Job& job, std::size_t part) {
    auto& changed_part = job.parts[part];
    if (!changed_part.dirty) changed_part.dirty_since = context_.runtime().now();
    changed_part.dirty = true;
    dirty_jobs_.insert(job.spec.ref);
    flush_due_ = true;
}

/// Writes the parts that have to become durable, the most urgent first, as far as the store's rate limit
/// allows now. A part that is not written yet collects further changes and is written once.
void ShardOwner::flush_jobs() {
    const Micros now = context_.runtime().now();
    struct DueWrite {
        Priority priority;
        Micros since;
        Job* job;
        std::size_t part;
    };
    std::vector<DueWrite> due_writes;
    for (auto it = dirty_jobs_.begin(); it != dirty_jobs_.end();) {
        Job* job = shard_state_.job(*it);
        if (!job) {
            it = dirty_jobs_.erase(it);
            continue;
        }
        if (job->on_admitted) {
            auto& part = job->parts[0];
            if (!part.in_flight && !part.reloading) {
                if (now - part.dirty_since > kAdmissionTimeout) {
                    it = dirty_jobs_.erase(it);
                    on_admission_failed(*job, CommitStatus::Unavailable);
                    continue;
                }
                const Priority priority =
                    job->rank == PriorityClass::Low ? Priority::Normal : Priority::Urgent;
                due_writes.push_back({priority, part.dirty_since, job, 0});
            }
            ++it;
            continue;
        }
        // The final record covers all parts, so no other part is written any more.
        const bool is_over = job->is_over();
        bool needs_write = false;
        bool write_in_flight = false;
        for (const auto& part : job->parts)
            write_in_flight = write_in_flight || part.in_flight || part.reloading;
        if (is_over) {
            needs_write = true;
            if (!write_in_flight && now >= job->parts[0].not_before) {
                if (!job->parts[0].dirty) mark_part_dirty(*job, 0);
                // Jobs that depend on this one wait for its final record. If it was cancelled by a dependency
                // that can wait, since every controller derives it from the dependency.
                const bool is_deferrable =
                    job->cancelled_by_dependency && now - job->parts[0].dirty_since < kCancelledRecordDelay;
                due_writes.push_back({is_deferrable         ? Priority::Deferrable
                                      : job->has_dependents ? Priority::Urgent
                                                            : Priority::Normal,
                                      job->parts[0].dirty_since, job, 0});
            }
        } else {
            for (std::size_t index = 0; index < job->parts.size(); ++index) {
                const auto& part = job->parts[index];
                if (!part.dirty) continue;
                needs_write = true;
                if (part.in_flight || part.reloading || now < part.not_before) continue;
                // Each part is written on the condition that the job's record stays unchanged.
                if (index == 0 ? write_in_flight : job->parts[0].in_flight || job->parts[0].reloading)
                    continue;
                const bool transfer_undone = index == 0 && job->transferring;  // the job stays here after all
                if (!transfer_undone && now - part.dirty_since < batching_delay(*job, part.pending_binds > 0))
                    continue;
                const bool is_deferrable =
                    job->is_best_effort() && now - part.dirty_since < kBestEffortBindDelay;
                const Priority priority = transfer_undone                            ? Priority::Normal
                                          : part.pending_binds == 0 || is_deferrable ? Priority::Deferrable
                                          : job->rank <= PriorityClass::High         ? Priority::Urgent
                                                                                     : Priority::Normal;
                due_writes.push_back({priority, part.dirty_since, job, index});
            }
        }
        it = needs_write ? std::next(it) : dirty_jobs_.erase(it);
    }
    std::stable_sort(due_writes.begin(), due_writes.end(), [this](const DueWrite& a, const DueWrite& b) {
        auto key = [this](const DueWrite& write) {
            return std::tuple(write.priority, tier(*write.job) != policy::Tier::Live, write.since);
        };
        return key(a) < key(b);
    });
    for (const auto& write : due_writes) {
        if (!context_.store().has_write_budget(write.priority)) break;
        write_part(*write.job, write.part, write.priority);
    }
}

/// Returns for how long changes of a part are batched before they are written: the longer, the less of the
/// store's write rate is left. Binds of production jobs and of classes with a wait-time objective are not
/// delayed.
Micros ShardOwner::batching_delay(const Job& job, bool has_binds) const {
    const double level = context_.store().write_budget_level();
    if (!has_binds) return level < 0.5 ? 2 * kDoneTasksDelay : kDoneTasksDelay;
    if (job.rank == PriorityClass::Production ||
        !context_.settings().objective_time_limits("wait", job.spec.job_class).empty())
        return 0;
    return level < 0.3 ? kLongBatchDelay : level < 0.6 ? kShortBatchDelay : 0;
}

void ShardOwner::write_part(Job& job, std::size_t index, Priority priority) {
    const std::string ref = job.spec.ref;
    auto& part = job.parts[index];
    const bool final_record = index == 0 && job.is_over();
    Change change;
    change.priority = priority;
    // The write precedes the launches, and is conditional on the records known here: a former owner can't
    // bind, and a cancelled job can't be bound.
    change.conditions = record_conditions(job);
    change.conditions.push_back({keys::shard + shard_, mod_revision_});
    if (index > 0) change.conditions.push_back({part_key(job, index), part.mod_revision});
    // A record of the old format must not be added once that format is closed (c/history), nor next to a
    // record of the new format.
    if (job.on_admitted && job.record_location == RecordLocation::Job) {
        change.conditions.push_back({keys::active + ref, 0});
        change.conditions.push_back({keys::history, 0});
    }
    Json value = part_value(job, index, final_record);
    std::vector<AttemptKey> bound_attempts;
    std::vector<int> done_tasks;
    const std::size_t first = index * job.tasks_per_part;
    for (std::size_t i = first; i < std::min(job.slots.size(), first + job.tasks_per_part); ++i) {
        if (job.slots[i].state == SlotState::Binding)
            bound_attempts.push_back({ref, static_cast<int>(i), job.slots[i].attempt});
        if (job.slots[i].state == SlotState::DonePending) done_tasks.push_back(static_cast<int>(i));
    }
    // A record of the old format moves to its new key while the store has unused write rate.
    const bool migrates =
        index == 0 && !final_record && !job.on_admitted && job.record_location == RecordLocation::Job &&
        context_.is_read_by_all(format::kSeparateActiveRecords) && context_.store().is_quiet();
    const RecordLocation location = migrates ? RecordLocation::Active : job.record_location;
    if (migrates) {
        change.conditions.push_back({keys::active + ref, 0});
        change.writes.push_back({keys::job + ref, Json()});
    }
    change.writes.push_back({final_record ? keys::job + ref
                             : index == 0 ? record_key(location, ref)
                                          : part_key(job, index),
                             value});
    // The final record deletes the one under c/active/ if the store has unused write rate. Otherwise that is
    // deleted later (see delete_stale_records).
    const bool deletes_active =
        final_record && job.record_location == RecordLocation::Active && context_.store().is_quiet();
    if (deletes_active) change.writes.push_back({keys::active + ref, Json()});
    change.purpose = job.on_admitted          ? "admit"
                     : final_record           ? "over"
                     : bound_attempts.empty() ? "done"
                                              : "bind";
    part.dirty = false;
    part.in_flight = true;
    if (!job.on_admitted && !final_record)
        value = nullptr;  // only admissions and final records are needed afterwards
    const Condition stale_record{
        keys::active + ref, final_record && !deletes_active && job.record_location == RecordLocation::Active
                                ? job.parts[0].mod_revision
                                : 0};
    context_.store().commit(
        std::move(change), [this, alive = alive_, ref, index, value = std::move(value), final_record,
                            bound_attempts, done_tasks, location, stale_record](const CommitResult& result) {
            if (!*alive) return;
            if (result.status == CommitStatus::Ok && stale_record.mod_revision > 0)
                stale_records_.push_back(stale_record);
            on_part_written(ref, index, value, final_record, bound_attempts, done_tasks, location, result);
        });
}

void ShardOwner::on_part_written(const std::string& ref, std::size_t index, const Json& value,
                                 bool final_record, const std::vector<AttemptKey>& bound_attempts,
                                 const std::vector<int>& done_tasks, RecordLocation location,
                                 const CommitResult& result) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    auto& part = job->parts[index];
    part.in_flight = false;
    flush_due_ = true;
    context_.wake();
    if (result.status == CommitStatus::Ok) {
        part.mod_revision = result.revision;
        if (index == 0) job->transferring = false;
        if (location != job->record_location) job->legacy_revision = 0;
        job->record_location = location;
        for (const auto& key : bound_attempts) {
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state != SlotState::Binding || slot.attempt != key.attempt) continue;
            slot.state = SlotState::Bound;
            --part.pending_binds;
            request_dispatch(*slot.machine);
        }
        for (int task : done_tasks) {
            Slot& slot = job->slots[static_cast<std::size_t>(task)];
            if (slot.state == SlotState::DonePending) slot.state = SlotState::Done;
        }
        if (final_record) {
            spdlog::info("job {}: {}", ref,
                         job->stage == Stage::Cancelled ? "cancelled, all of its tasks are gone" : "done");
            drop_job(ref);
            // Earlier records that the change feed still delivers must not restore the job.
            return context_.on_job_finalized(ref, value, result.revision);
        }
        dirty_jobs_.insert(ref);
        if (auto on_admitted = std::exchange(job->on_admitted, nullptr))
            on_admitted({CommitStatus::Ok, result.revision, value, location});
        return;
    }
    if (result.status == CommitStatus::Conflict &&
        std::find(result.failed.begin(), result.failed.end(), keys::shard + shard_) != result.failed.end())
        return context_.on_ownership_lost(shard_);
    if (job->on_admitted && result.status != CommitStatus::Unknown)
        return on_admission_failed(*job, result.status);
    if (auto unanswered = std::exchange(job->on_admitted, nullptr))
        unanswered({CommitStatus::Unknown, 0, {}});
    if (result.status == CommitStatus::Unavailable) {
        part.not_before = context_.runtime().now() + 150 * kMillisecond;
        return mark_part_dirty(*job, index);
    }
    // A change that the store rejects is not repeated at once.
    if (result.status == CommitStatus::Rejected)
        part.not_before = context_.runtime().now() + kRejectedRetryDelay;
    // The record shows whether the change was executed.
    reload_part(ref, index);
    if (index > 0) reload_part(ref, 0);
}

void ShardOwner::reload_part(const std::string& ref, std::size_t index) {
    Job* known = shard_state_.job(ref);
    if (!known) return;
    auto& part = known->parts[index];
    if (part.reloading || part.in_flight) return;
    part.reloading = true;
    read_record(ref, index,
                [this, alive = alive_, ref, index](const ReadResult& result, RecordLocation location,
                                                   Revision legacy_revision) {
                    if (!*alive) return;
                    Job* job = shard_state_.job(ref);
                    if (!job) return;
                    if (!result.ok) return reload_part_later(ref, index);
                    // The record shows the outcome of this owner's writes only as long as it holds the shard:
                    // a new owner numbers its attempts from the same record, and its binds must not be taken
                    // for unanswered ones of this owner.
                    Change ownership_check;
                    ownership_check.conditions.push_back({keys::shard + shard_, mod_revision_});
                    context_.store().commit(
                        std::move(ownership_check), [this, alive, ref, index, result, location,
                                                     legacy_revision](const CommitResult& check) {
                            if (!*alive) return;
                            if (check.status == CommitStatus::Conflict)
                                return context_.on_ownership_lost(shard_);
                            if (check.status != CommitStatus::Ok) return reload_part_later(ref, index);
                            on_part_reloaded(ref, index, result, location, legacy_revision);
                        });
                });
}

/// Reads a job's record, which may be under either key. A final record under c/job/ takes precedence over a
/// record under c/active/, which takes precedence over one under c/job/ that is not final.
void ShardOwner::read_record(const std::string& ref, std::size_t index,
                             std::function<void(const ReadResult&, RecordLocation, Revision)> done) {
    if (index > 0)
        return context_.store().read(
            keys::job_part + ref + "/" + std::to_string(index),
            [done = std::move(done)](const ReadResult& result) { done(result, RecordLocation::Job, 0); });
    context_.store().read(
        keys::job + ref, [this, alive = alive_, ref, done = std::move(done)](const ReadResult& job) {
            if (!*alive) return;
            const bool final = job.found && !wire::find(job.value, "d");
            if (!job.ok || final || !context_.is_read_by_all(format::kSeparateActiveRecords))
                return done(job, RecordLocation::Job, 0);
            context_.store().read(keys::active + ref, [job, done](const ReadResult& active) {
                if (!active.ok || active.found) return done(active, RecordLocation::Active, job.mod_revision);
                done(job, RecordLocation::Job, 0);
            });
        });
}

void ShardOwner::reload_part_later(const std::string& ref, std::size_t index) {
    context_.runtime().after(300 * kMillisecond, [this, alive = alive_, ref, index] {
        if (!*alive) return;
        if (Job* job = shard_state_.job(ref)) job->parts[index].reloading = false;
        reload_part(ref, index);
    });
}

void ShardOwner::on_part_reloaded(const std::string& ref, std::size_t index, const ReadResult& result,
                                  RecordLocation location, Revision legacy_revision) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    job->parts[index].reloading = false;
    const auto stage = wire::text(result.value, "s");
    if (index == 0 &&
        (!result.found || stage == "done" || (stage == "cancelled" && !wire::find(result.value, "d")))) {
        // The final write was executed after all.
        if (job->record_location == RecordLocation::Active)
            stale_records_.push_back({keys::active + ref, job->parts[0].mod_revision});
        drop_job(ref);
        if (!result.found) return apply_cached_record(ref);
        return context_.on_job_finalized(ref, result.value, result.mod_revision);
    }
    if (index == 0 && wire::text(result.value, "dom") != shard_) return drop_transferred_job(*job);
    // The admission got no answer, and the stored job has another specification: it is the admission of
    // another controller.
    if (const Json* spec = wire::find(result.value, "d");
        index == 0 && job->parts[0].mod_revision == 0 && spec && *spec != wire::job_value(job->spec)) {
        drop_transferred_job(*job);
        on_job(ref, location, result.value, result.mod_revision);
        return apply_cached_record(ref);
    }
    if (index == 0) {
        job->record_location = location;
        job->legacy_revision = legacy_revision;
    }
    if (result.found) adopt_part(*job, index, result.value, result.mod_revision);
    // adopt_part has set the done tasks that are durable; the others are written again.
    mark_part_dirty(*job, index);
    context_.wake();
}

/// Moves one job's record of the old format (under c/job/) to c/active/ by writing it again, while the store
/// has unused write rate.
void ShardOwner::migrate_legacy_record() {
    const Micros now = context_.runtime().now();
    if (!context_.is_read_by_all(format::kSeparateActiveRecords) ||
        now - last_record_migration_at_ < kMigrationInterval || !context_.store().is_quiet())
        return;
    last_record_migration_at_ = now;
    for (auto& [ref, job] : shard_state_.jobs) {
        const auto& part = job->parts[0];
        if (job->record_location != RecordLocation::Job || job->on_admitted || part.dirty || part.in_flight ||
            part.reloading)
            continue;
        return mark_part_dirty(*job, 0);
    }
}

/// Deletes records under c/active/ of jobs that are over, while the store has unused write rate. The next
/// owner of the shard finds those that are left.
void ShardOwner::delete_stale_records() {
    // One at a time, since all owners see the same unused write rate and would use it up together. Each
    // record that is left is one more that a starting owner has to check, so above a number of them they
    // compete with other deferrable writes.
    const Micros now = context_.runtime().now();
    const bool has_many = stale_records_.size() > kManyStaleRecords;
    if (!stale_records_.empty() &&
        now - last_record_deletion_at_ >=
            (has_many ? kStaleRecordDeletionInterval / 4 : kStaleRecordDeletionInterval) &&
        (has_many ? context_.store().has_write_budget(Priority::Deferrable) : context_.store().is_quiet())) {
        last_record_deletion_at_ = now;
        const Condition stale_record = stale_records_.back();
        stale_records_.pop_back();
        context_.store().commit(JobCache::deletion_change(stale_record), [this, alive = alive_, stale_record](
                                                                             const CommitResult& result) {
            // Repeated if it was rejected or got no answer. It depends on the record's revision, so it is
            // executed at most once.
            if (*alive && result.status != CommitStatus::Ok && result.status != CommitStatus::Conflict)
                stale_records_.push_back(stale_record);
        });
    }
}

/// Drops a job whose record names another shard. Binds that wait here to be written fail because the record's
/// revision has changed, so they were never launched. There are no other binds, since only jobs that were
/// never bound are transferred.
void ShardOwner::drop_transferred_job(Job& job) {
    // Another controller has admitted the job meanwhile.
    if (auto on_admitted = std::exchange(job.on_admitted, nullptr))
        on_admitted({CommitStatus::Conflict, 0, {}});
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) set_unbound(job, slot);
    shard_state_.jobs.erase(std::string(job.spec.ref));
}

void ShardOwner::drop_job(const std::string& ref) {
    auto it = shard_state_.jobs.find(ref);
    if (it == shard_state_.jobs.end()) return;
    Job& job = *it->second;
    if (auto on_admitted = std::exchange(job.on_admitted, nullptr))
        on_admitted({CommitStatus::Conflict, 0, {}});
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        auto state = job.slots[i].state;
        if (state == SlotState::Binding || state == SlotState::Bound)
            on_attempt_terminated(job, static_cast<int>(i), 0);
    }
    for (std::size_t part = 1; part < job.parts.size(); ++part) {
        if (job.parts[part].mod_revision == 0) continue;
        Change change;
        change.priority = Priority::Deferrable;
        change.conditions.push_back({keys::shard + shard_, mod_revision_});
        change.writes.push_back({part_key(job, part), Json()});
        change.purpose = "cleanup";
        context_.store().commit(std::move(change), [](const CommitResult&) {});
    }
    shard_state_.jobs.erase(it);
    plan_due_ = true;
    context_.wake();
}

}  // namespace cottonway
