#pragma once

/// @file
/// Election of the controller that holds the cleanup duty.

#include <memory>
#include <optional>

#include "control/cleanup_rounds.h"
#include "control/cleanup_tenure.h"

namespace lichendrift::control {

/// Takes part in the election for the cleanup duty: removing stored records that are no longer
/// needed. One controller holds the duty, preferably not the leader. It first acquires the duty's
/// lease, then the duty: it holds the duty once the duty's record names it as the holder. A Cleaner
/// lives as long as its controller; the state of one tenure (one period of holding the lease) is in
/// CleanupTenure and CleanupRounds. Used on the event loop's thread only.
class Cleaner : private CleanupTenureListener {
  public:
    /// Does nothing before start().
    explicit Cleaner(const CleanerServices& services) : services_(services) {}

    /// Starts polling whether the duty is vacant, unless cleanup is switched off in the settings.
    void start();
    /// Gives up the lease, and with it the duty, at once, so that another controller can take it
    /// over.
    void hand_over();
    /// Called when the process ends: hands over the duty and does not campaign again.
    void stop();
    /// Whether this controller holds the duty.
    [[nodiscard]] bool holds_duty() const { return tenure_ && tenure_->holds_duty(); }
    /// Number of placement records found that belong to no job. Any such record indicates a fault.
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
    void on_duty_ended(events::DutyEnd reason, duty::Epoch epoch) override;

    CleanerServices services_;
    std::shared_ptr<CleanupTenure> tenure_;  // null: this controller does not hold the duty's lease
    CleanupCounters counters_;
    // When the lease key was first found missing; empty: not known to be vacant. Reset when the
    // key is found present and when a tenure of this controller ends, not when a tenure begins.
    std::optional<Millis> vacant_since_;
    bool stopped_ = false;
};

}  // namespace lichendrift::control
