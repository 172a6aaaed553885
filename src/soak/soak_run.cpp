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
constexpr Micros kTick = 20 * kMillisecond;
/// Beyond this lateness of the test itself, leases no longer end when they are due.
constexpr Micros kJudgedUpTo = 500 * kMillisecond;
constexpr Micros kStartUp = 6 * kSecond;
constexpr Micros kSettleWithin = 60 * kSecond;
constexpr Micros kAnswerWithin = 15 * kSecond;
constexpr Micros kSubmitEvery = 400 * kMillisecond;
constexpr Micros kPollEvery = kSecond;
constexpr Micros kRetryEvery = kSecond;
constexpr Micros kUserPatience = 5 * kSecond;
constexpr Micros kControllerBackAfter = 1'500 * kMillisecond;
constexpr Micros kLateCommitAfter = 3 * kSecond;
constexpr double kCancelledShare = 0.4;
constexpr int kCancelledAtOnce = 5;
constexpr double kWideShare = 0.08;  // of the jobs; they take more than one stored part
constexpr int kWideTasks = 180;
constexpr int kMilliCoresPerMachine = 8'000;
constexpr std::size_t kUserConnections = 400;

/// Times scaled down so that a run is short and the protocol's formulas hold: the authority that remains is 5
/// s.
Settings deployment_of(int workers) {
    Settings s;
    s.zones = {"a", "b"};
    s.report_every = kSecond;
    s.lease = 6 * kSecond;
    s.gang_wait = 8 * kSecond;
    s.gang_peer = 3 * kSecond;
    s.cancel = 14 * kSecond;
    s.state_rps = 400;
    s.state_write_rps = 150;
    s.value_bytes = 4096;
    s.txn_ops = 8;
    const Milli cores = static_cast<Milli>(workers) * kMilliCoresPerMachine;
    s.teams = {{"red", {cores / 4, 0, 0}, {cores / 2, 0, 0}}, {"blue", {cores / 4, 0, 0}, {cores / 2, 0, 0}}};
    return s;
}

Endpoint loopback(int port) {
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::string text_of(const Endpoint& e) {
    return e.host + ":" + std::to_string(e.port);
}

/// Where everything listens.
class Ports {
  public:
    explicit Ports(int first) : first_(first) {}
    Endpoint client(int controller) const { return at(0, controller); }
    Endpoint cluster(int controller) const { return at(1, controller); }
    Endpoint for_workers(int controller) const { return at(2, controller); }
    Endpoint state(int controller) const { return at(3, controller); }
    Endpoint state_proxy(int controller) const { return at(4, controller); }
    Endpoint peer_proxy(int from, int to) const { return at(5 + from, to); }
    Endpoint cloud() const { return at(5 + kControllers, 0); }
    Endpoint worker(int index) const { return at(6 + kControllers, 0, index); }
    static constexpr int kBeforeWorkers = (6 + kControllers) * kControllers;

  private:
    Endpoint at(int group, int index, int offset = 0) const {
        return loopback(first_ + group * kControllers + index + offset);
    }
    int first_;
};

std::string settings_text(const Settings& s, const Ports& ports, int controller) {
    const auto name = [](int i) { return "loom-" + std::to_string(i); };
    std::string text =
        fmt::format("node_name = \"{}\"\nsite = \"{}\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n",
                    name(controller), s.zones[static_cast<std::size_t>(controller) % 2],
                    text_of(ports.client(controller)), text_of(ports.cluster(controller)));
    for (int peer = 0; peer < kControllers; ++peer)
        if (peer != controller)
            text += fmt::format("[[peers]]\nnode_name = \"{}\"\nsite = \"{}\"\npeer_addr = \"{}\"\n",
                                name(peer), s.zones[static_cast<std::size_t>(peer) % 2],
                                text_of(ports.peer_proxy(controller, peer)));
    text += fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n[deployment]\nzones = [\"a\", \"b\"]\n",
                        text_of(ports.cloud()), text_of(ports.state_proxy(controller)));
    for (const auto& team : s.teams)
        text += fmt::format(
            "[[deployment.teams]]\nname = \"{}\"\ncpus = {:.1f}\ncpus_max = {:.1f}\ngpus = 0.0\ngpus_max = "
            "0.0\n",
            team.name, static_cast<double>(team.guarantee.cores) / 1000,
            static_cast<double>(team.limit.cores) / 1000);
    const auto seconds = [](Micros t) { return static_cast<double>(t) / 1e6; };
    text += fmt::format(
        "[deployment.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\ngang_wait_s = {:.1f}\ngang_peer_s = "
        "{:.1f}\n"
        "cancel_s = {:.1f}\n",
        seconds(s.report_every), seconds(s.lease), seconds(s.gang_wait), seconds(s.gang_peer),
        seconds(s.cancel));
    text += fmt::format(
        "[deployment.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = 4.0\ntxn_ops = {}\n"
        "[deployment.cloud]\nrps = 5.0\nlist_lag_s = 1.0\n[deployment.limits]\nsockets = 1000\n",
        s.state_rps, s.state_write_rps, s.txn_ops);
    return text;
}

/// What is at fault just now. Faults overlap, so each is counted.
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
          deployment_(deployment_of(options.workers)),
          random_(options.seed * 7919 + 17),
          rules_(deployment_),
          cloud_({machine_type()}),
          users_(io_, kUserConnections, kUserConnections * kControllers),
          timer_(io_) {
        std::filesystem::create_directories(options_.folder);
        timeline_.open(options_.folder + "/soak.log");
        began_ = net::steady_micros();
        start_services();
        start_proxies();
        start_workers();
        start_controllers();
        faults_ = draw_faults(options_.seed, kControllers, kStartUp, kStartUp + options_.duration);
    }

    SoakVerdict play() {
        expected_ = net::steady_micros() + kTick;
        tick();
        io_.run();
        return verdict();
    }

  private:
    static MachineType machine_type() {
        return {"small", {kMilliCoresPerMachine, 0, 32'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
    }
    Micros elapsed() const { return net::steady_micros() - began_; }
    bool drawn(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    int below(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }

    void note(const std::string& line) {
        const auto now = std::chrono::system_clock::now();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        timeline_ << fmt::format("[{:%Y-%m-%d %H:%M:%S}.{:03}] [soak] ",
                                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms % 1000)
                  << line << std::endl;
    }

    // ------------------------------------------------------------ what is around the controllers

    void start_services() {
        state_.limits.write_rps = deployment_.state_write_rps;
        state_.limits.value_bytes = deployment_.value_bytes;
        state_.limits.txn_ops = deployment_.txn_ops;
        for (int i = 0; i < kControllers; ++i) {
            state_servers_.push_back(std::make_unique<net::HttpServer>(
                io_, ports_.state(i), net::HttpServer::Limits{},
                [this, i](const net::Request& r, const net::Responder& respond) {
                    serve_state(i, r, respond);
                }));
            state_servers_.back()->start();
        }
        cloud_.capacity = 0;
        cloud_server_ = std::make_unique<net::HttpServer>(
            io_, ports_.cloud(), net::HttpServer::Limits{},
            [this](const net::Request& r, const net::Responder& respond) {
                answer(respond, cloud_.handle(r.method, r.path, wire::decode(r.body).value_or(Json()),
                                              net::steady_micros()));
            });
        cloud_server_->start();
    }

    static void answer(const net::Responder& respond, const Reply& reply) {
        respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
    }

    void serve_state(int controller, const net::Request& r, const net::Responder& respond) {
        const bool refused = active_.store_refuses[static_cast<std::size_t>(controller)] > 0;
        if (r.path.rfind("/changes", 0) == 0)
            return watch(controller, r.path, net::steady_micros() + fakes::StateService::block_time(r.path),
                         respond);
        if (refused) return answer(respond, {503, Json::object()});
        const Json body = wire::decode(r.body).value_or(Json());
        const bool commit = r.path == "/commit";
        if (commit && active_.delay_commits > 0 && drawn(0.3)) return commit_late(r, body);
        const Reply reply = state_.handle(r.method, r.path, body, net::steady_micros());
        if (commit && active_.lose_commits > 0 && drawn(0.3)) return;
        answer(respond, reply);
    }

    void commit_late(const net::Request& r, const Json& body) {
        after(kLateCommitAfter, [this, method = r.method, path = r.path, body] {
            state_.handle(method, path, body, net::steady_micros());
        });
    }

    void watch(int controller, const std::string& path, Micros until, const net::Responder& respond) {
        const bool refused = active_.store_refuses[static_cast<std::size_t>(controller)] > 0;
        const auto reply = refused ? std::nullopt : state_.watch(path, net::steady_micros() >= until);
        if (reply) return answer(respond, *reply);
        after(kTick, [=, this] { watch(controller, path, until, respond); });
    }

    void after(Micros delay, std::function<void()> run) {
        auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(delay));
        timer->async_wait([timer, run = std::move(run)](asio::error_code ec) {
            if (!ec) run();
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
            const std::string name = cloud_.rent_one("small", zone, false, now, 0);
            const std::string address = text_of(ports_.worker(i));
            cloud_.machines()[name].info.addr = address;
            cloud_.machines()[name].info.state = CloudState::Running;
            fakes::LiveWorker::Options worker;
            worker.report_every = deployment_.report_every * (75 + below(51)) / 100;
            worker.command = [this] { return command_delivery(); };
            worker.answer_lost = [this] { return active_.lose_answers > 0 && drawn(0.5); };
            workers_.push_back(std::make_unique<fakes::LiveWorker>(
                io_,
                std::make_unique<fakes::Worker>(name, address, machine_type(), zone, false, deployment_.lease,
                                                deployment_.gang_wait, rules_, now),
                controllers, worker));
        }
    }

    Delivery command_delivery() {
        if (active_.lose_commands > 0 && drawn(0.7)) return Delivery::Lost;
        if (active_.delay_commands > 0 && drawn(0.5)) return Delivery::Late;
        return Delivery::Arrives;
    }

    void start_controllers() {
        for (int i = 0; i < kControllers; ++i) {
            const std::string base = options_.folder + "/loom-" + std::to_string(i);
            std::ofstream(base + ".toml") << settings_text(deployment_, ports_, i);
            controllers_.push_back(
                std::make_unique<ControllerProcess>(options_.controller, base + ".toml", base + ".log"));
            controllers_.back()->start();
        }
    }

    // ------------------------------------------------------------ the course of a run

    void tick() {
        const Micros now = net::steady_micros();
        latest_ = std::max(latest_, now - expected_);
        rules_.set_time(now);
        state_.expire(now);
        for (auto& w : workers_) w->tick();
        rules_.tick();
        watch_processes();
        begin_faults();
        if (elapsed() < kStartUp + options_.duration) submit_when_due(now);
        if (interrupted_ || step_is_last()) return io_.stop();
        expected_ = net::steady_micros() + kTick;
        timer_.expires_after(std::chrono::microseconds(kTick));
        timer_.async_wait([this](asio::error_code ec) {
            if (!ec) tick();
        });
    }

    void watch_processes() {
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            if (!controllers_[i]->ended_by_itself()) continue;
            rules_.breach("ended_by_itself", "loom-" + std::to_string(i));
            controllers_[i]->start();
        }
    }

    void begin_faults() {
        while (next_fault_ < faults_.size() && faults_[next_fault_].at <= elapsed()) {
            const Fault fault = faults_[next_fault_++];
            note(describe(fault));
            apply(fault, true);
            if (fault.lasts > 0 && fault.kind != FaultKind::KillController)
                after(fault.lasts, [this, fault] {
                    note(std::string("event=fault_over kind=") + name_of(fault.kind) +
                         " controller=" + std::to_string(fault.controller));
                    apply(fault, false);
                });
        }
    }

    void apply(const Fault& fault, bool begins) {
        const auto c = static_cast<std::size_t>(fault.controller);
        const int change = begins ? 1 : -1;
        switch (fault.kind) {
            case FaultKind::KillController:
                return kill(c);
            case FaultKind::PauseController:
                active_.paused[c] += change;
                return active_.paused[c] > 0 ? controllers_[c]->pause() : controllers_[c]->resume();
            case FaultKind::StoreOutage:
                active_.store_outage += change;
                return state_.set_down(active_.store_outage > 0, net::steady_micros());
            case FaultKind::StoreRefusesController:
                active_.store_refuses[c] += change;
                return;
            case FaultKind::CutFromStore:
                active_.cut_from_store[c] += change;
                return set_cut(*state_proxies_[c], active_.cut_from_store[c] > 0);
            case FaultKind::CutFromPeers:
                active_.cut_from_peers[c] += change;
                return cut_from_peers();
            case FaultKind::CutFromWorkers:
                active_.cut_from_workers[c] += change;
                return set_cut(*worker_proxies_[c], active_.cut_from_workers[c] > 0);
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
                return cancel_several();
        }
    }

    void kill(std::size_t controller) {
        controllers_[controller]->kill();
        after(kControllerBackAfter, [this, controller] {
            controllers_[controller]->start();
            if (active_.paused[controller] > 0) controllers_[controller]->pause();
        });
    }

    static void set_cut(TcpProxy& proxy, bool cut) { cut ? proxy.cut() : proxy.heal(); }

    void cut_from_peers() {
        for (std::size_t from = 0; from < kControllers; ++from)
            for (std::size_t to = 0; to < kControllers; ++to)
                if (from != to)
                    set_cut(*peer_proxies_[from * kControllers + to],
                            active_.cut_from_peers[from] + active_.cut_from_peers[to] > 0);
    }

    /// Whether the run is over; it then begins to ask the controllers for their counters, once.
    bool step_is_last() {
        const Micros faults_end = kStartUp + options_.duration;
        if (elapsed() < faults_end + kControllerBackAfter + kTick) return false;
        if (settling_since_ < 0) {
            settling_since_ = elapsed();
            note("event=quiesced");
            rules_.quiesce();
        }
        const Micros settling = elapsed() - settling_since_;
        if (settling < deployment_.cancel + deployment_.lease) return false;
        return rules_.settled() || settling > kSettleWithin;
    }

    // ------------------------------------------------------------ users

    void submit_when_due(Micros now) {
        if (elapsed() < kStartUp / 2 || now < next_submission_) return;
        next_submission_ = now + kSubmitEvery / 2 + static_cast<Micros>(random_() % kSubmitEvery);
        const JobSpec spec = draw_job();
        const Micros run = kSecond + static_cast<Micros>(random_() % (8 * kSecond));
        rules_.submit(spec, run);
        submit(spec.ref);
        const bool cancels = spec.kind == JobKind::Service || drawn(kCancelledShare);
        if (cancels)
            after(static_cast<Micros>(random_() % (10 * kSecond)), [this, ref = spec.ref] { cancel(ref); });
    }

    JobSpec draw_job() {
        JobSpec s;
        s.ref = fmt::format("req-{:06}", ++jobs_);
        s.job_class = "soak";
        s.team = drawn(0.5) ? "red" : "blue";
        s.kind = std::array{JobKind::Array, JobKind::Array, JobKind::Gang,
                            JobKind::Service}[static_cast<std::size_t>(below(4))];
        s.rank = drawn(0.3) ? PriorityClass::High : PriorityClass::Normal;
        s.tasks = 1 + below(5);
        s.request = {1000, 0, 1000};
        s.image = "img-" + std::to_string(below(3));
        s.image_gb = 100;
        if (!drawn(kWideShare)) return s;
        s.kind = JobKind::Service;
        s.tasks = kWideTasks;
        s.request = {20, 0, 20};
        return s;
    }

    void ask(RequestKind asked, const std::string& ref, std::function<void(int status)> done,
             int controller = -1) {
        const int target = controller >= 0 ? controller : below(kControllers);
        const bool state = asked == RequestKind::State;
        std::string path = "/v1/jobs";
        if (asked != RequestKind::Submission) path += "/" + ref;
        if (asked == RequestKind::Cancellation) path += "/abort";
        const std::string body =
            asked == RequestKind::Submission ? wire::encode(wire::job_value(rules_.spec(ref))) : "";
        users_.call(
            ports_.client(target), state ? "GET" : "POST", path, body, state ? 2 * kSecond : kUserPatience,
            [this, asked, ref, begun = rules_.begin(), done = std::move(done)](const net::ClientReply& r) {
                rules_.set_time(net::steady_micros());
                const Json answer = wire::decode(r.body).value_or(Json());
                const std::string stage = wire::text(answer, "stage").value_or("");
                if (r.status > 0) rules_.told(asked, ref, begun, r.status, stage);
                done(r.status);
            });
    }

    void submit(const std::string& ref) {
        ask(RequestKind::Submission, ref, [this, ref](int status) {
            if (status == 200 || status == 201) return poll(ref);
            after(kRetryEvery, [this, ref] { submit(ref); });
        });
    }

    /// Users go on asking, now and then also about what is over, and repeat what they asked for.
    void poll(const std::string& ref) {
        const Micros pause = rules_.over(ref) ? 4 * kPollEvery : kPollEvery;
        after(pause / 2 + static_cast<Micros>(random_() % static_cast<std::uint64_t>(pause)), [this, ref] {
            const bool repeats = drawn(0.1);
            ask(repeats ? RequestKind::Submission : RequestKind::State, ref, [this, ref](int) { poll(ref); });
        });
    }

    void cancel(const std::string& ref) {
        rules_.want_cancel(ref);
        ask(RequestKind::Cancellation, ref, [this, ref](int status) {
            if (status != 200) return after(kRetryEvery, [this, ref] { cancel(ref); });
            for (int i = 0; i < kControllers; ++i)
                ask(
                    RequestKind::State, ref, [](int) {}, i);
            if (drawn(0.2)) after(kRetryEvery, [this, ref] { cancel(ref); });
        });
    }

    void cancel_several() {
        auto running = rules_.running();
        std::shuffle(running.begin(), running.end(), random_);
        if (running.size() > kCancelledAtOnce) running.resize(kCancelledAtOnce);
        for (const auto& ref : running) cancel(ref);
    }

    // ------------------------------------------------------------ the verdict

    SoakVerdict verdict() {
        rules_.set_time(net::steady_micros());
        if (!interrupted_) rules_.finish(kAnswerWithin);
        controllers_.clear();
        read_logs();
        SoakVerdict v;
        v.breaches = rules_.breaches();
        v.latest = latest_;
        v.accepted = rules_.accepted();
        v.cancelled = rules_.cancelled();
        v.starts = rules_.starts();
        v.answers = rules_.answers();
        v.longest_to_stop = rules_.longest_to_stop();
        const bool judged = !interrupted_ && latest_ <= kJudgedUpTo;
        v.result = !judged              ? SoakResult::NotJudged
                   : v.breaches.empty() ? SoakResult::Passed
                                        : SoakResult::Failed;
        for (const auto& line : v.breaches) note("event=breach " + line);
        return v;
    }

    /// A violated invariant is a line in a controller's log, also of a process that was killed since.
    void read_logs() {
        for (int i = 0; i < kControllers; ++i) {
            std::ifstream log(options_.folder + "/loom-" + std::to_string(i) + ".log");
            for (std::string line; std::getline(log, line);)
                if (line.find("event=renewal_without_stop") != std::string::npos)
                    rules_.breach("invariant", line);
        }
    }

    const SoakOptions& options_;
    const std::atomic<bool>& interrupted_;
    Ports ports_;
    Settings deployment_;
    std::mt19937_64 random_;
    asio::io_context io_{1};
    RuleChecker rules_;
    fakes::StateService state_;
    fakes::Cloud cloud_;
    std::vector<std::unique_ptr<net::HttpServer>> state_servers_;
    std::unique_ptr<net::HttpServer> cloud_server_;
    std::vector<std::unique_ptr<TcpProxy>> worker_proxies_;
    std::vector<std::unique_ptr<TcpProxy>> state_proxies_;
    std::vector<std::unique_ptr<TcpProxy>> peer_proxies_;  // from, to
    std::vector<std::unique_ptr<fakes::LiveWorker>> workers_;
    std::vector<std::unique_ptr<ControllerProcess>> controllers_;
    net::HttpClient users_;
    asio::steady_timer timer_;
    std::ofstream timeline_;
    std::vector<Fault> faults_;
    std::size_t next_fault_ = 0;
    ActiveFaults active_;
    Micros began_ = 0;
    Micros expected_ = 0;
    Micros latest_ = 0;
    Micros settling_since_ = -1;
    Micros next_submission_ = 0;
    int jobs_ = 0;
};

}  // namespace

int ports_for(int workers) {
    return Ports::kBeforeWorkers + workers;
}

SoakVerdict play(const SoakOptions& options, const std::atomic<bool>& interrupted) {
    return SoakRun(options, interrupted).play();
}

}  // namespace cottonway::soak
