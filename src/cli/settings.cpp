// Reads and checks the platform's settings file, with one function for each section.
#include "cli/settings.h"

#include <cmath>
#include <set>

#include "cli/settings_table.h"
#include "cli/toml_file.h"

namespace lichendrift::cli {

namespace {

// Two keys are written in one transaction when the leader record and its token change, and when a
// job gets its terminal state.
constexpr std::size_t kMinNextOperations = 2;
// The transaction in which the version in production records the end of a job writes at least three
// keys: it removes open/ID, sets over/ID and removes a placement record. The limit may fall to
// kMinNextOperations later, because the current version can remove placement records separately.
constexpr std::size_t kMinOperations = 3;
// Connections to peers, the state service, the cloud, workers and users, and descriptors of the
// process itself.
constexpr std::size_t kMinConnections = 40;
constexpr double kMinRate = 1;         // requests per second to the state service
constexpr double kMinCloudRate = 0.1;  // requests per second to the cloud
constexpr double kMinValueKb = 1;
constexpr double kMinReportS = 0.05;
constexpr double kMinLeaseS = 0.1;
constexpr double kMinTimeS = 0.1;  // for gang_wait_s, gang_peer_s and cancel_s
constexpr double kMinMemoryMb = 1;
constexpr double kThousandths = 1000;

void report_duplicate(const SettingsTable& table, const char* key, const std::string& name) {
    table.report(key, "duplicate value '" + name + "'");
}

// ---- the top level ----

void read_identity(const SettingsTable& file, control::Settings& settings) {
    file.text("member", settings.member);
    file.text("location", settings.location);
    file.address("listen", settings.listen);
    file.address("peer_bind", settings.peer_bind);
}

void read_peers(const SettingsTable& file, control::Settings& settings) {
    std::set<std::string> members{settings.member};
    for (const auto& table : file.tables("siblings")) {
        control::Peer peer;
        table.text("member", peer.member);
        table.text("location", peer.location);
        table.address("peer_addr", peer.address);
        if (!members.insert(peer.member).second) report_duplicate(table, "member", peer.member);
        settings.peers.push_back(std::move(peer));
    }
}

void read_external(const SettingsTable& file, control::Settings& settings) {
    const auto table = file.table("external");
    if (!table) return;
    table->address("cloud", settings.cloud);
    table->address("state", settings.state);
}

// ---- [settings] ----

void read_size(const SettingsTable& table, control::Settings& settings) {
    const auto listed = settings.peers.size() + 1;  // this controller and its peers
    settings.size = listed;
    if (table.has("size")) table.count("size", settings.size);
    if (settings.size < listed) {
        table.report("size", "expected at least " + std::to_string(listed) +
                                 ", this controller and its siblings");
    }
}

core::Team read_team(const SettingsTable& table) {
    struct Amounts {
        double cpus = 0;
        double gpus = 0;
    };
    core::Team team;
    Amounts guarantee;
    Amounts limit;
    table.text("name", team.name);
    table.optional_number("cpus", 0, guarantee.cpus);
    table.optional_number("cpus_max", 0, limit.cpus);
    table.optional_number("gpus", 0, guarantee.gpus);
    table.optional_number("gpus_max", 0, limit.gpus);
    const auto require_within = [&](const char* key, double guaranteed, double max) {
        if (max > 0 && guaranteed > max) {
            table.report(key, "expected no more than the team's limit");
        }
    };
    require_within("cpus", guarantee.cpus, limit.cpus);
    require_within("gpus", guarantee.gpus, limit.gpus);
    const auto resources = [](const Amounts& amounts) {
        return core::Resources{std::llround(amounts.cpus * kThousandths),
                               std::llround(amounts.gpus * kThousandths), 0};
    };
    team.guarantee = resources(guarantee);
    team.limit = resources(limit);
    return team;
}

void read_teams(const SettingsTable& table, control::Settings& settings) {
    std::set<std::string> names;
    for (const auto& entry : table.tables("teams")) {
        auto team = read_team(entry);
        if (!names.insert(team.name).second) report_duplicate(entry, "name", team.name);
        settings.teams.push_back(std::move(team));
    }
}

void read_objectives(const SettingsTable& table, control::Settings& settings) {
    for (const auto& entry : table.tables("objectives")) {
        control::Objective objective;
        entry.text("kind", objective.kind);
        if (entry.has("class")) entry.text("class", objective.cls);
        entry.optional_number("within_s", 0, objective.within_s);
        entry.optional_number("share", 0, objective.share);
        entry.optional_number("times", 0, objective.times);
        settings.objectives.push_back(std::move(objective));
    }
}

void read_workers(const SettingsTable& table, control::Settings& settings) {
    const auto workers = table.table("workers");
    if (!workers) return;
    workers->number("report_s", kMinReportS, settings.report_s);
    workers->number("lease_s", kMinLeaseS, settings.lease_s);
    // If heartbeats are not more frequent than leases expire, a worker loses its lease and all its
    // tasks between any two heartbeats.
    if (settings.lease_s >= kMinLeaseS && settings.report_s >= settings.lease_s) {
        workers->report("lease_s", "expected more than report_s");
    }
    workers->number("gang_wait_s", kMinTimeS, settings.gang_wait_s);
    workers->number("gang_peer_s", kMinTimeS, settings.gang_peer_s);
    workers->number("cancel_s", kMinTimeS, settings.cancel_s);
}

// Limits that will apply later, without notice; each of them is optional.
void read_next_limits(const SettingsTable& next, control::NextStateLimits& limits) {
    next.optional_number("rps", kMinRate, limits.rps);
    next.optional_number("write_rps", kMinRate, limits.write_rps);
    next.optional_number("value_kb", kMinValueKb, limits.value_kb);
    if (!next.has("txn_ops")) return;
    std::size_t operations = 0;
    next.count("txn_ops", operations);
    if (operations < kMinNextOperations) {
        next.report("txn_ops",
                    "expected a whole number of at least " + std::to_string(kMinNextOperations));
    }
    limits.transaction_operations = operations;
}

void read_state(const SettingsTable& table, control::Settings& settings) {
    const auto state = table.table("state");
    if (!state) return;
    state->number("rps", kMinRate, settings.state_rps);
    state->number("write_rps", kMinRate, settings.state_write_rps);
    state->number("value_kb", kMinValueKb, settings.state_value_kb);
    state->count("txn_ops", settings.state_transaction_operations);
    if (settings.state_transaction_operations < kMinOperations) {
        state->report("txn_ops",
                      "expected a whole number of at least " + std::to_string(kMinOperations));
    }
    if (const auto next = state->optional_table("next")) {
        read_next_limits(*next, settings.state_next);
    }
}

void read_cloud(const SettingsTable& table, control::Settings& settings) {
    const auto cloud = table.table("cloud");
    if (!cloud) return;
    cloud->number("rps", kMinCloudRate, settings.cloud_rps);
    cloud->number("list_lag_s", 0, settings.cloud_list_lag_s);
}

void read_resources(const SettingsTable& table, control::Settings& settings) {
    const auto resources = table.optional_table("resources");
    if (!resources) return;
    resources->optional_number("core_share", 0, settings.core_share);
    resources->optional_number("mem_mb", kMinMemoryMb, settings.mem_mb);
    if (!resources->has("max_connections")) return;
    resources->count("max_connections", settings.max_connections);
    if (settings.max_connections < kMinConnections) {
        resources->report("max_connections",
                          "expected at least " + std::to_string(kMinConnections));
    }
}

void read_settings_table(const SettingsTable& table, control::Settings& settings) {
    read_size(table, settings);
    table.optional_number("skew_ms", 0, settings.skew_ms);
    table.names("zones", settings.zones);
    read_teams(table, settings);
    read_objectives(table, settings);
    read_workers(table, settings);
    read_state(table, settings);
    read_cloud(table, settings);
    read_resources(table, settings);
}

}  // namespace

tl::expected<control::Settings, Problems> load_settings(const std::string& path) {
    const auto parsed = parse_toml_file(path);
    if (!parsed) return tl::unexpected(parsed.error());
    Problems problems;
    control::Settings settings;
    const SettingsTable file(*parsed, problems);
    read_identity(file, settings);
    read_peers(file, settings);
    read_external(file, settings);
    if (!settings.listen.empty() && settings.listen == settings.peer_bind) {
        file.report("peer_bind", "expected an address different from listen");
    }
    if (const auto table = file.table("settings")) read_settings_table(*table, settings);
    if (!problems.empty()) return tl::unexpected(std::move(problems));
    return settings;
}

}  // namespace lichendrift::cli
