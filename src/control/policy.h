#pragma once

#include <array>
#include <map>
#include <memory>
#include <set>

#include "core/policy.h"
#include "policy/language.h"

namespace lichendrift::control {

// The operators' settings: what each is called, its type, its range and what it may look at.
class OperatorPolicy : public core::Policy {
  public:
    // The built-in policy, in the language itself.
    static std::string_view defaults();
    static const std::vector<policy::Setting>& settings();

    // What a file says, the built-in policy for the rest. The file was checked before.
    explicit OperatorPolicy(std::string_view file = "");
    // All that is wrong with a file; empty if nothing is.
    static std::vector<policy::Problem> check(std::string_view file);

    core::Weights weights(const core::JobFacts& job) override;
    double starvation_threshold_s(const core::JobFacts& job) override;
    double order_s(const core::JobFacts& job) override;
    double provision_patience_s(const core::JobFacts& job) override;
    double on_demand_patience_s(const core::JobFacts& job) override;
    double retry_s(const core::JobFacts& job) override;
    double idle_keep_s(const core::MachineFacts& machine, const core::FleetFacts& fleet) override;
    double silent_s(const core::FleetFacts& fleet) override;
    double spare_machines(const core::FleetFacts& fleet) override;
    double warm_capacity_s(const core::FleetFacts& fleet) override;
    std::vector<events::PolicyValueRejected> take_rejected_values() override;

  private:
    struct Entry {
        policy::Program program;   // the operator's, or none
        policy::Program standard;  // the built-in one
        bool own = false;
        bool reported = false;
    };
    double evaluate(std::size_t setting, const std::vector<policy::Value>& variables);
    const std::vector<policy::Value>& of(const core::JobFacts& job);
    const std::vector<policy::Value>& of(const core::FleetFacts& fleet);

    std::vector<Entry> entries_;
    std::vector<policy::Value> values_;
    std::vector<events::PolicyValueRejected> rejected_values_;
};

}  // namespace lichendrift::control
