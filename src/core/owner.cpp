#include "core/owner.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxImages = 64;
constexpr std::size_t kBindingBytes = 14;  // of a binding besides the machine's name
constexpr std::size_t kUsualBinding = 22;
// Done tasks of a job that goes on are written together: until then their workers keep the results.
constexpr Micros kDefer = 4 * kSecond;
constexpr Micros kGatherShort = 150 * kMillisecond;
constexpr Micros kGatherLong = 500 * kMillisecond;
constexpr Micros kAdmitPatience = 1'500 * kMillisecond;  // then the user had better come back
constexpr Micros kPlanEvery = 20 * kMillisecond;
constexpr Micros kIdlePatience = 60 * kSecond;     // of binds of idle work, before they compete with others
constexpr Micros kProbeEvery = 5 * kSecond;        // of workers whose reports are relayed
constexpr Micros kWantAfter = 150 * kMillisecond;  // waiting for room before others are asked
// Starts a second of idle work, per core that the process may use: with all that follows from one (a bind, a
// launch, reports, a result) that is a fifth of its time.
constexpr double kIdleStarts = 600;
constexpr Micros kProven = 5 * kSecond;            // a task that has run for this long can run
constexpr Micros kIdleOffer = 500 * kMillisecond;  // idle before it is given to another domain

/// A lease measured by another clock may run this much longer by ours.
Micros with_drift(Micros t) {
    return t + t / 1000 + kSecond;
}

std::string part_key(const std::string& ref, std::size_t part) {
    return part == 0 ? keys::job + ref : keys::part + ref + "/" + std::to_string(part);
}

std::size_t binding_bytes(const Machine& m) {
    return m.name.size() + kBindingBytes;
}

}  // namespace

std::size_t part_tasks_for(std::size_t value_bytes, std::size_t spec_bytes) {
    const std::size_t room = value_bytes * 23 / 25;
    const std::size_t left = room > spec_bytes + 100 ? room - spec_bytes - 100 : 0;
    return std::clamp<std::size_t>(left / (kUsualBinding + 1), 16, 4096);
}

Owner::Owner(OwnerContext& context, std::string domain, Revision mark, Micros former_authority_end)
    : context_(context),
      domain_(std::move(domain)),
      mark_(mark),
      former_end_(former_authority_end),
      idle_starts_(kIdleStarts * context.settings().cpu_share, kIdleStarts * context.settings().cpu_share) {}

Owner::~Owner() {
    *alive_ = false;
    // What of these is durable is in the store; whoever asked looks there.
    for (auto& [ref, job] : jobs_)
        if (job->admitting) job->admitting({CommitStatus::Unknown, 0, {}});
}

Job* Owner::find_job(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? nullptr : it->second.get();
}

// ---------------------------------------------------------------- machines

void Owner::on_machine(const Block& block, const Block::Machine& entry) {
    auto& owned = machines_[entry.name];
    if (!owned) {
        owned = std::make_unique<Machine>();
        owned->name = entry.name;
        owned->known_since = context_.host().now();
        owned->listened = owned->idle_since = context_.host().listened();
        owned->promises.resize(context_.settings().peers.size());
    }
    Machine& m = *owned;
    m.block = block.id;
    m.type_name = block.type;
    m.zone = block.zone;
    m.spot = block.spot;
    if (!entry.addr.empty()) m.addr = entry.addr;
    m.retired = entry.retired;
    m.token = std::max<std::uint64_t>(m.token, entry.token);
    m.type = context_.machine_type(block.type);
    if (m.token_seen < token(m)) poke(m);
}

void Owner::on_machine_gone(const std::string& name, const char* why) {
    // A record stops listing a machine once the cloud has confirmed its deletion, or when it has been given
    // to another domain while it was empty: whatever a job's record still lists there is gone.
    auto it = machines_.find(name);
    if (it == machines_.end()) return;
    void_machine(*it->second, why);
    machines_.erase(it);
}

void Owner::forget_strays(Machine& m) {
    for (const auto& s : m.strays)
        if (--stray_tasks_[{s.job, s.task}] <= 0) stray_tasks_.erase({s.job, s.task});
    m.strays.clear();
}

void Owner::void_machine(Machine& m, const char* why) {
    if (!m.tasks.empty()) spdlog::info("machine {}: {} tasks are gone: {}", m.name, m.tasks.size(), why);
    for (const auto& t : std::set(m.tasks)) gone(*t.job, t.task, 0);
    forget_strays(m);
    m.exited.clear();
    m.taints.clear();
    m.answer_launches.clear();
}

Micros Owner::silent_for(const Machine& m) const {
    return context_.host().listened() - m.listened;
}

void Owner::drain(const std::string& machine, bool on) {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second->draining == on) return;
    it->second->draining = on;
    plan_due_ = true;
    spdlog::info("machine {}: {}", machine, on ? "surplus, nothing new is bound to it" : "needed again");
}

bool Owner::passing(const Machine& m) const {
    return std::all_of(m.tasks.begin(), m.tasks.end(), [](const TaskRef& t) {
        return t.job->spec.kind == JobKind::Array && t.job->spec.spot;
    });
}

bool Owner::usable(const Machine& m) const {
    const Micros now = context_.host().now();
    return m.type && m.seq > 0 && m.token_seen >= token(m) && !m.retired && !m.retiring && !m.leaving &&
           !m.draining && !m.notice && !m.suspect && now >= m.avoid_until && m.strays.empty() &&
           silent_for(m) < context_.settings().report_every * 5 / 2 + kSecond;
}

/// Whether every lease that the worker may hold has run out: what we granted, what a former holder may have
/// granted as long as the worker has not shown our token, and what other controllers may have renewed on our
/// behalf. Of the last only their promise tells, or that they can't have been entitled any more.
bool Owner::lease_over(const Machine& m) const {
    const Micros now = context_.host().now();
    Micros last = std::max({m.answered, m.heard, m.known_since});
    if (m.token_seen < mark_) last = std::max(last, former_end_);
    if (now <= last + with_drift(context_.settings().lease)) return false;
    for (std::size_t peer = 0; peer < m.promises.size(); ++peer) {
        if (m.promises[peer].until > now)
            last = std::max(last, m.promises[peer].renewed);
        else if (auto ended = context_.peer_ended(peer))
            last = std::max(last, *ended);
        else
            return false;
    }
    return now > last + with_drift(context_.settings().lease);
}

std::vector<std::string> Owner::to_renounce(std::size_t peer) const {
    std::vector<std::string> names;
    const Micros now = context_.host().now();
    for (const auto& [name, m] : machines_)
        if (!m->tasks.empty() && silent_for(*m) > context_.settings().lease / 2 &&
            m->promises[peer].until < now + context_.settings().lease)
            names.push_back(name);
    return names;
}

void Owner::renounced(std::size_t peer, const std::string& machine, Promise promise) {
    auto it = machines_.find(machine);
    if (it != machines_.end()) it->second->promises[peer] = promise;
}

// ---------------------------------------------------------------- jobs: records

void Owner::on_job(const std::string& ref, const Value& value, Revision mark) {
    Job* known = find_job(ref);
    if (!known) {
        if (wire::text(value, "dom") != domain_) return;
        const auto stage = wire::text(value, "s");
        const Value* spec = wire::find(value, "d");
        if (!spec || stage == "done") return;  // over, and all of it is gone
        auto parsed = wire::parse_job(*spec);
        if (!parsed.spec) {
            spdlog::error("job {}: its record is broken: {}", ref, parsed.error);
            return;
        }
        auto job = std::make_unique<Job>();
        job->spec = std::move(*parsed.spec);
        job->serial = next_serial_++;
        job->submitted_ms = static_cast<std::int64_t>(wire::number(value, "at").value_or(0));
        job->waiting_since = context_.host().now();
        job->slots.resize(static_cast<std::size_t>(job->spec.tasks));
        job->idle = job->spec.tasks;
        // The previous version's records don't tell and have 64 tasks a part.
        job->part_tasks = std::max<std::size_t>(wire::count(value, "ps").value_or(64), 1);
        job->parts.resize((job->slots.size() + job->part_tasks - 1) / job->part_tasks);
        known = job.get();
        jobs_.emplace(ref, std::move(job));
        known->held = wire::flag(value, "er").value_or(false);
        adopt_part(*known, 0, value, mark);
        plan_due_ = true;
        context_.wake();
        return;
    }
    Job& job = *known;
    // While a write of ours is under way its result will tell; a later record makes it fail.
    if (mark <= job.parts[0].mark || job.parts[0].in_flight || job.parts[0].reloading) return;
    // Given away after all (see rehome): nothing of it was ever bound here.
    if (wire::text(value, "dom") != domain_) return given_away(job);
    // A final record holds no tasks: taken as an ordinary one, the job would start all over again.
    if (!wire::find(value, "d")) return drop_job(ref);
    adopt_part(job, 0, value, mark);
    context_.wake();
}

void Owner::admit(JobSpec spec, std::int64_t submitted_ms, std::function<void(const Admission&)> done) {
    const std::string ref = spec.ref;
    if (find_job(ref)) return done({CommitStatus::Unknown, 0, {}});
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->serial = next_serial_++;
    job->submitted_ms = submitted_ms;
    job->waiting_since = context_.host().now();
    job->slots.resize(static_cast<std::size_t>(job->spec.tasks));
    job->idle = job->spec.tasks;
    job->part_tasks = part_tasks_for(
        context_.settings().value_bytes,
        part_value(*job, 0, false).dump(-1, ' ', false, Value::error_handler_t::replace).size());
    job->parts.resize((job->slots.size() + job->part_tasks - 1) / job->part_tasks);
    job->admitting = std::move(done);
    touch(*job, 0);
    jobs_.emplace(ref, std::move(job));
    plan_due_ = true;
    planned_at_ = 0;  // what finds room now is bound by the change that admits it
    context_.wake();
}

/// Nothing of it is durable, or nobody knows (then its record is read): nothing of it was launched.
void Owner::not_admitted(Job& job, CommitStatus status) {
    auto done = std::exchange(job.admitting, nullptr);
    given_away(job);
    if (done) done({status, 0, {}});
}

void Owner::on_part(const std::string& ref, std::size_t part, const Value& value, Revision mark) {
    Job* job = find_job(ref);
    if (!job || part == 0 || part >= job->parts.size()) return;
    auto& p = job->parts[part];
    if (mark <= p.mark || p.in_flight || p.reloading) return;
    adopt_part(*job, part, value, mark);
}

/// Takes a stored part as the truth about what is durable.
void Owner::adopt_part(Job& job, std::size_t part, const Value& value, Revision mark) {
    job.parts[part].mark = mark;
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
        if (slot.state == SlotState::Binding && slot.attempt == attempt) {
            slot.state = SlotState::Bound;
            --job.parts[part].binding;
            poke(*slot.machine);
            return;
        }
        if (slot.state != SlotState::Idle || slot.attempt >= attempt) return;
        auto m = machines_.find(machine);
        // No machine of ours: it was proven gone, or given away empty.
        if (m == machines_.end()) return;
        bind(job, static_cast<int>(task), *m->second, attempt);
        --job.parts[part].binding;
        slot.state = SlotState::Bound;
        slot.foreign = true;
        slot.launch_sent = true;
        slot.launch_token = mark_ - 1;
        slot.launch_session = UINT64_MAX;
    };
    if (const Value* bindings = wire::find(value, "b"); bindings && bindings->is_array()) {
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
    for (std::size_t i = first; i < last; ++i)
        if (job.slots[i].state == SlotState::Binding) touch(job, part);
    if (part == 0 && wire::text(value, "s") == "cancelled") cancel(job);
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
}

Value Owner::part_value(const Job& job, std::size_t part, bool final_record) const {
    const std::size_t first = std::min(part * job.part_tasks, job.slots.size());
    const std::size_t last = std::min(job.slots.size(), first + job.part_tasks);
    Value v = Value::object();
    if (part == 0) {
        v["s"] = job.stage == Stage::Cancelled ? "cancelled" : final_record ? "done" : "queued";
        v["k"] = job.spec.tasks;
        v["dom"] = domain_;
        if (final_record) {
            v["fd"] = job.done;
            return v;
        }
        v["d"] = wire::job_value(job.spec);
        v["at"] = job.submitted_ms;
        v["ps"] = job.part_tasks;
        v["fd"] = job.done;
        v["fr"] = job.bound;
        if (job.held) v["er"] = true;
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
        Value list = Value::array();
        for (const auto& [key, tasks] : bindings) {
            Value entry = Value::array({key.first, key.second});
            for (auto t : tasks) entry.push_back(t);
            list.push_back(std::move(entry));
        }
        v["b"] = std::move(list);
    }
    if (any) v["f"] = bits;
    return v;
}

void Owner::touch(Job& job, std::size_t part) {
    auto& p = job.parts[part];
    if (!p.dirty) p.dirty_since = context_.host().now();
    p.dirty = true;
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
}

/// Writes what has to become durable, the urgent first, as far as the store has room for it now. What does
/// not go out yet keeps gathering changes, and is written once.
void Owner::flush_jobs() {
    const Micros now = context_.host().now();
    struct Due {
        Priority priority;
        Micros since;
        Job* job;
        std::size_t part;
    };
    std::vector<Due> list;
    for (auto it = dirty_.begin(); it != dirty_.end();) {
        Job* job = find_job(*it);
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
                const Priority priority = job->spec.rank == Rank::Low ? Priority::Normal : Priority::Urgent;
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
                list.push_back({Priority::Normal, job->parts[0].dirty_since, job, 0});
            }
        } else {
            for (std::size_t p = 0; p < job->parts.size(); ++p) {
                const auto& part = job->parts[p];
                if (!part.dirty) continue;
                left = true;
                if (part.in_flight || part.reloading || now < part.not_before) continue;
                // Each part is written on the condition that the job's record stays as it is.
                if (p == 0 ? busy : job->parts[0].in_flight || job->parts[0].reloading) continue;
                if (now - part.dirty_since < gathers(*job, part.binding > 0)) continue;
                const bool can_wait = job->spec.rank == Rank::Low && now - part.dirty_since < kIdlePatience;
                const Priority priority = part.binding == 0 || can_wait  ? Priority::Deferrable
                                          : job->spec.rank <= Rank::High ? Priority::Urgent
                                                                         : Priority::Normal;
                list.push_back({priority, part.dirty_since, job, p});
            }
        }
        it = left ? std::next(it) : dirty_.erase(it);
    }
    std::stable_sort(list.begin(), list.end(), [](const Due& a, const Due& b) {
        return std::tuple(a.priority, a.since) < std::tuple(b.priority, b.since);
    });
    for (const auto& d : list) {
        if (!context_.store().room(d.priority)) break;
        write_part(*d.job, d.part, d.priority);
    }
}

/// How long changes of a part are gathered before they are written as one: the scarcer changes are, the
/// longer, but not what the operators want started soon.
Micros Owner::gathers(const Job& job, bool binds) const {
    const double level = context_.store().level();
    if (!binds) return level < 0.5 ? 2 * kDefer : kDefer;
    if (job.spec.rank == Rank::Production || !context_.settings().goals("wait", job.spec.job_class).empty())
        return 0;
    return level < 0.3 ? kGatherLong : level < 0.6 ? kGatherShort : 0;
}

void Owner::write_part(Job& job, std::size_t index, Priority priority) {
    const std::string ref = job.spec.ref;
    auto& part = job.parts[index];
    const bool final_record = index == 0 && job.over();
    Change change;
    change.priority = priority;
    // Write ahead: on the records as we know them, so that no ousted holder binds and no cancelled job is
    // bound.
    change.when.push_back({keys::domain + domain_, mark_});
    change.when.push_back({keys::job + ref, job.parts[0].mark});
    if (index > 0) change.when.push_back({part_key(ref, index), part.mark});
    Value value = part_value(job, index, final_record);
    std::vector<AttemptKey> binding;
    std::vector<int> done;
    const std::size_t first = index * job.part_tasks;
    for (std::size_t i = first; i < std::min(job.slots.size(), first + job.part_tasks); ++i) {
        if (job.slots[i].state == SlotState::Binding)
            binding.push_back({ref, static_cast<int>(i), job.slots[i].attempt});
        if (job.slots[i].state == SlotState::DonePending) done.push_back(static_cast<int>(i));
    }
    change.then.push_back({part_key(ref, index), value});
    change.purpose = job.admitting ? "admit" : final_record ? "over" : binding.empty() ? "done" : "bind";
    part.dirty = false;
    part.in_flight = true;
    if (!job.admitting) value = nullptr;  // only that one is asked for
    context_.store().commit(std::move(change), [this, alive = alive_, ref, index, value = std::move(value),
                                                final_record, binding, done](const CommitResult& result) {
        if (*alive) written(ref, index, value, final_record, binding, done, result);
    });
}

void Owner::written(const std::string& ref, std::size_t index, const Value& value, bool final_record,
                    const std::vector<AttemptKey>& binding, const std::vector<int>& done,
                    const CommitResult& result) {
    Job* job = find_job(ref);
    if (!job) return;
    auto& p = job->parts[index];
    p.in_flight = false;
    flush_due_ = true;
    context_.wake();
    if (result.status == CommitStatus::Ok) {
        p.mark = result.revision;
        for (const auto& key : binding) {
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state != SlotState::Binding || slot.attempt != key.attempt) continue;
            slot.state = SlotState::Bound;
            --p.binding;
            poke(*slot.machine);
        }
        for (int task : done) {
            Slot& slot = job->slots[static_cast<std::size_t>(task)];
            if (slot.state == SlotState::DonePending) slot.state = SlotState::Done;
        }
        if (final_record) {
            spdlog::info("job {}: {}", ref, job->stage == Stage::Cancelled ? "cancelled, all gone" : "done");
            return drop_job(ref);
        }
        dirty_.insert(ref);
        if (auto admitted = std::exchange(job->admitting, nullptr))
            admitted({CommitStatus::Ok, result.revision, value});
        return;
    }
    if (result.status == CommitStatus::Conflict &&
        std::find(result.failed.begin(), result.failed.end(), keys::domain + domain_) != result.failed.end())
        return context_.ousted(domain_);
    if (job->admitting && result.status != CommitStatus::Unknown) return not_admitted(*job, result.status);
    if (auto unclear = std::exchange(job->admitting, nullptr)) unclear({CommitStatus::Unknown, 0, {}});
    if (result.status == CommitStatus::Unavailable) {
        p.not_before = context_.host().now() + 150 * kMillisecond;
        return touch(*job, index);
    }
    // Executed or not: the record decides.
    reload(ref, index);
    if (index > 0) reload(ref, 0);
}

void Owner::reload(const std::string& ref, std::size_t index) {
    Job* known = find_job(ref);
    if (!known) return;
    auto& part = known->parts[index];
    if (part.reloading || part.in_flight) return;
    part.reloading = true;
    context_.store().read(part_key(ref, index), [this, alive = alive_, ref, index](const ReadResult& r) {
        if (!*alive) return;
        Job* job = find_job(ref);
        if (!job) return;
        auto& p = job->parts[index];
        p.reloading = false;
        if (!r.ok) {
            context_.host().after(300 * kMillisecond, [this, alive, ref, index] {
                if (*alive) reload(ref, index);
            });
            return;
        }
        const auto stage = wire::text(r.value, "s");
        if (index == 0 &&
            (!r.found || stage == "done" || (stage == "cancelled" && !wire::find(r.value, "d")))) {
            // Our final write went through after all.
            return drop_job(ref);
        }
        if (index == 0 && wire::text(r.value, "dom") != domain_) return given_away(*job);
        if (r.found) adopt_part(*job, index, r.value, r.mark);
        // What is durable of done tasks was set by adopt_part; the rest is written again.
        touch(*job, index);
        context_.wake();
    });
}

/// The record names another owner. Binds of ours that wait to be written fail on its mark, so they were never
/// launched; there are no others, since only jobs that were never bound are given away.
void Owner::given_away(Job& job) {
    // Admitted by another controller meanwhile.
    if (auto asked = std::exchange(job.admitting, nullptr)) asked({CommitStatus::Conflict, 0, {}});
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) set_idle(job, slot);
    jobs_.erase(std::string(job.spec.ref));
}

void Owner::drop_job(const std::string& ref) {
    auto it = jobs_.find(ref);
    if (it == jobs_.end()) return;
    Job& job = *it->second;
    if (auto asked = std::exchange(job.admitting, nullptr)) asked({CommitStatus::Conflict, 0, {}});
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        auto state = job.slots[i].state;
        if (state == SlotState::Binding || state == SlotState::Bound) gone(job, static_cast<int>(i), 0);
    }
    for (std::size_t p = 1; p < job.parts.size(); ++p) {
        if (job.parts[p].mark == 0) continue;
        Change change;
        change.priority = Priority::Deferrable;
        change.when.push_back({keys::domain + domain_, mark_});
        change.then.push_back({part_key(ref, p), Value()});
        change.purpose = "cleanup";
        context_.store().commit(std::move(change), [](const CommitResult&) {});
    }
    jobs_.erase(it);
    plan_due_ = true;
    context_.wake();
}

// ---------------------------------------------------------------- tasks

void Owner::bind(Job& job, int task, Machine& m, std::int64_t attempt) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const int errors = slot.errors;
    slot = Slot{};
    slot.errors = errors;
    slot.state = SlotState::Binding;
    slot.attempt = attempt;
    slot.machine = &m;
    --job.idle;
    ++job.bound;
    auto& part = job.part_of(task);
    ++part.binding;
    part.bytes += binding_bytes(m);
    m.booked += job.spec.need;
    if (job.spec.rank == Rank::Low) m.idle_work += job.spec.need.cores;
    m.tasks.insert({&job, task});
    usage_[job.spec.team] += job.spec.need;
    remember_image(m, job, false);
}

void Owner::set_idle(Job& job, Slot& slot) {
    Machine& m = *slot.machine;
    const auto task = static_cast<int>(&slot - job.slots.data());
    auto& part = job.part_of(task);
    if (slot.state == SlotState::Binding) --part.binding;
    part.bytes -= binding_bytes(m);
    m.booked -= job.spec.need;
    if (job.spec.rank == Rank::Low) m.idle_work -= job.spec.need.cores;
    m.tasks.erase({&job, task});
    forget_fetch(m, job);
    if (m.tasks.empty()) m.idle_since = context_.host().listened();
    usage_[job.spec.team] -= job.spec.need;
    slot.machine = nullptr;
    slot.state = SlotState::Idle;
    job.first_idle = std::min(job.first_idle, static_cast<std::size_t>(task));
    slot.seen = slot.foreign = slot.launch_sent = slot.stop = false;
    --job.bound;
    ++job.idle;
    plan_due_ = true;
}

void Owner::gone(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    set_idle(job, slot);
    const Micros now = context_.host().now();
    slot.retry_at = now + retry_in;
    if (job.idle == 1) job.waiting_since = now;
    dirty_.insert(job.spec.ref);
    flush_due_ = true;
    if (job.gang_done)
        mark_done(job, task);
    else if (job.spec.kind == JobKind::Gang)
        settle_gang(job);
    context_.wake();
}

void Owner::mark_done(Job& job, int task) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) return;
    if (slot.state != SlotState::Idle) set_idle(job, slot);
    --job.idle;
    ++job.done;
    slot.state = SlotState::DonePending;
    touch(job, static_cast<std::size_t>(task) / job.part_tasks);
}

void Owner::stop_slot(Slot& slot, Micros grace) {
    if (slot.stop && grace >= slot.grace) return;
    slot.stop = true;
    slot.grace = grace;
    slot.stop_sent = 0;
    if (slot.machine) poke(*slot.machine);
}

void Owner::cancel(Job& job) {
    if (job.stage != Stage::Cancelled)
        spdlog::info("job {}: cancelled, {} tasks to stop", job.spec.ref, job.bound);
    job.stage = Stage::Cancelled;
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding)
            gone(job, static_cast<int>(i), 0);  // never durable, so never launched
        else if (slot.state == SlotState::Bound)
            stop_slot(slot, 0);
    }
    dirty_.insert(job.spec.ref);
    context_.wake();
}

/// A gang that lost a task, or is being stopped, ends as a whole before it starts again.
void Owner::settle_gang(Job& job) {
    if (job.stage != Stage::Queued || job.gang_stopping || job.gang_done || job.bound == 0) return;
    job.gang_stopping = true;
    for (auto& slot : job.slots)
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound) stop_slot(slot, 0);
    for (std::size_t i = 0; i < job.slots.size(); ++i)
        if (job.slots[i].state == SlotState::Binding) gone(job, static_cast<int>(i), 0);
    job.gang_stopping = false;
}

void Owner::exited(Machine& m, Job& job, int task, ExitCause cause) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    const Micros now = context_.host().now();
    if (cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        proved(job);
        spdlog::debug("task {}/{}: done on {}", job.spec.ref, task, m.name);
        mark_done(job, task);
        if (job.spec.kind == JobKind::Gang) {
            // A gang completes together: if one task is done, all of them are. On a machine that is silent
            // they still count until they are proven gone.
            job.gang_done = true;
            for (std::size_t i = 0; i < job.slots.size(); ++i)
                if (job.slots[i].state == SlotState::Idle) mark_done(job, static_cast<int>(i));
        }
        return;
    }
    Micros retry = 0;
    if (cause == ExitCause::Error) {
        retry = failed(m, job, slot);
    } else if (cause == ExitCause::NoRoom || cause == ExitCause::Busy || cause == ExitCause::Unknown) {
        retry = kSecond;
        if (cause == ExitCause::NoRoom) m.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: start refused on {}", job.spec.ref, task, m.name);
    }
    gone(job, task, retry);
}

/// A message that arrives while the jobs are still being read: its tasks can't be told from strays yet, and
/// must not be stopped as such. Only the session and the token count.
void Owner::greet(Machine& m, const Report& r) {
    if (r.session < m.session) return;
    if (r.session > m.session) m.seq = 0;
    m.session = r.session;
    m.token_seen = std::max(m.token_seen, r.token);
    m.heard = context_.host().now();
    m.listened = context_.host().listened();
    m.suspect = false;
}

/// Applies a worker's message; `is_report` tells a report from the answer to a /do.
void Owner::absorb(Machine& m, const Report& r, bool is_report) {
    const Micros now = context_.host().now();
    if (r.session < m.min_session) return;
    if (std::pair(r.session, r.seq) <= std::pair(m.session, m.seq)) return;
    const bool was_usable = usable(m);
    if (r.session > m.session) {
        m.taints.clear();  // /do names the session: what was sent to an earlier one is refused
        m.answer_launches.clear();
    }
    m.session = r.session;
    m.seq = r.seq;
    m.token_seen = std::max(m.token_seen, r.token);
    m.heard = now;
    m.listened = context_.host().listened();
    m.suspect = false;
    if (r.notice && !m.notice) {
        m.notice = true;
        m.notice_end = now + *r.notice;
        spdlog::info("machine {}: will be taken in {} s", m.name, *r.notice / kSecond);
        drain_noticed(m);
    }
    std::erase_if(m.taints, [&](const auto& t) { return r.token > t.second.token; });
    if (is_report) std::erase_if(m.answer_launches, [&](const auto& l) { return r.seq > l.second; });

    ++m.messages;
    forget_strays(m);
    m.exited.clear();
    for (const auto& t : r.tasks) {
        Job* job = find_job(t.job);
        Slot* slot =
            job && t.task < job->spec.tasks ? &job->slots[static_cast<std::size_t>(t.task)] : nullptr;
        if (slot && slot->machine == &m && slot->attempt == t.attempt &&
            (slot->state == SlotState::Bound || slot->state == SlotState::Binding)) {
            slot->shown = m.messages;
            slot->seen = true;
            slot->launch_sent = true;
            if (slot->phase != Phase::Running && t.phase == Phase::Running) {
                // What an earlier holder has begun has run for some time, nobody knows for how long.
                slot->run_since = slot->foreign ? now - job->spec.estimate / 2 : now;
                spdlog::debug("task {}/{}: runs on {}", t.job, t.task, m.name);
                remember_image(m, *job, true);
            }
            slot->phase = t.phase;
            if (t.phase == Phase::Running && now - slot->run_since > kProven) proved(*job);
            if (t.phase != Phase::Exited) continue;
            m.exited.push_back(t);
            exited(m, *job, t.task, t.cause);
            continue;
        }
        if (t.phase == Phase::Exited) {
            // A result that a former holder had not committed yet counts all the same.
            if (slot && slot->state == SlotState::Idle && t.cause == ExitCause::Done &&
                job->stage == Stage::Queued && job->spec.kind != JobKind::Service)
                mark_done(*job, t.task);
            m.exited.push_back(t);
            continue;
        }
        m.strays.push_back(t);
        ++stray_tasks_[{t.job, t.task}];
    }
    std::vector<TaskRef> missing;
    for (const auto& t : m.tasks)
        if (t.job->slots[static_cast<std::size_t>(t.task)].shown != m.messages) missing.push_back(t);
    for (const auto& t : missing) absent(m, *t.job, t.task, r, is_report);
    if (!m.tasks.empty()) m.idle_since = m.listened;
    if (!m.strays.empty()) poke(m);
    if (!was_usable && usable(m)) plan_due_ = true;
}

/// The machine has the image from now on, or fetches it: then others that need the same had better wait for
/// that one fetch than start another elsewhere.
void Owner::remember_image(Machine& m, const Job& job, bool ready) {
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
void Owner::forget_fetch(Machine& m, const Job& job) {
    const bool waited_for = std::any_of(m.tasks.begin(), m.tasks.end(), [&](const TaskRef& t) {
        return t.job->spec.image == job.spec.image;
    });
    if (!waited_for)
        std::erase_if(m.images,
                      [&](const Machine::Image& i) { return !i.ready && i.name == job.spec.image; });
}

/// A bound task that a message does not show: gone, not launched yet, or in doubt.
void Owner::absent(Machine& m, Job& job, int task, const Report& r, bool is_report) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Bound) return;
    if (slot.seen) return gone(job, task, 0);  // the worker has forgotten it: its session was over
    const AttemptKey key{job.spec.ref, task, slot.attempt};
    if (slot.launch_sent) {
        const bool other_session = slot.launch_session != UINT64_MAX && r.session > slot.launch_session;
        const bool outdated = r.token > slot.launch_token;
        const bool answer_over = slot.launch_by_answer && is_report && r.seq > slot.launch_seq &&
                                 !m.taints.count(key) && !m.direct_launches.count(key);
        if (!other_session && !outdated && !answer_over) return;  // in doubt
        if (slot.foreign) return gone(job, task, 0);
        slot.launch_sent = false;
        poke(m);
    }
    if (slot.stop && !still_live(m, slot, key)) gone(job, task, 0);
}

/// Whether a launch of this attempt may still be executed.
bool Owner::still_live(const Machine& m, const Slot& slot, const AttemptKey& key) const {
    return slot.launch_sent || m.taints.count(key) || m.direct_launches.count(key) ||
           m.answer_launches.count(key);
}

// ---------------------------------------------------------------- reports and orders

std::optional<Owner::Answer> Owner::on_report(const Report& report, bool authorised, bool relayed) {
    auto it = machines_.find(report.machine);
    if (it == machines_.end()) return std::nullopt;
    Machine& m = *it->second;
    // Its new holder may reach it before the outcome of the move reaches us.
    if (report.token > token(m) && m.leaving) return std::nullopt;
    if (report.token > token(m)) {
        spdlog::info("machine {} has seen a higher token than ours", report.machine);
        context_.ousted(domain_);
        return std::nullopt;
    }
    if (!authorised || report.session < m.min_session) return std::nullopt;
    const Micros now = context_.host().now();
    if (m.addr.empty()) m.addr = report.addr;
    if (relayed && !m.relayed) m.relayed_since = now;
    m.relayed = relayed;
    if (active_)
        absorb(m, report, true);
    else
        greet(m, report);
    m.answered = std::max(m.answered, now);
    Answer answer{token(m), {}, !m.out_of_reach()};
    if (active_ && report.session == m.session && report.seq == m.seq) answer.orders = orders_for(m, false);
    // Whether the worker can be reached without help is found out by calling it now and then.
    if (probe_due(m)) poke(m);
    if (plan_due_ || flush_due_ || !due_.empty()) context_.wake();
    return answer;
}

std::vector<Order> Owner::orders_for(Machine& m, bool direct) {
    const Micros now = context_.host().now();
    std::vector<Order> orders;
    for (const auto& t : m.exited) {
        const AttemptKey key{t.job, t.task, t.attempt};
        // After a clear the attempt is unknown to the worker, and a launch that is still on its way would
        // start it once more: wait until none can be.
        if (m.taints.count(key) || m.answer_launches.count(key) || m.direct_launches.count(key)) continue;
        const Job* job = find_job(t.job);
        if (job && t.task < job->spec.tasks) {
            const Slot& slot = job->slots[static_cast<std::size_t>(t.task)];
            if (slot.state == SlotState::DonePending) continue;  // durable first
        }
        orders.push_back({OrderKind::Clear, t.job, t.task, t.attempt, 0});
    }
    for (const auto& t : m.strays) orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
    for (const auto& [job, task] : m.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop)) continue;
        const AttemptKey key{job->spec.ref, task, slot.attempt};
        if (slot.stop) {
            if (!slot.launch_sent && !slot.seen) continue;  // never sent: given up in tick()
            if (slot.stop_sent != 0 && now - slot.stop_sent < context_.settings().report_every) continue;
            if (slot.phase == Phase::Saving && slot.grace > 0) continue;
            slot.stop_sent = now;
            orders.push_back({OrderKind::Stop, key.job, task, slot.attempt, slot.grace});
            continue;
        }
        if (job->stage != Stage::Queued || m.token_seen < token(m)) continue;
        if (slot.foreign || m.direct_launches.count(key)) continue;
        if (job->spec.kind == JobKind::Gang &&
            std::any_of(job->slots.begin(), job->slots.end(),
                        [](const Slot& s) { return s.state != SlotState::Bound; }))
            continue;
        // The answer to a report is the second way; it is taken when the direct one does not work.
        if (!direct && ((m.direct_backoff == 0 && !m.out_of_reach()) || m.answer_launches.count(key)))
            continue;
        slot.launch_by_answer = !direct && !m.taints.count(key);
        slot.launch_sent = true;
        slot.launch_token = token(m);
        slot.launch_session = m.session;
        slot.launch_seq = m.seq;
        if (direct)
            m.direct_launches.insert(key);
        else
            m.answer_launches[key] = m.seq;
        orders.push_back({OrderKind::Launch, key.job, task, slot.attempt, 0});
    }
    return orders;
}

/// Whether a worker whose reports are relayed is to be called, to find out whether it can be reached again.
bool Owner::probe_due(const Machine& m) const {
    return m.out_of_reach() && context_.host().now() - m.probed_at > kProbeEvery;
}

/// Puts a machine on the list of those to send to.
void Owner::poke(Machine& m) {
    if (m.due) return;
    m.due = true;
    due_.push_back(m.name);
    context_.wake();
}

void Owner::send_orders() {
    if (due_.empty()) return;
    const int most = static_cast<int>(context_.settings().sockets / 16);
    std::vector<std::string> later;
    for (const auto& name : std::exchange(due_, {})) {
        auto it = machines_.find(name);
        if (it == machines_.end()) continue;
        if (direct_calls_ >= most) {
            later.push_back(name);
            continue;
        }
        it->second->due = false;
        send_to(*it->second);
    }
    due_.insert(due_.end(), later.begin(), later.end());
}

void Owner::send_to(Machine& m) {
    const Micros now = context_.host().now();
    if (m.direct_in_flight || now < m.direct_after || m.addr.empty()) return;
    // A worker that only others reach gets its orders in the answers to its reports.
    const bool probe = probe_due(m);
    if (m.out_of_reach() && !probe) return;
    if (probe) m.probed_at = now;
    const bool show_token = m.token_seen < token(m) || (active_ && m.seq == 0);
    std::vector<Order> orders;
    if (m.session > 0 && !show_token && !probe) orders = orders_for(m, true);
    const bool idle =
        std::all_of(orders.begin(), orders.end(), [](const Order& o) { return o.kind == OrderKind::Clear; });
    if (!show_token && !probe && idle) return;  // the next report's answer will do
    // Where the session is not known yet, the first one is as good a guess as any: if it is another, the
    // answer tells.
    const std::uint64_t session = std::max<std::uint64_t>(m.session, 1);
    m.direct_in_flight = true;
    ++direct_calls_;
    Call call;
    call.target = Target::Worker;
    call.addr = m.addr;
    call.timeout = 2500 * kMillisecond;
    call.method = "POST";
    call.path = "/do";
    call.body = wire::direct_orders(token(m), session, orders);
    context_.host().call(std::move(call), [this, alive = alive_, machine = m.name, sent_token = token(m),
                                           session](const Reply& r) {
        if (!*alive) return;
        --direct_calls_;
        auto it = machines_.find(machine);
        if (it == machines_.end()) return;
        Machine& x = *it->second;
        x.direct_in_flight = false;
        auto launched = std::exchange(x.direct_launches, {});
        auto report = r.status == 200 || r.status == 409 ? wire::parse_report(r.body) : std::nullopt;
        context_.wake();
        if (r.status == kNotSent) return not_sent(x, launched);
        if (!report || report->machine != machine) return unanswered(x, launched, sent_token, session);
        x.direct_backoff = 0;
        x.direct_after = 0;
        x.direct_ok = context_.host().now();
        if (report->token > token(x)) return x.leaving ? void() : context_.ousted(domain_);
        if (active_)
            absorb(x, *report, false);
        else
            greet(x, *report);
        // Asked again, if it must be, but not at once: what it tells may be no use for a while.
        if (r.status == 409 || x.seq == 0 || x.token_seen < token(x))
            x.direct_after = context_.host().now() + 100 * kMillisecond;
        // Answered: what the worker does not show was not started and will not be.
        for (const auto& key : launched) {
            Job* job = find_job(key.job);
            if (!job) continue;
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state == SlotState::Bound && slot.attempt == key.attempt && !slot.seen &&
                !x.taints.count(key)) {
                slot.launch_sent = false;
                poke(x);
            }
        }
    });
}

/// No connection came about, so nothing was or will be executed: what was to be launched can run elsewhere,
/// and nothing more is bound there until the machine is heard of again.
void Owner::not_sent(Machine& m, const std::set<AttemptKey>& launched) {
    const Micros now = context_.host().now();
    m.direct_backoff = std::clamp(m.direct_backoff * 2, kSecond, 8 * kSecond);
    m.direct_after = now + m.direct_backoff;
    m.suspect = true;
    for (const auto& key : launched) {
        Job* job = find_job(key.job);
        if (!job) continue;
        Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
        if (slot.state != SlotState::Bound || slot.attempt != key.attempt || slot.seen) continue;
        if (m.taints.count(key) || m.answer_launches.count(key)) continue;  // sent earlier, or otherwise
        slot.launch_sent = false;
        spdlog::info("task {}/{}: {} can't be reached, to be placed elsewhere", key.job, key.task, m.name);
        gone(*job, key.task, 0);
    }
}

/// No answer: each launch in it may still be executed, as long as token and session match. It stays in doubt,
/// and is sent again: a repeated launch has no effect.
void Owner::unanswered(Machine& m, const std::set<AttemptKey>& launched, std::uint64_t sent_token,
                       std::uint64_t session) {
    const Micros now = context_.host().now();
    for (const auto& key : launched) m.taints.insert({key, {sent_token, session, now}});
    m.direct_backoff = std::clamp(m.direct_backoff * 2, kSecond, 4 * kSecond);
    m.direct_after = now + m.direct_backoff;
    m.suspect = true;
    for (const auto& [job, task] : m.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state == SlotState::Bound && slot.launch_sent && !slot.seen) slot.launch_by_answer = false;
    }
}

/// Raises one machine's token in its block record, which ends all doubt about unanswered launches. The other
/// machines of the block keep theirs.
void Owner::raise(Machine& m) {
    if (m.raising) return;
    m.raising = true;
    context_.edit_machine(domain_, m.name, OwnerContext::MachineEdit::Raise,
                          [this, alive = alive_, name = m.name](bool) {
                              if (!*alive) return;
                              auto it = machines_.find(name);
                              if (it != machines_.end()) it->second->raising = false;
                              context_.wake();
                          });
}

void Owner::retire(const std::string& machine, const char* why) {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second->retiring || it->second->retired) return;
    it->second->retiring = true;
    spdlog::info("machine {}: to be returned: {}", machine, why);
    // Its deletion ends the doubt about what is on it.
    const bool urgent = !it->second->tasks.empty();
    context_.edit_machine(domain_, machine,
                          urgent ? OwnerContext::MachineEdit::RetireNow : OwnerContext::MachineEdit::Retire,
                          [this, alive = alive_, machine](bool) {
                              if (!*alive) return;
                              auto found = machines_.find(machine);
                              if (found != machines_.end()) found->second->retiring = false;
                          });
}

// ---------------------------------------------------------------- the pass over everything

void Owner::activate() {
    active_ = true;
    for (auto& [ref, job] : jobs_)
        if (job->spec.kind == JobKind::Gang && job->idle > 0 && job->bound > 0) settle_gang(*job);
    spdlog::info("domain {}: active with {} jobs and {} machines, token {}", domain_, jobs_.size(),
                 machines_.size(), mark_);
}

void Owner::tick() {
    const Micros now = context_.host().now();
    for (auto& [name, owned] : machines_) {
        Machine& m = *owned;
        if (!m.type) m.type = context_.machine_type(m.type_name);
        if (m.token_seen < token(m) || (active_ && m.seq == 0)) poke(m);
        if (!active_) continue;
        if (!m.strays.empty()) poke(m);
        const bool stale_taint = std::any_of(m.taints.begin(), m.taints.end(), [&](const auto& t) {
            return now - t.second.since > 3 * kSecond && t.second.token >= token(m);
        });
        if (stale_taint && silent_for(m) < 2 * context_.settings().report_every) raise(m);
        if (m.tasks.empty()) continue;
        if (lease_over(m)) {
            void_machine(m, "its lease is over");
            m.min_session = m.session + 1;
            continue;
        }
        // Tasks to be stopped whose launch was never sent, or can no longer arrive; and what is to be sent.
        std::vector<TaskRef> dead;
        for (const auto& t : m.tasks) {
            const Slot& slot = t.job->slots[static_cast<std::size_t>(t.task)];
            if (slot.state != SlotState::Bound) continue;
            if (slot.stop || !slot.seen) poke(m);
            if (slot.stop && !slot.seen && !slot.foreign &&
                !still_live(m, slot, {t.job->spec.ref, t.task, slot.attempt}))
                dead.push_back(t);
        }
        for (const auto& t : dead) gone(*t.job, t.task, 0);
        if (m.notice && now <= m.notice_end) drain_noticed(m);
    }
    flush_due_ = true;
    if (std::any_of(jobs_.begin(), jobs_.end(), [now](const auto& j) {
            const Job& job = *j.second;
            return job.stage == Stage::Queued && job.idle > 0 && (!job.held || now >= job.try_after);
        }))
        plan_due_ = true;
    work();
}

void Owner::work() {
    const Micros now = context_.host().now();
    if (active_ && plan_due_) {
        if (now - planned_at_ >= kPlanEvery) {
            plan_due_ = false;
            planned_at_ = now;
            plan();
        } else {
            context_.host().after(planned_at_ + kPlanEvery - now, [this, alive = alive_] {
                if (*alive) context_.wake();
            });
        }
    }
    if (active_ && std::exchange(flush_due_, false)) flush_jobs();
    send_orders();
}

/// On a machine that will be taken, work that can save itself is stopped in time, and so is what will hardly
/// be done before: it starts elsewhere now, instead of being in doubt once the machine is silent.
void Owner::drain_noticed(Machine& m) {
    const Micros now = context_.host().now();
    const Micros left = std::max<Micros>(m.notice_end - now, 0);
    for (const auto& [job, task] : std::set(m.tasks)) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || slot.stop) continue;
        const Micros ran = slot.run_since > 0 ? now - slot.run_since : 0;
        if (job->spec.kind == JobKind::Gang) {
            for (auto& s : job->slots)
                if (s.state == SlotState::Bound) stop_slot(s, job->spec.save + kSecond);
        } else if (job->spec.kind == JobKind::Service || job->spec.checkpoint > 0) {
            stop_slot(slot, job->spec.save + kSecond);
        } else if (job->spec.estimate * 4 / 5 - ran > left) {
            stop_slot(slot, 0);
        }
    }
}

// ---------------------------------------------------------------- what others are told, and given

peer::DomainLoad Owner::load() const {
    peer::DomainLoad d;
    d.domain = domain_;
    d.mark = mark_;
    d.jobs = static_cast<std::uint32_t>(jobs_.size());
    for (const auto& [name, m] : machines_) {
        if (!m->type || m->retired) continue;
        ++d.machines;
        d.capacity += m->type->size.cores;
        if (!m->spot) d.ordinary += m->type->size.cores;
        if (!usable(*m)) continue;
        // Idle work gives way to everything else.
        (m->spot ? d.free_spot : d.free_ordinary) += m->type->size.cores - m->booked.cores + m->idle_work;
        if (m->tasks.empty()) (m->spot ? d.idle_spot : d.idle_ordinary) += m->type->size.cores;
    }
    std::map<std::string, Resources> waiting;
    for (const auto& [ref, job] : jobs_) {
        if (job->spec.rank == Rank::Production)
            d.production += job->spec.need.cores * (job->idle + job->bound);
        if (job->waiting() == 0) continue;
        auto& w = waiting[job->spec.team];
        w.cores += job->spec.need.cores * job->idle;
        w.cards += job->spec.need.cards * job->idle;
        d.waiting += job->spec.need.cores * job->idle;
    }
    for (const auto& team : context_.settings().teams) {
        auto used = usage_.find(team.name);
        d.teams.push_back({team.name, context_.share(domain_, team.name),
                           used == usage_.end() ? Resources{} : used->second, waiting[team.name]});
    }
    return d;
}

std::optional<peer::Want> Owner::want() const {
    if (!active_) return std::nullopt;
    const Micros now = context_.host().now();
    // The job that has waited longest for room speaks for those that need the same.
    const Job* first = nullptr;
    for (const auto& [ref, job] : jobs_)
        if (job->waiting() > 0 && now - job->waiting_since > kWantAfter && quota_allows(*job, 1) &&
            (!first || job->serial < first->serial))
            first = job.get();
    if (!first) return std::nullopt;
    peer::Want w;
    w.domain = domain_;
    w.mark = mark_;
    w.task = first->spec.need;
    w.spot = first->spec.spot;
    if (first->spec.zone) w.zone = *first->spec.zone;
    // Where the zones that it is in take no more, machines in another are what it needs.
    if (first->spec.spread && w.zone.empty()) {
        auto used = first->zones();
        const bool full = std::any_of(used.begin(), used.end(),
                                      [&](const auto& z) { return z.second >= first->zone_cap(); });
        if (full)
            w.zone = *std::min_element(
                context_.settings().zones.begin(), context_.settings().zones.end(),
                [&](const std::string& a, const std::string& b) { return used[a] < used[b]; });
    }
    if (first->spec.types && first->spec.types->size() == 1) w.type = first->spec.types->front();
    for (const auto& [ref, job] : jobs_)
        if (job->spec.spot == first->spec.spot && now - job->waiting_since > kWantAfter)
            w.cores += job->spec.need.cores * job->waiting();
    return w;
}

std::vector<std::string> Owner::offer(const peer::Want& want) {
    std::vector<std::string> names;
    if (!active_) return names;
    const Micros now = context_.host().listened();
    std::vector<Machine*> idle;
    for (auto& [name, m] : machines_) {
        if (!usable(*m) || !m->tasks.empty() || !m->exited.empty() || !m->taints.empty()) continue;
        if (!m->answer_launches.empty() || m->direct_in_flight || m->raising) continue;
        if (now - m->idle_since < kIdleOffer) continue;
        if ((m->spot && !want.spot) || !want.task.fits(m->type->size)) continue;
        if (!want.type.empty() && want.type != m->type_name) continue;
        if (!want.zone.empty() && want.zone != m->zone) continue;
        idle.push_back(m.get());
    }
    // Half of what is idle stays, for what may come here next.
    const std::size_t most = (idle.size() + 1) / 2;
    Milli given = 0;
    for (Machine* m : idle) {
        if (names.size() >= most || given >= want.cores) break;
        m->leaving = true;
        given += m->type->size.cores;
        names.push_back(m->name);
    }
    return names;
}

void Owner::keep(const std::vector<std::string>& machines) {
    for (const auto& name : machines)
        if (auto it = machines_.find(name); it != machines_.end()) it->second->leaving = false;
    plan_due_ = true;
}

/// The record names the owner, so one change of it is all there is to it. Only jobs of which no attempt was
/// ever bound: of the others something may still be on machines of ours.
void Owner::rehome(const std::string& to, Milli ordinary, Milli spot) {
    const Micros now = context_.host().now();
    for (auto& [ref, owned] : jobs_) {
        Job& job = *owned;
        auto& part = job.parts[0];
        if (job.stage != Stage::Queued || job.next_attempt != 1 || job.idle != job.spec.tasks) continue;
        if (part.in_flight || part.reloading || part.mark == 0) continue;
        if (!machines_.empty() && now - job.waiting_since < kWantAfter) continue;
        const Milli need = job.spec.need.cores * job.spec.tasks;
        if (need > ordinary + (job.spec.spot ? spot : 0)) continue;
        const Milli from_spot = job.spec.spot ? std::min(need, spot) : 0;
        spot -= from_spot;
        ordinary -= need - from_spot;
        if (!context_.store().room(Priority::Normal)) return;
        Change change;
        change.when.push_back({keys::domain + domain_, mark_});
        change.when.push_back({keys::job + ref, part.mark});
        Value value = part_value(job, 0, false);
        value["dom"] = to;
        change.then.push_back({keys::job + ref, value});
        change.purpose = "rehome";
        part.in_flight = true;
        job.leaving = true;
        context_.store().commit(std::move(change),
                                [this, alive = alive_, ref = ref, to](const CommitResult& r) {
                                    if (!*alive) return;
                                    Job* found = find_job(ref);
                                    if (!found) return;
                                    found->parts[0].in_flight = false;
                                    found->leaving = false;
                                    if (r.status == CommitStatus::Unavailable) return;
                                    if (r.status != CommitStatus::Ok) return reload(ref, 0);
                                    spdlog::info("job {}: given to {}", ref, to);
                                    given_away(*found);
                                });
    }
}

Resources Owner::spare_share(const std::string& team) const {
    const Resources share = context_.share(domain_, team);
    Resources spare = share;
    if (auto used = usage_.find(team); used != usage_.end()) spare -= used->second;
    for (const auto& [ref, job] : jobs_)
        if (job->spec.team == team) {
            spare.cores -= job->spec.need.cores * job->waiting();
            spare.cards -= job->spec.need.cards * job->waiting();
        }
    // What has no limit is not shared out, so there is nothing of it to give.
    auto part = [](Milli of, Milli left) { return of == kNoLimit ? 0 : std::max<Milli>(left, 0); };
    return {part(share.cores, spare.cores), part(share.cards, spare.cards), 0};
}

Value Owner::status() const {
    int waiting = 0, running = 0;
    for (const auto& [ref, job] : jobs_) {
        waiting += job->idle;
        running += job->bound;
    }
    Value machines = Value::array();
    for (const auto& [name, m] : machines_)
        machines.push_back({{"name", name},
                            {"block", m->block},
                            {"type", m->type_name},
                            {"zone", m->zone},
                            {"spot", m->spot},
                            {"tasks", m->tasks.size()},
                            {"in_doubt", m->taints.size()},
                            {"silent_ms", silent_for(*m) / kMillisecond},
                            {"relayed", m->relayed},
                            {"retired", m->retired}});
    return {{"domain", domain_},    {"token", mark_},           {"active", active_},
            {"jobs", jobs_.size()}, {"tasks_waiting", waiting}, {"tasks_bound", running},
            {"machines", machines}};
}

}  // namespace cottonway
