// Whether a submitted job could ever run.
#include "control/feasibility.h"

#include <algorithm>
#include <cmath>

namespace lichendrift::control {

namespace {

constexpr double kThousandths = 1000;
constexpr double kRoundingError = 1e-6;  // thousandths; what a decimal may lose as a double

std::int64_t rounded_up(double amount) {
    return static_cast<std::int64_t>(std::ceil(amount * kThousandths - kRoundingError));
}

bool allows(const core::JobDescription& job, const core::MachineType& type) {
    if (job.types &&
        std::find(job.types->begin(), job.types->end(), type.name) == job.types->end()) {
        return false;
    }
    return !job.zone ||
           std::find(type.zones.begin(), type.zones.end(), *job.zone) != type.zones.end();
}

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

    const core::Resources task{rounded_up(job.cpus), rounded_up(job.gpus), rounded_up(job.mem_gb)};
    const bool fits = std::any_of(types.begin(), types.end(), [&](const auto& type) {
        return allows(job, type) && type.capacity.covers(task);
    });
    if (!fits) return tl::unexpected(InfeasibleReason::NoMachineTypeFits);

    const auto at_once = task.times(job.gang || job.service ? job.count : 1);
    if (exceeds(at_once.cpus, team->limit.cpus) || exceeds(at_once.gpus, team->limit.gpus)) {
        return tl::unexpected(InfeasibleReason::TeamLimitExceeded);
    }
    return {};
}

}  // namespace lichendrift::control
