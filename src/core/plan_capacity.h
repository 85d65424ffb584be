// The capacity that a plan has left, by machine.
#pragma once

#include "core/plan_allocations.h"

namespace lichendrift::core {

/// Keeps what is free, being released and reserved on each machine, and lists of the machines with
/// any capacity, thinned out as they fill up: the cost of a plan has to grow with what waits and
/// with the free capacity, not with the fleet.
class FreeCapacityIndex {
  public:
    /// Keeps a reference to the snapshot's machines.
    FreeCapacityIndex(const Snapshot& snapshot, const AllocationTable& allocations);

    /// Free capacity of a machine.
    [[nodiscard]] const Resources& free(MachinePosition machine) const { return free_[machine]; }
    /// Capacity of a machine that counts for the source.
    [[nodiscard]] Resources available(MachinePosition machine, CapacitySource source) const {
        Resources sum = free_[machine];
        if (source != CapacitySource::Free) sum += releasing_[machine];
        return sum;
    }
    /// Machines that may have capacity of the source, in the order of the snapshot. Valid until
    /// the next call that is not const.
    [[nodiscard]] const std::vector<MachinePosition>& machines_with(CapacitySource source) {
        return list_of(source);
    }
    /// What the job that asks for least of each resource asks for.
    [[nodiscard]] const Resources& smallest_need() const { return smallest_need_; }

    /// Takes resources of a machine for a task.
    void take(MachinePosition machine, const Resources& need) {
        free_[machine] -= need;
        in_use_[machine] = 1;
        ++takes_since_prune_;
    }
    /// Takes resources of a machine for a trial that may be undone.
    void take_on_trial(MachinePosition machine, const Resources& need) { free_[machine] -= need; }
    /// Undoes take_on_trial().
    void undo_trial(MachinePosition machine, const Resources& need) { free_[machine] += need; }
    /// The machine is needed: not released and not drained by this plan.
    void mark_in_use(MachinePosition machine) { in_use_[machine] = 1; }
    /// Whether the plan took resources of the machine or keeps it.
    [[nodiscard]] bool in_use(MachinePosition machine) const { return in_use_[machine] != 0; }
    /// Reserves the machine as a whole for a starved job: nothing else is placed there.
    void reserve(MachinePosition machine) { reserved_[machine] = 1; }
    /// Whether the machine is reserved for a starved job.
    [[nodiscard]] bool reserved(MachinePosition machine) const { return reserved_[machine] != 0; }
    /// A victim's resources are being released.
    void add_releasing(MachinePosition machine, const Resources& resources) {
        releasing_[machine] += resources;
        releasing_stale_ = true;
    }
    /// Drops machines that the plan has filled up from the lists, now and then.
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
    std::vector<MachinePosition> with_free_;
    std::vector<MachinePosition> with_releasing_;
    std::vector<MachinePosition> with_booting_;
    bool releasing_stale_ = false;
    std::size_t takes_since_prune_ = 0;
};

}  // namespace lichendrift::core
