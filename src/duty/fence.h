#pragma once

/// @file
/// Acts that reach outside the process. None of these types can be made without a Permit, and only
/// a Claim gives permits: a way round the fence does not compile.

#include <utility>
#include <variant>

#include "core/types.h"
#include "duty/duty.h"

namespace lichendrift::duty {

using core::Millis;

/// The right to act for a duty, as far as the holder knows. Whether the act takes effect is decided
/// elsewhere: by the conditions of a write, by the durable intent behind a request.
class Permit {
  public:
    /// The duty that it is for.
    [[nodiscard]] Duty duty() const { return duty_; }
    /// Epoch of the holder; 0: not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// False before fencing begins: the act then rests on the leader lease alone.
    [[nodiscard]] bool fenced() const { return epoch_ != 0; }
    /// Nothing leaves the process after this steady time.
    [[nodiscard]] Millis not_after() const { return not_after_; }
    /// What a write of the holder has to be conditional on.
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

/// What a fenced write stores under a key. Without a value the key is removed.
using StoredValue = std::variant<std::monostate, DutyRecord, Intent>;

/// One key of a fenced write.
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
    void require(RecordVersion version) { conditions_.push_back(std::move(version)); }
    /// Adds a value to write.
    void set(std::string key, StoredValue value) {
        changes_.push_back({std::move(key), std::move(value)});
    }
    /// Adds a key to remove.
    void remove(std::string key) { changes_.push_back({std::move(key), {}}); }
    /// All must hold for the write to be executed.
    [[nodiscard]] const std::vector<RecordVersion>& conditions() const { return conditions_; }
    /// Executed together or not at all.
    [[nodiscard]] const std::vector<FencedChange>& changes() const { return changes_; }

  private:
    friend class Claim;  // writes the record that makes it the holder
    explicit FencedWrite(std::vector<RecordVersion> conditions)
        : conditions_(std::move(conditions)) {}

    std::vector<RecordVersion> conditions_;
    std::vector<FencedChange> changes_;
};

/// A request to provision machines. Only IntentLedger makes one, with a fenced permit from a
/// durable intent.
class FencedProvision {
  public:
    /// What is requested.
    [[nodiscard]] const ProvisionRequest& request() const { return request_; }
    /// Epoch of the holder; 0: not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// Not sent after this steady time.
    [[nodiscard]] Millis not_after() const { return not_after_; }

  private:
    friend class IntentLedger;
    FencedProvision(const Permit& permit, ProvisionRequest request)
        : request_(std::move(request)), epoch_(permit.epoch()), not_after_(permit.not_after()) {}

    ProvisionRequest request_;
    Epoch epoch_;
    Millis not_after_;
};

/// A request to release machines, made like a FencedProvision.
class FencedRelease {
  public:
    /// Names of the machines.
    [[nodiscard]] const std::vector<std::string>& machines() const { return machines_; }
    /// Epoch of the holder; 0: not fenced.
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    /// Not sent after this steady time.
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
