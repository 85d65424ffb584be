#pragma once

/// @file
/// Decides which stored records are obsolete. Pure functions; a record is kept in case of doubt.

#include <set>
#include <string>
#include <vector>

#include "duty/fence.h"

namespace lichendrift::duty {

/// What is known about the job that a placement record belongs to.
enum class KnownJobState : std::uint8_t {
    Open,
    TerminalNothingPlaced,  ///< no task was placed when the terminal state was written
    TerminalMaybePlaced,    ///< cancelled or done, but tasks may still be on machines
    Unknown,                ///< neither open nor in a terminal state
};

/// Content of a placement record, as far as cleanup depends on it.
enum class PlacementContent : std::uint8_t { Unreadable, NoAllocations, Allocations };

/// A placement record as it was read.
struct PlacementEntry {
    std::string key;                                          ///< key in the state service
    std::uint64_t revision = 0;                               ///< revision of the record
    PlacementContent content = PlacementContent::Unreadable;  ///< whether it lists allocations
};

/// A record of image hints (which images machines have) as it was read.
struct HintEntry {
    std::string key;                    ///< key in the state service
    std::uint64_t revision = 0;         ///< revision of the record
    bool readable = false;              ///< whether the value could be parsed
    std::vector<std::string> machines;  ///< names of the machines with hints in the record
};

/// What cleanup does with a record.
enum class CleanupDecision : std::uint8_t {
    Keep,
    Remove,
    Suspicious,  ///< unexpected, but not proven to be obsolete: kept and reported
};

/// Decides whether a placement record is removed, from its content and the state of its job.
[[nodiscard]] CleanupDecision cleanup_decision(const PlacementEntry& entry, KnownJobState job);

/// Decides whether a record of image hints is removed. `listed`: names of all machines of the
/// cloud, from a complete list that was read after the record.
[[nodiscard]] CleanupDecision cleanup_decision(const HintEntry& entry,
                                               const std::set<std::string>& listed);

/// Records to remove together, and the records that this decision depends on.
struct RemovalPlan {
    std::vector<RecordVersion> records;        ///< records to remove
    std::vector<RecordVersion> preconditions;  ///< terminal states of the jobs; must be unchanged
};

/// A transaction that removes the records of a plan. It fails if one of them or a precondition has
/// changed, or if the duty has passed to another controller.
[[nodiscard]] FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan);

}  // namespace lichendrift::duty
