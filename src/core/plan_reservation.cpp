// Reserves machines for starved jobs.
#include "core/plan_reservation.h"

namespace lichendrift::core {

namespace {

constexpr double kNeverS = 1e9;

}  // namespace

void ReservationPhase::reserve(const QueuedJob& job, std::uint32_t count) {
    MachineSet best;
    for (const auto zone : candidate_zones(job.spec, state_.snapshot.zone_count)) {
        auto soonest = find_soonest(job, zone, count);
        if (soonest.after_s < best.after_s) best = std::move(soonest);
    }
    if (!within_share(best.machines.size())) return;
    for (const auto machine : best.machines) state_.capacity.reserve(machine);
    reserved_ += best.machines.size();
}

// The first reservation is always granted, however large it is.
bool ReservationPhase::within_share(std::size_t machines) const {
    const auto fleet = static_cast<double>(state_.snapshot.machines.size());
    const auto limit = state_.snapshot.tuning.max_reserved_share * fleet + 1;
    return reserved_ == 0 || static_cast<double>(reserved_ + machines) <= limit;
}

// Returns the machines of a candidate zone that fit the tasks soonest; none if they never fit.
ReservationPhase::MachineSet ReservationPhase::find_soonest(const QueuedJob& job, ZoneIndex zone,
                                                            std::uint32_t count) {
    const auto& machines = state_.snapshot.machines;
    const auto& need = job.spec.need;
    std::vector<AvailableMachine> available;
    for (MachinePosition at = 0; at < machines.size(); ++at) {
        state_.count_step();
        const auto& machine = machines[at];
        if (!machine.usable || !state_.filter.admits(job, zone, at)) continue;
        if (!machine.capacity.covers(need)) continue;
        available.push_back({available_after_s(at, need), at});
    }
    std::sort(available.begin(), available.end());
    MachineSet set{{}, 0};
    std::int64_t fitting = 0;
    for (const auto& [after_s, machine] : available) {
        if (fitting >= count) break;
        // `after_s` is the time until the first task fits; the machine may fit the others later.
        fitting += machines[machine].capacity.tasks_that_fit(need);
        set.after_s = std::max(set.after_s, after_s);
        set.machines.push_back(machine);
    }
    return fitting >= count ? set : MachineSet{};
}

double ReservationPhase::available_after_s(MachinePosition machine, const Resources& need) const {
    auto available = state_.capacity.free(machine);
    if (available.covers(need)) return 0;
    const auto& allocations = state_.allocations;
    const auto on_machine = allocations.on_machine(machine);
    std::vector<AllocationPosition> order(on_machine.begin(), on_machine.end());
    const auto remaining_s = [&](AllocationPosition at) {
        return allocations.is_ending(at) ? 0.0 : allocations.view(at).remaining_s;
    };
    std::sort(order.begin(), order.end(),
              [&](auto left, auto right) { return remaining_s(left) < remaining_s(right); });
    for (const auto at : order) {
        available += allocations.resources(at);
        if (available.covers(need)) return remaining_s(at);
    }
    return kNeverS;
}

}  // namespace lichendrift::core
