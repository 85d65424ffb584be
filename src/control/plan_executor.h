#pragma once

#include <functional>

#include "core/planner.h"

namespace lichendrift::control {

/// Runs the planner. The daemon gives it a thread of its own, the tests virtual time.
class PlanExecutor {
  public:
    virtual ~PlanExecutor() = default;

    /// Calls `take_snapshot` and plans on its result, both away from the loop's thread; then calls
    /// `on_plan` on the loop's thread. One call at a time.
    virtual void plan(std::function<core::Snapshot()> take_snapshot,
                      std::function<void(core::Plan)> on_plan) = 0;
};

}  // namespace lichendrift::control
