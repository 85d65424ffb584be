// Executes the actions of the machine duties: requests to the state service and the cloud, logging.
#include "control/machine_duties.h"

#include "control/fenced_store.h"
#include "control/leader_host.h"
#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

constexpr Millis kReportIntervalMs = 60'000;
constexpr Millis kOverdueAfterMs = 30'000;  // age from which an open intent is logged

duty::CloudOutcome cloud_outcome(cloud::Result result) {
    switch (result) {
        case cloud::Result::Ok:
            return duty::CloudOutcome::Done;
        case cloud::Result::NoCapacity:
            return duty::CloudOutcome::NoCapacity;
        case cloud::Result::Unavailable:
        case cloud::Result::StaleEpoch:
            return duty::CloudOutcome::Unavailable;
        case cloud::Result::NoResponse:
            return duty::CloudOutcome::NoAnswer;
    }
    return duty::CloudOutcome::NoAnswer;
}

duty::MachineDutyHolder::Setup holder_setup(const Settings& settings, std::uint64_t term,
                                            std::uint64_t leader_revision) {
    duty::MachineDutyHolder::Setup setup;
    setup.member = settings.member;
    setup.term = term;
    setup.lease = {std::string(core::keys::kLeader), leader_revision};
    setup.fencing = settings.features.fenced_duties;
    setup.conditional_writes = settings.guards.leader_record_condition;
    setup.guards = {settings.guards.intent_before_request, settings.guards.intents_inherited};
    return setup;
}

}  // namespace

MachineDuties::MachineDuties(const Services& services, std::uint64_t term,
                             std::uint64_t leader_revision)
    : services_(services),
      holder_(holder_setup(services.settings, term, leader_revision)),
      keep_unconfirmed_intents_(services.settings.guards.keep_release_intents),
      reported_at_(services.runtime.now()) {}

duty::MachineDutyHolder::Inputs MachineDuties::holder_inputs() {
    auto& store = services_.store;
    duty::MachineDutyHolder::Inputs inputs;
    inputs.now = services_.runtime.now();
    inputs.lease_valid = services_.host.has_leader_lease();
    inputs.placement_records_loaded = placement_records_loaded_;
    inputs.not_after = services_.host.leader_lease_valid_until();
    inputs.may_begin_fencing = services_.host.peers_fence_duties();
    inputs.background_writes_allowed =
        store.can_write_immediately(store.max_transaction_operations());
    inputs.limits = {store.max_value_bytes_after_reduction(), store.max_transaction_operations()};
    return inputs;
}

void MachineDuties::run_due_actions() {
    if (stopped_) return;
    if (running_actions_) {
        run_again_ = true;
        return;
    }
    running_actions_ = true;
    do {
        run_again_ = false;
        for (const auto& action : holder_.due_actions(holder_inputs())) {
            std::visit([this](const auto& due) { execute(due); }, action);
        }
    } while (run_again_ && !stopped_);
    running_actions_ = false;
    log_report_if_due();
}

void MachineDuties::run_due_actions_unless_lost() {
    if (holder_.lease_lost()) return services_.listener.on_lease_lost();
    run_due_actions();
}

void MachineDuties::queue_release(const std::string& machine, bool urgent) {
    holder_.queue_release(machine, urgent, services_.runtime.now());
}

void MachineDuties::queue_provision(duty::ProvisionRequest request) {
    holder_.queue_provision(std::move(request), services_.runtime.now());
}

// ---- requests to the state service ----

void MachineDuties::execute(const duty::ReadDuty& action) {
    services_.store.get(store::RequestPriority::Leadership, duty::record_key(action.duty),
                        [self = shared_from_this(), duty = action.duty](store::Outcome outcome,
                                                                        const wire::Item& item) {
                            if (self->stopped_) return;
                            const auto read = duty_read_result(outcome, item);
                            if (read.outcome == duty::ReadOutcome::Damaged) {
                                self->services_.host.log(events::RecordUnreadable{item.key});
                            }
                            const bool held_before = self->holder_.claim(duty).holds_duty();
                            self->holder_.on_duty_read(duty, read, self->services_.runtime.now());
                            self->log_if_claim_changed(duty, held_before);
                            if (read.outcome != duty::ReadOutcome::Failed)
                                self->run_due_actions_unless_lost();
                        });
}

void MachineDuties::execute(const duty::ReadIntents& action) {
    services_.store.list(
        store::RequestPriority::Leadership, std::string(duty::kIntentPrefix), action.after_key,
        [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& page) {
            if (self->stopped_) return;
            if (outcome != store::Outcome::Ok) {
                self->holder_.on_intents_read_failed(self->services_.runtime.now());
                return;
            }
            self->on_intents_read(page);
        });
}

void MachineDuties::on_intents_read(const wire::ItemPage& page) {
    duty::IntentPage intents{{}, page.more};
    for (const auto& item : page.items) {
        intents.intents.push_back(wire::parse_intent(item));
        if (!intents.intents.back().damaged) continue;
        services_.host.log(events::RecordUnreadable{item.key});
    }
    const auto machines = holder_.on_intents_read(intents, services_.runtime.now());
    if (!machines.empty()) services_.listener.on_releases_inherited(machines);
    run_due_actions_unless_lost();
}

void MachineDuties::execute(const duty::ReadIntent& action) {
    services_.store.get(store::RequestPriority::Submit, duty::intent_key(action.slot),
                        [self = shared_from_this(), slot = action.slot](store::Outcome outcome,
                                                                        const wire::Item& item) {
                            if (self->stopped_) return;
                            self->holder_.on_intent_read(slot, intent_read_result(outcome, item),
                                                         self->services_.runtime.now());
                            self->run_due_actions_unless_lost();
                        });
}

void MachineDuties::execute(const duty::WriteDuty& action) {
    send_write(services_.store, store::RequestPriority::Leadership, action.write,
               [self = shared_from_this(), duty = action.duty](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   const bool held_before = self->holder_.claim(duty).holds_duty();
                   self->holder_.on_duty_written(duty, result, self->services_.runtime.now());
                   self->log_if_claim_changed(duty, held_before);
                   self->run_due_actions_unless_lost();
               });
}

void MachineDuties::execute(const duty::WriteIntent& action) {
    send_write(services_.store, store::RequestPriority::Submit, action.write,
               [self = shared_from_this(), slot = action.slot](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   self->holder_.on_intent_written(slot, result, self->services_.runtime.now());
                   self->run_due_actions_unless_lost();
               });
}

void MachineDuties::execute(const duty::RemoveIntents& action) {
    send_write(services_.store, store::RequestPriority::Read, action.write,
               [self = shared_from_this(), slots = action.slots](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   self->holder_.on_intents_removed(slots, result, self->services_.runtime.now());
                   if (self->holder_.lease_lost()) self->services_.listener.on_lease_lost();
               });
}

// ---- requests to the cloud ----

void MachineDuties::execute(const duty::RequestRelease& action) {
    services_.cloud.release(
        action.request, [self = shared_from_this(), slot = action.slot,
                         machines = action.request.machines()](cloud::Result result) {
            if (self->stopped_) return;
            const bool unconfirmed = result == cloud::Result::NoResponse;
            if (unconfirmed && !self->keep_unconfirmed_intents_) result = cloud::Result::Ok;
            if (result == cloud::Result::StaleEpoch) self->log_stale_epoch("release");
            self->holder_.on_released(slot, machines.size(), cloud_outcome(result),
                                      self->services_.runtime.now());
            if (result != cloud::Result::Ok) return;
            self->services_.listener.on_released(machines);
            self->run_due_actions_unless_lost();
        });
}

void MachineDuties::execute(const duty::RequestProvision& action) {
    services_.cloud.provision(
        action.request,
        [self = shared_from_this(), slot = action.slot, request = action.request.request()](
            cloud::Result result, const std::vector<std::string>& machines) {
            if (self->stopped_) return;
            if (result == cloud::Result::StaleEpoch) self->log_stale_epoch(request.id);
            self->holder_.on_provisioned(slot, request.id, cloud_outcome(result),
                                         self->services_.runtime.now());
            const bool too_few = result == cloud::Result::Ok && machines.size() < request.count;
            const bool insufficient = too_few || result == cloud::Result::NoCapacity;
            self->services_.listener.on_provisioned(request, machines, insufficient, result);
        });
}

// ---- logging ----

void MachineDuties::log_if_claim_changed(duty::Duty duty, bool held_before) {
    const auto& claim = holder_.claim(duty);
    if (claim.holds_duty() == held_before) return;
    const auto name = duty::name_of(duty);
    if (claim.holds_duty()) {
        services_.host.log(events::DutyAcquired{name, claim.epoch()});
    } else {
        services_.host.log(events::DutyEnded{name, events::DutyEnd::Lost, 0, 0});
    }
}

void MachineDuties::log_stale_epoch(const std::string& request) {
    ++stale_epoch_refusals_;
    services_.host.log(events::StaleEpochRefused{request});
}

void MachineDuties::log_report_if_due() {
    if (!holder_.fenced()) return;
    log_overdue_intent();
    const auto now = services_.runtime.now();
    if (now - reported_at_ < kReportIntervalMs) return;
    reported_at_ = now;
    const auto& ledger = holder_.ledger();
    const auto& counters = ledger.counters();
    services_.host.log(events::IntentsReport{
        ledger.open_intent_count(), counters.written, counters.completed, counters.inherited,
        counters.withdrawn, counters.damaged, stale_epoch_refusals_});
}

void MachineDuties::log_overdue_intent() {
    const auto oldest = holder_.ledger().oldest_open_intent();
    if (!oldest) return;
    const auto now = services_.runtime.now();
    const auto open_ms = now - oldest->opened_at;
    if (open_ms <= kOverdueAfterMs || now - overdue_reported_at_ <= kOverdueAfterMs) return;
    overdue_reported_at_ = now;
    services_.host.log(events::IntentOverdue{duty::intent_key(oldest->slot), open_ms / 1000,
                                             oldest->releases, oldest->first_machine,
                                             oldest->provision_request});
}

}  // namespace lichendrift::control
