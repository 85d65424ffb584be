// Types and constants that the phases of a plan share.
#pragma once

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include "core/planner.h"

namespace lichendrift::core {

/// Position in Snapshot::machines.
using MachinePosition = std::size_t;
/// Position in Snapshot::allocations.
using AllocationPosition = std::size_t;

/// Score of a placement without tasks.
inline constexpr double kWorstScore = -1e300;
/// Cost beyond any that occurs.
inline constexpr double kMaxCost = 1e300;

/// Which capacity a trial placement counts. The first three each include the one before.
enum class CapacitySource : std::uint8_t {
    Free,         ///< free now, on usable machines: tasks start at once
    Releasing,    ///< and what stopping tasks release there
    Booting,      ///< and machines that boot
    Preemptible,  ///< free, or releasing, or allocated to victims
};
/// Number of capacity sources.
inline constexpr std::size_t kCapacitySources = 4;

/// A job in the order of the plan.
struct QueuedJob {
    const WaitingJob& waiting;  ///< what waits of it
    const JobSpec& spec;        ///< what it asks for
    /// It waited beyond its starvation threshold, and is one of the few that go first for that
    /// (docs/design.md, exception 1).
    bool starved = false;
};

/// How many tasks of a job a phase is to place.
struct PlacementRequest {
    const QueuedJob& job;     ///< the job
    std::uint32_t count = 0;  ///< number of tasks
    bool partial = false;     ///< as many as fit; otherwise all or none
    /// Whether so many tasks are an answer.
    [[nodiscard]] bool accepts(std::size_t tasks) const {
        return tasks > 0 && (partial || tasks >= count);
    }
};

/// Machines found for tasks of a job.
struct Placement {
    std::vector<MachinePosition> machines;    ///< one for each task
    double score = kWorstScore;               ///< mean score of the tasks
    std::vector<AllocationPosition> victims;  ///< to be preempted for it
    std::vector<ZoneIndex> rejected_zones;    ///< candidate zones that did not fit the whole
    /// Whether any task was placed.
    [[nodiscard]] bool found() const { return !machines.empty(); }
    /// Number of tasks placed.
    [[nodiscard]] std::uint32_t tasks() const {
        return static_cast<std::uint32_t>(machines.size());
    }
};

/// Price of an hour of the machine.
inline double hourly_price(const Snapshot& snapshot, const MachineView& machine) {
    const auto& type = snapshot.types[machine.type];
    return machine.spot ? type.spot_hourly : type.hourly;
}

/// How many tasks of a `spread_zones` job a zone may get: half of them, rounded up.
inline std::uint32_t max_tasks_in_zone(const JobSpec& spec) { return (spec.count + 1) / 2; }

/// Every zone, in the order of the indices.
inline std::vector<ZoneIndex> all_zones(std::size_t zone_count) {
    std::vector<ZoneIndex> zones(zone_count);
    std::iota(zones.begin(), zones.end(), ZoneIndex{0});
    return zones;
}

/// Whether any of the images is the given one.
inline bool contains(const std::vector<ImageIndex>& images, ImageIndex image) {
    return std::find(images.begin(), images.end(), image) != images.end();
}

}  // namespace lichendrift::core
