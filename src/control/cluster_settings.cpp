// Converts the settings file into the settings of core::Cluster.
#include "control/cluster_settings.h"

#include <algorithm>
#include <memory>

#include "control/policy.h"

namespace lichendrift::control {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kBytesPerKilobyte = 1024;
// A placed task takes about 50 bytes of its record; the rest is a margin for long machine names.
constexpr double kRecordBytesPerTask = 80;
constexpr std::uint32_t kMinTasksPerRecord = 8;

core::Millis to_millis(double seconds) { return static_cast<core::Millis>(seconds * kMsPerSecond); }

std::vector<core::Objective> cluster_objectives(const std::vector<Objective>& objectives) {
    using Kind = core::Objective::Kind;
    std::vector<core::Objective> translated;
    for (const auto& objective : objectives) {
        const auto within_s = objective.within_s;
        if (objective.kind == "wait") {
            translated.push_back({Kind::Start, objective.cls, within_s});
        } else if (objective.kind == "finished") {
            translated.push_back({Kind::Finish, objective.cls, within_s});
        } else if (objective.kind == "guarantee") {
            translated.push_back({Kind::Guarantee, "", within_s});
        }
    }
    return translated;
}

// Must give the same result as the version in production: how a job's tasks are divided into
// placement records is part of the stored format.
std::uint32_t tasks_per_record(const Settings& settings) {
    auto kilobytes = settings.state_value_kb;
    if (!settings.guards.stable_layout && settings.guards.current_version) {
        kilobytes = settings.state_next.value_kb.value_or(kilobytes);
    }
    const auto tasks =
        static_cast<std::uint32_t>(kilobytes * kBytesPerKilobyte / kRecordBytesPerTask);
    return std::max(kMinTasksPerRecord, tasks);
}

}  // namespace

core::ClusterSettings cluster_settings(const Settings& settings, std::uint64_t token) {
    core::ClusterSettings translated;
    translated.teams = settings.teams;
    translated.token = token;
    translated.report_ms = to_millis(settings.report_s);
    translated.lease_ms = to_millis(settings.lease_s);
    translated.cancel_ms = to_millis(settings.cancel_s);
    translated.gang_peer_s = settings.gang_peer_s;
    translated.tasks_per_record = tasks_per_record(settings);
    translated.objectives = cluster_objectives(settings.objectives);
    translated.guards = settings.guards;
    translated.policy = std::make_shared<OperatorPolicy>(settings.policy);
    return translated;
}

}  // namespace lichendrift::control
