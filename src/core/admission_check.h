/// The admission check: whether a start that the planner decided on is still allowed.
#pragma once

#include <map>
#include <tl/expected.hpp>
#include <vector>

#include "core/allocation.h"
#include "core/job.h"
#include "core/machine.h"

namespace lichendrift::core {

/// A task and the machine that a plan assigns to it.
struct TaskPlacement {
    std::uint32_t task = 0;                ///< number of the task within its job
    MachineIndex machine = kInvalidIndex;  ///< where it is to start
};

/// Why a start is refused.
enum class StartRefusal : std::uint8_t {
    JobNotOpen,          ///< the job is over or being finished, or its team is unknown
    TaskNotWaiting,      ///< the task has an allocation or is done
    MachineNotUsable,    ///< the machine may take no new work now, see is_usable()
    ConstraintViolated,  ///< the job does not allow the machine's type or zone, or spot machines
    NoCapacity,          ///< the machine has too few free resources
    ZonesViolated,       ///< the job's tasks would violate its `one_zone` or `apart` constraint
    TeamLimitExceeded,   ///< the team would use more than its limit
};

/// Checks starts against the cluster state as it is now, which may have changed since the planner's
/// snapshot was taken. Pure; it only reads the state.
class AdmissionCheck {
  public:
    /// The parts of the cluster state that the check reads. They have to outlive the check.
    struct State {
        const std::vector<Machine>& machines;        ///< by index
        const std::vector<Allocation>& allocations;  ///< by index
        const std::vector<MachineType>& types;       ///< by index
        const std::vector<Team>& teams;              ///< by index
        const std::vector<Resources>& team_used;     ///< by team
    };

    /// `report_ms`: interval between heartbeats.
    AdmissionCheck(const State& state, Millis report_ms) : state_(state), report_ms_(report_ms) {}

    /// Whether the machine may take new work now: it is up and synced, has reported lately, is
    /// reachable, and has no drain, spot notice or quarantine.
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
