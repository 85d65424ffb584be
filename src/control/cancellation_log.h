// The newest cancellations that this node has learned of.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <vector>

#include "wire/peer_messages.h"

namespace lichendrift::control {

/// A bounded log of cancellations in the order in which this node learned of them. Peers that
/// cannot read the state service ask for it; complete_after() tells them which part is whole.
class CancellationLog {
  public:
    /// Adds a cancellation; the oldest is dropped beyond the bound.
    void append(wire::Cancellation cancellation);
    /// At most `limit` cancellations of a later revision than `revision`, newest first.
    [[nodiscard]] std::vector<wire::Cancellation> newest_after(std::uint64_t revision,
                                                               std::size_t limit) const;
    /// The log misses no cancellation of a later revision than this one that any run of this node
    /// may have announced. The largest number while nothing is known to be complete.
    [[nodiscard]] std::uint64_t complete_after() const { return complete_after_; }
    /// All open jobs were read at `revision`: what was announced up to there, by earlier runs of
    /// this node too, is contained in that read and no longer needed from the log.
    void set_complete_after(std::uint64_t revision) { complete_after_ = revision; }

  private:
    std::deque<wire::Cancellation> cancellations_;  // oldest first
    std::uint64_t complete_after_ = std::numeric_limits<std::uint64_t>::max();
};

}  // namespace lichendrift::control
