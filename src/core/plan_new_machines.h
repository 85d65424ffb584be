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

    /// Places `count` tasks of the job on new machines and adds machines as needed. `zone`: the
    /// only zone that this call uses, chosen by the caller; kInvalidIndex: any. Machines are also
    /// added only in `spec.zone`, if set. `spot`: whether spot or on-demand machines are added; the
    /// tasks may also be placed on machines of the other kind that the plan added before. A job
    /// that may not use spot machines is never placed on one. Returns the number of tasks not
    /// placed.
    std::uint32_t place(const JobSpec& spec, ZoneIndex zone, std::uint32_t count, bool spot);
    /// Adds to the entry of each zone the number of the job's tasks that still fit on its new
    /// machines.
    void add_fitting(const JobSpec& spec, std::vector<std::int64_t>& fitting_by_zone) const;
    /// Number of machines by zone, including new ones; the last entry counts machines without a
    /// known zone.
    const std::vector<std::int64_t>& machines_by_zone();
    /// The machines to provision: one entry for each pool, ordered by when the pool's first machine
    /// was added. If the caller places jobs in queue order, the pools that the first jobs need are
    /// requested first, which matters if the cloud has little capacity left.
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
