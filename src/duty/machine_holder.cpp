#include "duty/machine_holder.h"

namespace lichendrift::duty {

namespace {

constexpr Millis kReadRetry = 300;
constexpr Millis kDamagedRetry = 10'000;

Claim::Setup claim_setup(const MachineHolder::Setup& setup, Duty duty) {
    return {duty, setup.member, setup.term, setup.lease, setup.fencing, setup.conditions};
}

}  // namespace

MachineHolder::MachineHolder(const Setup& setup)
    : setup_(setup),
      provisioning_(claim_setup(setup, Duty::Provisioning)),
      reclaiming_(claim_setup(setup, Duty::Reclaiming)),
      ledger_(setup.guards),
      intents_(setup.fencing ? Intents::ToRead : Intents::Read) {}

std::vector<MachineHolder::Action> MachineHolder::due(const Moment& moment) {
    std::vector<Action> out;
    if (lost()) return out;
    if (intents_ == Intents::ToRead && retry_at_ <= moment.now) {
        intents_ = Intents::Reading;
        out.emplace_back(ReadIntents{read_since_});
    }
    add_claim_actions(provisioning_, moment, out);
    add_claim_actions(reclaiming_, moment, out);
    if (!moment.sure || !moment.records_known || !inherited_known()) return out;
    const auto provisioning = provisioning_.permit(moment.not_after);
    const auto reclaiming = reclaiming_.permit(moment.not_after);
    // Between the two states one duty is fenced and the other is not yet.
    if (!provisioning || !reclaiming || provisioning->fenced() != reclaiming->fenced()) return out;
    if (provisioning->fenced()) {
        ledger_.close_unfenced();
        add_writes(*provisioning, *reclaiming, moment, out);
    } else {
        ledger_.open_unfenced(moment.now);
    }
    add_requests(*provisioning, moment, out);
    return out;
}

void MachineHolder::add_claim_actions(Claim& claim, const Moment& moment,
                                      std::vector<Action>& out) {
    if (retry_at_ > moment.now) return;
    claim.look_again();
    if (claim.take_read()) {
        out.emplace_back(ReadDuty{claim.duty()});
        return;
    }
    if (!moment.sure) return;
    if (auto write = claim.take_write(moment.may_activate)) {
        out.emplace_back(WriteDuty{claim.duty(), std::move(*write)});
    }
}

void MachineHolder::add_writes(const Permit& provisioning, const Permit& reclaiming,
                               const Moment& moment, std::vector<Action>& out) {
    while (auto write = ledger_.next_write(provisioning, reclaiming, moment.limits, moment.now)) {
        out.emplace_back(WriteIntent{write->slot, std::move(write->write)});
    }
    while (const auto slot = ledger_.next_read(moment.now)) out.emplace_back(ReadIntent{*slot});
    if (!moment.idle_writes) return;
    if (auto removal = ledger_.next_removal(provisioning, moment.limits.operations, moment.now)) {
        out.emplace_back(RemoveIntents{std::move(removal->slots), std::move(removal->write)});
    }
}

void MachineHolder::add_requests(const Permit& provisioning, const Moment& moment,
                                 std::vector<Action>& out) {
    while (auto release = ledger_.next_release(provisioning, moment.now)) {
        out.emplace_back(RequestRelease{release->slot, std::move(release->request)});
    }
    while (auto provision = ledger_.next_provision(provisioning, moment.now)) {
        out.emplace_back(RequestProvision{provision->slot, std::move(provision->request)});
    }
}

void MachineHolder::on_duty_read(Duty duty, ReadOutcome outcome, const DutyRecord& record,
                                 std::uint64_t revision, Millis now) {
    claim_of(duty).on_read(outcome, record, revision);
    if (outcome == ReadOutcome::Failed) retry_at_ = now + kReadRetry;
    if (outcome == ReadOutcome::Damaged) retry_at_ = now + kDamagedRetry;
}

void MachineHolder::on_duty_written(Duty duty, const WriteResult& result, Millis now) {
    claim_of(duty).on_written(result);
    if (result.outcome != WriteOutcome::Written) retry_at_ = now + kReadRetry;
}

std::vector<std::string> MachineHolder::on_intents_read(bool ok,
                                                        const std::vector<StoredIntent>& page,
                                                        bool more, Millis now) {
    std::vector<std::string> machines;
    if (intents_ != Intents::Reading) return machines;
    if (!ok) {
        intents_ = Intents::ToRead;
        retry_at_ = now + kReadRetry;
        return machines;
    }
    for (const auto& stored : page) {
        ledger_.load(stored, now);
        read_since_ = stored.key;
        if (!setup_.guards.inherit) continue;
        const auto& named = stored.intent.releases;
        machines.insert(machines.end(), named.begin(), named.end());
    }
    intents_ = more && !page.empty() ? Intents::ToRead : Intents::Read;
    return machines;
}

void MachineHolder::on_intent_read(std::uint32_t slot, ReadOutcome outcome, const Intent& intent,
                                   std::uint64_t revision, Millis now) {
    ledger_.on_read(slot, outcome, intent, revision, now);
}

void MachineHolder::on_intent_written(std::uint32_t slot, const WriteResult& result, Millis now) {
    if (ledger_.on_written(slot, result, now) == IntentLedger::AfterWrite::FenceFailed) {
        fence_failed(result);
    }
}

void MachineHolder::on_intents_removed(const std::vector<std::uint32_t>& slots,
                                       const WriteResult& result, Millis now) {
    if (ledger_.on_removed(slots, result, now) == IntentLedger::AfterWrite::FenceFailed) {
        fence_failed(result);
    }
}

// Which condition failed tells whether the lease has passed to another, or only a record was
// changed under it.
void MachineHolder::fence_failed(const WriteResult& result) {
    for (auto* claim : {&provisioning_, &reclaiming_}) {
        if (result.failed_on(setup_.lease.key)) claim->on_lease_lost();
        if (result.failed_on(claim->key())) claim->on_record_changed();
    }
}

bool MachineHolder::lost() const {
    return provisioning_.state() == Claim::State::Lost || reclaiming_.state() == Claim::State::Lost;
}

}  // namespace lichendrift::duty
