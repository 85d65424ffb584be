// Priority queues for requests to the state service.
#include "store/request_queue.h"

#include <algorithm>

namespace lichendrift::store {

namespace {

constexpr std::size_t kMaxQueued = 400;  // requests of one priority
constexpr Millis kRetryInterval = 20;

}  // namespace

RequestQueue::RequestQueue(net::Runtime& runtime, RateLimiter& limiter, Send send)
    : runtime_(runtime), limiter_(limiter), send_(std::move(send)) {}

bool RequestQueue::empty() const {
    return std::all_of(queues_.begin(), queues_.end(),
                       [](const auto& queue) { return queue.empty(); });
}

void RequestQueue::push(RequestPriority priority, QueuedRequest request) {
    auto& queue = queues_[static_cast<std::size_t>(priority)];
    if (queue.size() >= kMaxQueued) return fail_unsent(std::move(request.done));
    queue.push_back(std::move(request));
    send_allowed();
}

void RequestQueue::fail_unsent(net::OnReply done) {
    runtime_.after(0, [done = std::move(done)] { done({.status = 0, .body = {}, .sent = false}); });
}

void RequestQueue::send_allowed() {
    Pass pass{.now = runtime_.now()};
    limiter_.refill(pass.now);
    for (std::size_t priority = 0; priority < queues_.size() && !pass.requests_exhausted;
         ++priority) {
        send_allowed(static_cast<RequestPriority>(priority), pass);
    }
    if (pass.requests_exhausted || pass.writes_exhausted) schedule_retry();
}

void RequestQueue::send_allowed(RequestPriority priority, Pass& pass) {
    auto& queue = queues_[static_cast<std::size_t>(priority)];
    for (auto next = queue.begin(); next != queue.end();) {
        if (next->expires_at <= pass.now) {
            auto done = std::move(next->done);
            next = queue.erase(next);
            fail_unsent(std::move(done));
            continue;
        }
        if (!limiter_.allows_request(priority, pass.now)) {
            pass.requests_exhausted = true;
            return;
        }
        // A write that has to wait makes later writes wait, but not reads. If reads waited too, a
        // leader with more writes than the limits allow could not answer any user's lookup.
        if (next->writes > 0 &&
            (pass.writes_exhausted || !limiter_.allows_writes(priority, next->writes))) {
            pass.writes_exhausted = true;
            ++next;
            continue;
        }
        limiter_.take(next->writes);
        auto request = std::move(*next);
        next = queue.erase(next);
        send_(std::move(request));
    }
}

void RequestQueue::schedule_retry() {
    if (retry_scheduled_) return;
    retry_scheduled_ = true;
    runtime_.after(kRetryInterval, callbacks_.bind([this] {
        retry_scheduled_ = false;
        send_allowed();
    }));
}

}  // namespace lichendrift::store
