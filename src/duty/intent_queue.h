#pragma once

/// @file
/// Queue of a holder's releases and provisioning requests that no intent contains yet.

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "duty/pending_provision.h"

namespace lichendrift::duty {

/// Maximum number of machines in one release request, by the cloud's protocol.
inline constexpr std::size_t kMaxReleasesPerRequest = 100;

/// Content of one intent: either releases or provisioning requests.
struct IntentBatch {
    std::vector<std::string> releases;         ///< names of machines to release
    std::vector<PendingProvision> provisions;  ///< provisioning requests to send
    /// Compares both lists.
    friend bool operator==(const IntentBatch&, const IntentBatch&) = default;
};

/// Queue of releases and provisioning requests, taken out in batches that fit into one record.
class IntentQueue {
  public:
    /// Queues the release of a machine. `urgent`: it is due at once, without waiting for others.
    void add_release(std::string machine, bool urgent, Millis now);
    /// Queues a provisioning request.
    void add_provision(PendingProvision provision);
    /// Puts the content of an intent that was never stored back into the queue, except provisioning
    /// requests that are finished.
    void requeue(IntentBatch batch, Millis queued_at);
    /// Puts a batch that was too large for a record back at the front of the queue. Later batches
    /// have at most half as many entries.
    void requeue_rejected(IntentBatch batch, Millis queued_at);

    /// Whether provisioning requests are queued.
    [[nodiscard]] bool has_provisions() const { return !provisions_.empty(); }
    /// Whether releases are queued.
    [[nodiscard]] bool has_releases() const { return !releases_.empty(); }
    /// Whether a batch of releases is due: one is urgent or has waited long enough for others, or
    /// there are enough of them for a full request.
    [[nodiscard]] bool releases_due(Millis now) const;

    /// Takes out releases for one record of at most `value_bytes`; at least one in any case.
    [[nodiscard]] IntentBatch take_releases(std::size_t value_bytes);
    /// Takes out provisioning requests for one record of at most `value_bytes`; at least one in any
    /// case.
    [[nodiscard]] IntentBatch take_provisions(std::size_t value_bytes);
    /// Drops provisioning requests that have waited too long; returns how many.
    std::size_t withdraw_outdated(Millis now);

    /// Compares the queued entries.
    friend bool operator==(const IntentQueue& left, const IntentQueue& right) {
        return left.releases_ == right.releases_ && left.provisions_ == right.provisions_;
    }

  private:
    struct QueuedRelease {
        std::string machine;
        bool urgent = false;
        Millis queued_at = 0;
        friend bool operator==(const QueuedRelease&, const QueuedRelease&) = default;
    };
    [[nodiscard]] std::size_t max_entries(std::size_t max_by_kind) const;

    std::deque<QueuedRelease> releases_;
    std::deque<PendingProvision> provisions_;
    std::size_t max_entries_ = 0;  // 0: not reduced; see requeue_rejected()
};

}  // namespace lichendrift::duty
