// Keeps capacity free for classes with a start objective.
#include "core/plan_warm_capacity.h"

namespace lichendrift::core {

namespace {

// A job with no more slack than this is too urgent to be placed after warm capacity.
constexpr double kUrgentSlackS = 15;

}  // namespace

void WarmCapacityPhase::before_job(const QueuedJob& job) {
    if (taken_ || job.spec.has_start_objective || job.waiting.slack_s <= kUrgentSlackS) return;
    taken_ = true;
    for (const auto& warm : state_.snapshot.warm_capacity) {
        if (warm.spec.priority <= job.spec.priority) take_warm_capacity(warm);
    }
}

void WarmCapacityPhase::after_all_jobs() {
    if (taken_) return;
    for (const auto& warm : state_.snapshot.warm_capacity) take_warm_capacity(warm);
}

void WarmCapacityPhase::take_warm_capacity(const WarmCapacity& warm) {
    auto left = warm.tasks;
    for (const auto source : {CapacitySource::Free, CapacitySource::Booting}) {
        collect_candidates(warm.spec, source, left);
        left -= take_best(warm.spec, left);
    }
    state_.capacity.prune_full_machines();
    if (left > 0) provisioning_.request_warm(warm.spec, left);
}

// Collects and scores the machines that fit a task; none if `count` is 0.
void WarmCapacityPhase::collect_candidates(const JobSpec& spec, CapacitySource source,
                                           std::uint32_t count) {
    candidates_.clear();
    for (const auto at : state_.capacity.machines_with(source)) {
        if (count == 0) break;
        state_.count_step();
        const auto& machine = state_.snapshot.machines[at];
        const auto& free = state_.capacity.free(at);
        if (source == CapacitySource::Booting && !machine.booting) continue;
        if (state_.capacity.reserved(at) || !MachineFilter::allows(spec, machine)) continue;
        if (!free.covers(spec.need)) continue;
        candidates_.push_back({state_.score.compute(spec, at, free), at, free, 0});
    }
    std::make_heap(candidates_.begin(), candidates_.end());
}

// Takes capacity for the tasks one by one, each on the machine with the highest score. Returns the
// number of tasks for which there was capacity.
std::uint32_t WarmCapacityPhase::take_best(const JobSpec& spec, std::uint32_t count) {
    std::uint32_t taken = 0;
    while (taken < count && !candidates_.empty()) {
        auto& best = pop_best(candidates_);
        state_.capacity.take(best.machine, spec.need);
        ++taken;
        best.available = state_.capacity.free(best.machine);
        if (best.available.covers(spec.need)) {
            best.score = state_.score.compute(spec, best.machine, best.available);
            std::push_heap(candidates_.begin(), candidates_.end());
        } else {
            candidates_.pop_back();
        }
    }
    return taken;
}

}  // namespace lichendrift::core
