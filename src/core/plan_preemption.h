// Preemption: whose tasks may be stopped for whom, and which of them are.
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Finds the cheapest victims for a job and takes their resources (KEP-5732, integration with
/// workload-aware preemption).
class PreemptionPhase {
  public:
    /// Keeps a reference to the state.
    explicit PreemptionPhase(PlanState& state) : state_(state) {}

    /// Whether anything that runs may be preempted for the job.
    bool has_victims(const QueuedJob& job);
    /// Machines on which the request fits with victims removed: most tasks, then the lowest cost.
    Placement find(const PlacementRequest& request);
    /// The same, on machines that have the image only (docs/design.md, exception 2).
    Placement find_with_image(const PlacementRequest& request);
    /// Preempts the victims of the placement and nominates its machines for the job.
    void preempt(const QueuedJob& job, const Placement& placement);

  private:
    // The cheapest way to fit one more task on a machine.
    struct Eviction {
        double cost = 0;
        MachinePosition machine = 0;
        Resources available;  // with the victims gone
        std::vector<AllocationPosition> victims;
        // The lowest cost is on top of a heap.
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
    // Of the search under way: kept to save allocations.
    std::vector<AllocationPosition> possible_victims_;
    std::vector<Eviction> evictions_;
    Eviction scratch_;
};

}  // namespace lichendrift::core
