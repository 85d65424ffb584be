#pragma once

/// @file
/// The life cycle of one intent and of its record.

#include <string>
#include <vector>

#include "duty/intent_queue.h"
#include "duty/results.h"

namespace lichendrift::duty {

/// One numbered place for an intent: its content, the state of its record `intent/N` and of the
/// requests behind it. All transitions:
///
/// | state         | event                                      | next                            |
/// | ------------- | ------------------------------------------ | ------------------------------- |
/// | Free, Settled | begin_intent(): a batch is to be written   | Writing                         |
/// | Free          | open_unfenced(): a batch without a fence   | Open                            |
/// | Writing       | on_written(): written                      | Open                            |
/// | Writing       | on_written(): the record was changed       | ReadDue                         |
/// | Writing       | on_written(): another condition, no answer | Unconfirmed                     |
/// | Writing       | on_written(): too large; give_up()         | Settled, or Free without record |
/// | Unconfirmed   | begin_rewrite()                            | Writing                         |
/// | ReadDue       | begin_read()                               | Reading                         |
/// | Reading       | on_read(): failed                          | ReadDue                         |
/// | Reading       | on_read(): damaged                         | Damaged, by the ledger          |
/// | Reading       | on_read(): as written                      | Open                            |
/// | Reading       | on_read(): anything else, after a write    | Unconfirmed                     |
/// | Reading       | on_read(): after a removal                 | Settled, or Free without record |
/// | Open          | settle_if_complete(): all is answered      | Settled, or Free without record |
/// | Settled       | begin_removal()                            | Removing                        |
/// | Removing      | on_removed(): written                      | Free                            |
/// | Removing      | on_removed(): the record was changed       | ReadDue                         |
/// | Removing      | on_removed(): anything else                | Settled                         |
///
/// inherited(), settled() and damaged() make slots from stored records.
class IntentSlot {
  public:
    /// Where the intent and its record stand.
    enum class State : std::uint8_t {
        Free,
        Writing,
        Unconfirmed,  ///< the write is to be sent again: it may have been executed
        ReadDue,      ///< another revision than expected: the record tells whose write it was
        Reading,
        Open,      ///< durable, or without a fence: requests may be made
        Settled,   ///< all is answered; the record may be overwritten or removed
        Removing,  ///< the removal is under way
        Damaged,   ///< the record cannot be parsed: left in place, the number is not used again
    };
    /// What the result of a write means for the ledger.
    enum class WriteEffect : std::uint8_t {
        None,
        Durable,      ///< the intent is stored
        TooLarge,     ///< the batch has to be divided
        FenceFailed,  ///< the lease or the duty has passed to another controller
    };
    /// What the result of a read means for the ledger.
    enum class ReadEffect : std::uint8_t {
        None,
        Durable,  ///< the intent is stored
        Damaged,  ///< the record was overwritten with something else
    };
    /// What the result of a removal means for the ledger.
    enum class RemovalEffect : std::uint8_t {
        None,
        RecordChanged,  ///< the record was not the one that was to be removed
    };

    /// A free slot.
    IntentSlot() = default;
    /// An intent of an earlier holder, to be finished.
    [[nodiscard]] static IntentSlot inherited(const StoredIntent& stored, Millis now);
    /// A record that nothing is to be done for.
    [[nodiscard]] static IntentSlot settled(std::uint64_t revision);
    /// A record that cannot be parsed.
    [[nodiscard]] static IntentSlot damaged();

    /// Puts a batch into a slot that is free or settled. A settled record is overwritten, which
    /// saves its removal. on_written() has to follow.
    void begin_intent(Epoch epoch, std::uint64_t nonce, IntentBatch batch, Millis now);
    /// Puts a batch into a free slot whose requests need no record.
    void open_unfenced(IntentBatch batch, Millis now);
    /// Only in tests of the guard "durable first": requests are made before the record is written.
    void open_before_written() { state_ = State::Open; }
    /// Sends the write of an unconfirmed slot again. on_written() has to follow.
    void begin_rewrite() { state_ = State::Writing; }
    /// The record was written. `key`: the slot's own.
    [[nodiscard]] WriteEffect on_written(const WriteResult& result, const std::string& key,
                                         Millis now);
    /// Frees a slot without a durable intent and returns its content.
    [[nodiscard]] IntentBatch give_up(Millis now);

    /// Reads the record back. on_read() has to follow.
    void begin_read() { state_ = State::Reading; }
    /// The record was read.
    [[nodiscard]] ReadEffect on_read(const IntentReadResult& result, Millis now);
    /// Whether the record is read back after a removal, not after a write.
    [[nodiscard]] bool reads_after_removal() const { return read_after_removal_; }

    /// Removes the record. on_removed() has to follow.
    void begin_removal() { state_ = State::Removing; }
    /// The record was removed. `key`: the slot's own.
    [[nodiscard]] RemovalEffect on_removed(const WriteResult& result, const std::string& key,
                                           Millis now);

    /// Whether a request to release machines is due.
    [[nodiscard]] bool release_due(Millis now) const {
        return !batch_.releases.empty() && due_at_ <= now;
    }
    /// Takes up the next request; returns its machines. on_released() has to follow.
    [[nodiscard]] std::vector<std::string> begin_release(Millis now);
    /// The cloud responded to the request for that many machines; returns those that are released.
    std::vector<std::string> on_released(std::size_t machines, CloudOutcome outcome, Millis now);
    /// The next provisioning request that is due; null: none.
    [[nodiscard]] PendingProvision* due_provision(Millis now);
    /// The cloud responded to a provisioning request.
    void on_provisioned(const std::string& request, CloudOutcome outcome, Millis now);
    /// Gives up provisioning requests that waited for too long; returns how many.
    [[nodiscard]] std::size_t withdraw_outdated(Millis now);

    /// Settles an open slot for which nothing more is to be requested; returns whether it did.
    [[nodiscard]] bool settle_if_complete();
    /// Keeps a settled record for a moment: the next intent may overwrite it.
    void delay_removal(Millis now);

    /// Where it stands.
    [[nodiscard]] State state() const { return state_; }
    /// Whether the next step in this state is due: writing again, reading, removing.
    [[nodiscard]] bool due_in(State state, Millis now) const {
        return state_ == state && due_at_ <= now;
    }
    /// Whether a record exists, as far as is known.
    [[nodiscard]] bool has_record() const { return revision_ != 0; }
    /// Whether the intent is durable and not settled.
    [[nodiscard]] bool durably_open() const { return state_ == State::Open && has_record(); }
    /// Whether any request of the slot is under way.
    [[nodiscard]] bool request_in_flight() const;
    /// Whether a request to release machines is under way.
    [[nodiscard]] bool release_in_flight() const { return release_in_flight_; }
    /// Revision of the record; 0: there is none.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// When the batch was put here.
    [[nodiscard]] Millis opened_at() const { return opened_at_; }
    /// What is still to be requested.
    [[nodiscard]] const IntentBatch& batch() const { return batch_; }
    /// The record's value.
    [[nodiscard]] Intent content() const;

    /// Compares all fields.
    friend bool operator==(const IntentSlot&, const IntentSlot&) = default;

  private:
    [[nodiscard]] State state_without_intent() const {
        return has_record() ? State::Settled : State::Free;
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
