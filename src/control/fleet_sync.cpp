// Reads machine types and machines from the cloud; queues provisioning requests and releases.
#include "control/fleet_sync.h"

#include <algorithm>

namespace lichendrift::control {

namespace {

constexpr Millis kTypesRefreshIntervalMs = 20'000;
constexpr Millis kTypesRetryIntervalMs = 1000;  // while the types are not known
constexpr Millis kMinListIntervalMs = 3000;
constexpr double kMsPerSecond = 1000;
// Provisioning waits at most this long for the first list of machines.
constexpr Millis kMaxFirstListWaitMs = 6000;
constexpr Millis kProvisionIntervalMs = 700;
constexpr Millis kUnavailablePauseMs = 1500;
constexpr std::uint32_t kMaxProvisionCount = 50;  // the cloud API's limit for one request
constexpr std::size_t kMaxReleasesPerCall = 500;  // in one call of release_machines()

}  // namespace

FleetSync::FleetSync(Term& term, cloud::CloudClient& cloud, Callbacks callbacks)
    : term_(term),
      cloud_(cloud),
      callbacks_(std::move(callbacks)),
      duties_(std::make_shared<MachineDuties>(
          MachineDuties::Services{term.runtime, term.settings, term.store, cloud, term.host,
                                  static_cast<MachineDutiesListener&>(*this)},
          term.token, term.leader_revision)) {}

void FleetSync::start(const std::vector<core::MachineType>& known_types) {
    if (!known_types.empty()) {
        term_.cluster->with_lock([&](core::Cluster& cluster) { cluster.set_types(known_types); });
        types_known_ = true;
    }
    duties_->run_due_actions();
}

void FleetSync::on_failover_complete() {
    duties_->on_placement_records_loaded();
    failover_complete_at_ = term_.runtime.now();
}

bool FleetSync::inherited_releases_known() {
    if (duties_->inherited_intents_loaded()) return true;
    duties_->run_due_actions();
    return false;
}

void FleetSync::poll_if_due() {
    const auto now = term_.runtime.now();
    const auto types_interval = types_known_ ? kTypesRefreshIntervalMs : kTypesRetryIntervalMs;
    if (now - types_requested_at_ > types_interval) read_types();
    const auto list_lag_ms = static_cast<Millis>(term_.settings.cloud_list_lag_s * kMsPerSecond);
    if (now - list_requested_at_ > std::max(kMinListIntervalMs, list_lag_ms)) read_machine_list();
}

void FleetSync::read_types() {
    if (reading_types_) return;
    reading_types_ = true;
    types_requested_at_ = term_.runtime.now();
    cloud_.types(term_.callbacks.bind(
        [this](cloud::Result result, const std::vector<core::MachineType>& types) {
            on_types(result, types);
        }));
}

void FleetSync::on_types(cloud::Result result, const std::vector<core::MachineType>& types) {
    reading_types_ = false;
    if (result != cloud::Result::Ok) return;
    term_.cluster->with_lock([&](core::Cluster& cluster) { cluster.set_types(types); });
    types_known_ = true;
    term_.host.on_machine_types(types);
}

void FleetSync::read_machine_list() {
    if (reading_list_) return;
    reading_list_ = true;
    list_requested_at_ = term_.runtime.now();
    cloud_.list(term_.callbacks.bind(
        [this](cloud::Result result, const std::vector<core::ListedMachine>& machines,
               const std::set<std::string>& names) { on_machine_list(result, machines, names); }));
}

void FleetSync::on_machine_list(cloud::Result result,
                                const std::vector<core::ListedMachine>& machines,
                                const std::set<std::string>& names) {
    reading_list_ = false;
    const auto now = term_.runtime.now();
    const bool complete = result == cloud::Result::Ok;
    term_.cluster->with_lock([&](core::Cluster& cluster) {
        cluster.on_machine_list_page(machines, now);
        if (complete) cluster.on_machine_list_complete(names, now);
    });
    if (complete && !complete_list_read_) {
        // Plans from earlier snapshots know neither these machines nor the unreachable zones.
        min_snapshot_at_ = now;
        complete_list_read_ = true;
    }
    callbacks_.on_machines_listed();
}

void FleetSync::release_machines() {
    struct Release {
        std::string machine;
        bool has_tasks = false;
    };
    const auto now = term_.runtime.now();
    const auto releases = term_.cluster->with_lock([&](core::Cluster& cluster) {
        std::vector<Release> due;
        for (auto& machine : cluster.next_releases(kMaxReleasesPerCall, now)) {
            const bool has_tasks = cluster.has_tasks(machine);
            due.push_back({std::move(machine), has_tasks});
        }
        return due;
    });
    // Releases of machines with tasks are urgent: the tasks are placed elsewhere only after the
    // release is confirmed. A machine without tasks only costs money until then.
    for (const auto& release : releases) duties_->queue_release(release.machine, release.has_tasks);
    duties_->run_due_actions();
}

void FleetSync::provision(const std::vector<core::Provision>& provisions, Millis snapshot_at) {
    const auto now = term_.runtime.now();
    // Before the first list most existing machines are unknown, and provisioning would duplicate
    // them.
    if (!complete_list_read_ && now - failover_complete_at_ < kMaxFirstListWaitMs) return;
    if (provisions.empty() || duties_->provisioning_in_flight()) return;
    // Demand arrives in small amounts. A request for every plan would use up the cloud's rate
    // limit.
    if (now < no_provision_before_) return;
    // A plan from a snapshot older than the last provisioning result does not know the machines
    // that were provisioned.
    if (snapshot_at < min_snapshot_at_) return;
    no_provision_before_ = now + kProvisionIntervalMs;
    for (auto remaining : provisions) {
        while (remaining.count > kMaxProvisionCount) {
            auto part = remaining;
            part.count = kMaxProvisionCount;
            request_provision(part);
            remaining.count -= kMaxProvisionCount;
        }
        request_provision(remaining);
    }
    duties_->run_due_actions();
}

void FleetSync::request_provision(const core::Provision& provision) {
    // The name is made of the fencing token and a counter, so no controller ever reuses it.
    duty::ProvisionRequest request;
    request.id = "r-" + std::to_string(term_.token) + "-" + std::to_string(++provision_requests_);
    request.spot = provision.spot;
    request.count = provision.count;
    request.type = term_.cluster->type_name(provision.type);
    request.zone = term_.cluster->zone_name(provision.zone);
    term_.host.log(events::ProvisionRequested{request.id, request.count, request.type, request.zone,
                                              request.spot});
    duties_->queue_provision(std::move(request));
}

void FleetSync::on_releases_inherited(const std::vector<std::string>& machines) {
    const auto now = term_.runtime.now();
    term_.cluster->with_lock(
        [&](core::Cluster& cluster) { cluster.on_pending_releases(machines, now); });
    term_.host.log(events::ReleasesInherited{machines.size(), machines.front()});
}

void FleetSync::on_released(const std::vector<std::string>& machines) {
    const auto now = term_.runtime.now();
    term_.cluster->with_lock(
        [&](core::Cluster& cluster) { cluster.on_released(machines, true, now); });
    term_.host.log(events::MachinesReleased{machines.size(), machines.front()});
    callbacks_.on_cluster_changed();
}

void FleetSync::on_provisioned(const duty::ProvisionRequest& request,
                               const std::vector<std::string>& machines, bool insufficient_capacity,
                               cloud::Result result) {
    const auto now = term_.runtime.now();
    // A request without a response is sent again. Until its result is known, no plan provisions.
    if (result == cloud::Result::NoResponse && duties_->provisioning_in_flight()) return;
    min_snapshot_at_ = now;
    if (result == cloud::Result::Unavailable) no_provision_before_ = now + kUnavailablePauseMs;
    if (result == cloud::Result::Ok) {
        term_.cluster->with_lock([&](core::Cluster& cluster) {
            cluster.on_provisioned(request.type, request.zone, request.spot, machines, now);
        });
    }
    if (insufficient_capacity) {
        const auto type = term_.cluster->type_index(request.type);
        const auto zone = term_.cluster->zone_index(request.zone);
        term_.cluster->with_lock([&](core::Cluster& cluster) {
            cluster.on_provision_refused(type, zone, request.spot, now);
        });
    }
    term_.host.log(events::ProvisionCompleted{request.id, machines.size(),
                                              result == cloud::Result::NoCapacity});
    callbacks_.on_provision_completed();
}

void FleetSync::on_lease_lost() {
    term_.host.step_down(events::StepDownReason::AnotherLeaderElected);
}

}  // namespace lichendrift::control
