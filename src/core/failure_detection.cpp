// Failure detection: which machines are silent, unreachable, lose their leases or never register
// (docs/design.md, "Failure detection").
#include "core/cluster.h"

namespace lichendrift::core {

namespace {

constexpr Millis kForgetGone = 900'000;
constexpr Millis kNoticeMargin = 1500;           // beyond the end of a notice
constexpr Millis kNoticeForgotten = 60'000;      // after its end, if the machine is still there
constexpr int kMaxLostLeases = 3;                // in a row
constexpr std::uint32_t kMinMachinesOfZone = 8;  // fewer may well have ended together
constexpr std::uint32_t kCutZoneDivisor = 3;     // of so many, less than one reports
constexpr Millis kCutPatience = 3;               // leases
constexpr Millis kManySilent = 60'000;    // the least time for which many may be silent at once
constexpr Millis kQuestionMargin = 3000;  // for a question to it that gets no answer
constexpr Millis kReportMargin = 1000;    // beyond one and a quarter intervals between heartbeats
// A worker waits so long for the answer to a heartbeat that was lost, and then for the next node.
constexpr Millis kRetryOfWorker = 5000;
constexpr Millis kPatienceMargin = 1500;
constexpr Millis kRecordOnlyMargin = 6000;  // for a machine that only a record names
constexpr double kDefaultBootSeconds = 60;
constexpr double kBootPatienceMs = 3000;  // for each second that a boot takes
constexpr Millis kMinBootPatience = 60'000;

events::MachineReleaseStarted release_started(const Machine& machine, events::ReleaseReason reason,
                                              Millis for_ms = 0) {
    return events::MachineReleaseStarted{machine.name, reason, for_ms, {}};
}

}  // namespace

Millis Cluster::heartbeat_due_ms() const { return settings_.report_ms * 5 / 4 + kReportMargin; }

// "Failure detection", a zone that is cut off: it keeps its machines, their images and, if it is
// short, their tasks. To release them all costs a boot and a fetch for each, and what is
// provisioned there instead cannot report either.
void Cluster::note_cut_zones(Millis now) {
    struct Reporting {
        std::uint32_t machines = 0;
        std::uint32_t reporting = 0;
    };
    std::vector<Reporting> zones(zones_.size());
    for (const auto& machine : machines_) {
        if (machine.zone >= zones.size()) continue;
        const bool up = machine.life == Machine::Life::Up;
        if (!up && !(machine.life == Machine::Life::Booting && machine.running)) continue;
        Reporting& zone = zones[machine.zone];
        ++zone.machines;
        if (up && now - machine.last_heartbeat_at < heartbeat_due_ms()) ++zone.reporting;
    }
    zone_cut_.assign(zones.size(), 0);
    zone_back_.resize(zones.size(), -1);
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const auto [machines, reporting] = zones[index];
        const bool cut = machines >= kMinMachinesOfZone && reporting * kCutZoneDivisor < machines;
        zone_cut_[index] = cut ? 1 : 0;
        // The first reports after a cut must not cost those whose report is still to come.
        if (cut) zone_back_[index] = now;
    }
}

// What holds for all machines in one round of tick().
struct Cluster::FleetHealth {
    Millis now = 0;
    std::size_t up = 0;
    std::size_t reporting = 0;
    std::size_t unreachable = 0;
    std::size_t losing_leases = 0;
    bool majority_silent = false;
    Millis patience = 0;      // with a silent machine
    Millis cut_patience = 0;  // the same in a zone that is cut off
};

Cluster::FleetHealth Cluster::fleet_health(Millis now) {
    FleetHealth fleet;
    fleet.now = now;
    for (const auto& machine : machines_) {
        if (machine.life != Machine::Life::Up) continue;
        ++fleet.up;
        // With a wider bound some still counted as reporting when the first were released, although
        // all had fallen silent at once.
        if (now - machine.last_heartbeat_at < heartbeat_due_ms()) ++fleet.reporting;
        if (machine.unreachable_since != 0) ++fleet.unreachable;
        if (machine.lost_leases >= kMaxLostLeases) ++fleet.losing_leases;
    }
    fleet.majority_silent = fleet.reporting * 2 < fleet.up;
    if (fleet.majority_silent) majority_silent_at_ = now;
    // A report goes missing, the worker waits 4 s for its answer and a second for the next node.
    fleet.patience = settings_.report_ms * 5 / 4 + kRetryOfWorker + kPatienceMargin;
    if (settings_.policy) {
        const auto wanted = static_cast<Millis>(settings_.policy->silent_s(fleet_facts()) * 1000);
        // Less would release machines between two of their reports.
        fleet.patience = std::max(wanted, heartbeat_due_ms());
    }
    fleet.cut_patience = std::max(fleet.patience, settings_.lease_ms * kCutPatience);
    return fleet;
}

std::vector<events::Event> Cluster::tick(Millis now, bool sure) {
    std::vector<events::Event> events;
    // "Failure detection", no release without a valid leader lease.
    if (!sure) {
        sure_since_ = -1;
        return events;
    }
    if (sure_since_ < 0) sure_since_ = now;
    note_cut_zones(now);
    const FleetHealth fleet = fleet_health(now);
    for (auto& machine : machines_) {
        switch (machine.life) {
            case Machine::Life::Gone:
                forget_released(machine, now);
                break;
            case Machine::Life::Releasing:
                break;
            case Machine::Life::Up:
                check_up(machine, fleet, events);
                break;
            case Machine::Life::Booting:
                check_booting(machine, fleet, events);
                break;
        }
    }
    return events;
}

// Its index is used again once no late report or list is to be expected; without that a leader of
// many days would grow without bound.
void Cluster::forget_released(Machine& machine, Millis now) {
    if (machine.name.empty() || now - machine.release_requested_at < kForgetGone ||
        !machine.allocations.empty()) {
        return;
    }
    free_machines_.push_back(machine_ids_.at(machine.name));
    machine_ids_.erase(machine.name);
    machine = Machine{};
    machine.life = Machine::Life::Gone;
}

void Cluster::check_up(Machine& machine, const FleetHealth& fleet,
                       std::vector<events::Event>& events) {
    const Millis now = fleet.now;
    const auto index = static_cast<MachineIndex>(&machine - machines_.data());
    auto release_reason = detect_silent(machine, fleet);
    if (release_reason && !settings_.guards.silence_is_no_proof) {
        release_all(index, std::numeric_limits<std::uint64_t>::max(), now);
    }
    if (!release_reason) release_reason = detect_unreachable(machine, fleet);
    if (!release_reason) release_reason = detect_lost_leases(machine, fleet);
    if (release_reason) {
        machine.life = Machine::Life::Releasing;
        events.emplace_back(std::move(*release_reason));
        return;
    }
    if (machine.lost_leases > 0 && now - machine.session_at > settings_.lease_ms * 3) {
        machine.lost_leases = 0;
    }
    if (machine.drain && machine.allocations.empty()) machine.life = Machine::Life::Releasing;
    // Replicas never end by themselves and would keep it for ever.
    if (machine.drain && only_replicas(machine)) stop_replicas(index, now);
    release_reason = detect_expired_notice(machine, now);
    if (!release_reason) {
        if (machine.taken_at && now > *machine.taken_at + kNoticeForgotten) {
            machine.taken_at.reset();
        }
        release_reason = detect_unconfirmed_run(machine, now);
    }
    if (!release_reason) return;
    machine.life = Machine::Life::Releasing;
    events.emplace_back(std::move(*release_reason));
}

// "Failure detection", silence and the bound on the majority rule.
std::optional<events::MachineReleaseStarted> Cluster::detect_silent(
    const Machine& machine, const FleetHealth& fleet) const {
    const auto silent_since =
        std::max({machine.last_heartbeat_at, expected_since(machine), sure_since_});
    // Once most report again, the others' reports are on their way: their time counts anew.
    const auto silent_ms =
        fleet.now -
        (fleet.majority_silent ? silent_since : std::max(silent_since, majority_silent_at_));
    // Not for ever: a fleet that had shrunk to one hanging machine kept its tasks.
    const bool fault_of_ours =
        fleet.majority_silent && silent_ms <= std::max(fleet.cut_patience, kManySilent);
    if (silent_ms <= silence_bound(machine, fleet) || fault_of_ours) return std::nullopt;
    return release_started(machine, events::ReleaseReason::Silent, silent_ms);
}

Millis Cluster::silence_bound(const Machine& machine, const FleetHealth& fleet) const {
    if (!in_cut_zone(machine)) return fleet.patience;
    if (!has_replicas(machine)) return fleet.cut_patience;
    // Without an answer its lease has ended by then, and its replicas are down: they run elsewhere
    // as soon as its release proves them gone.
    return std::max(fleet.patience, settings_.lease_ms + heartbeat_due_ms());
}

// "Failure detection", unreachable: a one-way partition. Many at once are a fault of ours.
std::optional<events::MachineReleaseStarted> Cluster::detect_unreachable(
    const Machine& machine, const FleetHealth& fleet) const {
    const auto patience = std::max(fleet.patience, settings_.lease_ms + settings_.report_ms * 3);
    const auto unreachable_ms = fleet.now - machine.unreachable_since;
    if (machine.unreachable_since == 0 || unreachable_ms <= patience ||
        fleet.unreachable * 2 > fleet.up) {
        return std::nullopt;
    }
    return release_started(machine, events::ReleaseReason::Unreachable, unreachable_ms);
}

// "Failure detection", unreachable: commands may reach it while answers don't. Then its tasks die
// with each lease.
std::optional<events::MachineReleaseStarted> Cluster::detect_lost_leases(
    const Machine& machine, const FleetHealth& fleet) const {
    if (!settings_.guards.command_effect_check || machine.lost_leases < kMaxLostLeases ||
        fleet.losing_leases * 4 > fleet.up) {
        return std::nullopt;
    }
    return release_started(machine, events::ReleaseReason::LeasesLost);
}

// "Failure detection", spot notice: taken as announced. Its like can be provisioned again before
// its silence would show.
std::optional<events::MachineReleaseStarted> Cluster::detect_expired_notice(const Machine& machine,
                                                                            Millis now) {
    if (!machine.taken_at || now <= *machine.taken_at + kNoticeMargin ||
        machine.last_heartbeat_at >= *machine.taken_at) {
        return std::nullopt;
    }
    return release_started(machine, events::ReleaseReason::NoticeExpired);
}

// "When a task is off a machine": unwanted and still unconfirmed, only the machine's release proves
// that the run will not come.
std::optional<events::MachineReleaseStarted> Cluster::detect_unconfirmed_run(const Machine& machine,
                                                                             Millis now) const {
    for (const auto index : machine.allocations) {
        const Allocation& allocation = allocations_[index];
        if (allocation.stop && allocation.state == Allocation::State::Sent &&
            allocation.direct_unconfirmed &&
            now - allocation.stop_since > settings_.cancel_ms / 3) {
            return events::MachineReleaseStarted{machine.name,
                                                 events::ReleaseReason::UnconfirmedRun, 0,
                                                 jobs_.at(allocation.job).id};
        }
    }
    return std::nullopt;
}

// A machine that has not registered in this term.
void Cluster::check_booting(Machine& machine, const FleetHealth& fleet,
                            std::vector<events::Event>& events) const {
    // A new leader finds machines in the list that have been up for long and did not report to it
    // yet: they get its full patience, whatever their age.
    const auto known_ms = fleet.now - expected_since(machine);
    // A record can name a machine that no list shows: it is gone, the release proves it.
    const bool only_in_records =
        !machine.listed && !machine.allocations.empty() &&
        fleet.now - machine.first_seen > fleet.patience + kRecordOnlyMargin;
    const bool may_boot =
        !machine.running && fleet.now - machine.provisioned_at <= boot_patience(machine);
    const bool overdue = known_ms > registration_bound(machine, fleet) && !may_boot;
    if (!only_in_records && !overdue) return;
    machine.life = Machine::Life::Releasing;
    events.emplace_back(release_started(machine, events::ReleaseReason::NeverRegistered));
}

// How long it may be known without a report, besides the time that its boot takes.
Millis Cluster::registration_bound(const Machine& machine, const FleetHealth& fleet) const {
    if (!machine.running) return std::min(boot_patience(machine), 2 * fleet.patience);
    if (in_cut_zone(machine)) return fleet.cut_patience;
    // Cancelled work that may be there has little time left: it was cancelled under an earlier
    // leader, and a machine that hangs receives no halt.
    if (has_cancelled_work(machine)) {
        return std::min(2 * fleet.patience, heartbeat_due_ms() + kQuestionMargin);
    }
    return 2 * fleet.patience;
}

Millis Cluster::boot_patience(const Machine& machine) const {
    const bool known = machine.type != kInvalidIndex && type_info_[machine.type].boot_s > 0;
    const double boot_s = known ? type_info_[machine.type].boot_s : kDefaultBootSeconds;
    return std::max(static_cast<Millis>(boot_s * kBootPatienceMs), kMinBootPatience);
}

bool Cluster::has_replicas(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::only_replicas(const Machine& machine) const {
    return !machine.allocations.empty() &&
           std::all_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).spec.service;
                       });
}

bool Cluster::has_cancelled_work(const Machine& machine) const {
    return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                       [&](AllocationIndex allocation_index) {
                           return jobs_.at(allocations_[allocation_index].job).aborted;
                       });
}

}  // namespace lichendrift::core
