// Provisions machines for tasks that found no capacity.
#include "core/plan_provisioning.h"

namespace lichendrift::core {

namespace {

constexpr std::uint32_t kMaxTasksPerDemand = 400;

// Whether no zone may hold more than half of the tasks, and every zone may hold some.
bool spreads_over_zones(const JobSpec& spec) {
    return spec.spread_zones && !spec.one_zone && spec.zone == kInvalidIndex;
}

}  // namespace

void ProvisioningPhase::run() {
    for (const auto& demand : demands_) provision(demand);
    // For a class that may use spot machines, warm capacity is provisioned only on those, because
    // they are cheap.
    for (const auto& [spec, count] : warm_demands_) {
        new_machines_.place(*spec, kInvalidIndex, count, spec->spot);
    }
    state_.plan.provisions = new_machines_.provisions();
}

// Tasks whose capacity becomes free within their job's wait time get no new machine. On-demand
// machines cost several times as much as spot machines, so jobs with slack wait longer before they
// get one. A one-zone gang needs its machines in one zone, so the zones are tried one after the
// other, each for the tasks that the zones before it could not take.
void ProvisioningPhase::provision(const Demand& demand) {
    const auto& job = *demand.job;
    const auto& spec = job.spec;
    auto left = std::min(demand.count, kMaxTasksPerDemand);
    if (!spec.gang) {
        const auto booting = placement_.find({job, left, true}, CapacitySource::Booting);
        if (booting.found()) state_.nominate(spec, booting);
        left -= booting.tasks();
    }
    if (spec.gang && !retained_for_gang_) retain_machines_for_gang(job);
    if (spreads_over_zones(spec)) return provision_spread(job, left);
    std::vector<ZoneIndex> zones{job.waiting.zone};
    if (spec.gang && spec.one_zone && job.waiting.zone == kInvalidIndex) {
        zones = zones_by_capacity(job);
    }
    left = await_capacity(spec, left, job.waiting.provision_wait_s);
    for (const auto zone : zones) left = new_machines_.place(spec, zone, left, true);
    left = await_capacity(spec, left, job.waiting.on_demand_wait_s);
    for (const auto zone : zones) left = new_machines_.place(spec, zone, left, false);
}

// No zone may hold more than half of the job's tasks, so capacity beyond that in a zone is of no
// use to the job: it is neither counted nor provisioned (docs/design.md, exception 5).
void ProvisioningPhase::provision_spread(const QueuedJob& job, std::uint32_t count) {
    const auto& spec = job.spec;
    const auto max_in_zone = max_tasks_in_zone(spec);
    const auto fitting = fitting_by_zone(job);
    const auto& zone_counts = job.waiting.zone_counts;
    // The largest number of tasks to provision for, by zone.
    std::vector<std::uint32_t> allowed(state_.snapshot.zone_count);
    for (ZoneIndex zone = 0; zone < allowed.size(); ++zone) {
        const auto in_zone = zone < zone_counts.size() ? zone_counts[zone] : 0;
        const auto limit = max_in_zone - std::min(max_in_zone, in_zone);
        const auto fits = static_cast<std::uint32_t>(std::min<std::int64_t>(limit, fitting[zone]));
        allowed[zone] = limit - fits;
        count -= std::min(count, fits);
    }
    for (const bool spot : {true, false}) {
        for (ZoneIndex zone = 0; zone < allowed.size(); ++zone) {
            const auto wanted = std::min(count, allowed[zone]);
            const auto placed = wanted - new_machines_.place(spec, zone, wanted, spot);
            allowed[zone] -= placed;
            count -= placed;
        }
    }
}

// Lets each of `count` tasks wait for one allocation that ends within `max_wait_s` and frees enough
// resources for it. Returns the number of tasks for which there is none.
std::uint32_t ProvisioningPhase::await_capacity(const JobSpec& spec, std::uint32_t count,
                                                double max_wait_s) {
    const auto& allocations = state_.allocations;
    index_ending();
    for (const auto at : ending_) {
        if (count == 0) break;
        state_.count_step();
        if (awaited_[at] != 0 || allocations.is_victim(at)) continue;
        if (allocations.view(at).remaining_s > max_wait_s) continue;
        const auto& machine = state_.snapshot.machines[allocations.machine(at)];
        if (!machine.usable || !MachineFilter::allows(spec, machine)) continue;
        if (!allocations.resources(at).covers(spec.need)) continue;
        awaited_[at] = 1;
        --count;
    }
    return count;
}

void ProvisioningPhase::index_ending() {
    if (!awaited_.empty()) return;
    const auto& allocations = state_.allocations;
    awaited_.resize(allocations.size());
    double longest_wait_s = 0;
    for (const auto& waiting : state_.snapshot.waiting_jobs) {
        longest_wait_s = std::max(longest_wait_s, waiting.on_demand_wait_s);
    }
    for (AllocationPosition at = 0; at < allocations.size(); ++at) {
        if (allocations.view(at).remaining_s <= longest_wait_s) ending_.push_back(at);
    }
}

// Retains the machines that the first waiting gang can use until the rest of its machines have been
// provisioned (docs/design.md, exception 7). When the cloud has few machines they arrive one by
// one, and each stayed idle for so long that it was released before the next arrived. Only one gang
// retains machines: when several did, none ever got enough.
void ProvisioningPhase::retain_machines_for_gang(const QueuedJob& job) {
    const auto& spec = job.spec;
    retained_for_gang_ = true;
    if (spreads_over_zones(spec)) {
        for (ZoneIndex zone = 0; zone < state_.snapshot.zone_count; ++zone) {
            retain_in_zone(job, zone, max_tasks_in_zone(spec));
        }
    } else if (spec.one_zone && spec.zone == kInvalidIndex) {
        const auto zones = zones_by_capacity(job);
        if (!zones.empty()) retain_in_zone(job, zones.front(), spec.count);
    } else {
        retain_in_zone(job, spec.zone, spec.count);
    }
}

// Retains machines of a zone until they fit `count` tasks of the job, or all of them if they fit
// fewer.
void ProvisioningPhase::retain_in_zone(const QueuedJob& job, ZoneIndex zone, std::int64_t count) {
    for (const auto at : state_.capacity.machines_with(CapacitySource::Booting)) {
        state_.count_step();
        if (count <= 0 || !state_.filter.admits(job, zone, at)) continue;
        const auto fits = state_.capacity.free(at).tasks_that_fit(job.spec.need);
        if (fits > 0) state_.capacity.mark_in_use(at);
        count -= fits;
    }
}

// Returns how many tasks of the job fit on free capacity, by zone. Machines that the job avoids
// after failures do not count.
std::vector<std::int64_t> ProvisioningPhase::fitting_by_zone(const QueuedJob& job) {
    std::vector<std::int64_t> fitting(state_.snapshot.zone_count);
    for (const auto at : state_.capacity.machines_with(CapacitySource::Booting)) {
        state_.count_step();
        if (!state_.filter.admits(job, kInvalidIndex, at)) continue;
        fitting[state_.snapshot.machines[at].zone] +=
            state_.capacity.free(at).tasks_that_fit(job.spec.need);
    }
    return fitting;
}

// Returns the zones that the job may use, those with most capacity for it first, including capacity
// on new machines.
std::vector<ZoneIndex> ProvisioningPhase::zones_by_capacity(const QueuedJob& job) {
    if (job.spec.zone != kInvalidIndex) return {job.spec.zone};
    auto fitting = fitting_by_zone(job);
    new_machines_.add_fitting(job.spec, fitting);
    const auto& machines_by_zone = new_machines_.machines_by_zone();
    auto zones = all_zones(state_.snapshot.zone_count);
    // Of zones with equal capacity the one with fewer machines comes first; otherwise all jobs
    // would use the first zone.
    std::stable_sort(zones.begin(), zones.end(), [&](ZoneIndex left, ZoneIndex right) {
        if (fitting[left] != fitting[right]) return fitting[left] > fitting[right];
        return machines_by_zone[left] < machines_by_zone[right];
    });
    return zones;
}

}  // namespace lichendrift::core
