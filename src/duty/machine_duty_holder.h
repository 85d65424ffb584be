#pragma once

/// @file
/// What a leader does for the duties of provisioning and reclaiming.

#include "duty/actions.h"
#include "duty/claim.h"
#include "duty/intent_ledger.h"

namespace lichendrift::duty {

/// What a leader does for the duties of provisioning and reclaiming, in its order: intents of
/// earlier holders are read and the duties are claimed under the leader's lease before anything is
/// requested from the cloud. Pure: due_actions() gives the actions, each is under way until its
/// result is handed in. The daemon carries them out (control/machine_duties.h); the exploration
/// in the tests drives the same class through all interleavings.
class MachineDutyHolder {
  public:
    /// What a holder is made for.
    struct Setup {
        std::string member;      ///< name of this controller
        std::uint64_t term = 0;  ///< fencing token of the leader: never used twice
        RecordVersion lease;     ///< the leader's key
        bool fencing = false;    ///< off: nothing is stored, as before there were duties
        bool conditions = true;  ///< see Claim::Setup
        IntentGuards guards;     ///< see IntentGuards
    };
    /// What the next actions depend on, as of now.
    struct Inputs {
        Millis now = 0;            ///< steady time
        bool lease_valid = false;  ///< surely the leader by its own clock
        Millis not_after = 0;      ///< steady time after which the lease may have expired
        /// All placement records are read: a release that was confirmed before would leave the
        /// tasks that they name on a machine that is known to be gone.
        bool placement_records_loaded = false;
        bool may_begin_fencing = false;  ///< every controller is known to understand intents
        bool background_writes_allowed = false;  ///< there is room for writes that nobody waits for
        IntentLedger::Limits limits;             ///< of the state service
    };

    /// A holder that has neither read nor claimed anything yet.
    explicit MachineDutyHolder(const Setup& setup);

    /// The actions that are due now.
    [[nodiscard]] std::vector<Action> due_actions(const Inputs& inputs);

    /// Result of ReadDuty.
    void on_duty_read(Duty duty, const DutyReadResult& result, Millis now);
    /// Result of WriteDuty.
    void on_duty_written(Duty duty, const WriteResult& result, Millis now);
    /// Result of ReadIntents. Returns the machines that the intents name: they get no work.
    [[nodiscard]] std::vector<std::string> on_intents_read(const IntentPage& page, Millis now);
    /// ReadIntents failed.
    void on_intents_read_failed(Millis now);
    /// Result of ReadIntent.
    void on_intent_read(std::uint32_t slot, const IntentReadResult& result, Millis now) {
        ledger_.on_read(slot, result, now);
    }
    /// Result of WriteIntent.
    void on_intent_written(std::uint32_t slot, const WriteResult& result, Millis now);
    /// Result of RemoveIntents.
    void on_intents_removed(const std::vector<std::uint32_t>& slots, const WriteResult& result,
                            Millis now);
    /// Result of RequestRelease, for that many machines.
    void on_released(std::uint32_t slot, std::size_t machines, CloudOutcome outcome, Millis now) {
        ledger_.on_released(slot, machines, outcome, now);
    }
    /// Result of RequestProvision.
    void on_provisioned(std::uint32_t slot, const std::string& request, CloudOutcome outcome,
                        Millis now) {
        ledger_.on_provisioned(slot, request, outcome, now);
    }

    /// Wants a machine released; see IntentLedger.
    void queue_release(const std::string& machine, bool urgent, Millis now) {
        ledger_.queue_release(machine, urgent, now);
    }
    /// Wants machines provisioned.
    void queue_provision(ProvisionRequest request, Millis now) {
        ledger_.queue_provision(std::move(request), now);
    }

    /// Whether all intents of earlier holders are known. Nothing is placed before.
    [[nodiscard]] bool inherited_intents_loaded() const {
        return intents_ == InheritedIntents::Known;
    }
    /// Whether both duties are held with an epoch.
    [[nodiscard]] bool fenced() const { return provisioning_.held() && reclaiming_.held(); }
    /// Whether the lease has passed to another controller.
    [[nodiscard]] bool lost() const;
    /// The claim to a duty.
    [[nodiscard]] const Claim& claim(Duty duty) const {
        return duty == Duty::Provisioning ? provisioning_ : reclaiming_;
    }
    /// Its intents.
    [[nodiscard]] const IntentLedger& ledger() const { return ledger_; }

    /// Compares what decides about the next actions.
    friend bool operator==(const MachineDutyHolder& left, const MachineDutyHolder& right) {
        return left.provisioning_ == right.provisioning_ && left.reclaiming_ == right.reclaiming_ &&
               left.ledger_ == right.ledger_ && left.intents_ == right.intents_;
    }

  private:
    enum class InheritedIntents : std::uint8_t { ReadDue, Reading, Known };

    [[nodiscard]] Claim& claim_to(Duty duty) {
        return duty == Duty::Provisioning ? provisioning_ : reclaiming_;
    }
    void add_claim_actions(Claim& claim, const Inputs& inputs, std::vector<Action>& out);
    void add_intent_actions(const Permit& provisioning, const Permit& reclaiming,
                            const Inputs& inputs, std::vector<Action>& out);
    void add_requests(const Permit& provisioning, const Inputs& inputs, std::vector<Action>& out);
    void on_fence_checked(IntentLedger::FenceCheck check, const WriteResult& result);

    Setup setup_;
    Claim provisioning_;
    Claim reclaiming_;
    IntentLedger ledger_;
    InheritedIntents intents_ = InheritedIntents::ReadDue;
    std::string last_read_key_;
    Millis retry_at_ = 0;
};

}  // namespace lichendrift::duty
