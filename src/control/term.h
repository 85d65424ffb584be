#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "control/leader_host.h"
#include "control/locked_cluster.h"
#include "control/settings.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "store/store_client.h"

namespace lichendrift::control {

using core::Millis;

/// What all parts of the leader share during one term of leadership. Owned by the Leader and
/// outlives its parts. Used on the event loop's thread, except for `cluster`.
struct Term {
    net::Runtime& runtime;          ///< clock, timers and outgoing requests
    const Settings& settings;       ///< from the settings file
    store::StoreClient& store;      ///< client of the state service
    LeaderHost& host;               ///< the controller
    std::uint64_t token;            ///< the term's first fencing token
    std::uint64_t leader_revision;  ///< revision of the leader record that began the term
    /// Shared with the planner's thread, which may still use it after the term has ended.
    std::shared_ptr<LockedCluster> cluster;
    /// Scope of all callbacks of the leader and its parts. It ends with the term; bound callbacks
    /// do nothing afterwards.
    net::CallbackScope callbacks = {};

    /// The condition of every write of this term: the leader record is unchanged. So a delayed
    /// write of a leader that was replaced fails.
    [[nodiscard]] wire::Condition leadership_condition() const;

    /// Steps down if the write failed because another controller was elected. Returns whether it
    /// stepped down.
    bool step_down_if_replaced(const store::TransactionResult& result);

    /// Milliseconds since the job's submission, by the wall clock.
    [[nodiscard]] Millis age_of(const core::JobDescription& job) const {
        return runtime.wall_ms() - job.submitted_ms;
    }
};

/// Whether the transaction failed on its condition on `key`.
[[nodiscard]] bool condition_failed(const store::TransactionResult& result, std::string_view key);

}  // namespace lichendrift::control
