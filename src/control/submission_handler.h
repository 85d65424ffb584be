// Users' submissions of jobs: which are accepted, which are refused.
#pragma once

#include <string>
#include <vector>

#include "control/job_lookup.h"
#include "control/job_watcher.h"
#include "control/settings.h"
#include "control/submission_batcher.h"
#include "control/user_responses.h"

namespace lichendrift::control {

/// Accepts new jobs and answers repeated submissions with the state of their job. A known job has
/// passed all checks before, so a submission is refused for a reason that holds for new jobs only
/// after its job has been looked up.
///
/// Loop thread only; responses are sent on that thread too.
class SubmissionHandler {
  public:
    /// All references must outlive the object.
    SubmissionHandler(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
                      JobWatcher& job_watcher, JobLookup& lookup, TemporaryRefusals& refusals);

    /// Handles a submission with this body.
    void submit(const std::string& body, net::Respond respond);
    /// Sets the cloud's machine types. New jobs get status 503 while there are none.
    void set_types(std::vector<core::MachineType> types) { types_ = std::move(types); }
    /// The cloud's machine types; empty while they are unknown.
    [[nodiscard]] const std::vector<core::MachineType>& types() const { return types_; }

  private:
    void store_job(core::JobDescription job, const net::Respond& respond);
    void store_unless_known(core::JobDescription job, net::Respond respond);
    void on_submission_result(const std::string& job_id, const net::Respond& respond,
                              SubmissionResult result);
    void on_enqueue_error(const std::string& job_id, const net::Respond& respond,
                          EnqueueError error);
    void answer_known(const std::string& job_id, net::Respond respond);
    void refuse_unless_known(const std::string& job_id, net::Respond respond,
                             JobLookup::OnUnknownJob refuse_new);
    void postpone_unless_known(const std::string& job_id, const net::Respond& respond,
                               RefusalReason reason);

    net::Runtime& runtime_;
    const Settings& settings_;
    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    JobLookup& lookup_;
    TemporaryRefusals& refusals_;
    SubmissionBatcher batcher_;
    std::vector<core::MachineType> types_;
    std::size_t lookups_before_503_ = 0;  // in flight, see postpone_unless_known()
};

}  // namespace lichendrift::control
