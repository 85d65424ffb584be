// Layouts of the messages between controllers. During an upgrade, controllers of two versions
// exchange these messages. If an entry is removed or moved, the other version refuses the message
// or misreads it. Entries added at the end would be ignored by the production version; none are
// added all the same, so that the encoded bytes stay those of production, as the fixtures in tests
// check.
#include "wire/peer_messages.h"

#include "wire/cbor.h"

namespace lichendrift::wire {

namespace {

constexpr int kMinStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kMaxRetryAfterS = 600;

// A message with a single number: a version, a set of features or a cancellation query.
struct Number {
    std::uint64_t value = 0;
};

}  // namespace

namespace cbor {

template <>
struct Layout<Number> {
    static auto entries(auto& number) { return std::tie(number.value); }
};
template <>
struct Layout<ForwardedRequest> {
    static auto entries(auto& request) {
        return std::tie(request.method, request.target, request.body);
    }
};
template <>
struct Layout<ForwardedAnswer> {
    static auto entries(auto& answer) {
        return std::tie(answer.status, answer.retry_after_s, answer.body);
    }
};
template <>
struct Layout<Cancellation> {
    static auto entries(auto& cancellation) {
        return std::tie(cancellation.revision, cancellation.id);
    }
};
template <>
struct Layout<CancellationUpdate> {
    static auto entries(auto& update) { return std::tie(update.complete_after, update.cancelled); }
};
template <>
struct Layout<core::TaskReport> {
    static auto entries(auto& task) {
        return std::tie(task.job, task.task, task.attempt, task.phase, task.exit_reason,
                        task.progress_saved);
    }
};
template <>
struct Layout<core::Report> {
    static auto entries(auto& report) {
        return std::tie(report.machine, report.endpoint, report.type, report.zone, report.spot,
                        report.session, report.seq, report.token, report.notice_s, report.tasks);
    }
};
template <>
struct Layout<core::Command> {
    static auto entries(auto& command) {
        return std::tie(command.kind, command.job, command.task, command.attempt, command.grace_s);
    }
};
template <>
struct Layout<HeartbeatAnswer> {
    static auto entries(auto& answer) { return std::tie(answer.token, answer.commands); }
};
template <>
struct Layout<JobCounts> {
    static auto entries(auto& job) { return std::tie(job.id, job.done, job.running); }
};
template <>
struct Layout<Announcement> {
    static auto entries(auto& announcement) {
        return std::tie(announcement.member, announcement.token, announcement.store_responsive,
                        announcement.complete, announcement.counts);
    }
};

template <>
struct MaxEnumerator<core::TaskPhase> {
    static constexpr auto kValue = core::TaskPhase::Exited;
};
template <>
struct MaxEnumerator<core::ExitReason> {
    static constexpr auto kValue = core::ExitReason::Unknown;
};
template <>
struct MaxEnumerator<core::Command::Kind> {
    static constexpr auto kValue = core::Command::Kind::Reap;
};

}  // namespace cbor

namespace {

std::optional<std::uint64_t> decode_number(std::string_view bytes) {
    const auto number = cbor::decode<Number>(bytes);
    if (!number) return std::nullopt;
    return number->value;
}

}  // namespace

std::string encode_version(std::uint64_t version) { return cbor::encode(Number{version}); }
std::optional<std::uint64_t> decode_version(std::string_view bytes) { return decode_number(bytes); }

std::string encode_features(std::uint64_t features) { return cbor::encode(Number{features}); }
std::optional<std::uint64_t> decode_features(std::string_view bytes) {
    return decode_number(bytes);
}

std::string encode_cancellation_query(std::uint64_t since) { return cbor::encode(Number{since}); }
std::optional<std::uint64_t> decode_cancellation_query(std::string_view bytes) {
    return decode_number(bytes);
}

std::string encode_forwarded_request(const ForwardedRequest& request) {
    return cbor::encode(request);
}
std::optional<ForwardedRequest> decode_forwarded_request(std::string_view bytes) {
    return cbor::decode<ForwardedRequest>(bytes);
}

std::string encode_forwarded_answer(const ForwardedAnswer& answer) { return cbor::encode(answer); }
std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view bytes) {
    auto answer = cbor::decode<ForwardedAnswer>(bytes);
    if (answer && (answer->status < kMinStatus || answer->status > kMaxStatus ||
                   answer->retry_after_s > kMaxRetryAfterS)) {
        answer.reset();
    }
    return answer;
}

std::string encode_cancellation_update(const CancellationUpdate& update) {
    return cbor::encode(update);
}
std::optional<CancellationUpdate> decode_cancellation_update(std::string_view bytes) {
    return cbor::decode<CancellationUpdate>(bytes);
}

std::string encode_report(const core::Report& report) { return cbor::encode(report); }
std::optional<core::Report> decode_report(std::string_view bytes) {
    return cbor::decode<core::Report>(bytes);
}

std::string encode_heartbeat_answer(const HeartbeatAnswer& answer) { return cbor::encode(answer); }
std::optional<HeartbeatAnswer> decode_heartbeat_answer(std::string_view bytes) {
    return cbor::decode<HeartbeatAnswer>(bytes);
}

std::string encode_announcement(const Announcement& announcement) {
    return cbor::encode(announcement);
}
std::optional<Announcement> decode_announcement(std::string_view bytes) {
    return cbor::decode<Announcement>(bytes);
}

}  // namespace lichendrift::wire
