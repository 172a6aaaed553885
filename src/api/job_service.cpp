#include "api/job_service.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/machine_occupancy.hpp"

namespace cottonway {

namespace {

constexpr std::size_t kMaxConcurrentDependencyReads = 4;
constexpr int kMaxAbortAttempts = 8;
constexpr Micros kMaxTimerLagForPolls = 400 * kMillisecond;
constexpr double kMaxWaitingPollsPerCore = 3000;  // that may wait for one refresh of the cache
constexpr std::size_t kMinWaitingPollLimit = 100;
constexpr std::size_t kMaxWaitingPollLimit = 2000;
constexpr Micros kUnhealthyAfter = 3 * kSecond;
constexpr std::size_t kRecordOverheadBytes = 80;  // size of a job's record without its spec
constexpr Micros kImageCachedFor = 300 * kSecond;
constexpr double kLocalShardBonus = 0.05;  // as a share of a shard's cores

std::string_view stage_name(const JobView& view) {
    switch (view.stage) {
        case Stage::Done:
            return "done";
        case Stage::Cancelled:
            return "cancelled";
        case Stage::Queued:
            break;
    }
    return view.running > 0 ? "running" : "pending";
}

}  // namespace

/// Returns the size of the spec as it would be stored, without its dependencies: they are removed from the
/// record before any task is bound, and may be stored in chunks.
std::size_t JobService::stored_spec_size(const JobSpec& spec) {
    JobSpec alone = spec;
    alone.dependencies.clear();
    return chunks::stored_size(wire::job_value(alone));
}

JobService::Feasibility JobService::assess_feasibility(const JobSpec& spec) const {
    if (stored_spec_size(spec) > settings_.current_max_value_bytes * 3 / 4) return Feasibility::TooLarge;
    const Team* team = nullptr;
    for (const auto& candidate : settings_.teams)
        if (candidate.name == spec.team) team = &candidate;
    if (!team) return Feasibility::Infeasible;
    const Milli concurrent_tasks = spec.kind == JobKind::Array ? 1 : spec.tasks;
    if (spec.request.cores * concurrent_tasks > team->limit.cores ||
        spec.request.gpus * concurrent_tasks > team->limit.gpus)
        return Feasibility::Infeasible;
    if (cache_.machine_types.empty()) return Feasibility::MachineTypesUnknown;
    for (const auto& type : cache_.machine_types.types()) {
        if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
            continue;
        if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end())
            continue;
        if (spec.request.fits(type.size)) return Feasibility::Feasible;
    }
    return Feasibility::Infeasible;
}

void JobService::submit(const Json& body, ApiResponder respond) {
    auto parsed = wire::parse_job(body);
    // Names of machine types that don't exist would only take space in the record.
    if (parsed.spec && parsed.spec->types && !cache_.machine_types.empty())
        std::erase_if(*parsed.spec->types,
                      [&](const std::string& name) { return !cache_.machine_types.find(name); });
    const Feasibility feasibility = parsed.spec ? assess_feasibility(*parsed.spec) : Feasibility::Infeasible;
    if (feasibility == Feasibility::Feasible && !find_view(parsed.spec->ref) &&
        parsed.spec->dependencies.empty())
        return create(std::move(*parsed.spec), std::move(respond));
    const auto ref = wire::parse_ref(body);
    if (!ref) return respond({400, Json{{"error", parsed.error}}});
    // A job that was accepted before is answered with its state, whether or not the request is valid.
    check_in_store(*ref, [this, ref = *ref, parsed, feasibility, respond = std::move(respond)](
                             bool ok, const std::optional<JobView>& view) mutable {
        if (!ok) return respond(unavailable());
        if (view) return respond({200, wire::job_answer(ref, stage_name(*view))});
        if (!parsed.spec) return respond({400, Json{{"error", parsed.error}}});
        if (feasibility == Feasibility::TooLarge) return respond({400, Json{{"error", "too long"}}});
        if (feasibility == Feasibility::Infeasible) return respond({422, Json{{"error", "can never run"}}});
        if (feasibility == Feasibility::MachineTypesUnknown) return respond(unavailable(2));
        if (!parsed.spec->dependencies.empty())
            return create_with_dependencies(std::move(*parsed.spec), std::move(respond));
        create(std::move(*parsed.spec), std::move(respond));
    });
}

/// Creates the job if all its dependencies have been accepted, by any node and at any time. If a dependency
/// is not cached here, the store has to prove it.
void JobService::create_with_dependencies(JobSpec spec, ApiResponder respond) {
    // A controller of the previous version would drop the dependencies from the record.
    if (!cache_.formats.is_read_by_all(format::kChunksAndDependencies)) return respond(unavailable(2));
    auto rejection = [](const std::string& ref) {
        return ApiResponse{422, Json{{"error", "was never accepted: " + ref}}};
    };
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.ref) != spec.dependencies.end())
        return respond(rejection(spec.ref));
    std::vector<std::string> unconfirmed;
    for (const auto& dependency : spec.dependencies)
        if (!find_view(dependency) && !cache_.jobs.find(dependency)) unconfirmed.push_back(dependency);
    if (unconfirmed.empty()) return create(std::move(spec), std::move(respond));
    struct PendingCheck {
        JobSpec spec;
        ApiResponder respond;
        std::size_t unanswered = 0;
        bool ok = true;
        std::string never_accepted;
    };
    auto pending = std::make_shared<PendingCheck>(
        PendingCheck{std::move(spec), std::move(respond), unconfirmed.size(), true, ""});
    for (const auto& dependency : unconfirmed)
        check_in_store(dependency,
                       [this, pending, dependency, rejection](bool ok, const std::optional<JobView>& view) {
                           pending->ok = pending->ok && ok;
                           if (ok && !view) pending->never_accepted = dependency;
                           if (--pending->unanswered > 0) return;
                           if (!pending->never_accepted.empty())
                               return pending->respond(rejection(pending->never_accepted));
                           if (!pending->ok) return pending->respond(unavailable());
                           create(std::move(pending->spec), std::move(pending->respond));
                       });
}

void JobService::read_unknown_dependencies() {
    if (!feed_.loaded() || store_unreachable()) return;
    for (const auto& ref : cache_.jobs.dependency_graph().unknown_dependencies()) {
        if (dependency_reads_.size() >= kMaxConcurrentDependencyReads) return;
        if (!dependency_reads_.insert(ref).second) continue;
        store_.read(keys::job + ref, [this, ref](const ReadResult& result) {
            // A record that was not found is read again after a delay.
            runtime_.after(result.ok && result.found ? 0 : kSecond,
                           [this, ref] { dependency_reads_.erase(ref); });
            if (result.ok && result.found) cache_.apply(keys::job + ref, &result.value, result.mod_revision);
        });
    }
}

void JobService::create(JobSpec spec, ApiResponder respond) {
    if (!store_.is_reachable()) return respond(unavailable());
    const std::size_t size = stored_spec_size(spec);
    const std::string ref = spec.ref;
    const std::string shard = select_shard(spec);
    if (shard.empty()) return respond(unavailable());
    const DependencyStatus dependency_status = DependencyGraph::preview(
        spec, [this](const auto& dependency) { return cache_.jobs.outcome(dependency); });
    const std::string summary = spec.job_class + ", " + std::to_string(spec.tasks) + " tasks of about " +
                                std::to_string(spec.estimated_duration / kSecond) + " s for " + spec.team +
                                ", in " + shard;
    auto answer = [this, ref, summary, received_at = runtime_.now(),
                   respond = std::move(respond)](const Admission& admission) mutable {
        switch (admission.status) {
            case CommitStatus::Ok:
                cache_.apply(record_key(admission.record_location, ref), &admission.record,
                             admission.revision);
                spdlog::info("job {}: accepted in {} ms: {}", ref,
                             (runtime_.now() - received_at) / kMillisecond, summary);
                if (const JobView* view = find_view(ref); view && view->is_final())
                    return respond({201, wire::job_answer(ref, stage_name(*view))});
                return respond({201, wire::job_answer(ref, "pending")});
            case CommitStatus::Conflict:
            case CommitStatus::Unknown:
                return read_after_conflict(ref, 0,
                                           [ref, respond](bool ok, const std::optional<JobView>& view) {
                                               if (!ok || !view) return respond(unavailable());
                                               respond({200, wire::job_answer(ref, stage_name(*view))});
                                           });
            case CommitStatus::Unavailable:
            case CommitStatus::Rejected:
                return respond(unavailable());
        }
    };
    const bool best_effort = spec.priority_class == PriorityClass::Low;
    // In a shard held here the commit that admits the job also binds its tasks.
    if (ShardOwner* owner = assignment_.find(shard);
        owner && owner->active() && !dependency_status.cancelled_by_dependency)
        return owner->admit(std::move(spec), runtime_.wall_clock_ms(), dependency_status, answer);
    Json record{{"s", "queued"},
                {"dom", shard},
                {"k", spec.tasks},
                {"d", wire::job_value(spec)},
                {"at", runtime_.wall_clock_ms()},
                {"ps", compute_tasks_per_part(settings_.max_value_bytes, size + kRecordOverheadBytes)}};
    // A dependency is cancelled already: the job is accepted and is cancelled at once.
    if (dependency_status.cancelled_by_dependency)
        record = {{"s", "cancelled"}, {"dom", shard}, {"k", spec.tasks}, {"fd", 0}};
    const RecordLocation record_location = cache_.formats.is_read_by_all(format::kSeparateActiveRecords) &&
                                                   !dependency_status.cancelled_by_dependency
                                               ? RecordLocation::Active
                                               : RecordLocation::Job;
    Change change;
    change.conditions = {{keys::job + ref, 0}, {keys::active + ref, 0}};
    // An unfinished job may be added under c/job/ only while legacy writes are not closed.
    if (record_location == RecordLocation::Job && !dependency_status.cancelled_by_dependency)
        change.conditions.push_back({keys::history, 0});
    change.writes.push_back({record_key(record_location, ref), record});
    change.priority = best_effort ? Priority::Normal : Priority::Urgent;
    change.purpose = "admit";
    store_.commit(std::move(change),
                  [answer = std::move(answer), record, record_location](const CommitResult& result) mutable {
                      answer({result.status, result.revision, record, record_location});
                  });
}

void JobService::poll(const std::string& ref, ApiResponder respond) {
    check_in_store(ref, [ref, respond = std::move(respond)](bool ok, const std::optional<JobView>& view) {
        if (!ok) return respond(unavailable());
        if (!view) return respond({404, Json::object()});
        respond({200, wire::job_state(ref, stage_name(*view), view->done, view->running)});
    });
}

void JobService::abort(const std::string& ref, int attempt, ApiResponder respond) {
    if (const JobView* view = find_view(ref); view && view->is_final())
        return respond({200, wire::job_answer(ref, stage_name(*view))});
    if (attempt >= kMaxAbortAttempts || store_unreachable()) return respond(unavailable());
    if (const LiveJob* live = cache_.jobs.find(ref);
        attempt == 0 && live && !cache_.has_only_legacy_record(ref))
        return cancel(ref, {live->record_location, live->record, live->mod_revision, live->legacy_revision},
                      attempt, std::move(respond));
    read_record(ref, [this, ref, attempt, respond = std::move(respond)](
                         bool ok, std::optional<StoredJob> found) mutable {
        if (!ok) return respond(unavailable());
        if (!found)  // never accepted, or its record is being moved between the keys
            return check_in_store(ref, [this, ref, attempt, respond = std::move(respond)](
                                           bool known, const std::optional<JobView>& view) mutable {
                if (!known) return respond(unavailable());
                if (!view) return respond({404, Json::object()});
                abort(ref, attempt + 1, std::move(respond));
            });
        const JobView view = JobView::from_record(found->record, found->mod_revision);
        if (view.is_final()) {
            cache_.apply(record_key(found->record_location, ref), &found->record, found->mod_revision);
            return respond({200, wire::job_answer(ref, stage_name(view))});
        }
        // A process that has ended wrote this record late: the job is accepted only once the record is
        // moved.
        if (found->record_location == RecordLocation::Job && cache_.is_history_separated())
            return respond(unavailable());
        cancel(ref, std::move(*found), attempt, std::move(respond));
    });
}

void JobService::read_record(const std::string& ref,
                             std::function<void(bool, std::optional<StoredJob>)> done) {
    store_.read(keys::job + ref, [this, ref, done = std::move(done)](const ReadResult& job) {
        if (!job.ok) return done(false, std::nullopt);
        const bool is_final = job.found && JobView::from_record(job.value, job.mod_revision).is_final();
        if (is_final || !cache_.formats.is_read_by_all(format::kSeparateActiveRecords)) {
            if (!job.found) return done(true, std::nullopt);
            return done(true, StoredJob{RecordLocation::Job, job.value, job.mod_revision, 0});
        }
        store_.read(keys::active + ref, [job, done](const ReadResult& active) {
            if (!active.ok) return done(false, std::nullopt);
            if (active.found)
                return done(true, StoredJob{RecordLocation::Active, active.value, active.mod_revision,
                                            job.mod_revision});
            if (!job.found) return done(true, std::nullopt);
            done(true, StoredJob{RecordLocation::Job, job.value, job.mod_revision, 0});
        });
    });
}

/// Cancels by a conditional commit on the job's record. It races with commits that bind tasks; the loser gets
/// a conflict and sees the other change.
void JobService::cancel(const std::string& ref, StoredJob job, int attempt, ApiResponder respond) {
    job.record["s"] = "cancelled";
    const std::string key = record_key(job.record_location, ref);
    Change change;
    change.conditions =
        JobCache::unchanged_conditions(ref, job.record_location, job.mod_revision, job.legacy_revision);
    change.writes.push_back({key, job.record});
    change.priority = Priority::Urgent;
    change.purpose = "cancel";
    store_.commit(std::move(change), [this, ref, key, attempt, record = std::move(job.record),
                                      respond = std::move(respond)](const CommitResult& result) mutable {
        if (result.status == CommitStatus::Ok) {
            spdlog::info("job {}: cancelled by its user", ref);
            cache_.apply(key, &record, result.revision);
            return respond({200, wire::job_answer(ref, "cancelled")});
        }
        if (result.status == CommitStatus::Conflict || result.status == CommitStatus::Unknown)
            return abort(ref, attempt + 1, std::move(respond));
        respond(unavailable());
    });
}

/// Polls have lower priority than reports, leases, submissions and placement. They are rejected with a random
/// retry delay while the process lags behind its timers, or when too many already wait for the same refresh
/// of the cache.
bool JobService::too_busy_for_polls(Micros timer_lag) {
    const auto max_waiting =
        std::clamp<std::size_t>(static_cast<std::size_t>(kMaxWaitingPollsPerCore * settings_.cpu_cores),
                                kMinWaitingPollLimit, kMaxWaitingPollLimit);
    if (timer_lag < kMaxTimerLagForPolls && feed_.waiter_count() < max_waiting) return false;
    ++rejected_polls_;
    if (runtime_.now() - shedding_logged_at_ > 10 * kSecond) {
        shedding_logged_at_ = runtime_.now();
        spdlog::info("rejecting polls because of load, {} so far: {} waiting, timer lag {} ms",
                     rejected_polls_, feed_.waiter_count(), timer_lag / kMillisecond);
    }
    return true;
}

/// An outage of the state service affects all nodes, and leaving the load balancer would only delay the
/// recovery. The node is unhealthy only if the state service answers another node.
bool JobService::is_healthy() const {
    if (!feed_.loaded() || cache_.machine_types.empty()) return false;
    if (feed_.confirmed_age() < kUnhealthyAfter) return true;
    for (std::size_t i = 0; i < peers_.count(); ++i)
        if (const auto* peer_status = peers_.recent_status(i, kUnhealthyAfter);
            peer_status && peer_status->state.confirmed_age < kUnhealthyAfter / 2)
            return false;
    return true;
}

/// Returns whether the store is known to be unreachable, so that users get an error without a further
/// attempt.
bool JobService::store_unreachable() const {
    return !store_.is_reachable() && runtime_.now() - store_.last_contact() > kSecond;
}

void JobService::check_in_store(const std::string& ref, CheckHandler done) {
    const JobView* view = find_view(ref);
    if (view && view->is_final()) return done(true, *view);
    if (store_unreachable()) return done(false, std::nullopt);
    if (cache_.has_only_legacy_record(ref)) return done(false, std::nullopt);
    // Its final record may be under c/job/, which a resync does not read.
    if (view && cache_.jobs.is_unverified(ref))
        return job_archiver_.verify_unfinished({ref}, false,
                                               [this, ref, done = std::move(done)](bool known) mutable {
                                                   if (!known || cache_.jobs.is_unverified(ref))
                                                       return done(false, std::nullopt);
                                                   check_in_store(ref, std::move(done));
                                               });
    if (view) {
        // The next refresh proves that the cache is up to date then, for the job's dependencies as well.
        feed_.after_next_refresh([this, ref, done = std::move(done)](bool ok) {
            const JobView* current = find_view(ref);
            const auto is_unverified = [this](const std::string& name) {
                return cache_.jobs.is_unverified(name);
            };
            if (!ok || !current ||
                cache_.jobs.dependency_graph().is_cancellation_uncertain(ref, is_unverified))
                return done(false, std::nullopt);
            done(true, *current);
        });
        return;
    }
    Change absence_check;
    absence_check.conditions = {{keys::job + ref, 0}, {keys::active + ref, 0}};
    store_.commit(std::move(absence_check),
                  [this, ref, done = std::move(done)](const CommitResult& result) mutable {
                      if (result.status == CommitStatus::Ok) return done(true, std::nullopt);
                      if (result.status == CommitStatus::Conflict)
                          return read_after_conflict(ref, 0, std::move(done));
                      done(false, std::nullopt);
                  });
}

void JobService::read_after_conflict(const std::string& ref, int attempt, CheckHandler done) {
    read_record(ref, [this, ref, attempt, done = std::move(done)](bool ok,
                                                                  std::optional<StoredJob> found) mutable {
        if (!ok && attempt < 1 && store_.is_reachable())
            return read_after_conflict(ref, attempt + 1, std::move(done));
        // The job exists, so a missing record is being moved from one key to the other.
        if (!ok || !found) return done(false, std::nullopt);
        const JobView view = JobView::from_record(found->record, found->mod_revision);
        if (!view.is_final() && found->record_location == RecordLocation::Job &&
            cache_.is_history_separated())
            return done(false, std::nullopt);
        const Json* spec = wire::find(found->record, "d");
        if (!view.is_final() && spec && wire::find(*spec, "warp")) {
            // The record does not tell whether a dependency is cancelled. A job that the change feed has
            // delivered is not updated from this read: the shard owner here relies on the order of the
            // feed.
            if (!cache_.jobs.find(ref))
                cache_.apply(record_key(found->record_location, ref), &found->record, found->mod_revision);
            else
                cache_.jobs.remember(ref, view);
            if (cache_.jobs.dependency_graph().dependency_status(ref).cancelled_by_dependency)
                return done(true, view.as_cancelled());
            return check_in_store(ref, std::move(done));
        }
        cache_.jobs.remember(ref, view);
        done(true, view);
    });
}

/// Selects the shard of a new job: the one with the largest share of free capacity, not counting the capacity
/// that the jobs waiting there need, nor that of the jobs sent there since its holder last reported its load.
/// A shard held here gets a small bonus because it learns of the job at once. Production jobs may preempt
/// others, so only other production jobs count for them. If no machines are known a random shard is chosen.
std::string JobService::select_shard(const JobSpec& spec) {
    // The shard of a dependency: the commit that finishes the dependency can start this job there.
    for (const auto& dependency : spec.dependencies) {
        const LiveJob* live = cache_.jobs.find(dependency);
        const OwnershipRecord* shard = live ? cache_.membership.shard(live->shard) : nullptr;
        if (shard && cache_.membership.is_alive(shard->holder)) return live->shard;
    }
    const Milli needed_cores =
        scheduling::gpu_bound_cores(spec.request, cache_.machine_types.types()) * spec.tasks;
    std::vector<std::string> candidates;
    std::string best_shard;
    double best_share = 0;
    for (const auto& [name, shard] : cache_.membership.shards()) {
        if (!cache_.membership.is_alive(shard.holder)) continue;
        candidates.push_back(name);
        const Milli capacity = cache_.capacity_of(name);
        if (capacity == 0) continue;
        std::optional<peer::ShardLoad> load;
        if (const ShardOwner* owner = assignment_.find(name)) {
            if (owner->active()) load = owner->load();
        } else if (const auto* reported_load = peers_.shard_load(name)) {
            load = *reported_load;
        }
        Milli free_cores = 0, reference_cores = capacity;
        if (load && spec.priority_class == PriorityClass::Production) {
            free_cores = (spec.spot ? load->capacity : load->ordinary) - load->production;
            reference_cores = std::max<Milli>(spec.spot ? load->capacity : load->ordinary, 1);
        } else if (load) {
            free_cores = load->free_ordinary + (spec.spot ? load->free_spot : 0) - load->waiting;
        }
        if (!assignment_.find(name)) free_cores -= peers_.cores_sent_to(name);
        double share = static_cast<double>(free_cores) / static_cast<double>(reference_cores) +
                       (shard.holder == settings_.node ? kLocalShardBonus : 0.0);
        // A job of high priority goes to a shard that recently used its image, if there is free
        // capacity for all of it.
        if (spec.priority_class <= PriorityClass::High && free_cores >= needed_cores)
            if (const Micros last_used = cache_.jobs.image_last_used(spec.image, name);
                last_used > 0 && runtime_.now() - last_used < kImageCachedFor)
                share += 1.0;
        if (!best_shard.empty() && share <= best_share) continue;
        best_shard = name;
        best_share = share;
    }
    if (best_shard.empty() && !candidates.empty()) return candidates[runtime_.random()() % candidates.size()];
    if (!best_shard.empty()) peers_.add_cores_sent(best_shard, needed_cores);
    return best_shard;
}

}  // namespace cottonway
