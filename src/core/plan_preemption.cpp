// Preemption: whose tasks may be stopped for whom, and which of them are.
#include "core/plan_preemption.h"

namespace lichendrift::core {

namespace {

constexpr double kVictimCost = 5;    // of each victim, beside a point for a second of lost work
constexpr double kScoreShare = 0.5;  // of the machine's score, taken off the cost

}  // namespace

bool PreemptionPhase::may_preempt(const QueuedJob& job, AllocationPosition victim) const {
    const auto& owner = state_.allocations.job(victim);
    const bool in_guarantee = job.waiting.in_guarantee;
    if (state_.allocations.view(victim).job == job.waiting.job) return false;
    if (owner.spec.priority < job.spec.priority && (in_guarantee || !owner.in_guarantee)) {
        return true;
    }
    return in_guarantee && !owner.in_guarantee && owner.spec.team != job.spec.team &&
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
    if (state_.failed_fits.known(request, CapacitySource::Preemptible)) return {};
    auto best = cheapest(request, false);
    if (!best.found()) state_.failed_fits.note(request, CapacitySource::Preemptible);
    return best;
}

Placement PreemptionPhase::find_where_image_is(const PlacementRequest& request) {
    return cheapest(request, true);
}

Placement PreemptionPhase::cheapest(const PlacementRequest& request, bool image_present) {
    CostedPlacement best;
    for (const auto zone : candidate_zones(request.job.spec, state_.snapshot.zone_count)) {
        auto found = place_in(request, zone, image_present);
        const auto tasks = found.placement.tasks();
        if (!request.accepts(tasks)) continue;
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
        const auto taken = std::move(evictions_.back());
        evictions_.pop_back();
        auto& in_zone = zone_counts[state_.snapshot.machines[taken.machine].zone];
        if (spec.spread_zones && in_zone + 1 > max_tasks_in_zone(spec)) continue;
        ++in_zone;
        cost += taken.cost;
        placement.machines.push_back(taken.machine);
        placement.victims.insert(placement.victims.end(), taken.victims.begin(),
                                 taken.victims.end());
        next_.machine = taken.machine;
        next_.available = taken.available;
        next_.available -= spec.need;
        if (evict(request.job, placement.victims, next_)) {
            evictions_.push_back(std::move(next_));
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
        next_.machine = at;
        next_.available = state_.capacity.available(at, CapacitySource::Releasing);
        if (evict(job, {}, next_)) evictions_.push_back(next_);
    }
}

// Fills in the victims that have to go from the machine, so that one more task fits into what is
// available there; false if that can't be.
bool PreemptionPhase::evict(const QueuedJob& job, const std::vector<AllocationPosition>& chosen,
                            Eviction& eviction) {
    const auto& need = job.spec.need;
    auto reach = eviction.available;
    reach += collect_victims(job, eviction.machine, chosen);
    if (!reach.covers(need)) return false;
    std::sort(possible_victims_.begin(), possible_victims_.end(), [&](auto left, auto right) {
        const auto left_priority = state_.allocations.job(left).spec.priority;
        const auto right_priority = state_.allocations.job(right).spec.priority;
        if (left_priority != right_priority) return left_priority < right_priority;
        const auto left_lost_s = state_.allocations.view(left).lost_work_s;
        const auto right_lost_s = state_.allocations.view(right).lost_work_s;
        return left_lost_s != right_lost_s ? left_lost_s < right_lost_s : left < right;
    });
    eviction.cost = -kScoreShare * state_.score.of(job.spec, eviction.machine, eviction.available);
    eviction.victims.clear();
    for (const auto victim : possible_victims_) {
        if (eviction.available.covers(need)) break;
        eviction.available += state_.allocations.resources(victim);
        eviction.cost += cost_of(victim);
        eviction.victims.push_back(victim);
    }
    spare_victims(need, eviction);
    return true;
}

// Lists what may be preempted on the machine, but for victims chosen already; returns its sum.
Resources PreemptionPhase::collect_victims(const QueuedJob& job, MachinePosition machine,
                                           const std::vector<AllocationPosition>& chosen) {
    Resources sum;
    possible_victims_.clear();
    for (const auto at : state_.allocations.on(machine)) {
        state_.count_step();
        if (state_.allocations.ends(at) || !may_preempt(job, at)) continue;
        if (std::find(chosen.begin(), chosen.end(), at) != chosen.end()) continue;
        possible_victims_.push_back(at);
        sum += state_.allocations.resources(at);
    }
    return sum;
}

// Victims that turned out not to be needed are spared, as KEP-5732 reprieves them.
void PreemptionPhase::spare_victims(const Resources& need, Eviction& eviction) const {
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

// Stopping one task of a gang stops the gang.
void PreemptionPhase::mark_rest_of_gang(AllocationPosition victim) {
    const auto job = state_.allocations.view(victim).job;
    for (AllocationPosition at = 0; at < state_.allocations.size(); ++at) {
        state_.count_step();
        if (state_.allocations.view(at).job == job && !state_.allocations.ends(at)) {
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
    state_.failed_fits.forget_releasing();
}

}  // namespace lichendrift::core
