#pragma once

/// @file
/// Rounds of the cleanup duty over the stored records.

#include <memory>
#include <string>
#include <vector>

#include "control/cleanup_tenure.h"
#include "duty/cleanup.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Counts of a cleaner since the start of the process.
struct CleanupCounters {
    std::uint64_t removed = 0;     ///< records
    std::uint64_t suspicious = 0;  ///< placement records that belong to no job
};

/// Goes through the placement records page by page, then through the image hints, and removes what
/// is certainly of no use; see docs/duties.md, "Cleaning up". One object for one tenure: callbacks
/// keep it alive and do nothing once the tenure has ended. One page is worked on at a time.
class CleanupRounds : public std::enable_shared_from_this<CleanupRounds> {
  public:
    /// The counters outlive every callback.
    CleanupRounds(const CleanerServices& services, std::shared_ptr<CleanupTenure> tenure,
                  CleanupCounters& counters);

    /// Begins with the first round.
    void start() { schedule_next_page(); }

  private:
    // A job whose terminal state decides about records of the page.
    struct JobOfPage {
        std::string id;
        duty::KnownJobState state = duty::KnownJobState::Open;
        duty::RecordVersion terminal_state;  // the proof, if there is one
    };
    struct PlacementOfPage {
        duty::PlacementEntry entry;
        std::size_t job = 0;  // index of its job
    };
    struct PlacementPage {
        std::vector<PlacementOfPage> placements;
        std::vector<JobOfPage> jobs;
    };

    [[nodiscard]] bool active() const { return tenure_->active(); }
    void schedule_next_page();
    void begin_next_page();
    void end_round();

    void read_placements();
    void update_job_watcher(const wire::ItemPage& read);
    void select_placements(const wire::ItemPage& read);
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
    std::string last_placement_key_;  // of the pages so far; empty: the first page is next
    bool hints_due_ = false;
    Millis round_begins_at_;
};

}  // namespace lichendrift::control
