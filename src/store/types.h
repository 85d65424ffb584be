#pragma once

// What the client of the state service takes and returns.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace lichendrift::store {

using core::Millis;

/// Order in which requests are sent while a rate limit holds some of them back: the first
/// enumerator first.
enum class RequestPriority : std::uint8_t {
    Leadership,  ///< election, leases, failover and records of duties
    Submit,      ///< what users or urgent starts wait for
    Place,       ///< placement records
    Read,        ///< lookups and what may wait
};

/// How many enumerators RequestPriority has.
inline constexpr std::size_t kRequestPriorities = 4;

/// How a request ended.
enum class Outcome : std::uint8_t {
    Ok,           ///< executed
    Missing,      ///< no such key, lease or revision (404, 410)
    Conflict,     ///< not executed: a condition of the transaction failed (409)
    Unavailable,  ///< certainly not executed; may be tried again (429, 503, or never sent)
    Rejected,     ///< certainly not executed, and the same request never will be (400)
    Unknown,      ///< may have been executed, or may still be
};

/// Address and limits of the state service (settings `[settings.state]`).
struct StoreSettings {
    std::string address;                         ///< "IP:port"
    double max_requests_per_s = 0;               ///< of all controllers together
    double max_writes_per_s = 0;                 ///< keys written, of all controllers together
    std::size_t max_transaction_operations = 0;  ///< keys that one transaction may write
    std::size_t max_value_bytes = 0;             ///< size of a value
    /// The limit on values that will be in force from some moment on, without notice. Rates and
    /// operations need no such pair: those above are the smaller ones of both from the start.
    std::size_t next_max_value_bytes = 0;
};

/// The part of a rate limit that a controller uses until it has its own.
inline constexpr double kInitialRateShare = 0.2;

/// The part of the service's rate limits that one controller may use.
struct RateShare {
    double requests = kInitialRateShare;  ///< of the limit on requests, 0 to 1
    double writes = kInitialRateShare;    ///< of the limit on written keys, 0 to 1
};

/// How a transaction ended.
struct TransactionResult {
    Outcome outcome = Outcome::Unknown;  ///< never `Missing`
    std::uint64_t revision = 0;          ///< of the written keys; with `Ok` only
    std::vector<std::string> failed;     ///< keys whose condition failed; with `Conflict` only
};

}  // namespace lichendrift::store
