// Parses TOML files.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <tl/expected.hpp>

#include "cli/problems.h"

namespace lichendrift::cli {

/// Parses a TOML file. If it cannot be read or is not valid TOML, returns a single problem with the
/// path and, for a syntax error, line and column.
[[nodiscard]] tl::expected<toml::table, Problems> parse_toml_file(const std::string& path);

}  // namespace lichendrift::cli
