// The election: campaigns, the leader lease and its renewal.
#include <algorithm>

#include "control/controller.h"
#include "control/limits.h"

namespace lichendrift::control {

namespace {

constexpr Millis kRenew = 800;
// The grant is counted from when its renewal was sent; drift and rounding are taken off.
constexpr Millis kLeaderLeaseMargin = 150;

}  // namespace

void Controller::look() {
    if (ending_) return;
    const auto number = ++election_;
    store_.get(store::RequestPriority::Leadership, "leader",
               [this, number](store::Outcome outcome, const wire::Item& item) {
                   if (number == election_ && !leader_ && !campaigning_) looked(outcome, item);
               });
}

void Controller::looked(store::Outcome outcome, const wire::Item& item) {
    if (outcome == store::Outcome::Missing) return campaign_soon(0, 0);
    auto leader_record =
        outcome == store::Outcome::Ok ? wire::parse_leader_value(item.value) : std::nullopt;
    if (!leader_record) {
        const auto number = election_;
        runtime_.after(300 + static_cast<Millis>(runtime_.random() % 200), [this, number] {
            if (number == election_ && !leader_) look();
        });
        return;
    }
    known_ = {leader_record->member, leader_record->token, item.revision, false, 0, runtime_.now()};
    highest_token_ = std::max(highest_token_, leader_record->token);
    // Our own mark from before a restart: nobody else acts under it, so it need not run out.
    if (leader_record->member == settings_.member) return campaign_soon(0, item.revision);
    log(events::LeaderObserved{leader_record->member, leader_record->token});
    watch_leader(item.revision);
}

void Controller::watch_leader(std::uint64_t since) {
    const auto number = election_;
    store_.watch(
        store::RequestPriority::Leadership, "leader", since, 10000,
        [this, number, since](store::Outcome outcome, const wire::ItemPage& page) {
            if (number != election_ || leader_) return;
            if (outcome != store::Outcome::Ok) return looked(store::Outcome::Unknown, {});
            bool gone = false;
            auto next = std::max(since, page.revision);
            for (const auto& item : page.items) {
                if (item.key != "leader") continue;
                gone = item.value.empty();
                if (auto leader_record = wire::parse_leader_value(item.value);
                    !gone && leader_record) {
                    known_ = {leader_record->member, leader_record->token, item.revision, false, 0,
                              runtime_.now()};
                    highest_token_ = std::max(highest_token_, leader_record->token);
                    log(events::LeaderObserved{leader_record->member, leader_record->token});
                }
            }
            if (gone) return campaign_soon(0, 0);
            watch_leader(next);
        });
}

void Controller::campaign_soon(Millis minimum, std::uint64_t leader_revision) {
    const auto number = ++election_;
    // A random wait keeps the nodes from standing at the same moment again and again.
    const auto wait = minimum + static_cast<Millis>(runtime_.random() % 120);
    runtime_.after(wait, [this, number, leader_revision] {
        if (number == election_ && !leader_ && !campaigning_) campaign(leader_revision);
    });
}

void Controller::campaign(std::uint64_t leader_revision) {
    if (ending_) return;
    campaigning_ = true;
    store_.get(store::RequestPriority::Leadership, "token",
               [this, leader_revision](store::Outcome outcome, const wire::Item& item) {
                   std::uint64_t token = 0;
                   if (outcome == store::Outcome::Ok) {
                       auto leader_record = wire::parse_leader_value(item.value);
                       if (!leader_record) outcome = store::Outcome::Unknown;
                       if (leader_record) token = leader_record->token;
                   }
                   if (outcome != store::Outcome::Ok && outcome != store::Outcome::Missing) {
                       campaigning_ = false;
                       return looked(store::Outcome::Unknown, {});
                   }
                   const auto revision = outcome == store::Outcome::Ok ? item.revision : 0;
                   store_.create_lease(kLeaderLease, [this, leader_revision, token, revision](
                                                         store::Outcome lease_outcome,
                                                         std::uint64_t lease, Millis sent) {
                       if (lease_outcome != store::Outcome::Ok) {
                           campaigning_ = false;
                           return looked(store::Outcome::Unknown, {});
                       }
                       // The next block of tokens; the key allocations the last one of a block.
                       const auto highest = std::max(token, highest_token_);
                       stand(lease, sent, leader_revision,
                             (highest / core::kTokensOfALead + 1) * core::kTokensOfALead, revision);
                   });
               });
}

void Controller::stand(std::uint64_t lease, Millis sent, std::uint64_t leader_revision,
                       std::uint64_t token, std::uint64_t token_revision) {
    const auto last = token + core::kTokensOfALead - 1;
    store_.transact(store::RequestPriority::Leadership,
                    {{"leader", leader_revision}, {"token", token_revision}},
                    {{"leader", wire::leader_value({settings_.member, token}), lease},
                     {"token", wire::leader_value({settings_.member, last}), 0}},
                    [this, lease, sent, token](const store::TransactionResult& result) {
                        if (result.outcome == store::Outcome::Ok && !ending_) {
                            campaigning_ = false;
                            return won(token, result.revision, lease, sent);
                        }
                        // In doubt it is left to run out: taking it up again would need care that a
                        // rare case does not earn. The mark is ours, so look() replaces it at once.
                        store_.release_lease(lease);
                        campaigning_ = false;
                        const auto number = ++election_;
                        runtime_.after(50 + static_cast<Millis>(runtime_.random() % 150),
                                       [this, number] {
                                           if (number == election_ && !leader_) look();
                                       });
                    });
}

void Controller::won(std::uint64_t token, std::uint64_t revision, std::uint64_t lease,
                     Millis sent) {
    ++election_;
    lease_ = lease;
    known_ = {settings_.member, token, revision, false, 0, runtime_.now()};
    highest_token_ = std::max(highest_token_, token);
    store_.set_share(kLeaderShare);
    cloud_.set_share(0.8);
    valid_until_ = sent + kLeaderLease - kLeaderLeaseMargin;
    leader_ = std::make_shared<Leader>(runtime_, planner_, settings_, store_, cloud_, job_watcher_,
                                       static_cast<LeaderHost&>(*this), token, revision);
    log(events::LeaderElected{});
    peers_know_at_ = 0;
    renewals_held_ = false;
    leader_->start(users_.types());
    announce({}, false);
    renew();
    watch_over_cancellations();
}

void Controller::renew() {
    const auto number = election_;
    runtime_.after(kRenew, [this, number] {
        if (number != election_ || !leader_) return;
        renew();
        if (renewing_) return;
        renewing_ = true;
        store_.renew_lease(lease_,
                           [this, number](store::Outcome outcome, std::uint64_t, Millis sent) {
                               renewing_ = false;
                               if (number != election_ || !leader_) return;
                               if (outcome == store::Outcome::Ok) return extend(sent);
                               if (outcome == store::Outcome::Missing)
                                   step_down(events::StepDownReason::LeaderLeaseExpired);
                           });
    });
}

void Controller::extend(Millis sent) {
    const bool was = has_leader_lease();
    valid_until_ = std::max(valid_until_, sent + kLeaderLease - kLeaderLeaseMargin);
    if (!was) log(events::LeaderLeaseRecovered{});
}

bool Controller::has_leader_lease() { return leader_ && runtime_.read_clock() < valid_until_; }

void Controller::step_down(events::StepDownReason reason, std::uint64_t seen_token) {
    if (!leader_) return;
    log(events::LeaderSteppedDown{reason, seen_token});
    leader_->stop();
    // The leader may be the caller: it must live until its own call is over.
    runtime_.after(0, [old = std::move(leader_)] {});
    leader_.reset();
    store_.release_lease(lease_);
    store_.set_share(follower_share(settings_));
    cloud_.set_share(0.1);
    known_ = {};
    look();
}

}  // namespace lichendrift::control
