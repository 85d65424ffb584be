#include "duty/claim.h"

#include <algorithm>

namespace lichendrift::duty {

bool WriteResult::failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
}

Claim::Claim(Setup setup)
    : setup_(std::move(setup)), state_(setup_.fencing ? State::ToRead : State::Unfenced) {}

bool Claim::take_read() {
    if (state_ != State::ToRead) return false;
    state_ = State::Reading;
    return true;
}

void Claim::on_read(ReadOutcome outcome, const DutyRecord& record, std::uint64_t revision) {
    if (state_ != State::Reading) return;
    if (outcome == ReadOutcome::Failed) {
        state_ = State::ToRead;
        return;
    }
    if (outcome == ReadOutcome::Damaged) {
        state_ = State::Damaged;
        return;
    }
    found_ = outcome == ReadOutcome::Found;
    record_ = found_ ? record : DutyRecord{};
    revision_ = found_ ? revision : 0;
    // A write of ours that had no answer was executed.
    const bool ours = found_ && record.holder == setup_.holder && record.nonce == setup_.nonce;
    state_ = ours ? State::Held : found_ ? State::ToWrite : State::Unfenced;
}

std::optional<FencedWrite> Claim::take_write(bool may_create) {
    const bool creates = state_ == State::Unfenced && setup_.fencing && may_create;
    if (state_ != State::ToWrite && !creates) return std::nullopt;
    state_ = State::Writing;
    std::vector<RecordVersion> conditions;
    if (setup_.conditions) conditions = {setup_.lease, {key(), revision_}};
    FencedWrite write(std::move(conditions));
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
            state_ = result.failed_on(setup_.lease.key) ? State::Lost : State::ToRead;
            return;
        case WriteOutcome::Refused:
        case WriteOutcome::Rejected:
        case WriteOutcome::Unknown:
            // It may still be executed. The same write again fails then, and the read that follows
            // finds this claim's nonce.
            state_ = State::ToRead;
            return;
    }
}

void Claim::on_record_changed() {
    if (state_ == State::Held) state_ = State::ToRead;
}

void Claim::on_lease_lost() { state_ = State::Lost; }

std::optional<Permit> Claim::permit(Millis not_after) const {
    if (state_ == State::Unfenced) {
        return Permit(setup_.duty, 0, not_after, {setup_.lease});
    }
    if (state_ != State::Held) return std::nullopt;
    std::vector<RecordVersion> conditions;
    if (setup_.conditions) conditions = {setup_.lease, {key(), revision_}};
    return Permit(setup_.duty, record_.epoch, not_after, std::move(conditions));
}

}  // namespace lichendrift::duty
