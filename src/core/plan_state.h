// What all phases of a plan share: what is left of the snapshot, and the decisions so far.
#pragma once

#include "core/plan_filter.h"
#include "core/plan_quota.h"
#include "core/plan_score.h"

namespace lichendrift::core {

/// The state of a plan in the making. Each part owns its own; phases change them by decisions only.
struct PlanState {
    /// Refers to the snapshot, which has to outlive it.
    explicit PlanState(const Snapshot& taken)
        : snapshot(taken),
          allocations(taken),
          capacity(taken, allocations),
          quota(taken),
          fetches(taken),
          filter(taken, capacity),
          score(taken, fetches) {}
    PlanState(const PlanState&) = delete;
    PlanState& operator=(const PlanState&) = delete;

    /// Uses capacity and quota for tasks that start now.
    void assume(const JobSpec& spec, const Placement& placement) {
        for (const auto machine : placement.machines) fetches.plan_fetch(machine, spec.image);
        nominate(spec, placement);
    }
    /// Takes capacity and quota for tasks that can't start yet, as KEP-5732 nominates nodes.
    void nominate(const JobSpec& spec, const Placement& placement) {
        for (const auto machine : placement.machines) capacity.take(machine, spec.need);
        quota.use(spec, placement.tasks());
        capacity.prune_full_machines();
    }
    /// Counts a machine or allocation that was looked at.
    void count_step() { ++plan.steps; }

    const Snapshot& snapshot;            ///< what is planned for
    AllocationTable allocations;         ///< what runs, and the victims
    FreeCapacityIndex capacity;          ///< capacity left
    QuotaTracker quota;                  ///< quota left
    ImageFetches fetches;                ///< images, and fetches of the tasks that start
    MachineFilter filter;                ///< where tasks may go
    MachineScore score;                  ///< where they had best go
    FailedPlacements failed_placements;  ///< what is known not to fit
    Plan plan;                           ///< the decisions
};

}  // namespace lichendrift::core
