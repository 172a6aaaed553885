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

std::optional<ShardOwner::ReportResponse> ShardOwner::on_report(const Report& report, bool relayed) {
    auto it = shard_state_.machines.find(report.machine);
    if (it == shard_state_.machines.end()) return std::nullopt;
    Machine& machine = *it->second;
    // Its new holder may reach it before the outcome of the move reaches us.
    permission::HolderEvidence evidence;
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.session_over = report.session < machine.min_session;
    evidence.machine_transferring = machine.transferring;
    evidence.jobs_known = active_ || context_.knows_jobs_of(report);
    evidence.token = token(machine);
    evidence.token_seen = report.token;
    const permission::Decision decision = permission::decide_renewal_by_holder(evidence);
    context_.permission_counters().count_renewal(decision);
    if (decision == permission::Refusal::HigherTokenSeen) {
        spdlog::info("machine {} has seen a higher token than ours", report.machine);
        context_.on_ownership_lost(shard_);
    }
    if (decision) return std::nullopt;
    const Micros now = context_.runtime().now();
    if (machine.addr.empty()) machine.addr = report.addr;
    // What is as old as another message, or older, tells nothing new, not even that the machine can be heard.
    // It gets the token and stops alone: its worker may still wait for it if only the answer to a /do has
    // overtaken it.
    // The lease that this renews counts from when it was sent, so from before what has overtaken it was
    // heard.
    if (!recovery::is_newer_message({report.session, report.seq}, {machine.session, machine.seq},
                                    machine.min_session))
        return ReportResponse{token(machine), context_.stops_for_finished_jobs(report),
                              !machine.is_relay_only()};
    if (relayed && !machine.relayed) machine.relayed_since = now;
    machine.relayed = relayed;
    if (active_)
        apply_heartbeat(machine, report, true);
    else
        register_incarnation(machine, report, true);
    ReportResponse answer{token(machine), {}, !machine.is_relay_only()};
    // Until everything is read, which an outage may put off for long, a lease is not renewed for what is
    // known to be over.
    answer.orders = active_ ? orders_for(machine, false) : context_.stops_for_finished_jobs(report);
    // Whether the worker can be reached without help is found out by calling it now and then.
    if (is_probe_due(machine)) request_dispatch(machine);
    if (plan_due_ || flush_due_ || !dispatch_due_.empty()) context_.wake();
    return answer;
}

std::vector<Order> ShardOwner::orders_for(Machine& machine, bool direct) {
    std::vector<Order> orders;
    add_clears(machine, orders);
    for (const auto& t : machine.orphaned_tasks) {
        orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
        startup_.record_order(OrderKind::Stop, false);
    }
    for (const auto& [job, task] : machine.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop_requested)) continue;
        const AttemptKey key{job->spec.ref, task, slot.attempt};
        if (slot.stop_requested)
            add_stop(slot, key, direct, orders);
        else
            add_launch(machine, *job, slot, key, direct, orders);
    }
    return orders;
}

void ShardOwner::add_clears(Machine& machine, std::vector<Order>& orders) {
    std::size_t uncleared = 0;
    for (const auto& t : machine.exited_tasks) {
        if (!can_clear(machine, t, uncleared)) continue;
        machine.acknowledged_launches.erase({t.job, t.task, t.attempt});
        orders.push_back({OrderKind::Clear, t.job, t.task, t.attempt, 0});
        startup_.record_order(OrderKind::Clear, false);
    }
    if (uncleared > kMaxUncleared) raise_token(machine);
}

/// After a clear the attempt is unknown to the worker, and a launch that is still on its way would start it
/// once more: not before none can be. `uncleared` counts those that wait for a higher token.
bool ShardOwner::can_clear(const Machine& machine, const ReportedTask& t, std::size_t& uncleared) const {
    const AttemptKey key{t.job, t.task, t.attempt};
    if (has_unsettled_launch(machine, key)) return false;
    // So would a copy of one that was carried out, for as long as token and session match. A result is
    // kept, so that such a start ends at once; anything else would run, perhaps beside its successor.
    if (const auto sent = machine.acknowledged_launches.find(key);
        sent != machine.acknowledged_launches.end() && machine.token_seen <= sent->second.token) {
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
    evidence.sent_recently =
        slot.stop_sent_at != 0 && now - slot.stop_sent_at < context_.settings().report_every;
    if (!permission::is_stop_due(evidence)) return;
    startup_.record_order(OrderKind::Stop, slot.stop_sent_at != 0);
    slot.stop_sent_at = now;
    cancellations_.record_stop_sent(key.job, now);
    orders.push_back({OrderKind::Stop, key.job, key.task, key.attempt, slot.grace});
}

void ShardOwner::add_launch(Machine& machine, const Job& job, Slot& slot, const AttemptKey& key, bool direct,
                            std::vector<Order>& orders) {
    permission::LaunchEvidence evidence;
    // A launch to a session that began after our authority, of a task whose cancellation we can't hear of,
    // would outlive every bound on it.
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.job_queued = job.stage == Stage::Queued;
    evidence.token = token(machine);
    evidence.token_seen = machine.token_seen;
    evidence.bound_by_other_holder = slot.inherited;
    evidence.call_in_flight = machine.direct_launches.count(key) > 0;
    evidence.gang_complete = job.spec.kind != JobKind::Gang ||
                             std::all_of(job.slots.begin(), job.slots.end(),
                                         [](const Slot& s) { return s.state == SlotState::Bound; });
    // The answer to a report is the second way; it is taken when the direct one does not work.
    const bool direct_works = machine.direct_call_backoff == 0 && !machine.is_relay_only();
    evidence.direct_call_preferred = !direct && (direct_works || machine.launches_in_responses.count(key));
    const permission::Decision decision = permission::decide_launch(evidence);
    context_.permission_counters().count_launch(decision);
    if (decision) return;
    startup_.record_order(OrderKind::Launch, slot.launch_sent);
    slot.launched_by_response = !direct && !machine.unacknowledged_launches.count(key);
    slot.launch_sent = true;
    slot.launch_token = token(machine);
    slot.launch_session = machine.session;
    slot.launch_seq = machine.seq;
    if (direct)
        machine.direct_launches.insert(key);
    else
        machine.launches_in_responses[key] = machine.seq;
    orders.push_back({OrderKind::Launch, key.job, key.task, key.attempt, 0});
}

/// Whether a worker whose reports are relayed, or that left a call unanswered, is to be called, to find out
/// whether it can be reached again.
bool ShardOwner::is_probe_due(const Machine& machine) const {
    return (machine.is_relay_only() || machine.suspect) &&
           context_.runtime().now() - machine.probed_at > kProbeEvery;
}

/// Puts a machine on the list of those to send to.
void ShardOwner::request_dispatch(Machine& machine) {
    if (machine.dispatch_queued) return;
    machine.dispatch_queued = true;
    dispatch_due_.push_back(machine.name);
    context_.wake();
}

/// What goes first when more machines are to be called than may be at a time: tasks of cancelled jobs, whose
/// time runs out; services; what has a deadline; what else is to be launched; the rest, such as showing a
/// token.
int ShardOwner::dispatch_urgency(const Machine& machine) const {
    int best = 4;
    for (const auto& [job, task] : machine.tasks) {
        const Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop_requested)) continue;
        if (job->stage == Stage::Cancelled) return 0;
        best = std::min(best, job->rank == PriorityClass::Production ? 1 : job->due_ms != INT64_MAX ? 2 : 3);
    }
    return best;
}

void ShardOwner::send_orders() {
    if (dispatch_due_.empty()) return;
    const int most = static_cast<int>(context_.settings().sockets / 16);
    if (static_cast<int>(dispatch_due_.size()) > most - direct_calls_in_flight_) {
        std::vector<std::pair<int, std::string>> order;
        for (auto& name : dispatch_due_)
            if (auto machine = shard_state_.machines.find(name); machine != shard_state_.machines.end())
                order.emplace_back(dispatch_urgency(*machine->second), std::move(name));
        std::stable_sort(order.begin(), order.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        dispatch_due_.clear();
        for (auto& [urgent, name] : order) dispatch_due_.push_back(std::move(name));
    }
    std::vector<std::string> later;
    for (const auto& name : std::exchange(dispatch_due_, {})) {
        auto it = shard_state_.machines.find(name);
        if (it == shard_state_.machines.end()) continue;
        if (direct_calls_in_flight_ >= most) {
            later.push_back(name);
            continue;
        }
        it->second->dispatch_queued = false;
        send_orders_to(*it->second);
    }
    dispatch_due_.insert(dispatch_due_.end(), later.begin(), later.end());
}

void ShardOwner::send_orders_to(Machine& machine) {
    const Micros now = context_.runtime().now();
    if (machine.direct_call_in_flight || now < machine.next_direct_call_at || machine.addr.empty()) return;
    // A worker that only others reach gets its orders in the answers to its reports.
    const bool probe = active_ && is_probe_due(machine);
    if (machine.is_relay_only() && !probe) return;
    if (probe) machine.probed_at = now;
    const bool show_token = machine.token_seen < token(machine) || (active_ && machine.seq == 0);
    std::vector<Order> orders;
    if (machine.session > 0 && !show_token && !probe) orders = orders_for(machine, true);
    const bool idle =
        std::all_of(orders.begin(), orders.end(), [](const Order& o) { return o.kind == OrderKind::Clear; });
    if (!show_token && !probe && idle) return;  // the next report's answer will do
    // Where the session is not known yet, the first one is as good a guess as any: if it is another, the
    // answer tells.
    const std::uint64_t session = std::max<std::uint64_t>(machine.session, 1);
    machine.direct_call_in_flight = true;
    ++direct_calls_in_flight_;
    Call call;
    call.target = Target::Worker;
    call.addr = machine.addr;
    call.timeout = 2500 * kMillisecond;
    call.method = "POST";
    call.path = "/do";
    call.body = wire::direct_orders(token(machine), session, orders);
    context_.runtime().call(std::move(call), [this, alive = alive_, name = machine.name,
                                              sent_token = token(machine), session](const Reply& reply) {
        if (!*alive) return;
        --direct_calls_in_flight_;
        auto it = shard_state_.machines.find(name);
        if (it == shard_state_.machines.end()) return;
        Machine& target = *it->second;
        target.direct_call_in_flight = false;
        auto launched = std::exchange(target.direct_launches, {});
        auto report =
            reply.status == 200 || reply.status == 409 ? wire::parse_report(reply.body) : std::nullopt;
        context_.wake();
        if (reply.status == kNotSent) return on_orders_not_sent(target, launched);
        if (!report || report->machine != name)
            return on_orders_unanswered(target, launched, sent_token, session);
        target.direct_call_backoff = 0;
        target.next_direct_call_at = 0;
        target.last_direct_answer_at = context_.runtime().now();
        target.suspect = false;
        if (report->token > token(target))
            return target.transferring ? void() : context_.on_ownership_lost(shard_);
        if (active_)
            apply_heartbeat(target, *report, false);
        else
            register_incarnation(target, *report, false);
        // Asked again, if it must be, but not at once: what it tells may be no use for a while.
        if (reply.status == 409 || target.seq == 0 || target.token_seen < token(target))
            target.next_direct_call_at = context_.runtime().now() + 100 * kMillisecond;
        // Answered: what the worker does not show was not started and will not be.
        for (const auto& key : launched) {
            if (reply.status == 200)
                target.acknowledged_launches[key] = {sent_token, context_.runtime().now()};
            Job* job = shard_state_.job(key.job);
            if (!job) continue;
            Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
            if (slot.state == SlotState::Bound && slot.attempt == key.attempt && !slot.seen &&
                !target.unacknowledged_launches.count(key)) {
                slot.launch_sent = false;
                request_dispatch(target);
            }
        }
    });
}

/// It left a call unanswered.
void ShardOwner::mark_suspect(Machine& machine) {
    if (!std::exchange(machine.suspect, true)) machine.suspect_since = context_.runtime().listened();
}

/// No connection came about, so nothing was or will be executed: what was to be launched can run elsewhere,
/// and nothing more is bound there until the machine is heard of again.
void ShardOwner::on_orders_not_sent(Machine& machine, const std::set<AttemptKey>& launched) {
    const Micros now = context_.runtime().now();
    machine.direct_call_backoff = std::clamp(machine.direct_call_backoff * 2, kSecond, 8 * kSecond);
    machine.next_direct_call_at = now + machine.direct_call_backoff;
    mark_suspect(machine);
    for (const auto& key : launched) {
        Job* job = shard_state_.job(key.job);
        if (!job) continue;
        Slot& slot = job->slots[static_cast<std::size_t>(key.task)];
        if (slot.state != SlotState::Bound || slot.attempt != key.attempt || slot.seen) continue;
        if (machine.unacknowledged_launches.count(key) || machine.launches_in_responses.count(key))
            continue;  // sent earlier, or otherwise
        slot.launch_sent = false;
        spdlog::info("task {}/{}: {} can't be reached, to be placed elsewhere", key.job, key.task,
                     machine.name);
        on_attempt_terminated(*job, key.task, 0);
    }
}

/// No answer: each launch in it may still be executed, as long as token and session match. It stays in doubt,
/// and is sent again: a repeated launch has no effect.
void ShardOwner::on_orders_unanswered(Machine& machine, const std::set<AttemptKey>& launched,
                                      std::uint64_t sent_token, std::uint64_t session) {
    const Micros now = context_.runtime().now();
    for (const auto& key : launched)
        machine.unacknowledged_launches.insert({key, {sent_token, session, now}});
    machine.direct_call_backoff = std::clamp(machine.direct_call_backoff * 2, kSecond, 4 * kSecond);
    machine.next_direct_call_at = now + machine.direct_call_backoff;
    mark_suspect(machine);
    for (const auto& [job, task] : machine.tasks) {
        Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state == SlotState::Bound && slot.launch_sent && !slot.seen)
            slot.launched_by_response = false;
    }
}

/// Raises one machine's token in its block record, which ends all doubt about unanswered launches. The other
/// machines of the block keep theirs.
void ShardOwner::raise_token(Machine& machine) {
    if (machine.raising_token) return;
    machine.raising_token = true;
    context_.edit_machine(shard_, machine.name, ShardContext::MachineEdit::RaiseToken,
                          [this, alive = alive_, name = machine.name](bool) {
                              if (!*alive) return;
                              auto it = shard_state_.machines.find(name);
                              if (it != shard_state_.machines.end()) it->second->raising_token = false;
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
