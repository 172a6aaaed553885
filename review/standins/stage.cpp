#include "stage.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <system_error>

#include "protocol/protocol.hpp"

extern char** environ;

namespace review {

using namespace cottonway;

namespace {

// The workers take requests of any size: it is not their limit that a case is about.
net::HttpServer::Limits worker_limits() {
    net::HttpServer::Limits limits;
    limits.max_body_bytes = 4 * 1024 * 1024;
    return limits;
}

std::string text_of(const Endpoint& endpoint) {
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

void respond_with(const net::Responder& respond, const Reply& reply) {
    respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
}

std::string decimal(double value) {
    char buffer[48];
    std::snprintf(buffer, sizeof buffer, "%.3f", value);
    return buffer;
}

}  // namespace

std::vector<std::string> words(const std::string& text) {
    std::istringstream stream(text);
    std::vector<std::string> out;
    for (std::string word; stream >> word;) out.push_back(word);
    return out;
}

// ---------------------------------------------------------------- worker

StageWorker::StageWorker(Stage& stage, std::unique_ptr<Worker> worker, int first_controller)
    : stage_(stage),
      worker_(std::move(worker)),
      client_(stage.io(), 2, 2),
      server_(stage.io(), parse_endpoint(worker_->addr()), worker_limits(),
              [this](const net::Request& request, const net::Responder& respond) {
                  if (removed_) return;
                  const Json body = wire::decode(request.body).value_or(Json());
                  if (request.method == "POST") {
                      stage_.largest_command = std::max(stage_.largest_command, request.body.size());
                  }
                  respond_with(respond,
                               worker_->handle(request.method, request.path, body, net::steady_micros()));
              }),
      controller_(static_cast<std::size_t>(first_controller)) {
    server_.start();
}

void StageWorker::remove() {
    removed_ = true;
    worker_->remove();
}

void StageWorker::tick() {
    if (removed_) return;
    const Micros now = net::steady_micros();
    worker_->advance(now);
    const bool has_changes = worker_->has_changes && now - last_report_at_ >= 500 * kMillisecond;
    if (in_flight_ || (now < next_report_at_ && !has_changes)) return;
    if (now < next_report_at_ && last_report_at_ > now) return;
    send_report(now);
}

void StageWorker::send_report(Micros now) {
    in_flight_ = true;
    last_report_at_ = now;
    const double spread = 0.75 + 0.5 * static_cast<double>(std::rand()) / RAND_MAX;
    next_report_at_ = now + static_cast<Micros>(stage_.deployment().report_s * spread * 1e6);
    const Json report = worker_->report(now);
    const std::string body = wire::encode(report);
    if (body.size() > stage_.largest_report) {
        stage_.largest_report = body.size();
        stage_.largest_report_json = report.dump().size();
    }
    client_.call(stage_.client_address(static_cast<int>(controller_)), "POST", "/v1/report", body,
                 4 * kSecond, [this, session = worker_->session(), now](const net::ClientReply& reply) {
                     on_reply(reply, session, now);
                 });
}

void StageWorker::on_reply(const net::ClientReply& reply, std::uint64_t session, Micros sent_at) {
    in_flight_ = false;
    if (removed_) return;
    ++stage_.report_answers[reply.status];
    const std::size_t count = static_cast<std::size_t>(stage_.deployment().controllers);
    const auto body = wire::decode(reply.body);
    if (reply.status == 200 && body) return worker_->on_answer(*body, session, sent_at, net::steady_micros());
    if (reply.status == 421 && body)
        if (const auto overseer = wire::text(*body, "overseer")) {
            const int named = stage_.index_of(*overseer);
            if (named >= 0 && static_cast<std::size_t>(named) != controller_)
                return switch_to(static_cast<std::size_t>(named), 0);
        }
    switch_to((controller_ + 1) % count, kSecond);
}

void StageWorker::switch_to(std::size_t controller, Micros pause) {
    controller_ = controller;
    next_report_at_ = net::steady_micros() + pause;
    last_report_at_ = next_report_at_ - 500 * kMillisecond;
}

// ---------------------------------------------------------------- stage

Stage::Stage(Deployment deployment, std::string folder, std::vector<std::string> run_command,
             std::string record_file)
    : deployment_(std::move(deployment)),
      folder_(std::move(folder)),
      run_command_(std::move(run_command)),
      record_(record_file),
      io_(1),
      started_at_(net::steady_micros()),
      timer_(io_),
      signals_(io_, SIGTERM, SIGINT),
      cloud_(deployment_.types) {
    const auto count = static_cast<std::size_t>(deployment_.controllers);
    healthy_.resize(count);
    last_health_.resize(count);
    health_streak_.resize(count);
    pids_.resize(count, -1);
    for (std::size_t i = 0; i < count; ++i) {
        client_.push_back(free_port());
        cluster_.push_back(free_port());
        state_address_.push_back(free_port());
    }
    cloud_address_ = free_port();
    state_.limits.write_rps = deployment_.write_rps;
    state_.limits.value_bytes = static_cast<std::size_t>(deployment_.value_kb * 1024);
    state_.limits.txn_ops = static_cast<std::size_t>(deployment_.txn_ops);
    request_budget_ = deployment_.state_rps;
    cloud_.capacity = 0;
    cloud_.list_lag = static_cast<Micros>(deployment_.list_lag_s * 1e6);
    cloud_.on_delete = [this](const std::string& machine) {
        for (auto& worker : workers_)
            if (worker->worker().name() == machine) {
                record("the cloud deletes " + machine);
                worker->remove();
            }
    };
    net::HttpServer::Limits limits;
    limits.request_timeout = 70 * kSecond;
    for (std::size_t i = 0; i < count; ++i)
        servers_.push_back(std::make_unique<net::HttpServer>(
            io_, state_address_[i], limits,
            [this](const net::Request& request, const net::Responder& respond) {
                serve_state(request, respond);
            }));
    servers_.push_back(std::make_unique<net::HttpServer>(
        io_, cloud_address_, net::HttpServer::Limits{},
        [this](const net::Request& request, const net::Responder& respond) {
            respond_with(respond,
                         cloud_.handle(request.method, request.path,
                                       wire::decode(request.body).value_or(Json()), net::steady_micros()));
        }));
    for (auto& server : servers_) server->start();
    user_client_ = std::make_unique<net::HttpClient>(io_, 200, 1000);
    for (int i = 0; i < deployment_.controllers; ++i) write_settings(i);
}

Stage::~Stage() {
    for (int i = 0; i < deployment_.controllers; ++i) kill_controller(i);
}

/// Returns an address that nothing listens on now.
Endpoint Stage::free_port() {
    for (;;) {
        asio::ip::tcp::acceptor probe(io_, {asio::ip::make_address_v4("127.0.0.1"), 0});
        const std::uint16_t port = probe.local_endpoint().port();
        if (used_ports_.insert(port).second) return {"127.0.0.1", port};
    }
}

double Stage::now_s() const {
    return static_cast<double>(net::steady_micros() - started_at_) / 1e6;
}

void Stage::record(const std::string& line) {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", now_s());
    record_ << stamp << line << std::endl;
}

void Stage::after(double seconds, std::function<void()> then) {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
    timer->async_wait([timer, then = std::move(then)](asio::error_code ec) {
        if (!ec) then();
    });
}

void Stage::run() {
    signals_.async_wait([this](asio::error_code ec, int) {
        if (!ec) finish(2);
    });
    tick();
    for (int i = 0; i < deployment_.controllers; ++i) check_health(i);
    io_.run();
}

void Stage::finish(int exit_code) {
    exit_code_ = exit_code;
    for (int i = 0; i < deployment_.controllers; ++i) kill_controller(i);
    io_.stop();
}

void Stage::tick() {
    const Micros now = net::steady_micros();
    if (next_tick_at_ > 0) max_late_ = std::max(max_late_, now - next_tick_at_);
    next_tick_at_ = now + 20 * kMillisecond;
    state_.expire_leases(now);
    for (auto& worker : workers_) worker->tick();
    timer_.expires_after(std::chrono::milliseconds(20));
    timer_.async_wait([this](asio::error_code ec) {
        if (!ec) tick();
    });
}

// ---------------------------------------------------------------- controllers

void Stage::write_settings(int i) const {
    std::ofstream file(folder_ + "/" + name(i) + ".toml");
    const auto& d = deployment_;
    const auto zone_of = [&](int n) { return d.zones[static_cast<std::size_t>(n) % d.zones.size()]; };
    const auto index = static_cast<std::size_t>(i);
    file << "node_name = \"" << name(i) << "\"\nsite = \"" << zone_of(i) << "\"\nclient_listen = \""
         << text_of(client_[index]) << "\"\ncluster_listen = \"" << text_of(cluster_[index]) << "\"\n";
    for (int peer = 0; peer < d.controllers; ++peer)
        if (peer != i)
            file << "[[peers]]\nnode_name = \"" << name(peer) << "\"\nsite = \"" << zone_of(peer)
                 << "\"\npeer_addr = \"" << text_of(cluster_[static_cast<std::size_t>(peer)]) << "\"\n";
    file << "[services]\ncloud = \"" << text_of(cloud_address_) << "\"\nstate = \""
         << text_of(state_address_[index]) << "\"\n[deployment]\ninitial_size = " << d.controllers
         << "\nskew_ms = 250.0\nzones = [";
    for (std::size_t z = 0; z < d.zones.size(); ++z) file << (z ? ", " : "") << '"' << d.zones[z] << '"';
    file << "]\n" << d.teams;
    file << "[deployment.workers]\nreport_s = " << decimal(d.report_s) << "\nlease_s = " << decimal(d.lease_s)
         << "\ngang_wait_s = " << decimal(d.gang_wait_s) << "\ngang_peer_s = " << decimal(d.gang_peer_s)
         << "\ncancel_s = " << decimal(d.cancel_s) << "\n[deployment.state]\nrps = " << decimal(d.state_rps)
         << "\nwrite_rps = " << decimal(d.write_rps) << "\nvalue_kb = " << decimal(d.value_kb)
         << "\ntxn_ops = " << d.txn_ops << "\n[deployment.cloud]\nrps = " << decimal(d.cloud_rps)
         << "\nlist_lag_s = " << decimal(d.list_lag_s)
         << "\n[deployment.limits]\ncpu_share = " << decimal(d.cpu_share)
         << "\nmem_mb = " << decimal(d.mem_mb) << "\nsockets = " << d.sockets << "\n";
}

void Stage::start_controller(int i) {
    const std::string base = folder_ + "/" + name(i);
    const std::string settings = base + ".toml", log = base + ".log";
    std::vector<std::string> command = run_command_;
    command.push_back(settings);
    std::vector<char*> arguments;
    for (auto& word : command) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) throw std::system_error(error, std::generic_category(), command[0]);
    pids_[static_cast<std::size_t>(i)] = pid;
    std::ofstream(folder_ + "/pids", std::ios::app) << pid << std::endl;
    record("start " + name(i) + ", process " + std::to_string(pid));
}

void Stage::kill_controller(int i) {
    pid_t& pid = pids_[static_cast<std::size_t>(i)];
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = -1;
}

bool Stage::has_ended(int i) {
    pid_t& pid = pids_[static_cast<std::size_t>(i)];
    if (pid <= 0 || waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = -1;
    return true;
}

int Stage::index_of(const std::string& node) const {
    for (int i = 0; i < deployment_.controllers; ++i)
        if (name(i) == node) return i;
    return -1;
}

// ---------------------------------------------------------------- state service

void Stage::serve_state(const net::Request& request, const net::Responder& respond) {
    const Micros now = net::steady_micros();
    const double rate = deployment_.state_rps;
    request_budget_ =
        std::min(rate, request_budget_ + rate * static_cast<double>(now - request_budget_at_) / 1e6);
    request_budget_at_ = now;
    if (request_budget_ < 1) return respond_with(respond, {429, Json::object()});
    request_budget_ -= 1;
    if (request.path.rfind("/changes", 0) == 0)
        return watch(request.path, now + fakes::StateService::block_time(request.path), respond);
    const Json body = wire::decode(request.body).value_or(Json());
    const Reply reply = state_.handle(request.method, request.path, body, now);
    respond_with(respond, reply);
}

void Stage::watch(const std::string& path, Micros deadline, const net::Responder& respond) {
    const auto reply = state_.watch(path, net::steady_micros() >= deadline);
    if (!reply) return after(0.01, [=, this] { watch(path, deadline, respond); });
    respond_with(respond, *reply);
}

// ---------------------------------------------------------------- machines and tasks

StageWorker& Stage::add_worker(const MachineType& type, const std::string& zone, bool spot) {
    const Micros now = net::steady_micros();
    const std::string machine = cloud_.rent_machine(type.name, zone, spot, now, 0);
    const std::string address = text_of(free_port());
    cloud_.machines()[machine].info.address = address;
    cloud_.machines()[machine].info.state = CloudState::Running;
    const auto micros = [](double seconds) { return static_cast<Micros>(seconds * 1e6); };
    workers_.push_back(std::make_unique<StageWorker>(
        *this,
        std::make_unique<Worker>(machine, address, type, zone, spot, micros(deployment_.lease_s), *this, now),
        static_cast<int>(workers_.size()) % deployment_.controllers));
    return *workers_.back();
}

void Stage::stop_machine(const std::string& machine) {
    for (auto& worker : workers_)
        if (worker->worker().name() == machine) worker->remove();
    after(30, [this, machine] {
        if (auto found = cloud_.machines().find(machine); found != cloud_.machines().end())
            found->second.info.state = CloudState::Failed;
    });
}

std::set<std::string> Stage::machines_of(const std::string& ref, int task) const {
    std::set<std::string> out;
    if (auto found = on_machine_.find({ref, task}); found != on_machine_.end())
        for (const auto& [machine, attempt] : found->second) out.insert(machine);
    return out;
}

int Stage::tasks_on_machines(const std::string& ref) const {
    int count = 0;
    for (auto it = on_machine_.lower_bound({ref, 0}); it != on_machine_.end() && it->first.first == ref; ++it)
        count += !it->second.empty();
    return count;
}

int Stage::starts(const std::string& ref) const {
    auto found = starts_.find(ref);
    return found == starts_.end() ? 0 : found->second;
}

int Stage::completed(const std::string& ref) const {
    int count = 0;
    for (auto it = results.lower_bound({ref, 0}); it != results.end() && it->first == ref; ++it) ++count;
    return count;
}

void Stage::on_task_on_machine(const std::string& machine, const std::string& ref, int task,
                               std::int64_t attempt) {
    on_machine_[{ref, task}][machine] = attempt;
    ++starts_[ref];
    if (record_tasks)
        record("task " + ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) +
               " is on " + machine);
    if (on_task_event) on_task_event({now_s(), machine, ref, task, attempt, true});
}

void Stage::on_task_off_machine(const std::string& machine, const std::string& ref, int task,
                                std::int64_t attempt, const std::string& why) {
    auto found = on_machine_.find({ref, task});
    if (found == on_machine_.end()) return;
    found->second.erase(machine);
    if (found->second.empty()) on_machine_.erase(found);
    if (record_tasks)
        record("task " + ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) +
               " leaves " + machine + ": " + why);
    if (on_task_event) on_task_event({now_s(), machine, ref, task, attempt, false, why});
}

void Stage::on_session(const std::string& machine, std::uint64_t session, std::size_t killed) {
    ++sessions_ended;
    record("the lease of " + machine + " is over, session " + std::to_string(session) +
           " begins; it kills and forgets " + std::to_string(killed) + " tasks");
}

// ---------------------------------------------------------------- users

void Stage::user_call(int controller, const std::string& method, const std::string& path, const Json& body,
                      Answer done, double timeout_s) {
    user_client_->call(client_address(controller), method, path, body.is_null() ? "" : wire::encode(body),
                       static_cast<Micros>(timeout_s * 1e6),
                       [done = std::move(done)](const net::ClientReply& reply) {
                           done(std::max(reply.status, 0), wire::decode(reply.body).value_or(Json()));
                       });
}

void Stage::check_health(int i) {
    user_call(
        i, "GET", "/healthz", {},
        [this, i](int status, const Json&) {
            const auto index = static_cast<std::size_t>(i);
            const bool ok = status == 200;
            int& streak = health_streak_[index];
            streak = ok ? std::max(streak, 0) + 1 : std::min(streak, 0) - 1;
            if (ok && streak >= 2) healthy_[index] = true;
            if (!ok && streak <= -2) healthy_[index] = false;
            if (last_health_[index] != status)
                record("GET /healthz of " + name(i) + ": " +
                       (status ? std::to_string(status) : std::string("no answer")));
            last_health_[index] = status;
            after(1, [this, i] { check_health(i); });
        },
        1);
}

void Stage::when_all_healthy(std::function<void()> then) {
    if (std::all_of(healthy_.begin(), healthy_.end(), [](bool healthy) { return healthy; })) return then();
    if (now_s() > 6) {
        record("the case could not run: not all controllers are healthy");
        return finish(2);
    }
    after(0.1, [this, then = std::move(then)]() mutable { when_all_healthy(std::move(then)); });
}

int Stage::healthy_controller() {
    std::vector<int> candidates;
    for (int i = 0; i < deployment_.controllers; ++i)
        if (healthy_[static_cast<std::size_t>(i)]) candidates.push_back(i);
    if (candidates.empty()) return -1;
    return candidates[static_cast<std::size_t>(std::rand()) % candidates.size()];
}

Json Stage::job(const std::string& ref, const std::string& job_class, const std::string& team,
                const std::string& kind, const std::string& rank, int tasks, double cores, double ram) {
    return {{"ref", ref},       {"pattern", job_class}, {"crew", team},
            {"weave", kind},    {"rank", rank},         {"threads", tasks},
            {"cores", cores},   {"cards", 0.0},         {"ram_gb", ram},
            {"looms", nullptr}, {"mill", nullptr},      {"one_zone", false},
            {"spread", false},  {"remnant", false},     {"bolt", "img-" + job_class},
            {"pull_gb", 0.5},   {"reckon_s", 4.0},      {"knot_s", 0.0},
            {"bind_s", 0.0},    {"due_s", nullptr}};
}

void Stage::define(const Json& job, double run_s, double vary, double fetch_s) {
    auto parsed = wire::parse_job(job);
    if (!parsed.spec) throw std::runtime_error("a job of the case is malformed: " + parsed.error);
    plans[parsed.spec->ref] = {*parsed.spec, run_s, vary, fetch_s};
}

void Stage::submit(Json job, std::function<void(int)> accepted, double give_up_at_s) {
    const int controller = healthy_controller();
    const auto again = [this, job, accepted, give_up_at_s] {
        if (now_s() < give_up_at_s)
            after(1, [this, job, accepted, give_up_at_s] { submit(job, accepted, give_up_at_s); });
    };
    if (controller < 0) return again();
    const std::string ref = job["ref"].get<std::string>();
    user_call(controller, "POST", "/v1/jobs", job,
              [this, controller, ref, accepted, again](int status, const Json& body) {
                  record("POST /v1/jobs " + ref + " at " + name(controller) + ": " + std::to_string(status) +
                         " " + wire::text(body, "stage").value_or(""));
                  if (status == 200 || status == 201) return accepted(controller);
                  if (status == 400 || status == 422) return;
                  again();
              });
}

}  // namespace review
