#pragma once

#include <functional>

#include "events/event.h"

/// Logging by the components of a controller. They log through the controller, which adds its name,
/// role and fencing token.
namespace lichendrift::control {

/// Logs one event. Called on the loop's thread.
using EventLog = std::function<void(const events::Event& event)>;

}  // namespace lichendrift::control
