#pragma once

#include <string>

#include "events/event.h"

namespace lichendrift::events {

/// The log level of an event.
enum class Level : std::uint8_t {
    Info,   ///< written if LOG_LEVEL is `info` or `debug`
    Debug,  ///< written if LOG_LEVEL is `debug`
};

/// The level that an event is logged at; it depends on the event's type only.
[[nodiscard]] Level level_of(const Event& event);

/// Renders an event as `event=NAME field=value ...`. A value that is empty or contains spaces,
/// quotes, backslashes, `=` or control characters is put in double quotes with backslash escapes.
/// Fields that do not apply are omitted.
[[nodiscard]] std::string format(const Event& event);

/// Whether the event's level is enabled in the process's log.
[[nodiscard]] bool is_logged(const Event& event);

/// Writes the event to the process's log if its level is enabled. Loop thread only.
void log(const Event& event);

}  // namespace lichendrift::events
