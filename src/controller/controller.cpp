#include "controller/controller.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kTickInterval = 100 * kMillisecond;
constexpr Micros kSummaryInterval = 30 * kSecond;
constexpr Micros kOrphanedChunksInterval = 5 * kSecond;
// A request that has waited longer than this is rejected, since its sender no longer waits for the answer.
constexpr Micros kWorkerRequestTimeout = 4 * kSecond;  // workers wait 4 s, users 5 s
constexpr Micros kPollRequestTimeout = 2 * kSecond;    // users wait 2 s for the answer to a poll
constexpr unsigned kMaxExtraRetrySeconds = 4;

bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Controller::Controller(Runtime& runtime, Settings settings)
    : runtime_(runtime),
      settings_(std::move(settings)),
      store_(runtime, settings_),
      cache_(runtime, store_, settings_, *this),
      feed_(runtime, store_, settings_, cache_),
      membership_lease_(runtime, store_, settings_, cache_),
      election_(runtime, store_, settings_, feed_, cache_, membership_lease_),
      job_archiver_(runtime, store_, settings_, feed_, cache_, election_),
      policy_publisher_(runtime, store_, settings_, feed_, cache_),
      assignment_(*this, feed_, cache_, membership_lease_, machine_allocator_, job_archiver_),
      machine_allocator_(runtime, store_, settings_, feed_, cache_, assignment_, election_, autoscaler_,
                         peers_),
      peers_(runtime, settings_, feed_, cache_, assignment_, election_, autoscaler_),
      autoscaler_(runtime, settings_, cache_, assignment_, election_, machine_allocator_, peers_),
      quota_allocator_(runtime, store_, settings_, feed_, cache_, assignment_, election_, machine_allocator_),
      capacity_broker_(runtime, cache_, assignment_, machine_allocator_, quota_allocator_, peers_),
      heartbeat_router_(runtime, settings_, feed_, cache_, membership_lease_, assignment_, election_,
                        machine_allocator_, peers_, job_archiver_, decisions_),
      job_service_(runtime, store_, settings_, feed_, cache_, assignment_, peers_, job_archiver_) {}

Controller::~Controller() {
    assignment_.shut_down();
}

void Controller::start() {
    spdlog::info("node {} starting in zone {}", settings_.node, settings_.zone);
    for (const auto& team : settings_.teams)
        spdlog::info(
            "team {}: {} cores guaranteed, {}", team.name, team.guarantee.cores / 1000,
            team.limit.cores < kNoLimit ? std::to_string(team.limit.cores / 1000) + " at most" : "no limit");
    if (!can_cancel_in_time(settings_))
        spdlog::error(
            "cancel_s is too short for lease_s: if a controller is cut off from the state service, tasks may "
            "run for up to {} s after their job is cancelled",
            (settings_.cancel_deadline - cancel_margin_after_worker_lease(settings_) + kMinControllerLease) /
                kSecond);
    fetch_machine_types();
    feed_.start();
    membership_lease_.join();
    tick();
}

void Controller::tick() {
    runtime_.after(kTickInterval, [this] { tick(); });
    const Micros now = runtime_.now();
    timer_lag_ = next_tick_due_ > 0 ? std::max<Micros>(now - next_tick_due_, 0) : 0;
    next_tick_due_ = now + kTickInterval;
    feed_.tick();
    assignment_.acquire_shards();
    election_.campaign();
    assignment_.transfer_shards();
    peers_.gossip();
    heartbeat_router_.request_relinquishments();
    capacity_broker_.tick();
    machine_allocator_.allocate_blocks();
    quota_allocator_.allocate_initial_quota();
    election_.store_machine_types();
    announce_format();
    policy_publisher_.tick();
    cache_.jobs.dependency_graph().propagate_priorities();
    cache_.propagate_dependency_changes();
    job_archiver_.tick();
    job_service_.read_unknown_dependencies();
    delete_orphaned_chunks();
    machine_allocator_.split_blocks();
    machine_allocator_.flush_edits();
    autoscaler_.tick();
    assignment_.tick();
    log_summary();
}

void Controller::log_summary() {
    const Micros now = runtime_.now();
    if (now - summary_logged_at_ <= kSummaryInterval) return;
    summary_logged_at_ = now;
    cache_.jobs.forget_images_before(now - 20 * kSummaryInterval);
    std::string line;
    for (const auto& [purpose, count] : store_.sent_writes())
        line += " " + purpose + " " + std::to_string(count);
    spdlog::info("changes sent so far:{}", line);
    spdlog::info("event=decisions confirmed_ms_ago={} revision={} leader={} term={} {}",
                 feed_.confirmed_age() / kMillisecond, feed_.store_revision(), election_.leader_node(),
                 election_.term(), decisions_.log_line());
}

void Controller::wake() {
    if (std::exchange(wake_scheduled_, true)) return;
    runtime_.after(0, [this] {
        wake_scheduled_ = false;
        assignment_.run_pending_work();
    });
}

void Controller::fetch_machine_types() {
    Call call;
    call.target = Target::Cloud;
    call.method = "GET";
    call.path = "/machine_types";
    runtime_.call(std::move(call), [this](const Reply& reply) {
        if (reply.status == 200) cache_.apply_machine_types(reply.body);
        if (!cache_.machine_types.cloud_response().is_null()) return;
        runtime_.after(kSecond + static_cast<Micros>(runtime_.random()() % 500) * kMillisecond,
                       [this] { fetch_machine_types(); });
    });
}

/// Returns the time by which a peer whose liveness key was deleted has stopped renewing leases. Its last
/// confirmed read was before its key ended, and its controller lease ends a fixed time after that read. The
/// peer may have restarted since the last refresh of the cache, so the age of that refresh is added.
std::optional<Micros> Controller::peer_lease_end(std::size_t peer) const {
    const auto silent = cache_.membership.silent_since(settings_.peers[peer].name);
    if (!silent) return std::nullopt;
    return *silent + controller_lease_duration(settings_) + controller_lease_duration(settings_) / 1000 +
           feed_.confirmed_age();
}

bool Controller::has_valid_lease() const {
    return cottonway::has_valid_lease(feed_.confirmed_age(), settings_);
}

// ---------------------------------------------------------------- changes of the cached state

void Controller::on_job(const std::string& ref, RecordLocation record_location, const Json& value,
                        Revision mod_revision) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->on_job(ref, record_location, value, mod_revision);
}

void Controller::on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->on_part(ref, part, value, mod_revision);
}

void Controller::on_dependency_status(const std::string& ref) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->on_dependencies_changed(ref);
}

void Controller::on_machine(const Block& block, const Block::Machine& machine) {
    machine_allocator_.on_machine_leased(machine.name);
    for (const auto& [shard, owner] : assignment_.owners()) {
        if (!owner) continue;
        if (shard == block.shard)
            owner->on_machine(block, machine);
        else
            owner->on_machine_removed(machine.name, "the machine is in another domain now");
    }
}

void Controller::on_machine_left(const std::string& machine) {
    heartbeat_router_.forget_machine(machine);
    machine_allocator_.on_machine_returned(machine);
    for (const auto& [shard, owner] : assignment_.owners())
        if (owner)
            owner->on_machine_removed(machine,
                                      "the machine was deleted or transferred to another shard while empty");
}

void Controller::on_format() {
    spdlog::info("all {} controllers read format {}: it is written from now on", settings_.peers.size() + 1,
                 cache_.formats.common_format());
    if (cache_.formats.is_read_by_all(format::kChunksAndDependencies)) store_.enable_chunking();
}

void Controller::on_policy() {
    policy_publisher_.log_policy_in_force();
    for (const auto& [name, owner] : assignment_.owners())
        if (owner) owner->on_policy_changed();
    wake();
}

Micros Controller::stable_for() const {
    const Membership& membership = cache_.membership;
    if (feed_.confirmed_age() > 2 * kSecond) return 0;
    for (const auto& [name, shard] : membership.shards())
        if (!membership.is_alive(shard.holder)) return 0;
    Micros since = 0;
    for (const auto& peer : settings_.peers)
        since = std::max(
            {since, membership.alive_since(peer.name), membership.silent_since(peer.name).value_or(0)});
    return runtime_.now() - since;
}

/// Announces the newest format that this node reads. One announcement also holds for later processes of this
/// node.
void Controller::announce_format() {
    const std::uint64_t newest_format = settings_.operators.separate_history ? format::kSeparateActiveRecords
                                                                             : format::kChunksAndDependencies;
    if (!settings_.announces_format || !feed_.loaded() || announcing_format_ ||
        cache_.formats.format_read_by(settings_.node) >= newest_format)
        return;
    announcing_format_ = true;
    const std::string key = keys::format + settings_.node;
    const Json value{{"reads", newest_format}};
    Change change;
    change.writes.push_back({key, value});
    change.purpose = "format";
    store_.commit(std::move(change), [this, key, value](const CommitResult& result) {
        if (result.status == CommitStatus::Ok) cache_.apply(key, &value, result.revision);
        runtime_.after(kSecond, [this] { announcing_format_ = false; });
    });
}

/// Deletes chunks that no record refers to; incomplete writes leave them behind. The deletion is conditional
/// on the revision of the record that the chunks were written for, read before a refresh shows that nothing
/// refers to them. A head record that is committed later fails because it is conditional on its chunks, and a
/// head record that is committed earlier makes the deletion fail, however late the deletion is executed.
void Controller::delete_orphaned_chunks() {
    const Micros now = runtime_.now();
    if (!election_.is_leader() || store_.chunk_store().size() == 0 ||
        now - chunks_checked_at_ < kOrphanedChunksInterval)
        return;
    if (!store_.has_write_budget(Priority::Deferrable)) return;
    chunks_checked_at_ = now;
    std::map<std::string, std::vector<chunks::ChunkStore::OrphanedChunk>> by_record;
    std::size_t count = 0;
    for (const auto& orphan : store_.chunk_store().orphaned_chunks(now))
        if (++count <= settings_.max_txn_ops) by_record[orphan.record_key].push_back(orphan);
    for (const auto& [key, orphans] : by_record)
        store_.read(key, [this, orphans = orphans](const ReadResult& result) {
            if (!result.ok) return;
            feed_.after_next_refresh([this, orphans, mod_revision = result.mod_revision](bool refreshed) {
                for (const auto& orphan : orphans)
                    if (refreshed && !store_.chunk_store().is_referenced(orphan.name, orphan.record_key))
                        delete_chunk(orphan, mod_revision);
            });
        });
}

void Controller::delete_chunk(const chunks::ChunkStore::OrphanedChunk& orphan, Revision mod_revision) {
    Change change;
    change.priority = Priority::Deferrable;
    change.conditions.push_back({orphan.record_key, mod_revision});
    change.writes.push_back({orphan.key, Json()});
    change.purpose = "cleanup";
    store_.commit(std::move(change), [](const CommitResult&) {});
}

// ---------------------------------------------------------------- requests

void Controller::handle_request(ApiRequest request, ApiResponder respond) {
    if (request.too_large) return respond({413, Json::object()});
    // The sender of a request that has waited this long no longer waits for the answer. Rejecting it cheaply
    // keeps a process that was stalled from falling behind again.
    if (request.possible_delay >= (request.method == "GET" ? kPollRequestTimeout : kWorkerRequestTimeout))
        return respond(unavailable());
    const std::string path = request.path.substr(0, request.path.find('?'));
    const bool is_get = request.method == "GET", is_post = request.method == "POST";
    auto wrong_method = [&] { respond({405, Json::object()}); };
    auto body = [&]() { return wire::decode(request.body); };
    if (path == "/healthz") {
        if (!is_get) return wrong_method();
        return respond({job_service_.is_healthy() ? 200 : 503, Json::object()});
    }
    if (path == "/v1/report") {
        if (!is_post) return wrong_method();
        return heartbeat_router_.handle_report(request.body, std::move(respond));
    }
    static const std::string jobs_path = "/v1/jobs";
    if (path == jobs_path) {
        if (!is_post) return wrong_method();
        auto job = body();
        return job ? job_service_.submit(*job, std::move(respond)) : respond({400, Json::object()});
    }
    if (starts_with(path, jobs_path + "/")) {
        if (is_get && job_service_.too_busy_for_polls(timer_lag_))
            return respond(unavailable(1 + static_cast<int>(runtime_.random()() % kMaxExtraRetrySeconds)));
        std::string ref = path.substr(jobs_path.size() + 1);
        static const std::string abort_suffix = "/abort";
        const bool is_abort =
            ref.size() > abort_suffix.size() &&
            ref.compare(ref.size() - abort_suffix.size(), abort_suffix.size(), abort_suffix) == 0;
        if (is_abort) ref.resize(ref.size() - abort_suffix.size());
        if (ref.find('/') == std::string::npos) {
            if (is_abort ? !is_post : !is_get) return wrong_method();
            if (!wire::is_valid_ref(ref)) return respond({404, Json::object()});
            return is_abort ? job_service_.abort(ref, std::move(respond))
                            : job_service_.poll(ref, std::move(respond));
        }
    }
    respond({404, Json::object()});
}

void Controller::handle_peer_message(const std::string& bytes, std::function<void(std::string)> respond) {
    const auto kind = peer::kind_of(bytes);
    auto reject_message = [&] {
        spdlog::error("invalid message from a peer, {} bytes", bytes.size());
        respond("");
    };
    auto respond_with_grant = [respond](const peer::Grant& grant) { respond(peer::pack(grant)); };
    if (!kind) return reject_message();
    switch (*kind) {
        case peer::Kind::State: {
            auto message = peer::unpack<peer::State>(bytes);
            if (!message) return reject_message();
            peers_.on_state(*message);
            return respond(peer::pack(peers_.own_state()));
        }
        case peer::Kind::Relinquish: {
            auto message = peer::unpack<peer::Relinquish>(bytes);
            if (!message) return reject_message();
            return respond(peer::pack(heartbeat_router_.relinquish_leases(*message)));
        }
        case peer::Kind::CapacityRequest: {
            auto message = peer::unpack<peer::CapacityRequest>(bytes);
            if (!message) return reject_message();
            return capacity_broker_.grant_machines(*message, respond_with_grant);
        }
        case peer::Kind::QuotaRequest: {
            auto message = peer::unpack<peer::QuotaRequest>(bytes);
            if (!message) return reject_message();
            return capacity_broker_.grant_quota(*message, respond_with_grant);
        }
        case peer::Kind::Relay: {
            auto message = peer::unpack<peer::Relay>(bytes);
            auto answer = message ? heartbeat_router_.handle_relayed_report(*message) : std::nullopt;
            if (!answer) return reject_message();
            return respond(peer::pack(*answer));
        }
        case peer::Kind::Relinquished:
        case peer::Kind::Grant:
        case peer::Kind::Relayed:
            return reject_message();  // these kinds are only sent as answers
    }
}

Json Controller::explain(const std::string& ref) const {
    const LiveJob* live = cache_.jobs.find(ref);
    const JobView* view = cache_.jobs.find_view(ref);
    if (!live && !view) return {};
    Json explanation{{"ref", ref}, {"policy", policy().revision}};
    if (!live) {
        explanation["why"] = {view->stage == Stage::Done ? "it is done"
                              : view->stage == Stage::Cancelled
                                  ? "it is cancelled"
                                  : "it is over, or about to be heard of again"};
        return explanation;
    }
    const OwnershipRecord* shard = cache_.membership.shard(live->shard);
    explanation["domain"] = live->shard;
    explanation["holder"] = shard ? shard->holder : "";
    const ShardOwner* owner = assignment_.find(live->shard);
    if (!owner || !owner->active()) {
        explanation["why"] = {owner ? "its domain is being taken over here"
                              : shard && !shard->holder.empty()
                                  ? "its domain is held by " + shard->holder + ", which knows more"
                                  : "nobody holds its domain yet"};
        return explanation;
    }
    const Json details = owner->explain(ref);
    if (details.is_null()) {
        explanation["why"] = {"its holder has not taken it in yet"};
        return explanation;
    }
    explanation.update(details);
    if (!live->dependencies_met)
        explanation["waits_for"] = cache_.jobs.dependency_graph().unfinished_dependencies(ref);
    return explanation;
}

Json Controller::status() {
    const Membership& membership = cache_.membership;
    Json status{{"node", settings_.node},
                {"version", COTTONWAY_VERSION},
                {"ledger", feed_.store_revision()},
                {"alive", membership.alive_nodes()},
                {"jobs_known", cache_.jobs.view_count()},
                {"jobs_live", cache_.jobs.live_jobs().size()},
                {"leader", membership.leader().holder},
                {"confirmed_ms_ago", feed_.confirmed_age() / kMillisecond}};
    status["domains"] = Json::array();
    for (const auto& [name, shard] : membership.shards()) {
        const auto* stored = cache_.quotas.find(name);
        status["domains"].push_back({{"name", name},
                                     {"holder", shard.holder},
                                     {"mark", shard.mod_revision},
                                     {"cores", cache_.capacity_of(name) / 1000},
                                     {"share", stored ? quota_to_json(stored->allocation) : Json::object()}});
    }
    status["held"] = Json::array();
    for (const auto& [name, owner] : assignment_.owners())
        if (owner) status["held"].push_back(owner->status());
    const DependencyGraph& dependency_graph = cache_.jobs.dependency_graph();
    status["waiting"] = Json::object();
    for (const auto& ref : dependency_graph.waiting_jobs())
        status["waiting"][ref] = dependency_graph.unfinished_dependencies(ref);
    status["format"] = {{"all_new", cache_.formats.is_read_by_all(format::kChunksAndDependencies)},
                        {"reads", cache_.formats.all()}};
    status["policy"] = policy_publisher_.status();
    status["fleet"] = autoscaler_.status();
    status["changes_sent"] = store_.sent_writes();
    status["decisions"] = decisions_.to_json();
    return status;
}

}  // namespace cottonway
