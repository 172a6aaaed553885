#pragma once
// An HTTP/1.1 client on Asio with a pool of keep-alive connections per address. The number of connections and
// the time of each call are bounded.

#include <asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/units.hpp"
#include "config/settings.hpp"

namespace cottonway::net {

struct ClientReply {
    int status = 0;  // HTTP status, or kNoAnswer or kNotSent
    std::string body;
};

/// Returns the time of the steady clock.
Micros steady_micros();

class ClientConnection;

class HttpClient {
  public:
    using Done = std::function<void(ClientReply)>;

    /// Without `keep_alive`, every call opens its own connection, so that a call without an established
    /// connection is known not to have been sent. Timeouts use `clock`; a service passes a clock that pauses
    /// while its process is stalled (see ListeningClock).
    HttpClient(asio::io_context& io, std::size_t max_per_address, std::size_t max_total,
               bool keep_alive = true, std::function<Micros()> clock = steady_micros)
        : io_(io),
          clock_(std::move(clock)),
          max_per_address_(max_per_address),
          max_total_(max_total),
          keep_alive_(keep_alive) {}

    void call(const Endpoint& to, const std::string& method, const std::string& path, const std::string& body,
              Micros timeout, Done done);

  private:
    friend class ClientConnection;
    void release_connection(const std::string& key, std::shared_ptr<ClientConnection> connection,
                            bool reusable);

    struct Pool {
        std::vector<std::shared_ptr<ClientConnection>> idle;
        std::size_t busy = 0;
    };

    asio::io_context& io_;
    std::function<Micros()> clock_;
    std::size_t max_per_address_;
    std::size_t max_total_;
    bool keep_alive_;
    std::size_t open_connections_ = 0;
    std::map<std::string, Pool> pools_;
};

}  // namespace cottonway::net
