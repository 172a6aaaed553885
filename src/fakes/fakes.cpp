#include "fakes/fakes.hpp"

#include <algorithm>
#include <cstdio>

#include "kvstore/records.hpp"

namespace cottonway::fakes {

namespace {

std::string query(const std::string& path, const std::string& key) {
    auto q = path.find('?');
    while (q != std::string::npos) {
        const auto end = path.find('&', q + 1);
        const std::string part = path.substr(q + 1, end == std::string::npos ? end : end - q - 1);
        if (part.compare(0, key.size() + 1, key + "=") == 0) return part.substr(key.size() + 1);
        q = end;
    }
    return "";
}

bool starts_with(const std::string& s, const std::string& prefix) {
    return s.compare(0, prefix.size(), prefix) == 0;
}

constexpr std::size_t kEvents = 10'000;

}  // namespace

// ---------------------------------------------------------------- state service

void StateService::note(const std::string& key, const Json& value) {
    events_.push_back({key, value, store_revision_});
    if (events_.size() > kEvents) events_.pop_front();
}

void StateService::drop_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [key, item] : items_)
        if (item.lease == id) attached.push_back(key);
    if (attached.empty()) return;
    ++store_revision_;
    for (const auto& key : attached) {
        items_.erase(key);
        note(key, Json());
    }
}

void StateService::expire_leases(Micros now) {
    if (down_) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
        if (lease.until < now) over.push_back(id);
    for (auto id : over) drop_lease(id);
}

void StateService::set_down(bool down, Micros now) {
    if (down_ && !down)
        for (auto& [id, lease] : leases_) lease.until = now + lease.ttl;
    down_ = down;
}

Micros StateService::block_time(const std::string& path) {
    const std::string ms = query(path, "block_ms");
    return ms.empty() ? 0 : std::stoll(ms) * kMillisecond;
}

std::optional<Reply> StateService::watch(const std::string& path, bool last) {
    if (down_) return std::nullopt;
    const std::string prefix = query(path, "starts");
    const auto since = std::stoull(query(path, "since"));
    if (events_.size() >= kEvents && since < events_.front().mod_revision) return Reply{410, Json::object()};
    Json news = Json::array();
    // In the order of their marks.
    auto e = std::upper_bound(
        events_.begin(), events_.end(), since,
        [](std::uint64_t mod_revision, const Event& event) { return mod_revision < event.mod_revision; });
    for (; e != events_.end(); ++e) {
        if (!starts_with(e->key, prefix)) continue;
        if (e->value.is_null())
            news.push_back(Json{{"drop", e->key}, {"mark", e->mod_revision}});
        else
            news.push_back(Json{{"write", e->key}, {"data", e->value}, {"mark", e->mod_revision}});
    }
    if (news.empty() && !last) return std::nullopt;
    return Reply{200, Json{{"ledger", store_revision_}, {"news", std::move(news)}}};
}

Reply StateService::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    if (down_) return {503, Json::object()};
    expire_leases(now);
    if (method == "GET" && starts_with(path, "/store/")) {
        auto it = items_.find(path.substr(7));
        if (it == items_.end()) return {404, Json{{"ledger", store_revision_}}};
        return {200, Json{{"k", it->first}, {"data", it->second.value}, {"mark", it->second.mod_revision}}};
    }
    if (method == "GET" && starts_with(path, "/store?")) {
        const std::string prefix = query(path, "starts"), since = query(path, "since");
        const auto page = std::stoul(query(path, "page"));
        Json pairs = Json::array();
        bool more = false;
        for (auto it = since.empty() ? items_.lower_bound(prefix) : items_.upper_bound(since);
             it != items_.end() && starts_with(it->first, prefix); ++it) {
            if (pairs.size() >= page) {
                more = true;
                break;
            }
            pairs.push_back(
                Json{{"k", it->first}, {"data", it->second.value}, {"mark", it->second.mod_revision}});
        }
        return {200, Json{{"pairs", std::move(pairs)}, {"has_next", more}, {"ledger", store_revision_}}};
    }
    if (method == "POST" && path == "/commit") return commit(body, now);
    if (method == "POST" && path == "/grants") {
        const auto ttl = static_cast<Micros>(wire::count(body, "ttl_ms").value_or(0)) * kMillisecond;
        leases_[next_lease_] = {ttl, now + ttl};
        return {200, Json{{"lien", next_lease_++}}};
    }
    if (method == "POST" && starts_with(path, "/grants/")) {
        auto it = leases_.find(std::stoull(path.substr(8)));
        if (it == leases_.end()) return {404, Json::object()};
        it->second.until = now + it->second.ttl;
        return {200, Json::object()};
    }
    return {400, Json::object()};
}

Reply StateService::commit(const Json& body, Micros now) {
    const Json* ops = wire::find(body, "then");
    const Json* conditions = wire::find(body, "when");
    const std::size_t count = ops ? ops->size() : 0;
    if (count > limits.txn_ops || (conditions && conditions->size() > 4 * limits.txn_ops))
        return {400, Json{{"error", "too many operations"}}};
    for (std::size_t i = 0; i < count; ++i)
        if (const Json* data = wire::find((*ops)[i], "data");
            data && data->dump().size() > limits.value_bytes)
            return {400, Json{{"error", "value too large"}}};
    if (limits.write_rps > 0 && count > 0) {
        writes_left_ = std::min(
            limits.write_rps, writes_left_ + limits.write_rps * static_cast<double>(now - writes_at_) / 1e6);
        writes_at_ = now;
        if (writes_left_ < static_cast<double>(count)) return {429, Json::object()};
        writes_left_ -= static_cast<double>(count);
    }
    Json failed = Json::array();
    if (const Json* when = wire::find(body, "when"))
        for (const auto& c : *when) {
            const std::string key = wire::text(c, "k").value_or("");
            auto it = items_.find(key);
            if ((it == items_.end() ? 0 : it->second.mod_revision) != wire::count(c, "mark").value_or(0))
                failed.push_back(key);
        }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", store_revision_}}};
    const Json* then = wire::find(body, "then");
    if (!then) return {200, Json{{"ledger", store_revision_}}};
    for (const auto& op : *then)
        if (auto lease = wire::count(op, "lien"); lease && !leases_.count(*lease))
            return {400, Json{{"error", "no such lease"}}};
    ++store_revision_;
    // All are one change, so the news may tell of them in any order: the last first.
    for (auto op = then->rbegin(); op != then->rend(); ++op) {
        if (auto key = wire::text(*op, "write")) {
            const Json* data = wire::find(*op, "data");
            items_[*key] = {data ? *data : Json(), store_revision_, wire::count(*op, "lien").value_or(0)};
            note(*key, items_[*key].value);
        } else if (auto drop = wire::text(*op, "drop")) {
            items_.erase(*drop);
            note(*drop, Json());
        }
    }
    return {200, Json{{"ledger", store_revision_}}};
}

void add_finished_jobs(StateService& state, int jobs) {
    for (int i = 0; i < jobs; ++i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%07d", 2'000'000 + i);
        state.put(keys::job + ref,
                  {{"s", i % 20 ? "done" : "cancelled"}, {"dom", "loom-0"}, {"k", 12}, {"fd", 12}});
    }
    // Whoever finished them had set history apart.
    if (jobs > 0) state.put(keys::history, {{"apart", true}});
}

// ---------------------------------------------------------------- worker

Worker::Worker(std::string name, std::string addr, MachineType type, std::string zone, bool spot,
               Micros lease, Micros gang_wait, TaskObserver& observer, Micros now)
    : name_(std::move(name)),
      addr_(std::move(addr)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      spot_(spot),
      lease_(lease),
      gang_wait_(gang_wait),
      observer_(observer),
      leased_from_(now) {}

Worker::~Worker() {
    kill_all_tasks();
}

void Worker::kill_all_tasks() {
    for (auto& t : tasks_)
        if (t.on) observer_.on_task_stopped(name_, t.job, t.task, t.attempt);
    tasks_.clear();
}

void Worker::exit(Task& t, const char* cause) {
    if (t.on) observer_.on_task_stopped(name_, t.job, t.task, t.attempt);
    t.on = false;
    t.phase = Phase::Exited;
    t.cause = cause;
    has_unreported_changes = true;
}

void Worker::expire_session(Micros now) {
    if (now - leased_from_ <= lease_) return;
    kill_all_tasks();
    ++session_;
    leased_from_ = now;
    has_unreported_changes = true;
}

bool Worker::has_image(const JobSpec& spec) const {
    auto it = images_.find(spec.image);
    return it != images_.end() && it->second.left <= 0;
}

void Worker::use_image(const JobSpec& spec, Micros now) {
    const double gb = static_cast<double>(spec.image_gb) / 1000;
    images_[spec.image] = {gb, 0, now};
    double total = 0;
    for (const auto& [name, image] : images_) total += image.left > 0 ? 0 : image.gb;
    while (total > static_cast<double>(type_.cache_gb) / 1000) {
        auto oldest = images_.end();
        for (auto it = images_.begin(); it != images_.end(); ++it)
            if (it->second.left <= 0 && it->first != spec.image &&
                (oldest == images_.end() || it->second.used < oldest->second.used))
                oldest = it;
        if (oldest == images_.end()) return;
        total -= oldest->second.gb;
        images_.erase(oldest);
    }
}

void Worker::fetch(Micros now) {
    std::set<std::string> wanted;
    for (const auto& t : tasks_) {
        const JobInfo* info = t.phase == Phase::Fetching ? observer_.job(t.job) : nullptr;
        if (!info || info->image_fetch_time >= 0 || has_image(info->spec)) continue;
        const double gb = static_cast<double>(info->spec.image_gb) / 1000;
        wanted.insert(info->spec.image);
        images_.try_emplace(info->spec.image, Image{gb, std::max(gb, 1e-6), now});
    }
    // Given up when no task waits for it any more.
    std::erase_if(images_, [&](const auto& i) { return i.second.left > 0 && !wanted.count(i.first); });
    const double each = type_.fetch_gb_per_s * static_cast<double>(now - std::exchange(fetched_at_, now)) /
                        1e6 / static_cast<double>(std::max<std::size_t>(wanted.size(), 1));
    for (const auto& name : wanted) images_[name].left -= each;
}

void Worker::advance(Micros now) {
    expire_session(now);
    fetch(now);
    for (auto& t : tasks_) {
        if (t.phase == Phase::Exited) continue;
        const JobInfo* info = observer_.job(t.job);
        const std::string id = t.job + "/" + std::to_string(t.task);
        if (t.phase == Phase::Fetching &&
            (has_image(info->spec) ||
             (info->image_fetch_time >= 0 && now - t.since >= info->image_fetch_time))) {
            use_image(info->spec, now);
            t.on = true;
            observer_.on_task_started(name_, t.job, t.task, t.attempt);
            t.since = now;
            t.phase = info->spec.kind == JobKind::Gang ? Phase::Waiting : Phase::Running;
            if (results_.count(id)) exit(t, "done");
            has_unreported_changes = true;
        } else if (t.phase == Phase::Waiting) {
            if (observer_.is_gang_complete(t.job, t.attempt)) {
                t.phase = Phase::Running;
                t.since = now;
                has_unreported_changes = true;
            } else if (now - t.since > gang_wait_) {
                exit(t, "incomplete");
            }
        } else if (t.phase == Phase::Running) {
            if (info->spec.kind == JobKind::Gang && !observer_.is_gang_intact(t.job, t.attempt) &&
                now - t.since < info->run_time) {
                exit(t, "mates_gone");
            } else if (info->always_fails || faulty) {
                exit(t, "error");
            } else if (info->spec.kind != JobKind::Service && now - t.since >= info->run_time) {
                results_.insert(id);
                observer_.on_task_completed(t.job, t.task, t.attempt);
                exit(t, "done");
            }
        } else if (t.phase == Phase::Saving && now - t.since >= info->spec.save) {
            exit(t, "stopped");
        }
    }
}

void Worker::execute(const Json& orders, Micros now) {
    for (const auto& o : orders) {
        const std::string kind = wire::text(o, "order").value_or("");
        const std::string name = wire::text(o, "thread").value_or("/");
        const auto slash = name.rfind('/');
        const std::string job = name.substr(0, slash);
        const int task = std::atoi(name.c_str() + slash + 1);
        const auto attempt = static_cast<std::int64_t>(wire::count(o, "try").value_or(0));
        auto same = [&](const Task& t) { return t.job == job && t.task == task && t.attempt == attempt; };
        auto it = std::find_if(tasks_.begin(), tasks_.end(), same);
        if (kind == "launch") {
            if (it != tasks_.end()) continue;
            Task t{job, task, attempt, Phase::Fetching, "", now, false};
            const JobInfo* info = observer_.job(job);
            Resources used;
            bool busy = false;
            for (const auto& other : tasks_) {
                if (other.phase == Phase::Exited) continue;
                used += observer_.job(other.job)->spec.request;
                busy = busy || (other.job == job && other.task == task);
            }
            if (!info)
                exit(t, "no_such");
            else if (busy)
                exit(t, "in_use");
            else if (!info->spec.request.fits(type_.size - used))
                exit(t, "full");
            tasks_.push_back(t);
            has_unreported_changes = true;
        } else if (kind == "stop" && it != tasks_.end() && it->phase != Phase::Exited) {
            const JobInfo* info = observer_.job(job);
            const double grace = wire::number(o, "slack_s").value_or(0);
            const bool can_save =
                info->spec.checkpoint > 0 && grace * 1e6 >= static_cast<double>(info->spec.save);
            if (it->phase == Phase::Running && can_save) {
                it->phase = Phase::Saving;
                it->since = now;
                has_unreported_changes = true;
            } else if (it->phase != Phase::Saving || grace == 0) {
                exit(*it, "stopped");
            }
        } else if (kind == "clear" && it != tasks_.end() && it->phase == Phase::Exited) {
            tasks_.erase(it);
            has_unreported_changes = true;
        }
    }
    advance(now);
}

Json Worker::report(Micros now) {
    advance(now);
    has_unreported_changes = false;
    Json tasks = Json::array();
    for (const auto& t : tasks_) {
        static const char* const names[] = {"pulling", "gathering", "running", "saving", "exited"};
        Json v{{"thread", t.job + "/" + std::to_string(t.task)},
               {"try", t.attempt},
               {"stage", names[static_cast<int>(t.phase)]}};
        if (t.phase == Phase::Exited) v["cause"] = t.cause;
        tasks.push_back(std::move(v));
    }
    Json v{{"frame", name_},  {"addr", addr_},     {"loom_type", type_.name},
           {"mill", zone_},   {"remnant", spot_},  {"shift", session_},
           {"tally", ++seq_}, {"shuttle", token_}, {"threads", std::move(tasks)}};
    if (reclaim_deadline)
        v["warning_s"] = static_cast<double>(std::max<Micros>(*reclaim_deadline - now, 0)) / 1e6;
    return v;
}

void Worker::on_report_answered(const Json& body, std::uint64_t session_then, Micros sent, Micros now) {
    advance(now);
    if (session_then != session_) return;
    const auto token = wire::count(body, "shuttle");
    if (!token || *token < token_) return;
    if (*token > token_) has_unreported_changes = true;
    token_ = *token;
    leased_from_ = std::max(leased_from_, sent);
    if (const Json* orders = wire::find(body, "orders")) execute(*orders, now);
}

Reply Worker::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    advance(now);
    if (method == "GET" && path == "/show") return {200, report(now)};
    const auto token = wire::count(body, "shuttle"), session = wire::count(body, "shift");
    if (!token || !session) return {400, Json::object()};
    if (*token < token_ || *session != session_) return {409, report(now)};
    if (*token > token_) has_unreported_changes = true;
    token_ = *token;
    if (const Json* orders = wire::find(body, "orders")) execute(*orders, now);
    return {200, report(now)};
}

std::vector<std::pair<std::string, int>> Worker::occupying_tasks() const {
    std::vector<std::pair<std::string, int>> out;
    for (const auto& t : tasks_)
        if (t.phase != Phase::Exited) out.emplace_back(t.job, t.task);
    return out;
}

// ---------------------------------------------------------------- cloud

const MachineType* Cloud::type(const std::string& name) const {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

std::string Cloud::rent_machine(const std::string& type_name, const std::string& zone, bool spot, Micros now,
                                Micros boot) {
    char number[16];
    std::snprintf(number, sizeof number, "%06d", next_++);
    const std::string name = machine_name_prefix + number;
    Machine m;
    m.info = {name, "", type_name, zone, spot, CloudState::Starting, 0};
    m.rented_at = now;
    m.boot_ends_at = now + boot;
    machines_[name] = m;
    return name;
}

/// As of a moment in the past.
void Cloud::list(const std::string& name, Machine& m, Micros as_of, Json& to) const {
    static const char* const states[] = {"starting", "running", "failed"};
    m.listed = m.listed || m.rented_at <= as_of;
    if (!m.listed || (m.deleted_at > 0 && m.deleted_at <= as_of)) return;
    const bool then_up = m.boot_ends_at <= as_of || list_lag == 0;
    const CloudState state = then_up ? m.info.state : CloudState::Starting;
    to.push_back(Json{{"ref", name},
                      {"addr", then_up ? m.info.addr : ""},
                      {"loom_type", m.info.type},
                      {"mill", m.info.zone},
                      {"remnant", m.info.spot},
                      {"stage", states[static_cast<int>(state)]},
                      {"held_s", static_cast<double>(std::max<Micros>(as_of - m.rented_at, 0)) / 1e6}});
}

Reply Cloud::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    if (down) return {503, Json{{"error", "trouble"}}};
    if (method == "GET" && path == "/machine_types") {
        Json list = Json::array();
        for (const auto& t : types_)
            list.push_back(Json{{"name", t.name},
                                {"cores", static_cast<double>(t.size.cores) / 1000},
                                {"cards", static_cast<double>(t.size.gpus) / 1000},
                                {"ram_gb", static_cast<double>(t.size.ram) / 1000},
                                {"cache_gb", static_cast<double>(t.cache_gb) / 1000},
                                {"fetch_gb_per_s", t.fetch_gb_per_s},
                                {"price", t.price},
                                {"spot_price", t.spot_price},
                                {"ready_s", static_cast<double>(t.boot) / 1e6},
                                {"mills", t.zones}});
        return {200, Json{{"looms", list}}};
    }
    if (method == "POST" && path == "/machines") {
        const std::string name = wire::text(body, "hire").value_or("");
        auto known = requests_.find(name);
        if (known != requests_.end()) return {200, Json{{"frames", known->second}}};
        const auto* t = type(wire::text(body, "loom_type").value_or(""));
        if (!t || name.empty()) return {400, Json::object()};
        const int count = std::min(static_cast<int>(wire::count(body, "how_many").value_or(0)), capacity);
        if (count == 0) return {503, Json{{"error", "no capacity"}}};
        std::vector<std::string> names;
        for (int i = 0; i < count; ++i) {
            names.push_back(rent_machine(t->name, wire::text(body, "mill").value_or(""),
                                         wire::flag(body, "remnant").value_or(false), now, t->boot));
            --capacity;
        }
        requests_[name] = names;
        return {200, Json{{"frames", names}}};
    }
    if (method == "POST" && path == "/machines/delete") {
        if (const Json* names = wire::find(body, "frames"))
            for (const auto& n : *names) {
                const auto name = n.get<std::string>();
                if (auto m = machines_.extract(name)) {
                    ++capacity;
                    m.mapped().deleted_at = now;
                    if (list_lag > 0) gone_.insert(std::move(m));
                }
                if (on_delete) on_delete(name);
            }
        return {200, Json::object()};
    }
    if (method == "GET" && starts_with(path, "/machines?")) {
        Json frames = Json::array();
        const Micros as_of =
            now - (list_lag > 0 ? list_lag + static_cast<Micros>(random_()) % (list_lag + 1) : 0);
        for (auto& [name, m] : machines_) list(name, m, as_of, frames);
        for (auto& [name, m] : gone_) list(name, m, as_of, frames);
        return {200, Json{{"frames", std::move(frames)}, {"has_next", false}}};
    }
    return {404, Json::object()};
}

}  // namespace cottonway::fakes
