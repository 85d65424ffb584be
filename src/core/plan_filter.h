// Candidate zones and the filter: where tasks of a job may go at all (KEP-5732, phase 1).
#pragma once

#include <array>
#include <limits>
#include <map>

#include "core/plan_capacity.h"

namespace lichendrift::core {

/// The zones to try one after the other for a job that must be in one zone; kInvalidIndex, the
/// fleet as a whole, for others.
std::vector<ZoneIndex> candidate_zones(const JobSpec& spec, std::size_t zone_count);

/// Decides whether a task may go to a machine, its capacity aside.
class MachineFilter {
  public:
    /// Keeps references to both.
    MachineFilter(const Snapshot& snapshot, const FreeCapacityIndex& capacity)
        : machines_(snapshot.machines), capacity_(capacity) {}

    /// Whether the job asks for such a machine: its type, zone and price model.
    [[nodiscard]] static bool allows(const JobSpec& spec, const MachineView& machine) {
        return machine.type < kMaxTypes && (spec.types >> machine.type & 1) != 0 &&
               (spec.zone == kInvalidIndex || spec.zone == machine.zone) &&
               (spec.spot || !machine.spot);
    }
    /// Whether the machine is in the candidate zone, not reserved, and right for the job, for its
    /// other tasks and after its failures.
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

/// Remembers what did not fit: the next job that asks the same of the machines is not tried
/// (docs/design.md, "How a plan keeps its cost by what waits").
class FailedPlacements {
  public:
    /// Whether the request is known not to fit. Partial requests fail from one task on.
    [[nodiscard]] bool is_known_to_fail(const PlacementRequest& request,
                                        CapacitySource source) const;
    /// The request, in part or as a whole, found no capacity.
    void record(const PlacementRequest& request, CapacitySource source);
    /// Resources are being released: what did not fit there may fit now.
    void clear_releasing();

  private:
    // Jobs with the same key ask the same of the machines: if one does not fit, none does.
    struct Key {
        Resources need;
        std::uint64_t types = 0;
        ZoneIndex zone = kInvalidIndex;
        TeamIndex team = kInvalidIndex;
        Priority priority = Priority::Normal;
        bool spot = false;
        bool one_zone = false;
        bool apart = false;
        bool in_guarantee = false;
        auto operator<=>(const Key&) const = default;
    };
    static constexpr auto kNoFailure = std::numeric_limits<std::uint32_t>::max();
    // By source: the smallest number of tasks that does not fit.
    using MinTasks = std::array<std::uint32_t, kCapacitySources>;

    static Key key_of(const QueuedJob& job);
    static bool depends_on_key_only(const QueuedJob& job);
    static std::uint32_t tasks_of(const PlacementRequest& request) {
        return request.partial ? 1 : request.count;
    }

    std::map<Key, MinTasks> failed_;
};

}  // namespace lichendrift::core
