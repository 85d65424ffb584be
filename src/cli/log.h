#pragma once

// The log of the process, on standard error.

#include <string>
#include <tl/expected.hpp>

namespace lichendrift::cli {

/// Sets up logging at the level that the environment variable LOG_LEVEL names, or says what is
/// wrong with it. Once, before other threads start.
tl::expected<void, std::string> set_up_log();

/// Sets what each line has after time and level: member, role and fencing token. Loop thread only.
void set_log_context(const std::string& context);

}  // namespace lichendrift::cli
