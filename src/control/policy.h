// The operators' policy: the settings of a policy file, or the built-in ones where it sets none.
#pragma once

#include <string_view>
#include <vector>

#include "control/policy_settings.h"
#include "core/policy.h"
#include "policy/language.h"

namespace lichendrift::control {

/// Implements the core's policy by evaluating the operators' settings. A value that is not finite
/// or outside the range of its setting is replaced by that of the built-in policy. This is reported
/// once per setting.
class OperatorPolicy : public core::Policy {
  public:
    /// The source text of the built-in policy.
    static std::string_view defaults() { return built_in_policy(); }
    /// The problems of a policy file's text; empty if it is valid.
    static std::vector<policy::Problem> check(std::string_view file);

    /// Uses the settings of a policy file's text, and the built-in ones for the rest. A text in
    /// which check() finds problems is ignored.
    explicit OperatorPolicy(std::string_view file = "");

    /// Evaluates the settings `score_image` to `score_price` for a job, in points.
    core::Weights weights(const core::JobFacts& job) override;
    /// Evaluates the setting `starving_after`, in seconds.
    double starvation_threshold_s(const core::JobFacts& job) override;
    /// Evaluates the setting `order`, in seconds.
    double order_s(const core::JobFacts& job) override;
    /// Evaluates the setting `rent_patience`, in seconds.
    double provision_wait_s(const core::JobFacts& job) override;
    /// Evaluates the setting `dear_patience`, in seconds; at least provision_wait_s().
    double on_demand_wait_s(const core::JobFacts& job) override;
    /// Evaluates the setting `retry_after`, in seconds.
    double retry_delay_s(const core::JobFacts& job) override;
    /// Evaluates the setting `idle_keep`, in seconds.
    double idle_retention_s(const core::MachineFacts& machine,
                            const core::FleetFacts& fleet) override;
    /// Evaluates the setting `silent_patience`, in seconds.
    double heartbeat_timeout_s(const core::FleetFacts& fleet) override;
    /// Evaluates the setting `spare_machines`.
    double spare_machines(const core::FleetFacts& fleet) override;
    /// Evaluates the setting `warm_for`, in seconds.
    double warm_capacity_s(const core::FleetFacts& fleet) override;
    /// The values rejected since the last call. Each setting is reported only once.
    std::vector<events::PolicyValueRejected> take_rejected_values() override;

  private:
    struct CompiledSetting {
        policy::Program built_in;
        policy::Program configured;  // from the operators' file
        bool is_configured = false;
        bool rejection_reported = false;
    };
    template <typename Facts>
    double evaluate_for(PolicySetting setting, const Facts& facts);
    double evaluate(PolicySetting setting);  // uses variables_

    std::vector<CompiledSetting> settings_;  // in the order of PolicySetting
    std::vector<policy::Value> variables_;   // of the current evaluation; kept to reuse its memory
    std::vector<events::PolicyValueRejected> rejected_values_;
};

}  // namespace lichendrift::control
