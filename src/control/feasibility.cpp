// Checks whether a submitted job can ever run.
#include "control/feasibility.h"

#include <algorithm>
#include <cmath>

namespace lichendrift::control {

namespace {

constexpr double kThousandths = 1000;
constexpr double kRoundingError = 1e-6;  // in thousandths; error of a decimal stored as a double

std::int64_t ceil_to_thousandths(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * kThousandths - kRoundingError));
}

// Whether the job's restrictions on machine types and on the zone permit this type.
bool allows(const core::JobDescription& job, const core::MachineType& type) {
    if (job.types &&
        std::find(job.types->begin(), job.types->end(), type.name) == job.types->end()) {
        return false;
    }
    return !job.zone ||
           std::find(type.zones.begin(), type.zones.end(), *job.zone) != type.zones.end();
}

// Whether the amount is above the limit; a limit of 0 means unlimited.
bool exceeds(std::int64_t amount, std::int64_t limit) { return limit > 0 && amount > limit; }

}  // namespace

std::string_view text(InfeasibleReason reason) {
    switch (reason) {
        case InfeasibleReason::UnknownTeam:
            return "unknown team";
        case InfeasibleReason::NoMachineTypeFits:
            return "a task fits no allowed machine type";
        case InfeasibleReason::TeamLimitExceeded:
            return "more than the team's limit";
    }
    return "";
}

tl::expected<void, InfeasibleReason> check_feasibility(
    const core::JobDescription& job, const std::vector<core::Team>& teams,
    const std::vector<core::MachineType>& types) {
    const auto team = std::find_if(teams.begin(), teams.end(),
                                   [&](const auto& known) { return known.name == job.team; });
    if (team == teams.end()) return tl::unexpected(InfeasibleReason::UnknownTeam);

    const core::Resources task{ceil_to_thousandths(job.cpus), ceil_to_thousandths(job.gpus),
                               ceil_to_thousandths(job.mem_gb)};
    const bool fits = std::any_of(types.begin(), types.end(), [&](const auto& type) {
        return allows(job, type) && type.capacity.covers(task);
    });
    if (!fits) return tl::unexpected(InfeasibleReason::NoMachineTypeFits);

    const auto concurrent = task.times(job.gang || job.service ? job.count : 1);
    if (exceeds(concurrent.cpus, team->limit.cpus) || exceeds(concurrent.gpus, team->limit.gpus)) {
        return tl::unexpected(InfeasibleReason::TeamLimitExceeded);
    }
    return {};
}

}  // namespace lichendrift::control
