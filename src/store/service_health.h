#pragma once

// Estimates from the outcome of requests whether the state service is responsive.

#include <cstdint>
#include <deque>
#include <optional>

#include "store/types.h"

namespace lichendrift::store {

/// Tracks pending requests and the status of completed ones. Loop thread only; all times are
/// steady.
class ServiceHealth {
  public:
    /// Identifies a request from `on_sent` to `on_ended`.
    using RequestId = std::uint64_t;

    /// Records that a request was sent that the service should answer immediately (not a watch).
    RequestId on_sent(Millis now);

    /// Records that a request has ended, with or without a reply.
    void on_ended(RequestId id);

    /// Records the HTTP status of any ended request, including watches; 0: no reply. 0 and 503
    /// count as failures.
    void on_status(int status, Millis now);

    /// Whether the request that ended last has failed.
    [[nodiscard]] bool is_failing() const { return failing_since_.has_value(); }

    /// Time since the current series of failures began; 0 if the request that ended last did not
    /// fail.
    [[nodiscard]] Millis failing_for(Millis now) const;

    /// False while requests have been failing, or a request has been pending, for too long.
    [[nodiscard]] bool is_responsive(Millis now) const;

  private:
    struct PendingRequest {
        RequestId id = 0;
        Millis sent_at = 0;
    };
    std::optional<Millis> failing_since_;
    std::deque<PendingRequest> pending_requests_;  // oldest first
    RequestId last_id_ = 0;
};

}  // namespace lichendrift::store
