// Capacity kept free for classes with a start objective.
#pragma once

#include "core/plan_provisioning.h"

namespace lichendrift::core {

/// Exception 3 of docs/design.md: capacity stays free for classes whose tasks should start sooner
/// than resources become free. It is taken from the plan before the jobs that can wait.
class WarmCapacityPhase {
  public:
    /// Keeps references to both; what has no capacity is requested of the provisioning.
    WarmCapacityPhase(PlanState& state, ProvisioningPhase& provisioning)
        : state_(state), provisioning_(provisioning) {}

    /// Called before each job is placed: keeps the capacity before the first job that can wait.
    /// What a class could preempt from that job on needs no keeping.
    void before_job(const QueuedJob& job);
    /// Called when all jobs are placed: keeps the capacity of all classes, if no job could wait.
    void after_all_jobs();

  private:
    void keep_free(const WarmCapacity& warm);
    void collect_candidates(const JobSpec& spec, CapacitySource source, std::uint32_t count);
    std::uint32_t take_best(const JobSpec& spec, std::uint32_t count);

    PlanState& state_;
    ProvisioningPhase& provisioning_;
    std::vector<ScoredMachine> candidates_;
    bool kept_ = false;
};

}  // namespace lichendrift::core
