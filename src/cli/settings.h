#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cli/problems.h"
#include "control/settings.h"

namespace lichendrift::cli {

std::variant<control::Settings, Problems> load_settings(const std::string& path);

}  // namespace lichendrift::cli
