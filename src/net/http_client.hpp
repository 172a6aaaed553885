#pragma once
// An HTTP/1.1 client on Asio with kept connections per address, bounded in number and in time.

#include <asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "wire/units.hpp"

namespace cottonway::net {

struct ClientReply {
    int status = 0;  // 0: no answer
    std::string body;
};

class ClientConnection;

class HttpClient {
  public:
    using Done = std::function<void(ClientReply)>;

    HttpClient(asio::io_context& io, std::size_t per_address, std::size_t total)
        : io_(io), per_address_(per_address), total_(total) {}

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
    std::size_t per_address_;
    std::size_t total_;
    std::size_t open_ = 0;
    std::map<std::string, Pool> pools_;
};

}  // namespace cottonway::net
