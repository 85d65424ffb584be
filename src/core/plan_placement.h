// Trial placement: the best machines for tasks of a job (KEP-5732, phases 2 and 3).
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Trial-places tasks in each candidate zone and selects the best placement. Changes nothing but
/// the step count and the memory of what did not fit.
class PlacementPhase {
  public:
    /// Keeps a reference to the state.
    explicit PlacementPhase(PlanState& state) : state_(state) {}

    /// The placement with most tasks, then the highest score; none found if the request does not
    /// fit into capacity of the source.
    Placement find(const PlacementRequest& request, CapacitySource source);

  private:
    Placement place_in(const PlacementRequest& request, ZoneIndex zone, CapacitySource source);
    std::int64_t score_candidates(const QueuedJob& job, ZoneIndex zone, CapacitySource source);
    bool apply_colocation_penalty(ScoredMachine& candidate, const QueuedJob& job,
                                  const std::vector<std::uint32_t>& zone_counts,
                                  const std::vector<MachinePosition>& chosen) const;
    void reinsert_candidate(const JobSpec& spec);

    PlanState& state_;
    std::vector<ScoredMachine> candidates_;  // of the trial under way: kept to save allocations
};

}  // namespace lichendrift::core
