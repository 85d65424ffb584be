#pragma once

/// @file
/// What a holder wants to request from the cloud and has not put into an intent yet.

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "duty/pending_provision.h"

namespace lichendrift::duty {

/// What one request to the cloud may release, by the protocol.
inline constexpr std::size_t kMaxReleasesPerRequest = 100;

/// The content of one intent: releases or provisioning requests.
struct IntentBatch {
    std::vector<std::string> releases;         ///< machines to release
    std::vector<PendingProvision> provisions;  ///< requests to make
    /// Compares both lists.
    friend bool operator==(const IntentBatch&, const IntentBatch&) = default;
};

/// Waiting releases and provisioning requests, taken out in batches of the size of a record.
class IntentQueue {
  public:
    /// Adds a machine to release. `urgent`: its batch does not wait for further machines.
    void add_release(std::string machine, bool urgent, Millis now);
    /// Adds a provisioning request.
    void add_provision(PendingProvision provision);
    /// Adds again what stood in an intent that was never durable.
    void requeue(IntentBatch batch, Millis wanted_at);
    /// Takes back a batch that was too large for a record. From now on batches have half its size.
    void divide(IntentBatch batch, Millis wanted_at);

    /// Whether provisioning requests wait.
    [[nodiscard]] bool has_provisions() const { return !provisions_.empty(); }
    /// Whether releases wait.
    [[nodiscard]] bool has_releases() const { return !releases_.empty(); }
    /// Whether releases wait that are urgent, many, or have waited for further ones long enough.
    [[nodiscard]] bool releases_due(Millis now) const;

    /// Takes out releases for one record of at most `value_bytes`, but always one.
    [[nodiscard]] IntentBatch take_releases(std::size_t value_bytes);
    /// Takes out provisioning requests for one record of at most `value_bytes`, but always one.
    [[nodiscard]] IntentBatch take_provisions(std::size_t value_bytes);
    /// Drops provisioning requests that waited for too long; returns how many.
    std::size_t withdraw_outdated(Millis now);

    /// Compares what waits.
    friend bool operator==(const IntentQueue& left, const IntentQueue& right) {
        return left.releases_ == right.releases_ && left.provisions_ == right.provisions_;
    }

  private:
    struct WaitingRelease {
        std::string machine;
        bool urgent = false;
        Millis wanted_at = 0;
        friend bool operator==(const WaitingRelease&, const WaitingRelease&) = default;
    };
    [[nodiscard]] std::size_t max_entries(std::size_t max_by_kind) const;

    std::deque<WaitingRelease> releases_;
    std::deque<PendingProvision> provisions_;
    std::size_t max_entries_ = 0;  // 0: not reduced yet; see divide()
};

}  // namespace lichendrift::duty
