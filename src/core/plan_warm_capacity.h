// Keeps capacity free for classes with a start objective.
#pragma once

#include "core/plan_provisioning.h"

namespace lichendrift::core {

/// Keeps capacity free for classes whose tasks should start sooner than resources become free
/// (docs/design.md, exception 3). The capacity is taken before the jobs that can wait are placed.
class WarmCapacityPhase {
  public:
    /// Keeps references to both arguments, which have to outlive it. Missing capacity is requested
    /// from `provisioning`.
    WarmCapacityPhase(PlanState& state, ProvisioningPhase& provisioning)
        : state_(state), provisioning_(provisioning) {}

    /// To be called before each job is placed. Takes the warm capacity once, before the first job
    /// that can wait, and only for classes that could not preempt that job and those after it.
    void before_job(const QueuedJob& job);
    /// To be called after all jobs are placed. Takes the warm capacity of all classes if no job
    /// could wait.
    void after_all_jobs();

  private:
    void take_warm_capacity(const WarmCapacity& warm);
    void collect_candidates(const JobSpec& spec, CapacitySource source, std::uint32_t count);
    std::uint32_t take_best(const JobSpec& spec, std::uint32_t count);

    PlanState& state_;
    ProvisioningPhase& provisioning_;
    std::vector<ScoredMachine> candidates_;
    bool taken_ = false;  // whether this plan has taken the warm capacity
};

}  // namespace lichendrift::core
