#include "soak/soak_run.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <system_error>
#include <thread>

#include "fakes/live_worker.hpp"
#include "soak/controller_process.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/rule_checker.hpp"
#include "soak/tcp_proxy.hpp"

namespace cottonway::soak {

namespace {

using fakes::Delivery;
using simulation::RequestKind;

constexpr int kControllers = 3;
constexpr Micros kTickInterval = 20 * kMillisecond;
/// If the test's own timer is delayed by more, the fakes' leases no longer expire on time and a run is not
/// judged.
constexpr Micros kMaxLateness = 500 * kMillisecond;
constexpr Micros kStartupTime = 6 * kSecond;
constexpr Micros kSettleTimeout = 60 * kSecond;
constexpr Micros kAnswerTimeout = 15 * kSecond;
constexpr Micros kSubmitInterval = 400 * kMillisecond;
constexpr Micros kPollInterval = kSecond;
constexpr Micros kRetryInterval = kSecond;
constexpr Micros kUserRequestTimeout = 5 * kSecond;
constexpr Micros kControllerRestartDelay = 1'500 * kMillisecond;
constexpr Micros kLateCommitDelay = 3 * kSecond;
constexpr double kCancelledJobFraction = 0.4;
constexpr int kMaxCancelledAtOnce = 5;
constexpr double kWideJobFraction = 0.08;  // of jobs; their tasks take more than one stored part
constexpr int kWideJobTasks = 180;
constexpr int kMilliCoresPerMachine = 8'000;
constexpr std::size_t kMaxUserConnections = 400;

/// Returns settings with times scaled down so that a run is short. The protocol's formulas for them still
/// hold; they leave a controller lease of 5 s.
Settings make_deployment(int workers) {
    Settings settings;
    settings.zones = {"a", "b"};
    settings.report_interval = kSecond;
    settings.worker_lease = 6 * kSecond;
    settings.gang_wait_timeout = 8 * kSecond;
    settings.gang_peer_timeout = 3 * kSecond;
    settings.cancel_deadline = 14 * kSecond;
    settings.state_rps = 400;
    settings.state_write_rps = 150;
    settings.max_value_bytes = 4096;
    settings.max_txn_ops = 8;
    const Milli cores = static_cast<Milli>(workers) * kMilliCoresPerMachine;
    settings.teams = {{"red", {cores / 4, 0, 0}, {cores / 2, 0, 0}},
                      {"blue", {cores / 4, 0, 0}, {cores / 2, 0, 0}}};
    return settings;
}

Endpoint loopback(int port) {
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::string to_text(const Endpoint& endpoint) {
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

/// Assigns a listening address to every process, fake and proxy.
class Ports {
  public:
    explicit Ports(int first_port) : first_port_(first_port) {}
    Endpoint client(int controller) const { return address(0, controller); }
    Endpoint cluster(int controller) const { return address(1, controller); }
    Endpoint for_workers(int controller) const { return address(2, controller); }
    Endpoint state(int controller) const { return address(3, controller); }
    Endpoint state_proxy(int controller) const { return address(4, controller); }
    Endpoint peer_proxy(int from, int to) const { return address(5 + from, to); }
    Endpoint cloud() const { return address(5 + kControllers, 0); }
    Endpoint worker(int index) const { return address(6 + kControllers, 0, index); }
    static constexpr int kPortsBeforeWorkers = (6 + kControllers) * kControllers;

  private:
    Endpoint address(int group, int index, int offset = 0) const {
        return loopback(first_port_ + group * kControllers + index + offset);
    }
    int first_port_;
};

std::string settings_text(const Settings& settings, const Ports& ports, int controller) {
    const auto name = [](int i) { return "loom-" + std::to_string(i); };
    std::string text =
        fmt::format("node_name = \"{}\"\nsite = \"{}\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n",
                    name(controller), settings.zones[static_cast<std::size_t>(controller) % 2],
                    to_text(ports.client(controller)), to_text(ports.cluster(controller)));
    for (int peer = 0; peer < kControllers; ++peer)
        if (peer != controller)
            text += fmt::format("[[peers]]\nnode_name = \"{}\"\nsite = \"{}\"\npeer_addr = \"{}\"\n",
                                name(peer), settings.zones[static_cast<std::size_t>(peer) % 2],
                                to_text(ports.peer_proxy(controller, peer)));
    text += fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n[deployment]\nzones = [\"a\", \"b\"]\n",
                        to_text(ports.cloud()), to_text(ports.state_proxy(controller)));
    for (const auto& team : settings.teams)
        text += fmt::format(
            "[[deployment.teams]]\nname = \"{}\"\ncpus = {:.1f}\ncpus_max = {:.1f}\ngpus = 0.0\ngpus_max = "
            "0.0\n",
            team.name, static_cast<double>(team.guarantee.cores) / 1000,
            static_cast<double>(team.limit.cores) / 1000);
    const auto seconds = [](Micros duration) { return static_cast<double>(duration) / 1e6; };
    text += fmt::format(
        "[deployment.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\ngang_wait_s = {:.1f}\ngang_peer_s = "
        "{:.1f}\n"
        "cancel_s = {:.1f}\n",
        seconds(settings.report_interval), seconds(settings.worker_lease),
        seconds(settings.gang_wait_timeout), seconds(settings.gang_peer_timeout),
        seconds(settings.cancel_deadline));
    text += fmt::format(
        "[deployment.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = 4.0\ntxn_ops = {}\n"
        "[deployment.cloud]\nrps = 5.0\nlist_lag_s = 1.0\n[deployment.limits]\nsockets = 1000\n",
        settings.state_rps, settings.state_write_rps, settings.max_txn_ops);
    return text;
}

/// The number of active faults of each kind; faults of one kind may overlap.
struct ActiveFaults {
    int lose_commands = 0;
    int delay_commands = 0;
    int lose_answers = 0;
    int lose_commits = 0;
    int delay_commits = 0;
    int store_outage = 0;
    std::array<int, kControllers> store_refuses{};
    std::array<int, kControllers> cut_from_store{};
    std::array<int, kControllers> cut_from_peers{};
    std::array<int, kControllers> cut_from_workers{};
    std::array<int, kControllers> paused{};
};

class SoakRun {
  public:
    SoakRun(const SoakOptions& options, const std::atomic<bool>& interrupted)
        : options_(options),
          interrupted_(interrupted),
          ports_(options.first_port),
          deployment_(make_deployment(options.workers)),
          random_(options.seed * 7919 + 17),
          rule_checker_(deployment_),
          cloud_({machine_type()}),
          user_client_(io_, kMaxUserConnections, kMaxUserConnections * kControllers),
          timer_(io_) {
        std::filesystem::create_directories(options_.folder);
        timeline_.open(options_.folder + "/soak.log");
        started_at_ = net::steady_micros();
        start_services();
        start_proxies();
        start_workers();
        start_controllers();
        faults_ = generate_faults(options_.seed, kControllers, kStartupTime,
                                  kStartupTime + options_.fault_duration);
    }

    SoakVerdict run() {
        next_tick_at_ = net::steady_micros() + kTickInterval;
        tick();
        io_.run();
        return verdict();
    }

  private:
    static MachineType machine_type() {
        return {"small", {kMilliCoresPerMachine, 0, 32'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
    }
    Micros elapsed() const { return net::steady_micros() - started_at_; }
    bool draw_bool(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    int draw_below(int limit) { return static_cast<int>(random_() % static_cast<std::uint64_t>(limit)); }

    void log_event(const std::string& line) {
        const auto now = std::chrono::system_clock::now();
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        timeline_ << fmt::format("[{:%Y-%m-%d %H:%M:%S}.{:03}] [soak] ",
                                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds % 1000)
                  << line << std::endl;
    }

    // ------------------------------------------------------------ fakes and proxies

    void start_services() {
        state_.limits.write_rps = deployment_.state_write_rps;
        state_.limits.value_bytes = deployment_.max_value_bytes;
        state_.limits.txn_ops = deployment_.max_txn_ops;
        for (int i = 0; i < kControllers; ++i) {
            state_servers_.push_back(std::make_unique<net::HttpServer>(
                io_, ports_.state(i), net::HttpServer::Limits{},
                [this, i](const net::Request& request, const net::Responder& respond) {
                    serve_state_request(i, request, respond);
                }));
            state_servers_.back()->start();
        }
        cloud_.capacity = 0;
        cloud_server_ = std::make_unique<net::HttpServer>(
            io_, ports_.cloud(), net::HttpServer::Limits{},
            [this](const net::Request& request, const net::Responder& respond) {
                respond_with(respond, cloud_.handle(request.method, request.path,
                                                    wire::decode(request.body).value_or(Json()),
                                                    net::steady_micros()));
            });
        cloud_server_->start();
    }

    static void respond_with(const net::Responder& respond, const Reply& reply) {
        respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
    }

    void serve_state_request(int controller, const net::Request& request, const net::Responder& respond) {
        const bool is_refused = active_.store_refuses[static_cast<std::size_t>(controller)] > 0;
        if (request.path.rfind("/changes", 0) == 0)
            return watch(controller, request.path,
                         net::steady_micros() + fakes::StateService::block_time(request.path), respond);
        if (is_refused) return respond_with(respond, {503, Json::object()});
        const Json body = wire::decode(request.body).value_or(Json());
        const bool is_commit = request.path == "/commit";
        if (is_commit && active_.delay_commits > 0 && draw_bool(0.3)) return commit_late(request, body);
        const Reply reply = state_.handle(request.method, request.path, body, net::steady_micros());
        if (is_commit && active_.lose_commits > 0 && draw_bool(0.3)) return;
        respond_with(respond, reply);
    }

    void commit_late(const net::Request& request, const Json& body) {
        run_after(kLateCommitDelay, [this, method = request.method, path = request.path, body] {
            state_.handle(method, path, body, net::steady_micros());
        });
    }

    void watch(int controller, const std::string& path, Micros deadline, const net::Responder& respond) {
        const bool is_refused = active_.store_refuses[static_cast<std::size_t>(controller)] > 0;
        const auto reply = is_refused ? std::nullopt : state_.watch(path, net::steady_micros() >= deadline);
        if (reply) return respond_with(respond, *reply);
        run_after(kTickInterval, [=, this] { watch(controller, path, deadline, respond); });
    }

    void run_after(Micros delay, std::function<void()> task) {
        auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(delay));
        timer->async_wait([timer, task = std::move(task)](asio::error_code ec) {
            if (!ec) task();
        });
    }

    void start_proxies() {
        for (int i = 0; i < kControllers; ++i) {
            worker_proxies_.push_back(
                std::make_unique<TcpProxy>(io_, ports_.for_workers(i), ports_.client(i)));
            state_proxies_.push_back(std::make_unique<TcpProxy>(io_, ports_.state_proxy(i), ports_.state(i)));
            for (int peer = 0; peer < kControllers; ++peer)
                peer_proxies_.push_back(
                    peer == i
                        ? nullptr
                        : std::make_unique<TcpProxy>(io_, ports_.peer_proxy(i, peer), ports_.cluster(peer)));
        }
    }

    void start_workers() {
        std::vector<fakes::LiveWorker::Controller> controllers;
        for (int i = 0; i < kControllers; ++i)
            controllers.push_back({"loom-" + std::to_string(i), ports_.for_workers(i)});
        for (int i = 0; i < options_.workers; ++i) {
            const std::string zone = i % 2 ? "b" : "a";
            const Micros now = net::steady_micros();
            const std::string name = cloud_.rent_machine("small", zone, false, now, 0);
            const std::string address = to_text(ports_.worker(i));
            cloud_.machines()[name].info.address = address;
            cloud_.machines()[name].info.state = CloudState::Running;
            fakes::LiveWorker::Options worker_options;
            worker_options.report_interval = deployment_.report_interval * (75 + draw_below(51)) / 100;
            worker_options.command_delivery = [this] { return command_delivery(); };
            worker_options.is_answer_lost = [this] { return active_.lose_answers > 0 && draw_bool(0.5); };
            workers_.push_back(std::make_unique<fakes::LiveWorker>(
                io_,
                std::make_unique<fakes::Worker>(name, address, machine_type(), zone, false,
                                                deployment_.worker_lease, deployment_.gang_wait_timeout,
                                                rule_checker_, now),
                controllers, worker_options));
        }
    }

    Delivery command_delivery() {
        if (active_.lose_commands > 0 && draw_bool(0.7)) return Delivery::Lost;
        if (active_.delay_commands > 0 && draw_bool(0.5)) return Delivery::Late;
        return Delivery::Delivered;
    }

    void start_controllers() {
        for (int i = 0; i < kControllers; ++i) {
            const std::string base = options_.folder + "/loom-" + std::to_string(i);
            std::ofstream(base + ".toml") << settings_text(deployment_, ports_, i);
            controllers_.push_back(std::make_unique<ControllerProcess>(options_.controller_binary,
                                                                       base + ".toml", base + ".log"));
            controllers_.back()->start();
        }
    }

    // ------------------------------------------------------------ timer and faults

    void tick() {
        const Micros now = net::steady_micros();
        max_lateness_ = std::max(max_lateness_, now - next_tick_at_);
        rule_checker_.set_time(now);
        state_.expire_leases(now);
        for (auto& worker : workers_) worker->tick();
        rule_checker_.check_deadlines();
        restart_exited_controllers();
        begin_faults();
        if (elapsed() < kStartupTime + options_.fault_duration) submit_when_due(now);
        if (interrupted_ || is_run_over()) return io_.stop();
        next_tick_at_ = net::steady_micros() + kTickInterval;
        timer_.expires_after(std::chrono::microseconds(kTickInterval));
        timer_.async_wait([this](asio::error_code ec) {
            if (!ec) tick();
        });
    }

    void restart_exited_controllers() {
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            if (!controllers_[i]->reap_if_exited()) continue;
            rule_checker_.report_violation("ended_by_itself", "loom-" + std::to_string(i));
            controllers_[i]->start();
        }
    }

    void begin_faults() {
        while (next_fault_ < faults_.size() && faults_[next_fault_].starts_at <= elapsed()) {
            const Fault fault = faults_[next_fault_++];
            log_event(describe(fault));
            apply(fault, true);
            if (fault.duration > 0 && fault.kind != FaultKind::KillController)
                run_after(fault.duration, [this, fault] {
                    log_event(std::string("event=fault_over kind=") + name_of(fault.kind) +
                              " controller=" + std::to_string(fault.controller));
                    apply(fault, false);
                });
        }
    }

    void apply(const Fault& fault, bool begins) {
        const auto index = static_cast<std::size_t>(fault.controller);
        const int change = begins ? 1 : -1;
        switch (fault.kind) {
            case FaultKind::KillController:
                return kill(index);
            case FaultKind::PauseController:
                active_.paused[index] += change;
                return active_.paused[index] > 0 ? controllers_[index]->pause()
                                                 : controllers_[index]->resume();
            case FaultKind::StoreOutage:
                active_.store_outage += change;
                return state_.set_down(active_.store_outage > 0, net::steady_micros());
            case FaultKind::StoreRefusesController:
                active_.store_refuses[index] += change;
                return;
            case FaultKind::CutFromStore:
                active_.cut_from_store[index] += change;
                return set_cut(*state_proxies_[index], active_.cut_from_store[index] > 0);
            case FaultKind::CutFromPeers:
                active_.cut_from_peers[index] += change;
                return update_peer_cuts();
            case FaultKind::CutFromWorkers:
                active_.cut_from_workers[index] += change;
                return set_cut(*worker_proxies_[index], active_.cut_from_workers[index] > 0);
            case FaultKind::LoseCommands:
                active_.lose_commands += change;
                return;
            case FaultKind::DelayCommands:
                active_.delay_commands += change;
                return;
            case FaultKind::LoseAnswers:
                active_.lose_answers += change;
                return;
            case FaultKind::LoseCommits:
                active_.lose_commits += change;
                return;
            case FaultKind::DelayCommits:
                active_.delay_commits += change;
                return;
            case FaultKind::CancelJobs:
                return cancel_running_jobs();
        }
    }

    void kill(std::size_t controller) {
        controllers_[controller]->kill();
        run_after(kControllerRestartDelay, [this, controller] {
            controllers_[controller]->start();
            if (active_.paused[controller] > 0) controllers_[controller]->pause();
        });
    }

    static void set_cut(TcpProxy& proxy, bool should_cut) { should_cut ? proxy.cut() : proxy.heal(); }

    void update_peer_cuts() {
        for (std::size_t from = 0; from < kControllers; ++from)
            for (std::size_t to = 0; to < kControllers; ++to)
                if (from != to)
                    set_cut(*peer_proxies_[from * kControllers + to],
                            active_.cut_from_peers[from] + active_.cut_from_peers[to] > 0);
    }

    /// Returns true if the run is over. Tells the rule checker once when all faults have ended.
    bool is_run_over() {
        const Micros faults_end = kStartupTime + options_.fault_duration;
        if (elapsed() < faults_end + kControllerRestartDelay + kTickInterval) return false;
        if (settling_since_ < 0) {
            settling_since_ = elapsed();
            log_event("event=quiesced");
            rule_checker_.on_faults_over();
        }
        const Micros settling = elapsed() - settling_since_;
        if (settling < deployment_.cancel_deadline + deployment_.worker_lease) return false;
        return rule_checker_.is_settled() || settling > kSettleTimeout;
    }

    // ------------------------------------------------------------ users

    void submit_when_due(Micros now) {
        if (elapsed() < kStartupTime / 2 || now < next_submission_at_) return;
        next_submission_at_ = now + kSubmitInterval / 2 + static_cast<Micros>(random_() % kSubmitInterval);
        const JobSpec spec = draw_job();
        const Micros run_time = kSecond + static_cast<Micros>(random_() % (8 * kSecond));
        rule_checker_.submit(spec, run_time);
        submit(spec.ref);
        const bool will_be_cancelled = spec.kind == JobKind::Service || draw_bool(kCancelledJobFraction);
        if (will_be_cancelled)
            run_after(static_cast<Micros>(random_() % (10 * kSecond)),
                      [this, ref = spec.ref] { cancel(ref); });
    }

    JobSpec draw_job() {
        JobSpec spec;
        spec.ref = fmt::format("req-{:06}", ++submitted_jobs_);
        spec.job_class = "soak";
        spec.team = draw_bool(0.5) ? "red" : "blue";
        spec.kind = std::array{JobKind::Array, JobKind::Array, JobKind::Gang,
                               JobKind::Service}[static_cast<std::size_t>(draw_below(4))];
        spec.priority_class = draw_bool(0.3) ? PriorityClass::High : PriorityClass::Normal;
        spec.tasks = 1 + draw_below(5);
        spec.request = {1000, 0, 1000};
        spec.image = "img-" + std::to_string(draw_below(3));
        spec.image_gb = 100;
        if (!draw_bool(kWideJobFraction)) return spec;
        spec.kind = JobKind::Service;
        spec.tasks = kWideJobTasks;
        spec.request = {20, 0, 20};
        return spec;
    }

    void send_user_request(RequestKind request_kind, const std::string& ref,
                           std::function<void(int status)> on_reply, int controller = -1) {
        const int target = controller >= 0 ? controller : draw_below(kControllers);
        const bool is_state_query = request_kind == RequestKind::State;
        std::string path = "/v1/jobs";
        if (request_kind != RequestKind::Submission) path += "/" + ref;
        if (request_kind == RequestKind::Cancellation) path += "/abort";
        const std::string body = request_kind == RequestKind::Submission
                                     ? wire::encode(wire::job_value(rule_checker_.spec(ref)))
                                     : "";
        user_client_.call(ports_.client(target), is_state_query ? "GET" : "POST", path, body,
                          is_state_query ? 2 * kSecond : kUserRequestTimeout,
                          [this, request_kind, ref, request_number = rule_checker_.begin_request(),
                           on_reply = std::move(on_reply)](const net::ClientReply& reply) {
                              rule_checker_.set_time(net::steady_micros());
                              const Json answer = wire::decode(reply.body).value_or(Json());
                              const std::string stage = wire::text(answer, "stage").value_or("");
                              if (reply.status > 0)
                                  rule_checker_.on_answer(request_kind, ref, request_number, reply.status,
                                                          stage);
                              on_reply(reply.status);
                          });
    }

    void submit(const std::string& ref) {
        send_user_request(RequestKind::Submission, ref, [this, ref](int status) {
            if (status == 200 || status == 201) return poll(ref);
            run_after(kRetryInterval, [this, ref] { submit(ref); });
        });
    }

    /// Polls the job's state forever, less often once the job is finished; some polls repeat the submission
    /// instead.
    void poll(const std::string& ref) {
        const Micros pause = rule_checker_.is_finished(ref) ? 4 * kPollInterval : kPollInterval;
        run_after(pause / 2 + static_cast<Micros>(random_() % static_cast<std::uint64_t>(pause)),
                  [this, ref] {
                      const bool repeats_submission = draw_bool(0.1);
                      send_user_request(repeats_submission ? RequestKind::Submission : RequestKind::State,
                                        ref, [this, ref](int) { poll(ref); });
                  });
    }

    void cancel(const std::string& ref) {
        rule_checker_.record_cancellation_request(ref);
        send_user_request(RequestKind::Cancellation, ref, [this, ref](int status) {
            if (status != 200) return run_after(kRetryInterval, [this, ref] { cancel(ref); });
            for (int i = 0; i < kControllers; ++i)
                send_user_request(
                    RequestKind::State, ref, [](int) {}, i);
            if (draw_bool(0.2)) run_after(kRetryInterval, [this, ref] { cancel(ref); });
        });
    }

    void cancel_running_jobs() {
        auto running = rule_checker_.running_jobs();
        std::shuffle(running.begin(), running.end(), random_);
        if (running.size() > kMaxCancelledAtOnce) running.resize(kMaxCancelledAtOnce);
        for (const auto& ref : running) cancel(ref);
    }

    // ------------------------------------------------------------ verdict

    SoakVerdict verdict() {
        rule_checker_.set_time(net::steady_micros());
        if (!interrupted_) rule_checker_.check_final_state(kAnswerTimeout);
        controllers_.clear();
        check_controller_logs();
        SoakVerdict soak_verdict;
        soak_verdict.violations = rule_checker_.violations();
        soak_verdict.max_lateness = max_lateness_;
        soak_verdict.accepted_jobs = rule_checker_.accepted_jobs();
        soak_verdict.cancelled_jobs = rule_checker_.cancelled_jobs();
        soak_verdict.task_starts = rule_checker_.task_starts();
        soak_verdict.answers = rule_checker_.answers();
        soak_verdict.longest_stop_time = rule_checker_.longest_stop_time();
        const bool is_judged = !interrupted_ && max_lateness_ <= kMaxLateness;
        soak_verdict.result = !is_judged                        ? SoakResult::NotJudged
                              : soak_verdict.violations.empty() ? SoakResult::Passed
                                                                : SoakResult::Failed;
        for (const auto& line : soak_verdict.violations) log_event("event=breach " + line);
        return soak_verdict;
    }

    /// Reports the violated invariants that the controllers logged, including those of processes that were
    /// killed later.
    void check_controller_logs() {
        for (int i = 0; i < kControllers; ++i) {
            std::ifstream log(options_.folder + "/loom-" + std::to_string(i) + ".log");
            for (std::string line; std::getline(log, line);)
                if (line.find("event=renewal_without_stop") != std::string::npos)
                    rule_checker_.report_violation("invariant", line);
        }
    }

    const SoakOptions& options_;
    const std::atomic<bool>& interrupted_;
    Ports ports_;
    Settings deployment_;
    std::mt19937_64 random_;
    asio::io_context io_{1};
    RuleChecker rule_checker_;
    fakes::StateService state_;
    fakes::Cloud cloud_;
    std::vector<std::unique_ptr<net::HttpServer>> state_servers_;
    std::unique_ptr<net::HttpServer> cloud_server_;
    std::vector<std::unique_ptr<TcpProxy>> worker_proxies_;
    std::vector<std::unique_ptr<TcpProxy>> state_proxies_;
    std::vector<std::unique_ptr<TcpProxy>> peer_proxies_;  // index: from * kControllers + to
    std::vector<std::unique_ptr<fakes::LiveWorker>> workers_;
    std::vector<std::unique_ptr<ControllerProcess>> controllers_;
    net::HttpClient user_client_;
    asio::steady_timer timer_;
    std::ofstream timeline_;
    std::vector<Fault> faults_;
    std::size_t next_fault_ = 0;
    ActiveFaults active_;
    Micros started_at_ = 0;
    Micros next_tick_at_ = 0;
    Micros max_lateness_ = 0;
    Micros settling_since_ = -1;
    Micros next_submission_at_ = 0;
    int submitted_jobs_ = 0;
};

}  // namespace

int port_count(int workers) {
    return Ports::kPortsBeforeWorkers + workers;
}

SoakVerdict run_soak(const SoakOptions& options, const std::atomic<bool>& interrupted) {
    return SoakRun(options, interrupted).run();
}

}  // namespace cottonway::soak
