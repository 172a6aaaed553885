#pragma once
// Follows the store: lists all records once (a resync), then reads the changes at a fixed interval (a
// refresh). An answered refresh also proves that the cache was up to date when the refresh was sent; answers
// to users rely on that.

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
        /// Applies the current value of a record; null: the record was deleted.
        virtual void apply(const std::string& key, const Json* value, Revision mod_revision) = 0;
        /// A resync starts: all records are listed, and `apply` is called for each until `on_resync_end`.
        virtual void on_resync_begin() = 0;
        /// Returns the key after which the list continues once `key` has been read: `key` itself, or a later
        /// key where the records in between need not be read.
        virtual std::string continuation_key(const std::string& key) = 0;
        /// The resync is complete: a key that is not in `seen` did not exist at `store_revision`.
        virtual void on_resync_end(const std::set<std::string>& seen, Revision store_revision) = 0;
        /// No record older than this revision will be passed to `apply` any more.
        virtual void on_watermark(Revision store_revision) = 0;
    };
    ChangeFeed(Runtime& runtime, StoreClient& store, const Settings& settings, Subscriber& subscriber);

    void start() { resync(); }
    /// Called ten times a second: fails callbacks that have waited too long for a refresh.
    void tick();

    bool loaded() const { return loaded_; }
    Revision store_revision() const { return store_revision_; }
    /// Cost of the last resync.
    struct LoadStats {
        std::uint64_t requests = 0;
        std::uint64_t records = 0;
        Micros duration = 0;
    };
    const LoadStats& load_stats() const { return load_stats_; }
    /// Returns when the last answered refresh was sent: the cache was up to date at that time.
    Micros confirmed_at() const { return confirmed_at_; }
    Micros confirmed_age() const { return runtime_.now() - confirmed_at_; }
    /// Calls back with true once the result of a refresh sent from now on has been applied, with false if
    /// that takes too long.
    void after_next_refresh(std::function<void(bool)> done);
    /// The same, but retries until a refresh succeeds. Used after a conflict: the change that caused it is in
    /// the cache then.
    void after_next_refresh_with_retries(std::function<void()> done);
    /// Returns how many callbacks wait for a refresh.
    std::size_t waiter_count() const { return waiters_.size(); }

  private:
    struct Waiter {
        Micros waiting_since = 0;
        std::function<void(bool)> done;
    };
    void resync();
    void refresh();
    void on_refresh_answered(Micros sent_at);

    Runtime& runtime_;
    StoreClient& store_;
    Subscriber& subscriber_;
    Micros refresh_interval_ = 0;
    bool loaded_ = false;
    LoadStats load_stats_;
    Revision store_revision_ = 0;
    Micros confirmed_at_ = 0;
    std::list<Waiter> waiters_;
};

/// Commits a change and retries until the outcome is certain. A change that may have been executed is sent
/// again unchanged: a conflict then proves that it was executed or never will be. `done` is called for a
/// conflict only after the cache has been refreshed. If the caller took an executed change for rejected, the
/// tasks of machines that were split off would be lost, and quota transferred to another shard would be
/// counted twice.
void commit_until_outcome_known(Runtime& runtime, StoreClient& store, ChangeFeed& feed, const Change& change,
                                std::function<void(const CommitResult&)> done, bool may_be_executed = false);

}  // namespace cottonway
