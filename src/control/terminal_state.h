// The terminal state of a job, as reported to users and kept in the state service.
#pragma once

#include <cstdint>

namespace lichendrift::control {

/// The final state of a job. Once stored under the job's "over/" key it never changes.
enum class TerminalState : std::uint8_t {
    Done,     ///< all tasks succeeded
    Aborted,  ///< its user cancelled it
};

}  // namespace lichendrift::control
