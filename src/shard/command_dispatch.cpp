// ShardOwner: the answers to workers' reports, and the orders sent to workers in those answers or by direct
// calls.

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

// A duplicate of a /do may arrive for this long after the /do was answered. Until then no worker is ordered
// to clear the result of a task that the /do launched, so that the duplicate can't start the task again.
constexpr Micros kDuplicateWindow = 10 * kSecond;
// How many ended attempts of a machine may wait for a higher token before they are cleared: its reports can
// list that many.
constexpr std::size_t kMaxUnclearedAttempts = 32;
constexpr Micros kProbeInterval = 5 * kSecond;  // between direct calls to a worker that may be unreachable

}  // namespace

std::optional<ShardOwner::ReportResponse> ShardOwner::on_report(const Report& report, bool relayed) {
    auto it = shard_state_.machines.find(report.machine);
    if (it == shard_state_.machines.end()) return std::nullopt;
    Machine& machine = *it->second;
    permission::OwnerEvidence evidence;
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.session_over = report.session < machine.min_session;
    // The machine's new owner may reach the worker before the outcome of the transfer arrives here.
    evidence.machine_transferring = machine.transferring;
    evidence.jobs_known = active_ || context_.knows_outcomes_of(report);
    evidence.token = token(machine);
    evidence.token_seen = report.token;
    const permission::Decision decision = permission::decide_renewal_by_owner(evidence);
    context_.permission_counters().count_renewal(decision);
    if (decision == permission::Refusal::HigherTokenSeen) {
        spdlog::info("machine {} has seen a higher token than this holder's", report.machine);
        context_.on_ownership_lost(shard_);
    }
    if (decision) return std::nullopt;
    const Micros now = context_.runtime().now();
    if (machine.addr.empty()) machine.addr = report.address;
    // A report that is not newer than the last message tells nothing, not even that the machine is alive. It
    // is still answered, with the token and with stops only: if just the answer to a /do has overtaken it,
    // the worker still waits for the answer. The lease that this renews counts from when the report was sent,
    // which was before the message that overtook it arrived.
    if (!recovery::is_newer_message({report.session, report.seq}, {machine.session, machine.seq},
                                    machine.min_session))
        return ReportResponse{token(machine), context_.stops_for_finished_jobs(report),
                              !machine.is_relay_only()};
    if (relayed && !machine.relayed) machine.relayed_since = now;
    machine.relayed = relayed;
    if (active_)
        apply_heartbeat(machine, report, true);
    else
        record_session_and_token(machine, report, true);
    ReportResponse response{token(machine), {}, !machine.is_relay_only()};
    // Until all jobs are read, which a store outage may delay for long, the answer stops at least the tasks
    // whose jobs are known to be over, so that the renewed lease does not keep them running.
    response.orders = active_ ? orders_for(machine, false) : context_.stops_for_finished_jobs(report);
    // A direct call now and then finds out whether the worker can be reached without a relay.
    if (is_probe_due(machine)) request_dispatch(machine);
    if (plan_due_ || flush_due_ || !dispatch_due_.empty()) context_.wake();
    return response;
}

std::vector<Order> ShardOwner::orders_for(Machine& machine, bool direct) {
    std::vector<Order> orders;
    add_clears(machine, orders);
    for (const auto& orphan : machine.orphaned_tasks) {
        orders.push_back({OrderKind::Stop, orphan.job, orphan.task, orphan.attempt, 0});
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
    for (const auto& task : machine.exited_tasks) {
        if (!can_clear(machine, task, uncleared)) continue;
        machine.acknowledged_launches.erase({task.job, task.task, task.attempt});
        orders.push_back({OrderKind::Clear, task.job, task.task, task.attempt, 0});
        startup_.record_order(OrderKind::Clear, false);
    }
    if (uncleared > kMaxUnclearedAttempts) raise_token(machine);
}

/// Returns true if the worker may forget an ended attempt. After a clear the attempt is unknown to the
/// worker, so a launch of it that is still in flight would start it again. `uncleared` counts the attempts
/// that can be cleared only under a higher token.
bool ShardOwner::can_clear(const Machine& machine, const ReportedTask& task, std::size_t& uncleared) const {
    const AttemptKey key{task.job, task.task, task.attempt};
    if (has_unsettled_launch(machine, key)) return false;
    // A duplicate of a launch that was executed would start it again too, as long as token and session match.
    // If the worker retains the attempt's result, such a start ends at once; otherwise the duplicate would
    // run, perhaps beside the next attempt.
    if (const auto sent = machine.acknowledged_launches.find(key);
        sent != machine.acknowledged_launches.end() && machine.token_seen <= sent->second.token) {
        if (task.cause != ExitCause::Done) ++uncleared;
        if (task.cause != ExitCause::Done || context_.runtime().now() - sent->second.at <= kDuplicateWindow)
            return false;
    }
    const Job* job = shard_state_.job(task.job);
    if (!job || task.task >= job->spec.tasks) return true;
    return job->slots[static_cast<std::size_t>(task.task)].state !=
           SlotState::DonePending;  // not before the result is durable
}

void ShardOwner::add_stop(Slot& slot, const AttemptKey& key, bool direct, std::vector<Order>& orders) {
    const Micros now = context_.runtime().now();
    permission::StopEvidence evidence;
    evidence.may_run = slot.launch_sent || slot.seen;  // otherwise tick() releases the task
    evidence.saving_with_grace = slot.phase == Phase::Saving && slot.grace > 0;
    evidence.renews_lease = !direct;
    evidence.sent_recently =
        slot.stop_sent_at != 0 && now - slot.stop_sent_at < context_.settings().report_interval;
    if (!permission::is_stop_due(evidence)) return;
    startup_.record_order(OrderKind::Stop, slot.stop_sent_at != 0);
    slot.stop_sent_at = now;
    cancellations_.record_stop_sent(key.job, now);
    orders.push_back({OrderKind::Stop, key.job, key.task, key.attempt, slot.grace});
}

void ShardOwner::add_launch(Machine& machine, const Job& job, Slot& slot, const AttemptKey& key, bool direct,
                            std::vector<Order>& orders) {
    permission::LaunchEvidence evidence;
    // Without a recent read of the store this owner may have missed the job's cancellation. A task launched
    // in a session that began after the controller lease ended could then run past the cancel deadline.
    evidence.store_read_valid = context_.has_valid_lease();
    evidence.job_queued = job.stage == Stage::Queued;
    evidence.token = token(machine);
    evidence.token_seen = machine.token_seen;
    evidence.bound_by_other_owner = slot.inherited;
    evidence.call_in_flight = machine.direct_launches.count(key) > 0;
    evidence.gang_complete = job.spec.kind != JobKind::Gang ||
                             std::all_of(job.slots.begin(), job.slots.end(),
                                         [](const Slot& other) { return other.state == SlotState::Bound; });
    // Launches go by direct call, and in the answer to a report only if direct calls do not work.
    const bool direct_calls_work = machine.direct_call_backoff == 0 && !machine.is_relay_only();
    evidence.direct_call_preferred =
        !direct && (direct_calls_work || machine.launches_in_responses.count(key));
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

/// Returns true if a worker whose reports are relayed, or that did not answer a call, is due to be called, in
/// order to find out whether it can be reached again.
bool ShardOwner::is_probe_due(const Machine& machine) const {
    return (machine.is_relay_only() || machine.suspect) &&
           context_.runtime().now() - machine.probed_at > kProbeInterval;
}

/// Adds a machine to the list of machines to send orders to.
void ShardOwner::request_dispatch(Machine& machine) {
    if (machine.dispatch_queued) return;
    machine.dispatch_queued = true;
    dispatch_due_.push_back(machine.name);
    context_.wake();
}

/// Returns the position of a machine when more machines have to be called than calls may be in flight, lowest
/// first: tasks of cancelled jobs, which must stop in time; production work; jobs with a deadline; other
/// launches and stops; the rest, such as announcing a token.
int ShardOwner::dispatch_urgency(const Machine& machine) const {
    int urgency = 4;
    for (const auto& [job, task] : machine.tasks) {
        const Slot& slot = job->slots[static_cast<std::size_t>(task)];
        if (slot.state != SlotState::Bound || (slot.seen && !slot.stop_requested)) continue;
        if (job->stage == Stage::Cancelled) return 0;
        urgency = std::min(urgency, job->rank == PriorityClass::Production ? 1
                                    : job->deadline_ms != INT64_MAX        ? 2
                                                                           : 3);
    }
    return urgency;
}

void ShardOwner::send_orders() {
    if (dispatch_due_.empty()) return;
    const int max_calls = static_cast<int>(context_.settings().sockets / 16);
    if (static_cast<int>(dispatch_due_.size()) > max_calls - direct_calls_in_flight_) {
        std::vector<std::pair<int, std::string>> by_urgency;
        for (auto& name : dispatch_due_)
            if (auto machine = shard_state_.machines.find(name); machine != shard_state_.machines.end())
                by_urgency.emplace_back(dispatch_urgency(*machine->second), std::move(name));
        std::stable_sort(by_urgency.begin(), by_urgency.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        dispatch_due_.clear();
        for (auto& [urgency, name] : by_urgency) dispatch_due_.push_back(std::move(name));
    }
    std::vector<std::string> later;
    for (const auto& name : std::exchange(dispatch_due_, {})) {
        auto it = shard_state_.machines.find(name);
        if (it == shard_state_.machines.end()) continue;
        if (direct_calls_in_flight_ >= max_calls) {
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
    // A worker that only other controllers reach gets its orders in the answers to its reports.
    const bool is_probe = active_ && is_probe_due(machine);
    if (machine.is_relay_only() && !is_probe) return;
    if (is_probe) machine.probed_at = now;
    const bool announces_token = machine.token_seen < token(machine) || (active_ && machine.seq == 0);
    std::vector<Order> orders;
    if (machine.session > 0 && !announces_token && !is_probe) orders = orders_for(machine, true);
    const bool only_clears = std::all_of(orders.begin(), orders.end(),
                                         [](const Order& order) { return order.kind == OrderKind::Clear; });
    if (!announces_token && !is_probe && only_clears)
        return;  // clears can wait for the answer to the next report
    // If the session is not known yet, 1 is tried. The answer contains the actual session.
    const std::uint64_t session = std::max<std::uint64_t>(machine.session, 1);
    machine.direct_call_in_flight = true;
    ++direct_calls_in_flight_;
    Call call;
    call.target = Target::Worker;
    call.address = machine.addr;
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
            record_session_and_token(target, *report, false);
        // If another call is necessary, it is delayed: its answer may be of no use for a while.
        if (reply.status == 409 || target.seq == 0 || target.token_seen < token(target))
            target.next_direct_call_at = context_.runtime().now() + 100 * kMillisecond;
        // The call was answered, so a launch that the answer does not list was not executed and will not be.
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

/// Marks a machine whose worker did not answer a call.
void ShardOwner::mark_suspect(Machine& machine) {
    if (!std::exchange(machine.suspect, true)) machine.suspect_since = context_.runtime().listening_time();
}

/// Handles a call that failed before the connection was made, so none of its orders was or will be executed.
/// Tasks that it was to launch can run elsewhere, and nothing more is bound to the machine until it is known
/// to receive messages again.
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
            continue;  // the launch was also sent earlier, or in the answer to a report
        slot.launch_sent = false;
        spdlog::info("task {}/{}: {} can't be reached, to be placed elsewhere", key.job, key.task,
                     machine.name);
        on_attempt_terminated(*job, key.task, 0);
    }
}

/// Handles a call without an answer. Each of its launches may still be executed as long as token and session
/// match. It stays unconfirmed and is sent again, since a repeated launch has no effect.
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

/// Raises one machine's token in its block record, so that unanswered launches under the old token can no
/// longer be executed. The other machines of the block keep their tokens.
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

void ShardOwner::retire(const std::string& machine, const char* reason) {
    auto it = shard_state_.machines.find(machine);
    if (it == shard_state_.machines.end() || it->second->retiring || it->second->retired) return;
    it->second->retiring = true;
    spdlog::info("machine {}: to be returned: {}", machine, reason);
    // The deletion of the machine proves that the tasks on it have terminated, so it is urgent if there are
    // any.
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
