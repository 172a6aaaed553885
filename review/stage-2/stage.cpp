#include "stage.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace {

std::string parameter(const std::string& path, const std::string& key) {
    auto start = path.find('?');
    while (start != std::string::npos) {
        const auto end = path.find('&', start + 1);
        const std::string part = path.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (part.compare(0, key.size() + 1, key + "=") == 0) return part.substr(key.size() + 1);
        start = end;
    }
    return "";
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

constexpr std::size_t kKeptChanges = 10'000;
constexpr std::size_t kMaxListItems = 1000, kMaxListBytes = 512 * 1024, kMaxTransactionBytes = 64 * 1024;
constexpr Micros kTick = 20 * kMillisecond;
constexpr double kLongestPlay = 118.5;
constexpr Micros kTooLate = kSecond;  // the stage judges nothing once its own timer has been as late as this

}  // namespace

Micros now() {
    return net::steady_micros();
}
std::string to_text(const Endpoint& endpoint) {
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

// ---------------------------------------------------------------- state service

bool StateService::Bucket::take(double rate, double amount) {
    const Micros t = now();
    left = at == 0 ? rate : std::min(rate, left + rate * static_cast<double>(t - at) / 1e6);
    at = t;
    if (left < amount) return false;
    left -= amount;
    return true;
}

const Json* StateService::find(const std::string& key) const {
    auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
}

void StateService::for_each(const std::string& prefix,
                            const std::function<void(const std::string&, const Json&)>& visit) const {
    for (auto it = items_.lower_bound(prefix); it != items_.end() && starts_with(it->first, prefix); ++it)
        visit(it->first, it->second.value);
}

void StateService::record(const std::string& key, const Json& value) {
    Event event{key, "", ledger_};
    event.encoded = wire::encode(value.is_null() ? Json{{"drop", key}, {"mark", ledger_}}
                                                 : Json{{"write", key}, {"data", value}, {"mark", ledger_}});
    ++change_count_;
    change_bytes_ += event.encoded.size();
    events_.push_back(std::move(event));
    if (events_.size() > kKeptChanges) events_.pop_front();
}

void StateService::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [key, item] : items_)
        if (item.lien == id) attached.push_back(key);
    if (attached.empty()) return;
    ++ledger_;
    for (const auto& key : attached) {
        items_.erase(key);
        record(key, Json());
    }
}

void StateService::expire_leases() {
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
        if (lease.ends < now()) over.push_back(id);
    for (const auto id : over) end_lease(id);
}

std::optional<net::Response> StateService::watch(const std::string& path, bool deadline_reached) const {
    const std::string prefix = parameter(path, "starts");
    const auto since = std::stoull("0" + parameter(path, "since"));
    if (events_.size() >= kKeptChanges && since < events_.front().mark)
        return net::Response{410, wire::encode(Json::object()), "application/msgpack", 0};
    auto event = std::upper_bound(events_.begin(), events_.end(), since,
                                  [](std::uint64_t mark, const Event& other) { return mark < other.mark; });
    std::string news;
    std::uint32_t count = 0;
    for (; event != events_.end(); ++event)
        if (starts_with(event->key, prefix)) news += event->encoded, ++count;
    if (count == 0 && !deadline_reached) return std::nullopt;
    // {"ledger": N, "news": [...]}
    std::string body =
        "\x82" + wire::encode("ledger") + wire::encode(ledger_) + wire::encode("news") + "\xdd";
    for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(count >> shift);
    return net::Response{200, body + news, "application/msgpack", 0};
}

Reply StateService::handle(const std::string& method, const std::string& path, const Json& body) {
    expire_leases();
    if (!requests_.take(d_.rps, 1)) return {429, Json::object(), ""};
    if (method == "GET" && starts_with(path, "/store/")) {
        auto found = items_.find(path.substr(7));
        if (found == items_.end()) return {404, Json{{"ledger", ledger_}}, ""};
        Json reply{{"k", found->first}, {"data", found->second.value}, {"mark", found->second.mark}};
        if (found->second.lien) reply["lien"] = found->second.lien;
        return {200, std::move(reply), ""};
    }
    if (method == "GET" && starts_with(path, "/store?")) {
        const std::string prefix = parameter(path, "starts"), since = parameter(path, "since");
        const std::string page_text = parameter(path, "page");
        const std::size_t page =
            page_text.empty() ? kMaxListItems : std::min<std::size_t>(std::stoul(page_text), kMaxListItems);
        Json pairs = Json::array();
        std::size_t bytes = 64;
        bool has_next = false;
        for (auto it = since.empty() ? items_.lower_bound(prefix) : items_.upper_bound(since);
             it != items_.end() && starts_with(it->first, prefix); ++it) {
            Json pair{{"k", it->first}, {"data", it->second.value}, {"mark", it->second.mark}};
            const std::size_t size = pair.dump().size() + 2;
            if (pairs.size() >= page || (!pairs.empty() && bytes + size > kMaxListBytes)) {
                has_next = true;
                break;
            }
            bytes += size;
            pairs.push_back(std::move(pair));
        }
        return {200, Json{{"pairs", std::move(pairs)}, {"has_next", has_next}, {"ledger", ledger_}}, ""};
    }
    if (method == "POST" && path == "/commit") return commit(body);
    if (method == "POST" && path == "/grants") {
        const auto ttl = static_cast<Micros>(wire::count(body, "ttl_ms").value_or(0)) * kMillisecond;
        if (ttl < 100 * kMillisecond || ttl > 600 * kSecond) return {400, Json::object(), ""};
        leases_[next_lien_] = {ttl, now() + ttl};
        return {200, Json{{"lien", next_lien_++}}, ""};
    }
    if (starts_with(path, "/grants/")) {
        const std::uint64_t id = std::stoull("0" + path.substr(8));
        auto found = leases_.find(id);
        if (found == leases_.end()) return {404, Json::object(), ""};
        if (method == "DELETE")
            end_lease(id);
        else
            found->second.ends = now() + found->second.ttl;
        return {200, Json::object(), ""};
    }
    return {400, Json::object(), ""};
}

Reply StateService::commit(const Json& body) {
    const Json* then = wire::find(body, "then");
    const Json* when = wire::find(body, "when");
    const std::size_t count = then ? then->size() : 0;
    const auto ops = static_cast<std::size_t>(d_.txn_ops);
    if (count > ops || (when && when->size() > 4 * ops) || body.dump().size() > kMaxTransactionBytes)
        return {400, Json{{"error", "too large"}}, ""};
    for (std::size_t i = 0; i < count; ++i)
        if (const Json* data = wire::find((*then)[i], "data");
            data && data->dump().size() > static_cast<std::size_t>(d_.value_kb * 1024))
            return {400, Json{{"error", "value too large"}}, ""};
    if (count > 0 && !writes_.take(d_.write_rps, static_cast<double>(count)))
        return {429, Json::object(), ""};
    Json failed = Json::array();
    if (when)
        for (const auto& condition : *when) {
            const std::string key = wire::text(condition, "k").value_or("");
            auto found = items_.find(key);
            if ((found == items_.end() ? 0 : found->second.mark) !=
                wire::count(condition, "mark").value_or(0))
                failed.push_back(key);
        }
    for (std::size_t i = 0; i < count; ++i)
        if (auto lien = wire::count((*then)[i], "lien"); lien && !leases_.count(*lien))
            return {400, Json{{"error", "no such lease"}}, ""};
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}, ""};
    if (count == 0) return {200, Json{{"ledger", ledger_}}, ""};
    ++ledger_;
    for (const auto& op : *then) {
        if (auto key = wire::text(op, "write")) {
            const Json* data = wire::find(op, "data");
            items_[*key] = {data ? *data : Json(), ledger_, wire::count(op, "lien").value_or(0)};
            record(*key, items_[*key].value);
        } else if (auto dropped = wire::text(op, "drop")) {
            if (items_.erase(*dropped) > 0) record(*dropped, Json());
        }
    }
    return {200, Json{{"ledger", ledger_}}, ""};
}

// ---------------------------------------------------------------- tasks

const fakes::JobInfo* Tasks::job(const std::string& ref) {
    auto it = jobs.find(ref);
    if (it == jobs.end()) return nullptr;
    if (auto mean = mean_run_time.find(ref); mean != mean_run_time.end())
        it->second.info.run_time =
            static_cast<double>(random()) / static_cast<double>(random.max()) <
                    static_cast<double>(look_interval) / static_cast<double>(mean->second)
                ? 0
                : 3600 * kSecond;
    return &it->second.info;
}

void Tasks::on_task_started(const std::string& machine, const std::string& job, int task,
                            std::int64_t attempt) {
    JobTasks& known = jobs[job];
    auto& on = known.on[task];
    if (!quiet)
        log("starts " + job + "/" + std::to_string(task) + " try " + std::to_string(attempt) + " on " +
            machine);
    for (const auto& [other, other_attempt] : on)
        if (other != machine)
            broken("ran_twice",
                   job + "/" + std::to_string(task) + " starts on " + machine + " while it is on " + other);
    on[machine] = attempt;
    ++known.starts;
}

void Tasks::on_task_stopped(const std::string& machine, const std::string& job, int task,
                            std::int64_t attempt) {
    if (!quiet)
        log("leaves " + job + "/" + std::to_string(task) + " try " + std::to_string(attempt) + " from " +
            machine);
    jobs[job].on[task].erase(machine);
}

bool Tasks::is_gang_complete(const std::string& job, std::int64_t attempt) {
    const JobTasks& known = jobs[job];
    int present = 0;
    for (const auto& [task, on] : known.on)
        present +=
            std::any_of(on.begin(), on.end(), [&](const auto& entry) { return entry.second == attempt; });
    return present == known.info.spec.tasks;
}

bool Tasks::is_gang_intact(const std::string& job, std::int64_t attempt) {
    return is_gang_complete(job, attempt);
}

// ---------------------------------------------------------------- stage

Stage::Stage(Deployment deployment, std::string record_path, std::string run_command)
    : d_(std::move(deployment)),
      state_(d_),
      run_command_(std::move(run_command)),
      record_(record_path, std::ios::trunc),
      user_client_(io_, 200, 1000, false),
      probe_client_(io_, 4, 40, false) {
    char name[] = "/tmp/cottonway-review-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("no temporary folder");
    folder_ = name;
    const char* trouble = std::getenv("TROUBLE");
    trouble_ = !trouble || std::string(trouble) != "0";
    started_ = now();
    tasks_.log = [this](const std::string& text) { log(text); };
    tasks_.broken = [this](const std::string& rule, const std::string& text) { broken(rule, text); };
    log(std::string("TROUBLE=") + (trouble_ ? "1" : "0"));
}

Stage::~Stage() {
    for (auto& node : nodes_)
        if (node->pid > 0) {
            ::kill(node->pid, SIGKILL);
            waitpid(node->pid, nullptr, 0);
        }
    workers_.clear();
    std::error_code ignored;
    if (const char* keep = std::getenv("KEEP_LOGS"); keep && *keep) {
        for (auto& node : nodes_)
            std::filesystem::copy_file(node->log_path, std::string(keep) + "/" + node->name + ".log",
                                       std::filesystem::copy_options::overwrite_existing, ignored);
    }
    std::filesystem::remove_all(folder_, ignored);
}

void Stage::log(const std::string& text) {
    record_ << number(elapsed()) << " " << text << std::endl;
}

void Stage::broken(const std::string& rule, const std::string& text) {
    log("RULE BROKEN: " + rule + ": " + text);
    finish(kBroken, rule);
}

void Stage::finish(Result result, const std::string& why) {
    if (result_) return;
    log("the stage itself was late by " + number(static_cast<double>(worst_lateness_) / 1e6) + " s at most");
    if (worst_lateness_ > kTooLate) result = kCouldNotRun;
    result_ = result;
    log(std::string("END: ") +
        (result == kHeld     ? "held"
         : result == kBroken ? "broken"
                             : "could not run") +
        ": " + why);
    std::cout << (result == kHeld     ? "held"
                  : result == kBroken ? "BROKEN"
                                      : "could not run")
              << ": " << why << std::endl;
    io_.stop();
}

void Stage::after(double seconds, std::function<void()> run) {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<Micros>(seconds * 1e6)));
    timer->async_wait([timer, run = std::move(run)](asio::error_code ec) {
        if (!ec) run();
    });
}

/// A free port below those that the system gives to outgoing connections.
Endpoint Stage::free_port() {
    static std::mt19937 ports{std::random_device{}()};
    for (;;) {
        const int port = 12'000 + static_cast<int>(ports() % 20'000);
        if (used_ports_.count(port)) continue;
        asio::ip::tcp::acceptor acceptor(io_);
        asio::error_code ec;
        acceptor.open(asio::ip::tcp::v4(), ec);
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
        acceptor.bind({asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(port)}, ec);
        if (ec) continue;
        acceptor.listen(1, ec);
        if (ec) continue;
        used_ports_.insert(port);
        return {"127.0.0.1", static_cast<std::uint16_t>(port)};
    }
}

void Stage::respond_with(const net::Responder& respond, const Reply& reply) {
    respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
}

void Stage::watch(std::size_t node, const std::string& path, Micros deadline, const net::Responder& respond) {
    if (!nodes_[node]->refused_by_state)
        if (auto reply = state_.watch(path, now() >= deadline)) return respond(std::move(*reply));
    after(0.01, [=, this] { watch(node, path, deadline, respond); });
}

void Stage::serve_state(std::size_t node, const net::Request& request, const net::Responder& respond) {
    if (nodes_[node]->refused_by_state) return respond_with(respond, {503, Json::object(), ""});
    if (intercept_state(node, request, respond)) return;
    if (starts_with(request.path, "/changes")) {
        const std::string block = parameter(request.path, "block_ms");
        return watch(node, request.path, now() + (block.empty() ? 0 : std::stoll(block) * kMillisecond),
                     respond);
    }
    respond_with(respond,
                 state_.handle(request.method, request.path, wire::decode(request.body).value_or(Json())));
}

Reply Stage::serve_cloud(const net::Request& request) {
    const Json body = wire::decode(request.body).value_or(Json());
    if (left_to_rent_.empty() || request.method != "POST" || request.path != "/machines")
        return cloud_->handle(request.method, request.path, body, now());
    const std::tuple shape(wire::text(body, "loom_type").value_or(""), wire::text(body, "mill").value_or(""),
                           wire::flag(body, "remnant").value_or(false));
    const std::size_t before = cloud_->machines().size();
    cloud_->capacity = left_to_rent_[shape];
    Reply reply = cloud_->handle(request.method, request.path, body, now());
    const auto rented = static_cast<int>(cloud_->machines().size() - before);
    left_to_rent_[shape] -= rented;
    log("cloud: asked for " + std::to_string(wire::count(body, "how_many").value_or(0)) + " " +
        std::get<0>(shape) + " in " + std::get<1>(shape) + (std::get<2>(shape) ? ", spot" : ", ordinary") +
        ": " + std::to_string(reply.status) + ", " + std::to_string(rented) + " rented");
    return reply;
}

void Stage::start_services() {
    cloud_ = std::make_unique<fakes::Cloud>(types_);
    cloud_->capacity = 0;
    cloud_->on_delete = [this](const std::string& name) {
        if (!worker_of_.count(name) || !dead_.insert(name).second) return;
        log("machine " + name + " is deleted");
        worker_of_[name].second->kill_all_tasks();
    };
    const Endpoint cloud = free_port();
    cloud_server_ =
        std::make_unique<net::HttpServer>(io_, cloud, net::HttpServer::Limits{},
                                          [this](const net::Request& request, const net::Responder& respond) {
                                              respond_with(respond, serve_cloud(request));
                                          });
    cloud_server_->start();
    cloud_endpoint_text_ = to_text(cloud);
    for (int i = 0; i < d_.controllers; ++i) {
        auto node = std::make_unique<Node>();
        node->name = "loom-" + std::to_string(i);
        node->zone = d_.zones[static_cast<std::size_t>(i) % d_.zones.size()];
        node->client = free_port();
        node->cluster = free_port();
        node->state = free_port();
        node->settings = folder_ + "/" + node->name + ".toml";
        node->log_path = folder_ + "/" + node->name + ".log";
        nodes_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = *nodes_[i];
        std::ofstream(node.settings) << settings_text(i);
        net::HttpServer::Limits limits;
        limits.max_body_bytes = 1024 * 1024;
        node.state_server = std::make_unique<net::HttpServer>(
            io_, node.state, limits, [this, i](const net::Request& request, const net::Responder& respond) {
                serve_state(i, request, respond);
            });
        node.state_server->start();
    }
}

std::string Stage::settings_text(std::size_t i) const {
    const Node& node = *nodes_[i];
    std::ostringstream out;
    out << "node_name = \"" << node.name << "\"\nsite = \"" << node.zone << "\"\nclient_listen = \""
        << to_text(node.client) << "\"\ncluster_listen = \"" << to_text(node.cluster) << "\"\n";
    for (std::size_t peer = 0; peer < nodes_.size(); ++peer)
        if (peer != i)
            out << "\n[[peers]]\nnode_name = \"" << nodes_[peer]->name << "\"\nsite = \""
                << nodes_[peer]->zone << "\"\npeer_addr = \"" << to_text(nodes_[peer]->cluster) << "\"\n";
    out << "\n[services]\ncloud = \"" << cloud_endpoint_text_ << "\"\nstate = \"" << to_text(node.state)
        << "\"\n\n[deployment]\ninitial_size = " << nodes_.size() << "\nzones = [";
    for (std::size_t z = 0; z < d_.zones.size(); ++z) out << (z ? ", " : "") << '"' << d_.zones[z] << '"';
    out << "]\nskew_ms = " << number(d_.skew_ms) << "\n";
    for (const auto& team : d_.teams)
        out << "\n[[deployment.teams]]\nname = \"" << team.name << "\"\ncpus = " << number(team.cpus)
            << "\ncpus_max = " << number(team.cpus_max) << "\ngpus = 0.0\ngpus_max = 0.0\n";
    for (const auto& objective : d_.objectives) out << "\n" << objective;
    out << "\n[deployment.workers]\nreport_s = " << number(d_.report_s)
        << "\nlease_s = " << number(d_.lease_s) << "\ngang_wait_s = " << number(d_.gang_wait_s)
        << "\ngang_peer_s = " << number(d_.gang_peer_s) << "\ncancel_s = " << number(d_.cancel_s)
        << "\n\n[deployment.state]\nrps = " << number(d_.rps) << "\nwrite_rps = " << number(d_.write_rps)
        << "\nvalue_kb = " << number(d_.value_kb) << "\ntxn_ops = " << d_.txn_ops
        << "\n\n[deployment.cloud]\nrps = " << number(d_.cloud_rps)
        << "\nlist_lag_s = " << number(d_.list_lag_s)
        << "\n\n[deployment.limits]\ncpu_share = " << number(d_.cpu_share)
        << "\nmem_mb = " << number(d_.mem_mb) << "\nsockets = " << d_.sockets << "\n";
    return out.str();
}

void Stage::start_node(std::size_t i) {
    Node& node = *nodes_[i];
    std::vector<std::string> words;
    std::istringstream command(run_command_);
    for (std::string word; command >> word;) words.push_back(word);
    words.push_back(node.settings);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int pid = fork();
    if (pid < 0) return finish(kCouldNotRun, "fork failed");
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(node.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        close_range(3, ~0U, 0);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    node.pid = pid;
    node.started_at = now();
    log("process " + node.name + " started");
}

void Stage::signal_node(std::size_t i, int signal_number) {
    Node& node = *nodes_[i];
    if (node.pid <= 0) return;
    ::kill(node.pid, signal_number);
    log("process " + node.name + " gets signal " + std::to_string(signal_number));
    if (signal_number == SIGKILL) {
        waitpid(node.pid, nullptr, 0);
        node.pid = -1;
    }
}

int Stage::enforce_memory_limit(double restart_delay) {
    int killed = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        // Right after the fork the figures are still those of the stage.
        if (nodes_[i]->pid <= 0 || now() - nodes_[i]->started_at < 300 * kMillisecond) continue;
        std::ifstream in("/proc/" + std::to_string(nodes_[i]->pid) + "/status");
        long kb = 0;
        for (std::string word; in >> word;)
            if (word == "RssAnon:") in >> kb;
        highest_kb_ = std::max(highest_kb_, kb);
        if (kb <= static_cast<long>(d_.mem_mb * 1024)) continue;
        ++killed;
        log("platform: " + nodes_[i]->name + " holds " + std::to_string(kb / 1024) + " MB, is killed");
        signal_node(i, SIGKILL);
        after(restart_delay, [this, i] { start_node(i); });
    }
    return killed;
}

void Stage::reap() {
    for (auto& node : nodes_) {
        int status = 0;
        if (node->pid <= 0 || waitpid(node->pid, &status, WNOHANG) != node->pid) continue;
        node->pid = -1;
        const std::string text = node->name + " ended by itself, status " + std::to_string(status);
        if (WIFEXITED(status) && (WEXITSTATUS(status) == 127 || elapsed() < 1))
            return finish(kCouldNotRun, text);
        broken("a process crashes", text);
    }
}

void Stage::add_worker(const std::string& type, const std::string& zone, bool spot) {
    start_worker(cloud_->rent_machine(type, zone, spot, now(), 0));
}

void Stage::add_vendlab_machine_types() {
    types_.push_back({"jasmine", {16'000, 0, 64'000}, 70'000, 0.25, 0.69, 0.17, 30 * kSecond, d_.zones});
    types_.push_back({"olive", {64'000, 0, 256'000}, 80'000, 0.4, 2.88, 0.72, 50 * kSecond, d_.zones});
}

void Stage::add_vendlab_machines() {
    for (int i = 0; i < 5; ++i) add_worker("jasmine", i < 3 ? "sfax-north" : "sfax-port", false);
    for (const auto& zone : d_.zones) add_worker("olive", zone, false);
}

void Stage::start_worker(const std::string& name) {
    auto& info = cloud_->machines()[name].info;
    const auto type =
        std::find_if(types_.begin(), types_.end(), [&](const auto& t) { return t.name == info.type; });
    info.address = to_text(free_port());
    info.state = cottonway::CloudState::Running;
    std::vector<fakes::LiveWorker::Controller> controllers;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const Node& node = *nodes_[(i + static_cast<std::size_t>(worker_count_)) % nodes_.size()];
        controllers.push_back({node.name, node.for_workers.port ? node.for_workers : node.client});
    }
    ++worker_count_;
    fakes::LiveWorker::Options options;
    options.report_interval =
        static_cast<Micros>(d_.report_s * 1e6 * (0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000));
    options.command_delivery = [this, name] {
        return dead_.count(name) ? fakes::Delivery::Lost : command_delivery(name);
    };
    options.is_answer_lost = [this, name] { return dead_.count(name) > 0 || is_answer_lost(name); };
    auto worker = std::make_unique<fakes::Worker>(name, info.address, *type, info.zone, info.spot,
                                                  static_cast<Micros>(d_.lease_s * 1e6),
                                                  static_cast<Micros>(d_.gang_wait_s * 1e6), tasks_, now());
    fakes::Worker* raw = worker.get();
    workers_.push_back(std::make_unique<fakes::LiveWorker>(io_, std::move(worker), controllers, options));
    worker_of_[name] = {workers_.back().get(), raw};
}

void Stage::kill_machine(const std::string& name) {
    if (!worker_of_.count(name) || !dead_.insert(name).second) return;
    log("machine " + name + " stops with all that is on it");
    worker_of_[name].second->kill_all_tasks();
    after(30, [this, name] {
        if (auto it = cloud_->machines().find(name); it != cloud_->machines().end())
            it->second.info.state = cottonway::CloudState::Failed;
    });
}

/// Machines that the controllers have rented come up once their boot time is over.
void Stage::boot_rented_machines() {
    std::vector<std::string> up;
    for (const auto& [name, machine] : cloud_->machines())
        if (!worker_of_.count(name) && machine.boot_ends_at <= now()) up.push_back(name);
    for (const auto& name : up) {
        log("machine " + name + " comes up: " + cloud_->machines()[name].info.type + " in " +
            cloud_->machines()[name].info.zone);
        start_worker(name);
    }
}

bool Stage::all_healthy() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->healthy; });
}

/// The load balancer's probe: once a second; unhealthy after two failures, healthy after two successes and 3
/// s.
void Stage::probe(std::size_t i) {
    after(1, [this, i] { probe(i); });
    probe_client_.call(
        nodes_[i]->client, "GET", "/healthz", "", kSecond, [this, i](const net::ClientReply& reply) {
            Node& node = *nodes_[i];
            if (reply.status == 200) {
                node.failures = 0;
                ++node.successes;
                if (!node.healthy && (!node.ever_healthy ||
                                      (node.successes >= 2 && now() - node.unhealthy_since > 3 * kSecond))) {
                    node.healthy = node.ever_healthy = true;
                    log("balancer: " + node.name + " is healthy");
                }
            } else {
                node.successes = 0;
                if (++node.failures >= 2 && node.healthy) {
                    node.healthy = false;
                    node.unhealthy_since = now();
                    log("balancer: " + node.name + " is unhealthy");
                }
            }
        });
}

std::optional<std::size_t> Stage::pick_node() {
    std::vector<std::size_t> healthy;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->healthy) healthy.push_back(i);
    if (healthy.empty()) return std::nullopt;
    return healthy[random_() % healthy.size()];
}

void Stage::call(const Endpoint& to, const std::string& method, const std::string& path, const Json& body,
                 Micros timeout, std::function<void(const Answer&)> done) {
    user_client_.call(
        to, method, path, body.is_null() ? std::string() : wire::encode(body), timeout,
        [done = std::move(done)](const net::ClientReply& reply) {
            done({reply.status, reply.body.empty() ? Json() : wire::decode(reply.body).value_or(Json())});
        });
}

Json Stage::job(const std::string& ref, const std::string& pattern, const std::string& team,
                const std::string& kind, const std::string& rank, int tasks, double cores, double ram,
                const std::string& image, double image_gb, bool spot, double estimate_s, bool spread) {
    return {{"ref", ref},      {"pattern", pattern},     {"crew", team},
            {"weave", kind},   {"rank", rank},           {"threads", tasks},
            {"cores", cores},  {"cards", 0.0},           {"ram_gb", ram},
            {"bolt", image},   {"pull_gb", image_gb},    {"looms", nullptr},
            {"mill", nullptr}, {"one_zone", false},      {"spread", spread},
            {"remnant", spot}, {"reckon_s", estimate_s}, {"knot_s", 0.0},
            {"bind_s", 0.0},   {"due_s", nullptr}};
}

void Stage::submit(const JobPlan& plan, std::function<void(const Answer&)> done) {
    if (!tasks_.jobs.count(plan.ref)) {
        auto& known = tasks_.jobs[plan.ref];
        known.info.spec = *wire::parse_job(plan.body).spec;
        known.info.run_time = plan.run_time;
        known.info.image_fetch_time = 200 * kMillisecond;
    }
    const auto node = pick_node();
    if (!node) return after(1, [this, plan, done] { submit(plan, done); });
    call(nodes_[*node]->client, "POST", "/v1/jobs", plan.body, 5 * kSecond,
         [this, plan, done, node](const Answer& answer) {
             if (answer.status == 200 || answer.status == 201 || answer.status == 400 ||
                 answer.status == 422) {
                 if (!tasks_.quiet || answer.status >= 400)
                     log("submit " + plan.ref + " at " + nodes_[*node]->name + ": " +
                         std::to_string(answer.status));
                 if (answer.status < 300 && !accepted_.count(plan.ref)) accepted_[plan.ref] = "pending";
                 return done(answer);
             }
             after(1, [this, plan, done] { submit(plan, done); });
         });
}

void Stage::abort(const std::string& ref, std::function<void(const Answer&)> done) {
    const auto node = pick_node();
    if (!node) return after(1, [this, ref, done] { abort(ref, done); });
    call(nodes_[*node]->client, "POST", "/v1/jobs/" + ref + "/abort", Json::object(), 5 * kSecond,
         [this, ref, done, node](const Answer& answer) {
             log("abort " + ref + " at " + nodes_[*node]->name + ": " + std::to_string(answer.status) + " " +
                 wire::text(answer.body, "stage").value_or(""));
             if (answer.status == 200) return done(answer);
             after(1, [this, ref, done] { abort(ref, done); });
         });
}

void Stage::ask(const std::string& ref, std::optional<std::size_t> node,
                std::function<void(const Answer&)> done) {
    const auto chosen = node ? node : pick_node();
    if (!chosen) return done({});
    call(nodes_[*chosen]->client, "GET", "/v1/jobs/" + ref, Json(), 2 * kSecond, done);
}

void Stage::on_tick() {
    const Micros t = now();
    worst_lateness_ = std::max(worst_lateness_, t - next_tick_);
    state_.expire_leases();
    if (t >= next_worker_tick_) {
        next_worker_tick_ = t + worker_tick_;
        boot_rented_machines();
        for (auto& [name, worker] : worker_of_)
            if (!dead_.count(name)) worker.first->tick();
    }
    reap();
    tick();
    if (elapsed() > kLongestPlay) finish(kCouldNotRun, "the play took too long");
    next_tick_ = now() + kTick;
    after(static_cast<double>(kTick) / 1e6, [this] { on_tick(); });
}

int Stage::play() {
    begin();
    tasks_.look_interval = worker_tick_;
    for (std::size_t i = 0; i < nodes_.size(); ++i) probe(i);
    next_tick_ = now();
    on_tick();
    io_.run();
    return result_.value_or(kCouldNotRun);
}

}  // namespace review
