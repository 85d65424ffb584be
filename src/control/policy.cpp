// The operators' policy: what a policy file decides, the built-in policy for the rest.
#include "control/policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lichendrift::control {

namespace {

bool within(const PolicyRange& range, double value) {
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
    auto own = policy::compile(file, policy_settings());
    if (!own) return;
    for (auto& assignment : *own) {
        settings_[assignment.setting].own = std::move(assignment.program);
        settings_[assignment.setting].has_own = true;
    }
}

double OperatorPolicy::evaluate(PolicySetting setting) {
    const auto index = static_cast<std::size_t>(setting);
    auto& compiled = settings_[index];
    const auto range = policy_range(setting);
    if (compiled.has_own) {
        const auto value = compiled.own.evaluate(variables_).number;
        if (within(range, value)) return value;
        if (!compiled.rejection_reported) {
            compiled.rejection_reported = true;
            rejected_values_.push_back({std::string(policy_settings()[index].name),
                                        compiled.own.source(), value, range.minimum,
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
    return evaluate_for(PolicySetting::StarvingAfter, job);
}

double OperatorPolicy::order_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::Order, job);
}

double OperatorPolicy::retry_delay_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::RetryAfter, job);
}

double OperatorPolicy::provision_wait_s(const core::JobFacts& job) {
    return evaluate_for(PolicySetting::ProvisionPatience, job);
}

double OperatorPolicy::on_demand_wait_s(const core::JobFacts& job) {
    const auto provision_patience = provision_wait_s(job);
    append_provision_patience(variables_, provision_patience);
    return std::max(provision_patience, evaluate(PolicySetting::OnDemandPatience));
}

double OperatorPolicy::idle_retention_s(const core::MachineFacts& machine,
                                        const core::FleetFacts& fleet) {
    variables_.clear();
    append_variables(variables_, fleet);
    append_variables(variables_, machine);
    return evaluate(PolicySetting::IdleKeep);
}

double OperatorPolicy::heartbeat_timeout_s(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::SilentPatience, fleet);
}

double OperatorPolicy::spare_machines(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::SpareMachines, fleet);
}

double OperatorPolicy::warm_capacity_s(const core::FleetFacts& fleet) {
    return evaluate_for(PolicySetting::WarmFor, fleet);
}

std::vector<events::PolicyValueRejected> OperatorPolicy::take_rejected_values() {
    return std::exchange(rejected_values_, {});
}

}  // namespace lichendrift::control
