#pragma once

/// @file
/// One provisioning request from the time it is wanted until nothing more is to be done for it.

#include "core/types.h"
#include "duty/results.h"

namespace lichendrift::duty {

using core::Millis;

/// One provisioning request with its attempts. It is settled once the cloud has responded, or once
/// it is given up: machines that were provisioned without a response show in the cloud's list.
class PendingProvision {
  public:
    /// A request of this holder.
    PendingProvision(ProvisionRequest request, Millis now)
        : request_(std::move(request)), wanted_at_(now) {}
    /// A request that an earlier holder left: it may have been executed.
    [[nodiscard]] static PendingProvision inherited(ProvisionRequest request, Millis now);

    /// What is requested.
    [[nodiscard]] const ProvisionRequest& request() const { return request_; }
    /// Whether the cloud has not responded to an attempt yet.
    [[nodiscard]] bool in_flight() const { return in_flight_; }
    /// Whether nothing more is to be done.
    [[nodiscard]] bool settled() const { return settled_; }
    /// Whether its result can be expected soon.
    [[nodiscard]] bool awaited() const;
    /// Whether an attempt is due.
    [[nodiscard]] bool due(Millis now) const {
        return !in_flight_ && !settled_ && retry_at_ <= now;
    }
    /// Whether it waited for too long and certainly was never sent. Only its holder can know that.
    [[nodiscard]] bool outdated(Millis now) const;

    /// An attempt is made. on_outcome() has to follow.
    void begin_attempt();
    /// The cloud's response to the attempt. `inherited`: the intent is of an earlier holder.
    void on_outcome(CloudOutcome outcome, bool inherited, Millis now);
    /// Gives it up.
    void withdraw() { settled_ = true; }

    /// Compares all fields.
    friend bool operator==(const PendingProvision&, const PendingProvision&) = default;

  private:
    ProvisionRequest request_;
    bool in_flight_ = false;
    bool settled_ = false;
    bool unanswered_ = false;  // an earlier attempt may have been executed, or may still be
    int attempts_ = 0;
    Millis wanted_at_ = 0;
    Millis retry_at_ = 0;
};

}  // namespace lichendrift::duty
