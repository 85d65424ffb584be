// Releases idle machines, except those needed for the teams' guarantees.
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Machines younger than this are neither released nor drained.
inline constexpr Millis kMinMachineAgeMs = 60'000;

/// Tracks whether the remaining machines cover the teams' guarantees. If guaranteed work should
/// start no later than a machine boots, the capacity for the guarantees has to be up already
/// (docs/design.md, exceptions 3 and 6).
class GuaranteedCapacity {
  public:
    /// Keeps a reference to the snapshot, which has to outlive it.
    explicit GuaranteedCapacity(const Snapshot& snapshot);

    /// Whether the guarantees would lack capacity without the machine.
    [[nodiscard]] bool needs(MachinePosition machine) const;
    /// Counts the machine as gone: the plan releases or drains it.
    void remove(MachinePosition machine) { remaining_ -= snapshot_.machines[machine].capacity; }

  private:
    const Snapshot& snapshot_;
    Resources remaining_;  // capacity of the machines that stay
};

/// Releases idle machines, expensive ones first.
class ReleasePhase {
  public:
    /// Keeps references to both arguments, which have to outlive it.
    ReleasePhase(PlanState& state, GuaranteedCapacity& guaranteed)
        : state_(state), guaranteed_(guaranteed) {}

    /// Releases machines that have been idle for at least their retention time, except for the
    /// spare machines and those that the guarantees need.
    void run();

  private:
    [[nodiscard]] bool idle_past_retention(MachinePosition at) const;

    PlanState& state_;
    GuaranteedCapacity& guaranteed_;
};

}  // namespace lichendrift::core
