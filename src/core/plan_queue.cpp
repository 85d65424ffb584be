// The order in which a plan places the waiting jobs.
#include "core/plan_queue.h"

#include <map>

namespace lichendrift::core {

namespace {

// The number of starved jobs is limited for each rank separately.
struct QueueRank {
    bool in_guarantee;
    Priority priority;
    auto operator<=>(const QueueRank&) const = default;
};

bool past_starvation_threshold(const PlannerTuning& tuning, const QueuedJob& job) {
    if (!tuning.reservations || job.waiting.waited_ms <= job.spec.starvation_threshold_ms) {
        return false;
    }
    return !job.spec.gang || job.spec.count > 1;
}

// Marks the longest-waiting jobs as starved, up to max_starved_jobs of each rank: they go first
// within their rank. Without that, the largest jobs did not start as long as new jobs kept coming
// whose objectives could still be met (docs/design.md, exception 1).
void mark_starved(const PlannerTuning& tuning, std::vector<QueuedJob*> jobs) {
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto* left, const auto* right) {
        return left->waiting.waited_ms > right->waiting.waited_ms;
    });
    std::map<QueueRank, std::size_t> starved_of_rank;
    for (auto* job : jobs) {
        auto& starved = starved_of_rank[{job->waiting.in_guarantee, job->spec.priority}];
        job->starved = starved++ < tuning.max_starved_jobs;
    }
}

bool goes_before(const QueuedJob& left, const QueuedJob& right) {
    if (left.waiting.in_guarantee != right.waiting.in_guarantee) return left.waiting.in_guarantee;
    if (left.spec.priority != right.spec.priority) return left.spec.priority > right.spec.priority;
    if (left.starved != right.starved) return left.starved;
    if (left.waiting.order_s != right.waiting.order_s) {
        return left.waiting.order_s < right.waiting.order_s;
    }
    return left.spec.submitted_ms < right.spec.submitted_ms;
}

}  // namespace

std::vector<QueuedJob> scheduling_queue(const Snapshot& snapshot) {
    std::vector<QueuedJob> jobs;
    jobs.reserve(snapshot.waiting_jobs.size());
    std::vector<QueuedJob*> starvation_candidates;
    for (const auto& waiting : snapshot.waiting_jobs) {
        if (waiting.backing_off) continue;
        jobs.push_back({waiting, snapshot.jobs.at(waiting.job).spec});
        if (past_starvation_threshold(snapshot.tuning, jobs.back())) {
            starvation_candidates.push_back(&jobs.back());
        }
    }
    mark_starved(snapshot.tuning, std::move(starvation_candidates));
    std::vector<const QueuedJob*> order;
    order.reserve(jobs.size());
    for (const auto& job : jobs) order.push_back(&job);
    std::stable_sort(order.begin(), order.end(), [](const auto* left, const auto* right) {
        return goes_before(*left, *right);
    });
    std::vector<QueuedJob> queue;
    queue.reserve(order.size());
    for (const auto* job : order) queue.push_back(*job);
    return queue;
}

}  // namespace lichendrift::core
