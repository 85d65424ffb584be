#include "net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>

namespace lichendrift::net {

namespace {

// Of each turn: about as long as a turn full of events takes on a slow machine.
constexpr Millis kLaterTime = 5;

}  // namespace

void Fd::reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

EventLoop::EventLoop(std::function<Millis()> clock)
    : clock_(std::move(clock)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_(::eventfd(0, EFD_NONBLOCK)) {
    if (!epoll_.valid() || !wake_.valid()) {
        throw std::system_error(errno, std::generic_category(), "epoll");
    }
    now_ = clock_();
    add(wake_.get(), EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        while (::read(wake_.get(), &count, sizeof count) > 0) {
        }
        run_posted();
    });
}

Millis EventLoop::steady_clock() {
    timespec ts{};
    ::clock_gettime(CLOCK_MONOTONIC, &ts);
    return static_cast<Millis>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}

void EventLoop::add(int fd, std::uint32_t events, Handler handler) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
        handlers_.erase(fd);
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
}

void EventLoop::modify(int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::remove(int fd) {
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
    handlers_.erase(fd);
}

EventLoop::TimerId EventLoop::after(Millis delay, std::function<void()> fn) {
    const auto id = ++next_timer_;
    const auto at = now_ + std::max<Millis>(delay, 0);
    timers_.emplace(std::pair(at, id), std::move(fn));
    timer_times_.emplace(id, at);
    return id;
}

void EventLoop::cancel(TimerId id) {
    auto it = timer_times_.find(id);
    if (it == timer_times_.end()) return;
    timers_.erase({it->second, id});
    timer_times_.erase(it);
}

void EventLoop::post(std::function<void()> fn) {
    {
        std::scoped_lock lock(mutex_);
        posted_.push_back(std::move(fn));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(wake_.get(), &one, sizeof one);
}

void EventLoop::run_posted() {
    std::vector<std::function<void()>> work;
    {
        std::scoped_lock lock(mutex_);
        work.swap(posted_);
    }
    for (auto& fn : work) fn();
}

void EventLoop::run_timers() {
    // Timers set by these timers wait for the next turn, so that sockets get theirs.
    const auto last = next_timer_;
    while (!timers_.empty()) {
        auto it = timers_.begin();
        if (it->first.first > now_ || it->first.second > last) break;
        auto fn = std::move(it->second);
        timer_times_.erase(it->first.second);
        timers_.erase(it);
        fn();
    }
}

void EventLoop::run_later() {
    if (later_.empty()) return;
    const auto until = clock_() + kLaterTime;
    do {
        auto fn = std::move(later_.front());
        later_.pop_front();
        fn();
    } while (!later_.empty() && clock_() < until);
}

void EventLoop::run() {
    while (!stopped_) turn(1000);
}

void EventLoop::turn(Millis longest) {
    std::array<epoll_event, 64> events{};
    now_ = clock_();
    auto wait = longest;
    if (!timers_.empty()) {
        wait = std::clamp<Millis>(timers_.begin()->first.first - now_, 0, longest);
    }
    if (!later_.empty()) wait = 0;
    const int n = ::epoll_wait(epoll_.get(), events.data(), events.size(), static_cast<int>(wait));
    now_ = clock_();
    for (int i = 0; i < n; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        auto it = handlers_.find(event.data.fd);
        if (it == handlers_.end()) continue;
        const auto handler = it->second;  // it may remove itself
        (*handler)(event.events);
    }
    run_timers();
    run_later();
}

}  // namespace lichendrift::net
