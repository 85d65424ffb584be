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

/// Keeps the cluster's machines and those of the cloud in step: reads machine types and the list of
/// machines, and hands provision requests and releases to the machine duties.
class FleetSync : private MachineDutiesListener {
  public:
    /// What the leader does about changes.
    struct Events {
        std::function<void()> on_cluster_changed;      ///< machines were released
        std::function<void()> on_machines_listed;      ///< a list, complete or not, was read
        std::function<void()> on_provision_completed;  ///< a provision request has its result
    };

    /// `term` and `cloud` outlive it.
    FleetSync(Term& term, cloud::CloudClient& cloud, Events events);
    ~FleetSync() override { stop(); }
    FleetSync(const FleetSync&) = delete;
    FleetSync& operator=(const FleetSync&) = delete;

    /// Begins the term. `known_types`: the machine types that the controller knows already, may be
    /// empty.
    void start(const std::vector<core::MachineType>& known_types);

    /// Ends the term.
    void stop() { duties_->stop(); }

    /// The placement records of earlier terms are in the cluster: from now on the cloud is asked.
    void on_failover_complete();

    /// Whether the releases that earlier leaders intended are known: their machines must not get
    /// work, so nothing is placed before. While they are not, the duties are carried on.
    [[nodiscard]] bool inherited_releases_known();

    /// Whether the machine types are known; plans need them.
    [[nodiscard]] bool types_known() const { return types_known_; }

    /// Reads the machine types and the list of machines if they are due.
    void poll_due();

    /// Requests the releases that the cluster wants.
    void release_machines();

    /// Requests what a plan asks for, unless it is too early to know that it is still needed.
    /// `snapshot_at`: when the plan's snapshot was taken.
    void provision(const std::vector<core::Provision>& provisions, Millis snapshot_at);

  private:
    static constexpr Millis kLongAgo = -100'000;  // before any time of the runtime's clock

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
                        const std::vector<std::string>& machines, bool refused,
                        cloud::Result result) override;
    void on_lease_lost() override;

    Term& term_;
    cloud::CloudClient& cloud_;
    Events events_;
    std::shared_ptr<MachineDuties> duties_;
    bool types_known_ = false;
    bool reading_types_ = false;
    Millis types_requested_at_ = kLongAgo;
    bool listed_ = false;  // completely, at least once
    bool reading_list_ = false;
    Millis list_requested_at_ = kLongAgo;
    Millis failover_complete_at_ = 0;
    Millis no_provision_before_ = 0;
    Millis fleet_known_at_ = kLongAgo;  // the last provision's result, or the first complete list
    std::uint64_t provision_requests_ = 0;
};

}  // namespace lichendrift::control
