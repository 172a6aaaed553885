#include "cli/client.hpp"

#include <iostream>

#include "net/http_client.hpp"

namespace cottonway::cli {

int request(const Endpoint& to, const std::string& method, const std::string& path, const Value& body) {
    asio::io_context io(1);
    net::HttpClient client(io, 1, 1);
    int code = 1;
    client.call(to, method, path, body.is_null() ? std::string() : wire::encode(body), 5 * kSecond,
                [&](const net::ClientReply& r) {
                    if (r.status == 0) {
                        std::cerr << "no answer from " << to.host << ":" << to.port << "\n";
                        return;
                    }
                    auto value = r.body.empty() ? Value() : wire::decode(r.body).value_or(Value());
                    std::cout << r.status << " " << value.dump(2, ' ', false, Value::error_handler_t::replace)
                              << "\n";
                    code = r.status < 300 ? 0 : 1;
                });
    io.run();
    return code;
}

int submit(const Endpoint& to, const Value& jobs) {
    if (!jobs.is_array()) return request(to, "POST", "/v1/jobs", jobs);
    for (const auto& job : jobs)
        if (const int code = request(to, "POST", "/v1/jobs", job); code != 0) return code;
    return 0;
}

}  // namespace cottonway::cli
