#pragma once

// The event loop of the process: sockets, timers and work that other threads hand over.

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

/// One thread's epoll loop with timers: the thread that calls `run` or `run_once`, the loop thread.
/// All handlers and callbacks run on it, and every function but `post` and `steady_clock` may be
/// called on it only (before `run`, on the thread that will call it).
class EventLoop {
  public:
    /// Receives what epoll reports of a descriptor, as its bit set (`EPOLLIN`, ...).
    using Handler = std::function<void(std::uint32_t events)>;

    /// `clock`: steady time; tests pass a clock of their own. Throws `std::system_error` if the
    /// system has no descriptors left.
    explicit EventLoop(std::function<Millis()> clock = steady_clock);

    /// Watches a descriptor for these epoll events. Throws `std::system_error` on failure.
    void add(int descriptor, std::uint32_t events, Handler handler);
    /// Changes the events that a descriptor is watched for.
    void modify(int descriptor, std::uint32_t events);
    /// Watches it no longer. To be called before it is closed; a handler may remove itself.
    void remove(int descriptor);

    /// Calls `callback` once after `delay`, in a later turn. Timers of the same moment fire in the
    /// order in which they were set.
    TimerId after(Millis delay, std::function<void()> callback);
    /// Cancels a timer; does nothing if it has fired or was cancelled.
    void cancel(TimerId id);

    /// Has `work` run on the loop thread. May be called on any thread.
    void post(std::function<void()> work);
    /// Has `work` run after all that is urgent: after a turn's events and timers, as much as fits
    /// into a bounded time each turn.
    void defer(std::function<void()> work) { deferred_.push_back(std::move(work)); }

    /// Takes turns until `stop`.
    void run();
    /// One turn: waits at most `max_wait` for events, then runs what is due.
    void run_once(Millis max_wait);
    /// Ends `run` after the present turn.
    void stop() { stopped_ = true; }

    /// Steady time as of the last wait of this turn.
    [[nodiscard]] Millis now() const { return now_; }
    /// Steady time, read anew: the process may have stood still since the turn began.
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
