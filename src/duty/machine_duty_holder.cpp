// Order of the actions of a holder of the machine duties.
#include "duty/machine_duty_holder.h"

namespace lichendrift::duty {

namespace {

constexpr Millis kRetryMs = 300;
constexpr Millis kDamagedRetryMs = 10'000;

Claim::Setup claim_setup(const MachineDutyHolder::Setup& setup, Duty duty) {
    return {duty, setup.member, setup.term, setup.lease, setup.fencing, setup.conditional_writes};
}

}  // namespace

MachineDutyHolder::MachineDutyHolder(const Setup& setup)
    : setup_(setup),
      provisioning_(claim_setup(setup, Duty::Provisioning)),
      reclaiming_(claim_setup(setup, Duty::Reclaiming)),
      ledger_(setup.guards),
      inherited_intents_(setup.fencing ? InheritedIntents::ReadDue : InheritedIntents::Loaded) {}

std::vector<Action> MachineDutyHolder::due_actions(const Inputs& inputs) {
    std::vector<Action> out;
    if (lease_lost()) return out;
    if (inherited_intents_ == InheritedIntents::ReadDue && retry_at_ <= inputs.now) {
        inherited_intents_ = InheritedIntents::Reading;
        out.emplace_back(ReadIntents{last_read_key_});
    }
    add_claim_actions(provisioning_, inputs, out);
    add_claim_actions(reclaiming_, inputs, out);
    if (!inputs.lease_valid || !inputs.placement_records_loaded || !inherited_intents_loaded())
        return out;
    const auto provisioning = provisioning_.permit(inputs.not_after);
    const auto reclaiming = reclaiming_.permit(inputs.not_after);
    // Fencing of a duty begins when its record is first written, once every controller supports
    // it. One duty may then already be fenced and the other not yet: wait for both.
    if (!provisioning || !reclaiming || provisioning->fenced() != reclaiming->fenced()) return out;
    if (provisioning->fenced()) {
        ledger_.requeue_unfenced();
        add_intent_actions(*provisioning, *reclaiming, inputs, out);
    } else {
        ledger_.open_unfenced(inputs.now);
    }
    add_requests(*provisioning, inputs, out);
    return out;
}

void MachineDutyHolder::add_claim_actions(Claim& claim, const Inputs& inputs,
                                          std::vector<Action>& out) {
    if (retry_at_ > inputs.now) return;
    claim.retry_damaged_record();
    if (claim.begin_read()) {
        out.emplace_back(ReadDuty{claim.duty()});
        return;
    }
    if (!inputs.lease_valid) return;
    if (auto write = claim.begin_write(inputs.may_begin_fencing)) {
        out.emplace_back(WriteDuty{claim.duty(), std::move(*write)});
    }
}

void MachineDutyHolder::add_intent_actions(const Permit& provisioning, const Permit& reclaiming,
                                           const Inputs& inputs, std::vector<Action>& out) {
    while (auto write = ledger_.next_write(provisioning, reclaiming, inputs.limits, inputs.now)) {
        out.emplace_back(std::move(*write));
    }
    while (const auto read = ledger_.next_read(inputs.now)) out.emplace_back(*read);
    if (!inputs.background_writes_allowed) return;
    if (auto removal = ledger_.next_removal(provisioning, inputs.limits.operations, inputs.now)) {
        out.emplace_back(std::move(*removal));
    }
}

void MachineDutyHolder::add_requests(const Permit& provisioning, const Inputs& inputs,
                                     std::vector<Action>& out) {
    while (auto release = ledger_.next_release(provisioning, inputs.now)) {
        out.emplace_back(std::move(*release));
    }
    while (auto provision = ledger_.next_provision(provisioning, inputs.now)) {
        out.emplace_back(std::move(*provision));
    }
}

void MachineDutyHolder::on_duty_read(Duty duty, const DutyReadResult& result, Millis now) {
    mutable_claim(duty).on_read(result);
    if (result.outcome == ReadOutcome::Failed) retry_at_ = now + kRetryMs;
    if (result.outcome == ReadOutcome::Damaged) retry_at_ = now + kDamagedRetryMs;
}

void MachineDutyHolder::on_duty_written(Duty duty, const WriteResult& result, Millis now) {
    mutable_claim(duty).on_written(result);
    if (result.outcome != WriteOutcome::Written) retry_at_ = now + kRetryMs;
}

std::vector<std::string> MachineDutyHolder::on_intents_read(const IntentPage& page, Millis now) {
    std::vector<std::string> machines;
    if (inherited_intents_ != InheritedIntents::Reading) return machines;
    for (const auto& stored : page.intents) {
        ledger_.inherit(stored, now);
        last_read_key_ = stored.key;
        if (!setup_.guards.inherit_intents) continue;
        const auto& releases = stored.intent.releases;
        machines.insert(machines.end(), releases.begin(), releases.end());
    }
    const bool more = page.more && !page.intents.empty();
    inherited_intents_ = more ? InheritedIntents::ReadDue : InheritedIntents::Loaded;
    return machines;
}

void MachineDutyHolder::on_intents_read_failed(Millis now) {
    if (inherited_intents_ != InheritedIntents::Reading) return;
    inherited_intents_ = InheritedIntents::ReadDue;
    retry_at_ = now + kRetryMs;
}

void MachineDutyHolder::on_intent_written(std::uint32_t slot, const WriteResult& result,
                                          Millis now) {
    on_fence_checked(ledger_.on_written(slot, result, now), result);
}

void MachineDutyHolder::on_intents_removed(const std::vector<std::uint32_t>& slots,
                                           const WriteResult& result, Millis now) {
    on_fence_checked(ledger_.on_removed(slots, result, now), result);
}

// Called after the transaction that writes or removes intents. If a condition other than an
// intent's revision failed, it shows whether the lease has passed to another controller or only the
// record of a duty has changed.
void MachineDutyHolder::on_fence_checked(IntentLedger::FenceCheck check,
                                         const WriteResult& result) {
    if (check == IntentLedger::FenceCheck::Intact) return;
    for (auto* claim : {&provisioning_, &reclaiming_}) {
        if (result.condition_failed(setup_.lease.key)) claim->on_lease_lost();
        if (result.condition_failed(claim->key())) claim->on_record_changed();
    }
}

bool MachineDutyHolder::lease_lost() const {
    return provisioning_.state() == Claim::State::Lost || reclaiming_.state() == Claim::State::Lost;
}

}  // namespace lichendrift::duty
