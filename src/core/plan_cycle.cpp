// Makes one plan from a snapshot.
#include "core/plan_cycle.h"

namespace lichendrift::core {

namespace {

// With less slack than this, the start is late even where no image has to be fetched.
constexpr double kMinSlackToPreemptForImageS = 1;

}  // namespace

PlanCycle::PlanCycle(const Snapshot& snapshot)
    : queue_(scheduling_queue(snapshot)),
      state_(snapshot),
      placement_(state_),
      preemption_(state_),
      reservation_(state_),
      provisioning_(state_, placement_),
      warm_capacity_(state_, provisioning_),
      guaranteed_(snapshot),
      release_(state_, guaranteed_),
      drain_(state_, guaranteed_) {}

Plan PlanCycle::run() {
    for (const auto& job : queue_) {
        warm_capacity_.before_job(job);
        if (job.spec.gang) {
            place_gang(job);
        } else {
            place_array(job);
        }
    }
    warm_capacity_.after_all_jobs();
    provisioning_.run();
    state_.plan.capacity_short = provisioning_.any_demand();
    release_.run();
    drain_.run();
    state_.plan.snapshot_at = state_.snapshot.now;
    return std::move(state_.plan);
}

void PlanCycle::place_gang(const QueuedJob& job) {
    const auto& spec = job.spec;
    if (state_.quota.tasks_within_limit(spec, spec.count) < spec.count) {
        // Counts the whole gang as used; otherwise smaller jobs of the team would take every part
        // of the limit as soon as it becomes free.
        if (job.starved) state_.quota.use(spec, spec.count);
        return;
    }
    const PlacementRequest request{job, spec.count, false};
    if (start_gang(request)) return;
    if (nominate(request, CapacitySource::Releasing) > 0) return;
    if (preemption_.has_victims(job) && preempt(request) > 0) return;
    if (nominate(request, CapacitySource::Booting) > 0) return;
    provisioning_.request(job, spec.count);
    if (job.starved) reservation_.reserve(job, spec.count);
}

// Starts the gang on free capacity. If fetching the image there would miss the class's start
// objective, preempts lower priorities on machines that have the image instead (docs/design.md,
// exception 2).
bool PlanCycle::start_gang(const PlacementRequest& request) {
    const auto& job = request.job;
    const auto free = placement_.find(request, CapacitySource::Free);
    if (!free.found()) return false;
    if (image_fetch_exceeds_slack(job, free) && preemption_.has_victims(job)) {
        const auto with_image = preemption_.find_with_image(request);
        if (with_image.found() && !with_image.victims.empty()) {
            preemption_.preempt(job, with_image);
            return true;
        }
    }
    add_start(job, free);
    return true;
}

void PlanCycle::place_array(const QueuedJob& job) {
    const auto& spec = job.spec;
    const auto startable = state_.quota.tasks_within_limit(spec, job.waiting.waiting_tasks);
    if (startable == 0) {
        if (job.starved) state_.quota.use(spec, 1);
        return;
    }
    const auto wanted =
        job.starved ? std::min(startable, state_.snapshot.tuning.starved_array_tasks) : startable;
    auto left = wanted;
    left -= start({job, left, true});
    if (left > 0 && preemption_.has_victims(job)) {
        left -= nominate({job, left, true}, CapacitySource::Releasing);
        if (left > 0) left -= preempt({job, left, true});
    }
    const auto deferred = startable - wanted;
    if (left + deferred > 0) provisioning_.request(job, left + deferred);
    // A task can be as large as a machine; only a reserved machine is then sure to fit it.
    if (left == wanted && job.starved) reservation_.reserve(job, 1);
}

// Starts tasks on free capacity; returns the number of tasks started.
std::uint32_t PlanCycle::start(const PlacementRequest& request) {
    const auto placement = placement_.find(request, CapacitySource::Free);
    if (placement.found()) add_start(request.job, placement);
    return placement.tasks();
}

// Nominates machines for tasks that can start there later; returns the number of tasks.
std::uint32_t PlanCycle::nominate(const PlacementRequest& request, CapacitySource source) {
    const auto placement = placement_.find(request, source);
    if (placement.found()) state_.nominate(request.job.spec, placement);
    return placement.tasks();
}

// Preempts victims to make room for tasks; returns the number of tasks that will fit.
std::uint32_t PlanCycle::preempt(const PlacementRequest& request) {
    const auto placement = preemption_.find(request);
    if (placement.found()) preemption_.preempt(request.job, placement);
    return placement.tasks();
}

void PlanCycle::add_start(const QueuedJob& job, const Placement& placement) {
    Start start;
    start.job = job.waiting.job;
    start.score = placement.score;
    start.rejected_zones = placement.rejected_zones;
    start.machines.reserve(placement.machines.size());
    for (const auto machine : placement.machines) {
        start.machines.push_back(state_.snapshot.machines[machine].index);
    }
    state_.plan.starts.push_back(std::move(start));
    state_.assume(job.spec, placement);
}

bool PlanCycle::image_fetch_exceeds_slack(const QueuedJob& job, const Placement& placement) const {
    if (!job.spec.has_start_objective) return false;
    double fetch_s = 0;
    for (const auto machine : placement.machines) {
        fetch_s = std::max(fetch_s, state_.fetches.fetch_s(job.spec, machine));
    }
    return fetch_s > job.waiting.slack_s && job.waiting.slack_s > kMinSlackToPreemptForImageS;
}

Plan make_plan(const Snapshot& snapshot) { return PlanCycle(snapshot).run(); }

}  // namespace lichendrift::core
