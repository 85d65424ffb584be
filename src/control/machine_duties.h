#pragma once

/// @file
/// Executes the actions of a leader's machine duties: provisioning and reclaiming.

#include <memory>

#include "cloud/cloud_client.h"
#include "control/settings.h"
#include "duty/machine_duty_holder.h"
#include "store/store_client.h"

namespace lichendrift::control {

class LeaderHost;

/// Receives the results of provisioning requests and releases.
class MachineDutiesListener {
  public:
    virtual ~MachineDutiesListener() = default;
    /// An earlier holder intended to release these machines, so they must not get tasks.
    virtual void on_releases_inherited(const std::vector<std::string>& machines) = 0;
    /// The cloud has released these machines.
    virtual void on_released(const std::vector<std::string>& machines) = 0;
    /// The cloud responded to a provisioning request with these machines, or the request failed
    /// (`result`). `insufficient_capacity`: the cloud had fewer machines of this kind than
    /// requested.
    virtual void on_provisioned(const duty::ProvisionRequest& request,
                                const std::vector<std::string>& machines,
                                bool insufficient_capacity, cloud::Result result) = 0;
    /// A write failed because another controller is the leader.
    virtual void on_lease_lost() = 0;
};

/// Executes the actions that a leader's duty::MachineDutyHolder decides on: reads and writes of the
/// state service and requests to the cloud. An intent is a record of such a request, stored before
/// the request is sent. Each term of leadership has its own object; callbacks share ownership of it
/// and do nothing after stop(). Used on the event loop's thread only.
class MachineDuties : public std::enable_shared_from_this<MachineDuties> {
  public:
    /// Services that it uses. All must outlive every callback.
    struct Services {
        net::Runtime& runtime;            ///< clock
        const Settings& settings;         ///< settings of this controller
        store::StoreClient& store;        ///< client of the state service
        cloud::CloudClient& cloud;        ///< client of the cloud's API
        LeaderHost& host;                 ///< the controller
        MachineDutiesListener& listener;  ///< receives the results
    };

    /// `term`: first fencing token of the term. `leader_revision`: revision of the leader record
    /// that began the term.
    MachineDuties(const Services& services, std::uint64_t term, std::uint64_t leader_revision);

    /// Executes all actions that are due. Called periodically, and after something was queued or a
    /// result has arrived.
    void run_due_actions();
    /// Ends the term: results of requests still in flight are ignored.
    void stop() { stopped_ = true; }
    /// Called when all placement records are read. From then on the cloud gets requests.
    void on_placement_records_loaded() { placement_records_loaded_ = true; }

    /// Queues the release of a machine. `urgent`: send it without waiting to batch further
    /// machines.
    void queue_release(const std::string& machine, bool urgent);
    /// Queues a provisioning request; the listener gets its result.
    void queue_provision(duty::ProvisionRequest request);
    /// Whether the result of a provisioning request is expected soon, so that further provisioning
    /// should wait for it.
    [[nodiscard]] bool provisioning_in_flight() const {
        return holder_.ledger().provisioning_in_flight();
    }
    /// Whether all intents of earlier holders are known. Nothing is placed before that, because a
    /// machine that is to be released must not get tasks.
    [[nodiscard]] bool inherited_intents_loaded() const {
        return holder_.inherited_intents_loaded();
    }

  private:
    [[nodiscard]] duty::MachineDutyHolder::Inputs holder_inputs();
    void execute(const duty::ReadDuty& action);
    void execute(const duty::ReadIntents& action);
    void execute(const duty::ReadIntent& action);
    void execute(const duty::WriteDuty& action);
    void execute(const duty::WriteIntent& action);
    void execute(const duty::RemoveIntents& action);
    void execute(const duty::RequestRelease& action);
    void execute(const duty::RequestProvision& action);
    void on_intents_read(const wire::ItemPage& page);
    void run_due_actions_unless_lost();
    void log_if_claim_changed(duty::Duty duty, bool held_before);
    void log_stale_epoch(const std::string& request);
    void log_overdue_intent();
    void log_report_if_due();

    Services services_;
    duty::MachineDutyHolder holder_;
    // False only in tests of SafetyGuards::keep_release_intents: a release without a response then
    // counts as done.
    bool keep_unconfirmed_intents_;
    bool stopped_ = false;
    bool placement_records_loaded_ = false;
    bool running_actions_ = false;
    bool run_again_ = false;
    std::uint64_t stale_epoch_refusals_ = 0;
    core::Millis reported_at_ = 0;
    core::Millis overdue_reported_at_ = 0;
};

}  // namespace lichendrift::control
