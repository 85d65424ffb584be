#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/settings.h"
#include "net/http_status.h"
#include "net/malformed_message_counter.h"
#include "net/runtime.h"

namespace lichendrift::control {

using core::Millis;

/// Paths of requests between controllers: all POST, with a CBOR body from wire/peer_messages.h.
namespace peer_path {

/// A worker's heartbeat, forwarded to the leader.
inline constexpr const char* kHeartbeat = "/peer/beat";
/// A worker's heartbeat that the receiver is asked to forward to the leader.
inline constexpr const char* kRelay = "/peer/relay";
/// A user's request, forwarded to the leader.
inline constexpr const char* kUserRequest = "/peer/user";
/// Announces cancellations that were just confirmed.
inline constexpr const char* kCancellationAnnouncement = "/peer/cancelled";
/// Asks for known cancellations.
inline constexpr const char* kCancellationQuery = "/peer/cancellations";
/// The leader's announcement of its leadership.
inline constexpr const char* kLeaderAnnouncement = "/peer/leader";
/// Asks for the protocol version.
inline constexpr const char* kVersionQuery = "/peer/version";
/// Asks for the features that are switched on.
inline constexpr const char* kFeaturesQuery = "/peer/features";

}  // namespace peer_path

/// A response to another controller; `body` is CBOR.
[[nodiscard]] net::HttpResponse peer_response(int status, std::string body = "");

/// The other controllers: their names and addresses, requests to them, and a count of their
/// malformed messages. Used on the event loop's thread only; must outlive the objects that use it.
class Peers {
  public:
    /// `runtime` and `settings` must outlive this object.
    Peers(net::Runtime& runtime, const Settings& settings);

    /// All peers, in the order of the settings file.
    [[nodiscard]] const std::vector<Peer>& all() const { return settings_.peers; }
    /// The peer with that name; null if there is none, also if it is this controller's own name.
    [[nodiscard]] const Peer* find(const std::string& member) const;
    /// All peers except the one with that name.
    [[nodiscard]] std::vector<const Peer*> all_except(const std::string& member) const;
    /// The peers in the order in which a worker tries them after this controller: sorted by name,
    /// beginning after this controller's name and wrapping around.
    [[nodiscard]] std::vector<const Peer*> in_order_after_self() const;

    /// Sends a request. Calls `on_reply` exactly once, never from within this call.
    void call(const Peer& peer, const char* path, std::string body, Millis deadline_ms,
              net::OnReply on_reply);

    /// Decodes the body of a reply with `decode`. Returns nothing if the status is not 200 or the
    /// body is malformed; malformed bodies are counted.
    template <typename Decode>
    auto decode_reply(const net::HttpReply& reply, Decode decode) -> decltype(decode(reply.body)) {
        if (reply.status != net::http_status::kOk) return std::nullopt;
        auto message = decode(reply.body);
        if (!message) note_malformed();
        return message;
    }
    /// Counts a malformed request from a peer and responds to it with 400.
    void refuse_malformed(const net::Respond& respond);

  private:
    void note_malformed() { malformed_.note(runtime_.now()); }

    net::Runtime& runtime_;
    const Settings& settings_;
    net::MalformedMessageCounter malformed_{"a peer"};
};

}  // namespace lichendrift::control
