#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "control/machine_duties.h"
#include "control/term.h"

namespace lichendrift::control {

/// Reconciles the machines in the cluster state with those of the cloud: reads the machine types
/// and the list of machines, and passes provisioning requests and releases on to MachineDuties.
class FleetSync : private MachineDutiesListener {
  public:
    /// Notifications to the leader.
    struct Callbacks {
        std::function<void()> on_cluster_changed;  ///< machines were released
        std::function<void()> on_machines_listed;  ///< reading the list has ended, in full or not
        std::function<void()> on_provision_completed;  ///< a provisioning request has its result
    };

    /// `term` and `cloud` must outlive this object.
    FleetSync(Term& term, cloud::CloudClient& cloud, Callbacks callbacks);
    ~FleetSync() override { stop(); }
    FleetSync(const FleetSync&) = delete;
    FleetSync& operator=(const FleetSync&) = delete;

    /// Begins the term. `known_types`: the machine types that the controller knows already; may be
    /// empty.
    void start(const std::vector<core::MachineType>& known_types);

    /// Ends the term: results of requests still in flight are ignored.
    void stop() { duties_->stop(); }

    /// Called when the placement records of earlier terms are loaded into the cluster state. From
    /// then on the cloud gets requests.
    void on_failover_complete();

    /// Whether the releases that earlier leaders intended are known. Nothing is placed before that,
    /// because the machines to be released must not get tasks. While they are unknown, each call
    /// makes MachineDuties take the next step towards reading them.
    [[nodiscard]] bool inherited_releases_known();

    /// Whether the machine types are known. The planner needs them.
    [[nodiscard]] bool types_known() const { return types_known_; }

    /// Reads the machine types and the list of machines, each if its interval has passed.
    void poll_if_due();

    /// Queues the releases that are due in the cluster state, and requests them.
    void release_machines();

    /// Requests the machines that a plan asks for. Drops the request if the plan's snapshot, taken
    /// at `snapshot_at`, may miss machines that already exist, or if the last request was too
    /// recent.
    void provision(const std::vector<core::Provision>& provisions, Millis snapshot_at);

  private:
    static constexpr Millis kLongAgo = -100'000;  // earlier than any time of the runtime's clock

    void read_types();
    void on_types(cloud::Result result, const std::vector<core::MachineType>& types);
    void read_machine_list();
    void on_machine_list(cloud::Result result, const std::vector<core::ListedMachine>& machines,
                         const std::set<std::string>& names);
    void request_provision(const core::Provision& provision);
    // MachineDutiesListener.
    void on_releases_inherited(const std::vector<std::string>& machines) override;
    void on_released(const std::vector<std::string>& machines) override;
    void on_provisioned(const duty::ProvisionRequest& request,
                        const std::vector<std::string>& machines, bool insufficient_capacity,
                        cloud::Result result) override;
    void on_lease_lost() override;

    Term& term_;
    cloud::CloudClient& cloud_;
    Callbacks callbacks_;
    std::shared_ptr<MachineDuties> duties_;
    bool types_known_ = false;
    bool reading_types_ = false;
    Millis types_requested_at_ = kLongAgo;
    bool complete_list_read_ = false;  // at least once in this term
    bool reading_list_ = false;
    Millis list_requested_at_ = kLongAgo;
    Millis failover_complete_at_ = 0;
    Millis no_provision_before_ = 0;
    Millis min_snapshot_at_ = kLongAgo;  // plans from older snapshots must not provision
    std::uint64_t provision_requests_ = 0;
};

}  // namespace lichendrift::control
