// Makes one plan from a snapshot.
#pragma once

#include "core/plan_drain.h"
#include "core/plan_placement.h"
#include "core/plan_preemption.h"
#include "core/plan_provisioning.h"
#include "core/plan_queue.h"
#include "core/plan_release.h"
#include "core/plan_reservation.h"
#include "core/plan_warm_capacity.h"

namespace lichendrift::core {

/// Goes through the waiting jobs in queue order. For each job it tries free capacity, capacity
/// being released, preemption and booting machines, in this order; if all fail, it requests new
/// machines and, for a starved job, a reservation. Then releases and drains machines that are not
/// needed.
class PlanCycle {
  public:
    /// Refers to the snapshot, which has to outlive it.
    explicit PlanCycle(const Snapshot& snapshot);
    /// Makes the plan; must be called only once.
    Plan run();

  private:
    void place_gang(const QueuedJob& job);
    void place_array(const QueuedJob& job);
    bool start_gang(const PlacementRequest& request);
    std::uint32_t start(const PlacementRequest& request);
    std::uint32_t nominate(const PlacementRequest& request, CapacitySource source);
    std::uint32_t preempt(const PlacementRequest& request);
    void add_start(const QueuedJob& job, const Placement& placement);
    [[nodiscard]] bool image_fetch_exceeds_slack(const QueuedJob& job,
                                                 const Placement& placement) const;

    std::vector<QueuedJob> queue_;
    PlanState state_;
    PlacementPhase placement_;
    PreemptionPhase preemption_;
    ReservationPhase reservation_;
    ProvisioningPhase provisioning_;
    WarmCapacityPhase warm_capacity_;
    GuaranteedCapacity guaranteed_;
    ReleasePhase release_;
    DrainPhase drain_;
};

}  // namespace lichendrift::core
