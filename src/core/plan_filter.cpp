// Candidate zones and the record of failed placements.
#include "core/plan_filter.h"

namespace lichendrift::core {

std::vector<ZoneIndex> candidate_zones(const JobSpec& spec, std::size_t zone_count) {
    if (spec.zone != kInvalidIndex) return {spec.zone};
    if (!spec.one_zone) return {kInvalidIndex};
    return all_zones(zone_count);
}

FailedPlacements::Key FailedPlacements::key_of(const QueuedJob& job) {
    const auto& spec = job.spec;
    return {spec.need,     spec.types,        spec.zone,
            spec.team,     spec.priority,     spec.spot,
            spec.one_zone, spec.spread_zones, job.waiting.in_guarantee};
}

// Whether the key alone decides where the job fits: the job is bound neither by machines that it
// avoids nor by where its other tasks are.
bool FailedPlacements::depends_on_key_only(const QueuedJob& job) {
    const auto& waiting = job.waiting;
    return waiting.avoided_machines.empty() &&
           (!job.spec.one_zone || waiting.zone == kInvalidIndex) &&
           (!job.spec.spread_zones || !waiting.has_started);
}

bool FailedPlacements::is_known_to_fail(const PlacementRequest& request,
                                        CapacitySource source) const {
    if (!depends_on_key_only(request.job)) return false;
    const auto it = failed_.find(key_of(request.job));
    if (it == failed_.end()) return false;
    return it->second[static_cast<std::size_t>(source)] <= min_tasks_of(request);
}

void FailedPlacements::record(const PlacementRequest& request, CapacitySource source) {
    if (!depends_on_key_only(request.job)) return;
    auto [it, inserted] = failed_.try_emplace(key_of(request.job));
    if (inserted) it->second.fill(kNoFailure);
    auto& min_tasks = it->second[static_cast<std::size_t>(source)];
    min_tasks = std::min(min_tasks, min_tasks_of(request));
}

void FailedPlacements::clear_releasing() {
    for (auto& [key, min_tasks] : failed_) {
        min_tasks[static_cast<std::size_t>(CapacitySource::Releasing)] = kNoFailure;
        min_tasks[static_cast<std::size_t>(CapacitySource::Booting)] = kNoFailure;
    }
}

}  // namespace lichendrift::core
