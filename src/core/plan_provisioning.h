// Provisions machines for tasks that found no capacity.
#pragma once

#include "core/plan_new_machines.h"
#include "core/plan_placement.h"

namespace lichendrift::core {

/// Collects the tasks that found no capacity and provisions machines for them, in queue order.
class ProvisioningPhase {
  public:
    /// Keeps references to both arguments, which have to outlive it.
    ProvisioningPhase(PlanState& state, PlacementPhase& placement)
        : state_(state), placement_(placement), new_machines_(state) {}

    /// Records that `count` tasks of the job found no capacity. The job has to outlive this object.
    void request(const QueuedJob& job, std::uint32_t count) { demands_.push_back({&job, count}); }
    /// Records that warm capacity for `count` tasks is missing. The spec has to outlive this
    /// object.
    void request_warm(const JobSpec& spec, std::uint32_t count) {
        warm_demands_.push_back({&spec, count});
    }
    /// Whether any tasks found no capacity; missing warm capacity does not count.
    [[nodiscard]] bool any_demand() const { return !demands_.empty(); }
    /// Adds the machines for all recorded requests to the plan. To be called once.
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
    std::vector<AllocationPosition> ending_;  // that end within the longest wait of any job
    std::vector<char> awaited_;  // by allocation: whether a job already waits for its capacity
    bool retained_for_gang_ = false;
};

}  // namespace lichendrift::core
