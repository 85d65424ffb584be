#pragma once

#include <cstdint>
#include <string>

#include "control/event_log.h"
#include "control/settings.h"
#include "net/runtime.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

using core::Millis;

/// What this controller knows of the leader, from the leader record in the state service and from
/// the leader's announcements.
struct ObservedLeader {
    std::string member;       ///< name of the leader; empty: no leader is known
    std::uint64_t token = 0;  ///< first fencing token of its term
    bool store_responsive =
        false;  ///< whether its last announcement says that the state service answers it
    Millis last_announcement_at = 0;  ///< steady time; 0: no announcement yet
    Millis record_seen_at = 0;        ///< steady time at which its record was last read

    /// When the leader last announced itself or its record was last read, steady time.
    [[nodiscard]] Millis last_seen_at() const;
};

/// The result of a won election, for the term that begins.
struct ElectedTerm {
    std::uint64_t token = 0;            ///< first fencing token of the term
    std::uint64_t leader_revision = 0;  ///< revision of the leader record, for conditional writes
};

/// Receives the outcomes of the election.
class ElectionListener {
  public:
    virtual ~ElectionListener() = default;
    /// This controller leads from now on; LeaderElection::leading() already returns true. The
    /// listener must call LeaderElection::schedule_leader_lease_renewals().
    virtual void on_elected(const ElectedTerm& term) = 0;
    /// The leader lease has expired. The listener must call LeaderElection::resign().
    virtual void on_leader_lease_expired() = 0;
};

/// Takes part in the election of the leader: reads and watches the leader record, campaigns when
/// there is none, renews the leader lease while this controller leads, and tracks the leader while
/// another one does.
///
/// The leader record (key `leader`) is bound to a lease in the state service, which removes the
/// record when the lease ends; the other controllers then campaign. Key `token` holds the last
/// fencing token of the latest term. Used on the event loop's thread only.
class LeaderElection {
  public:
    /// All reference arguments must outlive this object.
    LeaderElection(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                   ElectionListener& listener, EventLog log);

    /// Reads the leader record and then watches it, or campaigns if there is none.
    void follow();
    /// Takes no further part in elections. A current term must be ended with resign().
    void stop();
    /// Renews the leader lease at regular intervals until the term ends.
    void schedule_leader_lease_renewals();
    /// Ends this controller's term: releases the leader lease and clears observed().
    void resign();

    /// Whether this controller leads. Stays true until resign(), even if the lease has expired.
    [[nodiscard]] bool leading() const { return leading_; }
    /// Whether the leader lease is certainly still valid, by a fresh reading of the clock.
    [[nodiscard]] bool has_leader_lease() const;
    /// Steady time until which the leader lease is certainly valid. Only meaningful while leading.
    [[nodiscard]] Millis leader_lease_valid_until() const { return lease_valid_until_; }

    /// The current leader as far as known; this controller itself while it leads.
    [[nodiscard]] const ObservedLeader& observed() const { return observed_; }
    /// Milliseconds since the leader last announced itself or its record was last read.
    [[nodiscard]] Millis leader_silent_for() const;
    /// Whether the leader has been silent for longer than kLeaderSilenceTimeoutMs, so that a
    /// request to it will probably not be answered.
    [[nodiscard]] bool leader_is_silent() const;
    /// Whether another controller leads and has announced recently that the state service answers
    /// it.
    [[nodiscard]] bool leader_reaches_store() const;
    /// Whether the leader has announced itself, but not within the last kLeaderSilenceTimeoutMs.
    [[nodiscard]] bool announcements_ceased() const;

    /// Records a fencing token that was seen; the tokens of this controller's later terms are
    /// higher.
    void observe_token(std::uint64_t token);
    /// Records a leader's announcement. Returns false, and changes nothing, if this controller
    /// leads or knows of a later leader.
    bool accept_announcement(const wire::Announcement& announcement);

  private:
    /// Progress of a campaign.
    struct Campaign {
        std::uint64_t leader_revision = 0;  // of the leader record to replace; 0: there is none
        std::uint64_t stored_token = 0;     // last token of the previous term; 0: none
        std::uint64_t token_revision = 0;   // of the key `token`; 0: there is none
        std::uint64_t lease = 0;
        Millis lease_sent_at = 0;
        std::uint64_t token = 0;  // first token of the new term
    };

    void schedule_follow(Millis min_delay_ms, Millis max_jitter_ms);
    void on_leader_record(store::Outcome outcome, const wire::Item& item);
    void watch_leader_record(std::uint64_t since);
    void on_leader_changes(std::uint64_t since, const wire::ItemPage& page);
    void observe_leader(const wire::LeaderRecord& record);

    void schedule_campaign(std::uint64_t leader_revision);
    void campaign(std::uint64_t leader_revision);
    void on_token_read(Campaign campaign, store::Outcome outcome, const wire::Item& item);
    void request_leader_lease(const Campaign& campaign);
    void on_leader_lease_created(Campaign campaign, std::uint64_t lease, Millis sent_at);
    void write_leader_record(const Campaign& campaign);
    void on_leader_record_written(const Campaign& campaign, const store::TransactionResult& result);
    void abandon_campaign();
    void become_leader(const Campaign& campaign, std::uint64_t leader_revision);

    void renew_leader_lease();
    void on_leader_lease_renewed(Millis sent_at);

    net::Runtime& runtime_;
    const Settings& settings_;
    store::StoreClient& store_;
    ElectionListener& listener_;
    EventLog log_;
    bool stopped_ = false;
    bool leading_ = false;
    bool campaigning_ = false;
    bool renewal_in_flight_ = false;
    std::uint64_t generation_ = 0;  // timers and watches of earlier generations do nothing
    std::uint64_t lease_ = 0;       // id of the lease of the current or last term
    Millis lease_valid_until_ = 0;
    ObservedLeader observed_;
    std::uint64_t highest_token_ = 0;  // of all tokens seen
};

}  // namespace lichendrift::control
