#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace lichendrift::net {

using core::Millis;

class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    ~Fd() { reset(); }
    void reset();
    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool valid() const { return fd_ >= 0; }

  private:
    int fd_ = -1;
};

// One thread's epoll loop with timers. Only post() may be called from other threads.
class EventLoop {
  public:
    using Handler = std::function<void(std::uint32_t events)>;
    using TimerId = std::uint64_t;

    // The tests hand in a clock of their own.
    explicit EventLoop(std::function<Millis()> clock = steady_clock);
    void add(int fd, std::uint32_t events, Handler handler);
    void modify(int fd, std::uint32_t events);
    void remove(int fd);
    TimerId after(Millis delay, std::function<void()> fn);
    void cancel(TimerId id);
    void post(std::function<void()> fn);
    // Work that may wait for what is urgent: run after a turn's events and timers, for a bounded
    // time each turn.
    void later(std::function<void()> fn) { later_.push_back(std::move(fn)); }
    void run();
    // One round: waits for events for at most so long, then runs what is due.
    void turn(Millis longest);
    void stop() { stopped_ = true; }
    [[nodiscard]] Millis now() const { return now_; }
    // Read anew: the process may have stood still since the turn began.
    [[nodiscard]] Millis read_clock() const { return clock_(); }
    static Millis steady_clock();

  private:
    void run_timers();
    void run_posted();
    void run_later();

    std::function<Millis()> clock_;
    Fd epoll_;
    Fd wake_;
    Millis now_ = 0;
    bool stopped_ = false;
    std::unordered_map<int, std::shared_ptr<Handler>> handlers_;
    std::map<std::pair<Millis, TimerId>, std::function<void()>> timers_;
    std::unordered_map<TimerId, Millis> timer_times_;
    TimerId next_timer_ = 0;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    std::deque<std::function<void()>> later_;
};

}  // namespace lichendrift::net
