#pragma once

#include <string>

#include "control/election.h"
#include "control/peers.h"
#include "control/user_api.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// Users' requests while the state service refuses this controller alone: they are forwarded to the
/// leader, whose answer goes to the user. The leader handles them itself and never forwards them
/// again, so that none goes round in circles. Used on the loop's thread.
class UserRequestForwarder {
  public:
    /// All arguments have to outlive this object.
    UserRequestForwarder(const store::StoreClient& store, Peers& peers,
                         const LeaderElection& election, UserApi& users);

    /// Whether users' requests are better forwarded now than handled here.
    [[nodiscard]] bool should_forward() const;
    /// Forwards a request; 503 if the leader does not answer it.
    void forward(const net::HttpRequest& request, net::Respond respond);
    /// A peer forwards a user's request to this controller.
    void on_forwarded_request(const std::string& body, net::Respond respond);

  private:
    const store::StoreClient& store_;
    Peers& peers_;
    const LeaderElection& election_;
    UserApi& users_;
    int requests_in_flight_ = 0;
};

}  // namespace lichendrift::control
