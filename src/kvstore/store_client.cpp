#include "kvstore/store_client.hpp"

#include <algorithm>
#include <memory>
#include <set>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr int kMaxInFlight = 3;
constexpr std::size_t kMaxQueuedChanges = 5000;
constexpr std::size_t kMaxBatchBytes = 48 * 1024;
constexpr std::size_t kMaxOwnRevisions = 200;
constexpr Micros kBatchDelay = 3 * kMillisecond;  // wait for further changes for the same transaction
// Fraction of the write budget that a change of each priority must leave for more urgent ones.
constexpr std::array<double, kPriorityCount> kWriteReserve{0.0, 0.15, 0.5};
// The same for changes that can wait for hours (see is_quiet).
constexpr double kQuietLevel = 0.9;
// Fractions of the configured write rate: the part that is used, and the bursts of all controllers and of one
// controller.
constexpr double kUsedWriteFraction = 0.95;
constexpr double kWriteBurstFraction = 0.9;
double controller_write_burst(double write_rps, const Settings& settings) {
    return write_rps * kWriteBurstFraction / static_cast<double>(settings.peers.size() + 1);
}
// A new change is built only while fewer changes than this are queued before it: it must not become outdated
// in the queue.
constexpr std::size_t kMaxQueuedBefore = 4;
}  // namespace

void RateBudget::refill(Micros now) {
    if (last_refill_ == 0) last_refill_ = now;
    available_ = std::min(burst_, available_ + rate_ * static_cast<double>(now - last_refill_) / 1e6);
    last_refill_ = now;
}

Micros RateBudget::take(Micros now, double amount, double reserve) {
    refill(now);
    amount = std::min(amount, burst_ - reserve);
    if (available_ >= amount + reserve) {
        available_ -= amount;
        return 0;
    }
    return static_cast<Micros>((amount + reserve - available_) / rate_ * 1e6) + kMillisecond;
}

void RateBudget::charge(Micros now, double amount) {
    refill(now);
    available_ = std::max(available_ - amount, -burst_);
}

double RateBudget::available(Micros now) {
    refill(now);
    return available_;
}

void RateBudget::set_rate(double per_second, double burst) {
    rate_ = per_second;
    burst_ = burst;
    available_ = std::min(available_, burst);
}

std::size_t StoreClient::Queue::size() const {
    std::size_t total = 0;
    for (const auto& changes : pending) total += changes.size();
    return total;
}

std::deque<StoreClient::Pending>* StoreClient::Queue::highest_priority() {
    for (auto& changes : pending)
        if (!changes.empty()) return &changes;
    return nullptr;
}

// The request rate is divided evenly among the controllers, plus a surplus of 40 %, since not all of them
// need their part at the same time. Writes of other controllers are seen in the change feed, so each
// controller may use the write budget that the others leave.
StoreClient::StoreClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      request_budget_(
          settings.state_rps * std::min(0.9, 1.4 / static_cast<double>(settings.peers.size() + 1)),
          settings.state_rps * 0.3),
      write_budget_(settings.state_write_rps * kUsedWriteFraction,
                    settings.state_write_rps * kWriteBurstFraction),
      write_rps_(settings.state_write_rps),
      own_share_(controller_write_burst(settings.state_write_rps, settings),
                 controller_write_burst(settings.state_write_rps, settings)) {}

void StoreClient::observe(Revision mod_revision) {
    if (own_revisions_.count(mod_revision) == 0) write_budget_.charge(runtime_.now(), 1);
}

bool StoreClient::has_write_budget(Priority priority) {
    const Micros now = runtime_.now();
    // Queued changes of lower priority do not delay this one.
    std::size_t ahead = 0;
    for (std::size_t level = 0; level <= static_cast<std::size_t>(priority); ++level)
        ahead += write_queue_.pending[level].size();
    if (ahead >= kMaxQueuedBefore || now < write_queue_.pause_until) return false;
    if (priority != Priority::Deferrable && own_share_.available(now) >= 1) return true;
    return write_budget_.available_fraction(now) > kWriteReserve[static_cast<std::size_t>(priority)];
}

bool StoreClient::is_quiet() {
    const Micros now = runtime_.now();
    return write_queue_.size() == 0 && now >= write_queue_.pause_until &&
           write_budget_.available_fraction(now) > kQuietLevel;
}

bool StoreClient::take_writes(Micros now, std::size_t changes, Priority priority) {
    const auto amount = static_cast<double>(changes);
    const double reserve =
        kWriteReserve[static_cast<std::size_t>(priority)] * write_rps_ * kWriteBurstFraction;
    if (priority != Priority::Deferrable && own_share_.take(now, amount) == 0) {
        write_budget_.charge(now, amount);
        return true;
    }
    return write_budget_.take(now, amount, reserve) == 0;
}

void StoreClient::request(Call call, ReplyHandler on_done) {
    call.target = Target::State;
    if (const Micros wait = request_budget_.take(runtime_.now(), 1); wait > 0) {
        if (wait > kSecond) {
            runtime_.after(0, [on_done = std::move(on_done)] { on_done(Reply{429, {}}); });
            return;
        }
        runtime_.after(wait, [this, call = std::move(call), on_done = std::move(on_done)]() mutable {
            request(std::move(call), std::move(on_done));
        });
        return;
    }
    runtime_.call(std::move(call), [this, on_done = std::move(on_done)](const Reply& reply) {
        if (reply.status <= 0 || reply.status == 503) {
            ++consecutive_failures_;
        } else if (reply.status != 429) {
            consecutive_failures_ = 0;
            last_contact_ = runtime_.now();
        }
        on_done(reply);
    });
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> on_done) {
    Call call;
    call.method = "GET";
    call.path = "/store/" + key;
    call.timeout = 1500 * kMillisecond;
    request(std::move(call), [this, on_done = std::move(on_done)](const Reply& reply) {
        ReadResult result;
        if (reply.status == 404 && reply.body.is_object()) {
            result.ok = true;
        } else if (reply.status == 200) {
            const Json* data = wire::find(reply.body, "data");
            auto mod_revision = wire::count(reply.body, "mark");
            if (data && mod_revision) result = {true, true, *data, *mod_revision};
        }
        if (result.found && chunks::chunk_reference(result.value))
            return read_chunks(std::move(result), {}, std::move(on_done));
        on_done(std::move(result));
    });
}

/// If a chunk is missing, the record has been replaced since its head was read, and the read fails.
void StoreClient::read_chunks(ReadResult head, std::vector<std::string> texts,
                              std::function<void(ReadResult)> on_done) {
    const auto reference = chunks::chunk_reference(head.value);
    if (texts.size() >= reference->second) {
        auto joined_value = chunks::join(head.value, texts);
        if (!joined_value) return on_done({});
        head.value = std::move(*joined_value);
        return on_done(std::move(head));
    }
    const std::string key = chunks::key(reference->first, texts.size());
    read(key, [this, head = std::move(head), texts = std::move(texts),
               on_done = std::move(on_done)](const ReadResult& chunk) mutable {
        auto text = chunk.found ? wire::text(chunk.value, "t") : std::nullopt;
        if (!text) return on_done({});
        texts.push_back(std::move(*text));
        read_chunks(std::move(head), std::move(texts), std::move(on_done));
    });
}

void StoreClient::list(const std::string& prefix, ContinuationKey continuation_key,
                       std::function<void(const Entry&)> each, std::function<void(ListResult)> on_done) {
    list_page(prefix, "", std::move(continuation_key), std::move(each), std::make_shared<ListResult>(),
              std::move(on_done));
}

void StoreClient::list_page(const std::string& prefix, const std::string& since,
                            ContinuationKey continuation_key, std::function<void(const Entry&)> each,
                            std::shared_ptr<ListResult> result, std::function<void(ListResult)> on_done) {
    Call call;
    call.method = "GET";
    call.path = "/store?starts=" + prefix + (since.empty() ? "" : "&since=" + since) + "&page=1000";
    call.timeout = 4 * kSecond;
    request(std::move(call),
            [this, prefix, since, continuation_key = std::move(continuation_key), each = std::move(each),
             result, on_done = std::move(on_done)](const Reply& reply) mutable {
                const Json* pairs = wire::find(reply.body, "pairs");
                auto store_revision = wire::count(reply.body, "ledger");
                if (reply.status != 200 || !pairs || !pairs->is_array() || !store_revision)
                    return on_done(ListResult{});
                if (since.empty()) result->store_revision = *store_revision;
                ++result->requests;
                std::string last_key;
                for (const auto& pair : *pairs) {
                    auto key = wire::text(pair, "k");
                    auto mod_revision = wire::count(pair, "mark");
                    if (!key || !mod_revision) return on_done(ListResult{});
                    last_key = *key;
                    const Json* data = wire::find(pair, "data");
                    each(Entry{*key, data ? *data : Json(), *mod_revision, result->store_revision});
                }
                if (wire::flag(reply.body, "has_next").value_or(false) && !last_key.empty()) {
                    const std::string next = continuation_key(last_key);
                    return list_page(prefix, next, std::move(continuation_key), std::move(each), result,
                                     std::move(on_done));
                }
                result->ok = true;
                on_done(std::move(*result));
            });
}

void StoreClient::watch(const std::string& prefix, Revision since, Micros block, ReplyHandler on_done) {
    Call call;
    call.method = "GET";
    call.path = "/changes?starts=" + prefix + "&since=" + std::to_string(since) +
                "&block_ms=" + std::to_string(block / kMillisecond);
    call.timeout = block + 4 * kSecond;
    request(std::move(call), std::move(on_done));
}

void StoreClient::grant_lease(Micros ttl, std::function<void(std::uint64_t)> on_done) {
    Call call;
    call.method = "POST";
    call.path = "/grants";
    call.body = Json{{"ttl_ms", ttl / kMillisecond}};
    request(std::move(call), [on_done = std::move(on_done)](const Reply& reply) {
        on_done(reply.status == 200 ? wire::count(reply.body, "lien").value_or(0) : 0);
    });
}

void StoreClient::renew_lease(std::uint64_t lease, std::function<void(int)> on_done) {
    Call call;
    call.method = "POST";
    call.path = "/grants/" + std::to_string(lease) + "/extend";
    call.body = Json::object();
    call.timeout = kSecond;
    request(std::move(call), [on_done = std::move(on_done)](const Reply& reply) { on_done(reply.status); });
}

void StoreClient::commit(Change change, std::function<void(const CommitResult&)> on_done) {
    bool too_large = false;
    for (auto& write : change.writes) {
        write.value_bytes = write.value.is_null() ? 0 : chunks::stored_size(write.value);
        too_large = too_large || (write.value.is_object() && write.value_bytes > settings_.max_value_bytes);
    }
    if (too_large && chunking_enabled_) return commit_in_chunks(std::move(change), std::move(on_done));
    enqueue(std::move(change), std::move(on_done));
}

/// Writes the chunks first, under unique names. Then commits the change itself, with heads in place of the
/// large values, on condition that the chunks are unchanged. A failure before that has no effect: chunks that
/// no head references do not count.
void StoreClient::commit_in_chunks(Change change, std::function<void(const CommitResult&)> on_done) {
    struct ChunkedCommit {
        Change change;
        std::function<void(const CommitResult&)> on_done;
        std::size_t unwritten_chunks = 0;
        bool failed = false;
    };
    auto chunked_commit = std::make_shared<ChunkedCommit>();
    std::vector<Write> chunk_writes;
    for (auto& write : change.writes) {
        if (!write.value.is_object() || write.value_bytes <= settings_.max_value_bytes) continue;
        char name[24];
        std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(runtime_.random()()));
        auto chunked_value = chunks::split(write.value, name, settings_.max_value_bytes);
        for (std::size_t i = 0; i < chunked_value.texts.size(); ++i)
            chunk_writes.push_back(
                {chunks::key(name, i), chunks::chunk_record(write.key, chunked_value.texts[i])});
        write.value = std::move(chunked_value.head);
        write.value_bytes = chunks::stored_size(write.value);
    }
    if (change.conditions.size() + chunk_writes.size() > settings_.max_txn_ops * 4) {
        spdlog::error("{} is too large to be stored: {} chunks", change.writes.front().key,
                      chunk_writes.size());
        return runtime_.after(0, [on_done = std::move(on_done)] {
            on_done({CommitStatus::Rejected, 0, {}});
        });
    }
    chunked_commit->change = std::move(change);
    chunked_commit->on_done = std::move(on_done);
    chunked_commit->unwritten_chunks = chunk_writes.size();
    for (auto& chunk_write : chunk_writes) {
        Change chunk_change;
        chunk_change.priority = chunked_commit->change.priority;
        chunk_change.purpose = "piece";
        const std::string key = chunk_write.key;
        chunk_write.value_bytes = chunks::stored_size(chunk_write.value);
        chunk_change.writes.push_back(std::move(chunk_write));
        enqueue(std::move(chunk_change), [this, chunked_commit, key](const CommitResult& result) {
            chunked_commit->failed = chunked_commit->failed || result.status != CommitStatus::Ok;
            chunked_commit->change.conditions.push_back({key, result.revision});
            if (--chunked_commit->unwritten_chunks > 0) return;
            if (chunked_commit->failed) return chunked_commit->on_done({CommitStatus::Unavailable, 0, {}});
            enqueue(std::move(chunked_commit->change), std::move(chunked_commit->on_done));
        });
    }
}

/// Called when the service refuses a write for its rate. Two refusals within two seconds mean that the
/// service accepts fewer writes than before; from then on the configured next rate applies.
void StoreClient::reduce_write_rate(Micros now) {
    const bool refused_lately = now - std::exchange(last_refusal_, now) < 2 * kSecond;
    if (!refused_lately || write_rps_ <= settings_.next_write_rps) return;
    write_rps_ = settings_.next_write_rps;
    spdlog::info("the state service accepts fewer writes; limiting to {} writes per second from now on",
                 write_rps_);
    write_budget_.set_rate(write_rps_ * kUsedWriteFraction, write_rps_ * kWriteBurstFraction);
    const double burst = controller_write_burst(write_rps_, settings_);
    own_share_.set_rate(burst, burst);
}

void StoreClient::enqueue(Change change, std::function<void(const CommitResult&)> on_done) {
    const bool writes = !change.writes.empty();
    Queue& queue = writes ? write_queue_ : check_queue_;
    if (queue.size() >= kMaxQueuedChanges) {
        runtime_.after(0, [on_done = std::move(on_done)] { on_done({CommitStatus::Unavailable, 0, {}}); });
        return;
    }
    const auto priority = static_cast<std::size_t>(change.priority);
    queue.pending[priority].push_back({std::move(change), std::move(on_done), runtime_.now(), false});
    pump(queue, writes);
}

void StoreClient::pump_later(Queue& queue, bool writes, Micros delay) {
    if (queue.timer_set) return;
    queue.timer_set = true;
    runtime_.after(delay, [this, &queue, writes] {
        queue.timer_set = false;
        pump(queue, writes);
    });
}

void StoreClient::pump(Queue& queue, bool writes) {
    while (queue.in_flight < kMaxInFlight) {
        auto* changes = queue.highest_priority();
        if (!changes) return;
        const Micros now = runtime_.now();
        if (now < queue.pause_until) return pump_later(queue, writes, queue.pause_until - now);
        // Waits briefly for further changes that fit into the same transaction.
        const Micros age = now - changes->front().queued_at;
        if (age < kBatchDelay) return pump_later(queue, writes, kBatchDelay - age);
        std::vector<Pending> batch;
        std::set<std::string> written_keys;
        std::map<std::string, Revision> conditions;
        std::size_t write_count = 0, batch_bytes = 0;
        while (!changes->empty()) {
            Pending& next = changes->front();
            std::size_t change_bytes = 64;
            bool conflicts = false;
            // A batch must have the same effect as its changes one after the other. The service checks all
            // conditions against the state before the transaction, so no change of the batch may depend on a
            // key that an earlier one writes: two changes that invalidate each other's conditions would both
            // be executed.
            for (const auto& write : next.change.writes) {
                change_bytes += write.key.size() + 32 + write.value_bytes;
                conflicts = conflicts || written_keys.count(write.key) > 0;
            }
            for (const auto& condition : next.change.conditions) {
                change_bytes += condition.key.size() + 32;
                auto known = conditions.find(condition.key);
                conflicts = conflicts || written_keys.count(condition.key) > 0 ||
                            (known != conditions.end() && known->second != condition.mod_revision);
            }
            if (!batch.empty() &&
                (conflicts || next.send_alone || batch.back().send_alone ||
                 write_count + next.change.writes.size() > settings_.max_txn_ops ||
                 conditions.size() + next.change.conditions.size() > settings_.max_txn_ops * 4 ||
                 batch_bytes + change_bytes > kMaxBatchBytes))
                break;
            // Takes as many changes as the write budget allows; the rest waits for it to refill.
            if (writes && !take_writes(now, next.change.writes.size(), next.change.priority)) break;
            write_count += next.change.writes.size();
            batch_bytes += change_bytes;
            for (const auto& write : next.change.writes) written_keys.insert(write.key);
            for (const auto& condition : next.change.conditions)
                conditions[condition.key] = condition.mod_revision;
            batch.push_back(std::move(next));
            changes->pop_front();
        }
        if (batch.empty())
            return pump_later(queue, writes,
                              std::max<Micros>(static_cast<Micros>(5e5 / write_rps_), kBatchDelay));
        ++queue.in_flight;
        send(queue, writes, std::move(batch));
    }
}

void StoreClient::send(Queue& queue, bool writes, std::vector<Pending> batch) {
    Json conditions = Json::array(), writes_json = Json::array();
    std::set<std::string> checked_keys;
    for (const auto& pending : batch) {
        for (const auto& condition : pending.change.conditions)
            if (checked_keys.insert(condition.key).second)
                conditions.push_back(Json{{"k", condition.key}, {"mark", condition.mod_revision}});
        if (!pending.change.writes.empty())
            sent_writes_[pending.change.purpose] += pending.change.writes.size();
        for (const auto& write : pending.change.writes) {
            if (write.value.is_null()) {
                writes_json.push_back(Json{{"drop", write.key}});
            } else {
                Json put{{"write", write.key}, {"data", write.value}};
                if (write.lease) put["lien"] = write.lease;
                writes_json.push_back(std::move(put));
            }
        }
    }
    Call call;
    call.method = "POST";
    call.path = "/commit";
    call.body = Json{{"when", std::move(conditions)}};
    if (!writes_json.empty()) call.body["then"] = std::move(writes_json);
    auto shared_batch = std::make_shared<std::vector<Pending>>(std::move(batch));
    request(std::move(call), [this, &queue, writes, shared_batch](const Reply& reply) {
        --queue.in_flight;
        handle_response(queue, writes, std::move(*shared_batch), reply);
        pump(queue, writes);
    });
}

void StoreClient::handle_response(Queue& queue, bool writes, std::vector<Pending> batch, const Reply& reply) {
    auto requeue = [&](std::vector<Pending>&& list, bool send_alone) {
        for (auto it = list.rbegin(); it != list.rend(); ++it) {
            it->send_alone = it->send_alone || send_alone;
            queue.pending[static_cast<std::size_t>(it->change.priority)].push_front(std::move(*it));
        }
    };
    auto finish = [](const std::vector<Pending>& list, const CommitResult& result) {
        for (const auto& pending : list) pending.on_done(result);
    };
    auto store_revision = wire::count(reply.body, "ledger");
    if (reply.status == 200 && (store_revision || !writes)) {
        if (writes) {
            own_revisions_.insert(*store_revision);
            if (own_revisions_.size() > kMaxOwnRevisions) own_revisions_.erase(own_revisions_.begin());
        }
        return finish(batch, {CommitStatus::Ok, store_revision.value_or(0), {}});
    }
    if (reply.status == 409) {
        std::set<std::string> failed;
        if (const Json* list = wire::find(reply.body, "failed"); list && list->is_array())
            for (const auto& key : *list)
                if (key.is_string()) failed.insert(key.get<std::string>());
        std::vector<Pending> conflicting, others;
        for (auto& pending : batch) {
            const bool is_conflicting =
                std::any_of(pending.change.conditions.begin(), pending.change.conditions.end(),
                            [&](const Condition& condition) { return failed.count(condition.key) > 0; });
            (is_conflicting ? conflicting : others).push_back(std::move(pending));
        }
        if (conflicting.empty()) return finish(others, {CommitStatus::Unknown, 0, {}});
        requeue(std::move(others), false);
        return finish(conflicting, {CommitStatus::Conflict, 0, {failed.begin(), failed.end()}});
    }
    if (reply.status == 429) {
        if (writes) reduce_write_rate(runtime_.now());
        // Other controllers use the same budget. Changes that have waited too long fail as Unavailable.
        const Micros now = runtime_.now();
        queue.pause_until =
            now + 60 * kMillisecond + static_cast<Micros>(runtime_.random()() % 80) * kMillisecond;
        std::vector<Pending> fresh, expired;
        for (auto& pending : batch)
            (now - pending.queued_at > 3 * kSecond ? expired : fresh).push_back(std::move(pending));
        requeue(std::move(fresh), false);
        return finish(expired, {CommitStatus::Unavailable, 0, {}});
    }
    if (reply.status == 503 || reply.status == kNotSent)
        return finish(batch, {CommitStatus::Unavailable, 0, {}});
    if (reply.status == 400) {
        if (batch.size() > 1) return requeue(std::move(batch), true);
        spdlog::error(
            "state service rejected a transaction on {}",
            batch.front().change.writes.empty() ? "nothing" : batch.front().change.writes.front().key);
        return finish(batch, {CommitStatus::Rejected, 0, {}});
    }
    finish(batch, {CommitStatus::Unknown, 0, {}});
}

}  // namespace cottonway
