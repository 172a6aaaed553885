#include "worker.hpp"

#include <cstdlib>
#include <functional>

namespace review {

using namespace cottonway;

void Worker::exit(const Key& key, Task& task, const std::string& cause) {
    const auto& [job, index, attempt] = key;
    if (const JobPlan* plan = jobs_.plan(job); plan && task.state != "exited") used_ -= plan->spec.request;
    if (task.on_machine) jobs_.on_task_off_machine(name_, job, index, attempt, cause);
    task.on_machine = false;
    task.state = "exited";
    task.cause = cause;
    has_changes = true;
}

void Worker::kill_all(const std::string& why) {
    for (auto& [key, task] : tasks_)
        if (task.on_machine)
            jobs_.on_task_off_machine(name_, std::get<0>(key), std::get<1>(key), std::get<2>(key), why);
    tasks_.clear();
    used_ = {};
}

void Worker::remove() {
    kill_all("the machine is gone");
}

bool Worker::fits(const JobPlan& plan) const {
    return plan.spec.request.fits(type_.size - used_);
}

void Worker::advance(Micros now) {
    if (now - lease_began_ > lease_) {
        jobs_.on_session(name_, session_ + 1, tasks_.size());
        kill_all("the lease is over");
        ++session_;
        lease_began_ = now;
        has_changes = true;
    }
    for (auto& [key, task] : tasks_) {
        if (task.state == "exited") continue;
        const auto& [job, index, attempt] = key;
        const JobPlan& plan = jobs_.plans.at(job);
        if (task.state == "pulling") {
            const auto image =
                images_.try_emplace(plan.spec.image, now + static_cast<Micros>(plan.fetch_s * 1e6));
            if (image.first->second > now) continue;
            task.on_machine = true;
            task.state = "running";
            task.since = now;
            const double share =
                static_cast<double>(std::hash<std::string>{}(job + "/" + std::to_string(index)) % 1000) /
                1000.0;
            task.run_time = static_cast<Micros>(plan.run_s * (1 + plan.vary * (2 * share - 1)) * 1e6);
            jobs_.on_task_on_machine(name_, job, index, attempt);
            has_changes = true;
            // The result is kept: a task that was completed exits as soon as it has its image.
            if (jobs_.results.count({job, index})) exit(key, task, "done");
        } else if (task.state == "running" && plan.spec.kind != JobKind::Service &&
                   now - task.since >= task.run_time) {
            jobs_.results.insert({job, index});
            exit(key, task, "done");
        } else if (task.state == "saving" && now - task.since >= plan.spec.save_duration) {
            exit(key, task, "stopped");
        }
    }
}

void Worker::execute(const Json& orders, Micros now) {
    for (const auto& order : orders) {
        const std::string kind = wire::text(order, "order").value_or(""),
                          name = wire::text(order, "thread").value_or("/");
        const auto slash = name.rfind('/');
        const Key key{name.substr(0, slash), std::atoi(name.c_str() + slash + 1),
                      static_cast<std::int64_t>(wire::count(order, "try").value_or(0))};
        auto found = tasks_.find(key);
        if (kind == "launch") {
            if (found != tasks_.end()) continue;
            const JobPlan* plan = jobs_.plan(std::get<0>(key));
            bool other_attempt = false;
            for (auto it = tasks_.lower_bound({std::get<0>(key), std::get<1>(key), 0});
                 it != tasks_.end() && std::get<0>(it->first) == std::get<0>(key) &&
                 std::get<1>(it->first) == std::get<1>(key);
                 ++it)
                other_attempt = other_attempt || it->second.state != "exited";
            Task task;
            task.since = now;
            const char* refusal = !plan           ? "no_such"
                                  : other_attempt ? "in_use"
                                  : !fits(*plan)  ? "full"
                                                  : nullptr;
            if (refusal) {
                task.state = "exited";
                task.cause = refusal;
            } else {
                used_ += plan->spec.request;
            }
            tasks_.emplace(key, task);
            has_changes = true;
        } else if (kind == "stop" && found != tasks_.end() && found->second.state != "exited") {
            const JobPlan& plan = jobs_.plans.at(std::get<0>(key));
            const double grace = wire::number(order, "slack_s").value_or(0);
            Task& task = found->second;
            if (task.state == "running" && plan.spec.checkpoint_interval > 0 &&
                grace * 1e6 >= static_cast<double>(plan.spec.save_duration)) {
                task.state = "saving";
                task.since = now;
                has_changes = true;
            } else if (task.state != "saving" || grace == 0) {
                exit(key, task, "stopped");
            }
        } else if (kind == "clear" && found != tasks_.end() && found->second.state == "exited") {
            tasks_.erase(found);
            has_changes = true;
        }
    }
    advance(now);
}

Json Worker::report(Micros now) {
    advance(now);
    has_changes = false;
    Json threads = Json::array();
    for (const auto& [key, task] : tasks_) {
        Json entry{{"thread", std::get<0>(key) + "/" + std::to_string(std::get<1>(key))},
                   {"try", std::get<2>(key)},
                   {"stage", task.state}};
        if (task.state == "exited") entry["cause"] = task.cause;
        threads.push_back(std::move(entry));
    }
    return {{"frame", name_},          {"addr", addr_},
            {"loom_type", type_.name}, {"mill", zone_},
            {"remnant", spot_},        {"shift", session_},
            {"tally", ++tally_},       {"shuttle", token_},
            {"warning_s", nullptr},    {"threads", std::move(threads)}};
}

void Worker::on_answer(const Json& body, std::uint64_t session, Micros sent_at, Micros now) {
    advance(now);
    const auto token = wire::count(body, "shuttle");
    if (session != session_ || !token || *token < token_) return;
    has_changes = has_changes || *token > token_;
    token_ = *token;
    lease_began_ = std::max(lease_began_, sent_at);
    if (const Json* orders = wire::find(body, "orders")) execute(*orders, now);
}

Reply Worker::handle(const std::string& method, const std::string& path, const Json& body, Micros now) {
    advance(now);
    if (method == "GET" && path == "/show") return {200, report(now)};
    if (method != "POST" || path != "/do") return {404, Json::object()};
    const auto token = wire::count(body, "shuttle"), session = wire::count(body, "shift");
    if (!token || !session) return {400, Json::object()};
    if (*token < token_ || *session != session_) return {409, report(now)};
    has_changes = has_changes || *token > token_;
    token_ = *token;
    if (const Json* orders = wire::find(body, "orders")) execute(*orders, now);
    return {200, report(now)};
}

}  // namespace review
