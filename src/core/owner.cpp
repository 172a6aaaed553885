#include "core/owner.hpp"

#include <algorithm>
#include <utility>

#include "core/authority.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kPlanEvery = 20 * kMillisecond;
/// How long a launch may go without an answer until its machine's token is raised.
constexpr Micros kUnanswered = 3 * kSecond;

}  // namespace

Owner::Owner(OwnerContext& context, std::string domain, Revision mark, Micros former_authority_end)
    : context_(context),
      domain_(std::move(domain)),
      mark_(mark),
      former_end_(former_authority_end),
      taken_at_(context.host().now()),
      planner_(context, domain_, ledger_, *this),
      mover_(context, domain_, mark, ledger_, *this) {}

Owner::~Owner() {
    *alive_ = false;
    // What of these is durable is in the store; whoever asked looks there.
    for (auto& [ref, job] : ledger_.jobs)
        if (job->admitting) job->admitting({CommitStatus::Unknown, 0, {}});
}

// ---------------------------------------------------------------- machines

void Owner::on_machine(const Block& block, const Block::Machine& entry) {
    auto& owned = ledger_.machines[entry.name];
    if (!owned) {
        owned = std::make_unique<Machine>();
        owned->name = entry.name;
        owned->known_since = context_.host().now();
        owned->listened = owned->report_listened = owned->idle_since = context_.host().listened();
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
    auto it = ledger_.machines.find(name);
    if (it == ledger_.machines.end()) return;
    void_machine(*it->second, why);
    ledger_.machines.erase(it);
}

void Owner::void_machine(Machine& m, const char* why) {
    if (!m.tasks.empty()) spdlog::info("machine {}: {} tasks are gone: {}", m.name, m.tasks.size(), why);
    const auto tasks = m.tasks;
    for (const auto& t : tasks) gone(*t.job, t.task, 0);
    ledger_.forget_strays(m);
    m.exited.clear();
    m.taints.clear();
    m.answer_launches.clear();
    m.carried_out.clear();
}

Micros Owner::silent_for(const Machine& m) const {
    return context_.host().listened() - m.listened;
}

/// A worker is of use while it reports, which renews its lease, and hears what it is told. What it answers to
/// calls shows only the latter.
Micros Owner::useless_for(const Machine& m) const {
    const Micros listened = context_.host().listened();
    return std::max(listened - m.report_listened, m.suspect ? listened - m.suspect_since : 0);
}

Micros Owner::patience() const {
    return context_.settings().report_every * 5 / 2 + kSecond;
}

void Owner::drain(const std::string& machine, bool on) {
    auto it = ledger_.machines.find(machine);
    if (it == ledger_.machines.end() || it->second->draining == on) return;
    it->second->draining = on;
    plan_due_ = true;
    spdlog::info("machine {}: {}", machine, on ? "surplus, nothing new is bound to it" : "needed again");
}

bool Owner::passing(const Machine& m) const {
    return std::all_of(m.tasks.begin(), m.tasks.end(), [](const TaskRef& t) {
        return t.job->spec.kind == JobKind::Array && t.job->spec.spot;
    });
}

bool Owner::bindable(const Machine& m) const {
    const Micros now = context_.host().now();
    return m.type && m.seq > 0 && m.token_seen >= token(m) && !m.retired && !m.retiring && !m.leaving &&
           !m.notice && !m.suspect && now >= m.avoid_until && m.strays.empty() && useless_for(m) < patience();
}

/// Whether every lease that the worker may hold has run out: what we granted, what a former holder may have
/// granted as long as the worker has not shown our token, and what other controllers may have renewed on our
/// behalf. Of the last only their promise tells, or that they can't have been entitled any more.
bool Owner::lease_over(const Machine& m) const {
    // A report that we answered renews the lease from when it was sent, which was before it was heard.
    Micros last = std::max(m.heard, m.known_since);
    if (m.token_seen < mark_) last = std::max(last, former_end_);
    return over_since(m, last);
}

/// The same, where the domain's holders can have granted none since `last`.
bool Owner::over_since(const Machine& m, Micros last) const {
    const Micros now = context_.host().now();
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
    const Micros half = context_.settings().lease / 2;
    for (const auto& [name, m] : ledger_.machines) {
        const bool unheard = silent_for(*m) > half || (m->token_seen < mark_ && now - taken_at_ > half);
        if (unheard && !m->bare() && m->promises[peer].until < now + context_.settings().lease)
            names.push_back(name);
    }
    return names;
}

void Owner::renounced(std::size_t peer, const std::string& machine, Promise promise) {
    auto it = ledger_.machines.find(machine);
    if (it != ledger_.machines.end()) it->second->promises[peer] = promise;
}

// ---------------------------------------------------------------- the pass over everything

void Owner::activate() {
    active_ = true;
    for (auto& [ref, job] : ledger_.jobs)
        if (job->spec.kind == JobKind::Gang && job->idle > 0 && job->bound > 0) settle_gang(*job);
    std::size_t bound = 0;
    for (const auto& [name, m] : ledger_.machines) bound += m->tasks.size();
    const Micros now = context_.host().now();
    mover_.adopt();
    startup_.began(now, now - taken_at_, ledger_.jobs.size(), ledger_.machines.size(), bound);
    spdlog::info("domain {}: active with {} jobs and {} machines, token {}", domain_, ledger_.jobs.size(),
                 ledger_.machines.size(), mark_);
}

void Owner::tick() {
    const Micros now = context_.host().now();
    for (auto& [name, owned] : ledger_.machines) {
        Machine& m = *owned;
        if (!m.type) m.type = context_.machine_type(m.type_name);
        if (m.token_seen < token(m) || (active_ && m.seq == 0)) poke(m);
        if (!active_) continue;
        if (!m.strays.empty()) poke(m);
        // Where the worker is not heard its session ends by itself, unless another controller keeps it alive
        // on our behalf: then a launch of a job that has been cancelled since could arrive at any time.
        const bool heard = silent_for(m) < 2 * context_.settings().report_every;
        const bool raises = std::any_of(m.taints.begin(), m.taints.end(), [&](const auto& t) {
            return now - t.second.since > kUnanswered && t.second.token >= token(m) &&
                   (heard || !wanted(t.first.job));
        });
        if (raises) raise(m);
        if (m.bare()) continue;
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
            // What is left of a gang that is done is never launched, since its others are not bound any more.
            if ((slot.stop || t.job->gang_done) && !slot.seen && !slot.foreign &&
                !still_live(m, slot, {t.job->spec.ref, t.task, slot.attempt}))
                dead.push_back(t);
        }
        for (const auto& t : dead) gone(*t.job, t.task, 0);
        if (m.notice && now <= m.notice_end) drain_noticed(m);
    }
    flush_due_ = true;
    if (const std::string line = startup_.line(now); !line.empty())
        spdlog::info("domain {}: {}", domain_, line);
    if (active_) {
        drop_left_over();
        move_out_of_history();
        mover_.tick();
    }
    if (std::any_of(ledger_.jobs.begin(), ledger_.jobs.end(), [now](const auto& j) {
            const Job& job = *j.second;
            return job.stage == Stage::Queued && job.open && job.idle > 0 &&
                   (!job.held || now >= job.try_after);
        }))
        plan_due_ = true;
    work();
}

void Owner::plan() {
    const Micros now = context_.host().now();
    startup_.waiting(std::any_of(ledger_.jobs.begin(), ledger_.jobs.end(),
                                 [](const auto& j) { return j.second->waiting() > 0; }),
                     now);
    planner_.plan();
}

void Owner::bound(Job& job, int task) {
    startup_.bound(context_.host().now());
    touch(job, static_cast<std::size_t>(task) / job.part_tasks);
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
    const auto tasks = m.tasks;
    for (const auto& [job, task] : tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || slot.stop) continue;
        const Micros ran = slot.run_since > 0 ? now - slot.run_since : 0;
        if (job->spec.kind == JobKind::Gang) {
            for (auto& s : job->slots)
                if (s.state == SlotState::Bound) stop(s, job->spec.save + kSecond);
        } else if (job->spec.kind == JobKind::Service || job->spec.checkpoint > 0) {
            stop(slot, job->spec.save + kSecond);
        } else if (job->spec.estimate * 4 / 5 - ran > left) {
            stop(slot, 0);
        }
    }
}

}  // namespace cottonway
