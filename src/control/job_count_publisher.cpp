// Publishes counts of done and running tasks for the other controllers.
#include "control/job_count_publisher.h"

#include <vector>

namespace lichendrift::control {

namespace {

constexpr Millis kPublishIntervalMs = 800;
constexpr int kPublicationsPerFull = 10;  // one in this many publications has all counts
constexpr std::size_t kMaxCountsPerPublication = 1000;  // further counts are left out

}  // namespace

void JobCountPublisher::publish_if_due() {
    const auto now = term_.runtime.now();
    if (now - published_at_ <= kPublishIntervalMs) return;
    published_at_ = now;
    // Other publications have only the counts that changed, so that their cost grows with the
    // changes and not with the number of jobs.
    const bool all = publication_count_++ % kPublicationsPerFull == 0;
    const auto changed =
        term_.cluster->with_lock([&](core::Cluster& cluster) { return cluster.job_counts(all); });
    std::vector<wire::JobCounts> counts;
    for (const auto& [id, count] : changed) {
        if (counts.size() == kMaxCountsPerPublication) break;
        counts.push_back({id, count.done, count.running});
    }
    term_.host.on_job_counts(std::move(counts), all);
}

}  // namespace lichendrift::control
