// Files in TOML.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <tl/expected.hpp>

#include "cli/problems.h"

namespace lichendrift::cli {

/// Reads a file; on an error says where and why it is not TOML, or that it cannot be read.
[[nodiscard]] tl::expected<toml::table, Problems> parse_toml_file(const std::string& path);

}  // namespace lichendrift::cli
