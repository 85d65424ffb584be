#pragma once

/// @file
/// How typed writes and results of duties travel through the client of the state service.

#include "duty/fence.h"
#include "duty/results.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// The record of a duty, parsed.
[[nodiscard]] duty::DutyReadResult duty_read_result(store::Outcome outcome, const wire::Item& item);
/// An intent, parsed. A damaged one keeps what could be made out of it.
[[nodiscard]] duty::IntentReadResult intent_read_result(store::Outcome outcome,
                                                        const wire::Item& item);

/// Sends a write; `done` gets its result.
void send_write(store::StoreClient& store, store::RequestPriority priority,
                const duty::FencedWrite& write, std::function<void(duty::WriteResult)> done);

}  // namespace lichendrift::control
