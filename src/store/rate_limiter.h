#pragma once

// Keeps one controller within its share of the state service's rate limits.

#include "net/token_bucket.h"
#include "store/types.h"

namespace lichendrift::store {

/// Two token buckets, one for requests and one for written keys, and a pause after the service
/// has refused a request for its rate (429). Loop thread only; all times are steady.
class RateLimiter {
  public:
    /// Both buckets begin with what half a second brings.
    RateLimiter(const StoreSettings& settings, Millis now);

    /// Sets the part of the limits that this controller may use.
    void set_share(RateShare share) { share_ = share; }

    /// The bucket of writes holds at least this many, or a whole transaction could never be sent.
    void set_max_transaction_operations(std::size_t operations) {
        min_write_capacity_ = operations;
    }

    /// Adds the tokens of the time since the last call.
    void refill(Millis now);

    /// No request but those of `RequestPriority::Leadership` is allowed until then.
    void pause_until(Millis until) { paused_until_ = until; }

    /// Whether a request of this priority is allowed, whatever it writes.
    [[nodiscard]] bool allows_request(RequestPriority priority, Millis now) const;

    /// Whether a request of this priority may write so many keys.
    [[nodiscard]] bool allows_writes(RequestPriority priority, std::size_t writes) const;

    /// Whether a request with so many writes would leave something for others.
    [[nodiscard]] bool has_spare(std::size_t writes) const;

    /// Counts a request that is sent.
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
