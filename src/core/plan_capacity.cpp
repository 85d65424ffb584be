// The capacity that a plan has left, by machine.
#include "core/plan_capacity.h"

namespace lichendrift::core {

namespace {

constexpr std::size_t kTakesBetweenPrunes = 16;

// The minimum of each resource over the needs of all waiting jobs and warm capacity.
Resources smallest_need_of(const Snapshot& snapshot) {
    Resources smallest;
    bool any = false;
    const auto include = [&](const Resources& need) {
        if (!any) smallest = need;
        any = true;
        smallest = {std::min(smallest.cpus, need.cpus), std::min(smallest.gpus, need.gpus),
                    std::min(smallest.mem, need.mem)};
    };
    for (const auto& waiting : snapshot.waiting_jobs) {
        include(snapshot.jobs.at(waiting.job).spec.need);
    }
    for (const auto& warm : snapshot.warm_capacity) include(warm.spec.need);
    return smallest;
}

}  // namespace

FreeCapacityIndex::FreeCapacityIndex(const Snapshot& snapshot, const AllocationTable& allocations)
    : machines_(snapshot.machines),
      releasing_(machines_.size()),
      in_use_(machines_.size()),
      reserved_(machines_.size()),
      smallest_need_(smallest_need_of(snapshot)) {
    free_.reserve(machines_.size());
    for (const auto& machine : machines_) free_.push_back(machine.free);
    for (AllocationPosition at = 0; at < allocations.size(); ++at) {
        if (!allocations.view(at).stopping) continue;
        releasing_[allocations.machine(at)] += allocations.resources(at);
    }
    for (MachinePosition at = 0; at < machines_.size(); ++at) {
        if (machines_[at].usable && has_capacity(at, CapacitySource::Free)) {
            with_free_.push_back(at);
        }
    }
    index_releasing();
}

std::vector<MachinePosition>& FreeCapacityIndex::list_of(CapacitySource source) {
    if (source == CapacitySource::Free) return with_free_;
    if (releasing_stale_) index_releasing();
    return source == CapacitySource::Releasing ? with_releasing_ : with_booting_;
}

void FreeCapacityIndex::index_releasing() {
    with_releasing_.clear();
    with_booting_.clear();
    releasing_stale_ = false;
    for (MachinePosition at = 0; at < machines_.size(); ++at) {
        const auto& machine = machines_[at];
        if (reserved(at) || !(machine.usable || machine.booting)) continue;
        if (!has_capacity(at, CapacitySource::Releasing)) continue;
        if (machine.usable) with_releasing_.push_back(at);
        with_booting_.push_back(at);
    }
}

void FreeCapacityIndex::prune_full_machines() {
    if (takes_since_prune_ < kTakesBetweenPrunes) return;
    takes_since_prune_ = 0;
    for (const auto source :
         {CapacitySource::Free, CapacitySource::Releasing, CapacitySource::Booting}) {
        std::erase_if(list_of(source), [&](MachinePosition at) {
            return reserved(at) || !has_capacity(at, source);
        });
    }
}

}  // namespace lichendrift::core
