// Lowers the size limits after rejected transactions.
#include "store/size_limits.h"

#include "events/format.h"

namespace lichendrift::store {

namespace {

// Limits are not lowered further than this; smaller transactions are unlikely to be rejected
// because of their size.
constexpr std::size_t kMinValueBytes = 512;
constexpr std::size_t kMinOperations = 2;
constexpr Millis kLogInterval = 3000;

}  // namespace

SizeLimits::SizeLimits(const StoreSettings& settings)
    : max_transaction_operations_(settings.max_transaction_operations),
      max_value_bytes_(settings.max_value_bytes),
      next_max_value_bytes_(settings.next_max_value_bytes) {}

void SizeLimits::on_rejected(const RejectedTransaction& rejected, Millis now) {
    lowered_ = true;
    if (rejected.largest_value_bytes > next_max_value_bytes_) {
        max_value_bytes_ = max_value_bytes_after_reduction();
    } else if (rejected.largest_value_bytes > kMinValueBytes) {
        max_value_bytes_ = std::max(kMinValueBytes, rejected.largest_value_bytes / 2);
    } else if (rejected.operations > kMinOperations) {
        max_transaction_operations_ = std::max(kMinOperations, rejected.operations / 2);
    }
    if (logged_at_ && now - *logged_at_ < kLogInterval) return;
    logged_at_ = now;
    events::log(events::StateLimitsLowered{rejected.operations, rejected.largest_value_bytes,
                                           max_transaction_operations_, max_value_bytes_});
}

}  // namespace lichendrift::store
