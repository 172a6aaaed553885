#include "core/controller.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr Micros kTick = 100 * kMillisecond;
constexpr double kSyncShare = 0.25;  // of the state service's requests, for looking at what has changed
constexpr Micros kMinSync = 50 * kMillisecond;
constexpr Micros kMaxSync = 500 * kMillisecond;
constexpr Micros kWaiterPatience = 1'500 * kMillisecond;
constexpr Micros kAdoptStep = 400 * kMillisecond;  // between the turns of those who could adopt a domain
constexpr Micros kLeadStep = 300 * kMillisecond;
constexpr Micros kSumUp = 30 * kSecond;
constexpr Micros kWeighGuarantees = 100 * kMillisecond;
constexpr Micros kSettled = 4 * kSecond;  // alive for this long before a domain is handed over

bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

JobView JobView::of(const Value& record, Revision mark) {
    JobView v;
    const auto stage = wire::text(record, "s");
    v.stage = stage == "done" ? Stage::Done : stage == "cancelled" ? Stage::Cancelled : Stage::Queued;
    v.tasks = static_cast<int>(wire::count(record, "k").value_or(0));
    v.done = static_cast<int>(wire::count(record, "fd").value_or(0));
    v.running = v.final() ? 0 : static_cast<int>(wire::count(record, "fr").value_or(0));
    v.mark = mark;
    v.ended_ms = static_cast<std::int64_t>(wire::count(record, "end").value_or(0));
    return v;
}

JobView JobView::as_cancelled() const {
    JobView v = *this;
    v.stage = Stage::Cancelled;
    v.running = 0;
    return v;
}

Controller::Controller(Host& host, Settings settings)
    : host_(host), settings_(std::move(settings)), store_(host, settings_), fleet_(*this) {
    peers_.resize(settings_.peers.size());
    sync_every_ = std::clamp(static_cast<Micros>(static_cast<double>(peers_.size() + 1) /
                                                 (kSyncShare * settings_.state_rps) * 1e6),
                             kMinSync, kMaxSync);
}

Controller::~Controller() = default;

void Controller::start() {
    started_ = host_.now();
    spdlog::info("node {} starts in zone {}", settings_.node, settings_.zone);
    for (const auto& t : settings_.teams)
        spdlog::info(
            "team {}: {} cores guaranteed, {}", t.name, t.guarantee.cores / 1000,
            t.limit.cores < kNoLimit ? std::to_string(t.limit.cores / 1000) + " at most" : "no limit");
    fetch_types();
    load();
    join();
    tick();
}

void Controller::tick() {
    host_.after(kTick, [this] { tick(); });
    const Micros now = host_.now();
    late_ = tick_due_ > 0 ? std::max<Micros>(now - tick_due_, 0) : 0;
    tick_due_ = now + kTick;
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (now - it->since < kWaiterPatience && (store_.reachable() || now - it->since < kMaxSync)) {
            ++it;
            continue;
        }
        auto done = std::move(it->done);
        it = waiters_.erase(it);
        done(false);
    }
    consider_domains();
    consider_leader();
    hand_over();
    gossip();
    renounce();
    ask_for_more();
    lease_blocks();
    first_shares();
    store_types();
    announce_format();
    pipelines_.weigh();
    settle_pipelines();
    read_unknown();
    sweep_pieces();
    split_blocks();
    flush_edits();
    fleet_.tick();
    retired_owners_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->tick();
    if (now - summed_up_ > kSumUp) {
        summed_up_ = now;
        std::erase_if(image_seen_, [now](const auto& i) { return now - i.second > 20 * kSumUp; });
        std::string line;
        for (const auto& [purpose, n] : store_.sent()) line += " " + purpose + " " + std::to_string(n);
        spdlog::info("changes sent so far:{}", line);
    }
}

void Controller::wake() {
    if (std::exchange(waking_, true)) return;
    host_.after(0, [this] {
        waking_ = false;
        step();
    });
}

void Controller::step() {
    retired_owners_.clear();
    for (auto& [name, owner] : owners_)
        if (owner) owner->work();
}

// ---------------------------------------------------------------- the store: liveness and news

void Controller::fetch_types() {
    Call call;
    call.target = Target::Cloud;
    call.method = "GET";
    call.path = "/machine_types";
    host_.call(std::move(call), [this](const Reply& r) {
        if (r.status == 200) learn(r.body);
        if (!types_answer_.is_null()) return;
        host_.after(kSecond + static_cast<Micros>(host_.random()() % 500) * kMillisecond,
                    [this] { fetch_types(); });
    });
}

void Controller::learn(const Value& answer, bool stored) {
    auto types = wire::parse_types(answer);
    if (!types || types->empty()) return;
    if (!stored) types_answer_ = answer;
    for (const auto& t : *types) {
        auto known = std::find_if(types_.begin(), types_.end(),
                                  [&](const MachineType& k) { return k.name == t.name; });
        if (known != types_.end())
            *known = t;
        else
            types_.push_back(t);
    }
    guarantees_due_ = true;
    wake();
}

/// The leader keeps the machine types in the store as well, so that controllers that start while the cloud
/// is out of reach need not wait for it to take their domains back. Prices in them may be old.
void Controller::store_types() {
    if (!leading() || storing_types_ || types_answer_.is_null() || host_.now() - types_stored_at_ < kSumUp)
        return;
    types_stored_at_ = host_.now();
    auto fixed = [](const Value& answer) {
        std::set<std::tuple<std::string, Milli, Milli, Milli, std::vector<std::string>>> out;
        if (auto types = wire::parse_types(answer))
            for (const auto& t : *types) out.emplace(t.name, t.size.cores, t.size.cards, t.size.ram, t.zones);
        return out;
    };
    if (fixed(stored_types_.first) == fixed(types_answer_)) return;
    storing_types_ = true;
    Change change;
    change.when = {{keys::leader, leader_.mark}, {keys::types, stored_types_.second}};
    change.then.push_back({keys::types, types_answer_});
    store_.commit(std::move(change), [this](const CommitResult& r) {
        // One that the store does not take is not tried again.
        if (r.status != CommitStatus::Rejected) after_sync([this](bool) { storing_types_ = false; });
    });
}

const MachineType* Controller::machine_type(const std::string& name) {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

/// Takes out a store lease; the key attached to it shows the others that this node is alive.
void Controller::join() {
    announced_ = false;
    store_.grant(settings_.ops.live_ttl, [this](std::uint64_t lease) {
        if (lease == 0) {
            host_.after(400 * kMillisecond, [this] { join(); });
            return;
        }
        lease_ = lease;
        announce();
    });
}

void Controller::announce() {
    Change change;
    change.then.push_back({keys::live + settings_.node, Value{{"node", settings_.node}}, lease_});
    change.priority = Priority::Urgent;
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            announced_ = true;
            apply_live(settings_.node, true);
            return renew();
        }
        host_.after(300 * kMillisecond, [this] { join(); });
    });
}

void Controller::renew() {
    host_.after(settings_.ops.live_ttl / 3, [this] {
        store_.extend(lease_, [this](int status) {
            if (status == 404) return join();
            renew();
        });
    });
}

/// Reads everything once; from then on the news keeps it current.
void Controller::load() {
    auto seen = std::make_shared<std::set<std::string>>();
    store_.list(
        keys::root,
        [this, seen](const Entry& e) {
            seen->insert(e.key);
            apply(e.key, &e.value, e.mark);
        },
        [this, seen](const ListResult& r) {
            if (!r.ok) {
                host_.after(300 * kMillisecond, [this] { load(); });
                return;
            }
            std::vector<std::string> missing;
            for (const auto& name : live_)
                if (!seen->count(keys::live + name) && name != settings_.node)
                    missing.push_back(keys::live + name);
            for (const auto& [id, block] : blocks_)
                if (!seen->count(keys::block + id)) missing.push_back(keys::block + id);
            for (const auto& [ref, job] : live_jobs_)
                for (const auto& [part, rest] : job.parts)
                    if (const auto key = ref + "/" + std::to_string(part); !seen->count(keys::part + key))
                        missing.push_back(keys::part + key);
            for (const auto& key : missing) apply(key, nullptr, r.ledger);
            ledger_ = r.ledger;
            loaded_ = true;
            // Of the others we know nothing from before now.
            for (const auto& p : settings_.peers)
                if (!live_.count(p.name)) dead_since_.try_emplace(p.name, host_.now());
            sync();
        });
}

/// Looks at what has changed in the store, in even steps: each look counts as a request, and one that came
/// back at every change would use up the rate. Each also proves that everything known was current when it was
/// sent, which polls and cancellations rest on.
void Controller::sync() {
    const Micros sent = host_.now();
    store_.watch(keys::root, ledger_, sync_every_, [this, sent](const Reply& r) {
        if (r.status == 410) {
            spdlog::info("the news has fallen behind: reading everything again");
            return load();
        }
        auto ledger = wire::count(r.body, "ledger");
        if (r.status != 200 || !ledger) {
            host_.after(150 * kMillisecond, [this] { sync(); });
            return;
        }
        if (const Value* news = wire::find(r.body, "news"); news && news->is_array()) {
            for (const auto& n : *news) {
                const Revision mark = wire::count(n, "mark").value_or(0);
                store_.observe(mark);
                if (auto key = wire::text(n, "write"))
                    apply(*key, wire::find(n, "data"), mark);
                else if (auto dropped = wire::text(n, "drop"))
                    apply(*dropped, nullptr, mark);
            }
        }
        ledger_ = std::max(ledger_, *ledger);
        synced(sent);
        host_.after(std::max<Micros>(sent + sync_every_ - host_.now(), 0), [this] { sync(); });
    });
}

void Controller::synced(Micros sent) {
    // All that happened before the request was sent is known now.
    confirmed_ = sent;
    std::vector<std::function<void(bool)>> ready;
    while (!waiters_.empty() && waiters_.front().since <= sent) {
        ready.push_back(std::move(waiters_.front().done));
        waiters_.pop_front();
    }
    for (auto& done : ready) done(true);
}

void Controller::after_sync(std::function<void(bool)> done) {
    waiters_.push_back({host_.now(), std::move(done)});
}

void Controller::apply(const std::string& key, const Value* value, Revision mark) {
    auto rest = [&](const std::string& prefix) { return key.substr(prefix.size()); };
    if (starts_with(key, keys::piece)) return store_.shelf().take(key, value, host_.now());
    std::optional<Value> whole;
    if (!value || !pieces::named_by(*value)) {
        store_.shelf().gone(key);
    } else if (whole = store_.shelf().whole(key, *value); whole) {
        value = &*whole;
    } else {
        // Replaced since, so that its pieces are gone: news of that follows.
        return spdlog::info("{}: not all pieces of it are there", key);
    }
    if (starts_with(key, keys::job)) {
        if (value) apply_job(rest(keys::job), *value, mark);
    } else if (starts_with(key, keys::part)) {
        apply_part(rest(keys::part), value, mark);
    } else if (starts_with(key, keys::block)) {
        apply_block(rest(keys::block), value, mark);
    } else if (starts_with(key, keys::live)) {
        apply_live(rest(keys::live), value != nullptr);
    } else if (starts_with(key, keys::domain)) {
        if (value) apply_domain(rest(keys::domain), *value, mark);
    } else if (starts_with(key, keys::share)) {
        auto& share = shares_[rest(keys::share)];
        if (value && mark > share.second) share = {parse_shares(*value), mark};
        wake();
    } else if (starts_with(key, keys::format)) {
        if (value) apply_format(rest(keys::format), *value);
    } else if (key == keys::types && value && mark > stored_types_.second) {
        stored_types_ = {*value, mark};
        if (types_.empty()) learn(*value, true);
    } else if (key == keys::leader && value && mark > leader_.mark) {
        leader_ = {wire::text(*value, "node").value_or(""), mark};
        if (led_mark_ != mark) lead_ready_ = false;
    }
}

void Controller::apply_job(const std::string& ref, const Value& value, Revision mark) {
    JobView view = JobView::of(value, mark);
    const JobView* old = known(ref);
    // News of our own earlier writes may come after their results: what is older than known is dropped.
    if (old && old->mark > mark) return;
    if (view.final()) pipelines_.over(ref, view.stage == Stage::Done, view.ended_ms);
    const Value* spec = wire::find(value, "d");
    if (!spec || view.stage == Stage::Done) {
        live_jobs_.erase(ref);
        guarantees_due_ = true;
    } else {
        auto [it, added] = live_jobs_.try_emplace(ref);
        LiveJob& job = it->second;
        if (added) {
            const auto submitted_ms = static_cast<std::int64_t>(wire::number(value, "at").value_or(0));
            job.since_ms = static_cast<std::int64_t>(
                wire::number(value, "go").value_or(static_cast<double>(submitted_ms)));
            if (auto parsed = wire::parse_job(*spec).spec) {
                if (!view.final())
                    pipelines_.put(*parsed, submitted_ms, [this](const auto& need) { return fate(need); });
                job.open = pipelines_.standing(ref).open;
                job.team = parsed->team;
                job.need = parsed->need;
                job.image = parsed->image;
                job.spot = parsed->spot;
            }
        }
        // Cancelled with one before it, whatever its record says: nobody is told anything else any more.
        if (!view.final() && pipelines_.standing(ref).orphaned) view = view.as_cancelled();
        guarantees_due_ = true;
        job.record = value;
        job.mark = mark;
        job.domain = wire::text(value, "dom").value_or("");
        if (view.running > 0) image_seen_[{job.image, job.domain}] = host_.now();
        job.tasks = view.tasks;
        job.done = view.done;
        job.running = view.running;
        job.cancelled = view.stage == Stage::Cancelled;
        job.held = wire::flag(value, "er").value_or(false);
    }
    if (!old || old->mark < mark) remember(ref, view);
    for (auto& [name, owner] : owners_)
        if (owner && owner->active()) owner->on_job(ref, value, mark);
    if (pipelines_.changed()) settle_pipelines();
}

void Controller::apply_part(const std::string& name, const Value* value, Revision mark) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return;
    const std::string ref = name.substr(0, slash);
    const auto part = static_cast<std::size_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10));
    auto job = live_jobs_.find(ref);
    if (!value) {
        if (job != live_jobs_.end()) job->second.parts.erase(part);
        return;
    }
    if (job == live_jobs_.end()) return;
    auto& held = job->second.parts[part];
    if (held.second >= mark) return;
    held = {*value, mark};
    for (auto& [domain, owner] : owners_)
        if (owner && owner->active()) owner->on_part(ref, part, *value, mark);
}

void Controller::apply_live(const std::string& name, bool alive) {
    if (alive) {
        if (live_.insert(name).second) live_since_[name] = host_.now();
        dead_since_.erase(name);
        return;
    }
    if (live_.erase(name) == 0) return;
    dead_since_[name] = host_.now();
    spdlog::info("node {} is no longer alive", name);
}

void Controller::apply_domain(const std::string& name, const Value& value, Revision mark) {
    Domain& d = domains_[name];
    if (mark <= d.mark) return;
    d.mark = mark;
    d.holder = wire::text(value, "holder").value_or("");
    orphaned_since_.erase(name);
    auto owner = owners_.find(name);
    if (owner != owners_.end() && owner->second && mark > owner->second->mark()) {
        spdlog::info("domain {} is held by {} now", name, d.holder);
        ousted(name);
    }
}

// ---------------------------------------------------------------- domains and the leader

std::size_t Controller::machines_at(const std::string& node) const {
    std::size_t n = 0;
    for (const auto& [id, block] : blocks_)
        if (auto d = domains_.find(block.domain); d != domains_.end() && d->second.holder == node)
            n += block.machines.size();
    return n;
}

/// Our turn among the nodes that are alive: who holds the fewest machines comes first.
std::size_t Controller::rank_among_live(const std::string& what) const {
    auto weight = [&](const std::string& node) {
        return std::tuple(machines_at(node), std::hash<std::string>{}(what + "@" + node), node);
    };
    const auto ours = weight(settings_.node);
    return static_cast<std::size_t>(std::count_if(live_.begin(), live_.end(), [&](const std::string& node) {
        return node != settings_.node && weight(node) < ours;
    }));
}

void Controller::consider_domains() {
    const Micros now = host_.now();
    if (!loaded_ || !announced_ || types_.empty()) return;
    if (now - confirmed_ > 2 * kSecond) return;  // what is known may be old
    if (!domains_.count(settings_.node) && !acquiring_.count(settings_.node))
        return acquire(settings_.node, true);
    for (const auto& [name, d] : domains_) {
        if (acquiring_.count(name) || owner(name)) continue;
        // A new process knows that its own former one is dead and takes its domains back at once.
        if (d.holder == settings_.node) return acquire(name, false);
        if (live_.count(d.holder)) {
            orphaned_since_.erase(name);
            continue;
        }
        const Micros since = orphaned_since_.try_emplace(name, now).first->second;
        if (now - since >= static_cast<Micros>(rank_among_live(name)) * kAdoptStep)
            return acquire(name, false);
    }
}

void Controller::acquire(const std::string& name, bool create) {
    acquiring_.insert(name);
    const Domain before = create ? Domain{} : domains_[name];
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::domain + name, before.mark});
    change.then.push_back({keys::domain + name, Value{{"holder", settings_.node}}});
    store_.commit(std::move(change), [this, name, before](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) {
            // The news tells who holds it, and whether our change was carried out after all.
            after_sync([this, name](bool) { acquiring_.erase(name); });
            return;
        }
        acquiring_.erase(name);
        spdlog::info("domain {}: acquired from {}, token {}", name,
                     before.holder.empty() ? "nobody" : before.holder, r.revision);
        Domain& d = domains_[name];
        if (d.mark > r.revision) return;  // lost again already
        d = {settings_.node, r.revision};
        // The former holder may still answer workers that we can't reach, unless it was this node's own
        // former process or nobody.
        const bool own = before.holder.empty() || before.holder == settings_.node;
        const Micros former_end = host_.now() + (own ? 0 : authority());
        auto& held = owners_[name];
        if (held) retired_owners_.push_back(std::move(held));
        held = std::make_unique<Owner>(*this, name, r.revision, former_end);
        for (const auto& [id, block] : blocks_)
            if (block.domain == name)
                for (const auto& m : block.machines) held->on_machine(block, m);
        // From here on nobody else binds in this domain, so what the next look tells is complete.
        activate(name, r.revision);
        wake();
    });
}

void Controller::activate(const std::string& name, Revision mark) {
    after_sync([this, name, mark](bool ok) {
        Owner* o = owner(name);
        if (!o || o->mark() != mark) return;
        if (!ok) return activate(name, mark);
        for (const auto& [ref, job] : live_jobs_) {
            if (job.domain != name) continue;
            o->on_job(ref, job.record, job.mark);
            for (const auto& [part, value] : job.parts) o->on_part(ref, part, value.first, value.second);
        }
        o->activate();
        wake();
    });
}

void Controller::ousted(const std::string& domain) {
    auto it = owners_.find(domain);
    if (it == owners_.end() || !it->second) return;
    spdlog::info("domain {}: given up", domain);
    // It may be in the middle of a call: it is destroyed by the next step.
    retired_owners_.push_back(std::move(it->second));
    owners_.erase(it);
    store_.read(keys::domain + domain, [this, domain](const ReadResult& r) {
        if (r.ok && r.found) apply(keys::domain + domain, &r.value, r.mark);
    });
    wake();
}

/// A node that holds several domains with machines gives one to a node that holds none, once that one has
/// been alive for a while.
void Controller::hand_over() {
    const Micros now = host_.now();
    if (now - handed_over_at_ < kSettled || now - confirmed_ > kSecond || !spread_out()) return;
    const Owner* least = nullptr;
    int held = 0;
    for (const auto& [name, o] : owners_) {
        if (!o || o->machines().empty()) continue;
        if (!o->active()) return;
        ++held;
        if (!least || o->machines().size() < least->machines().size()) least = o.get();
    }
    if (held < 2) return;
    for (const auto& node : live_) {
        if (node == settings_.node || machines_at(node) > 0 || now - live_since_[node] < kSettled) continue;
        handed_over_at_ = now;
        const std::string name = least->domain();
        spdlog::info("domain {}: handed over to {}", name, node);
        Change change;
        change.priority = Priority::Urgent;
        change.when.push_back({keys::domain + name, least->mark()});
        change.then.push_back({keys::domain + name, Value{{"holder", node}}});
        store_.commit(std::move(change), [this, name, node](const CommitResult& r) {
            if (r.status == CommitStatus::Ok) apply_domain(name, Value{{"holder", node}}, r.revision);
        });
        return;
    }
}

Owner* Controller::owner(const std::string& domain) const {
    auto it = owners_.find(domain);
    return it == owners_.end() ? nullptr : it->second.get();
}

bool Controller::leading() const {
    return lead_ready_ && led_mark_ != 0 && led_mark_ == leader_.mark;
}

void Controller::consider_leader() {
    const Micros now = host_.now();
    if (!loaded_ || !announced_ || types_.empty() || taking_lead_ || now - confirmed_ > 2 * kSecond) return;
    if (leader_.mark != 0 && leader_.holder == settings_.node) {
        if (led_mark_ != leader_.mark) lead();
        return;
    }
    if (leader_.mark != 0 && live_.count(leader_.holder)) {
        leaderless_since_ = 0;
        return;
    }
    if (leaderless_since_ == 0) leaderless_since_ = now;
    if (now - leaderless_since_ >= static_cast<Micros>(rank_among_live("leader")) * kLeadStep) lead();
}

void Controller::lead() {
    taking_lead_ = true;
    Change change;
    change.priority = Priority::Urgent;
    change.when.push_back({keys::leader, leader_.mark});
    change.then.push_back({keys::leader, Value{{"node", settings_.node}}});
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok && r.revision > leader_.mark) leader_ = {settings_.node, r.revision};
        if (r.status == CommitStatus::Ok) led_mark_ = r.revision;
        // Only what a look begun by now tells includes all that the former leader has done.
        after_sync([this, ok = r.status == CommitStatus::Ok, mark = r.revision](bool looked) {
            taking_lead_ = false;
            leaderless_since_ = 0;
            if (!ok) return;
            if (!looked) led_mark_ = 0;  // taken once more
            if (!looked || leader_.mark != mark) return;
            lead_ready_ = true;
            spdlog::info("node {} leads, term {}", settings_.node, mark);
        });
    });
}

bool Controller::within_guarantee(const std::string& ref) {
    const Micros now = host_.now();
    if (guarantees_due_ && now - guarantees_at_ >= kWeighGuarantees) {
        guarantees_due_ = false;
        guarantees_at_ = now;
        guaranteed_.clear();
        std::vector<std::pair<std::pair<std::int64_t, std::string>, const LiveJob*>> order;
        for (const auto& [name, job] : live_jobs_)
            if (!job.cancelled && job.open) order.push_back({{job.since_ms, name}, &job});
        std::sort(order.begin(), order.end());
        std::map<std::string, Resources> left;
        for (const auto& t : settings_.teams) left[t.name] = t.guarantee;
        for (const auto& [key, job] : order) {
            Resources& room = left[job->team];
            const int tasks = std::max(job->tasks - job->done, 0);
            room -= {job->need.cores * tasks, job->need.cards * tasks, 0};
            if (room.cores >= 0 && room.cards >= 0) guaranteed_.insert(key.second);
        }
    }
    return guaranteed_.count(ref) > 0;
}

Micros Controller::authority() const {
    // A cancellation that we have not heard of must still end every task in time: the last answer renews a
    // lease for at most `lease`, and both must fit into `cancel`.
    return std::max(settings_.cancel - settings_.lease - settings_.lease / 500 - 3 * kSecond, 2 * kSecond);
}

bool Controller::authorised() const {
    return host_.now() - confirmed_ < authority();
}

/// A node whose key is gone had its last confirmation before that, so it renews no lease beyond its
/// authority.
std::optional<Micros> Controller::peer_ended(std::size_t peer) const {
    auto dead = dead_since_.find(settings_.peers[peer].name);
    if (dead == dead_since_.end()) return std::nullopt;
    return dead->second + authority() + authority() / 1000;
}

Value Controller::status() {
    Value v{{"node", settings_.node},      {"version", COTTONWAY_VERSION},
            {"ledger", ledger_},           {"alive", live_},
            {"jobs_known", views_.size()}, {"jobs_live", live_jobs_.size()},
            {"leader", leader_.holder},    {"confirmed_ms_ago", (host_.now() - confirmed_) / kMillisecond}};
    v["domains"] = Value::array();
    for (const auto& [name, d] : domains_) {
        Value share = Value::object();
        if (auto s = shares_.find(name); s != shares_.end()) share = shares_value(s->second.first);
        v["domains"].push_back({{"name", name},
                                {"holder", d.holder},
                                {"mark", d.mark},
                                {"cores", capacity_of(name) / 1000},
                                {"share", share}});
    }
    v["held"] = Value::array();
    for (const auto& [name, o] : owners_)
        if (o) v["held"].push_back(o->status());
    v["waiting"] = Value::object();
    for (const auto& ref : pipelines_.waiting()) v["waiting"][ref] = pipelines_.waits_for(ref);
    v["format"] = {{"all_new", all_new_}, {"reads", formats_}};
    v["fleet"] = fleet_.status();
    v["changes_sent"] = store_.sent();
    return v;
}

}  // namespace cottonway
