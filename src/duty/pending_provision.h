#pragma once

/// @file
/// One provisioning request, from when it is queued until no further attempt is to be made.

#include "core/types.h"
#include "duty/results.h"

namespace lichendrift::duty {

using core::Millis;

/// One provisioning request and its attempts. It is finished once the cloud has responded or the
/// holder has stopped retrying it. Machines that were provisioned without a response are found in
/// the cloud's list of machines.
class PendingProvision {
  public:
    /// A request of this holder, queued at the steady time `now`.
    PendingProvision(ProvisionRequest request, Millis now)
        : request_(std::move(request)), queued_at_(now) {}
    /// A request from an intent of an earlier holder, which may have been executed already.
    [[nodiscard]] static PendingProvision inherited(ProvisionRequest request, Millis now);

    /// The machines to provision.
    [[nodiscard]] const ProvisionRequest& request() const { return request_; }
    /// Whether an attempt is in flight.
    [[nodiscard]] bool in_flight() const { return in_flight_; }
    /// Whether no further attempt is to be made.
    [[nodiscard]] bool finished() const { return finished_; }
    /// Whether it is still retried at short intervals, so that its result can be expected soon.
    [[nodiscard]] bool result_expected_soon() const;
    /// Whether the next attempt is due.
    [[nodiscard]] bool due(Millis now) const {
        return !in_flight_ && !finished_ && retry_at_ <= now;
    }
    /// Whether it has waited too long to be sent and certainly was never executed. Never true for
    /// an inherited request, as only the holder that queued it knows whether it was sent.
    [[nodiscard]] bool outdated(Millis now) const;

    /// Starts an attempt. The caller must report its outcome to on_outcome().
    void begin_attempt();
    /// Processes the outcome of the attempt. `inherited`: the intent is one of an earlier holder,
    /// which allows more attempts.
    void on_outcome(CloudOutcome outcome, bool inherited, Millis now);
    /// Ends the request without another attempt.
    void withdraw() { finished_ = true; }

    /// Compares all fields.
    friend bool operator==(const PendingProvision&, const PendingProvision&) = default;

  private:
    ProvisionRequest request_;
    bool in_flight_ = false;
    bool finished_ = false;
    bool maybe_executed_ = false;  // an unanswered attempt may have been or may yet be executed
    int attempts_ = 0;
    Millis queued_at_ = 0;
    Millis retry_at_ = 0;
};

}  // namespace lichendrift::duty
