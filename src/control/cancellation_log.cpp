// The newest cancellations that this node has learned of.
#include "control/cancellation_log.h"

#include <algorithm>
#include <utility>

namespace lichendrift::control {

namespace {

constexpr std::size_t kMaxCancellations = 4000;

}  // namespace

void CancellationLog::append(wire::Cancellation cancellation) {
    cancellations_.push_back(std::move(cancellation));
    if (cancellations_.size() > kMaxCancellations) {
        complete_after_ = std::max(complete_after_, cancellations_.front().revision);
        cancellations_.pop_front();
    }
}

std::vector<wire::Cancellation> CancellationLog::newest_after(std::uint64_t revision,
                                                              std::size_t limit) const {
    std::vector<wire::Cancellation> result;
    for (auto it = cancellations_.rbegin(); it != cancellations_.rend() && result.size() < limit;
         ++it) {
        if (it->revision > revision) result.push_back(*it);
    }
    return result;
}

}  // namespace lichendrift::control
