// Decides when the planner runs.
#include "control/plan_loop.h"

#include <algorithm>

namespace lichendrift::control {

namespace {

constexpr Millis kMinSpacingMs = 60;
constexpr Millis kMaxSpacingMs = 1500;
constexpr Millis kSpacingFactor = 3;  // the spacing is this multiple of the last plan's duration
constexpr Millis kMaxIntervalMs = 1000;

}  // namespace

bool PlanLoop::overdue() const { return term_.runtime.now() - last_plan_at_ > kMaxIntervalMs; }

void PlanLoop::request() {
    if (!term_.callbacks.active()) return;
    if (planning_) {
        requested_again_ = true;
        return;
    }
    const auto spacing =
        std::clamp(last_duration_ms_ * kSpacingFactor, kMinSpacingMs, kMaxSpacingMs);
    const auto since_last = term_.runtime.now() - last_plan_at_;
    if (since_last >= spacing) return start_plan();
    if (timer_set_) return;
    timer_set_ = true;
    term_.runtime.after(spacing - since_last, term_.callbacks.bind([this] {
        timer_set_ = false;
        request();
    }));
}

void PlanLoop::start_plan() {
    const auto now = term_.runtime.now();
    const auto wall_ms = term_.runtime.wall_ms();
    last_plan_at_ = now;
    planning_ = true;
    requested_again_ = false;
    planner_.plan(
        // Runs on the planner's thread, possibly after the end of the term; so it shares ownership
        // of the cluster and does not use `this`.
        [cluster = term_.cluster, now, wall_ms] {
            return cluster->with_lock(
                [&](core::Cluster& locked) { return locked.snapshot(now, wall_ms); });
        },
        term_.callbacks.bind([this](const core::Plan& plan) { on_plan(plan); }));
}

void PlanLoop::on_plan(const core::Plan& plan) {
    const auto now = term_.runtime.now();
    planning_ = false;
    last_duration_ms_ = now - last_plan_at_;
    last_plan_at_ = now;
    on_plan_ready_(plan);
    if (requested_again_) request();
}

}  // namespace lichendrift::control
