#pragma once

// The daemon: runs one controller as a process.

#include "control/settings.h"

namespace lichendrift::cli {

/// Runs one controller until the process is killed or, with fenced duties, shut down gracefully by
/// SIGTERM or SIGINT. Returns the exit code of the process: 0, or 1 after logging the error if it
/// cannot listen on its addresses.
int serve(const control::Settings& settings);

}  // namespace lichendrift::cli
