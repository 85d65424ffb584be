// The HTTP API for users: submission, status and cancellation of jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "control/job_watcher.h"
#include "control/settings.h"
#include "control/submission_batcher.h"
#include "wire/peer_messages.h"

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
    void set_types(std::vector<core::MachineType> types) { types_ = std::move(types); }
    /// Whether the cloud's machine types have been set.
    [[nodiscard]] bool types_known() const { return !types_.empty(); }
    /// The cloud's machine types; empty while they are unknown.
    [[nodiscard]] const std::vector<core::MachineType>& types() const { return types_; }
    /// Updates the task counts of open jobs from the leader's; they are only displayed. If
    /// `complete`, the counts of all jobs that are not in the list are dropped.
    void update_task_counts(const std::vector<wire::JobCounts>& counts, bool complete);

  private:
    /// Why a request gets status 503.
    enum class RefusalReason : std::uint8_t {
        StateServiceUnavailable,
        MachineTypesUnknown,
        TooManyDuplicates,
        TooManySubmissions,
    };
    struct TaskCounts {
        std::uint32_t done = 0;
        std::uint32_t running = 0;
    };
    using OnUnknownJob = std::function<void(const net::Respond&)>;

    void submit(const std::string& body, net::Respond respond);
    void store_job(core::JobDescription job, const net::Respond& respond);
    void store_unless_known(core::JobDescription job, net::Respond respond);
    void on_submission_result(const std::string& job_id, const net::Respond& respond,
                              SubmissionResult result);
    void on_enqueue_error(const std::string& job_id, const net::Respond& respond,
                          EnqueueError error);
    void refuse_unless_known(const std::string& job_id, net::Respond respond,
                             OnUnknownJob refuse_new);
    void postpone_unless_known(const std::string& job_id, const net::Respond& respond,
                               RefusalReason reason);

    void poll(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown);
    void answer_after_refresh(const std::string& job_id, net::Respond respond,
                              OnUnknownJob on_unknown);
    void answer_from_refreshed_copy(const std::string& job_id, net::Respond respond,
                                    OnUnknownJob on_unknown);
    bool answer_from_copy(const std::string& job_id, const net::Respond& respond) const;
    void answer_open_job(const std::string& job_id, const net::Respond& respond) const;

    void cancel(const std::string& job_id, net::Respond respond, int retries);
    void write_cancellation(const std::string& job_id, net::Respond respond, int retries);

    void refuse(const net::Respond& respond, RefusalReason reason);
    static std::string_view text(RefusalReason reason);

    net::Runtime& runtime_;
    const Settings& settings_;
    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    SubmissionBatcher batcher_;
    std::vector<core::MachineType> types_;
    std::unordered_map<std::string, TaskCounts> task_counts_;  // by job id, from the leader
    std::size_t lookups_before_503_ = 0;  // in flight, see postpone_unless_known()
    std::uint64_t refusals_ = 0;
    Millis refusal_logged_at_;
};

}  // namespace lichendrift::control
