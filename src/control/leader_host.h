#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"
#include "events/event.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

using core::Millis;

/// What one term of leadership needs of its controller. Used on the loop's thread only.
class LeaderHost {
  public:
    virtual ~LeaderHost() = default;

    /// Whether the leader's lease is surely still valid, by a clock that is read anew. Without it
    /// nothing is written and nothing is started.
    virtual bool has_leader_lease() = 0;

    /// Steady time until which has_leader_lease() stays true if the lease is not renewed.
    virtual Millis leader_lease_valid_until() = 0;

    /// Whether tasks may be started: the lease is valid, and every cancellation that was confirmed
    /// before the last moments is known here.
    virtual bool may_start_tasks() = 0;

    /// Whether the leases of workers may be renewed: every cancellation that was confirmed long
    /// enough ago is surely known here.
    virtual bool may_renew_leases() = 0;

    /// Whether every controller is known to be of this version or a later one.
    [[nodiscard]] virtual bool peers_run_current_version() const = 0;

    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] virtual bool peers_fence_duties() const = 0;

    /// Ends the term: calls Leader::stop() and drops the leader as soon as the present event is
    /// handled. `seen_token`: the higher fencing token, if one was seen.
    virtual void step_down(events::StepDownReason reason, std::uint64_t seen_token = 0) = 0;

    /// Logs with the controller's context.
    virtual void log(const events::Event& event) = 0;

    /// The cloud's list of machine types was read.
    virtual void on_machine_types(const std::vector<core::MachineType>& types) = 0;

    /// Counts to announce to the other controllers: of all jobs, or of those that changed.
    virtual void on_job_counts(std::vector<wire::JobCounts> counts, bool all) = 0;
};

}  // namespace lichendrift::control
