#pragma once
// An HTTP/1.1 server on Asio. Requests are handed to one handler; everything about a connection is bounded.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/units.hpp"
#include "config/settings.hpp"

namespace cottonway::net {

struct Request {
    std::string method;
    std::string path;
    std::string body;
    bool too_large = false;
};

struct Response {
    int status = 200;
    std::string body;
    std::string content_type = "application/msgpack";
    int retry_after = 0;  // seconds, 0: none
};

using Responder = std::function<void(Response)>;
using Handler = std::function<void(Request, Responder)>;

class Connection;

class HttpServer {
  public:
    struct Limits {
        std::size_t connections = 500;
        std::size_t body = 64 * 1024;
        std::size_t head = 16 * 1024;
        Micros idle = 60 * kSecond;
        Micros request = 10 * kSecond;
    };

    HttpServer(asio::io_context& io, const Endpoint& listen, Limits limits, Handler handler);
    void start();
    std::size_t open() const { return connections_.size(); }

  private:
    friend class Connection;
    void accept();
    void sweep();

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    Limits limits_;
    Handler handler_;
    std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace cottonway::net
