// State shared by all phases of a plan: remaining capacity and quota, and the decisions so far.
#pragma once

#include "core/plan_filter.h"
#include "core/plan_quota.h"
#include "core/plan_score.h"

namespace lichendrift::core {

/// The state of the plan being made. Each member owns its part of the state; a phase changes a
/// member only by making a decision.
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

    /// Takes capacity and quota, and adds image fetches, for tasks that start now.
    void assume(const JobSpec& spec, const Placement& placement) {
        for (const auto machine : placement.machines) fetches.plan_fetch(machine, spec.image);
        nominate(spec, placement);
    }
    /// Takes capacity and quota for tasks that can start there later (nominated nodes in KEP-5732).
    void nominate(const JobSpec& spec, const Placement& placement) {
        for (const auto machine : placement.machines) capacity.take(machine, spec.need);
        quota.use(spec, placement.tasks());
        capacity.prune_full_machines();
    }
    /// Counts a machine or allocation that was examined, for Plan::steps. The count measures the
    /// plan's cost; it does not limit the plan.
    void count_step() { ++plan.steps; }

    const Snapshot& snapshot;            ///< the input of the plan
    AllocationTable allocations;         ///< running tasks, and which are preempted
    FreeCapacityIndex capacity;          ///< capacity left
    QuotaTracker quota;                  ///< quota left
    ImageFetches fetches;                ///< images on machines, and fetches that the plan adds
    MachineFilter filter;                ///< which machines a job may use
    MachineScore score;                  ///< ranks the machines for a job
    FailedPlacements failed_placements;  ///< requests known not to fit
    Plan plan;                           ///< the decisions so far
};

}  // namespace lichendrift::core
