#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/job_watcher.h"
#include "control/term.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Reads what the leaders of earlier terms left in the state service: the open jobs, the placement
/// records, and the terminal states of jobs that have records but are no longer open. Until all of
/// this is read, it is unknown which tasks may be on a machine. Failed reads are retried until the
/// term ends.
class FailoverReader {
  public:
    /// Progress of the failover. Each is called once, in this order.
    struct Callbacks {
        std::function<void()> on_open_jobs_read;  ///< all open jobs are in the cluster state
        std::function<void()> on_state_read;      ///< load_placement_records() may be called
    };

    /// `term` and `job_watcher` must outlive the reader.
    FailoverReader(Term& term, JobWatcher& job_watcher, Callbacks callbacks)
        : term_(term), job_watcher_(job_watcher), callbacks_(std::move(callbacks)) {}

    /// Starts reading; the callbacks report the progress.
    void start() { read_open_jobs(); }

    /// Whether this controller knows every job that was open when the term began.
    [[nodiscard]] bool open_jobs_read() const { return open_jobs_read_; }

    /// Loads the placement records that were read into the cluster state and returns their number.
    /// May be called once, after `on_state_read`.
    std::size_t load_placement_records();

  private:
    struct StoredRecord {
        std::string job_id;
        std::uint32_t record_number = 0;
        core::PlacementRecord record;
        std::uint64_t revision = 0;
    };
    [[nodiscard]] static std::optional<StoredRecord> parse_stored_record(const wire::Item& item);
    template <typename F>
    void retry_later(F read);
    void read_open_jobs();
    void on_open_jobs(bool ok);
    void read_placement_records(const std::string& since);
    void on_placement_records(const std::string& since, store::Outcome outcome,
                              const wire::ItemPage& page);
    void find_closed_jobs();
    void read_terminal_state(std::size_t index);
    void on_terminal_state(std::size_t index, store::Outcome outcome, const wire::Item& item);

    Term& term_;
    JobWatcher& job_watcher_;
    Callbacks callbacks_;
    bool open_jobs_read_ = false;
    std::vector<StoredRecord> records_;
    std::vector<std::string> closed_jobs_;  // have placement records but are not open
};

}  // namespace lichendrift::control
