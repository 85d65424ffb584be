// The snapshot's allocations by machine and rank, and the victims that a plan preempts.
#include "core/plan_allocations.h"

namespace lichendrift::core {

namespace {

// Maps machine indices to positions in the snapshot.
std::vector<MachinePosition> positions_of(const std::vector<MachineView>& machines) {
    MachineIndex last = 0;
    for (const auto& machine : machines) last = std::max(last, machine.index);
    std::vector<MachinePosition> positions(machines.empty() ? 0 : last + 1);
    for (MachinePosition at = 0; at < machines.size(); ++at) positions[machines[at].index] = at;
    return positions;
}

}  // namespace

AllocationTable::AllocationTable(const Snapshot& snapshot)
    : views_(snapshot.allocations),
      first_of_machine_(snapshot.machines.size() + 1),
      by_machine_(views_.size()),
      victim_(views_.size()) {
    const auto positions = positions_of(snapshot.machines);
    machines_.reserve(views_.size());
    jobs_.reserve(views_.size());
    for (const auto& view : views_) {
        const auto machine = positions[view.machine];
        machines_.push_back(machine);
        jobs_.push_back(&snapshot.jobs.at(view.job));
        ++first_of_machine_[machine + 1];
    }
    for (std::size_t k = 1; k < first_of_machine_.size(); ++k) {
        first_of_machine_[k] += first_of_machine_[k - 1];
    }
    auto next = first_of_machine_;
    for (AllocationPosition at = 0; at < views_.size(); ++at) {
        by_machine_[next[machines_[at]]++] = at;
        const auto& job = *jobs_[at];
        if (views_[at].stopping) continue;
        ranks_.try_emplace({job.in_guarantee, job.spec.priority, job.spec.team}, at);
    }
}

}  // namespace lichendrift::core
