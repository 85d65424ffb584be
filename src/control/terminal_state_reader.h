// Reads of the terminal states of single jobs from the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "control/terminal_state.h"
#include "net/runtime.h"
#include "store/store_client.h"

namespace lichendrift::control {

using core::Millis;

/// Why the terminal state of a job could not be read.
enum class LookupError : std::uint8_t {
    NotFound,     ///< none is stored: the job is open or was never accepted
    Unavailable,  ///< the state service gave no usable answer
};

/// Reads terminal states that are not cached. Concurrent requests for the same job share a read.
///
/// The state service may have carried out a read in flight before a later request came. The request
/// may share it nevertheless: before it asks, it refreshes the copy of the open jobs, which brings
/// all terminal states that were stored since the read was sent, unless the copy was loaded anew in
/// between. So the request is answered with the state that the refresh has brought, or the read's
/// "not found" still holds at the revision of the refreshed copy.
///
/// Loop thread only; callbacks run on that thread too.
class TerminalStateReader {
  public:
    /// Gets the terminal state of a job, or the error.
    using OnResult = std::function<void(const tl::expected<TerminalState, LookupError>&)>;
    /// Gets each terminal state that a read has found, before those that wait for it, and the
    /// revision at which it was stored.
    using OnFound =
        std::function<void(const std::string& job_id, TerminalState state, std::uint64_t revision)>;
    /// The copy of the open jobs that a request has looked at before it asks for a terminal state.
    struct CopyVersion {
        std::uint64_t loads = 0;  ///< number of times that the copy has been loaded
        Millis read_at = 0;       ///< send time (steady clock) of the copy's newest read
    };

    /// Both references must outlive the reader.
    TerminalStateReader(net::Runtime& runtime, store::StoreClient& store, OnFound on_found);

    /// Reads the terminal state of a job that is neither open nor cached in `copy`, which was
    /// refreshed for this request. `done` is not called from inside this call.
    void read(const std::string& job_id, const CopyVersion& copy, OnResult done);
    /// Answers all requests that wait for this job's state, which has become known in another way.
    /// They are called back after the current event.
    void end(const std::string& job_id, TerminalState state);

  private:
    struct Read {
        std::vector<OnResult> callbacks;
        Millis sent_at = 0;
        Millis last_request_at = 0;
        std::uint64_t loads = 0;  // of the copy when the read was sent
        Millis copy_read_at = 0;  // for the last request
    };
    std::shared_ptr<Read> send(const std::string& job_id, const CopyVersion& copy);
    void on_reply(const std::string& job_id, Read& read, store::Outcome outcome,
                  const wire::Item& item);
    void log_not_found(const std::string& job_id, const Read& read) const;

    net::Runtime& runtime_;
    store::StoreClient& store_;
    OnFound on_found_;
    std::unordered_map<std::string, std::shared_ptr<Read>> reads_;  // the newest one of each job
};

}  // namespace lichendrift::control
