// Preemption: which tasks may be stopped for a job, and which of them the plan stops.
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Finds the cheapest victims for a job and takes their resources for it (KEP-5732, integration
/// with workload-aware preemption).
class PreemptionPhase {
  public:
    /// Keeps a reference to the state, which has to outlive it.
    explicit PreemptionPhase(PlanState& state) : state_(state) {}

    /// Whether any allocation may be preempted for the job.
    bool has_victims(const QueuedJob& job);
    /// Returns the placement with the most tasks, then the lowest cost of victims. It is empty if
    /// the request does not fit even with preemption.
    Placement find(const PlacementRequest& request);
    /// Like find(), but only on machines that have the image, so that no fetch delays the start
    /// (docs/design.md, exception 2).
    Placement find_with_image(const PlacementRequest& request);
    /// Preempts the victims of the placement and nominates its machines for the job.
    void preempt(const QueuedJob& job, const Placement& placement);

  private:
    // The victims to stop on a machine so that one more task fits there.
    struct Eviction {
        double cost = 0;
        MachinePosition machine = 0;
        Resources available;  // once the victims are stopped
        std::vector<AllocationPosition> victims;
        // Puts the lowest cost on top of a heap.
        bool operator<(const Eviction& other) const {
            return cost != other.cost ? cost > other.cost : machine > other.machine;
        }
    };
    struct CostedPlacement {
        Placement placement;
        double cost = kMaxCost;
    };

    [[nodiscard]] bool may_preempt(const QueuedJob& job, AllocationPosition victim) const;
    [[nodiscard]] double cost_of(AllocationPosition victim) const;
    Placement find_cheapest(const PlacementRequest& request, bool image_present);
    CostedPlacement place_in(const PlacementRequest& request, ZoneIndex zone, bool image_present);
    void collect_evictions(const QueuedJob& job, ZoneIndex zone, bool image_present);
    bool plan_eviction(const QueuedJob& job, const std::vector<AllocationPosition>& chosen,
                       Eviction& eviction);
    Resources collect_victims(const QueuedJob& job, MachinePosition machine,
                              const std::vector<AllocationPosition>& chosen);
    void remove_unneeded_victims(const Resources& need, Eviction& eviction) const;
    void mark_victim(AllocationPosition victim);
    void mark_rest_of_gang(AllocationPosition victim);

    PlanState& state_;
    // Buffers of the current search; members to reuse their memory.
    std::vector<AllocationPosition> possible_victims_;
    std::vector<Eviction> evictions_;
    Eviction scratch_;
};

}  // namespace lichendrift::core
