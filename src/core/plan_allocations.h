// The snapshot's allocations by machine and rank, and the victims that a plan preempts.
#pragma once

#include <map>
#include <span>

#include "core/plan_types.h"

namespace lichendrift::core {

/// The properties of an allocation that decide which jobs may preempt it.
struct AllocationRank {
    bool in_guarantee = false;             ///< whether its job is within its team's guarantee
    Priority priority = Priority::Normal;  ///< priority of its job
    TeamIndex team = kInvalidIndex;        ///< team of its job
    /// Compares member by member.
    auto operator<=>(const AllocationRank&) const = default;
};

/// The snapshot's allocations. An allocation marked as a victim counts as being stopped.
class AllocationTable {
  public:
    /// Keeps a reference to the snapshot, which has to outlive it.
    explicit AllocationTable(const Snapshot& snapshot);

    /// Number of allocations.
    [[nodiscard]] std::size_t size() const { return views_.size(); }
    /// The allocation as it is in the snapshot.
    [[nodiscard]] const AllocationView& view(AllocationPosition at) const { return views_[at]; }
    /// The job of the allocation.
    [[nodiscard]] const JobView& job(AllocationPosition at) const { return *jobs_[at]; }
    /// The resources that the allocation takes up.
    [[nodiscard]] const Resources& resources(AllocationPosition at) const {
        return jobs_[at]->spec.need;
    }
    /// The machine of the allocation.
    [[nodiscard]] MachinePosition machine(AllocationPosition at) const { return machines_[at]; }
    /// The allocations on a machine, in the order of the snapshot.
    [[nodiscard]] std::span<const AllocationPosition> on_machine(MachinePosition machine) const {
        return {by_machine_.data() + first_of_machine_[machine],
                first_of_machine_[machine + 1] - first_of_machine_[machine]};
    }
    /// Whether the plan preempts the allocation.
    [[nodiscard]] bool is_victim(AllocationPosition at) const { return victim_[at] != 0; }
    /// Whether the allocation is being stopped or the plan preempts it.
    [[nodiscard]] bool is_ending(AllocationPosition at) const {
        return views_[at].stopping || is_victim(at);
    }
    /// Marks the allocation as preempted by the plan.
    void mark_victim(AllocationPosition at) { victim_[at] = 1; }
    /// The ranks of all allocations that are not being stopped, each with one such allocation.
    [[nodiscard]] const std::map<AllocationRank, AllocationPosition>& ranks() const {
        return ranks_;
    }

  private:
    const std::vector<AllocationView>& views_;
    std::vector<MachinePosition> machines_;
    std::vector<const JobView*> jobs_;
    std::vector<std::size_t> first_of_machine_;   // offsets into by_machine_
    std::vector<AllocationPosition> by_machine_;  // grouped by machine
    std::vector<char> victim_;
    std::map<AllocationRank, AllocationPosition> ranks_;
};

}  // namespace lichendrift::core
