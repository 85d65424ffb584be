#include "control/machine_duties.h"

#include "control/fenced_store.h"
#include "control/leader_host.h"

namespace lichendrift::control {

namespace {

constexpr Millis kReportEvery = 60'000;
constexpr Millis kStuckAfter = 30'000;  // an open intent this old is told of

duty::CloudOutcome cloud_outcome(cloud::Result answer) {
    switch (answer) {
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

duty::MachineHolder::Setup holder_setup(const Settings& settings, std::uint64_t term,
                                        std::uint64_t leader_revision) {
    duty::MachineHolder::Setup setup;
    setup.member = settings.member;
    setup.term = term;
    setup.lease = {"leader", leader_revision};
    setup.fencing = settings.features.fenced_duties;
    setup.conditions = settings.guards.leader_condition;
    setup.guards = {settings.guards.intent_first, settings.guards.intents_inherited};
    return setup;
}

}  // namespace

MachineDuties::MachineDuties(net::Runtime& runtime, const Settings& settings,
                             store::StoreClient& store, cloud::CloudClient& cloud, LeaderHost& host,
                             MachineDutiesListener& listener, std::uint64_t term,
                             std::uint64_t leader_revision)
    : runtime_(runtime),
      store_(store),
      cloud_(cloud),
      host_(host),
      listener_(listener),
      holder_(holder_setup(settings, term, leader_revision)),
      intents_kept_(settings.guards.intent_kept),
      reported_at_(runtime.now()) {}

duty::MachineHolder::Moment MachineDuties::moment() {
    duty::MachineHolder::Moment moment;
    moment.now = runtime_.now();
    moment.sure = host_.has_leader_lease();
    moment.records_known = records_known_;
    moment.not_after = host_.leader_lease_valid_until();
    moment.may_activate = host_.peers_fence_duties();
    moment.idle_writes = store_.can_write_at_once(store_.max_transaction_operations());
    moment.limits = {store_.max_value_bytes_from_now_on(), store_.max_transaction_operations()};
    return moment;
}

void MachineDuties::pump() {
    if (stopped_) return;
    if (pumping_) {
        pump_wanted_ = true;
        return;
    }
    pumping_ = true;
    do {
        pump_wanted_ = false;
        for (const auto& action : holder_.due(moment())) {
            std::visit([this](const auto& what) { carry_out(what); }, action);
        }
    } while (pump_wanted_ && !stopped_);
    pumping_ = false;
    report();
}

void MachineDuties::pump_again() {
    if (holder_.lost()) return listener_.on_lease_lost();
    pump();
}

void MachineDuties::want_release(const std::string& machine, bool urgent) {
    holder_.want_release(machine, urgent, runtime_.now());
}

void MachineDuties::want_provision(duty::ProvisionRequest order) {
    holder_.want_provision(std::move(order), runtime_.now());
}

// ---- the state service ----

void MachineDuties::carry_out(const duty::MachineHolder::ReadDuty& action) {
    store_.get(store::RequestPriority::Leadership, duty::record_key(action.duty),
               [self = shared_from_this(), duty = action.duty](store::Outcome outcome,
                                                               const wire::Item& item) {
                   if (self->stopped_) return;
                   auto read = read_outcome(outcome);
                   const auto record = read == duty::ReadOutcome::Found
                                           ? wire::parse_duty_value(item.value)
                                           : std::nullopt;
                   if (read == duty::ReadOutcome::Found && !record) {
                       read = duty::ReadOutcome::Damaged;
                       self->host_.log(events::RecordUnreadable{item.key});
                   }
                   const bool held = self->holder_.claim(duty).held();
                   self->holder_.on_duty_read(duty, read, record.value_or(duty::DutyRecord{}),
                                              item.revision, self->runtime_.now());
                   self->note_claim(duty, held);
                   if (read != duty::ReadOutcome::Failed) self->pump_again();
               });
}

void MachineDuties::carry_out(const duty::MachineHolder::ReadIntents& action) {
    store_.list(store::RequestPriority::Leadership, std::string(duty::kIntentPrefix), action.since,
                [self = shared_from_this()](store::Outcome outcome, const wire::ItemPage& page) {
                    if (self->stopped_) return;
                    std::vector<duty::StoredIntent> stored;
                    for (const auto& item : page.items) {
                        stored.push_back(wire::parse_intent(item));
                        if (!stored.back().damaged) continue;
                        self->host_.log(events::RecordUnreadable{item.key});
                    }
                    const auto machines = self->holder_.on_intents_read(
                        outcome == store::Outcome::Ok, stored, page.more, self->runtime_.now());
                    if (!machines.empty()) self->listener_.on_releases_inherited(machines);
                    if (outcome == store::Outcome::Ok) self->pump_again();
                });
}

void MachineDuties::carry_out(const duty::MachineHolder::ReadIntent& action) {
    store_.get(store::RequestPriority::Submit, duty::intent_key(action.slot),
               [self = shared_from_this(), slot = action.slot](store::Outcome outcome,
                                                               const wire::Item& item) {
                   if (self->stopped_) return;
                   auto read = read_outcome(outcome);
                   duty::StoredIntent stored;
                   if (read == duty::ReadOutcome::Found) stored = wire::parse_intent(item);
                   if (stored.damaged) read = duty::ReadOutcome::Damaged;
                   self->holder_.on_intent_read(slot, read, stored.intent, item.revision,
                                                self->runtime_.now());
                   self->pump_again();
               });
}

void MachineDuties::carry_out(const duty::MachineHolder::WriteDuty& action) {
    send_write(store_, store::RequestPriority::Leadership, action.write,
               [self = shared_from_this(), duty = action.duty](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   const bool held = self->holder_.claim(duty).held();
                   self->holder_.on_duty_written(duty, result, self->runtime_.now());
                   self->note_claim(duty, held);
                   self->pump_again();
               });
}

void MachineDuties::carry_out(const duty::MachineHolder::WriteIntent& action) {
    send_write(store_, store::RequestPriority::Submit, action.write,
               [self = shared_from_this(), slot = action.slot](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   self->holder_.on_intent_written(slot, result, self->runtime_.now());
                   self->pump_again();
               });
}

void MachineDuties::carry_out(const duty::MachineHolder::RemoveIntents& action) {
    send_write(store_, store::RequestPriority::Read, action.write,
               [self = shared_from_this(), slots = action.slots](const duty::WriteResult& result) {
                   if (self->stopped_) return;
                   self->holder_.on_intents_removed(slots, result, self->runtime_.now());
                   if (self->holder_.lost()) self->listener_.on_lease_lost();
               });
}

// ---- the cloud ----

void MachineDuties::carry_out(const duty::MachineHolder::RequestRelease& action) {
    cloud_.release(action.request, [self = shared_from_this(), slot = action.slot,
                                    machines = action.request.machines()](cloud::Result answer) {
        if (self->stopped_) return;
        const bool doubtful = answer == cloud::Result::NoResponse;
        if (doubtful && !self->intents_kept_) answer = cloud::Result::Ok;
        if (answer == cloud::Result::StaleEpoch) self->note_stale("release");
        self->holder_.on_released(slot, machines.size(), cloud_outcome(answer),
                                  self->runtime_.now());
        if (answer != cloud::Result::Ok) return;
        self->listener_.on_released(machines);
        self->pump_again();
    });
}

void MachineDuties::carry_out(const duty::MachineHolder::RequestProvision& action) {
    cloud_.provision(
        action.request,
        [self = shared_from_this(), slot = action.slot, order = action.request.order()](
            cloud::Result answer, const std::vector<std::string>& machines) {
            if (self->stopped_) return;
            if (answer == cloud::Result::StaleEpoch) self->note_stale(order.request);
            self->holder_.on_provisioned(slot, order.request, cloud_outcome(answer),
                                         self->runtime_.now());
            const bool few = answer == cloud::Result::Ok && machines.size() < order.number;
            self->listener_.on_provisioned(order, machines,
                                           few || answer == cloud::Result::NoCapacity, answer);
        });
}

// ---- what operators see ----

void MachineDuties::note_claim(duty::Duty duty, bool held_before) {
    const auto& claim = holder_.claim(duty);
    if (claim.held() == held_before) return;
    const auto name = duty::name_of(duty);
    if (claim.held()) {
        host_.log(events::DutyAcquired{name, claim.epoch()});
    } else {
        host_.log(events::DutyEnded{name, events::DutyEnd::Lost, 0, 0});
    }
}

void MachineDuties::note_stale(const std::string& what) {
    ++refused_as_stale_;
    host_.log(events::StaleEpochRefused{what});
}

void MachineDuties::report() {
    if (!holder_.fenced()) return;
    const auto now = runtime_.now();
    const auto& ledger = holder_.ledger();
    if (const auto oldest = ledger.oldest_open();
        oldest && now - oldest->since > kStuckAfter && now - reported_stuck_at_ > kStuckAfter) {
        reported_stuck_at_ = now;
        host_.log(events::IntentOverdue{duty::intent_key(oldest->slot),
                                        (now - oldest->since) / 1000, oldest->releases,
                                        oldest->first_machine, oldest->provision_request});
    }
    if (now - reported_at_ < kReportEvery) return;
    reported_at_ = now;
    const auto& counters = ledger.counters();
    host_.log(events::IntentsReport{ledger.open_count(), counters.written, counters.settled,
                                    counters.inherited, counters.withdrawn, counters.damaged,
                                    refused_as_stale_});
}

}  // namespace lichendrift::control
