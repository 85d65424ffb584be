// Responses to users that the handlers of their requests share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "control/terminal_state.h"
#include "core/types.h"
#include "net/runtime.h"

namespace lichendrift::control {

using core::Millis;

/// Why a request gets status 503.
enum class RefusalReason : std::uint8_t {
    StateServiceUnavailable,  ///< the state service gives no answer
    MachineTypesUnknown,      ///< the cloud's machine types are not known yet
    TooManyDuplicates,        ///< the limit of waiting submissions of the same job is reached
    TooManySubmissions,       ///< the limit of queued new jobs is reached
};

/// Responds with an error status and the reason as text.
void respond_error(const net::Respond& respond, int status, std::string_view reason);
/// Responds with status 404: the job was never accepted.
void respond_no_such_job(const net::Respond& respond);
/// Responds with the state of a job that has ended.
void respond_terminal(const net::Respond& respond, const std::string& job_id, TerminalState state);

/// Refuses requests for now, with status 503 and Retry-After. Every refusal is counted, but the log
/// is rate limited, so that overload does not flood it. Loop thread only.
class TemporaryRefusals {
  public:
    /// `runtime` must outlive the object.
    explicit TemporaryRefusals(net::Runtime& runtime);
    /// Responds with status 503.
    void refuse(const net::Respond& respond, RefusalReason reason);

  private:
    net::Runtime& runtime_;
    std::uint64_t count_ = 0;
    Millis logged_at_;
};

}  // namespace lichendrift::control
