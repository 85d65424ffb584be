// Line layout and level of the log.
#include "cli/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <string_view>

namespace lichendrift::cli {

namespace {

constexpr char kContextFlag = '*';
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%e %l %* %v";

// The context in each line. Not locked: only the loop thread logs and sets it.
std::string& log_context() {
    static std::string context = "member=? role=starting token=0";
    return context;
}

// Replaces kContextFlag in the pattern by the log context.
class ContextFlag : public spdlog::custom_flag_formatter {
  public:
    void format(const spdlog::details::log_msg& /*message*/, const std::tm& /*time*/,
                spdlog::memory_buf_t& line) override {
        const auto& context = log_context();
        line.append(context.data(), context.data() + context.size());
    }
    std::unique_ptr<custom_flag_formatter> clone() const override {
        return std::make_unique<ContextFlag>();
    }
};

std::optional<spdlog::level::level_enum> parse_level(std::string_view name) {
    if (name == "error") return spdlog::level::err;
    if (name == "info") return spdlog::level::info;
    if (name == "debug") return spdlog::level::debug;
    return std::nullopt;
}

}  // namespace

void set_log_context(const std::string& context) { log_context() = context; }

tl::expected<void, std::string> set_up_log() {
    auto logger = std::make_shared<spdlog::logger>(
        "lichendrift", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<ContextFlag>(kContextFlag).set_pattern(kPattern);
    logger->set_formatter(std::move(formatter));
    logger->flush_on(spdlog::level::err);
    spdlog::set_default_logger(std::move(logger));
    // NOLINTNEXTLINE(concurrency-mt-unsafe): called before other threads start
    const char* value = std::getenv("LOG_LEVEL");
    const std::string_view name = value == nullptr ? "info" : value;
    const auto level = parse_level(name);
    if (!level) {
        return tl::unexpected("LOG_LEVEL is '" + std::string(name) +
                              "': expected error, info or debug");
    }
    spdlog::set_level(*level);
    return {};
}

}  // namespace lichendrift::cli
