#pragma once
// The service process: the Runtime of the core on Asio, and the HTTP servers for clients, workers and peers.

#include <asio.hpp>
#include <deque>
#include <functional>
#include <random>

#include "config/settings.hpp"
#include "controller/controller.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"

namespace cottonway::net {

class AsioHost : public Runtime {
  public:
    AsioHost(asio::io_context& io, const Settings& settings);
    Micros now() override;
    Micros listening_time() override;
    /// Returns how long a request that is read now may have waited because the process was stalled; 0 if it
    /// was not.
    Micros possible_request_delay();
    std::int64_t wall_clock_ms() override;
    void call(Call call, ReplyHandler on_done) override;
    void after(Micros delay, std::function<void()> callback) override;
    std::mt19937_64& random() override { return random_; }

    /// Queues a command for the event loop's thread, which owns all state and runs commands in batches.
    void enqueue(std::function<void()> command);
    Metrics& metrics() { return metrics_; }

  private:
    asio::io_context& io_;
    const Settings& settings_;
    std::function<Micros()> read_listening_clock_ = [this] { return listening_time(); };
    HttpClient state_client_;
    HttpClient cloud_client_;
    HttpClient worker_client_;
    HttpClient peer_client_;
    std::mt19937_64 random_;
    void advance_listening_clock();

    ListeningClock listening_clock_;
    Micros last_stall_ = 0;
    Micros last_stall_ended_ = 0;
    std::deque<std::function<void()>> commands_;
    bool drain_posted_ = false;
    Metrics metrics_;
};

/// Runs the service until the process is killed.
void run_service(const Settings& settings);

}  // namespace cottonway::net
