#pragma once

/// @file
/// The driver of a leader's machine duties.

#include <memory>

#include "cloud/cloud_client.h"
#include "control/settings.h"
#include "duty/machine_duty_holder.h"
#include "store/store_client.h"

namespace lichendrift::control {

class LeaderHost;

/// Gets the results of provisioning requests and releases.
class MachineDutiesListener {
  public:
    virtual ~MachineDutiesListener() = default;
    /// An earlier holder meant to release these machines: they get no work.
    virtual void on_releases_inherited(const std::vector<std::string>& machines) = 0;
    /// The cloud has released these machines.
    virtual void on_released(const std::vector<std::string>& machines) = 0;
    /// The cloud responded to a provisioning request with these machines. `refused`: there were
    /// not enough of this kind.
    virtual void on_provisioned(const duty::ProvisionRequest& request,
                                const std::vector<std::string>& machines, bool refused,
                                cloud::Result result) = 0;
    /// A write failed because another controller is the leader.
    virtual void on_lease_lost() = 0;
};

/// Carries out what a leader's duty::MachineDutyHolder decides: reads and writes of the state
/// service, requests to the cloud. One object for one term of leadership: callbacks keep it alive
/// and do nothing once it is stopped. All on the controller's thread.
class MachineDuties : public std::enable_shared_from_this<MachineDuties> {
  public:
    /// What it works with. All outlive every callback.
    struct Services {
        net::Runtime& runtime;            ///< time
        const Settings& settings;         ///< of this controller
        store::StoreClient& store;        ///< the state service
        cloud::CloudClient& cloud;        ///< the cloud
        LeaderHost& host;                 ///< the controller
        MachineDutiesListener& listener;  ///< gets the results
    };

    /// `term`: fencing token of the leader. `leader_revision`: of the leader's key.
    MachineDuties(const Services& services, std::uint64_t term, std::uint64_t leader_revision);

    /// Carries out what is due; called whenever time has passed or something is wanted.
    void pump();
    /// The term has ended.
    void stop() { stopped_ = true; }
    /// All placement records are read; from now on the cloud gets requests.
    void on_placement_records_loaded() { placement_records_loaded_ = true; }

    /// Wants a machine released. `urgent`: without waiting for further machines.
    void queue_release(const std::string& machine, bool urgent);
    /// Wants machines provisioned.
    void queue_provision(duty::ProvisionRequest request);
    /// Whether the result of a provisioning request can be expected soon.
    [[nodiscard]] bool provisioning_in_flight() const {
        return holder_.ledger().provisioning_in_flight();
    }
    /// Whether all intents of earlier holders are known: before that nothing is placed.
    [[nodiscard]] bool inherited_intents_loaded() const {
        return holder_.inherited_intents_loaded();
    }

  private:
    [[nodiscard]] duty::MachineDutyHolder::Inputs holder_inputs();
    void carry_out(const duty::ReadDuty& action);
    void carry_out(const duty::ReadIntents& action);
    void carry_out(const duty::ReadIntent& action);
    void carry_out(const duty::WriteDuty& action);
    void carry_out(const duty::WriteIntent& action);
    void carry_out(const duty::RemoveIntents& action);
    void carry_out(const duty::RequestRelease& action);
    void carry_out(const duty::RequestProvision& action);
    void on_intents_read(const wire::ItemPage& page);
    void pump_unless_lost();
    void log_if_claim_changed(duty::Duty duty, bool held_before);
    void log_stale_epoch(const std::string& request);
    void log_overdue_intent();
    void report();

    Services services_;
    duty::MachineDutyHolder holder_;
    bool intents_kept_;  // off only in tests of this guard
    bool stopped_ = false;
    bool placement_records_loaded_ = false;
    bool pumping_ = false;
    bool pump_again_ = false;
    std::uint64_t refused_as_stale_ = 0;
    core::Millis reported_at_ = 0;
    core::Millis reported_overdue_at_ = 0;
};

}  // namespace lichendrift::control
