// Releases idle machines, except those needed for the teams' guarantees.
#include "core/plan_release.h"

namespace lichendrift::core {

GuaranteedCapacity::GuaranteedCapacity(const Snapshot& snapshot) : snapshot_(snapshot) {
    for (const auto& machine : snapshot.machines) remaining_ += machine.capacity;
}

bool GuaranteedCapacity::needs(MachinePosition machine) const {
    const auto& view = snapshot_.machines[machine];
    const auto start_s = snapshot_.guaranteed_start_s;
    if (start_s <= 0 || start_s > snapshot_.types[view.type].boot_s) return false;
    const auto& guarantees = snapshot_.retained_guarantees;
    Resources without = remaining_;
    without -= view.capacity;
    return (guarantees.cpus > 0 && without.cpus < guarantees.cpus) ||
           (guarantees.gpus > 0 && without.gpus < guarantees.gpus);
}

bool ReleasePhase::idle_past_retention(MachinePosition at) const {
    const auto& machine = state_.snapshot.machines[at];
    if (!machine.usable || !state_.allocations.on_machine(at).empty()) return false;
    if (state_.capacity.in_use(at) || state_.capacity.reserved(at)) return false;
    return machine.idle_ms >= machine.idle_retention_ms && machine.age_ms >= kMinMachineAgeMs;
}

void ReleasePhase::run() {
    const auto& machines = state_.snapshot.machines;
    std::vector<MachinePosition> idle;
    for (MachinePosition at = 0; at < machines.size(); ++at) {
        if (idle_past_retention(at)) idle.push_back(at);
    }
    std::stable_sort(idle.begin(), idle.end(), [&](auto left, auto right) {
        return hourly_price(state_.snapshot, machines[left]) >
               hourly_price(state_.snapshot, machines[right]);
    });
    // While tasks lack capacity no machine is kept as spare: the cloud may have no other machine
    // to give them.
    const auto spare = state_.plan.capacity_short ? 0 : state_.snapshot.tuning.spare_machines;
    for (std::size_t k = 0; k + spare < idle.size(); ++k) {
        if (guaranteed_.needs(idle[k])) continue;
        guaranteed_.remove(idle[k]);
        state_.plan.releases.push_back(machines[idle[k]].index);
    }
}

}  // namespace lichendrift::core
