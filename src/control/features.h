#pragma once

#include <cstdint>

namespace lichendrift::control {

/// What the cleanup duty does with records that are of no use any more.
enum class CleanupMode : std::uint8_t {
    Off,     ///< the duty is not taken
    Report,  ///< logs what it would remove
    Remove,  ///< removes them
};

/// Default of Features::cleanup_page_s.
inline constexpr double kDefaultCleanupPageS = 20;

/// What the operators switch on with a features file. Without one all of it is off.
struct Features {
    /// Requests to provision and to release machines are fenced; see docs/duties.md.
    bool fenced_duties = false;
    /// The duty of removing useless records; see docs/duties.md.
    CleanupMode cleanup = CleanupMode::Off;
    /// Between two pages of records that the cleanup duty looks at, in seconds.
    double cleanup_page_s = kDefaultCleanupPageS;
};

}  // namespace lichendrift::control
