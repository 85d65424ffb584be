// Preemption: which tasks may be stopped for a job, and which of them the plan stops.
#include "core/plan_preemption.h"

namespace lichendrift::core {

namespace {

constexpr double kVictimCost = 5;    // per victim, plus one point per second of lost work
constexpr double kScoreShare = 0.5;  // share of the machine's score subtracted from the cost

}  // namespace

bool PreemptionPhase::may_preempt(const QueuedJob& job, AllocationPosition victim) const {
    const auto& victim_job = state_.allocations.job(victim);
    const bool in_guarantee = job.waiting.in_guarantee;
    if (state_.allocations.view(victim).job == job.waiting.job) return false;
    if (victim_job.spec.priority < job.spec.priority &&
        (in_guarantee || !victim_job.in_guarantee)) {
        return true;
    }
    return in_guarantee && !victim_job.in_guarantee && victim_job.spec.team != job.spec.team &&
           state_.snapshot.teams[job.spec.team].guarantee != Resources{};
}

bool PreemptionPhase::has_victims(const QueuedJob& job) {
    const auto& ranks = state_.allocations.ranks();
    return std::any_of(ranks.begin(), ranks.end(), [&](const auto& rank) {
        state_.count_step();
        return may_preempt(job, rank.second);
    });
}

double PreemptionPhase::cost_of(AllocationPosition victim) const {
    return kVictimCost + state_.allocations.view(victim).lost_work_s;
}

Placement PreemptionPhase::find(const PlacementRequest& request) {
    if (state_.failed_placements.is_known_to_fail(request, CapacitySource::Preemptible)) return {};
    auto best = find_cheapest(request, false);
    if (!best.found()) state_.failed_placements.record(request, CapacitySource::Preemptible);
    return best;
}

Placement PreemptionPhase::find_with_image(const PlacementRequest& request) {
    return find_cheapest(request, true);
}

Placement PreemptionPhase::find_cheapest(const PlacementRequest& request, bool image_present) {
    CostedPlacement best;
    for (const auto zone : candidate_zones(request.job.spec, state_.snapshot.zone_count)) {
        auto found = place_in(request, zone, image_present);
        const auto tasks = found.placement.tasks();
        if (!request.is_satisfied_by(tasks)) continue;
        if (tasks > best.placement.tasks() ||
            (tasks == best.placement.tasks() && found.cost < best.cost)) {
            best = std::move(found);
        }
    }
    return std::move(best.placement);
}

PreemptionPhase::CostedPlacement PreemptionPhase::place_in(const PlacementRequest& request,
                                                           ZoneIndex zone, bool image_present) {
    const auto& spec = request.job.spec;
    collect_evictions(request.job, zone, image_present);
    auto zone_counts = request.job.waiting.zone_counts;
    zone_counts.resize(state_.snapshot.zone_count);
    CostedPlacement result{{}, 0};
    auto& [placement, cost] = result;
    std::make_heap(evictions_.begin(), evictions_.end());
    while (placement.tasks() < request.count && !evictions_.empty()) {
        std::pop_heap(evictions_.begin(), evictions_.end());
        const auto eviction = std::move(evictions_.back());
        evictions_.pop_back();
        auto& in_zone = zone_counts[state_.snapshot.machines[eviction.machine].zone];
        if (spec.spread_zones && in_zone + 1 > max_tasks_in_zone(spec)) continue;
        ++in_zone;
        cost += eviction.cost;
        placement.machines.push_back(eviction.machine);
        placement.victims.insert(placement.victims.end(), eviction.victims.begin(),
                                 eviction.victims.end());
        scratch_.machine = eviction.machine;
        scratch_.available = eviction.available;
        scratch_.available -= spec.need;
        if (plan_eviction(request.job, placement.victims, scratch_)) {
            evictions_.push_back(std::move(scratch_));
            std::push_heap(evictions_.begin(), evictions_.end());
        }
    }
    return result;
}

void PreemptionPhase::collect_evictions(const QueuedJob& job, ZoneIndex zone, bool image_present) {
    const auto& machines = state_.snapshot.machines;
    evictions_.clear();
    for (MachinePosition at = 0; at < machines.size(); ++at) {
        state_.count_step();
        const auto& machine = machines[at];
        if (!machine.usable || !state_.filter.admits(job, zone, at)) continue;
        if (!machine.capacity.covers(job.spec.need)) continue;
        if (image_present && state_.fetches.fetch_s(job.spec, at) > 0) continue;
        scratch_.machine = at;
        scratch_.available = state_.capacity.available(at, CapacitySource::Releasing);
        if (plan_eviction(job, {}, scratch_)) evictions_.push_back(scratch_);
    }
}

// Selects the victims to stop on the machine so that one more task fits there, lowest priority and
// least lost work first. Returns false if it does not fit even without all possible victims.
bool PreemptionPhase::plan_eviction(const QueuedJob& job,
                                    const std::vector<AllocationPosition>& chosen,
                                    Eviction& eviction) {
    const auto& need = job.spec.need;
    auto max_available = eviction.available;
    max_available += collect_victims(job, eviction.machine, chosen);
    if (!max_available.covers(need)) return false;
    std::sort(possible_victims_.begin(), possible_victims_.end(), [&](auto left, auto right) {
        const auto left_priority = state_.allocations.job(left).spec.priority;
        const auto right_priority = state_.allocations.job(right).spec.priority;
        if (left_priority != right_priority) return left_priority < right_priority;
        const auto left_lost_s = state_.allocations.view(left).lost_work_s;
        const auto right_lost_s = state_.allocations.view(right).lost_work_s;
        return left_lost_s != right_lost_s ? left_lost_s < right_lost_s : left < right;
    });
    eviction.cost =
        -kScoreShare * state_.score.compute(job.spec, eviction.machine, eviction.available);
    eviction.victims.clear();
    for (const auto victim : possible_victims_) {
        if (eviction.available.covers(need)) break;
        eviction.available += state_.allocations.resources(victim);
        eviction.cost += cost_of(victim);
        eviction.victims.push_back(victim);
    }
    remove_unneeded_victims(need, eviction);
    return true;
}

// Collects the allocations on the machine that may be preempted, except victims already chosen.
// Returns the sum of their resources.
Resources PreemptionPhase::collect_victims(const QueuedJob& job, MachinePosition machine,
                                           const std::vector<AllocationPosition>& chosen) {
    Resources sum;
    possible_victims_.clear();
    for (const auto at : state_.allocations.on_machine(machine)) {
        state_.count_step();
        if (state_.allocations.is_ending(at) || !may_preempt(job, at)) continue;
        if (std::find(chosen.begin(), chosen.end(), at) != chosen.end()) continue;
        possible_victims_.push_back(at);
        sum += state_.allocations.resources(at);
    }
    return sum;
}

// Removes victims that turned out not to be needed (a reprieve in KEP-5732).
void PreemptionPhase::remove_unneeded_victims(const Resources& need, Eviction& eviction) const {
    auto& victims = eviction.victims;
    for (auto victim = victims.begin(); victim != victims.end();) {
        auto without = eviction.available;
        without -= state_.allocations.resources(*victim);
        if (!without.covers(need)) {
            ++victim;
            continue;
        }
        eviction.available = without;
        eviction.cost -= cost_of(*victim);
        victim = victims.erase(victim);
    }
}

void PreemptionPhase::mark_victim(AllocationPosition victim) {
    state_.allocations.mark_victim(victim);
    state_.capacity.add_releasing(state_.allocations.machine(victim),
                                  state_.allocations.resources(victim));
}

// Stopping one task of a gang stops the whole gang.
void PreemptionPhase::mark_rest_of_gang(AllocationPosition victim) {
    const auto job = state_.allocations.view(victim).job;
    for (AllocationPosition at = 0; at < state_.allocations.size(); ++at) {
        state_.count_step();
        if (state_.allocations.view(at).job == job && !state_.allocations.is_ending(at)) {
            mark_victim(at);
        }
    }
}

void PreemptionPhase::preempt(const QueuedJob& job, const Placement& placement) {
    for (const auto victim : placement.victims) {
        const auto& view = state_.allocations.view(victim);
        state_.plan.preemptions.push_back({view.index, view.attempt, job.waiting.job});
        if (!state_.allocations.is_victim(victim)) mark_victim(victim);
        if (state_.allocations.job(victim).spec.gang) mark_rest_of_gang(victim);
    }
    state_.nominate(job.spec, placement);
    state_.failed_placements.clear_releasing();
}

}  // namespace lichendrift::core
