#include "core/owner.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxImages = 64;

/// A lease measured by another clock may run this much longer by ours.
Micros with_drift(Micros t) {
    return t + t / 1000 + kSecond;
}

std::string part_key(const std::string& ref, std::size_t part) {
    return part == 0 ? keys::job + ref : keys::part + ref + "/" + std::to_string(part);
}

}  // namespace

Value Block::value() const {
    Value v{{"dom", domain}, {"type", type}, {"zone", zone}, {"addr", addr}, {"spot", spot}};
    if (retired) v["retired"] = true;
    return v;
}

std::optional<Block> Block::parse(const std::string& machine, const Value& v, Revision mark) {
    Block b;
    auto dom = wire::text(v, "dom"), type = wire::text(v, "type"), zone = wire::text(v, "zone"),
         addr = wire::text(v, "addr");
    if (!dom || !type || !zone || !addr) return std::nullopt;
    b.machine = machine;
    b.domain = *dom;
    b.type = *type;
    b.zone = *zone;
    b.addr = *addr;
    b.spot = wire::flag(v, "spot").value_or(false);
    b.retired = wire::flag(v, "retired").value_or(false);
    b.mark = mark;
    return b;
}

Owner::Owner(OwnerContext& context, std::string domain, Revision mark, Micros former_authority_end)
    : context_(context), domain_(std::move(domain)), mark_(mark), former_end_(former_authority_end) {}

Owner::~Owner() {
    *alive_ = false;
}

// ---------------------------------------------------------------- blocks

void Owner::on_block(const Block& block) {
    auto it = machines_.find(block.machine);
    if (block.domain != domain_) {
        if (it != machines_.end() && block.mark > it->second->block.mark) {
            // Only this owner gives its blocks away, and only empty ones: whatever a record still lists is
            // gone.
            void_machine(*it->second, "its block has moved");
            machines_.erase(it);
        }
        return;
    }
    if (it == machines_.end()) {
        auto m = std::make_unique<Machine>();
        m->known_since = context_.host().now();
        m->idle_since = m->known_since;
        it = machines_.emplace(block.machine, std::move(m)).first;
    }
    if (block.mark >= it->second->block.mark) it->second->block = block;
    it->second->type = context_.machine_type(block.type);
}

void Owner::on_block_gone(const std::string& machine) {
    // A block record is dropped only after the cloud has confirmed that the machine is deleted.
    auto it = machines_.find(machine);
    if (it == machines_.end()) return;
    void_machine(*it->second, "the machine is deleted");
    machines_.erase(it);
}

void Owner::forget_strays(Machine& m) {
    for (const auto& s : m.strays)
        if (--stray_tasks_[{s.job, s.task}] <= 0) stray_tasks_.erase({s.job, s.task});
    m.strays.clear();
}

void Owner::void_machine(Machine& m, const char* why) {
    if (!m.tasks.empty())
        spdlog::info("machine {}: {} tasks are gone: {}", m.block.machine, m.tasks.size(), why);
    for (const auto& [ref, task] : std::set(m.tasks)) {
        auto job = jobs_.find(ref);
        if (job != jobs_.end()) gone(*job->second, task, 0);
    }
    forget_strays(m);
    m.exited.clear();
    m.taints.clear();
    m.answer_launches.clear();
}

Micros Owner::silent_for(const Machine& m) const {
    return context_.host().now() - std::max(m.heard, m.known_since);
}

void Owner::drain(const std::string& machine, bool on) {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second->draining == on) return;
    it->second->draining = on;
    spdlog::info("machine {}: {}", machine, on ? "surplus, nothing new is bound to it" : "needed again");
}

bool Owner::passing(const Machine& m) const {
    return std::all_of(m.tasks.begin(), m.tasks.end(), [&](const auto& key) {
        const JobSpec& s = jobs_.at(key.first)->spec;
        return s.kind == JobKind::Array && s.spot;
    });
}

bool Owner::usable(const Machine& m) const {
    const Micros now = context_.host().now();
    return m.type && m.seq > 0 && m.token_seen >= token(m) && !m.block.retired && !m.retiring &&
           !m.draining && !m.notice && now >= m.avoid_until && m.strays.empty() &&
           now - m.heard < context_.settings().report_every * 5 / 2 + kSecond;
}

/// From when on every lease that the worker may hold is over: ours, and any that a former holder may have
/// granted as long as the worker has not shown our token.
Micros Owner::proof_time(const Machine& m) const {
    const Micros lease = with_drift(context_.settings().lease);
    Micros t = std::max({m.answered, m.heard, m.known_since}) + lease;
    if (m.token_seen < mark_) t = std::max(t, former_end_ + lease);
    return t;
}

// ---------------------------------------------------------------- jobs: records

void Owner::on_job(const std::string& ref, const Value& value, Revision mark) {
    auto it = jobs_.find(ref);
    if (it == jobs_.end()) {
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
        job->submitted_ms = static_cast<std::int64_t>(wire::number(value, "at").value_or(0));
        job->waiting_since = context_.host().now();
        job->slots.resize(static_cast<std::size_t>(job->spec.tasks));
        job->idle = job->spec.tasks;
        job->parts.resize((job->slots.size() + kPartTasks - 1) / kPartTasks);
        it = jobs_.emplace(ref, std::move(job)).first;
        adopt_part(*it->second, 0, value, mark);
        if (auto orphans = orphan_parts_.find(ref); orphans != orphan_parts_.end()) {
            for (auto& [part, rest] : orphans->second)
                if (part < it->second->parts.size()) adopt_part(*it->second, part, rest.first, rest.second);
            orphan_parts_.erase(orphans);
        }
        context_.wake();
        return;
    }
    Job& job = *it->second;
    // While a write of ours is under way its result will tell; a later record makes it fail.
    if (mark <= job.parts[0].mark || job.parts[0].in_flight || job.parts[0].reloading) return;
    // A final record holds no tasks: taken as an ordinary one, the job would start all over again.
    if (!wire::find(value, "d")) return drop_job(ref);
    adopt_part(job, 0, value, mark);
    context_.wake();
}

void Owner::on_part(const std::string& name, const Value& value, Revision mark) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos) return;
    const std::string ref = name.substr(0, slash);
    const auto part = static_cast<std::size_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10));
    auto it = jobs_.find(ref);
    if (it == jobs_.end()) {
        if (!active_) orphan_parts_[ref].push_back({part, {value, mark}});
        return;
    }
    if (part == 0 || part >= it->second->parts.size()) return;
    auto& p = it->second->parts[part];
    if (mark <= p.mark || p.in_flight || p.reloading) return;
    adopt_part(*it->second, part, value, mark);
}

/// Takes a stored part as the truth about what is durable.
void Owner::adopt_part(Job& job, std::size_t part, const Value& value, Revision mark) {
    job.parts[part].mark = mark;
    const bool was_dirty = job.parts[part].dirty;
    const std::size_t first = part * kPartTasks;
    const std::size_t last = std::min(job.slots.size(), first + kPartTasks);
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
    if (const Value* bindings = wire::find(value, "b"); bindings && bindings->is_array()) {
        for (const auto& b : *bindings) {
            if (!b.is_array() || b.size() != 3 || !b[0].is_number_integer() || !b[1].is_number_integer() ||
                !b[2].is_string())
                continue;
            const auto task = b[0].get<std::size_t>();
            const auto attempt = b[1].get<std::int64_t>();
            if (task < first || task >= last) continue;
            Slot& slot = job.slots[task];
            if (slot.state == SlotState::Binding && slot.attempt == attempt) {
                slot.state = SlotState::Bound;
                continue;
            }
            if (slot.state != SlotState::Idle || slot.attempt >= attempt) continue;
            auto m = machines_.find(b[2].get<std::string>());
            job.next_attempt = std::max(job.next_attempt, attempt + 1);
            // No block of ours: the machine was proven gone, or given away empty.
            if (m == machines_.end()) continue;
            bind(job, static_cast<int>(task), *m->second, attempt);
            slot.state = SlotState::Bound;
            slot.foreign = true;
            slot.launch_sent = true;
            slot.launch_token = mark_ - 1;
            slot.launch_session = UINT64_MAX;
        }
    }
    for (std::size_t i = first; i < last; ++i)
        if (job.slots[i].state == SlotState::Binding) job.parts[part].dirty = true;
    if (part == 0 && wire::text(value, "s") == "cancelled") cancel(job);
    dirty_.insert(job.spec.ref);
}

Value Owner::part_value(const Job& job, std::size_t part, bool final_record) const {
    const std::size_t first = part * kPartTasks;
    const std::size_t last = std::min(job.slots.size(), first + kPartTasks);
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
        v["fd"] = job.done;
        v["fr"] = job.bound;
    }
    v["n"] = job.next_attempt;
    Value bindings = Value::array();
    std::string bits((last - first + 3) / 4, '0');
    bool any = false;
    for (std::size_t i = first; i < last; ++i) {
        const Slot& slot = job.slots[i];
        if (slot.state == SlotState::Binding || slot.state == SlotState::Bound)
            bindings.push_back(Value::array({i, slot.attempt, slot.machine->block.machine}));
        if (slot.state == SlotState::Done || slot.state == SlotState::DonePending) {
            auto& c = bits[(i - first) / 4];
            int nibble = c >= 'a' ? c - 'a' + 10 : c - '0';
            nibble |= 1 << ((i - first) % 4);
            c = static_cast<char>(nibble < 10 ? '0' + nibble : 'a' + nibble - 10);
            any = true;
        }
    }
    if (!bindings.empty()) v["b"] = std::move(bindings);
    if (any) v["f"] = bits;
    return v;
}

void Owner::flush_jobs() {
    const Micros now = context_.host().now();
    for (const auto& ref : std::exchange(dirty_, {})) {
        auto it = jobs_.find(ref);
        if (it == jobs_.end()) continue;
        Job& job = *it->second;
        bool waiting = false;
        for (std::size_t p = job.parts.size(); p-- > 0;) {
            auto& part = job.parts[p];
            // Part 0 says that the job is over, so it goes last, after the others are durable.
            const bool over = job.over();
            if (p == 0 && over && !waiting) part.dirty = true;
            if (!part.dirty) continue;
            waiting = true;
            if (part.in_flight || part.reloading) continue;
            if (now < part.not_before) {
                dirty_.insert(ref);
                continue;
            }
            if (p == 0 && over) {
                const bool others = std::any_of(job.parts.begin() + 1, job.parts.end(), [](const auto& x) {
                    return x.dirty || x.in_flight || x.reloading;
                });
                if (others) {
                    dirty_.insert(ref);
                    continue;
                }
            }
            write_part(job, p);
        }
    }
}

void Owner::write_part(Job& job, std::size_t index) {
    const std::string ref = job.spec.ref;
    auto& part = job.parts[index];
    const bool final_record = index == 0 && job.over();
    Change change;
    // Write ahead: on the records as we know them, so that no ousted holder binds and no cancelled job is
    // bound.
    change.when.push_back({keys::domain + domain_, mark_});
    change.when.push_back({keys::job + ref, job.parts[0].mark});
    if (index > 0) change.when.push_back({part_key(ref, index), part.mark});
    Value value = part_value(job, index, final_record);
    std::vector<AttemptKey> binding;
    std::vector<int> done;
    const std::size_t first = index * kPartTasks;
    for (std::size_t i = first; i < std::min(job.slots.size(), first + kPartTasks); ++i) {
        if (job.slots[i].state == SlotState::Binding)
            binding.push_back({ref, static_cast<int>(i), job.slots[i].attempt});
        if (job.slots[i].state == SlotState::DonePending) done.push_back(static_cast<int>(i));
    }
    change.then.push_back({part_key(ref, index), std::move(value)});
    part.dirty = false;
    part.in_flight = true;
    context_.store().commit(std::move(change), [this, alive = alive_, ref, index, final_record, binding,
                                                done](const CommitResult& result) {
        if (!*alive) return;
        auto it = jobs_.find(ref);
        if (it == jobs_.end()) return;
        Job& j = *it->second;
        auto& p = j.parts[index];
        p.in_flight = false;
        context_.wake();
        if (result.status == CommitStatus::Ok) {
            p.mark = result.revision;
            for (const auto& key : binding) {
                Slot& slot = j.slots[static_cast<std::size_t>(key.task)];
                if (slot.state == SlotState::Binding && slot.attempt == key.attempt)
                    slot.state = SlotState::Bound;
            }
            for (int task : done) {
                Slot& slot = j.slots[static_cast<std::size_t>(task)];
                if (slot.state == SlotState::DonePending) slot.state = SlotState::Done;
            }
            if (final_record) {
                spdlog::info("job {}: {}", ref, j.stage == Stage::Cancelled ? "cancelled, all gone" : "done");
                return drop_job(ref);
            }
            dirty_.insert(ref);
            return;
        }
        if (result.status == CommitStatus::Conflict &&
            std::find(result.failed.begin(), result.failed.end(), keys::domain + domain_) !=
                result.failed.end())
            return context_.ousted(domain_);
        if (result.status == CommitStatus::Unavailable) {
            p.dirty = true;
            p.not_before = context_.host().now() + 150 * kMillisecond;
            dirty_.insert(ref);
            return;
        }
        // Executed or not: the record decides.
        reload(ref, index);
        if (index > 0) reload(ref, 0);
    });
}

void Owner::reload(const std::string& ref, std::size_t index) {
    auto it = jobs_.find(ref);
    if (it == jobs_.end()) return;
    auto& part = it->second->parts[index];
    if (part.reloading || part.in_flight) return;
    part.reloading = true;
    context_.store().read(part_key(ref, index), [this, alive = alive_, ref, index](const ReadResult& r) {
        if (!*alive) return;
        auto found = jobs_.find(ref);
        if (found == jobs_.end()) return;
        Job& job = *found->second;
        auto& p = job.parts[index];
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
        p.dirty = true;
        if (r.found) adopt_part(job, index, r.value, r.mark);
        // What is durable of done tasks was set by adopt_part; the rest is written again.
        dirty_.insert(ref);
        context_.wake();
    });
}

void Owner::drop_job(const std::string& ref) {
    auto it = jobs_.find(ref);
    if (it == jobs_.end()) return;
    Job& job = *it->second;
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        auto state = job.slots[i].state;
        if (state == SlotState::Binding || state == SlotState::Bound) gone(job, static_cast<int>(i), 0);
    }
    for (std::size_t p = 1; p < job.parts.size(); ++p) {
        if (job.parts[p].mark == 0) continue;
        Change change;
        change.when.push_back({keys::domain + domain_, mark_});
        change.then.push_back({part_key(ref, p), Value()});
        context_.store().commit(std::move(change), [](const CommitResult&) {});
    }
    jobs_.erase(it);
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
    m.booked += job.spec.need;
    m.tasks.insert({job.spec.ref, task});
    usage_[job.spec.team] += job.spec.need;
}

void Owner::set_idle(Job& job, Slot& slot) {
    Machine& m = *slot.machine;
    const auto task = static_cast<int>(&slot - job.slots.data());
    m.booked -= job.spec.need;
    m.tasks.erase({job.spec.ref, task});
    if (m.tasks.empty()) m.idle_since = context_.host().now();
    usage_[job.spec.team] -= job.spec.need;
    slot.machine = nullptr;
    slot.state = SlotState::Idle;
    slot.seen = slot.foreign = slot.launch_sent = slot.stop = false;
    --job.bound;
    ++job.idle;
}

void Owner::gone(Job& job, int task, Micros retry_in) {
    Slot& slot = job.slots[static_cast<std::size_t>(task)];
    if (slot.state != SlotState::Binding && slot.state != SlotState::Bound) return;
    set_idle(job, slot);
    const Micros now = context_.host().now();
    slot.retry_at = now + retry_in;
    if (job.idle == 1) job.waiting_since = now;
    dirty_.insert(job.spec.ref);
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
    job.parts[static_cast<std::size_t>(task) / kPartTasks].dirty = true;
    dirty_.insert(job.spec.ref);
}

void Owner::stop_slot(Slot& slot, Micros grace) {
    if (slot.stop && grace >= slot.grace) return;
    slot.stop = true;
    slot.grace = grace;
    slot.stop_sent = 0;
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
        // Mostly the machine is at fault, but a job that fails everywhere must not condemn machines.
        slot.errors = std::min(slot.errors + 1, 6);
        retry = kSecond << std::min(slot.errors - 1, 5);
        if (slot.errors <= 2) {
            m.error_jobs.insert(job.spec.ref);
            m.avoid_until = now + (m.error_jobs.size() >= 2 ? 60 * kSecond : 5 * kSecond);
        }
        spdlog::info("task {}/{}: failed on {}, {} errors", job.spec.ref, task, m.block.machine, slot.errors);
    } else if (cause == ExitCause::NoRoom || cause == ExitCause::Busy || cause == ExitCause::Unknown) {
        retry = kSecond;
        if (cause == ExitCause::NoRoom) m.avoid_until = now + 2 * kSecond;
        spdlog::info("task {}/{}: start refused on {}", job.spec.ref, task, m.block.machine);
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
}

/// Applies a worker's message; `is_report` tells a report from the answer to a /do.
void Owner::absorb(Machine& m, const Report& r, bool is_report) {
    const Micros now = context_.host().now();
    if (r.session < m.min_session) return;
    if (std::pair(r.session, r.seq) <= std::pair(m.session, m.seq)) return;
    if (r.session > m.session) {
        m.taints.clear();  // /do names the session: what was sent to an earlier one is refused
        m.answer_launches.clear();
    }
    m.session = r.session;
    m.seq = r.seq;
    m.token_seen = std::max(m.token_seen, r.token);
    m.heard = now;
    if (r.notice && !m.notice) {
        m.notice = true;
        m.notice_end = now + *r.notice;
        spdlog::info("machine {}: will be taken in {} s", m.block.machine, *r.notice / kSecond);
    }
    std::erase_if(m.taints, [&](const auto& t) { return r.token > t.second.token; });
    if (is_report) std::erase_if(m.answer_launches, [&](const auto& l) { return r.seq > l.second; });

    forget_strays(m);
    m.exited.clear();
    std::set<std::pair<std::string, int>> shown;
    for (const auto& t : r.tasks) {
        auto it = jobs_.find(t.job);
        Job* job = it == jobs_.end() ? nullptr : it->second.get();
        Slot* slot =
            job && t.task < job->spec.tasks ? &job->slots[static_cast<std::size_t>(t.task)] : nullptr;
        if (slot && slot->machine == &m && slot->attempt == t.attempt &&
            (slot->state == SlotState::Bound || slot->state == SlotState::Binding)) {
            shown.insert({t.job, t.task});
            slot->seen = true;
            slot->launch_sent = true;
            if (slot->phase != Phase::Running && t.phase == Phase::Running) {
                slot->run_since = now;
                spdlog::debug("task {}/{}: runs on {}", t.job, t.task, m.block.machine);
                std::erase_if(m.images, [&](const auto& i) { return i.first == job->spec.image; });
                m.images.emplace_back(job->spec.image, job->spec.image_gb);
                Milli total = 0;
                for (const auto& i : m.images) total += i.second;
                while (m.images.size() > 1 &&
                       (m.images.size() > kMaxImages || (m.type && total > m.type->cache_gb))) {
                    total -= m.images.front().second;
                    m.images.erase(m.images.begin());
                }
            }
            slot->phase = t.phase;
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
    for (const auto& [ref, task] : std::set(m.tasks)) {
        if (shown.count({ref, task})) continue;
        auto it = jobs_.find(ref);
        if (it != jobs_.end()) absent(m, *it->second, task, r, is_report);
    }
    if (!m.tasks.empty()) m.idle_since = now;
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
    }
    if (slot.stop && !still_live(m, slot, key)) gone(job, task, 0);
}

/// Whether a launch of this attempt may still be executed.
bool Owner::still_live(const Machine& m, const Slot& slot, const AttemptKey& key) const {
    return slot.launch_sent || m.taints.count(key) || m.direct_launches.count(key) ||
           m.answer_launches.count(key);
}

// ---------------------------------------------------------------- reports and orders

std::optional<Owner::Answer> Owner::on_report(const Report& report, bool authorised) {
    auto it = machines_.find(report.machine);
    if (it == machines_.end()) return std::nullopt;
    Machine& m = *it->second;
    if (report.token > token(m)) {
        spdlog::info("machine {} has seen a higher token than ours", report.machine);
        context_.ousted(domain_);
        return std::nullopt;
    }
    if (!authorised || report.session < m.min_session) return std::nullopt;
    if (active_)
        absorb(m, report, true);
    else
        greet(m, report);
    m.answered = std::max(m.answered, context_.host().now());
    Answer answer{token(m), {}};
    if (active_ && report.session == m.session && report.seq == m.seq) answer.orders = orders_for(m, false);
    context_.wake();
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
        auto it = jobs_.find(t.job);
        if (it != jobs_.end() && t.task < it->second->spec.tasks) {
            const Slot& slot = it->second->slots[static_cast<std::size_t>(t.task)];
            if (slot.state == SlotState::DonePending) continue;  // durable first
        }
        orders.push_back({OrderKind::Clear, t.job, t.task, t.attempt, 0});
    }
    for (const auto& t : m.strays) orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
    for (const auto& [ref, task] : m.tasks) {
        Job& job = *jobs_.at(ref);
        Slot& slot = job.slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound) continue;
        const AttemptKey key{ref, task, slot.attempt};
        if (slot.stop) {
            if (!slot.launch_sent && !slot.seen) continue;  // never sent: given up in work()
            if (slot.stop_sent != 0 && now - slot.stop_sent < context_.settings().report_every) continue;
            if (slot.phase == Phase::Saving && slot.grace > 0) continue;
            slot.stop_sent = now;
            orders.push_back({OrderKind::Stop, ref, task, slot.attempt, slot.grace});
            continue;
        }
        if (slot.seen || job.stage != Stage::Queued || m.token_seen < token(m)) continue;
        if (slot.foreign || m.direct_launches.count(key)) continue;
        if (job.spec.kind == JobKind::Gang &&
            std::any_of(job.slots.begin(), job.slots.end(),
                        [](const Slot& s) { return s.state != SlotState::Bound; }))
            continue;
        // The answer to a report is the second way; it is taken when the direct one did not work.
        if (!direct && (m.direct_backoff == 0 || m.answer_launches.count(key))) continue;
        slot.launch_by_answer = !direct && !m.taints.count(key);
        slot.launch_sent = true;
        slot.launch_token = token(m);
        slot.launch_session = m.session;
        slot.launch_seq = m.seq;
        if (direct)
            m.direct_launches.insert(key);
        else
            m.answer_launches[key] = m.seq;
        orders.push_back({OrderKind::Launch, ref, task, slot.attempt, 0});
    }
    return orders;
}

void Owner::send_orders() {
    const Micros now = context_.host().now();
    for (auto& [name, owned] : machines_) {
        Machine& m = *owned;
        if (m.direct_in_flight || now < m.direct_after || m.block.addr.empty()) continue;
        const bool show_token = m.token_seen < token(m) || (active_ && m.seq == 0);
        if (show_token && m.session == 0) {
            // The session is not known yet: ask for the worker's report first.
            m.direct_in_flight = true;
        }
        std::vector<Order> orders;
        if (m.session > 0 && !show_token) orders = orders_for(m, true);
        if (!show_token && orders.empty()) continue;
        m.direct_in_flight = true;
        Call call;
        call.target = Target::Worker;
        call.addr = m.block.addr;
        call.timeout = 2500 * kMillisecond;
        if (m.session > 0) {
            call.method = "POST";
            call.path = "/do";
            call.body = wire::direct_orders(token(m), m.session, orders);
        } else {
            call.method = "GET";
            call.path = "/show";
        }
        const std::uint64_t sent_token = token(m);
        const std::uint64_t sent_session = m.session;
        context_.host().call(std::move(call), [this, alive = alive_, machine = name, sent_token,
                                               sent_session](const Reply& r) {
            if (!*alive) return;
            auto it = machines_.find(machine);
            if (it == machines_.end()) return;
            Machine& x = *it->second;
            x.direct_in_flight = false;
            auto launched = std::exchange(x.direct_launches, {});
            auto report = r.status == 200 || r.status == 409 ? wire::parse_report(r.body) : std::nullopt;
            context_.wake();
            if (!report || report->machine != machine) {
                // No answer: each launch in it may still be executed, as long as token and session match.
                for (const auto& key : launched) {
                    x.taints.insert({key, {sent_token, sent_session, context_.host().now()}});
                    // It stays in doubt, and is sent again: a repeated launch has no effect.
                }
                x.direct_backoff = std::clamp(x.direct_backoff * 2, kSecond, 4 * kSecond);
                x.direct_after = context_.host().now() + x.direct_backoff;
                for (const auto& [ref, task] : x.tasks) {
                    Slot& slot = jobs_.at(ref)->slots[static_cast<std::size_t>(task)];
                    if (slot.state == SlotState::Bound && slot.launch_sent && !slot.seen)
                        slot.launch_by_answer = false;
                }
                return;
            }
            x.direct_backoff = 0;
            x.direct_after = 0;
            if (report->token > token(x)) return context_.ousted(domain_);
            if (active_)
                absorb(x, *report, false);
            else
                greet(x, *report);
            // Asked again, if it must be, but not at once: what it tells may be no use for a while.
            if (r.status == 409 || x.seq == 0 || x.token_seen < token(x))
                x.direct_after = context_.host().now() + 200 * kMillisecond;
            // Answered: what the worker does not show was not started and will not be.
            for (const auto& key : launched) {
                auto job = jobs_.find(key.job);
                if (job == jobs_.end()) continue;
                Slot& slot = job->second->slots[static_cast<std::size_t>(key.task)];
                if (slot.state == SlotState::Bound && slot.attempt == key.attempt && !slot.seen &&
                    !x.taints.count(key))
                    slot.launch_sent = false;
            }
        });
    }
}

/// Raises one machine's token by rewriting its block record, which ends all doubt about unanswered launches.
void Owner::bump(Machine& m) {
    if (m.bumping) return;
    m.bumping = true;
    Change change;
    change.when.push_back({keys::domain + domain_, mark_});
    change.when.push_back({keys::block + m.block.machine, m.block.mark});
    change.then.push_back({keys::block + m.block.machine, m.block.value()});
    context_.store().commit(std::move(change),
                            [this, alive = alive_, name = m.block.machine](const CommitResult& r) {
                                if (!*alive) return;
                                auto it = machines_.find(name);
                                if (it == machines_.end()) return;
                                it->second->bumping = false;
                                if (r.status == CommitStatus::Ok)
                                    it->second->block.mark = std::max(it->second->block.mark, r.revision);
                                context_.wake();
                            });
}

void Owner::retire(const std::string& machine, const char* why) {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second->retiring || it->second->block.retired) return;
    Machine& m = *it->second;
    m.retiring = true;
    spdlog::info("machine {}: to be returned: {}", machine, why);
    Block next = m.block;
    next.retired = true;
    Change change;
    change.when.push_back({keys::domain + domain_, mark_});
    change.when.push_back({keys::block + machine, m.block.mark});
    change.then.push_back({keys::block + machine, next.value()});
    context_.store().commit(std::move(change), [this, alive = alive_, machine](const CommitResult& r) {
        if (!*alive) return;
        auto found = machines_.find(machine);
        if (found == machines_.end()) return;
        if (r.status == CommitStatus::Ok) {
            found->second->block.retired = true;
            found->second->block.mark = std::max(found->second->block.mark, r.revision);
        }
        // Without an answer the mark may still be set: the machine stays set aside until the next try tells.
        found->second->retiring = false;
        if (r.status != CommitStatus::Ok) found->second->avoid_until = context_.host().now() + 10 * kSecond;
    });
}

// ---------------------------------------------------------------- the pass over everything

void Owner::activate() {
    active_ = true;
    orphan_parts_.clear();
    for (auto& [ref, job] : jobs_)
        if (job->spec.kind == JobKind::Gang && job->idle > 0 && job->bound > 0) settle_gang(*job);
    spdlog::info("domain {}: active with {} jobs and {} machines, token {}", domain_, jobs_.size(),
                 machines_.size(), mark_);
}

void Owner::work() {
    const Micros now = context_.host().now();
    if (!active_) {
        send_orders();
        return;
    }
    for (auto& [name, owned] : machines_) {
        Machine& m = *owned;
        if (!m.type) m.type = context_.machine_type(m.block.type);
        if (!m.tasks.empty() && now > proof_time(m)) {
            void_machine(m, "its lease is over");
            m.min_session = m.session + 1;
        }
        // Tasks to be stopped whose launch was never sent, or can no longer arrive.
        for (const auto& [ref, task] : std::set(m.tasks)) {
            auto it = jobs_.find(ref);
            if (it == jobs_.end()) continue;
            Slot& slot = it->second->slots[static_cast<std::size_t>(task)];
            if (slot.state == SlotState::Bound && slot.stop && !slot.seen && !slot.foreign &&
                !still_live(m, slot, {ref, task, slot.attempt}))
                gone(*it->second, task, 0);
        }
        const bool stale_taint = std::any_of(m.taints.begin(), m.taints.end(), [&](const auto& t) {
            return now - t.second.since > 3 * kSecond && t.second.token >= token(m);
        });
        if (stale_taint && silent_for(m) < 2 * context_.settings().report_every) bump(m);
    }
    drain_noticed();
    plan();
    flush_jobs();
    send_orders();
}

/// Work that can save itself is stopped in time on a machine that will be taken.
void Owner::drain_noticed() {
    const Micros now = context_.host().now();
    for (auto& [name, owned] : machines_) {
        Machine& m = *owned;
        if (!m.notice || now > m.notice_end) continue;
        for (const auto& [ref, task] : m.tasks) {
            Job& job = *jobs_.at(ref);
            Slot& slot = job.slots[static_cast<std::size_t>(task)];
            if (slot.state != SlotState::Bound || slot.stop) continue;
            if (job.spec.kind == JobKind::Gang) {
                for (auto& s : job.slots)
                    if (s.state == SlotState::Bound) stop_slot(s, job.spec.save + kSecond);
            } else if (job.spec.kind == JobKind::Service || job.spec.checkpoint > 0) {
                stop_slot(slot, job.spec.save + kSecond);
            }
        }
    }
}

Value Owner::status() const {
    Value jobs = Value::array();
    int waiting = 0, running = 0;
    for (const auto& [ref, job] : jobs_) {
        waiting += job->idle;
        running += job->bound;
    }
    Value machines = Value::array();
    for (const auto& [name, m] : machines_)
        machines.push_back({{"name", name},
                            {"type", m->block.type},
                            {"zone", m->block.zone},
                            {"spot", m->block.spot},
                            {"tasks", m->tasks.size()},
                            {"in_doubt", m->taints.size()},
                            {"silent_ms", silent_for(*m) / kMillisecond},
                            {"retired", m->block.retired}});
    return {{"domain", domain_},    {"token", mark_},           {"active", active_},
            {"jobs", jobs_.size()}, {"tasks_waiting", waiting}, {"tasks_bound", running},
            {"machines", machines}};
}

}  // namespace cottonway
