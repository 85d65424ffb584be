// State transitions of an intent slot; see the table in intent_slot.h.
#include "duty/intent_slot.h"

#include <algorithm>

namespace lichendrift::duty {

namespace {

constexpr Millis kWriteRetryMs = 300;
constexpr Millis kReadRetryMs = 300;
constexpr Millis kReleaseRetryMs = 3000;
constexpr Millis kRemovalDelayMs = 2000;  // time for the next intent to overwrite the record

}  // namespace

IntentSlot IntentSlot::inherited(const StoredIntent& stored, Millis now) {
    IntentSlot slot;
    slot.state_ = State::Open;
    slot.epoch_ = stored.intent.epoch;
    slot.nonce_ = stored.intent.nonce;
    slot.revision_ = stored.revision;
    slot.inherited_ = true;
    slot.opened_at_ = now;
    slot.batch_.releases = stored.intent.releases;
    for (const auto& request : stored.intent.provisions) {
        slot.batch_.provisions.push_back(PendingProvision::inherited(request, now));
    }
    return slot;
}

IntentSlot IntentSlot::completed(std::uint64_t revision) {
    IntentSlot slot;
    slot.state_ = State::Completed;
    slot.revision_ = revision;
    return slot;
}

IntentSlot IntentSlot::damaged() {
    IntentSlot slot;
    slot.state_ = State::Damaged;
    return slot;
}

// ---- writing and reading back ----

void IntentSlot::begin_intent(Epoch epoch, std::uint64_t nonce, IntentBatch batch, Millis now) {
    const auto overwritten = revision_;
    *this = {};
    state_ = State::Writing;
    revision_ = overwritten;
    epoch_ = epoch;
    nonce_ = nonce;
    opened_at_ = now;
    batch_ = std::move(batch);
}

void IntentSlot::open_unfenced(IntentBatch batch, Millis now) {
    *this = {};
    state_ = State::Open;
    opened_at_ = now;
    batch_ = std::move(batch);
}

IntentSlot::WriteEffect IntentSlot::on_written(const WriteResult& result, const std::string& key,
                                               Millis now) {
    if (state_ != State::Writing) return WriteEffect::None;
    switch (result.outcome) {
        case WriteOutcome::Written:
            state_ = State::Open;
            revision_ = result.revision;
            return WriteEffect::Durable;
        case WriteOutcome::Conflict:
            due_at_ = now;
            read_after_removal_ = false;
            if (result.condition_failed(key)) {
                // An earlier write of this holder with an unknown result was executed: one of this
                // intent or one before it.
                state_ = State::ReadDue;
                return WriteEffect::None;
            }
            state_ = State::Unconfirmed;
            return WriteEffect::FenceFailed;
        case WriteOutcome::Rejected:
            return WriteEffect::TooLarge;
        case WriteOutcome::Unavailable:
        case WriteOutcome::Unknown:
            state_ = State::Unconfirmed;
            due_at_ = now + kWriteRetryMs;
            return WriteEffect::None;
    }
    return WriteEffect::None;
}

IntentBatch IntentSlot::take_back_batch(Millis now) {
    auto batch = std::move(batch_);
    const auto kept = revision_;
    *this = {};
    revision_ = kept;
    state_ = state_without_intent();
    due_at_ = now + kRemovalDelayMs;
    return batch;
}

IntentSlot::ReadEffect IntentSlot::on_read(const IntentReadResult& result, Millis now) {
    if (state_ != State::Reading) return ReadEffect::None;
    if (result.outcome == ReadOutcome::Failed) {
        state_ = State::ReadDue;
        due_at_ = now + kReadRetryMs;
        return ReadEffect::None;
    }
    if (result.outcome == ReadOutcome::Damaged) return ReadEffect::Damaged;
    const bool found = result.outcome == ReadOutcome::Found;
    const bool as_written = result.record.epoch == epoch_ && result.record.nonce == nonce_;
    revision_ = found ? result.revision : 0;
    if (read_after_removal_) {
        state_ = state_without_intent();
        due_at_ = now + kRemovalDelayMs;
        return ReadEffect::None;
    }
    if (found && as_written) {
        state_ = State::Open;
        return ReadEffect::Durable;
    }
    state_ = State::Unconfirmed;
    due_at_ = now;
    return ReadEffect::None;
}

IntentSlot::RemovalEffect IntentSlot::on_removed(const WriteResult& result, const std::string& key,
                                                 Millis now) {
    if (state_ != State::Removing) return RemovalEffect::None;
    if (result.outcome == WriteOutcome::Written) {
        *this = {};
        return RemovalEffect::None;
    }
    const bool changed = result.condition_failed(key);
    // Without an answer the record may have been removed; the next write to it shows whether.
    state_ = changed ? State::ReadDue : State::Completed;
    read_after_removal_ = true;
    due_at_ = changed ? now : now + kRemovalDelayMs;
    return changed ? RemovalEffect::RecordChanged : RemovalEffect::None;
}

// ---- requests ----

std::vector<std::string> IntentSlot::begin_release(Millis now) {
    release_in_flight_ = true;
    due_at_ = now + kReleaseRetryMs;
    const auto count = std::min(batch_.releases.size(), kMaxReleasesPerRequest);
    const auto end = batch_.releases.begin() + static_cast<std::ptrdiff_t>(count);
    return {batch_.releases.begin(), end};
}

std::vector<std::string> IntentSlot::on_released(std::size_t machines, CloudOutcome outcome,
                                                 Millis now) {
    release_in_flight_ = false;
    // Without the cloud's response, the machines may still exist and the request may be executed
    // later.
    if (outcome != CloudOutcome::Done) return {};
    const auto count = std::min(machines, batch_.releases.size());
    const auto end = batch_.releases.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<std::string> released(batch_.releases.begin(), end);
    batch_.releases.erase(batch_.releases.begin(), end);
    due_at_ = now;
    return released;
}

PendingProvision* IntentSlot::due_provision(Millis now) {
    for (auto& provision : batch_.provisions) {
        if (provision.due(now)) return &provision;
    }
    return nullptr;
}

void IntentSlot::on_provisioned(const std::string& request, CloudOutcome outcome, Millis now) {
    for (auto& provision : batch_.provisions) {
        if (provision.request().id != request || !provision.in_flight()) continue;
        provision.on_outcome(outcome, inherited_, now);
    }
}

std::size_t IntentSlot::withdraw_outdated(Millis now) {
    std::size_t withdrawn = 0;
    for (auto& provision : batch_.provisions) {
        if (!provision.outdated(now)) continue;
        provision.withdraw();
        ++withdrawn;
    }
    return withdrawn;
}

bool IntentSlot::complete_if_done() {
    if (state_ != State::Open || !batch_.releases.empty()) return false;
    const bool complete = std::all_of(batch_.provisions.begin(), batch_.provisions.end(),
                                      [](const auto& provision) { return provision.finished(); });
    if (!complete) return false;
    batch_.provisions.clear();
    state_ = state_without_intent();
    return true;
}

void IntentSlot::delay_removal(Millis now) {
    if (state_ == State::Completed) due_at_ = now + kRemovalDelayMs;
}

// ---- content ----

bool IntentSlot::request_in_flight() const {
    return release_in_flight_ ||
           std::any_of(batch_.provisions.begin(), batch_.provisions.end(),
                       [](const auto& provision) { return provision.in_flight(); });
}

Intent IntentSlot::content() const {
    Intent intent{epoch_, nonce_, batch_.releases, {}};
    for (const auto& provision : batch_.provisions) {
        intent.provisions.push_back(provision.request());
    }
    return intent;
}

}  // namespace lichendrift::duty
