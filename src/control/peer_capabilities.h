#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/event_log.h"
#include "control/peers.h"

namespace lichendrift::control {

/// What the peers are known to support. Asks each of them until it confirms; what a peer has
/// confirmed stays known while this process runs, as no older version follows a newer one.
///
/// While a peer may be of a version that does not know of it, nothing is stored in a new way: that
/// peer may lead at any moment. Fencing of duties begins once every controller takes part; from
/// then on it is durable, so that a peer that is down later does not switch it off.
class PeerCapabilities {
  public:
    /// All arguments have to outlive this object.
    PeerCapabilities(net::Runtime& runtime, const Settings& settings, Peers& peers, EventLog log);

    /// Begins to ask the peers.
    void start();

    /// Whether every controller is known to be of this version or a later one.
    [[nodiscard]] bool all_current() const;
    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] bool all_fence_duties() const;

    /// Whether this controller answers questions about its version.
    [[nodiscard]] bool answers_version_queries() const { return settings_.guards.current_version; }
    /// Whether this controller answers questions about its features.
    [[nodiscard]] bool answers_feature_queries() const { return settings_.features.fenced_duties; }
    /// A peer asks for the version of this controller.
    void on_version_query(const std::string& body, const net::Respond& respond);
    /// A peer asks for the features that are switched on here.
    void on_features_query(const std::string& body, const net::Respond& respond);

  private:
    /// One thing that every peer is asked for until it confirms.
    struct Capability {
        const char* path;
        std::string query;
        /// Whether an answer confirms; nothing: the answer is malformed.
        std::optional<bool> (*parse_confirmation)(const std::string& answer);
        events::Event all_confirmed;
        std::vector<bool> confirmed_by;  // by index of the peer

        [[nodiscard]] bool confirmed_by_all() const;
    };
    void query_unconfirmed_peers(Capability& capability);
    void on_reply(Capability& capability, std::size_t peer, const net::HttpReply& reply);

    net::Runtime& runtime_;
    const Settings& settings_;
    Peers& peers_;
    EventLog log_;
    Capability current_version_;
    Capability fenced_duties_;
};

}  // namespace lichendrift::control
