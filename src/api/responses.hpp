#pragma once
// HTTP requests of users, workers and the load balancer, and the responses to them, without the transport.

#include <functional>
#include <string>

#include "base/units.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

struct ApiRequest {
    std::string method;
    std::string path;
    std::string body;
    bool too_large = false;
    Micros possible_delay = 0;  // how long it may have waited unread while the process was stalled
};

struct ApiResponse {
    int status = 200;
    Json body;
    int retry_after_s = 0;  // 0: no Retry-After header
};

using ApiResponder = std::function<void(ApiResponse)>;

/// Returns a 503 that asks the client to retry after a delay.
inline ApiResponse unavailable(int retry_after_s = 1) {
    return {503, Json::object(), retry_after_s};
}

}  // namespace cottonway
