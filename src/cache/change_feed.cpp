#include "cache/change_feed.hpp"

#include <algorithm>
#include <memory>

#include "kvstore/records.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {
// Share of the store's request rate that the refreshes of all controllers may use.
constexpr double kRefreshShareOfRequests = 0.25;
constexpr Micros kMinRefreshInterval = 50 * kMillisecond;
constexpr Micros kMaxRefreshInterval = 500 * kMillisecond;
constexpr Micros kRefreshTimeout = 1'500 * kMillisecond;
constexpr Micros kRetryDelay = 300 * kMillisecond;
}  // namespace

ChangeFeed::ChangeFeed(Runtime& runtime, StoreClient& store, const Settings& settings, Subscriber& subscriber)
    : runtime_(runtime),
      store_(store),
      subscriber_(subscriber),
      refresh_interval_(std::clamp(static_cast<Micros>(static_cast<double>(settings.peers.size() + 1) /
                                                       (kRefreshShareOfRequests * settings.state_rps) * 1e6),
                                   kMinRefreshInterval, kMaxRefreshInterval)) {}

void ChangeFeed::tick() {
    const Micros now = runtime_.now();
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (now - it->waiting_since < kRefreshTimeout &&
            (store_.is_reachable() || now - it->waiting_since < kMaxRefreshInterval)) {
            ++it;
            continue;
        }
        auto done = std::move(it->done);
        it = waiters_.erase(it);
        done(false);
    }
}

/// Lists all records once; afterwards refreshes keep the cache up to date.
void ChangeFeed::resync() {
    auto seen = std::make_shared<std::set<std::string>>();
    const Micros started_at = runtime_.now();
    subscriber_.on_resync_begin();
    store_.list(
        keys::root, [this](const std::string& key) { return subscriber_.continuation_key(key); },
        [this, seen](const Entry& entry) {
            subscriber_.on_watermark(entry.store_revision);
            if (subscriber_.continuation_key(entry.key) != entry.key)
                return;  // the subscriber does not need this record
            seen->insert(entry.key);
            subscriber_.apply(entry.key, &entry.value, entry.mod_revision);
        },
        [this, seen, started_at](const ListResult& result) {
            if (!result.ok) {
                runtime_.after(kRetryDelay, [this] { resync(); });
                return;
            }
            load_stats_ = {result.requests, seen->size(), runtime_.now() - started_at};
            spdlog::info("read {} records from the store in {} requests, {} ms", load_stats_.records,
                         load_stats_.requests, load_stats_.duration / kMillisecond);
            subscriber_.on_resync_end(*seen, result.store_revision);
            store_revision_ = result.store_revision;
            subscriber_.on_watermark(store_revision_);
            loaded_ = true;
            refresh();
        });
}

/// Reads the changes since the last refresh, at a fixed interval: every refresh counts as a request, and a
/// watch that returned at each change would use up the request rate.
void ChangeFeed::refresh() {
    const Micros sent_at = runtime_.now();
    store_.watch(keys::root, store_revision_, refresh_interval_, [this, sent_at](const Reply& reply) {
        if (reply.status == 410) {
            spdlog::info("the change feed is too far behind the store; reading all records again");
            return resync();
        }
        auto store_revision = wire::count(reply.body, "ledger");
        if (reply.status != 200 || !store_revision) {
            runtime_.after(150 * kMillisecond, [this] { refresh(); });
            return;
        }
        if (const Json* changes = wire::find(reply.body, "news"); changes && changes->is_array()) {
            for (const auto& change : *changes) {
                const Revision mod_revision = wire::count(change, "mark").value_or(0);
                store_.observe(mod_revision);
                if (auto key = wire::text(change, "write"))
                    subscriber_.apply(*key, wire::find(change, "data"), mod_revision);
                else if (auto deleted_key = wire::text(change, "drop"))
                    subscriber_.apply(*deleted_key, nullptr, mod_revision);
            }
        }
        store_revision_ = std::max(store_revision_, *store_revision);
        subscriber_.on_watermark(store_revision_);
        on_refresh_answered(sent_at);
        runtime_.after(std::max<Micros>(sent_at + refresh_interval_ - runtime_.now(), 0),
                       [this] { refresh(); });
    });
}

void ChangeFeed::on_refresh_answered(Micros sent_at) {
    // All changes committed before the request was sent are in the cache now.
    confirmed_at_ = sent_at;
    std::vector<std::function<void(bool)>> ready;
    while (!waiters_.empty() && waiters_.front().waiting_since <= sent_at) {
        ready.push_back(std::move(waiters_.front().done));
        waiters_.pop_front();
    }
    for (auto& done : ready) done(true);
}

void ChangeFeed::after_next_refresh(std::function<void(bool)> done) {
    waiters_.push_back({runtime_.now(), std::move(done)});
}

void ChangeFeed::after_next_refresh_with_retries(std::function<void()> done) {
    after_next_refresh([this, done = std::move(done)](bool ok) mutable {
        if (ok) return done();
        runtime_.after(kRetryDelay, [this, done = std::move(done)]() mutable {
            after_next_refresh_with_retries(std::move(done));
        });
    });
}

void commit_until_outcome_known(Runtime& runtime, StoreClient& store, ChangeFeed& feed, const Change& change,
                                std::function<void(const CommitResult&)> done, bool may_be_executed) {
    store.commit(change, [&runtime, &store, &feed, change, done = std::move(done),
                          may_be_executed](const CommitResult& result) {
        const bool outcome_unknown = result.status == CommitStatus::Unknown;
        if (outcome_unknown || (may_be_executed && result.status == CommitStatus::Unavailable)) {
            runtime.after(kRetryDelay, [&runtime, &store, &feed, change, done] {
                commit_until_outcome_known(runtime, store, feed, change, done, true);
            });
            return;
        }
        if (result.status == CommitStatus::Conflict)
            return feed.after_next_refresh_with_retries([done, result] { done(result); });
        done(result);
    });
}

}  // namespace cottonway
