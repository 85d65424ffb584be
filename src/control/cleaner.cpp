// The election for the cleanup duty.
#include "control/cleaner.h"

#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

constexpr Millis kPollIntervalMs = 8000;
constexpr Millis kPollJitterMs = 4000;
constexpr Millis kLeaderCampaignsAfterMs = 60'000;  // if no follower has taken the duty

}  // namespace

void Cleaner::start() {
    if (services_.settings.features.cleanup == CleanupMode::Off) return;
    poll_for_vacancy();
}

void Cleaner::poll_for_vacancy() {
    if (stopped_) return;
    auto& runtime = services_.runtime;
    runtime.after(kPollIntervalMs + static_cast<Millis>(runtime.random() % kPollJitterMs),
                  [this] { poll_for_vacancy(); });
    if (tenure_) {
        if (services_.host.leading() && !should_campaign()) hand_over();
        return;
    }
    // The poll is skipped while it could delay other requests to the state service.
    if (!services_.job_watcher.loaded() || !services_.store.can_write_immediately(1)) return;
    services_.store.get(
        store::RequestPriority::Read, std::string(duty::kCleanupLeaseKey),
        [this](store::Outcome outcome, const wire::Item&) { on_lease_key_read(outcome); });
}

void Cleaner::on_lease_key_read(store::Outcome outcome) {
    if (outcome == store::Outcome::Ok) vacant_since_.reset();
    if (outcome != store::Outcome::Missing || tenure_) return;
    if (!vacant_since_) vacant_since_ = services_.runtime.now();
    if (should_campaign()) create_lease();
}

// The leader is busy with other work, so it campaigns only if it has no peers or none of them has
// taken the duty for a while. A leader that already has a tenure ends it if this returns false.
bool Cleaner::should_campaign() const {
    if (!services_.host.leading() || services_.settings.peers.empty()) return true;
    return vacant_since_ && services_.runtime.now() - *vacant_since_ > kLeaderCampaignsAfterMs;
}

void Cleaner::create_lease() {
    services_.store.create_lease(kCleanupLeaseMs,
                                 [this](store::Outcome outcome, std::uint64_t lease, Millis sent) {
                                     const bool wanted = !tenure_ && !stopped_;
                                     if (outcome == store::Outcome::Ok && wanted)
                                         write_lease_key(lease, sent);
                                 });
}

void Cleaner::write_lease_key(std::uint64_t lease, Millis requested_at) {
    const std::string key(duty::kCleanupLeaseKey);
    // Written at the lowest priority: cleanup may wait. No controller parses the value; what counts
    // is whether the key exists and its revision.
    services_.store.transact(
        store::RequestPriority::Read, {{key, 0}},
        {{key, wire::leader_value({services_.settings.member, 0}), lease}},
        [this, lease, requested_at](const store::TransactionResult& result) {
            if (result.outcome == store::Outcome::Ok && !tenure_ && !stopped_) {
                return on_lease_acquired({lease, requested_at, result.revision});
            }
            services_.store.release_lease(lease);
        });
}

void Cleaner::on_lease_acquired(const CleanupTenure::Lease& lease) {
    const auto nonce = services_.runtime.random() >> 1U;
    const auto tenure = std::make_shared<CleanupTenure>(
        services_, static_cast<CleanupTenureListener&>(*this), lease, nonce);
    tenure_ = tenure;
    tenure->start();
}

void Cleaner::on_duty_acquired() {
    std::make_shared<CleanupRounds>(services_, tenure_, counters_)->start();
}

void Cleaner::on_duty_ended(events::DutyEnd reason, duty::Epoch epoch) {
    services_.host.log(
        events::DutyEnded{duty::name_of(duty::Duty::Cleanup), reason, epoch, counters_.removed});
    tenure_.reset();
    vacant_since_.reset();
}

void Cleaner::hand_over() {
    if (!tenure_) return;
    const auto tenure = tenure_;
    tenure->end(events::DutyEnd::HandedOver);
    services_.store.release_lease(tenure->lease_id());
}

void Cleaner::stop() {
    stopped_ = true;
    hand_over();
}

}  // namespace lichendrift::control
