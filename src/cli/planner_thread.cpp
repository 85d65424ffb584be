// The loop of the planner's thread.
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

void PlannerThread::plan(std::function<core::Snapshot()> take,
                         std::function<void(core::Plan)> done) {
    {
        std::scoped_lock lock(mutex_);
        take_ = std::move(take);
        done_ = std::move(done);
    }
    wake_.notify_one();
}

void PlannerThread::run() {
    for (;;) {
        std::function<core::Snapshot()> take;
        std::function<void(core::Plan)> done;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stop_ || take_; });
            if (stop_) return;
            take = std::exchange(take_, nullptr);
            done = std::exchange(done_, nullptr);
        }
        auto plan = std::make_shared<core::Plan>(core::make_plan(take()));
        loop_.post([plan, done = std::move(done)] { done(std::move(*plan)); });
    }
}

}  // namespace lichendrift::cli
