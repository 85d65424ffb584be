#pragma once

#include <functional>

#include "control/plan_executor.h"
#include "control/term.h"

namespace lichendrift::control {

/// Asks for plans, one at a time, and spaces them so that planning gets a bounded part of the time:
/// on a slow or busy machine plans come less often, rather than heartbeats and renewals late.
class PlanLoop {
  public:
    /// `on_plan_ready` gets each plan on the loop's thread.
    PlanLoop(Term& term, PlanExecutor& planner,
             std::function<void(const core::Plan&)> on_plan_ready)
        : term_(term), planner_(planner), on_plan_ready_(std::move(on_plan_ready)) {}

    /// Plans as soon as the spacing allows. Requests until then are answered by that one plan; one
    /// that comes while a plan is being made by the next.
    void request();

    /// Whether a plan should be requested even if nothing has changed.
    [[nodiscard]] bool overdue() const;

  private:
    static constexpr Millis kLongAgo = -10'000;  // so that the first plan is due at once

    void start_plan();
    void on_plan(const core::Plan& plan);

    Term& term_;
    PlanExecutor& planner_;
    std::function<void(const core::Plan&)> on_plan_ready_;
    bool planning_ = false;
    bool requested_again_ = false;    // while planning
    bool timer_set_ = false;          // for the end of the spacing
    Millis last_plan_at_ = kLongAgo;  // its start; once it is ready, that moment
    Millis last_duration_ms_ = 0;
};

}  // namespace lichendrift::control
