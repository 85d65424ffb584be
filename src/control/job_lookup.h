// Answers users with the states of jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/job_watcher.h"
#include "control/settings.h"
#include "control/user_responses.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

/// Looks jobs up in the copy of the open jobs and in the state service, and answers with what is
/// found. No answer is older than one that any controller gave before the question came. If the
/// state service cannot be asked, the answer is status 503.
///
/// Loop thread only; responses are sent on that thread too.
class JobLookup {
  public:
    /// Answers for a job that was never accepted.
    using OnUnknownJob = std::function<void(const net::Respond&)>;

    /// All references must outlive the object.
    JobLookup(const Settings& settings, JobWatcher& job_watcher, TemporaryRefusals& refusals);

    /// Updates the task counts of open jobs from the leader's; they are only displayed. If
    /// `complete`, the counts of all jobs that are not in the list are dropped.
    void update_task_counts(const std::vector<wire::JobCounts>& counts, bool complete);

    /// Answers with the job's state: at once if it is known to have ended, else after a refresh.
    void answer(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown);
    /// Brings the copy of the open jobs up to date, then answers with the job's state.
    void answer_after_refresh(const std::string& job_id, net::Respond respond,
                              OnUnknownJob on_unknown);

  private:
    struct TaskCounts {
        std::uint32_t done = 0;
        std::uint32_t running = 0;
    };

    void answer_from_refreshed_copy(const std::string& job_id, net::Respond respond,
                                    OnUnknownJob on_unknown);
    bool answer_from_copy(const std::string& job_id, const net::Respond& respond) const;
    void answer_open_job(const std::string& job_id, const net::Respond& respond) const;

    const Settings& settings_;
    JobWatcher& job_watcher_;
    TemporaryRefusals& refusals_;
    std::unordered_map<std::string, TaskCounts> task_counts_;  // by job id, from the leader
};

}  // namespace lichendrift::control
