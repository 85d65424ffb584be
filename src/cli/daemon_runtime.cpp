// net::Runtime on the system's clock, the event loop and the HTTP client.
#include "cli/daemon_runtime.h"

#include <ctime>
#include <utility>

#include "cli/log.h"

namespace lichendrift::cli {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kNanosecondsPerMs = 1'000'000;

}  // namespace

DaemonRuntime::DaemonRuntime(net::EventLoop& loop, net::HttpClient& client)
    : loop_(loop), client_(client), random_(std::random_device{}()) {}

std::int64_t DaemonRuntime::wall_ms() {
    timespec time{};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * kMsPerSecond + time.tv_nsec / kNanosecondsPerMs;
}

void DaemonRuntime::call(const std::string& address, net::HttpRequest request, net::Millis timeout,
                         net::OnReply on_reply) {
    client_.call(address, request, timeout, std::move(on_reply));
}

net::TimerId DaemonRuntime::after(net::Millis delay, std::function<void()> callback) {
    return loop_.after(delay, std::move(callback));
}

void DaemonRuntime::log_context(const std::string& context) { set_log_context(context); }

}  // namespace lichendrift::cli
