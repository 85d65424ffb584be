#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "control/announcements.h"
#include "control/cancellation_exchange.h"
#include "control/cleaner.h"
#include "control/election.h"
#include "control/heartbeat_router.h"
#include "control/job_watcher.h"
#include "control/leader.h"
#include "control/peer_capabilities.h"
#include "control/peers.h"
#include "control/plan_executor.h"
#include "control/user_api.h"
#include "control/user_request_forwarder.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// One controller node: owns its components, connects them, and dispatches incoming requests to
/// them. All its external effects go through the runtime, which outlives it and makes no callbacks
/// once it is destroyed. Used on the event loop's thread only.
class Controller : private ElectionListener, private LeaderHost, private CleanerHost {
  public:
    /// `runtime` and `planner` must outlive the controller.
    Controller(net::Runtime& runtime, PlanExecutor& planner, Settings settings);
    ~Controller() override;

    /// Starts following the current leader, or campaigning if there is none. Requests are handled
    /// from then on.
    void start();
    /// Called when the process ends: releases every lease, so that the other controllers do not
    /// have to wait for its expiry.
    void hand_over();

    /// Handles a request from a user, a worker or a health check.
    void handle(const net::HttpRequest& request, net::Respond respond);
    /// Handles a request from another controller.
    void handle_peer(const net::HttpRequest& request, net::Respond respond);
    /// Whether a request may be delayed in favour of heartbeats, health checks and requests from
    /// peers. Users' requests may, including those that a peer forwards.
    [[nodiscard]] static bool can_wait(const net::HttpRequest& request);

    /// Whether this controller leads.
    [[nodiscard]] bool leading() const override { return leader_ != nullptr; }
    /// The first fencing token of this controller's term; 0 if it does not lead.
    [[nodiscard]] std::uint64_t token() const { return leader_ ? leader_->token() : 0; }
    /// Whether this controller leads and knows a machine of that name.
    [[nodiscard]] bool knows_machine(const std::string& name) const {
        return leader_ && leader_->knows_machine(name);
    }
    /// Whether this controller holds the cleanup duty.
    [[nodiscard]] bool holds_cleanup_duty() const { return cleaner_.holds_duty(); }
    /// Number of placement records without a job that this controller found while it held the
    /// cleanup duty.
    [[nodiscard]] std::uint64_t suspicious_records() const { return cleaner_.suspicious_records(); }

  private:
    // ElectionListener.
    void on_elected(const ElectedTerm& term) override;
    void on_leader_lease_expired() override;

    // LeaderHost.
    bool has_leader_lease() override { return election_.has_leader_lease(); }
    Millis leader_lease_valid_until() override { return election_.leader_lease_valid_until(); }
    bool may_start_tasks() override {
        return has_leader_lease() && cancellations_.may_start_tasks();
    }
    bool may_renew_leases() override { return cancellations_.may_renew_leases(); }
    [[nodiscard]] bool peers_run_current_version() const override {
        return capabilities_.all_current();
    }
    [[nodiscard]] bool peers_fence_duties() const override {
        return capabilities_.all_fence_duties();
    }
    void step_down(events::StepDownReason reason, std::uint64_t seen_token = 0) override;
    void log(const events::Event& event) override;
    void on_machine_types(const std::vector<core::MachineType>& types) override;
    void on_job_counts(std::vector<wire::JobCounts> counts, bool all) override;

    [[nodiscard]] EventLog event_log();
    [[nodiscard]] std::string log_context() const;
    [[nodiscard]] net::HttpResponse check_health() const;
    void fetch_machine_types();

    net::Runtime& runtime_;
    PlanExecutor& planner_;
    Settings settings_;
    store::StoreClient store_;
    cloud::CloudClient cloud_;
    JobWatcher job_watcher_;
    UserApi users_;
    Peers peers_;
    PeerCapabilities capabilities_;
    CancellationExchange cancellations_;
    LeaderElection election_;
    LeaderAnnouncements announcements_;
    HeartbeatRouter heartbeats_;
    UserRequestForwarder user_requests_;
    Cleaner cleaner_;
    std::shared_ptr<Leader> leader_;  // null: this controller does not lead
};

}  // namespace lichendrift::control
