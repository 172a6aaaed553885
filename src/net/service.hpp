#pragma once
// The program's world: the core's host on Asio, and the servers in front of it.

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
    /// How long a request that is read now may have waited, since the process stood still before.
    Micros waited();
    std::int64_t wall_clock_ms() override;
    void call(Call call, ReplyHandler done) override;
    void after(Micros delay, std::function<void()> run) override;
    std::mt19937_64& random() override { return random_; }

    /// Commands for the one owner of all state; they are worked through in batches.
    void enqueue(std::function<void()> command);
    Metrics& metrics() { return metrics_; }

  private:
    asio::io_context& io_;
    const Settings& settings_;
    std::function<Micros()> listening_ = [this] { return listening_time(); };
    HttpClient state_;
    HttpClient cloud_;
    HttpClient workers_;
    HttpClient peers_;
    std::mt19937_64 random_;
    void turn();

    ListeningClock clock_;
    Micros stood_still_ = 0;
    Micros woke_at_ = 0;
    std::deque<std::function<void()>> commands_;
    bool draining_ = false;
    Metrics metrics_;
};

/// Runs until killed.
void run_service(const Settings& settings);

}  // namespace cottonway::net
