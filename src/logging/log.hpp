#pragma once
// Logging to standard error. LOG_LEVEL (error, info or debug) sets the level.

#include <spdlog/spdlog.h>

#include <string>

namespace cottonway {

/// Sets up the default logger. Returns false if the level is not error, info, debug or empty (info).
bool start_logging(const std::string& node, const std::string& level);

}  // namespace cottonway
