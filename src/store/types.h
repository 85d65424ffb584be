#pragma once

// Settings, priorities and results of the state service client.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace lichendrift::store {

using core::Millis;

/// Priority of a request while rate limits delay requests; the first enumerator is the highest.
enum class RequestPriority : std::uint8_t {
    Leadership,  ///< election, leases, failover and duty records
    Submit,      ///< requests that users or urgent starts wait for
    Place,       ///< placement records
    Read,        ///< lookups and other requests that may wait
};

/// Number of enumerators in RequestPriority.
inline constexpr std::size_t kRequestPriorities = 4;

/// Outcome of a request.
enum class Outcome : std::uint8_t {
    Ok,           ///< executed
    Missing,      ///< no such key, lease or revision (404, 410)
    Conflict,     ///< not executed: a condition of the transaction failed (409)
    Unavailable,  ///< certainly not executed; may be retried (429, 503, or never sent)
    Rejected,     ///< certainly not executed, and retrying it unchanged is useless (400)
    Unknown,      ///< may have been executed, or may still be
};

/// Address and limits of the state service (settings `[settings.state]`).
struct StoreSettings {
    std::string address;            ///< "IP:port"
    double max_requests_per_s = 0;  ///< requests per second, all controllers together
    double max_writes_per_s = 0;    ///< written keys per second, all controllers together
    std::size_t max_transaction_operations = 0;  ///< number of keys that a transaction may write
    std::size_t max_value_bytes = 0;             ///< maximum size of a value
    /// Announced maximum size of a value, which the service will apply at some time without
    /// further notice. Rates and operations have no such second limit: the settings above are the
    /// smaller of the current and the announced limit from the start.
    std::size_t next_max_value_bytes = 0;
};

/// Fraction of a rate limit that a controller uses until its share is set.
inline constexpr double kInitialRateShare = 0.2;

/// Fractions of the service's rate limits that one controller may use.
struct RateShare {
    double requests = kInitialRateShare;  ///< fraction of the request limit, 0 to 1
    double writes = kInitialRateShare;    ///< fraction of the limit on written keys, 0 to 1
};

/// Result of a transaction.
struct TransactionResult {
    Outcome outcome = Outcome::Unknown;  ///< never `Missing`
    std::uint64_t revision = 0;          ///< revision of the written keys; with `Ok` only
    std::vector<std::string> failed;     ///< keys whose condition failed; with `Conflict` only
};

}  // namespace lichendrift::store
