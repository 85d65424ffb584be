#pragma once

/// @file
/// One tenure of the cleanup duty: the period in which one controller holds the duty's lease. The
/// controller holds the duty itself only once the duty's record names it.

#include <memory>
#include <optional>

#include "control/cleaner_services.h"
#include "duty/claim.h"
#include "wire/state_messages.h"

namespace lichendrift::control {

/// Duration of the cleanup duty's lease. It can be long because no urgent work waits for a new
/// holder.
inline constexpr Millis kCleanupLeaseMs = 30'000;

/// Notified when a tenure acquires the duty and when it ends.
class CleanupTenureListener {
  public:
    virtual ~CleanupTenureListener() = default;
    /// The duty's record now names this controller as the holder.
    virtual void on_duty_acquired() = 0;
    /// The tenure has ended. `epoch`: the duty's epoch in this tenure; 0: it was not held.
    virtual void on_duty_ended(events::DutyEnd reason, duty::Epoch epoch) = 0;
};

/// One tenure of the cleanup duty. It begins when the lease key has been written under a new lease
/// and ends when the lease or the duty is lost or given up. Renews the lease, claims the duty's
/// record and issues permits (the fencing conditions of writes). Each tenure has its own object;
/// callbacks share ownership of it and do nothing after it has ended. Used on the event loop's
/// thread only.
class CleanupTenure : public std::enable_shared_from_this<CleanupTenure> {
  public:
    /// The lease under which the duty is held.
    struct Lease {
        std::uint64_t id = 0;            ///< assigned by the state service
        Millis requested_at = 0;         ///< steady time at which the request was sent
        std::uint64_t key_revision = 0;  ///< of the key that was written under the lease
    };

    /// `nonce`: a value that no claim of this duty has used before; by it, the claim recognizes its
    /// own write of the duty's record. `listener` must outlive every callback.
    CleanupTenure(const CleanerServices& services, CleanupTenureListener& listener, Lease lease,
                  std::uint64_t nonce);

    /// Starts renewing the lease and claims the duty's record.
    void start();
    /// Ends the tenure and notifies the listener. Does nothing if the tenure has ended.
    void end(events::DutyEnd reason);
    /// Ends the tenure if a write failed because the lease or the duty has passed to another
    /// controller.
    void end_if_replaced(const duty::WriteResult& result);

    /// Whether the tenure has not ended.
    [[nodiscard]] bool active() const { return !ended_; }
    /// Whether the duty's record names this controller.
    [[nodiscard]] bool holds_duty() const { return !ended_ && claim_.holds_duty(); }
    /// A permit for writes of this duty; empty if the tenure has ended, the lease may have expired,
    /// or the claim gives none.
    [[nodiscard]] std::optional<duty::Permit> permit();
    /// The lease's number, assigned by the state service.
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
