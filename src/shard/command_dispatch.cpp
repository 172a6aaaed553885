// Workers' reports, and the orders that they are answered with or called for.

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

// How long a copy of a call may arrive after its answer without starting a task anew whose result is kept.
constexpr Micros kCopies = 10 * kSecond;
// Of a machine's ended attempts that wait for a higher token to be cleared: what its reports have room for.
constexpr std::size_t kMaxUncleared = 32;
constexpr Micros kProbeEvery = 5 * kSecond;  // of workers whose reports are relayed

}  // namespace

std::optional<ShardOwner::Answer> ShardOwner::on_report(const Report& report, bool relayed) {
    auto it = shard_state_.machines.find(report.machine);
    if (it == shard_state_.machines.end()) return std::nullopt;
    Machine& m = *it->second;
    // Its new holder may reach it before the outcome of the move reaches us.
    permission::HolderEvidence evidence;
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.session_over = report.session < m.min_session;
    evidence.machine_leaving = m.leaving;
    evidence.jobs_known = active_ || context_.knows_jobs_of(report);
    evidence.token = token(m);
    evidence.token_seen = report.token;
    const permission::Decision decision = permission::renewal_by_holder(evidence);
    context_.decisions().renewal(decision);
    if (decision == permission::Refusal::HigherTokenSeen) {
        spdlog::info("machine {} has seen a higher token than ours", report.machine);
        context_.on_ownership_lost(shard_);
    }
    if (decision) return std::nullopt;
    const Micros now = context_.runtime().now();
    if (m.addr.empty()) m.addr = report.address;
    // What is as old as another message, or older, tells nothing new, not even that the machine can be heard.
    // It gets the token and stops alone: its worker may still wait for it if only the answer to a /do has
    // overtaken it.
    // The lease that this renews counts from when it was sent, so from before what has overtaken it was
    // heard.
    if (!recovery::is_news({report.session, report.seq}, {m.session, m.seq}, m.min_session))
        return Answer{token(m), context_.stops_for_finished_jobs(report), !m.out_of_reach()};
    if (relayed && !m.relayed) m.relayed_since = now;
    m.relayed = relayed;
    if (active_)
        apply_heartbeat(m, report, true);
    else
        register_incarnation(m, report, true);
    Answer answer{token(m), {}, !m.out_of_reach()};
    // Until everything is read, which an outage may put off for long, a lease is not renewed for what is
    // known to be over.
    answer.orders = active_ ? orders_for(m, false) : context_.stops_for_finished_jobs(report);
    // Whether the worker can be reached without help is found out by calling it now and then.
    if (probe_due(m)) request_dispatch(m);
    if (plan_due_ || flush_due_ || !dispatch_due_.empty()) context_.wake();
    return answer;
}

std::vector<Order> ShardOwner::orders_for(Machine& m, bool direct) {
    std::vector<Order> orders;
    add_clears(m, orders);
    for (const auto& t : m.orphaned_tasks) {
        orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
        startup_.ordered(OrderKind::Stop, false);
    }
    for (const auto& [job, task] : m.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop)) continue;
        const AttemptKey key{job->spec.ref, task, slot.attempt};
        if (slot.stop)
            add_stop(slot, key, direct, orders);
        else
            add_launch(m, *job, slot, key, direct, orders);
    }
    return orders;
}

void ShardOwner::add_clears(Machine& m, std::vector<Order>& orders) {
    std::size_t uncleared = 0;
    for (const auto& t : m.exited) {
        if (!may_clear(m, t, uncleared)) continue;
        m.acknowledged_launches.erase({t.job, t.task, t.attempt});
        orders.push_back({OrderKind::Clear, t.job, t.task, t.attempt, 0});
        startup_.ordered(OrderKind::Clear, false);
    }
    if (uncleared > kMaxUncleared) raise(m);
}

/// After a clear the attempt is unknown to the worker, and a launch that is still on its way would start it
/// once more: not before none can be. `uncleared` counts those that wait for a higher token.
bool ShardOwner::may_clear(const Machine& m, const ReportedTask& t, std::size_t& uncleared) const {
    const AttemptKey key{t.job, t.task, t.attempt};
    if (may_come(m, key)) return false;
    // So would a copy of one that was carried out, for as long as token and session match. A result is
    // kept, so that such a start ends at once; anything else would run, perhaps beside its successor.
    if (const auto sent = m.acknowledged_launches.find(key);
        sent != m.acknowledged_launches.end() && m.token_seen <= sent->second.token) {
        if (t.cause != ExitCause::Done) ++uncleared;
        if (t.cause != ExitCause::Done || context_.runtime().now() - sent->second.at <= kCopies) return false;
    }
    const Job* job = shard_state_.job(t.job);
    if (!job || t.task >= job->spec.tasks) return true;
    return job->slots[static_cast<std::size_t>(t.task)].state != SlotState::DonePending;  // durable first
}

void ShardOwner::add_stop(Slot& slot, const AttemptKey& key, bool direct, std::vector<Order>& orders) {
    const Micros now = context_.runtime().now();
    permission::StopEvidence evidence;
    evidence.may_run = slot.launch_sent || slot.seen;  // else given up in tick()
    evidence.saving_with_grace = slot.phase == Phase::Saving && slot.grace > 0;
    evidence.renews_lease = !direct;
    evidence.sent_lately = slot.stop_sent != 0 && now - slot.stop_sent < context_.settings().report_interval;
    if (!permission::stop_is_due(evidence)) return;
    startup_.ordered(OrderKind::Stop, slot.stop_sent != 0);
    slot.stop_sent = now;
    cancellations_.stop_sent(key.job, now);
    orders.push_back({OrderKind::Stop, key.job, key.task, key.attempt, slot.grace});
}

void ShardOwner::add_launch(Machine& m, const Job& job, Slot& slot, const AttemptKey& key, bool direct,
                            std::vector<Order>& orders) {
    permission::LaunchEvidence evidence;
    // A launch to a session that began after our authority, of a task whose cancellation we can't hear of,
    // would outlive every bound on it.
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.job_queued = job.stage == Stage::Queued;
    evidence.token = token(m);
    evidence.token_seen = m.token_seen;
    evidence.bound_by_other_holder = slot.foreign;
    evidence.call_in_flight = m.direct_launches.count(key) > 0;
    evidence.gang_complete = job.spec.kind != JobKind::Gang ||
                             std::all_of(job.slots.begin(), job.slots.end(),
                                         [](const Slot& s) { return s.state == SlotState::Bound; });
    // The answer to a report is the second way; it is taken when the direct one does not work.
    const bool direct_works = m.direct_backoff == 0 && !m.out_of_reach();
    evidence.direct_call_preferred = !direct && (direct_works || m.launches_in_responses.count(key));
    const permission::Decision decision = permission::launch(evidence);
    context_.decisions().launch(decision);
    if (decision) return;
    startup_.ordered(OrderKind::Launch, slot.launch_sent);
    slot.launch_by_answer = !direct && !m.unacknowledged_launches.count(key);
    slot.launch_sent = true;
    slot.launch_token = token(m);
    slot.launch_session = m.session;
    slot.launch_seq = m.seq;
    if (direct)
        m.direct_launches.insert(key);
    else
        m.launches_in_responses[key] = m.seq;
    orders.push_back({OrderKind::Launch, key.job, key.task, key.attempt, 0});
}

/// Whether a worker whose reports are relayed, or that left a call unanswered, is to be called, to find out
/// whether it can be reached again.
bool ShardOwner::probe_due(const Machine& m) const {
    return (m.out_of_reach() || m.suspect) && context_.runtime().now() - m.probed_at > kProbeEvery;
}

/// Puts a machine on the list of those to send to.
void ShardOwner::request_dispatch(Machine& m) {
    if (m.due) return;
    m.due = true;
    dispatch_due_.push_back(m.name);
    context_.wake();
}

/// What goes first when more machines are to be called than may be at a time: tasks of cancelled jobs, whose
/// time runs out; services; what has a deadline; what else is to be launched; the rest, such as showing a
/// token.
int ShardOwner::urgency(const Machine& m) const {
    int best = 4;
    for (const auto& [job, task] : m.tasks) {
        const Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop)) continue;
        if (job->stage == Stage::Cancelled) return 0;
        best = std::min(best, job->rank == PriorityClass::Production ? 1 : job->due_ms != INT64_MAX ? 2 : 3);
    }
    return best;
}

void ShardOwner::send_orders() {
    if (dispatch_due_.empty()) return;
    const int most = static_cast<int>(context_.settings().sockets / 16);
    if (static_cast<int>(dispatch_due_.size()) > most - direct_calls_) {
        std::vector<std::pair<int, std::string>> order;
        for (auto& name : dispatch_due_)
            if (auto m = shard_state_.machines.find(name); m != shard_state_.machines.end())
                order.emplace_back(urgency(*m->second), std::move(name));
        std::stable_sort(order.begin(), order.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        dispatch_due_.clear();
        for (auto& [urgent, name] : order) dispatch_due_.push_back(std::move(name));
    }
    std::vector<std::string> later;
    for (const auto& name : std::exchange(dispatch_due_, {})) {
        auto it = shard_state_.machines.find(name);
        if (it == shard_state_.machines.end()) continue;
        if (direct_calls_ >= most) {
            later.push_back(name);
            continue;
        }
        it->second->due = false;
        send_to(*it->second);
    }
    dispatch_due_.insert(dispatch_due_.end(), later.begin(), later.end());
}

void ShardOwner::send_to(Machine& m) {
    const Micros now = context_.runtime().now();
    if (m.direct_in_flight || now < m.direct_after || m.addr.empty()) return;
    // A worker that only others reach gets its orders in the answers to its reports.
    const bool probe = active_ && probe_due(m);
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
    call.address = m.addr;
    call.timeout = 2500 * kMillisecond;
    call.method = "POST";
    call.path = "/do";
    call.body = wire::direct_orders(token(m), session, orders);
    context_.runtime().call(std::move(call), [this, alive = alive_, machine = m.name, sent_token = token(m),
                                              session](const Reply& r) {
        if (!*alive) return;
        --direct_calls_;
        auto it = shard_state_.machines.find(machine);
        if (it == shard_state_.machines.end()) return;
        Machine& x = *it->second;
        x.direct_in_flight = false;
        auto launched = std::exchange(x.direct_launches, {});
        auto report = r.status == 200 || r.status == 409 ? wire::parse_report(r.body) : std::nullopt;
        context_.wake();
        if (r.status == kNotSent) return not_sent(x, launched);
        if (!report || report->machine != machine) return unanswered(x, launched, sent_token, session);
        x.direct_backoff = 0;
        x.direct_after = 0;
        x.direct_ok = context_.runtime().now();
        x.suspect = false;
        if (report->token > token(x)) return x.leaving ? void() : context_.on_ownership_lost(shard_);
        if (active_)
            apply_heartbeat(x, *report, false);
        else
            register_incarnation(x, *report, false);
        // Asked again, if it must be, but not at once: what it tells may be no use for a while.
        if (r.status == 409 || x.seq == 0 || x.token_seen < token(x))
            x.direct_after = context_.runtime().now() + 100 * kMillisecond;
        // Answered: what the worker does not show was not started and will not be.
        for (const auto& key : launched) {
            if (r.status == 200) x.acknowledged_launches[key] = {sent_token, context_.runtime().now()};
            Job* job = shard_state_.job(key.job);
            if (!job) continue;
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state == SlotState::Bound && slot.attempt == key.attempt && !slot.seen &&
                !x.unacknowledged_launches.count(key)) {
                slot.launch_sent = false;
                request_dispatch(x);
            }
        }
    });
}

/// It left a call unanswered.
void ShardOwner::suspect(Machine& m) {
    if (!std::exchange(m.suspect, true)) m.suspect_since = context_.runtime().listening_time();
}

/// No connection came about, so nothing was or will be executed: what was to be launched can run elsewhere,
/// and nothing more is bound there until the machine is heard of again.
void ShardOwner::not_sent(Machine& m, const std::set<AttemptKey>& launched) {
    const Micros now = context_.runtime().now();
    m.direct_backoff = std::clamp(m.direct_backoff * 2, kSecond, 8 * kSecond);
    m.direct_after = now + m.direct_backoff;
    suspect(m);
    for (const auto& key : launched) {
        Job* job = shard_state_.job(key.job);
        if (!job) continue;
        Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
        if (slot.state != SlotState::Bound || slot.attempt != key.attempt || slot.seen) continue;
        if (m.unacknowledged_launches.count(key) || m.launches_in_responses.count(key))
            continue;  // sent earlier, or otherwise
        slot.launch_sent = false;
        spdlog::info("task {}/{}: {} can't be reached, to be placed elsewhere", key.job, key.task, m.name);
        on_attempt_terminated(*job, key.task, 0);
    }
}

/// No answer: each launch in it may still be executed, as long as token and session match. It stays in doubt,
/// and is sent again: a repeated launch has no effect.
void ShardOwner::unanswered(Machine& m, const std::set<AttemptKey>& launched, std::uint64_t sent_token,
                            std::uint64_t session) {
    const Micros now = context_.runtime().now();
    for (const auto& key : launched) m.unacknowledged_launches.insert({key, {sent_token, session, now}});
    m.direct_backoff = std::clamp(m.direct_backoff * 2, kSecond, 4 * kSecond);
    m.direct_after = now + m.direct_backoff;
    suspect(m);
    for (const auto& [job, task] : m.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state == SlotState::Bound && slot.launch_sent && !slot.seen) slot.launch_by_answer = false;
    }
}

/// Raises one machine's token in its block record, which ends all doubt about unanswered launches. The other
/// machines of the block keep theirs.
void ShardOwner::raise(Machine& m) {
    if (m.raising) return;
    m.raising = true;
    context_.edit_machine(shard_, m.name, ShardContext::MachineEdit::Raise,
                          [this, alive = alive_, name = m.name](bool) {
                              if (!*alive) return;
                              auto it = shard_state_.machines.find(name);
                              if (it != shard_state_.machines.end()) it->second->raising = false;
                              context_.wake();
                          });
}

void ShardOwner::retire(const std::string& machine, const char* why) {
    auto it = shard_state_.machines.find(machine);
    if (it == shard_state_.machines.end() || it->second->retiring || it->second->retired) return;
    it->second->retiring = true;
    spdlog::info("machine {}: to be returned: {}", machine, why);
    // Its deletion ends the doubt about what is on it.
    const bool urgent = !it->second->tasks.empty();
    context_.edit_machine(shard_, machine,
                          urgent ? ShardContext::MachineEdit::RetireNow : ShardContext::MachineEdit::Retire,
                          [this, alive = alive_, machine](bool) {
                              if (!*alive) return;
                              auto found = shard_state_.machines.find(machine);
                              if (found != shard_state_.machines.end()) found->second->retiring = false;
                          });
}

}  // namespace cottonway
