#pragma once

/// @file
/// State machine by which one controller acquires one duty.

#include <optional>

#include "duty/fence.h"
#include "duty/results.h"

namespace lichendrift::duty {

/// State machine by which one controller acquires one duty and learns that it has lost it. It does
/// no I/O: it returns the reads and writes that are due and is given their results.
///
/// The write of the duty's record is conditional on the revision of the lease key. A controller
/// whose lease has passed to another one therefore never becomes the holder, however late its write
/// arrives.
class Claim {
  public:
    /// State of the claim.
    enum class State : std::uint8_t {
        Unfenced,  ///< fencing has not begun: the lease alone permits actions
        ReadDue,   ///< the record has to be read
        Reading,   ///< a read of the record is in flight
        WriteDue,  ///< the record names another claim: write it with the next epoch
        Writing,   ///< a write of the record is in flight
        Held,      ///< the record names this claim as the duty's holder
        Damaged,   ///< the record cannot be parsed: no permits, so this duty is not performed
        Lost,      ///< the lease has passed to another controller; final state
    };
    /// Configuration of a claim.
    struct Setup {
        Duty duty = Duty::Provisioning;  ///< duty to acquire
        std::string holder;              ///< member name of this controller
        std::uint64_t nonce = 0;         ///< unique among all claims to this duty
        RecordVersion lease;             ///< key that exists while the lease is held
        bool fencing = false;            ///< false: the claim stays unfenced
        /// False only in tests of this guard: permits then have no conditions.
        bool conditional_writes = true;
    };

    /// Starts by reading the record; without fencing it stays unfenced.
    explicit Claim(Setup setup);

    /// Starts a read of the record if one is due; returns whether it is. The caller must then read
    /// the record and report the result to on_read().
    [[nodiscard]] bool begin_read();
    /// The write that is due now, if any. The caller must report its result to on_written().
    /// `may_begin_fencing`: whether a missing record may be created, which begins fencing of the
    /// duty; once the record exists, the duty stays fenced.
    [[nodiscard]] std::optional<FencedWrite> begin_write(bool may_begin_fencing);
    /// Processes the result of reading the record.
    void on_read(const DutyReadResult& result);
    /// Processes the result of writing the record.
    void on_written(const WriteResult& result);
    /// Call when a write under a permit of this claim failed because the duty's record has changed.
    void on_record_changed();
    /// Call when the lease has passed to another controller.
    void on_lease_lost();
    /// Has a damaged record read again, as an operator may have repaired it.
    void retry_damaged_record() {
        if (state_ == State::Damaged) state_ = State::ReadDue;
    }

    /// A permit for actions up to the steady time `not_after`; nothing unless the claim is held or
    /// unfenced.
    [[nodiscard]] std::optional<Permit> permit(Millis not_after) const;
    /// Current state of the claim.
    [[nodiscard]] State state() const { return state_; }
    /// Whether the duty's record names this claim as its holder.
    [[nodiscard]] bool holds_duty() const { return state_ == State::Held; }
    /// Epoch of this holder; 0 while the duty is not held.
    [[nodiscard]] Epoch epoch() const { return holds_duty() ? record_.epoch : 0; }
    /// Key of the duty's record.
    [[nodiscard]] std::string key() const { return record_key(setup_.duty); }
    /// Duty that this claim is for.
    [[nodiscard]] Duty duty() const { return setup_.duty; }

    /// Compares the mutable state only: both claims must have the same setup.
    friend bool operator==(const Claim& left, const Claim& right) {
        return left.state_ == right.state_ && left.record_ == right.record_ &&
               left.revision_ == right.revision_;
    }

  private:
    [[nodiscard]] std::vector<RecordVersion> conditions() const;

    Setup setup_;
    State state_ = State::Unfenced;
    DutyRecord record_;  // the record of this claim while it is held, otherwise as last read
    std::uint64_t revision_ = 0;
};

}  // namespace lichendrift::duty
