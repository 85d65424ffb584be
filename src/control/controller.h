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

/// One controller node: owns its parts, connects them, and hands them the requests that come in.
/// Its effects on the outside all go through the runtime, which outlives it and calls nothing back
/// once it is gone. Used on the loop's thread.
class Controller : private ElectionListener, private LeaderHost, private CleanerHost {
  public:
    /// `runtime` and `planner` have to outlive the controller.
    Controller(net::Runtime& runtime, PlanExecutor& planner, Settings settings);
    ~Controller() override;

    /// Begins to follow or to campaign; requests are handled from then on.
    void start();
    /// The process ends: gives up every lease, so that others need not wait for their end.
    void hand_over();

    /// A request of a user, a worker or a health check.
    void handle(const net::HttpRequest& request, net::Respond respond);
    /// A request of another controller.
    void handle_peer(const net::HttpRequest& request, net::Respond respond);
    /// Whether a request may wait for heartbeats, health checks and other peers' requests: those
    /// of users may, also when a peer forwards them.
    [[nodiscard]] static bool can_wait(const net::HttpRequest& request);

    /// Whether this controller leads.
    [[nodiscard]] bool leading() const override { return leader_ != nullptr; }
    /// The first fencing token of this controller's term; 0: it does not lead.
    [[nodiscard]] std::uint64_t token() const { return leader_ ? leader_->token() : 0; }
    /// Whether this controller leads and knows a machine of that name.
    [[nodiscard]] bool knows_machine(const std::string& name) const {
        return leader_ && leader_->knows_machine(name);
    }
    /// Whether this controller holds the cleanup duty.
    [[nodiscard]] bool cleans_up() const { return cleaner_.holds_duty(); }
    /// How many placement records without a job the cleanup duty has found here.
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
    std::shared_ptr<Leader> leader_;  // null: another controller leads, or none
};

}  // namespace lichendrift::control
