// Implementation of the event loop on epoll and eventfd.
#include "net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>

namespace lichendrift::net {

namespace {

constexpr std::size_t kMaxEventsPerIteration = 64;
constexpr Millis kMaxWait = 1000;
// Time for deferred work in each iteration: about as long as an iteration with the maximum number
// of events takes on a slow machine.
constexpr Millis kMaxDeferredTime = 5;
constexpr std::int64_t kNanosecondsPerMs = 1'000'000;

}  // namespace

EventLoop::EventLoop(std::function<Millis()> clock)
    : clock_(std::move(clock)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_event_(::eventfd(0, EFD_NONBLOCK)) {
    if (!epoll_.valid() || !wake_event_.valid()) {
        throw std::system_error(errno, std::generic_category(), "epoll");
    }
    now_ = clock_();
    add(wake_event_.get(), EPOLLIN, [this](std::uint32_t) {
        drain_wake_event();
        run_posted();
    });
}

Millis EventLoop::steady_clock() {
    timespec time{};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<Millis>(time.tv_sec) * 1000 + time.tv_nsec / kNanosecondsPerMs;
}

// ---- descriptors ----

void EventLoop::add(int descriptor, std::uint32_t events, Handler handler) {
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    handlers_[descriptor] = std::make_shared<Handler>(std::move(handler));
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, descriptor, &event) != 0) {
        handlers_.erase(descriptor);
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
}

void EventLoop::modify(int descriptor, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, descriptor, &event);
}

void EventLoop::remove(int descriptor) {
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, descriptor, nullptr);
    handlers_.erase(descriptor);
}

// ---- timers ----

TimerId EventLoop::after(Millis delay, std::function<void()> callback) {
    const auto id = ++last_timer_;
    const auto due_at = now_ + std::max<Millis>(delay, 0);
    timers_.emplace(TimerKey{.due_at = due_at, .id = id}, std::move(callback));
    timer_due_at_.emplace(id, due_at);
    return id;
}

void EventLoop::cancel(TimerId id) {
    const auto it = timer_due_at_.find(id);
    if (it == timer_due_at_.end()) return;
    timers_.erase({.due_at = it->second, .id = id});
    timer_due_at_.erase(it);
}

void EventLoop::run_timers() {
    // Timers that these callbacks set wait for the next iteration, so that timers can't starve
    // socket events.
    const auto last = last_timer_;
    while (!timers_.empty()) {
        const auto it = timers_.begin();
        const auto [due_at, id] = it->first;
        if (due_at > now_ || id > last) break;
        auto callback = std::move(it->second);
        timer_due_at_.erase(id);
        timers_.erase(it);
        callback();
    }
}

// ---- posted and deferred work ----

void EventLoop::post(std::function<void()> work) {
    {
        std::scoped_lock lock(mutex_);
        posted_.push_back(std::move(work));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_event_.get(), &one, sizeof one);
}

void EventLoop::drain_wake_event() {
    std::uint64_t count = 0;
    while (::read(wake_event_.get(), &count, sizeof count) > 0) {
    }
}

void EventLoop::run_posted() {
    std::vector<std::function<void()>> posted;
    {
        std::scoped_lock lock(mutex_);
        posted.swap(posted_);
    }
    for (auto& work : posted) work();
}

void EventLoop::run_deferred() {
    if (deferred_.empty()) return;
    const auto until = clock_() + kMaxDeferredTime;
    do {
        auto work = std::move(deferred_.front());
        deferred_.pop_front();
        work();
    } while (!deferred_.empty() && clock_() < until);
}

// ---- iterations ----

void EventLoop::run() {
    while (!stopped_) run_once(kMaxWait);
}

void EventLoop::run_once(Millis max_wait) {
    std::array<epoll_event, kMaxEventsPerIteration> events{};
    now_ = clock_();
    auto wait = max_wait;
    if (!timers_.empty()) {
        wait = std::clamp<Millis>(timers_.begin()->first.due_at - now_, 0, max_wait);
    }
    if (!deferred_.empty()) wait = 0;
    const int count =
        ::epoll_wait(epoll_.get(), events.data(), events.size(), static_cast<int>(wait));
    now_ = clock_();
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        const auto it = handlers_.find(event.data.fd);
        if (it == handlers_.end()) continue;
        const auto handler = it->second;  // keeps it alive if it removes itself
        (*handler)(event.events);
    }
    run_timers();
    run_deferred();
}

}  // namespace lichendrift::net
