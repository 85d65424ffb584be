#pragma once

/// @file
/// Fenced writes and cloud requests. None of these types can be constructed without a Permit, and
/// only a Claim issues permits, so code that bypasses the fence does not compile.

#include <utility>
#include <variant>

#include "core/types.h"
#include "duty/duty.h"

namespace lichendrift::duty {

using core::Millis;

/// Permission to act for a duty, as far as the holder knows. It may have been replaced without
/// knowing, so a permit alone does not make an action safe: a write is protected by the conditions
/// of its transaction, a cloud request by an intent that is stored before it is sent.
class Permit {
  public:
    /// Duty that the permit is for.
    [[nodiscard]] Duty duty() const { return duty_; }
    /// Epoch of the holder; 0: the duty is not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// False before fencing begins: only the leader lease then protects the action.
    [[nodiscard]] bool fenced() const { return epoch_ != 0; }
    /// Steady time after which nothing may be sent under this permit.
    [[nodiscard]] Millis not_after() const { return not_after_; }
    /// Conditions of every write of the holder: revisions of the lease key and the duty's record.
    [[nodiscard]] const std::vector<RecordVersion>& conditions() const { return conditions_; }

  private:
    friend class Claim;
    Permit(Duty duty, Epoch epoch, Millis not_after, std::vector<RecordVersion> conditions)
        : duty_(duty), epoch_(epoch), not_after_(not_after), conditions_(std::move(conditions)) {}

    Duty duty_;
    Epoch epoch_;
    Millis not_after_;
    std::vector<RecordVersion> conditions_;
};

/// Value that a fenced write stores under a key; std::monostate removes the key.
using StoredValue = std::variant<std::monostate, DutyRecord, Intent>;

/// Change of one key in a fenced write.
struct FencedChange {
    std::string key;    ///< key in the state service
    StoredValue value;  ///< its new value
    /// Compares both fields.
    friend bool operator==(const FencedChange&, const FencedChange&) = default;
};

/// A write to the state service that fails if the duty has passed to another holder.
class FencedWrite {
  public:
    /// An empty write under the conditions of a permit.
    explicit FencedWrite(const Permit& permit) : conditions_(permit.conditions()) {}
    /// Adds a condition.
    void add_condition(RecordVersion version) { conditions_.push_back(std::move(version)); }
    /// Adds a value to write.
    void set(std::string key, StoredValue value) {
        changes_.push_back({std::move(key), std::move(value)});
    }
    /// Adds a key to remove.
    void remove(std::string key) { changes_.push_back({std::move(key), {}}); }
    /// The write is executed only if all conditions hold.
    [[nodiscard]] const std::vector<RecordVersion>& conditions() const { return conditions_; }
    /// Changes that are applied atomically.
    [[nodiscard]] const std::vector<FencedChange>& changes() const { return changes_; }

  private:
    friend class Claim;  // its write of the duty's record needs no permit: it acquires the duty
    explicit FencedWrite(std::vector<RecordVersion> conditions)
        : conditions_(std::move(conditions)) {}

    std::vector<RecordVersion> conditions_;
    std::vector<FencedChange> changes_;
};

/// A request to provision machines. Only IntentLedger creates one; under a fenced permit, from an
/// intent that is durable.
class FencedProvision {
  public:
    /// The machines to provision.
    [[nodiscard]] const ProvisionRequest& request() const { return request_; }
    /// Epoch of the holder; 0: the duty is not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// Steady time after which the request must not be sent.
    [[nodiscard]] Millis not_after() const { return not_after_; }

  private:
    friend class IntentLedger;
    FencedProvision(const Permit& permit, ProvisionRequest request)
        : request_(std::move(request)), epoch_(permit.epoch()), not_after_(permit.not_after()) {}

    ProvisionRequest request_;
    Epoch epoch_;
    Millis not_after_;
};

/// A request to release machines, created in the same way as a FencedProvision.
class FencedRelease {
  public:
    /// Names of the machines to release.
    [[nodiscard]] const std::vector<std::string>& machines() const { return machines_; }
    /// Epoch of the holder; 0: the duty is not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// Steady time after which the request must not be sent.
    [[nodiscard]] Millis not_after() const { return not_after_; }

  private:
    friend class IntentLedger;
    FencedRelease(const Permit& permit, std::vector<std::string> machines)
        : machines_(std::move(machines)), epoch_(permit.epoch()), not_after_(permit.not_after()) {}

    std::vector<std::string> machines_;
    Epoch epoch_;
    Millis not_after_;
};

}  // namespace lichendrift::duty
