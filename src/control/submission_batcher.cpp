// Writes submitted jobs to the state service, several in one transaction.
#include "control/submission_batcher.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "core/state_keys.h"
#include "wire/stored_values.h"

namespace lichendrift::control {

namespace {

namespace keys = core::keys;

constexpr std::size_t kMaxQueued = 300;
constexpr std::size_t kMaxDuplicates = 8;  // of one job, not counting the first
constexpr int kMaxBatchesInFlight = 2;
constexpr std::size_t kMaxBatchBytes = 40'000;
// Approximate size of a submission in a transaction, beside its value.
constexpr std::size_t kSubmissionOverheadBytes = 200;

// Reserved in each value: a terminal state may be stored together with the description, within the
// same limit.
constexpr std::size_t kTerminalStateBytes = 32;

bool contains_key_of_job(const std::vector<std::string>& failed_keys, const std::string& job_id) {
    const auto open_key = keys::open_job(job_id);
    const auto terminal_key = keys::terminal_state(job_id);
    return std::any_of(failed_keys.begin(), failed_keys.end(),
                       [&](const auto& key) { return key == open_key || key == terminal_key; });
}

}  // namespace

SubmissionBatcher::SubmissionBatcher(store::StoreClient& store, JobWatcher& job_watcher)
    : store_(store), job_watcher_(job_watcher) {}

tl::expected<void, EnqueueError> SubmissionBatcher::enqueue(core::JobDescription job,
                                                            OnResult done) {
    if (const auto earlier = callbacks_.find(job.id); earlier != callbacks_.end()) {
        if (earlier->second.size() > kMaxDuplicates) {
            return tl::unexpected(EnqueueError::TooManyDuplicates);
        }
        earlier->second.push_back(std::move(done));
        return {};
    }
    if (queue_.size() >= kMaxQueued) return tl::unexpected(EnqueueError::QueueFull);
    auto value = wire::job_value(job);
    if (!fits_value_limit(value)) return tl::unexpected(EnqueueError::TooLarge);
    callbacks_[job.id].push_back(std::move(done));
    queue_.push_back({std::move(job), std::move(value)});
    send_batches();
    return {};
}

bool SubmissionBatcher::fits_value_limit(const std::string& value) const {
    return value.size() + kTerminalStateBytes <= store_.max_value_bytes();
}

void SubmissionBatcher::send_batches() {
    while (batches_in_flight_ < kMaxBatchesInFlight && !queue_.empty()) {
        auto batch = take_batch();
        ++batches_in_flight_;
        store_.transact(store::RequestPriority::Submit, batch.conditions, batch.changes,
                        [this, submissions = std::move(batch.submissions)](
                            const store::TransactionResult& result) mutable {
                            --batches_in_flight_;
                            on_batch_result(std::move(submissions), result);
                            send_batches();
                        });
    }
}

SubmissionBatcher::Batch SubmissionBatcher::take_batch() {
    Batch batch;
    std::size_t bytes = 0;
    while (!queue_.empty() && batch.submissions.size() < store_.max_transaction_operations() &&
           bytes < kMaxBatchBytes) {
        auto& next = queue_.front();
        const auto open_key = keys::open_job(next.job.id);
        batch.conditions.push_back({open_key, 0});
        batch.conditions.push_back({keys::terminal_state(next.job.id), 0});
        batch.changes.push_back({open_key, next.value, 0});
        bytes += next.value.size() + kSubmissionOverheadBytes;
        in_flight_.insert(next.job.id);
        batch.submissions.push_back(std::move(next));
        queue_.pop_front();
    }
    return batch;
}

void SubmissionBatcher::on_batch_result(std::vector<Submission> batch,
                                        const store::TransactionResult& result) {
    for (const auto& submission : batch) in_flight_.erase(submission.job.id);
    for (auto& submission : batch) {
        if (result.outcome == store::Outcome::Ok) {
            job_watcher_.on_open_written(submission.job, result.revision);
            finish(submission, SubmissionResult::Created);
        } else if (contains_key_of_job(result.failed, submission.job.id)) {
            finish(submission, SubmissionResult::AlreadyKnown);
        } else if (result.outcome == store::Outcome::Conflict) {
            // Another job of the batch caused the conflict. This one is sent again.
            queue_.push_front(std::move(submission));
        } else if (result.outcome == store::Outcome::Rejected &&
                   !fits_value_limit(submission.value)) {
            finish(submission, SubmissionResult::TooLarge);
        } else {
            finish(submission, SubmissionResult::Unavailable);
        }
    }
}

void SubmissionBatcher::finish(const Submission& submission, SubmissionResult result) {
    const auto callbacks = callbacks_.extract(submission.job.id);
    for (const auto& done : callbacks.mapped()) {
        done(result);
        if (result == SubmissionResult::Created) result = SubmissionResult::Duplicate;
    }
}

}  // namespace lichendrift::control
