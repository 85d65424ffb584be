#pragma once

#include <algorithm>

#include "control/settings.h"
#include "store/store_client.h"

/// Durations and rate shares that several components of a controller must agree on.
namespace lichendrift::control {

/// Duration of the leader lease in the state service, in milliseconds. A longer lease means more
/// time without a leader after a crash; with a shorter one, a slow answer of the state service ends
/// the leader's term.
inline constexpr core::Millis kLeaderLeaseMs = 3000;

/// A leader that has not been heard from for longer than this counts as silent, in milliseconds.
inline constexpr core::Millis kLeaderSilenceTimeoutMs = 2500;

/// Safety margin in milliseconds: renewals of workers' leases stop this long before a renewed lease
/// could outlast `cancel_s` after a cancellation that is not known here (docs/design.md, "A
/// cancellation that the acting leader cannot see").
inline constexpr core::Millis kCancellationMarginMs = 1000;
/// Minimum time in milliseconds for which workers' leases are renewed without newer knowledge of
/// cancellations, if the settings `cancel_s` and `lease_s` leave less time than this.
inline constexpr core::Millis kMinRenewalWindowMs = 3000;

/// The leader's share of the state service's rate limits. Most writes are the leader's; followers
/// only write what users request.
inline constexpr store::RateShare kLeaderShare = {0.5, 0.65};
/// The shares of all controllers together, kept below the limits because clocks and bursts differ.
inline constexpr store::RateShare kAllControllersShare = {0.92, 0.95};
/// Upper bound on a follower's share, 0 to 1.
inline constexpr double kMaxFollowerShare = 0.2;

/// A follower's share of the state service's rate limits.
[[nodiscard]] inline store::RateShare follower_share(const Settings& settings) {
    if (settings.size <= 1) return kLeaderShare;
    const auto followers = static_cast<double>(settings.size - 1);
    const auto share_per_follower = [followers](double total, double leader) {
        return std::min(kMaxFollowerShare, (total - leader) / followers);
    };
    return {share_per_follower(kAllControllersShare.requests, kLeaderShare.requests),
            share_per_follower(kAllControllersShare.writes, kLeaderShare.writes)};
}

}  // namespace lichendrift::control
