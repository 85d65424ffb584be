#pragma once

#include <functional>

#include "events/event.h"

/// How the parts of a controller log: through the controller, which adds its name, role and token.
namespace lichendrift::control {

/// Logs one event. Called on the loop's thread.
using EventLog = std::function<void(const events::Event& event)>;

}  // namespace lichendrift::control
