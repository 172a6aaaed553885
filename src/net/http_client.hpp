#pragma once
// An HTTP/1.1 client on Asio with kept connections per address, bounded in number and in time.

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
    int status = 0;  // of HTTP, or kNoAnswer or kNotSent
    std::string body;
};

/// The steady clock.
Micros steady_micros();

class ClientConnection;

class HttpClient {
  public:
    using Done = std::function<void(ClientReply)>;

    /// Without `keep`, every call has a connection of its own: if none comes about, nothing was sent.
    /// Time-outs go by `clock`, which a service lets stand still while its process does (see ListeningClock).
    HttpClient(asio::io_context& io, std::size_t per_address, std::size_t total, bool keep = true,
               std::function<Micros()> clock = steady_micros)
        : io_(io), clock_(std::move(clock)), per_address_(per_address), total_(total), keep_(keep) {}

    void call(const Endpoint& to, const std::string& method, const std::string& path, const std::string& body,
              Micros timeout, Done done);

  private:
    friend class ClientConnection;
    void release(const std::string& key, std::shared_ptr<ClientConnection> connection, bool reusable);

    struct Pool {
        std::vector<std::shared_ptr<ClientConnection>> idle;
        std::size_t busy = 0;
    };

    asio::io_context& io_;
    std::function<Micros()> clock_;
    std::size_t per_address_;
    std::size_t total_;
    bool keep_;
    std::size_t open_ = 0;
    std::map<std::string, Pool> pools_;
};

}  // namespace cottonway::net
