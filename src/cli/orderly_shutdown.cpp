// The signal handler wakes the loop thread through an eventfd.
#include "cli/orderly_shutdown.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <csignal>

namespace lichendrift::cli {

namespace {

// Time between the start of the handover and the end of the process, in which the requests of the
// handover are sent.
constexpr net::Millis kHandoverDelay = 300;

// The eventfd for the signal handler, which may only call async-signal-safe functions like write().
std::atomic<int> signal_event{-1};

void handle_signal(int /*number*/) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(signal_event.load(), &one, sizeof one);
}

}  // namespace

OrderlyShutdown::OrderlyShutdown(net::EventLoop& loop, control::Controller& controller)
    : loop_(loop),
      controller_(controller),
      signal_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!signal_event_.valid()) return;
    signal_event = signal_event_.get();
    loop_.add(signal_event_.get(), EPOLLIN, [this](std::uint32_t) { on_signal(); });
    struct sigaction action {};
    action.sa_handler = handle_signal;
    ::sigaction(SIGTERM, &action, nullptr);
    ::sigaction(SIGINT, &action, nullptr);
}

void OrderlyShutdown::on_signal() {
    loop_.remove(signal_event_.get());
    controller_.hand_over();
    loop_.after(kHandoverDelay, [&loop = loop_] { loop.stop(); });
}

}  // namespace lichendrift::cli
