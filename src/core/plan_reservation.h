// Reserves machines for starved jobs.
#pragma once

#include "core/plan_state.h"

namespace lichendrift::core {

/// Reserves machines for jobs that waited too long, as small tasks could otherwise keep a large
/// gang from starting for ever (docs/design.md, exception 1). A job gets those machines of a
/// candidate zone that will have capacity for it soonest.
class ReservationPhase {
  public:
    /// Keeps a reference to the state, which has to outlive it.
    explicit ReservationPhase(PlanState& state) : state_(state) {}

    /// Reserves machines for `count` tasks of the job, unless all reservations together would
    /// exceed their share of the fleet.
    void reserve(const QueuedJob& job, std::uint32_t count);

  private:
    struct AvailableMachine {
        double after_s = 0;  // seconds until one task fits
        MachinePosition machine = 0;
        bool operator<(const AvailableMachine& other) const {
            return after_s != other.after_s ? after_s < other.after_s : machine < other.machine;
        }
    };
    struct MachineSet {
        std::vector<MachinePosition> machines;
        double after_s = kMaxCost;  // seconds until one task fits on each
    };

    MachineSet find_soonest(const QueuedJob& job, ZoneIndex zone, std::uint32_t count);
    [[nodiscard]] double available_after_s(MachinePosition machine, const Resources& need) const;
    [[nodiscard]] bool within_share(std::size_t machines) const;

    PlanState& state_;
    std::size_t reserved_ = 0;
};

}  // namespace lichendrift::core
