#pragma once

// The limits on the size of values and transactions that are in force at the state service.

#include <algorithm>
#include <optional>

#include "store/types.h"

namespace lichendrift::store {

/// Begins with the limits of the settings and lowers them when the service rejects a transaction
/// that they allow: an announced reduction comes into force without notice. Loop thread only.
class SizeLimits {
  public:
    /// The limits as the settings name them.
    explicit SizeLimits(const StoreSettings& settings);

    /// A transaction that the service has rejected (400).
    struct RejectedTransaction {
        std::size_t operations = 0;           ///< keys that it writes
        std::size_t largest_value_bytes = 0;  ///< size of its largest value
    };

    /// Lowers the limits: values first to the announced limit, then by half each time, so that
    /// nothing is sent unchanged for ever. Logs that at a bounded rate.
    void on_rejected(const RejectedTransaction& rejected, Millis now);

    /// How many keys a transaction may write.
    [[nodiscard]] std::size_t max_transaction_operations() const {
        return max_transaction_operations_;
    }
    /// Size of a value, as far as known.
    [[nodiscard]] std::size_t max_value_bytes() const { return max_value_bytes_; }
    /// Size of a value that stays allowed when an announced reduction comes into force.
    [[nodiscard]] std::size_t max_value_bytes_after_reduction() const {
        return std::min(max_value_bytes_, next_max_value_bytes_);
    }
    /// Whether the service has ever rejected a transaction that these limits allowed.
    [[nodiscard]] bool lowered() const { return lowered_; }

  private:
    std::size_t max_transaction_operations_;
    std::size_t max_value_bytes_;
    std::size_t next_max_value_bytes_;
    bool lowered_ = false;
    std::optional<Millis> logged_at_;
};

}  // namespace lichendrift::store
