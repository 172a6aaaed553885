#include "api/job_service.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/machine_occupancy.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxReading = 4;
constexpr int kMaxAbortTries = 8;
constexpr Micros kTooLate = 400 * kMillisecond;
constexpr double kPollsPerCore = 3000;  // that may wait for one look at the store
constexpr std::size_t kFewPolls = 100;
constexpr std::size_t kManyPolls = 2000;
constexpr Micros kUnserved = 3 * kSecond;
constexpr std::size_t kRecordBytes = 80;  // of a job's record besides its description
constexpr Micros kImageLasts = 300 * kSecond;
constexpr double kOursFirst = 0.05;  // share of a shard's cores

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

}  // namespace

/// Of its description, as it would be stored. What it needs is not in its record any more once anything of it
/// is bound, and may be stored in pieces.
std::size_t JobService::stored_size(const JobSpec& spec) {
    JobSpec alone = spec;
    alone.dependencies.clear();
    return chunks::stored_size(wire::job_value(alone));
}

JobService::ReconcileAction JobService::judge(const JobSpec& s) const {
    if (stored_size(s) > settings_.current_max_value_bytes * 3 / 4) return ReconcileAction::TooLong;
    const Team* team = nullptr;
    for (const auto& t : settings_.teams)
        if (t.name == s.team) team = &t;
    if (!team) return ReconcileAction::Never;
    const Milli at_once = s.kind == JobKind::Array ? 1 : s.tasks;
    if (s.request.cores * at_once > team->limit.cores || s.request.gpus * at_once > team->limit.gpus)
        return ReconcileAction::Never;
    if (cache_.types.empty()) return ReconcileAction::NotYet;
    for (const auto& t : cache_.types.types()) {
        if (s.types && std::find(s.types->begin(), s.types->end(), t.name) == s.types->end()) continue;
        if (s.zone && std::find(t.zones.begin(), t.zones.end(), *s.zone) == t.zones.end()) continue;
        if (s.request.fits(t.size)) return ReconcileAction::Fits;
    }
    return ReconcileAction::Never;
}

void JobService::submit(const Json& body, ApiResponder respond) {
    auto parsed = wire::parse_job(body);
    // Names of types that don't exist would only fill the record.
    if (parsed.spec && parsed.spec->types && !cache_.types.empty())
        std::erase_if(*parsed.spec->types, [&](const std::string& t) { return !cache_.types.find(t); });
    const ReconcileAction verdict = parsed.spec ? judge(*parsed.spec) : ReconcileAction::Never;
    if (verdict == ReconcileAction::Fits && !known(parsed.spec->ref) && parsed.spec->dependencies.empty())
        return create(std::move(*parsed.spec), std::move(respond));
    const auto ref = wire::parse_ref(body);
    if (!ref) return respond({400, Json{{"error", parsed.error}}});
    // Whatever the request looks like, a job that is known is answered with its state.
    check(*ref, [this, ref = *ref, parsed, verdict, respond = std::move(respond)](
                    bool ok, const std::optional<JobView>& view) mutable {
        if (!ok) return respond(unavailable());
        if (view) return respond({200, wire::job_answer(ref, stage_name(*view))});
        if (!parsed.spec) return respond({400, Json{{"error", parsed.error}}});
        if (verdict == ReconcileAction::TooLong) return respond({400, Json{{"error", "too long"}}});
        if (verdict == ReconcileAction::Never) return respond({422, Json{{"error", "can never run"}}});
        if (verdict == ReconcileAction::NotYet) return respond(unavailable(2));
        if (!parsed.spec->dependencies.empty()) return resolve(std::move(*parsed.spec), std::move(respond));
        create(std::move(*parsed.spec), std::move(respond));
    });
}

/// What it needs must have been accepted, by whatever node and however long ago. That is proven by the store,
/// where this node does not know the job.
void JobService::resolve(JobSpec spec, ApiResponder respond) {
    // As long as a controller may be of the version before, it would lose what the job waits for.
    if (!cache_.formats.common(format::kPipelines)) return respond(unavailable(2));
    auto never = [](const std::string& ref) {
        return ApiResponse{422, Json{{"error", "was never accepted: " + ref}}};
    };
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.ref) != spec.dependencies.end())
        return respond(never(spec.ref));
    std::vector<std::string> unsure;
    for (const auto& need : spec.dependencies)
        if (!known(need) && !cache_.jobs.find(need)) unsure.push_back(need);
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

/// Jobs that are needed may be long over, and forgotten here.
void JobService::read_unknown() {
    if (!feed_.loaded() || out_of_reach()) return;
    for (const auto& ref : cache_.jobs.dependency_graph().unknown()) {
        if (reading_.size() >= kMaxReading) return;
        if (!reading_.insert(ref).second) continue;
        store_.read(keys::job + ref, [this, ref](const ReadResult& r) {
            // One that is not there any more than it was before is asked after again.
            runtime_.after(r.ok && r.found ? 0 : kSecond, [this, ref] { reading_.erase(ref); });
            if (r.ok && r.found) cache_.take(keys::job + ref, &r.value, r.mod_revision);
        });
    }
}

void JobService::create(JobSpec spec, ApiResponder respond) {
    if (!store_.is_reachable()) return respond(unavailable());
    const std::size_t size = stored_size(spec);
    const std::string ref = spec.ref;
    const std::string shard = shard_for(spec);
    if (shard.empty()) return respond(unavailable());
    const DependencyStatus dependency_status =
        DependencyGraph::preview(spec, [this](const auto& need) { return cache_.jobs.fate(need); });
    const std::string what = spec.job_class + ", " + std::to_string(spec.tasks) + " tasks of about " +
                             std::to_string(spec.estimated_duration / kSecond) + " s for " + spec.team +
                             ", in " + shard;
    auto answer = [this, ref, what, asked = runtime_.now(),
                   respond = std::move(respond)](const Admission& a) mutable {
        switch (a.status) {
            case CommitStatus::Ok:
                cache_.take(record_key(a.place, ref), &a.record, a.revision);
                spdlog::info("job {}: accepted in {} ms: {}", ref, (runtime_.now() - asked) / kMillisecond,
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
    const bool idle = spec.priority_class == PriorityClass::Low;
    // In a shard of ours the change that admits the job binds its tasks as well.
    if (ShardOwner* o = assignment_.find(shard);
        o && o->active() && !dependency_status.cancelled_by_dependency)
        return o->admit(std::move(spec), runtime_.wall_clock_ms(), dependency_status, answer);
    Json record{{"s", "queued"},
                {"dom", shard},
                {"k", spec.tasks},
                {"d", wire::job_value(spec)},
                {"at", runtime_.wall_clock_ms()},
                {"ps", part_tasks_for(settings_.max_value_bytes, size + kRecordBytes)}};
    // Cancelled with one before it already: accepted, and over.
    if (dependency_status.cancelled_by_dependency)
        record = {{"s", "cancelled"}, {"dom", shard}, {"k", spec.tasks}, {"fd", 0}};
    const RecordLocation place =
        cache_.formats.common(format::kHistory) && !dependency_status.cancelled_by_dependency
            ? RecordLocation::Active
            : RecordLocation::Job;
    Change change;
    change.conditions = {{keys::job + ref, 0}, {keys::active + ref, 0}};
    // Nothing of old form may be added once that is closed.
    if (place == RecordLocation::Job && !dependency_status.cancelled_by_dependency)
        change.conditions.push_back({keys::history, 0});
    change.writes.push_back({record_key(place, ref), record});
    change.priority = idle ? Priority::Normal : Priority::Urgent;
    change.purpose = "admit";
    store_.commit(std::move(change),
                  [answer = std::move(answer), record, place](const CommitResult& r) mutable {
                      answer({r.status, r.revision, record, place});
                  });
}

void JobService::poll(const std::string& ref, ApiResponder respond) {
    check(ref, [ref, respond = std::move(respond)](bool ok, const std::optional<JobView>& view) {
        if (!ok) return respond(unavailable());
        if (!view) return respond({404, Json::object()});
        respond({200, wire::job_state(ref, stage_name(*view), view->done, view->running)});
    });
}

void JobService::abort(const std::string& ref, int tries, ApiResponder respond) {
    if (const JobView* v = known(ref); v && v->final())
        return respond({200, wire::job_answer(ref, stage_name(*v))});
    if (tries >= kMaxAbortTries || out_of_reach()) return respond(unavailable());
    if (const LiveJob* live = cache_.jobs.find(ref); tries == 0 && live && !cache_.stray(ref))
        return cancel(ref, {live->place, live->record, live->mod_revision, live->legacy_revision}, tries,
                      std::move(respond));
    read_either(
        ref, [this, ref, tries, respond = std::move(respond)](bool ok, std::optional<Found> found) mutable {
            if (!ok) return respond(unavailable());
            if (!found)  // never accepted, or on its way from one key to the other
                return check(ref, [this, ref, tries, respond = std::move(respond)](
                                      bool known, const std::optional<JobView>& view) mutable {
                    if (!known) return respond(unavailable());
                    if (!view) return respond({404, Json::object()});
                    abort(ref, tries + 1, std::move(respond));
                });
            const JobView view = JobView::of(found->record, found->mod_revision);
            if (view.final()) {
                cache_.take(record_key(found->place, ref), &found->record, found->mod_revision);
                return respond({200, wire::job_answer(ref, stage_name(view))});
            }
            // It came late, from a process that has ended, and is accepted only once its holder has moved it.
            if (found->place == RecordLocation::Job && cache_.history_apart()) return respond(unavailable());
            cancel(ref, std::move(*found), tries, std::move(respond));
        });
}

void JobService::read_either(const std::string& ref, std::function<void(bool, std::optional<Found>)> done) {
    store_.read(keys::job + ref, [this, ref, done = std::move(done)](const ReadResult& job) {
        if (!job.ok) return done(false, std::nullopt);
        const bool final = job.found && JobView::of(job.value, job.mod_revision).final();
        if (final || !cache_.formats.common(format::kHistory)) {
            if (!job.found) return done(true, std::nullopt);
            return done(true, Found{RecordLocation::Job, job.value, job.mod_revision, 0});
        }
        store_.read(keys::active + ref, [job, done](const ReadResult& active) {
            if (!active.ok) return done(false, std::nullopt);
            if (active.found)
                return done(
                    true, Found{RecordLocation::Active, active.value, active.mod_revision, job.mod_revision});
            if (!job.found) return done(true, std::nullopt);
            done(true, Found{RecordLocation::Job, job.value, job.mod_revision, 0});
        });
    });
}

/// A commit on the job's record, so it competes with binds there; whoever loses sees the other.
void JobService::cancel(const std::string& ref, Found job, int tries, ApiResponder respond) {
    job.record["s"] = "cancelled";
    const std::string key = record_key(job.place, ref);
    Change change;
    change.conditions = JobCache::as_known(ref, job.place, job.mod_revision, job.legacy_revision);
    change.writes.push_back({key, job.record});
    change.priority = Priority::Urgent;
    change.purpose = "cancel";
    store_.commit(std::move(change), [this, ref, key, tries, record = std::move(job.record),
                                      respond = std::move(respond)](const CommitResult& result) mutable {
        if (result.status == CommitStatus::Ok) {
            spdlog::info("job {}: cancelled by its user", ref);
            cache_.take(key, &record, result.revision);
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
bool JobService::too_busy_for_polls(Micros late) {
    const auto most = std::clamp<std::size_t>(static_cast<std::size_t>(kPollsPerCore * settings_.cpu_cores),
                                              kFewPolls, kManyPolls);
    if (late < kTooLate && feed_.waiting() < most) return false;
    ++polls_shed_;
    if (runtime_.now() - shed_logged_ > 10 * kSecond) {
        shed_logged_ = runtime_.now();
        spdlog::info("polls are turned away, {} so far: {} wait, {} ms behind", polls_shed_, feed_.waiting(),
                     late / kMillisecond);
    }
    return true;
}

/// An outage of the state service is the same everywhere: leaving the
/// load balancer would only make coming back slower. If others are served, it is this node's own trouble.
bool JobService::healthy() const {
    if (!feed_.loaded() || cache_.types.empty()) return false;
    if (feed_.confirmed_ago() < kUnserved) return true;
    for (std::size_t i = 0; i < peers_.count(); ++i)
        if (const auto* told = peers_.told(i, kUnserved); told && told->state.confirmed_age < kUnserved / 2)
            return false;
    return true;
}

/// Known to be out of reach: users are told at once.
bool JobService::out_of_reach() const {
    return !store_.is_reachable() && runtime_.now() - store_.last_contact() > kSecond;
}

void JobService::check(const std::string& ref, Checked done) {
    const JobView* view = known(ref);
    if (view && view->final()) return done(true, *view);
    if (out_of_reach()) return done(false, std::nullopt);
    if (cache_.stray(ref)) return done(false, std::nullopt);
    // Its final record may stand where nobody reads at a start.
    if (view && cache_.jobs.unproven(ref))
        return history_.prove({ref}, false, [this, ref, done = std::move(done)](bool known) mutable {
            if (!known || cache_.jobs.unproven(ref)) return done(false, std::nullopt);
            check(ref, std::move(done));
        });
    if (view) {
        // The next look at the store proves that what is known then is current, also of the jobs before it.
        feed_.after_next_refresh([this, ref, done = std::move(done)](bool ok) {
            const JobView* now = known(ref);
            const auto doubted = [this](const std::string& name) { return cache_.jobs.unproven(name); };
            if (!ok || !now || cache_.jobs.dependency_graph().unclear(ref, doubted))
                return done(false, std::nullopt);
            done(true, *now);
        });
        return;
    }
    Change compare;
    compare.conditions = {{keys::job + ref, 0}, {keys::active + ref, 0}};
    store_.commit(std::move(compare), [this, ref, done = std::move(done)](const CommitResult& r) mutable {
        if (r.status == CommitStatus::Ok) return done(true, std::nullopt);
        if (r.status == CommitStatus::Conflict) return recheck(ref, 0, std::move(done));
        done(false, std::nullopt);
    });
}

void JobService::recheck(const std::string& ref, int tries, Checked done) {
    read_either(ref, [this, ref, tries, done = std::move(done)](bool ok, std::optional<Found> found) mutable {
        if (!ok && tries < 1 && store_.is_reachable()) return recheck(ref, tries + 1, std::move(done));
        // None found: it is on its way from one key to the other.
        if (!ok || !found) return done(false, std::nullopt);
        const JobView view = JobView::of(found->record, found->mod_revision);
        if (!view.final() && found->place == RecordLocation::Job && cache_.history_apart())
            return done(false, std::nullopt);
        const Json* spec = wire::find(found->record, "d");
        if (!view.final() && spec && wire::find(*spec, "warp")) {
            // Whether one before it is cancelled is not in its record. What is in the news already is not
            // taken from elsewhere: an owner here relies on their order.
            if (!cache_.jobs.find(ref))
                cache_.take(record_key(found->place, ref), &found->record, found->mod_revision);
            else
                cache_.jobs.remember(ref, view);
            if (cache_.jobs.dependency_graph().dependency_status(ref).cancelled_by_dependency)
                return done(true, view.as_cancelled());
            return check(ref, std::move(done));
        }
        cache_.jobs.remember(ref, view);
        done(true, view);
    });
}

/// The owner of a new job: the shard with the most room left, after what waits there already and what we
/// have sent there since it last told; a shard of ours is preferred a little, since it hears at once.
/// Production work stops other work where it must, so for it only other production work counts. Before any
/// machines are known, any shard.
std::string JobService::shard_for(const JobSpec& spec) {
    // With what it needs: there the change that ends that can begin this.
    for (const auto& need : spec.dependencies) {
        const LiveJob* live = cache_.jobs.find(need);
        const ShardRecord* at = live ? cache_.membership.shard(live->shard) : nullptr;
        if (at && cache_.membership.alive(at->holder)) return live->shard;
    }
    const Milli need = scheduling::gpu_bound_cores(spec.request, cache_.types.types()) * spec.tasks;
    std::vector<std::string> all;
    std::string best;
    double best_room = 0;
    for (const auto& [name, d] : cache_.membership.shards()) {
        if (!cache_.membership.alive(d.holder)) continue;
        all.push_back(name);
        const Milli capacity = cache_.capacity_of(name);
        if (capacity == 0) continue;
        std::optional<peer::ShardLoad> load;
        if (const ShardOwner* o = assignment_.find(name)) {
            if (o->active()) load = o->load();
        } else if (const auto* told = peers_.load_of(name)) {
            load = *told;
        }
        Milli room = 0, of = capacity;
        if (load && spec.priority_class == PriorityClass::Production) {
            room = (spec.spot ? load->capacity : load->ordinary) - load->production;
            of = std::max<Milli>(spec.spot ? load->capacity : load->ordinary, 1);
        } else if (load) {
            room = load->free_ordinary + (spec.spot ? load->free_spot : 0) - load->waiting;
        }
        if (!assignment_.find(name)) room -= peers_.sent_to(name);
        double share = static_cast<double>(room) / static_cast<double>(of) +
                       (d.holder == settings_.node ? kOursFirst : 0.0);
        // Urgent work goes where its image has been lately, if there is room for all of it.
        if (spec.priority_class <= PriorityClass::High && room >= need)
            if (const Micros seen = cache_.jobs.image_seen(spec.image, name);
                seen > 0 && runtime_.now() - seen < kImageLasts)
                share += 1.0;
        if (!best.empty() && share <= best_room) continue;
        best = name;
        best_room = share;
    }
    if (best.empty() && !all.empty()) return all[runtime_.random()() % all.size()];
    if (!best.empty()) peers_.sent(best, need);
    return best;
}

}  // namespace cottonway
