// Machines to provision for tasks that found no capacity.
#include "core/plan_provisioning.h"

namespace lichendrift::core {

namespace {

constexpr std::uint32_t kMaxTasksPerDemand = 400;

// Whether no zone may get more than half of the tasks, and any zone a part.
bool spreads_over_zones(const JobSpec& spec) {
    return spec.apart && !spec.one_zone && spec.zone == kInvalidIndex;
}

}  // namespace

void ProvisioningPhase::run() {
    for (const auto& demand : demands_) provision(demand);
    // Warm capacity is provisioned only where it is cheap.
    for (const auto& [spec, count] : warm_demands_) {
        new_machines_.place(*spec, kInvalidIndex, count, spec->spot);
    }
    state_.plan.provisions = new_machines_.provisions();
}

// Capacity that is free again in time needs no new machine. On-demand machines cost a multiple of
// spot ones, so work that has time waits longer before it gets one. A gang of one zone needs its
// machines together; where the cloud refuses, the next zone is asked for the rest.
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

// No zone gets more than half of the job: what is free or provisioned there beyond that is of no
// use to it (docs/design.md, exception 5).
void ProvisioningPhase::provision_spread(const QueuedJob& job, std::uint32_t count) {
    const auto& spec = job.spec;
    const auto max_in_zone = max_tasks_in_zone(spec);
    const auto fitting = fitting_by_zone(job);
    const auto& zone_counts = job.waiting.zone_counts;
    // Number of tasks that may still be added to each zone.
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

// How many of `count` tasks are left without an allocation that ends within the patience.
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

// What the first of the waiting gangs could use already is kept until the rest has come. Where the
// cloud has few machines to give they come one by one, and each was idle for long enough to be
// released before the next one came; kept for several gangs, none ever got enough (docs/design.md,
// exception 7).
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

// Keeps machines of a zone that fit so many tasks of the job, or as many as there are.
void ProvisioningPhase::retain_in_zone(const QueuedJob& job, ZoneIndex zone, std::int64_t count) {
    for (const auto at : state_.capacity.machines_with(CapacitySource::Booting)) {
        state_.count_step();
        if (count <= 0 || !state_.filter.admits(job, zone, at)) continue;
        const auto fits = state_.capacity.free(at).fits(job.spec.need);
        if (fits > 0) state_.capacity.mark_in_use(at);
        count -= fits;
    }
}

// How many tasks of the job fit on what is free, by zone. Machines that it avoids after failures
// are no capacity for it.
std::vector<std::int64_t> ProvisioningPhase::fitting_by_zone(const QueuedJob& job) {
    std::vector<std::int64_t> fitting(state_.snapshot.zone_count);
    for (const auto at : state_.capacity.machines_with(CapacitySource::Booting)) {
        state_.count_step();
        if (!state_.filter.admits(job, kInvalidIndex, at)) continue;
        fitting[state_.snapshot.machines[at].zone] += state_.capacity.free(at).fits(job.spec.need);
    }
    return fitting;
}

// The zones the job may use, the one with most capacity for it first, new machines included.
std::vector<ZoneIndex> ProvisioningPhase::zones_by_capacity(const QueuedJob& job) {
    if (job.spec.zone != kInvalidIndex) return {job.spec.zone};
    auto fitting = fitting_by_zone(job);
    new_machines_.add_fitting(job.spec, fitting);
    const auto& machines_by_zone = new_machines_.machines_by_zone();
    auto zones = all_zones(state_.snapshot.zone_count);
    // Among equals the zone with fewer machines: they would all pile up in the first.
    std::stable_sort(zones.begin(), zones.end(), [&](ZoneIndex left, ZoneIndex right) {
        if (fitting[left] != fitting[right]) return fitting[left] > fitting[right];
        return machines_by_zone[left] < machines_by_zone[right];
    });
    return zones;
}

}  // namespace lichendrift::core
