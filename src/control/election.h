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

/// The leader as far as this controller knows: from the leader record in the state service and from
/// the leader's own announcements.
struct ObservedLeader {
    std::string member;               ///< its name; empty: no leader is known
    std::uint64_t token = 0;          ///< first fencing token of its term
    bool store_responsive = false;    ///< by its last announcement, the state service answers it
    Millis last_announcement_at = 0;  ///< steady time; 0: none yet
    Millis record_seen_at = 0;        ///< steady time when the state service showed its record

    /// When anything was last known of it, steady time.
    [[nodiscard]] Millis last_seen_at() const;
};

/// What a won election gives to the term that it begins.
struct ElectedTerm {
    std::uint64_t token = 0;            ///< first fencing token of the term
    std::uint64_t leader_revision = 0;  ///< revision of the leader record, for conditional writes
};

/// What the election calls back.
class ElectionListener {
  public:
    virtual ~ElectionListener() = default;
    /// This controller leads from now on. LeaderElection::leading() is true already; the listener
    /// calls LeaderElection::schedule_leader_lease_renewals().
    virtual void on_elected(const ElectedTerm& term) = 0;
    /// The leader lease is gone: the listener has to call LeaderElection::resign().
    virtual void on_leader_lease_expired() = 0;
};

/// The election of the leader: reads and watches the leader record, campaigns when there is none,
/// renews the leader lease while this controller leads, and knows who leads otherwise.
///
/// The leader record (key `leader`) is written under a lease in the state service; the service
/// removes it with the lease, and the other controllers then campaign. Key `token` holds the last
/// fencing token handed out. Used on the loop's thread.
class LeaderElection {
  public:
    /// All arguments have to outlive this object.
    LeaderElection(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                   ElectionListener& listener, EventLog log);

    /// Reads the leader record; from then on watches it, or campaigns if there is none.
    void follow();
    /// Takes part no more. A term that is under way has to be ended with resign().
    void stop();
    /// Renews the leader lease from now on until the term ends.
    void schedule_leader_lease_renewals();
    /// Ends the term of this controller: gives up the leader lease and forgets who leads.
    void resign();

    /// Whether this controller leads. Its lease may have run out nevertheless.
    [[nodiscard]] bool leading() const { return leading_; }
    /// Whether this controller certainly still leads, by the clock read anew.
    [[nodiscard]] bool has_leader_lease() const;
    /// Until when this controller certainly leads, steady time. Only while leading.
    [[nodiscard]] Millis leader_lease_valid_until() const { return lease_valid_until_; }

    /// Who leads; while leading, this controller.
    [[nodiscard]] const ObservedLeader& observed() const { return observed_; }
    /// For how long nothing has come from the leader, neither from itself nor by its record.
    [[nodiscard]] Millis leader_silent_for() const;
    /// Whether the leader has been silent for so long that it is hardly worth a request.
    [[nodiscard]] bool leader_is_silent() const;
    /// Whether another controller leads that has announced lately that the state service answers
    /// it.
    [[nodiscard]] bool leader_reaches_store() const;
    /// Whether announcements of the leader came, and have ceased.
    [[nodiscard]] bool announcements_ceased() const;

    /// A fencing token was seen: tokens of terms to come are higher.
    void observe_token(std::uint64_t token);
    /// A leader announces itself. False: this controller leads, or knows of a later leader.
    bool accept_announcement(const wire::Announcement& announcement);

  private:
    /// What a campaign has learned so far.
    struct Campaign {
        std::uint64_t leader_revision = 0;  // of the record to replace; 0: there is none
        std::uint64_t stored_token = 0;     // the last one handed out; 0: none
        std::uint64_t token_revision = 0;   // of the key `token`; 0: there is none
        std::uint64_t lease = 0;
        Millis lease_sent_at = 0;
        std::uint64_t token = 0;  // first of the term
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
    std::uint64_t generation_ = 0;  // of timers and watches; those of earlier ones end
    std::uint64_t lease_ = 0;       // in the state service, of the current or last term
    Millis lease_valid_until_ = 0;
    ObservedLeader observed_;
    std::uint64_t highest_token_ = 0;  // seen anywhere
};

}  // namespace lichendrift::control
