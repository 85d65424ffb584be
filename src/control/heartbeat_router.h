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

/// Brings heartbeats of workers to the leader and its answers back (docs/design.md, "How reports
/// find the leader").
///
/// A worker reports to any controller. If that one does not lead, it *forwards* the heartbeat: it
/// sends it to the leader itself. Where the leader does not answer, it asks a third controller to
/// *relay* the heartbeat: that one forwards it to the leader, or refuses it. A relayed heartbeat
/// is never relayed again, so none goes round in circles. Where all this fails the worker is
/// refused (503), or redirected to a controller that it can better try next (421). Used on the
/// loop's thread.
class HeartbeatRouter {
  public:
    /// What the router works with; all of it has to outlive the router.
    struct Dependencies {
        net::Runtime& runtime;            ///< time
        const Settings& settings;         ///< limit on connections
        const store::StoreClient& store;  ///< whether the state service answers
        Peers& peers;                     ///< the other controllers
        LeaderElection& election;         ///< who leads
        /// The leader, if it is this controller; null: it is not.
        std::function<Leader*()> local_leader;
    };

    /// A router without heartbeats under way.
    explicit HeartbeatRouter(Dependencies dependencies);

    /// A worker reports to this controller.
    void on_worker_heartbeat(const std::string& body, net::Respond respond);
    /// A peer forwards a heartbeat to this controller as the leader.
    void on_forwarded_heartbeat(const std::string& body, const net::Respond& respond);
    /// A peer that can't reach the leader asks this controller to relay a heartbeat.
    void on_relay_request(const std::string& body, const net::Respond& respond);

  private:
    /// How often a heartbeat may still be forwarded: it is, once more, if the leader has changed
    /// while the first try was under way.
    enum class Attempt : std::uint8_t { First, Last };
    using Answer = std::optional<wire::HeartbeatAnswer>;  // nothing: no useful answer came
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
    std::size_t preferred_relay_ = 0;  // index among the peers without the leader
};

}  // namespace lichendrift::control
