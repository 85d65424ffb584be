// How a job ended, as users and the state service see it.
#pragma once

#include <cstdint>

namespace lichendrift::control {

/// The state that a job ends in. Once stored under the job's "over/" key it never changes.
enum class TerminalState : std::uint8_t {
    Done,     ///< all tasks succeeded
    Aborted,  ///< its user cancelled it
};

}  // namespace lichendrift::control
