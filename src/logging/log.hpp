#pragma once
// Logging to standard error. LOG_LEVEL (error, info, debug) says how much.

#include <spdlog/spdlog.h>

#include <string>

namespace cottonway {

/// False if the level is not one of error, info, debug.
bool start_logging(const std::string& node, const std::string& level);

}  // namespace cottonway
