#pragma once

// Counts messages that could not be parsed, and logs the count at a bounded rate.

#include <cstdint>
#include <optional>

#include "core/types.h"
#include "events/format.h"

namespace lichendrift::net {

/// Counts malformed messages of one source and logs their number every five seconds at most. The
/// caller treats each of them as no answer. Loop thread only.
class MalformedMessageCounter {
  public:
    /// `source`: who sends the messages, as the log names it ("a worker"). Must outlive this.
    explicit MalformedMessageCounter(const char* source) : source_(source) {}

    /// Counts one more. `now`: steady time.
    void note(core::Millis now) {
        ++count_;
        if (logged_at_ && now - *logged_at_ < kLogInterval) return;
        logged_at_ = now;
        events::log(events::MalformedMessages{source_, count_});
    }

    /// How many there were since the start.
    [[nodiscard]] std::uint64_t count() const { return count_; }

  private:
    static constexpr core::Millis kLogInterval = 5000;
    const char* source_;
    std::uint64_t count_ = 0;
    std::optional<core::Millis> logged_at_;
};

}  // namespace lichendrift::net
