#pragma once

/// @file
/// The machines that a holder provisions and releases.

#include <map>
#include <optional>
#include <set>

#include "duty/actions.h"
#include "duty/intent_slot.h"

namespace lichendrift::duty {

/// Switches of the ledger's guards. All are on; tests switch one off to prove that its loss is
/// seen.
struct IntentGuards {
    bool durable_first = true;  ///< no request before its intent is durable
    bool inherit = true;        ///< intents of earlier holders are read and finished
    /// Compares both switches.
    friend bool operator==(const IntentGuards&, const IntentGuards&) = default;
};

/// Limits of the state service in its default settings.
inline constexpr std::size_t kDefaultValueBytes = 8192;
/// See kDefaultValueBytes.
inline constexpr std::size_t kDefaultOperations = 8;

/// The machines that a holder provisions and releases. Before anything is requested from the cloud
/// its intent is durable; the next holder of the duty finds it, finishes it, and places no work on
/// its machines. So a request of a replaced holder, however late it takes effect, names only
/// machines that nobody uses, or repeats a provisioning request that was made already. Pure: what
/// is wanted and results go in, writes and requests to do come out.
class IntentLedger {
  public:
    /// A ledger without intents.
    explicit IntentLedger(IntentGuards guards = {}) : guards_(guards) {}

    /// Limits of the state service.
    struct Limits {
        std::size_t value_bytes = kDefaultValueBytes;  ///< of one intent
        std::size_t operations = kDefaultOperations;   ///< of one transaction
    };
    /// Counts since this holder began.
    struct Counters {
        std::uint64_t written = 0;    ///< intents that became durable
        std::uint64_t settled = 0;    ///< intents with nothing more to do
        std::uint64_t inherited = 0;  ///< intents of earlier holders
        std::uint64_t damaged = 0;    ///< intents that cannot be parsed
        std::uint64_t withdrawn = 0;  ///< provisioning requests given up before they were sent
    };

    /// Takes over an intent that an earlier holder left.
    void inherit(const StoredIntent& stored, Millis now);

    /// Wants a machine released. Once, however often it is called. `urgent`: without waiting for
    /// further machines.
    void queue_release(const std::string& machine, bool urgent, Millis now);
    /// Wants machines provisioned.
    void queue_provision(ProvisionRequest request, Millis now);

    /// Without a fence: what is queued may be requested at once, nothing is stored.
    void open_unfenced(Millis now);
    /// Fencing has begun: what was opened without it and is not under way is queued again.
    void requeue_unfenced();

    /// The next write that is due.
    [[nodiscard]] std::optional<WriteIntent> next_write(const Permit& provisioning,
                                                        const Permit& reclaiming,
                                                        const Limits& limits, Millis now);
    /// Whether a failed write shows that the lease or a duty has passed to another controller.
    enum class FenceCheck : std::uint8_t { Intact, Failed };
    /// An intent was written.
    [[nodiscard]] FenceCheck on_written(std::uint32_t number, const WriteResult& result,
                                        Millis now);

    /// The next record to read back, as it is not known whether a write to it was executed.
    [[nodiscard]] std::optional<ReadIntent> next_read(Millis now);
    /// An intent was read back.
    void on_read(std::uint32_t number, const IntentReadResult& result, Millis now);

    /// The next removal of settled records, of at most `max_operations`.
    [[nodiscard]] std::optional<RemoveIntents> next_removal(const Permit& provisioning,
                                                            std::size_t max_operations, Millis now);
    /// Settled records were removed.
    [[nodiscard]] FenceCheck on_removed(const std::vector<std::uint32_t>& numbers,
                                        const WriteResult& result, Millis now);

    /// The next request to release machines that is due. One at a time is under way.
    [[nodiscard]] std::optional<RequestRelease> next_release(const Permit& provisioning,
                                                             Millis now);
    /// The cloud responded to a request for that many machines.
    void on_released(std::uint32_t number, std::size_t machines, CloudOutcome outcome, Millis now);
    /// The next provisioning request that is due.
    [[nodiscard]] std::optional<RequestProvision> next_provision(const Permit& provisioning,
                                                                 Millis now);
    /// The cloud responded to a provisioning request.
    void on_provisioned(std::uint32_t number, const std::string& request, CloudOutcome outcome,
                        Millis now);

    /// Whether the result of a provisioning request can be expected soon: better plan with it.
    [[nodiscard]] bool provisioning_in_flight() const;
    /// Durable intents that are not settled.
    [[nodiscard]] std::size_t open_count() const;
    /// What the oldest open intent is about.
    struct Oldest {
        std::uint32_t slot = 0;         ///< its number
        Millis since = 0;               ///< steady time
        std::size_t releases = 0;       ///< machines that are still to be released
        std::string first_machine;      ///< the first of them; empty: none
        std::string provision_request;  ///< name of its first one, if there is nothing to release
    };
    /// The oldest open intent.
    [[nodiscard]] std::optional<Oldest> oldest_open() const;
    /// Counts since this holder began.
    [[nodiscard]] const Counters& counters() const { return counters_; }

    /// Compares what decides about the next actions.
    friend bool operator==(const IntentLedger& left, const IntentLedger& right) {
        return left.slots_ == right.slots_ && left.queue_ == right.queue_;
    }

  private:
    using State = IntentSlot::State;

    [[nodiscard]] std::uint32_t free_slot(bool may_overwrite) const;
    [[nodiscard]] std::optional<std::uint32_t> slot_due_in(State state, Millis now) const;
    [[nodiscard]] std::size_t writes_in_flight() const;
    [[nodiscard]] bool may_request(const IntentSlot& slot, const Permit& permit) const;
    [[nodiscard]] WriteIntent write_batch(IntentBatch batch, const Permit& permit, Millis now);
    [[nodiscard]] WriteIntent write_of(std::uint32_t number, const Permit& permit) const;
    void settle_if_complete(IntentSlot& slot);
    void withdraw_outdated(Millis now);

    IntentGuards guards_;
    std::map<std::uint32_t, IntentSlot> slots_;
    IntentQueue queue_;
    std::set<std::string> releasing_;  // queued, or named by an intent that is not settled
    std::uint64_t last_nonce_ = 0;
    Counters counters_;
};

}  // namespace lichendrift::duty
