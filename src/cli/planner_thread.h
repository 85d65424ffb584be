#pragma once

// Runs the planner on a separate thread.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "control/plan_executor.h"
#include "net/event_loop.h"

namespace lichendrift::cli {

/// Runs the planner on a separate thread, so that trial placement never delays a response by more
/// than one iteration of the event loop. Constructed, used and destroyed on the loop thread.
class PlannerThread : public control::PlanExecutor {
  public:
    /// Starts the thread. `loop` must outlive it.
    explicit PlannerThread(net::EventLoop& loop);
    PlannerThread(const PlannerThread&) = delete;
    PlannerThread& operator=(const PlannerThread&) = delete;
    /// Waits until the planner has finished a plan under way, whose result is discarded, and joins
    /// the thread.
    ~PlannerThread() override;

    /// Calls `take_snapshot` on the planner's thread and passes the plan made from the snapshot to
    /// `on_plan` on the loop thread. Replaces an earlier request that has not been started yet.
    void plan(std::function<core::Snapshot()> take_snapshot,
              std::function<void(core::Plan)> on_plan) override;

  private:
    void run();

    net::EventLoop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::function<core::Snapshot()> take_snapshot_;  // guarded by mutex_; empty: no request
    std::function<void(core::Plan)> on_plan_;        // guarded by mutex_
    bool stop_ = false;                              // guarded by mutex_
    std::thread thread_;                             // must be last: it uses the other members
};

}  // namespace lichendrift::cli
