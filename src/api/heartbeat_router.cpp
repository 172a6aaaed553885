#include "api/heartbeat_router.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway {

namespace {
constexpr Micros kBack = 12 * kSecond;  // a worker that is back this soon could not reach its holder
// What a try at a node that can't be reached costs a worker: no response for 4 s, and another second.
constexpr Micros kWorkerTry = 5 * kSecond;
constexpr Micros kRelinquishInterval = 500 * kMillisecond;
constexpr Micros kPeerTimeout = 800 * kMillisecond;
constexpr Micros kRelayTimeout = 2 * kSecond;
constexpr Micros kProbeTimeout = kSecond;
constexpr std::size_t kMaxProbes = 64;  // machines in no block that are called at a time
constexpr Micros kForgotten = 2;        // leases, until what a former process promised counts no more
}  // namespace

HeartbeatRouter::HeartbeatRouter(Runtime& runtime, const Settings& settings, const ChangeFeed& feed,
                                 const StateCache& cache, const MembershipLease& membership_lease,
                                 const ShardAssignment& assignment, const LeaderElection& election,
                                 MachineAllocator& machine_allocator, PeerDirectory& peers,
                                 JobArchiver& history, permission::Counters& decisions)
    : runtime_(runtime),
      settings_(settings),
      feed_(feed),
      cache_(cache),
      membership_lease_(membership_lease),
      assignment_(assignment),
      election_(election),
      machine_allocator_(machine_allocator),
      peers_(peers),
      history_(history),
      decisions_(decisions),
      in_flight_(settings.peers.size()),
      started_(runtime.now()) {}

bool HeartbeatRouter::lease_is_valid() const {
    return has_valid_lease(feed_.confirmed_ago(), settings_);
}

std::optional<ApiResponse> HeartbeatRouter::answer(ShardOwner& owner, const Report& r) const {
    auto answer = owner.on_report(r);
    if (!answer) return std::nullopt;
    return ApiResponse{200, renewal(r, answer->token, std::move(answer->orders))};
}

/// The answer that renews a worker's lease, whoever decided on it. No task goes on by it whose job is known
/// here to be over.
Json HeartbeatRouter::renewal(const Report& r, std::uint64_t token, std::vector<Order> orders) const {
    const auto missing = permission::missing_stops(r, orders, [this](const std::string& job) {
        return cache_.jobs.recorded_as_cancelled(job) || cache_.jobs.finality(job) == JobFinality::Finished;
    });
    if (!missing.empty()) {
        decisions_.violation();
        const Order& first = missing.front();
        spdlog::error("event=renewal_without_stop machine={} token={} task={}/{} attempt={} stops_added={}",
                      r.machine, token, first.job, first.task, first.attempt, missing.size());
        orders.insert(orders.end(), missing.begin(), missing.end());
    }
    return wire::report_answer(token, orders);
}

void HeartbeatRouter::report(const std::string& bytes, ApiResponder respond) {
    auto body = wire::decode(bytes);
    auto parsed = body ? wire::parse_report(*body) : std::nullopt;
    if (!parsed) return respond({400, Json::object()});
    const Report& r = *parsed;
    const Block* block = cache_.blocks.of(r.machine);
    if (!block) return unknown_machine(r, std::move(respond));
    if (ShardOwner* o = assignment_.find(block->shard)) return respond(answer(*o, r).value_or(unavailable()));
    help(r, *block, bytes, std::move(respond));
}

/// A machine in no block: the leader leases it once it has answered a call. Its report may be all that is
/// left of it, and a process that has started since does not know that it was returned.
void HeartbeatRouter::unknown_machine(const Report& r, ApiResponder respond) {
    if (!election_.leading()) {
        const std::string& leader = election_.leader();
        if (leader != settings_.node && cache_.membership.alive(leader))
            return respond({421, wire::redirect(leader)});
        return respond(unavailable());
    }
    const bool asks =
        !machine_allocator_.is_allocating(r.machine) && !r.address.empty() && probing_.size() < kMaxProbes;
    if (!lease_is_valid() || machine_allocator_.returned(r.machine) || !asks ||
        !probing_.insert(r.machine).second)
        return respond(unavailable());
    Call call;
    call.target = Target::Worker;
    call.address = r.address;
    call.timeout = kProbeTimeout;
    call.method = "GET";
    call.path = "/show";
    runtime_.call(std::move(call), [this, r, respond = std::move(respond)](const Reply& reply) {
        probing_.erase(r.machine);
        const auto shown = reply.status == 200 ? wire::parse_report(reply.body) : std::nullopt;
        const bool there = shown && shown->machine == r.machine;
        if (!there || !election_.leading() || !lease_is_valid() || cache_.blocks.of(r.machine))
            return respond(unavailable());
        lease(r, respond);
    });
}

/// MachineAllocator a machine, answers its report if its block is ours, or sends it to the holder.
void HeartbeatRouter::lease(const Report& r, const ApiResponder& respond) {
    if (machine_allocator_.is_allocating(r.machine)) return respond(unavailable());
    machine_allocator_.allocate({r.machine, r.address, 0, false, false}, r.type, r.zone, r.spot,
                                [this, r, respond] {
                                    const Block* block = cache_.blocks.of(r.machine);
                                    if (!block) return respond(unavailable());
                                    ShardOwner* o = assignment_.find(block->shard);
                                    if (auto a = o ? answer(*o, r) : std::nullopt)
                                        return respond(std::move(*a));
                                    const ShardRecord* d = cache_.membership.shard(block->shard);
                                    if (o || !d) return respond(unavailable());
                                    respond({421, wire::redirect(d->holder)});
                                });
}

/// A worker whose holder is another node. It is sent there; if it comes back, it can't reach it: then its
/// report is passed on, and where that fails as well its lease is renewed on the holder's behalf.
void HeartbeatRouter::help(const Report& r, const Block& block, const std::string& bytes,
                           ApiResponder respond) {
    const Micros now = runtime_.now();
    const ShardRecord* d = cache_.membership.shard(block.shard);
    if (!d || d->holder == settings_.node) return respond(unavailable());
    ProxiedWorker& proxied = proxied_workers_[r.machine];
    // A worker has one report in flight, so one that is older than another, or its copy, was given up:
    // nothing that it is answered arrives, and taken for a renewal it would only keep tasks in doubt.
    if (!recovery::is_news({r.session, r.seq}, {proxied.session, proxied.seq}, 0))
        return respond(unavailable());
    proxied.session = r.session;
    proxied.seq = r.seq;
    const auto peer = peers_.named(d->holder);
    if (!peer) return respond(unavailable());
    if (!cache_.membership.alive(d->holder)) return renew_on_behalf(r, block, respond);
    // Where we can't reach the holder either, another try would only cost the worker its lease.
    if (!peers_.reachable(*peer)) return renew_on_behalf(r, block, respond);
    // Where the lease leaves no time to find that out, the report is passed on first; the holder tells
    // whether it reaches the worker itself.
    const bool back = proxied.sent_on > 0 && now - proxied.sent_on < kBack;
    const bool no_time =
        settings_.worker_lease < settings_.report_interval * 5 / 4 + 2 * kWorkerTry + kSecond;
    if (!back && (!no_time || std::exchange(proxied.direct, false))) {
        proxied.sent_on = now;
        return respond({421, wire::redirect(d->holder)});
    }
    relay(r, *peer, bytes, std::move(respond));
}

void HeartbeatRouter::relay(const Report& r, std::size_t peer, const std::string& bytes,
                            ApiResponder respond) {
    peers_.call(peer, peer::pack(peer::Relay{bytes}), kRelayTimeout,
                [this, r, respond = std::move(respond)](const Reply& reply) {
                    auto relayed = peer::unpack<peer::Relayed>(reply.bytes);
                    if (!relayed) {
                        // The holder may have answered all the same; renewing a lease does no harm then.
                        const Block* block = cache_.blocks.of(r.machine);
                        if (!block || assignment_.find(block->shard)) return respond(unavailable());
                        return renew_on_behalf(r, *block, respond);
                    }
                    if (relayed->worker_reachable) {  // sent there next time
                        proxied_workers_[r.machine].sent_on = 0;
                        proxied_workers_[r.machine].direct = true;
                    }
                    auto body = wire::decode(relayed->body);
                    if (relayed->status != 200 || !body) return respond(unavailable());
                    respond({200, std::move(*body)});
                });
}

std::optional<peer::Relayed> HeartbeatRouter::relayed(const peer::Relay& message) {
    auto body = wire::decode(message.report);
    auto r = body ? wire::parse_report(*body) : std::nullopt;
    if (!r) return std::nullopt;
    const Block* block = cache_.blocks.of(r->machine);
    ShardOwner* o = block ? assignment_.find(block->shard) : nullptr;
    auto answer = o ? o->on_report(*r, true) : std::nullopt;
    if (!answer) return peer::Relayed{503, false, ""};
    return peer::Relayed{200, answer->direct,
                         wire::encode(renewal(*r, answer->token, std::move(answer->orders)))};
}

/// Renews a worker's lease on behalf of a holder that neither it nor we can reach, with the holder's own
/// token and no orders but to stop what is over. Safe as long as the holder does not presume the lease to be
/// over: for that it needs our promise not to do this (see `promise`), or our end. Limited by our own
/// authority, so that a cancellation ends every task in time.
void HeartbeatRouter::renew_on_behalf(const Report& r, const Block& block, const ApiResponder& respond) {
    const Micros now = runtime_.now();
    const ShardRecord* shard = cache_.membership.shard(block.shard);
    const Block::Machine* machine = block.find(r.machine);
    const Revision token = std::max(shard ? shard->mod_revision : 0, machine ? machine->token : 0);
    const permission::Decision decision = may_renew_on_behalf(r, block, token);
    decisions_.renewal(decision);
    if (decision) return respond(unavailable());
    ProxiedWorker& proxied = proxied_workers_[r.machine];
    if (proxied.renewed == 0 || now - proxied.renewed > 30 * kSecond)
        spdlog::info("machine {}: kept alive on behalf of {}", r.machine, shard->holder);
    proxied.renewed = now;
    respond({200, renewal(r, token, cache_.jobs.stops_for_finished_jobs(r))});
}

permission::Decision HeartbeatRouter::may_renew_on_behalf(const Report& r, const Block& block,
                                                          Revision token) {
    const Micros now = runtime_.now();
    const Block::Machine* machine = block.find(r.machine);
    const auto proxied = proxied_workers_.find(r.machine);
    permission::ProxyEvidence evidence;
    evidence.member = membership_lease_.announced() && cache_.membership.alive(settings_.node);
    evidence.store_read_valid = lease_is_valid();
    evidence.holder_known = cache_.membership.shard(block.shard) != nullptr;
    // Promises that a former process of this node made are forgotten, so a new one waits until they are over.
    evidence.former_promises_over = now - started_ > kForgotten * with_drift(settings_.worker_lease);
    evidence.relinquished = proxied != proxied_workers_.end() && now < proxied->second.refused_until;
    evidence.machine_listed = machine && !machine->retired;
    evidence.jobs_known = history_.knows_jobs_of(r);
    evidence.token = token;
    evidence.token_seen = r.token;
    return permission::renewal_on_behalf(evidence);
}

peer::Relinquished HeartbeatRouter::promise(const peer::Relinquish& ask) {
    const Micros now = runtime_.now();
    peer::Relinquished answer;
    for (const auto& name : ask.machines) {
        ProxiedWorker& proxied = proxied_workers_[name];
        proxied.refused_until = now + 3 * with_drift(settings_.worker_lease);
        answer.renewal_ages.push_back(now - std::max(proxied.renewed, started_));
    }
    return answer;
}

void HeartbeatRouter::request_relinquishments() {
    const Micros now = runtime_.now();
    if (now - relinquish_requested_at_ < kRelinquishInterval) return;
    relinquish_requested_at_ = now;
    for (const auto& [name, o] : assignment_.all()) {
        if (!o || !o->active()) continue;
        for (std::size_t i = 0; i < peers_.count(); ++i) {
            if (in_flight_[i] > 0 || !cache_.membership.alive(settings_.peers[i].name)) continue;
            auto machines = o->machines_to_relinquish(i);
            // Of a name that is cut short on its way another machine's promise would come back.
            std::erase_if(machines, [](const auto& machine) { return !peer::name_fits(machine); });
            // Several messages, none longer than the version before reads.
            for (std::size_t from = 0; from < machines.size(); from += peer::kMaxMachines) {
                const auto end = std::min(machines.size(), from + peer::kMaxMachines);
                const auto first = machines.begin();
                request_relinquishment(
                    i, *o,
                    {first + static_cast<std::ptrdiff_t>(from), first + static_cast<std::ptrdiff_t>(end)});
            }
        }
    }
}

void HeartbeatRouter::request_relinquishment(std::size_t peer, const ShardOwner& owner,
                                             std::vector<std::string> machines) {
    const peer::Relinquish message{settings_.node, owner.shard(), owner.mod_revision(), machines};
    ++in_flight_[peer];
    peers_.call(peer, peer::pack(message), kPeerTimeout,
                [this, peer, shard = owner.shard(), mod_revision = owner.mod_revision(),
                 machines = std::move(machines), sent = runtime_.now()](const Reply& r) {
                    --in_flight_[peer];
                    const auto answer = peer::unpack<peer::Relinquished>(r.bytes);
                    ShardOwner* o = assignment_.find(shard);
                    if (!answer || answer->renewal_ages.size() != machines.size() || !o ||
                        o->mod_revision() != mod_revision)
                        return;
                    // Given for longer, but a process that follows the giver's knows nothing of it, and
                    // waits for this long.
                    const Micros promised = kForgotten * with_drift(settings_.worker_lease);
                    for (std::size_t m = 0; m < machines.size(); ++m)
                        o->on_relinquished(peer, machines[m],
                                           {sent + promised - promised / 100,
                                            runtime_.now() - std::max<Micros>(answer->renewal_ages[m], 0)});
                });
}

}  // namespace cottonway
