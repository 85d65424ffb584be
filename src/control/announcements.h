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

/// The leader's announcements to its peers, about once a second: that it leads, whether the state
/// service answers it, and the counts of jobs' tasks, which every controller shows to users. Used
/// on the loop's thread.
class LeaderAnnouncements {
  public:
    /// Called with the token of a later leader, while this controller leads.
    using OnHigherToken = std::function<void(std::uint64_t token)>;

    /// All arguments have to outlive this object.
    LeaderAnnouncements(const store::StoreClient& store, Peers& peers, LeaderElection& election,
                        UserApi& users, OnHigherToken on_higher_token);

    /// Announces this controller's leadership, with counts; does nothing while it does not lead.
    /// `all`: these are the counts of all jobs, not only of those that changed.
    void announce(const std::vector<wire::JobCounts>& counts, bool all);
    /// A peer announces that it leads.
    void on_announcement(const std::string& body, const net::Respond& respond);

  private:
    const store::StoreClient& store_;
    Peers& peers_;
    LeaderElection& election_;
    UserApi& users_;
    OnHigherToken on_higher_token_;
};

}  // namespace lichendrift::control
