#pragma once

#include "cli/settings.h"
#include "control/features.h"

namespace lichendrift::cli {

// Reads a features file. What is left out stays off; unknown tables and keys are problems.
std::variant<control::Features, Problems> load_features(const std::string& path);

}  // namespace lichendrift::cli
