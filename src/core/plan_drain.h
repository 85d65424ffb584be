// Machines whose work fits elsewhere, drained to save their price.
#pragma once

#include "core/plan_release.h"

namespace lichendrift::core {

/// Exception 4 of docs/design.md: drains machines whose work can go on elsewhere. What has
/// checkpoints is moved, the rest is left to end. The expensive ones go first, a share of the fleet
/// at a time: one at a time took most of an hour to shrink a fleet of a thousand. The protocol lets
/// tasks be stopped to release a machine.
class DrainPhase {
  public:
    /// Keeps references to both.
    DrainPhase(PlanState& state, GuaranteedCapacity& guaranteed)
        : state_(state), guaranteed_(guaranteed) {}

    /// Selects the machines to drain, unless capacity is short or anything is preempted.
    void run();

  private:
    struct Candidate {
        double hourly = 0;            // price of an hour
        std::size_t allocations = 0;  // number on it
        MachinePosition machine = 0;
        // Expensive machines first, then those with little work.
        bool operator<(const Candidate& other) const {
            if (hourly != other.hourly) return hourly > other.hourly;
            if (allocations != other.allocations) return allocations < other.allocations;
            return machine < other.machine;
        }
    };
    struct Move {
        MachinePosition to = 0;
        Resources resources;
    };

    [[nodiscard]] double hourly(MachinePosition at) const {
        return hourly_price(state_.snapshot, state_.snapshot.machines[at]);
    }
    [[nodiscard]] std::vector<Candidate> candidates() const;
    [[nodiscard]] bool can_move(AllocationPosition at) const;
    bool find_moves(MachinePosition from);
    MachinePosition find_target(AllocationPosition at);
    [[nodiscard]] bool is_valid_target(MachinePosition to, AllocationPosition at) const;

    PlanState& state_;
    GuaranteedCapacity& guaranteed_;
    std::vector<char> drained_;  // by machine
    std::vector<Move> moves_;    // off the machine that is looked at
};

}  // namespace lichendrift::core
