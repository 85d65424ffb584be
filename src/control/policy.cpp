#include "control/policy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lichendrift::control {

namespace {

using policy::Type;
using policy::Value;
using policy::Variable;

constexpr std::string_view kDefaults =
    R"(# The built-in policy of lichendrift. Copy it, change lines, leave out what should stay as it is,
# and hand it over with --policy FILE. `lichendrift policy check FILE` says what is wrong with it.

# The score of a machine for a task; the highest wins among those that fit.
score_image    = 4      # its image is there
score_fetching = 2      # its image is being fetched there
score_fetch    = 0.15   # taken off for each second of fetching, for classes that should start soon
score_warm     = 1.5    # taken off beside the image of such a class, for the others
score_fit      = 3      # for the tightest fit
score_price    = 1.5    # taken off for the dearest machine

# Among jobs of equal guarantee and priority: the smallest goes first.
order = job.slack

# How long a job waits before it goes first among its equals and claims room.
starving_after = if job.gang then 1min else 2min

# How long a job that failed on several machines waits before the next try.
retry_after = min(1s * 2 ^ job.failures, 30s)

# A place that comes free that soon needs no new machine; no new ordinary one.
rent_patience = clamp(job.slack * 0.5, 3s, 20s)
dear_patience = clamp(job.slack * 0.6, job.rent_patience, 1min)

# Machines: how long idle ones are kept, how many are kept beyond that, for how many seconds of
# arrivals of classes that should start soon places are kept free, and how long a silent one is
# waited for (a report lost, four seconds for its answer, a second to the next node).
idle_keep       = if machine.spot then 45s else 10s
spare_machines  = 1
warm_for        = 20s
silent_patience = fleet.report * 1.25 + 6.5s
)";

const std::vector<Variable>& job_variables() {
    static const std::vector<Variable> list = {
        {"job.class", Type::Text, "its class"},
        {"job.team", Type::Text, "its team"},
        {"job.priority", Type::Text, "low, normal, high or critical"},
        {"job.gang", Type::Boolean, "all its tasks run at once"},
        {"job.service", Type::Boolean, "its tasks run until it is cancelled"},
        {"job.starts_soon", Type::Boolean, "its class has an aim on starting"},
        {"job.spot", Type::Boolean, "it may use spot machines"},
        {"job.guaranteed", Type::Boolean, "it fits into its team's guarantee"},
        {"job.tasks", Type::Number, "how many tasks it has"},
        {"job.waiting", Type::Number, "how many of them wait"},
        {"job.failures", Type::Number, "failed tries since its last success"},
        {"job.estimate", Type::Duration, "its owner's estimate of a task's run"},
        {"job.checkpoint", Type::Duration, "between its checkpoints; 0s: none"},
        {"job.slack", Type::Duration, "until the next aim it can meet is lost"},
        {"job.waited", Type::Duration, "since it waits"},
        {"job.age", Type::Duration, "since its submission"},
    };
    return list;
}

const std::vector<Variable>& on_demand_variables() {
    static const std::vector<Variable> list = [] {
        auto all = job_variables();
        all.push_back({"job.rent_patience", Type::Duration, "what rent_patience gives for it"});
        return all;
    }();
    return list;
}

const std::vector<Variable>& fleet_variables() {
    static const std::vector<Variable> list = {
        {"fleet.machines", Type::Number, "machines that are up"},
        {"fleet.idle", Type::Number, "of them, without any task"},
        {"fleet.booting", Type::Number, "rented and not up yet"},
        {"fleet.waiting", Type::Number, "jobs with tasks that wait"},
        {"fleet.report", Type::Duration, "between two reports of a worker"},
        {"fleet.lease", Type::Duration, "a worker's lease"},
    };
    return list;
}

const std::vector<Variable>& machine_variables() {
    static const std::vector<Variable> list = [] {
        auto all = fleet_variables();
        all.push_back({"machine.type", Type::Text, "its type"});
        all.push_back({"machine.zone", Type::Text, "its zone"});
        all.push_back({"machine.spot", Type::Boolean, "the cloud may take it back"});
        all.push_back({"machine.hourly", Type::Number, "its price an hour"});
        all.push_back({"machine.age", Type::Duration, "since it was rented"});
        return all;
    }();
    return list;
}

enum Which : std::size_t {
    kImage,
    kFetching,
    kFetch,
    kWarm,
    kFit,
    kPrice,
    kOrder,
    kStarving,
    kRetry,
    kProvisionPatience,
    kOnDemandPatience,
    kIdleKeep,
    kSpare,
    kWarmFor,
    kSilent,
};

struct Range {
    double minimum;
    double maximum;
};
constexpr std::array<Range, 15> kRanges = {
    {{0, 1000},
     {0, 1000},
     {0, 1000},
     {0, 1000},
     {0, 1000},
     {0, 1000},
     {-1e9, 1e9},
     // The largest have to begin within four minutes.
     {5, 150},
     // A try with its fetch has to come within the 90 s for which nothing may wait beside capacity.
     {0.5, 60},
     {0, 3600},
     {0, 3600},
     {0, 3600},
     {0, 10000},
     {0, 600},
     {2, 600}}};

std::string_view priority_name(core::Priority priority) {
    switch (priority) {
        case core::Priority::Low:
            return "low";
        case core::Priority::Normal:
            return "normal";
        case core::Priority::High:
            return "high";
        case core::Priority::Critical:
            return "critical";
    }
    return "";
}

Value text(std::string_view v) { return {Type::Text, 0, v}; }
Value flag(bool v) { return {Type::Boolean, v ? 1.0 : 0.0, {}}; }
Value number(double v) { return {Type::Number, v, {}}; }
Value seconds(double v) { return {Type::Duration, v, {}}; }

}  // namespace

std::string_view OperatorPolicy::defaults() { return kDefaults; }

const std::vector<policy::Setting>& OperatorPolicy::settings() {
    static const std::vector<policy::Setting> list = {
        {"score_image", Type::Number, job_variables()},
        {"score_fetching", Type::Number, job_variables()},
        {"score_fetch", Type::Number, job_variables()},
        {"score_warm", Type::Number, job_variables()},
        {"score_fit", Type::Number, job_variables()},
        {"score_price", Type::Number, job_variables()},
        {"order", Type::Duration, job_variables()},
        {"starving_after", Type::Duration, job_variables()},
        {"retry_after", Type::Duration, job_variables()},
        {"rent_patience", Type::Duration, job_variables()},
        {"dear_patience", Type::Duration, on_demand_variables()},
        {"idle_keep", Type::Duration, machine_variables()},
        {"spare_machines", Type::Number, fleet_variables()},
        {"warm_for", Type::Duration, fleet_variables()},
        {"silent_patience", Type::Duration, fleet_variables()},
    };
    return list;
}

std::vector<policy::Problem> OperatorPolicy::check(std::string_view file) {
    auto compiled = policy::compile(file, settings());
    auto* problems = std::get_if<std::vector<policy::Problem>>(&compiled);
    return problems == nullptr ? std::vector<policy::Problem>{} : std::move(*problems);
}

OperatorPolicy::OperatorPolicy(std::string_view file) : entries_(settings().size()) {
    auto standard = policy::compile(kDefaults, settings());
    for (auto& a : std::get<std::vector<policy::Assignment>>(standard)) {
        entries_[a.setting].standard = std::move(a.program);
    }
    auto own = policy::compile(file, settings());
    if (auto* list = std::get_if<std::vector<policy::Assignment>>(&own)) {
        for (auto& a : *list) {
            entries_[a.setting].program = std::move(a.program);
            entries_[a.setting].own = true;
        }
    }
}

double OperatorPolicy::evaluate(std::size_t setting, const std::vector<Value>& variables) {
    Entry& entry = entries_[setting];
    const auto minimum = kRanges[setting].minimum;
    const auto maximum = kRanges[setting].maximum;
    const auto fine = [&](double v) { return std::isfinite(v) && v >= minimum && v <= maximum; };
    if (entry.own) {
        const auto value = entry.program.evaluate(variables).number;
        if (fine(value)) return value;
        if (!entry.reported) {
            entry.reported = true;
            rejected_values_.push_back({std::string(settings()[setting].name),
                                        entry.program.source(), value, minimum, maximum});
        }
    }
    return std::clamp(entry.standard.evaluate(variables).number, minimum, maximum);
}

const std::vector<Value>& OperatorPolicy::of(const core::JobFacts& job) {
    values_.assign({text(job.cls), text(job.team), text(priority_name(job.priority)),
                    flag(job.gang), flag(job.service), flag(job.has_start_objective),
                    flag(job.spot), flag(job.guaranteed), number(job.tasks), number(job.waiting),
                    number(job.failures), seconds(job.estimate_s), seconds(job.checkpoint_s),
                    seconds(job.slack_s), seconds(job.waited_s), seconds(job.age_s)});
    return values_;
}

const std::vector<Value>& OperatorPolicy::of(const core::FleetFacts& fleet) {
    values_.assign({number(fleet.machines), number(fleet.idle), number(fleet.booting),
                    number(fleet.waiting), seconds(fleet.report_s), seconds(fleet.lease_s)});
    return values_;
}

core::Weights OperatorPolicy::weights(const core::JobFacts& job) {
    const auto& v = of(job);
    return {evaluate(kImage, v), evaluate(kFetching, v), evaluate(kFetch, v),
            evaluate(kWarm, v),  evaluate(kFit, v),      evaluate(kPrice, v)};
}

double OperatorPolicy::starvation_threshold_s(const core::JobFacts& job) {
    return evaluate(kStarving, of(job));
}
double OperatorPolicy::order_s(const core::JobFacts& job) { return evaluate(kOrder, of(job)); }
double OperatorPolicy::retry_s(const core::JobFacts& job) { return evaluate(kRetry, of(job)); }
double OperatorPolicy::provision_patience_s(const core::JobFacts& job) {
    return evaluate(kProvisionPatience, of(job));
}
double OperatorPolicy::on_demand_patience_s(const core::JobFacts& job) {
    const auto minimum = provision_patience_s(job);
    values_.push_back(seconds(minimum));
    return std::max(minimum, evaluate(kOnDemandPatience, values_));
}

double OperatorPolicy::idle_keep_s(const core::MachineFacts& machine,
                                   const core::FleetFacts& fleet) {
    of(fleet);
    values_.insert(values_.end(), {text(machine.type), text(machine.zone), flag(machine.spot),
                                   number(machine.hourly), seconds(machine.age_s)});
    return evaluate(kIdleKeep, values_);
}

double OperatorPolicy::silent_s(const core::FleetFacts& fleet) {
    return evaluate(kSilent, of(fleet));
}
double OperatorPolicy::spare_machines(const core::FleetFacts& fleet) {
    return evaluate(kSpare, of(fleet));
}
double OperatorPolicy::warm_capacity_s(const core::FleetFacts& fleet) {
    return evaluate(kWarmFor, of(fleet));
}

std::vector<events::PolicyValueRejected> OperatorPolicy::take_rejected_values() {
    return std::exchange(rejected_values_, {});
}

}  // namespace lichendrift::control
