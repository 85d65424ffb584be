#include "duty/cleanup.h"

#include <algorithm>

namespace lichendrift::duty {

Verdict classify(const PlacementEntry& entry, JobState job) {
    switch (job) {
        case JobState::Open:
            return Verdict::Keep;
        case JobState::OverNothingPlaced:
            return Verdict::Remove;
        case JobState::OverMayBePlaced:
            // Only the leader learns that a task is off its machine.
            return entry.readable && entry.empty ? Verdict::Remove : Verdict::Keep;
        case JobState::Unknown:
            return Verdict::Suspicious;
    }
    return Verdict::Keep;
}

Verdict classify(const HintEntry& entry, const std::set<std::string>& listed) {
    if (!entry.readable) return Verdict::Suspicious;
    // The list lags: a machine newer than all that it shows may be missing from it.
    if (listed.empty()) return Verdict::Keep;
    const auto& newest = *listed.rbegin();
    const bool of_use = std::any_of(
        entry.machines.begin(), entry.machines.end(),
        [&](const std::string& machine) { return machine >= newest || listed.contains(machine); });
    return of_use ? Verdict::Keep : Verdict::Remove;
}

FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan) {
    FencedWrite write(permit);
    for (const auto& proof : plan.proofs) write.require(proof);
    for (const auto& record : plan.records) {
        write.require(record);
        write.remove(record.key);
    }
    return write;
}

}  // namespace lichendrift::duty
