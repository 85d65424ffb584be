#pragma once

// The daemon: one controller as a process.

#include "control/settings.h"

namespace lichendrift::cli {

/// Runs one controller until it is killed or, with fenced duties, ended in order by a signal.
/// Returns the exit code of the process: 0, or 1 if it cannot listen, after logging why.
int serve(const control::Settings& settings);

}  // namespace lichendrift::cli
