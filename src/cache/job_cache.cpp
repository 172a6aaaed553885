#include "cache/job_cache.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kGuaranteesInterval = 100 * kMillisecond;

void replace_if_newer(JobView& view, const JobView& other) {
    if (view.is_superseded_by(other)) view = other;
}
}  // namespace

std::vector<Condition> JobCache::unchanged_conditions(const std::string& ref, RecordLocation record_location,
                                                      Revision mod_revision, Revision legacy_revision) {
    std::vector<Condition> conditions{{record_key(record_location, ref), mod_revision}};
    if (record_location == RecordLocation::Active) conditions.push_back({keys::job + ref, legacy_revision});
    return conditions;
}

Change JobCache::deletion_change(const Condition& leftover) {
    Change change;
    change.priority = Priority::Deferrable;
    change.conditions.push_back(leftover);
    change.writes.push_back({leftover.key, Json()});
    change.purpose = "history";
    return change;
}

bool JobCache::apply(const std::string& ref, RecordLocation record_location, const Json& value,
                     Revision mod_revision, Micros now) {
    JobView view = JobView::from_record(value, mod_revision);
    if (auto live = live_.find(ref); live != live_.end() && record_location == RecordLocation::Job &&
                                     live->second.record_location == RecordLocation::Active &&
                                     !view.is_final()) {
        // An update from before the move to c/active/ may arrive after the result of the move.
        if (mod_revision > live->second.moved_revision)
            live->second.legacy_revision = std::max(live->second.legacy_revision, mod_revision);
        return false;
    }
    if (is_outdated(ref, record_location, view)) return false;
    if (view.is_final()) dependency_graph_.mark_finished(ref, view.stage == Stage::Done, view.ended_ms);
    guarantees_due_ = true;
    jobs_missing_record_.erase(ref);
    const Json* spec = wire::find(value, "d");
    if (!spec || view.stage == Stage::Done) {
        live_.erase(ref);
        remember(ref, view);
        return true;
    }
    auto [job, added] = live_.try_emplace(ref);
    if (added) init_live_job(ref, job->second, value, *spec, view);
    // A job that is cancelled by a dependency is shown as cancelled, whatever its own record says.
    if (!view.is_final() && dependency_graph_.dependency_status(ref).cancelled_by_dependency)
        view = view.as_cancelled();
    update_live_job(job->second, record_location, value, view, now);
    return true;
}

/// Sets the fields of a live job that never change.
void JobCache::init_live_job(const std::string& ref, LiveJob& job, const Json& value, const Json& spec,
                             const JobView& view) {
    if (const JobView* finished_view = finished_.find(ref)) job.view = *finished_view;
    finished_.forget(ref);
    const auto submitted_ms = static_cast<std::int64_t>(wire::number(value, "at").value_or(0));
    job.eligible_since_ms =
        static_cast<std::int64_t>(wire::number(value, "go").value_or(static_cast<double>(submitted_ms)));
    const auto parsed = wire::parse_job(spec).spec;
    if (!parsed) return;
    if (!view.is_final())
        dependency_graph_.add_job(*parsed, submitted_ms,
                                  [this](const auto& dependency) { return outcome(dependency); });
    job.dependencies_met = dependency_graph_.dependency_status(ref).dependencies_met;
    job.team = parsed->team;
    job.request = parsed->request;
    job.image = parsed->image;
    job.spot = parsed->spot;
    job.priority = parsed->priority_class;
    job.allowed_types = parsed->types;
    job.required_zone = parsed->zone;
    job.kind = parsed->kind;
}

/// Sets the fields of a live job that follow from its newest record.
void JobCache::update_live_job(LiveJob& job, RecordLocation record_location, const Json& value,
                               const JobView& view, Micros now) {
    job.record = value;
    job.mod_revision = view.mod_revision;
    // The commit that moved the record also deleted the one under c/job/.
    if (record_location == RecordLocation::Active && job.record_location == RecordLocation::Job) {
        job.legacy_revision = 0;
        if (!resync_in_progress_) job.moved_revision = view.mod_revision;
    }
    job.record_location = record_location;
    // Every change of a record under c/active/ is conditional on there being no final record, so an update
    // from the change feed proves that there was none.
    job.verified_unfinished = record_location == RecordLocation::Job || !resync_in_progress_;
    job.shard = wire::text(value, "dom").value_or("");
    if (view.running > 0) image_last_used_[{job.image, job.shard}] = now;
    job.tasks = view.tasks;
    job.done = view.done;
    job.running = view.running;
    job.cancelled = view.stage == Stage::Cancelled;
    job.backing_off = wire::flag(value, "er").value_or(false);
    replace_if_newer(job.view, view);
}

/// Returns whether a view is older than the known state. The change feed may deliver our own writes after
/// their results, and it may overtake the result of a read.
bool JobCache::is_outdated(const std::string& ref, RecordLocation record_location,
                           const JobView& view) const {
    if (const JobView* known = find_view(ref)) return known->mod_revision > view.mod_revision;
    // All jobs that are live at the watermark are cached, so this one has finished since.
    return !resync_in_progress_ && record_location == RecordLocation::Active && !view.is_final() &&
           view.mod_revision <= watermark_;
}

bool JobCache::apply_part(const std::string& ref, std::size_t part, const Json* value,
                          Revision mod_revision) {
    auto job = live_.find(ref);
    if (job == live_.end()) return false;
    if (!value) {
        job->second.parts.erase(part);
        return false;
    }
    auto& known = job->second.parts[part];
    if (known.second >= mod_revision) return false;
    known = {*value, mod_revision};
    return true;
}

void JobCache::on_record_removed(const std::string& ref) {
    auto live = live_.find(ref);
    if (live != live_.end() && live->second.record_location == RecordLocation::Active)
        jobs_missing_record_.insert(ref);
}

void JobCache::on_resync_begin() {
    resync_in_progress_ = true;
    for (auto& [ref, job] : live_)
        if (job.record_location == RecordLocation::Active) job.verified_unfinished = false;
}

void JobCache::on_resync_end(const std::function<bool(const std::string& key)>& seen, bool with_history) {
    resync_in_progress_ = false;
    for (auto& [ref, job] : live_) {
        if (job.record_location != RecordLocation::Active) continue;
        if (!seen(keys::active + ref)) jobs_missing_record_.insert(ref);
        job.verified_unfinished = job.verified_unfinished || with_history;
    }
}

void JobCache::mark_verified_unfinished(const std::string& ref, Revision legacy_revision) {
    auto live = live_.find(ref);
    if (live == live_.end() || live->second.record_location != RecordLocation::Active) return;
    live->second.legacy_revision = legacy_revision;
    live->second.verified_unfinished = true;
}

bool JobCache::is_unverified(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job && (!job->verified_unfinished || jobs_missing_record_.count(ref) > 0);
}

std::vector<std::string> JobCache::unverified_dependencies() const {
    std::vector<std::string> out;
    for (const auto& ref : dependency_graph_.waiting_jobs())
        for (const auto& dependency : dependency_graph_.unfinished_dependencies(ref))
            if (is_unverified(dependency)) out.push_back(dependency);
    return out;
}

std::size_t JobCache::legacy_record_count() const {
    return static_cast<std::size_t>(std::count_if(live_.begin(), live_.end(), [](const auto& entry) {
        return entry.second.record_location == RecordLocation::Job;
    }));
}

const LiveJob* JobCache::find(const std::string& ref) const {
    auto it = live_.find(ref);
    return it == live_.end() ? nullptr : &it->second;
}

void JobCache::remember(const std::string& ref, const JobView& view) {
    if (auto live = live_.find(ref); live != live_.end())
        replace_if_newer(live->second.view, view);
    else if (view.is_final())
        finished_.remember(ref, view);
}

void JobCache::set_watermark(Revision watermark) {
    watermark_ = std::max(watermark_, watermark);
    finished_.set_watermark(watermark);
}

JobFinality JobCache::finality(const std::string& ref) const {
    if (const LiveJob* job = find(ref)) {
        if (job->cancelled || job->view.is_final()) return JobFinality::Finished;
        if (dependency_graph_.dependency_status(ref).cancelled_by_dependency) return JobFinality::Finished;
        // Its record was deleted, and its outcome is being read.
        return jobs_missing_record_.count(ref) > 0 ? JobFinality::Unknown : JobFinality::Unfinished;
    }
    return finished_.find(ref) ? JobFinality::Finished : JobFinality::Unknown;
}

bool JobCache::recorded_as_cancelled(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job && wire::text(job->record, "s") == "cancelled";
}

std::vector<Order> JobCache::stops_for_finished_jobs(const Report& report) const {
    std::vector<Order> orders;
    for (const auto& task : report.tasks)
        if (task.phase != Phase::Exited && finality(task.job) == JobFinality::Finished)
            orders.push_back({OrderKind::Stop, task.job, task.task, task.attempt, 0});
    return orders;
}

std::vector<std::string> JobCache::unknown_jobs(const Report& report) const {
    std::vector<std::string> unknown;
    for (const auto& task : report.tasks)
        if (task.phase != Phase::Exited && finality(task.job) == JobFinality::Unknown)
            unknown.push_back(task.job);
    return unknown;
}

const JobView* JobCache::find_view(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job ? &job->view : finished_.find(ref);
}

DependencyGraph::KnownOutcome JobCache::outcome(const std::string& ref) const {
    if (const JobView* view = find_view(ref); view && view->is_final())
        return {
            view->stage == Stage::Done ? DependencyGraph::Outcome::Done : DependencyGraph::Outcome::Cancelled,
            view->ended_ms};
    if (const LiveJob* job = find(ref))
        return {job->cancelled ? DependencyGraph::Outcome::Cancelled : DependencyGraph::Outcome::Unfinished,
                0};
    // Its record is not cached: it may have finished without an update of it being received.
    return {};
}

void JobCache::apply_dependency_status(const std::string& ref) {
    auto live = live_.find(ref);
    if (live == live_.end()) return;
    const DependencyStatus status = dependency_graph_.dependency_status(ref);
    LiveJob& job = live->second;
    if (status.cancelled_by_dependency && !job.cancelled) {
        job.cancelled = true;
        spdlog::info("job {}: cancelled because its dependency {} is cancelled", ref,
                     dependency_graph_.cancelling_dependency(ref));
        replace_if_newer(job.view, job.view.as_cancelled());
    }
    if (status.dependencies_met && !std::exchange(job.dependencies_met, true)) {
        if (status.dependencies_met_ms > 0)
            job.eligible_since_ms = std::max(job.eligible_since_ms, status.dependencies_met_ms);
        spdlog::info("job {}: all dependencies are done, the job can start", ref);
    }
    guarantees_due_ = true;
}

bool JobCache::within_guarantee(const std::string& ref, Micros now) {
    if (guarantees_due_ && now - guarantees_computed_at_ >= kGuaranteesInterval) {
        guarantees_due_ = false;
        guarantees_computed_at_ = now;
        recompute_guarantees();
    }
    auto job = live_.find(ref);
    return job != live_.end() && job->second.within_guarantee;
}

/// Allots each team's guarantee to its jobs in the order in which they became eligible.
void JobCache::recompute_guarantees() {
    std::vector<LiveJob*> jobs_by_time;
    for (auto& [name, job] : live_) {
        job.within_guarantee = false;
        if (!job.cancelled && job.dependencies_met) jobs_by_time.push_back(&job);
    }
    // Stable: jobs with the same time stay in the order of their names.
    std::stable_sort(jobs_by_time.begin(), jobs_by_time.end(), [](const LiveJob* a, const LiveJob* b) {
        return a->eligible_since_ms < b->eligible_since_ms;
    });
    std::map<std::string, Resources> remaining_by_team;
    for (const auto& team : settings_.teams) remaining_by_team[team.name] = team.guarantee;
    for (LiveJob* job : jobs_by_time) {
        Resources& remaining = remaining_by_team[job->team];
        const int tasks = std::max(job->tasks - job->done, 0);
        remaining -= {job->request.cores * tasks, job->request.gpus * tasks, 0};
        job->within_guarantee = remaining.cores >= 0 && remaining.gpus >= 0;
    }
}

Micros JobCache::image_last_used(const std::string& image, const std::string& shard) const {
    auto it = image_last_used_.find({image, shard});
    return it == image_last_used_.end() ? 0 : it->second;
}

void JobCache::forget_images_before(Micros before) {
    std::erase_if(image_last_used_, [before](const auto& entry) { return entry.second < before; });
}

}  // namespace cottonway
