#pragma once

// Event loop of the process: sockets, timers and work posted by other threads.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"
#include "net/fd.h"
#include "net/timer.h"

namespace lichendrift::net {

using core::Millis;

/// A single-threaded epoll loop with timers. The thread that calls `run` or `run_once` is the loop
/// thread: all handlers and callbacks run on it, and every function except `post` and
/// `steady_clock` may only be called on it (before `run`, on the thread that will call `run`).
class EventLoop {
  public:
    /// Receives the events that epoll reports for a descriptor, as a bit mask (`EPOLLIN`, ...).
    using Handler = std::function<void(std::uint32_t events)>;

    /// `clock`: returns steady time; tests pass their own. Throws `std::system_error` if the
    /// epoll or event descriptor can't be created.
    explicit EventLoop(std::function<Millis()> clock = steady_clock);

    /// Watches a descriptor for `events` (an epoll bit mask). Throws `std::system_error` on
    /// failure. The caller keeps ownership of the descriptor.
    void add(int descriptor, std::uint32_t events, Handler handler);
    /// Changes the events that an added descriptor is watched for.
    void modify(int descriptor, std::uint32_t events);
    /// Stops watching a descriptor. Must be called before the descriptor is closed; a handler may
    /// remove its own descriptor.
    void remove(int descriptor);

    /// Calls `callback` once after `delay`, never from inside this call. Timers due at the same
    /// time fire in the order in which they were set.
    TimerId after(Millis delay, std::function<void()> callback);
    /// Cancels a timer; does nothing if it has fired or was cancelled.
    void cancel(TimerId id);

    /// Queues `work` to run on the loop thread. May be called on any thread.
    void post(std::function<void()> work);
    /// Queues `work` to run at low priority: after the events and timers of an iteration, for a
    /// bounded time in each iteration.
    void defer(std::function<void()> work) { deferred_.push_back(std::move(work)); }

    /// Runs iterations until `stop` is called.
    void run();
    /// Runs one iteration: waits up to `max_wait` for events, then runs their handlers, due timers
    /// and deferred work.
    void run_once(Millis max_wait);
    /// Makes `run` return after the current iteration.
    void stop() { stopped_ = true; }

    /// Steady time, cached at the start of the iteration and after its wait for events.
    [[nodiscard]] Millis now() const { return now_; }
    /// Steady time, read from the clock: the process may have been paused since `now` was cached.
    [[nodiscard]] Millis read_clock() const { return clock_(); }
    /// The system's steady clock. May be called on any thread.
    static Millis steady_clock();

  private:
    // Timers in the order in which they fire.
    struct TimerKey {
        Millis due_at = 0;
        TimerId id = 0;
        auto operator<=>(const TimerKey&) const = default;
    };
    void drain_wake_event();
    void run_timers();
    void run_posted();
    void run_deferred();

    std::function<Millis()> clock_;
    Fd epoll_;
    Fd wake_event_;
    Millis now_ = 0;
    bool stopped_ = false;
    std::unordered_map<int, std::shared_ptr<Handler>> handlers_;
    std::map<TimerKey, std::function<void()>> timers_;
    std::unordered_map<TimerId, Millis> timer_due_at_;
    TimerId last_timer_ = 0;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;  // guarded by mutex_
    std::deque<std::function<void()>> deferred_;
};

}  // namespace lichendrift::net
