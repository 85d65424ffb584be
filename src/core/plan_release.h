// Idle machines that are released, and what is not given up for the guarantees.
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Younger machines are neither released nor drained.
inline constexpr Millis kMinMachineAgeMs = 60'000;

/// Capacity that the guarantees need: where guaranteed work should start sooner than a machine
/// boots, capacity for the guarantees has to be up already (docs/design.md, exceptions 3 and 6).
class GuaranteedCapacity {
  public:
    /// Keeps a reference to the snapshot.
    explicit GuaranteedCapacity(const Snapshot& snapshot);

    /// Whether the guarantees would lack capacity without the machine.
    [[nodiscard]] bool needs(MachinePosition machine) const;
    /// The machine is given up.
    void remove(MachinePosition machine) { remaining_ -= snapshot_.machines[machine].capacity; }

  private:
    const Snapshot& snapshot_;
    Resources remaining_;  // capacity of all machines but those given up
};

/// Releases idle machines, expensive ones first.
class ReleasePhase {
  public:
    /// Keeps references to both.
    ReleasePhase(PlanState& state, GuaranteedCapacity& guaranteed)
        : state_(state), guaranteed_(guaranteed) {}

    /// Releases machines that were idle for longer than they are retained, but the spare ones.
    void run();

  private:
    [[nodiscard]] bool idle_past_retention(MachinePosition at) const;

    PlanState& state_;
    GuaranteedCapacity& guaranteed_;
};

}  // namespace lichendrift::core
