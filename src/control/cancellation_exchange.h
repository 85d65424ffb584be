#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/event_log.h"
#include "control/job_watcher.h"
#include "control/peers.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// Exchanges confirmed cancellations between controllers, for the case that the acting leader
/// cannot read them from the state service. Announces the cancellations that this controller
/// confirms to its peers, queries the peers for theirs, and tracks the time up to which every
/// confirmed cancellation is known here. That time bounds the renewal of workers' leases and the
/// start of tasks: a renewed lease must expire within `cancel_s` of any cancellation that is not
/// known here (docs/design.md, "A cancellation that the acting leader cannot see"). Used on the
/// event loop's thread only.
class CancellationExchange {
  public:
    /// All reference arguments must outlive this object.
    CancellationExchange(net::Runtime& runtime, const Settings& settings, JobWatcher& job_watcher,
                         Peers& peers, EventLog log);

    /// Called when this controller becomes the leader: starts regular checks of how old its copy of
    /// the open jobs is. An old copy is refreshed; if it stays old, the peers are queried.
    void begin_term();
    /// Called when this controller stops leading: ends the regular checks.
    void end_term();

    /// Whether all cancellations are known up to a time recent enough for starting tasks.
    [[nodiscard]] bool may_start_tasks() const;
    /// Whether workers' leases may be renewed: a lease renewed now expires within `cancel_s` of any
    /// cancellation that is not known here. Logs an event when the answer changes.
    [[nodiscard]] bool may_renew_leases();

    /// Handles a peer's announcement of cancellations that it has confirmed.
    void on_announcement(const std::string& body, const net::Respond& respond);
    /// Handles a peer's query for the cancellations after a revision.
    void on_query(const std::string& body, const net::Respond& respond);

  private:
    /// Cancellations queued for announcement to one peer.
    struct Outbox {
        std::vector<wire::Cancellation> queued;
        int requests_in_flight = 0;
    };
    void announce(const wire::Cancellation& cancellation);
    void send_outbox(std::size_t peer);
    void schedule_jobs_age_check();
    void check_jobs_age();
    void query_peers();
    void apply(const wire::CancellationUpdate& news);
    [[nodiscard]] Millis all_known_until() const;

    net::Runtime& runtime_;
    const Settings& settings_;
    JobWatcher& job_watcher_;
    Peers& peers_;
    EventLog log_;
    std::vector<Outbox> outboxes_;  // by index of the peer
    bool leading_ = false;
    std::uint64_t term_ = 0;  // incremented for each term; timers of earlier terms do nothing
    // When the last query was sent that all peers have answered completely; 0: none.
    Millis last_complete_query_at_ = 0;
    bool renewals_suspended_ = false;
};

}  // namespace lichendrift::control
