// The leader's writes to the state service: placement records, terminal states, and removals of
// records that are no longer needed.
#include "control/record_writer.h"

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

constexpr std::size_t kMaxTransactionBytes = 40'000;  // of the placement records in a transaction
constexpr int kMaxPlacementWrites = 2;                // transactions in flight
// Further transactions in flight, allowed only for records that the starts of replicas wait for.
constexpr int kMaxUrgentPlacementWrites = 2;
constexpr int kMaxTerminalWrites = 3;  // transactions in flight
// Operations of a terminal state's transaction, not counting the placement records that it removes:
// one for the key of the open job and one for the key of the terminal state.
constexpr std::size_t kTerminalOperations = 2;
constexpr Millis kReadBackRetryMs = 300;

std::string key_of(const core::RecordWrite& write) {
    return core::keys::placement_record(write.job_id, write.record_number);
}

}  // namespace

void RecordWriter::write_due() {
    if (!term_.host.has_leader_lease()) return;
    write_terminal_states();
    write_placement_records();
    remove_orphaned_records();
}

// An announced, smaller limit on values is applied early, by dividing the records more finely, once
// every controller is known to understand that layout. It is applied at once if the state service
// rejects a transaction, which shows that the smaller limit is in force.
core::Cluster::RecordLimits RecordWriter::record_limits() const {
    const auto& store = term_.store;
    const bool may_refine_layout =
        term_.settings.guards.current_version &&
        (term_.host.peers_run_current_version() || store.limits_lowered());
    return {store.max_transaction_operations(), kMaxTransactionBytes,
            may_refine_layout ? store.max_value_bytes_after_reduction() : store.max_value_bytes(),
            may_refine_layout, placement_writes_in_flight_ >= kMaxPlacementWrites};
}

RecordWriter::Transaction RecordWriter::placement_transaction(const RecordWrites& writes) const {
    Transaction transaction;
    transaction.conditions.push_back(term_.leadership_condition());
    for (const auto& write : writes) {
        const auto key = key_of(write);
        transaction.conditions.push_back({key, write.revision});
        // Tasks are started once their record is durable. So a record must not become durable after
        // its job has ended, by a delayed write or because this controller's copy of the open jobs
        // is out of date.
        if (term_.settings.guards.record_needs_open_job) {
            transaction.conditions.push_back(
                {core::keys::open_job(write.job_id), write.open_revision});
        }
        transaction.changes.push_back({key, wire::placement_value(write.record), 0});
    }
    return transaction;
}

void RecordWriter::write_placement_records() {
    if (placement_writes_in_flight_ >= kMaxPlacementWrites + kMaxUrgentPlacementWrites) return;
    const auto now = term_.runtime.now();
    const bool background_writes_allowed =
        term_.store.can_write_immediately(term_.store.max_transaction_operations());
    const auto limits = record_limits();
    auto writes = term_.cluster->with_lock([&](core::Cluster& cluster) {
        return cluster.next_record_writes(limits, background_writes_allowed, now);
    });
    if (writes.empty()) return;
    // Urgent records get a higher priority, so that a replica's start does not wait behind records
    // that are held back by the rate limit.
    const auto priority =
        writes.front().urgent ? store::RequestPriority::Submit : store::RequestPriority::Place;
    const auto transaction = placement_transaction(writes);
    ++placement_writes_in_flight_;
    term_.store.transact(priority, transaction.conditions, transaction.changes,
                         term_.callbacks.bind([this, writes = std::move(writes)](
                                                  const store::TransactionResult& result) {
                             on_placement_records_written(writes, result);
                         }));
}

void RecordWriter::on_placement_records_written(const RecordWrites& writes,
                                                const store::TransactionResult& result) {
    --placement_writes_in_flight_;
    if (term_.step_down_if_replaced(result)) return;
    for (const auto& write : writes) on_placement_record_written(write, result);
    write_due();
    on_placement_outcomes_();
}

void RecordWriter::on_placement_record_written(const core::RecordWrite& write,
                                               const store::TransactionResult& result) {
    // Either the outcome of this write is unknown, or the record was changed by an earlier write
    // whose outcome was unknown.
    if (result.outcome == store::Outcome::Unknown || condition_failed(result, key_of(write))) {
        return read_back(write);
    }
    const auto now = term_.runtime.now();
    const bool job_ended = condition_failed(result, core::keys::open_job(write.job_id));
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        if (result.outcome == store::Outcome::Conflict) {
            return cluster.on_record_refused(write, job_ended, now);
        }
        cluster.on_record_written(write, result.outcome == store::Outcome::Ok, result.revision,
                                  now);
    });
    // After the refresh, the job watcher reports the job's terminal state to the leader.
    if (job_ended) job_watcher_.refresh([](bool) {});
}

void RecordWriter::read_back(const core::RecordWrite& write) {
    term_.store.get(
        store::RequestPriority::Place, key_of(write),
        term_.callbacks.bind([this, write](store::Outcome outcome, const wire::Item& item) {
            on_read_back(write, outcome, item);
        }));
}

void RecordWriter::on_read_back(const core::RecordWrite& write, store::Outcome outcome,
                                const wire::Item& item) {
    std::uint64_t revision = 0;
    std::uint64_t nonce = 0;
    if (outcome != store::Outcome::Missing) {
        const auto record =
            outcome == store::Outcome::Ok ? wire::parse_placement_value(item.value) : std::nullopt;
        if (!record) {
            term_.runtime.after(kReadBackRetryMs,
                                term_.callbacks.bind([this, write] { read_back(write); }));
            return;
        }
        revision = item.revision;
        nonce = record->nonce;
    }
    const auto now = term_.runtime.now();
    term_.cluster->with_lock(
        [&](core::Cluster& cluster) { cluster.on_record_reread(write, revision, nonce, now); });
    write_due();
    on_placement_outcomes_();
}

std::optional<RecordWriter::TerminalWrite> RecordWriter::next_terminal_write() {
    const auto now = term_.runtime.now();
    const auto max_records = term_.store.max_transaction_operations() - kTerminalOperations;
    return term_.cluster->with_lock([&](core::Cluster& cluster) -> std::optional<TerminalWrite> {
        auto write = cluster.next_terminal_state_write(max_records, now);
        if (!write) return std::nullopt;
        TerminalWrite terminal{std::move(*write), {}};
        if (terminal.write.include_description)
            terminal.job = cluster.jobs().at(terminal.write.job).description;
        return terminal;
    });
}

RecordWriter::Transaction RecordWriter::terminal_transaction(const TerminalWrite& terminal) const {
    const auto& write = terminal.write;
    const auto open_key = core::keys::open_job(write.job_id);
    const auto terminal_key = core::keys::terminal_state(write.job_id);
    const auto value = write.include_description
                           ? wire::terminal_state_value_within(
                                 false, terminal.job, term_.store.max_value_bytes_after_reduction())
                           : wire::terminal_state_value(false, nullptr);
    Transaction transaction;
    transaction.conditions = {
        term_.leadership_condition(), {open_key, write.open_revision}, {terminal_key, 0}};
    transaction.changes = {{open_key, "", 0}, {terminal_key, value, 0}};
    for (auto number : write.record_numbers) {
        transaction.changes.push_back({core::keys::placement_record(write.job_id, number), "", 0});
    }
    return transaction;
}

void RecordWriter::write_terminal_states() {
    while (terminal_writes_in_flight_ < kMaxTerminalWrites) {
        const auto terminal = next_terminal_write();
        if (!terminal) return;
        const auto transaction = terminal_transaction(*terminal);
        ++terminal_writes_in_flight_;
        term_.store.transact(
            store::RequestPriority::Place, transaction.conditions, transaction.changes,
            term_.callbacks.bind(
                [this, write = terminal->write](const store::TransactionResult& result) {
                    on_terminal_state_written(write, result);
                }));
    }
}

void RecordWriter::on_terminal_state_written(const core::TerminalStateWrite& write,
                                             const store::TransactionResult& result) {
    --terminal_writes_in_flight_;
    if (term_.step_down_if_replaced(result)) return;
    const bool ok = result.outcome == store::Outcome::Ok;
    const auto now = term_.runtime.now();
    term_.cluster->with_lock(
        [&](core::Cluster& cluster) { cluster.on_terminal_state_written(write, ok, now); });
    if (ok) {
        term_.host.log(events::JobCompleted{write.job_id});
        job_watcher_.on_terminal_state_written(write.job_id, TerminalState::Done, result.revision);
    }
    write_due();
}

void RecordWriter::remove_orphaned_records() {
    if (removing_orphans_) return;
    const auto max_keys = term_.store.max_transaction_operations();
    auto keys = term_.cluster->with_lock(
        [&](core::Cluster& cluster) { return cluster.next_orphans(max_keys); });
    if (keys.empty()) return;
    std::vector<wire::Change> changes;
    changes.reserve(keys.size());
    for (const auto& key : keys) changes.push_back({key, "", 0});
    removing_orphans_ = true;
    term_.store.transact(store::RequestPriority::Read, {term_.leadership_condition()}, changes,
                         term_.callbacks.bind([this, keys](const store::TransactionResult& result) {
                             removing_orphans_ = false;
                             if (term_.step_down_if_replaced(result)) return;
                             term_.cluster->with_lock([&](core::Cluster& cluster) {
                                 cluster.on_orphans_removed(keys,
                                                            result.outcome == store::Outcome::Ok);
                             });
                         }));
}

}  // namespace lichendrift::control
