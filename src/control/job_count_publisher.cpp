// Counts of done and running tasks for the other controllers.
#include "control/job_count_publisher.h"

#include <vector>

namespace lichendrift::control {

namespace {

constexpr Millis kIntervalMs = 800;
constexpr int kFullEvery = 10;            // every so many publications all counts are in it
constexpr std::size_t kMaxCounts = 1000;  // in one publication

}  // namespace

void JobCountPublisher::publish_due() {
    const auto now = term_.runtime.now();
    if (now - published_at_ <= kIntervalMs) return;
    published_at_ = now;
    // Otherwise only what changed, so that the cost grows with changes and not with jobs.
    const bool all = publications_++ % kFullEvery == 0;
    const auto changed =
        term_.cluster->with_lock([&](core::Cluster& cluster) { return cluster.job_counts(all); });
    std::vector<wire::JobCounts> counts;
    for (const auto& [id, count] : changed) {
        if (counts.size() == kMaxCounts) break;
        counts.push_back({id, count.done, count.running});
    }
    term_.host.on_job_counts(std::move(counts), all);
}

}  // namespace lichendrift::control
