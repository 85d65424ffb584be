#pragma once

#include <functional>

#include "control/plan_executor.h"
#include "control/term.h"

namespace lichendrift::control {

/// Requests plans, one at a time, and spaces them in proportion to how long planning takes. So
/// planning takes a bounded share of the time: on a slow or busy machine plans become less frequent
/// instead of heartbeats and lease renewals becoming late.
class PlanLoop {
  public:
    /// `on_plan_ready` is called with each plan on the event loop's thread.
    PlanLoop(Term& term, PlanExecutor& planner,
             std::function<void(const core::Plan&)> on_plan_ready)
        : term_(term), planner_(planner), on_plan_ready_(std::move(on_plan_ready)) {}

    /// Starts a plan as soon as the spacing allows. Requests made until then share that plan; a
    /// request made while the planner runs leads to another plan afterwards.
    void request();

    /// Whether the last plan is so old that one should be requested even if nothing has changed.
    [[nodiscard]] bool overdue() const;

  private:
    static constexpr Millis kLongAgo = -10'000;  // makes the first plan due at once

    void start_plan();
    void on_plan(const core::Plan& plan);

    Term& term_;
    PlanExecutor& planner_;
    std::function<void(const core::Plan&)> on_plan_ready_;
    bool planning_ = false;
    bool requested_again_ = false;  // a request came while the planner was running
    bool timer_set_ = false;        // a timer calls request() when the spacing has passed
    // Start of the plan that is being made; otherwise the time at which the last one was ready.
    Millis last_plan_at_ = kLongAgo;
    Millis last_duration_ms_ = 0;
};

}  // namespace lichendrift::control
