// Writes submitted jobs to the state service, several in one transaction.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "control/job_watcher.h"
#include "core/types.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// How an attempt to store a submission ended.
enum class SubmissionResult : std::uint8_t {
    Created,       ///< stored for this submission
    Duplicate,     ///< stored for an earlier submission, by a transaction that this one waited for
    AlreadyKnown,  ///< not stored: the job already had a key in the state service
    TooLarge,      ///< not stored: the description exceeds the state service's value limit
    Unavailable,   ///< no usable answer from the state service; the job may have been stored
};

/// Why a submission was not queued.
enum class EnqueueError : std::uint8_t {
    TooManyDuplicates,  ///< the limit of waiting submissions of the same job is reached
    QueueFull,          ///< the limit of queued jobs is reached
    TooLarge,           ///< the description exceeds the state service's value limit
};

/// Queues submitted jobs and writes them to the state service in batches, on the condition that
/// neither the "open/" nor the "over/" key of any job in the batch exists. A repeated submission of
/// a job that is queued or in flight is not written again; it waits for the first one's result. If
/// the job is in flight, the caller first has to read, after the repeat came, that the job is not
/// stored yet: otherwise it may have been stored and ended before the repeat came. The number of
/// batches in flight is limited.
class SubmissionBatcher {
  public:
    /// Called once for each queued submission; for a stored job, after the job watcher has it.
    using OnResult = std::function<void(SubmissionResult)>;

    /// Both references must outlive the batcher.
    SubmissionBatcher(store::StoreClient& store, JobWatcher& job_watcher);

    /// Queues a job for writing. On an error `done` is not called.
    tl::expected<void, EnqueueError> enqueue(core::JobDescription job, OnResult done);

    /// Whether a transaction that writes this job has been sent and not answered. The state service
    /// may have carried it out already.
    [[nodiscard]] bool in_flight(const std::string& job_id) const {
        return in_flight_.contains(job_id);
    }

  private:
    struct Submission {
        core::JobDescription job;
        std::string value;  // the serialized job
    };
    struct Batch {
        std::vector<Submission> submissions;
        std::vector<wire::Condition> conditions;
        std::vector<wire::Change> changes;
    };
    [[nodiscard]] bool fits_value_limit(const std::string& value) const;
    void send_batches();
    Batch take_batch();
    void on_batch_result(std::vector<Submission> batch, const store::TransactionResult& result);
    void finish(const Submission& submission, SubmissionResult result);

    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    std::deque<Submission> queue_;
    // The callbacks of all queued or in-flight jobs, by job id, in order of submission.
    std::unordered_map<std::string, std::vector<OnResult>> callbacks_;
    std::unordered_set<std::string> in_flight_;  // ids of the jobs in the batches in flight
    int batches_in_flight_ = 0;
};

}  // namespace lichendrift::control
