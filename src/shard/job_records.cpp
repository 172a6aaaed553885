// The owner and the records of its jobs: what is read, adopted, gathered and written.

#include <algorithm>
#include <utility>

#include "cache/format_cache.hpp"
#include "cache/job_cache.hpp"
#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

constexpr Micros kMoveEvery = kSecond;
constexpr Micros kDropEvery = 500 * kMillisecond;
constexpr std::size_t kManyLeftOver = 200;
constexpr Micros kOrphanPatience = 5 * kSecond;  // of records of jobs that are cancelled with another
// Done tasks of a job that goes on are written together: until then their workers keep the results.
constexpr Micros kDefer = 4 * kSecond;
constexpr Micros kGatherShort = 150 * kMillisecond;
constexpr Micros kGatherLong = 500 * kMillisecond;
constexpr Micros kAdmitPatience = 1'500 * kMillisecond;  // then the user had better come back
constexpr Micros kIdlePatience = 60 * kSecond;  // of binds of idle work, before they compete with others

}  // namespace

std::size_t part_tasks_for(std::size_t value_bytes, std::size_t spec_bytes) {
    const std::size_t room = value_bytes * 23 / 25;
    const std::size_t left = room > spec_bytes + 100 ? room - spec_bytes - 100 : 0;
    return std::clamp<std::size_t>(left / (kUsualBindingBytes + 1), 16, 4096);
}

std::string ShardOwner::key_of(const Job& job, std::size_t part) const {
    const std::string& ref = job.spec.ref;
    return part == 0 ? record_key(job.place, ref) : keys::job_part + ref + "/" + std::to_string(part);
}

/// The job's record is as we know it, and it is not over.
std::vector<Condition> ShardOwner::as_known(const Job& job) const {
    return JobCache::as_known(job.spec.ref, job.place, job.parts[0].mod_revision, job.legacy_revision);
}

void ShardOwner::on_legacy_revision(const std::string& ref, Revision legacy_revision) {
    if (Job* job = shard_state_.job(ref))
        job->legacy_revision = std::max(job->legacy_revision, legacy_revision);
}

void ShardOwner::on_job(const std::string& ref, RecordLocation place, const Json& value,
                        Revision mod_revision) {
    Job* known = shard_state_.job(ref);
    if (!known) {
        if (wire::text(value, "dom") != shard_) return;
        const auto stage = wire::text(value, "s");
        const Json* spec = wire::find(value, "d");
        if (!spec || stage == "done") return;  // over, and all of it is gone
        auto parsed = wire::parse_job(*spec);
        if (!parsed.spec) {
            spdlog::error("job {}: its record is broken: {}", ref, parsed.error);
            return;
        }
        auto ms = [&](const char* key) -> std::optional<std::int64_t> {
            auto v = wire::number(value, key);
            return v ? std::optional(static_cast<std::int64_t>(*v)) : std::nullopt;
        };
        auto job =
            new_job(std::move(*parsed.spec), ms("at").value_or(0), ms("go"), context_.dependency_status(ref));
        // The previous version's records don't tell and have 64 tasks a part.
        divide(*job, std::max<std::size_t>(wire::count(value, "ps").value_or(64), 1));
        known = job.get();
        shard_state_.jobs.emplace(ref, std::move(job));
        if (known->cancelled_by_dependency) cancel(*known);
        known->backing_off = wire::flag(value, "er").value_or(false);
        known->place = place;
        adopt_part(*known, 0, value, mod_revision);
        plan_due_ = true;
        context_.wake();
        return;
    }
    Job& job = *known;
    // The job is there: admitted by another controller, or by an earlier try that came late. What waits here
    // to be written would take its place.
    if (job.admitting && !job.parts[0].in_flight) return not_admitted(job, CommitStatus::Conflict);
    const bool late =
        place == RecordLocation::Job && job.place == RecordLocation::Active && wire::find(value, "d");
    // Cancelled is final, so it holds at once, whatever of the record is being written or read: with the
    // store out of reach that may take for long, and leases go on being renewed by the look that told of it.
    if (!late && mod_revision > job.parts[0].mod_revision && wire::text(value, "s") == "cancelled")
        cancel(job);
    // While a write of ours is under way its result will tell; a later record makes it fail.
    if (mod_revision <= job.parts[0].mod_revision || job.parts[0].in_flight || job.parts[0].reloading) return;
    // Given away after all (see rehome): nothing of it was ever bound here.
    if (wire::text(value, "dom") != shard_) return given_away(job);
    // A final record holds no tasks: taken as an ordinary one, the job would start all over again.
    if (!wire::find(value, "d")) return drop_job(ref);
    if (place == RecordLocation::Job && job.place == RecordLocation::Active)
        return;  // it came late and counts for nothing
    if (place != job.place) job.legacy_revision = 0;
    job.place = place;
    adopt_part(job, 0, value, mod_revision);
    context_.wake();
}

std::unique_ptr<Job> ShardOwner::new_job(JobSpec spec, std::int64_t submitted_ms,
                                         std::optional<std::int64_t> gate_ms,
                                         const DependencyStatus& dependency_status) {
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->serial = next_serial_++;
    job->submitted_ms = submitted_ms;
    job->waiting_since = context_.runtime().now();
    job->idle = job->spec.tasks;
    job->since_ms = gate_ms.value_or(submitted_ms);
    job->has_dependencies = gate_ms || !job->spec.dependencies.empty();
    job->rank = job->spec.priority_class;
    job->open = job->spec.dependencies.empty();
    apply_dependency_status(*job, dependency_status);
    if (job->open) job->slots.resize(static_cast<std::size_t>(job->spec.tasks));
    return job;
}

void ShardOwner::divide(Job& job, std::size_t part_tasks) {
    job.part_tasks = part_tasks;
    job.parts.resize((static_cast<std::size_t>(job.spec.tasks) + part_tasks - 1) / part_tasks);
}

void ShardOwner::admit(JobSpec spec, std::int64_t submitted_ms, const DependencyStatus& dependency_status,
                       std::function<void(const Admission&)> done) {
    const std::string ref = spec.ref;
    if (shard_state_.job(ref)) return done({CommitStatus::Unknown, 0, {}});
    auto job = new_job(std::move(spec), submitted_ms, std::nullopt, dependency_status);
    auto needs = std::exchange(job->spec.dependencies, {});  // gone by the time when its parts fill
    divide(*job, part_tasks_for(context_.settings().max_value_bytes,
                                chunks::stored_size(part_value(*job, 0, false))));
    job->spec.dependencies = std::move(needs);
    if (context_.all_read(format::kHistory)) job->place = RecordLocation::Active;
    job->admitting = std::move(done);
    touch(*job, 0);
    shard_state_.jobs.emplace(ref, std::move(job));
    plan_due_ = true;
    planned_at_ = 0;  // what finds room now is bound by the change that admits it
    context_.wake();
}

void ShardOwner::reconsider(const std::string& ref) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    const DependencyStatus dependency_status = context_.dependency_status(ref);
    apply_dependency_status(*job, dependency_status);
    // What nothing of has been bound yet is cancelled by its record alone.
    if (dependency_status.cancelled_by_dependency && job->stage == Stage::Queued) cancel(*job);
    context_.wake();
}

void ShardOwner::apply_dependency_status(Job& job, const DependencyStatus& dependency_status) {
    job.needed = dependency_status.needed;
    job.cancelled_by_dependency = dependency_status.cancelled_by_dependency;
    job.due_ms = dependency_status.due_ms;
    if (job.spec.deadline)
        job.due_ms = std::min(job.due_ms, job.submitted_ms + *job.spec.deadline / kMillisecond);
    set_rank(job, std::min(job.spec.priority_class, dependency_status.rank));
    if (dependency_status.since_ms > 0) job.since_ms = std::max(job.submitted_ms, dependency_status.since_ms);
    if (dependency_status.open && !dependency_status.cancelled_by_dependency && !job.open) open_gate(job);
}

/// All that it needs are done, which is final: from here on it is a job like any other, and its record tells
/// only since when.
void ShardOwner::open_gate(Job& job) {
    job.open = true;
    job.spec.dependencies.clear();
    job.slots.resize(static_cast<std::size_t>(job.spec.tasks));
    job.waiting_since = context_.runtime().now();
    plan_due_ = true;
    planned_at_ = 0;
}

void ShardOwner::set_rank(Job& job, PriorityClass rank) {
    if (job.rank == rank) return;
    // What of it is bound already counts as idle work, or no longer does.
    const bool was_idle = job.rank == PriorityClass::Low, is_idle = rank == PriorityClass::Low;
    job.rank = rank;
    plan_due_ = true;
    if (was_idle == is_idle) return;
    for (auto& slot : job.slots)
        if (slot.machine)
            slot.machine->idle_work += is_idle ? job.spec.request.cores : -job.spec.request.cores;
}

/// Nothing of it is durable, or nobody knows (then its record is read): nothing of it was launched.
void ShardOwner::not_admitted(Job& job, CommitStatus status) {
    auto done = std::exchange(job.admitting, nullptr);
    const std::string ref = job.spec.ref;
    given_away(job);
    take_heard(ref);
    if (done) done({status, 0, {}});
}

/// News of a job is left to the result of a change of ours that is under way. Where that changes nothing, it
/// is taken up here: nobody tells again that the job was admitted into this shard all the same, by an
/// earlier try that came late or by another controller, or that it was cancelled.
void ShardOwner::take_heard(const std::string& ref) {
    const LiveJob* heard = context_.stored_job(ref);
    if (!heard || heard->shard != shard_) return;
    on_job(ref, heard->place, heard->record, heard->mod_revision);
    on_legacy_revision(ref, heard->legacy_revision);
    for (const auto& [part, value] : heard->parts) on_part(ref, part, value.first, value.second);
}

void ShardOwner::on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) {
    Job* job = shard_state_.job(ref);
    if (!job || part == 0 || part >= job->parts.size()) return;
    auto& p = job->parts[part];
    if (mod_revision <= p.mod_revision || p.in_flight || p.reloading) return;
    adopt_part(*job, part, value, mod_revision);
}

/// Takes a stored part as the truth about what is durable.
void ShardOwner::adopt_part(Job& job, std::size_t part, const Json& value, Revision mod_revision) {
    if (part == 0 && mod_revision > job.parts[0].mod_revision)
        job.leaving = false;  // giving it away fails on the mark
    job.parts[part].mod_revision = mod_revision;
    const bool was_dirty = job.parts[part].dirty;
    const std::size_t first = part * job.part_tasks;
    const std::size_t last = std::min(job.slots.size(), first + job.part_tasks);
    job.next_attempt = std::max<std::int64_t>(job.next_attempt,
                                              static_cast<std::int64_t>(wire::count(value, "n").value_or(1)));
    if (auto bits = wire::text(value, "f")) {
        for (std::size_t i = first; i < last && (i - first) / 4 < bits->size(); ++i) {
            const char c = (*bits)[(i - first) / 4];
            const int nibble = c >= 'a' ? c - 'a' + 10 : c - '0';
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
        // Only what was bound as we would: the same attempt elsewhere is another holder's.
        if (slot.state == SlotState::Binding && slot.attempt == attempt && slot.machine->name == machine) {
            slot.state = SlotState::Bound;
            --job.parts[part].binding;
            request_dispatch(*slot.machine);
            return;
        }
        if (slot.state != SlotState::Idle || slot.attempt >= attempt) return;
        auto m = shard_state_.machines.find(machine);
        // No machine of ours: it was proven gone, or given away empty.
        if (m == shard_state_.machines.end()) return;
        shard_state_.bind(job, static_cast<int>(task), *m->second, attempt);
        --job.parts[part].binding;
        slot.state = SlotState::Bound;
        slot.foreign = true;
        slot.launch_sent = true;
        slot.launch_token = mod_revision_ - 1;
        slot.launch_session = UINT64_MAX;
    };
    if (const Json* bindings = wire::find(value, "b"); bindings && bindings->is_array()) {
        for (const auto& b : *bindings) {
            if (!b.is_array() || b.size() < 3 || !b[0].is_number_integer()) continue;
            if (b[1].is_string()) {  // attempt, machine, tasks
                for (std::size_t i = 2; i < b.size(); ++i)
                    if (b[i].is_number_integer())
                        bound(b[i].get<std::size_t>(), b[0].get<std::int64_t>(), b[1].get<std::string>());
            } else if (b[1].is_number_integer() &&
                       b[2].is_string()) {  // previous version: task, attempt, machine
                bound(b[0].get<std::size_t>(), b[1].get<std::int64_t>(), b[2].get<std::string>());
            }
        }
    }
    // One task that is done proves its gang done, also to a holder that was not there: those that were
    // started again meanwhile would wait for it in vain.
    if (job.spec.kind == JobKind::Gang && job.done > 0) {
        job.gang_done = true;
        for (std::size_t i = first; i < last; ++i)
            if (job.slots[i].state == SlotState::Idle) mark_done(job, static_cast<int>(i));
    }
    for (std::size_t i = first; i < last; ++i)
        if (job.slots[i].state == SlotState::Binding) touch(job, part);
    // Also what a later part binds: only the first one tells that the job is cancelled.
    if (job.stage == Stage::Cancelled || (part == 0 && wire::text(value, "s") == "cancelled")) cancel(job);
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
}

Json ShardOwner::part_value(const Job& job, std::size_t part, bool final_record) const {
    const std::size_t first = std::min(part * job.part_tasks, job.slots.size());
    const std::size_t last = std::min(job.slots.size(), first + job.part_tasks);
    Json v = Json::object();
    if (part == 0) {
        v["s"] = job.stage == Stage::Cancelled ? "cancelled" : final_record ? "done" : "queued";
        v["k"] = job.spec.tasks;
        v["dom"] = shard_;
        if (final_record) {
            v["fd"] = job.done;
            // Jobs that need it count from then.
            if (job.stage != Stage::Cancelled && context_.all_read(format::kPipelines))
                v["end"] = context_.runtime().wall_clock_ms();
            return v;
        }
        v["d"] = wire::job_value(job.spec);
        v["at"] = job.submitted_ms;
        if (job.has_dependencies && job.open) v["go"] = job.since_ms;
        v["ps"] = job.part_tasks;
        v["fd"] = job.done;
        v["fr"] = job.bound;
        if (job.backing_off) v["er"] = true;
    }
    v["n"] = job.next_attempt;
    // Bindings are grouped by attempt and machine, since a value is limited.
    std::map<std::pair<std::int64_t, std::string>, std::vector<std::size_t>> bindings;
    std::string bits((last - first + 3) / 4, '0');
    bool any = false;
    for (std::size_t i = first; i < last; ++i) {
        const Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound)
            bindings[{slot.attempt, slot.machine->name}].push_back(i);
        if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) {
            auto& c = bits[(i - first) / 4];
            int nibble = c >= 'a' ? c - 'a' + 10 : c - '0';
            nibble |= 1 << ((i - first) % 4);
            c = static_cast<char>(nibble < 10 ? '0' + nibble : 'a' + nibble - 10);
            any = true;
        }
    }
    if (!bindings.empty()) {
        Json list = Json::array();
        for (const auto& [key, tasks] : bindings) {
            Json entry = Json::array({key.first, key.second});
            for (auto t : tasks) entry.push_back(t);
            list.push_back(std::move(entry));
        }
        v["b"] = std::move(list);
    }
    if (any) v["f"] = bits;
    return v;
}

void ShardOwner::touch(Job& job, std::size_t part) {
    auto& p = job.parts[part];
    if (!p.dirty) p.dirty_since = context_.runtime().now();
    p.dirty = true;
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
}

/// Writes what has to become durable, the urgent first, as far as the store has room for it now. What does
/// not go out yet keeps gathering changes, and is written once.
void ShardOwner::flush_jobs() {
    const Micros now = context_.runtime().now();
    struct Due {
        Priority priority;
        Micros since;
        Job* job;
        std::size_t part;
    };
    std::vector<Due> list;
    for (auto it = dirty_.begin(); it != dirty_.end();) {
        Job* job = shard_state_.job(*it);
        if (!job) {
            it = dirty_.erase(it);
            continue;
        }
        if (job->admitting) {
            auto& part = job->parts[0];
            if (!part.in_flight && !part.reloading) {
                if (now - part.dirty_since > kAdmitPatience) {
                    it = dirty_.erase(it);
                    not_admitted(*job, CommitStatus::Unavailable);
                    continue;
                }
                const Priority priority =
                    job->rank == PriorityClass::Low ? Priority::Normal : Priority::Urgent;
                list.push_back({priority, part.dirty_since, job, 0});
            }
            ++it;
            continue;
        }
        // The final record speaks for all parts, so nothing else is written any more.
        const bool over = job->over();
        bool left = false;
        bool busy = false;
        for (const auto& p : job->parts) busy = busy || p.in_flight || p.reloading;
        if (over) {
            left = true;
            if (!busy && now >= job->parts[0].not_before) {
                if (!job->parts[0].dirty) touch(*job, 0);
                // Others wait for the end of a job; that one is cancelled with another everybody knows.
                const bool can_wait =
                    job->cancelled_by_dependency && now - job->parts[0].dirty_since < kOrphanPatience;
                list.push_back({can_wait      ? Priority::Deferrable
                                : job->needed ? Priority::Urgent
                                              : Priority::Normal,
                                job->parts[0].dirty_since, job, 0});
            }
        } else {
            for (std::size_t p = 0; p < job->parts.size(); ++p) {
                const auto& part = job->parts[p];
                if (!part.dirty) continue;
                left = true;
                if (part.in_flight || part.reloading || now < part.not_before) continue;
                // Each part is written on the condition that the job's record stays as it is.
                if (p == 0 ? busy : job->parts[0].in_flight || job->parts[0].reloading) continue;
                const bool stays = p == 0 && job->leaving;  // not given away after all
                if (!stays && now - part.dirty_since < gathers(*job, part.binding > 0)) continue;
                const bool can_wait = job->is_best_effort() && now - part.dirty_since < kIdlePatience;
                const Priority priority = stays                              ? Priority::Normal
                                          : part.binding == 0 || can_wait    ? Priority::Deferrable
                                          : job->rank <= PriorityClass::High ? Priority::Urgent
                                                                             : Priority::Normal;
                list.push_back({priority, part.dirty_since, job, p});
            }
        }
        it = left ? std::next(it) : dirty_.erase(it);
    }
    std::stable_sort(list.begin(), list.end(), [this](const Due& a, const Due& b) {
        auto key = [this](const Due& d) {
            return std::tuple(d.priority, tier(*d.job) != policy::Tier::Live, d.since);
        };
        return key(a) < key(b);
    });
    for (const auto& d : list) {
        if (!context_.store().has_write_budget(d.priority)) break;
        write_part(*d.job, d.part, d.priority);
    }
}

/// How long changes of a part are gathered before they are written as one: the scarcer changes are, the
/// longer, but not what the operators want started soon.
Micros ShardOwner::gathers(const Job& job, bool binds) const {
    const double level = context_.store().write_budget_level();
    if (!binds) return level < 0.5 ? 2 * kDefer : kDefer;
    if (job.rank == PriorityClass::Production ||
        !context_.settings().objective_time_limits("wait", job.spec.job_class).empty())
        return 0;
    return level < 0.3 ? kGatherLong : level < 0.6 ? kGatherShort : 0;
}

void ShardOwner::write_part(Job& job, std::size_t index, Priority priority) {
    const std::string ref = job.spec.ref;
    auto& part = job.parts[index];
    const bool final_record = index == 0 && job.over();
    Change change;
    change.priority = priority;
    // Write ahead: on the records as we know them, so that no ousted holder binds and no cancelled job is
    // bound.
    change.conditions = as_known(job);
    change.conditions.push_back({keys::shard + shard_, mod_revision_});
    if (index > 0) change.conditions.push_back({key_of(job, index), part.mod_revision});
    // Nothing of old form may be added once that is closed, nor beside a record of the new form.
    if (job.admitting && job.place == RecordLocation::Job) {
        change.conditions.push_back({keys::active + ref, 0});
        change.conditions.push_back({keys::history, 0});
    }
    Json value = part_value(job, index, final_record);
    std::vector<AttemptKey> binding;
    std::vector<int> done;
    const std::size_t first = index * job.part_tasks;
    for (std::size_t i = first; i < std::min(job.slots.size(), first + job.part_tasks); ++i) {
        if (job.slots[i].state == SlotState::Binding)
            binding.push_back({ref, static_cast<int>(i), job.slots[i].attempt});
        if (job.slots[i].state == SlotState::DonePending) done.push_back(static_cast<int>(i));
    }
    // What is of old form moves where history is out of the way, when changes are plenty.
    const bool moves = index == 0 && !final_record && !job.admitting && job.place == RecordLocation::Job &&
                       context_.all_read(format::kHistory) && context_.store().is_quiet();
    const RecordLocation place = moves ? RecordLocation::Active : job.place;
    if (moves) {
        change.conditions.push_back({keys::active + ref, 0});
        change.writes.push_back({keys::job + ref, Json()});
    }
    change.writes.push_back({final_record ? keys::job + ref
                             : index == 0 ? record_key(place, ref)
                                          : key_of(job, index),
                             value});
    // Where changes are plenty, what it was goes with it; else that waits for a quiet moment.
    const bool drops = final_record && job.place == RecordLocation::Active && context_.store().is_quiet();
    if (drops) change.writes.push_back({keys::active + ref, Json()});
    change.purpose = job.admitting ? "admit" : final_record ? "over" : binding.empty() ? "done" : "bind";
    part.dirty = false;
    part.in_flight = true;
    if (!job.admitting && !final_record) value = nullptr;  // only those are asked for
    const Condition left{keys::active + ref, final_record && !drops && job.place == RecordLocation::Active
                                                 ? job.parts[0].mod_revision
                                                 : 0};
    context_.store().commit(
        std::move(change), [this, alive = alive_, ref, index, value = std::move(value), final_record, binding,
                            done, place, left](const CommitResult& result) {
            if (!*alive) return;
            if (result.status == CommitStatus::Ok && left.mod_revision > 0) stale_records_.push_back(left);
            written(ref, index, value, final_record, binding, done, place, result);
        });
}

void ShardOwner::written(const std::string& ref, std::size_t index, const Json& value, bool final_record,
                         const std::vector<AttemptKey>& binding, const std::vector<int>& done,
                         RecordLocation place, const CommitResult& result) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    auto& p = job->parts[index];
    p.in_flight = false;
    flush_due_ = true;
    context_.wake();
    if (result.status == CommitStatus::Ok) {
        p.mod_revision = result.revision;
        if (index == 0) job->leaving = false;
        if (place != job->place) job->legacy_revision = 0;
        job->place = place;
        for (const auto& key : binding) {
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state != SlotState::Binding || slot.attempt != key.attempt) continue;
            slot.state = SlotState::Bound;
            --p.binding;
            request_dispatch(*slot.machine);
        }
        for (int task : done) {
            Slot& slot = job->slots[static_cast<std::size_t>(task)];
            if (slot.state == SlotState::DonePending) slot.state = SlotState::Done;
        }
        if (final_record) {
            spdlog::info("job {}: {}", ref, job->stage == Stage::Cancelled ? "cancelled, all gone" : "done");
            drop_job(ref);
            // News of what it was before must not bring it back.
            return context_.settled(ref, value, result.revision);
        }
        dirty_.insert(ref);
        if (auto admitted = std::exchange(job->admitting, nullptr))
            admitted({CommitStatus::Ok, result.revision, value, place});
        return;
    }
    if (result.status == CommitStatus::Conflict &&
        std::find(result.failed.begin(), result.failed.end(), keys::shard + shard_) != result.failed.end())
        return context_.on_ownership_lost(shard_);
    if (job->admitting && result.status != CommitStatus::Unknown) return not_admitted(*job, result.status);
    if (auto unclear = std::exchange(job->admitting, nullptr)) unclear({CommitStatus::Unknown, 0, {}});
    if (result.status == CommitStatus::Unavailable) {
        p.not_before = context_.runtime().now() + 150 * kMillisecond;
        return touch(*job, index);
    }
    // What the service does not take is not sent again and again.
    if (result.status == CommitStatus::Rejected)
        p.not_before = context_.runtime().now() + kRejectedRetryDelay;
    // Executed or not: the record decides.
    reload(ref, index);
    if (index > 0) reload(ref, 0);
}

void ShardOwner::reload(const std::string& ref, std::size_t index) {
    Job* known = shard_state_.job(ref);
    if (!known) return;
    auto& part = known->parts[index];
    if (part.reloading || part.in_flight) return;
    part.reloading = true;
    read_record(ref, index,
                [this, alive = alive_, ref, index](const ReadResult& r, RecordLocation place,
                                                   Revision legacy_revision) {
                    if (!*alive) return;
                    Job* job = shard_state_.job(ref);
                    if (!job) return;
                    if (!r.ok) return reload_later(ref, index);
                    // It is the truth about our own writes only as long as the shard is ours: a new holder
                    // numbers its attempts from the same record, and its binds must not be taken for those of
                    // ours that got no answer.
                    Change ours;
                    ours.conditions.push_back({keys::shard + shard_, mod_revision_});
                    context_.store().commit(std::move(ours), [this, alive, ref, index, r, place,
                                                              legacy_revision](const CommitResult& c) {
                        if (!*alive) return;
                        if (c.status == CommitStatus::Conflict) return context_.on_ownership_lost(shard_);
                        if (c.status != CommitStatus::Ok) return reload_later(ref, index);
                        reloaded(ref, index, r, place, legacy_revision);
                    });
                });
}

/// A job's record may stand under either key. What is final under c/job/ goes before what stands under
/// c/active/, which goes before what is not final under c/job/.
void ShardOwner::read_record(const std::string& ref, std::size_t index,
                             std::function<void(const ReadResult&, RecordLocation, Revision)> done) {
    if (index > 0)
        return context_.store().read(
            keys::job_part + ref + "/" + std::to_string(index),
            [done = std::move(done)](const ReadResult& r) { done(r, RecordLocation::Job, 0); });
    context_.store().read(
        keys::job + ref, [this, alive = alive_, ref, done = std::move(done)](const ReadResult& job) {
            if (!*alive) return;
            const bool final = job.found && !wire::find(job.value, "d");
            if (!job.ok || final || !context_.all_read(format::kHistory))
                return done(job, RecordLocation::Job, 0);
            context_.store().read(keys::active + ref, [job, done](const ReadResult& active) {
                if (!active.ok || active.found) return done(active, RecordLocation::Active, job.mod_revision);
                done(job, RecordLocation::Job, 0);
            });
        });
}

void ShardOwner::reload_later(const std::string& ref, std::size_t index) {
    context_.runtime().after(300 * kMillisecond, [this, alive = alive_, ref, index] {
        if (!*alive) return;
        if (Job* job = shard_state_.job(ref)) job->parts[index].reloading = false;
        reload(ref, index);
    });
}

void ShardOwner::reloaded(const std::string& ref, std::size_t index, const ReadResult& r,
                          RecordLocation place, Revision legacy_revision) {
    Job* job = shard_state_.job(ref);
    if (!job) return;
    job->parts[index].reloading = false;
    const auto stage = wire::text(r.value, "s");
    if (index == 0 && (!r.found || stage == "done" || (stage == "cancelled" && !wire::find(r.value, "d")))) {
        // Our final write went through after all.
        if (job->place == RecordLocation::Active)
            stale_records_.push_back({keys::active + ref, job->parts[0].mod_revision});
        drop_job(ref);
        if (!r.found) return take_heard(ref);
        return context_.settled(ref, r.value, r.mod_revision);
    }
    if (index == 0 && wire::text(r.value, "dom") != shard_) return given_away(*job);
    // Our admission got no answer, and the job is there as another describes it, whose admission this is.
    if (const Json* spec = wire::find(r.value, "d");
        index == 0 && job->parts[0].mod_revision == 0 && spec && *spec != wire::job_value(job->spec)) {
        given_away(*job);
        on_job(ref, place, r.value, r.mod_revision);
        return take_heard(ref);
    }
    if (index == 0) {
        job->place = place;
        job->legacy_revision = legacy_revision;
    }
    if (r.found) adopt_part(*job, index, r.value, r.mod_revision);
    // What is durable of done tasks was set by adopt_part; the rest is written again.
    touch(*job, index);
    context_.wake();
}

/// One after another, in quiet moments: each is written anew where it belongs now.
void ShardOwner::move_out_of_history() {
    const Micros now = context_.runtime().now();
    if (!context_.all_read(format::kHistory) || now - moved_at_ < kMoveEvery || !context_.store().is_quiet())
        return;
    moved_at_ = now;
    for (auto& [ref, job] : shard_state_.jobs) {
        const auto& part = job->parts[0];
        if (job->place != RecordLocation::Job || job->admitting || part.dirty || part.in_flight ||
            part.reloading)
            continue;
        return touch(*job, 0);
    }
}

/// Records of jobs that are over, in quiet moments. Whoever takes the shard over finds those that are left.
void ShardOwner::drop_stale_records() {
    // One at a time: all owners see the same quiet moment, and together they would end it. A start has to
    // prove as many more; beyond a number they compete with what else can wait.
    const Micros now = context_.runtime().now();
    const bool many = stale_records_.size() > kManyLeftOver;
    if (!stale_records_.empty() && now - dropped_at_ >= (many ? kDropEvery / 4 : kDropEvery) &&
        (many ? context_.store().has_write_budget(Priority::Deferrable) : context_.store().is_quiet())) {
        dropped_at_ = now;
        const Condition left = stale_records_.back();
        stale_records_.pop_back();
        context_.store().commit(JobCache::dropped(left), [this, alive = alive_, left](const CommitResult& r) {
            // Refused or unanswered: once more. On its mark it is done once, or there is nothing to do.
            if (*alive && r.status != CommitStatus::Ok && r.status != CommitStatus::Conflict)
                stale_records_.push_back(left);
        });
    }
}

/// The record names another owner. Binds of ours that wait to be written fail on its mark, so they were never
/// launched; there are no others, since only jobs that were never bound are given away.
void ShardOwner::given_away(Job& job) {
    // Admitted by another controller meanwhile.
    if (auto asked = std::exchange(job.admitting, nullptr)) asked({CommitStatus::Conflict, 0, {}});
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) set_idle(job, slot);
    shard_state_.jobs.erase(std::string(job.spec.ref));
}

void ShardOwner::drop_job(const std::string& ref) {
    auto it = shard_state_.jobs.find(ref);
    if (it == shard_state_.jobs.end()) return;
    Job& job = *it->second;
    if (auto asked = std::exchange(job.admitting, nullptr)) asked({CommitStatus::Conflict, 0, {}});
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        auto state = job.slots[i].state;
        if (state == SlotState::Binding || state == SlotState::Bound)
            on_attempt_terminated(job, static_cast<int>(i), 0);
    }
    for (std::size_t p = 1; p < job.parts.size(); ++p) {
        if (job.parts[p].mod_revision == 0) continue;
        Change change;
        change.priority = Priority::Deferrable;
        change.conditions.push_back({keys::shard + shard_, mod_revision_});
        change.writes.push_back({key_of(job, p), Json()});
        change.purpose = "cleanup";
        context_.store().commit(std::move(change), [](const CommitResult&) {});
    }
    shard_state_.jobs.erase(it);
    plan_due_ = true;
    context_.wake();
}

}  // namespace cottonway
