// The newest cancellations that this node has learned of.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <vector>

#include "wire/peer_messages.h"

namespace lichendrift::control {

/// A bounded log of cancellations, in the order in which this node learned of them. Peers that
/// cannot read the state service query it; complete_after() tells them which part is complete.
class CancellationLog {
  public:
    /// Adds a cancellation; drops the oldest one if the log is full.
    void append(wire::Cancellation cancellation);
    /// At most `limit` cancellations with a higher revision than `revision`, newest first.
    [[nodiscard]] std::vector<wire::Cancellation> newest_after(std::uint64_t revision,
                                                               std::size_t limit) const;
    /// The log contains every cancellation with a higher revision than this that this node may have
    /// announced, also before a restart. The maximum value: no part is known to be complete.
    [[nodiscard]] std::uint64_t complete_after() const { return complete_after_; }
    /// Called after all open jobs were read at `revision`. Cancellations that this node announced
    /// up to there, also before a restart, are reflected in that read and not needed from the log.
    void set_complete_after(std::uint64_t revision) { complete_after_ = revision; }

  private:
    std::deque<wire::Cancellation> cancellations_;  // oldest first
    std::uint64_t complete_after_ = std::numeric_limits<std::uint64_t>::max();
};

}  // namespace lichendrift::control
