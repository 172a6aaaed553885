#include "net/http_server.hpp"

#include <http_parser.h>

#include <array>
#include <utility>

#include "logging/log.hpp"

namespace cottonway::net {

using asio::ip::tcp;

namespace {
const char* reason_phrase(int status) {
    switch (status) {
#define COTTONWAY_REASON(num, name, string) \
    case num:                               \
        return #string;
        HTTP_STATUS_MAP(COTTONWAY_REASON)
#undef COTTONWAY_REASON
        default:
            return "Unknown";
    }
}
}  // namespace

class Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(tcp::socket socket, HttpServer& server) : socket_(std::move(socket)), server_(server) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        last_activity_ = std::chrono::steady_clock::now();
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                                    if (ec) return self->close();
                                    self->parse(n);
                                });
    }

    void close() {
        asio::error_code ignored;
        socket_.close(ignored);
        server_.connections_.erase(shared_from_this());
    }

    /// Returns true if the connection has been idle, or its request unanswered, for longer than allowed.
    bool is_expired(std::chrono::steady_clock::time_point now) const {
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - last_activity_).count();
        return age > (request_in_progress_ ? server_.limits_.request_timeout : server_.limits_.idle_timeout);
    }
    bool is_idle_longer_than(std::chrono::steady_clock::time_point now, Micros t) const {
        return !request_in_progress_ &&
               std::chrono::duration_cast<std::chrono::microseconds>(now - last_activity_).count() > t;
    }

  private:
    static Connection& connection_of(http_parser* p) { return *static_cast<Connection*>(p->data); }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) {
                auto& connection = connection_of(p);
                connection.request_ = Request{};
                connection.head_bytes_ = 0;
                connection.request_in_progress_ = true;
                connection.last_activity_ = std::chrono::steady_clock::now();
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                auto& connection = connection_of(p);
                connection.request_.path.append(at, n);
                return connection.add_head_bytes(n);
            };
            s.on_header_field = [](http_parser* p, const char*, std::size_t n) {
                return connection_of(p).add_head_bytes(n);
            };
            s.on_header_value = [](http_parser* p, const char*, std::size_t n) {
                return connection_of(p).add_head_bytes(n);
            };
            s.on_headers_complete = [](http_parser* p) {
                auto& connection = connection_of(p);
                connection.request_.method = http_method_str(static_cast<http_method>(p->method));
                // A body whose announced length is too large is refused without being read.
                if (p->content_length != ULLONG_MAX &&
                    p->content_length > connection.server_.limits_.max_body_bytes)
                    return connection.refuse_body();
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                auto& connection = connection_of(p);
                if (connection.request_.body.size() + n > connection.server_.limits_.max_body_bytes)
                    return connection.refuse_body();
                connection.request_.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                connection_of(p).complete_ = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    int add_head_bytes(std::size_t n) { return (head_bytes_ += n) > server_.limits_.max_head_bytes ? 1 : 0; }
    int refuse_body() {
        request_.too_large = true;
        return 1;
    }

    void parse(std::size_t n) {
        http_parser_execute(&parser_, &callbacks(), buffer_.data(), n);
        if (request_.too_large) {
            close_after_response_ = true;
            return dispatch();
        }
        if (complete_) {
            complete_ = false;
            close_after_response_ = http_should_keep_alive(&parser_) == 0;
            return dispatch();
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade) {
            close_after_response_ = true;
            return send(Response{400, "", "text/plain", 0});
        }
        read();
    }

    void dispatch() {
        auto responded = std::make_shared<bool>(false);
        server_.handler_(std::move(request_), [self = shared_from_this(), responded](Response response) {
            if (std::exchange(*responded, true)) return;
            self->send(std::move(response));
        });
    }

    void send(Response response) {
        if (!socket_.is_open()) return;
        response_ = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
                    "\r\nContent-Type: " + response.content_type +
                    "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        if (response.retry_after > 0)
            response_ += "Retry-After: " + std::to_string(response.retry_after) + "\r\n";
        if (close_after_response_) response_ += "Connection: close\r\n";
        response_ += "\r\n";
        response_ += response.body;
        asio::async_write(socket_, asio::buffer(response_),
                          [self = shared_from_this()](asio::error_code ec, std::size_t) {
                              if (ec || self->close_after_response_) return self->close();
                              self->request_in_progress_ = false;
                              self->last_activity_ = std::chrono::steady_clock::now();
                              http_parser_init(&self->parser_, HTTP_REQUEST);
                              self->read();
                          });
    }

    tcp::socket socket_;
    HttpServer& server_;
    http_parser parser_{};
    std::array<char, 4096> buffer_{};
    Request request_;
    std::string response_;
    std::size_t head_bytes_ = 0;
    bool complete_ = false;
    bool close_after_response_ = false;
    bool request_in_progress_ = false;
    std::chrono::steady_clock::time_point last_activity_;
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& listen, Limits limits, Handler handler)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::make_address_v4(listen.host), listen.port)),
      timer_(io),
      limits_(limits),
      handler_(std::move(handler)) {}

void HttpServer::start() {
    accept();
    close_expired();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](asio::error_code ec, tcp::socket socket) {
        if (!ec) {
            if (connections_.size() >= limits_.max_connections) {
                // At the limit, a connection that has been idle for 5 s is closed; if there is none, the new
                // connection is.
                const auto now = std::chrono::steady_clock::now();
                for (const auto& connection : connections_)
                    if (connection->is_idle_longer_than(now, 5 * kSecond)) {
                        auto idle_connection = connection;
                        idle_connection->close();
                        break;
                    }
            }
            if (connections_.size() < limits_.max_connections) {
                asio::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                auto connection = std::make_shared<Connection>(std::move(socket), *this);
                connections_.insert(connection);
                connection->read();
            }
        } else if (ec != asio::error::connection_aborted) {
            // Out of sockets: retries after a pause, to avoid a busy loop.
            auto pause = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(100));
            pause->async_wait([this, pause](asio::error_code) { accept(); });
            return;
        }
        accept();
    });
}

void HttpServer::close_expired() {
    timer_.expires_after(std::chrono::seconds(1));
    timer_.async_wait([this](asio::error_code ec) {
        if (ec) return;
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::shared_ptr<Connection>> expired_connections;
        for (const auto& connection : connections_)
            if (connection->is_expired(now)) expired_connections.push_back(connection);
        for (const auto& connection : expired_connections) connection->close();
        close_expired();
    });
}

}  // namespace cottonway::net
