#pragma once
// An HTTP/1.1 server on Asio that passes all requests to one handler. Connections, sizes and times are
// bounded.

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
    int retry_after = 0;  // value of the Retry-After header in seconds; 0: no header
};

using Responder = std::function<void(Response)>;
using Handler = std::function<void(Request, Responder)>;

class Connection;

class HttpServer {
  public:
    struct Limits {
        std::size_t max_connections = 500;
        std::size_t max_body_bytes = 64 * 1024;
        std::size_t max_head_bytes = 16 * 1024;
        Micros idle_timeout = 60 * kSecond;
        Micros request_timeout = 10 * kSecond;  // time from a request's first byte to its response
    };

    HttpServer(asio::io_context& io, const Endpoint& listen, Limits limits, Handler handler);
    void start();
    std::size_t open_connections() const { return connections_.size(); }

  private:
    friend class Connection;
    void accept();
    void close_expired();

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    Limits limits_;
    Handler handler_;
    std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace cottonway::net
