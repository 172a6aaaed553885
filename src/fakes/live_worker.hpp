#pragma once
// A fake worker on loopback: its server for direct commands, and its heartbeats to the controllers.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fakes.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace cottonway::fakes {

/// What becomes of a direct command, or of the answer to a heartbeat.
enum class Delivery { Delivered, Lost, Late };

class LiveWorker {
  public:
    struct Controller {
        std::string name;
        Endpoint address;
    };
    struct Options {
        Micros report_every = 500 * kMillisecond;
        Micros late_command_delay = 4 * kSecond;  // of those that are carried out late, unanswered
        std::function<Delivery()> command_delivery = [] { return Delivery::Delivered; };
        std::function<bool()> is_answer_lost = [] { return false; };
    };
    LiveWorker(asio::io_context& io, std::unique_ptr<Worker> worker, std::vector<Controller> controllers,
               Options options);
    /// To be called every few milliseconds.
    void tick();
    /// For tests and checkers: the worker behind it.
    const Worker& worker() const { return *worker_; }

  private:
    void on_command(const net::Request& request, const net::Responder& respond);
    void report(Micros now);
    void answered(const net::ClientReply& reply, std::uint64_t session, Micros sent);
    /// Goes to a controller, after a pause.
    void turn_to(std::size_t controller, Micros pause);

    asio::io_context& io_;
    std::unique_ptr<Worker> worker_;
    std::vector<Controller> controllers_;
    Options options_;
    net::HttpClient client_;
    net::HttpServer server_;
    std::size_t target_ = 0;
    bool in_flight_ = false;
    Micros next_ = 0;
    Micros sent_ = 0;
};

}  // namespace cottonway::fakes
