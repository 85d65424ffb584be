/// The state of one machine, its lifecycle and the reasons for draining it.
#pragma once

#include <set>

#include "core/types.h"

namespace lichendrift::core {

/// Why a machine is drained. It then gets no new work and is released once it is empty.
enum class DrainReason : std::uint8_t {
    Faulty = 1,         ///< tasks of several jobs have failed there; never withdrawn
    Consolidation = 2,  ///< its work fits on other machines; withdrawn when capacity is short
};

/// The reasons for which a machine is drained; without any, it is not drained.
class DrainReasons {
  public:
    /// Adds a reason for draining the machine.
    void add(DrainReason reason) { bits_ |= static_cast<std::uint8_t>(reason); }
    /// Withdraws a reason; the machine stays drained if others remain.
    void remove(DrainReason reason) {
        bits_ &= static_cast<std::uint8_t>(~static_cast<std::uint8_t>(reason));
    }
    /// Whether this is one of the reasons.
    [[nodiscard]] bool contains(DrainReason reason) const {
        return (bits_ & static_cast<std::uint8_t>(reason)) != 0;
    }
    /// Whether the machine is drained.
    [[nodiscard]] bool any() const { return bits_ != 0; }

  private:
    std::uint8_t bits_ = 0;
};

/// What the leader knows of one machine.
struct Machine {
    /// Booting -> Up (first report of this term) -> Releasing -> Gone (confirmed by the cloud).
    /// A machine that fails to boot goes from Booting to Releasing. A release that the cloud
    /// confirms without a request leads from any state to Gone. No transition leads back. The
    /// functions below are the transitions.
    enum class Lifecycle : std::uint8_t {
        Booting,    ///< provisioned, listed or named by a record; no report in this term
        Up,         ///< it has reported in this term
        Releasing,  ///< it gets no work, and the cloud is asked to release it
        Gone,       ///< the cloud has confirmed its release, or the entry is free
    };
    std::string name;                ///< empty: the entry is free
    std::string endpoint;            ///< address of its worker; empty: not known
    TypeIndex type = kInvalidIndex;  ///< kInvalidIndex: only a record names the machine so far
    ZoneIndex zone = kInvalidIndex;  ///< kInvalidIndex: not known, as above
    bool spot = false;               ///< a spot machine, which the cloud may reclaim
    Lifecycle lifecycle = Lifecycle::Booting;  ///< state in its lifecycle
    bool synced = false;        ///< its newest report carries a fencing token of this leader's term
    DrainReasons drain;         ///< reasons for draining it
    bool listed = false;        ///< the cloud has listed it
    bool failed = false;        ///< the cloud has listed it as failed
    bool running = false;       ///< the cloud has listed it as running
    std::uint64_t session = 0;  ///< session of its worker; 0: no report so far
    std::uint64_t seq = 0;      ///< number of its newest report within the session
    std::optional<Millis> reclaim_at;  ///< spot notice: when the cloud reclaims it
    Millis first_seen = 0;             ///< when this leader first learned of it
    Millis provisioned_at = 0;         ///< from its age in the cloud's list; first_seen until then
    Millis last_heartbeat_at = 0;      ///< newest report that counted as a sign of life; 0: none
    Millis idle_since = 0;             ///< when it last became empty
    Millis release_requested_at = 0;   ///< newest release request to the cloud; 0: none

    // One-way partition: messages to the machine have no effect, while its reports still arrive.
    // Such a machine never looks silent, and its tasks are killed each time its lease expires.
    int missed_commands = 0;        ///< commands or heartbeat answers in a row without effect
    Millis unreachable_since = 0;   ///< since when commands have no effect; 0: they have
    Millis session_started_at = 0;  ///< when the session of its worker last increased
    int lost_leases = 0;            ///< leases in a row that expired although reports arrived
    /// Newest heartbeat whose answer carried this leader's token to a worker that has not reported
    /// it yet; 0: none.
    std::uint64_t token_sent_seq = 0;

    bool direct_in_flight = false;             ///< a direct command waits for its result
    Millis next_direct_at = 0;                 ///< no direct command is sent before
    Resources used;                            ///< resources of its allocations
    std::vector<AllocationIndex> allocations;  ///< attempts that count as being on it
    std::vector<ImageIndex> images;            ///< images that it has, most recently seen last
    std::set<JobIndex> failed_jobs;  ///< jobs with failures there since a task last completed
    Millis quarantine_until = 0;     ///< it gets no new work before
    std::uint64_t token = 0;         ///< highest fencing token sent to it or reported by it
    /// A direct run command was sent under `token`, and a copy of it may still be delivered.
    bool direct_run_sent = false;

    /// The first report of this term: Booting -> Up. Returns false if the machine was not booting.
    bool on_registered(Millis now) {
        if (lifecycle != Lifecycle::Booting) return false;
        lifecycle = Lifecycle::Up;
        idle_since = now;
        return true;
    }
    /// The machine is given up: -> Releasing. Its allocations count until the release is confirmed.
    void start_release() {
        if (lifecycle != Lifecycle::Gone) lifecycle = Lifecycle::Releasing;
    }
    /// The cloud has confirmed its release: -> Gone.
    void on_released() {
        lifecycle = Lifecycle::Gone;
        synced = false;
    }
};

}  // namespace lichendrift::core
