// Trial placement: finds the best machines for tasks of a job (KEP-5732, phases 2 and 3).
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Places tasks on trial in each candidate zone and selects the best placement. Changes nothing in
/// the state but the step count and the record of failed placements.
class PlacementPhase {
  public:
    /// Keeps a reference to the state, which has to outlive it.
    explicit PlacementPhase(PlanState& state) : state_(state) {}

    /// Returns the placement with the most tasks, then the highest score. It is empty if the
    /// request does not fit into capacity of the source.
    Placement find(const PlacementRequest& request, CapacitySource source);

  private:
    Placement place_in(const PlacementRequest& request, ZoneIndex zone, CapacitySource source);
    std::int64_t score_candidates(const QueuedJob& job, ZoneIndex zone, CapacitySource source);
    bool apply_colocation_penalty(ScoredMachine& candidate, const QueuedJob& job,
                                  const std::vector<std::uint32_t>& zone_counts,
                                  const std::vector<MachinePosition>& chosen) const;
    void reinsert_candidate(const JobSpec& spec);

    PlanState& state_;
    std::vector<ScoredMachine> candidates_;  // of the current trial; a member to reuse its memory
};

}  // namespace lichendrift::core
