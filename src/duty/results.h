#pragma once

/// @file
/// Results of reads, writes and cloud requests, as the classes of this directory need them. The
/// driver (control/machine_duties.h, control/cleanup_tenure.h) converts the results of the state
/// service and cloud clients to them.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "duty/duty.h"

namespace lichendrift::duty {

/// Outcome of reading a record.
enum class ReadOutcome : std::uint8_t {
    Found,
    Missing,
    Damaged,  ///< the record exists, but its value cannot be parsed
    Failed,   ///< the read failed: nothing is known about the record
};

/// A record as it was read.
template <typename Record>
struct ReadResult {
    ReadOutcome outcome = ReadOutcome::Failed;  ///< whether the other fields are set
    Record record;                              ///< value of the record, if found
    std::uint64_t revision = 0;                 ///< revision of the record, if found
};

/// The record of a duty as it was read.
using DutyReadResult = ReadResult<DutyRecord>;
/// An intent as it was read.
using IntentReadResult = ReadResult<Intent>;

/// One page of the list of stored intents.
struct IntentPage {
    std::vector<StoredIntent> intents;  ///< ordered by key
    bool more = false;                  ///< further pages follow
};

/// Outcome of a transaction.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,     ///< not executed: a condition failed
    Unavailable,  ///< not executed; may be retried
    Rejected,     ///< not executed: too large, so a retry would fail as well
    Unknown,      ///< no answer: may have been executed, or may be executed later
};

/// Result of a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;  ///< whether the transaction was executed
    std::uint64_t revision = 0;                    ///< revision of the written records
    std::vector<std::string> failed_keys;          ///< keys whose conditions failed

    /// Whether a condition on this key failed.
    [[nodiscard]] bool condition_failed(const std::string& key) const {
        return std::find(failed_keys.begin(), failed_keys.end(), key) != failed_keys.end();
    }
};

/// Outcome of a request to the cloud.
enum class CloudOutcome : std::uint8_t {
    Done,
    NoCapacity,   ///< not executed: the cloud has no such machines left
    Unavailable,  ///< not executed: the cloud refused the request, or it was not sent
    NoAnswer,     ///< may have been executed, or may be executed later
};

}  // namespace lichendrift::duty
