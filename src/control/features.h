#pragma once

#include <cstdint>

namespace lichendrift::control {

// What the cleanup duty does with records that are of no use any more.
enum class CleanupMode : std::uint8_t {
    Off,
    Report,  // says what it would remove
    Remove,
};

// What the operators switch on with a features file. All of it is off without one.
struct Features {
    // Rentals and releases of machines are fenced; see docs/duties.md.
    bool fenced_duties = false;
    CleanupMode cleanup = CleanupMode::Off;
    double cleanup_page_s = 20;  // between two pages that are looked at
};

}  // namespace lichendrift::control
