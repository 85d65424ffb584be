// The settings of the operators' policy: name, type, range and variables of each.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/policy.h"
#include "policy/language.h"

namespace lichendrift::control {

/// The settings of a policy, by their name in policy files; in the order of policy_settings().
enum class PolicySetting : std::uint8_t {
    ScoreImage,           ///< score_image
    ScoreFetching,        ///< score_fetching
    ScoreFetch,           ///< score_fetch
    ScoreWarm,            ///< score_warm
    ScoreFit,             ///< score_fit
    ScorePrice,           ///< score_price
    Order,                ///< order
    StarvationThreshold,  ///< starving_after
    RetryDelay,           ///< retry_after
    ProvisionWait,        ///< rent_patience
    OnDemandWait,         ///< dear_patience
    IdleRetention,        ///< idle_keep
    SpareMachines,        ///< spare_machines
    WarmCapacity,         ///< warm_for
    HeartbeatTimeout,     ///< silent_patience
};

/// The allowed values of a setting; durations are in seconds.
struct PolicyRange {
    double minimum = 0;  ///< the smallest allowed value
    double maximum = 0;  ///< the largest allowed value
};

/// The source text of the built-in policy, which operators can copy and edit.
[[nodiscard]] std::string_view built_in_policy();

/// The name, type and variables of each setting, in the order of PolicySetting.
[[nodiscard]] const std::vector<policy::Setting>& policy_settings();

/// The allowed values of a setting; a value outside of them is rejected.
[[nodiscard]] PolicyRange policy_range(PolicySetting setting);

/// Appends the values of the variables of `job`, in the order in which they are declared.
void append_variables(std::vector<policy::Value>& out, const core::JobFacts& job);
/// Appends the values of the variables of `fleet`, in the order in which they are declared.
void append_variables(std::vector<policy::Value>& out, const core::FleetFacts& fleet);
/// Appends the values of the variables of `machine`. They are declared after those of the fleet,
/// which have to be appended first.
void append_variables(std::vector<policy::Value>& out, const core::MachineFacts& machine);
/// Appends the value of `job.rent_patience` in seconds. It is declared after the other variables
/// of `job`, which have to be appended first.
void append_provision_wait(std::vector<policy::Value>& out, double wait_s);

}  // namespace lichendrift::control
