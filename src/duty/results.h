#pragma once

/// @file
/// Results of reads, writes and cloud requests, as the classes of this folder need them. The driver
/// (control/machine_duties.h, control/cleanup_tenure.h) makes them from the clients' results.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "duty/duty.h"

namespace lichendrift::duty {

/// What came of reading a record.
enum class ReadOutcome : std::uint8_t {
    Found,
    Missing,
    Damaged,  ///< it exists, and its value cannot be parsed
    Failed,   ///< nothing is known
};

/// A record as it was read.
template <typename Record>
struct ReadResult {
    ReadOutcome outcome = ReadOutcome::Failed;  ///< whether the other fields mean anything
    Record record;                              ///< the value, if it was found
    std::uint64_t revision = 0;                 ///< of the record, if it was found
};

/// The record of a duty as it was read.
using DutyReadResult = ReadResult<DutyRecord>;
/// An intent as it was read.
using IntentReadResult = ReadResult<Intent>;

/// Stored intents, one page of the list.
struct IntentPage {
    std::vector<StoredIntent> intents;  ///< in the order of their keys
    bool more = false;                  ///< further pages follow
};

/// What came of a transaction.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,     ///< certainly not executed: a condition failed
    Unavailable,  ///< certainly not executed
    Rejected,     ///< certainly not executed, and never will be: too large
    Unknown,      ///< may have been executed, or may still be
};

/// Result of a transaction.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;  ///< whether it was executed
    std::uint64_t revision = 0;                    ///< of the written records
    std::vector<std::string> failed;               ///< keys whose condition failed

    /// Whether the condition on this key failed.
    [[nodiscard]] bool failed_on(const std::string& key) const {
        return std::find(failed.begin(), failed.end(), key) != failed.end();
    }
};

/// What came of a request to the cloud.
enum class CloudOutcome : std::uint8_t {
    Done,
    NoCapacity,   ///< certainly not executed: there are no such machines
    Unavailable,  ///< certainly not executed
    NoAnswer,     ///< may have been executed, or may still be
};

}  // namespace lichendrift::duty
