#pragma once

/// @file
/// How a leader performs the duties of provisioning and reclaiming.

#include "duty/actions.h"
#include "duty/claim.h"
#include "duty/intent_ledger.h"

namespace lichendrift::duty {

/// Performs the duties of provisioning and reclaiming for a leader, in a fixed order: it reads the
/// intents of earlier holders (stored lists of the cloud requests that they were about to send) and
/// claims the duties under the leader's lease before it sends requests to the cloud. The class does
/// no I/O: due_actions() returns actions, and each is in flight until its result is reported. The
/// daemon carries the actions out (control/machine_duties.h); the exploration in the tests drives
/// the same class through all interleavings.
class MachineDutyHolder {
  public:
    /// Configuration of a holder.
    struct Setup {
        std::string member;      ///< member name of this controller
        std::uint64_t term = 0;  ///< fencing token of the leader, unique to its term
        RecordVersion lease;     ///< leader key, which exists while the leader lease is held
        bool fencing = false;    ///< false: no duty records or intents are stored
        bool conditional_writes = true;  ///< see Claim::Setup
        IntentGuards guards;             ///< see IntentGuards
    };
    /// Current time and the state outside the holder that the next actions depend on.
    struct Inputs {
        Millis now = 0;            ///< steady time
        bool lease_valid = false;  ///< the leader lease is valid by the local clock
        Millis not_after = 0;      ///< steady time after which the lease may have expired
        /// All placement records have been read. Cloud requests wait for this: if a release were
        /// confirmed before, the tasks in records that are read later would stay on a machine that
        /// is known to be gone.
        bool placement_records_loaded = false;
        bool may_begin_fencing = false;          ///< every controller is known to support intents
        bool background_writes_allowed = false;  ///< the write rate limit has room for removals
        IntentLedger::Limits limits;             ///< limits of the state service
    };

    /// Creates a holder that has not read or claimed anything yet.
    explicit MachineDutyHolder(const Setup& setup);

    /// The actions that are due now. The caller carries them out and reports their results.
    [[nodiscard]] std::vector<Action> due_actions(const Inputs& inputs);

    /// Reports the result of ReadDuty.
    void on_duty_read(Duty duty, const DutyReadResult& result, Millis now);
    /// Reports the result of WriteDuty.
    void on_duty_written(Duty duty, const WriteResult& result, Millis now);
    /// Reports the result of ReadIntents. Returns the machines that the intents release, which must
    /// get no more work.
    [[nodiscard]] std::vector<std::string> on_intents_read(const IntentPage& page, Millis now);
    /// Reports that ReadIntents failed; it is retried after a delay.
    void on_intents_read_failed(Millis now);
    /// Reports the result of ReadIntent. `slot`, here and below: number of the IntentSlot, which
    /// holds one intent and the state of its record and requests.
    void on_intent_read(std::uint32_t slot, const IntentReadResult& result, Millis now) {
        ledger_.on_read(slot, result, now);
    }
    /// Reports the result of WriteIntent.
    void on_intent_written(std::uint32_t slot, const WriteResult& result, Millis now);
    /// Reports the result of RemoveIntents.
    void on_intents_removed(const std::vector<std::uint32_t>& slots, const WriteResult& result,
                            Millis now);
    /// Reports the outcome of RequestRelease. `machines`: number of machines in the request.
    void on_released(std::uint32_t slot, std::size_t machines, CloudOutcome outcome, Millis now) {
        ledger_.on_released(slot, machines, outcome, now);
    }
    /// Reports the outcome of RequestProvision. `request`: id of the provisioning request.
    void on_provisioned(std::uint32_t slot, const std::string& request, CloudOutcome outcome,
                        Millis now) {
        ledger_.on_provisioned(slot, request, outcome, now);
    }

    /// Queues the release of a machine; see IntentLedger::queue_release().
    void queue_release(const std::string& machine, bool urgent, Millis now) {
        ledger_.queue_release(machine, urgent, now);
    }
    /// Queues a provisioning request.
    void queue_provision(ProvisionRequest request, Millis now) {
        ledger_.queue_provision(std::move(request), now);
    }

    /// Whether all intents of earlier holders have been read. A new leader places no work before
    /// (enforced by control::Leader), because machines to be released must not get tasks.
    [[nodiscard]] bool inherited_intents_loaded() const {
        return inherited_intents_ == InheritedIntents::Loaded;
    }
    /// Whether both duties are held under an epoch.
    [[nodiscard]] bool fenced() const {
        return provisioning_.holds_duty() && reclaiming_.holds_duty();
    }
    /// Whether the lease has passed to another controller.
    [[nodiscard]] bool lease_lost() const;
    /// The claim to a duty.
    [[nodiscard]] const Claim& claim(Duty duty) const {
        return duty == Duty::Provisioning ? provisioning_ : reclaiming_;
    }
    /// The intents of this holder.
    [[nodiscard]] const IntentLedger& ledger() const { return ledger_; }

    /// Compares the claims, the ledger and the progress of reading inherited intents. The setup and
    /// the time and start key of the next read are not compared.
    friend bool operator==(const MachineDutyHolder& left, const MachineDutyHolder& right) {
        return left.provisioning_ == right.provisioning_ && left.reclaiming_ == right.reclaiming_ &&
               left.ledger_ == right.ledger_ && left.inherited_intents_ == right.inherited_intents_;
    }

  private:
    enum class InheritedIntents : std::uint8_t { ReadDue, Reading, Loaded };

    [[nodiscard]] Claim& mutable_claim(Duty duty) {
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
    InheritedIntents inherited_intents_ = InheritedIntents::ReadDue;
    std::string last_read_key_;
    Millis retry_at_ = 0;
};

}  // namespace lichendrift::duty
