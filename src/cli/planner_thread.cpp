// The planner's thread and its loop.
#include "cli/planner_thread.h"

#include <memory>
#include <utility>

namespace lichendrift::cli {

PlannerThread::PlannerThread(net::EventLoop& loop) : loop_(loop), thread_([this] { run(); }) {}

PlannerThread::~PlannerThread() {
    {
        std::scoped_lock lock(mutex_);
        stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void PlannerThread::plan(std::function<core::Snapshot()> take_snapshot,
                         std::function<void(core::Plan)> on_plan) {
    {
        std::scoped_lock lock(mutex_);
        take_snapshot_ = std::move(take_snapshot);
        on_plan_ = std::move(on_plan);
    }
    wake_.notify_one();
}

void PlannerThread::run() {
    for (;;) {
        std::function<core::Snapshot()> take_snapshot;
        std::function<void(core::Plan)> on_plan;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stop_ || take_snapshot_; });
            if (stop_) return;
            take_snapshot = std::exchange(take_snapshot_, nullptr);
            on_plan = std::exchange(on_plan_, nullptr);
        }
        auto plan = std::make_shared<core::Plan>(core::make_plan(take_snapshot()));
        loop_.post([plan, on_plan = std::move(on_plan)] { on_plan(std::move(*plan)); });
    }
}

}  // namespace lichendrift::cli
