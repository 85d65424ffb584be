// What the controllers send to each other, in CBOR. The layouts are in peer_messages.cpp. A decoder
// returns nothing for a malformed message; callers answer 400 or count it.
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
    std::vector<core::Command> commands;  ///< in the order of execution
};

/// Progress of a job, for display to its user.
struct JobCounts {
    std::string id;             ///< of the job
    std::uint32_t done = 0;     ///< completed tasks
    std::uint32_t running = 0;  ///< running tasks
};

/// What the leader announces to the other controllers, about once a second.
struct Announcement {
    std::string member;             ///< name of the leader
    std::uint64_t token = 0;        ///< first fencing token of its term
    bool store_responsive = false;  ///< whether the state service answers the leader
    bool complete = false;          ///< whether `counts` has all jobs, not just the changed ones
    std::vector<JobCounts> counts;  ///< progress of open jobs
};

/// A job that a controller has confirmed, or is about to confirm, as cancelled.
struct Cancellation {
    std::uint64_t revision = 0;  ///< of its terminal state in the state service
    std::string id;              ///< of the job
};

/// Cancellations that a controller knows of: the answer to a query, and the announcement of one
/// that was just confirmed.
struct CancellationUpdate {
    /// No cancellation of a later revision that this controller may have confirmed is missing.
    std::uint64_t complete_after = 0;
    std::vector<Cancellation> cancelled;  ///< the cancellations
};

/// A user's request that a controller forwards to the leader, because the state service answers
/// the leader but not the controller itself.
struct ForwardedRequest {
    std::string method;  ///< HTTP method
    std::string target;  ///< HTTP target
    std::string body;    ///< as the user sent it
};

/// The leader's answer to a forwarded request.
struct ForwardedAnswer {
    int status = 0;         ///< HTTP status, 200 to 599
    int retry_after_s = 0;  ///< seconds for the Retry-After header; 0: none
    std::string body;       ///< for the user
};

/// Version of the formats and messages that this controller knows. Controllers older than services
/// (jobs that run until they are cancelled) have no version and do not know the query for it.
inline constexpr std::uint64_t kProtocolVersion = 1;

/// Features that a controller has switched on, as bits. One without any, or of a version before
/// features, does not know the query for them.
enum class Feature : std::uint64_t {
    FencedDuties = 1,  ///< fenced duties, see docs/duties.md
};

/// A version query or its answer.
[[nodiscard]] std::string encode_version(std::uint64_t version);
/// The version that a query or answer names.
[[nodiscard]] std::optional<std::uint64_t> decode_version(std::string_view bytes);

/// A feature query or its answer. `features`: bits of Feature.
[[nodiscard]] std::string encode_features(std::uint64_t features);
/// The bits of Feature that a query or answer names.
[[nodiscard]] std::optional<std::uint64_t> decode_features(std::string_view bytes);

/// See ForwardedRequest.
[[nodiscard]] std::string encode_forwarded_request(const ForwardedRequest& request);
/// See ForwardedRequest.
[[nodiscard]] std::optional<ForwardedRequest> decode_forwarded_request(std::string_view bytes);

/// See ForwardedAnswer.
[[nodiscard]] std::string encode_forwarded_answer(const ForwardedAnswer& answer);
/// See ForwardedAnswer; one with a status or delay out of range is malformed.
[[nodiscard]] std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view bytes);

/// Asks for the cancellations after revision `since`.
[[nodiscard]] std::string encode_cancellation_query(std::uint64_t since);
/// The revision that a query asks from.
[[nodiscard]] std::optional<std::uint64_t> decode_cancellation_query(std::string_view bytes);

/// See CancellationUpdate.
[[nodiscard]] std::string encode_cancellation_update(const CancellationUpdate& update);
/// See CancellationUpdate.
[[nodiscard]] std::optional<CancellationUpdate> decode_cancellation_update(std::string_view bytes);

/// A worker's heartbeat, to be forwarded.
[[nodiscard]] std::string encode_report(const core::Report& report);
/// A forwarded heartbeat.
[[nodiscard]] std::optional<core::Report> decode_report(std::string_view bytes);

/// See HeartbeatAnswer.
[[nodiscard]] std::string encode_heartbeat_answer(const HeartbeatAnswer& answer);
/// See HeartbeatAnswer.
[[nodiscard]] std::optional<HeartbeatAnswer> decode_heartbeat_answer(std::string_view bytes);

/// See Announcement.
[[nodiscard]] std::string encode_announcement(const Announcement& announcement);
/// See Announcement.
[[nodiscard]] std::optional<Announcement> decode_announcement(std::string_view bytes);

}  // namespace lichendrift::wire
