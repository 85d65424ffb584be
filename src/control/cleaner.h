#pragma once

/// @file
/// Which controller cleans up.

#include <memory>
#include <optional>

#include "control/cleanup_rounds.h"
#include "control/cleanup_tenure.h"

namespace lichendrift::control {

/// Takes part in the election for the cleanup duty, which one controller holds, preferably not the
/// leader. Lives as long as its controller; what belongs to one tenure is in CleanupTenure and
/// CleanupRounds.
class Cleaner : private CleanupTenureListener {
  public:
    /// Does nothing before start().
    explicit Cleaner(const CleanerServices& services) : services_(services) {}

    /// Begins to poll for a vacancy, if the settings have cleaning up switched on.
    void start();
    /// Gives the duty up at once, for another controller to take.
    void hand_over();
    /// The process ends: hands over, and does not campaign again.
    void stop();
    /// Whether this controller holds the duty.
    [[nodiscard]] bool holds_duty() const { return tenure_ && tenure_->held(); }
    /// Placement records seen that belong to no job: there should be none.
    [[nodiscard]] std::uint64_t suspicious_records() const { return counters_.suspicious; }

  private:
    void poll_for_vacancy();
    void on_lease_key_read(store::Outcome outcome);
    [[nodiscard]] bool should_campaign() const;
    void create_lease();
    void write_lease_key(std::uint64_t lease, Millis requested_at);
    void on_lease_acquired(const CleanupTenure::Lease& lease);

    // CleanupTenureListener.
    void on_duty_acquired() override;
    void on_duty_ended(events::DutyEnd how, duty::Epoch epoch) override;

    CleanerServices services_;
    std::shared_ptr<CleanupTenure> tenure_;  // null: another controller's turn
    CleanupCounters counters_;
    std::optional<Millis> vacant_since_;  // nothing: another controller was seen to hold the lease
    bool stopped_ = false;
};

}  // namespace lichendrift::control
