#pragma once

#include <algorithm>

#include "control/settings.h"
#include "store/store_client.h"

/// Times and shares that several parts of a controller have to agree on.
namespace lichendrift::control {

/// Duration of the leader lease in the state service, in milliseconds. Longer, a crash costs more
/// time without a leader; shorter, a slow answer of the state service costs the leader its term.
inline constexpr core::Millis kLeaderLeaseMs = 3000;

/// A leader from which nothing came for longer than these milliseconds counts as silent.
inline constexpr core::Millis kLeaderSilenceTimeoutMs = 2500;

/// Workers' leases are renewed until so many milliseconds before the bound on cancellations that
/// may not be known here (docs/design.md, "A cancellation that the acting leader cannot see").
inline constexpr core::Millis kCancellationMarginMs = 1000;
/// For how many milliseconds without such knowledge leases are renewed at least, where the settings
/// leave less.
inline constexpr core::Millis kMinRenewalWindowMs = 3000;

/// The leader's part of the state service's rate limits: most writes are the leader's, followers
/// only write what users ask of them.
inline constexpr store::RateShare kLeaderShare = {0.5, 0.65};
/// The parts of all controllers together: below the limits, as clocks and bursts differ.
inline constexpr store::RateShare kAllControllersShare = {0.92, 0.95};
/// The greatest part of a follower, 0 to 1.
inline constexpr double kMaxFollowerShare = 0.2;

/// A follower's part of the state service's rate limits.
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
