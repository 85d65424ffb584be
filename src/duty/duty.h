#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Duties: work that one controller at a time may do for all. Each has a durable record with its
// holder and an epoch that only rises; see docs/duties.md.
namespace lichendrift::duty {

enum class Duty : std::uint8_t {
    Provisioning,  // renting machines and giving them back at the cloud
    Reclaiming,    // deciding that a machine is taken from work and released
    Cleanup,       // removing old state
};

// Numbers the holders of a duty. 0: no epoch, the duty is not fenced.
using Epoch = std::uint64_t;

// A key of the state service together with the revision that it has to have.
struct RecordVersion {
    std::string key;
    std::uint64_t revision = 0;
    auto operator<=>(const RecordVersion&) const = default;
};

// The durable record of a duty. It stays when its holder goes, so that the epoch never goes back.
struct DutyRecord {
    std::string holder;
    Epoch epoch = 0;
    std::uint64_t nonce = 0;  // tells an applied write from a lost one
    auto operator<=>(const DutyRecord&) const = default;
};

// Machines to rent. The name makes the request the same one however often it is sent.
struct ProvisionRequest {
    std::string request;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t number = 0;
    auto operator<=>(const ProvisionRequest&) const = default;
};

// What a holder is about to ask of the cloud, durable before it asks. Either kind may be empty.
struct Intent {
    Epoch epoch = 0;
    std::uint64_t nonce = 0;
    std::vector<std::string> releases;  // machines to give back
    std::vector<ProvisionRequest> provisions;
    auto operator<=>(const Intent&) const = default;
};

// A stored intent as it was read. One that cannot be understood still names machines, if any can
// be made out.
struct StoredIntent {
    std::string key;
    std::uint64_t revision = 0;
    bool damaged = false;
    Intent intent;
};

inline constexpr std::string_view kDutyPrefix = "duty/";
inline constexpr std::string_view kIntentPrefix = "intent/";
// Kept under the lease of the controller that cleans up.
inline constexpr std::string_view kCleanupLeaseKey = "lease/cleanup";

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

[[nodiscard]] inline std::string record_key(Duty duty) {
    return std::string(kDutyPrefix) + std::string(name_of(duty));
}

[[nodiscard]] inline std::string intent_key(std::uint32_t slot) {
    return std::string(kIntentPrefix) + std::to_string(slot);
}

}  // namespace lichendrift::duty
