#pragma once
// A TCP proxy on loopback that can be cut. While it is cut, it holds data that is sent over its connections,
// and refuses new connections; once healed, it delivers the held data in order.

#include <asio.hpp>
#include <memory>
#include <set>

#include "config/settings.hpp"

namespace cottonway::soak {

class ProxiedConnection;

class TcpProxy {
  public:
    /// Throws std::system_error if the port is in use.
    TcpProxy(asio::io_context& io, const Endpoint& listen, Endpoint target);
    ~TcpProxy();
    void cut();
    void heal();
    bool is_cut() const { return cut_; }
    std::size_t connection_count() const { return connections_.size(); }

  private:
    friend class ProxiedConnection;
    void listen();
    void accept();

    asio::io_context& io_;
    asio::ip::tcp::endpoint listen_;
    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<ProxiedConnection>> connections_;
    bool cut_ = false;
};

}  // namespace cottonway::soak
