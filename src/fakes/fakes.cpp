#include "fakes/fakes.hpp"

#include <algorithm>
#include <cstdio>

#include "kvstore/records.hpp"

namespace cottonway::fakes {

namespace {

std::string query_parameter(const std::string& path, const std::string& key) {
    auto start = path.find('?');
    while (start != std::string::npos) {
        const auto end = path.find('&', start + 1);
        const std::string parameter =
            path.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (parameter.compare(0, key.size() + 1, key + "=") == 0) return parameter.substr(key.size() + 1);
        start = end;
    }
    return "";
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

constexpr std::size_t kMaxEvents = 10'000;  // kept for watches; a watch from before them gets 410

}  // namespace

// ---------------------------------------------------------------- state service

void StateService::record_event(const std::string& key, const Json& value) {
    events_.push_back({key, value, store_revision_});
    if (events_.size() > kMaxEvents) events_.pop_front();
}

void StateService::revoke_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached_keys;
    for (const auto& [key, item] : items_)
        if (item.lease_id == id) attached_keys.push_back(key);
    if (attached_keys.empty()) return;
    ++store_revision_;
    for (const auto& key : attached_keys) {
        items_.erase(key);
        record_event(key, Json());
    }
}

void StateService::expire_leases(Micros now) {
    if (down_) return;
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : leases_)
        if (lease.expires_at < now) expired.push_back(id);
    for (auto id : expired) revoke_lease(id);
}

void StateService::set_down(bool down, Micros now) {
    if (down_ && !down)
        for (auto& [id, lease] : leases_) lease.expires_at = now + lease.ttl;
    down_ = down;
}

Micros StateService::block_time(const std::string& path) {
    const std::string milliseconds = query_parameter(path, "block_ms");
    return milliseconds.empty() ? 0 : std::stoll(milliseconds) * kMillisecond;
}

std::optional<Reply> StateService::watch(const std::string& path, bool deadline_reached) {
    if (down_) return std::nullopt;
    const std::string prefix = query_parameter(path, "starts");
    const auto since = std::stoull(query_parameter(path, "since"));
    if (events_.size() >= kMaxEvents && since < events_.front().mod_revision)
        return Reply{410, Json::object()};
    Json events = Json::array();
    // Events are ordered by mod_revision.
    auto event = std::upper_bound(
        events_.begin(), events_.end(), since,
        [](std::uint64_t mod_revision, const Event& other) { return mod_revision < other.mod_revision; });
    for (; event != events_.end(); ++event) {
        if (!starts_with(event->key, prefix)) continue;
        if (event->value.is_null())
            events.push_back(Json{{"drop", event->key}, {"mark", event->mod_revision}});
        else
            events.push_back(
                Json{{"write", event->key}, {"data", event->value}, {"mark", event->mod_revision}});
    }
    if (events.empty() && !deadline_reached) return std::nullopt;
    return Reply{200, Json{{"ledger", store_revision_}, {"news", std::move(events)}}};
}

Reply StateService::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    if (down_) return {503, Json::object()};
    expire_leases(now);
    if (method == "GET" && starts_with(path, "/store/")) {
        auto found = items_.find(path.substr(7));
        if (found == items_.end()) return {404, Json{{"ledger", store_revision_}}};
        return {
            200,
            Json{{"k", found->first}, {"data", found->second.value}, {"mark", found->second.mod_revision}}};
    }
    if (method == "GET" && starts_with(path, "/store?")) {
        const std::string prefix = query_parameter(path, "starts"), since = query_parameter(path, "since");
        const auto page_size = std::stoul(query_parameter(path, "page"));
        Json records = Json::array();
        bool has_more = false;
        for (auto item = since.empty() ? items_.lower_bound(prefix) : items_.upper_bound(since);
             item != items_.end() && starts_with(item->first, prefix); ++item) {
            if (records.size() >= page_size) {
                has_more = true;
                break;
            }
            records.push_back(
                Json{{"k", item->first}, {"data", item->second.value}, {"mark", item->second.mod_revision}});
        }
        return {200,
                Json{{"pairs", std::move(records)}, {"has_next", has_more}, {"ledger", store_revision_}}};
    }
    if (method == "POST" && path == "/commit") return commit(body, now);
    if (method == "POST" && path == "/grants") {
        const auto ttl = static_cast<Micros>(wire::count(body, "ttl_ms").value_or(0)) * kMillisecond;
        leases_[next_lease_id_] = {ttl, now + ttl};
        return {200, Json{{"lien", next_lease_id_++}}};
    }
    if (method == "POST" && starts_with(path, "/grants/")) {
        auto found = leases_.find(std::stoull(path.substr(8)));
        if (found == leases_.end()) return {404, Json::object()};
        found->second.expires_at = now + found->second.ttl;
        return {200, Json::object()};
    }
    return {400, Json::object()};
}

Reply StateService::commit(const Json& body, Micros now) {
    const Json* operations = wire::find(body, "then");
    const Json* conditions = wire::find(body, "when");
    const std::size_t count = operations ? operations->size() : 0;
    if (count > limits.txn_ops || (conditions && conditions->size() > 4 * limits.txn_ops))
        return {400, Json{{"error", "too many operations"}}};
    for (std::size_t i = 0; i < count; ++i)
        if (const Json* data = wire::find((*operations)[i], "data");
            data && data->dump().size() > limits.value_bytes)
            return {400, Json{{"error", "value too large"}}};
    if (limits.write_rps > 0 && count > 0) {
        write_budget_ = std::min(
            limits.write_rps,
            write_budget_ + limits.write_rps * static_cast<double>(now - write_budget_updated_at_) / 1e6);
        write_budget_updated_at_ = now;
        if (write_budget_ < static_cast<double>(count)) return {429, Json::object()};
        write_budget_ -= static_cast<double>(count);
    }
    Json failed_keys = Json::array();
    if (const Json* required_revisions = wire::find(body, "when"))
        for (const auto& condition : *required_revisions) {
            const std::string key = wire::text(condition, "k").value_or("");
            auto found = items_.find(key);
            if ((found == items_.end() ? 0 : found->second.mod_revision) !=
                wire::count(condition, "mark").value_or(0))
                failed_keys.push_back(key);
        }
    if (!failed_keys.empty()) return {409, Json{{"failed", failed_keys}, {"ledger", store_revision_}}};
    const Json* changes = wire::find(body, "then");
    if (!changes) return {200, Json{{"ledger", store_revision_}}};
    for (const auto& operation : *changes)
        if (auto lease = wire::count(operation, "lien"); lease && !leases_.count(*lease))
            return {400, Json{{"error", "no such lease"}}};
    ++store_revision_;
    // A transaction is one revision, so watches may report its events in any order; here the last comes
    // first.
    for (auto operation = changes->rbegin(); operation != changes->rend(); ++operation) {
        if (auto key = wire::text(*operation, "write")) {
            const Json* data = wire::find(*operation, "data");
            items_[*key] = {data ? *data : Json(), store_revision_,
                            wire::count(*operation, "lien").value_or(0)};
            record_event(*key, items_[*key].value);
        } else if (auto deleted_key = wire::text(*operation, "drop")) {
            items_.erase(*deleted_key);
            record_event(*deleted_key, Json());
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
    // Controllers that leave such records have moved finished jobs out of the active ones, and marked it so.
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
      lease_duration_(lease),
      gang_wait_(gang_wait),
      observer_(observer),
      lease_started_at_(now) {}

Worker::~Worker() {
    kill_all_tasks();
}

void Worker::kill_all_tasks() {
    for (auto& task : tasks_)
        if (task.on_machine) observer_.on_task_stopped(name_, task.job, task.index, task.attempt);
    tasks_.clear();
}

void Worker::exit(Task& task, const char* cause) {
    if (task.on_machine) observer_.on_task_stopped(name_, task.job, task.index, task.attempt);
    task.on_machine = false;
    task.phase = Phase::Exited;
    task.cause = cause;
    has_unreported_changes = true;
}

void Worker::expire_session(Micros now) {
    if (now - lease_started_at_ <= lease_duration_) return;
    kill_all_tasks();
    ++session_;
    lease_started_at_ = now;
    has_unreported_changes = true;
}

bool Worker::has_image(const JobSpec& spec) const {
    auto found = images_.find(spec.image);
    return found != images_.end() && found->second.gb_left <= 0;
}

void Worker::mark_image_used(const JobSpec& spec, Micros now) {
    const double size_gb = static_cast<double>(spec.image_gb) / 1000;
    images_[spec.image] = {size_gb, 0, now};
    double cached_gb = 0;
    for (const auto& [name, image] : images_) cached_gb += image.gb_left > 0 ? 0 : image.size_gb;
    while (cached_gb > static_cast<double>(type_.cache_gb) / 1000) {
        auto least_recent = images_.end();
        for (auto candidate = images_.begin(); candidate != images_.end(); ++candidate)
            if (candidate->second.gb_left <= 0 && candidate->first != spec.image &&
                (least_recent == images_.end() ||
                 candidate->second.last_used_at < least_recent->second.last_used_at))
                least_recent = candidate;
        if (least_recent == images_.end()) return;
        cached_gb -= least_recent->second.size_gb;
        images_.erase(least_recent);
    }
}

void Worker::advance_image_fetches(Micros now) {
    std::set<std::string> wanted_images;
    for (const auto& task : tasks_) {
        const JobInfo* info = task.phase == Phase::Fetching ? observer_.job(task.job) : nullptr;
        if (!info || info->image_fetch_time >= 0 || has_image(info->spec)) continue;
        const double size_gb = static_cast<double>(info->spec.image_gb) / 1000;
        wanted_images.insert(info->spec.image);
        images_.try_emplace(info->spec.image, Image{size_gb, std::max(size_gb, 1e-6), now});
    }
    // A fetch is abandoned once no task waits for the image.
    std::erase_if(images_, [&](const auto& image) {
        return image.second.gb_left > 0 && !wanted_images.count(image.first);
    });
    const double fetched_gb_per_image =
        type_.fetch_gb_per_s * static_cast<double>(now - std::exchange(fetches_advanced_at_, now)) / 1e6 /
        static_cast<double>(std::max<std::size_t>(wanted_images.size(), 1));
    for (const auto& name : wanted_images) images_[name].gb_left -= fetched_gb_per_image;
}

void Worker::advance(Micros now) {
    expire_session(now);
    advance_image_fetches(now);
    for (auto& task : tasks_) {
        if (task.phase == Phase::Exited) continue;
        const JobInfo* info = observer_.job(task.job);
        const std::string task_id = task.job + "/" + std::to_string(task.index);
        if (task.phase == Phase::Fetching &&
            (has_image(info->spec) ||
             (info->image_fetch_time >= 0 && now - task.phase_since >= info->image_fetch_time))) {
            mark_image_used(info->spec, now);
            task.on_machine = true;
            observer_.on_task_started(name_, task.job, task.index, task.attempt);
            task.phase_since = now;
            task.phase = info->spec.kind == JobKind::Gang ? Phase::WaitingForGang : Phase::Running;
            if (completed_tasks_.count(task_id)) exit(task, "done");
            has_unreported_changes = true;
        } else if (task.phase == Phase::WaitingForGang) {
            if (observer_.is_gang_complete(task.job, task.attempt)) {
                task.phase = Phase::Running;
                task.phase_since = now;
                has_unreported_changes = true;
            } else if (now - task.phase_since > gang_wait_) {
                exit(task, "incomplete");
            }
        } else if (task.phase == Phase::Running) {
            if (info->spec.kind == JobKind::Gang && !observer_.is_gang_intact(task.job, task.attempt) &&
                now - task.phase_since < info->run_time) {
                exit(task, "mates_gone");
            } else if (info->always_fails || faulty) {
                exit(task, "error");
            } else if (info->spec.kind != JobKind::Service && now - task.phase_since >= info->run_time) {
                completed_tasks_.insert(task_id);
                observer_.on_task_completed(task.job, task.index, task.attempt);
                exit(task, "done");
            }
        } else if (task.phase == Phase::Saving && now - task.phase_since >= info->spec.save_duration) {
            exit(task, "stopped");
        }
    }
}

void Worker::execute_orders(const Json& orders, Micros now) {
    for (const auto& order : orders) {
        const std::string kind = wire::text(order, "order").value_or("");
        const std::string task_id = wire::text(order, "thread").value_or("/");
        const auto slash = task_id.rfind('/');
        const std::string job = task_id.substr(0, slash);
        const int task_index = std::atoi(task_id.c_str() + slash + 1);
        const auto attempt = static_cast<std::int64_t>(wire::count(order, "try").value_or(0));
        auto is_same_attempt = [&](const Task& task) {
            return task.job == job && task.index == task_index && task.attempt == attempt;
        };
        auto found = std::find_if(tasks_.begin(), tasks_.end(), is_same_attempt);
        if (kind == "launch") {
            if (found != tasks_.end()) continue;
            Task task{job, task_index, attempt, Phase::Fetching, "", now, false};
            const JobInfo* info = observer_.job(job);
            Resources used_resources;
            bool other_attempt_present = false;
            for (const auto& other : tasks_) {
                if (other.phase == Phase::Exited) continue;
                used_resources += observer_.job(other.job)->spec.request;
                other_attempt_present =
                    other_attempt_present || (other.job == job && other.index == task_index);
            }
            if (!info)
                exit(task, "no_such");
            else if (other_attempt_present)
                exit(task, "in_use");
            else if (!info->spec.request.fits(type_.size - used_resources))
                exit(task, "full");
            tasks_.push_back(task);
            has_unreported_changes = true;
        } else if (kind == "stop" && found != tasks_.end() && found->phase != Phase::Exited) {
            const JobInfo* info = observer_.job(job);
            const double grace_seconds = wire::number(order, "slack_s").value_or(0);
            const bool can_save = info->spec.checkpoint_interval > 0 &&
                                  grace_seconds * 1e6 >= static_cast<double>(info->spec.save_duration);
            if (found->phase == Phase::Running && can_save) {
                found->phase = Phase::Saving;
                found->phase_since = now;
                has_unreported_changes = true;
            } else if (found->phase != Phase::Saving || grace_seconds == 0) {
                exit(*found, "stopped");
            }
        } else if (kind == "clear" && found != tasks_.end() && found->phase == Phase::Exited) {
            tasks_.erase(found);
            has_unreported_changes = true;
        }
    }
    advance(now);
}

Json Worker::report(Micros now) {
    advance(now);
    has_unreported_changes = false;
    Json tasks = Json::array();
    for (const auto& task : tasks_) {
        static const char* const phase_names[] = {"pulling", "gathering", "running", "saving", "exited"};
        Json entry{{"thread", task.job + "/" + std::to_string(task.index)},
                   {"try", task.attempt},
                   {"stage", phase_names[static_cast<int>(task.phase)]}};
        if (task.phase == Phase::Exited) entry["cause"] = task.cause;
        tasks.push_back(std::move(entry));
    }
    Json body{{"frame", name_},
              {"addr", addr_},
              {"loom_type", type_.name},
              {"mill", zone_},
              {"remnant", spot_},
              {"shift", session_},
              {"tally", ++report_sequence_},
              {"shuttle", token_},
              {"threads", std::move(tasks)}};
    if (reclaim_deadline)
        body["warning_s"] = static_cast<double>(std::max<Micros>(*reclaim_deadline - now, 0)) / 1e6;
    return body;
}

void Worker::on_report_answered(const Json& body, std::uint64_t session_at_send, Micros sent_at, Micros now) {
    advance(now);
    if (session_at_send != session_) return;
    const auto token = wire::count(body, "shuttle");
    if (!token || *token < token_) return;
    if (*token > token_) has_unreported_changes = true;
    token_ = *token;
    lease_started_at_ = std::max(lease_started_at_, sent_at);
    if (const Json* orders = wire::find(body, "orders")) execute_orders(*orders, now);
}

Reply Worker::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    advance(now);
    if (method == "GET" && path == "/show") return {200, report(now)};
    const auto token = wire::count(body, "shuttle"), session = wire::count(body, "shift");
    if (!token || !session) return {400, Json::object()};
    if (*token < token_ || *session != session_) return {409, report(now)};
    if (*token > token_) has_unreported_changes = true;
    token_ = *token;
    if (const Json* orders = wire::find(body, "orders")) execute_orders(*orders, now);
    return {200, report(now)};
}

std::vector<std::pair<std::string, int>> Worker::occupying_tasks() const {
    std::vector<std::pair<std::string, int>> occupying;
    for (const auto& task : tasks_)
        if (task.phase != Phase::Exited) occupying.emplace_back(task.job, task.index);
    return occupying;
}

// ---------------------------------------------------------------- cloud

const MachineType* Cloud::type(const std::string& name) const {
    for (const auto& machine_type : types_)
        if (machine_type.name == name) return &machine_type;
    return nullptr;
}

std::string Cloud::rent_machine(const std::string& type_name, const std::string& zone, bool spot, Micros now,
                                Micros boot) {
    char number[16];
    std::snprintf(number, sizeof number, "%06d", next_machine_number_++);
    const std::string name = machine_name_prefix + number;
    Machine machine;
    machine.info = {name, "", type_name, zone, spot, CloudState::Starting, 0};
    machine.rented_at = now;
    machine.boot_ends_at = now + boot;
    machines_[name] = machine;
    return name;
}

void Cloud::append_to_list(const std::string& name, Machine& machine, Micros as_of, Json& list) const {
    static const char* const state_names[] = {"starting", "running", "failed"};
    machine.listed = machine.listed || machine.rented_at <= as_of;
    if (!machine.listed || (machine.deleted_at > 0 && machine.deleted_at <= as_of)) return;
    const bool had_booted = machine.boot_ends_at <= as_of || list_lag == 0;
    const CloudState state = had_booted ? machine.info.state : CloudState::Starting;
    list.push_back(
        Json{{"ref", name},
             {"addr", had_booted ? machine.info.address : ""},
             {"loom_type", machine.info.type},
             {"mill", machine.info.zone},
             {"remnant", machine.info.spot},
             {"stage", state_names[static_cast<int>(state)]},
             {"held_s", static_cast<double>(std::max<Micros>(as_of - machine.rented_at, 0)) / 1e6}});
}

Reply Cloud::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    if (down) return {503, Json{{"error", "trouble"}}};
    if (method == "GET" && path == "/machine_types") {
        Json types = Json::array();
        for (const auto& machine_type : types_)
            types.push_back(Json{{"name", machine_type.name},
                                 {"cores", static_cast<double>(machine_type.size.cores) / 1000},
                                 {"cards", static_cast<double>(machine_type.size.gpus) / 1000},
                                 {"ram_gb", static_cast<double>(machine_type.size.ram) / 1000},
                                 {"cache_gb", static_cast<double>(machine_type.cache_gb) / 1000},
                                 {"fetch_gb_per_s", machine_type.fetch_gb_per_s},
                                 {"price", machine_type.price},
                                 {"spot_price", machine_type.spot_price},
                                 {"ready_s", static_cast<double>(machine_type.boot_duration) / 1e6},
                                 {"mills", machine_type.zones}});
        return {200, Json{{"looms", types}}};
    }
    if (method == "POST" && path == "/machines") {
        const std::string request_name = wire::text(body, "hire").value_or("");
        auto known_request = rentals_by_request_.find(request_name);
        if (known_request != rentals_by_request_.end()) return {200, Json{{"frames", known_request->second}}};
        const auto* machine_type = type(wire::text(body, "loom_type").value_or(""));
        if (!machine_type || request_name.empty()) return {400, Json::object()};
        const int count = std::min(static_cast<int>(wire::count(body, "how_many").value_or(0)), capacity);
        if (count == 0) return {503, Json{{"error", "no capacity"}}};
        std::vector<std::string> names;
        for (int i = 0; i < count; ++i) {
            names.push_back(rent_machine(machine_type->name, wire::text(body, "mill").value_or(""),
                                         wire::flag(body, "remnant").value_or(false), now,
                                         machine_type->boot_duration));
            --capacity;
        }
        rentals_by_request_[request_name] = names;
        return {200, Json{{"frames", names}}};
    }
    if (method == "POST" && path == "/machines/delete") {
        if (const Json* names = wire::find(body, "frames"))
            for (const auto& name_value : *names) {
                const auto name = name_value.get<std::string>();
                if (auto machine = machines_.extract(name)) {
                    ++capacity;
                    machine.mapped().deleted_at = now;
                    if (list_lag > 0) deleted_machines_.insert(std::move(machine));
                }
                if (on_delete) on_delete(name);
            }
        return {200, Json::object()};
    }
    if (method == "GET" && starts_with(path, "/machines?")) {
        Json machine_list = Json::array();
        const Micros as_of =
            now - (list_lag > 0 ? list_lag + static_cast<Micros>(random_()) % (list_lag + 1) : 0);
        for (auto& [name, machine] : machines_) append_to_list(name, machine, as_of, machine_list);
        for (auto& [name, machine] : deleted_machines_) append_to_list(name, machine, as_of, machine_list);
        return {200, Json{{"frames", std::move(machine_list)}, {"has_next", false}}};
    }
    return {404, Json::object()};
}

}  // namespace cottonway::fakes
