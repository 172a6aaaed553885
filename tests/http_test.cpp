// The HTTP server and client over loopback: oversized, malformed and slow requests, reuse of connections.

#include <gtest/gtest.h>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace cottonway::test {
namespace {

using asio::ip::tcp;

struct TestServer {
    asio::io_context io;
    Endpoint endpoint{"127.0.0.1", 0};
    std::unique_ptr<net::HttpServer> http_server;
    explicit TestServer(net::HttpServer::Limits limits = {}) {
        {
            tcp::acceptor port_probe(io, tcp::endpoint(tcp::v4(), 0));
            endpoint.port = port_probe.local_endpoint().port();
        }
        http_server = std::make_unique<net::HttpServer>(
            io, endpoint, limits, [](net::Request r, net::Responder respond) {
                respond({r.too_large ? 413 : 200, r.method + " " + r.path + " " + r.body, "text/plain", 0});
            });
        http_server->start();
    }
    /// Sends bytes and returns what the server sends until it closes the connection or `wait` is over.
    std::string send_and_receive(const std::string& bytes,
                                 std::chrono::milliseconds wait = std::chrono::milliseconds(300)) {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address_v4(endpoint.host), endpoint.port});
        asio::write(socket, asio::buffer(bytes));
        std::string received(65536, 0);
        std::size_t size = 0;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(received.data() + size, received.size() - size),
                                   [&](asio::error_code ec, std::size_t count) {
                                       size += count;
                                       if (!ec) read();
                                   });
        };
        read();
        io.restart();
        io.run_for(wait);
        socket.close();
        io.restart();
        io.poll();
        received.resize(size);
        return received;
    }
};

TEST(Http, ReusesAConnectionForSeveralRequests) {
    TestServer server;
    net::HttpClient client(server.io, 4, 4);
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client.call(server.endpoint, "POST", "/x", "abc", kSecond, [&](const net::ClientReply& r) {
            EXPECT_EQ(r.status, 200);
            EXPECT_EQ(r.body, "POST /x abc");
            ++answered;
        });
        server.io.restart();
        server.io.run_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(answered, 3);
    EXPECT_EQ(server.http_server->open_connections(), 1u);
}

TEST(Http, RefusesALargeBodyWithoutReadingIt) {
    TestServer server;
    const auto answer = server.send_and_receive("POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 413");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST(Http, RefusesMalformedRequests) {
    TestServer server;
    EXPECT_EQ(server.send_and_receive("nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(server.send_and_receive("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n")
                  .substr(0, 12),
              "HTTP/1.1 400");
    EXPECT_EQ(server.http_server->open_connections(), 0u);
}

TEST(Http, ClosesConnectionsWithSlowRequests) {
    net::HttpServer::Limits limits;
    limits.request_timeout = 500 * kMillisecond;
    TestServer server(limits);
    EXPECT_EQ(server.send_and_receive("POST /x HTTP/1.1\r\nContent-Le", std::chrono::milliseconds(2500)), "");
    EXPECT_EQ(server.http_server->open_connections(), 0u);
}

TEST(Http, IdleConnectionsAreClosedForNewAddresses) {
    TestServer first_server, second_server;
    net::HttpClient client(first_server.io, 2, 1);
    int answered = 0;
    for (auto* server : {&first_server, &second_server}) {
        client.call(server->endpoint, "GET", "/", "", kSecond,
                    [&](const net::ClientReply& r) { answered += r.status == 200; });
        for (int i = 0; i < 10; ++i) {
            first_server.io.restart();
            first_server.io.run_for(std::chrono::milliseconds(10));
            second_server.io.restart();
            second_server.io.run_for(std::chrono::milliseconds(10));
        }
    }
    EXPECT_EQ(answered, 2);
}

TEST(Http, UnansweredCallEndsAtItsTimeout) {
    asio::io_context io;
    tcp::acceptor silent_server(io, tcp::endpoint(tcp::v4(), 0));
    net::HttpClient client(io, 1, 1);
    int status = -1;
    client.call({"127.0.0.1", silent_server.local_endpoint().port()}, "GET", "/", "", 200 * kMillisecond,
                [&](const net::ClientReply& r) { status = r.status; });
    io.run_for(std::chrono::milliseconds(600));
    EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace cottonway::test
