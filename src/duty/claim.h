#pragma once

/// @file
/// How one controller comes to hold one duty.

#include <optional>

#include "duty/fence.h"
#include "duty/results.h"

namespace lichendrift::duty {

/// How one controller comes to hold one duty, and how it learns that it lost it. Pure: results go
/// in, reads and writes to do come out.
///
/// The record is written under the revision of the lease key, so that a controller whose lease has
/// passed to another never becomes the holder, however late its write arrives.
class Claim {
  public:
    /// Where the claim stands.
    enum class State : std::uint8_t {
        Unfenced,  ///< fencing has not begun: the lease alone gives the right to act
        ReadDue,
        Reading,
        WriteDue,
        Writing,
        Held,
        Damaged,  ///< the record cannot be parsed: nothing is done for this duty
        Lost,     ///< the lease has passed to another controller; final
    };
    /// What a claim is made for.
    struct Setup {
        Duty duty = Duty::Provisioning;  ///< the duty
        std::string holder;              ///< member name of this controller
        std::uint64_t nonce = 0;         ///< never used by any claim of this duty before
        RecordVersion lease;             ///< the key that shows the lease
        bool fencing = false;            ///< off: the claim stays unfenced
        bool conditions = true;  ///< off only in tests of this guard: permits without conditions
    };

    /// Begins with a read, or unfenced for good.
    explicit Claim(Setup setup);

    /// Whether the record has to be read now. If so, on_read() has to follow.
    [[nodiscard]] bool begin_read();
    /// The write that is due now, if any. on_written() has to follow. `may_create`: a duty without
    /// a record begins to be fenced only with this; once it has a record, it is fenced for good.
    [[nodiscard]] std::optional<FencedWrite> begin_write(bool may_create);
    /// The record was read.
    void on_read(const DutyReadResult& result);
    /// The record was written.
    void on_written(const WriteResult& result);
    /// A write under a permit of this claim failed on the duty's record.
    void on_record_changed();
    /// The lease has passed to another controller.
    void on_lease_lost();
    /// Reads a damaged record again: an operator may have repaired it.
    void retry_damaged_record() {
        if (state_ == State::Damaged) state_ = State::ReadDue;
    }

    /// The right to act until a steady time; nothing if the duty is not held.
    [[nodiscard]] std::optional<Permit> permit(Millis not_after) const;
    /// Where the claim stands.
    [[nodiscard]] State state() const { return state_; }
    /// Whether the record names this claim.
    [[nodiscard]] bool held() const { return state_ == State::Held; }
    /// The epoch while the duty is held; 0: it is not.
    [[nodiscard]] Epoch epoch() const { return held() ? record_.epoch : 0; }
    /// Key of the duty's record.
    [[nodiscard]] std::string key() const { return record_key(setup_.duty); }
    /// The duty that is claimed.
    [[nodiscard]] Duty duty() const { return setup_.duty; }

    /// Compares what changes; claims of one setup are meant.
    friend bool operator==(const Claim& left, const Claim& right) {
        return left.state_ == right.state_ && left.record_ == right.record_ &&
               left.revision_ == right.revision_;
    }

  private:
    [[nodiscard]] std::vector<RecordVersion> conditions() const;

    Setup setup_;
    State state_ = State::Unfenced;
    DutyRecord record_;  // this claim's own once it is held, or else as read
    std::uint64_t revision_ = 0;
};

}  // namespace lichendrift::duty
