#pragma once

#include <algorithm>

#include "control/settings.h"
#include "store/store_client.h"

// Times and shares that several parts of a controller have to agree on.
namespace lichendrift::control {

// The leader's lease in the state service. Longer, a crash costs more time without a leader;
// shorter, a slow answer of the state service costs the lead.
inline constexpr core::Millis kLeaderLease = 3000;

// A leader that was heard within this time counts as there.
inline constexpr core::Millis kLeaderFresh = 2500;

// How long before the bound on unknown cancellations leases are no longer renewed, and the least
// time for which they are, where the settings leave none.
inline constexpr core::Millis kCancellationMargin = 1000;
inline constexpr core::Millis kMinRenewalTime = 3000;

// Parts of the state service's limits. Most changes are the leader's; followers only write what
// users ask of them. Together all keep below the limits, as clocks and bursts differ.
inline constexpr store::RateShare kLeaderShare = {0.5, 0.65};
inline constexpr store::RateShare kSharedOut = {0.92, 0.95};
inline constexpr double kMaxFollowerShare = 0.2;

[[nodiscard]] inline store::RateShare follower_share(const Settings& settings) {
    if (settings.size <= 1) return kLeaderShare;
    const auto followers = static_cast<double>(settings.size - 1);
    const auto part = [&](double all, double leader) {
        return std::min(kMaxFollowerShare, (all - leader) / followers);
    };
    return {part(kSharedOut.requests, kLeaderShare.requests),
            part(kSharedOut.writes, kLeaderShare.writes)};
}

}  // namespace lichendrift::control
