#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/job_watcher.h"
#include "control/term.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Writes the cluster state's pending changes to the state service: placement records, terminal
/// states of jobs that are done, and removals of placement records that are no longer needed. If
/// the outcome of a write is unknown, the record is read back before it is written again. Used only
/// after failover is complete.
class RecordWriter {
  public:
    /// `on_placement_outcomes` is called after the outcomes of placement writes, failed ones
    /// included, are applied to the cluster state. Commands may then be due.
    RecordWriter(Term& term, JobWatcher& job_watcher, std::function<void()> on_placement_outcomes)
        : term_(term),
          job_watcher_(job_watcher),
          on_placement_outcomes_(std::move(on_placement_outcomes)) {}

    /// Sends the writes that are due, within the bounds on transactions in flight. Does nothing
    /// unless the leader's lease is valid.
    void write_due();

  private:
    using RecordWrites = std::vector<core::RecordWrite>;
    struct Transaction {
        std::vector<wire::Condition> conditions;
        std::vector<wire::Change> changes;
    };
    struct TerminalWrite {
        core::TerminalStateWrite write;
        core::JobDescription job;  // set only if it is stored with the terminal state
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
    std::function<void()> on_placement_outcomes_;
    int placement_writes_in_flight_ = 0;
    int terminal_writes_in_flight_ = 0;
    bool removing_orphans_ = false;
};

}  // namespace lichendrift::control
