// State transitions of a claim to a duty.
#include "duty/claim.h"

namespace lichendrift::duty {

Claim::Claim(Setup setup)
    : setup_(std::move(setup)), state_(setup_.fencing ? State::ReadDue : State::Unfenced) {}

bool Claim::begin_read() {
    if (state_ != State::ReadDue) return false;
    state_ = State::Reading;
    return true;
}

void Claim::on_read(const DutyReadResult& result) {
    if (state_ != State::Reading) return;
    switch (result.outcome) {
        case ReadOutcome::Failed:
            state_ = State::ReadDue;
            return;
        case ReadOutcome::Damaged:
            state_ = State::Damaged;
            return;
        case ReadOutcome::Missing:
            record_ = {};
            revision_ = 0;
            state_ = State::Unfenced;
            return;
        case ReadOutcome::Found:
            break;
    }
    record_ = result.record;
    revision_ = result.revision;
    // The record already names this claim if an unanswered write of it was executed.
    const bool own = record_.holder == setup_.holder && record_.nonce == setup_.nonce;
    state_ = own ? State::Held : State::WriteDue;
}

std::optional<FencedWrite> Claim::begin_write(bool may_begin_fencing) {
    const bool creates = state_ == State::Unfenced && setup_.fencing && may_begin_fencing;
    if (state_ != State::WriteDue && !creates) return std::nullopt;
    state_ = State::Writing;
    FencedWrite write(conditions());
    write.set(key(), DutyRecord{setup_.holder, record_.epoch + 1, setup_.nonce});
    return write;
}

void Claim::on_written(const WriteResult& result) {
    if (state_ != State::Writing) return;
    switch (result.outcome) {
        case WriteOutcome::Written:
            record_ = {setup_.holder, record_.epoch + 1, setup_.nonce};
            revision_ = result.revision;
            state_ = State::Held;
            return;
        case WriteOutcome::Conflict:
            state_ = result.condition_failed(setup_.lease.key) ? State::Lost : State::ReadDue;
            return;
        case WriteOutcome::Unavailable:
        case WriteOutcome::Rejected:
        case WriteOutcome::Unknown:
            // The write may still be executed. If it is, writing the record again fails with a
            // conflict, and the next read finds this claim's nonce in the record.
            state_ = State::ReadDue;
            return;
    }
}

void Claim::on_record_changed() {
    if (state_ == State::Held) state_ = State::ReadDue;
}

void Claim::on_lease_lost() { state_ = State::Lost; }

std::optional<Permit> Claim::permit(Millis not_after) const {
    if (state_ == State::Unfenced) return Permit(setup_.duty, 0, not_after, {setup_.lease});
    if (state_ != State::Held) return std::nullopt;
    return Permit(setup_.duty, record_.epoch, not_after, conditions());
}

std::vector<RecordVersion> Claim::conditions() const {
    if (!setup_.conditional_writes) return {};
    return {setup_.lease, {key(), revision_}};
}

}  // namespace lichendrift::duty
