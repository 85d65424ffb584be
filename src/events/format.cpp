#include "events/format.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <type_traits>

namespace lichendrift::events {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool needs_quotes(std::string_view text) {
    if (text.empty()) return true;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= kFirstPrintable || byte == kDelete) return true;
        if (character == '"' || character == '=' || character == '\\') return true;
    }
    return false;
}

std::string quoted(std::string_view text) {
    std::string out = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (character == '\n') {
            out += "\\n";
        } else if (byte < kFirstPrintable || byte == kDelete) {
            out += fmt::format("\\x{:02x}", byte);
        } else {
            out += character;
        }
    }
    out += '"';
    return out;
}

// Builds the log line of one event.
class Line {
  public:
    explicit Line(std::string_view name) : text_("event=") { text_ += name; }

    Line& field(std::string_view name, std::string_view value) {
        return raw(name, needs_quotes(value) ? quoted(value) : std::string(value));
    }
    Line& field(std::string_view name, const std::string& value) {
        return field(name, std::string_view(value));
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> Line& field(std::string_view name, Number value) {
        return raw(name, fmt::format("{}", value));
    }
    Line& field(std::string_view name, const std::vector<std::string>& values) {
        return field(name, fmt::format("{}", fmt::join(values, ",")));
    }
    // Omits the field if the value is empty.
    Line& optional(std::string_view name, std::string_view value) {
        return value.empty() ? *this : field(name, value);
    }
    // Omits the field if the value is zero.
    template <typename Number>
    requires std::is_arithmetic_v<Number> Line& optional(std::string_view name, Number value) {
        return value == Number{} ? *this : field(name, value);
    }
    [[nodiscard]] std::string take() { return std::move(text_); }

  private:
    Line& raw(std::string_view name, const std::string& value) {
        text_ += ' ';
        text_ += name;
        text_ += '=';
        text_ += value;
        return *this;
    }

    std::string text_;
};

std::string_view name_of(StepDownReason reason) {
    switch (reason) {
        case StepDownReason::HigherTokenAnnounced:
            return "higher_token_announced";
        case StepDownReason::HigherTokenAtWorker:
            return "higher_token_at_worker";
        case StepDownReason::LeaderLeaseExpired:
            return "leader_lease_expired";
        case StepDownReason::AnotherLeaderElected:
            return "another_leader_elected";
        case StepDownReason::Shutdown:
            return "shutdown";
    }
    return "";
}

std::string_view name_of(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::Idle:
            return "idle";
        case ReleaseReason::Silent:
            return "silent";
        case ReleaseReason::Unreachable:
            return "unreachable";
        case ReleaseReason::LeasesLost:
            return "leases_lost";
        case ReleaseReason::NoticeExpired:
            return "notice_expired";
        case ReleaseReason::UnconfirmedRun:
            return "unconfirmed_run";
        case ReleaseReason::NeverRegistered:
            return "never_registered";
    }
    return "";
}

std::string_view name_of(DutyEnd how) {
    switch (how) {
        case DutyEnd::Lost:
            return "lost";
        case DutyEnd::HandedOver:
            return "handed_over";
        case DutyEnd::GivenUp:
            return "given_up";
    }
    return "";
}

void add_fields(Line&, const ControllerStarted&) {}
void add_fields(Line&, const AllControllersCurrent&) {}
void add_fields(Line&, const AllControllersFenceDuties&) {}
void add_fields(Line&, const LeaderElected&) {}
void add_fields(Line&, const LeaderLeaseRecovered&) {}
void add_fields(Line&, const LeaseRenewalsSuspended&) {}
void add_fields(Line&, const LeaseRenewalsResumed&) {}

void add_fields(Line& line, const LeaseMarginTooSmall& event) {
    line.field("lease_s", event.lease_s).field("cancel_s", event.cancel_s);
}

void add_fields(Line& line, const MalformedMessages& event) {
    line.field("source", event.source).field("count", event.count);
}

void add_fields(Line& line, const LeaderObserved& event) {
    line.field("leader", event.leader).field("leader_token", event.leader_token);
}

void add_fields(Line& line, const FailoverComplete& event) {
    line.field("open_jobs", event.open_jobs).field("placement_records", event.placement_records);
}

void add_fields(Line& line, const LeaderSteppedDown& event) {
    line.field("reason", name_of(event.reason)).optional("seen_token", event.seen_token);
}

void add_fields(Line& line, const JobOpened& event) {
    line.field("job", event.job).field("class", event.job_class).field("tasks", event.tasks);
}

void add_fields(Line& line, const JobPlaced& event) {
    line.field("job", event.job)
        .field("class", event.job_class)
        .field("attempt", event.attempt)
        .field("waited_s", event.waited_s)
        .field("image", std::string_view(event.image_present ? "present" : "to_fetch"))
        .field("score_percent", event.score_percent);
    if (!event.rejected_zones.empty()) line.field("rejected_zones", event.rejected_zones);
    line.field("tasks", event.tasks).field("machines", event.machines);
}

void add_fields(Line& line, const TaskPreempted& event) {
    line.field("job", event.job)
        .field("task", event.task)
        .field("machine", event.machine)
        .optional("preempted_by", event.preempted_by);
}

void add_fields(Line& line, const JobCompleted& event) { line.field("job", event.job); }

void add_fields(Line& line, const RequestsRefused& event) {
    line.field("count", event.count).field("last_reason", event.last_reason);
}

void add_fields(Line& line, const SubmissionMalformed& event) {
    line.field("reason", event.reason).field("body", event.body);
}

void add_fields(Line& line, const TerminalStateNotFound& event) {
    line.field("job", event.job)
        .field("requests", event.requests)
        .field("read_age_ms", event.read_age_ms)
        .field("last_request_age_ms", event.last_request_age_ms)
        .field("copy_age_ms", event.copy_age_ms);
}

void add_fields(Line& line, const MachineReleaseStarted& event) {
    line.field("machine", event.machine)
        .field("reason", name_of(event.reason))
        .optional("for_ms", event.for_ms)
        .optional("job", event.job);
}

void add_fields(Line& line, const MachineDrainStarted& event) {
    line.field("machine", event.machine);
}

void add_fields(Line& line, const MachineDrainCancelled& event) {
    line.field("machine", event.machine);
}

void add_fields(Line& line, const MachinesReleased& event) {
    line.field("count", event.count).field("first_machine", event.first_machine);
}

void add_fields(Line& line, const ReleasesInherited& event) {
    line.field("count", event.count).field("first_machine", event.first_machine);
}

void add_fields(Line& line, const ProvisionRequested& event) {
    line.field("request", event.request)
        .field("count", event.count)
        .field("type", event.type)
        .field("zone", event.zone)
        .field("spot", event.spot);
}

void add_fields(Line& line, const ProvisionCompleted& event) {
    line.field("request", event.request)
        .field("machines", event.machines)
        .field("no_capacity", event.no_capacity);
}

void add_fields(Line& line, const RecordUnreadable& event) { line.field("key", event.key); }

void add_fields(Line& line, const StateLimitsLowered& event) {
    line.field("rejected_operations", event.rejected_operations)
        .field("rejected_value_bytes", event.rejected_value_bytes)
        .field("max_operations", event.max_operations)
        .field("max_value_bytes", event.max_value_bytes);
}

void add_fields(Line& line, const DutyAcquired& event) {
    line.field("duty", event.duty).field("epoch", event.epoch);
}

void add_fields(Line& line, const DutyEnded& event) {
    line.field("duty", event.duty)
        .field("how", name_of(event.how))
        .optional("epoch", event.epoch)
        .optional("removed_records", event.removed_records);
}

void add_fields(Line& line, const StaleEpochRefused& event) {
    line.field("request", event.request);
}

void add_fields(Line& line, const IntentOverdue& event) {
    line.field("key", event.key)
        .field("open_s", event.open_s)
        .optional("releases", event.releases)
        .optional("first_machine", event.first_machine)
        .optional("provision_request", event.provision_request);
}

void add_fields(Line& line, const IntentsReport& event) {
    line.field("open", event.open)
        .field("written", event.written)
        .field("settled", event.settled)
        .field("inherited", event.inherited)
        .field("withdrawn_provisions", event.withdrawn_provisions)
        .field("damaged", event.damaged)
        .field("stale_refused", event.stale_refused);
}

void add_fields(Line& line, const CleanupSuspicious& event) { line.field("key", event.key); }

void add_fields(Line& line, const CleanupWouldRemove& event) { line.field("key", event.key); }

void add_fields(Line& line, const CleanupRemoved& event) {
    line.field("count", event.count).field("first_key", event.first_key);
}

void add_fields(Line& line, const PolicyValueRejected& event) {
    line.field("setting", event.setting)
        .field("expression", event.expression)
        .field("value", event.value)
        .field("minimum", event.minimum)
        .field("maximum", event.maximum);
}

spdlog::level::level_enum spdlog_level(Level level) {
    return level == Level::Debug ? spdlog::level::debug : spdlog::level::info;
}

}  // namespace

Level level_of(const Event& event) {
    const bool is_debug = std::holds_alternative<SubmissionMalformed>(event) ||
                          std::holds_alternative<TerminalStateNotFound>(event);
    return is_debug ? Level::Debug : Level::Info;
}

std::string format(const Event& event) {
    return std::visit(
        [](const auto& typed) {
            Line line(typed.kName);
            add_fields(line, typed);
            return line.take();
        },
        event);
}

bool is_logged(const Event& event) { return spdlog::should_log(spdlog_level(level_of(event))); }

void log(const Event& event) {
    if (is_logged(event)) spdlog::log(spdlog_level(level_of(event)), "{}", format(event));
}

}  // namespace lichendrift::events
