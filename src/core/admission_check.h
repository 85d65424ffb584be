/// The admission check: whether what the planner wants to start is still allowed.
#pragma once

#include <map>
#include <tl/expected.hpp>
#include <vector>

#include "core/allocation.h"
#include "core/job.h"
#include "core/machine.h"

namespace lichendrift::core {

/// A task and the machine that a plan has for it.
struct TaskPlacement {
    std::uint32_t task = 0;                ///< number of the task within its job
    MachineIndex machine = kInvalidIndex;  ///< where it is to start
};

/// Why a start is refused.
enum class StartRefusal : std::uint8_t {
    JobNotOpen,          ///< it is over, is becoming so, or belongs to no known team
    TaskNotWaiting,      ///< an attempt of the task counts somewhere, or it is done
    MachineNotUsable,    ///< the machine may take no work now
    ConstraintViolated,  ///< type, zone or spot machine that the job does not allow
    NoCapacity,          ///< the machine has not enough free resources
    ZonesViolated,       ///< the job's tasks would not be in one zone, or not apart
    TeamLimitExceeded,   ///< the team would use more than its limit
};

/// Checks starts against the cluster state as it is now, which may have changed since the planner's
/// snapshot was taken. Pure; it only reads the state.
class AdmissionCheck {
  public:
    /// What the check reads. All of it has to outlive the check.
    struct State {
        const std::vector<Machine>& machines;        ///< by index
        const std::vector<Allocation>& allocations;  ///< by index
        const std::vector<MachineType>& types;       ///< by index
        const std::vector<Team>& teams;              ///< by index
        const std::vector<Resources>& team_used;     ///< by team
    };

    /// `report_ms`: interval between heartbeats.
    AdmissionCheck(const State& state, Millis report_ms) : state_(state), report_ms_(report_ms) {}

    /// Whether the machine may take new work now.
    [[nodiscard]] bool is_usable(const Machine& machine, Millis now) const;
    /// Whether all of these tasks of the job may start together.
    [[nodiscard]] tl::expected<void, StartRefusal> check_start(
        const Job& job, const std::vector<TaskPlacement>& placements, Millis now) const;

  private:
    [[nodiscard]] static bool meets_constraints(const JobSpec& spec, const Machine& machine);
    [[nodiscard]] static bool zones_allowed(const JobSpec& spec,
                                            const std::map<ZoneIndex, std::uint32_t>& zones);

    State state_;
    Millis report_ms_;
};

}  // namespace lichendrift::core
