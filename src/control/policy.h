// The operators' policy: what a policy file decides, the built-in policy for the rest.
#pragma once

#include <string_view>
#include <vector>

#include "control/policy_settings.h"
#include "core/policy.h"
#include "policy/language.h"

namespace lichendrift::control {

/// The core's policy, evaluated from the operators' settings. A value that is not finite or out
/// of its setting's range is replaced by the built-in policy's and reported once for the setting.
class OperatorPolicy : public core::Policy {
  public:
    /// The built-in policy as source text.
    static std::string_view defaults() { return built_in_policy(); }
    /// All problems of a policy file; empty if it is valid.
    static std::vector<policy::Problem> check(std::string_view file);

    /// Uses the settings of a file that check() found valid; the built-in ones for the rest.
    explicit OperatorPolicy(std::string_view file = "");

    /// The settings `score_...` of a job.
    core::Weights weights(const core::JobFacts& job) override;
    /// The setting `starving_after`, in seconds.
    double starvation_threshold_s(const core::JobFacts& job) override;
    /// The setting `order`, in seconds.
    double order_s(const core::JobFacts& job) override;
    /// The setting `rent_patience`, in seconds.
    double provision_wait_s(const core::JobFacts& job) override;
    /// The setting `dear_patience`, at least provision_wait_s(), in seconds.
    double on_demand_wait_s(const core::JobFacts& job) override;
    /// The setting `retry_after`, in seconds.
    double retry_delay_s(const core::JobFacts& job) override;
    /// The setting `idle_keep`, in seconds.
    double idle_retention_s(const core::MachineFacts& machine,
                            const core::FleetFacts& fleet) override;
    /// The setting `silent_patience`, in seconds.
    double heartbeat_timeout_s(const core::FleetFacts& fleet) override;
    /// The setting `spare_machines`.
    double spare_machines(const core::FleetFacts& fleet) override;
    /// The setting `warm_for`, in seconds.
    double warm_capacity_s(const core::FleetFacts& fleet) override;
    /// The settings that fell back since the last call, each reported once.
    std::vector<events::PolicyValueRejected> take_rejected_values() override;

  private:
    struct CompiledSetting {
        policy::Program built_in;
        policy::Program own;  // of the operators' file
        bool has_own = false;
        bool rejection_reported = false;
    };
    template <typename Facts>
    double evaluate_for(PolicySetting setting, const Facts& facts);
    double evaluate(PolicySetting setting);  // with variables_

    std::vector<CompiledSetting> settings_;  // in the order of PolicySetting
    std::vector<policy::Value> variables_;   // of the evaluation under way; kept for its memory
    std::vector<events::PolicyValueRejected> rejected_values_;
};

}  // namespace lichendrift::control
