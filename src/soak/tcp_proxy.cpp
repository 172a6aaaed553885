#include "soak/tcp_proxy.hpp"

#include <array>
#include <functional>
#include <string>
#include <utility>

namespace cottonway::soak {

using asio::ip::tcp;

namespace {

tcp::endpoint to_tcp_endpoint(const Endpoint& endpoint) {
    return {asio::ip::make_address_v4(endpoint.host), endpoint.port};
}

}  // namespace

/// A client's connection and the matching connection to the target.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
  public:
    ProxiedConnection(TcpProxy& proxy, tcp::socket client)
        : proxy_(proxy),
          client_{std::move(client), {}, {}, false},
          target_{tcp::socket(proxy.io_), {}, {}, false} {}

    void start() {
        target_.socket.async_connect(proxy_.target_, [self = shared_from_this()](asio::error_code ec) {
            if (ec) return self->close();
            asio::error_code ignored;
            self->client_.socket.set_option(tcp::no_delay(true), ignored);
            self->target_.socket.set_option(tcp::no_delay(true), ignored);
            self->read(self->client_, self->target_);
            self->read(self->target_, self->client_);
        });
    }

    /// Sends the data that was held while the proxy was cut.
    void flush() {
        write(client_);
        write(target_);
        close_if_drained();
    }

    void close() {
        asio::error_code ignored;
        client_.socket.close(ignored);
        target_.socket.close(ignored);
        proxy_.connections_.erase(shared_from_this());
    }

  private:
    struct Side {
        tcp::socket socket;
        std::array<char, 16 * 1024> buffer;
        std::string to_send;
        bool sending;
    };

    void read(Side& from, Side& to) {
        from.socket.async_read_some(asio::buffer(from.buffer), [self = shared_from_this(), &from, &to](
                                                                   asio::error_code ec, std::size_t size) {
            if (ec) {
                self->reached_end_ = true;
                return self->close_if_drained();
            }
            to.to_send.append(from.buffer.data(), size);
            self->write(to);
            self->read(from, to);
        });
    }

    void write(Side& to) {
        if (to.sending || to.to_send.empty() || proxy_.cut_ || !to.socket.is_open()) return;
        to.sending = true;
        auto bytes = std::make_shared<std::string>(std::exchange(to.to_send, {}));
        asio::async_write(to.socket, asio::buffer(*bytes),
                          [self = shared_from_this(), bytes, &to](asio::error_code ec, std::size_t) {
                              to.sending = false;
                              if (ec) return self->close();
                              self->write(to);
                              self->close_if_drained();
                          });
    }

    void close_if_drained() {
        const bool has_data_to_send = client_.sending || target_.sending || !target_.to_send.empty();
        if (reached_end_ && !proxy_.cut_ && !has_data_to_send) close();
    }

    TcpProxy& proxy_;
    Side client_;
    Side target_;
    bool reached_end_ = false;
};

TcpProxy::TcpProxy(asio::io_context& io, const Endpoint& listen, Endpoint target)
    : io_(io), listen_(to_tcp_endpoint(listen)), target_(to_tcp_endpoint(target)), acceptor_(io) {
    this->listen();
}

TcpProxy::~TcpProxy() {
    for (const auto& connection : std::set(connections_)) connection->close();
}

void TcpProxy::listen() {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen_);
    acceptor_.listen();
    accept();
}

void TcpProxy::accept() {
    acceptor_.async_accept([this](asio::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (!ec) {
            auto connection = std::make_shared<ProxiedConnection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->start();
        }
        accept();
    });
}

void TcpProxy::cut() {
    if (std::exchange(cut_, true)) return;
    asio::error_code ignored;
    acceptor_.close(ignored);
}

void TcpProxy::heal() {
    if (!std::exchange(cut_, false)) return;
    listen();
    for (const auto& connection : std::set(connections_)) connection->flush();
}

}  // namespace cottonway::soak
