#pragma once
// Follows the store: reads everything once, then looks at what has changed in even steps. Each look also
// proves that everything known was current when it was sent, which answers to users rest on.

#include <functional>
#include <list>
#include <set>
#include <string>

#include "kvstore/store_client.hpp"

namespace cottonway {

class ChangeFeed {
  public:
    class Subscriber {
      public:
        virtual ~Subscriber() = default;
        /// A record as it is, or as it has become; null: it is gone.
        virtual void apply(const std::string& key, const Json* value, Revision mod_revision) = 0;
        /// Everything is about to be read, and `apply` is called for each record until `reread`.
        virtual void on_resync_begin() = 0;
        /// From where to go on after a key that has been read: the key itself, or one beyond what need not be
        /// read.
        virtual std::string continuation_key(const std::string& key) = 0;
        /// Everything has been read: what is not among `seen` is not there as of `ledger`.
        virtual void on_resync_end(const std::set<std::string>& seen, Revision store_revision) = 0;
        /// No record as of before this revision will be taken any more.
        virtual void on_watermark(Revision store_revision) = 0;
    };
    ChangeFeed(Runtime& runtime, StoreClient& store, const Settings& settings, Subscriber& subscriber);

    void start() { load(); }
    /// Called ten times a second: gives up on what has waited for a look too long.
    void tick();

    bool loaded() const { return loaded_; }
    Revision store_revision() const { return store_revision_; }
    /// What reading everything took last: requests, records, and time.
    struct LoadStats {
        std::uint64_t requests = 0;
        std::uint64_t records = 0;
        Micros duration = 0;
    };
    const LoadStats& load_stats() const { return load_stats_; }
    /// When the last look that was answered was sent.
    Micros confirmed_at() const { return confirmed_at_; }
    Micros confirmed_age() const { return runtime_.now() - confirmed_at_; }
    /// Calls back once a look that was begun after now has been taken in; false: none was for long.
    void after_next_refresh(std::function<void(bool)> done);
    /// The same, however long that takes: what a conflict means is in the news.
    void after_next_refresh_with_retries(std::function<void()> done);
    /// How many wait for a look.
    std::size_t waiter_count() const { return waiters_.size(); }

  private:
    struct Waiter {
        Micros since = 0;
        std::function<void(bool)> done;
    };
    void load();
    void look();
    void looked(Micros sent);

    Runtime& runtime_;
    StoreClient& store_;
    Subscriber& subscriber_;
    Micros every_ = 0;
    bool loaded_ = false;
    LoadStats load_stats_;
    Revision store_revision_ = 0;
    Micros confirmed_at_ = 0;
    std::list<Waiter> waiters_;
};

/// Commits until the outcome is certain. A change that may have been carried out is sent again as it is: a
/// conflict then tells that it was, or that it never will be. Taken for refused before its news is in, a
/// split that was made would cost its machines their tasks, and a share that was given away would count here
/// as well.
void commit_until_outcome_known(Runtime& runtime, StoreClient& store, ChangeFeed& feed, const Change& change,
                                std::function<void(const CommitResult&)> done, bool uncertain = false);

}  // namespace cottonway
