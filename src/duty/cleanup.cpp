// Decisions of the cleanup duty.
#include "duty/cleanup.h"

#include <algorithm>

namespace lichendrift::duty {

CleanupDecision cleanup_decision(const PlacementEntry& entry, KnownJobState job) {
    switch (job) {
        case KnownJobState::Open:
            return CleanupDecision::Keep;
        case KnownJobState::TerminalNothingPlaced:
            return CleanupDecision::Remove;
        case KnownJobState::TerminalMaybePlaced:
            // Only the leader learns that a task is off its machine.
            return entry.content == PlacementContent::NoAllocations ? CleanupDecision::Remove
                                                                    : CleanupDecision::Keep;
        case KnownJobState::Unknown:
            return CleanupDecision::Suspicious;
    }
    return CleanupDecision::Keep;
}

CleanupDecision cleanup_decision(const HintEntry& entry, const std::set<std::string>& listed) {
    if (!entry.readable) return CleanupDecision::Suspicious;
    // The list lags: a machine newer than all that it shows may be missing from it.
    if (listed.empty()) return CleanupDecision::Keep;
    const auto& newest = *listed.rbegin();
    const bool of_use = std::any_of(
        entry.machines.begin(), entry.machines.end(),
        [&](const std::string& machine) { return machine >= newest || listed.contains(machine); });
    return of_use ? CleanupDecision::Keep : CleanupDecision::Remove;
}

FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan) {
    FencedWrite write(permit);
    for (const auto& precondition : plan.preconditions) write.require(precondition);
    for (const auto& record : plan.records) {
        write.require(record);
        write.remove(record.key);
    }
    return write;
}

}  // namespace lichendrift::duty
