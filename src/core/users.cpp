// What users ask of a controller: submissions, polls, cancellations.

#include <algorithm>
#include <utility>

#include "core/controller.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxViews = 20'000;
constexpr std::size_t kMaxReading = 4;
constexpr int kMaxAbortTries = 8;
constexpr Micros kPatience = 4 * kSecond;      // of workers; users wait for 5 s
constexpr Micros kPollPatience = 2 * kSecond;  // of users who poll
constexpr Micros kTooLate = 400 * kMillisecond;
constexpr double kPollsPerCore = 3000;  // that may wait for one look at the store
constexpr std::size_t kFewPolls = 100;
constexpr std::size_t kManyPolls = 2000;
constexpr unsigned kPollSpread = 4;
constexpr Micros kUnserved = 3 * kSecond;
constexpr std::size_t kRecordBytes = 80;  // of a job's record besides its description
constexpr Micros kImageLasts = 300 * kSecond;
constexpr double kOursFirst = 0.05;  // share of a domain's cores

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

ApiResponse Controller::unavailable(int retry_after) {
    return {503, Value::object(), retry_after};
}

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
        return respond({healthy() ? 200 : 503, Value::object()});
    }
    if (path == "/v1/report") {
        if (!post) return wrong_method();
        return report(request.body, std::move(respond));
    }
    static const std::string jobs = "/v1/jobs";
    if (path == jobs) {
        if (!post) return wrong_method();
        auto v = body();
        return v ? submit(*v, std::move(respond)) : respond({400, Value::object()});
    }
    if (starts_with(path, jobs + "/")) {
        if (get && too_busy_for_polls())
            return respond(unavailable(1 + static_cast<int>(host_.random()() % kPollSpread)));
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
    if (verdict == Verdict::Fits && !known(parsed.spec->ref) && parsed.spec->needs.empty())
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
        if (!parsed.spec->needs.empty()) return resolve(std::move(*parsed.spec), std::move(respond));
        create(std::move(*parsed.spec), std::move(respond));
    });
}

/// What it needs must have been accepted, by whatever node and however long ago. That is proven by the store,
/// where this node does not know the job.
void Controller::resolve(JobSpec spec, ApiResponder respond) {
    // As long as a controller may be of the version before, it would lose what the job waits for.
    if (!all_new_) return respond(unavailable(2));
    auto never = [](const std::string& ref) {
        return ApiResponse{422, Value{{"error", "was never accepted: " + ref}}};
    };
    if (std::find(spec.needs.begin(), spec.needs.end(), spec.ref) != spec.needs.end())
        return respond(never(spec.ref));
    std::vector<std::string> unsure;
    for (const auto& need : spec.needs)
        if (!known(need) && !live_jobs_.count(need)) unsure.push_back(need);
    if (unsure.empty()) return create(std::move(spec), std::move(respond));
    struct Asked {
        JobSpec spec;
        ApiResponder respond;
        std::size_t missing = 0;
        bool ok = true;
        std::string never;
    };
    auto asked = std::make_shared<Asked>(Asked{std::move(spec), std::move(respond), unsure.size(), true, ""});
    for (const auto& need : unsure)
        check(need, [this, asked, need, never](bool ok, const std::optional<JobView>& view) {
            asked->ok = asked->ok && ok;
            if (ok && !view) asked->never = need;
            if (--asked->missing > 0) return;
            if (!asked->never.empty()) return asked->respond(never(asked->never));
            if (!asked->ok) return asked->respond(unavailable());
            create(std::move(asked->spec), std::move(asked->respond));
        });
}

/// What has become of a job that another one needs.
Pipelines::Known Controller::fate(const std::string& ref) const {
    if (const JobView* view = known(ref); view && view->final())
        return {view->stage == Stage::Done ? Pipelines::Fate::Done : Pipelines::Fate::Cancelled,
                view->ended_ms};
    if (auto live = live_jobs_.find(ref); live != live_jobs_.end())
        return {live->second.cancelled ? Pipelines::Fate::Cancelled : Pipelines::Fate::Open, 0};
    // Known only from having been asked after: it may be over without having been in the news.
    return {};
}

/// Passes on what has changed for jobs that need others, or are needed.
void Controller::settle_pipelines() {
    for (const auto& ref : pipelines_.take_changed()) {
        const Standing s = pipelines_.standing(ref);
        auto live = live_jobs_.find(ref);
        if (live != live_jobs_.end()) {
            LiveJob& job = live->second;
            if (s.orphaned && !job.cancelled) {
                job.cancelled = true;
                spdlog::info("job {}: cancelled with {}", ref, pipelines_.cancelled_with(ref));
                if (const JobView* view = known(ref)) remember(ref, view->as_cancelled());
            }
            if (s.open && !std::exchange(job.open, true)) {
                if (s.since_ms > 0) job.since_ms = std::max(job.since_ms, s.since_ms);
                spdlog::info("job {}: all that it needs are done, its gate is open", ref);
            }
            guarantees_due_ = true;
        }
        for (auto& [name, owner] : owners_)
            if (owner && owner->active()) owner->reconsider(ref);
    }
}

/// Jobs that are needed may be long over, and forgotten here.
void Controller::read_unknown() {
    if (!loaded_ || out_of_reach()) return;
    for (const auto& ref : pipelines_.unknown()) {
        if (reading_.size() >= kMaxReading) return;
        if (!reading_.insert(ref).second) continue;
        store_.read(keys::job + ref, [this, ref](const ReadResult& r) {
            // One that is not there any more than it was before is asked after again.
            host_.after(r.ok && r.found ? 0 : kSecond, [this, ref] { reading_.erase(ref); });
            if (r.ok && r.found) apply(keys::job + ref, &r.value, r.mark);
        });
    }
}

void Controller::create(JobSpec spec, ApiResponder respond) {
    if (!store_.reachable()) return respond(unavailable());
    // Names of types that don't exist would only fill the record.
    if (spec.types) std::erase_if(*spec.types, [&](const std::string& t) { return !machine_type(t); });
    // What it needs is not in its record any more once anything of it is bound, and may be stored in pieces.
    JobSpec alone = spec;
    alone.needs.clear();
    const std::size_t size = pieces::stored_size(wire::job_value(alone));
    if (size > settings_.value_bytes_now * 3 / 4) return respond({400, Value{{"error", "too long"}}});
    const std::string ref = spec.ref;
    const std::string domain = domain_for(spec);
    if (domain.empty()) return respond(unavailable());
    const Standing standing = Pipelines::preview(spec, [this](const auto& need) { return fate(need); });
    const std::string what = spec.job_class + ", " + std::to_string(spec.tasks) + " tasks of about " +
                             std::to_string(spec.estimate / kSecond) + " s for " + spec.team + ", in " +
                             domain;
    auto answer = [this, ref, what, asked = host_.now(),
                   respond = std::move(respond)](const Admission& a) mutable {
        switch (a.status) {
            case CommitStatus::Ok:
                apply(keys::job + ref, &a.record, a.revision);
                spdlog::info("job {}: accepted in {} ms: {}", ref, (host_.now() - asked) / kMillisecond,
                             what);
                if (const JobView* view = known(ref); view && view->final())
                    return respond({201, wire::job_answer(ref, stage_name(*view))});
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
    };
    const bool idle = spec.rank == Rank::Low;
    // In a domain of ours the change that admits the job binds its tasks as well.
    if (Owner* o = owner(domain); o && o->active() && !standing.orphaned)
        return o->admit(std::move(spec), host_.wall_ms(), standing, answer);
    Value record{{"s", "queued"},         {"dom", domain},
                 {"k", spec.tasks},       {"d", wire::job_value(spec)},
                 {"at", host_.wall_ms()}, {"ps", part_tasks_for(settings_.value_bytes, size + kRecordBytes)}};
    // Cancelled with one before it already: accepted, and over.
    if (standing.orphaned) record = {{"s", "cancelled"}, {"dom", domain}, {"k", spec.tasks}, {"fd", 0}};
    Change change;
    change.when.push_back({keys::job + ref, 0});
    change.then.push_back({keys::job + ref, record});
    change.priority = idle ? Priority::Normal : Priority::Urgent;
    change.purpose = "admit";
    store_.commit(std::move(change), [answer = std::move(answer), record](const CommitResult& r) mutable {
        answer({r.status, r.revision, record});
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
    if (tries >= kMaxAbortTries || out_of_reach()) return respond(unavailable());
    if (auto live = live_jobs_.find(ref); tries == 0 && live != live_jobs_.end())
        return cancel(ref, live->second.record, live->second.mark, tries, std::move(respond));
    store_.read(keys::job + ref,
                [this, ref, tries, respond = std::move(respond)](const ReadResult& r) mutable {
                    if (!r.ok) return respond(unavailable());
                    if (!r.found) return respond({404, Value::object()});
                    const JobView view = JobView::of(r.value, r.mark);
                    if (view.final()) {
                        apply(keys::job + ref, &r.value, r.mark);
                        return respond({200, wire::job_answer(ref, stage_name(view))});
                    }
                    cancel(ref, r.value, r.mark, tries, std::move(respond));
                });
}

/// A commit on the job's record, so it competes with binds there; whoever loses sees the other.
void Controller::cancel(const std::string& ref, Value record, Revision mark, int tries,
                        ApiResponder respond) {
    record["s"] = "cancelled";
    Change change;
    change.when.push_back({keys::job + ref, mark});
    change.then.push_back({keys::job + ref, record});
    change.priority = Priority::Urgent;
    change.purpose = "cancel";
    store_.commit(std::move(change), [this, ref, tries, record = std::move(record),
                                      respond = std::move(respond)](const CommitResult& result) mutable {
        if (result.status == CommitStatus::Ok) {
            spdlog::info("job {}: cancelled by its user", ref);
            apply(keys::job + ref, &record, result.revision);
            return respond({200, wire::job_answer(ref, "cancelled")});
        }
        if (result.status == CommitStatus::Conflict || result.status == CommitStatus::Unknown)
            return abort(ref, tries + 1, std::move(respond));
        respond(unavailable());
    });
}

/// Polls give way to reports, leases, submissions and placing: those that come while the process falls
/// behind, or more at a time than a look at the store should have to answer, are told to come back, spread
/// out.
bool Controller::too_busy_for_polls() {
    const auto most = std::clamp<std::size_t>(static_cast<std::size_t>(kPollsPerCore * settings_.cpu_share),
                                              kFewPolls, kManyPolls);
    if (late_ < kTooLate && waiters_.size() < most) return false;
    ++polls_shed_;
    if (host_.now() - shed_logged_ > 10 * kSecond) {
        shed_logged_ = host_.now();
        spdlog::info("polls are turned away, {} so far: {} wait, {} ms behind", polls_shed_, waiters_.size(),
                     late_ / kMillisecond);
    }
    return true;
}

/// Whether users had better come here. An outage of the state service is the same everywhere: leaving the
/// load balancer would only make coming back slower. If others are served, it is this node's own trouble.
bool Controller::healthy() const {
    if (!loaded_ || types_.empty()) return false;
    if (host_.now() - confirmed_ < kUnserved) return true;
    for (const auto& p : peers_)
        if (p.state && host_.now() - p.told < kUnserved && p.state->confirmed_age < kUnserved / 2)
            return false;
    return true;
}

/// Known to be out of reach: users are told at once.
bool Controller::out_of_reach() const {
    return !store_.reachable() && host_.now() - store_.last_contact() > kSecond;
}

void Controller::check(const std::string& ref, std::function<void(bool, std::optional<JobView>)> done) {
    const JobView* view = known(ref);
    if (view && view->final()) return done(true, *view);
    if (out_of_reach()) return done(false, std::nullopt);
    if (view) {
        // The next look at the store proves that what is known then is current, also of the jobs before it.
        after_sync([this, ref, done = std::move(done)](bool ok) {
            const JobView* now = known(ref);
            if (!ok || !now || pipelines_.unclear(ref)) return done(false, std::nullopt);
            done(true, *now);
        });
        return;
    }
    Change compare;
    compare.when.push_back({keys::job + ref, 0});
    store_.commit(std::move(compare), [this, ref, done = std::move(done)](const CommitResult& r) mutable {
        if (r.status == CommitStatus::Ok) return done(true, std::nullopt);
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
        const Value* spec = wire::find(r.value, "d");
        if (!view.final() && spec && wire::find(*spec, "warp")) {
            // Whether one before it is cancelled is not in its record. What is in the news already is not
            // taken from elsewhere: an owner here relies on their order.
            if (!live_jobs_.count(ref))
                apply(keys::job + ref, &r.value, r.mark);
            else
                remember(ref, view);
            if (pipelines_.standing(ref).orphaned) return done(true, view.as_cancelled());
            return check(ref, std::move(done));
        }
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

/// The owner of a new job: the domain with the most room left, after what waits there already and what we
/// have sent there since it last told; a domain of ours is preferred a little, since it hears at once.
/// Production work stops other work where it must, so for it only other production work counts. Before any
/// machines are known, any domain.
std::string Controller::domain_for(const JobSpec& spec) {
    // With what it needs: there the change that ends that can begin this.
    for (const auto& need : spec.needs) {
        auto live = live_jobs_.find(need);
        if (live == live_jobs_.end()) continue;
        auto at = domains_.find(live->second.domain);
        if (at != domains_.end() && live_.count(at->second.holder)) return at->first;
    }
    const Milli need = spec.need.cores * spec.tasks;
    std::vector<std::string> all;
    std::string best;
    double best_room = 0;
    for (const auto& [name, d] : domains_) {
        if (!live_.count(d.holder)) continue;
        all.push_back(name);
        const Milli capacity = capacity_of(name);
        if (capacity == 0) continue;
        std::optional<peer::DomainLoad> load;
        if (const Owner* o = owner(name)) {
            if (o->active()) load = o->load();
        } else if (const auto* told = load_of(name)) {
            load = *told;
        }
        Milli room = 0, of = capacity;
        if (load && spec.rank == Rank::Production) {
            room = (spec.spot ? load->capacity : load->ordinary) - load->production;
            of = std::max<Milli>(spec.spot ? load->capacity : load->ordinary, 1);
        } else if (load) {
            room = load->free_ordinary + (spec.spot ? load->free_spot : 0) - load->waiting;
        }
        if (auto sent = sent_to_.find(name); sent != sent_to_.end() && !owner(name)) room -= sent->second;
        double share = static_cast<double>(room) / static_cast<double>(of) +
                       (d.holder == settings_.node ? kOursFirst : 0.0);
        // Urgent work goes where its image has been lately, if there is room for all of it.
        if (auto seen = image_seen_.find({spec.image, name}); spec.rank <= Rank::High && room >= need &&
                                                              seen != image_seen_.end() &&
                                                              host_.now() - seen->second < kImageLasts)
            share += 1.0;
        if (!best.empty() && share <= best_room) continue;
        best = name;
        best_room = share;
    }
    if (best.empty() && !all.empty()) return all[host_.random()() % all.size()];
    if (!best.empty()) sent_to_[best] += need;
    return best;
}

}  // namespace cottonway
