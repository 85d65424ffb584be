// Failure detection: which machines are silent, unreachable, lose their leases or never register
// (docs/design.md, "Failure detection").
#include "core/failure_detector.h"

#include <algorithm>

namespace lichendrift::core {

namespace {

constexpr Millis kNoticeMargin = 1500;  // beyond the end of a spot notice
constexpr int kMaxLostLeases = 3;       // in a row; then the machine is released
// A smaller zone does not count as partitioned: all of its machines may have ended together.
constexpr std::uint32_t kMinMachinesOfZone = 8;
// A zone is partitioned if fewer than one in this many of its machines report.
constexpr std::uint32_t kPartitionedZoneDivisor = 3;
constexpr Millis kPartitionTimeoutLeases = 3;  // time-out in a partitioned zone, in leases
// Silence of most machines counts as a fault on the controllers' side for at least this time.
constexpr Millis kMinMajoritySilence = 60'000;
constexpr Millis kPollMargin = 3000;               // for a poll of the machine without a response
constexpr Millis kHeartbeatLateAfterQuarters = 5;  // quarters of the interval between heartbeats
constexpr Millis kReportMargin = 1000;  // beyond one and a quarter intervals between heartbeats
// A worker whose heartbeat was lost waits this long until it reports to the next node.
constexpr Millis kWorkerRetryMs = 5000;
constexpr Millis kHeartbeatTimeoutMargin = 1500;
constexpr Millis kRecordOnlyMargin = 6000;  // for a machine that only a placement record names
constexpr double kDefaultBootSeconds = 60;
constexpr double kBootTimeoutMsPerBootSecond = 3000;
constexpr Millis kMinBootTimeout = 60'000;

}  // namespace

Millis FailureDetector::max_heartbeat_gap_ms() const {
    return settings_.report_ms * kHeartbeatLateAfterQuarters / 4 + kReportMargin;
}

// "Failure detection", a zone that is cut off: machines of a partitioned zone are released later
// than others, so that they keep their images and, if the partition is short, their tasks. To
// release them all would cost a boot and an image fetch each, and machines provisioned in the zone
// in their place could not report either.
void FailureDetector::update_partitioned_zones(const std::vector<Machine>& machines,
                                               std::size_t zone_count, Millis now) {
    struct Reporting {
        std::uint32_t total = 0;
        std::uint32_t reporting = 0;
    };
    std::vector<Reporting> zones(zone_count);
    for (const auto& machine : machines) {
        if (machine.zone >= zones.size()) continue;
        const bool is_up = machine.lifecycle == Machine::Lifecycle::Up;
        if (!is_up && !(machine.lifecycle == Machine::Lifecycle::Booting && machine.running))
            continue;
        Reporting& zone = zones[machine.zone];
        ++zone.total;
        if (is_up && now - machine.last_heartbeat_at < max_heartbeat_gap_ms()) ++zone.reporting;
    }
    zone_partitioned_.assign(zones.size(), 0);
    zone_partitioned_at_.resize(zones.size(), -1);
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const auto [total, reporting] = zones[index];
        const bool partitioned =
            total >= kMinMachinesOfZone && reporting * kPartitionedZoneDivisor < total;
        zone_partitioned_[index] = partitioned ? 1 : 0;
        // After the partition, silence is counted from its end: when the first machines report
        // again, those whose reports are still to come must not be released.
        if (partitioned) zone_partitioned_at_[index] = now;
    }
}

void FailureDetector::begin_round(const std::vector<Machine>& machines, std::size_t zone_count,
                                  std::optional<Millis> policy_timeout, Millis now) {
    if (leading_since_ < 0) leading_since_ = now;
    update_partitioned_zones(machines, zone_count, now);
    round_ = {};
    round_.now = now;
    for (const auto& machine : machines) {
        if (machine.lifecycle != Machine::Lifecycle::Up) continue;
        ++round_.up;
        // With a longer time some machines still counted as reporting when the first ones were
        // released, although all had gone silent at once.
        if (now - machine.last_heartbeat_at < max_heartbeat_gap_ms()) ++round_.reporting;
        if (machine.unreachable_since != 0) ++round_.unreachable;
        if (machine.lost_leases >= kMaxLostLeases) ++round_.losing_leases;
    }
    round_.majority_silent = round_.reporting * 2 < round_.up;
    if (round_.majority_silent) majority_silent_at_ = now;
    // If a report is lost, the worker waits 4 s for the answer and 1 s before it tries the next
    // node. A shorter time-out would release healthy machines between two of their reports.
    round_.heartbeat_timeout = policy_timeout
                                   ? std::max(*policy_timeout, max_heartbeat_gap_ms())
                                   : settings_.report_ms * kHeartbeatLateAfterQuarters / 4 +
                                         kWorkerRetryMs + kHeartbeatTimeoutMargin;
    round_.partition_timeout =
        std::max(round_.heartbeat_timeout, settings_.lease_ms * kPartitionTimeoutLeases);
}

// The time from which missing heartbeats count against the machine.
Millis FailureDetector::expected_since(const Machine& machine) const {
    const bool was_partitioned =
        machine.zone < zone_partitioned_at_.size() && !is_zone_partitioned(machine.zone);
    return std::max(machine.first_seen,
                    was_partitioned ? zone_partitioned_at_[machine.zone] : Millis{-1});
}

std::optional<FailureDetector::Failure> FailureDetector::check_up(const Machine& machine) const {
    if (const auto failure = check_silence(machine)) return failure;
    if (const auto failure = check_unreachable(machine)) return failure;
    return check_lost_leases(machine);
}

// "Failure detection", silence: a machine without heartbeats is released after a time-out. While
// most machines are silent, the fault is assumed to be on the controllers' side and none is
// released, but only for a limited time (the bound on the majority rule).
std::optional<FailureDetector::Failure> FailureDetector::check_silence(
    const Machine& machine) const {
    const auto silent_since =
        std::max({machine.last_heartbeat_at, expected_since(machine), leading_since_});
    // Once most machines report again, the reports of the others are probably on their way, so
    // their silence is counted from that time.
    const auto silent_ms =
        round_.now -
        (round_.majority_silent ? silent_since : std::max(silent_since, majority_silent_at_));
    // Limited in time: without that, a fleet that had shrunk to one hung machine kept its tasks.
    const bool is_controller_fault =
        round_.majority_silent &&
        silent_ms <= std::max(round_.partition_timeout, kMinMajoritySilence);
    if (silent_ms <= silence_timeout(machine) || is_controller_fault) return std::nullopt;
    return Failure{events::ReleaseReason::Silent, silent_ms};
}

Millis FailureDetector::silence_timeout(const Machine& machine) const {
    if (!is_zone_partitioned(machine.zone)) return round_.heartbeat_timeout;
    if (!workload_.has_replicas(machine)) return round_.partition_timeout;
    // By then the lease of a worker that gets no answers has expired and its replicas are down.
    // They are run elsewhere as soon as the release of the machine proves them gone.
    return std::max(round_.heartbeat_timeout, settings_.lease_ms + max_heartbeat_gap_ms());
}

// "Failure detection", unreachable: a one-way partition, in which the machine's reports arrive but
// commands to it have no effect. If more than half of the machines are affected, the fault is on
// the controllers' side and none is released.
std::optional<FailureDetector::Failure> FailureDetector::check_unreachable(
    const Machine& machine) const {
    const auto timeout =
        std::max(round_.heartbeat_timeout, settings_.lease_ms + settings_.report_ms * 3);
    const auto unreachable_ms = round_.now - machine.unreachable_since;
    if (machine.unreachable_since == 0 || unreachable_ms <= timeout ||
        round_.unreachable * 2 > round_.up) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::Unreachable, unreachable_ms};
}

// "Failure detection", unreachable: commands may reach a machine while answers to its heartbeats do
// not. Its lease then expires again and again, and its tasks are killed each time.
std::optional<FailureDetector::Failure> FailureDetector::check_lost_leases(
    const Machine& machine) const {
    if (!settings_.command_effect_check || machine.lost_leases < kMaxLostLeases ||
        round_.losing_leases * 4 > round_.up) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::LeasesLost, 0};
}

// "Failure detection", spot notice: a machine without heartbeats since the announced end of its
// notice counts as taken back by the cloud. A replacement can be provisioned earlier than after the
// time-out for silence.
std::optional<FailureDetector::Failure> FailureDetector::check_notice(
    const Machine& machine) const {
    if (!machine.reclaim_at || round_.now <= *machine.reclaim_at + kNoticeMargin ||
        machine.last_heartbeat_at >= *machine.reclaim_at) {
        return std::nullopt;
    }
    return Failure{events::ReleaseReason::NoticeExpired, 0};
}

std::optional<FailureDetector::Failure> FailureDetector::check_booting(const Machine& machine,
                                                                       double boot_s) const {
    const auto boot_timeout =
        std::max(static_cast<Millis>((boot_s > 0 ? boot_s : kDefaultBootSeconds) *
                                     kBootTimeoutMsPerBootSecond),
                 kMinBootTimeout);
    // A new leader finds machines in the cloud's list that have been up for long but have not
    // reported to it yet. They get the full time-out from when it first saw them, whatever their
    // age.
    const auto known_ms = round_.now - expected_since(machine);
    // A placement record can name a machine that no list of the cloud shows: it is gone, and only
    // its release proves that.
    const bool only_in_records =
        !machine.listed && !machine.allocations.empty() &&
        round_.now - machine.first_seen > round_.heartbeat_timeout + kRecordOnlyMargin;
    const bool may_boot = !machine.running && round_.now - machine.provisioned_at <= boot_timeout;
    const bool overdue = known_ms > registration_timeout(machine, boot_timeout) && !may_boot;
    if (!only_in_records && !overdue) return std::nullopt;
    return Failure{events::ReleaseReason::NeverRegistered, 0};
}

// How long a known machine may go without a report. check_booting() also allows for its boot time.
Millis FailureDetector::registration_timeout(const Machine& machine, Millis boot_timeout) const {
    if (!machine.running) return std::min(boot_timeout, 2 * round_.heartbeat_timeout);
    if (is_zone_partitioned(machine.zone)) return round_.partition_timeout;
    // Tasks of cancelled jobs that may be there have to end soon: they were cancelled under an
    // earlier leader, and a hung machine receives no halt.
    if (workload_.has_cancelled_work(machine)) {
        return std::min(2 * round_.heartbeat_timeout, max_heartbeat_gap_ms() + kPollMargin);
    }
    return 2 * round_.heartbeat_timeout;
}

}  // namespace lichendrift::core
