// Attempts and retries of a provisioning request.
#include "duty/pending_provision.h"

namespace lichendrift::duty {

namespace {

constexpr Millis kRetryMs = 1000;
constexpr Millis kSlowRetryMs = 5000;
constexpr Millis kOutdatedAfterMs = 8000;
constexpr int kMaxQuickAttempts = 6;  // further attempts are kSlowRetryMs apart
constexpr int kMaxInheritedAttempts = 30;

}  // namespace

PendingProvision PendingProvision::inherited(ProvisionRequest request, Millis now) {
    PendingProvision provision(std::move(request), now);
    provision.maybe_executed_ = true;
    return provision;
}

bool PendingProvision::result_expected_soon() const {
    return !finished_ && attempts_ <= kMaxQuickAttempts;
}

bool PendingProvision::outdated(Millis now) const {
    return !in_flight_ && !maybe_executed_ && !finished_ && now - queued_at_ > kOutdatedAfterMs;
}

void PendingProvision::begin_attempt() {
    in_flight_ = true;
    ++attempts_;
}

void PendingProvision::on_outcome(CloudOutcome outcome, bool inherited, Millis now) {
    in_flight_ = false;
    maybe_executed_ |= outcome == CloudOutcome::NoAnswer;
    const bool responded = outcome == CloudOutcome::Done || outcome == CloudOutcome::NoCapacity;
    const auto max_attempts = inherited ? kMaxInheritedAttempts : kMaxQuickAttempts;
    finished_ = responded || !maybe_executed_ || attempts_ > max_attempts;
    retry_at_ = now + (attempts_ > kMaxQuickAttempts ? kSlowRetryMs : kRetryMs);
}

}  // namespace lichendrift::duty
