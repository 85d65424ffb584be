// Stores submitted jobs, several in one transaction.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "control/job_watcher.h"
#include "core/types.h"
#include "store/store_client.h"

namespace lichendrift::control {

/// How an attempt to store a submission ended.
enum class SubmissionResult : std::uint8_t {
    Created,       ///< stored for this submission
    Duplicate,     ///< stored for an earlier submission of the same job, at the same time
    AlreadyKnown,  ///< the state service knew the job before
    TooLarge,      ///< not stored: its description does not fit into a value
    Unavailable,   ///< no usable answer; it may have been stored
};

/// Why a submission was not queued.
enum class EnqueueError : std::uint8_t {
    TooManyDuplicates,  ///< many submissions of the same job wait already
    QueueFull,          ///< many jobs wait already
    TooLarge,           ///< its description does not fit into a value
};

/// Queues submitted jobs and writes them to the state service in batches, each job on the
/// condition that neither its "open/" nor its "over/" key exists. A submission of a job that is
/// queued or in flight already waits for that one's result. Few batches are in flight at once.
class SubmissionBatcher {
  public:
    /// Called once for each submission that was queued, after the job watcher knows of the job.
    using OnResult = std::function<void(SubmissionResult)>;

    /// Both references have to outlive the batcher.
    SubmissionBatcher(store::StoreClient& store, JobWatcher& job_watcher);

    /// Queues a job. On an error `done` is not called.
    tl::expected<void, EnqueueError> enqueue(core::JobDescription job, OnResult done);

  private:
    struct Submission {
        core::JobDescription job;
        std::string value;  // as stored
    };
    struct Batch {
        std::vector<Submission> submissions;
        std::vector<wire::Condition> conditions;
        std::vector<wire::Change> changes;
    };
    [[nodiscard]] bool fits(const std::string& value) const;
    void send_batches();
    Batch take_batch();
    void on_batch_result(std::vector<Submission> batch, const store::TransactionResult& result);
    void finish(const Submission& submission, SubmissionResult result);

    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    std::deque<Submission> queue_;
    // By job, of those queued or in flight: whom to call, the one that stores it first.
    std::unordered_map<std::string, std::vector<OnResult>> callbacks_;
    int batches_in_flight_ = 0;
};

}  // namespace lichendrift::control
