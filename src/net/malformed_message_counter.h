#pragma once

// Counts messages that could not be parsed and logs the count at a limited rate.

#include <cstdint>
#include <optional>

#include "core/types.h"
#include "events/format.h"

namespace lichendrift::net {

/// Counts malformed messages from one source and logs their number at most every five seconds.
/// Callers treat a malformed message as if none had arrived. Loop thread only.
class MalformedMessageCounter {
  public:
    /// `source`: sender of the messages as named in the log ("a worker"); the string must outlive
    /// the counter.
    explicit MalformedMessageCounter(const char* source) : source_(source) {}

    /// Counts one malformed message. `now`: steady time.
    void note(core::Millis now) {
        ++count_;
        if (logged_at_ && now - *logged_at_ < kLogInterval) return;
        logged_at_ = now;
        events::log(events::MalformedMessages{source_, count_});
    }

    /// Number of malformed messages since construction.
    [[nodiscard]] std::uint64_t count() const { return count_; }

  private:
    static constexpr core::Millis kLogInterval = 5000;
    const char* source_;
    std::uint64_t count_ = 0;
    std::optional<core::Millis> logged_at_;
};

}  // namespace lichendrift::net
