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

/// One term of leadership: what all parts of the leader share. Owned by the Leader and outlives
/// its parts; used on the loop's thread, but for the cluster.
struct Term {
    net::Runtime& runtime;          ///< time, timers and requests
    const Settings& settings;       ///< the platform's settings
    store::StoreClient& store;      ///< the state service
    LeaderHost& host;               ///< the controller
    std::uint64_t token;            ///< the term's first fencing token
    std::uint64_t leader_revision;  ///< revision of the leader record that began the term
    /// Shared with the planner's thread, which may still use it when the term is over.
    std::shared_ptr<LockedCluster> cluster;
    /// Every callback of the leader and its parts is bound to it; it ends with the term.
    net::CallbackScope callbacks = {};

    /// Condition of every write of this term: a late one of a leader that was replaced fails.
    [[nodiscard]] wire::Condition leadership_condition() const;

    /// Steps down if the write failed because another controller leads; returns whether it did.
    bool step_down_if_replaced(const store::TransactionResult& result);

    /// Milliseconds since the job's submission, by the time of day.
    [[nodiscard]] Millis age_of(const core::JobDescription& job) const {
        return runtime.wall_ms() - job.submitted_ms;
    }
};

/// Whether the transaction's condition on `key` failed.
[[nodiscard]] bool condition_failed(const store::TransactionResult& result, std::string_view key);

}  // namespace lichendrift::control
