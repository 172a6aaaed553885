#include "api/heartbeat_router.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway {

namespace {
// A worker that reports again this soon after a redirect could not reach its holder.
constexpr Micros kReturnedAfterRedirectWindow = 12 * kSecond;
// Time that a worker loses by calling an unreachable node: it waits 4 s for a response, and another second.
constexpr Micros kWorkerAttemptTimeout = 5 * kSecond;
constexpr Micros kRelinquishInterval = 500 * kMillisecond;
constexpr Micros kPeerTimeout = 800 * kMillisecond;
constexpr Micros kRelayTimeout = 2 * kSecond;
constexpr Micros kProbeTimeout = kSecond;
constexpr std::size_t kMaxConcurrentProbes = 64;  // of machines in no block
// Promises of a former process of a node expire after so many leases.
constexpr Micros kFormerPromiseLeases = 2;
}  // namespace

HeartbeatRouter::HeartbeatRouter(Runtime& runtime, const Settings& settings, const ChangeFeed& feed,
                                 const StateCache& cache, const MembershipLease& membership_lease,
                                 const ShardAssignment& assignment, const LeaderElection& election,
                                 MachineAllocator& machine_allocator, PeerDirectory& peers,
                                 JobArchiver& job_archiver, permission::Counters& decisions)
    : runtime_(runtime),
      settings_(settings),
      feed_(feed),
      cache_(cache),
      membership_lease_(membership_lease),
      assignment_(assignment),
      election_(election),
      machine_allocator_(machine_allocator),
      peers_(peers),
      job_archiver_(job_archiver),
      decisions_(decisions),
      relinquish_requests_in_flight_(settings.peers.size()),
      started_at_(runtime.now()) {}

bool HeartbeatRouter::lease_is_valid() const {
    return has_valid_lease(feed_.confirmed_age(), settings_);
}

std::optional<ApiResponse> HeartbeatRouter::answer_report(ShardOwner& owner, const Report& report) const {
    auto answer = owner.on_report(report);
    if (!answer) return std::nullopt;
    return ApiResponse{200, renewal_answer(report, answer->token, std::move(answer->orders))};
}

/// Builds every answer that renews a worker's lease. Adds a stop for each task whose job is known here to be
/// finished if `orders` lacks it, so that the renewal keeps no such task running.
Json HeartbeatRouter::renewal_answer(const Report& report, std::uint64_t token,
                                     std::vector<Order> orders) const {
    const auto missing = permission::missing_stops(report, orders, [this](const std::string& job) {
        return cache_.jobs.recorded_as_cancelled(job) || cache_.jobs.finality(job) == JobFinality::Finished;
    });
    if (!missing.empty()) {
        decisions_.count_violation();
        const Order& first = missing.front();
        spdlog::error("event=renewal_without_stop machine={} token={} task={}/{} attempt={} stops_added={}",
                      report.machine, token, first.job, first.task, first.attempt, missing.size());
        orders.insert(orders.end(), missing.begin(), missing.end());
    }
    return wire::report_answer(token, orders);
}

void HeartbeatRouter::handle_report(const std::string& bytes, ApiResponder respond) {
    auto body = wire::decode(bytes);
    auto parsed = body ? wire::parse_report(*body) : std::nullopt;
    if (!parsed) return respond({400, Json::object()});
    const Report& report = *parsed;
    const Block* block = cache_.blocks.find_by_machine(report.machine);
    if (!block) return handle_unknown_machine(report, std::move(respond));
    if (ShardOwner* owner = assignment_.find(block->shard))
        return respond(answer_report(*owner, report).value_or(unavailable()));
    handle_report_for_other_holder(report, *block, bytes, std::move(respond));
}

/// Handles a report of a machine in no block: the leader adds the machine to a block once it has answered a
/// probe. Its report may be a late one of a machine that was returned to the cloud, and a leader that started
/// since does not know that.
void HeartbeatRouter::handle_unknown_machine(const Report& report, ApiResponder respond) {
    if (!election_.is_leader()) {
        const std::string& leader = election_.leader_node();
        if (leader != settings_.node && cache_.membership.is_alive(leader))
            return respond({421, wire::redirect(leader)});
        return respond(unavailable());
    }
    const bool can_probe = !machine_allocator_.is_allocating(report.machine) && !report.address.empty() &&
                           probing_.size() < kMaxConcurrentProbes;
    if (!lease_is_valid() || machine_allocator_.is_returned(report.machine) || !can_probe ||
        !probing_.insert(report.machine).second)
        return respond(unavailable());
    Call call;
    call.target = Target::Worker;
    call.address = report.address;
    call.timeout = kProbeTimeout;
    call.method = "GET";
    call.path = "/show";
    runtime_.call(std::move(call), [this, report, respond = std::move(respond)](const Reply& reply) {
        probing_.erase(report.machine);
        const auto shown_report = reply.status == 200 ? wire::parse_report(reply.body) : std::nullopt;
        const bool confirmed_by_machine = shown_report && shown_report->machine == report.machine;
        if (!confirmed_by_machine || !election_.is_leader() || !lease_is_valid() ||
            cache_.blocks.find_by_machine(report.machine))
            return respond(unavailable());
        allocate_machine(report, respond);
    });
}

/// Adds a machine to a block; then answers its report if this node holds the shard, or redirects it to the
/// holder.
void HeartbeatRouter::allocate_machine(const Report& report, const ApiResponder& respond) {
    if (machine_allocator_.is_allocating(report.machine)) return respond(unavailable());
    machine_allocator_.allocate({report.machine, report.address, 0, false, false}, report.type, report.zone,
                                report.spot, [this, report, respond] {
                                    const Block* block = cache_.blocks.find_by_machine(report.machine);
                                    if (!block) return respond(unavailable());
                                    ShardOwner* owner = assignment_.find(block->shard);
                                    if (auto answer = owner ? answer_report(*owner, report) : std::nullopt)
                                        return respond(std::move(*answer));
                                    const OwnershipRecord* shard_record =
                                        cache_.membership.shard(block->shard);
                                    if (owner || !shard_record) return respond(unavailable());
                                    respond({421, wire::redirect(shard_record->holder)});
                                });
}

/// Handles a report of a worker whose holder is another node. The worker is redirected to the holder. If it
/// reports here again soon it can't reach the holder: then the report is relayed, and if that fails the lease
/// is renewed on the holder's behalf.
void HeartbeatRouter::handle_report_for_other_holder(const Report& report, const Block& block,
                                                     const std::string& bytes, ApiResponder respond) {
    const Micros now = runtime_.now();
    const OwnershipRecord* shard_record = cache_.membership.shard(block.shard);
    if (!shard_record || shard_record->holder == settings_.node) return respond(unavailable());
    ProxiedWorker& proxied = proxied_workers_[report.machine];
    // A worker has one report in flight at a time, so it has given up on a report that is older than the
    // newest one received, or a copy of that. It would not receive the answer, and a renewal would only delay
    // the proof that its tasks have stopped.
    if (!recovery::is_newer_message({report.session, report.seq}, {proxied.session, proxied.seq}, 0))
        return respond(unavailable());
    proxied.session = report.session;
    proxied.seq = report.seq;
    const auto peer = peers_.index_of(shard_record->holder);
    if (!peer) return respond(unavailable());
    if (!cache_.membership.is_alive(shard_record->holder)) return renew_on_behalf(report, block, respond);
    // This node can't reach the holder either, so with a redirect the worker would only lose its lease.
    if (!peers_.is_reachable(*peer)) return renew_on_behalf(report, block, respond);
    // If the lease is too short for the worker to try an unreachable holder and come back, the report is
    // relayed first. The holder answers whether it reaches the worker; if so, the worker is redirected the
    // next time.
    const bool returned_after_redirect =
        proxied.redirected_at > 0 && now - proxied.redirected_at < kReturnedAfterRedirectWindow;
    const bool lease_too_short_for_redirect =
        settings_.worker_lease < settings_.report_interval * 5 / 4 + 2 * kWorkerAttemptTimeout + kSecond;
    if (!returned_after_redirect &&
        (!lease_too_short_for_redirect || std::exchange(proxied.holder_reaches_worker, false))) {
        proxied.redirected_at = now;
        return respond({421, wire::redirect(shard_record->holder)});
    }
    relay_report(report, *peer, bytes, std::move(respond));
}

void HeartbeatRouter::relay_report(const Report& report, std::size_t peer, const std::string& bytes,
                                   ApiResponder respond) {
    peers_.call(peer, peer::pack(peer::Relay{bytes}), kRelayTimeout,
                [this, report, respond = std::move(respond)](const Reply& reply) {
                    auto relayed = peer::unpack<peer::Relayed>(reply.bytes);
                    if (!relayed) {
                        // The holder may have answered the report anyway; another renewal does no harm.
                        const Block* block = cache_.blocks.find_by_machine(report.machine);
                        if (!block || assignment_.find(block->shard)) return respond(unavailable());
                        return renew_on_behalf(report, *block, respond);
                    }
                    if (relayed->worker_reachable) {  // redirect it the next time
                        proxied_workers_[report.machine].redirected_at = 0;
                        proxied_workers_[report.machine].holder_reaches_worker = true;
                    }
                    auto body = wire::decode(relayed->body);
                    if (relayed->status != 200 || !body) return respond(unavailable());
                    respond({200, std::move(*body)});
                });
}

std::optional<peer::Relayed> HeartbeatRouter::handle_relayed_report(const peer::Relay& message) {
    auto body = wire::decode(message.report);
    auto report = body ? wire::parse_report(*body) : std::nullopt;
    if (!report) return std::nullopt;
    const Block* block = cache_.blocks.find_by_machine(report->machine);
    ShardOwner* owner = block ? assignment_.find(block->shard) : nullptr;
    auto answer = owner ? owner->on_report(*report, true) : std::nullopt;
    if (!answer) return peer::Relayed{503, false, ""};
    return peer::Relayed{200, answer->directly_reachable,
                         wire::encode(renewal_answer(*report, answer->token, std::move(answer->orders)))};
}

/// Renews a worker's lease on behalf of a holder that neither the worker nor this node can reach. The answer
/// has the holder's token, and its only orders are stops for tasks of finished jobs. This is safe because the
/// holder presumes the lease to be over only once this node has promised not to renew it (see
/// `relinquish_leases`) or has ended. It requires that this node's own controller lease is valid, so that
/// a cancellation ends every task in time.
void HeartbeatRouter::renew_on_behalf(const Report& report, const Block& block, const ApiResponder& respond) {
    const Micros now = runtime_.now();
    const OwnershipRecord* shard_record = cache_.membership.shard(block.shard);
    const Block::Machine* machine = block.find(report.machine);
    const Revision token =
        std::max(shard_record ? shard_record->mod_revision : 0, machine ? machine->token : 0);
    const permission::Decision decision = may_renew_on_behalf(report, block, token);
    decisions_.count_renewal(decision);
    if (decision) return respond(unavailable());
    ProxiedWorker& proxied = proxied_workers_[report.machine];
    if (proxied.renewed_at == 0 || now - proxied.renewed_at > 30 * kSecond)
        spdlog::info("machine {}: lease renewed on behalf of {}, which is unreachable", report.machine,
                     shard_record->holder);
    proxied.renewed_at = now;
    respond({200, renewal_answer(report, token, cache_.jobs.stops_for_finished_jobs(report))});
}

permission::Decision HeartbeatRouter::may_renew_on_behalf(const Report& report, const Block& block,
                                                          Revision token) {
    const Micros now = runtime_.now();
    const Block::Machine* machine = block.find(report.machine);
    const auto proxied = proxied_workers_.find(report.machine);
    permission::ProxyEvidence evidence;
    evidence.is_member = membership_lease_.is_registered() && cache_.membership.is_alive(settings_.node);
    evidence.store_read_valid = lease_is_valid();
    evidence.owner_known = cache_.membership.shard(block.shard) != nullptr;
    // This process does not know what a former process of this node promised, so it waits until those
    // promises have expired.
    evidence.former_promises_expired =
        now - started_at_ > kFormerPromiseLeases * with_drift(settings_.worker_lease);
    evidence.lease_relinquished =
        proxied != proxied_workers_.end() && now < proxied->second.relinquished_until;
    evidence.machine_listed = machine && !machine->retired;
    evidence.jobs_known = job_archiver_.knows_outcomes_of(report);
    evidence.token = token;
    evidence.token_seen = report.token;
    return permission::decide_renewal_on_behalf(evidence);
}

peer::Relinquished HeartbeatRouter::relinquish_leases(const peer::Relinquish& request) {
    const Micros now = runtime_.now();
    peer::Relinquished answer;
    for (const auto& name : request.machines) {
        ProxiedWorker& proxied = proxied_workers_[name];
        proxied.relinquished_until = now + 3 * with_drift(settings_.worker_lease);
        answer.renewal_ages.push_back(now - std::max(proxied.renewed_at, started_at_));
    }
    return answer;
}

void HeartbeatRouter::request_relinquishments() {
    const Micros now = runtime_.now();
    if (now - relinquish_requested_at_ < kRelinquishInterval) return;
    relinquish_requested_at_ = now;
    for (const auto& [name, owner] : assignment_.owners()) {
        if (!owner || !owner->active()) continue;
        for (std::size_t i = 0; i < peers_.count(); ++i) {
            if (relinquish_requests_in_flight_[i] > 0 || !cache_.membership.is_alive(settings_.peers[i].name))
                continue;
            auto machines = owner->machines_to_relinquish(i);
            // A name that is too long is truncated in the message: the promise would be for another machine.
            std::erase_if(machines, [](const auto& machine) { return !peer::name_fits(machine); });
            // Split into messages that the previous version can read.
            for (std::size_t from = 0; from < machines.size(); from += peer::kMaxMachines) {
                const auto end = std::min(machines.size(), from + peer::kMaxMachines);
                const auto first = machines.begin();
                request_relinquishment(
                    i, *owner,
                    {first + static_cast<std::ptrdiff_t>(from), first + static_cast<std::ptrdiff_t>(end)});
            }
        }
    }
}

void HeartbeatRouter::request_relinquishment(std::size_t peer, const ShardOwner& owner,
                                             std::vector<std::string> machines) {
    const peer::Relinquish message{settings_.node, owner.shard(), owner.mod_revision(), machines};
    ++relinquish_requests_in_flight_[peer];
    peers_.call(peer, peer::pack(message), kPeerTimeout,
                [this, peer, shard = owner.shard(), mod_revision = owner.mod_revision(),
                 machines = std::move(machines), sent_at = runtime_.now()](const Reply& reply) {
                    --relinquish_requests_in_flight_[peer];
                    const auto answer = peer::unpack<peer::Relinquished>(reply.bytes);
                    ShardOwner* current_owner = assignment_.find(shard);
                    if (!answer || answer->renewal_ages.size() != machines.size() || !current_owner ||
                        current_owner->mod_revision() != mod_revision)
                        return;
                    // The peer promised for longer, but a successor process on its node does not know of the
                    // promise and waits only for this long before it renews leases.
                    const Micros promised = kFormerPromiseLeases * with_drift(settings_.worker_lease);
                    for (std::size_t i = 0; i < machines.size(); ++i)
                        current_owner->on_relinquished(
                            peer, machines[i],
                            {sent_at + promised - promised / 100,
                             runtime_.now() - std::max<Micros>(answer->renewal_ages[i], 0)});
                });
}

}  // namespace cottonway
