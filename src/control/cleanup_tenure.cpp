// Renews the lease of the cleanup duty and claims its record.
#include "control/cleanup_tenure.h"

#include "control/fenced_store.h"

namespace lichendrift::control {

namespace {

constexpr Millis kLeaseMarginMs = 1000;
constexpr Millis kRenewIntervalMs = 10'000;
constexpr Millis kClaimRetryMs = 500;
constexpr Millis kPeersFenceRetryMs = 8000;  // until all controllers are known to fence duties

duty::Claim::Setup claim_setup(const Settings& settings, std::uint64_t key_revision,
                               std::uint64_t nonce) {
    duty::Claim::Setup setup;
    setup.duty = duty::Duty::Cleanup;
    setup.holder = settings.member;
    setup.nonce = nonce;
    setup.lease = {std::string(duty::kCleanupLeaseKey), key_revision};
    setup.fencing = true;
    return setup;
}

// The time until which a lease is certainly valid if the request that created or renewed it was
// sent at `sent`.
Millis guaranteed_valid_until(Millis sent) { return sent + kCleanupLeaseMs - kLeaseMarginMs; }

}  // namespace

CleanupTenure::CleanupTenure(const CleanerServices& services, CleanupTenureListener& listener,
                             Lease lease, std::uint64_t nonce)
    : services_(services),
      listener_(listener),
      lease_(lease),
      valid_until_(guaranteed_valid_until(lease.requested_at)),
      claim_(claim_setup(services.settings, lease.key_revision, nonce)) {}

void CleanupTenure::start() {
    schedule_renewal();
    advance_claim();
}

void CleanupTenure::end(events::DutyEnd reason) {
    if (ended_) return;
    ended_ = true;
    listener_.on_duty_ended(reason, claim_.epoch());
}

void CleanupTenure::end_if_replaced(const duty::WriteResult& result) {
    const bool replaced = result.outcome == duty::WriteOutcome::Conflict &&
                          (result.condition_failed(std::string(duty::kCleanupLeaseKey)) ||
                           result.condition_failed(claim_.key()));
    if (replaced) end(events::DutyEnd::Lost);
}

std::optional<duty::Permit> CleanupTenure::permit() {
    if (ended_ || services_.runtime.read_clock() >= valid_until_) return std::nullopt;
    return claim_.permit(valid_until_);
}

// ---- lease ----

void CleanupTenure::schedule_renewal() {
    services_.runtime.after(kRenewIntervalMs, [self = shared_from_this()] {
        if (!self->ended_) self->renew_lease();
    });
}

void CleanupTenure::renew_lease() {
    schedule_renewal();
    services_.store.renew_lease(
        lease_.id, [self = shared_from_this()](store::Outcome outcome, std::uint64_t, Millis sent) {
            if (!self->ended_) self->on_lease_renewed(outcome, sent);
        });
}

void CleanupTenure::on_lease_renewed(store::Outcome outcome, Millis sent) {
    if (outcome == store::Outcome::Ok) {
        valid_until_ = std::max(valid_until_, guaranteed_valid_until(sent));
    } else if (outcome == store::Outcome::Missing) {
        end(events::DutyEnd::Lost);
    }
}

// ---- claim of the duty's record ----

void CleanupTenure::advance_claim() {
    if (claim_.state() == duty::Claim::State::Lost) return end(events::DutyEnd::Lost);
    if (claim_.holds_duty()) {
        services_.host.log(
            events::DutyAcquired{duty::name_of(duty::Duty::Cleanup), claim_.epoch()});
        return listener_.on_duty_acquired();
    }
    if (claim_.begin_read()) return read_duty();
    write_duty();
}

void CleanupTenure::advance_claim_after(Millis delay_ms) {
    services_.runtime.after(delay_ms, [self = shared_from_this()] {
        if (!self->ended_) self->advance_claim();
    });
}

void CleanupTenure::read_duty() {
    services_.store.get(
        store::RequestPriority::Read, claim_.key(),
        [self = shared_from_this()](store::Outcome outcome, const wire::Item& item) {
            if (!self->ended_) self->on_duty_read(outcome, item);
        });
}

void CleanupTenure::on_duty_read(store::Outcome outcome, const wire::Item& item) {
    const auto read = duty_read_result(outcome, item);
    if (read.outcome == duty::ReadOutcome::Damaged) {
        services_.host.log(events::RecordUnreadable{item.key});
        return end(events::DutyEnd::GivenUp);
    }
    claim_.on_read(read);
    if (read.outcome == duty::ReadOutcome::Failed) return advance_claim_after(kClaimRetryMs);
    advance_claim();
}

void CleanupTenure::write_duty() {
    const auto write = claim_.begin_write(services_.host.peers_fence_duties());
    if (!write) return advance_claim_after(kPeersFenceRetryMs);
    send_write(services_.store, store::RequestPriority::Read, *write,
               [self = shared_from_this()](const duty::WriteResult& result) {
                   if (self->ended_) return;
                   self->claim_.on_written(result);
                   const bool written = result.outcome == duty::WriteOutcome::Written;
                   self->advance_claim_after(written ? 0 : kClaimRetryMs);
               });
}

}  // namespace lichendrift::control
