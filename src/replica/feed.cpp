#include "replica/feed.hpp"

#include <algorithm>
#include <memory>

#include "log/log.hpp"
#include "state/records.hpp"

namespace cottonway {

namespace {
constexpr double kLookShare = 0.25;  // of the state service's requests, for looking at what has changed
constexpr Micros kMinLook = 50 * kMillisecond;
constexpr Micros kMaxLook = 500 * kMillisecond;
constexpr Micros kPatience = 1'500 * kMillisecond;
constexpr Micros kRetry = 300 * kMillisecond;
}  // namespace

Feed::Feed(Host& host, Store& store, const Settings& settings, Reader& reader)
    : host_(host),
      store_(store),
      reader_(reader),
      every_(std::clamp(static_cast<Micros>(static_cast<double>(settings.peers.size() + 1) /
                                            (kLookShare * settings.state_rps) * 1e6),
                        kMinLook, kMaxLook)) {}

void Feed::tick() {
    const Micros now = host_.now();
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (now - it->since < kPatience && (store_.reachable() || now - it->since < kMaxLook)) {
            ++it;
            continue;
        }
        auto done = std::move(it->done);
        it = waiters_.erase(it);
        done(false);
    }
}

/// Reads everything once; from then on the news keeps it current.
void Feed::load() {
    auto seen = std::make_shared<std::set<std::string>>();
    const Micros began = host_.now();
    reader_.rereading();
    store_.list(
        keys::root, [this](const std::string& key) { return reader_.go_on_after(key); },
        [this, seen](const Entry& e) {
            if (reader_.go_on_after(e.key) != e.key) return;  // need not be read
            seen->insert(e.key);
            reader_.take(e.key, &e.value, e.mark);
        },
        [this, seen, began](const ListResult& r) {
            if (!r.ok) {
                host_.after(kRetry, [this] { load(); });
                return;
            }
            load_ = {r.requests, seen->size(), host_.now() - began};
            spdlog::info("read {} records of the store in {} requests, {} ms", load_.records, load_.requests,
                         load_.took / kMillisecond);
            reader_.reread(*seen, r.ledger);
            ledger_ = r.ledger;
            loaded_ = true;
            look();
        });
}

/// In even steps: each look counts as a request, and one that came back at every change would use up the
/// rate.
void Feed::look() {
    const Micros sent = host_.now();
    store_.watch(keys::root, ledger_, every_, [this, sent](const Reply& r) {
        if (r.status == 410) {
            spdlog::info("the news has fallen behind: reading everything again");
            return load();
        }
        auto ledger = wire::count(r.body, "ledger");
        if (r.status != 200 || !ledger) {
            host_.after(150 * kMillisecond, [this] { look(); });
            return;
        }
        if (const Value* news = wire::find(r.body, "news"); news && news->is_array()) {
            for (const auto& n : *news) {
                const Revision mark = wire::count(n, "mark").value_or(0);
                store_.observe(mark);
                if (auto key = wire::text(n, "write"))
                    reader_.take(*key, wire::find(n, "data"), mark);
                else if (auto dropped = wire::text(n, "drop"))
                    reader_.take(*dropped, nullptr, mark);
            }
        }
        ledger_ = std::max(ledger_, *ledger);
        looked(sent);
        host_.after(std::max<Micros>(sent + every_ - host_.now(), 0), [this] { look(); });
    });
}

void Feed::looked(Micros sent) {
    // All that happened before the request was sent is known now.
    confirmed_ = sent;
    std::vector<std::function<void(bool)>> ready;
    while (!waiters_.empty() && waiters_.front().since <= sent) {
        ready.push_back(std::move(waiters_.front().done));
        waiters_.pop_front();
    }
    for (auto& done : ready) done(true);
}

void Feed::after_look(std::function<void(bool)> done) {
    waiters_.push_back({host_.now(), std::move(done)});
}

void Feed::once_known(std::function<void()> done) {
    after_look([this, done = std::move(done)](bool ok) mutable {
        if (ok) return done();
        host_.after(kRetry, [this, done = std::move(done)]() mutable { once_known(std::move(done)); });
    });
}

void commit_surely(Host& host, Store& store, Feed& feed, Change change,
                   std::function<void(const CommitResult&)> done, bool uncertain) {
    store.commit(change,
                 [&host, &store, &feed, change, done = std::move(done), uncertain](const CommitResult& r) {
                     const bool unknown = r.status == CommitStatus::Unknown;
                     if (unknown || (uncertain && r.status == CommitStatus::Unavailable)) {
                         host.after(kRetry, [&host, &store, &feed, change, done] {
                             commit_surely(host, store, feed, change, done, true);
                         });
                         return;
                     }
                     if (r.status == CommitStatus::Conflict) return feed.once_known([done, r] { done(r); });
                     done(r);
                 });
}

}  // namespace cottonway
