// The machines that a plan provisions.
#include "core/plan_new_machines.h"

namespace lichendrift::core {

namespace {

constexpr std::size_t kMaxNewMachines = 200;  // per plan
// Raises the cost of a zone with its share of the machines, by a fifth if it has all of them. The
// base is added to the number of machines, so that the share matters less in a small fleet.
constexpr double kZoneSpread = 0.2;
constexpr std::size_t kZoneSpreadBase = 100;

}  // namespace

std::uint32_t NewMachines::place(const JobSpec& spec, ZoneIndex zone, std::uint32_t count,
                                 bool spot) {
    for (; count > 0; --count) {
        if (place_on_added(spec, zone)) continue;
        if (!add_machine(spec, zone, spot)) break;
        place_on_added(spec, zone);
    }
    return count;
}

bool NewMachines::place_on_added(const JobSpec& spec, ZoneIndex zone) {
    for (std::size_t k = 0; k < with_capacity_.size(); ++k) {
        state_.count_step();
        auto& [pool, free] = machines_[with_capacity_[k]];
        if ((spec.types >> pool.type & 1) == 0 || (pool.spot && !spec.spot)) continue;
        if (zone != kInvalidIndex && pool.zone != zone) continue;
        if (!free.covers(spec.need)) continue;
        free -= spec.need;
        // Below the smallest need of all waiting jobs and warm capacity, no task fits any more.
        if (!free.covers(state_.capacity.smallest_need())) {
            with_capacity_.erase(with_capacity_.begin() + static_cast<std::ptrdiff_t>(k));
        }
        return true;
    }
    return false;
}

bool NewMachines::add_machine(const JobSpec& spec, ZoneIndex zone, bool spot) {
    if (machines_.size() >= kMaxNewMachines) return false;
    machines_by_zone();
    const auto machine = cheapest(spec, zone, spot);
    if (!machine) return false;
    ++machines_by_zone_[machine->pool.zone];
    with_capacity_.push_back(machines_.size());
    machines_.push_back(*machine);
    return true;
}

bool NewMachines::provisionable(const JobSpec& spec, const ProvisioningPool& pool) const {
    if (spec.zone != kInvalidIndex && pool.zone != spec.zone) return false;
    if (pool.spot && !spec.spot) return false;
    const auto& refused = state_.snapshot.refused_provisions;
    return std::find(refused.begin(), refused.end(), pool) == refused.end();
}

// Returns the machine with the lowest price per task that fits on it, adjusted for the spread over
// zones; none if nothing allowed can be provisioned.
std::optional<NewMachines::NewMachine> NewMachines::cheapest(const JobSpec& spec, ZoneIndex zone,
                                                             bool spot) {
    const auto& types = state_.snapshot.types;
    const auto fleet =
        static_cast<double>(state_.snapshot.machines.size() + machines_.size() + kZoneSpreadBase);
    double lowest_cost = kMaxCost;
    std::optional<NewMachine> machine;
    for (TypeIndex index = 0; index < types.size() && index < kMaxTypes; ++index) {
        const auto& type = types[index];
        if ((spec.types >> index & 1) == 0 || type.zones.empty()) continue;
        const auto fits = type.capacity.tasks_that_fit(spec.need);
        if (fits == 0) continue;
        const auto price = (spot ? type.spot_hourly : type.hourly) / static_cast<double>(fits);
        for (const auto type_zone : state_.snapshot.type_zones[index]) {
            const ProvisioningPool pool{index, type_zone, spot};
            if (zone != kInvalidIndex && type_zone != zone) continue;
            if (!provisionable(spec, pool)) continue;
            // Spreads machines over the zones, so that one wave of spot reclaims or the loss of
            // the connection to a zone affects fewer of them.
            const auto in_zone = static_cast<double>(machines_by_zone_[type_zone]);
            const auto cost = price * (1.0 + kZoneSpread * in_zone / fleet);
            if (cost >= lowest_cost) continue;
            lowest_cost = cost;
            machine = NewMachine{pool, type.capacity};
        }
    }
    return machine;
}

void NewMachines::add_fitting(const JobSpec& spec,
                              std::vector<std::int64_t>& fitting_by_zone) const {
    for (const auto at : with_capacity_) {
        const auto& [pool, free] = machines_[at];
        fitting_by_zone[pool.zone] += free.tasks_that_fit(spec.need);
    }
}

const std::vector<std::int64_t>& NewMachines::machines_by_zone() {
    if (!machines_by_zone_.empty()) return machines_by_zone_;
    const auto zones = state_.snapshot.zone_count;
    machines_by_zone_.resize(zones + 1);
    for (const auto& machine : state_.snapshot.machines) {
        ++machines_by_zone_[std::min<std::size_t>(machine.zone, zones)];
    }
    return machines_by_zone_;
}

std::vector<Provision> NewMachines::provisions() const {
    std::vector<Provision> provisions;
    for (const auto& machine : machines_) {
        const auto& pool = machine.pool;
        const auto same =
            std::find_if(provisions.begin(), provisions.end(), [&](const Provision& provision) {
                return pool == ProvisioningPool{provision.type, provision.zone, provision.spot};
            });
        if (same != provisions.end()) {
            ++same->count;
        } else {
            provisions.push_back({pool.type, pool.zone, pool.spot, 1});
        }
    }
    return provisions;
}

}  // namespace lichendrift::core
