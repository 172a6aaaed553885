#include "core/controller.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxViews = 20'000;
constexpr Micros kTick = 100 * kMillisecond;
constexpr Micros kWatch = kSecond;
constexpr int kMaxAbortTries = 8;
const std::string kDomain = "d0";

std::string_view stage_name(const JobView& v) {
    switch (v.stage) {
        case Stage::Done:
            return "done";
        case Stage::Cancelled:
            return "cancelled";
        case Stage::Queued:
            break;
    }
    return v.running > 0 ? "running" : "pending";
}

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
    return v;
}

Controller::Controller(Host& host, Settings settings)
    : host_(host), settings_(std::move(settings)), store_(host, settings_), fleet_(*this) {}

Controller::~Controller() = default;

void Controller::start() {
    spdlog::info("node {} starts in zone {}", settings_.node, settings_.zone);
    fetch_types();
    load();
    join();
    tick();
}

void Controller::tick() {
    host_.after(kTick, [this] { tick(); });
    consider_domains();
    fleet_.tick();
    wake();
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

// ---------------------------------------------------------------- the store: liveness, watch, domains

void Controller::fetch_types() {
    Call call;
    call.target = Target::Cloud;
    call.method = "GET";
    call.path = "/machine_types";
    host_.call(std::move(call), [this](const Reply& r) {
        auto types = r.status == 200 ? wire::parse_types(r.body) : std::nullopt;
        if (types && !types->empty()) {
            types_ = std::move(*types);
            return wake();
        }
        host_.after(kSecond + static_cast<Micros>(host_.random()() % 500) * kMillisecond,
                    [this] { fetch_types(); });
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
    change.urgent = true;
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            announced_ = true;
            live_.insert(settings_.node);
            return renew();
        }
        host_.after(300 * kMillisecond, [this] { join(); });
    });
}

void Controller::renew() {
    host_.after(settings_.ops.live_ttl / 4, [this] {
        store_.extend(lease_, [this](int status) {
            if (status == 404) return join();
            renew();
        });
    });
}

/// Reads everything once; from then on the watch keeps it current.
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
            for (const auto& [name, block] : blocks_)
                if (!seen->count(keys::block + name)) missing.push_back(keys::block + name);
            for (const auto& key : missing) apply(key, nullptr, r.ledger);
            ledger_ = r.ledger;
            loaded_ = true;
            watch();
        });
}

void Controller::watch() {
    const Micros sent = host_.now();
    store_.watch(keys::root, ledger_, kWatch, [this, sent](const Reply& r) {
        if (r.status == 410) {
            spdlog::info("the watch has fallen behind: reading everything again");
            return load();
        }
        auto ledger = wire::count(r.body, "ledger");
        if (r.status != 200 || !ledger) {
            host_.after(150 * kMillisecond, [this] { watch(); });
            return;
        }
        if (const Value* news = wire::find(r.body, "news"); news && news->is_array()) {
            for (const auto& n : *news) {
                const Revision mark = wire::count(n, "mark").value_or(0);
                if (auto key = wire::text(n, "write"))
                    apply(*key, wire::find(n, "data"), mark);
                else if (auto dropped = wire::text(n, "drop"))
                    apply(*dropped, nullptr, mark);
            }
        }
        ledger_ = std::max(ledger_, *ledger);
        // All that happened before the request was sent is known now.
        confirmed_ = sent;
        watch();
    });
}

void Controller::apply(const std::string& key, const Value* value, Revision mark) {
    if (starts_with(key, keys::job)) {
        const std::string ref = key.substr(keys::job.size());
        if (!value) return;
        const JobView view = JobView::of(*value, mark);
        const JobView* old = known(ref);
        // News of our own earlier writes may come after their results: what is older than known is dropped.
        if (old && old->mark > mark) return;
        if (!old || old->mark < mark) remember(ref, view);
        for (auto& [name, owner] : owners_)
            if (owner) owner->on_job(ref, *value, mark);
    } else if (starts_with(key, keys::part)) {
        if (!value) return;
        for (auto& [name, owner] : owners_)
            if (owner) owner->on_part(key.substr(keys::part.size()), *value, mark);
    } else if (starts_with(key, keys::block)) {
        const std::string name = key.substr(keys::block.size());
        auto it = blocks_.find(name);
        if (!value) {
            if (it == blocks_.end() || it->second.mark > mark) return;
            blocks_.erase(it);
            for (auto& [domain, owner] : owners_)
                if (owner) owner->on_block_gone(name);
        } else if (it == blocks_.end() || it->second.mark < mark) {
            auto block = Block::parse(name, *value, mark);
            if (!block) return;
            blocks_[name] = *block;
            for (auto& [domain, owner] : owners_)
                if (owner) owner->on_block(*block);
        }
        wake();
    } else if (starts_with(key, keys::live)) {
        const std::string name = key.substr(keys::live.size());
        if (value)
            live_.insert(name);
        else if (live_.erase(name) > 0)
            spdlog::info("node {} is no longer alive", name);
        consider_domains();
    } else if (starts_with(key, keys::domain)) {
        const std::string name = key.substr(keys::domain.size());
        Domain& d = domains_[name];
        if (!value || mark <= d.mark) return;
        d.mark = mark;
        d.holder = wire::text(*value, "holder").value_or("");
        auto owner = owners_.find(name);
        if (owner != owners_.end() && owner->second && mark > owner->second->mark()) {
            spdlog::info("domain {} is held by {} now", name, d.holder);
            ousted(name);
        }
    }
}

void Controller::consider_domains() {
    if (!loaded_ || !announced_ || acquiring_ || types_.empty()) return;
    if (host_.now() - confirmed_ > 2 * kWatch) return;  // what is known may be old
    auto it = domains_.find(kDomain);
    const bool held_here = owners_.count(kDomain) && owners_[kDomain];
    if (held_here) return;
    // A new process knows that its own former one is dead and takes its domain back at once.
    if (it == domains_.end() || it->second.holder == settings_.node || !live_.count(it->second.holder))
        acquire(kDomain);
}

void Controller::acquire(const std::string& name) {
    acquiring_ = true;
    Domain before = domains_.count(name) ? domains_[name] : Domain{};
    Change change;
    change.urgent = true;
    change.when.push_back({keys::domain + name, before.mark});
    change.then.push_back({keys::domain + name, Value{{"holder", settings_.node}}});
    store_.commit(std::move(change), [this, name, before](const CommitResult& r) {
        if (r.status != CommitStatus::Ok) {
            if (r.status == CommitStatus::Unavailable) {
                host_.after(200 * kMillisecond, [this] { acquiring_ = false; });
                return;
            }
            store_.read(keys::domain + name, [this, name](const ReadResult& read) {
                acquiring_ = false;
                if (read.ok && read.found) apply(keys::domain + name, &read.value, read.mark);
            });
            return;
        }
        spdlog::info("domain {}: acquired from {}, token {}", name,
                     before.holder.empty() ? "nobody" : before.holder, r.revision);
        Domain& d = domains_[name];
        if (d.mark > r.revision) {  // lost again already
            acquiring_ = false;
            return;
        }
        d = {settings_.node, r.revision};
        // The former holder may still answer workers that we can't reach, unless it was this node's own
        // former process or nobody.
        const bool own = before.holder.empty() || before.holder == settings_.node;
        const Micros former_end = host_.now() + (own ? 0 : authority());
        owners_[name] = std::make_unique<Owner>(*this, name, r.revision, former_end);
        // From here on nobody else binds in this domain, so what is read now is complete.
        auto finish = [this, name, mark = r.revision](auto&& self) -> void {
            auto alive = [this, name, mark] {
                auto o = owners_.find(name);
                return o != owners_.end() && o->second && o->second->mark() == mark;
            };
            auto retry = [this, self, alive](const ListResult& result) {
                if (!alive()) {
                    acquiring_ = false;
                    return true;
                }
                if (result.ok) return false;
                host_.after(300 * kMillisecond, [self] { self(self); });
                return true;
            };
            store_.list(
                keys::block, [this](const Entry& e) { apply(e.key, &e.value, e.mark); },
                [this, name, retry, self](const ListResult& blocks) {
                    if (retry(blocks)) return;
                    for (const auto& [machine, block] : blocks_) owners_[name]->on_block(block);
                    store_.list(
                        keys::job, [this](const Entry& e) { apply(e.key, &e.value, e.mark); },
                        [this, name, retry](const ListResult& jobs) {
                            if (retry(jobs)) return;
                            store_.list(
                                keys::part, [this](const Entry& e) { apply(e.key, &e.value, e.mark); },
                                [this, name, retry](const ListResult& parts) {
                                    if (retry(parts)) return;
                                    acquiring_ = false;
                                    owners_[name]->activate();
                                    wake();
                                });
                        });
                });
        };
        finish(finish);
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

Owner* Controller::owner(const std::string& domain) {
    auto it = owners_.find(domain);
    return it == owners_.end() ? nullptr : it->second.get();
}

bool Controller::leading() const {
    auto it = owners_.find(kDomain);
    return it != owners_.end() && it->second && it->second->active();
}

Micros Controller::authority() const {
    // A cancellation that we have not heard of must still end every task in time: the last answer renews a
    // lease for at most `lease`, and both must fit into `cancel`.
    return std::max(settings_.cancel - settings_.lease - settings_.lease / 500 - 3 * kSecond, 2 * kSecond);
}

bool Controller::authorised() const {
    return host_.now() - confirmed_ < authority();
}

void Controller::lease_block(Block block, std::function<void(bool)> done) {
    auto o = owners_.find(kDomain);
    if (o == owners_.end() || !o->second || !leasing_.insert(block.machine).second) return done(false);
    block.domain = kDomain;
    Change change;
    change.when.push_back({keys::domain + kDomain, o->second->mark()});
    change.when.push_back({keys::block + block.machine, 0});
    change.then.push_back({keys::block + block.machine, block.value()});
    store_.commit(std::move(change), [this, block, done = std::move(done)](const CommitResult& r) mutable {
        leasing_.erase(block.machine);
        if (r.status == CommitStatus::Ok) {
            const Value v = block.value();
            apply(keys::block + block.machine, &v, r.revision);
        }
        done(r.status == CommitStatus::Ok);
    });
}

// ---------------------------------------------------------------- requests

ApiResponse Controller::unavailable(int retry_after) {
    return {503, Value::object(), retry_after};
}

void Controller::handle(ApiRequest request, ApiResponder respond) {
    if (request.too_large) return respond({413, Value::object()});
    const std::string path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == "GET", post = request.method == "POST";
    auto wrong_method = [&] { respond({405, Value::object()}); };
    auto body = [&]() { return wire::decode(request.body); };
    if (path == "/healthz") {
        if (!get) return wrong_method();
        const bool ready = loaded_ && !types_.empty() && host_.now() - store_.last_contact() < 10 * kSecond;
        return respond({ready ? 200 : 503, Value::object()});
    }
    if (path == "/v1/report") {
        if (!post) return wrong_method();
        auto v = body();
        return v ? report(*v, std::move(respond)) : respond({400, Value::object()});
    }
    static const std::string jobs = "/v1/jobs";
    if (path == jobs) {
        if (!post) return wrong_method();
        auto v = body();
        return v ? submit(*v, std::move(respond)) : respond({400, Value::object()});
    }
    if (starts_with(path, jobs + "/")) {
        std::string ref = path.substr(jobs.size() + 1);
        static const std::string abort_end = "/abort";
        const bool aborting = ref.size() > abort_end.size() &&
                              ref.compare(ref.size() - abort_end.size(), abort_end.size(), abort_end) == 0;
        if (aborting) ref.resize(ref.size() - abort_end.size());
        if (ref.find('/') == std::string::npos) {
            if (aborting ? !post : !get) return wrong_method();
            if (!wire::valid_ref(ref)) return respond({404, Value::object()});
            return aborting ? abort(ref, 0, std::move(respond)) : poll(ref, std::move(respond));
        }
    }
    respond({404, Value::object()});
}

Controller::Verdict Controller::judge(const JobSpec& s) const {
    const Team* team = nullptr;
    for (const auto& t : settings_.teams)
        if (t.name == s.team) team = &t;
    if (!team) return Verdict::Never;
    const Milli at_once = s.kind == JobKind::Array ? 1 : s.tasks;
    if (s.need.cores * at_once > team->limit.cores || s.need.cards * at_once > team->limit.cards)
        return Verdict::Never;
    if (types_.empty()) return Verdict::NotYet;
    for (const auto& t : types_) {
        if (s.types && std::find(s.types->begin(), s.types->end(), t.name) == s.types->end()) continue;
        if (s.zone && std::find(t.zones.begin(), t.zones.end(), *s.zone) == t.zones.end()) continue;
        if (s.need.fits(t.size)) return Verdict::Fits;
    }
    return Verdict::Never;
}

void Controller::submit(const Value& body, ApiResponder respond) {
    auto parsed = wire::parse_job(body);
    const Verdict verdict = parsed.spec ? judge(*parsed.spec) : Verdict::Never;
    if (verdict == Verdict::Fits && !known(parsed.spec->ref))
        return create(std::move(*parsed.spec), std::move(respond));
    const auto ref = wire::ref_of(body);
    if (!ref) return respond({400, Value{{"error", parsed.error}}});
    // Whatever the request looks like, a job that is known is answered with its state.
    check(*ref, [this, ref = *ref, parsed, verdict, respond = std::move(respond)](
                    bool ok, const std::optional<JobView>& view) mutable {
        if (!ok) return respond(unavailable());
        if (view) return respond({200, wire::job_answer(ref, stage_name(*view))});
        if (!parsed.spec) return respond({400, Value{{"error", parsed.error}}});
        if (verdict == Verdict::Never) return respond({422, Value{{"error", "can never run"}}});
        if (verdict == Verdict::NotYet) return respond(unavailable(2));
        create(std::move(*parsed.spec), std::move(respond));
    });
}

void Controller::create(JobSpec spec, ApiResponder respond) {
    if (!store_.reachable()) return respond(unavailable());
    // Names of types that don't exist would only fill the record.
    if (spec.types) std::erase_if(*spec.types, [&](const std::string& t) { return !machine_type(t); });
    const std::string ref = spec.ref;
    const std::string what = spec.job_class + ", " + std::to_string(spec.tasks) + " tasks for " + spec.team;
    Value record{{"s", "queued"},
                 {"dom", kDomain},
                 {"k", spec.tasks},
                 {"d", wire::job_value(spec)},
                 {"at", host_.wall_ms()}};
    if (record.dump(-1, ' ', false, Value::error_handler_t::replace).size() > settings_.value_bytes * 3 / 4)
        return respond({400, Value{{"error", "too long"}}});
    Change change;
    change.when.push_back({keys::job + ref, 0});
    change.then.push_back({keys::job + ref, record});
    change.urgent = true;
    store_.commit(std::move(change), [this, ref, record, what,
                                      respond = std::move(respond)](const CommitResult& r) mutable {
        switch (r.status) {
            case CommitStatus::Ok:
                apply(keys::job + ref, &record, r.revision);
                spdlog::info("job {}: accepted: {}", ref, what);
                return respond({201, wire::job_answer(ref, "pending")});
            case CommitStatus::Conflict:
            case CommitStatus::Unknown:
                return recheck(ref, 0, [ref, respond](bool ok, const std::optional<JobView>& view) {
                    if (!ok || !view) return respond(unavailable());
                    respond({200, wire::job_answer(ref, stage_name(*view))});
                });
            case CommitStatus::Unavailable:
            case CommitStatus::Rejected:
                return respond(unavailable());
        }
    });
}

void Controller::poll(const std::string& ref, ApiResponder respond) {
    check(ref, [ref, respond = std::move(respond)](bool ok, const std::optional<JobView>& view) {
        if (!ok) return respond(unavailable());
        if (!view) return respond({404, Value::object()});
        respond({200, wire::job_state(ref, stage_name(*view), view->done, view->running)});
    });
}

void Controller::abort(const std::string& ref, int tries, ApiResponder respond) {
    if (const JobView* v = known(ref); v && v->final())
        return respond({200, wire::job_answer(ref, stage_name(*v))});
    if (tries >= kMaxAbortTries || !store_.reachable()) return respond(unavailable());
    store_.read(keys::job + ref,
                [this, ref, tries, respond = std::move(respond)](const ReadResult& r) mutable {
                    if (!r.ok) return respond(unavailable());
                    if (!r.found) return respond({404, Value::object()});
                    const JobView view = JobView::of(r.value, r.mark);
                    if (view.final()) {
                        apply(keys::job + ref, &r.value, r.mark);
                        return respond({200, wire::job_answer(ref, stage_name(view))});
                    }
                    Value next = r.value;
                    next["s"] = "cancelled";
                    Change change;
                    change.when.push_back({keys::job + ref, r.mark});
                    change.then.push_back({keys::job + ref, next});
                    change.urgent = true;
                    store_.commit(std::move(change), [this, ref, tries, next, respond = std::move(respond)](
                                                         const CommitResult& result) mutable {
                        if (result.status == CommitStatus::Ok) {
                            spdlog::info("job {}: cancelled by its user", ref);
                            apply(keys::job + ref, &next, result.revision);
                            return respond({200, wire::job_answer(ref, "cancelled")});
                        }
                        if (result.status == CommitStatus::Conflict || result.status == CommitStatus::Unknown)
                            return abort(ref, tries + 1, std::move(respond));
                        respond(unavailable());
                    });
                });
}

void Controller::check(const std::string& ref, std::function<void(bool, std::optional<JobView>)> done) {
    const JobView* view = known(ref);
    if (view && view->final()) return done(true, *view);
    if (!store_.reachable() && host_.now() - store_.last_contact() > kSecond) {
        // Known to be out of reach: the answer is given at once.
        return done(false, std::nullopt);
    }
    Change compare;
    compare.when.push_back({keys::job + ref, view ? view->mark : 0});
    std::optional<JobView> expected = view ? std::optional(*view) : std::nullopt;
    store_.commit(std::move(compare),
                  [this, ref, expected, done = std::move(done)](const CommitResult& r) mutable {
                      if (r.status == CommitStatus::Ok) return done(true, expected);
                      if (r.status == CommitStatus::Conflict) return recheck(ref, 0, std::move(done));
                      done(false, std::nullopt);
                  });
}

void Controller::recheck(const std::string& ref, int tries,
                         std::function<void(bool, std::optional<JobView>)> done) {
    store_.read(keys::job + ref, [this, ref, tries, done = std::move(done)](const ReadResult& r) mutable {
        if (!r.ok) {
            if (tries < 1 && store_.reachable()) return recheck(ref, tries + 1, std::move(done));
            return done(false, std::nullopt);
        }
        if (!r.found) return done(true, std::nullopt);
        const JobView view = JobView::of(r.value, r.mark);
        const JobView* old = known(ref);
        if (!old || old->mark < r.mark) remember(ref, view);
        done(true, view);
    });
}

void Controller::remember(const std::string& ref, const JobView& view) {
    auto it = views_.find(ref);
    if (it != views_.end()) {
        it->second.first = view;
        recent_.splice(recent_.begin(), recent_, it->second.second);
        return;
    }
    recent_.push_front(ref);
    views_.emplace(ref, std::pair(view, recent_.begin()));
    if (views_.size() > kMaxViews) {
        views_.erase(recent_.back());
        recent_.pop_back();
    }
}

const JobView* Controller::known(const std::string& ref) const {
    auto it = views_.find(ref);
    return it == views_.end() ? nullptr : &it->second.first;
}

void Controller::report(const Value& body, ApiResponder respond) {
    auto parsed = wire::parse_report(body);
    if (!parsed) return respond({400, Value::object()});
    const Report& r = *parsed;
    auto redirect = [&](const std::string& domain) {
        auto d = domains_.find(domain);
        if (d == domains_.end() || d->second.holder == settings_.node || !live_.count(d->second.holder))
            return respond(unavailable());
        respond({421, wire::redirect(d->second.holder)});
    };
    auto block = blocks_.find(r.machine);
    if (block == blocks_.end()) {
        if (leading()) return unknown_machine(r, std::move(respond));
        return redirect(kDomain);
    }
    Owner* o = owner(block->second.domain);
    if (!o) return redirect(block->second.domain);
    auto answer = o->on_report(r, authorised());
    if (!answer) return respond(unavailable());
    respond({200, wire::report_answer(answer->token, answer->orders)});
}

/// A machine in no block: the leader leases it.
void Controller::unknown_machine(const Report& r, ApiResponder respond) {
    Block block;
    block.machine = r.machine;
    block.type = r.type;
    block.zone = r.zone;
    block.addr = r.addr;
    block.spot = r.spot;
    lease_block(block, [this, r, respond = std::move(respond)](bool ok) {
        Owner* o = ok ? owner(kDomain) : nullptr;
        auto answer = o ? o->on_report(r, authorised()) : std::nullopt;
        if (!answer) return respond(unavailable());
        respond({200, wire::report_answer(answer->token, answer->orders)});
    });
}

Value Controller::status() {
    Value v{{"node", settings_.node},      {"version", COTTONWAY_VERSION},
            {"ledger", ledger_},           {"alive", live_},
            {"jobs_known", views_.size()}, {"confirmed_ms_ago", (host_.now() - confirmed_) / kMillisecond}};
    v["domains"] = Value::array();
    for (const auto& [name, d] : domains_)
        v["domains"].push_back({{"name", name}, {"holder", d.holder}, {"mark", d.mark}});
    v["held"] = Value::array();
    for (const auto& [name, o] : owners_)
        if (o) v["held"].push_back(o->status());
    v["fleet"] = fleet_.status();
    return v;
}

}  // namespace cottonway
