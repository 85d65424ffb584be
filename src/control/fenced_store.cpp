#include "control/fenced_store.h"

namespace lichendrift::control {

namespace {

std::string encoded(const duty::StoredValue& value) {
    if (const auto* record = std::get_if<duty::DutyRecord>(&value))
        return wire::duty_value(*record);
    if (const auto* intent = std::get_if<duty::Intent>(&value)) return wire::intent_value(*intent);
    return "";
}

}  // namespace

duty::ReadOutcome read_outcome(store::Outcome outcome) {
    if (outcome == store::Outcome::Ok) return duty::ReadOutcome::Found;
    if (outcome == store::Outcome::Missing) return duty::ReadOutcome::Missing;
    return duty::ReadOutcome::Failed;
}

duty::WriteResult write_result(const store::TransactionResult& result) {
    using duty::WriteOutcome;
    auto outcome = WriteOutcome::Unknown;
    switch (result.outcome) {
        case store::Outcome::Ok:
            outcome = WriteOutcome::Written;
            break;
        case store::Outcome::Conflict:
            outcome = WriteOutcome::Conflict;
            break;
        case store::Outcome::Unavailable:
        case store::Outcome::Missing:
            outcome = WriteOutcome::Refused;
            break;
        case store::Outcome::Rejected:
            outcome = WriteOutcome::Rejected;
            break;
        case store::Outcome::Unknown:
            break;
    }
    return {outcome, result.revision, result.failed};
}

void send_write(store::StoreClient& store, store::RequestPriority priority,
                const duty::FencedWrite& write, std::function<void(duty::WriteResult)> done) {
    std::vector<wire::Condition> when;
    for (const auto& condition : write.conditions()) {
        when.push_back({condition.key, condition.revision});
    }
    std::vector<wire::Change> then;
    for (const auto& change : write.changes()) {
        then.push_back({change.key, encoded(change.value), 0});
    }
    store.transact(priority, when, then,
                   [done = std::move(done)](const store::TransactionResult& result) {
                       done(write_result(result));
                   });
}

}  // namespace lichendrift::control
