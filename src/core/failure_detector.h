/// Failure detection: which machines are given up, and why (docs/design.md, "Failure detection").
#pragma once

#include <optional>
#include <vector>

#include "core/machine.h"
#include "events/event.h"

namespace lichendrift::core {

/// What failure detection has to know of the work on a machine.
class MachineWorkload {
  public:
    virtual ~MachineWorkload() = default;
    /// Whether replicas of services count as being on it.
    [[nodiscard]] virtual bool has_replicas(const Machine& machine) const = 0;
    /// Whether tasks of cancelled jobs count as being on it.
    [[nodiscard]] virtual bool has_cancelled_work(const Machine& machine) const = 0;
};

/// Checks machines round by round by their heartbeats and by the effect of what they were sent.
/// Pure: it changes no machine; whoever owns them acts on its findings. Owns what is known of the
/// fleet as a whole: zones that are cut off and times at which most machines were silent.
class FailureDetector {
  public:
    /// The bounds that follow from the settings.
    struct Bounds {
        Millis report_ms = 0;              ///< interval between heartbeats
        Millis lease_ms = 0;               ///< lease of a worker
        bool command_effect_check = true;  ///< SafetyGuards::command_effect_check
    };
    /// Why a machine is to be released.
    struct Failure {
        events::ReleaseReason reason = events::ReleaseReason::Silent;  ///< which detector saw it
        Millis for_ms = 0;  ///< how long it was silent or unreachable; 0: does not apply
    };

    /// `work` has to outlive the detector.
    FailureDetector(const Bounds& bounds, const MachineWorkload& work)
        : bounds_(bounds), work_(work) {}

    /// The leader lease may have expired: no machine is checked, and silence counts anew from the
    /// next round.
    void suspend() { sure_since_ = -1; }
    /// Begins a round. `wanted_patience`: the policy's patience with silent machines, if any.
    void begin_round(const std::vector<Machine>& machines, std::size_t zone_count,
                     std::optional<Millis> wanted_patience, Millis now);
    /// Finds the zones of which nearly all machines have fallen silent together.
    void update_partitioned_zones(const std::vector<Machine>& machines, std::size_t zone_count,
                                  Millis now);
    /// Whether the zone is cut off: nothing is provisioned there.
    [[nodiscard]] bool is_zone_partitioned(ZoneIndex zone) const {
        return zone < zone_cut_.size() && zone_cut_[zone] != 0;
    }
    /// The longest time between two heartbeats of a machine that is sound.
    [[nodiscard]] Millis heartbeat_due_ms() const;

    /// Silence, one-way partition and lost leases of a machine that is up.
    [[nodiscard]] std::optional<Failure> check_up(const Machine& machine) const;
    /// A spot machine whose notice has run out.
    [[nodiscard]] std::optional<Failure> check_notice(const Machine& machine) const;
    /// A machine that has not registered in this term. `boot_s`: boot time of its type; 0: unknown.
    [[nodiscard]] std::optional<Failure> check_booting(const Machine& machine, double boot_s) const;

  private:
    [[nodiscard]] std::optional<Failure> silent(const Machine& machine) const;
    [[nodiscard]] std::optional<Failure> unreachable(const Machine& machine) const;
    [[nodiscard]] std::optional<Failure> losing_leases(const Machine& machine) const;
    [[nodiscard]] Millis silence_bound(const Machine& machine) const;
    [[nodiscard]] Millis registration_bound(const Machine& machine, Millis boot_patience) const;
    [[nodiscard]] Millis expected_since(const Machine& machine) const;

    // What holds for all machines in one round.
    struct Round {
        Millis now = 0;
        std::size_t up = 0;
        std::size_t reporting = 0;
        std::size_t unreachable = 0;
        std::size_t losing_leases = 0;
        bool majority_silent = false;
        Millis patience = 0;      // with a silent machine
        Millis cut_patience = 0;  // the same in a zone that is cut off
    };

    Bounds bounds_;
    const MachineWorkload& work_;
    Round round_;
    std::vector<char> zone_cut_;      // by zone
    std::vector<Millis> zone_back_;   // when the zone was cut off last; -1: never
    Millis sure_since_ = -1;          // -1: not sure to lead
    Millis majority_silent_at_ = -1;  // when most machines were silent at once last; -1: never
};

}  // namespace lichendrift::core
