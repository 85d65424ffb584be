#pragma once

#include <optional>
#include <string>

namespace lichendrift::cli {

// Sets up logging on standard error by LOG_LEVEL; returns what is wrong with the variable.
std::optional<std::string> set_up_log();

}  // namespace lichendrift::cli
