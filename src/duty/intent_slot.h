#pragma once

/// @file
/// Life cycle of one intent and its record in the state service.

#include <string>
#include <vector>

#include "duty/intent_queue.h"
#include "duty/results.h"

namespace lichendrift::duty {

/// A numbered slot for one intent: the content of the intent, the state of its record `intent/N`
/// and the state of its requests to the cloud. All transitions:
///
/// | state           | event                                      | next                         |
/// | --------------- | ------------------------------------------ | ---------------------------- |
/// | Free, Completed | begin_intent(): write a new batch          | Writing                      |
/// | Free            | open_unfenced(): a batch without a record  | Open                         |
/// | Writing         | on_written(): written                      | Open                         |
/// | Writing         | on_written(): the record was changed       | ReadDue                      |
/// | Writing         | on_written(): another condition failed     | Unconfirmed                  |
/// | Writing         | on_written(): unavailable or no answer     | Unconfirmed                  |
/// | Writing         | on_written(): too large; take_back_batch() | Completed, Free if no record |
/// | Unconfirmed     | begin_rewrite()                            | Writing                      |
/// | ReadDue         | begin_read()                               | Reading                      |
/// | Reading         | on_read(): failed                          | ReadDue                      |
/// | Reading         | on_read(): damaged                         | Damaged, set by IntentLedger |
/// | Reading         | on_read(): epoch and nonce as written      | Open                         |
/// | Reading         | on_read(): anything else, after a write    | Unconfirmed                  |
/// | Reading         | on_read(): after a removal                 | Completed, Free if no record |
/// | Open            | complete_if_done(): no requests are left   | Completed, Free if no record |
/// | Completed       | begin_removal()                            | Removing                     |
/// | Removing        | on_removed(): removed                      | Free                         |
/// | Removing        | on_removed(): the record was changed       | ReadDue                      |
/// | Removing        | on_removed(): anything else                | Completed                    |
///
/// inherited(), completed() and damaged() create slots for records that were found in the state
/// service.
class IntentSlot {
  public:
    /// State of the intent and its record.
    enum class State : std::uint8_t {
        Free,         ///< no intent and no record
        Writing,      ///< a write of the record is in flight
        Unconfirmed,  ///< the write has to be sent again; the last one may have been executed
        ReadDue,      ///< a condition on the record's revision failed: read back what it contains
        Reading,      ///< the read is in flight
        Open,         ///< stored, or needs no record: requests may be sent
        Completed,    ///< no requests are left; the record may be overwritten or removed
        Removing,     ///< the removal is in flight
        Damaged,      ///< the record cannot be parsed: it is kept, and the slot is not reused
    };
    /// What IntentLedger has to do after a write.
    enum class WriteEffect : std::uint8_t {
        None,
        Durable,      ///< the intent is stored
        TooLarge,     ///< the batch has to be split
        FenceFailed,  ///< the lease or the duty has passed to another controller
    };
    /// What IntentLedger has to do after a read.
    enum class ReadEffect : std::uint8_t {
        None,
        Durable,  ///< the intent is stored
        Damaged,  ///< the record was overwritten with a value that cannot be parsed
    };
    /// What IntentLedger has to do after a removal.
    enum class RemovalEffect : std::uint8_t {
        None,
        RecordChanged,  ///< not removed: the record's revision was not as expected
    };

    /// Creates a free slot.
    IntentSlot() = default;
    /// An open slot for an intent of an earlier holder, which this holder has to finish.
    [[nodiscard]] static IntentSlot inherited(const StoredIntent& stored, Millis now);
    /// A completed slot for a record whose intent needs no requests.
    [[nodiscard]] static IntentSlot completed(std::uint64_t revision);
    /// A damaged slot for a record that cannot be parsed.
    [[nodiscard]] static IntentSlot damaged();

    /// Puts a batch into a slot that is free or completed and starts the write of its record. The
    /// record of a completed slot is overwritten, which saves its removal. The caller must report
    /// the result to on_written().
    void begin_intent(Epoch epoch, std::uint64_t nonce, IntentBatch batch, Millis now);
    /// Puts a batch into a free slot without a record, before fencing begins.
    void open_unfenced(IntentBatch batch, Millis now);
    /// Permits requests before the record is written. Only for tests of the guard
    /// IntentGuards::intent_before_request.
    void open_before_written() { state_ = State::Open; }
    /// Starts another write of an unconfirmed slot. The caller must report the result to
    /// on_written().
    void begin_rewrite() { state_ = State::Writing; }
    /// Processes the result of a write. `key`: key of the slot's record.
    [[nodiscard]] WriteEffect on_written(const WriteResult& result, const std::string& key,
                                         Millis now);
    /// Empties a slot whose intent is not stored and returns the batch.
    [[nodiscard]] IntentBatch take_back_batch(Millis now);

    /// Starts reading the record back. The caller must report the result to on_read().
    void begin_read() { state_ = State::Reading; }
    /// Processes the result of reading the record back.
    [[nodiscard]] ReadEffect on_read(const IntentReadResult& result, Millis now);
    /// Whether the record is read back after a removal rather than after a write.
    [[nodiscard]] bool reads_after_removal() const { return read_after_removal_; }

    /// Starts the removal of the record. The caller must report the result to on_removed().
    void begin_removal() { state_ = State::Removing; }
    /// Processes the result of a removal. `key`: key of the slot's record.
    [[nodiscard]] RemovalEffect on_removed(const WriteResult& result, const std::string& key,
                                           Millis now);

    /// Whether a request to release machines is due.
    [[nodiscard]] bool release_due(Millis now) const {
        return !batch_.releases.empty() && due_at_ <= now;
    }
    /// Starts the next release request and returns the machines for it. The caller must report the
    /// outcome to on_released().
    [[nodiscard]] std::vector<std::string> begin_release(Millis now);
    /// Processes the outcome of a release request for the first `machines` machines of the batch;
    /// returns the names of those that were released.
    std::vector<std::string> on_released(std::size_t machines, CloudOutcome outcome, Millis now);
    /// The next provisioning request that is due, owned by the slot; null: none.
    [[nodiscard]] PendingProvision* due_provision(Millis now);
    /// Processes the outcome of a provisioning request, given by its id.
    void on_provisioned(const std::string& request, CloudOutcome outcome, Millis now);
    /// Withdraws provisioning requests that have waited too long; returns how many.
    [[nodiscard]] std::size_t withdraw_outdated(Millis now);

    /// Completes an open slot that has no requests left; returns whether it did.
    [[nodiscard]] bool complete_if_done();
    /// Postpones the removal of a completed record, so that the next intent can overwrite it
    /// instead.
    void delay_removal(Millis now);

    /// Current state of the slot.
    [[nodiscard]] State state() const { return state_; }
    /// Whether the slot is in this state and its next step is due: another write, a read or a
    /// removal.
    [[nodiscard]] bool due_in_state(State state, Millis now) const {
        return state_ == state && due_at_ <= now;
    }
    /// Whether the slot has a record, as far as known.
    [[nodiscard]] bool has_record() const { return revision_ != 0; }
    /// Whether the slot holds a stored intent that is not completed.
    [[nodiscard]] bool has_open_stored_intent() const {
        return state_ == State::Open && has_record();
    }
    /// Whether any cloud request of the slot is in flight.
    [[nodiscard]] bool request_in_flight() const;
    /// Whether a request to release machines is in flight.
    [[nodiscard]] bool release_in_flight() const { return release_in_flight_; }
    /// Last known revision of the record; 0: there is no record.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Steady time at which the batch was put into the slot.
    [[nodiscard]] Millis opened_at() const { return opened_at_; }
    /// Releases and provisioning requests that are not finished.
    [[nodiscard]] const IntentBatch& batch() const { return batch_; }
    /// The intent to write into the slot's record: epoch, nonce, and the releases and provisioning
    /// requests that are not finished.
    [[nodiscard]] Intent content() const;

    /// Compares all fields.
    friend bool operator==(const IntentSlot&, const IntentSlot&) = default;

  private:
    [[nodiscard]] State state_without_intent() const {
        return has_record() ? State::Completed : State::Free;
    }

    State state_ = State::Free;
    Epoch epoch_ = 0;
    std::uint64_t nonce_ = 0;
    std::uint64_t revision_ = 0;
    bool read_after_removal_ = false;
    bool inherited_ = false;
    Millis opened_at_ = 0;
    Millis due_at_ = 0;
    bool release_in_flight_ = false;
    IntentBatch batch_;
};

}  // namespace lichendrift::duty
