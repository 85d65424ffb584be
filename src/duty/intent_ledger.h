#pragma once

/// @file
/// Write-ahead ledger of a holder's requests to the cloud.

#include <map>
#include <optional>
#include <set>

#include "duty/actions.h"
#include "duty/intent_slot.h"

namespace lichendrift::duty {

/// Switches for the ledger's safety guards. All are on in production; tests switch one off to show
/// that they detect its absence.
struct IntentGuards {
    bool intent_before_request = true;  ///< no cloud request before its intent is durable
    bool inherit_intents = true;        ///< intents of earlier holders are taken over and finished
    /// Compares both switches.
    friend bool operator==(const IntentGuards&, const IntentGuards&) = default;
};

/// Default limit of the state service on the size of a value, in bytes.
inline constexpr std::size_t kDefaultValueBytes = 8192;
/// Default limit of the state service on the operations of one transaction.
inline constexpr std::size_t kDefaultOperations = 8;

/// Write-ahead ledger of the machines that a holder provisions and releases. An intent is stored
/// before its requests are sent to the cloud. The next holder of the duty reads the intent,
/// finishes it and places no work on the machines that it releases. A request of a replaced holder,
/// however late it takes effect, therefore releases only machines that nobody uses, or repeats an
/// idempotent provisioning request. The ledger does no I/O: it is given queued work and results,
/// and returns the writes and requests that are due.
class IntentLedger {
  public:
    /// Creates a ledger without intents.
    explicit IntentLedger(IntentGuards guards = {}) : guards_(guards) {}

    /// Limits of the state service for new records and transactions.
    struct Limits {
        std::size_t value_bytes = kDefaultValueBytes;  ///< size of one intent's value
        std::size_t operations = kDefaultOperations;   ///< operations of one transaction
    };
    /// Counts since this holder was created.
    struct Counters {
        std::uint64_t written = 0;    ///< intents that became durable
        std::uint64_t completed = 0;  ///< intents with no requests left
        std::uint64_t inherited = 0;  ///< intents taken over from earlier holders
        std::uint64_t damaged = 0;    ///< intents that cannot be parsed
        std::uint64_t withdrawn = 0;  ///< provisioning requests dropped before they were sent
    };

    /// Takes over an intent that an earlier holder left.
    void inherit(const StoredIntent& stored, Millis now);

    /// Queues the release of a machine unless it is queued or in an intent already. `urgent`: the
    /// release does not wait for others to share its intent.
    void queue_release(const std::string& machine, bool urgent, Millis now);
    /// Queues a provisioning request.
    void queue_provision(ProvisionRequest request, Millis now);

    /// Before fencing begins: allows the requests for everything that is queued, without storing
    /// intents.
    void open_unfenced(Millis now);
    /// Once fencing has begun: puts the content of intents without a record back into the queue, so
    /// that it is stored before its requests are sent. Skips intents with a request in flight.
    void requeue_unfenced();

    /// The next write of an intent that is due. The caller must report its result to on_written().
    [[nodiscard]] std::optional<WriteIntent> next_write(const Permit& provisioning,
                                                        const Permit& reclaiming,
                                                        const Limits& limits, Millis now);
    /// Whether a failed write shows that the lease or a duty has passed to another controller.
    enum class FenceCheck : std::uint8_t { Intact, Failed };
    /// Processes the result of writing the intent in a slot.
    [[nodiscard]] FenceCheck on_written(std::uint32_t number, const WriteResult& result,
                                        Millis now);

    /// The next record to read back because it is not known whether a write to it was executed. The
    /// caller must report its result to on_read().
    [[nodiscard]] std::optional<ReadIntent> next_read(Millis now);
    /// Processes the result of reading back the intent in a slot.
    void on_read(std::uint32_t number, const IntentReadResult& result, Millis now);

    /// The next removal of completed records, at most `max_operations` of them. The caller must
    /// report its result to on_removed().
    [[nodiscard]] std::optional<RemoveIntents> next_removal(const Permit& provisioning,
                                                            std::size_t max_operations, Millis now);
    /// Processes the result of removing the records of these slots.
    [[nodiscard]] FenceCheck on_removed(const std::vector<std::uint32_t>& numbers,
                                        const WriteResult& result, Millis now);

    /// The next request to release machines that is due. At most one is in flight at a time.
    [[nodiscard]] std::optional<RequestRelease> next_release(const Permit& provisioning,
                                                             Millis now);
    /// Processes the outcome of a request to release the first `machines` machines of a slot.
    void on_released(std::uint32_t number, std::size_t machines, CloudOutcome outcome, Millis now);
    /// The next provisioning request that is due.
    [[nodiscard]] std::optional<RequestProvision> next_provision(const Permit& provisioning,
                                                                 Millis now);
    /// Processes the outcome of a provisioning request, given by its slot and id.
    void on_provisioned(std::uint32_t number, const std::string& request, CloudOutcome outcome,
                        Millis now);

    /// Whether the result of a provisioning request can be expected soon. Planning further machines
    /// waits for it.
    [[nodiscard]] bool provisioning_in_flight() const;
    /// Number of stored intents that are not completed.
    [[nodiscard]] std::size_t open_intent_count() const;
    /// Summary of the oldest open intent, for the log.
    struct OldestIntent {
        std::uint32_t slot = 0;         ///< slot of the intent
        Millis opened_at = 0;           ///< steady time at which it was put into the slot
        std::size_t releases = 0;       ///< machines that are still to be released
        std::string first_machine;      ///< first machine to be released; empty: none
        std::string provision_request;  ///< id of the first provisioning request, if no releases
    };
    /// The oldest stored intent that is not completed; nothing if there is none.
    [[nodiscard]] std::optional<OldestIntent> oldest_open_intent() const;
    /// Counts since this holder was created.
    [[nodiscard]] const Counters& counters() const { return counters_; }

    /// Compares the state that determines the next actions.
    friend bool operator==(const IntentLedger& left, const IntentLedger& right) {
        return left.slots_ == right.slots_ && left.queue_ == right.queue_;
    }

  private:
    using State = IntentSlot::State;

    [[nodiscard]] std::uint32_t free_slot(bool may_overwrite) const;
    [[nodiscard]] std::optional<std::uint32_t> first_due_slot(State state, Millis now) const;
    [[nodiscard]] std::size_t writes_in_flight() const;
    [[nodiscard]] bool may_request(const IntentSlot& slot, const Permit& permit) const;
    [[nodiscard]] WriteIntent write_batch(IntentBatch batch, const Permit& permit, Millis now);
    [[nodiscard]] WriteIntent make_write(std::uint32_t number, const Permit& permit) const;
    void complete_if_done(IntentSlot& slot);
    void withdraw_outdated(Millis now);

    IntentGuards guards_;
    std::map<std::uint32_t, IntentSlot> slots_;
    IntentQueue queue_;
    std::set<std::string>
        releasing_;  // machines queued for release or in an intent that is not completed
    std::uint64_t last_nonce_ = 0;
    Counters counters_;
};

}  // namespace lichendrift::duty
