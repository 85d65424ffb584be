// The machines that a plan provisions.
#pragma once

#include <optional>

#include "core/plan_state.h"

namespace lichendrift::core {

/// The machines to provision, with the capacity left on each by the tasks placed there.
class NewMachines {
  public:
    /// Keeps a reference to the state, which has to outlive it.
    explicit NewMachines(PlanState& state) : state_(state) {}

    /// Places `count` tasks of the job on new machines, adding spot or on-demand machines as
    /// needed, in the zone or, with kInvalidIndex, in any zone. Returns the number of tasks not
    /// placed.
    std::uint32_t place(const JobSpec& spec, ZoneIndex zone, std::uint32_t count, bool spot);
    /// Adds to the entry of each zone the number of the job's tasks that still fit on its new
    /// machines.
    void add_fitting(const JobSpec& spec, std::vector<std::int64_t>& fitting_by_zone) const;
    /// Number of machines by zone, including new ones; the last entry counts machines without a
    /// known zone.
    const std::vector<std::int64_t>& machines_by_zone();
    /// The machines to provision, grouped by pool in the order in which they were added: if the
    /// cloud has little capacity left, jobs that come first in the queue are served first.
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
    std::vector<std::size_t> with_capacity_;  // positions of machines that may fit a task
    std::vector<std::int64_t> machines_by_zone_;
};

}  // namespace lichendrift::core
