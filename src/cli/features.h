// The operators' features file.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "cli/problems.h"
#include "control/features.h"

namespace lichendrift::cli {

/// Reads a features file. What is left out stays off; unknown tables and keys are problems.
[[nodiscard]] tl::expected<control::Features, Problems> load_features(const std::string& path);

}  // namespace lichendrift::cli
