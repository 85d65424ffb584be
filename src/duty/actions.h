#pragma once

/// @file
/// Actions that a MachineDutyHolder asks its driver to carry out: reads and writes of the state
/// service and requests to the cloud. An action is in flight until its result is passed to the
/// holder.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "duty/fence.h"

namespace lichendrift::duty {

/// Read the record of a duty.
struct ReadDuty {
    Duty duty;  ///< duty whose record is read
};

/// Read one page of the intents that earlier holders left.
struct ReadIntents {
    std::string after_key;  ///< last key of the previous page; empty: read the first page
};

/// Read one intent back because it is not known whether a write to it was executed.
struct ReadIntent {
    std::uint32_t slot;  ///< slot of the intent
};

/// Write the record of a duty.
struct WriteDuty {
    Duty duty;          ///< duty whose record is written
    FencedWrite write;  ///< transaction to execute
};

/// Write one intent.
struct WriteIntent {
    std::uint32_t slot;  ///< slot of the intent
    FencedWrite write;   ///< transaction to execute
};

/// Remove the records of completed intents.
struct RemoveIntents {
    std::vector<std::uint32_t> slots;  ///< slots of the intents
    FencedWrite write;                 ///< transaction to execute
};

/// Send the cloud a request to release machines.
struct RequestRelease {
    std::uint32_t slot;     ///< slot of the intent that covers the request
    FencedRelease request;  ///< machines and epoch to send
};

/// Send the cloud a request to provision machines.
struct RequestProvision {
    std::uint32_t slot;       ///< slot of the intent that covers the request
    FencedProvision request;  ///< provisioning request and epoch to send
};

/// Any action of a MachineDutyHolder.
using Action = std::variant<ReadDuty, ReadIntents, ReadIntent, WriteDuty, WriteIntent,
                            RemoveIntents, RequestRelease, RequestProvision>;

}  // namespace lichendrift::duty
