// Responses to users that the handlers of their requests share.
#include "control/user_responses.h"

#include "events/format.h"
#include "net/http_status.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr int kRetryAfterS = 1;
constexpr Millis kLogIntervalMs = 3000;
constexpr Millis kLongAgo = -100'000;  // earlier than any time of the runtime's clock

std::string_view text(RefusalReason reason) {
    switch (reason) {
        case RefusalReason::StateServiceUnavailable:
            return "the state service does not answer";
        case RefusalReason::MachineTypesUnknown:
            return "machine types are not known yet";
        case RefusalReason::TooManyDuplicates:
            return "too many repeats under way";
        case RefusalReason::TooManySubmissions:
            return "too many submissions at once";
    }
    return "";
}

}  // namespace

void respond_error(const net::Respond& respond, int status, std::string_view reason) {
    respond({status, wire::error_body(reason)});
}

void respond_no_such_job(const net::Respond& respond) {
    respond_error(respond, http_status::kNotFound, "no such job");
}

void respond_terminal(const net::Respond& respond, const std::string& job_id, TerminalState state) {
    const auto* name = state == TerminalState::Aborted ? "aborted" : "done";
    respond({http_status::kOk, wire::job_state_body(job_id, name)});
}

TemporaryRefusals::TemporaryRefusals(net::Runtime& runtime)
    : runtime_(runtime), logged_at_(kLongAgo) {}

void TemporaryRefusals::refuse(const net::Respond& respond, RefusalReason reason) {
    ++count_;
    if (runtime_.now() - logged_at_ > kLogIntervalMs) {
        logged_at_ = runtime_.now();
        events::log(events::RequestsRefused{count_, text(reason)});
    }
    respond({http_status::kUnavailable, wire::error_body(text(reason)), kRetryAfterS});
}

}  // namespace lichendrift::control
