// Reads and checks the platform's settings file.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "cli/problems.h"
#include "control/settings.h"

namespace lichendrift::cli {

/// Reads and checks a settings file. Unknown keys are ignored.
[[nodiscard]] tl::expected<control::Settings, Problems> load_settings(const std::string& path);

}  // namespace lichendrift::cli
