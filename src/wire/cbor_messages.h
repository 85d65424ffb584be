#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

// What the controllers say to each other, in CBOR.
namespace lichendrift::wire {

struct HeartbeatAnswer {
    std::uint64_t token = 0;
    std::vector<core::Command> commands;
};

struct JobCounts {
    std::string id;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
};

// The leader's word to the others, about once a second.
struct Announcement {
    std::string member;
    std::uint64_t token = 0;
    bool store_responsive = false;  // the state service answers the leader
    bool complete = false;          // these are the counts of all jobs, not of those that changed
    std::vector<JobCounts> counts;
};

// A job whose user was told, or may be told, that it is cancelled.
struct Cancellation {
    std::uint64_t revision = 0;  // of its final word
    std::string id;
};

// What a node knows of cancellations: the answer to a question since a revision, and the news of
// one that was just confirmed.
struct CancellationNews {
    // No cancellation of a later revision, that this node may ever have told, is missing.
    std::uint64_t complete_after = 0;
    std::vector<Cancellation> cancelled;
};

// A user's request that a node passes on because the state service refuses it alone.
struct ForwardedRequest {
    std::string method;
    std::string target;
    std::string body;
};
struct ForwardedAnswer {
    int status = 0;
    int retry_after_s = 0;
    std::string body;
};

// What a controller knows of formats and messages. Controllers of versions before standing services
// have no such number and do not know the question for it.
inline constexpr std::uint64_t kProtocolVersion = 1;

std::string encode_version(std::uint64_t version);
std::optional<std::uint64_t> decode_version(std::string_view bytes);

// What a controller has switched on, as bits. One that has nothing switched on, or is of a version
// without features, does not know the question for it.
enum class Feature : std::uint64_t { FencedDuties = 1 };
std::string encode_features(std::uint64_t features);
std::optional<std::uint64_t> decode_features(std::string_view bytes);

std::string encode_forwarded_request(const ForwardedRequest& request);
std::optional<ForwardedRequest> decode_forwarded_request(std::string_view bytes);
std::string encode_forwarded_answer(const ForwardedAnswer& answer);
std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view bytes);
std::string encode_cancellation_query(std::uint64_t since);
std::optional<std::uint64_t> decode_cancellation_query(std::string_view bytes);
std::string encode_cancellation_news(const CancellationNews& news);
std::optional<CancellationNews> decode_cancellation_news(std::string_view bytes);
std::string encode_report(const core::Report& report);
std::optional<core::Report> decode_report(std::string_view bytes);
std::string encode_heartbeat_answer(const HeartbeatAnswer& answer);
std::optional<HeartbeatAnswer> decode_heartbeat_answer(std::string_view bytes);
std::string encode_announcement(const Announcement& announcement);
std::optional<Announcement> decode_announcement(std::string_view bytes);

}  // namespace lichendrift::wire
