#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"
#include "events/event.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

using core::Millis;

/// The controller as seen by one term of leadership. Used on the event loop's thread only.
class LeaderHost {
  public:
    virtual ~LeaderHost() = default;

    /// Whether the leader's lease is certainly still valid, by a fresh reading of the clock.
    /// Without it the leader writes nothing and starts nothing.
    virtual bool has_leader_lease() = 0;

    /// Steady time until which has_leader_lease() stays true if the lease is not renewed.
    virtual Millis leader_lease_valid_until() = 0;

    /// Whether tasks may be started: the lease is valid, and this controller knows every
    /// cancellation that was confirmed up to a short time ago.
    virtual bool may_start_tasks() = 0;

    /// Whether workers' leases may be renewed: a lease renewed now expires within the setting
    /// `cancel_s` of any cancellation that this controller may not know.
    virtual bool may_renew_leases() = 0;

    /// Whether every controller is known to run this version or a later one.
    [[nodiscard]] virtual bool peers_run_current_version() const = 0;

    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] virtual bool peers_fence_duties() const = 0;

    /// Ends the term: calls Leader::stop() and destroys the leader once the current event is
    /// handled. `higher_token`: the fencing token of a later leader that a message carried; 0:
    /// none.
    virtual void step_down(events::StepDownReason reason, std::uint64_t higher_token = 0) = 0;

    /// Logs an event with the controller's context.
    virtual void log(const events::Event& event) = 0;

    /// Called when the cloud's list of machine types was read.
    virtual void on_machine_types(const std::vector<core::MachineType>& types) = 0;

    /// Passes on the counts of done and running tasks for the controller to announce to its peers.
    /// `all`: of all jobs; otherwise only of those whose counts changed.
    virtual void on_job_counts(std::vector<wire::JobCounts> counts, bool all) = 0;
};

}  // namespace lichendrift::control
