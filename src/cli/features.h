// Reads and checks the operators' features file.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "cli/problems.h"
#include "control/features.h"

namespace lichendrift::cli {

/// Reads a features file. Features that it doesn't mention stay off. Unknown tables and keys are
/// reported as problems.
[[nodiscard]] tl::expected<control::Features, Problems> load_features(const std::string& path);

}  // namespace lichendrift::cli
