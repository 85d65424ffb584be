// The leader and the cloud: types, listings, rentals and releases.
#include "control/leader.h"

namespace lichendrift::control {

namespace {

constexpr Millis kProvisionFaultPause = 1500;
constexpr std::size_t kMaxReleases = 500;  // looked at in one go

}  // namespace

void Leader::poll_types() {
    if (asking_types_) return;
    asking_types_ = true;
    types_at_ = runtime_.now();
    cloud_.types([self = shared_from_this()](cloud::Result answer,
                                             const std::vector<core::MachineType>& types) {
        self->asking_types_ = false;
        if (self->stopped_ || answer != cloud::Result::Ok) return;
        self->with([&](core::Cluster& c) { c.set_types(types); });
        if (!self->types_known_) self->ask_plan();
        self->types_known_ = true;
        self->host_.on_machine_types(types);
    });
}

void Leader::poll_list() {
    if (listing_) return;
    listing_ = true;
    listed_at_ = runtime_.now();
    cloud_.list([self = shared_from_this()](cloud::Result answer,
                                            const std::vector<core::ListedMachine>& machines,
                                            const std::set<std::string>& names) {
        self->listing_ = false;
        if (self->stopped_) return;
        const auto now = self->runtime_.now();
        self->with([&](core::Cluster& c) {
            c.on_list(machines, now);
            if (answer == cloud::Result::Ok) c.on_list_complete(names, now);
        });
        if (answer == cloud::Result::Ok && !self->listed_) {
            // Plans made before know neither these machines nor which zone is cut off.
            self->provisioned_at_ = now;
            self->listed_ = true;
        }
        self->sync_machines();
    });
}

void Leader::release_machines() {
    const auto now = runtime_.now();
    std::vector<std::pair<std::string, bool>> wanted;
    with([&](core::Cluster& c) {
        for (auto& name : c.next_releases(kMaxReleases, now)) {
            const bool has_tasks = c.has_tasks(name);
            wanted.emplace_back(std::move(name), has_tasks);
        }
    });
    // Tasks wait for the release of theirs; the others only cost money.
    for (const auto& [name, has_tasks] : wanted) duties_->queue_release(name, has_tasks);
    duties_->pump();
}

void Leader::on_releases_inherited(const std::vector<std::string>& machines) {
    const auto now = runtime_.now();
    with([&](core::Cluster& c) { c.release_pending(machines, now); });
    host_.log(events::ReleasesInherited{machines.size(), machines.front()});
}

void Leader::on_released(const std::vector<std::string>& machines) {
    with([&](core::Cluster& c) { c.on_released(machines, true, runtime_.now()); });
    host_.log(events::MachinesReleased{machines.size(), machines.front()});
    changed();
}

void Leader::on_lease_lost() { host_.step_down(events::StepDownReason::AnotherLeaderElected); }

void Leader::request_provision(const core::Provision& provision) {
    // Token and counter: no request name is ever used twice, by any node.
    duty::ProvisionRequest order;
    order.request = "r-" + std::to_string(token_) + "-" + std::to_string(++provisions_);
    order.spot = provision.spot;
    order.number = provision.count;
    with([&](core::Cluster&) {
        order.type = shared_->types.name(provision.type);
        order.zone = shared_->zones.name(provision.zone);
    });
    host_.log(events::ProvisionRequested{order.request, order.number, order.type, order.zone,
                                         order.spot});
    duties_->queue_provision(std::move(order));
}

void Leader::on_provisioned(const duty::ProvisionRequest& order,
                            const std::vector<std::string>& machines, bool refused,
                            cloud::Result answer) {
    const auto now = runtime_.now();
    // Without an answer it is asked again; the next plan waits for what comes of it.
    if (answer == cloud::Result::NoResponse && duties_->provisioning_in_flight()) return;
    provisioned_at_ = now;
    if (answer == cloud::Result::Unavailable) provision_pause_until_ = now + kProvisionFaultPause;
    with([&](core::Cluster& c) {
        if (answer == cloud::Result::Ok) {
            c.on_provisioned(order.type, order.zone, order.spot, machines, now);
        }
        if (refused) {
            c.on_refused(shared_->types.intern(order.type), shared_->zones.intern(order.zone),
                         order.spot, now);
        }
    });
    host_.log(events::ProvisionCompleted{order.request, machines.size(),
                                         answer == cloud::Result::NoCapacity});
    ask_plan();
}

}  // namespace lichendrift::control
