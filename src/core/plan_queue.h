// The order in which a plan places the waiting jobs.
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// Returns the waiting jobs that are not backing off, in the order of docs/design.md: by guarantee,
/// priority, starvation, the policy's sort key (by default the slack), then age. The result refers
/// to the snapshot, which has to outlive it.
std::vector<QueuedJob> scheduling_queue(const Snapshot& snapshot);

}  // namespace lichendrift::core
