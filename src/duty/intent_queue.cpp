// Forms batches of releases and provisioning requests that fit into one record.
#include "duty/intent_queue.h"

#include <algorithm>

namespace lichendrift::duty {

namespace {

constexpr std::size_t kMaxProvisionsPerIntent = 16;
constexpr std::size_t kEmptyIntentBytes = 80;        // size of a record without its lists
constexpr std::size_t kMachineOverheadBytes = 3;     // size of a list entry beyond the name
constexpr std::size_t kProvisionOverheadBytes = 40;  // size of a list entry beyond its names
constexpr Millis kBatchWaitMs = 1000;  // how long releases that are not urgent are collected

}  // namespace

void IntentQueue::add_release(std::string machine, bool urgent, Millis now) {
    releases_.push_back({std::move(machine), urgent, now});
}

void IntentQueue::add_provision(PendingProvision provision) {
    provisions_.push_back(std::move(provision));
}

void IntentQueue::requeue(IntentBatch batch, Millis queued_at) {
    for (auto& machine : batch.releases) add_release(std::move(machine), true, queued_at);
    for (auto& provision : batch.provisions) {
        if (!provision.finished()) add_provision(std::move(provision));
    }
}

void IntentQueue::requeue_rejected(IntentBatch batch, Millis queued_at) {
    const auto entries = std::max(batch.releases.size(), batch.provisions.size());
    max_entries_ = std::max<std::size_t>(1, entries / 2);
    for (auto it = batch.releases.rbegin(); it != batch.releases.rend(); ++it) {
        releases_.push_front({std::move(*it), true, queued_at});
    }
    for (auto it = batch.provisions.rbegin(); it != batch.provisions.rend(); ++it) {
        provisions_.push_front(std::move(*it));
    }
}

bool IntentQueue::releases_due(Millis now) const {
    if (releases_.size() >= kMaxReleasesPerRequest) return true;
    return std::any_of(releases_.begin(), releases_.end(), [&](const QueuedRelease& queued) {
        return queued.urgent || now - queued.queued_at >= kBatchWaitMs;
    });
}

IntentBatch IntentQueue::take_releases(std::size_t value_bytes) {
    IntentBatch batch;
    const auto limit = max_entries(kMaxReleasesPerRequest);
    std::size_t bytes = kEmptyIntentBytes;
    while (!releases_.empty() && batch.releases.size() < limit) {
        const auto size = releases_.front().machine.size() + kMachineOverheadBytes;
        if (!batch.releases.empty() && bytes + size > value_bytes) break;
        bytes += size;
        batch.releases.push_back(std::move(releases_.front().machine));
        releases_.pop_front();
    }
    return batch;
}

IntentBatch IntentQueue::take_provisions(std::size_t value_bytes) {
    IntentBatch batch;
    const auto limit = max_entries(kMaxProvisionsPerIntent);
    std::size_t bytes = kEmptyIntentBytes;
    while (!provisions_.empty() && batch.provisions.size() < limit) {
        const auto& request = provisions_.front().request();
        const auto size =
            request.id.size() + request.type.size() + request.zone.size() + kProvisionOverheadBytes;
        if (!batch.provisions.empty() && bytes + size > value_bytes) break;
        bytes += size;
        batch.provisions.push_back(std::move(provisions_.front()));
        provisions_.pop_front();
    }
    return batch;
}

std::size_t IntentQueue::withdraw_outdated(Millis now) {
    return std::erase_if(provisions_, [now](const auto& queued) { return queued.outdated(now); });
}

std::size_t IntentQueue::max_entries(std::size_t max_by_kind) const {
    return max_entries_ == 0 ? max_by_kind : std::min(max_by_kind, max_entries_);
}

}  // namespace lichendrift::duty
