#pragma once

#include <cstdint>

namespace lichendrift::control {

/// What the cleanup duty does with records that are no longer needed.
enum class CleanupMode : std::uint8_t {
    Off,     ///< this controller does not take the duty
    Report,  ///< logs what it would remove
    Remove,  ///< removes them
};

/// Default of Features::cleanup_page_s.
inline constexpr double kDefaultCleanupPageS = 20;

/// Features that operators switch on with a features file. Without a file all of them are off.
struct Features {
    /// Whether requests to provision and to release machines are fenced: each needs an intent that
    /// is stored first, by a write that fails once another controller holds the duty. See
    /// docs/duties.md.
    bool fenced_duties = false;
    /// Mode of the cleanup duty, which removes records that are no longer needed. See
    /// docs/duties.md.
    CleanupMode cleanup = CleanupMode::Off;
    /// Interval at which the cleanup duty checks a page of records, in seconds.
    double cleanup_page_s = kDefaultCleanupPageS;
};

}  // namespace lichendrift::control
