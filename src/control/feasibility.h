// Whether a submitted job could ever run.
#pragma once

#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/types.h"

namespace lichendrift::control {

/// Why a job can never run as it was submitted.
enum class InfeasibleReason : std::uint8_t {
    UnknownTeam,        ///< its team is not in the settings
    NoMachineTypeFits,  ///< no allowed machine type has room for one of its tasks
    TeamLimitExceeded,  ///< what has to run at once is more than the team's limit
};

/// The reason as users get it in an answer with status 422.
[[nodiscard]] std::string_view text(InfeasibleReason reason);

/// Whether the job could run on an otherwise empty cluster of these machine types. A gang and a
/// service count whole against their team's limit, of an array only one task.
[[nodiscard]] tl::expected<void, InfeasibleReason> check_feasibility(
    const core::JobDescription& job, const std::vector<core::Team>& teams,
    const std::vector<core::MachineType>& types);

}  // namespace lichendrift::control
