#pragma once

/// @file
/// Periodic scans of the stored records for records that cleanup can remove.

#include <memory>
#include <string>
#include <vector>

#include "control/cleanup_tenure.h"
#include "duty/cleanup.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Counts of a cleaner since the process started.
struct CleanupCounters {
    std::uint64_t removed = 0;     ///< records that were removed
    std::uint64_t suspicious = 0;  ///< placement records that belong to no job
};

/// Scans the placement records page by page, then the image hints, and removes records that are
/// certainly no longer needed (docs/duties.md, "Cleaning up"): placement records of jobs whose
/// terminal state shows that no task was placed, placement records without allocations of other
/// ended jobs, and hints about machines that no longer exist. One such scan is a round; one page is
/// processed at a time. Each tenure has its own object; callbacks share ownership of it and do
/// nothing after the tenure has ended.
class CleanupRounds : public std::enable_shared_from_this<CleanupRounds> {
  public:
    /// `counters` must outlive every callback.
    CleanupRounds(const CleanerServices& services, std::shared_ptr<CleanupTenure> tenure,
                  CleanupCounters& counters);

    /// Schedules the first page of the first round.
    void start() { schedule_next_page(); }

  private:
    // A job with records on the page; its state decides whether they are removed.
    struct PageJob {
        std::string id;
        duty::KnownJobState state = duty::KnownJobState::Open;
        duty::RecordVersion terminal_state;  // condition of the removal; set if it exists
    };
    struct PagePlacement {
        duty::PlacementEntry entry;
        std::size_t job = 0;  // index into PlacementPage::jobs
    };
    struct PlacementPage {
        std::vector<PagePlacement> placements;
        std::vector<PageJob> jobs;
    };

    [[nodiscard]] bool active() const { return tenure_->active(); }
    void schedule_next_page();
    void begin_next_page();
    void end_round();

    void read_placements();
    void update_job_watcher(const wire::ItemPage& records);
    void select_placements(const wire::ItemPage& records);
    [[nodiscard]] bool select_placement(const wire::Item& item);
    void read_terminal_state(std::size_t job_index);
    void on_terminal_state_read(std::size_t job_index, store::Outcome outcome,
                                const wire::Item& item);
    void clean_placements();

    void read_hints();
    void list_machines(std::vector<duty::HintEntry> hints);
    void clean_hints(const std::vector<duty::HintEntry>& hints,
                     const std::set<std::string>& listed);

    void remove(const duty::RemovalPlan& plan);

    CleanerServices services_;
    std::shared_ptr<CleanupTenure> tenure_;
    CleanupCounters& counters_;
    PlacementPage page_;
    std::string last_placement_key_;  // the scan continues after it; empty: at the start
    bool hints_due_ = false;
    Millis next_round_at_;
};

}  // namespace lichendrift::control
