#pragma once

// The name of a timer.

#include <cstdint>

namespace lichendrift::net {

/// Names a timer from when it is set until it has fired or was cancelled. 0 names none, and no
/// name is used twice, so cancelling one that has fired does nothing.
using TimerId = std::uint64_t;

}  // namespace lichendrift::net
