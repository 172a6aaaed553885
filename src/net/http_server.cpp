#include "net/http_server.hpp"

#include <http_parser.h>

#include <array>
#include <utility>

#include "logging/log.hpp"

namespace cottonway::net {

using asio::ip::tcp;

namespace {
const char* reason(int status) {
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
        touched_ = std::chrono::steady_clock::now();
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

    /// True once the connection has outstayed its time.
    bool expired(std::chrono::steady_clock::time_point now) const {
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - touched_).count();
        return age > (in_request_ ? server_.limits_.request : server_.limits_.idle);
    }
    bool idle_for(std::chrono::steady_clock::time_point now, Micros t) const {
        return !in_request_ &&
               std::chrono::duration_cast<std::chrono::microseconds>(now - touched_).count() > t;
    }

  private:
    static Connection& of(http_parser* p) { return *static_cast<Connection*>(p->data); }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) {
                auto& c = of(p);
                c.request_ = Request{};
                c.head_ = 0;
                c.in_request_ = true;
                c.touched_ = std::chrono::steady_clock::now();
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = of(p);
                c.request_.path.append(at, n);
                return c.count_head(n);
            };
            s.on_header_field = [](http_parser* p, const char*, std::size_t n) {
                return of(p).count_head(n);
            };
            s.on_header_value = [](http_parser* p, const char*, std::size_t n) {
                return of(p).count_head(n);
            };
            s.on_headers_complete = [](http_parser* p) {
                auto& c = of(p);
                c.request_.method = http_method_str(static_cast<http_method>(p->method));
                // A body that is announced too large is refused without reading it.
                if (p->content_length != ULLONG_MAX && p->content_length > c.server_.limits_.body)
                    return c.refuse_body();
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = of(p);
                if (c.request_.body.size() + n > c.server_.limits_.body) return c.refuse_body();
                c.request_.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                of(p).complete_ = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    int count_head(std::size_t n) { return (head_ += n) > server_.limits_.head ? 1 : 0; }
    int refuse_body() {
        request_.too_large = true;
        return 1;
    }

    void parse(std::size_t n) {
        http_parser_execute(&parser_, &callbacks(), buffer_.data(), n);
        if (request_.too_large) {
            closing_ = true;
            return dispatch();
        }
        if (complete_) {
            complete_ = false;
            closing_ = http_should_keep_alive(&parser_) == 0;
            return dispatch();
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade) {
            closing_ = true;
            return send(Response{400, "", "text/plain", 0});
        }
        read();
    }

    void dispatch() {
        auto responded = std::make_shared<bool>(false);
        server_.handler_(std::move(request_), [self = shared_from_this(), responded](Response r) {
            if (std::exchange(*responded, true)) return;
            self->send(std::move(r));
        });
    }

    void send(Response r) {
        if (!socket_.is_open()) return;
        out_ = "HTTP/1.1 " + std::to_string(r.status) + " " + reason(r.status) +
               "\r\nContent-Type: " + r.content_type +
               "\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
        if (r.retry_after > 0) out_ += "Retry-After: " + std::to_string(r.retry_after) + "\r\n";
        if (closing_) out_ += "Connection: close\r\n";
        out_ += "\r\n";
        out_ += r.body;
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this()](asio::error_code ec, std::size_t) {
                              if (ec || self->closing_) return self->close();
                              self->in_request_ = false;
                              self->touched_ = std::chrono::steady_clock::now();
                              http_parser_init(&self->parser_, HTTP_REQUEST);
                              self->read();
                          });
    }

    tcp::socket socket_;
    HttpServer& server_;
    http_parser parser_{};
    std::array<char, 4096> buffer_{};
    Request request_;
    std::string out_;
    std::size_t head_ = 0;
    bool complete_ = false;
    bool closing_ = false;
    bool in_request_ = false;
    std::chrono::steady_clock::time_point touched_;
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& listen, Limits limits, Handler handler)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::make_address_v4(listen.host), listen.port)),
      timer_(io),
      limits_(limits),
      handler_(std::move(handler)) {}

void HttpServer::start() {
    accept();
    sweep();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](asio::error_code ec, tcp::socket socket) {
        if (!ec) {
            if (connections_.size() >= limits_.connections) {
                // The room is made by whoever has been idle longest; failing that, the newcomer goes.
                const auto now = std::chrono::steady_clock::now();
                for (const auto& c : connections_)
                    if (c->idle_for(now, 5 * kSecond)) {
                        auto victim = c;
                        victim->close();
                        break;
                    }
            }
            if (connections_.size() < limits_.connections) {
                asio::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                auto c = std::make_shared<Connection>(std::move(socket), *this);
                connections_.insert(c);
                c->read();
            }
        } else if (ec != asio::error::connection_aborted) {
            // Out of sockets: try again shortly instead of spinning.
            auto pause = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(100));
            pause->async_wait([this, pause](asio::error_code) { accept(); });
            return;
        }
        accept();
    });
}

void HttpServer::sweep() {
    timer_.expires_after(std::chrono::seconds(1));
    timer_.async_wait([this](asio::error_code ec) {
        if (ec) return;
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::shared_ptr<Connection>> old;
        for (const auto& c : connections_)
            if (c->expired(now)) old.push_back(c);
        for (const auto& c : old) c->close();
        sweep();
    });
}

}  // namespace cottonway::net
