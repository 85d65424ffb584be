#pragma once

#include "control/settings.h"

namespace lichendrift::cli {

// Runs one controller until it is killed. Returns an exit code if it can't start.
int serve(const control::Settings& settings);

}  // namespace lichendrift::cli
