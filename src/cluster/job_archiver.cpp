#include "cluster/job_archiver.hpp"

#include <memory>
#include <utility>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr std::size_t kMaxReading = 8;
}  // namespace

void JobArchiver::prove(const std::vector<std::string>& refs, bool drop, std::function<void(bool)> done) {
    struct Asked {
        std::size_t missing = 0;
        bool known = true;
        std::function<void(bool)> done;
    };
    auto asked = std::make_shared<Asked>(Asked{refs.size(), true, std::move(done)});
    if (refs.empty()) return runtime_.after(0, [asked] { asked->done(true); });
    auto one = [asked](bool known) {
        asked->known = asked->known && known;
        if (--asked->missing == 0) asked->done(asked->known);
    };
    for (const auto& ref : refs) {
        const LiveJob* job = cache_.jobs.find(ref);
        const Revision legacy_revision = job ? job->legacy_revision : 0;
        // Many of these make one request, and none is a change.
        Change compare;
        compare.conditions.push_back({keys::job + ref, legacy_revision});
        store_.commit(std::move(compare), [this, ref, legacy_revision, drop, one](const CommitResult& r) {
            if (r.status == CommitStatus::Conflict) return read_final(ref, drop, one);
            if (r.status == CommitStatus::Ok) cache_.jobs.prove(ref, legacy_revision);
            one(r.status == CommitStatus::Ok);
        });
    }
}

void JobArchiver::read_final(const std::string& ref, bool drop, std::function<void(bool)> done) {
    store_.read(keys::job + ref, [this, ref, drop, done = std::move(done)](const ReadResult& r) {
        const LiveJob* job = cache_.jobs.find(ref);
        if (!r.ok || !job) return done(r.ok);
        if (r.found && !wire::find(r.value, "d")) {
            if (drop && job->place == RecordLocation::Active)
                stale_records_.push_back({keys::active + ref, job->mod_revision});
            cache_.take(keys::job + ref, &r.value, r.mod_revision);
        } else if (job->place == RecordLocation::Active) {
            cache_.jobs.prove(ref, r.mod_revision);  // of old form, and late: it counts for nothing
        }
        done(true);
    });
}

void JobArchiver::tick() {
    if (!feed_.loaded()) return;
    look_for_lost();
    prove_needed();
    drop_stale_records();
    set_apart();
}

/// Their records under c/active/ are gone, and what became of them was not in the news.
void JobArchiver::look_for_lost() {
    const std::set<std::string> lost = cache_.jobs.lost();
    for (const auto& ref : lost) read_outcome(ref, reading_lost_);
}

bool JobArchiver::knows_jobs_of(const Report& report) {
    const auto unknown = cache_.jobs.unknown_jobs(report);
    for (const auto& ref : unknown)
        if (feed_.loaded() && read_outcome(ref, reading_unknown_))
            spdlog::info("event=job_unknown job={} machine={} token={}", ref, report.machine, report.token);
    return unknown.empty();
}

/// What became of a job whose record is not under c/active/, or not known to be there.
bool JobArchiver::read_outcome(const std::string& ref, std::set<std::string>& reading) {
    if (reading.size() >= kMaxReading || !reading.insert(ref).second) return false;
    store_.read(keys::job + ref, [this, ref, &reading](const ReadResult& r) {
        const bool final = r.ok && r.found && !wire::find(r.value, "d");
        if (final) cache_.take(keys::job + ref, &r.value, r.mod_revision);
        // One that goes on and is not known yet will be in the news.
        if (final || !r.ok || !cache_.jobs.find(ref))
            return runtime_.after(kSecond, [&reading, ref] { reading.erase(ref); });
        // It may have been admitted while everything was read.
        store_.read(keys::active + ref, [this, ref, &reading](const ReadResult& a) {
            if (a.ok && a.found) cache_.take(keys::active + ref, &a.value, a.mod_revision);
            runtime_.after(kSecond, [&reading, ref] { reading.erase(ref); });
        });
    });
    return true;
}

/// The gates of others rest on these.
void JobArchiver::prove_needed() {
    if (proving_) return;
    const auto refs = cache_.jobs.needed_unproven();
    if (refs.empty()) return;
    proving_ = true;
    prove(refs, false, [this](bool) { proving_ = false; });
}

void JobArchiver::drop_stale_records() {
    while (!stale_records_.empty() && store_.has_write_budget(Priority::Deferrable)) {
        const Condition left = stale_records_.back();
        stale_records_.pop_back();
        store_.commit(JobCache::dropped(left), [](const CommitResult&) {});
    }
}

/// The leader closes history to records of old form first: nobody admits one any more, since that rests on
/// this record not being there. A look after that which shows none left tells that there is none, for good.
void JobArchiver::set_apart() {
    if (writing_ || cache_.history_apart() || !election_.leading() ||
        !cache_.formats.common(format::kHistory) || !store_.has_write_budget(Priority::Deferrable))
        return;
    using State = StateCache::History;
    const Revision mod_revision = cache_.history_mark();
    State next = State::Closed;
    if (cache_.history_closed()) {
        if (closed_seen_ != mod_revision) {
            writing_ = true;
            return feed_.after_next_refresh([this, mod_revision](bool ok) {
                writing_ = false;
                if (ok) closed_seen_ = mod_revision;
            });
        }
        if (cache_.jobs.in_old_form() > 0) return;
        next = State::Apart;
    }
    writing_ = true;
    const Json value = StateCache::history_value(next);
    Change change;
    change.conditions = {{keys::leader, election_.term()}, {keys::history, mod_revision}};
    change.writes.push_back({keys::history, value});
    change.purpose = "history";
    store_.commit(std::move(change), [this, value, next](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            cache_.take(keys::history, &value, r.revision);
            spdlog::info("history is {}", next == State::Apart ? "apart: a start reads live jobs only"
                                                               : "closed to records of old form");
        }
        feed_.after_next_refresh([this](bool) { writing_ = false; });
    });
}

}  // namespace cottonway
