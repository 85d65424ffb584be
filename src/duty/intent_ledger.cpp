// Selects the next intents to write, read back, remove and send to the cloud.
#include "duty/intent_ledger.h"

#include <algorithm>
#include <charconv>

namespace lichendrift::duty {

namespace {

constexpr std::size_t kMaxWritesInFlight = 2;

// The slot number in the key of an intent; nothing if the key is not one that a holder writes.
std::optional<std::uint32_t> slot_number(const std::string& key) {
    std::uint32_t number = 0;
    const char* from = key.data() + std::min(kIntentPrefix.size(), key.size());
    const char* end = key.data() + key.size();
    const auto parsed = std::from_chars(from, end, number);
    const bool whole = from != end && parsed.ptr == end && parsed.ec == std::errc{};
    return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

// ---- intents of earlier holders ----

void IntentLedger::inherit(const StoredIntent& stored, Millis now) {
    const auto number = slot_number(stored.key);
    if (stored.damaged || !number) {
        ++counters_.damaged;
        if (number) slots_[*number] = IntentSlot::damaged();
        return;
    }
    IntentSlot& slot = slots_[*number];
    if (!guards_.inherit_intents) {
        slot = IntentSlot::completed(stored.revision);
        return;
    }
    slot = IntentSlot::inherited(stored, now);
    releasing_.insert(stored.intent.releases.begin(), stored.intent.releases.end());
    ++counters_.inherited;
    complete_if_done(slot);
}

// ---- queued work ----

void IntentLedger::queue_release(const std::string& machine, bool urgent, Millis now) {
    if (releasing_.insert(machine).second) queue_.add_release(machine, urgent, now);
}

void IntentLedger::queue_provision(ProvisionRequest request, Millis now) {
    queue_.add_provision(PendingProvision(std::move(request), now));
}

void IntentLedger::open_unfenced(Millis now) {
    withdraw_outdated(now);
    constexpr auto kNoSizeLimit = std::string::npos;  // no record is written
    if (queue_.has_releases()) {
        slots_[free_slot(false)].open_unfenced(queue_.take_releases(kNoSizeLimit), now);
    }
    if (queue_.has_provisions()) {
        slots_[free_slot(false)].open_unfenced(queue_.take_provisions(kNoSizeLimit), now);
    }
}

void IntentLedger::requeue_unfenced() {
    for (auto& [number, slot] : slots_) {
        const bool unfenced = slot.state() == State::Open && !slot.has_record();
        if (!unfenced || slot.request_in_flight()) continue;
        queue_.requeue(slot.batch(), slot.opened_at());
        slot = {};
    }
}

// A holder may withdraw a request that it has queued and not sent: no other controller can have
// sent it.
void IntentLedger::withdraw_outdated(Millis now) {
    counters_.withdrawn += queue_.withdraw_outdated(now);
    for (auto& [number, slot] : slots_) {
        if (slot.state() != State::Open || slot.batch().provisions.empty()) continue;
        counters_.withdrawn += slot.withdraw_outdated(now);
        complete_if_done(slot);
    }
}

// ---- writing ----

std::uint32_t IntentLedger::free_slot(bool may_overwrite) const {
    std::uint32_t number = 0;
    for (const auto& [used, slot] : slots_) {
        if (used > number) break;  // no slot has this number yet
        if (slot.state() == State::Free) return used;
        if (may_overwrite && slot.state() == State::Completed) return used;
        number = used + 1;
    }
    return number;
}

std::optional<std::uint32_t> IntentLedger::first_due_slot(State state, Millis now) const {
    for (const auto& [number, slot] : slots_) {
        if (slot.due_in_state(state, now)) return number;
    }
    return std::nullopt;
}

std::size_t IntentLedger::writes_in_flight() const {
    const auto writing = [](const auto& entry) { return entry.second.state() == State::Writing; };
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), writing));
}

std::optional<WriteIntent> IntentLedger::next_write(const Permit& provisioning,
                                                    const Permit& reclaiming, const Limits& limits,
                                                    Millis now) {
    withdraw_outdated(now);
    if (writes_in_flight() >= kMaxWritesInFlight) return std::nullopt;
    if (const auto number = first_due_slot(State::Unconfirmed, now)) {
        auto& slot = slots_.at(*number);
        slot.begin_rewrite();
        return make_write(*number, slot.batch().provisions.empty() ? reclaiming : provisioning);
    }
    if (queue_.has_provisions()) {
        return write_batch(queue_.take_provisions(limits.value_bytes), provisioning, now);
    }
    if (queue_.releases_due(now)) {
        return write_batch(queue_.take_releases(limits.value_bytes), reclaiming, now);
    }
    return std::nullopt;
}

WriteIntent IntentLedger::write_batch(IntentBatch batch, const Permit& permit, Millis now) {
    const auto number = free_slot(true);
    auto& slot = slots_[number];
    slot.begin_intent(permit.epoch(), ++last_nonce_, std::move(batch), now);
    auto write = make_write(number, permit);
    if (!guards_.intent_before_request) slot.open_before_written();
    return write;
}

WriteIntent IntentLedger::make_write(std::uint32_t number, const Permit& permit) const {
    const auto& slot = slots_.at(number);
    FencedWrite write(permit);
    write.add_condition({intent_key(number), slot.revision()});
    write.set(intent_key(number), slot.content());
    return {number, std::move(write)};
}

IntentLedger::FenceCheck IntentLedger::on_written(std::uint32_t number, const WriteResult& result,
                                                  Millis now) {
    auto& slot = slots_[number];
    switch (slot.on_written(result, intent_key(number), now)) {
        case IntentSlot::WriteEffect::Durable:
            ++counters_.written;
            return FenceCheck::Intact;
        case IntentSlot::WriteEffect::TooLarge: {
            // The limits of the state service have been lowered.
            const auto queued_at = slot.opened_at();
            queue_.requeue_rejected(slot.take_back_batch(now), queued_at);
            return FenceCheck::Intact;
        }
        case IntentSlot::WriteEffect::FenceFailed:
            return FenceCheck::Failed;
        case IntentSlot::WriteEffect::None:
            return FenceCheck::Intact;
    }
    return FenceCheck::Intact;
}

// ---- reading back ----

std::optional<ReadIntent> IntentLedger::next_read(Millis now) {
    const auto number = first_due_slot(State::ReadDue, now);
    if (!number) return std::nullopt;
    slots_.at(*number).begin_read();
    return ReadIntent{*number};
}

void IntentLedger::on_read(std::uint32_t number, const IntentReadResult& result, Millis now) {
    auto& slot = slots_[number];
    switch (slot.on_read(result, now)) {
        case IntentSlot::ReadEffect::Durable:
            ++counters_.written;
            return;
        case IntentSlot::ReadEffect::Damaged: {
            // No holder writes such a value. The slot keeps the damaged record, and a batch that
            // was being written goes into another slot.
            ++counters_.damaged;
            const auto queued_at = slot.opened_at();
            if (!slot.reads_after_removal())
                queue_.requeue_rejected(slot.take_back_batch(now), queued_at);
            slot = IntentSlot::damaged();
            return;
        }
        case IntentSlot::ReadEffect::None:
            return;
    }
}

// ---- removing ----

std::optional<RemoveIntents> IntentLedger::next_removal(const Permit& provisioning,
                                                        std::size_t max_operations, Millis now) {
    RemoveIntents removal{{}, FencedWrite(provisioning)};
    for (const auto& [number, slot] : slots_) {
        if (slot.state() == State::Removing) return std::nullopt;
        if (!slot.due_in_state(State::Completed, now) || removal.slots.size() >= max_operations)
            continue;
        removal.slots.push_back(number);
        removal.write.add_condition({intent_key(number), slot.revision()});
        removal.write.remove(intent_key(number));
    }
    if (removal.slots.empty()) return std::nullopt;
    for (const auto number : removal.slots) slots_.at(number).begin_removal();
    return removal;
}

IntentLedger::FenceCheck IntentLedger::on_removed(const std::vector<std::uint32_t>& numbers,
                                                  const WriteResult& result, Millis now) {
    bool record_changed = false;
    for (const auto number : numbers) {
        const auto effect = slots_[number].on_removed(result, intent_key(number), now);
        record_changed |= effect == IntentSlot::RemovalEffect::RecordChanged;
    }
    const bool failed = result.outcome == WriteOutcome::Conflict && !record_changed;
    return failed ? FenceCheck::Failed : FenceCheck::Intact;
}

// ---- requests ----

bool IntentLedger::may_request(const IntentSlot& slot, const Permit& permit) const {
    const bool needs_record = permit.fenced() && guards_.intent_before_request;
    return slot.state() == State::Open && (slot.has_record() || !needs_record);
}

std::optional<RequestRelease> IntentLedger::next_release(const Permit& provisioning, Millis now) {
    // Only one is in flight at a time because the cloud's rate limit is low.
    const bool in_flight = std::any_of(slots_.begin(), slots_.end(), [](const auto& entry) {
        return entry.second.release_in_flight();
    });
    if (in_flight) return std::nullopt;
    for (auto& [number, slot] : slots_) {
        if (!may_request(slot, provisioning) || !slot.release_due(now)) continue;
        return RequestRelease{number, FencedRelease(provisioning, slot.begin_release(now))};
    }
    return std::nullopt;
}

void IntentLedger::on_released(std::uint32_t number, std::size_t machines, CloudOutcome outcome,
                               Millis now) {
    auto& slot = slots_[number];
    for (const auto& machine : slot.on_released(machines, outcome, now)) releasing_.erase(machine);
    if (outcome != CloudOutcome::Done) return;
    complete_if_done(slot);
    slot.delay_removal(now);
}

std::optional<RequestProvision> IntentLedger::next_provision(const Permit& provisioning,
                                                             Millis now) {
    for (auto& [number, slot] : slots_) {
        if (!may_request(slot, provisioning)) continue;
        auto* provision = slot.due_provision(now);
        if (provision == nullptr) continue;
        provision->begin_attempt();
        return RequestProvision{number, FencedProvision(provisioning, provision->request())};
    }
    return std::nullopt;
}

void IntentLedger::on_provisioned(std::uint32_t number, const std::string& request,
                                  CloudOutcome outcome, Millis now) {
    auto& slot = slots_[number];
    slot.on_provisioned(request, outcome, now);
    complete_if_done(slot);
    slot.delay_removal(now);
}

void IntentLedger::complete_if_done(IntentSlot& slot) {
    if (slot.complete_if_done()) ++counters_.completed;
}

// ---- open intents ----

bool IntentLedger::provisioning_in_flight() const {
    if (queue_.has_provisions()) return true;
    return std::any_of(slots_.begin(), slots_.end(), [](const auto& entry) {
        const auto& provisions = entry.second.batch().provisions;
        return std::any_of(provisions.begin(), provisions.end(),
                           [](const auto& provision) { return provision.result_expected_soon(); });
    });
}

std::size_t IntentLedger::open_intent_count() const {
    const auto open = [](const auto& entry) { return entry.second.has_open_stored_intent(); };
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), open));
}

std::optional<IntentLedger::OldestIntent> IntentLedger::oldest_open_intent() const {
    std::optional<OldestIntent> oldest;
    for (const auto& [number, slot] : slots_) {
        if (!slot.has_open_stored_intent()) continue;
        if (oldest && oldest->opened_at <= slot.opened_at()) continue;
        const auto& batch = slot.batch();
        oldest = OldestIntent{number, slot.opened_at(), batch.releases.size(), {}, {}};
        if (!batch.releases.empty()) {
            oldest->first_machine = batch.releases.front();
        } else if (!batch.provisions.empty()) {
            oldest->provision_request = batch.provisions.front().request().id;
        }
    }
    return oldest;
}

}  // namespace lichendrift::duty
