#pragma once

// The thread on which plans are made.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "control/plan_executor.h"
#include "net/event_loop.h"

namespace lichendrift::cli {

/// Makes plans on a thread of its own, so that trial placement never delays a response by more than
/// one turn of the loop. Constructed, used and destroyed on the loop thread.
class PlannerThread : public control::PlanExecutor {
  public:
    /// Starts the thread. `loop` must outlive it.
    explicit PlannerThread(net::EventLoop& loop);
    PlannerThread(const PlannerThread&) = delete;
    PlannerThread& operator=(const PlannerThread&) = delete;
    /// Waits for a plan that is being made, and drops it.
    ~PlannerThread() override;

    /// Takes a snapshot with `take`, on the planner's thread, and passes the plan made from it to
    /// `done`, on the loop thread. Replaces a plan that has been asked for and not begun.
    void plan(std::function<core::Snapshot()> take, std::function<void(core::Plan)> done) override;

  private:
    void run();

    net::EventLoop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::function<core::Snapshot()> take_;  // guarded by mutex_; empty: nothing to plan
    std::function<void(core::Plan)> done_;  // guarded by mutex_
    bool stop_ = false;                     // guarded by mutex_
    std::thread thread_;                    // the last member: it uses the others
};

}  // namespace lichendrift::cli
