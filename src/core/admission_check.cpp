// The admission check: whether a start that the planner decided on is still allowed.
#include "core/admission_check.h"

#include <algorithm>

namespace lichendrift::core {

namespace {

// A machine is usable until its newest heartbeat is older than two intervals and this margin.
constexpr Millis kUsableMargin = 500;

}  // namespace

bool AdmissionCheck::is_usable(const Machine& machine, Millis now) const {
    return machine.lifecycle == Machine::Lifecycle::Up && machine.synced && !machine.drain.any() &&
           !machine.reclaim_at && machine.type != kInvalidIndex &&
           machine.quarantine_until <= now && machine.unreachable_since == 0 &&
           now - machine.last_heartbeat_at <= report_ms_ * 2 + kUsableMargin;
}

tl::expected<void, StartRefusal> AdmissionCheck::check_start(
    const Job& job, const std::vector<TaskPlacement>& placements, Millis now) const {
    const JobSpec& spec = job.spec;
    if (job.terminal || job.writing_terminal_state || spec.team == kInvalidIndex) {
        return tl::unexpected(StartRefusal::JobNotOpen);
    }
    std::map<MachineIndex, Resources> free;
    std::map<ZoneIndex, std::uint32_t> zones;
    for (const auto& [task, index] : job.allocations) {
        ++zones[state_.machines[state_.allocations[index].machine].zone];
    }
    Resources team_used = state_.team_used[spec.team];
    for (const auto [task, index] : placements) {
        const Machine& machine = state_.machines[index];
        if (job.allocations.contains(task) || job.done_flags[task] != 0) {
            return tl::unexpected(StartRefusal::TaskNotWaiting);
        }
        if (!is_usable(machine, now)) return tl::unexpected(StartRefusal::MachineNotUsable);
        if (!meets_constraints(spec, machine)) {
            return tl::unexpected(StartRefusal::ConstraintViolated);
        }
        const auto [it, inserted] = free.try_emplace(index, state_.types[machine.type].capacity);
        if (inserted) it->second -= machine.used;
        if (!it->second.covers(spec.need)) return tl::unexpected(StartRefusal::NoCapacity);
        it->second -= spec.need;
        ++zones[machine.zone];
        team_used += spec.need;
    }
    if (!zones_allowed(spec, zones)) return tl::unexpected(StartRefusal::ZonesViolated);
    if (exceeds(team_used, state_.teams[spec.team].limit)) {
        return tl::unexpected(StartRefusal::TeamLimitExceeded);
    }
    return {};
}

bool AdmissionCheck::meets_constraints(const JobSpec& spec, const Machine& machine) {
    if (machine.type >= kMaxTypes || (spec.types >> machine.type & 1) == 0) return false;
    if (spec.zone != kInvalidIndex && machine.zone != spec.zone) return false;
    return spec.spot || !machine.spot;
}

// `zones`: number of the job's tasks in each zone after the start.
bool AdmissionCheck::zones_allowed(const JobSpec& spec,
                                   const std::map<ZoneIndex, std::uint32_t>& zones) {
    if (!spec.one_zone && !spec.spread_zones) return true;
    // A task on a machine whose zone is unknown could be in any zone.
    if (zones.contains(kInvalidIndex)) return false;
    if (spec.one_zone && zones.size() > 1) return false;
    if (!spec.spread_zones) return true;
    return std::all_of(zones.begin(), zones.end(),
                       [&](const auto& zone) { return zone.second <= (spec.count + 1) / 2; });
}

}  // namespace lichendrift::core
