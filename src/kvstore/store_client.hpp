#pragma once
// Client of the state service: reads, watches, leases and transactions. Changes are batched into few
// requests, because requests and writes a second are limited.

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "config/settings.hpp"
#include "kvstore/chunks.hpp"

namespace cottonway {

using Revision = std::uint64_t;

struct Condition {
    std::string key;
    Revision mod_revision = 0;  // 0: the key must not exist
};

struct Write {
    std::string key;
    Json value;  // null: delete
    std::uint64_t lease = 0;
    std::size_t value_bytes = 0;  // stored size of the value, once it has been computed
};

/// Writes a second are limited and shared by all controllers. Changes that users wait for are sent first;
/// changes that can be delayed use only the budget that is left over.
enum class Priority { Urgent = 0, Normal = 1, Deferrable = 2 };
constexpr std::size_t kPriorityCount = 3;

/// A change that the service rejected (CommitStatus::Rejected) is not sent again before this delay.
constexpr Micros kRejectedRetryDelay = 5 * kSecond;

/// One caller's part of a transaction. Without writes it only checks its conditions.
struct Change {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    Priority priority = Priority::Normal;
    const char* purpose = "other";  // for the metrics
};

enum class CommitStatus {
    Ok,
    Conflict,     // a condition did not hold: nothing was written
    Unavailable,  // refused before execution: nothing was written
    Unknown,      // no answer: may have been executed, or may still be executed
    Rejected,     // malformed, or refers to an expired lease: nothing was written
};

struct CommitResult {
    CommitStatus status = CommitStatus::Unknown;
    Revision revision = 0;
    std::vector<std::string> failed;
};

struct Entry {
    std::string key;
    Json value;
    Revision mod_revision = 0;
    Revision store_revision = 0;  // as of the first page of the list
};

struct ReadResult {
    bool ok = false;  // false: the read failed, and the other fields hold nothing
    bool found = false;
    Json value;
    Revision mod_revision = 0;
};

struct ListResult {
    bool ok = false;
    std::vector<Entry> entries;
    Revision store_revision = 0;  // as of the first page
    std::uint64_t requests = 0;
};

/// A token bucket on the steady clock.
class RateBudget {
  public:
    RateBudget(double per_second, double burst) : rate_(per_second), burst_(burst), available_(burst) {}
    /// Takes `amount` if the bucket then still holds `reserve`, and returns 0. Otherwise takes nothing and
    /// returns how long to wait until it can be taken.
    Micros take(Micros now, double amount, double reserve = 0);
    /// Subtracts what other controllers have used; the bucket may go negative by up to one burst.
    void charge(Micros now, double amount);
    double available(Micros now);
    void set_rate(double per_second, double burst);
    /// Returns the available amount as a fraction of the burst.
    double available_fraction(Micros now) { return available(now) / burst_; }

  private:
    void refill(Micros now);
    double rate_, burst_, available_;
    Micros last_refill_ = 0;
};

class StoreClient {
  public:
    StoreClient(Runtime& runtime, const Settings& settings);

    void read(const std::string& key, std::function<void(ReadResult)> on_done);
    /// Returns the key after which the next page starts, given the last key of a page: that key, or a later
    /// one to skip the keys between.
    using ContinuationKey = std::function<std::string(const std::string& key)>;
    /// Reads all keys with a prefix; entries are passed on page by page to keep memory bounded.
    void list(const std::string& prefix, ContinuationKey continuation_key,
              std::function<void(const Entry&)> each, std::function<void(ListResult)> on_done);
    void commit(Change change, std::function<void(const CommitResult&)> on_done);
    void watch(const std::string& prefix, Revision since, Micros block, ReplyHandler on_done);
    /// Requests a lease; passes its id to `on_done`, or 0 if none was granted.
    void grant_lease(Micros ttl, std::function<void(std::uint64_t lease)> on_done);
    void renew_lease(std::uint64_t lease, std::function<void(int status)> on_done);

    /// From now on values that are too large are stored in chunks. Must not be called before every controller
    /// can read chunks.
    void enable_chunking() { chunking_enabled_ = true; }
    bool is_chunking_enabled() const { return chunking_enabled_; }
    chunks::ChunkStore& chunk_store() { return chunk_store_; }

    /// Accounts for a change from the change feed: changes of other controllers use up the same write budget.
    void observe(Revision mod_revision);
    /// Returns true if a change of this priority would be sent about now. Callers check it before they build
    /// a record, so that a record whose write has to wait is built once, with the state at the time of the
    /// write.
    bool has_write_budget(Priority priority);
    /// Returns true if no controller has written much lately. Used for changes that can wait for hours: even
    /// at low load they would take budget that a burst of submissions needs a moment later.
    bool is_quiet();
    /// Returns the estimated fraction of the write budget of all controllers that is available.
    double write_budget_level() { return write_budget_.available_fraction(runtime_.now()); }

    /// Returns when the service last answered a request with a status other than 503 or 429.
    Micros last_contact() const { return last_contact_; }
    bool is_reachable() const { return consecutive_failures_ < 3; }
    /// Returns the number of puts and deletions sent so far, by purpose.
    const std::map<std::string, std::uint64_t>& sent_writes() const { return sent_writes_; }

  private:
    struct Pending {
        Change change;
        std::function<void(const CommitResult&)> on_done;
        Micros queued_at = 0;
        bool send_alone = false;
    };
    struct Queue {
        std::array<std::deque<Pending>, kPriorityCount> pending;
        std::size_t size() const;
        std::deque<Pending>* highest_priority();
        int in_flight = 0;
        bool timer_set = false;
        Micros pause_until = 0;
    };

    void request(Call call, ReplyHandler on_done);
    void enqueue(Change change, std::function<void(const CommitResult&)> on_done);
    void commit_in_chunks(Change change, std::function<void(const CommitResult&)> on_done);
    void read_chunks(ReadResult head, std::vector<std::string> texts,
                     std::function<void(ReadResult)> on_done);
    void reduce_write_rate(Micros now);
    bool take_writes(Micros now, std::size_t changes, Priority priority);
    void pump(Queue& queue, bool writes);
    void pump_later(Queue& queue, bool writes, Micros delay);
    void send(Queue& queue, bool writes, std::vector<Pending> batch);
    void handle_response(Queue& queue, bool writes, std::vector<Pending> batch, const Reply& reply);
    void list_page(const std::string& prefix, const std::string& since, ContinuationKey continuation_key,
                   std::function<void(const Entry&)> each, std::shared_ptr<ListResult> result,
                   std::function<void(ListResult)> on_done);

    Runtime& runtime_;
    const Settings& settings_;
    RateBudget request_budget_;
    RateBudget write_budget_;  // estimate of the write budget that all controllers share
    double write_rps_;
    Micros last_refusal_ = 0;  // when a write was last refused for its rate
    /// This controller's share of the write budget, which others cannot use up: without it, controllers that
    /// write much would starve the rest.
    RateBudget own_share_;
    std::set<Revision> own_revisions_;  // of this controller's recent changes
    bool chunking_enabled_ = false;
    chunks::ChunkStore chunk_store_;
    Queue write_queue_;
    Queue check_queue_;
    std::map<std::string, std::uint64_t> sent_writes_;
    Micros last_contact_ = 0;
    int consecutive_failures_ = 0;
};

}  // namespace cottonway
