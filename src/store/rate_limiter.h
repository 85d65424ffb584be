#pragma once

// Client-side rate limiting that keeps one controller within its share of the state service's
// limits.

#include "net/token_bucket.h"
#include "store/types.h"

namespace lichendrift::store {

/// Two token buckets, one for requests and one for written keys, and a pause after the service has
/// rejected a request because of its rate limit (429). Loop thread only; all times are steady.
class RateLimiter {
  public:
    /// Both buckets start with the tokens of half a second.
    RateLimiter(const StoreSettings& settings, Millis now);

    /// Sets the fraction of the limits that this controller may use; effective from the next
    /// refill.
    void set_share(RateShare share) { share_ = share; }

    /// Sets the minimum capacity of the write bucket to the size of the largest transaction, which
    /// could otherwise never be sent.
    void set_max_transaction_operations(std::size_t operations) {
        min_write_capacity_ = operations;
    }

    /// Adds the tokens for the time since the last call.
    void refill(Millis now);

    /// Allows only requests with `RequestPriority::Leadership` until that time.
    void pause_until(Millis until) { paused_until_ = until; }

    /// Whether a request of this priority is allowed, not counting its writes.
    [[nodiscard]] bool allows_request(RequestPriority priority, Millis now) const;

    /// Whether a request of this priority may write this many keys.
    [[nodiscard]] bool allows_writes(RequestPriority priority, std::size_t writes) const;

    /// Whether a request with this many writes leaves capacity for another request.
    [[nodiscard]] bool has_spare_capacity(std::size_t writes) const;

    /// Takes the tokens of a request that is being sent.
    void take(std::size_t writes);

  private:
    [[nodiscard]] double request_rate() const { return share_.requests * max_requests_per_s_; }
    [[nodiscard]] double write_rate() const { return share_.writes * max_writes_per_s_; }

    double max_requests_per_s_;
    double max_writes_per_s_;
    std::size_t min_write_capacity_;
    RateShare share_;
    net::TokenBucket requests_;
    net::TokenBucket writes_;
    Millis refilled_at_;
    Millis paused_until_ = 0;
};

}  // namespace lichendrift::store
