#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "control/election.h"
#include "control/peers.h"
#include "net/malformed_message_counter.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

class Leader;

/// Routes heartbeats of workers to the leader and returns its answers (docs/design.md, "How reports
/// find the leader").
///
/// A worker sends its heartbeat to any controller. A controller that does not lead *forwards* the
/// heartbeat to the leader. If the leader does not answer, it asks a third controller to *relay*
/// the heartbeat: that controller forwards it to the leader, or refuses it. A relayed heartbeat is
/// never relayed again, which rules out loops. If all of this fails, the worker's request is
/// refused (503), or the worker is redirected to a controller that is a better next choice (421).
/// Used on the event loop's thread only.
class HeartbeatRouter {
  public:
    /// The components that the router uses; all of them must outlive it.
    struct Dependencies {
        net::Runtime& runtime;            ///< clock
        const Settings& settings;         ///< provides the limit on connections
        const store::StoreClient& store;  ///< tells whether the state service answers
        Peers& peers;                     ///< the other controllers
        LeaderElection& election;         ///< tells who leads
        /// Returns the leader if this controller leads, otherwise null.
        std::function<Leader*()> local_leader;
    };

    /// Creates a router with no requests in flight.
    explicit HeartbeatRouter(Dependencies dependencies);

    /// Handles a heartbeat that a worker sends to this controller.
    void on_worker_heartbeat(const std::string& body, net::Respond respond);
    /// Handles a heartbeat that a peer forwards to this controller as the leader.
    void on_forwarded_heartbeat(const std::string& body, const net::Respond& respond);
    /// Handles the request of a peer that cannot reach the leader to relay a heartbeat.
    void on_relay_request(const std::string& body, const net::Respond& respond);

  private:
    /// Which attempt to forward a heartbeat this is. A second one is made only if the leader has
    /// changed while the first was in flight.
    enum class Attempt : std::uint8_t { First, Last };
    using Answer = std::optional<wire::HeartbeatAnswer>;  // empty: there was no usable answer
    using OnAnswer = std::function<void(Answer)>;

    void route(const core::Report& report, net::Respond respond, Attempt attempt);
    void forward(const core::Report& report, net::Respond respond, Attempt attempt);
    void relay(const core::Report& report, net::Respond respond, std::size_t failed_attempts);
    void forward_for_peer(const core::Report& report, const net::Respond& respond);
    void send(const Peer& to, const char* path, const core::Report& report, Millis deadline_ms,
              OnAnswer on_answer);
    void refuse_or_redirect(const net::Respond& respond) const;
    [[nodiscard]] const Peer* controller_after_silent_leader() const;
    [[nodiscard]] int max_requests_in_flight() const;

    Dependencies deps_;
    net::MalformedMessageCounter malformed_{"a worker"};
    int requests_in_flight_ = 0;
    Millis last_forward_at_;
    Millis last_relay_failure_at_;
    // Index of the peer that last relayed successfully, among the peers without the leader.
    std::size_t preferred_relay_ = 0;
};

}  // namespace lichendrift::control
