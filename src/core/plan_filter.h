// Candidate zones and the filter: where tasks of a job may be placed at all (KEP-5732, phase 1).
#pragma once

#include <array>
#include <limits>
#include <map>

#include "core/plan_capacity.h"

namespace lichendrift::core {

/// The zones to try one after the other: the required zone if the job has one, every zone if its
/// tasks must share a zone, otherwise only kInvalidIndex, which stands for the whole fleet.
std::vector<ZoneIndex> candidate_zones(const JobSpec& spec, std::size_t zone_count);

/// Decides whether a task may be placed on a machine, regardless of the machine's capacity.
class MachineFilter {
  public:
    /// Keeps references to the snapshot's machines and to the capacity; both have to outlive it.
    MachineFilter(const Snapshot& snapshot, const FreeCapacityIndex& capacity)
        : machines_(snapshot.machines), capacity_(capacity) {}

    /// Whether the job allows the machine's type, zone and price model.
    [[nodiscard]] static bool allows(const JobSpec& spec, const MachineView& machine) {
        return machine.type < kMaxTypes && (spec.types >> machine.type & 1) != 0 &&
               (spec.zone == kInvalidIndex || spec.zone == machine.zone) &&
               (spec.spot || !machine.spot);
    }
    /// Whether the job may use the machine: it is in the candidate zone, not reserved, allowed by
    /// the job, in the zone of the job's other tasks if they must share one, and not avoided by the
    /// job after failures.
    [[nodiscard]] bool admits(const QueuedJob& job, ZoneIndex candidate, MachinePosition at) const {
        const auto& machine = machines_[at];
        if (capacity_.reserved(at) || !allows(job.spec, machine)) return false;
        if (candidate != kInvalidIndex && machine.zone != candidate) return false;
        const auto zone = job.waiting.zone;
        if (job.spec.one_zone && zone != kInvalidIndex && machine.zone != zone) return false;
        const auto& avoided = job.waiting.avoided_machines;
        return std::find(avoided.begin(), avoided.end(), machine.index) == avoided.end();
    }

  private:
    const std::vector<MachineView>& machines_;
    const FreeCapacityIndex& capacity_;
};

/// Remembers the requests that did not fit, so that other jobs with the same requirements are not
/// tried again, which bounds the cost of a plan (docs/design.md, "How a plan keeps its cost by what
/// waits").
class FailedPlacements {
  public:
    /// Whether the request is known not to fit. A partial request fails only if not even one task
    /// fits.
    [[nodiscard]] bool is_known_to_fail(const PlacementRequest& request,
                                        CapacitySource source) const;
    /// Records that the request, or a part of its tasks, found no capacity.
    void record(const PlacementRequest& request, CapacitySource source);
    /// Clears the failures that depend on releasing capacity, after more is being released.
    void clear_releasing();

  private:
    // Jobs with the same key have the same requirements: if one does not fit, none does.
    struct Key {
        Resources need;
        std::uint64_t types = 0;
        ZoneIndex zone = kInvalidIndex;
        TeamIndex team = kInvalidIndex;
        Priority priority = Priority::Normal;
        bool spot = false;
        bool one_zone = false;
        bool spread_zones = false;
        bool in_guarantee = false;
        auto operator<=>(const Key&) const = default;
    };
    static constexpr auto kNoFailure = std::numeric_limits<std::uint32_t>::max();
    // The smallest number of tasks that does not fit, by capacity source.
    using MinTasks = std::array<std::uint32_t, kCapacitySources>;

    static Key key_of(const QueuedJob& job);
    static bool depends_on_key_only(const QueuedJob& job);
    // The smallest number of tasks that would satisfy the request.
    static std::uint32_t min_tasks_of(const PlacementRequest& request) {
        return request.partial ? 1 : request.count;
    }

    std::map<Key, MinTasks> failed_;
};

}  // namespace lichendrift::core
