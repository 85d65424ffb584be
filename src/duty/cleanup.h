#pragma once

/// @file
/// Which stored records are of no use any more. Pure; what it is not certain of it keeps.

#include <set>
#include <string>
#include <vector>

#include "duty/fence.h"

namespace lichendrift::duty {

/// What is known of the job that a placement record belongs to.
enum class KnownJobState : std::uint8_t {
    Open,
    TerminalNothingPlaced,  ///< its terminal state was written when none of its tasks was placed
    TerminalMaybePlaced,    ///< cancelled or done, and tasks may still be on machines
    Unknown,                ///< neither open nor in a terminal state
};

/// What a placement record holds.
enum class PlacementContent : std::uint8_t { Unreadable, NoAllocations, Allocations };

/// A placement record as it was read.
struct PlacementEntry {
    std::string key;                                          ///< key in the state service
    std::uint64_t revision = 0;                               ///< of the record
    PlacementContent content = PlacementContent::Unreadable;  ///< what it holds
};

/// A record of image hints as it was read.
struct HintEntry {
    std::string key;                    ///< key in the state service
    std::uint64_t revision = 0;         ///< of the record
    bool readable = false;              ///< whether the value could be parsed
    std::vector<std::string> machines;  ///< names of the machines that it is about
};

/// What becomes of a record.
enum class CleanupDecision : std::uint8_t {
    Keep,
    Remove,
    Suspicious,  ///< should not exist, and nothing proves that it is of no use: kept and reported
};

/// Decides on a placement record.
[[nodiscard]] CleanupDecision cleanup_decision(const PlacementEntry& entry, KnownJobState job);

/// Decides on image hints. `listed`: all machines of the cloud, by a complete list read after the
/// record.
[[nodiscard]] CleanupDecision cleanup_decision(const HintEntry& entry,
                                               const std::set<std::string>& listed);

/// Records to remove, and what the decision rests on.
struct RemovalPlan {
    std::vector<RecordVersion> records;        ///< to remove
    std::vector<RecordVersion> preconditions;  ///< terminal states of their jobs
};

/// A removal that fails if a record or a proof has changed, or if the duty has passed to another
/// controller.
[[nodiscard]] FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan);

}  // namespace lichendrift::duty
