// Machines that a plan provisions.
#pragma once

#include <optional>

#include "core/plan_state.h"

namespace lichendrift::core {

/// The machines to provision, with the capacity that tasks leave on each.
class NewMachines {
  public:
    /// Keeps a reference to the state.
    explicit NewMachines(PlanState& state) : state_(state) {}

    /// Finds capacity on new machines for tasks of the job, adding spot or on-demand machines as
    /// needed, in the zone or, with kInvalidIndex, in any. Returns for how many there is none.
    std::uint32_t place(const JobSpec& spec, ZoneIndex zone, std::uint32_t count, bool spot);
    /// Adds to each zone the number of the job's tasks that new machines there still fit.
    void add_fitting(const JobSpec& spec, std::vector<std::int64_t>& fitting_by_zone) const;
    /// Number of machines by zone, new ones included; the last entry is of those in no known zone.
    const std::vector<std::int64_t>& machines_by_zone();
    /// The machines by pool, in the order in which they were added: where the cloud has few left,
    /// what waits first gets them.
    [[nodiscard]] std::vector<Provision> provisions() const;

  private:
    struct NewMachine {
        ProvisioningPool pool;
        Resources free;
    };

    bool place_on_added(const JobSpec& spec, ZoneIndex zone);
    bool add_machine(const JobSpec& spec, ZoneIndex zone, bool spot);
    std::optional<NewMachine> cheapest(const JobSpec& spec, ZoneIndex zone, bool spot);
    [[nodiscard]] bool provisionable(const JobSpec& spec, const ProvisioningPool& pool) const;

    PlanState& state_;
    std::vector<NewMachine> machines_;
    std::vector<std::size_t> with_capacity_;  // positions of those with any capacity
    std::vector<std::int64_t> machines_by_zone_;
};

}  // namespace lichendrift::core
