/// Allocations: attempts of tasks that count against a machine's capacity and a team's quota.
#pragma once

#include "core/types.h"

namespace lichendrift::core {

/// One attempt of one task. It counts as being on its machine until it is proven gone: by a trusted
/// report that shows it as exited or no longer shows it, by a later session of the worker, or by
/// the release of the machine (docs/design.md, "When a task is off a machine").
struct Allocation {
    /// Progress of the run command that starts the attempt.
    enum class State : std::uint8_t {
        Planned,  ///< the placement record is not durable yet, so no run command was sent
        Ready,    ///< the placement record is durable; the run command has to be sent
        Sent,     ///< a run command was sent, and no report shows its outcome yet
        Present,  ///< shown by a report, or possibly started by an earlier leader
    };
    JobIndex job = kInvalidIndex;          ///< kInvalidIndex: the entry is free
    std::uint32_t task = 0;                ///< number of the task within the job
    std::uint64_t attempt = 0;             ///< number of the attempt; no leader uses one twice
    MachineIndex machine = kInvalidIndex;  ///< machine that it counts against
    std::uint64_t session = 0;             ///< session of the worker at the time of placement
    State state = State::Planned;          ///< progress of the run command
    TaskPhase phase = TaskPhase::Pulling;  ///< as in the newest report
    bool reported = false;                 ///< a report of this term has shown it as not exited
    bool unexpected = false;               ///< found on a machine although no record names it
    bool stop_requested = false;           ///< it has to be halted
    double grace_s = 0;  ///< time that the halt leaves the task to save its progress, seconds
    /// A direct run command was not answered; it may still be carried out.
    bool direct_unconfirmed = false;
    std::uint64_t direct_runs_in_flight = 0;  ///< direct run commands without a result so far
    std::uint64_t direct_token = 0;           ///< fencing token of the newest direct run command
    std::uint64_t heartbeat_seq = 0;  ///< newest heartbeat whose answer carried the run command
    std::uint64_t halt_seq = 0;       ///< newest heartbeat whose answer carried the halt command
    Millis created_at = 0;            ///< when it was created
    Millis running_since = 0;         ///< when it was first reported running; 0: not so far
    Millis stop_requested_at = 0;     ///< when a stop was first requested
};

/// Whether no run command was sent, or the one that was sent is known not to have been executed.
/// Such an attempt is on no machine and can be released without further proof.
[[nodiscard]] inline bool is_unsent(const Allocation& allocation) {
    return allocation.state == Allocation::State::Planned ||
           allocation.state == Allocation::State::Ready;
}

}  // namespace lichendrift::core
