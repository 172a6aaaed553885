#include "net/service.hpp"

#include <chrono>
#include <filesystem>
#include <memory>
#include <utility>

#include "controller/controller.hpp"
#include "logging/log.hpp"

namespace cottonway::net {

namespace {
constexpr std::size_t kStateConnections = 24;
constexpr std::size_t kCloudConnections = 6;
constexpr std::size_t kWorkerConnections = 2;
constexpr std::size_t kPeerConnections = 12;
constexpr Micros kCatchUp = 300 * kMillisecond;  // to read what waited while the process stood still
constexpr Micros kPolicyEvery = 5 * kSecond;     // looks at the policy's file

/// Passes the operators' policy on to the controller whenever its file has changed.
class PolicyFile {
  public:
    PolicyFile(AsioHost& host, Controller& controller, const Settings& settings)
        : runtime_(host), controller_(controller), settings_(settings), seen_(changed_at()) {
        if (!settings.operators.policy_file.empty()) wait();
    }

  private:
    std::filesystem::file_time_type changed_at() const {
        std::error_code none;
        return std::filesystem::last_write_time(settings_.operators.policy_file, none);
    }
    void wait() {
        runtime_.after(kPolicyEvery, [this] {
            look();
            wait();
        });
    }
    void look() {
        if (const auto at = changed_at(); at == std::exchange(seen_, at)) return;
        try {
            controller_.set_policy_file(policy::load(settings_.operators.policy_file, &settings_));
        } catch (const std::exception& e) {
            spdlog::error("policy: {}: {}; the one read before is kept", settings_.operators.policy_file,
                          e.what());
        }
    }

    AsioHost& runtime_;
    Controller& controller_;
    const Settings& settings_;
    std::filesystem::file_time_type seen_;
};
}  // namespace

AsioHost::AsioHost(asio::io_context& io, const Settings& settings)
    : io_(io),
      settings_(settings),
      state_(io, kStateConnections, kStateConnections, true, listening_),
      cloud_(io, kCloudConnections, kCloudConnections, true, listening_),
      workers_(io, kWorkerConnections, settings.sockets / 8, false, listening_),
      peers_(io, kPeerConnections, settings.sockets / 16, true, listening_),
      random_(std::random_device{}()) {}

Micros AsioHost::now() {
    return steady_micros();
}

void AsioHost::turn() {
    const Micros steady = now();
    const Micros stood_still = clock_.advance(steady);
    if (stood_still == 0) return;
    stood_still_ = stood_still;
    woke_at_ = steady;
    spdlog::info("this process stood still for {} ms", stood_still / kMillisecond);
}

Micros AsioHost::listening_time() {
    turn();
    return clock_.now();
}

Micros AsioHost::waited() {
    turn();
    return woke_at_ > 0 && now() - woke_at_ < kCatchUp ? stood_still_ : 0;
}

std::int64_t AsioHost::wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void AsioHost::enqueue(std::function<void()> command) {
    commands_.push_back(std::move(command));
    if (std::exchange(draining_, true)) return;
    asio::post(io_, [this] {
        draining_ = false;
        turn();
        for (auto batch = std::exchange(commands_, {}); auto& c : batch) c();
    });
}

void AsioHost::after(Micros delay, std::function<void()> run) {
    if (delay <= 0) return enqueue(std::move(run));
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(delay));
    timer->async_wait([this, timer, run = std::move(run)](asio::error_code ec) mutable {
        if (!ec) enqueue(std::move(run));
    });
}

void AsioHost::call(Call call, ReplyHandler done) {
    HttpClient* client = &state_;
    Endpoint to = settings_.state;
    const char* name = "state";
    const bool peer = call.target == Target::Peer;
    if (call.target == Target::Cloud) {
        client = &cloud_;
        to = settings_.cloud;
        name = "cloud";
    } else if (call.target == Target::Worker || peer) {
        client = peer ? &peers_ : &workers_;
        name = peer ? "peer" : "worker";
        try {
            to = parse_endpoint(call.address);
        } catch (const std::invalid_argument&) {
            return enqueue([done = std::move(done)] { done(Reply{kNotSent, {}}); });
        }
    }
    const std::string body = peer                  ? std::move(call.bytes)
                             : call.body.is_null() ? std::string()
                                                   : wire::encode(call.body);
    const Micros sent = now();
    client->call(to, call.method, call.path, body, call.timeout,
                 [this, name, sent, peer, path = call.path, done = std::move(done)](ClientReply r) {
                     Reply reply{r.status, {}};
                     if (peer) {
                         reply.bytes = std::move(r.body);
                     } else if (!r.body.empty()) {
                         auto value = wire::decode(r.body);
                         if (value) {
                             reply.body = std::move(*value);
                         } else {
                             spdlog::error("{}: an answer to {} is not in the protocol", name, path);
                             reply.status = 0;
                         }
                     }
                     if (path.rfind("/changes", 0) != 0) metrics_.add(name, now() - sent, reply.status);
                     enqueue([done, reply = std::move(reply)] { done(reply); });
                 });
}

void run_service(const Settings& settings) {
    asio::io_context io(1);
    AsioHost host(io, settings);
    Controller controller(host, settings);

    HttpServer::Limits limits;
    // One controller may have to carry all workers and users after the others have ended.
    limits.connections = settings.sockets * 3 / 4;
    HttpServer clients(io, settings.client_listen, limits, [&](Request request, Responder respond) {
        const Micros start = host.now();
        std::string name = request.path == "/v1/report" ? "report"
                           : request.path == "/healthz" ? "health"
                                                        : "user";
        ApiRequest api{std::move(request.method), std::move(request.path), std::move(request.body),
                       request.too_large, host.waited()};
        host.enqueue([&, start, name, api = std::move(api), respond = std::move(respond)]() mutable {
            controller.handle(std::move(api), [&host, start, name, respond](ApiResponse r) {
                host.metrics().add(name, host.now() - start, r.status);
                respond({r.status, wire::encode(r.body), "application/msgpack", r.retry_after});
            });
        });
    });
    HttpServer::Limits cluster_limits;
    cluster_limits.connections = settings.sockets / 16;
    cluster_limits.body = 128 * 1024;
    HttpServer cluster(io, settings.cluster_listen, cluster_limits, [&](Request request, Responder respond) {
        if (request.path == "/peer") {
            if (request.method != "POST") return respond({405, "", "text/plain", 0});
            if (request.too_large) return respond({413, "", "text/plain", 0});
            return host.enqueue([&, body = std::move(request.body), respond = std::move(respond)] {
                controller.handle_peer(body, [respond](std::string answer) {
                    const int status = answer.empty() ? 400 : 200;
                    respond({status, std::move(answer), "application/octet-stream", 0});
                });
            });
        }
        static const std::string explain = "/explain/";
        if (request.path.compare(0, explain.size(), explain) == 0) {
            if (request.method != "GET") return respond({405, "", "text/plain", 0});
            const Json told = controller.explain(request.path.substr(explain.size()));
            return respond({told.is_null() ? 404 : 200, wire::encode(told), "application/msgpack", 0});
        }
        if (request.path != "/status") return respond({404, "", "text/plain", 0});
        if (request.method != "GET") return respond({405, "", "text/plain", 0});
        Json v = controller.status();
        v["metrics"] = host.metrics().value();
        respond({200, wire::encode(v), "application/msgpack", 0});
    });
    PolicyFile policy_file(host, controller, settings);
    clients.start();
    cluster.start();
    controller.start();
    io.run();
}

}  // namespace cottonway::net
