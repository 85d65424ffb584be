#pragma once

/// @file
/// What a holder of machine duties wants done outside the process. Each action is under way until
/// its result is handed in to the holder.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "duty/fence.h"

namespace lichendrift::duty {

/// Read the record of a duty.
struct ReadDuty {
    Duty duty;  ///< whose record
};

/// Read a page of the intents that earlier holders left.
struct ReadIntents {
    std::string since;  ///< the last key of the page before; empty: the first page
};

/// Read one intent back, as the result of a write to it is unknown.
struct ReadIntent {
    std::uint32_t slot;  ///< its number
};

/// Write the record of a duty.
struct WriteDuty {
    Duty duty;          ///< whose record
    FencedWrite write;  ///< the transaction
};

/// Write one intent.
struct WriteIntent {
    std::uint32_t slot;  ///< its number
    FencedWrite write;   ///< the transaction
};

/// Remove settled intents.
struct RemoveIntents {
    std::vector<std::uint32_t> slots;  ///< their numbers
    FencedWrite write;                 ///< the transaction
};

/// Release machines at the cloud.
struct RequestRelease {
    std::uint32_t slot;     ///< the intent behind the request
    FencedRelease request;  ///< the request
};

/// Provision machines at the cloud.
struct RequestProvision {
    std::uint32_t slot;       ///< the intent behind the request
    FencedProvision request;  ///< the request
};

/// Any of them.
using Action = std::variant<ReadDuty, ReadIntents, ReadIntent, WriteDuty, WriteIntent,
                            RemoveIntents, RequestRelease, RequestProvision>;

}  // namespace lichendrift::duty
