#include "cli/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string_view>

namespace lichendrift::cli {

std::optional<std::string> set_up_log() {
    auto logger = std::make_shared<spdlog::logger>(
        "lichendrift", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    logger->flush_on(spdlog::level::err);
    spdlog::set_default_logger(std::move(logger));
    const char* value = std::getenv("LOG_LEVEL");
    const std::string_view level = value == nullptr ? "info" : value;
    if (level == "error") {
        spdlog::set_level(spdlog::level::err);
    } else if (level == "info") {
        spdlog::set_level(spdlog::level::info);
    } else if (level == "debug") {
        spdlog::set_level(spdlog::level::debug);
    } else {
        return "LOG_LEVEL is '" + std::string(level) + "': expected error, info or debug";
    }
    return std::nullopt;
}

}  // namespace lichendrift::cli
