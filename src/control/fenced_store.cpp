// Converts between the types of duties and those of the state service's client.
#include "control/fenced_store.h"

#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

std::string encode_value(const duty::StoredValue& value) {
    if (const auto* record = std::get_if<duty::DutyRecord>(&value)) {
        return wire::duty_value(*record);
    }
    if (const auto* intent = std::get_if<duty::Intent>(&value)) return wire::intent_value(*intent);
    return "";
}

duty::ReadOutcome read_outcome(store::Outcome outcome) {
    if (outcome == store::Outcome::Ok) return duty::ReadOutcome::Found;
    if (outcome == store::Outcome::Missing) return duty::ReadOutcome::Missing;
    return duty::ReadOutcome::Failed;
}

duty::WriteOutcome write_outcome(store::Outcome outcome) {
    switch (outcome) {
        case store::Outcome::Ok:
            return duty::WriteOutcome::Written;
        case store::Outcome::Conflict:
            return duty::WriteOutcome::Conflict;
        case store::Outcome::Unavailable:
        case store::Outcome::Missing:
            return duty::WriteOutcome::Unavailable;
        case store::Outcome::Rejected:
            return duty::WriteOutcome::Rejected;
        case store::Outcome::Unknown:
            return duty::WriteOutcome::Unknown;
    }
    return duty::WriteOutcome::Unknown;
}

}  // namespace

duty::DutyReadResult duty_read_result(store::Outcome outcome, const wire::Item& item) {
    duty::DutyReadResult result{read_outcome(outcome), {}, item.revision};
    if (result.outcome != duty::ReadOutcome::Found) return result;
    if (auto record = wire::parse_duty_value(item.value)) {
        result.record = std::move(*record);
    } else {
        result.outcome = duty::ReadOutcome::Damaged;
    }
    return result;
}

duty::IntentReadResult intent_read_result(store::Outcome outcome, const wire::Item& item) {
    duty::IntentReadResult result{read_outcome(outcome), {}, item.revision};
    if (result.outcome != duty::ReadOutcome::Found) return result;
    auto stored = wire::parse_intent(item);
    result.record = std::move(stored.intent);
    if (stored.damaged) result.outcome = duty::ReadOutcome::Damaged;
    return result;
}

void send_write(store::StoreClient& store, store::RequestPriority priority,
                const duty::FencedWrite& write, std::function<void(duty::WriteResult)> done) {
    std::vector<wire::Condition> conditions;
    for (const auto& condition : write.conditions()) {
        conditions.push_back({condition.key, condition.revision});
    }
    std::vector<wire::Change> changes;
    for (const auto& change : write.changes()) {
        changes.push_back({change.key, encode_value(change.value), 0});
    }
    store.transact(priority, conditions, changes,
                   [done = std::move(done)](const store::TransactionResult& result) {
                       done({write_outcome(result.outcome), result.revision, result.failed});
                   });
}

}  // namespace lichendrift::control
