#pragma once

#include <set>
#include <string>
#include <vector>

#include "duty/fence.h"

// Which stored records are of no use any more. Pure; what it is not certain of it keeps.
namespace lichendrift::duty {

// What is known of the job that a placement record belongs to.
enum class JobState : std::uint8_t {
    Open,
    OverNothingPlaced,  // its terminal state was written when none of its tasks could be anywhere
    OverMayBePlaced,    // cancelled or done, and tasks may still be on machines
    Unknown,            // neither open nor over
};

struct PlacementEntry {
    std::string key;
    std::uint64_t revision = 0;
    bool readable = false;
    bool empty = false;  // names no allocation
};

struct HintEntry {
    std::string key;
    std::uint64_t revision = 0;
    bool readable = false;
    std::vector<std::string> machines;
};

enum class Verdict : std::uint8_t {
    Keep,
    Remove,
    Suspicious,  // should not be there, and nothing proves that it is of no use
};

[[nodiscard]] Verdict classify(const PlacementEntry& entry, JobState job);

// `listed`: all machines that the cloud has, by a complete list read after the record.
[[nodiscard]] Verdict classify(const HintEntry& entry, const std::set<std::string>& listed);

// A removal that fails if the record, or what it was judged by, has changed, or if the duty has
// passed to another controller.
struct RemovalPlan {
    std::vector<RecordVersion> records;  // to remove
    std::vector<RecordVersion> proofs;   // terminal states that they were judged by
};
[[nodiscard]] FencedWrite removal_write(const Permit& permit, const RemovalPlan& plan);

}  // namespace lichendrift::duty
