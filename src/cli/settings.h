#pragma once

#include <string>
#include <variant>
#include <vector>

#include "control/settings.h"

namespace lichendrift::cli {

// What is wrong with a settings file, each with the path of its key.
using Problems = std::vector<std::string>;

std::variant<control::Settings, Problems> load_settings(const std::string& path);

}  // namespace lichendrift::cli
