#pragma once

/// @file
/// Duties: kinds of work that only one controller at a time may do on behalf of all controllers.
/// The record of a duty in the state service names its holder and an epoch, a fencing token that
/// increases with each holder; see docs/duties.md.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::duty {

/// Kinds of work that only one controller at a time may do.
enum class Duty : std::uint8_t {
    Provisioning,  ///< sending the cloud requests to provision and release machines
    Reclaiming,    ///< deciding that a machine gets no more work and is to be released
    Cleanup,       ///< removing obsolete records from the state service
};

/// Fencing token of a duty; each holder has a higher one than the holder before. 0: not fenced.
using Epoch = std::uint64_t;

/// A condition of a transaction: a key of the state service and the revision it must have.
struct RecordVersion {
    std::string key;             ///< key in the state service
    std::uint64_t revision = 0;  ///< 0: the key must not exist
    /// Orders by key, then revision.
    auto operator<=>(const RecordVersion&) const = default;
};

/// The durable record of a duty. It is kept when its holder ends, so that the epoch never
/// decreases.
struct DutyRecord {
    std::string holder;       ///< member name of the controller that holds the duty
    Epoch epoch = 0;          ///< epoch of this holder
    std::uint64_t nonce = 0;  ///< tells the holder whether an unanswered write was applied
    /// Compares all fields.
    auto operator<=>(const DutyRecord&) const = default;
};

/// A request to provision machines. Its id makes it idempotent: the cloud executes it once, however
/// often it is sent.
struct ProvisionRequest {
    std::string id;           ///< name of the request, never used twice
    std::string type;         ///< machine type
    std::string zone;         ///< zone to provision them in
    bool spot = false;        ///< preemptible instances
    std::uint32_t count = 0;  ///< number of machines
    /// Compares all fields.
    auto operator<=>(const ProvisionRequest&) const = default;
};

/// The requests that a holder is about to send to the cloud. It is stored before they are sent, so
/// that the next holder can finish them. Either list may be empty.
struct Intent {
    Epoch epoch = 0;                           ///< epoch of the holder that wrote it
    std::uint64_t nonce = 0;                   ///< distinguishes the writes of one holder
    std::vector<std::string> releases;         ///< names of machines to release
    std::vector<ProvisionRequest> provisions;  ///< machines to provision
    /// Compares all fields.
    auto operator<=>(const Intent&) const = default;
};

/// An intent as read from the state service. A damaged one holds the entries that could be parsed.
struct StoredIntent {
    std::string key;             ///< key in the state service
    std::uint64_t revision = 0;  ///< revision of the record
    bool damaged = false;        ///< the value could not be parsed completely
    Intent intent;               ///< the content, as far as it could be parsed
};

/// Key prefix of the records of duties.
inline constexpr std::string_view kDutyPrefix = "duty/";
/// Key prefix of the records of intents.
inline constexpr std::string_view kIntentPrefix = "intent/";
/// Key that exists while a controller holds the lease for the cleanup duty.
inline constexpr std::string_view kCleanupLeaseKey = "lease/cleanup";

/// The name of a duty in keys and in the log.
[[nodiscard]] inline std::string_view name_of(Duty duty) {
    switch (duty) {
        case Duty::Provisioning:
            return "provisioning";
        case Duty::Reclaiming:
            return "reclaiming";
        case Duty::Cleanup:
            return "cleanup";
    }
    return "";
}

/// Key of the record of a duty.
[[nodiscard]] inline std::string record_key(Duty duty) {
    return std::string(kDutyPrefix) + std::string(name_of(duty));
}

/// Key of the record of the intent in a slot.
[[nodiscard]] inline std::string intent_key(std::uint32_t slot) {
    return std::string(kIntentPrefix) + std::to_string(slot);
}

}  // namespace lichendrift::duty
