#include "cache/job_cache.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kWeighGuarantees = 100 * kMillisecond;

void keep_newest(JobView& view, const JobView& other) {
    if (view.superseded_by(other)) view = other;
}
}  // namespace

std::vector<Condition> JobCache::as_known(const std::string& ref, RecordLocation place, Revision mod_revision,
                                          Revision legacy_revision) {
    std::vector<Condition> when{{record_key(place, ref), mod_revision}};
    if (place == RecordLocation::Active) when.push_back({keys::job + ref, legacy_revision});
    return when;
}

Change JobCache::dropped(const Condition& left) {
    Change change;
    change.priority = Priority::Deferrable;
    change.conditions.push_back(left);
    change.writes.push_back({left.key, Json()});
    change.purpose = "history";
    return change;
}

bool JobCache::take(const std::string& ref, RecordLocation place, const Json& value, Revision mod_revision,
                    Micros now) {
    JobView view = JobView::of(value, mod_revision);
    if (auto live = live_.find(ref); live != live_.end() && place == RecordLocation::Job &&
                                     live->second.place == RecordLocation::Active && !view.final()) {
        // News of what it was before it was moved may come after the result of that.
        if (mod_revision > live->second.moved)
            live->second.legacy_revision = std::max(live->second.legacy_revision, mod_revision);
        return false;
    }
    if (outdated(ref, place, view)) return false;
    if (view.final()) dependency_graph_.over(ref, view.stage == Stage::Done, view.ended_ms);
    guarantees_due_ = true;
    lost_.erase(ref);
    const Json* spec = wire::find(value, "d");
    if (!spec || view.stage == Stage::Done) {
        live_.erase(ref);
        remember(ref, view);
        return true;
    }
    auto [job, added] = live_.try_emplace(ref);
    if (added) describe(ref, job->second, value, *spec, view);
    // Cancelled with one before it, whatever its record says: nobody is told anything else any more.
    if (!view.final() && dependency_graph_.dependency_status(ref).cancelled_by_dependency)
        view = view.as_cancelled();
    update(job->second, place, value, view, now);
    return true;
}

/// What does not change of a live job.
void JobCache::describe(const std::string& ref, LiveJob& job, const Json& value, const Json& spec,
                        const JobView& view) {
    if (const JobView* read = finished_.find(ref)) job.view = *read;
    finished_.forget(ref);
    const auto submitted_ms = static_cast<std::int64_t>(wire::number(value, "at").value_or(0));
    job.since_ms =
        static_cast<std::int64_t>(wire::number(value, "go").value_or(static_cast<double>(submitted_ms)));
    const auto parsed = wire::parse_job(spec).spec;
    if (!parsed) return;
    if (!view.final())
        dependency_graph_.put(*parsed, submitted_ms, [this](const auto& need) { return fate(need); });
    job.open = dependency_graph_.dependency_status(ref).open;
    job.team = parsed->team;
    job.request = parsed->request;
    job.image = parsed->image;
    job.spot = parsed->spot;
    job.rank = parsed->priority_class;
    job.types = parsed->types;
    job.zone = parsed->zone;
    job.kind = parsed->kind;
}

/// What a newer record of a live job tells.
void JobCache::update(LiveJob& job, RecordLocation place, const Json& value, const JobView& view,
                      Micros now) {
    job.record = value;
    job.mod_revision = view.mod_revision;
    // What stood under c/job/ was dropped by the change that moved it.
    if (place == RecordLocation::Active && job.place == RecordLocation::Job) {
        job.legacy_revision = 0;
        if (!reading_) job.moved = view.mod_revision;
    }
    job.place = place;
    // Every change of it rests on there being no final record, so news of one proves that.
    job.proven = place == RecordLocation::Job || !reading_;
    job.shard = wire::text(value, "dom").value_or("");
    if (view.running > 0) image_seen_[{job.image, job.shard}] = now;
    job.tasks = view.tasks;
    job.done = view.done;
    job.running = view.running;
    job.cancelled = view.stage == Stage::Cancelled;
    job.backing_off = wire::flag(value, "er").value_or(false);
    keep_newest(job.view, view);
}

/// News of our own earlier writes may come after their results, and a record that was read may have been
/// overtaken by the news: what is older than known is dropped.
bool JobCache::outdated(const std::string& ref, RecordLocation place, const JobView& view) const {
    if (const JobView* old = known(ref)) return old->mod_revision > view.mod_revision;
    // All that is live as of the watermark is known, so this one has ended since.
    return !reading_ && place == RecordLocation::Active && !view.final() && view.mod_revision <= watermark_;
}

bool JobCache::take_part(const std::string& ref, std::size_t part, const Json* value, Revision mod_revision) {
    auto job = live_.find(ref);
    if (job == live_.end()) return false;
    if (!value) {
        job->second.parts.erase(part);
        return false;
    }
    auto& held = job->second.parts[part];
    if (held.second >= mod_revision) return false;
    held = {*value, mod_revision};
    return true;
}

void JobCache::on_record_removed(const std::string& ref) {
    auto live = live_.find(ref);
    if (live != live_.end() && live->second.place == RecordLocation::Active) lost_.insert(ref);
}

void JobCache::on_resync_begin() {
    reading_ = true;
    for (auto& [ref, job] : live_)
        if (job.place == RecordLocation::Active) job.proven = false;
}

void JobCache::on_resync_end(const std::function<bool(const std::string& key)>& seen, bool with_history) {
    reading_ = false;
    for (auto& [ref, job] : live_) {
        if (job.place != RecordLocation::Active) continue;
        if (!seen(keys::active + ref)) lost_.insert(ref);
        job.proven = job.proven || with_history;
    }
}

void JobCache::prove(const std::string& ref, Revision legacy_revision) {
    auto live = live_.find(ref);
    if (live == live_.end() || live->second.place != RecordLocation::Active) return;
    live->second.legacy_revision = legacy_revision;
    live->second.proven = true;
}

bool JobCache::unproven(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job && (!job->proven || lost_.count(ref) > 0);
}

std::vector<std::string> JobCache::needed_unproven() const {
    std::vector<std::string> out;
    for (const auto& ref : dependency_graph_.waiting())
        for (const auto& need : dependency_graph_.waits_for(ref))
            if (unproven(need)) out.push_back(need);
    return out;
}

std::size_t JobCache::in_old_form() const {
    return static_cast<std::size_t>(std::count_if(
        live_.begin(), live_.end(), [](const auto& j) { return j.second.place == RecordLocation::Job; }));
}

const LiveJob* JobCache::find(const std::string& ref) const {
    auto it = live_.find(ref);
    return it == live_.end() ? nullptr : &it->second;
}

void JobCache::remember(const std::string& ref, const JobView& view) {
    if (auto live = live_.find(ref); live != live_.end())
        keep_newest(live->second.view, view);
    else if (view.final())
        finished_.remember(ref, view);
}

void JobCache::set_watermark(Revision watermark) {
    watermark_ = std::max(watermark_, watermark);
    finished_.set_watermark(watermark);
}

JobFinality JobCache::finality(const std::string& ref) const {
    if (const LiveJob* job = find(ref)) {
        if (job->cancelled || job->view.final()) return JobFinality::Finished;
        if (dependency_graph_.dependency_status(ref).cancelled_by_dependency) return JobFinality::Finished;
        // Its record is gone, and what became of it is being read.
        return lost_.count(ref) > 0 ? JobFinality::Unknown : JobFinality::Unfinished;
    }
    return finished_.find(ref) ? JobFinality::Finished : JobFinality::Unknown;
}

bool JobCache::recorded_as_cancelled(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job && wire::text(job->record, "s") == "cancelled";
}

std::vector<Order> JobCache::stops_for_finished_jobs(const Report& report) const {
    std::vector<Order> orders;
    for (const auto& t : report.tasks)
        if (t.phase != Phase::Exited && finality(t.job) == JobFinality::Finished)
            orders.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
    return orders;
}

std::vector<std::string> JobCache::unknown_jobs(const Report& report) const {
    std::vector<std::string> unknown;
    for (const auto& t : report.tasks)
        if (t.phase != Phase::Exited && finality(t.job) == JobFinality::Unknown) unknown.push_back(t.job);
    return unknown;
}

const JobView* JobCache::known(const std::string& ref) const {
    const LiveJob* job = find(ref);
    return job ? &job->view : finished_.find(ref);
}

DependencyGraph::Known JobCache::fate(const std::string& ref) const {
    if (const JobView* view = known(ref); view && view->final())
        return {view->stage == Stage::Done ? DependencyGraph::Fate::Done : DependencyGraph::Fate::Cancelled,
                view->ended_ms};
    if (const LiveJob* job = find(ref))
        return {job->cancelled ? DependencyGraph::Fate::Cancelled : DependencyGraph::Fate::Open, 0};
    // Known only from having been asked after: it may be over without having been in the news.
    return {};
}

void JobCache::settle(const std::string& ref) {
    auto live = live_.find(ref);
    if (live == live_.end()) return;
    const DependencyStatus s = dependency_graph_.dependency_status(ref);
    LiveJob& job = live->second;
    if (s.cancelled_by_dependency && !job.cancelled) {
        job.cancelled = true;
        spdlog::info("job {}: cancelled with {}", ref, dependency_graph_.cancelled_with(ref));
        keep_newest(job.view, job.view.as_cancelled());
    }
    if (s.open && !std::exchange(job.open, true)) {
        if (s.since_ms > 0) job.since_ms = std::max(job.since_ms, s.since_ms);
        spdlog::info("job {}: all that it needs are done, its gate is open", ref);
    }
    guarantees_due_ = true;
}

bool JobCache::within_guarantee(const std::string& ref, Micros now) {
    if (guarantees_due_ && now - guarantees_at_ >= kWeighGuarantees) {
        guarantees_due_ = false;
        guarantees_at_ = now;
        weigh_guarantees();
    }
    auto job = live_.find(ref);
    return job != live_.end() && job->second.guaranteed;
}

/// The earlier jobs of a team take of its guarantee first.
void JobCache::weigh_guarantees() {
    std::vector<LiveJob*> order;
    for (auto& [name, job] : live_) {
        job.guaranteed = false;
        if (!job.cancelled && job.open) order.push_back(&job);
    }
    // Among those of the same time by name, as they are listed.
    std::stable_sort(order.begin(), order.end(),
                     [](const LiveJob* a, const LiveJob* b) { return a->since_ms < b->since_ms; });
    std::map<std::string, Resources> left;
    for (const auto& t : settings_.teams) left[t.name] = t.guarantee;
    for (LiveJob* job : order) {
        Resources& room = left[job->team];
        const int tasks = std::max(job->tasks - job->done, 0);
        room -= {job->request.cores * tasks, job->request.gpus * tasks, 0};
        job->guaranteed = room.cores >= 0 && room.gpus >= 0;
    }
}

Micros JobCache::image_seen(const std::string& image, const std::string& shard) const {
    auto it = image_seen_.find({image, shard});
    return it == image_seen_.end() ? 0 : it->second;
}

void JobCache::forget_images(Micros before) {
    std::erase_if(image_seen_, [before](const auto& i) { return i.second < before; });
}

}  // namespace cottonway
