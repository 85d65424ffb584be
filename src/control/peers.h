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

/// The paths of requests between controllers, all POST with a CBOR body of wire/peer_messages.h.
namespace peer_path {

inline constexpr const char* kHeartbeat = "/peer/beat";  ///< a heartbeat forwarded to the leader
inline constexpr const char* kRelay = "/peer/relay";     ///< a heartbeat to forward for its sender
inline constexpr const char* kUserRequest = "/peer/user";  ///< a user's request, forwarded
inline constexpr const char* kCancellationAnnouncement =
    "/peer/cancelled";  ///< cancellations just confirmed
inline constexpr const char* kCancellationQuery =
    "/peer/cancellations";  ///< asks for known cancellations
inline constexpr const char* kLeaderAnnouncement = "/peer/leader";  ///< the leader's announcement
inline constexpr const char* kVersionQuery = "/peer/version";    ///< asks for the protocol version
inline constexpr const char* kFeaturesQuery = "/peer/features";  ///< asks for the features in use

}  // namespace peer_path

/// A response to another controller, as CBOR.
[[nodiscard]] net::HttpResponse peer_response(int status, std::string body = "");

/// The other controllers: their names and addresses, requests to them, and the count of their
/// malformed messages. Used on the loop's thread; outlives what calls it.
class Peers {
  public:
    /// `settings` has to outlive this object.
    Peers(net::Runtime& runtime, const Settings& settings);

    /// All peers, in the order of the settings file.
    [[nodiscard]] const std::vector<Peer>& all() const { return settings_.peers; }
    /// The peer of that name; null if there is none, or if this controller has that name.
    [[nodiscard]] const Peer* find(const std::string& member) const;
    /// All peers but the one of that name.
    [[nodiscard]] std::vector<const Peer*> all_except(const std::string& member) const;
    /// The controllers that a worker tries after this one, in its order: by name, in a circle.
    [[nodiscard]] std::vector<const Peer*> in_order_after_self() const;

    /// Sends a request; calls back exactly once, never from inside this call.
    void call(const Peer& peer, const char* path, std::string body, Millis deadline_ms,
              net::OnReply on_reply);

    /// What `decode` makes of a reply; nothing unless its status is 200. A malformed body is
    /// counted and gives nothing.
    template <typename Decode>
    auto decode_reply(const net::HttpReply& reply, Decode decode) -> decltype(decode(reply.body)) {
        if (reply.status != net::http_status::kOk) return std::nullopt;
        auto message = decode(reply.body);
        if (!message) note_malformed();
        return message;
    }
    /// Counts a malformed request of a peer and answers it with 400.
    void refuse_malformed(const net::Respond& respond);

  private:
    void note_malformed() { malformed_.note(runtime_.now()); }

    net::Runtime& runtime_;
    const Settings& settings_;
    net::MalformedMessageCounter malformed_{"a peer"};
};

}  // namespace lichendrift::control
