// Messages between controllers, encoded in CBOR with the layouts in peer_messages.cpp. A decoder
// returns nullopt for a malformed message; callers reject it with status 400 or count it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace lichendrift::wire {

/// The leader's answer to a heartbeat that another controller forwarded.
struct HeartbeatAnswer {
    std::uint64_t token = 0;              ///< fencing token for the worker
    std::vector<core::Command> commands;  ///< in the order in which the worker executes them
};

/// Progress of a job, which is shown to its user.
struct JobCounts {
    std::string id;             ///< id of the job
    std::uint32_t done = 0;     ///< completed tasks
    std::uint32_t running = 0;  ///< running tasks
};

/// Message that the leader sends to the other controllers about once a second.
struct Announcement {
    std::string member;             ///< name of the leader
    std::uint64_t token = 0;        ///< first fencing token of its term
    bool store_responsive = false;  ///< the state service answers the leader
    bool complete = false;          ///< `counts` has all open jobs, not just those that changed
    std::vector<JobCounts> counts;  ///< progress of open jobs
};

/// A job whose cancellation a controller has confirmed to the user, or is about to.
struct Cancellation {
    std::uint64_t revision = 0;  ///< revision of its terminal state in the state service
    std::string id;              ///< id of the job
};

/// Cancellations that a controller knows of. Sent to announce cancellations that it confirms, and
/// as the answer to a query.
struct CancellationUpdate {
    /// In an answer: `cancelled` contains every cancellation that the sender may have confirmed
    /// with a revision above this one and above the query's. Ignored in an announcement.
    std::uint64_t complete_after = 0;
    std::vector<Cancellation> cancelled;  ///< cancellations that the sender knows of
};

/// A user's request that a controller forwards to the leader, because the state service answers
/// the leader but not this controller.
struct ForwardedRequest {
    std::string method;  ///< HTTP method
    std::string target;  ///< HTTP request target
    std::string body;    ///< HTTP body, unchanged
};

/// The leader's answer to a forwarded request.
struct ForwardedAnswer {
    int status = 0;         ///< HTTP status, 200 to 599
    int retry_after_s = 0;  ///< Retry-After header, seconds, at most 600; 0: none
    std::string body;       ///< HTTP body
};

/// Version of the stored formats and of the messages that this controller supports. Controllers
/// from before services (jobs that run until they are cancelled) have no version and do not support
/// the version query.
inline constexpr std::uint64_t kProtocolVersion = 1;

/// Features that a controller has enabled, as bits. A controller without any enabled, or of a
/// version from before features, does not support the feature query.
enum class Feature : std::uint64_t {
    FencedDuties = 1,  ///< the duties are fenced by epochs; see docs/duties.md
};

/// Encodes a version query or its answer, which have the same form.
[[nodiscard]] std::string encode_version(std::uint64_t version);
/// Decodes the version in a query or its answer.
[[nodiscard]] std::optional<std::uint64_t> decode_version(std::string_view bytes);

/// Encodes a feature query or its answer, which have the same form. `features`: bits of Feature.
[[nodiscard]] std::string encode_features(std::uint64_t features);
/// Decodes the bits of Feature in a query or its answer.
[[nodiscard]] std::optional<std::uint64_t> decode_features(std::string_view bytes);

/// Encodes a user's request for the leader.
[[nodiscard]] std::string encode_forwarded_request(const ForwardedRequest& request);
/// Decodes a user's request that a controller forwarded.
[[nodiscard]] std::optional<ForwardedRequest> decode_forwarded_request(std::string_view bytes);

/// Encodes the leader's answer to a forwarded request.
[[nodiscard]] std::string encode_forwarded_answer(const ForwardedAnswer& answer);
/// Decodes the leader's answer. It is malformed if its status or delay is out of range.
[[nodiscard]] std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view bytes);

/// Encodes a query for the cancellations with a revision above `since`.
[[nodiscard]] std::string encode_cancellation_query(std::uint64_t since);
/// Decodes the revision `since` of a query.
[[nodiscard]] std::optional<std::uint64_t> decode_cancellation_query(std::string_view bytes);

/// Encodes an announcement of cancellations or the answer to a query.
[[nodiscard]] std::string encode_cancellation_update(const CancellationUpdate& update);
/// Decodes an announcement of cancellations or the answer to a query.
[[nodiscard]] std::optional<CancellationUpdate> decode_cancellation_update(std::string_view bytes);

/// Encodes a worker's heartbeat that is forwarded to the leader.
[[nodiscard]] std::string encode_report(const core::Report& report);
/// Decodes a forwarded heartbeat.
[[nodiscard]] std::optional<core::Report> decode_report(std::string_view bytes);

/// Encodes the leader's answer to a forwarded heartbeat.
[[nodiscard]] std::string encode_heartbeat_answer(const HeartbeatAnswer& answer);
/// Decodes the leader's answer to a forwarded heartbeat.
[[nodiscard]] std::optional<HeartbeatAnswer> decode_heartbeat_answer(std::string_view bytes);

/// Encodes an announcement of the leader.
[[nodiscard]] std::string encode_announcement(const Announcement& announcement);
/// Decodes an announcement of the leader.
[[nodiscard]] std::optional<Announcement> decode_announcement(std::string_view bytes);

}  // namespace lichendrift::wire
