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
/// Greater than any cost that occurs.
inline constexpr double kMaxCost = 1e300;

/// The capacity that a trial placement may use. Each of the first three includes the one before.
enum class CapacitySource : std::uint8_t {
    Free,         ///< free now on usable machines: tasks start at once
    Releasing,    ///< also the resources of tasks being stopped there
    Booting,      ///< also capacity of machines that boot
    Preemptible,  ///< free, being released, or allocated to victims
};
/// Number of capacity sources.
inline constexpr std::size_t kCapacitySources = 4;

/// A waiting job in the scheduling queue. Refers to the snapshot.
struct QueuedJob {
    const WaitingJob& waiting;  ///< its waiting tasks
    const JobSpec& spec;        ///< its requirements
    /// Whether it waited for longer than its starvation threshold and is one of the few jobs that
    /// go first within their rank for that (docs/design.md, exception 1).
    bool starved = false;
};

/// A request to place tasks of a job.
struct PlacementRequest {
    const QueuedJob& job;     ///< the job
    std::uint32_t count = 0;  ///< number of tasks
    bool partial = false;     ///< place as many as fit; otherwise all or none
    /// Whether placing this number of tasks satisfies the request.
    [[nodiscard]] bool is_satisfied_by(std::size_t tasks) const {
        return tasks > 0 && (partial || tasks >= count);
    }
};

/// Machines found for tasks of a job.
struct Placement {
    std::vector<MachinePosition> machines;    ///< one for each task
    double score = kWorstScore;               ///< mean score of the tasks
    std::vector<AllocationPosition> victims;  ///< allocations to preempt for it
    std::vector<ZoneIndex> rejected_zones;    ///< candidate zones where the request did not fit
    /// Whether any task was placed.
    [[nodiscard]] bool found() const { return !machines.empty(); }
    /// Number of tasks placed.
    [[nodiscard]] std::uint32_t tasks() const {
        return static_cast<std::uint32_t>(machines.size());
    }
};

/// Price of the machine per hour, spot or on demand.
inline double hourly_price(const Snapshot& snapshot, const MachineView& machine) {
    const auto& type = snapshot.types[machine.type];
    return machine.spot ? type.spot_hourly : type.hourly;
}

/// The largest number of tasks of a `spread_zones` job in one zone: half of them, rounded up.
inline std::uint32_t max_tasks_in_zone(const JobSpec& spec) { return (spec.count + 1) / 2; }

/// Every zone, in the order of the indices.
inline std::vector<ZoneIndex> all_zones(std::size_t zone_count) {
    std::vector<ZoneIndex> zones(zone_count);
    std::iota(zones.begin(), zones.end(), ZoneIndex{0});
    return zones;
}

/// Whether `image` is among the images.
inline bool contains(const std::vector<ImageIndex>& images, ImageIndex image) {
    return std::find(images.begin(), images.end(), image) != images.end();
}

}  // namespace lichendrift::core
