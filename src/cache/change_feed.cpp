#include "cache/change_feed.hpp"

#include <algorithm>
#include <memory>

#include "kvstore/records.hpp"
#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr double kLookShare = 0.25;  // of the state service's requests, for looking at what has changed
constexpr Micros kMinLook = 50 * kMillisecond;
constexpr Micros kMaxLook = 500 * kMillisecond;
constexpr Micros kPatience = 1'500 * kMillisecond;
constexpr Micros kRetry = 300 * kMillisecond;
}  // namespace

ChangeFeed::ChangeFeed(Runtime& runtime, StoreClient& store, const Settings& settings, Reader& reader)
    : runtime_(runtime),
      store_(store),
      reader_(reader),
      every_(std::clamp(static_cast<Micros>(static_cast<double>(settings.peers.size() + 1) /
                                            (kLookShare * settings.state_rps) * 1e6),
                        kMinLook, kMaxLook)) {}

void ChangeFeed::tick() {
    const Micros now = runtime_.now();
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (now - it->since < kPatience && (store_.is_reachable() || now - it->since < kMaxLook)) {
            ++it;
            continue;
        }
        auto done = std::move(it->done);
        it = waiters_.erase(it);
        done(false);
    }
}

/// Reads everything once; from then on the news keeps it current.
void ChangeFeed::load() {
    auto seen = std::make_shared<std::set<std::string>>();
    const Micros began = runtime_.now();
    reader_.on_resync_begin();
    store_.list(
        keys::root, [this](const std::string& key) { return reader_.go_on_after(key); },
        [this, seen](const Entry& e) {
            reader_.on_watermark(e.store_revision);
            if (reader_.go_on_after(e.key) != e.key) return;  // need not be read
            seen->insert(e.key);
            reader_.take(e.key, &e.value, e.mod_revision);
        },
        [this, seen, began](const ListResult& r) {
            if (!r.ok) {
                runtime_.after(kRetry, [this] { load(); });
                return;
            }
            load_ = {r.requests, seen->size(), runtime_.now() - began};
            spdlog::info("read {} records of the store in {} requests, {} ms", load_.records, load_.requests,
                         load_.took / kMillisecond);
            reader_.on_resync_end(*seen, r.store_revision);
            store_revision_ = r.store_revision;
            reader_.on_watermark(store_revision_);
            loaded_ = true;
            look();
        });
}

/// In even steps: each look counts as a request, and one that came back at every change would use up the
/// rate.
void ChangeFeed::look() {
    const Micros sent = runtime_.now();
    store_.watch(keys::root, store_revision_, every_, [this, sent](const Reply& r) {
        if (r.status == 410) {
            spdlog::info("the news has fallen behind: reading everything again");
            return load();
        }
        auto store_revision = wire::count(r.body, "ledger");
        if (r.status != 200 || !store_revision) {
            runtime_.after(150 * kMillisecond, [this] { look(); });
            return;
        }
        if (const Json* news = wire::find(r.body, "news"); news && news->is_array()) {
            for (const auto& n : *news) {
                const Revision mod_revision = wire::count(n, "mark").value_or(0);
                store_.observe(mod_revision);
                if (auto key = wire::text(n, "write"))
                    reader_.take(*key, wire::find(n, "data"), mod_revision);
                else if (auto dropped = wire::text(n, "drop"))
                    reader_.take(*dropped, nullptr, mod_revision);
            }
        }
        store_revision_ = std::max(store_revision_, *store_revision);
        reader_.on_watermark(store_revision_);
        looked(sent);
        runtime_.after(std::max<Micros>(sent + every_ - runtime_.now(), 0), [this] { look(); });
    });
}

void ChangeFeed::looked(Micros sent) {
    // All that happened before the request was sent is known now.
    confirmed_ = sent;
    std::vector<std::function<void(bool)>> ready;
    while (!waiters_.empty() && waiters_.front().since <= sent) {
        ready.push_back(std::move(waiters_.front().done));
        waiters_.pop_front();
    }
    for (auto& done : ready) done(true);
}

void ChangeFeed::after_next_refresh(std::function<void(bool)> done) {
    waiters_.push_back({runtime_.now(), std::move(done)});
}

void ChangeFeed::once_known(std::function<void()> done) {
    after_next_refresh([this, done = std::move(done)](bool ok) mutable {
        if (ok) return done();
        runtime_.after(kRetry, [this, done = std::move(done)]() mutable { once_known(std::move(done)); });
    });
}

void commit_until_known(Runtime& runtime, StoreClient& store, ChangeFeed& feed, const Change& change,
                        std::function<void(const CommitResult&)> done, bool uncertain) {
    store.commit(change,
                 [&runtime, &store, &feed, change, done = std::move(done), uncertain](const CommitResult& r) {
                     const bool unknown = r.status == CommitStatus::Unknown;
                     if (unknown || (uncertain && r.status == CommitStatus::Unavailable)) {
                         runtime.after(kRetry, [&runtime, &store, &feed, change, done] {
                             commit_until_known(runtime, store, feed, change, done, true);
                         });
                         return;
                     }
                     if (r.status == CommitStatus::Conflict) return feed.once_known([done, r] { done(r); });
                     done(r);
                 });
}

}  // namespace cottonway
