// Trial placement: finds the best machines for tasks of a job (KEP-5732, phases 2 and 3).
#include "core/plan_placement.h"

namespace lichendrift::core {

namespace {

// Points subtracted for each replica of the same service on the machine and in the zone, so that
// the loss of a machine or a zone takes down few replicas (docs/design.md, "Services"). The penalty
// for the machine is less than the weight of the image being there (kImageWeight).
constexpr double kMachineColocationPenalty = 2.5;
constexpr double kZoneColocationPenalty = 0.5;

}  // namespace

Placement PlacementPhase::find(const PlacementRequest& request, CapacitySource source) {
    if (state_.failed_placements.is_known_to_fail(request, source)) return {};
    Placement best;
    std::vector<ZoneIndex> rejected_zones;
    for (const auto zone : candidate_zones(request.job.spec, state_.snapshot.zone_count)) {
        auto placement = place_in(request, zone, source);
        if (!placement.found()) {
            if (zone != kInvalidIndex) rejected_zones.push_back(zone);
            continue;
        }
        // A partial placement with more tasks wins over one with a higher score.
        if (placement.tasks() > best.tasks() ||
            (placement.tasks() == best.tasks() && placement.score > best.score)) {
            best = std::move(placement);
        }
    }
    best.rejected_zones = std::move(rejected_zones);
    if (best.tasks() < request.count) state_.failed_placements.record(request, source);
    return best;
}

// Scores each machine that fits at least one task; returns how many tasks fit on all of them
// together.
std::int64_t PlacementPhase::score_candidates(const QueuedJob& job, ZoneIndex zone,
                                              CapacitySource source) {
    const auto& spec = job.spec;
    candidates_.clear();
    std::int64_t fitting = 0;
    for (const auto machine : state_.capacity.machines_with(source)) {
        state_.count_step();
        const Resources available = state_.capacity.available(machine, source);
        if (!available.covers(spec.need) || !state_.filter.admits(job, zone, machine)) continue;
        fitting += available.tasks_that_fit(spec.need);
        candidates_.push_back(
            {state_.score.compute(spec, machine, available), machine, available, 0});
    }
    return fitting;
}

// Places the tasks one by one in a candidate zone, each on the machine with the highest score.
Placement PlacementPhase::place_in(const PlacementRequest& request, ZoneIndex zone,
                                   CapacitySource source) {
    const auto& spec = request.job.spec;
    const auto fitting = score_candidates(request.job, zone, source);
    Placement placement;
    // Early rejection (KEP-5732): the zone as a whole lacks capacity for the request.
    if (candidates_.empty() || (!request.partial && fitting < request.count)) return placement;
    auto zone_counts = request.job.waiting.zone_counts;
    zone_counts.resize(state_.snapshot.zone_count);
    double score = 0;
    std::make_heap(candidates_.begin(), candidates_.end());
    while (placement.tasks() < request.count && !candidates_.empty()) {
        state_.count_step();
        auto& best = pop_best(candidates_);
        auto& in_zone = zone_counts[state_.snapshot.machines[best.machine].zone];
        if (spec.spread_zones && in_zone + 1 > max_tasks_in_zone(spec)) {
            candidates_.pop_back();
            continue;
        }
        if (spec.service &&
            apply_colocation_penalty(best, request.job, zone_counts, placement.machines)) {
            std::push_heap(candidates_.begin(), candidates_.end());
            continue;
        }
        ++in_zone;
        score += best.score;
        placement.machines.push_back(best.machine);
        reinsert_candidate(spec);
    }
    if (!request.is_satisfied_by(placement.tasks())) return {};
    placement.score = score / static_cast<double>(placement.tasks());
    return placement;
}

// Lowers the score of a machine by the penalty for replicas placed since the score was computed;
// returns whether the score fell.
bool PlacementPhase::apply_colocation_penalty(ScoredMachine& candidate, const QueuedJob& job,
                                              const std::vector<std::uint32_t>& zone_counts,
                                              const std::vector<MachinePosition>& chosen) const {
    const auto& machine = state_.snapshot.machines[candidate.machine];
    const auto& replicas = job.waiting.replica_machines;
    const auto on_machine = std::count(replicas.begin(), replicas.end(), machine.index) +
                            std::count(chosen.begin(), chosen.end(), candidate.machine);
    const auto in_zone = machine.zone < zone_counts.size() ? zone_counts[machine.zone] : 0;
    const auto penalty = kMachineColocationPenalty * static_cast<double>(on_machine) +
                         kZoneColocationPenalty * static_cast<double>(in_zone);
    if (penalty <= candidate.colocation_penalty) return false;
    candidate.score -= penalty - candidate.colocation_penalty;
    candidate.colocation_penalty = penalty;
    return true;
}

// Called after the candidate at the heap's back got a task: updates its score and puts it back into
// the heap, or removes it if no further task fits.
void PlacementPhase::reinsert_candidate(const JobSpec& spec) {
    auto& candidate = candidates_.back();
    candidate.available -= spec.need;
    if (!candidate.available.covers(spec.need)) {
        candidates_.pop_back();
        return;
    }
    candidate.colocation_penalty = 0;
    candidate.score = state_.score.compute(spec, candidate.machine, candidate.available);
    std::push_heap(candidates_.begin(), candidates_.end());
}

}  // namespace lichendrift::core
