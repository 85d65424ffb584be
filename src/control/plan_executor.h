#pragma once

#include <functional>

#include "core/planner.h"

namespace lichendrift::control {

/// Runs the planner. The daemon runs it on a separate thread, the tests in virtual time.
class PlanExecutor {
  public:
    virtual ~PlanExecutor() = default;

    /// Calls `take_snapshot` and runs the planner on its result, both off the event loop's thread,
    /// then calls `on_plan` on the event loop's thread. Must not be called again before that.
    virtual void plan(std::function<core::Snapshot()> take_snapshot,
                      std::function<void(core::Plan)> on_plan) = 0;
};

}  // namespace lichendrift::control
