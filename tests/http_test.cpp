// The HTTP server over loopback: what is too large, broken or slow.

#include <gtest/gtest.h>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace cottonway::test {
namespace {

using asio::ip::tcp;

struct Server {
    asio::io_context io;
    Endpoint at{"127.0.0.1", 0};
    std::unique_ptr<net::HttpServer> server;
    explicit Server(net::HttpServer::Limits limits = {}) {
        {
            tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
            at.port = probe.local_endpoint().port();
        }
        server =
            std::make_unique<net::HttpServer>(io, at, limits, [](net::Request r, net::Responder respond) {
                respond({r.too_large ? 413 : 200, r.method + " " + r.path + " " + r.body, "text/plain", 0});
            });
        server->start();
    }
    /// Sends bytes and reads until the server closes or `wait` is over.
    std::string exchange(const std::string& bytes,
                         std::chrono::milliseconds wait = std::chrono::milliseconds(300)) {
        tcp::socket s(io);
        s.connect({asio::ip::make_address_v4(at.host), at.port});
        asio::write(s, asio::buffer(bytes));
        std::string got(65536, 0);
        std::size_t n = 0;
        std::function<void()> read = [&] {
            s.async_read_some(asio::buffer(got.data() + n, got.size() - n),
                              [&](asio::error_code ec, std::size_t k) {
                                  n += k;
                                  if (!ec) read();
                              });
        };
        read();
        io.restart();
        io.run_for(wait);
        s.close();
        io.restart();
        io.poll();
        got.resize(n);
        return got;
    }
};

TEST(Http, KeepsAConnectionForSeveralRequests) {
    Server s;
    net::HttpClient client(s.io, 4, 4);
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client.call(s.at, "POST", "/x", "abc", kSecond, [&](const net::ClientReply& r) {
            EXPECT_EQ(r.status, 200);
            EXPECT_EQ(r.body, "POST /x abc");
            ++answered;
        });
        s.io.restart();
        s.io.run_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(answered, 3);
    EXPECT_EQ(s.server->open_connections(), 1u);
}

TEST(Http, RefusesALargeBodyWithoutReadingIt) {
    Server s;
    const auto answer = s.exchange("POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 413");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST(Http, RefusesWhatIsNotHttp) {
    Server s;
    EXPECT_EQ(s.exchange("nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(s.exchange("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n").substr(0, 12),
              "HTTP/1.1 400");
    EXPECT_EQ(s.server->open_connections(), 0u);
}

TEST(Http, ClosesSlowConnections) {
    net::HttpServer::Limits limits;
    limits.request_timeout = 500 * kMillisecond;
    Server s(limits);
    EXPECT_EQ(s.exchange("POST /x HTTP/1.1\r\nContent-Le", std::chrono::milliseconds(2500)), "");
    EXPECT_EQ(s.server->open_connections(), 0u);
}

TEST(Http, KeptConnectionsGiveWayToNewAddresses) {
    Server first, second;
    net::HttpClient client(first.io, 2, 1);
    int answered = 0;
    for (auto* s : {&first, &second}) {
        client.call(s->at, "GET", "/", "", kSecond,
                    [&](const net::ClientReply& r) { answered += r.status == 200; });
        for (int i = 0; i < 10; ++i) {
            first.io.restart();
            first.io.run_for(std::chrono::milliseconds(10));
            second.io.restart();
            second.io.run_for(std::chrono::milliseconds(10));
        }
    }
    EXPECT_EQ(answered, 2);
}

TEST(Http, AnUnansweredCallEndsInTime) {
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(tcp::v4(), 0));
    net::HttpClient client(io, 1, 1);
    int status = -1;
    client.call({"127.0.0.1", silent.local_endpoint().port()}, "GET", "/", "", 200 * kMillisecond,
                [&](const net::ClientReply& r) { status = r.status; });
    io.run_for(std::chrono::milliseconds(600));
    EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace cottonway::test
