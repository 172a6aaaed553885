#include "kvstore/store_client.hpp"

#include <algorithm>
#include <memory>
#include <set>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr int kMaxInFlight = 3;
constexpr std::size_t kMaxQueue = 5000;
constexpr std::size_t kMaxBatchBytes = 48 * 1024;
constexpr std::size_t kMaxOwn = 200;
constexpr Micros kGather = 3 * kMillisecond;
// Share of a second's changes that must be left over for changes of each priority.
constexpr std::array<double, kPriorityCount> kReserve{0.0, 0.15, 0.5};
// The same for what can wait for as long as it takes.
constexpr double kQuiet = 0.9;
// Of the announced rate of changes: what is used, a burst of all controllers, and one of ours.
constexpr double kUsed = 0.95;
constexpr double kBurst = 0.9;
double our_part(double write_rps, const Settings& settings) {
    return write_rps * kBurst / static_cast<double>(settings.peers.size() + 1);
}
// A record that is put together must not stand in a queue meanwhile.
constexpr std::size_t kRoomQueue = 4;
}  // namespace

void RateBudget::refill(Micros now) {
    if (at_ == 0) at_ = now;
    left_ = std::min(burst_, left_ + rate_ * static_cast<double>(now - at_) / 1e6);
    at_ = now;
}

Micros RateBudget::take(Micros now, double amount, double reserve) {
    refill(now);
    amount = std::min(amount, burst_ - reserve);
    if (left_ >= amount + reserve) {
        left_ -= amount;
        return 0;
    }
    return static_cast<Micros>((amount + reserve - left_) / rate_ * 1e6) + kMillisecond;
}

void RateBudget::drain(Micros now, double amount) {
    refill(now);
    left_ = std::max(left_ - amount, -burst_);
}

double RateBudget::left(Micros now) {
    refill(now);
    return left_;
}

void RateBudget::set_rate(double per_second, double burst) {
    rate_ = per_second;
    burst_ = burst;
    left_ = std::min(left_, burst);
}

std::size_t StoreClient::Queue::size() const {
    std::size_t n = 0;
    for (const auto& q : pending) n += q.size();
    return n;
}

std::deque<StoreClient::Pending>* StoreClient::Queue::first() {
    for (auto& q : pending)
        if (!q.empty()) return &q;
    return nullptr;
}

// Requests are shared out evenly, with half as much again, since not all controllers need theirs at once.
// What others write is seen in the news, so of the changes each takes what is left.
StoreClient::StoreClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      requests_(settings.state_rps * std::min(0.9, 1.4 / static_cast<double>(settings.peers.size() + 1)),
                settings.state_rps * 0.3),
      writes_(settings.state_write_rps * kUsed, settings.state_write_rps * kBurst),
      write_rps_(settings.state_write_rps),
      fair_(our_part(settings.state_write_rps, settings), our_part(settings.state_write_rps, settings)) {}

void StoreClient::observe(Revision mod_revision) {
    if (own_.count(mod_revision) == 0) writes_.drain(runtime_.now(), 1);
}

bool StoreClient::has_write_budget(Priority priority) {
    const Micros now = runtime_.now();
    // What is less urgent and waits for quiet moments keeps nobody waiting.
    std::size_t ahead = 0;
    for (std::size_t p = 0; p <= static_cast<std::size_t>(priority); ++p)
        ahead += write_queue_.pending[p].size();
    if (ahead >= kRoomQueue || now < write_queue_.pause_until) return false;
    if (priority != Priority::Deferrable && fair_.left(now) >= 1) return true;
    return writes_.level(now) > kReserve[static_cast<std::size_t>(priority)];
}

bool StoreClient::is_quiet() {
    const Micros now = runtime_.now();
    return write_queue_.size() == 0 && now >= write_queue_.pause_until && writes_.level(now) > kQuiet;
}

bool StoreClient::take_writes(Micros now, std::size_t changes, Priority priority) {
    const auto amount = static_cast<double>(changes);
    const double reserve = kReserve[static_cast<std::size_t>(priority)] * write_rps_ * kBurst;
    if (priority != Priority::Deferrable && fair_.take(now, amount) == 0) {
        writes_.drain(now, amount);
        return true;
    }
    return writes_.take(now, amount, reserve) == 0;
}

void StoreClient::request(Call call, ReplyHandler done) {
    call.target = Target::State;
    if (const Micros wait = requests_.take(runtime_.now(), 1); wait > 0) {
        if (wait > kSecond) {
            runtime_.after(0, [done = std::move(done)] { done(Reply{429, {}}); });
            return;
        }
        runtime_.after(wait, [this, call = std::move(call), done = std::move(done)]() mutable {
            request(std::move(call), std::move(done));
        });
        return;
    }
    runtime_.call(std::move(call), [this, done = std::move(done)](const Reply& r) {
        if (r.status <= 0 || r.status == 503) {
            ++failures_;
        } else if (r.status != 429) {
            failures_ = 0;
            last_contact_ = runtime_.now();
        }
        done(r);
    });
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> done) {
    Call call;
    call.method = "GET";
    call.path = "/store/" + key;
    call.timeout = 1500 * kMillisecond;
    request(std::move(call), [this, done = std::move(done)](const Reply& r) {
        ReadResult result;
        if (r.status == 404 && r.body.is_object()) {
            result.ok = true;
        } else if (r.status == 200) {
            const Json* data = wire::find(r.body, "data");
            auto mod_revision = wire::count(r.body, "mark");
            if (data && mod_revision) result = {true, true, *data, *mod_revision};
        }
        if (result.found && chunks::chunk_reference(result.value))
            return read_pieces(std::move(result), {}, std::move(done));
        done(std::move(result));
    });
}

/// A piece that is missing means that the record has been replaced since: then nothing is known.
void StoreClient::read_pieces(ReadResult head, std::vector<std::string> texts,
                              std::function<void(ReadResult)> done) {
    const auto named = chunks::chunk_reference(head.value);
    if (texts.size() >= named->second) {
        auto whole = chunks::join(head.value, texts);
        if (!whole) return done({});
        head.value = std::move(*whole);
        return done(std::move(head));
    }
    const std::string key = chunks::key(named->first, texts.size());
    read(key, [this, head = std::move(head), texts = std::move(texts),
               done = std::move(done)](const ReadResult& r) mutable {
        auto text = r.found ? wire::text(r.value, "t") : std::nullopt;
        if (!text) return done({});
        texts.push_back(std::move(*text));
        read_pieces(std::move(head), std::move(texts), std::move(done));
    });
}

void StoreClient::list(const std::string& prefix, NextPageKey next_page_key,
                       std::function<void(const Entry&)> each, std::function<void(ListResult)> done) {
    list_page(prefix, "", std::move(next_page_key), std::move(each), std::make_shared<ListResult>(),
              std::move(done));
}

void StoreClient::list_page(const std::string& prefix, const std::string& since, NextPageKey next_page_key,
                            std::function<void(const Entry&)> each, std::shared_ptr<ListResult> result,
                            std::function<void(ListResult)> done) {
    Call call;
    call.method = "GET";
    call.path = "/store?starts=" + prefix + (since.empty() ? "" : "&since=" + since) + "&page=1000";
    call.timeout = 4 * kSecond;
    request(std::move(call),
            [this, prefix, since, next_page_key = std::move(next_page_key), each = std::move(each), result,
             done = std::move(done)](const Reply& r) mutable {
                const Json* pairs = wire::find(r.body, "pairs");
                auto store_revision = wire::count(r.body, "ledger");
                if (r.status != 200 || !pairs || !pairs->is_array() || !store_revision)
                    return done(ListResult{});
                if (since.empty()) result->store_revision = *store_revision;
                ++result->requests;
                std::string last;
                for (const auto& p : *pairs) {
                    auto key = wire::text(p, "k");
                    auto mod_revision = wire::count(p, "mark");
                    if (!key || !mod_revision) return done(ListResult{});
                    last = *key;
                    const Json* data = wire::find(p, "data");
                    each(Entry{*key, data ? *data : Json(), *mod_revision, result->store_revision});
                }
                if (wire::flag(r.body, "has_next").value_or(false) && !last.empty()) {
                    const std::string next = next_page_key(last);
                    return list_page(prefix, next, std::move(next_page_key), std::move(each), result,
                                     std::move(done));
                }
                result->ok = true;
                done(std::move(*result));
            });
}

void StoreClient::watch(const std::string& prefix, Revision since, Micros block, ReplyHandler done) {
    Call call;
    call.method = "GET";
    call.path = "/changes?starts=" + prefix + "&since=" + std::to_string(since) +
                "&block_ms=" + std::to_string(block / kMillisecond);
    call.timeout = block + 4 * kSecond;
    request(std::move(call), std::move(done));
}

void StoreClient::grant_lease(Micros ttl, std::function<void(std::uint64_t)> done) {
    Call call;
    call.method = "POST";
    call.path = "/grants";
    call.body = Json{{"ttl_ms", ttl / kMillisecond}};
    request(std::move(call), [done = std::move(done)](const Reply& r) {
        done(r.status == 200 ? wire::count(r.body, "lien").value_or(0) : 0);
    });
}

void StoreClient::renew_lease(std::uint64_t lease, std::function<void(int)> done) {
    Call call;
    call.method = "POST";
    call.path = "/grants/" + std::to_string(lease) + "/extend";
    call.body = Json::object();
    call.timeout = kSecond;
    request(std::move(call), [done = std::move(done)](const Reply& r) { done(r.status); });
}

void StoreClient::commit(Change change, std::function<void(const CommitResult&)> done) {
    bool too_large = false;
    for (auto& w : change.writes) {
        w.bytes = w.value.is_null() ? 0 : chunks::stored_size(w.value);
        too_large = too_large || (w.value.is_object() && w.bytes > settings_.max_value_bytes);
    }
    if (too_large && in_pieces_) return commit_in_pieces(std::move(change), std::move(done));
    enqueue(std::move(change), std::move(done));
}

/// The pieces first, under names that nobody else uses; then the change itself, with heads for what is too
/// large, on condition that the pieces stand as written. Whatever fails before that has changed nothing that
/// counts.
void StoreClient::commit_in_pieces(Change change, std::function<void(const CommitResult&)> done) {
    struct Parts {
        Change change;
        std::function<void(const CommitResult&)> done;
        std::size_t missing = 0;
        bool failed = false;
    };
    auto pending = std::make_shared<Parts>();
    std::vector<Write> parts;
    for (auto& w : change.writes) {
        if (!w.value.is_object() || w.bytes <= settings_.max_value_bytes) continue;
        char name[24];
        std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(runtime_.random()()));
        auto split = chunks::split(w.value, name, settings_.max_value_bytes);
        for (std::size_t i = 0; i < split.texts.size(); ++i)
            parts.push_back({chunks::key(name, i), chunks::chunk_record(w.key, split.texts[i])});
        w.value = std::move(split.head);
        w.bytes = chunks::stored_size(w.value);
    }
    if (change.conditions.size() + parts.size() > settings_.max_txn_ops * 4) {
        spdlog::error("{} is too large to be stored: {} pieces", change.writes.front().key, parts.size());
        return runtime_.after(0, [done = std::move(done)] { done({CommitStatus::Rejected, 0, {}}); });
    }
    pending->change = std::move(change);
    pending->done = std::move(done);
    pending->missing = parts.size();
    for (auto& part : parts) {
        Change first;
        first.priority = pending->change.priority;
        first.purpose = "piece";
        const std::string key = part.key;
        part.bytes = chunks::stored_size(part.value);
        first.writes.push_back(std::move(part));
        enqueue(std::move(first), [this, pending, key](const CommitResult& r) {
            pending->failed = pending->failed || r.status != CommitStatus::Ok;
            pending->change.conditions.push_back({key, r.revision});
            if (--pending->missing > 0) return;
            if (pending->failed) return pending->done({CommitStatus::Unavailable, 0, {}});
            enqueue(std::move(pending->change), std::move(pending->done));
        });
    }
}

/// The service refuses more changes than it used to take: from then on the rate that it was announced to
/// have.
void StoreClient::slow_down(Micros now) {
    const bool again = now - std::exchange(refused_at_, now) < 2 * kSecond;
    if (!again || write_rps_ <= settings_.next_write_rps) return;
    write_rps_ = settings_.next_write_rps;
    spdlog::info("the state service takes fewer changes: {} a second from now on", write_rps_);
    writes_.set_rate(write_rps_ * kUsed, write_rps_ * kBurst);
    const double part = our_part(write_rps_, settings_);
    fair_.set_rate(part, part);
}

void StoreClient::enqueue(Change change, std::function<void(const CommitResult&)> done) {
    const bool writes = !change.writes.empty();
    Queue& queue = writes ? write_queue_ : check_queue_;
    if (queue.size() >= kMaxQueue) {
        runtime_.after(0, [done = std::move(done)] { done({CommitStatus::Unavailable, 0, {}}); });
        return;
    }
    const auto priority = static_cast<std::size_t>(change.priority);
    queue.pending[priority].push_back({std::move(change), std::move(done), runtime_.now(), false});
    pump(queue, writes);
}

void StoreClient::later(Queue& queue, bool writes, Micros delay) {
    if (queue.timer) return;
    queue.timer = true;
    runtime_.after(delay, [this, &queue, writes] {
        queue.timer = false;
        pump(queue, writes);
    });
}

void StoreClient::pump(Queue& queue, bool writes) {
    while (queue.in_flight < kMaxInFlight) {
        auto* first = queue.first();
        if (!first) return;
        const Micros now = runtime_.now();
        if (now < queue.pause_until) return later(queue, writes, queue.pause_until - now);
        // A moment to gather what belongs into the same transaction.
        const Micros age = now - first->front().queued;
        if (age < kGather) return later(queue, writes, kGather - age);
        std::vector<Pending> batch;
        std::set<std::string> keys;
        std::map<std::string, Revision> conditions;
        std::size_t ops = 0, bytes = 0;
        while (!first->empty()) {
            Pending& p = first->front();
            std::size_t size = 64;
            bool clash = false;
            // As if carried out one after the other: no change rests on what one before it writes. All
            // conditions are judged as of before the transaction, so two that undo each other's would both be
            // carried out.
            for (const auto& w : p.change.writes) {
                size += w.key.size() + 32 + w.bytes;
                clash = clash || keys.count(w.key) > 0;
            }
            for (const auto& c : p.change.conditions) {
                size += c.key.size() + 32;
                auto it = conditions.find(c.key);
                clash = clash || keys.count(c.key) > 0 ||
                        (it != conditions.end() && it->second != c.mod_revision);
            }
            if (!batch.empty() &&
                (clash || p.alone || batch.back().alone ||
                 ops + p.change.writes.size() > settings_.max_txn_ops ||
                 conditions.size() + p.change.conditions.size() > settings_.max_txn_ops * 4 ||
                 bytes + size > kMaxBatchBytes))
                break;
            // As many as the budget has room for; the rest when there is more.
            if (writes && !take_writes(now, p.change.writes.size(), p.change.priority)) break;
            ops += p.change.writes.size();
            bytes += size;
            for (const auto& w : p.change.writes) keys.insert(w.key);
            for (const auto& c : p.change.conditions) conditions[c.key] = c.mod_revision;
            batch.push_back(std::move(p));
            first->pop_front();
        }
        if (batch.empty())
            return later(queue, writes, std::max<Micros>(static_cast<Micros>(5e5 / write_rps_), kGather));
        ++queue.in_flight;
        send(queue, writes, std::move(batch));
    }
}

void StoreClient::send(Queue& queue, bool writes, std::vector<Pending> batch) {
    Json when = Json::array(), then = Json::array();
    std::set<std::string> seen;
    for (const auto& p : batch) {
        for (const auto& c : p.change.conditions)
            if (seen.insert(c.key).second) when.push_back(Json{{"k", c.key}, {"mark", c.mod_revision}});
        if (!p.change.writes.empty()) sent_[p.change.purpose] += p.change.writes.size();
        for (const auto& w : p.change.writes) {
            if (w.value.is_null()) {
                then.push_back(Json{{"drop", w.key}});
            } else {
                Json op{{"write", w.key}, {"data", w.value}};
                if (w.lease) op["lien"] = w.lease;
                then.push_back(std::move(op));
            }
        }
    }
    Call call;
    call.method = "POST";
    call.path = "/commit";
    call.body = Json{{"when", std::move(when)}};
    if (!then.empty()) call.body["then"] = std::move(then);
    auto held = std::make_shared<std::vector<Pending>>(std::move(batch));
    request(std::move(call), [this, &queue, writes, held](const Reply& r) {
        --queue.in_flight;
        settle(queue, writes, std::move(*held), r);
        pump(queue, writes);
    });
}

void StoreClient::settle(Queue& queue, bool writes, std::vector<Pending> batch, const Reply& reply) {
    auto requeue = [&](std::vector<Pending>&& list, bool alone) {
        for (auto it = list.rbegin(); it != list.rend(); ++it) {
            it->alone = it->alone || alone;
            queue.pending[static_cast<std::size_t>(it->change.priority)].push_front(std::move(*it));
        }
    };
    auto finish = [](const std::vector<Pending>& list, const CommitResult& result) {
        for (const auto& p : list) p.done(result);
    };
    auto store_revision = wire::count(reply.body, "ledger");
    if (reply.status == 200 && (store_revision || !writes)) {
        if (writes) {
            own_.insert(*store_revision);
            if (own_.size() > kMaxOwn) own_.erase(own_.begin());
        }
        return finish(batch, {CommitStatus::Ok, store_revision.value_or(0), {}});
    }
    if (reply.status == 409) {
        std::set<std::string> failed;
        if (const Json* list = wire::find(reply.body, "failed"); list && list->is_array())
            for (const auto& k : *list)
                if (k.is_string()) failed.insert(k.get<std::string>());
        std::vector<Pending> hit, rest;
        for (auto& p : batch) {
            const bool touched = std::any_of(p.change.conditions.begin(), p.change.conditions.end(),
                                             [&](const Condition& c) { return failed.count(c.key) > 0; });
            (touched ? hit : rest).push_back(std::move(p));
        }
        if (hit.empty()) return finish(rest, {CommitStatus::Unknown, 0, {}});
        requeue(std::move(rest), false);
        return finish(hit, {CommitStatus::Conflict, 0, {failed.begin(), failed.end()}});
    }
    if (reply.status == 429) {
        if (writes) slow_down(runtime_.now());
        // Others use the same budget; what has waited too long is given back to its caller.
        const Micros now = runtime_.now();
        queue.pause_until =
            now + 60 * kMillisecond + static_cast<Micros>(runtime_.random()() % 80) * kMillisecond;
        std::vector<Pending> fresh, old;
        for (auto& p : batch) (now - p.queued > 3 * kSecond ? old : fresh).push_back(std::move(p));
        requeue(std::move(fresh), false);
        return finish(old, {CommitStatus::Unavailable, 0, {}});
    }
    if (reply.status == 503 || reply.status == kNotSent)
        return finish(batch, {CommitStatus::Unavailable, 0, {}});
    if (reply.status == 400) {
        if (batch.size() > 1) return requeue(std::move(batch), true);
        spdlog::error(
            "state service rejects a transaction on {}",
            batch.front().change.writes.empty() ? "nothing" : batch.front().change.writes.front().key);
        return finish(batch, {CommitStatus::Rejected, 0, {}});
    }
    finish(batch, {CommitStatus::Unknown, 0, {}});
}

}  // namespace cottonway
