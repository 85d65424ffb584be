// Leader election: the leader record, campaigns, the leader lease and its renewal.
#include "control/election.h"

#include <algorithm>
#include <utility>

#include "control/limits.h"
#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

const std::string kLeaderKey(core::keys::kLeader);
const std::string kTokenKey("token");

constexpr Millis kRenewalIntervalMs = 800;
// The lease is counted from the time at which its request was sent, less this margin for clock
// drift and rounding.
constexpr Millis kLeaderLeaseMarginMs = 150;
constexpr Millis kWatchBlockMs = 10'000;

// Random delays keep the controllers from repeatedly acting at the same moment.
constexpr Millis kCampaignJitterMs = 120;
constexpr Millis kReadRetryMs = 300;
constexpr Millis kReadRetryJitterMs = 200;
constexpr Millis kLostCampaignDelayMs = 50;
constexpr Millis kLostCampaignJitterMs = 150;

Millis random_jitter(net::Runtime& runtime, Millis max_jitter_ms) {
    return static_cast<Millis>(runtime.random() % static_cast<std::uint64_t>(max_jitter_ms));
}

}  // namespace

Millis ObservedLeader::last_seen_at() const {
    return std::max(last_announcement_at, record_seen_at);
}

LeaderElection::LeaderElection(net::Runtime& runtime, const Settings& settings,
                               store::StoreClient& store, ElectionListener& listener, EventLog log)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      listener_(listener),
      log_(std::move(log)) {}

void LeaderElection::stop() {
    stopped_ = true;
    ++generation_;
}

// ---- tracking the leader ----

void LeaderElection::follow() {
    if (stopped_) return;
    const auto generation = ++generation_;
    store_.get(store::RequestPriority::Leadership, kLeaderKey,
               [this, generation](store::Outcome outcome, const wire::Item& item) {
                   if (generation != generation_ || leading_ || campaigning_) return;
                   on_leader_record(outcome, item);
               });
}

void LeaderElection::schedule_follow(Millis min_delay_ms, Millis max_jitter_ms) {
    const auto delay = min_delay_ms + random_jitter(runtime_, max_jitter_ms);
    runtime_.after(delay, [this, generation = generation_] {
        if (generation == generation_ && !leading_) follow();
    });
}

void LeaderElection::on_leader_record(store::Outcome outcome, const wire::Item& item) {
    if (outcome == store::Outcome::Missing) return schedule_campaign(0);
    const auto record =
        outcome == store::Outcome::Ok ? wire::parse_leader_value(item.value) : std::nullopt;
    if (!record) return schedule_follow(kReadRetryMs, kReadRetryJitterMs);
    observe_leader(*record);
    // The record is this controller's own, from before a restart. No other controller acts under
    // it, so it can be replaced before it expires.
    if (record->member == settings_.member) return schedule_campaign(item.revision);
    log_(events::LeaderObserved{record->member, record->token});
    watch_leader_record(item.revision);
}

void LeaderElection::watch_leader_record(std::uint64_t since) {
    store_.watch(store::RequestPriority::Leadership, kLeaderKey, since, kWatchBlockMs,
                 [this, generation = generation_, since](store::Outcome outcome,
                                                         const wire::ItemPage& page) {
                     if (generation != generation_ || leading_) return;
                     if (outcome != store::Outcome::Ok) {
                         return schedule_follow(kReadRetryMs, kReadRetryJitterMs);
                     }
                     on_leader_changes(since, page);
                 });
}

void LeaderElection::on_leader_changes(std::uint64_t since, const wire::ItemPage& page) {
    bool removed = false;
    for (const auto& item : page.items) {
        if (item.key != kLeaderKey) continue;
        removed = item.value.empty();
        if (removed) continue;
        if (const auto record = wire::parse_leader_value(item.value)) {
            observe_leader(*record);
            log_(events::LeaderObserved{record->member, record->token});
        }
    }
    if (removed) return schedule_campaign(0);
    watch_leader_record(std::max(since, page.revision));
}

void LeaderElection::observe_leader(const wire::LeaderRecord& record) {
    observed_ = {record.member, record.token, false, 0, runtime_.now()};
    observe_token(record.token);
}

void LeaderElection::observe_token(std::uint64_t token) {
    highest_token_ = std::max(highest_token_, token);
}

bool LeaderElection::accept_announcement(const wire::Announcement& announcement) {
    if (leading_ || announcement.token < observed_.token) return false;
    observed_.member = announcement.member;
    observed_.token = announcement.token;
    observed_.store_responsive = announcement.store_responsive;
    observed_.last_announcement_at = runtime_.now();
    return true;
}

Millis LeaderElection::leader_silent_for() const {
    return runtime_.now() - observed_.last_seen_at();
}

bool LeaderElection::leader_is_silent() const {
    return leader_silent_for() > kLeaderSilenceTimeoutMs;
}

bool LeaderElection::leader_reaches_store() const {
    return !leading_ && observed_.store_responsive &&
           runtime_.now() - observed_.last_announcement_at < kLeaderSilenceTimeoutMs;
}

bool LeaderElection::announcements_ceased() const {
    return observed_.last_announcement_at > 0 &&
           runtime_.now() - observed_.last_announcement_at > kLeaderSilenceTimeoutMs;
}

// ---- campaign: read the last token, create a lease, write the leader record ----

void LeaderElection::schedule_campaign(std::uint64_t leader_revision) {
    const auto generation = ++generation_;
    runtime_.after(random_jitter(runtime_, kCampaignJitterMs), [this, generation, leader_revision] {
        if (generation == generation_ && !leading_ && !campaigning_) campaign(leader_revision);
    });
}

void LeaderElection::campaign(std::uint64_t leader_revision) {
    if (stopped_) return;
    campaigning_ = true;
    Campaign campaign;
    campaign.leader_revision = leader_revision;
    store_.get(store::RequestPriority::Leadership, kTokenKey,
               [this, campaign](store::Outcome outcome, const wire::Item& item) {
                   on_token_read(campaign, outcome, item);
               });
}

void LeaderElection::on_token_read(Campaign campaign, store::Outcome outcome,
                                   const wire::Item& item) {
    if (outcome == store::Outcome::Ok) {
        const auto last = wire::parse_leader_value(item.value);
        if (!last) return abandon_campaign();
        campaign.stored_token = last->token;
        campaign.token_revision = item.revision;
    } else if (outcome != store::Outcome::Missing) {
        return abandon_campaign();
    }
    request_leader_lease(campaign);
}

void LeaderElection::request_leader_lease(const Campaign& campaign) {
    store_.create_lease(kLeaderLeaseMs, [this, campaign](store::Outcome outcome,
                                                         std::uint64_t lease, Millis sent_at) {
        if (outcome != store::Outcome::Ok) return abandon_campaign();
        on_leader_lease_created(campaign, lease, sent_at);
    });
}

void LeaderElection::on_leader_lease_created(Campaign campaign, std::uint64_t lease,
                                             Millis sent_at) {
    campaign.lease = lease;
    campaign.lease_sent_at = sent_at;
    // The term's block of tokens begins after the highest token seen so far.
    const auto highest = std::max(campaign.stored_token, highest_token_);
    campaign.token = (highest / core::kFencingTokensPerTerm + 1) * core::kFencingTokensPerTerm;
    write_leader_record(campaign);
}

void LeaderElection::write_leader_record(const Campaign& campaign) {
    // The key `token` stores the last token of the term's block.
    const auto last_token = campaign.token + core::kFencingTokensPerTerm - 1;
    store_.transact(
        store::RequestPriority::Leadership,
        {{kLeaderKey, campaign.leader_revision}, {kTokenKey, campaign.token_revision}},
        {{kLeaderKey, wire::leader_value({settings_.member, campaign.token}), campaign.lease},
         {kTokenKey, wire::leader_value({settings_.member, last_token}), 0}},
        [this, campaign](const store::TransactionResult& result) {
            on_leader_record_written(campaign, result);
        });
}

void LeaderElection::on_leader_record_written(const Campaign& campaign,
                                              const store::TransactionResult& result) {
    campaigning_ = false;
    if (result.outcome == store::Outcome::Ok && !stopped_) {
        return become_leader(campaign, result.revision);
    }
    // If the outcome is unknown, the record may have been written. Leading under it would need care
    // that so rare a case does not justify. The record is this controller's own, so follow()
    // replaces it without waiting for its expiry.
    store_.release_lease(campaign.lease);
    ++generation_;
    schedule_follow(kLostCampaignDelayMs, kLostCampaignJitterMs);
}

void LeaderElection::abandon_campaign() {
    campaigning_ = false;
    schedule_follow(kReadRetryMs, kReadRetryJitterMs);
}

// ---- leading ----

void LeaderElection::become_leader(const Campaign& campaign, std::uint64_t leader_revision) {
    ++generation_;
    leading_ = true;
    lease_ = campaign.lease;
    lease_valid_until_ = campaign.lease_sent_at + kLeaderLeaseMs - kLeaderLeaseMarginMs;
    observe_leader({settings_.member, campaign.token});
    listener_.on_elected({campaign.token, leader_revision});
}

void LeaderElection::resign() {
    leading_ = false;
    store_.release_lease(lease_);
    observed_ = {};
}

bool LeaderElection::has_leader_lease() const {
    return leading_ && runtime_.read_clock() < lease_valid_until_;
}

void LeaderElection::schedule_leader_lease_renewals() {
    runtime_.after(kRenewalIntervalMs, [this, generation = generation_] {
        if (generation != generation_ || !leading_) return;
        schedule_leader_lease_renewals();
        renew_leader_lease();
    });
}

void LeaderElection::renew_leader_lease() {
    if (renewal_in_flight_) return;
    renewal_in_flight_ = true;
    store_.renew_lease(lease_, [this, generation = generation_](store::Outcome outcome,
                                                                std::uint64_t, Millis sent) {
        renewal_in_flight_ = false;
        if (generation != generation_ || !leading_) return;
        if (outcome == store::Outcome::Ok) return on_leader_lease_renewed(sent);
        if (outcome == store::Outcome::Missing) listener_.on_leader_lease_expired();
    });
}

void LeaderElection::on_leader_lease_renewed(Millis sent_at) {
    const bool was_valid = has_leader_lease();
    lease_valid_until_ =
        std::max(lease_valid_until_, sent_at + kLeaderLeaseMs - kLeaderLeaseMarginMs);
    if (!was_valid) log_(events::LeaderLeaseRecovered{});
}

}  // namespace lichendrift::control
