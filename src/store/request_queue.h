#pragma once

// Queues requests to the state service until the rate limits allow them.

#include <array>
#include <deque>
#include <functional>

#include "net/callback_scope.h"
#include "net/runtime.h"
#include "store/rate_limiter.h"

namespace lichendrift::store {

/// A request with its cost and time limits.
struct QueuedRequest {
    net::HttpRequest request;  ///< the HTTP request to send
    std::size_t writes = 0;    ///< number of keys that it writes
    Millis timeout = 0;        ///< time to wait for the reply once sent
    Millis expires_at = 0;     ///< steady time from which it is no longer sent
    net::OnReply done;         ///< called exactly once, never from inside `push`
};

/// Bounded queues, one for each priority. A request that arrives at a full queue or expires while
/// queued fails as not sent (status 0, `sent` false). Loop thread only.
class RequestQueue {
  public:
    /// Sends a request and is then responsible for calling its `done`.
    using Send = std::function<void(QueuedRequest)>;

    /// `runtime` and `limiter` must outlive the queue.
    RequestQueue(net::Runtime& runtime, RateLimiter& limiter, Send send);

    /// Sends the request immediately if the limits allow it, otherwise as soon as they do.
    void push(RequestPriority priority, QueuedRequest request);

    /// Whether no request is queued.
    [[nodiscard]] bool empty() const;

  private:
    /// State of one pass over the queues.
    struct Pass {
        Millis now = 0;
        bool requests_exhausted = false;
        bool writes_exhausted = false;
    };
    void send_allowed();
    void send_allowed(RequestPriority priority, Pass& pass);
    void schedule_retry();
    void fail_unsent(net::OnReply done);

    net::Runtime& runtime_;
    RateLimiter& limiter_;
    Send send_;
    std::array<std::deque<QueuedRequest>, kRequestPriorities> queues_;
    bool retry_scheduled_ = false;
    net::CallbackScope callbacks_;
};

}  // namespace lichendrift::store
