// The settings of the operators' policy: name, type, range and variables of each.
#include "control/policy_settings.h"

#include <array>

namespace lichendrift::control {

namespace {

using policy::Type;
using policy::Value;

constexpr std::string_view kBuiltInPolicy =
    R"(# The built-in policy of lichendrift. To change it, copy it to a file, edit the lines
# concerned and pass it with --policy FILE. Settings that are left out keep their built-in value.
# `lichendrift policy check FILE` reports errors in the file.

# Score of a machine for a task. Among the machines that fit, the one with the highest score wins.
score_image    = 4      # added if the machine has the image
score_fetching = 2      # added if the machine is fetching the image
score_fetch    = 0.15   # subtracted per second of fetching, for classes with a start objective
score_warm     = 1.5    # subtracted for other classes if the machine has an image of such a class
score_fit      = 3      # subtracted times the share of the machine that would stay free
score_price    = 1.5    # subtracted times the price, as a share of the highest price

# Sort key among jobs of equal guarantee and priority; the smallest goes first.
order = job.slack

# Waiting time after which a job counts as starved: it goes first among jobs of equal guarantee and
# priority, and machines are reserved for it.
starving_after = if job.gang then 1min else 2min

# Backoff of a job that failed on several machines, before it is retried.
retry_after = min(1s * 2 ^ job.failures, 30s)

# If capacity is expected to become free within this time, no machine is provisioned for the job;
# dear_patience applies to on-demand machines.
rent_patience = clamp(job.slack * 0.5, 3s, 20s)
dear_patience = clamp(job.slack * 0.6, job.rent_patience, 1min)

# Machines.
# idle_keep: time after which an idle machine is released.
# spare_machines: number of idle machines that are kept beyond that time.
# warm_for: seconds of expected arrivals, of classes with a start objective, for which capacity is
# kept free.
# silent_patience: time without a heartbeat after which a machine counts as silent. It covers a lost
# heartbeat, 4 s of waiting for its answer and 1 s until the worker tries the next controller.
idle_keep       = if machine.spot then 45s else 10s
spare_machines  = 1
warm_for        = 20s
silent_patience = fleet.report * 1.25 + 6.5s
)";

Value text(std::string_view value) { return {Type::String, 0, value}; }
Value flag(bool value) { return {Type::Boolean, value ? 1.0 : 0.0, {}}; }
Value number(double value) { return {Type::Number, value, {}}; }
Value seconds(double value) { return {Type::Duration, value, {}}; }

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

// A policy variable and the function that reads its value from the facts.
template <typename Facts>
struct FactVariable {
    policy::Variable variable;
    Value (*value)(const Facts&);
};

using core::FleetFacts;
using core::JobFacts;
using core::MachineFacts;

constexpr std::array kJobVariables = {
    FactVariable<JobFacts>{{"job.class", Type::String, "class of the job"},
                           [](const JobFacts& job) { return text(job.cls); }},
    FactVariable<JobFacts>{{"job.team", Type::String, "team of the job"},
                           [](const JobFacts& job) { return text(job.team); }},
    FactVariable<JobFacts>{{"job.priority", Type::String, "low, normal, high or critical"},
                           [](const JobFacts& job) { return text(priority_name(job.priority)); }},
    FactVariable<JobFacts>{{"job.gang", Type::Boolean, "gang scheduling: all tasks run, or none"},
                           [](const JobFacts& job) { return flag(job.gang); }},
    FactVariable<JobFacts>{{"job.service", Type::Boolean, "its tasks run until it is cancelled"},
                           [](const JobFacts& job) { return flag(job.service); }},
    FactVariable<JobFacts>{{"job.starts_soon", Type::Boolean, "its class has a start objective"},
                           [](const JobFacts& job) { return flag(job.has_start_objective); }},
    FactVariable<JobFacts>{{"job.spot", Type::Boolean, "may run on spot machines"},
                           [](const JobFacts& job) { return flag(job.spot); }},
    FactVariable<JobFacts>{{"job.guaranteed", Type::Boolean, "within its team's guarantee"},
                           [](const JobFacts& job) { return flag(job.guaranteed); }},
    FactVariable<JobFacts>{{"job.tasks", Type::Number, "number of its tasks"},
                           [](const JobFacts& job) { return number(job.tasks); }},
    FactVariable<JobFacts>{{"job.waiting", Type::Number, "number of its tasks that wait"},
                           [](const JobFacts& job) { return number(job.waiting); }},
    FactVariable<JobFacts>{{"job.failures", Type::Number, "failures since its last success"},
                           [](const JobFacts& job) { return number(job.failures); }},
    FactVariable<JobFacts>{{"job.estimate", Type::Duration, "estimated run time of a task"},
                           [](const JobFacts& job) { return seconds(job.estimate_s); }},
    FactVariable<JobFacts>{
        {"job.checkpoint", Type::Duration, "time between checkpoints; 0s: it saves none"},
        [](const JobFacts& job) { return seconds(job.checkpoint_s); }},
    FactVariable<JobFacts>{
        {"job.slack", Type::Duration, "time until the next attainable objective is missed"},
        [](const JobFacts& job) { return seconds(job.slack_s); }},
    FactVariable<JobFacts>{{"job.waited", Type::Duration, "time that it has been waiting"},
                           [](const JobFacts& job) { return seconds(job.waited_s); }},
    FactVariable<JobFacts>{{"job.age", Type::Duration, "time since its submission"},
                           [](const JobFacts& job) { return seconds(job.age_s); }},
};

constexpr policy::Variable kProvisionWaitVariable = {"job.rent_patience", Type::Duration,
                                                     "value of rent_patience for this job"};

constexpr std::array kFleetVariables = {
    FactVariable<FleetFacts>{{"fleet.machines", Type::Number, "machines that are up"},
                             [](const FleetFacts& fleet) { return number(fleet.machines); }},
    FactVariable<FleetFacts>{{"fleet.idle", Type::Number, "machines that are up and run no task"},
                             [](const FleetFacts& fleet) { return number(fleet.idle); }},
    FactVariable<FleetFacts>{
        {"fleet.booting", Type::Number, "machines that are provisioned but not up yet"},
        [](const FleetFacts& fleet) { return number(fleet.booting); }},
    FactVariable<FleetFacts>{{"fleet.waiting", Type::Number, "jobs with tasks that wait"},
                             [](const FleetFacts& fleet) { return number(fleet.waiting); }},
    FactVariable<FleetFacts>{
        {"fleet.report", Type::Duration, "interval between the heartbeats of a worker"},
        [](const FleetFacts& fleet) { return seconds(fleet.heartbeat_interval_s); }},
    FactVariable<FleetFacts>{{"fleet.lease", Type::Duration, "duration of a worker's lease"},
                             [](const FleetFacts& fleet) { return seconds(fleet.lease_s); }},
};

constexpr std::array kMachineVariables = {
    FactVariable<MachineFacts>{{"machine.type", Type::String, "machine type"},
                               [](const MachineFacts& machine) { return text(machine.type); }},
    FactVariable<MachineFacts>{{"machine.zone", Type::String, "zone of the machine"},
                               [](const MachineFacts& machine) { return text(machine.zone); }},
    FactVariable<MachineFacts>{
        {"machine.spot", Type::Boolean, "spot machine, which the cloud may reclaim"},
        [](const MachineFacts& machine) { return flag(machine.spot); }},
    FactVariable<MachineFacts>{{"machine.hourly", Type::Number, "price per hour"},
                               [](const MachineFacts& machine) { return number(machine.hourly); }},
    FactVariable<MachineFacts>{{"machine.age", Type::Duration, "time since it was provisioned"},
                               [](const MachineFacts& machine) { return seconds(machine.age_s); }},
};

// The variables that the expression of a setting may use.
enum class Scope : std::uint8_t {
    Job,                   // job.*
    JobWithProvisionWait,  // job.*, with job.rent_patience
    Fleet,                 // fleet.*
    Machine,               // fleet.* and machine.*
};

struct SettingRow {
    PolicySetting id;
    std::string_view name;  // in policy files
    Type type;
    PolicyRange range;
    Scope scope;
};

constexpr PolicyRange kScoreRange = {0, 1000};
constexpr PolicyRange kWaitRange = {0, 3600};
constexpr PolicyRange kOrderRange = {-1e9, 1e9};
// Requirement on the service: the largest jobs have to begin within four minutes.
constexpr PolicyRange kStarvationRange = {5, 150};
// Requirement on the service: no job may wait for 90 s while capacity that fits it is free. The
// backoff and the image fetch of the retry have to fit into that time.
constexpr PolicyRange kRetryRange = {0.5, 60};
constexpr PolicyRange kSpareMachinesRange = {0, 10000};
constexpr PolicyRange kWarmCapacityRange = {0, 600};
constexpr PolicyRange kHeartbeatTimeoutRange = {2, 600};

constexpr std::array kSettings = {
    SettingRow{PolicySetting::ScoreImage, "score_image", Type::Number, kScoreRange, Scope::Job},
    SettingRow{PolicySetting::ScoreFetching, "score_fetching", Type::Number, kScoreRange,
               Scope::Job},
    SettingRow{PolicySetting::ScoreFetch, "score_fetch", Type::Number, kScoreRange, Scope::Job},
    SettingRow{PolicySetting::ScoreWarm, "score_warm", Type::Number, kScoreRange, Scope::Job},
    SettingRow{PolicySetting::ScoreFit, "score_fit", Type::Number, kScoreRange, Scope::Job},
    SettingRow{PolicySetting::ScorePrice, "score_price", Type::Number, kScoreRange, Scope::Job},
    SettingRow{PolicySetting::Order, "order", Type::Duration, kOrderRange, Scope::Job},
    SettingRow{PolicySetting::StarvationThreshold, "starving_after", Type::Duration,
               kStarvationRange, Scope::Job},
    SettingRow{PolicySetting::RetryDelay, "retry_after", Type::Duration, kRetryRange, Scope::Job},
    SettingRow{PolicySetting::ProvisionWait, "rent_patience", Type::Duration, kWaitRange,
               Scope::Job},
    SettingRow{PolicySetting::OnDemandWait, "dear_patience", Type::Duration, kWaitRange,
               Scope::JobWithProvisionWait},
    SettingRow{PolicySetting::IdleRetention, "idle_keep", Type::Duration, kWaitRange,
               Scope::Machine},
    SettingRow{PolicySetting::SpareMachines, "spare_machines", Type::Number, kSpareMachinesRange,
               Scope::Fleet},
    SettingRow{PolicySetting::WarmCapacity, "warm_for", Type::Duration, kWarmCapacityRange,
               Scope::Fleet},
    SettingRow{PolicySetting::HeartbeatTimeout, "silent_patience", Type::Duration,
               kHeartbeatTimeoutRange, Scope::Fleet},
};

constexpr bool rows_match_enum_order() {
    for (std::size_t i = 0; i < kSettings.size(); ++i) {
        if (static_cast<std::size_t>(kSettings[i].id) != i) return false;
    }
    return true;
}
static_assert(rows_match_enum_order());

template <typename Table>
void append_declarations(std::vector<policy::Variable>& out, const Table& table) {
    for (const auto& entry : table) out.push_back(entry.variable);
}

template <typename Table, typename Facts>
void append_values(std::vector<Value>& out, const Table& table, const Facts& facts) {
    for (const auto& entry : table) out.push_back(entry.value(facts));
}

std::vector<policy::Variable> variables_of(Scope scope) {
    std::vector<policy::Variable> out;
    switch (scope) {
        case Scope::Job:
            append_declarations(out, kJobVariables);
            break;
        case Scope::JobWithProvisionWait:
            append_declarations(out, kJobVariables);
            out.push_back(kProvisionWaitVariable);
            break;
        case Scope::Fleet:
            append_declarations(out, kFleetVariables);
            break;
        case Scope::Machine:
            append_declarations(out, kFleetVariables);
            append_declarations(out, kMachineVariables);
            break;
    }
    return out;
}

}  // namespace

std::string_view built_in_policy() { return kBuiltInPolicy; }

const std::vector<policy::Setting>& policy_settings() {
    static const std::vector<policy::Setting> list = [] {
        std::vector<policy::Setting> settings;
        settings.reserve(kSettings.size());
        for (const auto& row : kSettings) {
            settings.push_back({row.name, row.type, variables_of(row.scope)});
        }
        return settings;
    }();
    return list;
}

PolicyRange policy_range(PolicySetting setting) {
    return kSettings[static_cast<std::size_t>(setting)].range;
}

void append_variables(std::vector<Value>& out, const JobFacts& job) {
    append_values(out, kJobVariables, job);
}

void append_variables(std::vector<Value>& out, const FleetFacts& fleet) {
    append_values(out, kFleetVariables, fleet);
}

void append_variables(std::vector<Value>& out, const MachineFacts& machine) {
    append_values(out, kMachineVariables, machine);
}

void append_provision_wait(std::vector<Value>& out, double wait_s) {
    out.push_back(seconds(wait_s));
}

}  // namespace lichendrift::control
