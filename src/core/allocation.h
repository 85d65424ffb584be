/// Allocations: the attempts that count against a machine's capacity and a team's quota.
#pragma once

#include "core/types.h"

namespace lichendrift::core {

/// One attempt of one task that counts as being on a machine until it is proven off
/// (docs/design.md, "When a task is off a machine").
struct Allocation {
    /// How far the run of the attempt has come.
    enum class State : std::uint8_t {
        Planned,  ///< its placement record is not durable yet, so nothing was sent
        Ready,    ///< its record is durable; the run is to be sent
        Sent,     ///< a run was sent, and no report shows the outcome yet
        Seen,     ///< a report has shown it, or an earlier leader may have started it
    };
    JobIndex job = kInvalidIndex;          ///< kInvalidIndex: the entry is free
    std::uint32_t task = 0;                ///< number of the task within the job
    std::uint64_t attempt = 0;             ///< never used twice, by no leader
    MachineIndex machine = kInvalidIndex;  ///< where it counts
    std::uint64_t session = 0;             ///< session of the worker that it was placed under
    State state = State::Planned;          ///< how far its run has come
    TaskPhase phase = TaskPhase::Pulling;  ///< by the newest report
    bool reported = false;                 ///< a report of this term has shown it alive
    bool unexpected = false;               ///< found on a machine without a record of it
    bool stop_requested = false;           ///< to be halted
    double grace_s = 0;                    ///< time that the halt leaves it to save, seconds
    /// A direct run had no answer: it may still be carried out.
    bool direct_unconfirmed = false;
    std::uint64_t direct_runs_in_flight = 0;  ///< direct runs under way
    std::uint64_t direct_token = 0;           ///< token of the newest direct run
    std::uint64_t heartbeat_seq = 0;          ///< newest heartbeat whose answer carried the run
    std::uint64_t halt_seq = 0;               ///< newest heartbeat whose answer carried the halt
    Millis created_at = 0;                    ///< when it was made
    Millis running_since = 0;                 ///< when it was first seen running; 0: not so far
    Millis stop_requested_at = 0;             ///< when it was to be halted first
};

/// Whether no run of it was sent so far: it can be taken back without a proof.
[[nodiscard]] inline bool is_unsent(const Allocation& allocation) {
    return allocation.state == Allocation::State::Planned ||
           allocation.state == Allocation::State::Ready;
}

}  // namespace lichendrift::core
