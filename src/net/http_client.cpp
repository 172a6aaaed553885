#include "net/http_client.hpp"

#include <http_parser.h>

#include <array>
#include <utility>

namespace cottonway::net {

using asio::ip::tcp;

namespace {
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr Micros kConnectTimeout = kSecond;
}  // namespace

Micros steady_micros() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// A connection with at most one call at a time. A call that times out closes it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(HttpClient& client, std::string key)
        : client_(client),
          key_(std::move(key)),
          socket_(client.io_),
          timer_(client.io_),
          connect_timer_(client.io_) {}

    void start(const Endpoint& to, std::string request, Micros timeout, HttpClient::Done done) {
        request_ = std::move(request);
        done_ = std::move(done);
        reply_ = ClientReply{};
        complete_ = false;
        ++generation_;
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        start_timer(timer_, client_.clock_() + timeout, [](ClientConnection&) { return true; });
        if (socket_.is_open()) return write();
        connected_ = false;
        // Connecting has a shorter timeout than the call: a request that was not sent can be sent elsewhere.
        start_timer(connect_timer_, client_.clock_() + std::min(timeout, kConnectTimeout),
                    [](ClientConnection& c) { return !c.connected_; });
        socket_.async_connect(tcp::endpoint(asio::ip::make_address_v4(to.host), to.port),
                              [self = shared_from_this()](asio::error_code ec) {
                                  if (!self->done_) return;
                                  if (ec) return self->finish(false);
                                  self->connected_ = true;
                                  self->connect_timer_.cancel();
                                  asio::error_code ignored;
                                  self->socket_.set_option(tcp::no_delay(true), ignored);
                                  self->write();
                              });
    }

    void close() {
        asio::error_code ignored;
        socket_.close(ignored);
    }

    /// Returns false if the server has closed the idle connection: it is readable then.
    bool is_still_open() {
        if (!socket_.is_open()) return false;
        asio::error_code ec;
        socket_.non_blocking(true, ec);
        char byte = 0;
        socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == asio::error::would_block;
    }

  private:
    using Condition = bool (*)(ClientConnection&);

    /// Fails the call at `deadline` if the condition holds then. The deadline is checked against the client's
    /// clock, which pauses while the process is stalled, so that answers that arrived in that time are read
    /// first.
    void start_timer(asio::steady_timer& timer, Micros deadline, Condition should_fail) {
        timer.expires_after(std::chrono::microseconds(std::max<Micros>(deadline - client_.clock_(), 0)));
        timer.async_wait([self = shared_from_this(), &timer, deadline, should_fail,
                          generation = generation_](asio::error_code ec) {
            if (ec || generation != self->generation_ || !self->done_) return;
            if (self->client_.clock_() < deadline) return self->start_timer(timer, deadline, should_fail);
            if (should_fail(*self)) self->finish(false);
        });
    }

    void write() {
        asio::async_write(socket_, asio::buffer(request_),
                          [self = shared_from_this()](asio::error_code ec, std::size_t) {
                              if (!self->done_) return;
                              if (ec) return self->finish(false);
                              self->read();
                          });
    }

    void read() {
        socket_.async_read_some(
            asio::buffer(buffer_), [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                if (!self->done_) return;
                if (ec) return self->finish(false);
                http_parser_execute(&self->parser_, &callbacks(), self->buffer_.data(), n);
                if (self->complete_) return self->finish(true);
                if (HTTP_PARSER_ERRNO(&self->parser_) != HPE_OK) return self->finish(false);
                self->read();
            });
    }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = *static_cast<ClientConnection*>(p->data);
                if (c.reply_.body.size() + n > kMaxBodyBytes) return 1;
                c.reply_.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                static_cast<ClientConnection*>(p->data)->complete_ = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    void finish(bool answered) {
        auto done = std::exchange(done_, nullptr);
        if (!done) return;
        timer_.cancel();
        connect_timer_.cancel();
        bool reusable = false;
        if (answered) {
            reply_.status = static_cast<int>(parser_.status_code);
            reusable = client_.keep_alive_ && http_should_keep_alive(&parser_) != 0;
        } else {
            reply_ = ClientReply{};
            reply_.status = connected_ ? kNoAnswer : kNotSent;
        }
        if (!reusable) close();
        client_.release_connection(key_, shared_from_this(), reusable);
        done(std::move(reply_));
    }

    HttpClient& client_;
    std::string key_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer connect_timer_;
    http_parser parser_{};
    std::array<char, 8192> buffer_{};
    std::string request_;
    ClientReply reply_;
    HttpClient::Done done_;
    bool complete_ = false;
    bool connected_ = false;
    std::uint64_t generation_ = 0;
};

void HttpClient::call(const Endpoint& to, const std::string& method, const std::string& path,
                      const std::string& body, Micros timeout, Done done) {
    const std::string key = to.host + ":" + std::to_string(to.port);
    std::string request =
        method + " " + path + " HTTP/1.1\r\nHost: " + key +
        "\r\nContent-Type: application/msgpack\r\nContent-Length: " + std::to_string(body.size()) +
        (keep_alive_ ? "" : "\r\nConnection: close") + "\r\n\r\n" + body;
    auto& pool = pools_[key];
    std::shared_ptr<ClientConnection> connection;
    while (!pool.idle.empty() && !connection) {
        connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (!connection->is_still_open()) {
            connection->close();
            connection.reset();
            --open_connections_;
        }
    }
    if (!connection && open_connections_ >= max_total_) {
        // Closes idle connections to other addresses, so that addresses which are not called any more do not
        // use up the sockets.
        for (auto it = pools_.begin(); it != pools_.end() && open_connections_ >= max_total_; ++it) {
            if (it->second.idle.empty()) continue;
            it->second.idle.back()->close();
            it->second.idle.pop_back();
            --open_connections_;
        }
    }
    if (!connection) {
        if (pool.busy >= max_per_address_ || open_connections_ >= max_total_) {
            asio::post(io_, [done = std::move(done)] { done(ClientReply{kNotSent, {}}); });
            return;
        }
        connection = std::make_shared<ClientConnection>(*this, key);
        ++open_connections_;
    }
    ++pool.busy;
    connection->start(to, std::move(request), timeout, std::move(done));
}

void HttpClient::release_connection(const std::string& key, std::shared_ptr<ClientConnection> connection,
                                    bool reusable) {
    auto& pool = pools_[key];
    --pool.busy;
    if (reusable) {
        pool.idle.push_back(std::move(connection));
    } else {
        --open_connections_;
        if (pool.busy == 0 && pool.idle.empty()) pools_.erase(key);
    }
}

}  // namespace cottonway::net
