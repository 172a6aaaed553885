#include "core/controller.hpp"

#include <algorithm>
#include <utility>

#include "core/authority.hpp"
#include "log/log.hpp"

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

Controller::Controller(Host& host, Settings settings)
    : host_(host),
      settings_(std::move(settings)),
      store_(host, settings_),
      replica_(host, store_, settings_, *this),
      feed_(host, store_, settings_, replica_),
      presence_(host, store_, settings_, replica_),
      leadership_(host, store_, settings_, feed_, replica_, presence_),
      history_(host, store_, settings_, feed_, replica_, leadership_),
      policies_(host, store_, settings_, feed_, replica_),
      holdings_(*this, feed_, replica_, presence_, leases_, history_),
      leases_(host, store_, settings_, feed_, replica_, holdings_, leadership_, fleet_, peers_),
      peers_(host, settings_, feed_, replica_, holdings_, leadership_, fleet_),
      fleet_(host, settings_, replica_, holdings_, leadership_, leases_, peers_),
      sharing_(host, store_, settings_, feed_, replica_, holdings_, leadership_, leases_),
      barter_(host, replica_, holdings_, leases_, sharing_, peers_),
      relays_(host, settings_, feed_, replica_, presence_, holdings_, leadership_, leases_, peers_),
      users_(host, store_, settings_, feed_, replica_, holdings_, peers_, history_) {}

Controller::~Controller() {
    holdings_.end();
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
    presence_.join();
    tick();
}

void Controller::tick() {
    host_.after(kTick, [this] { tick(); });
    const Micros now = host_.now();
    late_ = tick_due_ > 0 ? std::max<Micros>(now - tick_due_, 0) : 0;
    tick_due_ = now + kTick;
    feed_.tick();
    holdings_.consider();
    leadership_.consider();
    holdings_.hand_over();
    peers_.gossip();
    relays_.renounce();
    barter_.tick();
    leases_.lease_blocks();
    sharing_.first_shares();
    leadership_.store_types();
    announce_format();
    policies_.tick();
    replica_.jobs.pipelines().weigh();
    replica_.settle();
    history_.tick();
    users_.read_unknown();
    sweep_pieces();
    leases_.split_blocks();
    leases_.flush_edits();
    fleet_.tick();
    holdings_.tick();
    sum_up();
}

void Controller::sum_up() {
    const Micros now = host_.now();
    if (now - summed_up_ <= kSumUp) return;
    summed_up_ = now;
    replica_.jobs.forget_images(now - 20 * kSumUp);
    std::string line;
    for (const auto& [purpose, n] : store_.sent()) line += " " + purpose + " " + std::to_string(n);
    spdlog::info("changes sent so far:{}", line);
}

void Controller::wake() {
    if (std::exchange(waking_, true)) return;
    host_.after(0, [this] {
        waking_ = false;
        holdings_.work();
    });
}

void Controller::fetch_types() {
    Call call;
    call.target = Target::Cloud;
    call.method = "GET";
    call.path = "/machine_types";
    host_.call(std::move(call), [this](const Reply& r) {
        if (r.status == 200) replica_.learn(r.body);
        if (!replica_.types.answer().is_null()) return;
        host_.after(kSecond + static_cast<Micros>(host_.random()() % 500) * kMillisecond,
                    [this] { fetch_types(); });
    });
}

/// A node whose key is gone had its last confirmation before that, so it renews no lease beyond its
/// authority. It may be back since our last look, so what follows from that is true as of then.
std::optional<Micros> Controller::peer_ended(std::size_t peer) const {
    const auto silent = replica_.members.silent_since(settings_.peers[peer].name);
    if (!silent) return std::nullopt;
    return *silent + authority(settings_) + authority(settings_) / 1000 + feed_.confirmed_ago();
}

bool Controller::entitled() const {
    return cottonway::entitled(feed_.confirmed_ago(), settings_);
}

// ---------------------------------------------------------------- news

void Controller::on_job(const std::string& ref, Place place, const Value& value, Revision mark) {
    for (const auto& [name, owner] : holdings_.all())
        if (owner && owner->active()) owner->on_job(ref, place, value, mark);
}

void Controller::on_part(const std::string& ref, std::size_t part, const Value& value, Revision mark) {
    for (const auto& [name, owner] : holdings_.all())
        if (owner && owner->active()) owner->on_part(ref, part, value, mark);
}

void Controller::on_standing(const std::string& ref) {
    for (const auto& [name, owner] : holdings_.all())
        if (owner && owner->active()) owner->reconsider(ref);
}

void Controller::on_machine(const Block& block, const Block::Machine& machine) {
    leases_.leased(machine.name);
    for (const auto& [domain, owner] : holdings_.all()) {
        if (!owner) continue;
        if (domain == block.domain)
            owner->on_machine(block, machine);
        else
            owner->on_machine_gone(machine.name, "it is in another domain");
    }
}

void Controller::on_machine_left(const std::string& machine) {
    relays_.forget(machine);
    leases_.left(machine);
    for (const auto& [domain, owner] : holdings_.all())
        if (owner) owner->on_machine_gone(machine, "it is deleted, or given away empty");
}

void Controller::on_format() {
    spdlog::info("all {} controllers read format {}: it is written from now on", settings_.peers.size() + 1,
                 replica_.formats.common());
    if (replica_.formats.common(format::kPipelines)) store_.use_pieces();
}

void Controller::on_policy() {
    policies_.changed();
    for (const auto& [name, owner] : holdings_.all())
        if (owner) owner->on_policy();
    wake();
}

Micros Controller::steady_for() const {
    const Members& members = replica_.members;
    if (feed_.confirmed_ago() > 2 * kSecond) return 0;
    for (const auto& [name, domain] : members.domains())
        if (!members.alive(domain.holder)) return 0;
    Micros since = 0;
    for (const auto& peer : settings_.peers)
        since =
            std::max({since, members.alive_since(peer.name), members.silent_since(peer.name).value_or(0)});
    return host_.now() - since;
}

/// Once, for all processes of this node that are still to come.
void Controller::announce_format() {
    const std::uint64_t reads = settings_.ops.history_apart ? format::kHistory : format::kPipelines;
    if (!settings_.announces_format || !feed_.loaded() || announcing_ ||
        replica_.formats.read_by(settings_.node) >= reads)
        return;
    announcing_ = true;
    const std::string key = keys::format + settings_.node;
    const Value value{{"reads", reads}};
    Change change;
    change.then.push_back({key, value});
    change.purpose = "format";
    store_.commit(std::move(change), [this, key, value](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) replica_.take(key, &value, r.revision);
        host_.after(kSecond, [this] { announcing_ = false; });
    });
}

/// Pieces that no record names are left by writes that did not come to their end. They are dropped on the
/// mark of the record that they are of, as of a moment after which nothing named them: a head that is
/// committed later fails on their marks, and one that came first makes the dropping fail, however late that
/// is.
void Controller::sweep_pieces() {
    const Micros now = host_.now();
    if (!leadership_.leading() || store_.shelf().size() == 0 || now - swept_at_ < kSweepEvery) return;
    if (!store_.room(Priority::Deferrable)) return;
    swept_at_ = now;
    std::map<std::string, std::vector<pieces::Shelf::LeftOver>> by_record;
    std::size_t n = 0;
    for (const auto& left : store_.shelf().left_over(now))
        if (++n <= settings_.txn_ops) by_record[left.of].push_back(left);
    for (const auto& [key, list] : by_record)
        store_.read(key, [this, list = list](const ReadResult& r) {
            if (!r.ok) return;
            feed_.after_look([this, list, mark = r.mark](bool looked) {
                for (const auto& left : list)
                    if (looked && !store_.shelf().named(left.name, left.of)) drop_piece(left, mark);
            });
        });
}

void Controller::drop_piece(const pieces::Shelf::LeftOver& left, Revision mark) {
    Change change;
    change.priority = Priority::Deferrable;
    change.when.push_back({left.of, mark});
    change.then.push_back({left.key, Value()});
    change.purpose = "cleanup";
    store_.commit(std::move(change), [](const CommitResult&) {});
}

// ---------------------------------------------------------------- requests

void Controller::handle(ApiRequest request, ApiResponder respond) {
    if (request.too_large) return respond({413, Value::object()});
    // What nobody waits for any more costs no more than this, so that a process that stood still does not
    // fall behind a second time.
    if (request.waited >= (request.method == "GET" ? kPollPatience : kPatience))
        return respond(unavailable());
    const std::string path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == "GET", post = request.method == "POST";
    auto wrong_method = [&] { respond({405, Value::object()}); };
    auto body = [&]() { return wire::decode(request.body); };
    if (path == "/healthz") {
        if (!get) return wrong_method();
        return respond({users_.healthy() ? 200 : 503, Value::object()});
    }
    if (path == "/v1/report") {
        if (!post) return wrong_method();
        return relays_.report(request.body, std::move(respond));
    }
    static const std::string jobs = "/v1/jobs";
    if (path == jobs) {
        if (!post) return wrong_method();
        auto v = body();
        return v ? users_.submit(*v, std::move(respond)) : respond({400, Value::object()});
    }
    if (starts_with(path, jobs + "/")) {
        if (get && users_.too_busy_for_polls(late_))
            return respond(unavailable(1 + static_cast<int>(host_.random()() % kPollSpread)));
        std::string ref = path.substr(jobs.size() + 1);
        static const std::string abort_end = "/abort";
        const bool aborting = ref.size() > abort_end.size() &&
                              ref.compare(ref.size() - abort_end.size(), abort_end.size(), abort_end) == 0;
        if (aborting) ref.resize(ref.size() - abort_end.size());
        if (ref.find('/') == std::string::npos) {
            if (aborting ? !post : !get) return wrong_method();
            if (!wire::valid_ref(ref)) return respond({404, Value::object()});
            return aborting ? users_.abort(ref, std::move(respond)) : users_.poll(ref, std::move(respond));
        }
    }
    respond({404, Value::object()});
}

void Controller::handle_peer(const std::string& bytes, std::function<void(std::string)> respond) {
    const auto kind = peer::kind_of(bytes);
    auto nothing = [&] {
        spdlog::error("a message of a peer is not in the protocol, {} bytes", bytes.size());
        respond("");
    };
    auto granted = [respond](const peer::Granted& g) { respond(peer::pack(g)); };
    if (!kind) return nothing();
    switch (*kind) {
        case peer::Kind::State: {
            auto m = peer::unpack<peer::State>(bytes);
            if (!m) return nothing();
            peers_.heard(*m);
            return respond(peer::pack(peers_.own_state()));
        }
        case peer::Kind::Renounce: {
            auto m = peer::unpack<peer::Renounce>(bytes);
            if (!m) return nothing();
            return respond(peer::pack(relays_.promise(*m)));
        }
        case peer::Kind::Want: {
            auto m = peer::unpack<peer::Want>(bytes);
            if (!m) return nothing();
            return barter_.give_machines(*m, granted);
        }
        case peer::Kind::Share: {
            auto m = peer::unpack<peer::ShareWant>(bytes);
            if (!m) return nothing();
            return barter_.give_share(*m, granted);
        }
        case peer::Kind::Relay: {
            auto m = peer::unpack<peer::Relay>(bytes);
            auto answer = m ? relays_.relayed(*m) : std::nullopt;
            if (!answer) return nothing();
            return respond(peer::pack(*answer));
        }
        case peer::Kind::Renounced:
        case peer::Kind::Granted:
        case peer::Kind::Relayed:
            return nothing();  // only ever answers
    }
}

Value Controller::explain(const std::string& ref) const {
    const LiveJob* live = replica_.jobs.find(ref);
    const JobView* view = replica_.jobs.known(ref);
    if (!live && !view) return {};
    Value v{{"ref", ref}, {"policy", policy().revision}};
    if (!live) {
        v["why"] = {view->stage == Stage::Done        ? "it is done"
                    : view->stage == Stage::Cancelled ? "it is cancelled"
                                                      : "it is over, or about to be heard of again"};
        return v;
    }
    const Held* domain = replica_.members.domain(live->domain);
    v["domain"] = live->domain;
    v["holder"] = domain ? domain->holder : "";
    const Owner* owner = holdings_.find(live->domain);
    if (!owner || !owner->active()) {
        v["why"] = {owner ? "its domain is being taken over here"
                    : domain && !domain->holder.empty()
                        ? "its domain is held by " + domain->holder + ", which knows more"
                        : "nobody holds its domain yet"};
        return v;
    }
    const Value known = owner->explain(ref);
    if (known.is_null()) {
        v["why"] = {"its holder has not taken it in yet"};
        return v;
    }
    v.update(known);
    if (!live->open) v["waits_for"] = replica_.jobs.pipelines().waits_for(ref);
    return v;
}

Value Controller::status() {
    const Members& members = replica_.members;
    Value v{{"node", settings_.node},
            {"version", COTTONWAY_VERSION},
            {"ledger", feed_.ledger()},
            {"alive", members.alive()},
            {"jobs_known", replica_.jobs.views()},
            {"jobs_live", replica_.jobs.live().size()},
            {"leader", members.leader().holder},
            {"confirmed_ms_ago", feed_.confirmed_ago() / kMillisecond}};
    v["domains"] = Value::array();
    for (const auto& [name, d] : members.domains()) {
        const auto* stored = replica_.shares.find(name);
        v["domains"].push_back({{"name", name},
                                {"holder", d.holder},
                                {"mark", d.mark},
                                {"cores", replica_.capacity_of(name) / 1000},
                                {"share", stored ? shares_value(stored->shares) : Value::object()}});
    }
    v["held"] = Value::array();
    for (const auto& [name, o] : holdings_.all())
        if (o) v["held"].push_back(o->status());
    const Pipelines& pipelines = replica_.jobs.pipelines();
    v["waiting"] = Value::object();
    for (const auto& ref : pipelines.waiting()) v["waiting"][ref] = pipelines.waits_for(ref);
    v["format"] = {{"all_new", replica_.formats.common(format::kPipelines)},
                   {"reads", replica_.formats.all()}};
    v["policy"] = policies_.status();
    v["fleet"] = fleet_.status();
    v["changes_sent"] = store_.sent();
    return v;
}

}  // namespace cottonway
