#pragma once

// Identifier of a timer.

#include <cstdint>

namespace lichendrift::net {

/// Identifies a timer until it fires or is cancelled. 0 is no timer. IDs are never reused, so
/// cancelling a timer that has fired does nothing.
using TimerId = std::uint64_t;

}  // namespace lichendrift::net
