// The operators' policy: the settings of a policy file, or the built-in ones where it sets none.
#include "control/policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lichendrift::control {

namespace {

bool is_in_range(const PolicyRange& range, double value) {
    return std::isfinite(value) && value >= range.minimum && value <= range.maximum;
}

}  // namespace

std::vector<policy::Problem> OperatorPolicy::check(std::string_view file) {
    auto compiled = policy::compile(file, policy_settings());
    return compiled ? std::vector<policy::Problem>{} : std::move(compiled.error());
}

OperatorPolicy::OperatorPolicy(std::string_view file) : settings_(policy_settings().size()) {
    auto built_in = policy::compile(built_in_policy(), policy_settings());
    for (auto& assignment : built_in.value()) {
        settings_[assignment.setting].built_in = std::move(assignment.program);
    }
    auto configured = policy::compile(file, policy_settings());
    if (!configured) return;
    for (auto& assignment : *configured) {
        settings_[assignment.setting].configured = std::move(assignment.program);
        settings_[assignment.setting].is_configured = true;
    }
}

double OperatorPolicy::evaluate(PolicySetting setting) {
    const auto index = static_cast<std::size_t>(setting);
    auto& compiled = settings_[index];
    const auto range = policy_range(setting);
    if (compiled.is_configured) {
        const auto value = compiled.configured.evaluate(variables_).number;
        if (is_in_range(range, value)) return value;
        if (!compiled.rejection_reported) {
            compiled.rejection_reported = true;
            rejected_values_.push_back({std::string(policy_settings()[index].name),
                                        compiled.configured.source(), value, range.minimum,
                                        range.maximum});
        }
    }
    return std::clamp(compiled.built_in.evaluate(variables_).number, range.minimum, range.maximum);
}

template <typename Facts>
double OperatorPolicy::evaluate_for(PolicySetting setting, const Facts& facts) {
    variables_.clear();
    append_variables(variables_, facts);
    return evaluate(setting);
}

core::Weights OperatorPolicy::weights(const core::JobFacts& job) {
    variables_.clear();
    append_variables(variables_, job);
    return {evaluate(PolicySetting::ScoreImage), evaluate(PolicySetting::ScoreFetching),
            evaluate(PolicySetting::ScoreFetch), evaluate(PolicySetting::ScoreWarm),
            evaluate(PolicySetting::ScoreFit),   evaluate(PolicySetting::ScorePrice)};
}

double OperatorPolicy::starvation_threshold_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::StarvationThreshold, job);
}

double OperatorPolicy::order_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::Order, job);
}

double OperatorPolicy::retry_delay_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::RetryDelay, job);
}

double OperatorPolicy::provision_wait_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::ProvisionWait, job);
}

double OperatorPolicy::on_demand_wait_s(const core::JobFacts& job) {
    const auto wait_s = provision_wait_s(job);
    append_provision_wait(variables_, wait_s);
    return std::max(wait_s, evaluate(PolicySetting::OnDemandWait));
}

double OperatorPolicy::idle_retention_s(const core::MachineFacts& machine,
                                        const core::FleetFacts& fleet) {
    variables_.clear();
    append_variables(variables_, fleet);
    append_variables(variables_, machine);
    return evaluate(PolicySetting::IdleRetention);
}

double OperatorPolicy::heartbeat_timeout_s(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::HeartbeatTimeout, fleet);
}

double OperatorPolicy::spare_machines(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::SpareMachines, fleet);
}

double OperatorPolicy::warm_capacity_s(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::WarmCapacity, fleet);
}

std::vector<events::PolicyValueRejected> OperatorPolicy::take_rejected_values() {
    return std::exchange(rejected_values_, {});
}

}  // namespace lichendrift::control
