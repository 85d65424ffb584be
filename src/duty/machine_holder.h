#pragma once

#include <variant>

#include "duty/intents.h"

namespace lichendrift::duty {

// What a leader does for the duties of provisioning and reclaiming, in its order: intents of
// earlier holders are read and the duties are claimed under its lease before anything is asked of
// the cloud. Pure: `due()` gives the actions, each is under way until its result is handed in.
// The daemon carries them out (control/machine_duties.h); the exploration in the tests drives the
// same class through all interleavings.
class MachineHolder {
  public:
    struct Setup {
        std::string member;
        std::uint64_t term = 0;  // the leader's token: never used twice
        RecordVersion lease;     // the leader's key
        bool fencing = false;    // off: nothing is stored, as before there were duties
        bool conditions = true;  // see Claim::Setup
        IntentGuards guards;
    };
    // What the acts depend on, as of now.
    struct Moment {
        Millis now = 0;
        bool sure = false;  // surely the leader by its own clock
        Millis not_after = 0;
        // Placement records are read: a release that was confirmed before would leave the tasks
        // that they name on a machine that is known to be gone.
        bool records_known = false;
        bool may_activate = false;  // every controller is known to understand intents
        bool idle_writes = false;   // there is time for writes that nobody waits for
        IntentLedger::Limits limits;
    };

    struct ReadDuty {
        Duty duty;
    };
    struct ReadIntents {
        std::string since;
    };
    struct ReadIntent {
        std::uint32_t slot;
    };
    struct WriteDuty {
        Duty duty;
        FencedWrite write;
    };
    struct WriteIntent {
        std::uint32_t slot;
        FencedWrite write;
    };
    struct RemoveIntents {
        std::vector<std::uint32_t> slots;
        FencedWrite write;
    };
    struct RequestRelease {
        std::uint32_t slot;
        FencedRelease request;
    };
    struct RequestProvision {
        std::uint32_t slot;
        FencedProvision request;
    };
    using Action = std::variant<ReadDuty, ReadIntents, ReadIntent, WriteDuty, WriteIntent,
                                RemoveIntents, RequestRelease, RequestProvision>;

    explicit MachineHolder(const Setup& setup);

    [[nodiscard]] std::vector<Action> due(const Moment& moment);

    // Results.
    void on_duty_read(Duty duty, ReadOutcome outcome, const DutyRecord& record,
                      std::uint64_t revision, Millis now);
    void on_duty_written(Duty duty, const WriteResult& result, Millis now);
    // A page of stored intents. The machines that they name get no work from now on.
    std::vector<std::string> on_intents_read(bool ok, const std::vector<StoredIntent>& page,
                                             bool more, Millis now);
    void on_intent_read(std::uint32_t slot, ReadOutcome outcome, const Intent& intent,
                        std::uint64_t revision, Millis now);
    void on_intent_written(std::uint32_t slot, const WriteResult& result, Millis now);
    void on_intents_removed(const std::vector<std::uint32_t>& slots, const WriteResult& result,
                            Millis now);
    void on_released(std::uint32_t slot, std::size_t machines, CloudOutcome outcome, Millis now) {
        ledger_.on_released(slot, machines, outcome, now);
    }
    void on_provisioned(std::uint32_t slot, const std::string& request, CloudOutcome outcome,
                        Millis now) {
        ledger_.on_provisioned(slot, request, outcome, now);
    }

    void want_release(const std::string& machine, bool urgent, Millis now) {
        ledger_.want_release(machine, urgent, now);
    }
    void want_provision(ProvisionRequest order, Millis now) {
        ledger_.want_provision(std::move(order), now);
    }

    // Whether all that earlier holders left is known. Work is placed only then.
    [[nodiscard]] bool inherited_known() const { return intents_ == Intents::Read; }
    [[nodiscard]] bool fenced() const { return provisioning_.held() && reclaiming_.held(); }
    [[nodiscard]] bool lost() const;
    [[nodiscard]] const Claim& claim(Duty duty) const {
        return duty == Duty::Provisioning ? provisioning_ : reclaiming_;
    }
    [[nodiscard]] const IntentLedger& ledger() const { return ledger_; }

    friend bool operator==(const MachineHolder& a, const MachineHolder& b) {
        return a.provisioning_ == b.provisioning_ && a.reclaiming_ == b.reclaiming_ &&
               a.ledger_ == b.ledger_ && a.intents_ == b.intents_;
    }

  private:
    enum class Intents : std::uint8_t { ToRead, Reading, Read };

    [[nodiscard]] Claim& claim_of(Duty duty) {
        return duty == Duty::Provisioning ? provisioning_ : reclaiming_;
    }
    void add_claim_actions(Claim& claim, const Moment& moment, std::vector<Action>& out);
    void add_writes(const Permit& provisioning, const Permit& reclaiming, const Moment& moment,
                    std::vector<Action>& out);
    void add_requests(const Permit& provisioning, const Moment& moment, std::vector<Action>& out);
    void fence_failed(const WriteResult& result);

    Setup setup_;
    Claim provisioning_;
    Claim reclaiming_;
    IntentLedger ledger_;
    Intents intents_ = Intents::ToRead;
    std::string read_since_;
    Millis retry_at_ = 0;
};

}  // namespace lichendrift::duty
