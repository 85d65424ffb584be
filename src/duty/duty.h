#pragma once

/// @file
/// Duties: work that one controller at a time may do for all. Each has a durable record with its
/// holder and an epoch that only rises; see docs/duties.md.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::duty {

/// Work that one controller at a time may do.
enum class Duty : std::uint8_t {
    Provisioning,  ///< requests to the cloud: machines are provisioned and released
    Reclaiming,    ///< deciding that a machine gets no more work and is released
    Cleanup,       ///< removing stored records of no use
};

/// Numbers the holders of a duty. 0: no epoch, the duty is not fenced.
using Epoch = std::uint64_t;

/// A key of the state service together with the revision that it has to have.
struct RecordVersion {
    std::string key;             ///< key in the state service
    std::uint64_t revision = 0;  ///< 0: the key must not exist
    /// Orders by key, then revision.
    auto operator<=>(const RecordVersion&) const = default;
};

/// The durable record of a duty. It stays when its holder goes, so that the epoch never goes back.
struct DutyRecord {
    std::string holder;       ///< member name of the controller
    Epoch epoch = 0;          ///< of this holder
    std::uint64_t nonce = 0;  ///< distinguishes an applied write from a lost one
    /// Compares all fields.
    auto operator<=>(const DutyRecord&) const = default;
};

/// A request to provision machines. Its name makes it idempotent: the cloud executes it once,
/// however often it is sent.
struct ProvisionRequest {
    std::string id;           ///< name of the request
    std::string type;         ///< machine type
    std::string zone;         ///< where the machines are to be
    bool spot = false;        ///< preemptible instances
    std::uint32_t count = 0;  ///< how many machines
    /// Compares all fields.
    auto operator<=>(const ProvisionRequest&) const = default;
};

/// What a holder is about to request from the cloud, durable before the request. Either list may
/// be empty.
struct Intent {
    Epoch epoch = 0;                           ///< of the holder that wrote it
    std::uint64_t nonce = 0;                   ///< distinguishes the writes of one holder
    std::vector<std::string> releases;         ///< names of machines to release
    std::vector<ProvisionRequest> provisions;  ///< machines to provision
    /// Compares all fields.
    auto operator<=>(const Intent&) const = default;
};

/// A stored intent as it was read. A damaged one still names machines, if any can be made out.
struct StoredIntent {
    std::string key;             ///< key in the state service
    std::uint64_t revision = 0;  ///< of the record
    bool damaged = false;        ///< the value is not what a holder writes
    Intent intent;               ///< the content, as far as it is readable
};

/// Prefix of the records of duties.
inline constexpr std::string_view kDutyPrefix = "duty/";
/// Prefix of intents.
inline constexpr std::string_view kIntentPrefix = "intent/";
/// Exists under the lease of the controller that cleans up.
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

/// Key of the intent in a slot.
[[nodiscard]] inline std::string intent_key(std::uint32_t slot) {
    return std::string(kIntentPrefix) + std::to_string(slot);
}

}  // namespace lichendrift::duty
