#pragma once
// Client of the state service: reads, watches, leases, and transactions that are grouped into as few
// requests as the rates allow.

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
    std::size_t bytes = 0;  // of the value, as soon as it is known
};

/// Changes a second are scarce and shared by all controllers: what users wait for goes first, what may wait
/// takes only what is left over.
enum class Priority { Urgent = 0, Normal = 1, Deferrable = 2 };
constexpr std::size_t kPriorityCount = 3;

/// What the service does not take (Rejected) is not sent again before that.
constexpr Micros kRejectedRetryDelay = 5 * kSecond;

/// One caller's part of a transaction. Without writes it only compares.
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
    Unknown,      // no answer: may have been executed, or may still be
    Rejected,     // malformed or with a lease that ended: nothing was written
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
    Revision store_revision = 0;  // when the list was begun
};

struct ReadResult {
    bool ok = false;  // false: nothing is known
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
    RateBudget(double per_second, double burst) : rate_(per_second), burst_(burst), left_(burst) {}
    /// 0 if taken, else how long to wait until `amount` is there beyond `reserve`.
    Micros take(Micros now, double amount, double reserve = 0);
    /// Takes what others have used, down to a full burst of debt.
    void drain(Micros now, double amount);
    double left(Micros now);
    void set_rate(double per_second, double burst);
    /// What is left, as a share of the burst.
    double level(Micros now) { return left(now) / burst_; }

  private:
    void refill(Micros now);
    double rate_, burst_, left_;
    Micros at_ = 0;
};

class StoreClient {
  public:
    StoreClient(Runtime& runtime, const Settings& settings);

    void read(const std::string& key, std::function<void(ReadResult)> done);
    /// Where to go on after the last key of a page: that key, or one beyond what is to be left out.
    using NextPageKey = std::function<std::string(const std::string& key)>;
    /// All pages below a prefix; entries are handed over page by page to keep memory bounded.
    void list(const std::string& prefix, NextPageKey next_page_key, std::function<void(const Entry&)> each,
              std::function<void(ListResult)> done);
    void commit(Change change, std::function<void(const CommitResult&)> done);
    void watch(const std::string& prefix, Revision since, Micros block, ReplyHandler done);
    void grant_lease(Micros ttl, std::function<void(std::uint64_t lease)> done);  // 0: none
    void renew_lease(std::uint64_t lease, std::function<void(int status)> done);

    /// From now on values that are too large are stored in pieces. Only once every controller reads them.
    void enable_chunking() { in_pieces_ = true; }
    bool is_chunking_enabled() const { return in_pieces_; }
    chunks::ChunkStore& chunk_store() { return chunk_store_; }

    /// News of a change: those of others use up the same budget.
    void observe(Revision mod_revision);
    /// Whether a change of this priority would go out about now. Asked before a record is put together, so
    /// that what has to wait is written once, as it is then.
    bool has_write_budget(Priority priority);
    /// Whether next to nothing has been written lately, by anybody: for changes that can wait for hours.
    /// Those that take what a burst of submissions would need a moment later are not for free.
    bool is_quiet();
    /// What is left of a second's changes of all controllers, as far as we can tell, as a share.
    double write_budget_level() { return writes_.level(runtime_.now()); }

    /// When the service last answered a request with anything but 503 or 429.
    Micros last_contact() const { return last_contact_; }
    bool is_reachable() const { return failures_ < 3; }
    /// Puts and deletions sent so far, by what they are for.
    const std::map<std::string, std::uint64_t>& sent_writes() const { return sent_; }

  private:
    struct Pending {
        Change change;
        std::function<void(const CommitResult&)> done;
        Micros queued = 0;
        bool alone = false;
    };
    struct Queue {
        std::array<std::deque<Pending>, kPriorityCount> pending;
        std::size_t size() const;
        std::deque<Pending>* first();
        int in_flight = 0;
        bool timer = false;
        Micros pause_until = 0;
    };

    void request(Call call, ReplyHandler done);
    void enqueue(Change change, std::function<void(const CommitResult&)> done);
    void commit_in_pieces(Change change, std::function<void(const CommitResult&)> done);
    void read_pieces(ReadResult head, std::vector<std::string> texts, std::function<void(ReadResult)> done);
    void slow_down(Micros now);
    bool take_writes(Micros now, std::size_t changes, Priority priority);
    void pump(Queue& queue, bool writes);
    void later(Queue& queue, bool writes, Micros delay);
    void send(Queue& queue, bool writes, std::vector<Pending> batch);
    void settle(Queue& queue, bool writes, std::vector<Pending> batch, const Reply& reply);
    void list_page(const std::string& prefix, const std::string& since, NextPageKey next_page_key,
                   std::function<void(const Entry&)> each, std::shared_ptr<ListResult> result,
                   std::function<void(ListResult)> done);

    Runtime& runtime_;
    const Settings& settings_;
    RateBudget requests_;
    RateBudget writes_;  // what all controllers share, as far as we can tell
    double write_rps_;
    Micros refused_at_ = 0;   // for the rate
    RateBudget fair_;         // our part, whatever the others do: without it the greedy would starve the rest
    std::set<Revision> own_;  // revisions of our own recent changes
    bool in_pieces_ = false;
    chunks::ChunkStore chunk_store_;
    Queue write_queue_;
    Queue check_queue_;
    std::map<std::string, std::uint64_t> sent_;
    Micros last_contact_ = 0;
    int failures_ = 0;
};

}  // namespace cottonway
