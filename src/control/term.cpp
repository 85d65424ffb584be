// The condition of the leader's writes, and the check that detects another controller's election.
#include "control/term.h"

#include <algorithm>

#include "core/state_keys.h"

namespace lichendrift::control {

wire::Condition Term::leadership_condition() const {
    if (!settings.guards.leader_record_condition) return {"no-such-key", 0};
    return {std::string(core::keys::kLeader), leader_revision};
}

bool Term::step_down_if_replaced(const store::TransactionResult& result) {
    if (result.outcome != store::Outcome::Conflict) return false;
    if (!condition_failed(result, core::keys::kLeader)) return false;
    host.step_down(events::StepDownReason::AnotherLeaderElected);
    return true;
}

bool condition_failed(const store::TransactionResult& result, std::string_view key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

}  // namespace lichendrift::control
