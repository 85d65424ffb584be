#pragma once

// Holds requests to the state service back until the rate limits allow them.

#include <array>
#include <deque>
#include <functional>

#include "net/callback_scope.h"
#include "net/runtime.h"
#include "store/rate_limiter.h"

namespace lichendrift::store {

/// A request with what the queue has to know of it.
struct QueuedRequest {
    net::HttpRequest request;  ///< as it is sent
    std::size_t writes = 0;    ///< keys that it writes
    Millis timeout = 0;        ///< for its answer, from the moment it is sent
    Millis expires_at = 0;     ///< steady time after which it is not sent any more
    net::OnReply done;         ///< called exactly once, never from inside `push`
};

/// Bounded queues, one for each priority. A request that finds its queue full, or that waits for
/// longer than it may, ends as one that was never sent. Loop thread only.
class RequestQueue {
  public:
    /// Sends a request; its `done` is the callee's to call.
    using Send = std::function<void(QueuedRequest)>;

    /// `runtime` and `limiter` must outlive the queue.
    RequestQueue(net::Runtime& runtime, RateLimiter& limiter, Send send);

    /// Sends the request at once if the limits allow it, or else as soon as they do.
    void push(RequestPriority priority, QueuedRequest request);

    /// Whether nothing is held back.
    [[nodiscard]] bool empty() const;

  private:
    /// What one pass over the queues has found so far.
    struct Pass {
        Millis now = 0;
        bool requests_exhausted = false;
        bool writes_exhausted = false;
    };
    void send_allowed();
    void send_allowed(RequestPriority priority, Pass& pass);
    void retry_later();
    void end_unsent(net::OnReply done);

    net::Runtime& runtime_;
    RateLimiter& limiter_;
    Send send_;
    std::array<std::deque<QueuedRequest>, kRequestPriorities> queues_;
    bool retry_scheduled_ = false;
    net::CallbackScope callbacks_;
};

}  // namespace lichendrift::store
