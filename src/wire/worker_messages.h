// JSON messages of workers: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace lichendrift::wire {

/// A worker's heartbeat, or its report in the answer to a direct command. Nothing: malformed; the
/// worker gets status 400 without a reason. Fields that are not known are ignored.
[[nodiscard]] std::optional<core::Report> parse_report(std::string_view body);

/// Answer to a heartbeat: commands under a fencing token, executed in order.
[[nodiscard]] std::string commands_body(std::uint64_t token,
                                        const std::vector<core::Command>& commands);

/// Answer to a heartbeat that sends the worker to the controller `member`.
[[nodiscard]] std::string redirect_body(const std::string& member);

/// Direct commands for one session of a worker.
[[nodiscard]] std::string direct_commands_body(std::uint64_t token, std::uint64_t session,
                                               const std::vector<core::Command>& commands);

}  // namespace lichendrift::wire
