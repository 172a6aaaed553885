#include "shard/rebalancer.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/gpu_packing.hpp"
#include "scheduling/queue_order.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

using scheduling::Gather;
using scheduling::Move;
using scheduling::Reason;

namespace {
constexpr Micros kLookEvery = kSecond;
constexpr std::int64_t kGiveUpMs = 300'000;
constexpr std::int64_t kPatienceMs = 20'000;  // with a move that must not be begun for now
constexpr Micros kReadAgain = 500 * kMillisecond;
constexpr Micros kLately = 600 * kSecond;
constexpr Micros kLongAgo = 3600 * kSecond;

bool runs(const Slot& slot) {
    return slot.state == SlotState::Bound && slot.seen && slot.phase == Phase::Running && !slot.stop;
}

bool waits(const Job& job) {
    return job.stage == Stage::Queued && job.open && !job.backing_off && !job.leaving;
}
}  // namespace

/// What the plan asks of the shard's books.
class Rebalancer::Books : public scheduling::Plan::Knows {
  public:
    explicit Books(const Rebalancer& rebalancer) : rebalancer_(rebalancer) {}
    scheduling::TaskState task(const std::string& ref, int task) const override {
        const Job* job = rebalancer_.shard_state_.job(ref);
        if (!job || task < 0 || static_cast<std::size_t>(task) >= job->slots.size()) return {};
        const Slot& slot = job->slots[static_cast<std::size_t>(task)];
        const bool over = slot.state == SlotState::Done || slot.state == SlotState::DonePending;
        return {!over, job->stage == Stage::Cancelled, slot.machine ? slot.machine->name : "", slot.attempt,
                slot.stop};
    }
    scheduling::JobState job(const std::string& ref) const override {
        const Job* job = rebalancer_.shard_state_.job(ref);
        if (!job) return {};
        return {true, job->stage == Stage::Cancelled, job->spec.kind == JobKind::Service,
                waits(*job) ? job->idle : 0};
    }
    int tasks_on(const std::string& ref, const std::string& machine) const override {
        const Machine* m = rebalancer_.shard_state_.machine(machine);
        if (!m) return 0;
        return static_cast<int>(std::count_if(m->tasks.begin(), m->tasks.end(),
                                              [&](const TaskRef& t) { return t.job->spec.ref == ref; }));
    }
    bool machine_usable(const std::string& machine) const override {
        const Machine* m = rebalancer_.shard_state_.machine(machine);
        return m && rebalancer_.of_.usable(*m);
    }

  private:
    const Rebalancer& rebalancer_;
};

Rebalancer::Rebalancer(ShardContext& context, std::string shard, Revision shard_revision,
                       const ShardState& shard_state, Scheduler::Shard& of)
    : context_(context),
      shard_(std::move(shard)),
      shard_revision_(shard_revision),
      shard_state_(shard_state),
      of_(of),
      since_(context.runtime().now()) {}

Rebalancer::~Rebalancer() {
    *alive_ = false;
}

void Rebalancer::adopt() {
    // What is read is of after the shard became ours, so no write of a predecessor is still to come.
    const PlanCache::Stored* stored = context_.stored_plan(shard_);
    if (!stored) return;
    known_ = stored->mod_revision;
    if (stored->value.is_null()) return;
    record_ = stored->mod_revision;
    if (!plan_.take(stored->value)) spdlog::error("domain {}: its plan is damaged, and given up", shard_);
    if (!plan_.empty())
        spdlog::info("domain {}: {} moves and room on {} machines to go on with", shard_,
                     plan_.moves().size(), plan_.gathers().size());
}

/// Whether there is anything that could be moved or gathered for.
bool Rebalancer::wanted() const {
    const policy::Policy& policy = context_.policy();
    if (policy.revision == 0) return false;
    return policy.gpus.make_room || policy.priority.begin_within > 0 ||
           std::any_of(policy.zones.begin(), policy.zones.end(),
                       [](const policy::ZoneRule& rule) { return rule.rebalance; });
}

/// Whether the start is over: all machines that matter have been heard by this holder, or have had the time.
bool Rebalancer::heard_all() const {
    if (context_.runtime().now() - since_ > context_.settings().worker_lease) return true;
    auto heard = [this](const Machine& m) { return m.seq > 0 && m.token_seen >= shard_revision_; };
    return std::all_of(shard_state_.machines.begin(), shard_state_.machines.end(), [&](const auto& entry) {
        const Machine& m = *entry.second;
        return heard(m) || (m.tasks.empty() && plan_.empty());
    });
}

void Rebalancer::tick() {
    const Micros now = context_.runtime().now();
    const PlanCache::Stored* stored = context_.stored_plan(shard_);
    if (stored && stored->mod_revision > known_ && !in_flight_ && !unsure_) {
        // A write of ours that was taken for lost has come late.
        known_ = stored->mod_revision;
        record_ = stored->value.is_null() ? 0 : stored->mod_revision;
        plan_.writing();
        plan_.written(false);
    }
    const bool looks = now - looked_at_ >= kLookEvery && wanted();
    if (looks) {
        looked_at_ = now;
        look_at_zones();
    }
    if ((!looks && plan_.empty() && record_ == 0) || !heard_all()) return;
    if (looks) propose();
    carry_on();
}

/// A zone stands while machines of it are heard, and none of them that has tasks is in doubt.
void Rebalancer::look_at_zones() {
    const Micros now = context_.runtime().now();
    const Micros silent = context_.settings().report_interval * 5 / 2 + kSecond;
    std::map<std::string, std::pair<bool, bool>> zones;  // heard, in doubt
    for (const auto& [name, m] : shard_state_.machines) {
        auto& [heard, doubt] = zones[m->zone];
        const bool lately = m->seq > 0 && context_.runtime().listening_time() - m->report_listened < silent;
        heard = heard || lately;
        doubt = doubt || (!lately && !m->tasks.empty());
    }
    for (const auto& [zone, is] : zones) zones_.see(zone, is.first && !is.second, now);
    for (auto it = moved_.begin(); it != moved_.end();) {
        std::erase_if(it->second.mended, [&](Micros at) { return at <= now - kLately; });
        it = it->second.last <= now - kLongAgo ? moved_.erase(it) : std::next(it);
    }
}

std::vector<std::string> Rebalancer::troubled() const {
    std::vector<std::string> zones =
        zones_.troubled(context_.runtime().now(), context_.policy().budgets.settle);
    // Those that no machine of the shard is in any more trouble nobody here.
    std::erase_if(zones, [this](const std::string& zone) {
        return std::none_of(shard_state_.machines.begin(), shard_state_.machines.end(),
                            [&](const auto& m) { return m.second->zone == zone; });
    });
    return zones;
}

scheduling::View Rebalancer::view() const {
    const Micros now = context_.runtime().now();
    const policy::Policy& policy = context_.policy();
    scheduling::View view;
    view.now = now;
    view.seed = shard_revision_ ^ static_cast<std::uint64_t>(now / kSecond);
    view.troubled = troubled();

    std::vector<const Job*> jobs;
    for (const auto& [ref, job] : shard_state_.jobs) jobs.push_back(job.get());
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->serial < b->serial; });
    std::map<const Job*, std::size_t> job_at;
    for (const Job* job : jobs) {
        job_at[job] = view.jobs.size();
        scheduling::JobView& j = view.jobs.emplace_back();
        j.spec = job->spec;
        j.tier = policy.tier(job->spec, job->rank);
        j.rank = job->rank;
        j.cancelled = job->stage == Stage::Cancelled;
        j.idle = waits(*job) ? job->idle : 0;
        j.bound = job->bound;
        j.waiting = j.idle > 0 ? std::max<Micros>(now - job->waiting_since, 1) : 0;
        j.age = (context_.runtime().wall_clock_ms() - job->since_ms) * kMillisecond;
        j.zones = job->zones();
        auto moved = moved_.find(job->spec.ref);
        // A predecessor may have moved it until we came.
        j.since_moved = std::min(kLongAgo, now - (moved == moved_.end() ? since_ : moved->second.last));
        if (moved != moved_.end()) j.moved_lately = static_cast<int>(moved->second.mended.size());
    }

    std::map<std::string, std::size_t> machine_at;
    for (const auto& [name, m] : shard_state_.machines) {
        machine_at[name] = view.machines.size();
        scheduling::MachineView& v = view.machines.emplace_back();
        v.name = name;
        v.type = m->type_name;
        v.zone = m->zone;
        v.spot = m->spot;
        v.usable = of_.usable(*m);
        if (m->type) v.size = m->type->size;
        if (m->type && m->type->fetch_gb_per_s > 0) v.fetch_gb_per_s = m->type->fetch_gb_per_s;
        v.reserved = m->reserved;
        for (const auto& image : m->images) v.images.push_back({image.name, image.ready});
        for (const TaskRef& t : m->tasks) {
            const Slot& slot = t.job->slots[static_cast<std::size_t>(t.task)];
            const scheduling::Plan& plan = plan_;
            const bool moving = std::any_of(plan.moves().begin(), plan.moves().end(), [&](const auto& p) {
                return p.move.job == t.job->spec.ref && p.move.task == t.task;
            });
            if (slot.stop) v.stopping += t.job->spec.request;
            v.tasks.push_back(view.tasks.size());
            view.tasks.push_back({job_at.at(t.job), t.task, view.machines.size() - 1, runs(slot), slot.stop,
                                  moving, slot.run_since > 0 ? now - slot.run_since : 0});
        }
    }
    auto keep = [&](const std::string& ref, const std::string& machine, int tasks, bool gathers) {
        const Job* job = shard_state_.job(ref);
        auto m = machine_at.find(machine);
        if (!job || m == machine_at.end()) return;
        for (int i = 0; i < tasks; ++i) view.machines[m->second].kept += job->spec.request;
        if (gathers) view.jobs[job_at.at(job)].gathered += tasks;
    };
    const Books books(*this);
    for (const auto& p : plan_.gathers())
        keep(p.gather.job, p.gather.machine,
             p.gather.tasks - std::max(0, books.tasks_on(p.gather.job, p.gather.machine) - p.there), true);
    for (const auto& p : plan_.moves()) keep(p.move.job, p.move.to, 1, false);
    return view;
}

void Rebalancer::propose() {
    // Nothing is begun while a node comes or ends, or with a plan that is not known to be stored.
    const policy::Policy& policy = context_.policy();
    if (in_flight_ || unsure_ || context_.steady_for() < policy.budgets.settle) return;
    const scheduling::View now = view();
    std::vector<Move> moves = scheduling::rebalance(now, policy, context_.settings().zones);
    std::vector<Gather> gathers;
    for (auto& room : scheduling::make_rooms(now, policy)) {
        gathers.push_back(room.gather);
        moves.insert(moves.end(), room.moves.begin(), room.moves.end());
    }
    for (auto& room : scheduling::gather(now, policy)) gathers.push_back(std::move(room));
    if (moves.empty() && gathers.empty()) return;
    const std::size_t added =
        plan_.add(moves, gathers, context_.runtime().wall_clock_ms(), policy.budgets, Books(*this));
    if (added > 0)
        spdlog::info("domain {}: {} moves and gatherings planned, {} in all", shard_, added,
                     plan_.moves().size() + plan_.gathers().size());
}

void Rebalancer::carry_on() {
    const scheduling::Plan::Doing doing =
        plan_.step(Books(*this), context_.runtime().wall_clock_ms(), kGiveUpMs);
    if (!unsure_ && context_.steady_for() > 0) stop(doing.stop);
    const bool left_over = plan_.empty() && record_ != 0;
    if ((!doing.store && !left_over) || in_flight_ || unsure_) return;
    if (context_.runtime().now() < not_before_ || !context_.store().has_write_budget(Priority::Deferrable))
        return;
    if (plan_.empty() && record_ == 0) return;  // it was taken back before it was ever written
    write();
}

/// The rest of a service runs, so that it lacks no more than the one that moves.
bool Rebalancer::others_run(const Job& job, int task) const {
    for (std::size_t i = 0; i < job.slots.size(); ++i) {
        const Slot& slot = job.slots[i];
        if (static_cast<int>(i) == task) continue;
        if (!runs(slot) || !slot.machine || !of_.usable(*slot.machine)) return false;
    }
    return true;
}

/// Whether a move may begin as things are now; they may have changed since it was planned.
bool Rebalancer::may_stop(const Move& move, const Job& job) const {
    const Slot& slot = job.slots[static_cast<std::size_t>(move.task)];
    if (slot.state != SlotState::Bound || slot.stop) return false;
    const bool service = job.spec.kind == JobKind::Service;
    if (service && (job.idle > 0 || !others_run(job, move.task))) return false;
    if (move.reason == Reason::Balance && !troubled().empty()) return false;
    if (move.reason == Reason::Room && !context_.policy().movable(job.spec)) return false;
    if (move.to.empty()) return !service;
    const Machine* to = shard_state_.machine(move.to);
    return to && of_.usable(*to) && Scheduler::allowed(job, *to) &&
           job.spec.request.fits(to->type->size - to->reserved - kept_from(job, *to));
}

void Rebalancer::stop(const std::vector<Move>& moves) {
    const std::int64_t now_ms = context_.runtime().wall_clock_ms();
    std::map<Job*, std::vector<const Move*>> by_job;  // a gang stops whole or not at all
    for (const Move& move : moves) {
        Job* job = shard_state_.job(move.job);
        if (!job) continue;
        if (may_stop(move, *job)) {
            by_job[job].push_back(&move);
        } else if (const auto* planned = plan_.moving(move.job, move.task);
                   planned && now_ms - planned->since_ms > kPatienceMs) {
            spdlog::info("task {}/{}: not moved after all", move.job, move.task);
            plan_.take_back(move);
        }
    }
    for (auto& [job, its] : by_job) {
        if (job->spec.kind == JobKind::Gang && static_cast<int>(its.size()) < job->bound) continue;
        for (const Move* move : its) {
            spdlog::info("task {}/{}: stopped on {} to move to {}{}", move->job, move->task, move->from,
                         move->to.empty() ? "where there is room" : move->to,
                         move->for_job.empty() ? "" : ", which makes room for " + move->for_job);
            of_.stop(job->slots[static_cast<std::size_t>(move->task)], job->spec.save_duration + kSecond);
            Moved& moved = moved_[move->job];
            moved.last = context_.runtime().now();
            if (move->reason == Reason::Balance) moved.mended.push_back(moved.last);
        }
    }
}

Resources Rebalancer::kept_from(const Job& job, const Machine& m) const {
    Resources kept;
    auto it = plan_.kept().find(m.name);
    if (it == plan_.kept().end()) return kept;
    const policy::Policy& policy = context_.policy();
    for (const Gather& gather : it->second) {
        const Job* other = shard_state_.job(gather.job);
        if (!other || other == &job ||
            policy.tier(job.spec, job.rank) < policy.tier(other->spec, other->rank))
            continue;
        for (int i = 0; i < gather.tasks; ++i) kept += other->spec.request;
    }
    return kept;
}

bool Rebalancer::keeps_for(const Job& job) const {
    return std::any_of(plan_.kept().begin(), plan_.kept().end(), [&](const auto& machine) {
        return std::any_of(machine.second.begin(), machine.second.end(),
                           [&](const Gather& g) { return g.job == job.spec.ref; });
    });
}

const Machine* Rebalancer::destination(const Job& job, int task) const {
    if (plan_.moves().empty()) return nullptr;
    const std::string name = plan_.destination(job.spec.ref, task);
    return name.empty() ? nullptr : shard_state_.machine(name);
}

// ---------------------------------------------------------------- the record

/// On the shard's mark, so that no ousted holder writes it, and on its own.
void Rebalancer::write() {
    const std::string key = keys::plan + shard_;
    const bool drops = plan_.empty();
    Change change;
    change.priority = Priority::Deferrable;
    change.purpose = "plan";
    change.conditions = {{keys::shard + shard_, shard_revision_}, {key, record_}};
    change.writes.push_back({key, drops ? Json() : plan_.value()});
    in_flight_ = true;
    plan_.writing();
    context_.store().commit(std::move(change), [this, alive = alive_, drops](const CommitResult& r) {
        if (*alive) written(r, drops);
    });
}

void Rebalancer::written(const CommitResult& result, bool dropped) {
    in_flight_ = false;
    plan_.written(result.status == CommitStatus::Ok);
    switch (result.status) {
        case CommitStatus::Ok:
            record_ = dropped ? 0 : result.revision;
            known_ = std::max(known_, result.revision);
            return context_.wake();
        case CommitStatus::Unavailable:
            not_before_ = context_.runtime().now() + kSecond;
            return;
        case CommitStatus::Rejected:
            not_before_ = context_.runtime().now() + kRejectedRetryDelay;
            return;
        case CommitStatus::Conflict:
            if (std::find(result.failed.begin(), result.failed.end(), keys::shard + shard_) !=
                result.failed.end())
                return context_.on_ownership_lost(shard_);
            break;
        case CommitStatus::Unknown:
            break;
    }
    unsure_ = true;
    read_again();
}

void Rebalancer::read_again() {
    context_.store().read(keys::plan + shard_, [this, alive = alive_](const ReadResult& r) {
        if (!*alive) return;
        if (!r.ok)
            return context_.runtime().after(kReadAgain, [this, alive] {
                if (*alive) read_again();
            });
        unsure_ = false;
        record_ = r.found ? r.mod_revision : 0;
        known_ = std::max(known_, record_);
    });
}

}  // namespace cottonway
