#pragma once

#include <string>

#include "events/event.h"

namespace lichendrift::events {

/// At which LOG_LEVEL an event is written.
enum class Level : std::uint8_t {
    Info,   ///< with `info` and `debug`
    Debug,  ///< with `debug` only
};

/// The level of an event.
[[nodiscard]] Level level_of(const Event& event);

/// `event=NAME field=value ...`. A value with spaces, quotes, `=` or control characters, and an
/// empty one, is put in double quotes with backslash escapes. Fields that do not apply are left
/// out.
[[nodiscard]] std::string format(const Event& event);

/// Whether the log takes events of this level.
[[nodiscard]] bool is_logged(const Event& event);

/// Writes the event to the process's log if its level is wanted. Loop thread only.
void log(const Event& event);

}  // namespace lichendrift::events
