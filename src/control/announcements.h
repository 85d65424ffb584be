#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "control/election.h"
#include "control/peers.h"
#include "control/user_api.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// Sends and receives the leader's announcements, about once a second: that it leads, whether the
/// state service answers it, and the task counts of jobs, which every controller shows to users.
/// Used on the event loop's thread only.
class LeaderAnnouncements {
  public:
    /// Called with the token of a later leader if this controller still leads.
    using OnHigherToken = std::function<void(std::uint64_t token)>;

    /// All reference arguments must outlive this object.
    LeaderAnnouncements(const store::StoreClient& store, Peers& peers, LeaderElection& election,
                        UserApi& users, OnHigherToken on_higher_token);

    /// Announces this controller's leadership and the given counts; does nothing while it does not
    /// lead. `all`: `counts` has all jobs, not only the changed ones.
    void announce(const std::vector<wire::JobCounts>& counts, bool all);
    /// Handles a peer's announcement that it leads.
    void on_announcement(const std::string& body, const net::Respond& respond);

  private:
    const store::StoreClient& store_;
    Peers& peers_;
    LeaderElection& election_;
    UserApi& users_;
    OnHigherToken on_higher_token_;
};

}  // namespace lichendrift::control
