#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "control/job_watcher.h"
#include "control/settings.h"
#include "wire/peer_messages.h"

namespace lichendrift::control {

// Submissions, polls and cancellations. Works on any node, with or without a leader, from the
// state service alone. What can't be taken is refused at once with 503 and Retry-After.
class UserApi {
  public:
    UserApi(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
            JobWatcher& job_watcher);

    void handle(const net::HttpRequest& request, net::Respond respond);
    void set_types(std::vector<core::MachineType> types) { types_ = std::move(types); }
    [[nodiscard]] bool types_known() const { return !types_.empty(); }
    [[nodiscard]] const std::vector<core::MachineType>& types() const { return types_; }
    // What the leader says of running jobs, for display.
    void set_counts(const std::vector<wire::JobCounts>& counts, bool all);

  private:
    struct Submission {
        core::JobText job;
        std::string value;
        std::vector<net::Respond> responds;
    };
    void submit(const std::string& body, net::Respond respond);
    void poll(const std::string& id, net::Respond respond, bool submission);
    void cancel(const std::string& id, net::Respond respond, int tries);
    [[nodiscard]] bool fits(const Submission& submission) const;
    void flush();
    void written(std::vector<Submission> batch, const store::TransactionResult& result);
    void answer_open(const std::string& id, const net::Respond& respond) const;
    void refuse(const net::Respond& respond, const char* reason);
    [[nodiscard]] std::string check(const core::JobText& job) const;

    net::Runtime& runtime_;
    const Settings& settings_;
    store::StoreClient& store_;
    JobWatcher& job_watcher_;
    std::vector<core::MachineType> types_;
    std::unordered_map<std::string, std::pair<std::uint32_t, std::uint32_t>> counts_;
    std::deque<Submission> queue_;
    std::unordered_map<std::string, std::vector<net::Respond>> doubles_;  // under way already
    int batches_ = 0;
    std::uint64_t refused_ = 0;
    Millis refusals_reported_at_ = -100000;
};

}  // namespace lichendrift::control
