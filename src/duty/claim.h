#pragma once

#include <optional>

#include "duty/fence.h"

namespace lichendrift::duty {

// What came of reading a record.
enum class ReadOutcome : std::uint8_t {
    Found,
    Missing,
    Damaged,  // there, and not to be understood
    Failed,   // nothing is known
};

// What came of a transaction.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,  // certainly not executed: a condition failed
    Refused,   // certainly not executed
    Rejected,  // certainly not executed, and the same again never will be: too large
    Unknown,   // may have been executed, or may still be
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;  // keys whose condition failed

    [[nodiscard]] bool failed_on(const std::string& key) const;
};

// How one controller comes to hold one duty, and how it learns that it does not any more. Pure:
// results go in, reads and writes to do come out.
//
// The record is written under the revision of the lease key, so that a controller whose lease has
// passed to another never becomes the holder, however late its write arrives.
class Claim {
  public:
    enum class State : std::uint8_t {
        Unfenced,  // the fence is not switched on: the lease alone gives the right to act
        ToRead,
        Reading,
        ToWrite,
        Writing,
        Held,
        Damaged,  // the record cannot be understood: nothing is done for this duty
        Lost,
    };
    struct Setup {
        Duty duty = Duty::Provisioning;
        std::string holder;
        std::uint64_t nonce = 0;  // never used by this or another claim of the duty before
        RecordVersion lease;      // the key that shows the lease under which the duty is held
        bool fencing = false;     // off: the claim stays unfenced
        bool conditions = true;   // off in the tests of this guard: permits carry no conditions
    };

    explicit Claim(Setup setup);

    // Whether the record has to be read, or written, now. Each is under way until its result is
    // handed in.
    [[nodiscard]] bool take_read();
    // `may_create`: a duty that was never held begins to be fenced only with this. Once it has a
    // record, it is for good.
    [[nodiscard]] std::optional<FencedWrite> take_write(bool may_create);
    void on_read(ReadOutcome outcome, const DutyRecord& record, std::uint64_t revision);
    void on_written(const WriteResult& result);
    // A write under a permit of this claim failed on the duty's record.
    void on_record_changed();
    void on_lease_lost();
    // A damaged record may have been repaired meanwhile.
    void look_again() {
        if (state_ == State::Damaged) state_ = State::ToRead;
    }

    [[nodiscard]] std::optional<Permit> permit(Millis not_after) const;
    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] bool held() const { return state_ == State::Held; }
    [[nodiscard]] Epoch epoch() const { return held() ? record_.epoch : 0; }
    [[nodiscard]] std::string key() const { return record_key(setup_.duty); }
    [[nodiscard]] Duty duty() const { return setup_.duty; }

    friend bool operator==(const Claim& a, const Claim& b) {
        return a.state_ == b.state_ && a.record_ == b.record_ && a.revision_ == b.revision_;
    }

  private:
    Setup setup_;
    State state_ = State::Unfenced;
    bool found_ = false;  // the record was there when it was read last
    DutyRecord record_;   // ours once it is held, or else as read
    std::uint64_t revision_ = 0;
};

}  // namespace lichendrift::duty
