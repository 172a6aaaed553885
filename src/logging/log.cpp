#include "logging/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace cottonway {

bool start_logging(const std::string& node, const std::string& level) {
    auto logger = std::make_shared<spdlog::logger>(node, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n %v");
    spdlog::set_default_logger(logger);
    if (level == "error")
        spdlog::set_level(spdlog::level::err);
    else if (level == "info" || level.empty())
        spdlog::set_level(spdlog::level::info);
    else if (level == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        return false;
    return true;
}

}  // namespace cottonway
