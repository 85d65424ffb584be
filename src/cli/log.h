#pragma once

// The log of the process, which is written to standard error.

#include <string>
#include <tl/expected.hpp>

namespace lichendrift::cli {

/// Sets up logging at the level given by the environment variable LOG_LEVEL (default: info).
/// Returns an error message if the level is unknown. Must be called once, before other threads
/// start.
tl::expected<void, std::string> set_up_log();

/// Sets the text that follows time and level in each line: member, role and fencing token. Loop
/// thread only.
void set_log_context(const std::string& context);

}  // namespace lichendrift::cli
