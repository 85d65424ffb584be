// Decides which stored records the cleanup duty removes.
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
            // Its tasks may still run: only the leader learns when a task has left its machine.
            return entry.content == PlacementContent::NoAllocations ? CleanupDecision::Remove
                                                                    : CleanupDecision::Keep;
        case KnownJobState::Unknown:
            return CleanupDecision::Suspicious;
    }
    return CleanupDecision::Keep;
}

CleanupDecision cleanup_decision(const HintEntry& entry, const std::set<std::string>& listed) {
    if (!entry.readable) return CleanupDecision::Suspicious;
    // The cloud's list lags behind: a machine whose name sorts after all listed names may exist
    // already. It counts as existing.
    if (listed.empty()) return CleanupDecision::Keep;
    const auto& newest = *listed.rbegin();
    const bool still_needed = std::any_of(
        entry.machines.begin(), entry.machines.end(),
        [&](const std::string& machine) { return machine >= newest || listed.contains(machine); });
    return still_needed ? CleanupDecision::Keep : CleanupDecision::Remove;
}

FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan) {
    FencedWrite write(permit);
    for (const auto& precondition : plan.preconditions) write.add_condition(precondition);
    for (const auto& record : plan.records) {
        write.add_condition(record);
        write.remove(record.key);
    }
    return write;
}

}  // namespace lichendrift::duty
