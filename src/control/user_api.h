// The users' HTTP interface: submissions, polls and cancellations of jobs.
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

/// Answers users on any controller, with or without a leader, from the state service alone. What
/// cannot be done now is refused at once with status 503 and Retry-After.
///
/// All methods are called, and answer, on the event loop's thread.
class UserApi {
  public:
    /// All references have to outlive the object.
    UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
            JobWatcher& job_watcher);

    /// Answers a request to any path below "/"; unknown paths get status 404.
    void handle(const net::HttpRequest& request, net::Respond respond);
    /// Sets the cloud's machine types; without any, new jobs are refused.
    void set_types(std::vector<core::MachineType> types) { types_ = std::move(types); }
    /// Whether machine types are set.
    [[nodiscard]] bool types_known() const { return !types_.empty(); }
    /// The cloud's machine types; empty: not known yet.
    [[nodiscard]] const std::vector<core::MachineType>& types() const { return types_; }
    /// Takes the leader's task counts of open jobs, for display. With `all` those of jobs that
    /// are not in the list are forgotten.
    void set_counts(const std::vector<wire::JobCounts>& counts, bool all);

  private:
    /// Why a request is answered with status 503.
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
    void on_submission_result(const std::string& job_id, const net::Respond& respond,
                              SubmissionResult result);
    void on_enqueue_error(const net::Respond& respond, EnqueueError error);

    void poll(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown);
    void answer_fresh(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown);
    void answer_from_fresh_copy(const std::string& job_id, net::Respond respond,
                                OnUnknownJob on_unknown);
    void answer_open(const std::string& job_id, const net::Respond& respond) const;

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
    std::unordered_map<std::string, TaskCounts> counts_;  // by job, as the leader counts
    std::uint64_t refusals_ = 0;
    Millis refusals_logged_at_;
};

}  // namespace lichendrift::control
