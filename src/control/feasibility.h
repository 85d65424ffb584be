// Checks whether a submitted job can ever run.
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
    TeamLimitExceeded,  ///< the tasks that must run concurrently exceed the team's limit
};

/// The reason as text for the user, sent with status 422.
[[nodiscard]] std::string_view text(InfeasibleReason reason);

/// Checks whether the job could run on an otherwise empty cluster of these machine types. All tasks
/// of a gang or a service count against the team's limit together; of an array job, one task.
[[nodiscard]] tl::expected<void, InfeasibleReason> check_feasibility(
    const core::JobDescription& job, const std::vector<core::Team>& teams,
    const std::vector<core::MachineType>& types);

}  // namespace lichendrift::control
