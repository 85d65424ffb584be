#pragma once

#include <memory>

#include "cloud/cloud_client.h"
#include "control/settings.h"
#include "duty/machine_holder.h"
#include "store/store_client.h"

namespace lichendrift::control {

class LeaderHost;

// Who is told what became of rentals and releases.
class MachineDutiesListener {
  public:
    virtual ~MachineDutiesListener() = default;
    // Machines that an earlier holder meant to release: they get no work.
    virtual void on_releases_inherited(const std::vector<std::string>& machines) = 0;
    virtual void on_released(const std::vector<std::string>& machines) = 0;
    // `machines` is what came; `refused`: there was not enough of this kind.
    virtual void on_provisioned(const duty::ProvisionRequest& order,
                                const std::vector<std::string>& machines, bool refused,
                                cloud::Result answer) = 0;
    // A write failed because another controller leads.
    virtual void on_lease_lost() = 0;
};

// Carries out what a leader's MachineHolder decides: reads and writes of the state service,
// requests to the cloud. Lives as long as the term.
class MachineDuties : public std::enable_shared_from_this<MachineDuties> {
  public:
    MachineDuties(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                  cloud::CloudClient& cloud, LeaderHost& host, MachineDutiesListener& listener,
                  std::uint64_t term, std::uint64_t leader_revision);

    // Does what is due; called whenever time has passed or something is wanted.
    void pump();
    void stop() { stopped_ = true; }
    // All placement records are read; from now on the cloud is asked.
    void records_known() { records_known_ = true; }

    void want_release(const std::string& machine, bool urgent);
    void want_provision(duty::ProvisionRequest order);
    [[nodiscard]] bool provisioning_in_flight() const {
        return holder_.ledger().provisioning_in_flight();
    }
    // Whether all intents of earlier holders are known: before that nothing is placed.
    [[nodiscard]] bool inherited_known() const { return holder_.inherited_known(); }

  private:
    [[nodiscard]] duty::MachineHolder::Moment moment();
    void carry_out(const duty::MachineHolder::ReadDuty& action);
    void carry_out(const duty::MachineHolder::ReadIntents& action);
    void carry_out(const duty::MachineHolder::ReadIntent& action);
    void carry_out(const duty::MachineHolder::WriteDuty& action);
    void carry_out(const duty::MachineHolder::WriteIntent& action);
    void carry_out(const duty::MachineHolder::RemoveIntents& action);
    void carry_out(const duty::MachineHolder::RequestRelease& action);
    void carry_out(const duty::MachineHolder::RequestProvision& action);
    void note_claim(duty::Duty duty, bool held_before);
    void note_stale(const std::string& what);
    void report();
    void pump_again();

    net::Runtime& runtime_;
    store::StoreClient& store_;
    cloud::CloudClient& cloud_;
    LeaderHost& host_;
    MachineDutiesListener& listener_;
    duty::MachineHolder holder_;
    bool intents_kept_;  // off in the tests of this guard
    bool stopped_ = false;
    bool records_known_ = false;
    bool pumping_ = false;
    bool pump_wanted_ = false;
    std::uint64_t refused_as_stale_ = 0;
    core::Millis reported_at_ = 0;
    core::Millis reported_stuck_at_ = 0;
};

}  // namespace lichendrift::control
