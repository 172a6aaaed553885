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
constexpr Micros kStallRecovery = 300 * kMillisecond;  // to read the requests that arrived during a stall
constexpr Micros kPolicyCheckInterval = 5 * kSecond;

/// Reloads the operators' policy when its file has changed, and passes it to the controller.
class PolicyFileWatcher {
  public:
    PolicyFileWatcher(AsioHost& host, Controller& controller, const Settings& settings)
        : runtime_(host), controller_(controller), settings_(settings), last_modified_(modification_time()) {
        if (!settings.operators.policy_file.empty()) schedule_check();
    }

  private:
    std::filesystem::file_time_type modification_time() const {
        std::error_code ignored;
        return std::filesystem::last_write_time(settings_.operators.policy_file, ignored);
    }
    void schedule_check() {
        runtime_.after(kPolicyCheckInterval, [this] {
            reload_if_changed();
            schedule_check();
        });
    }
    void reload_if_changed() {
        if (const auto at = modification_time(); at == std::exchange(last_modified_, at)) return;
        try {
            controller_.set_policy_file(policy::load(settings_.operators.policy_file, &settings_));
        } catch (const std::exception& e) {
            spdlog::error("policy: {}: {}; keeping the policy read before", settings_.operators.policy_file,
                          e.what());
        }
    }

    AsioHost& runtime_;
    Controller& controller_;
    const Settings& settings_;
    std::filesystem::file_time_type last_modified_;
};
}  // namespace

AsioHost::AsioHost(asio::io_context& io, const Settings& settings)
    : io_(io),
      settings_(settings),
      state_client_(io, kStateConnections, kStateConnections, true, read_listening_clock_),
      cloud_client_(io, kCloudConnections, kCloudConnections, true, read_listening_clock_),
      worker_client_(io, kWorkerConnections, settings.sockets / 8, false, read_listening_clock_),
      peer_client_(io, kPeerConnections, settings.sockets / 16, true, read_listening_clock_),
      random_(std::random_device{}()) {}

Micros AsioHost::now() {
    return steady_micros();
}

void AsioHost::advance_listening_clock() {
    const Micros steady = now();
    const Micros stall = listening_clock_.advance(steady);
    if (stall == 0) return;
    last_stall_ = stall;
    last_stall_ended_ = steady;
    spdlog::info("this process was stalled for {} ms", stall / kMillisecond);
}

Micros AsioHost::listening_time() {
    advance_listening_clock();
    return listening_clock_.now();
}

Micros AsioHost::possible_request_delay() {
    advance_listening_clock();
    return last_stall_ended_ > 0 && now() - last_stall_ended_ < kStallRecovery ? last_stall_ : 0;
}

std::int64_t AsioHost::wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void AsioHost::enqueue(std::function<void()> command) {
    commands_.push_back(std::move(command));
    if (std::exchange(drain_posted_, true)) return;
    asio::post(io_, [this] {
        drain_posted_ = false;
        advance_listening_clock();
        for (auto batch = std::exchange(commands_, {}); auto& next : batch) next();
    });
}

void AsioHost::after(Micros delay, std::function<void()> callback) {
    if (delay <= 0) return enqueue(std::move(callback));
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(delay));
    timer->async_wait([this, timer, callback = std::move(callback)](asio::error_code ec) mutable {
        if (!ec) enqueue(std::move(callback));
    });
}

void AsioHost::call(Call call, ReplyHandler on_done) {
    HttpClient* client = &state_client_;
    Endpoint to = settings_.state;
    const char* series = "state";
    const bool is_peer = call.target == Target::Peer;
    if (call.target == Target::Cloud) {
        client = &cloud_client_;
        to = settings_.cloud;
        series = "cloud";
    } else if (call.target == Target::Worker || is_peer) {
        client = is_peer ? &peer_client_ : &worker_client_;
        series = is_peer ? "peer" : "worker";
        try {
            to = parse_endpoint(call.address);
        } catch (const std::invalid_argument&) {
            return enqueue([on_done = std::move(on_done)] { on_done(Reply{kNotSent, {}}); });
        }
    }
    const std::string body = is_peer               ? std::move(call.bytes)
                             : call.body.is_null() ? std::string()
                                                   : wire::encode(call.body);
    const Micros sent_at = now();
    client->call(to, call.method, call.path, body, call.timeout,
                 [this, series, sent_at, is_peer, path = call.path,
                  on_done = std::move(on_done)](ClientReply client_reply) {
                     Reply reply{client_reply.status, {}};
                     if (is_peer) {
                         reply.bytes = std::move(client_reply.body);
                     } else if (!client_reply.body.empty()) {
                         auto value = wire::decode(client_reply.body);
                         if (value) {
                             reply.body = std::move(*value);
                         } else {
                             spdlog::error("{}: the answer to {} is not valid MessagePack", series, path);
                             reply.status = 0;
                         }
                     }
                     if (path.rfind("/changes", 0) != 0)
                         metrics_.record(series, now() - sent_at, reply.status);
                     enqueue([on_done, reply = std::move(reply)] { on_done(reply); });
                 });
}

void run_service(const Settings& settings) {
    asio::io_context io(1);
    AsioHost host(io, settings);
    Controller controller(host, settings);

    HttpServer::Limits limits;
    // A single controller may have to serve all workers and users after the others have failed.
    limits.max_connections = settings.sockets * 3 / 4;
    HttpServer clients(io, settings.client_listen, limits, [&](Request request, Responder respond) {
        const Micros started_at = host.now();
        std::string series = request.path == "/v1/report" ? "report"
                             : request.path == "/healthz" ? "health"
                                                          : "user";
        ApiRequest api_request{std::move(request.method), std::move(request.path), std::move(request.body),
                               request.too_large, host.possible_request_delay()};
        host.enqueue([&, started_at, series, api_request = std::move(api_request),
                      respond = std::move(respond)]() mutable {
            controller.handle_request(
                std::move(api_request), [&host, started_at, series, respond](ApiResponse result) {
                    host.metrics().record(series, host.now() - started_at, result.status);
                    respond({result.status, wire::encode(result.body), "application/msgpack",
                             result.retry_after_s});
                });
        });
    });
    HttpServer::Limits cluster_limits;
    cluster_limits.max_connections = settings.sockets / 16;
    cluster_limits.max_body_bytes = 128 * 1024;
    HttpServer cluster(io, settings.cluster_listen, cluster_limits, [&](Request request, Responder respond) {
        if (request.path == "/peer") {
            if (request.method != "POST") return respond({405, "", "text/plain", 0});
            if (request.too_large) return respond({413, "", "text/plain", 0});
            return host.enqueue([&, body = std::move(request.body), respond = std::move(respond)] {
                controller.handle_peer_message(body, [respond](std::string answer) {
                    const int status = answer.empty() ? 400 : 200;
                    respond({status, std::move(answer), "application/octet-stream", 0});
                });
            });
        }
        static const std::string explain_prefix = "/explain/";
        if (request.path.compare(0, explain_prefix.size(), explain_prefix) == 0) {
            if (request.method != "GET") return respond({405, "", "text/plain", 0});
            const Json explanation = controller.explain(request.path.substr(explain_prefix.size()));
            return respond(
                {explanation.is_null() ? 404 : 200, wire::encode(explanation), "application/msgpack", 0});
        }
        if (request.path != "/status") return respond({404, "", "text/plain", 0});
        if (request.method != "GET") return respond({405, "", "text/plain", 0});
        Json status = controller.status();
        status["metrics"] = host.metrics().to_json();
        respond({200, wire::encode(status), "application/msgpack", 0});
    });
    PolicyFileWatcher policy_file(host, controller, settings);
    clients.start();
    cluster.start();
    controller.start();
    io.run();
}

}  // namespace cottonway::net
