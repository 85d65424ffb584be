#pragma once

// Tracks the state service's current limits on the sizes of values and transactions.

#include <algorithm>
#include <optional>

#include "store/types.h"

namespace lichendrift::store {

/// Starts with the limits from the settings and lowers them when the service rejects a transaction
/// within them, because the service applies an announced reduction without further notice. Loop
/// thread only.
class SizeLimits {
  public:
    /// Copies the current and the announced limits from the settings.
    explicit SizeLimits(const StoreSettings& settings);

    /// A transaction that the service has rejected (400).
    struct RejectedTransaction {
        std::size_t operations = 0;           ///< number of keys that it writes
        std::size_t largest_value_bytes = 0;  ///< size of its largest value
    };

    /// Lowers a limit so that the rejected transaction is not sent unchanged for ever: the value
    /// size first to the announced limit, then to half of the rejected size; if all values are
    /// small, the number of operations. Logs the new limits at a limited rate. `now`: steady time.
    void on_rejected(const RejectedTransaction& rejected, Millis now);

    /// Maximum number of keys that a transaction may write.
    [[nodiscard]] std::size_t max_transaction_operations() const {
        return max_transaction_operations_;
    }
    /// Current maximum size of a value in bytes, as far as known.
    [[nodiscard]] std::size_t max_value_bytes() const { return max_value_bytes_; }
    /// Maximum size of a value in bytes that is still allowed once the announced reduction is in
    /// force.
    [[nodiscard]] std::size_t max_value_bytes_after_reduction() const {
        return std::min(max_value_bytes_, next_max_value_bytes_);
    }
    /// Whether the service has ever rejected a transaction because of its size.
    [[nodiscard]] bool lowered() const { return lowered_; }

  private:
    std::size_t max_transaction_operations_;
    std::size_t max_value_bytes_;
    std::size_t next_max_value_bytes_;
    bool lowered_ = false;
    std::optional<Millis> logged_at_;
};

}  // namespace lichendrift::store
