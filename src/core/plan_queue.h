// The order in which a plan places the waiting jobs.
#pragma once

#include "core/plan_types.h"

namespace lichendrift::core {

/// The waiting jobs that are not backing off, in the order of docs/design.md: guarantee, priority,
/// starvation, then the policy's order (by default the slack), then age. Refers to the snapshot.
std::vector<QueuedJob> scheduling_queue(const Snapshot& snapshot);

}  // namespace lichendrift::core
