#pragma once

#include <string>

#include "control/election.h"
#include "control/peers.h"
#include "control/user_api.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// Forwards users' requests to the leader, and its answers to the users, while the state service
/// answers the leader but not this controller. The leader handles them itself and never forwards
/// them again, which rules out loops. Used on the event loop's thread only.
class UserRequestForwarder {
  public:
    /// All arguments must outlive this object.
    UserRequestForwarder(const store::StoreClient& store, Peers& peers,
                         const LeaderElection& election, UserApi& users);

    /// Whether users' requests should be forwarded now instead of being handled here.
    [[nodiscard]] bool should_forward() const;
    /// Forwards a request to the leader. If the leader does not answer, this controller handles it:
    /// it responds with the state of a job that it knows to have ended, and otherwise with 503
    /// unless the state service answers again.
    void forward(const net::HttpRequest& request, net::Respond respond);
    /// Handles a user's request that a peer forwards to this controller.
    void on_forwarded_request(const std::string& body, net::Respond respond);

  private:
    const store::StoreClient& store_;
    Peers& peers_;
    const LeaderElection& election_;
    UserApi& users_;
    int requests_in_flight_ = 0;
};

}  // namespace lichendrift::control
