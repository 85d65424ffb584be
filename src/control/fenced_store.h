#pragma once

/// @file
/// Converts the typed writes and results of duties to and from those of the state service's client.

#include "duty/fence.h"
#include "duty/results.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// Parses the record of a duty that was read. `outcome` is that of the read.
[[nodiscard]] duty::DutyReadResult duty_read_result(store::Outcome outcome, const wire::Item& item);
/// Parses an intent that was read. A damaged intent keeps the fields that could be parsed.
[[nodiscard]] duty::IntentReadResult intent_read_result(store::Outcome outcome,
                                                        const wire::Item& item);

/// Sends a write as one transaction; `done` is called once with its result.
void send_write(store::StoreClient& store, store::RequestPriority priority,
                const duty::FencedWrite& write, std::function<void(duty::WriteResult)> done);

}  // namespace lichendrift::control
