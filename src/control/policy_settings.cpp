// The settings of the operators' policy: names, types, ranges, and the variables of each.
#include "control/policy_settings.h"

#include <array>

namespace lichendrift::control {

namespace {

using policy::Type;
using policy::Value;

constexpr std::string_view kBuiltInPolicy =
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

Value text(std::string_view value) { return {Type::Text, 0, value}; }
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

// A variable, and how its value is taken from the facts.
template <typename Facts>
struct FactVariable {
    policy::Variable variable;
    Value (*value)(const Facts&);
};

using core::FleetFacts;
using core::JobFacts;
using core::MachineFacts;

constexpr std::array kJobVariables = {
    FactVariable<JobFacts>{{"job.class", Type::Text, "its class"},
                           [](const JobFacts& job) { return text(job.cls); }},
    FactVariable<JobFacts>{{"job.team", Type::Text, "its team"},
                           [](const JobFacts& job) { return text(job.team); }},
    FactVariable<JobFacts>{{"job.priority", Type::Text, "low, normal, high or critical"},
                           [](const JobFacts& job) { return text(priority_name(job.priority)); }},
    FactVariable<JobFacts>{{"job.gang", Type::Boolean, "all its tasks run at once"},
                           [](const JobFacts& job) { return flag(job.gang); }},
    FactVariable<JobFacts>{{"job.service", Type::Boolean, "its tasks run until it is cancelled"},
                           [](const JobFacts& job) { return flag(job.service); }},
    FactVariable<JobFacts>{
        {"job.starts_soon", Type::Boolean, "its class has an objective on starting"},
        [](const JobFacts& job) { return flag(job.has_start_objective); }},
    FactVariable<JobFacts>{{"job.spot", Type::Boolean, "it may use spot machines"},
                           [](const JobFacts& job) { return flag(job.spot); }},
    FactVariable<JobFacts>{{"job.guaranteed", Type::Boolean, "it fits into its team's guarantee"},
                           [](const JobFacts& job) { return flag(job.guaranteed); }},
    FactVariable<JobFacts>{{"job.tasks", Type::Number, "how many tasks it has"},
                           [](const JobFacts& job) { return number(job.tasks); }},
    FactVariable<JobFacts>{{"job.waiting", Type::Number, "how many of them wait"},
                           [](const JobFacts& job) { return number(job.waiting); }},
    FactVariable<JobFacts>{{"job.failures", Type::Number, "failed tries since its last success"},
                           [](const JobFacts& job) { return number(job.failures); }},
    FactVariable<JobFacts>{{"job.estimate", Type::Duration, "its owner's estimate of a task's run"},
                           [](const JobFacts& job) { return seconds(job.estimate_s); }},
    FactVariable<JobFacts>{{"job.checkpoint", Type::Duration, "between its checkpoints; 0s: none"},
                           [](const JobFacts& job) { return seconds(job.checkpoint_s); }},
    FactVariable<JobFacts>{
        {"job.slack", Type::Duration, "until the next objective it can meet is missed"},
        [](const JobFacts& job) { return seconds(job.slack_s); }},
    FactVariable<JobFacts>{{"job.waited", Type::Duration, "since it waits"},
                           [](const JobFacts& job) { return seconds(job.waited_s); }},
    FactVariable<JobFacts>{{"job.age", Type::Duration, "since its submission"},
                           [](const JobFacts& job) { return seconds(job.age_s); }},
};

constexpr policy::Variable kProvisionPatienceVariable = {"job.rent_patience", Type::Duration,
                                                         "what rent_patience gives for it"};

constexpr std::array kFleetVariables = {
    FactVariable<FleetFacts>{{"fleet.machines", Type::Number, "machines that are up"},
                             [](const FleetFacts& fleet) { return number(fleet.machines); }},
    FactVariable<FleetFacts>{{"fleet.idle", Type::Number, "of them, without any task"},
                             [](const FleetFacts& fleet) { return number(fleet.idle); }},
    FactVariable<FleetFacts>{{"fleet.booting", Type::Number, "provisioned and not up yet"},
                             [](const FleetFacts& fleet) { return number(fleet.booting); }},
    FactVariable<FleetFacts>{{"fleet.waiting", Type::Number, "jobs with tasks that wait"},
                             [](const FleetFacts& fleet) { return number(fleet.waiting); }},
    FactVariable<FleetFacts>{
        {"fleet.report", Type::Duration, "between two heartbeats of a worker"},
        [](const FleetFacts& fleet) { return seconds(fleet.heartbeat_interval_s); }},
    FactVariable<FleetFacts>{{"fleet.lease", Type::Duration, "a worker's lease"},
                             [](const FleetFacts& fleet) { return seconds(fleet.lease_s); }},
};

constexpr std::array kMachineVariables = {
    FactVariable<MachineFacts>{{"machine.type", Type::Text, "its type"},
                               [](const MachineFacts& machine) { return text(machine.type); }},
    FactVariable<MachineFacts>{{"machine.zone", Type::Text, "its zone"},
                               [](const MachineFacts& machine) { return text(machine.zone); }},
    FactVariable<MachineFacts>{{"machine.spot", Type::Boolean, "the cloud may take it back"},
                               [](const MachineFacts& machine) { return flag(machine.spot); }},
    FactVariable<MachineFacts>{{"machine.hourly", Type::Number, "its price an hour"},
                               [](const MachineFacts& machine) { return number(machine.hourly); }},
    FactVariable<MachineFacts>{{"machine.age", Type::Duration, "since it was provisioned"},
                               [](const MachineFacts& machine) { return seconds(machine.age_s); }},
};

// The variables that a setting may use.
enum class Scope : std::uint8_t {
    Job,               // job.*
    JobWithProvision,  // job.*, with job.rent_patience
    Fleet,             // fleet.*
    Machine,           // fleet.* and machine.*
};

struct SettingRow {
    PolicySetting id;
    std::string_view name;  // in policy files
    Type type;
    PolicyRange range;
    Scope scope;
};

constexpr PolicyRange kScore = {0, 1000};
constexpr PolicyRange kPatience = {0, 3600};
constexpr PolicyRange kAnyOrder = {-1e9, 1e9};
// The largest jobs have to begin within four minutes.
constexpr PolicyRange kStarvation = {5, 150};
// A try with its fetch has to come within the 90 s for which nothing may wait beside capacity.
constexpr PolicyRange kRetry = {0.5, 60};
constexpr PolicyRange kSpareMachines = {0, 10000};
constexpr PolicyRange kWarm = {0, 600};
constexpr PolicyRange kSilence = {2, 600};

constexpr std::array kSettings = {
    SettingRow{PolicySetting::ScoreImage, "score_image", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::ScoreFetching, "score_fetching", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::ScoreFetch, "score_fetch", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::ScoreWarm, "score_warm", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::ScoreFit, "score_fit", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::ScorePrice, "score_price", Type::Number, kScore, Scope::Job},
    SettingRow{PolicySetting::Order, "order", Type::Duration, kAnyOrder, Scope::Job},
    SettingRow{PolicySetting::StarvingAfter, "starving_after", Type::Duration, kStarvation,
               Scope::Job},
    SettingRow{PolicySetting::RetryAfter, "retry_after", Type::Duration, kRetry, Scope::Job},
    SettingRow{PolicySetting::ProvisionPatience, "rent_patience", Type::Duration, kPatience,
               Scope::Job},
    SettingRow{PolicySetting::OnDemandPatience, "dear_patience", Type::Duration, kPatience,
               Scope::JobWithProvision},
    SettingRow{PolicySetting::IdleKeep, "idle_keep", Type::Duration, kPatience, Scope::Machine},
    SettingRow{PolicySetting::SpareMachines, "spare_machines", Type::Number, kSpareMachines,
               Scope::Fleet},
    SettingRow{PolicySetting::WarmFor, "warm_for", Type::Duration, kWarm, Scope::Fleet},
    SettingRow{PolicySetting::SilentPatience, "silent_patience", Type::Duration, kSilence,
               Scope::Fleet},
};

constexpr bool in_order_of_ids() {
    for (std::size_t i = 0; i < kSettings.size(); ++i) {
        if (static_cast<std::size_t>(kSettings[i].id) != i) return false;
    }
    return true;
}
static_assert(in_order_of_ids());

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
        case Scope::JobWithProvision:
            append_declarations(out, kJobVariables);
            out.push_back(kProvisionPatienceVariable);
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

void append_provision_patience(std::vector<Value>& out, double patience_s) {
    out.push_back(seconds(patience_s));
}

}  // namespace lichendrift::control
