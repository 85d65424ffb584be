#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/event_log.h"
#include "control/peers.h"

namespace lichendrift::control {

/// Tracks which capabilities the peers support. Queries each peer until it confirms. A confirmation
/// is kept while this process runs, because a peer is never replaced by an older version.
///
/// Nothing is stored in a new format while some peer may run a version that does not know it,
/// because that peer may become the leader at any moment. Fencing of duties begins once every
/// controller has it switched on; from then on it is durable, so that a peer that is down later
/// does not switch it off.
class PeerCapabilities {
  public:
    /// All reference arguments must outlive this object.
    PeerCapabilities(net::Runtime& runtime, const Settings& settings, Peers& peers, EventLog log);

    /// Starts querying the peers.
    void start();

    /// Whether every controller is known to run this version or a later one.
    [[nodiscard]] bool all_current() const;
    /// Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] bool all_fence_duties() const;

    /// Whether this controller answers queries for its version. If not, it sends none either.
    [[nodiscard]] bool answers_version_queries() const { return settings_.guards.current_version; }
    /// Whether this controller answers queries for its features. If not, it sends none either.
    [[nodiscard]] bool answers_feature_queries() const { return settings_.features.fenced_duties; }
    /// Handles a peer's query for the version of this controller.
    void on_version_query(const std::string& body, const net::Respond& respond);
    /// Handles a peer's query for the features that are switched on here.
    void on_features_query(const std::string& body, const net::Respond& respond);

  private:
    /// A capability that every peer is queried for until it confirms.
    struct Capability {
        const char* path;
        std::string query;
        /// Whether an answer confirms the capability; empty: the answer is malformed.
        std::optional<bool> (*parse_confirmation)(const std::string& answer);
        events::Event all_confirmed;     // logged once every peer has confirmed
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
