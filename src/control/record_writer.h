#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/job_watcher.h"
#include "control/term.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Writes what the cluster has for the state service: placement records, terminal states of jobs
/// that are done, and the removal of placement records that nobody needs. A write whose outcome is
/// unknown is read back before the record is written again. Used once failover is complete.
class RecordWriter {
  public:
    /// `on_placements_durable`: outcomes of placement records have reached the cluster, which may
    /// have commands to send now.
    RecordWriter(Term& term, JobWatcher& job_watcher, std::function<void()> on_placements_durable)
        : term_(term),
          job_watcher_(job_watcher),
          on_placements_durable_(std::move(on_placements_durable)) {}

    /// Writes what is due, as far as the bounds on transactions in flight allow; nothing without
    /// the leader's lease.
    void write_due();

  private:
    using RecordWrites = std::vector<core::RecordWrite>;
    struct Transaction {
        std::vector<wire::Condition> conditions;
        std::vector<wire::Change> changes;
    };
    struct TerminalWrite {
        core::TerminalStateWrite write;
        core::JobDescription job;  // if it is stored with the terminal state
    };
    [[nodiscard]] core::Cluster::RecordLimits record_limits() const;
    [[nodiscard]] Transaction placement_transaction(const RecordWrites& writes) const;
    [[nodiscard]] Transaction terminal_transaction(const TerminalWrite& terminal) const;
    void write_placement_records();
    void on_placement_records_written(const RecordWrites& writes,
                                      const store::TransactionResult& result);
    void on_placement_record_written(const core::RecordWrite& write,
                                     const store::TransactionResult& result);
    void read_back(const core::RecordWrite& write);
    void on_read_back(const core::RecordWrite& write, store::Outcome outcome,
                      const wire::Item& item);
    [[nodiscard]] std::optional<TerminalWrite> next_terminal_write();
    void write_terminal_states();
    void on_terminal_state_written(const core::TerminalStateWrite& write,
                                   const store::TransactionResult& result);
    void remove_orphaned_records();

    Term& term_;
    JobWatcher& job_watcher_;
    std::function<void()> on_placements_durable_;
    int placement_writes_in_flight_ = 0;
    int terminal_writes_in_flight_ = 0;
    bool removing_orphans_ = false;
};

}  // namespace lichendrift::control
