#pragma once
// A fake worker on loopback: serves direct commands over HTTP and sends heartbeats to the controllers.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fakes.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace cottonway::fakes {

/// What happens to a direct command. Lost: it is neither carried out nor answered. Late: it is carried out
/// after Options::late_command_delay and not answered.
enum class Delivery { Delivered, Lost, Late };

/// Runs a fakes::Worker on loopback.
class LiveWorker {
  public:
    struct Controller {
        std::string name;
        Endpoint address;
    };
    struct Options {
        Micros report_interval = 500 * kMillisecond;
        Micros late_command_delay = 4 * kSecond;  // of commands with Delivery::Late
        std::function<Delivery()> command_delivery = [] { return Delivery::Delivered; };
        std::function<bool()> is_answer_lost = [] { return false; };
    };
    LiveWorker(asio::io_context& io, std::unique_ptr<Worker> worker, std::vector<Controller> controllers,
               Options options);
    /// Advances the worker and sends a heartbeat if one is due; to be called every few milliseconds.
    void tick();
    /// Returns the worker's state, for tests and checkers.
    const Worker& worker() const { return *worker_; }

  private:
    void on_command(const net::Request& request, const net::Responder& respond);
    void send_report(Micros now);
    void on_report_reply(const net::ClientReply& reply, std::uint64_t session, Micros sent_at);
    /// Sends the next heartbeat to this controller, after `pause`.
    void switch_controller(std::size_t controller, Micros pause);

    asio::io_context& io_;
    std::unique_ptr<Worker> worker_;
    std::vector<Controller> controllers_;
    Options options_;
    net::HttpClient client_;
    net::HttpServer server_;
    std::size_t controller_index_ = 0;
    bool report_in_flight_ = false;
    Micros next_report_at_ = 0;
    Micros last_report_at_ = 0;
};

}  // namespace cottonway::fakes
