// Failure detection: which machines are silent, unreachable, lose their leases or never register
// (docs/design.md, "Failure detection").
#include "core/failure_detector.h"

#include <algorithm>

namespace lichendrift::core {

namespace {

constexpr Millis kNoticeMargin = 1500;           // beyond the end of a notice
constexpr int kMaxLostLeases = 3;                // in a row
constexpr std::uint32_t kMinMachinesOfZone = 8;  // fewer may well have ended together
constexpr std::uint32_t kCutZoneDivisor = 3;     // of so many, less than one reports
constexpr Millis kCutPatience = 3;               // leases
constexpr Millis kManySilent = 60'000;    // the least time for which many may be silent at once
constexpr Millis kQuestionMargin = 3000;  // for a question to it that gets no answer
constexpr Millis kLateQuarters = 5;       // of the interval between heartbeats, until one is late
constexpr Millis kReportMargin = 1000;    // beyond one and a quarter intervals between heartbeats
// A worker waits so long for the answer to a heartbeat that was lost, and then for the next node.
constexpr Millis kRetryOfWorker = 5000;
constexpr Millis kPatienceMargin = 1500;
constexpr Millis kRecordOnlyMargin = 6000;  // for a machine that only a record names
constexpr double kDefaultBootSeconds = 60;
constexpr double kBootPatienceMs = 3000;  // for each second that a boot takes
constexpr Millis kMinBootPatience = 60'000;

}  // namespace

Millis FailureDetector::heartbeat_due_ms() const {
    return bounds_.report_ms * kLateQuarters / 4 + kReportMargin;
}

// "Failure detection", a zone that is cut off: it keeps its machines, their images and, if it is
// short, their tasks. To release them all costs a boot and a fetch for each, and what is
// provisioned there instead cannot report either.
void FailureDetector::update_partitioned_zones(const std::vector<Machine>& machines,
                                               std::size_t zone_count, Millis now) {
    struct Reporting {
        std::uint32_t total = 0;
        std::uint32_t reporting = 0;
    };
    std::vector<Reporting> zones(zone_count);
    for (const auto& machine : machines) {
        if (machine.zone >= zones.size()) continue;
        const bool is_up = machine.life == Machine::Life::Up;
        if (!is_up && !(machine.life == Machine::Life::Booting && machine.running)) continue;
        Reporting& zone = zones[machine.zone];
        ++zone.total;
        if (is_up && now - machine.last_heartbeat_at < heartbeat_due_ms()) ++zone.reporting;
    }
    zone_cut_.assign(zones.size(), 0);
    zone_back_.resize(zones.size(), -1);
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const auto [total, reporting] = zones[index];
        const bool cut = total >= kMinMachinesOfZone && reporting * kCutZoneDivisor < total;
        zone_cut_[index] = cut ? 1 : 0;
        // The first reports after a cut must not cost those whose report is still to come.
        if (cut) zone_back_[index] = now;
    }
}

void FailureDetector::begin_round(const std::vector<Machine>& machines, std::size_t zone_count,
                                  std::optional<Millis> wanted_patience, Millis now) {
    if (sure_since_ < 0) sure_since_ = now;
    update_partitioned_zones(machines, zone_count, now);
    round_ = {};
    round_.now = now;
    for (const auto& machine : machines) {
        if (machine.life != Machine::Life::Up) continue;
        ++round_.up;
        // With a wider bound some still counted as reporting when the first were released, although
        // all had fallen silent at once.
        if (now - machine.last_heartbeat_at < heartbeat_due_ms()) ++round_.reporting;
        if (machine.unreachable_since != 0) ++round_.unreachable;
        if (machine.lost_leases >= kMaxLostLeases) ++round_.losing_leases;
    }
    round_.majority_silent = round_.reporting * 2 < round_.up;
    if (round_.majority_silent) majority_silent_at_ = now;
    // A report goes missing, the worker waits 4 s for its answer and a second for the next node.
    // Less would release machines between two of their reports.
    round_.patience =
        wanted_patience ? std::max(*wanted_patience, heartbeat_due_ms())
                        : bounds_.report_ms * kLateQuarters / 4 + kRetryOfWorker + kPatienceMargin;
    round_.cut_patience = std::max(round_.patience, bounds_.lease_ms * kCutPatience);
}

// From when on silence counts against it.
Millis FailureDetector::expected_since(const Machine& machine) const {
    const bool was_cut = machine.zone < zone_back_.size() && !is_zone_partitioned(machine.zone);
    return std::max(machine.first_seen, was_cut ? zone_back_[machine.zone] : Millis{-1});
}

std::optional<FailureDetector::Failure> FailureDetector::check_up(const Machine& machine) const {
    if (const auto failure = silent(machine)) return failure;
    if (const auto failure = unreachable(machine)) return failure;
    return losing_leases(machine);
}

// "Failure detection", silence and the bound on the majority rule.
std::optional<FailureDetector::Failure> FailureDetector::silent(const Machine& machine) const {
    const auto silent_since =
        std::max({machine.last_heartbeat_at, expected_since(machine), sure_since_});
    // Once most report again, the others' reports are on their way: their time counts anew.
    const auto silent_ms =
        round_.now -
        (round_.majority_silent ? silent_since : std::max(silent_since, majority_silent_at_));
    // Not for ever: a fleet that had shrunk to one hanging machine kept its tasks.
    const bool fault_of_ours =
        round_.majority_silent && silent_ms <= std::max(round_.cut_patience, kManySilent);
    if (silent_ms <= silence_bound(machine) || fault_of_ours) return std::nullopt;
    return Failure{events::ReleaseReason::Silent, silent_ms};
}

Millis FailureDetector::silence_bound(const Machine& machine) const {
    if (!is_zone_partitioned(machine.zone)) return round_.patience;
    if (!work_.has_replicas(machine)) return round_.cut_patience;
    // Without an answer its lease has ended by then, and its replicas are down: they run elsewhere
    // as soon as its release proves them gone.
    return std::max(round_.patience, bounds_.lease_ms + heartbeat_due_ms());
}

// "Failure detection", unreachable: a one-way partition. Many at once are a fault of ours.
std::optional<FailureDetector::Failure> FailureDetector::unreachable(const Machine& machine) const {
    const auto patience = std::max(round_.patience, bounds_.lease_ms + bounds_.report_ms * 3);
    const auto unreachable_ms = round_.now - machine.unreachable_since;
    if (machine.unreachable_since == 0 || unreachable_ms <= patience ||
        round_.unreachable * 2 > round_.up) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::Unreachable, unreachable_ms};
}

// "Failure detection", unreachable: commands may reach it while answers don't. Then its tasks die
// with each lease.
std::optional<FailureDetector::Failure> FailureDetector::losing_leases(
    const Machine& machine) const {
    if (!bounds_.command_effect_check || machine.lost_leases < kMaxLostLeases ||
        round_.losing_leases * 4 > round_.up) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::LeasesLost, 0};
}

// "Failure detection", spot notice: taken as announced. Its like can be provisioned again before
// its silence would show.
std::optional<FailureDetector::Failure> FailureDetector::check_notice(
    const Machine& machine) const {
    if (!machine.taken_at || round_.now <= *machine.taken_at + kNoticeMargin ||
        machine.last_heartbeat_at >= *machine.taken_at) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::NoticeExpired, 0};
}

// A machine that has not registered in this term.
std::optional<FailureDetector::Failure> FailureDetector::check_booting(const Machine& machine,
                                                                       double boot_s) const {
    const auto boot_patience =
        std::max(static_cast<Millis>((boot_s > 0 ? boot_s : kDefaultBootSeconds) * kBootPatienceMs),
                 kMinBootPatience);
    // A new leader finds machines in the list that have been up for long and did not report to it
    // yet: they get its full patience, whatever their age.
    const auto known_ms = round_.now - expected_since(machine);
    // A record can name a machine that no list shows: it is gone, the release proves it.
    const bool only_in_records =
        !machine.listed && !machine.allocations.empty() &&
        round_.now - machine.first_seen > round_.patience + kRecordOnlyMargin;
    const bool may_boot = !machine.running && round_.now - machine.provisioned_at <= boot_patience;
    const bool overdue = known_ms > registration_bound(machine, boot_patience) && !may_boot;
    if (!only_in_records && !overdue) return std::nullopt;
    return Failure{events::ReleaseReason::NeverRegistered, 0};
}

// How long it may be known without a report, besides the time that its boot takes.
Millis FailureDetector::registration_bound(const Machine& machine, Millis boot_patience) const {
    if (!machine.running) return std::min(boot_patience, 2 * round_.patience);
    if (is_zone_partitioned(machine.zone)) return round_.cut_patience;
    // Cancelled work that may be there has little time left: it was cancelled under an earlier
    // leader, and a machine that hangs receives no halt.
    if (work_.has_cancelled_work(machine)) {
        return std::min(2 * round_.patience, heartbeat_due_ms() + kQuestionMargin);
    }
    return 2 * round_.patience;
}

}  // namespace lichendrift::core
