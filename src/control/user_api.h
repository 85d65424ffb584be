// The HTTP API for users: submission, status and cancellation of jobs.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "control/job_lookup.h"
#include "control/job_watcher.h"
#include "control/settings.h"
#include "control/submission_handler.h"
#include "control/user_responses.h"

namespace lichendrift::control {

/// Serves user requests on any controller. It needs only the state service, so it works without a
/// leader. A request that cannot be served now gets status 503 with Retry-After at once.
///
/// Loop thread only; responses are sent on that thread too.
class UserApi {
  public:
    /// All references must outlive the object.
    UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
            JobWatcher& job_watcher);

    /// Handles a request for any path; an unknown path gets status 404.
    void handle(const net::HttpRequest& request, net::Respond respond);
    /// Sets the cloud's machine types. New jobs get status 503 while there are none.
    void set_types(std::vector<core::MachineType> types) {
        submissions_.set_types(std::move(types));
    }
    /// Whether the cloud's machine types have been set.
    [[nodiscard]] bool types_known() const { return !types().empty(); }
    /// The cloud's machine types; empty while they are unknown.
    [[nodiscard]] const std::vector<core::MachineType>& types() const {
        return submissions_.types();
    }
    /// Updates the task counts of open jobs from the leader's; they are only displayed. If
    /// `complete`, the counts of all jobs that are not in the list are dropped.
    void update_task_counts(const std::vector<wire::JobCounts>& counts, bool complete) {
        lookup_.update_task_counts(counts, complete);
    }

  private:
    void cancel(const std::string& job_id, net::Respond respond, int retries);
    void write_cancellation(const std::string& job_id, net::Respond respond, int retries);

    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    TemporaryRefusals refusals_;
    JobLookup lookup_;
    SubmissionHandler submissions_;
};

}  // namespace lichendrift::control
