// The settings of the operators' policy: names, types, ranges, and the variables of each.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/policy.h"
#include "policy/language.h"

namespace lichendrift::control {

/// The settings of a policy, in the order of policy_settings().
enum class PolicySetting : std::uint8_t {
    ScoreImage,         ///< score_image
    ScoreFetching,      ///< score_fetching
    ScoreFetch,         ///< score_fetch
    ScoreWarm,          ///< score_warm
    ScoreFit,           ///< score_fit
    ScorePrice,         ///< score_price
    Order,              ///< order
    StarvingAfter,      ///< starving_after
    RetryAfter,         ///< retry_after
    ProvisionPatience,  ///< rent_patience
    OnDemandPatience,   ///< dear_patience
    IdleKeep,           ///< idle_keep
    SpareMachines,      ///< spare_machines
    WarmFor,            ///< warm_for
    SilentPatience,     ///< silent_patience
};

/// The values that a setting may have; durations in seconds.
struct PolicyRange {
    double minimum = 0;  ///< the smallest allowed value
    double maximum = 0;  ///< the largest allowed value
};

/// The built-in policy as source text, which operators copy and edit.
[[nodiscard]] std::string_view built_in_policy();

/// Name, type and variables of each setting, in the order of PolicySetting.
[[nodiscard]] const std::vector<policy::Setting>& policy_settings();

/// The range of a setting.
[[nodiscard]] PolicyRange policy_range(PolicySetting setting);

/// Appends the values of the `job.` variables, in the order of a job's settings.
void append_variables(std::vector<policy::Value>& out, const core::JobFacts& job);
/// Appends the values of the `fleet.` variables, in the order of the fleet's settings.
void append_variables(std::vector<policy::Value>& out, const core::FleetFacts& fleet);
/// Appends the values of the `machine.` variables, which follow those of the fleet.
void append_variables(std::vector<policy::Value>& out, const core::MachineFacts& machine);
/// Appends the value of `job.rent_patience`, which follows the other variables of the job.
void append_provision_patience(std::vector<policy::Value>& out, double patience_s);

}  // namespace lichendrift::control
