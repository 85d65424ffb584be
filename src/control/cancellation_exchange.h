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

/// Cancellations that the state service does not show to the acting leader: announces those that
/// this controller confirms to its peers, asks the peers for theirs, and knows up to which moment
/// every cancellation is known here. That moment bounds the renewal of workers' leases and the
/// start of tasks. The safety argument is in docs/design.md, "A cancellation that the acting leader
/// cannot see". Used on the loop's thread.
class CancellationExchange {
  public:
    /// All arguments have to outlive this object.
    CancellationExchange(net::Runtime& runtime, const Settings& settings, JobWatcher& job_watcher,
                         Peers& peers, EventLog log);

    /// This controller leads from now on: keeps the knowledge of cancellations recent.
    void begin_term();
    /// This controller leads no longer.
    void end_term();

    /// Whether cancellations are known up to a moment so recent that tasks may be started.
    [[nodiscard]] bool may_start_tasks() const;
    /// Whether workers' leases may be renewed: a lease that is renewed now ends within `cancel_s`
    /// of any cancellation that is not known here. Logs when the answer changes.
    [[nodiscard]] bool may_renew_leases();

    /// A peer announces cancellations that it has confirmed.
    void on_announcement(const std::string& body, const net::Respond& respond);
    /// A peer asks for the cancellations after a revision.
    void on_query(const std::string& body, const net::Respond& respond);

  private:
    /// Cancellations to announce to one peer.
    struct Outbox {
        std::vector<wire::Cancellation> queued;
        int requests_in_flight = 0;
    };
    void announce(const wire::Cancellation& cancellation);
    void send_outbox(std::size_t peer);
    void schedule_jobs_age_check();
    void check_jobs_age();
    void query_peers();
    void apply(const wire::CancellationNews& news);
    [[nodiscard]] Millis all_known_until() const;

    net::Runtime& runtime_;
    const Settings& settings_;
    JobWatcher& job_watcher_;
    Peers& peers_;
    EventLog log_;
    std::vector<Outbox> outboxes_;  // by index of the peer
    bool leading_ = false;
    std::uint64_t term_ = 0;             // counts terms; timers of earlier ones end
    Millis last_complete_query_at_ = 0;  // all peers together have answered for what came before
    bool renewals_suspended_ = false;
};

}  // namespace lichendrift::control
