#pragma once

// The runtime of the daemon; tests use a simulated one instead.

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/runtime.h"

namespace lichendrift::cli {

/// Provides time and timers from an event loop, requests through an HTTP client and random numbers
/// from a generator seeded by the system. Loop thread only.
class DaemonRuntime : public net::Runtime {
  public:
    /// `loop` and `client` must outlive the runtime.
    DaemonRuntime(net::EventLoop& loop, net::HttpClient& client);

    net::Millis now() override { return loop_.now(); }
    net::Millis read_clock() override { return loop_.read_clock(); }
    std::int64_t wall_ms() override;
    std::uint64_t random() override { return random_(); }
    void call(const std::string& address, net::HttpRequest request, net::Millis timeout,
              net::OnReply on_reply) override;
    net::TimerId after(net::Millis delay, std::function<void()> callback) override;
    void cancel(net::TimerId id) override { loop_.cancel(id); }
    void log_context(const std::string& context) override;

  private:
    net::EventLoop& loop_;
    net::HttpClient& client_;
    std::mt19937_64 random_;
};

}  // namespace lichendrift::cli
