// The capacity that a plan has left, by machine.
#pragma once

#include "core/plan_allocations.h"

namespace lichendrift::core {

/// Tracks the free, releasing and reserved capacity of each machine, with lists of the machines
/// that have capacity left. Full machines are pruned from the lists, so that the cost of a plan
/// grows with the waiting jobs and the free capacity, not with the size of the fleet.
class FreeCapacityIndex {
  public:
    /// Keeps a reference to the snapshot's machines, which have to outlive it.
    FreeCapacityIndex(const Snapshot& snapshot, const AllocationTable& allocations);

    /// Free capacity of a machine.
    [[nodiscard]] const Resources& free(MachinePosition machine) const { return free_[machine]; }
    /// Capacity of a machine that the source includes.
    [[nodiscard]] Resources available(MachinePosition machine, CapacitySource source) const {
        Resources sum = free_[machine];
        if (source != CapacitySource::Free) sum += releasing_[machine];
        return sum;
    }
    /// Machines that may have capacity of the source, in the order of the snapshot. The reference
    /// is valid until the next non-const call.
    [[nodiscard]] const std::vector<MachinePosition>& machines_with(CapacitySource source) {
        return list_of(source);
    }
    /// The minimum of each resource over the needs of all waiting jobs and warm capacity.
    [[nodiscard]] const Resources& smallest_need() const { return smallest_need_; }

    /// Takes resources of a machine for a task of this plan.
    void take(MachinePosition machine, const Resources& need) {
        free_[machine] -= need;
        in_use_[machine] = 1;
        ++takes_since_prune_;
    }
    /// Takes resources of a machine tentatively: undo_trial() can give them back.
    void take_on_trial(MachinePosition machine, const Resources& need) { free_[machine] -= need; }
    /// Undoes take_on_trial().
    void undo_trial(MachinePosition machine, const Resources& need) { free_[machine] += need; }
    /// Marks the machine as needed, so that this plan neither releases nor drains it.
    void mark_in_use(MachinePosition machine) { in_use_[machine] = 1; }
    /// Whether the plan took resources of the machine or marked it as needed.
    [[nodiscard]] bool in_use(MachinePosition machine) const { return in_use_[machine] != 0; }
    /// Reserves the whole machine for a starved job: this plan places nothing else there.
    void reserve(MachinePosition machine) { reserved_[machine] = 1; }
    /// Whether the machine is reserved for a starved job.
    [[nodiscard]] bool reserved(MachinePosition machine) const { return reserved_[machine] != 0; }
    /// Adds a victim's resources to the capacity being released.
    void add_releasing(MachinePosition machine, const Resources& resources) {
        releasing_[machine] += resources;
        releasing_stale_ = true;
    }
    /// Removes full and reserved machines from the lists, after every 16 calls of take().
    void prune_full_machines();

  private:
    [[nodiscard]] bool has_capacity(MachinePosition machine, CapacitySource source) const {
        return available(machine, source).covers(smallest_need_);
    }
    std::vector<MachinePosition>& list_of(CapacitySource source);
    void index_releasing();

    const std::vector<MachineView>& machines_;
    std::vector<Resources> free_;
    std::vector<Resources> releasing_;
    std::vector<char> in_use_;
    std::vector<char> reserved_;
    Resources smallest_need_;
    // Machines that may have capacity of each CapacitySource.
    std::vector<MachinePosition> with_free_;
    std::vector<MachinePosition> with_releasing_;
    std::vector<MachinePosition> with_booting_;
    bool releasing_stale_ = false;  // the two lists above have to be built again
    std::size_t takes_since_prune_ = 0;
};

}  // namespace lichendrift::core
