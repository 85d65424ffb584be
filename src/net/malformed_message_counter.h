#pragma once

#include <cstdint>

#include "core/types.h"
#include "events/format.h"

namespace lichendrift::net {

// Counts messages that can't be read and tells of them once in a while; the caller treats each as
// no answer. Used on the loop's thread only.
class MalformedMessageCounter {
  public:
    explicit MalformedMessageCounter(const char* from) : from_(from) {}
    void note(core::Millis now) {
        ++count_;
        if (reported_ != 0 && now - reported_ < kReportInterval) return;
        reported_ = now;
        events::log(events::MalformedMessages{from_, count_});
    }
    [[nodiscard]] std::uint64_t count() const { return count_; }

  private:
    static constexpr core::Millis kReportInterval = 5000;
    const char* from_;
    std::uint64_t count_ = 0;
    core::Millis reported_ = 0;
};

}  // namespace lichendrift::net
