// Machines to provision for tasks that found no capacity.
#pragma once

#include "core/plan_new_machines.h"
#include "core/plan_placement.h"

namespace lichendrift::core {

/// Collects what found no capacity and provisions machines for it, in the order of the queue.
class ProvisioningPhase {
  public:
    /// Keeps references to both.
    ProvisioningPhase(PlanState& state, PlacementPhase& placement)
        : state_(state), placement_(placement), new_machines_(state) {}

    /// So many tasks of the job, which has to outlive this, found no capacity.
    void request(const QueuedJob& job, std::uint32_t count) { demands_.push_back({&job, count}); }
    /// There is no capacity to keep warm for so many tasks.
    void request_warm(const JobSpec& spec, std::uint32_t count) {
        warm_demands_.push_back({&spec, count});
    }
    /// Whether tasks found no capacity; what is kept warm does not count.
    [[nodiscard]] bool any_demand() const { return !demands_.empty(); }
    /// Provisions for all that was requested, into the plan.
    void run();

  private:
    struct Demand {
        const QueuedJob* job;
        std::uint32_t count;
    };
    struct WarmDemand {
        const JobSpec* spec;
        std::uint32_t count;
    };

    void provision(const Demand& demand);
    void provision_spread(const QueuedJob& job, std::uint32_t count);
    std::uint32_t await_capacity(const JobSpec& spec, std::uint32_t count, double max_wait_s);
    void index_ending();
    void retain_machines_for_gang(const QueuedJob& job);
    void retain_in_zone(const QueuedJob& job, ZoneIndex zone, std::int64_t count);
    std::vector<std::int64_t> fitting_by_zone(const QueuedJob& job);
    std::vector<ZoneIndex> zones_by_capacity(const QueuedJob& job);

    PlanState& state_;
    PlacementPhase& placement_;
    NewMachines new_machines_;
    std::vector<Demand> demands_;
    std::vector<WarmDemand> warm_demands_;
    std::vector<AllocationPosition> ending_;  // within the longest patience of any job
    std::vector<char> awaited_;               // by allocation: its capacity is for a job already
    bool retained_for_gang_ = false;
};

}  // namespace lichendrift::core
