// The snapshot's allocations by machine and rank, and which of them a plan preempts.
#pragma once

#include <map>
#include <span>

#include "core/plan_types.h"

namespace lichendrift::core {

/// What decides whether an allocation may be preempted, and by whom.
struct AllocationRank {
    bool in_guarantee = false;             ///< of a job within its team's guarantee
    Priority priority = Priority::Normal;  ///< of its job
    TeamIndex team = kInvalidIndex;        ///< of its job
    /// Member by member.
    auto operator<=>(const AllocationRank&) const = default;
};

/// The snapshot's allocations. Victims, once marked, count as stopping.
class AllocationTable {
  public:
    /// Keeps a reference to the snapshot.
    explicit AllocationTable(const Snapshot& snapshot);

    /// Number of allocations.
    [[nodiscard]] std::size_t size() const { return views_.size(); }
    /// The allocation as in the snapshot.
    [[nodiscard]] const AllocationView& view(AllocationPosition at) const { return views_[at]; }
    /// Its job.
    [[nodiscard]] const JobView& job(AllocationPosition at) const { return *jobs_[at]; }
    /// Its resources.
    [[nodiscard]] const Resources& resources(AllocationPosition at) const {
        return jobs_[at]->spec.need;
    }
    /// Its machine.
    [[nodiscard]] MachinePosition machine(AllocationPosition at) const { return machines_[at]; }
    /// The allocations of a machine.
    [[nodiscard]] std::span<const AllocationPosition> on_machine(MachinePosition machine) const {
        return {by_machine_.data() + first_of_machine_[machine],
                first_of_machine_[machine + 1] - first_of_machine_[machine]};
    }
    /// Whether the plan preempts it.
    [[nodiscard]] bool is_victim(AllocationPosition at) const { return victim_[at] != 0; }
    /// Whether it is being stopped or the plan preempts it.
    [[nodiscard]] bool is_ending(AllocationPosition at) const {
        return views_[at].stopping || is_victim(at);
    }
    /// The plan preempts it.
    void mark_victim(AllocationPosition at) { victim_[at] = 1; }
    /// Every rank that is not stopping, with one allocation of it.
    [[nodiscard]] const std::map<AllocationRank, AllocationPosition>& ranks() const {
        return ranks_;
    }

  private:
    const std::vector<AllocationView>& views_;
    std::vector<MachinePosition> machines_;
    std::vector<const JobView*> jobs_;
    std::vector<std::size_t> first_of_machine_;  // into by_machine_
    std::vector<AllocationPosition> by_machine_;
    std::vector<char> victim_;
    std::map<AllocationRank, AllocationPosition> ranks_;
};

}  // namespace lichendrift::core
