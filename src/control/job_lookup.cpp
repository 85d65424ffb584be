// Answers users with the states of jobs.
#include "control/job_lookup.h"

#include <utility>

#include "net/http_status.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

}  // namespace

JobLookup::JobLookup(const Settings& settings, JobWatcher& job_watcher, TemporaryRefusals& refusals)
    : settings_(settings), job_watcher_(job_watcher), refusals_(refusals) {}

void JobLookup::update_task_counts(const std::vector<wire::JobCounts>& counts, bool complete) {
    if (complete) task_counts_.clear();
    for (const auto& job : counts) task_counts_[job.id] = {job.done, job.running};
}

void JobLookup::answer(const std::string& job_id, net::Respond respond, OnUnknownJob on_unknown) {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        return respond_terminal(respond, job_id, *state);
    }
    if (!settings_.guards.fresh_reads && job_watcher_.find_open(job_id) != nullptr) {
        return answer_open_job(job_id, respond);
    }
    answer_after_refresh(job_id, std::move(respond), std::move(on_unknown));
}

void JobLookup::answer_after_refresh(const std::string& job_id, net::Respond respond,
                                     OnUnknownJob on_unknown) {
    job_watcher_.refresh([this, job_id, respond = std::move(respond),
                          on_unknown = std::move(on_unknown)](bool fresh) {
        if (!fresh) return refusals_.refuse(respond, RefusalReason::StateServiceUnavailable);
        answer_from_refreshed_copy(job_id, respond, on_unknown);
    });
}

void JobLookup::answer_from_refreshed_copy(const std::string& job_id, net::Respond respond,
                                           OnUnknownJob on_unknown) {
    if (answer_from_copy(job_id, respond)) return;
    job_watcher_.read_terminal_state(
        job_id, [this, job_id, respond = std::move(respond),
                 on_unknown = std::move(on_unknown)](const auto& state) {
            if (state) return respond_terminal(respond, job_id, *state);
            if (state.error() == LookupError::Unavailable) {
                return refusals_.refuse(respond, RefusalReason::StateServiceUnavailable);
            }
            // The job may have been accepted while the read was in flight.
            if (!answer_from_copy(job_id, respond)) on_unknown(respond);
        });
}

// Answers with what the copy knows of the job, and returns whether it knows the job at all.
bool JobLookup::answer_from_copy(const std::string& job_id, const net::Respond& respond) const {
    if (const auto state = job_watcher_.terminal_state(job_id)) {
        respond_terminal(respond, job_id, *state);
        return true;
    }
    if (job_watcher_.find_open(job_id) == nullptr) return false;
    answer_open_job(job_id, respond);
    return true;
}

void JobLookup::answer_open_job(const std::string& job_id, const net::Respond& respond) const {
    const auto it = task_counts_.find(job_id);
    const auto counts = it == task_counts_.end() ? TaskCounts{} : it->second;
    const auto* state = counts.running > 0 ? "running" : "pending";
    respond({http_status::kOk, wire::job_state_body(job_id, state, counts.done, counts.running)});
}

}  // namespace lichendrift::control
