#pragma once
// Requests of users, workers and the load balancer, as the core sees them.

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
    Micros queue_time = 0;  // how long it may have queue_time unread, since the process stood still
};

struct ApiResponse {
    int status = 200;
    Json body;
    int retry_after_s = 0;  // seconds
};

using ApiResponder = std::function<void(ApiResponse)>;

/// What can't be served now, with when to come back, in seconds.
inline ApiResponse unavailable(int retry_after_s = 1) {
    return {503, Json::object(), retry_after_s};
}

}  // namespace cottonway
