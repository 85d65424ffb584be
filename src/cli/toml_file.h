#pragma once

#include <toml++/toml.h>

#include <string>
#include <variant>

#include "cli/problems.h"

namespace lichendrift::cli {

// The file, or where and why it is no TOML.
std::variant<toml::table, Problems> parse_toml_file(const std::string& path);

}  // namespace lichendrift::cli
