#include "controller/controller.hpp"

#include <algorithm>
#include <utility>

#include "config/lease_validity.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kTick = 100 * kMillisecond;
constexpr Micros kSumUp = 30 * kSecond;
constexpr Micros kSweepEvery = 5 * kSecond;
constexpr Micros kPatience = 4 * kSecond;      // of workers; users wait for 5 s
constexpr Micros kPollPatience = 2 * kSecond;  // of users who poll
constexpr unsigned kPollSpread = 4;

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
      history_(runtime, store_, settings_, feed_, cache_, election_),
      policies_(runtime, store_, settings_, feed_, cache_),
      assignment_(*this, feed_, cache_, membership_lease_, machine_allocator_, history_),
      machine_allocator_(runtime, store_, settings_, feed_, cache_, assignment_, election_, autoscaler_,
                         peers_),
      peers_(runtime, settings_, feed_, cache_, assignment_, election_, autoscaler_),
      autoscaler_(runtime, settings_, cache_, assignment_, election_, machine_allocator_, peers_),
      quota_allocator_(runtime, store_, settings_, feed_, cache_, assignment_, election_, machine_allocator_),
      capacity_broker_(runtime, cache_, assignment_, machine_allocator_, quota_allocator_, peers_),
      heartbeat_router_(runtime, settings_, feed_, cache_, membership_lease_, assignment_, election_,
                        machine_allocator_, peers_, history_, decisions_),
      job_service_(runtime, store_, settings_, feed_, cache_, assignment_, peers_, history_) {}

Controller::~Controller() {
    assignment_.shut_down();
}

void Controller::start() {
    spdlog::info("node {} starts in zone {}", settings_.node, settings_.zone);
    for (const auto& t : settings_.teams)
        spdlog::info(
            "team {}: {} cores guaranteed, {}", t.name, t.guarantee.cores / 1000,
            t.limit.cores < kNoLimit ? std::to_string(t.limit.cores / 1000) + " at most" : "no limit");
    if (!cancels_in_time(settings_))
        spdlog::error(
            "cancel_s leaves too little beyond lease_s: where a controller can't hear of a cancellation, "
            "tasks may run for up to {} s after it",
            (settings_.cancel - beyond_lease(settings_) + kLeastAuthority) / kSecond);
    fetch_types();
    feed_.start();
    membership_lease_.join();
    tick();
}

void Controller::tick() {
    runtime_.after(kTick, [this] { tick(); });
    const Micros now = runtime_.now();
    late_ = tick_due_ > 0 ? std::max<Micros>(now - tick_due_, 0) : 0;
    tick_due_ = now + kTick;
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
    policies_.tick();
    cache_.jobs.dependency_graph().weigh();
    cache_.settle();
    history_.tick();
    job_service_.read_unknown();
    sweep_pieces();
    machine_allocator_.split_blocks();
    machine_allocator_.flush_edits();
    autoscaler_.tick();
    assignment_.tick();
    sum_up();
}

void Controller::sum_up() {
    const Micros now = runtime_.now();
    if (now - summed_up_ <= kSumUp) return;
    summed_up_ = now;
    cache_.jobs.forget_images(now - 20 * kSumUp);
    std::string line;
    for (const auto& [purpose, n] : store_.sent()) line += " " + purpose + " " + std::to_string(n);
    spdlog::info("changes sent so far:{}", line);
    spdlog::info("event=decisions confirmed_ms_ago={} revision={} leader={} term={} {}",
                 feed_.confirmed_ago() / kMillisecond, feed_.store_revision(), election_.leader_node(),
                 election_.term(), decisions_.line());
}

void Controller::wake() {
    if (std::exchange(waking_, true)) return;
    runtime_.after(0, [this] {
        waking_ = false;
        assignment_.process_pending_work();
    });
}

void Controller::fetch_types() {
    Call call;
    call.target = Target::Cloud;
    call.method = "GET";
    call.path = "/machine_types";
    runtime_.call(std::move(call), [this](const Reply& r) {
        if (r.status == 200) cache_.learn(r.body);
        if (!cache_.types.answer().is_null()) return;
        runtime_.after(kSecond + static_cast<Micros>(runtime_.random()() % 500) * kMillisecond,
                       [this] { fetch_types(); });
    });
}

/// A node whose key is gone had its last confirmation before that, so it renews no lease beyond its
/// authority. It may be back since our last look, so what follows from that is true as of then.
std::optional<Micros> Controller::peer_ended(std::size_t peer) const {
    const auto silent = cache_.membership.silent_since(settings_.peers[peer].name);
    if (!silent) return std::nullopt;
    return *silent + authority(settings_) + authority(settings_) / 1000 + feed_.confirmed_ago();
}

bool Controller::has_valid_lease() const {
    return cottonway::has_valid_lease(feed_.confirmed_ago(), settings_);
}

// ---------------------------------------------------------------- news

void Controller::on_job(const std::string& ref, RecordLocation place, const Json& value,
                        Revision mod_revision) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->on_job(ref, place, value, mod_revision);
}

void Controller::on_part(const std::string& ref, std::size_t part, const Json& value, Revision mod_revision) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->on_part(ref, part, value, mod_revision);
}

void Controller::on_dependency_status(const std::string& ref) {
    for (const auto& [name, owner] : assignment_.owners())
        if (owner && owner->active()) owner->reconsider(ref);
}

void Controller::on_machine(const Block& block, const Block::Machine& machine) {
    machine_allocator_.on_machine_leased(machine.name);
    for (const auto& [shard, owner] : assignment_.owners()) {
        if (!owner) continue;
        if (shard == block.shard)
            owner->on_machine(block, machine);
        else
            owner->on_machine_gone(machine.name, "it is in another domain");
    }
}

void Controller::on_machine_left(const std::string& machine) {
    heartbeat_router_.forget(machine);
    machine_allocator_.on_machine_gone(machine);
    for (const auto& [shard, owner] : assignment_.owners())
        if (owner) owner->on_machine_gone(machine, "it is deleted, or given away empty");
}

void Controller::on_format() {
    spdlog::info("all {} controllers read format {}: it is written from now on", settings_.peers.size() + 1,
                 cache_.formats.common());
    if (cache_.formats.common(format::kPipelines)) store_.use_pieces();
}

void Controller::on_policy() {
    policies_.log_policy_in_force();
    for (const auto& [name, owner] : assignment_.owners())
        if (owner) owner->on_policy();
    wake();
}

Micros Controller::steady_for() const {
    const Membership& membership = cache_.membership;
    if (feed_.confirmed_ago() > 2 * kSecond) return 0;
    for (const auto& [name, shard] : membership.shards())
        if (!membership.alive(shard.holder)) return 0;
    Micros since = 0;
    for (const auto& peer : settings_.peers)
        since = std::max(
            {since, membership.alive_since(peer.name), membership.silent_since(peer.name).value_or(0)});
    return runtime_.now() - since;
}

/// Once, for all processes of this node that are still to come.
void Controller::announce_format() {
    const std::uint64_t reads = settings_.ops.history_apart ? format::kHistory : format::kPipelines;
    if (!settings_.announces_format || !feed_.loaded() || announcing_ ||
        cache_.formats.read_by(settings_.node) >= reads)
        return;
    announcing_ = true;
    const std::string key = keys::format + settings_.node;
    const Json value{{"reads", reads}};
    Change change;
    change.then.push_back({key, value});
    change.purpose = "format";
    store_.commit(std::move(change), [this, key, value](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) cache_.take(key, &value, r.revision);
        runtime_.after(kSecond, [this] { announcing_ = false; });
    });
}

/// Pieces that no record names are left by writes that did not come to their end. They are dropped on the
/// mark of the record that they are of, as of a moment after which nothing named them: a head that is
/// committed later fails on their marks, and one that came first makes the dropping fail, however late that
/// is.
void Controller::sweep_pieces() {
    const Micros now = runtime_.now();
    if (!election_.is_leader() || store_.chunk_store().size() == 0 || now - swept_at_ < kSweepEvery) return;
    if (!store_.room(Priority::Deferrable)) return;
    swept_at_ = now;
    std::map<std::string, std::vector<chunks::ChunkStore::LeftOver>> by_record;
    std::size_t n = 0;
    for (const auto& left : store_.chunk_store().left_over(now))
        if (++n <= settings_.txn_ops) by_record[left.of].push_back(left);
    for (const auto& [key, list] : by_record)
        store_.read(key, [this, list = list](const ReadResult& r) {
            if (!r.ok) return;
            feed_.after_next_refresh([this, list, mod_revision = r.mod_revision](bool looked) {
                for (const auto& left : list)
                    if (looked && !store_.chunk_store().named(left.name, left.of))
                        drop_piece(left, mod_revision);
            });
        });
}

void Controller::drop_piece(const chunks::ChunkStore::LeftOver& left, Revision mod_revision) {
    Change change;
    change.priority = Priority::Deferrable;
    change.when.push_back({left.of, mod_revision});
    change.then.push_back({left.key, Json()});
    change.purpose = "cleanup";
    store_.commit(std::move(change), [](const CommitResult&) {});
}

// ---------------------------------------------------------------- requests

void Controller::handle(ApiRequest request, ApiResponder respond) {
    if (request.too_large) return respond({413, Json::object()});
    // What nobody waits for any more costs no more than this, so that a process that stood still does not
    // fall behind a second time.
    if (request.waited >= (request.method == "GET" ? kPollPatience : kPatience))
        return respond(unavailable());
    const std::string path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == "GET", post = request.method == "POST";
    auto wrong_method = [&] { respond({405, Json::object()}); };
    auto body = [&]() { return wire::decode(request.body); };
    if (path == "/healthz") {
        if (!get) return wrong_method();
        return respond({job_service_.healthy() ? 200 : 503, Json::object()});
    }
    if (path == "/v1/report") {
        if (!post) return wrong_method();
        return heartbeat_router_.report(request.body, std::move(respond));
    }
    static const std::string jobs = "/v1/jobs";
    if (path == jobs) {
        if (!post) return wrong_method();
        auto v = body();
        return v ? job_service_.submit(*v, std::move(respond)) : respond({400, Json::object()});
    }
    if (starts_with(path, jobs + "/")) {
        if (get && job_service_.too_busy_for_polls(late_))
            return respond(unavailable(1 + static_cast<int>(runtime_.random()() % kPollSpread)));
        std::string ref = path.substr(jobs.size() + 1);
        static const std::string abort_end = "/abort";
        const bool aborting = ref.size() > abort_end.size() &&
                              ref.compare(ref.size() - abort_end.size(), abort_end.size(), abort_end) == 0;
        if (aborting) ref.resize(ref.size() - abort_end.size());
        if (ref.find('/') == std::string::npos) {
            if (aborting ? !post : !get) return wrong_method();
            if (!wire::valid_ref(ref)) return respond({404, Json::object()});
            return aborting ? job_service_.abort(ref, std::move(respond))
                            : job_service_.poll(ref, std::move(respond));
        }
    }
    respond({404, Json::object()});
}

void Controller::handle_peer(const std::string& bytes, std::function<void(std::string)> respond) {
    const auto kind = peer::kind_of(bytes);
    auto nothing = [&] {
        spdlog::error("a message of a peer is not in the protocol, {} bytes", bytes.size());
        respond("");
    };
    auto granted = [respond](const peer::Grant& g) { respond(peer::pack(g)); };
    if (!kind) return nothing();
    switch (*kind) {
        case peer::Kind::State: {
            auto m = peer::unpack<peer::State>(bytes);
            if (!m) return nothing();
            peers_.on_state(*m);
            return respond(peer::pack(peers_.own_state()));
        }
        case peer::Kind::Relinquish: {
            auto m = peer::unpack<peer::Relinquish>(bytes);
            if (!m) return nothing();
            return respond(peer::pack(heartbeat_router_.promise(*m)));
        }
        case peer::Kind::CapacityRequest: {
            auto m = peer::unpack<peer::CapacityRequest>(bytes);
            if (!m) return nothing();
            return capacity_broker_.grant_machines(*m, granted);
        }
        case peer::Kind::Share: {
            auto m = peer::unpack<peer::QuotaRequest>(bytes);
            if (!m) return nothing();
            return capacity_broker_.grant_quota(*m, granted);
        }
        case peer::Kind::Relay: {
            auto m = peer::unpack<peer::Relay>(bytes);
            auto answer = m ? heartbeat_router_.relayed(*m) : std::nullopt;
            if (!answer) return nothing();
            return respond(peer::pack(*answer));
        }
        case peer::Kind::Relinquished:
        case peer::Kind::Grant:
        case peer::Kind::Relayed:
            return nothing();  // only ever answers
    }
}

Json Controller::explain(const std::string& ref) const {
    const LiveJob* live = cache_.jobs.find(ref);
    const JobView* view = cache_.jobs.known(ref);
    if (!live && !view) return {};
    Json v{{"ref", ref}, {"policy", policy().revision}};
    if (!live) {
        v["why"] = {view->stage == Stage::Done        ? "it is done"
                    : view->stage == Stage::Cancelled ? "it is cancelled"
                                                      : "it is over, or about to be heard of again"};
        return v;
    }
    const ShardRecord* shard = cache_.membership.shard(live->shard);
    v["domain"] = live->shard;
    v["holder"] = shard ? shard->holder : "";
    const ShardOwner* owner = assignment_.find(live->shard);
    if (!owner || !owner->active()) {
        v["why"] = {owner ? "its domain is being taken over here"
                    : shard && !shard->holder.empty()
                        ? "its domain is held by " + shard->holder + ", which knows more"
                        : "nobody holds its domain yet"};
        return v;
    }
    const Json known = owner->explain(ref);
    if (known.is_null()) {
        v["why"] = {"its holder has not taken it in yet"};
        return v;
    }
    v.update(known);
    if (!live->open) v["waits_for"] = cache_.jobs.dependency_graph().waits_for(ref);
    return v;
}

Json Controller::status() {
    const Membership& membership = cache_.membership;
    Json v{{"node", settings_.node},
           {"version", COTTONWAY_VERSION},
           {"ledger", feed_.store_revision()},
           {"alive", membership.alive()},
           {"jobs_known", cache_.jobs.views()},
           {"jobs_live", cache_.jobs.live().size()},
           {"leader", membership.leader().holder},
           {"confirmed_ms_ago", feed_.confirmed_ago() / kMillisecond}};
    v["domains"] = Json::array();
    for (const auto& [name, d] : membership.shards()) {
        const auto* stored = cache_.shares.find(name);
        v["domains"].push_back({{"name", name},
                                {"holder", d.holder},
                                {"mark", d.mod_revision},
                                {"cores", cache_.capacity_of(name) / 1000},
                                {"share", stored ? shares_value(stored->shares) : Json::object()}});
    }
    v["held"] = Json::array();
    for (const auto& [name, o] : assignment_.owners())
        if (o) v["held"].push_back(o->status());
    const DependencyGraph& dependency_graph = cache_.jobs.dependency_graph();
    v["waiting"] = Json::object();
    for (const auto& ref : dependency_graph.waiting()) v["waiting"][ref] = dependency_graph.waits_for(ref);
    v["format"] = {{"all_new", cache_.formats.common(format::kPipelines)}, {"reads", cache_.formats.all()}};
    v["policy"] = policies_.status();
    v["fleet"] = autoscaler_.status();
    v["changes_sent"] = store_.sent();
    v["decisions"] = decisions_.value();
    return v;
}

}  // namespace cottonway
