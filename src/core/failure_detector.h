/// Failure detection: decides which machines have failed and are to be released, and why
/// (docs/design.md, "Failure detection").
#pragma once

#include <optional>
#include <vector>

#include "core/machine.h"
#include "events/event.h"

namespace lichendrift::core {

/// What failure detection needs to know about the work on a machine.
class MachineWorkload {
  public:
    virtual ~MachineWorkload() = default;
    /// Whether replicas of services are allocated on the machine.
    [[nodiscard]] virtual bool has_replicas(const Machine& machine) const = 0;
    /// Whether tasks of cancelled jobs are still allocated on the machine.
    [[nodiscard]] virtual bool has_cancelled_work(const Machine& machine) const = 0;
};

/// Checks machines in rounds, by their heartbeats and by whether commands to them take effect. It
/// changes no machine: the owner of the machines acts on its findings. It keeps the state that
/// concerns the fleet as a whole: which zones are partitioned (cut off), and when most machines
/// were silent at once.
class FailureDetector {
  public:
    /// The settings from which the time-outs are computed.
    struct Settings {
        Millis report_ms = 0;              ///< interval between heartbeats
        Millis lease_ms = 0;               ///< duration of a worker's lease
        bool command_effect_check = true;  ///< see SafetyGuards::command_effect_check
    };
    /// Why a machine is to be released.
    struct Failure {
        events::ReleaseReason reason = events::ReleaseReason::Silent;  ///< the check that failed
        Millis elapsed_ms = 0;  ///< how long it was silent or unreachable; 0: not applicable
    };

    /// `workload` has to outlive the detector.
    FailureDetector(const Settings& settings, const MachineWorkload& workload)
        : settings_(settings), workload_(workload) {}

    /// Called while the leader lease may have expired: no machine is checked then, and silence is
    /// counted from the next round on.
    void suspend() { leading_since_ = -1; }
    /// Begins a round of checks. `policy_timeout`: the policy's time-out for silent machines, if
    /// it sets one.
    void begin_round(const std::vector<Machine>& machines, std::size_t zone_count,
                     std::optional<Millis> policy_timeout, Millis now);
    /// Updates which zones are partitioned: nearly all of their machines have gone silent together.
    void update_partitioned_zones(const std::vector<Machine>& machines, std::size_t zone_count,
                                  Millis now);
    /// Whether the zone is partitioned from the controllers, so that nothing is provisioned there.
    [[nodiscard]] bool is_zone_partitioned(ZoneIndex zone) const {
        return zone < zone_partitioned_.size() && zone_partitioned_[zone] != 0;
    }
    /// The longest time between two heartbeats of a healthy machine, in milliseconds.
    [[nodiscard]] Millis max_heartbeat_gap_ms() const;

    /// Checks a machine that is up for silence, a one-way partition and repeated loss of its lease.
    [[nodiscard]] std::optional<Failure> check_up(const Machine& machine) const;
    /// Checks whether the cloud has taken back a spot machine after its notice.
    [[nodiscard]] std::optional<Failure> check_notice(const Machine& machine) const;
    /// Checks a machine that has not registered in this term. `boot_s`: boot time of its type,
    /// seconds; 0: unknown.
    [[nodiscard]] std::optional<Failure> check_booting(const Machine& machine, double boot_s) const;

  private:
    [[nodiscard]] std::optional<Failure> check_silence(const Machine& machine) const;
    [[nodiscard]] std::optional<Failure> check_unreachable(const Machine& machine) const;
    [[nodiscard]] std::optional<Failure> check_lost_leases(const Machine& machine) const;
    [[nodiscard]] Millis silence_timeout(const Machine& machine) const;
    [[nodiscard]] Millis registration_timeout(const Machine& machine, Millis boot_timeout) const;
    [[nodiscard]] Millis expected_since(const Machine& machine) const;

    // Values that apply to all machines during one round.
    struct Round {
        Millis now = 0;
        std::size_t up = 0;         // number of machines that are up; of these:
        std::size_t reporting = 0;  // with a recent heartbeat
        std::size_t unreachable = 0;
        std::size_t losing_leases = 0;
        bool majority_silent = false;
        Millis heartbeat_timeout = 0;  // time-out for a silent machine
        Millis partition_timeout = 0;  // the same in a partitioned zone
    };

    Settings settings_;
    const MachineWorkload& workload_;
    Round round_;
    std::vector<char> zone_partitioned_;       // by zone
    std::vector<Millis> zone_partitioned_at_;  // when the zone was last partitioned; -1: never
    Millis leading_since_ = -1;       // first round with a valid leader lease; -1: suspended
    Millis majority_silent_at_ = -1;  // when most machines were last silent at once; -1: never
};

}  // namespace lichendrift::core
