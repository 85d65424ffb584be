#pragma once

/// @file
/// One tenure of the cleanup duty.

#include <memory>
#include <optional>

#include "control/cleaner_services.h"
#include "duty/claim.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Lifetime of the lease of the cleanup duty. Nothing urgent waits for it.
inline constexpr Millis kCleanupLeaseMs = 30'000;

/// Learns when a tenure begins to count and when it ends.
class CleanupTenureListener {
  public:
    virtual ~CleanupTenureListener() = default;
    /// The duty's record names this controller.
    virtual void on_duty_acquired() = 0;
    /// The tenure is over. `epoch`: of the duty; 0: it was not acquired.
    virtual void on_duty_ended(events::DutyEnd how, duty::Epoch epoch) = 0;
};

/// One tenure of the cleanup duty, from the lease to its end: renews the lease, claims the duty's
/// record and gives permits. One object for one tenure: callbacks keep it alive and do nothing once
/// it has ended. All on the controller's thread.
class CleanupTenure : public std::enable_shared_from_this<CleanupTenure> {
  public:
    /// The lease under which the duty is held.
    struct Lease {
        std::uint64_t id = 0;            ///< its number at the state service
        Millis requested_at = 0;         ///< steady time
        std::uint64_t key_revision = 0;  ///< of the key that exists under it
    };

    /// `nonce`: never used before for this duty. The listener outlives every callback.
    CleanupTenure(const CleanerServices& services, CleanupTenureListener& listener, Lease lease,
                  std::uint64_t nonce);

    /// Begins to renew the lease and claims the duty's record.
    void start();
    /// Ends the tenure, if it has not ended.
    void end(events::DutyEnd how);
    /// Ends the tenure if a write failed because the lease or the duty has passed on.
    void end_if_replaced(const duty::WriteResult& result);

    /// Whether it has not ended.
    [[nodiscard]] bool active() const { return !ended_; }
    /// Whether the duty's record names this controller.
    [[nodiscard]] bool held() const { return !ended_ && claim_.held(); }
    /// The right to act, while the lease is surely valid.
    [[nodiscard]] std::optional<duty::Permit> permit();
    /// Number of the lease.
    [[nodiscard]] std::uint64_t lease_id() const { return lease_.id; }

  private:
    void schedule_renewal();
    void renew_lease();
    void on_lease_renewed(store::Outcome outcome, Millis sent);
    void advance_claim();
    void advance_claim_after(Millis delay_ms);
    void read_duty();
    void on_duty_read(store::Outcome outcome, const wire::Item& item);
    void write_duty();

    CleanerServices services_;
    CleanupTenureListener& listener_;
    Lease lease_;
    Millis valid_until_;
    duty::Claim claim_;
    bool ended_ = false;
};

}  // namespace lichendrift::control
