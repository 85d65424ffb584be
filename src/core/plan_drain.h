// Drains machines whose tasks fit on other machines, to save cost.
#pragma once

#include "core/plan_release.h"

namespace lichendrift::core {

/// Drains machines whose tasks can continue elsewhere (docs/design.md, exception 4); the protocol
/// allows stopping tasks to release a machine. Tasks with checkpoints and service replicas are
/// moved; tasks that end soon are left to finish. Expensive machines are drained first, a share of
/// them per plan: draining one at a time took most of an hour to shrink a fleet of a thousand
/// machines.
class DrainPhase {
  public:
    /// Keeps references to both arguments, which have to outlive it.
    DrainPhase(PlanState& state, GuaranteedCapacity& guaranteed)
        : state_(state), guaranteed_(guaranteed) {}

    /// Selects the machines to drain. Does nothing if the plan lacks capacity or preempts tasks, or
    /// if the snapshot forbids drains.
    void run();

  private:
    struct Candidate {
        double hourly = 0;            // price per hour
        std::size_t allocations = 0;  // number of allocations on the machine
        MachinePosition machine = 0;
        // Expensive machines first, then those with few allocations.
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
    std::vector<Move> moves_;    // moves off the machine under examination
};

}  // namespace lichendrift::core
