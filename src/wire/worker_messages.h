// JSON messages exchanged with workers: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace lichendrift::wire {

/// Parses a worker's report, from a heartbeat or from the answer to direct commands. Returns
/// nullopt if it is malformed; the worker then gets status 400 without details. Unknown fields are
/// ignored.
[[nodiscard]] std::optional<core::Report> parse_report(std::string_view body);

/// Body of the answer to a heartbeat: commands with a fencing token, which the worker executes in
/// order.
[[nodiscard]] std::string commands_body(std::uint64_t token,
                                        const std::vector<core::Command>& commands);

/// Body of the answer to a heartbeat that redirects the worker to the controller `member`.
[[nodiscard]] std::string redirect_body(const std::string& member);

/// Body of a request that sends commands to one session of a worker outside of its heartbeats.
[[nodiscard]] std::string direct_commands_body(std::uint64_t token, std::uint64_t session,
                                               const std::vector<core::Command>& commands);

}  // namespace lichendrift::wire
