/// The state of one machine, its life cycle and why it is drained.
#pragma once

#include <set>

#include "core/types.h"

namespace lichendrift::core {

/// Why a machine is drained: it gets no new work and is released when it is empty.
enum class DrainReason : std::uint8_t {
    Faulty = 1,         ///< tasks of several jobs have failed there; for good
    Consolidation = 2,  ///< its work fits elsewhere; taken back when resources are short
};

/// The reasons for which a machine is drained; none: it is not.
class DrainReasons {
  public:
    /// Drains the machine for this reason too.
    void add(DrainReason reason) { bits_ |= static_cast<std::uint8_t>(reason); }
    /// Takes one reason back.
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
    /// A machine that fails to boot goes from Booting to Releasing; a confirmation that comes
    /// unasked, from any state to Gone. Nothing goes back. The transitions are the functions below.
    enum class Lifecycle : std::uint8_t {
        Booting,    ///< provisioned, listed or named by a record; no report in this term
        Up,         ///< it reports
        Releasing,  ///< it gets no work, and the cloud is asked to release it
        Gone,       ///< the cloud has confirmed its release, or the entry is free
    };
    std::string name;                          ///< empty: the entry is free
    std::string endpoint;                      ///< address of its worker; empty: not known
    TypeIndex type = kInvalidIndex;            ///< kInvalidIndex: only a record names it so far
    ZoneIndex zone = kInvalidIndex;            ///< kInvalidIndex: as above
    bool spot = false;                         ///< the cloud may take it back
    Lifecycle lifecycle = Lifecycle::Booting;  ///< see Lifecycle
    bool synced = false;                       ///< its newest report carries this leader's token
    DrainReasons drain;                        ///< why it is drained
    bool listed = false;                       ///< a list of the cloud has named it
    bool failed = false;                       ///< a list has shown it as failed
    bool running = false;                      ///< a list has shown it as running
    std::uint64_t session = 0;                 ///< session of its worker; 0: no report so far
    std::uint64_t seq = 0;                     ///< number of its newest report within the session
    std::optional<Millis> reclaim_at;          ///< spot notice: when the cloud takes it
    Millis first_seen = 0;                     ///< when this leader first learned of it
    Millis provisioned_at = 0;                 ///< by the cloud's list, otherwise as first_seen
    Millis last_heartbeat_at = 0;              ///< newest sign of life; 0: none
    Millis idle_since = 0;                     ///< when it became empty
    Millis release_requested_at = 0;           ///< newest request to the cloud; 0: none

    // One-way partition: what is sent to it has no effect, while its reports go on. Such a machine
    // never looks silent, and its tasks die with each of its leases.
    int missed_commands = 0;        ///< commands or answers without effect, in a row
    Millis unreachable_since = 0;   ///< 0: it is not
    Millis session_started_at = 0;  ///< when its session rose last
    int lost_leases = 0;            ///< in a row, with reports between them
    std::uint64_t token_sent_seq =
        0;  ///< newest heartbeat whose answer would have raised its token

    bool direct_in_flight = false;             ///< a direct command is under way
    Millis next_direct_at = 0;                 ///< no direct command before
    Resources used;                            ///< by its allocations
    std::vector<AllocationIndex> allocations;  ///< what counts as being on it
    std::vector<ImageIndex> images;            ///< most recent last
    std::set<JobIndex> failed_jobs;            ///< that failed there since its last success
    Millis quarantine_until = 0;               ///< no new work before
    std::uint64_t token = 0;                   ///< highest fencing token that it was sent
    /// A direct run was sent under this token: a copy of it may come late.
    bool direct_run_sent = false;

    /// The first report of this term has come: Booting -> Up. False: it was not booting.
    bool on_registered(Millis now) {
        if (lifecycle != Lifecycle::Booting) return false;
        lifecycle = Lifecycle::Up;
        idle_since = now;
        return true;
    }
    /// It is given up: -> Releasing. Its allocations count until the release is confirmed.
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
