#pragma once

#include "duty/claim.h"
#include "store/store_client.h"

// How typed writes and results of duties travel through the client of the state service.
namespace lichendrift::control {

[[nodiscard]] duty::ReadOutcome read_outcome(store::Outcome outcome);
[[nodiscard]] duty::WriteResult write_result(const store::TransactionResult& result);

void send_write(store::StoreClient& store, store::RequestPriority priority,
                const duty::FencedWrite& write, std::function<void(duty::WriteResult)> done);

}  // namespace lichendrift::control
