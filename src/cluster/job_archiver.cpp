#include "cluster/job_archiver.hpp"

#include <memory>
#include <utility>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr std::size_t kMaxOutcomeReads = 8;
}  // namespace

void JobArchiver::verify_unfinished(const std::vector<std::string>& refs, bool delete_stale,
                                    std::function<void(bool)> done) {
    struct Verification {
        std::size_t outstanding = 0;
        bool all_known = true;
        std::function<void(bool)> done;
    };
    auto verification = std::make_shared<Verification>(Verification{refs.size(), true, std::move(done)});
    if (refs.empty()) return runtime_.after(0, [verification] { verification->done(true); });
    auto on_job_verified = [verification](bool known) {
        verification->all_known = verification->all_known && known;
        if (--verification->outstanding == 0) verification->done(verification->all_known);
    };
    for (const auto& ref : refs) {
        const LiveJob* job = cache_.jobs.find(ref);
        const Revision legacy_revision = job ? job->legacy_revision : 0;
        // Comparisons without writes: many of them fit into one request, and none counts as a change.
        Change compare;
        compare.conditions.push_back({keys::job + ref, legacy_revision});
        store_.commit(std::move(compare), [this, ref, legacy_revision, delete_stale,
                                           on_job_verified](const CommitResult& result) {
            if (result.status == CommitStatus::Conflict)
                return read_final_record(ref, delete_stale, on_job_verified);
            if (result.status == CommitStatus::Ok) cache_.jobs.mark_verified_unfinished(ref, legacy_revision);
            on_job_verified(result.status == CommitStatus::Ok);
        });
    }
}

void JobArchiver::read_final_record(const std::string& ref, bool delete_stale,
                                    std::function<void(bool)> done) {
    store_.read(keys::job + ref, [this, ref, delete_stale, done = std::move(done)](const ReadResult& result) {
        const LiveJob* job = cache_.jobs.find(ref);
        if (!result.ok || !job) return done(result.ok);
        if (result.found && !wire::find(result.value, "d")) {
            if (delete_stale && job->record_location == RecordLocation::Active)
                stale_records_.push_back({keys::active + ref, job->mod_revision});
            cache_.apply(keys::job + ref, &result.value, result.mod_revision);
        } else if (job->record_location == RecordLocation::Active) {
            // A record of the old format that was written late does not count.
            cache_.jobs.mark_verified_unfinished(ref, result.mod_revision);
        }
        done(true);
    });
}

void JobArchiver::tick() {
    if (!feed_.loaded()) return;
    read_lost_jobs();
    verify_dependencies();
    delete_stale_records();
    separate_history();
}

/// Reads the outcome of jobs whose records under c/active/ were deleted without the change feed having
/// delivered their final records.
void JobArchiver::read_lost_jobs() {
    const std::set<std::string> lost = cache_.jobs.jobs_missing_record();
    for (const auto& ref : lost) read_outcome(ref, reading_lost_);
}

bool JobArchiver::knows_outcomes_of(const Report& report) {
    const auto unknown = cache_.jobs.unknown_jobs(report);
    for (const auto& ref : unknown)
        if (feed_.loaded() && read_outcome(ref, reading_unknown_))
            spdlog::info("event=job_unknown job={} machine={} token={}", ref, report.machine, report.token);
    return unknown.empty();
}

/// Reads the outcome of a job whose record is not under c/active/, or not known to be there.
bool JobArchiver::read_outcome(const std::string& ref, std::set<std::string>& reading) {
    if (reading.size() >= kMaxOutcomeReads || !reading.insert(ref).second) return false;
    store_.read(keys::job + ref, [this, ref, &reading](const ReadResult& result) {
        const bool final = result.ok && result.found && !wire::find(result.value, "d");
        if (final) cache_.apply(keys::job + ref, &result.value, result.mod_revision);
        // The change feed will deliver an unfinished job that is not known yet.
        if (final || !result.ok || !cache_.jobs.find(ref))
            return runtime_.after(kSecond, [&reading, ref] { reading.erase(ref); });
        // The job may have been admitted while all records were being read.
        store_.read(keys::active + ref, [this, ref, &reading](const ReadResult& active) {
            if (active.ok && active.found)
                cache_.apply(keys::active + ref, &active.value, active.mod_revision);
            runtime_.after(kSecond, [&reading, ref] { reading.erase(ref); });
        });
    });
    return true;
}

/// Verifies jobs that other jobs depend on, since their outcome decides whether those jobs may start.
void JobArchiver::verify_dependencies() {
    if (verifying_) return;
    const auto refs = cache_.jobs.unverified_dependencies();
    if (refs.empty()) return;
    verifying_ = true;
    verify_unfinished(refs, false, [this](bool) { verifying_ = false; });
}

void JobArchiver::delete_stale_records() {
    while (!stale_records_.empty() && store_.has_write_budget(Priority::Deferrable)) {
        const Condition stale = stale_records_.back();
        stale_records_.pop_back();
        store_.commit(JobCache::deletion_change(stale), [](const CommitResult&) {});
    }
}

/// Advances the history record towards State::Complete. The leader first closes history to records of the old
/// format: admitting one is conditional on the history record not existing, so none is admitted any more. If
/// a refresh begun after that shows no such record, none can exist, and history is marked as separated for
/// good.
void JobArchiver::separate_history() {
    if (writing_history_ || cache_.is_history_separated() || !election_.is_leader() ||
        !cache_.formats.is_read_by_all(format::kSeparateActiveRecords) ||
        !store_.has_write_budget(Priority::Deferrable))
        return;
    using State = StateCache::HistorySeparation;
    const Revision mod_revision = cache_.history_revision();
    State next = State::LegacyWritesClosed;
    if (cache_.legacy_writes_closed()) {
        if (refreshed_since_closing_ != mod_revision) {
            writing_history_ = true;
            return feed_.after_next_refresh([this, mod_revision](bool ok) {
                writing_history_ = false;
                if (ok) refreshed_since_closing_ = mod_revision;
            });
        }
        if (cache_.jobs.legacy_record_count() > 0) return;
        next = State::Complete;
    }
    writing_history_ = true;
    const Json value = StateCache::history_value(next);
    Change change;
    change.conditions = {{keys::leader, election_.term()}, {keys::history, mod_revision}};
    change.writes.push_back({keys::history, value});
    change.purpose = "history";
    store_.commit(std::move(change), [this, value, next](const CommitResult& result) {
        if (result.status == CommitStatus::Ok) {
            cache_.apply(keys::history, &value, result.revision);
            spdlog::info("history is {}", next == State::Complete
                                              ? "separated: a starting controller reads unfinished jobs only"
                                              : "closed to records of the old format");
        }
        feed_.after_next_refresh([this](bool) { writing_history_ = false; });
    });
}

}  // namespace cottonway
