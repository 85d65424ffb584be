#pragma once

// An estimate of whether the state service answers, from the requests to it.

#include <cstdint>
#include <deque>
#include <optional>

#include "store/types.h"

namespace lichendrift::store {

/// Follows requests and their answers. Loop thread only; all times are steady.
class ServiceHealth {
  public:
    /// Names a request from `on_sent` to `on_ended`.
    using RequestNumber = std::uint64_t;

    /// A request was sent whose answer should come at once.
    RequestNumber on_sent(Millis now);

    /// That request has ended, answered or not.
    void on_ended(RequestNumber number);

    /// Any request has ended with this HTTP status; 0: without an answer. Failures are 0 and 503.
    void on_status(int status, Millis now);

    /// Whether the last request that ended has failed.
    [[nodiscard]] bool is_failing() const { return failing_since_.has_value(); }

    /// For how long all requests have failed; 0: the last one did not.
    [[nodiscard]] Millis failing_for(Millis now) const;

    /// False while requests fail or go unanswered.
    [[nodiscard]] bool is_responsive(Millis now) const;

  private:
    struct OpenRequest {
        RequestNumber number = 0;
        Millis sent_at = 0;
    };
    std::optional<Millis> failing_since_;
    std::deque<OpenRequest> open_requests_;  // the oldest first
    RequestNumber last_number_ = 0;
};

}  // namespace lichendrift::store
