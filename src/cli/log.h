#pragma once

#include <optional>
#include <string>

namespace lichendrift::cli {

// Sets up logging on standard error by LOG_LEVEL; returns what is wrong with the variable.
std::optional<std::string> set_up_log();

// What every line starts with, after time and level: member, role and token.
void set_log_context(const std::string& text);

}  // namespace lichendrift::cli
