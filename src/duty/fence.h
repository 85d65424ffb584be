#pragma once

#include <utility>
#include <variant>

#include "core/types.h"
#include "duty/duty.h"

// Acts that reach outside the process. None of these types can be made without a Permit, and only
// a Claim gives permits: a way round the fence does not compile.
namespace lichendrift::duty {

using core::Millis;

// The right to act for a duty, by the holder's own knowledge. What it is worth is decided where
// the act takes effect: by the conditions of a write, by the durable intent behind a request.
class Permit {
  public:
    [[nodiscard]] Duty duty() const { return duty_; }
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    // False before the fence is switched on: the act then rests on the leader lease alone.
    [[nodiscard]] bool fenced() const { return epoch_ != 0; }
    // Nothing leaves the process after this steady time.
    [[nodiscard]] Millis not_after() const { return not_after_; }
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

// What a fenced write stores under a key; nothing: the key is removed.
using StoredValue = std::variant<std::monostate, DutyRecord, Intent>;

struct FencedChange {
    std::string key;
    StoredValue value;
    friend bool operator==(const FencedChange&, const FencedChange&) = default;
};

// A write to the state service that fails if the duty has passed to another holder.
class FencedWrite {
  public:
    explicit FencedWrite(const Permit& permit) : conditions_(permit.conditions()) {}
    void require(RecordVersion version) { conditions_.push_back(std::move(version)); }
    void set(std::string key, StoredValue value) {
        changes_.push_back({std::move(key), std::move(value)});
    }
    void remove(std::string key) { changes_.push_back({std::move(key), {}}); }
    [[nodiscard]] const std::vector<RecordVersion>& conditions() const { return conditions_; }
    [[nodiscard]] const std::vector<FencedChange>& changes() const { return changes_; }

  private:
    friend class Claim;  // writes the record that makes it the holder
    explicit FencedWrite(std::vector<RecordVersion> conditions)
        : conditions_(std::move(conditions)) {}

    std::vector<RecordVersion> conditions_;
    std::vector<FencedChange> changes_;
};

// A request to rent machines. With a fenced permit only IntentLedger makes one, from a durable
// intent.
class FencedProvision {
  public:
    [[nodiscard]] const ProvisionRequest& order() const { return order_; }
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    [[nodiscard]] Millis not_after() const { return not_after_; }

  private:
    friend class IntentLedger;
    FencedProvision(const Permit& permit, ProvisionRequest order)
        : order_(std::move(order)), epoch_(permit.epoch()), not_after_(permit.not_after()) {}

    ProvisionRequest order_;
    Epoch epoch_;
    Millis not_after_;
};

// A request to give machines back, made like a FencedRental.
class FencedRelease {
  public:
    [[nodiscard]] const std::vector<std::string>& machines() const { return machines_; }
    [[nodiscard]] Epoch epoch() const { return epoch_; }
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
